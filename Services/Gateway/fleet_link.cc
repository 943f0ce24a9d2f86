#include "Services/Gateway/fleet_link.h"

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

bool HasSameVersions(const std::vector<TableFreshness>& left,
                     const std::vector<TableFreshness>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const TableFreshness& a, const TableFreshness& b) {
                      return a.version == b.version;
                    });
}

}  // namespace

FleetLink::FleetLink(GatewayContext& context, DirectorySync& sync,
                     PlacementService& placements, Incarnation incarnation)
    : context_(context),
      sync_(sync),
      placements_(placements),
      incarnation_(incarnation),
      socket_(context.io),
      contacts_(context.settings.zone),
      registration_(context, sync.store(), contacts_) {
  for (const std::string& ip : context.settings.contact_ips) {
    if (ip != context.settings.ip) contacts_.Add(ip, {});
  }
}

Result<void> FleetLink::Start() {
  const udp::endpoint endpoint(asio::ip::make_address(context_.settings.ip),
                               context_.settings.first_peer_port);
  boost::system::error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) socket_.bind(endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return Fail(ErrorCode::kIo, "bind datagram port " +
                                    std::to_string(endpoint.port()) + ": " +
                                    error.message());
  }
  asio::co_spawn(context_.io, Receive(), asio::detached);
  asio::co_spawn(context_.io, SendInZone(), asio::detached);
  asio::co_spawn(context_.io, SendToOtherZones(), asio::detached);
  asio::co_spawn(context_.io, SendPeersToOtherZones(), asio::detached);
  asio::co_spawn(context_.io, Introduce(), asio::detached);
  asio::co_spawn(context_.io, registration_.Run(), asio::detached);
  return outcome::success();
}

void FleetLink::SendTo(const std::string& ip,
                       const std::vector<std::uint8_t>& bytes) {
  boost::system::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(ip, error),
                               context_.settings.first_peer_port);
  if (error) return;
  // A datagram that cannot be sent is lost like one on the way; the next digest
  // follows within an interval.
  socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
  context_.metrics.messages_sent.Add();
}

void FleetLink::Send(const std::string& ip, const PeerMessage& message) {
  SendTo(ip, EncodeMessage(message));
}

FleetDigest FleetLink::BaseDigest(TimePoint now) const {
  FleetDigest digest;
  digest.sender = {context_.settings.ip,
                   context_.settings.zone,
                   incarnation_,
                   Duration::zero(),
                   context_.phase == ServingPhase::kLeaving,
                   context_.capacity()};
  digest.tables = sync_.Freshness(now);
  return digest;
}

asio::awaitable<void> FleetLink::SendInZone() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(kZoneInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    FleetDigest digest = BaseDigest(now);
    if (now - news_sent_at_ >= kNewsInterval) {
      digest.observations = context_.servers.TakeNews(kMostObservations, now);
      news_sent_at_ = now;
    }
    const ReaderRole role = sync_.Role(now);
    const Duration interval = sync_.has_just_read(now)    ? kZoneInterval
                              : role == ReaderRole::kNone ? kQuietInterval
                                                          : kReaderInterval;
    if (digest.observations.empty() && now - sent_at_ < interval &&
        HasSameVersions(digest.tables, tables_sent_)) {
      continue;
    }
    if (role == ReaderRole::kFleet) TellOtherStewards(digest, now);
    if (now - peers_sent_at_ >= kPeerListInterval &&
        context_.peers.is_steward(now)) {
      digest.peers = context_.peers.Describe(now);
      peers_sent_at_ = now;
    }
    sent_at_ = now;
    tables_sent_ = digest.tables;
    const auto bytes = EncodeMessage(digest);
    for (const std::string& ip : context_.peers.LiveInOwnZone(now))
      SendTo(ip, bytes);
    context_.metrics.live_hosts.Set(
        static_cast<std::int64_t>(context_.peers.LiveCount(now)));
  }
}

void FleetLink::TellOtherStewards(FleetDigest digest, TimePoint now) {
  digest.observations.clear();
  const auto bytes = EncodeMessage(digest);
  for (const std::string& ip : context_.peers.OtherStewards(now))
    SendTo(ip, bytes);
}

std::vector<ServerObservation> FleetLink::NextObservations(
    const ServiceId& service, TimePoint now) {
  auto observations =
      context_.servers.Describe(service, context_.settings.zone, now);
  if (observations.size() <= kMostObservations) return observations;
  std::size_t& told = told_servers_[service];
  told %= observations.size();
  std::rotate(observations.begin(),
              observations.begin() + static_cast<std::ptrdiff_t>(told),
              observations.end());
  told += kMostObservations;
  observations.resize(kMostObservations);
  return observations;
}

asio::awaitable<void> FleetLink::SendToOtherZones() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(kOtherZonesInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    const ZoneId& zone = context_.settings.zone;
    for (const ServiceId& service : context_.servers.Services()) {
      if (!context_.peers.is_responsible(service, zone, now)) continue;
      FleetDigest digest = BaseDigest(now);
      digest.observations = NextObservations(service, now);
      const auto bytes = EncodeMessage(digest);
      for (const std::string& ip :
           context_.peers.OtherDispatchersFor(service, now))
        SendTo(ip, bytes);
    }
  }
}

asio::awaitable<void> FleetLink::SendPeersToOtherZones() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    timer.expires_after(kOtherZonesPeersInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    if (!context_.peers.is_first_steward(now)) continue;
    FleetDigest digest = BaseDigest(now);
    digest.peers = context_.peers.DescribeZone(context_.settings.zone, now);
    const auto bytes = EncodeMessage(digest);
    for (const std::string& ip : context_.peers.OtherStewards(now))
      SendTo(ip, bytes);
  }
}

asio::awaitable<void> FleetLink::Introduce() {
  asio::steady_timer timer(context_.io);
  for (int round = 0;; ++round) {
    const TimePoint now = MonotonicNow();
    std::vector<std::string> greeted = contacts_.TakeDue(context_.peers, now);
    for (std::string& ip : context_.peers.SilentInOwnZone(now))
      greeted.push_back(std::move(ip));
    if (context_.peers.is_first_steward(now)) {
      for (std::string& ip :
           context_.peers.OneInEachSilentZone(context_.random(), now)) {
        greeted.push_back(std::move(ip));
      }
    }
    const auto bytes = EncodeMessage(BaseDigest(now));
    for (const std::string& ip : greeted) SendTo(ip, bytes);
    timer.expires_after(round < kFirstContactRounds ? kFirstContactInterval
                                                    : kContactInterval);
    co_await timer.async_wait(kUseTuple);
  }
}

void FleetLink::Welcome(const PeerRecord& newcomer, TimePoint now) {
  FleetDigest digest = BaseDigest(now);
  digest.peers = context_.peers.DescribeZone(context_.settings.zone, now);
  if (newcomer.zone != context_.settings.zone) {
    for (PeerRecord& peer : context_.peers.DescribeZone(newcomer.zone, now))
      digest.peers.push_back(std::move(peer));
  }
  Send(newcomer.ip, digest);
}

void FleetLink::PassToStewards(std::vector<PeerRecord> found, TimePoint now) {
  FleetDigest digest = BaseDigest(now);
  digest.peers = std::move(found);
  const auto bytes = EncodeMessage(digest);
  for (const std::string& ip :
       context_.peers.StewardsOf(context_.settings.zone, now)) {
    if (ip != context_.settings.ip) SendTo(ip, bytes);
  }
}

void FleetLink::AnnounceLeaving() {
  const TimePoint now = MonotonicNow();
  const auto bytes = EncodeMessage(BaseDigest(now));
  for (const std::string& ip : context_.peers.LiveInOwnZone(now))
    SendTo(ip, bytes);
}

asio::awaitable<void> FleetLink::Receive() {
  for (;;) {
    udp::endpoint sender;
    const auto [error, size] = co_await socket_.async_receive_from(
        asio::buffer(received_), sender, kUseTuple);
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    const auto message = DecodeMessage({received_.data(), size});
    if (message) {
      OnMessage(sender.address().to_string(), message.value());
      continue;
    }
    context_.metrics.messages_refused.Add();
  }
}

void FleetLink::OnMessage(const std::string& ip, const PeerMessage& message) {
  if (const auto* digest = std::get_if<FleetDigest>(&message)) {
    OnDigest(*digest);
  } else if (const auto* ask = std::get_if<PlacementAsk>(&message)) {
    placements_.OnAsk(ip, *ask);
  } else if (const auto* answer = std::get_if<PlacementAnswer>(&message)) {
    placements_.OnAnswer(ip, *answer);
  } else if (const auto* end = std::get_if<PlacementEnd>(&message)) {
    placements_.OnEnd(ip, *end);
  } else if (const auto* gone = std::get_if<PlacementWithdrawal>(&message)) {
    placements_.OnWithdrawal(ip, *gone);
  }
}

void FleetLink::OnDigest(const FleetDigest& digest) {
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
  const bool is_newcomer = merge(digest.sender);
  std::vector<PeerRecord> found;
  if (is_newcomer && digest.sender.zone != zone) found.push_back(digest.sender);
  for (const PeerRecord& peer : digest.peers) {
    if (merge(peer) && peer.zone != zone) found.push_back(peer);
  }
  if (is_newcomer) Welcome(digest.sender, now);
  // The own zone's stewards list them to all its hosts.
  if (!found.empty() && digest.sender.zone != zone)
    PassToStewards(std::move(found), now);
  for (const ServerObservation& seen : digest.observations)
    context_.servers.Merge(seen, now);
  sync_.OnPeerFreshness(digest.sender, digest.tables, now);
}

}  // namespace dogwood
