#pragma once

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

// A thread of the request path with its io_context and its callers.
class RelayWorker {
 public:
  RelayWorker(SharedRelay& shared, unsigned index, std::string id_prefix);
  // Stops the thread; sessions that still run are dropped.
  ~RelayWorker();
  RelayWorker(const RelayWorker&) = delete;
  RelayWorker& operator=(const RelayWorker&) = delete;

  void Start();
  // Serves a caller whose socket belongs to this worker's io_context.
  void Serve(boost::asio::ip::tcp::socket socket);
  // Ends all connections and yields the number of requests that were cut.
  std::future<std::size_t> CutAll();
  // Ends the thread; nothing runs on this worker any more.
  void Join();

  boost::asio::io_context& io_context() { return io_context_; }
  std::int64_t in_flight() const { return context_.in_flight.load(); }

 private:
  boost::asio::awaitable<void> Tick();

  // Outlives io_context_, whose end drops the sessions that still run.
  std::unordered_set<CallerSession*> sessions_;
  boost::asio::io_context io_context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  boost::asio::steady_timer ticker_;
  RelayContext context_;
  std::thread thread_;
};

}  // namespace dogwood
