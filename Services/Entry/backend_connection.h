#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "Libraries/Http/message_parser.h"
#include "Libraries/Http/receive_buffer.h"

namespace dogwood {

// An HTTP/1.1 connection to a backend server, used by one worker at a time.
class BackendConnection {
 public:
  // `pool_key` identifies the backend server in the pool. `on_destroy` is
  // called by the destructor.
  BackendConnection(const boost::asio::any_io_executor& executor,
                    std::string pool_key, std::function<void()> on_destroy);
  ~BackendConnection();
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  boost::asio::awaitable<boost::system::error_code> Connect(
      const boost::asio::ip::tcp::endpoint& endpoint);
  // Waits for more bytes. Returns an error at the end of the stream.
  boost::asio::awaitable<boost::system::error_code> Fill();

  // Whether an idle connection can carry another request: it is open and has no
  // unread bytes, because bytes between two responses belong to no request.
  bool is_reusable();
  // Closes the socket; pending operations fail with operation_aborted.
  void Close();

  boost::asio::ip::tcp::socket& socket() { return socket_; }
  ReceiveBuffer& input() { return input_; }
  MessageParser& parser() { return parser_; }
  const std::string& pool_key() const { return pool_key_; }
  bool is_connected() const { return is_connected_; }

  TimePoint idle_since;

 private:
  // Also the largest part of a body that is forwarded at once.
  static constexpr std::size_t kReceiveBufferBytes = std::size_t{64} * 1024;

  boost::asio::ip::tcp::socket socket_;
  ReceiveBuffer input_{kReceiveBufferBytes};
  MessageParser parser_{MessageKind::kResponse};
  std::string pool_key_;
  std::function<void()> on_destroy_;
  bool is_connected_ = false;
};

}  // namespace dogwood
