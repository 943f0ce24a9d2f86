#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "Services/Entry/caller_stream.h"
#include "Services/Entry/relay_context.h"
#include "Services/Entry/request_exchange.h"

namespace dogwood {

// Serves one caller connection: reads request heads, runs a RequestExchange for
// each request and decides whether the connection stays open. Runs on one
// worker.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(WorkerContext& context, boost::asio::ip::tcp::socket socket);
  ~CallerSession();

  boost::asio::awaitable<void> Run();

  // Ends the current wait or request if its timeout has passed.
  void EnforceTimeouts(TimePoint now);
  // Closes the connection and aborts the request on it; returns whether there
  // was one.
  bool Abort();

 private:
  enum class HeadReadResult { kComplete, kConnectionClosed, kInvalid };

  boost::asio::awaitable<HeadReadResult> ReadHead();
  boost::asio::awaitable<void> RejectRequest(LocalResponse response);
  boost::asio::awaitable<void> LingeringClose();

  WorkerContext& context_;
  CallerStream caller_;
  MessageParser parser_{MessageKind::kRequest};
  ExchangeScratch scratch_;
  RequestExchange* exchange_ = nullptr;
  TimePoint wait_deadline_ = TimePoint::max();  // for bytes from the caller
  bool has_head_started_ = false;
  bool has_head_timed_out_ = false;
  LocalResponse rejection_;
};

}  // namespace dogwood
