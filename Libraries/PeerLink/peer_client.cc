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
  // kPost is for results known while the operation is still being started.
  enum class Mode { kDispatch, kPost };
  virtual void Complete(Result<PeerReply> result, Mode mode) = 0;
};

template <typename Function>
class CompletionOf : public Completion {
 public:
  explicit CompletionOf(Function function) : function_(std::move(function)) {}

  void Complete(Result<PeerReply> result, Mode mode) override {
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
        std::shared_ptr<LinkCounters> given_counters)
      : executor(given_executor),
        endpoint(given_endpoint),
        options(std::move(given_options)),
        incarnation(std::to_string(options.self.incarnation.value())),
        version(std::to_string(options.self.version)),
        counters(std::move(given_counters)),
        deadline_timer(executor),
        connect_timer(executor),
        pause(options.shortest_pause) {}

  struct OpenCall {
    std::string path;
    std::vector<std::uint8_t> body;
    std::unique_ptr<Completion> completion;  // empty when nobody waits
    // Where the call was submitted; a draining connection keeps its calls.
    std::shared_ptr<Connection> connection;
    std::int32_t stream = 0;
  };

  void Begin(std::string path, std::vector<std::uint8_t> body, Duration timeout,
             std::unique_ptr<Completion> completion);
  void Start(std::uint64_t id, Duration timeout);
  void Submit(std::uint64_t id, OpenCall& call);
  void Connect();
  void HandleConnected(asio::ip::tcp::socket socket);
  void HandleConnectFailure(const std::string& reason);
  void Finish(std::uint64_t id, Result<PeerReply> result);
  // Calls that wait for a connection, in the order of their begin.
  std::vector<std::uint64_t> WaitingCalls() const;
  void ArmDeadline();
  void ExpireDeadlines();
  void Close();

  using Deadline = std::pair<TimePoint, std::uint64_t>;

  asio::any_io_executor executor;
  asio::ip::tcp::endpoint endpoint;
  Options options;
  std::string incarnation;
  std::string version;
  std::shared_ptr<LinkCounters> counters;
  asio::steady_timer deadline_timer;
  asio::steady_timer connect_timer;
  Duration pause;
  TimePoint next_attempt{};
  TimePoint newest_use{};
  TimePoint armed_for = TimePoint::max();
  std::uint64_t next_call = 1;
  bool is_starting = false;
  std::unordered_map<std::uint64_t, OpenCall> calls;
  // Calls that ended are left in here until their time comes.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
      deadlines;
  std::shared_ptr<Connection> connection;
  std::shared_ptr<asio::ip::tcp::socket> connecting;
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
    if (!has_room(body.size())) return std::nullopt;
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
    state->Finish(call, Parse(std::move(message)));
  }
  void OnLoss(std::uint64_t call, Loss loss) override {
    const auto state = state_.lock();
    if (!state) return;
    if (loss == Loss::kNotSent) {
      state->Finish(call, Fail(ErrorCode::kUnavailable,
                               "the connection to the peer was lost"));
    } else {
      state->Finish(call, Fail(ErrorCode::kOutcomeUnknown,
                               "the peer's response was lost"));
    }
  }
  void OnClosed() override {
    const auto state = state_.lock();
    if (state && state->connection.get() == this) state->connection.reset();
  }

  Result<PeerReply> Parse(Message message) {
    if (message.is_too_large)
      return Fail(ErrorCode::kProtocol, "the peer's response is too large");
    if (message.sender != sender_ || message.incarnation != incarnation_ ||
        message.version != version_) {
      TRY_ASSIGN(envelope_, ParseEnvelope(message.version, message.sender,
                                          message.incarnation));
      sender_ = std::move(message.sender);
      incarnation_ = std::move(message.incarnation);
      version_ = std::move(message.version);
    }
    PeerReply reply;
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

void PeerClient::State::Begin(std::string path, std::vector<std::uint8_t> body,
                              Duration timeout,
                              std::unique_ptr<Completion> completion) {
  const std::uint64_t id = next_call++;
  OpenCall& call = calls[id];
  call.path = std::move(path);
  call.body = std::move(body);
  call.completion = std::move(completion);
  is_starting = true;
  Start(id, timeout);
  is_starting = false;
}

void PeerClient::State::Start(std::uint64_t id, Duration timeout) {
  const TimePoint now = MonotonicNow();
  newest_use = now;
  OpenCall& call = calls.at(id);
  if (call.body.size() > options.message_bytes)
    return Finish(id,
                  Fail(ErrorCode::kInvalidArgument,
                       "the message is larger than " +
                           std::to_string(options.message_bytes) + " bytes"));
  deadlines.emplace(now + timeout, id);
  ArmDeadline();
  // A draining connection finishes its calls on its own.
  if (connection && !connection->can_open_stream()) connection.reset();
  if (connection) return Submit(id, call);
  if (connecting) return;
  if (now < next_attempt)
    return Finish(id, Fail(ErrorCode::kUnavailable,
                           "the peer was not reachable a moment ago"));
  Connect();
}

void PeerClient::State::Submit(std::uint64_t id, OpenCall& call) {
  const auto stream =
      connection->Submit(*this, id, call.path, std::move(call.body));
  if (!stream)
    return Finish(id, Fail(ErrorCode::kUnavailable,
                           "the connection to the peer is full or draining"));
  call.connection = connection;
  call.stream = *stream;
}

void PeerClient::State::Connect() {
  connecting = std::make_shared<asio::ip::tcp::socket>(executor);
  connect_timer.expires_after(options.connect_timeout);
  connect_timer.async_wait([self = shared_from_this(), socket = connecting](
                               const boost::system::error_code& error) {
    if (error || self->connecting != socket) return;
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  connecting->async_connect(
      endpoint, [self = shared_from_this(),
                 socket = connecting](const boost::system::error_code& error) {
        if (self->connecting != socket) return;
        self->connecting.reset();
        self->connect_timer.cancel();
        if (error || !socket->is_open())
          return self->HandleConnectFailure(error.message());
        self->HandleConnected(std::move(*socket));
      });
}

void PeerClient::State::HandleConnected(asio::ip::tcp::socket socket) {
  pause = options.shortest_pause;
  connection = std::make_shared<Connection>(
      std::move(socket),
      Http2Connection::Limits{.message_bytes = options.message_bytes,
                              .queued_bytes = options.queued_bytes},
      shared_from_this());
  connection->Start();
  for (const std::uint64_t id : WaitingCalls()) {
    const auto found = calls.find(id);
    if (found != calls.end() && connection) Submit(id, found->second);
  }
}

void PeerClient::State::HandleConnectFailure(const std::string& reason) {
  next_attempt = MonotonicNow() + pause;
  pause = std::min(pause * 2, options.longest_pause);
  for (const std::uint64_t id : WaitingCalls())
    Finish(id, Fail(ErrorCode::kUnavailable, "connect to the peer: " + reason));
}

std::vector<std::uint64_t> PeerClient::State::WaitingCalls() const {
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, call] : calls) {
    if (!call.connection) waiting.push_back(id);
  }
  std::sort(waiting.begin(), waiting.end());
  return waiting;
}

void PeerClient::State::Finish(std::uint64_t id, Result<PeerReply> result) {
  const auto found = calls.find(id);
  if (found == calls.end()) return;
  const auto completion = std::move(found->second.completion);
  calls.erase(found);
  if (completion)
    completion->Complete(std::move(result), is_starting
                                                ? Completion::Mode::kPost
                                                : Completion::Mode::kDispatch);
}

void PeerClient::State::ArmDeadline() {
  if (deadlines.empty() || deadlines.top().first >= armed_for) return;
  armed_for = deadlines.top().first;
  deadline_timer.expires_at(armed_for);
  deadline_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error) return;
        self->armed_for = TimePoint::max();
        self->ExpireDeadlines();
        self->ArmDeadline();
      });
}

void PeerClient::State::ExpireDeadlines() {
  const TimePoint now = MonotonicNow();
  while (!deadlines.empty() && deadlines.top().first <= now) {
    const std::uint64_t id = deadlines.top().second;
    deadlines.pop();
    const auto found = calls.find(id);
    if (found == calls.end()) continue;
    const auto used = found->second.connection;
    const std::int32_t stream = found->second.stream;
    if (used && used->is_sent(stream)) {
      used->ResetStream(stream);
      Finish(id, Fail(ErrorCode::kOutcomeUnknown,
                      "the peer did not answer in time"));
    } else {
      if (used) used->ResetStream(stream);
      Finish(id,
             Fail(ErrorCode::kUnavailable, "the message was not sent in time"));
    }
    if (used && now - used->newest_receipt() > options.silence_limit)
      used->Close();
  }
}

void PeerClient::State::Close() {
  if (connecting) {
    boost::system::error_code ignored;
    connecting->close(ignored);
    connecting.reset();
    connect_timer.cancel();
    HandleConnectFailure("closed");
  }
  std::set<std::shared_ptr<Connection>> used;
  if (connection) used.insert(connection);
  for (const auto& [id, call] : calls) {
    if (call.connection) used.insert(call.connection);
  }
  for (const auto& open : used) open->Close();
  deadlines = {};
  armed_for = TimePoint::max();
  deadline_timer.cancel();
}

PeerClient::PeerClient(const asio::any_io_executor& executor,
                       const asio::ip::tcp::endpoint& endpoint, Options options,
                       std::shared_ptr<LinkCounters> counters)
    : state_(std::make_shared<State>(executor, endpoint, std::move(options),
                                     std::move(counters))) {}
PeerClient::~PeerClient() {
  if (state_) Close();
}
PeerClient::PeerClient(PeerClient&&) noexcept = default;
PeerClient& PeerClient::operator=(PeerClient&&) noexcept = default;

asio::awaitable<Result<PeerReply>> PeerClient::Call(std::string_view kind,
                                                    const nlohmann::json& body,
                                                    Duration timeout) {
  const auto state = state_;
  std::string path = "/v1/" + std::string(kind);
  std::vector<std::uint8_t> bytes = EncodeBody(body);
  co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                          void(Result<PeerReply>)>(
      [&](auto handler) {
        state->Begin(std::move(path), std::move(bytes), timeout,
                     std::make_unique<CompletionOf<decltype(handler)>>(
                         std::move(handler)));
      },
      asio::use_awaitable);
}

void PeerClient::Send(std::string_view kind, std::vector<std::uint8_t> body,
                      Duration timeout) {
  state_->Begin("/v1/" + std::string(kind), std::move(body), timeout, nullptr);
}

bool PeerClient::has_open_calls() const { return !state_->calls.empty(); }
bool PeerClient::is_connected() const { return state_->connection != nullptr; }
TimePoint PeerClient::newest_use() const { return state_->newest_use; }

void PeerClient::AddSegments(LinkCounters& counters) const {
  if (state_->connection) state_->connection->AddSegments(counters);
}

void PeerClient::Close() { state_->Close(); }

}  // namespace dogwood
