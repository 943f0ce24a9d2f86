#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "Services/Entry/caller_stream.h"
#include "Services/Entry/relay_context.h"
#include "Services/Entry/request_exchange.h"

namespace dogwood {

// One connection of a caller: reads request heads, has each request relayed and
// decides whether the connection goes on. Runs on one worker.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(RelayContext& context, boost::asio::ip::tcp::socket socket);
  ~CallerSession();

  boost::asio::awaitable<void> Run();

  // Enforces time limits.
  void Tick(TimePoint now);
  // Ends the connection and the request on it; true when a request was cut.
  bool Cut();

 private:
  enum class HeadResult { kComplete, kEnded, kFaulty };

  boost::asio::awaitable<HeadResult> ReadHead();
  boost::asio::awaitable<void> Refuse(OwnAnswer answer);
  boost::asio::awaitable<void> Linger();

  RelayContext& context_;
  CallerStream caller_;
  MessageParser parser_{MessageKind::kRequest};
  ExchangeMemory memory_;
  RequestExchange* exchange_ = nullptr;
  TimePoint limit_ = TimePoint::max();  // of the current wait for the caller
  bool has_head_begun_ = false;
  bool is_late_ = false;
  OwnAnswer fault_;
};

}  // namespace dogwood
