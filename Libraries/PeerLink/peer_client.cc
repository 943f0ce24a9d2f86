#include "Libraries/PeerLink/peer_client.h"

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>

#include "Libraries/PeerLink/http2_connection.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr int kStatusOk = 200;

// Type-erased completion handler, called at most once.
class Completion {
 public:
  virtual ~Completion() = default;
  // kPost is required while the operation is being initiated.
  enum class Mode { kDispatch, kPost };
  virtual void Complete(Result<PeerResponse> result, Mode mode) = 0;
};

template <typename Function>
class FunctionCompletion : public Completion {
 public:
  explicit FunctionCompletion(Function function)
      : function_(std::move(function)) {}

  void Complete(Result<PeerResponse> result, Mode mode) override {
    const auto executor = asio::get_associated_executor(function_);
    auto call = [function = std::move(function_),
                 result = std::move(result)]() mutable {
      function(std::move(result));
    };
    if (mode == Mode::kPost) {
      asio::post(executor, std::move(call));
    } else {
      asio::dispatch(executor, std::move(call));
    }
  }

 private:
  Function function_;
};

}  // namespace

struct PeerClient::State : std::enable_shared_from_this<PeerClient::State> {
  State(const asio::any_io_executor& given_executor,
        const asio::ip::tcp::endpoint& given_endpoint, Options given_options,
        std::shared_ptr<PeerTrafficCounters> given_counters)
      : executor(given_executor),
        endpoint(given_endpoint),
        options(std::move(given_options)),
        incarnation(std::to_string(options.self.incarnation.value())),
        version(std::to_string(options.self.version)),
        counters(std::move(given_counters)),
        deadline_timer(executor),
        connect_timer(executor),
        reconnect_delay(options.min_reconnect_delay) {}

  struct PendingCall {
    std::string path;
    std::vector<std::uint8_t> body;
    std::unique_ptr<Completion> completion;  // null for Send()
    // Connection that the call was submitted on, which may be draining.
    std::shared_ptr<Connection> connection;
    std::int32_t stream = 0;
  };

  void StartCall(std::string path, std::vector<std::uint8_t> body,
                 Duration timeout, std::unique_ptr<Completion> completion);
  void SubmitOrConnect(std::uint64_t id, Duration timeout);
  void Submit(std::uint64_t id, PendingCall& call);
  void Connect();
  void HandleConnected(asio::ip::tcp::socket socket);
  void HandleConnectFailure(const std::string& reason);
  void CompleteCall(std::uint64_t id, Result<PeerResponse> result);
  // Ids of the calls that wait for a connection, oldest first.
  std::vector<std::uint64_t> UnsubmittedCalls() const;
  void ArmDeadlineTimer();
  void FailExpiredCalls();
  void Close();

  using Deadline = std::pair<TimePoint, std::uint64_t>;

  asio::any_io_executor executor;
  asio::ip::tcp::endpoint endpoint;
  Options options;
  std::string incarnation;
  std::string version;
  std::shared_ptr<PeerTrafficCounters> counters;
  asio::steady_timer deadline_timer;
  asio::steady_timer connect_timer;
  Duration reconnect_delay;
  TimePoint next_connect_time{};
  TimePoint last_use_time{};
  TimePoint armed_deadline = TimePoint::max();
  std::uint64_t next_call_id = 1;
  bool is_starting_call = false;
  std::unordered_map<std::uint64_t, PendingCall> calls;
  // Includes calls that have ended, until their deadline.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
      deadlines;
  std::shared_ptr<Connection> connection;
  std::shared_ptr<asio::ip::tcp::socket> connecting_socket;
};

class PeerClient::Connection : public Http2Connection {
 public:
  Connection(asio::ip::tcp::socket socket, const Limits& limits,
             const std::shared_ptr<State>& state)
      : Http2Connection(std::move(socket), Role::kClient, limits,
                        state->counters),
        state_(state) {}

  std::optional<std::int32_t> Submit(const State& state, std::uint64_t call,
                                     std::string_view path,
                                     std::vector<std::uint8_t> body) {
    if (!has_queue_capacity(body.size())) return std::nullopt;
    const auto headers =
        std::to_array<Header>({{":method", "POST"},
                               {":scheme", "http"},
                               {":authority", "peer"},
                               {":path", path},
                               {"version", state.version},
                               {"sender", state.options.self.sender.value()},
                               {"incarnation", state.incarnation}});
    return SubmitRequest(headers, std::move(body), call);
  }
  using Http2Connection::is_sent;
  using Http2Connection::ResetStream;

 private:
  void OnMessage(Message message) override {
    const auto state = state_.lock();
    if (!state) return;
    const std::uint64_t call = message.call;
    state->CompleteCall(call, Parse(std::move(message)));
  }
  void OnStreamFailure(std::uint64_t call, StreamFailure failure) override {
    const auto state = state_.lock();
    if (!state) return;
    if (failure == StreamFailure::kNotProcessed) {
      state->CompleteCall(call, Fail(ErrorCode::kUnavailable,
                                     "the peer did not process the message"));
    } else {
      state->CompleteCall(
          call, Fail(ErrorCode::kOutcomeUnknown,
                     "the stream to the peer ended before its response"));
    }
  }
  void OnClosed() override {
    const auto state = state_.lock();
    if (state && state->connection.get() == this) state->connection.reset();
  }

  Result<PeerResponse> Parse(Message message) {
    if (message.is_too_large)
      return Fail(ErrorCode::kProtocol,
                  "the response of the peer is larger than " +
                      std::to_string(limits().max_message_bytes) + " bytes");
    if (message.sender != sender_ || message.incarnation != incarnation_ ||
        message.version != version_) {
      TRY_ASSIGN(envelope_, ParseEnvelope(message.version, message.sender,
                                          message.incarnation));
      sender_ = std::move(message.sender);
      incarnation_ = std::move(message.incarnation);
      version_ = std::move(message.version);
    }
    PeerResponse reply;
    reply.envelope = envelope_;
    TRY_ASSIGN(reply.body, DecodeBody(message.body));
    if (message.status != kStatusOk) return ErrorFromJson(reply.body);
    return reply;
  }

  std::weak_ptr<State> state_;
  PeerEnvelope envelope_;
  std::string sender_;
  std::string incarnation_;
  std::string version_;
};

void PeerClient::State::StartCall(std::string path,
                                  std::vector<std::uint8_t> body,
                                  Duration timeout,
                                  std::unique_ptr<Completion> completion) {
  const std::uint64_t id = next_call_id++;
  PendingCall& call = calls[id];
  call.path = std::move(path);
  call.body = std::move(body);
  call.completion = std::move(completion);
  is_starting_call = true;
  SubmitOrConnect(id, timeout);
  is_starting_call = false;
}

void PeerClient::State::SubmitOrConnect(std::uint64_t id, Duration timeout) {
  const TimePoint now = MonotonicNow();
  last_use_time = now;
  PendingCall& call = calls.at(id);
  if (call.body.size() > options.max_message_bytes)
    return CompleteCall(
        id, Fail(ErrorCode::kInvalidArgument,
                 "the message is larger than " +
                     std::to_string(options.max_message_bytes) + " bytes"));
  deadlines.emplace(now + timeout, id);
  ArmDeadlineTimer();
  // A draining connection stays alive until its calls have ended.
  if (connection && !connection->can_open_stream()) connection.reset();
  if (connection) return Submit(id, call);
  if (connecting_socket) return;
  if (now < next_connect_time)
    return CompleteCall(id,
                        Fail(ErrorCode::kUnavailable,
                             "the last attempt to connect to the peer failed, "
                             "waiting before the next one"));
  Connect();
}

void PeerClient::State::Submit(std::uint64_t id, PendingCall& call) {
  const auto stream =
      connection->Submit(*this, id, call.path, std::move(call.body));
  if (!stream)
    return CompleteCall(id, Fail(ErrorCode::kUnavailable,
                                 "the connection to the peer is draining or "
                                 "its send queue is full"));
  call.connection = connection;
  call.stream = *stream;
}

void PeerClient::State::Connect() {
  connecting_socket = std::make_shared<asio::ip::tcp::socket>(executor);
  connect_timer.expires_after(options.connect_timeout);
  connect_timer.async_wait(
      [self = shared_from_this(),
       socket = connecting_socket](const boost::system::error_code& error) {
        if (error || self->connecting_socket != socket) return;
        boost::system::error_code ignored;
        socket->close(ignored);
      });
  connecting_socket->async_connect(
      endpoint, [self = shared_from_this(), socket = connecting_socket](
                    const boost::system::error_code& error) {
        if (self->connecting_socket != socket) return;
        self->connecting_socket.reset();
        self->connect_timer.cancel();
        if (error || !socket->is_open())
          return self->HandleConnectFailure(error.message());
        self->HandleConnected(std::move(*socket));
      });
}

void PeerClient::State::HandleConnected(asio::ip::tcp::socket socket) {
  reconnect_delay = options.min_reconnect_delay;
  connection = std::make_shared<Connection>(
      std::move(socket),
      Http2Connection::Limits{.max_message_bytes = options.max_message_bytes,
                              .max_queued_bytes = options.max_queued_bytes},
      shared_from_this());
  connection->Start();
  for (const std::uint64_t id : UnsubmittedCalls()) {
    const auto found = calls.find(id);
    if (found != calls.end() && connection) Submit(id, found->second);
  }
}

void PeerClient::State::HandleConnectFailure(const std::string& reason) {
  next_connect_time = MonotonicNow() + reconnect_delay;
  reconnect_delay = std::min(reconnect_delay * 2, options.max_reconnect_delay);
  for (const std::uint64_t id : UnsubmittedCalls())
    CompleteCall(id, Fail(ErrorCode::kUnavailable,
                          "could not connect to the peer: " + reason));
}

std::vector<std::uint64_t> PeerClient::State::UnsubmittedCalls() const {
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, call] : calls) {
    if (!call.connection) waiting.push_back(id);
  }
  std::sort(waiting.begin(), waiting.end());
  return waiting;
}

void PeerClient::State::CompleteCall(std::uint64_t id,
                                     Result<PeerResponse> result) {
  const auto found = calls.find(id);
  if (found == calls.end()) return;
  const auto completion = std::move(found->second.completion);
  calls.erase(found);
  if (completion)
    completion->Complete(std::move(result), is_starting_call
                                                ? Completion::Mode::kPost
                                                : Completion::Mode::kDispatch);
}

void PeerClient::State::ArmDeadlineTimer() {
  if (deadlines.empty() || deadlines.top().first >= armed_deadline) return;
  armed_deadline = deadlines.top().first;
  deadline_timer.expires_at(armed_deadline);
  deadline_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error) return;
        self->armed_deadline = TimePoint::max();
        self->FailExpiredCalls();
        self->ArmDeadlineTimer();
      });
}

void PeerClient::State::FailExpiredCalls() {
  const TimePoint now = MonotonicNow();
  while (!deadlines.empty() && deadlines.top().first <= now) {
    const std::uint64_t id = deadlines.top().second;
    deadlines.pop();
    const auto found = calls.find(id);
    if (found == calls.end()) continue;
    const auto connection_of_call = found->second.connection;
    const std::int32_t stream = found->second.stream;
    if (connection_of_call && connection_of_call->is_sent(stream)) {
      connection_of_call->ResetStream(stream);
      CompleteCall(id, Fail(ErrorCode::kOutcomeUnknown,
                            "the peer did not respond before the deadline"));
    } else {
      if (connection_of_call) connection_of_call->ResetStream(stream);
      CompleteCall(id, Fail(ErrorCode::kUnavailable,
                            "the message was not sent before the deadline"));
    }
    if (connection_of_call &&
        now - connection_of_call->last_receive_time() > options.receive_timeout)
      connection_of_call->Close();
  }
}

void PeerClient::State::Close() {
  if (connecting_socket) {
    boost::system::error_code ignored;
    connecting_socket->close(ignored);
    connecting_socket.reset();
    connect_timer.cancel();
    HandleConnectFailure("closed");
  }
  std::set<std::shared_ptr<Connection>> open_connections;
  if (connection) open_connections.insert(connection);
  for (const auto& [id, call] : calls) {
    if (call.connection) open_connections.insert(call.connection);
  }
  for (const auto& open : open_connections) open->Close();
  deadlines = {};
  armed_deadline = TimePoint::max();
  deadline_timer.cancel();
}

PeerClient::PeerClient(const asio::any_io_executor& executor,
                       const asio::ip::tcp::endpoint& endpoint, Options options,
                       std::shared_ptr<PeerTrafficCounters> counters)
    : state_(std::make_shared<State>(executor, endpoint, std::move(options),
                                     std::move(counters))) {}
PeerClient::~PeerClient() {
  if (state_) Close();
}
PeerClient::PeerClient(PeerClient&&) noexcept = default;
PeerClient& PeerClient::operator=(PeerClient&&) noexcept = default;

asio::awaitable<Result<PeerResponse>> PeerClient::Call(
    std::string_view kind, const nlohmann::json& body, Duration timeout) {
  const auto state = state_;
  std::string path = "/v1/" + std::string(kind);
  std::vector<std::uint8_t> bytes = EncodeBody(body);
  co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                          void(Result<PeerResponse>)>(
      [&](auto handler) {
        state->StartCall(
            std::move(path), std::move(bytes), timeout,
            std::make_unique<FunctionCompletion<decltype(handler)>>(
                std::move(handler)));
      },
      asio::use_awaitable);
}

void PeerClient::Send(std::string_view kind, std::vector<std::uint8_t> body,
                      Duration timeout) {
  state_->StartCall("/v1/" + std::string(kind), std::move(body), timeout,
                    nullptr);
}

bool PeerClient::has_pending_calls() const { return !state_->calls.empty(); }
bool PeerClient::is_connected() const { return state_->connection != nullptr; }
TimePoint PeerClient::last_use_time() const { return state_->last_use_time; }

void PeerClient::AddTcpSegmentCounts(PeerTrafficCounters& counters) const {
  if (state_->connection) state_->connection->AddTcpSegmentCounts(counters);
}

void PeerClient::Close() { state_->Close(); }

}  // namespace dogwood
