#include "Services/Entry/relay_worker.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

namespace dogwood {

namespace asio = boost::asio;

namespace {

// Resolution of all timeouts of a worker. One timer per worker costs less than
// one per request.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(5);
// While the worker has no caller connections.
constexpr Duration kIdleWorkerCheckInterval = std::chrono::milliseconds(100);
// Shorter than the usual keep-alive timeouts of HTTP servers, so that the
// backend server rarely closes a connection while a request is being sent.
constexpr Duration kBackendIdleTimeout = std::chrono::seconds(4);
constexpr Duration kIdleConnectionSweepInterval = std::chrono::seconds(1);

}  // namespace

RelayWorker::RelayWorker(SharedRelay& shared, unsigned index,
                         std::string request_id_prefix)
    : work_guard_(asio::make_work_guard(io_context_)),
      timer_(io_context_),
      context_(shared, index, io_context_.get_executor(),
               std::move(request_id_prefix)) {}

RelayWorker::~RelayWorker() { Join(); }

void RelayWorker::Start() {
  asio::co_spawn(io_context_, RunTimer(), asio::detached);
  thread_ = std::thread([this] { io_context_.run(); });
}

void RelayWorker::Join() {
  io_context_.stop();
  if (thread_.joinable()) thread_.join();
}

void RelayWorker::Serve(asio::ip::tcp::socket socket) {
  session_count_.fetch_add(1);
  auto session = std::make_shared<CallerSession>(context_, std::move(socket));
  asio::post(io_context_, [this, session = std::move(session)]() mutable {
    context_.shared.metrics.caller_connections.Add();
    CallerSession* raw_session = session.get();
    sessions_.insert(raw_session);
    asio::co_spawn(io_context_, raw_session->Run(),
                   [this, session = std::move(session)](
                       const std::exception_ptr& exception) {
                     sessions_.erase(session.get());
                     session_count_.fetch_sub(1);
                     // Sessions report errors as values, so an exception is
                     // a violated invariant.
                     if (exception) std::rethrow_exception(exception);
                   });
  });
}

std::future<std::size_t> RelayWorker::AbortAllRequests() {
  auto count_promise = std::make_shared<std::promise<std::size_t>>();
  std::future<std::size_t> result = count_promise->get_future();
  asio::post(io_context_, [this, count_promise] {
    std::size_t aborted_requests = 0;
    for (CallerSession* session : sessions_)
      aborted_requests += session->Abort() ? 1 : 0;
    count_promise->set_value(aborted_requests);
  });
  return result;
}

asio::awaitable<void> RelayWorker::RunTimer() {
  TimePoint next_sweep = MonotonicNow();
  while (true) {
    timer_.expires_after(sessions_.empty() ? kIdleWorkerCheckInterval
                                           : kTimeoutCheckInterval);
    const auto [error] =
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (error) co_return;
    const TimePoint now = MonotonicNow();
    for (CallerSession* session : sessions_) session->EnforceTimeouts(now);
    if (now >= next_sweep) {
      next_sweep = now + kIdleConnectionSweepInterval;
      context_.shared.pool.CloseIdleSince(context_.worker_index,
                                          now - kBackendIdleTimeout);
    }
  }
}

}  // namespace dogwood
