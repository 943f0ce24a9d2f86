#include "Utilities/load/load_runner.h"

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

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
// How long a target that refused a connection is passed over, as a balancer's
// health check would.
constexpr auto kTargetPause = std::chrono::milliseconds(200);
// Added to the request's deadline before the caller gives up on the connection
// itself.
constexpr auto kAnswerGrace = std::chrono::seconds(5);

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

// One sending thread with its share of the arrivals.
class LoadWorker {
 public:
  LoadWorker(const LoadOptions& options, std::uint32_t number, TimePoint start,
             std::atomic<std::uint64_t>& finished)
      : options_(options),
        number_(number),
        start_(start),
        finished_(finished),
        random_(options.seed * 7919 + number),
        idle_(options.targets.size()),
        paused_until_(options.targets.size()) {}

  void Run(const std::vector<Arrival>& arrivals) {
    asio::co_spawn(context_, SendAll(arrivals), asio::detached);
    context_.run();
  }

  std::vector<LoadResult>& results() { return results_; }

 private:
  asio::awaitable<void> SendAll(const std::vector<Arrival>& arrivals) {
    asio::steady_timer timer(context_);
    for (std::size_t i = number_; i < arrivals.size(); i += options_.threads) {
      const TimePoint at = start_ + arrivals[i].at;
      if (at > MonotonicNow()) {
        timer.expires_at(at);
        co_await timer.async_wait(kUseTuple);
      }
      asio::co_spawn(context_, SendOne(arrivals[i], i), asio::detached);
    }
  }

  std::size_t ChooseTarget() {
    const TimePoint now = MonotonicNow();
    std::size_t choice = random_() % options_.targets.size();
    for (std::size_t tries = 0;
         tries < options_.targets.size() && paused_until_[choice] > now;
         ++tries) {
      choice = (choice + 1) % options_.targets.size();
    }
    return choice;
  }

  // An idle or new connection to a target that accepts one, or nullptr.
  asio::awaitable<std::unique_ptr<Connection>> Connect(std::size_t& target) {
    for (std::size_t tries = 0; tries < options_.targets.size(); ++tries) {
      target = ChooseTarget();
      if (!idle_[target].empty()) {
        std::unique_ptr<Connection> connection =
            std::move(idle_[target].back());
        idle_[target].pop_back();
        co_return connection;
      }
      auto connection = std::make_unique<Connection>(context_.get_executor());
      connection->stream.expires_after(std::chrono::seconds(1));
      const auto [error] = co_await connection->stream.async_connect(
          options_.targets[target], kUseTuple);
      if (!error) {
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
        co_return connection;
      }
      paused_until_[target] = MonotonicNow() + kTargetPause;
    }
    co_return nullptr;
  }

  http::request<http::string_body> MakeRequest(const LoadStream& stream,
                                               const Arrival& arrival,
                                               std::size_t index) const {
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(stream.method);
    request.target("/load/" + std::to_string(index));
    request.set(http::field::host, stream.service);
    request.set("Dogwood-Service", stream.service);
    if (!stream.party.empty()) request.set("Dogwood-Party", stream.party);
    request.set("Dogwood-Deadline-Ms",
                std::to_string(options_.deadline_milliseconds));
    request.set("Standin-Work-Us", std::to_string(arrival.work_microseconds));
    request.set("Standin-Response-Bytes",
                std::to_string(stream.response_bytes));
    if (stream.has_keys) {
      request.set("Idempotency-Key",
                  "load-" + std::to_string(options_.seed) + "-" +
                      std::to_string(start_.time_since_epoch().count()) + "-" +
                      std::to_string(index));
    }
    request.body().assign(stream.body_bytes, 'b');
    request.prepare_payload();
    return request;
  }

  asio::awaitable<LoadOutcome> Exchange(const LoadStream& stream,
                                        const Arrival& arrival,
                                        std::size_t index) {
    std::size_t target = 0;
    std::unique_ptr<Connection> connection = co_await Connect(target);
    if (!connection) co_return LoadOutcome::kFailed;
    const auto request = MakeRequest(stream, arrival, index);
    connection->stream.expires_after(
        std::chrono::milliseconds(options_.deadline_milliseconds) +
        kAnswerGrace);
    const auto [write_error, written] =
        co_await http::async_write(connection->stream, request, kUseTuple);
    if (write_error) co_return LoadOutcome::kFailed;
    http::response_parser<http::string_body> parser;
    const auto [read_error, read] = co_await http::async_read(
        connection->stream, connection->buffer, parser, kUseTuple);
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
      idle_[target].push_back(std::move(connection));
    }
    co_return result;
  }

  asio::awaitable<void> SendOne(Arrival arrival, std::size_t index) {
    const LoadStream& stream = options_.streams[arrival.stream];
    const LoadOutcome outcome = co_await Exchange(stream, arrival, index);
    const Duration taken = MonotonicNow() - (start_ + arrival.at);
    results_.push_back({arrival.stream, outcome, ToMilliseconds(taken),
                        std::chrono::duration<double>(arrival.at).count()});
    finished_.fetch_add(1, std::memory_order_relaxed);
  }

  const LoadOptions& options_;
  std::uint32_t number_;
  TimePoint start_;
  std::atomic<std::uint64_t>& finished_;
  asio::io_context context_{1};
  std::mt19937_64 random_;
  std::vector<std::vector<std::unique_ptr<Connection>>> idle_;  // by target
  std::vector<TimePoint> paused_until_;                         // by target
  std::vector<LoadResult> results_;
};

// Prints progress until all requests have ended.
void ShowProgress(const std::atomic<std::uint64_t>& finished,
                  std::uint64_t total) {
  while (finished.load(std::memory_order_relaxed) < total) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    std::fprintf(stderr, "dogwood-load: %llu of %llu requests ended\n",
                 static_cast<unsigned long long>(
                     finished.load(std::memory_order_relaxed)),
                 static_cast<unsigned long long>(total));
  }
}

}  // namespace

LoadRun RunLoad(const LoadOptions& options,
                const std::vector<Arrival>& arrivals) {
  std::atomic<std::uint64_t> finished{0};
  const TimePoint start = MonotonicNow() + std::chrono::milliseconds(100);
  const WallTime wall_start = WallNow() + std::chrono::milliseconds(100);
  std::vector<std::unique_ptr<LoadWorker>> workers;
  std::vector<std::jthread> threads;
  for (std::uint32_t number = 0; number < options.threads; ++number) {
    workers.push_back(
        std::make_unique<LoadWorker>(options, number, start, finished));
    threads.emplace_back(
        [&worker = *workers.back(), &arrivals] { worker.Run(arrivals); });
  }
  ShowProgress(finished, arrivals.size());
  threads.clear();
  LoadRun run;
  run.start = wall_start.time_since_epoch().count();
  for (const auto& worker : workers) {
    run.results.insert(run.results.end(), worker->results().begin(),
                       worker->results().end());
  }
  return run;
}

}  // namespace dogwood
