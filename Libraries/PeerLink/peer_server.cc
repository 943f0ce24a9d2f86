#include "Libraries/PeerLink/peer_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

#include "Libraries/PeerLink/http2_connection.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kPathPrefix = "/v1/";
constexpr Duration kIdleCheckPeriod = std::chrono::seconds(30);
// Delay after a failed accept, for example when no file descriptor is left.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

std::string_view HttpStatusOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kProtocol:
      return "400";
    case ErrorCode::kNotFound:
      return "404";
    default:
      return "500";
  }
}

}  // namespace

struct PeerServer::State : std::enable_shared_from_this<PeerServer::State> {
  State(const asio::any_io_executor& executor, Options given_options,
        Handler given_handler,
        std::shared_ptr<PeerTrafficCounters> given_counters)
      : acceptor(executor),
        timer(executor),
        options(std::move(given_options)),
        incarnation(std::to_string(options.self.incarnation.value())),
        version(std::to_string(options.self.version)),
        handler(std::move(given_handler)),
        counters(std::move(given_counters)) {}

  void Accept();
  void CloseIdleConnections();

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer timer;
  Options options;
  std::string incarnation;
  std::string version;
  Handler handler;
  std::shared_ptr<PeerTrafficCounters> counters;
  // Each connection is kept alive by its read operation and removes itself.
  std::set<Connection*> connections;
  bool is_stopping = false;
};

class PeerServer::Connection : public Http2Connection {
 public:
  Connection(asio::ip::tcp::socket socket, std::shared_ptr<State> state)
      : Http2Connection(
            std::move(socket), Role::kServer,
            {.max_message_bytes = state->options.max_message_bytes,
             .max_concurrent_streams = state->options.max_concurrent_streams},
            state->counters),
        state_(std::move(state)) {
    state_->connections.insert(this);
  }
  // An io_context that is destroyed drops the connection without OnClosed().
  ~Connection() override { state_->connections.erase(this); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

 private:
  void OnMessage(Message message) override {
    const std::int32_t stream = message.stream;
    Result<PeerRequest> request = Parse(std::move(message));
    if (request.has_error()) return Respond(stream, request.error());
    asio::co_spawn(executor(),
                   Run(std::static_pointer_cast<Connection>(shared_from_this()),
                       stream, std::move(request).value()),
                   asio::detached);
  }
  void OnStreamFailure(std::uint64_t, StreamFailure) override {}
  void OnClosed() override { state_->connections.erase(this); }

  static asio::awaitable<void> Run(std::shared_ptr<Connection> self,
                                   std::int32_t stream, PeerRequest request) {
    self->Respond(stream, co_await self->state_->handler(std::move(request)));
  }

  Result<PeerRequest> Parse(Message message) {
    if (message.is_too_large)
      return Fail(ErrorCode::kInvalidArgument,
                  "the message is larger than " +
                      std::to_string(limits().max_message_bytes) + " bytes");
    if (message.method != "POST" || !message.path.starts_with(kPathPrefix) ||
        message.path.size() == kPathPrefix.size())
      return Fail(ErrorCode::kProtocol, "not a POST to /v1/KIND");
    // Parsed only on a change, since all messages of a connection usually have
    // the same envelope.
    if (message.sender != sender_ || message.incarnation != incarnation_ ||
        message.version != version_) {
      TRY_ASSIGN(envelope_, ParseEnvelope(message.version, message.sender,
                                          message.incarnation));
      sender_ = std::move(message.sender);
      incarnation_ = std::move(message.incarnation);
      version_ = std::move(message.version);
    }
    PeerRequest request;
    request.envelope = envelope_;
    message.path.erase(0, kPathPrefix.size());
    request.kind = std::move(message.path);
    TRY_ASSIGN(request.body, DecodeBody(message.body));
    return request;
  }

  void Respond(std::int32_t stream, const Result<nlohmann::json>& result) {
    if (result.has_error()) return Respond(stream, result.error());
    std::vector<std::uint8_t> body = EncodeBody(result.value());
    if (body.size() > limits().max_message_bytes)
      return Respond(stream,
                     Error{ErrorCode::kInvalidArgument,
                           "the response has " + std::to_string(body.size()) +
                               " bytes, allowed are " +
                               std::to_string(limits().max_message_bytes)});
    Submit(stream, "200", std::move(body));
  }

  void Respond(std::int32_t stream, const Error& error) {
    Submit(stream, HttpStatusOf(error), EncodeBody(ErrorToJson(error)));
  }

  void Submit(std::int32_t stream, std::string_view status,
              std::vector<std::uint8_t> body) {
    const auto headers =
        std::to_array<Header>({{":status", status},
                               {"version", state_->version},
                               {"sender", state_->options.self.sender.value()},
                               {"incarnation", state_->incarnation}});
    SubmitResponse(stream, headers, std::move(body));
  }

  std::shared_ptr<State> state_;  // outlives the server, see peer_server.h
  PeerEnvelope envelope_;
  std::string sender_;
  std::string incarnation_;
  std::string version_;
};

void PeerServer::State::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  asio::ip::tcp::socket socket) {
        if (self->is_stopping || error == asio::error::operation_aborted)
          return;
        if (error) {
          self->timer.expires_after(kAcceptRetryDelay);
          self->timer.async_wait([self](const boost::system::error_code&) {
            if (self->is_stopping) return;
            self->Accept();
            self->CloseIdleConnections();
          });
          return;
        }
        if (self->connections.size() < self->options.max_connections) {
          const auto connection =
              std::make_shared<Connection>(std::move(socket), self);
          connection->Start();
        }
        self->Accept();
      });
}

void PeerServer::State::CloseIdleConnections() {
  timer.expires_after(kIdleCheckPeriod);
  timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->is_stopping) return;
        const TimePoint oldest = MonotonicNow() - self->options.idle_timeout;
        const auto connections = self->connections;
        for (Connection* const connection : connections) {
          if (connection->last_receive_time() < oldest) connection->Close();
        }
        self->CloseIdleConnections();
      });
}

Result<PeerServer> PeerServer::Listen(
    const asio::any_io_executor& executor,
    const asio::ip::tcp::endpoint& endpoint, Options options, Handler handler,
    std::shared_ptr<PeerTrafficCounters> counters) {
  auto state = std::make_shared<State>(executor, std::move(options),
                                       std::move(handler), std::move(counters));
  boost::system::error_code error;
  state->acceptor.open(endpoint.protocol(), error);
  if (!error)
    state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) state->acceptor.bind(endpoint, error);
  if (!error)
    state->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(ErrorCode::kIo,
                "could not listen on " + endpoint.address().to_string() + ":" +
                    std::to_string(endpoint.port()) + ": " + error.message());
  }
  state->Accept();
  state->CloseIdleConnections();
  return PeerServer(std::move(state));
}

PeerServer::PeerServer(std::shared_ptr<State> state)
    : state_(std::move(state)) {}
PeerServer::~PeerServer() { Stop(); }
PeerServer::PeerServer(PeerServer&&) noexcept = default;
PeerServer& PeerServer::operator=(PeerServer&&) noexcept = default;

asio::ip::tcp::endpoint PeerServer::local_endpoint() const {
  boost::system::error_code ignored;
  return state_->acceptor.local_endpoint(ignored);
}

std::size_t PeerServer::connection_count() const {
  return state_->connections.size();
}

void PeerServer::AddTcpSegmentCounts(PeerTrafficCounters& counters) const {
  for (Connection* const connection : state_->connections)
    connection->AddTcpSegmentCounts(counters);
}

void PeerServer::Stop() {
  if (!state_ || state_->is_stopping) return;
  state_->is_stopping = true;
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
  state_->timer.cancel();
  for (Connection* const connection : state_->connections) connection->Drain();
}

}  // namespace dogwood
