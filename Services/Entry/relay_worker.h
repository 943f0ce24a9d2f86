#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>
#include <unordered_set>

#include "Services/Entry/caller_session.h"
#include "Services/Entry/relay_context.h"

namespace dogwood {

// A request worker: a thread that runs an io_context and serves the caller
// connections assigned to it.
class RelayWorker {
 public:
  RelayWorker(SharedRelay& shared, unsigned index,
              std::string request_id_prefix);
  // Stops the thread and destroys the sessions that still run.
  ~RelayWorker();
  RelayWorker(const RelayWorker&) = delete;
  RelayWorker& operator=(const RelayWorker&) = delete;

  void Start();
  // Starts a session for an accepted connection. The socket must use this
  // worker's io_context. Callable from any thread.
  void Serve(boost::asio::ip::tcp::socket socket);
  // Closes all caller connections. The future holds the number of requests that
  // were aborted.
  std::future<std::size_t> AbortAllRequests();
  // Stops the io_context and joins the thread.
  void Join();

  boost::asio::io_context& io_context() { return io_context_; }
  // Caller connections that are being served. Callable from any thread.
  std::size_t session_count() const { return session_count_.load(); }
  std::int64_t in_flight() const { return context_.in_flight_requests.load(); }

 private:
  // Checks timeouts and closes expired backend connections periodically.
  boost::asio::awaitable<void> RunTimer();

  // Declared before io_context_, because destroying io_context_ destroys the
  // sessions that still run.
  std::unordered_set<CallerSession*> sessions_;
  std::atomic<std::size_t> session_count_{0};
  boost::asio::io_context io_context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  boost::asio::steady_timer timer_;
  WorkerContext context_;
  std::thread thread_;
};

}  // namespace dogwood
