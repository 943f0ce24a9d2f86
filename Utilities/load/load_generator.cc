#include "Utilities/load/load_generator.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>

namespace dogwood {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
// How long a target is skipped after a failed connection attempt, as by the
// health checks of a load balancer in front of the entry hosts. Ignored while
// all targets are skipped.
constexpr auto kTargetRetryDelay = std::chrono::milliseconds(200);
// A connection without a response is closed this long after the request's
// deadline.
constexpr auto kResponseTimeoutMargin = std::chrono::seconds(5);
constexpr auto kConnectTimeout = std::chrono::seconds(1);
constexpr auto kProgressInterval = std::chrono::seconds(1);
// Time for all threads to start before the first arrival.
constexpr auto kStartDelay = std::chrono::milliseconds(100);
// Keeps the seeds of workers apart in runs with neighbouring seeds.
constexpr std::uint64_t kWorkerSeedStride = 7919;

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

// Sends one thread's share of the arrivals: every thread_count-th one.
class LoadWorker {
 public:
  LoadWorker(const LoadOptions& options, std::uint32_t worker_index,
             TimePoint start, std::atomic<std::uint64_t>& completed_requests)
      : options_(options),
        worker_index_(worker_index),
        start_(start),
        completed_requests_(completed_requests),
        engine_(options.seed * kWorkerSeedStride + worker_index),
        idle_connections_(options.targets.size()),
        retry_at_(options.targets.size()) {}

  void Run(const std::vector<Arrival>& arrivals) {
    asio::co_spawn(context_, SendScheduledRequests(arrivals), asio::detached);
    context_.run();
  }

  std::vector<LoadResult>& results() { return results_; }

 private:
  asio::awaitable<void> SendScheduledRequests(
      const std::vector<Arrival>& arrivals) {
    asio::steady_timer timer(context_);
    for (std::size_t i = worker_index_; i < arrivals.size();
         i += options_.thread_count) {
      const TimePoint scheduled_start = start_ + arrivals[i].start_offset;
      if (scheduled_start > MonotonicNow()) {
        timer.expires_at(scheduled_start);
        co_await timer.async_wait(kUseAwaitableTuple);
      }
      asio::co_spawn(context_, SendRequest(arrivals[i], i), asio::detached);
    }
  }

  std::size_t ChooseTarget() {
    const TimePoint now = MonotonicNow();
    std::size_t target = engine_() % options_.targets.size();
    for (std::size_t attempts = 0;
         attempts < options_.targets.size() && retry_at_[target] > now;
         ++attempts) {
      target = (target + 1) % options_.targets.size();
    }
    return target;
  }

  // Returns an idle or a new connection and its target, or nullptr after as
  // many failed attempts as there are targets.
  asio::awaitable<std::unique_ptr<Connection>> AcquireConnection(
      std::size_t& target) {
    for (std::size_t attempts = 0; attempts < options_.targets.size();
         ++attempts) {
      target = ChooseTarget();
      if (!idle_connections_[target].empty()) {
        std::unique_ptr<Connection> connection =
            std::move(idle_connections_[target].back());
        idle_connections_[target].pop_back();
        co_return connection;
      }
      auto connection = std::make_unique<Connection>(context_.get_executor());
      connection->stream.expires_after(kConnectTimeout);
      const auto [error] = co_await connection->stream.async_connect(
          options_.targets[target], kUseAwaitableTuple);
      if (!error) {
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
        co_return connection;
      }
      retry_at_[target] = MonotonicNow() + kTargetRetryDelay;
    }
    co_return nullptr;
  }

  http::request<http::string_body> MakeRequest(
      const LoadStream& stream, const Arrival& arrival,
      std::size_t request_index) const {
    http::request<http::string_body> request;
    request.version(11);  // HTTP/1.1
    request.method_string(stream.method);
    request.target("/load/" + std::to_string(request_index));
    request.set(http::field::host, stream.service);
    request.set("Dogwood-Service", stream.service);
    if (!stream.client_account.empty())
      request.set("Dogwood-Party", stream.client_account);
    request.set("Dogwood-Deadline-Ms",
                std::to_string(options_.deadline_milliseconds));
    request.set("Standin-Work-Us", std::to_string(arrival.work_microseconds));
    request.set("Standin-Response-Bytes",
                std::to_string(stream.response_bytes));
    if (stream.has_idempotency_keys) {
      request.set("Idempotency-Key",
                  "load-" + std::to_string(options_.seed) + "-" +
                      std::to_string(start_.time_since_epoch().count()) + "-" +
                      std::to_string(request_index));
    }
    request.body().assign(stream.body_bytes, 'b');
    request.prepare_payload();
    return request;
  }

  asio::awaitable<LoadOutcome> SendAndReceive(const LoadStream& stream,
                                              const Arrival& arrival,
                                              std::size_t request_index) {
    std::size_t target = 0;
    std::unique_ptr<Connection> connection = co_await AcquireConnection(target);
    if (!connection) co_return LoadOutcome::kFailed;
    const auto request = MakeRequest(stream, arrival, request_index);
    connection->stream.expires_after(
        std::chrono::milliseconds(options_.deadline_milliseconds) +
        kResponseTimeoutMargin);
    const auto [write_error, bytes_written] = co_await http::async_write(
        connection->stream, request, kUseAwaitableTuple);
    if (write_error) co_return LoadOutcome::kFailed;
    http::response_parser<http::string_body> parser;
    const auto [read_error, bytes_read] = co_await http::async_read(
        connection->stream, connection->buffer, parser, kUseAwaitableTuple);
    if (read_error) co_return LoadOutcome::kFailed;
    const auto& response = parser.get();
    const beast::string_view outcome = response["Dogwood-Outcome"];
    LoadOutcome result = LoadOutcome::kFailed;
    if (outcome == "not-run") result = LoadOutcome::kNotRun;
    if (outcome == "unknown") result = LoadOutcome::kUnknown;
    if ((outcome == "answered" || outcome.empty()) &&
        response.result() == http::status::ok &&
        response.body().size() >= stream.response_bytes) {
      result = LoadOutcome::kAnswered;
    }
    if (response.keep_alive()) {
      connection->stream.expires_never();
      idle_connections_[target].push_back(std::move(connection));
    }
    co_return result;
  }

  asio::awaitable<void> SendRequest(Arrival arrival,
                                    std::size_t request_index) {
    const LoadStream& stream = options_.streams[arrival.stream_index];
    const LoadOutcome outcome =
        co_await SendAndReceive(stream, arrival, request_index);
    const Duration latency = MonotonicNow() - (start_ + arrival.start_offset);
    results_.push_back(
        {arrival.stream_index, outcome, ToMilliseconds(latency),
         std::chrono::duration<double>(arrival.start_offset).count()});
    completed_requests_.fetch_add(1, std::memory_order_relaxed);
  }

  const LoadOptions& options_;
  std::uint32_t worker_index_;
  TimePoint start_;
  std::atomic<std::uint64_t>& completed_requests_;
  asio::io_context context_{1};
  std::mt19937_64 engine_;
  std::vector<std::vector<std::unique_ptr<Connection>>>
      idle_connections_;             // by target
  std::vector<TimePoint> retry_at_;  // by target
  std::vector<LoadResult> results_;
};

// Prints the number of completed requests once a second until all have
// completed.
void PrintProgress(const std::atomic<std::uint64_t>& completed_requests,
                   std::uint64_t total_requests) {
  while (completed_requests.load(std::memory_order_relaxed) < total_requests) {
    std::this_thread::sleep_for(kProgressInterval);
    std::fprintf(stderr, "dogwood-load: %llu of %llu requests completed\n",
                 static_cast<unsigned long long>(
                     completed_requests.load(std::memory_order_relaxed)),
                 static_cast<unsigned long long>(total_requests));
  }
}

}  // namespace

LoadRunResult RunLoad(const LoadOptions& options,
                      const std::vector<Arrival>& arrivals) {
  std::atomic<std::uint64_t> completed_requests{0};
  const TimePoint start = MonotonicNow() + kStartDelay;
  const WallTime start_wall = WallClockNow() + kStartDelay;
  std::vector<std::unique_ptr<LoadWorker>> workers;
  std::vector<std::jthread> threads;
  for (std::uint32_t worker_index = 0; worker_index < options.thread_count;
       ++worker_index) {
    workers.push_back(std::make_unique<LoadWorker>(options, worker_index, start,
                                                   completed_requests));
    threads.emplace_back(
        [&worker = *workers.back(), &arrivals] { worker.Run(arrivals); });
  }
  PrintProgress(completed_requests, arrivals.size());
  threads.clear();
  LoadRunResult run_result;
  run_result.start_wall_microseconds = start_wall.time_since_epoch().count();
  for (const auto& worker : workers) {
    run_result.results.insert(run_result.results.end(),
                              worker->results().begin(),
                              worker->results().end());
  }
  return run_result;
}

}  // namespace dogwood
