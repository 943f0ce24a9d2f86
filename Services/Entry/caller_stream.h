#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "Libraries/Http/byte_buffer.h"
#include "Services/Entry/signal.h"

namespace dogwood {

// The socket of one caller with its receive buffer. While a request waits for
// its response, one read is kept pending: it notices a caller that leaves, and
// the bytes it takes begin the caller's next request.
class CallerStream {
 public:
  explicit CallerStream(boost::asio::ip::tcp::socket socket);

  // Waits for more bytes; an error when the caller left or the buffer is full.
  boost::asio::awaitable<boost::system::error_code> Fill();

  // Starts the pending read. `owner` keeps this object alive until it ends;
  // `on_gone` is called when the caller leaves meanwhile.
  void ReadAhead(std::shared_ptr<void> owner, std::function<void()> on_gone);
  // The caller's leaving interests nobody any more; the read stays pending.
  void StopWatching() { on_gone_ = nullptr; }

  // Ends a Fill in progress with operation_aborted.
  void CancelReading();
  void Close();

  bool is_gone() const { return is_gone_; }
  ByteBuffer& input() { return input_; }
  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  static constexpr std::size_t kInputBytes = std::size_t{64} * 1024;

  boost::asio::ip::tcp::socket socket_;
  ByteBuffer input_{kInputBytes};
  Signal arrival_;
  std::function<void()> on_gone_;
  boost::system::error_code error_;
  bool is_reading_ahead_ = false;
  bool is_gone_ = false;
};

}  // namespace dogwood
