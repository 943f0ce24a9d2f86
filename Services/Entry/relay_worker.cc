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

// Resolution of deadlines and time limits: one timer per worker costs less than
// one per request.
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(100);
// Below the usual keep-alive limits of HTTP servers, so that a connection is
// rarely closed while a request is on its way.
constexpr Duration kBackendIdleLimit = std::chrono::seconds(4);
constexpr Duration kBackendSweepInterval = std::chrono::seconds(1);

}  // namespace

RelayWorker::RelayWorker(SharedRelay& shared, unsigned index,
                         std::string id_prefix)
    : work_(asio::make_work_guard(io_context_)),
      ticker_(io_context_),
      context_(shared, index, io_context_.get_executor(),
               std::move(id_prefix)) {}

RelayWorker::~RelayWorker() { Join(); }

void RelayWorker::Start() {
  asio::co_spawn(io_context_, Tick(), asio::detached);
  thread_ = std::thread([this] { io_context_.run(); });
}

void RelayWorker::Join() {
  io_context_.stop();
  if (thread_.joinable()) thread_.join();
}

void RelayWorker::Serve(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<CallerSession>(context_, std::move(socket));
  asio::post(io_context_, [this, session = std::move(session)]() mutable {
    context_.shared.metrics.caller_connections.Add();
    CallerSession* key = session.get();
    sessions_.insert(key);
    asio::co_spawn(io_context_, key->Run(),
                   [this, session = std::move(session)](
                       const std::exception_ptr& exception) {
                     sessions_.erase(session.get());
                     // Errors are values here; an exception is a broken
                     // invariant.
                     if (exception) std::rethrow_exception(exception);
                   });
  });
}

std::future<std::size_t> RelayWorker::CutAll() {
  auto done = std::make_shared<std::promise<std::size_t>>();
  std::future<std::size_t> result = done->get_future();
  asio::post(io_context_, [this, done] {
    std::size_t cut = 0;
    for (CallerSession* session : sessions_) cut += session->Cut() ? 1 : 0;
    done->set_value(cut);
  });
  return result;
}

asio::awaitable<void> RelayWorker::Tick() {
  TimePoint next_sweep = MonotonicNow();
  while (true) {
    ticker_.expires_after(sessions_.empty() ? kIdleTickInterval
                                            : kTickInterval);
    const auto [error] =
        co_await ticker_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (error) co_return;
    const TimePoint now = MonotonicNow();
    for (CallerSession* session : sessions_) session->Tick(now);
    if (now >= next_sweep) {
      next_sweep = now + kBackendSweepInterval;
      context_.shared.pool.CloseIdle(context_.worker, now - kBackendIdleLimit);
    }
  }
}

}  // namespace dogwood
