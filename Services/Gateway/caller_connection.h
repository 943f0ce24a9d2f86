#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "Services/Gateway/gateway_context.h"
#include "Services/Gateway/request_relay.h"

namespace dogwood {

// What the connections of a gateway count together.
struct CallerLoad {
  std::size_t connections = 0;
  std::size_t requests = 0;    // read whole and not answered yet
  std::size_t body_bytes = 0;  // of requests in memory
};

// One connection of a caller: reads requests, has them served, writes replies.
class CallerConnection {
 public:
  // Part of the process's memory that request bodies may take together.
  static constexpr std::size_t kBodyMemoryPart = 3;  // a third
  // A body that stops arriving ends its connection after this long.
  static constexpr Duration kBodySilence = std::chrono::seconds(10);
  // A caller that does not read its answer is cut off after this long.
  static constexpr Duration kWriteTimeout = std::chrono::seconds(10);

  CallerConnection(GatewayContext& context, RequestRelay& relay,
                   CallerLoad& load, boost::asio::ip::tcp::socket socket);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  boost::asio::awaitable<void> Run();

  // Closes the connection when its current wait is overdue.
  void CheckTime(TimePoint now);
  // Closes it when no request is being read or served.
  void CloseIfIdle();

  // For BodyReader.
  boost::asio::awaitable<boost::system::error_code> Fill();
  ByteBuffer& input() { return input_; }

 private:
  enum class HeadEnd { kRead, kClosed, kMalformed, kTooLarge };
  enum class BodyEnd { kRead, kClosed, kMalformed, kTooLarge, kNoMemory };

  boost::asio::awaitable<HeadEnd> ReadHead();
  boost::asio::awaitable<BodyEnd> ReadBody();
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> Write(const Reply& reply, bool should_close);
  boost::asio::awaitable<void> Reject(unsigned status, std::string_view reason);
  void Close();

  GatewayContext& context_;
  RequestRelay& relay_;
  CallerLoad& load_;
  boost::asio::ip::tcp::socket socket_;
  ByteBuffer input_;
  MessageParser parser_{MessageKind::kRequest};
  std::string body_;
  TimePoint overdue_at_ = TimePoint::max();
  bool is_idle_ = true;
};

}  // namespace dogwood
