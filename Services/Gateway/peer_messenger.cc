#include "Services/Gateway/peer_messenger.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

bool HaveSameVersions(const std::vector<TableVersionAge>& left,
                      const std::vector<TableVersionAge>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const TableVersionAge& a, const TableVersionAge& b) {
                      return a.version == b.version;
                    });
}

}  // namespace

PeerMessenger::PeerMessenger(GatewayContext& context,
                             ConfigurationReplicator& replicator,
                             ServerSelector& server_selector,
                             PoisonRequestGuard& poison_request_guard,
                             QuotaGate& quota_gate,
                             RolloutController& rollout_controller,
                             Incarnation incarnation)
    : context_(context),
      replicator_(replicator),
      server_selector_(server_selector),
      poison_request_guard_(poison_request_guard),
      quota_gate_(quota_gate),
      rollout_controller_(rollout_controller),
      incarnation_(incarnation),
      socket_(context.io_context),
      candidates_(context.settings.zone),
      discovery_(context, replicator.store(), candidates_) {
  for (const std::string& ip : context.settings.seed_ips) {
    if (ip != context.settings.ip) candidates_.Add(ip, {});
  }
}

Result<void> PeerMessenger::Start() {
  const udp::endpoint endpoint(asio::ip::make_address(context_.settings.ip),
                               context_.settings.first_peer_port);
  boost::system::error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) socket_.bind(endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return Fail(ErrorCode::kIo, "bind UDP port " +
                                    std::to_string(endpoint.port()) + ": " +
                                    error.message());
  }
  asio::co_spawn(context_.io_context, Receive(), asio::detached);
  asio::co_spawn(context_.io_context, RunZoneGossip(), asio::detached);
  asio::co_spawn(context_.io_context, RunCrossZoneObservations(),
                 asio::detached);
  asio::co_spawn(context_.io_context, RunCrossZoneMembership(), asio::detached);
  asio::co_spawn(context_.io_context, RunSuspectGossip(), asio::detached);
  asio::co_spawn(context_.io_context, SendHellos(), asio::detached);
  asio::co_spawn(context_.io_context, discovery_.Run(), asio::detached);
  return outcome::success();
}

void PeerMessenger::SendDatagram(const std::string& ip,
                                 const std::vector<std::uint8_t>& bytes) {
  boost::system::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(ip, error),
                               context_.settings.first_peer_port);
  if (error) return;
  // A send error is treated as packet loss: gossip is sent again and selection
  // requests time out.
  socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
  context_.metrics.messages_sent.Add();
}

void PeerMessenger::Send(const std::string& ip, const PeerMessage& message) {
  SendDatagram(ip, EncodePeerMessage(message));
}

GossipMessage PeerMessenger::MakeGossip(TimePoint now) const {
  GossipMessage gossip;
  gossip.sender = {context_.settings.ip,
                   context_.settings.zone,
                   incarnation_,
                   Duration::zero(),
                   context_.serving_state == ServingState::kDraining,
                   context_.capacity()};
  gossip.tables = replicator_.ReplicaVersionAges(now);
  if (context_.route_table && context_.route_table->has_accounts()) {
    if (const auto age = context_.KeyAge(now))
      gossip.keys.emplace(
          KeyKnowledgeAge{context_.route_table->version(), *age});
  }
  return gossip;
}

asio::awaitable<void> PeerMessenger::RunZoneGossip() {
  asio::steady_timer timer(context_.io_context);
  for (;;) {
    timer.expires_after(kZoneGossipInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    const TimePoint now = MonotonicNow();
    GossipMessage gossip = MakeGossip(now);
    if (now - observations_sent_at_ >= kObservationInterval) {
      gossip.observations = context_.server_table.TakeUnpublishedObservations(
          kMaxObservations, now);
      observations_sent_at_ = now;
    }
    const ReplicationRole role = replicator_.CurrentRole(now);
    const Duration interval =
        replicator_.has_recently_read_store(now) ? kZoneGossipInterval
        : role == ReplicationRole::kFollower     ? kIdleGossipInterval
                                                 : kReaderGossipInterval;
    if (gossip.observations.empty() && now - gossip_sent_at_ < interval &&
        HaveSameVersions(gossip.tables, announced_tables_)) {
      continue;
    }
    if (role == ReplicationRole::kFleetReader)
      SendToGossipRelaysOfOtherZones(gossip, now);
    if (now - membership_sent_at_ >= kMembershipInterval &&
        context_.peer_table.is_gossip_relay(now)) {
      gossip.peers = context_.peer_table.MembershipRecords(now);
      membership_sent_at_ = now;
    }
    gossip_sent_at_ = now;
    announced_tables_ = gossip.tables;
    const auto bytes = EncodePeerMessage(gossip);
    for (const std::string& ip :
         context_.peer_table.ReachablePeersInOwnZone(now))
      SendDatagram(ip, bytes);
    context_.metrics.live_hosts.Set(
        static_cast<std::int64_t>(context_.peer_table.LiveHostCount(now)));
  }
}

void PeerMessenger::SendToGossipRelaysOfOtherZones(GossipMessage gossip,
                                                   TimePoint now) {
  gossip.observations.clear();
  const auto bytes = EncodePeerMessage(gossip);
  for (const std::string& ip :
       context_.peer_table.GossipRelaysOfOtherZones(now))
    SendDatagram(ip, bytes);
}

std::vector<ServerObservation> PeerMessenger::NextObservationBatch(
    const ServiceId& service, TimePoint now) {
  auto observations = context_.server_table.ObservationsOf(
      service, context_.settings.zone, now);
  if (observations.size() <= kMaxObservations) return observations;
  std::size_t& next = next_observation_[service];
  next %= observations.size();
  std::rotate(observations.begin(),
              observations.begin() + static_cast<std::ptrdiff_t>(next),
              observations.end());
  next += kMaxObservations;
  observations.resize(kMaxObservations);
  return observations;
}

asio::awaitable<void> PeerMessenger::RunCrossZoneObservations() {
  asio::steady_timer timer(context_.io_context);
  for (;;) {
    timer.expires_after(kCrossZoneObservationInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    const TimePoint now = MonotonicNow();
    const ZoneId& zone = context_.settings.zone;
    for (const ServiceId& service : context_.server_table.Services()) {
      if (!context_.peer_table.is_monitoring(service, zone, now)) continue;
      GossipMessage gossip = MakeGossip(now);
      gossip.observations = NextObservationBatch(service, now);
      const auto bytes = EncodePeerMessage(gossip);
      for (const std::string& ip :
           context_.peer_table.OtherDispatchersFor(service, now))
        SendDatagram(ip, bytes);
    }
  }
}

asio::awaitable<void> PeerMessenger::RunCrossZoneMembership() {
  asio::steady_timer timer(context_.io_context);
  for (;;) {
    timer.expires_after(kCrossZoneMembershipInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    const TimePoint now = MonotonicNow();
    if (!context_.peer_table.is_first_gossip_relay(now)) continue;
    GossipMessage gossip = MakeGossip(now);
    gossip.peers = context_.peer_table.MembershipRecordsOfZone(
        context_.settings.zone, now);
    const auto bytes = EncodePeerMessage(gossip);
    for (const std::string& ip :
         context_.peer_table.GossipRelaysOfOtherZones(now))
      SendDatagram(ip, bytes);
  }
}

asio::awaitable<void> PeerMessenger::RunSuspectGossip() {
  asio::steady_timer timer(context_.io_context);
  for (;;) {
    timer.expires_after(kSuspectInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    const TimePoint now = MonotonicNow();
    if (context_.peer_table.is_gossip_relay(now))
      ShareSuspects(poison_request_guard_.Refused(now));
  }
}

void PeerMessenger::ShareSuspects(const PoisonRequestGuard::Records& records) {
  const TimePoint now = MonotonicNow();
  // Keeps each message below the maximum datagram size.
  constexpr std::size_t kMaxRecordsPerMessage = 500;
  for (std::size_t first = 0; first < records.size();
       first += kMaxRecordsPerMessage) {
    const std::size_t end =
        std::min(records.size(), first + kMaxRecordsPerMessage);
    const SuspectMessage message{
        {records.begin() + static_cast<std::ptrdiff_t>(first),
         records.begin() + static_cast<std::ptrdiff_t>(end)}};
    const auto bytes = EncodePeerMessage(message);
    for (const std::string& ip :
         context_.peer_table.ReachablePeersInOwnZone(now))
      SendDatagram(ip, bytes);
    if (!context_.peer_table.is_gossip_relay(now)) continue;
    for (const std::string& ip :
         context_.peer_table.GossipRelaysOfOtherZones(now))
      SendDatagram(ip, bytes);
  }
}

void PeerMessenger::HandleSuspects(const SuspectMessage& message) {
  const TimePoint now = MonotonicNow();
  const auto news = poison_request_guard_.Merge(message.records, now);
  // Zones that cannot reach each other learn of the records through a third.
  if (context_.peer_table.is_gossip_relay(now)) ShareSuspects(news);
}

asio::awaitable<void> PeerMessenger::SendHellos() {
  asio::steady_timer timer(context_.io_context);
  for (int round = 0;; ++round) {
    const TimePoint now = MonotonicNow();
    std::vector<std::string> recipients =
        candidates_.TakeDue(context_.peer_table, now);
    for (std::string& ip : context_.peer_table.SilentPeersInOwnZone(now))
      recipients.push_back(std::move(ip));
    if (context_.peer_table.is_first_gossip_relay(now)) {
      for (std::string& ip : context_.peer_table.OnePeerOfEachSilentZone(
               context_.random_engine(), now)) {
        recipients.push_back(std::move(ip));
      }
    }
    const auto bytes = EncodePeerMessage(MakeGossip(now));
    for (const std::string& ip : recipients) SendDatagram(ip, bytes);
    timer.expires_after(round < kInitialHelloRounds ? kInitialHelloInterval
                                                    : kHelloInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
  }
}

void PeerMessenger::SendMembershipTo(const PeerRecord& recipient,
                                     TimePoint now) {
  GossipMessage gossip = MakeGossip(now);
  gossip.peers =
      context_.peer_table.MembershipRecordsOfZone(context_.settings.zone, now);
  if (recipient.zone != context_.settings.zone) {
    for (PeerRecord& peer :
         context_.peer_table.MembershipRecordsOfZone(recipient.zone, now))
      gossip.peers.push_back(std::move(peer));
  }
  Send(recipient.ip, gossip);
}

void PeerMessenger::ForwardToGossipRelaysOfZone(
    std::vector<PeerRecord> discovered, TimePoint now) {
  GossipMessage gossip = MakeGossip(now);
  gossip.peers = std::move(discovered);
  const auto bytes = EncodePeerMessage(gossip);
  for (const std::string& ip :
       context_.peer_table.GossipRelaysOf(context_.settings.zone, now)) {
    if (ip != context_.settings.ip) SendDatagram(ip, bytes);
  }
}

void PeerMessenger::AnnounceDraining() {
  const TimePoint now = MonotonicNow();
  const auto bytes = EncodePeerMessage(MakeGossip(now));
  for (const std::string& ip : context_.peer_table.ReachablePeersInOwnZone(now))
    SendDatagram(ip, bytes);
}

asio::awaitable<void> PeerMessenger::Receive() {
  // Messages that are handled before other work gets a turn.
  constexpr int kMaxMessagesPerTurn = 32;
  int handled = 0;
  for (;;) {
    if (++handled % kMaxMessagesPerTurn == 0)
      co_await asio::post(context_.io_context, kUseAwaitableTuple);
    udp::endpoint sender;
    boost::system::error_code error;
    const TimePoint now = MonotonicNow();
    const std::size_t size =
        socket_.receive_from(asio::buffer(receive_buffer_), sender, 0, error);
    if (error == asio::error::would_block) {
      socket_drained_at_ = now;
      const auto [wait_error] = co_await socket_.async_wait(
          udp::socket::wait_read, kUseAwaitableTuple);
      if (wait_error == asio::error::operation_aborted) co_return;
      continue;
    }
    if (error) continue;
    auto message = DecodePeerMessage({receive_buffer_.data(), size});
    if (message) {
      ForEachServerKey(message.value(), [this](ServerKey& key) {
        key = context_.server_table.ResolveKey(key);
      });
      HandleMessage(sender.address().to_string(), message.value());
      continue;
    }
    context_.metrics.messages_refused.Add();
  }
}

void PeerMessenger::HandleMessage(const std::string& ip,
                                  const PeerMessage& message) {
  if (const auto* gossip = std::get_if<GossipMessage>(&message)) {
    HandleGossip(*gossip);
  } else if (const auto* request = std::get_if<SelectionRequest>(&message)) {
    server_selector_.OnSelectionRequest(ip, *request);
  } else if (const auto* response = std::get_if<SelectionResponse>(&message)) {
    server_selector_.OnSelectionResponse(ip, *response);
  } else if (const auto* end = std::get_if<SelectionCompletion>(&message)) {
    server_selector_.OnSelectionCompleted(ip, *end);
  } else if (const auto* cancellation =
                 std::get_if<SelectionCancellation>(&message)) {
    server_selector_.OnSelectionCancelled(ip, *cancellation);
  } else if (const auto* suspects = std::get_if<SuspectMessage>(&message)) {
    HandleSuspects(*suspects);
  } else if (const auto* ask = std::get_if<QuotaRequest>(&message)) {
    quota_gate_.OnRequest(ip, *ask);
  } else if (const auto* answer = std::get_if<QuotaResponse>(&message)) {
    quota_gate_.OnResponse(*answer);
  } else if (const auto* unused = std::get_if<QuotaReturn>(&message)) {
    quota_gate_.OnReturn(*unused);
  } else if (const auto* report = std::get_if<RolloutReport>(&message)) {
    rollout_controller_.OnReport(ip, *report);
  } else if (const auto* status = std::get_if<RolloutStatus>(&message)) {
    rollout_controller_.OnStatus(*status);
  }
}

void PeerMessenger::HandleGossip(const GossipMessage& gossip) {
  const TimePoint now = MonotonicNow();
  const auto merge = [&](const PeerRecord& peer) {
    if (!context_.peer_table.Merge(peer, now)) return false;
    context_.log->Record(
        EventId::kPeerFound,
        {{"peer", peer.ip},
         {"peer_zone", peer.zone.value()},
         {"incarnation", static_cast<std::int64_t>(peer.incarnation.value())}});
    return true;
  };
  const ZoneId& zone = context_.settings.zone;
  const bool is_new = merge(gossip.sender);
  std::vector<PeerRecord> discovered;
  if (is_new && gossip.sender.zone != zone) discovered.push_back(gossip.sender);
  for (const PeerRecord& peer : gossip.peers) {
    if (merge(peer) && peer.zone != zone) discovered.push_back(peer);
  }
  if (is_new) SendMembershipTo(gossip.sender, now);
  // The own zone's gossip relays announce them to the rest of the zone.
  if (!discovered.empty() && gossip.sender.zone != zone)
    ForwardToGossipRelaysOfZone(std::move(discovered), now);
  for (const ServerObservation& observation : gossip.observations)
    context_.server_table.Merge(observation, now);
  replicator_.OnPeerVersionAges(gossip.sender, gossip.tables, now);
  // The message may have waited in the socket since it was last seen empty.
  if (gossip.keys) {
    context_.ConfirmKeys(gossip.keys->version,
                         socket_drained_at_ - gossip.keys->age);
  }
}

}  // namespace dogwood
