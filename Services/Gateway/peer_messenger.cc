#include "Services/Gateway/peer_messenger.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

bool HaveSameVersions(const std::vector<TableFreshness>& left,
                      const std::vector<TableFreshness>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const TableFreshness& a, const TableFreshness& b) {
                      return a.version == b.version;
                    });
}

}  // namespace

PeerMessenger::PeerMessenger(GatewayContext& context,
                             ConfigurationReplicator& replicator,
                             PlacementService& placements,
                             Incarnation incarnation)
    : context_(context),
      replicator_(replicator),
      placements_(placements),
      incarnation_(incarnation),
      socket_(context.io),
      contacts_(context.settings.zone),
      discovery_(context, replicator.store(), contacts_) {
  for (const std::string& ip : context.settings.contact_ips) {
    if (ip != context.settings.ip) contacts_.Add(ip, {});
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
  asio::co_spawn(context_.io, Receive(), asio::detached);
  asio::co_spawn(context_.io, RunZoneGossip(), asio::detached);
  asio::co_spawn(context_.io, RunCrossZoneObservations(), asio::detached);
  asio::co_spawn(context_.io, RunCrossZoneMembership(), asio::detached);
  asio::co_spawn(context_.io, RunContactGreetings(), asio::detached);
  asio::co_spawn(context_.io, discovery_.Run(), asio::detached);
  return outcome::success();
}

void PeerMessenger::SendDatagram(const std::string& ip,
                                 const std::vector<std::uint8_t>& bytes) {
  boost::system::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(ip, error),
                               context_.settings.first_peer_port);
  if (error) return;
  // A send error is treated as packet loss: digests are repeated and placement
  // requests time out.
  socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
  context_.metrics.messages_sent.Add();
}

void PeerMessenger::Send(const std::string& ip, const PeerMessage& message) {
  SendDatagram(ip, EncodeMessage(message));
}

FleetDigest PeerMessenger::MakeDigest(TimePoint now) const {
  FleetDigest digest;
  digest.sender = {context_.settings.ip,
                   context_.settings.zone,
                   incarnation_,
                   Duration::zero(),
                   context_.phase == ServingPhase::kLeaving,
                   context_.capacity()};
  digest.tables = replicator_.ReplicaFreshness(now);
  return digest;
}

asio::awaitable<void> PeerMessenger::RunZoneGossip() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(kZoneGossipInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    FleetDigest digest = MakeDigest(now);
    if (now - observations_sent_at_ >= kObservationInterval) {
      digest.observations = context_.servers.TakeNews(kMaxObservations, now);
      observations_sent_at_ = now;
    }
    const ReplicationRole role = replicator_.CurrentRole(now);
    const Duration interval =
        replicator_.has_recently_read_store(now) ? kZoneGossipInterval
        : role == ReplicationRole::kFollower     ? kIdleGossipInterval
                                                 : kReaderGossipInterval;
    if (digest.observations.empty() && now - digest_sent_at_ < interval &&
        HaveSameVersions(digest.tables, announced_tables_)) {
      continue;
    }
    if (role == ReplicationRole::kFleetReader) SendToOtherStewards(digest, now);
    if (now - membership_sent_at_ >= kMembershipInterval &&
        context_.peers.is_steward(now)) {
      digest.peers = context_.peers.Describe(now);
      membership_sent_at_ = now;
    }
    digest_sent_at_ = now;
    announced_tables_ = digest.tables;
    const auto bytes = EncodeMessage(digest);
    for (const std::string& ip : context_.peers.LiveInOwnZone(now))
      SendDatagram(ip, bytes);
    context_.metrics.live_hosts.Set(
        static_cast<std::int64_t>(context_.peers.LiveCount(now)));
  }
}

void PeerMessenger::SendToOtherStewards(FleetDigest digest, TimePoint now) {
  digest.observations.clear();
  const auto bytes = EncodeMessage(digest);
  for (const std::string& ip : context_.peers.OtherStewards(now))
    SendDatagram(ip, bytes);
}

std::vector<ServerObservation> PeerMessenger::NextObservationBatch(
    const ServiceId& service, TimePoint now) {
  auto observations =
      context_.servers.Describe(service, context_.settings.zone, now);
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
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(kCrossZoneObservationInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    const ZoneId& zone = context_.settings.zone;
    for (const ServiceId& service : context_.servers.Services()) {
      if (!context_.peers.is_responsible(service, zone, now)) continue;
      FleetDigest digest = MakeDigest(now);
      digest.observations = NextObservationBatch(service, now);
      const auto bytes = EncodeMessage(digest);
      for (const std::string& ip :
           context_.peers.OtherDispatchersFor(service, now))
        SendDatagram(ip, bytes);
    }
  }
}

asio::awaitable<void> PeerMessenger::RunCrossZoneMembership() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(kCrossZoneMembershipInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    if (!context_.peers.is_first_steward(now)) continue;
    FleetDigest digest = MakeDigest(now);
    digest.peers = context_.peers.DescribeZone(context_.settings.zone, now);
    const auto bytes = EncodeMessage(digest);
    for (const std::string& ip : context_.peers.OtherStewards(now))
      SendDatagram(ip, bytes);
  }
}

asio::awaitable<void> PeerMessenger::RunContactGreetings() {
  asio::steady_timer timer(context_.io);
  for (int round = 0;; ++round) {
    const TimePoint now = MonotonicNow();
    std::vector<std::string> recipients =
        contacts_.TakeDue(context_.peers, now);
    for (std::string& ip : context_.peers.SilentInOwnZone(now))
      recipients.push_back(std::move(ip));
    if (context_.peers.is_first_steward(now)) {
      for (std::string& ip :
           context_.peers.OneInEachSilentZone(context_.random(), now)) {
        recipients.push_back(std::move(ip));
      }
    }
    const auto bytes = EncodeMessage(MakeDigest(now));
    for (const std::string& ip : recipients) SendDatagram(ip, bytes);
    timer.expires_after(round < kInitialContactRounds ? kInitialContactInterval
                                                      : kContactInterval);
    co_await timer.async_wait(kUseTuple);
  }
}

void PeerMessenger::SendMembershipTo(const PeerRecord& recipient,
                                     TimePoint now) {
  FleetDigest digest = MakeDigest(now);
  digest.peers = context_.peers.DescribeZone(context_.settings.zone, now);
  if (recipient.zone != context_.settings.zone) {
    for (PeerRecord& peer : context_.peers.DescribeZone(recipient.zone, now))
      digest.peers.push_back(std::move(peer));
  }
  Send(recipient.ip, digest);
}

void PeerMessenger::ForwardToZoneStewards(std::vector<PeerRecord> discovered,
                                          TimePoint now) {
  FleetDigest digest = MakeDigest(now);
  digest.peers = std::move(discovered);
  const auto bytes = EncodeMessage(digest);
  for (const std::string& ip :
       context_.peers.StewardsOf(context_.settings.zone, now)) {
    if (ip != context_.settings.ip) SendDatagram(ip, bytes);
  }
}

void PeerMessenger::AnnounceLeaving() {
  const TimePoint now = MonotonicNow();
  const auto bytes = EncodeMessage(MakeDigest(now));
  for (const std::string& ip : context_.peers.LiveInOwnZone(now))
    SendDatagram(ip, bytes);
}

asio::awaitable<void> PeerMessenger::Receive() {
  for (;;) {
    udp::endpoint sender;
    const auto [error, size] = co_await socket_.async_receive_from(
        asio::buffer(receive_buffer_), sender, kUseTuple);
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    const auto message = DecodeMessage({receive_buffer_.data(), size});
    if (message) {
      HandleMessage(sender.address().to_string(), message.value());
      continue;
    }
    context_.metrics.messages_refused.Add();
  }
}

void PeerMessenger::HandleMessage(const std::string& ip,
                                  const PeerMessage& message) {
  if (const auto* digest = std::get_if<FleetDigest>(&message)) {
    HandleDigest(*digest);
  } else if (const auto* request = std::get_if<PlacementAsk>(&message)) {
    placements_.OnPlacementRequest(ip, *request);
  } else if (const auto* response = std::get_if<PlacementAnswer>(&message)) {
    placements_.OnPlacementResponse(ip, *response);
  } else if (const auto* end = std::get_if<PlacementEnd>(&message)) {
    placements_.OnPlacementEnded(ip, *end);
  } else if (const auto* withdrawal =
                 std::get_if<PlacementWithdrawal>(&message)) {
    placements_.OnPlacementWithdrawn(ip, *withdrawal);
  }
}

void PeerMessenger::HandleDigest(const FleetDigest& digest) {
  const TimePoint now = MonotonicNow();
  const auto merge = [&](const PeerRecord& peer) {
    if (!context_.peers.Merge(peer, now)) return false;
    context_.log->Record(
        EventId::kPeerFound,
        {{"peer", peer.ip},
         {"peer_zone", peer.zone.value()},
         {"incarnation", static_cast<std::int64_t>(peer.incarnation.value())}});
    return true;
  };
  const ZoneId& zone = context_.settings.zone;
  const bool is_new = merge(digest.sender);
  std::vector<PeerRecord> discovered;
  if (is_new && digest.sender.zone != zone) discovered.push_back(digest.sender);
  for (const PeerRecord& peer : digest.peers) {
    if (merge(peer) && peer.zone != zone) discovered.push_back(peer);
  }
  if (is_new) SendMembershipTo(digest.sender, now);
  // The own zone's stewards announce them to the rest of the zone.
  if (!discovered.empty() && digest.sender.zone != zone)
    ForwardToZoneStewards(std::move(discovered), now);
  for (const ServerObservation& observation : digest.observations)
    context_.servers.Merge(observation, now);
  replicator_.OnPeerFreshness(digest.sender, digest.tables, now);
}

}  // namespace dogwood
