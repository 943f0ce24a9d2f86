#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "Libraries/Http/byte_buffer.h"
#include "Libraries/Http/message_parser.h"

namespace dogwood {

// One HTTP/1.1 connection to a backend server, used by one worker at a time.
class BackendConnection {
 public:
  // `on_close` gives back the connection's place in the pool.
  BackendConnection(const boost::asio::any_io_executor& executor,
                    std::string key, std::function<void()> on_close);
  ~BackendConnection();
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  boost::asio::awaitable<boost::system::error_code> Connect(
      const boost::asio::ip::tcp::endpoint& endpoint);
  // Waits for more bytes; an error at the end of the stream.
  boost::asio::awaitable<boost::system::error_code> Fill();

  // Whether an idle connection is still open and silent. Bytes that arrive
  // between two responses belong to no request.
  bool is_reusable();
  // Ends pending operations with operation_aborted.
  void Close();

  boost::asio::ip::tcp::socket& socket() { return socket_; }
  ByteBuffer& input() { return input_; }
  MessageParser& parser() { return parser_; }
  const std::string& key() const { return key_; }
  bool is_connected() const { return is_connected_; }

  TimePoint idle_since;

 private:
  // Large bodies move in pieces of this size.
  static constexpr std::size_t kInputBytes = std::size_t{64} * 1024;

  boost::asio::ip::tcp::socket socket_;
  ByteBuffer input_{kInputBytes};
  MessageParser parser_{MessageKind::kResponse};
  std::string key_;
  std::function<void()> on_close_;
  bool is_connected_ = false;
};

}  // namespace dogwood
