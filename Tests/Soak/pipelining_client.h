#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

#include "Libraries/Http/http.h"

namespace dogwood {

// HTTP/1.1 connection on which several requests are sent before the first
// response is read.
class PipeliningClient {
 public:
  struct Response {
    unsigned status = 0;
    std::string request_id;
    std::string body;
    bool closes_connection = false;
  };

  explicit PipeliningClient(const boost::asio::any_io_executor& executor);

  // Return whether the connection is open.
  boost::asio::awaitable<bool> Connect(boost::asio::ip::tcp::endpoint endpoint);
  boost::asio::awaitable<bool> Send(std::string bytes);
  // Returns nullopt when no complete response arrives within `timeout`, and
  // closes the connection.
  boost::asio::awaitable<std::optional<Response>> Read(Duration timeout);

  // BufferedSource interface of BodyReader.
  boost::asio::awaitable<boost::system::error_code> Fill();
  ReceiveBuffer& input() { return input_; }

 private:
  boost::asio::awaitable<std::optional<Response>> ReadResponse();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timeout_;
  ReceiveBuffer input_;
  MessageParser parser_{MessageKind::kResponse};
};

}  // namespace dogwood
