#include "Services/Entry/peer_node.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <random>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

constexpr const char* kPingKind = "ping";
constexpr const char* kPingRequestKind = "ping-request";
// One letter, because it is sent with every ping.
constexpr const char* kPiggybackField = "p";
constexpr const char* kAnsweredField = "answered";
constexpr Duration kIdleSweepInterval = std::chrono::seconds(10);
// An unconnected client is kept this long to preserve its reconnect backoff.
constexpr Duration kUnconnectedIdleTimeout = std::chrono::seconds(30);
constexpr Duration kContactRetryDelay = std::chrono::seconds(1);
constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

std::optional<tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view address = text.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']')
    address = address.substr(1, address.size() - 2);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [rest, parse_error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parse_error != std::errc{} || rest != digits.data() + digits.size())
    return std::nullopt;
  boost::system::error_code error;
  const auto parsed = asio::ip::make_address(std::string(address), error);
  if (error) return std::nullopt;
  return tcp::endpoint(parsed, port);
}

std::string FormatEndpoint(const tcp::endpoint& endpoint) {
  const std::string address = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  if (endpoint.address().is_v6()) return "[" + address + "]:" + port;
  return address + ":" + port;
}

PeerEnvelope MakeEnvelope(const HostId& host, Incarnation incarnation) {
  return {.sender = host, .incarnation = incarnation};
}

// Lets a coroutine wait for a number of others to finish.
class CompletionCounter {
 public:
  CompletionCounter(const asio::any_io_executor& executor,
                    std::size_t expected_count)
      : timer_(executor, TimePoint::max()), pending_count_(expected_count) {}

  void CountOne() {
    if (--pending_count_ == 0) timer_.cancel();
  }
  void Finish() {
    pending_count_ = 0;
    timer_.cancel();
  }
  bool is_pending() const { return pending_count_ > 0; }
  asio::awaitable<void> Wait() {
    if (pending_count_ > 0) co_await timer_.async_wait(kUseAwaitableTuple);
  }

 private:
  asio::steady_timer timer_;
  std::size_t pending_count_;
};

}  // namespace

Result<std::unique_ptr<PeerNode>> PeerNode::Start(
    const asio::any_io_executor& executor, Options options) {
  auto counters = std::make_shared<PeerTrafficCounters>();
  // The server needs a handler before the node exists, which in turn needs
  // the bound port.
  const auto target = std::make_shared<PeerNode*>(nullptr);
  const PeerEnvelope self = MakeEnvelope(options.host, options.incarnation);
  TRY_ASSIGN(PeerServer server,
             PeerServer::Listen(
                 executor, options.listen, {.self = self},
                 [target](PeerRequest request) {
                   return (*target)->HandleRequest(std::move(request));
                 },
                 counters));
  std::string peer_address = options.peer_address;
  if (peer_address.empty())
    peer_address = FormatEndpoint(server.local_endpoint());
  std::unique_ptr<PeerNode> node(
      new PeerNode(executor, std::move(options), std::move(peer_address)));
  node->traffic_counters_ = std::move(counters);
  node->server_.emplace(std::move(server));
  *target = node.get();
  asio::co_spawn(executor, node->RunContactLoop(), asio::detached);
  asio::co_spawn(executor, node->RunPingLoop(), asio::detached);
  asio::co_spawn(executor, node->RunIdleSweepLoop(), asio::detached);
  return node;
}

PeerNode::PeerNode(const asio::any_io_executor& executor, Options options,
                   std::string peer_address)
    : executor_(executor),
      options_(std::move(options)),
      member_table_({.host = options_.host,
                     .zone = options_.zone,
                     .peer_address = std::move(peer_address),
                     .incarnation = options_.incarnation},
                    options_.table),
      random_(options_.random_seed != 0 ? options_.random_seed
                                        : std::random_device{}()) {}

PeerNode::~PeerNode() { Stop(); }

void PeerNode::AddMemberListener(MemberListener listener) {
  member_listeners_.push_back(std::move(listener));
}

void PeerNode::Handle(std::string kind, Handler handler) {
  handlers_[std::move(kind)] = std::move(handler);
}

void PeerNode::AddPiggyback(std::string name, PiggybackSource source,
                            PiggybackSink sink) {
  piggybacks_[std::move(name)] = {std::move(source), std::move(sink)};
}

asio::awaitable<Result<json>> PeerNode::Call(HostId to, std::string kind,
                                             json body, Duration timeout) {
  const MemberRecord* const record = member_table_.FindRecord(to);
  if (record == nullptr)
    co_return Fail(ErrorCode::kUnavailable,
                   "host " + to.value() + " is no member");
  PeerClient* const client = FindOrCreateClient(record->peer_address);
  if (client == nullptr)
    co_return Fail(ErrorCode::kUnavailable,
                   "host " + to.value() + " has no usable address");
  Result<PeerResponse> reply = co_await client->Call(kind, body, timeout);
  if (reply.has_error()) co_return reply.error();
  if (reply.value().envelope.sender != to)
    co_return Fail(ErrorCode::kOutcomeUnknown,
                   "host " + reply.value().envelope.sender.value() +
                       " answered in place of " + to.value());
  co_return std::move(reply.value().body);
}

void PeerNode::Broadcast(std::string kind, json body) {
  const std::vector<std::uint8_t> bytes = EncodeBody(body);
  for (const Member& member : member_table_.members()) {
    if (PeerClient* const client = FindOrCreateClient(member.peer_address))
      client->Send(kind, bytes, options_.broadcast_timeout);
  }
}

asio::awaitable<void> PeerNode::Leave() {
  member_table_.Leave();
  const std::vector<Member> members = member_table_.members();
  const auto completion =
      std::make_shared<CompletionCounter>(executor_, members.size());
  for (const Member& member : members) {
    asio::co_spawn(
        executor_,
        SendPing({.host = member.host, .peer_address = member.peer_address}),
        [completion](const std::exception_ptr&, bool) {
          completion->CountOne();
        });
  }
  co_await completion->Wait();
}

void PeerNode::Stop() {
  if (is_stopped_) return;
  is_stopped_ = true;
  for (asio::steady_timer* const timer : loop_timers_) timer->cancel();
  if (server_) server_->Stop();
  for (auto& [address, client] : clients_) client.Close();
}

PeerTrafficCounters PeerNode::counters() const {
  PeerTrafficCounters counters = *traffic_counters_;
  server_->AddTcpSegmentCounts(counters);
  for (const auto& [address, client] : clients_)
    client.AddTcpSegmentCounts(counters);
  return counters;
}

std::size_t PeerNode::connection_count() const {
  return server_->connection_count() +
         static_cast<std::size_t>(std::count_if(
             clients_.begin(), clients_.end(),
             [](const auto& item) { return item.second.is_connected(); }));
}

asio::awaitable<Result<json>> PeerNode::HandleRequest(PeerRequest request) {
  if (request.kind == kPingKind) co_return HandlePing(request);
  if (request.kind == kPingRequestKind)
    co_return co_await HandlePingRequest(std::move(request));
  const auto found = handlers_.find(request.kind);
  if (found == handlers_.end())
    co_return Fail(ErrorCode::kNotFound,
                   "no handler for message kind " + request.kind);
  co_return co_await found->second(std::move(request.envelope.sender),
                                   std::move(request.body));
}

Result<json> PeerNode::HandlePing(const PeerRequest& request) {
  TRY_ASSIGN(const Ping ping, ParsePing(request.body));
  const Ack ack = member_table_.HandlePing(request.envelope.sender,
                                           request.envelope.incarnation, ping,
                                           MonotonicNow());
  NotifyMemberListeners();
  DeliverPiggybacks(request.envelope.sender, request.body);
  json body = ToJson(ack);
  AttachPiggybacks(body);
  return body;
}

asio::awaitable<Result<json>> PeerNode::HandlePingRequest(PeerRequest request) {
  CO_TRY_ASSIGN(const PingRequest ping_request, ParsePingRequest(request.body));
  MemberTable::Target target;
  target.host = ping_request.target;
  target.peer_address = ping_request.peer_address;
  json answer = json::object();
  answer[kAnsweredField] = co_await SendPing(std::move(target));
  co_return answer;
}

asio::awaitable<void> PeerNode::RunPingLoop() {
  // A random offset keeps hosts that start together from pinging in step.
  const auto period = options_.table.ping_period.count();
  Duration pause(
      std::uniform_int_distribution<Duration::rep>(0, period)(random_));
  TimePoint next = MonotonicNow() + pause;
  while (!is_stopped_) {
    const Duration wait = next - MonotonicNow();
    const bool is_running = co_await WaitFor(wait);
    if (!is_running) co_return;
    const TimePoint now = MonotonicNow();
    // Skips the pings missed while the process was paused.
    next = std::max(next, now - options_.table.ping_period) +
           options_.table.ping_period;
    member_table_.Tick(now);
    NotifyMemberListeners();
    if (auto target = member_table_.NextProbe(now, random_))
      asio::co_spawn(executor_, ProbeMember(std::move(*target)),
                     asio::detached);
  }
}

asio::awaitable<void> PeerNode::RunContactLoop() {
  if (!options_.contacts) co_return;
  while (!is_stopped_) {
    Result<std::vector<Contact>> contacts = co_await options_.contacts();
    const bool has_contacts = contacts.has_value();
    if (has_contacts) member_table_.SetContacts(std::move(contacts).value());
    const Duration pause =
        has_contacts ? options_.contact_refresh_interval : kContactRetryDelay;
    co_await WaitFor(pause);
  }
}

asio::awaitable<void> PeerNode::RunIdleSweepLoop() {
  while (!is_stopped_) {
    const bool is_running = co_await WaitFor(kIdleSweepInterval);
    if (is_running) CloseIdleClients();
  }
}

asio::awaitable<bool> PeerNode::WaitFor(Duration duration) {
  if (is_stopped_) co_return false;
  asio::steady_timer timer(executor_, duration);
  loop_timers_.push_back(&timer);
  co_await timer.async_wait(kUseAwaitableTuple);
  std::erase(loop_timers_, &timer);
  co_return !is_stopped_;
}

asio::awaitable<void> PeerNode::ProbeMember(MemberTable::Target target) {
  const TimePoint sent = MonotonicNow();
  if (co_await SendPing(target)) co_return;
  if (target.is_contact || is_stopped_) co_return;
  if (co_await PingThroughRelays(target)) co_return;
  if (is_stopped_) co_return;
  member_table_.HandleProbeFailure(target, sent, MonotonicNow());
  NotifyMemberListeners();
}

asio::awaitable<bool> PeerNode::SendPing(MemberTable::Target target) {
  PeerClient* const client = FindOrCreateClient(target.peer_address);
  if (client == nullptr) co_return false;
  const TimePoint sent = MonotonicNow();
  json body = ToJson(member_table_.MakePing(target.host, sent));
  AttachPiggybacks(body);
  const Result<PeerResponse> reply =
      co_await client->Call(kPingKind, body, options_.ping_timeout);
  if (reply.has_error() || is_stopped_) co_return false;
  const PeerEnvelope& envelope = reply.value().envelope;
  const Result<Ack> ack = ParseAck(reply.value().body);
  if (ack.has_error()) co_return false;
  member_table_.HandleAck(envelope.sender, envelope.incarnation, ack.value(),
                          sent, MonotonicNow());
  NotifyMemberListeners();
  DeliverPiggybacks(envelope.sender, reply.value().body);
  // Another host may have reused the address.
  co_return target.host.value().empty() || envelope.sender == target.host;
}

asio::awaitable<bool> PeerNode::PingThroughRelays(MemberTable::Target target) {
  const auto relays = member_table_.ChooseRelays(target.host, random_);
  if (relays.empty()) co_return false;
  const json body = ToJson(PingRequest{target.host, target.peer_address});
  const auto completion =
      std::make_shared<CompletionCounter>(executor_, relays.size());
  const auto is_target_alive = std::make_shared<bool>(false);
  for (const MemberTable::Target& relay : relays) {
    asio::co_spawn(executor_, RequestRelayPing(relay.host, body),
                   [completion, is_target_alive](const std::exception_ptr&,
                                                 bool is_acknowledged) {
                     if (!completion->is_pending()) return;
                     if (!is_acknowledged) return completion->CountOne();
                     *is_target_alive = true;
                     completion->Finish();
                   });
  }
  co_await completion->Wait();
  co_return *is_target_alive;
}

asio::awaitable<bool> PeerNode::RequestRelayPing(HostId relay, json body) {
  const Result<json> answer =
      co_await Call(std::move(relay), kPingRequestKind, std::move(body),
                    options_.relay_timeout);
  if (answer.has_error() || !answer.value().is_object()) co_return false;
  co_return answer.value().value(kAnsweredField, json(false)) == json(true);
}

PeerClient* PeerNode::FindOrCreateClient(const std::string& peer_address) {
  const auto found = clients_.find(peer_address);
  if (found != clients_.end()) return &found->second;
  const auto endpoint = ParseEndpoint(peer_address);
  if (!endpoint) return nullptr;
  return &clients_
              .try_emplace(
                  peer_address, executor_, *endpoint,
                  PeerClient::Options{.self = MakeEnvelope(
                                          options_.host, options_.incarnation)},
                  traffic_counters_)
              .first->second;
}

void PeerNode::CloseIdleClients() {
  const TimePoint now = MonotonicNow();
  std::erase_if(clients_, [&](const auto& item) {
    const PeerClient& client = item.second;
    const Duration limit =
        client.is_connected() ? options_.idle_timeout : kUnconnectedIdleTimeout;
    return !client.has_pending_calls() && now - client.last_use_time() > limit;
  });
  if (clients_.size() <= options_.max_connections) return;
  std::vector<std::pair<TimePoint, std::string>> idle;
  for (const auto& [address, client] : clients_) {
    if (!client.has_pending_calls())
      idle.emplace_back(client.last_use_time(), address);
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [time, address] : idle) {
    if (clients_.size() <= options_.max_connections) break;
    clients_.erase(address);
  }
}

void PeerNode::AttachPiggybacks(json& body) const {
  for (const auto& [name, piggyback] : piggybacks_) {
    json value = piggyback.source();
    if (!value.is_null()) body[kPiggybackField][name] = std::move(value);
  }
}

void PeerNode::DeliverPiggybacks(const HostId& from, const json& body) const {
  const auto values = body.find(kPiggybackField);
  if (values == body.end() || !values->is_object()) return;
  for (const auto& [name, value] : values->items()) {
    const auto found = piggybacks_.find(name);
    if (found != piggybacks_.end()) found->second.sink(from, value);
  }
}

void PeerNode::NotifyMemberListeners() {
  if (member_table_.view_version() == notified_version_) return;
  notified_version_ = member_table_.view_version();
  // A new refutation counter changes the version but not the member list.
  std::vector<Member> members = member_table_.members();
  if (members == notified_members_) return;
  notified_members_ = std::move(members);
  const std::vector<Member> view = notified_members_;
  // Indexed, because a listener may register another one.
  for (std::size_t i = 0; i < member_listeners_.size(); ++i)
    member_listeners_[i](view);
}

}  // namespace dogwood
