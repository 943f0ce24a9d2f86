#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "Libraries/Http/receive_buffer.h"
#include "Services/Entry/async_notification.h"

namespace dogwood {

// The socket of one caller connection with its receive buffer. While a request
// waits for its response, one read stays pending to detect that the caller
// disconnects. Bytes that it receives belong to the caller's next request.
class CallerStream {
 public:
  explicit CallerStream(boost::asio::ip::tcp::socket socket);

  // Waits for more bytes. Returns an error if the caller has disconnected or
  // the buffer is full.
  boost::asio::awaitable<boost::system::error_code> Fill();

  // Starts the pending read, unless the buffer is full. `owner` keeps this
  // object alive until the read ends. `on_disconnect` is called if the caller
  // disconnects.
  void StartReadAhead(std::shared_ptr<void> owner,
                      std::function<void()> on_disconnect);
  // Drops the callback of StartReadAhead; the read stays pending.
  void StopDisconnectWatch() { on_disconnect_ = nullptr; }

  // Cancels a pending read, so that Fill returns operation_aborted.
  void CancelRead();
  void Close();

  bool is_disconnected() const { return is_disconnected_; }
  ReceiveBuffer& input() { return input_; }
  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  static constexpr std::size_t kReceiveBufferBytes = std::size_t{64} * 1024;

  boost::asio::ip::tcp::socket socket_;
  ReceiveBuffer input_{kReceiveBufferBytes};
  AsyncNotification read_completed_;
  std::function<void()> on_disconnect_;
  boost::system::error_code error_;
  bool is_reading_ahead_ = false;
  bool is_disconnected_ = false;
};

}  // namespace dogwood
