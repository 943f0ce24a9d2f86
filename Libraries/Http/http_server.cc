#include "Libraries/Http/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

namespace dogwood {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttpVersion = 11;  // HTTP/1.1 as Beast encodes it
// After a failed accept, most likely for lack of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

HttpRequest FromBeastRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> ToBeastResponse(HttpResponse response) {
  http::response<http::string_body> message;
  message.version(kHttpVersion);
  message.result(response.status);
  for (const auto& [name, value] : response.headers) message.set(name, value);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

}  // namespace

namespace {

// A connection that is being served.
struct OpenConnection {
  explicit OpenConnection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  bool is_handling = false;  // a request has arrived and has no response yet
};

}  // namespace

struct HttpServer::State {
  State(const asio::any_io_executor& executor, Options server_options,
        Handler request_handler)
      : acceptor(executor),
        options(server_options),
        handler(std::move(request_handler)) {}

  asio::ip::tcp::acceptor acceptor;
  Options options;
  Handler handler;
  // Open connections, the oldest first.
  std::list<OpenConnection*> connections;
  bool is_stopping = false;
};

namespace {

// Serves the requests of one connection until the client closes it, the idle
// timeout expires, a request is malformed or the server stops.
template <typename State>
asio::awaitable<void> ServeRequests(State& state, OpenConnection& connection) {
  beast::tcp_stream& stream = connection.stream;
  beast::error_code ignored_error;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored_error);
  beast::flat_buffer buffer{state.options.max_buffer_bytes};
  while (!state.is_stopping) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(state.options.body_limit_bytes);
    stream.expires_after(state.options.idle_timeout);
    const auto [read_error, read] =
        co_await http::async_read(stream, buffer, parser, kUseAwaitableTuple);
    http::response<http::string_body> message;
    bool should_close = false;
    if (read_error == http::error::body_limit) {
      message = ToBeastResponse(
          {.status = 413, .body = "the request body is too large\n"});
      should_close = true;
    } else if (read_error) {
      break;
    } else {
      should_close = !parser.get().keep_alive();
      stream.expires_never();
      const bool is_head_request = parser.get().method() == http::verb::head;
      connection.is_handling = true;
      HttpResponse response =
          co_await state.handler(FromBeastRequest(parser.release()));
      connection.is_handling = false;
      if (response.status == 0) break;
      message = ToBeastResponse(std::move(response));
      if (is_head_request) message.body().clear();
    }
    should_close = should_close || state.is_stopping;
    message.keep_alive(!should_close);
    stream.expires_after(state.options.idle_timeout);
    const auto [write_error, written] =
        co_await http::async_write(stream, message, kUseAwaitableTuple);
    if (write_error || should_close) break;
  }
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored_error);
}

template <typename State>
asio::awaitable<void> ServeConnection(std::shared_ptr<State> state,
                                      asio::ip::tcp::socket socket) {
  OpenConnection connection(std::move(socket));
  const auto entry =
      state->connections.insert(state->connections.end(), &connection);
  co_await ServeRequests(*state, connection);
  state->connections.erase(entry);
}

// Closes the oldest connections whose peers have to send or to read something
// while there are more than the limit.
template <typename State>
void CloseExcessConnections(State& state) {
  if (state.options.max_connections == 0) return;
  std::size_t excess =
      state.connections.size() -
      std::min(state.connections.size(), state.options.max_connections);
  for (OpenConnection* connection : state.connections) {
    if (excess == 0) return;
    if (connection->is_handling) continue;
    connection->stream.close();
    --excess;
  }
}

template <typename State>
asio::awaitable<void> AcceptConnections(std::shared_ptr<State> state) {
  while (!state->is_stopping) {
    auto [error, socket] =
        co_await state->acceptor.async_accept(kUseAwaitableTuple);
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      asio::steady_timer pause(state->acceptor.get_executor(),
                               kAcceptRetryDelay);
      co_await pause.async_wait(kUseAwaitableTuple);
      continue;
    }
    asio::co_spawn(state->acceptor.get_executor(),
                   ServeConnection(state, std::move(socket)), asio::detached);
    CloseExcessConnections(*state);
  }
}

}  // namespace

Result<HttpServer> HttpServer::Listen(const asio::any_io_executor& executor,
                                      const asio::ip::tcp::endpoint& endpoint,
                                      Options options, Handler handler) {
  auto state = std::make_shared<State>(executor, options, std::move(handler));
  boost::system::error_code error;
  state->acceptor.open(endpoint.protocol(), error);
  if (!error)
    state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) state->acceptor.bind(endpoint, error);
  if (!error)
    state->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(ErrorCode::kIo, "listen on " + endpoint.address().to_string() +
                                    ":" + std::to_string(endpoint.port()) +
                                    ": " + error.message());
  }
  asio::co_spawn(executor, AcceptConnections(state), asio::detached);
  return HttpServer(std::move(state));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : state_(std::move(state)) {}
HttpServer::~HttpServer() { Stop(); }
HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer& HttpServer::operator=(HttpServer&&) noexcept = default;

asio::ip::tcp::endpoint HttpServer::local_endpoint() const {
  return state_->acceptor.local_endpoint();
}

void HttpServer::Stop() {
  if (!state_ || state_->is_stopping) return;
  state_->is_stopping = true;
  boost::system::error_code ignored_error;
  state_->acceptor.close(ignored_error);
}

}  // namespace dogwood
