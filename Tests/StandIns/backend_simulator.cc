#include "Tests/StandIns/backend_simulator.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

namespace dogwood {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::experimental::awaitable_operators::operator||;
using Tcp = asio::ip::tcp;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

std::int64_t WallMicroseconds() {
  return WallClockNow().time_since_epoch().count();
}

std::int64_t ParseInteger(beast::string_view text, std::int64_t fallback) {
  std::int64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Reads and discards the body. Returns false if the client disconnects or the
// framing is invalid.
asio::awaitable<bool> DiscardBody(
    Tcp::socket& socket, beast::flat_buffer& buffer,
    http::request_parser<http::buffer_body>& parser) {
  std::vector<char> chunk(kChunkBytes);
  while (!parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    const auto [error, read] = co_await http::async_read_some(
        socket, buffer, parser, kUseAwaitableTuple);
    if (error && error != http::error::need_buffer) co_return false;
  }
  co_return true;
}

// Waits until `end_of_work`, a wall time in microseconds. Returns false if the
// peer closes the connection earlier.
asio::awaitable<bool> WaitUnlessClosed(Tcp::socket& socket,
                                       std::int64_t end_of_work) {
  asio::steady_timer timer(socket.get_executor());
  timer.expires_after(
      std::chrono::microseconds(end_of_work - WallMicroseconds()));
  const auto ended =
      co_await (timer.async_wait(kUseAwaitableTuple) ||
                socket.async_wait(Tcp::socket::wait_read, kUseAwaitableTuple));
  if (ended.index() == 0) co_return true;
  boost::system::error_code error;
  if (socket.available(error) == 0) co_return false;
  // The peer pipelined another request, which has to wait for this one.
  timer.expires_after(
      std::chrono::microseconds(end_of_work - WallMicroseconds()));
  co_await timer.async_wait(kUseAwaitableTuple);
  co_return true;
}

}  // namespace

struct BackendSimulator::Server {
  Server(asio::io_context& context, BackendServerModel::Options options)
      : model(std::move(options)), acceptor(context) {}

  BackendServerModel model;
  Tcp::acceptor acceptor;
  std::set<Tcp::socket*> connections;

  // Simulates a crash: closes all connections without a response.
  void CloseConnections() {
    for (Tcp::socket* socket : connections) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  }
};

BackendSimulator::BackendSimulator(asio::io_context& context, Options options)
    : context_(context), options_(std::move(options)) {
  for (std::uint32_t i = 0; i < options_.count; ++i) {
    BackendServerModel::Options server = options_.server;
    server.name += "-" + std::to_string(i + 1);
    server.index += i;
    servers_.push_back(std::make_unique<Server>(context_, std::move(server)));
  }
}

BackendSimulator::~BackendSimulator() = default;

BackendServerModel& BackendSimulator::server(std::size_t index) {
  return servers_.at(index)->model;
}

Result<void> BackendSimulator::Start() {
  for (std::uint32_t i = 0; i < options_.count; ++i) {
    TRY(Listen(*servers_[i], i));
    asio::co_spawn(context_, Accept(*servers_[i]), asio::detached);
  }
  TRY_ASSIGN(control_, HttpServer::Listen(
                           context_.get_executor(), options_.control_endpoint,
                           {}, [this](HttpRequest request) {
                             return HandleControl(std::move(request));
                           }));
  return outcome::success();
}

Result<void> BackendSimulator::Listen(Server& server, std::uint32_t index) {
  Tcp::endpoint endpoint = options_.first_endpoint;
  endpoint.port(static_cast<unsigned short>(endpoint.port() + index));
  boost::system::error_code error;
  server.acceptor.open(endpoint.protocol(), error);
  if (!error)
    server.acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) server.acceptor.bind(endpoint, error);
  if (!error)
    server.acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return Fail(ErrorCode::kIo,
                server.model.options().name + ": " + error.message());
  return outcome::success();
}

asio::awaitable<void> BackendSimulator::Accept(Server& server) {
  while (true) {
    auto [error, socket] =
        co_await server.acceptor.async_accept(kUseAwaitableTuple);
    if (error == asio::error::operation_aborted) co_return;
    if (error || server.model.is_down(WallMicroseconds()) ||
        server.connections.size() >= options_.connection_limit) {
      boost::system::error_code ignored;
      // Close with a reset, as the kernel does for a terminated process.
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      continue;
    }
    socket.set_option(Tcp::no_delay(true));
    asio::co_spawn(context_, Serve(server, std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> BackendSimulator::Serve(Server& server,
                                              Tcp::socket socket) {
  server.connections.insert(&socket);
  beast::flat_buffer buffer;
  BackendServerModel& model = server.model;
  while (true) {
    http::request_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    const auto [error, read] = co_await http::async_read_header(
        socket, buffer, parser, kUseAwaitableTuple);
    if (error) break;
    const auto& request = parser.get();
    const std::string fault(request["Standin-Fault"]);
    http::response<http::string_body> response;
    response.version(11);
    response.set("Dogwood-Start-Id", model.start_id());
    if (request.target() == "/health" || request.target() == "/load") {
      model.CountProbe();
      response.set("Dogwood-In-Work", std::to_string(model.active_requests()));
      response.body() = nlohmann::json{
          {"in_work", model.active_requests()},
          {"state", "ok"}}.dump();
    } else {
      const std::string request_id(request["Dogwood-Request-Id"]);
      const std::uint64_t generation = model.generation();
      const Admission admission =
          model.Admit(WallMicroseconds(), fault == "crash",
                      {request_id, std::string(request["Idempotency-Key"]),
                       std::string(request["Dogwood-Party"])});
      if (admission == Admission::kCrash) {
        server.CloseConnections();
        break;
      }
      if (admission == Admission::kShed) {
        response.result(http::status::service_unavailable);
        response.set("Dogwood-Shed", "not-run");
        if (!co_await DiscardBody(socket, buffer, parser)) break;
      } else {
        const std::int64_t work_microseconds = ParseInteger(
            request["Standin-Work-Us"], options_.default_work_duration.count());
        const std::int64_t end_of_work = model.ScheduleWork(
            WallMicroseconds(), static_cast<double>(work_microseconds));
        const bool is_complete = co_await DiscardBody(socket, buffer, parser) &&
                                 co_await WaitUnlessClosed(socket, end_of_work);
        if (model.generation() != generation) break;  // the server crashed
        if (!is_complete) {
          model.Cancel();
          break;
        }
        model.Finish(WallMicroseconds());
        response.set("Dogwood-Request-Id",
                     fault == "crossed" ? "another-request" : request_id);
        response.set("Dogwood-In-Work",
                     std::to_string(model.active_requests()));
        const auto size = static_cast<std::size_t>(
            ParseInteger(request["Standin-Response-Bytes"], 0));
        response.body() = request_id + "\n" + std::string(size, 'x');
      }
    }
    response.prepare_payload();
    response.keep_alive(parser.get().keep_alive());
    if (request.method() == http::verb::head) response.body().clear();
    // Announce more bytes than are sent.
    constexpr std::size_t kMissingBytes = 100;
    if (fault == "truncated")
      response.content_length(response.body().size() + kMissingBytes);
    const auto [write_error, written] =
        co_await http::async_write(socket, response, kUseAwaitableTuple);
    if (write_error || fault == "truncated" || !response.keep_alive()) break;
  }
  server.connections.erase(&socket);
}

asio::awaitable<HttpResponse> BackendSimulator::HandleControl(
    HttpRequest request) {
  const std::string_view path = TargetPath(request.target);
  if (path == "/stats") co_return HttpResponse{.body = StatisticsJson()};
  if (path == "/runs") co_return HttpResponse{.body = RunsText()};
  if (path == "/control" && request.method == "POST")
    co_return ApplyAction(request);
  co_return HttpResponse{.status = 404, .body = "no such path\n"};
}

HttpResponse BackendSimulator::ApplyAction(const HttpRequest& request) {
  const std::string action =
      FindQueryParameter(request.target, "action").value_or("");
  if (action == "reset") {
    for (const auto& server : servers_) server->model.ResetStatistics();
    return {.body = "ok\n"};
  }
  const std::string number =
      FindQueryParameter(request.target, "server").value_or("0");
  const std::int64_t index = ParseInteger(number, -1);
  if (index < 0 || static_cast<std::size_t>(index) >= servers_.size()) {
    return {.status = 400,
            .body = "server must be an index below " +
                    std::to_string(servers_.size()) + "\n"};
  }
  Server& server = *servers_[static_cast<std::size_t>(index)];
  if (action == "cold") {
    server.model.BeginColdStart();
  } else if (action == "crash") {
    server.model.Crash(WallMicroseconds());
    server.CloseConnections();
  } else if (action == "drain" || action == "undrain") {
    server.model.set_draining(action == "drain");
  } else {
    return {.status = 400,
            .body = "action must be cold, crash, drain, undrain or reset\n"};
  }
  return {.body = "ok\n"};
}

std::string BackendSimulator::StatisticsJson() const {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& server : servers_) {
    const BackendServerModel::Statistics& statistics =
        server->model.statistics();
    rows.push_back(
        {{"server", server->model.options().name},
         {"runs", statistics.runs},
         {"probes", statistics.probes},
         {"shed", statistics.shed},
         {"crashes", statistics.crashes},
         {"cancelled", statistics.cancelled},
         {"in_work", server->model.active_requests()},
         {"is_cold", server->model.is_cold()},
         {"connections", server->connections.size()},
         {"max_in_work", statistics.max_active_requests},
         {"max_in_work_cold", statistics.max_active_requests_while_cold},
         {"last_start_of_work", statistics.last_request_start}});
  }
  return rows.dump() + "\n";
}

std::string BackendSimulator::RunsText() const {
  std::string text;
  for (const auto& server : servers_) {
    for (const RunRecord& record : server->model.records()) {
      text += server->model.options().name + " " + record.request_id + " " +
              (record.idempotency_key.empty() ? "-" : record.idempotency_key) +
              " " +
              (record.client_account.empty() ? "-" : record.client_account) +
              "\n";
    }
  }
  return text;
}

}  // namespace dogwood
