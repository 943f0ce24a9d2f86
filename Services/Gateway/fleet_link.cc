#include "Services/Gateway/fleet_link.h"

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
constexpr std::string_view kHostTable = "dogwood-hosts";
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
// After a call that the store refused or that was lost.
constexpr Duration kRegistrationPause = std::chrono::milliseconds(700);

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
      socket_(context.io) {}

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
  asio::co_spawn(context_.io, Introduce(), asio::detached);
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
      digest.observations = context_.servers.TakeNews(now);
      news_sent_at_ = now;
    }
    const Duration interval =
        sync_.is_reader() ? kReaderInterval : kQuietInterval;
    if (digest.observations.empty() && now - sent_at_ < interval &&
        HasSameVersions(digest.tables, tables_sent_)) {
      continue;
    }
    if (digest.observations.size() > kMostObservations)
      digest.observations.resize(kMostObservations);
    if (now - peers_sent_at_ >= kPeerListInterval) {
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

asio::awaitable<void> FleetLink::SendToOtherZones() {
  asio::steady_timer timer(context_.io);
  TimePoint peers_told_at{};
  for (;;) {
    timer.expires_after(kOtherZonesInterval);
    co_await timer.async_wait(kUseTuple);
    const TimePoint now = MonotonicNow();
    const ZoneId& zone = context_.settings.zone;
    bool should_list_peers = now - peers_told_at >= std::chrono::seconds(1);
    for (const ServiceId& service : context_.servers.Services()) {
      if (!context_.peers.is_responsible(service, zone, now)) continue;
      FleetDigest digest = BaseDigest(now);
      digest.observations = context_.servers.Describe(service, zone, now);
      if (digest.observations.size() > kMostObservations)
        digest.observations.resize(kMostObservations);
      if (should_list_peers) {
        digest.peers = context_.peers.DescribeZone(zone, now);
        peers_told_at = now;
        should_list_peers = false;
      }
      const auto bytes = EncodeMessage(digest);
      for (const std::string& ip :
           context_.peers.OtherDispatchersFor(service, now))
        SendTo(ip, bytes);
    }
  }
}

asio::awaitable<void> FleetLink::Introduce() {
  // Digests to hosts that registered, in case the first ones are lost.
  constexpr int kGreetings = 3;
  // Other zones are tried seldom, as bytes between zones are paid for.
  constexpr int kOtherZonesRounds = 4;
  asio::steady_timer timer(context_.io);
  asio::co_spawn(context_.io, Register(), asio::detached);
  for (int round = 0;; ++round) {
    const TimePoint now = MonotonicNow();
    std::set<std::string> contacts;
    for (auto& [ip, greetings] : contacts_) {
      if (greetings >= kGreetings) continue;
      ++greetings;
      contacts.insert(ip);
    }
    for (std::string& ip : context_.peers.SilentInOwnZone(now))
      contacts.insert(std::move(ip));
    if (round % kOtherZonesRounds == 0) {
      for (std::string& ip :
           context_.peers.OneSilentInEachOtherZone(context_.random(), now)) {
        contacts.insert(std::move(ip));
      }
    }
    if (!contacts.empty()) {
      FleetDigest digest = BaseDigest(now);
      digest.peers = context_.peers.Describe(now);
      const auto bytes = EncodeMessage(digest);
      for (const std::string& ip : contacts) SendTo(ip, bytes);
    }
    timer.expires_after(kContactInterval);
    co_await timer.async_wait(kUseTuple);
  }
}

asio::awaitable<void> FleetLink::Register() {
  for (const std::string& ip : context_.settings.contact_ips) AddContact(ip);
  platform::StoreClient& store = sync_.store();
  const std::string& name = context_.settings.host.value();
  // A host that reads after its own row is written sees all hosts that did so
  // before, and is seen by all that do so later.
  bool is_registered = false;
  bool should_write = context_.settings.is_first_start;
  asio::steady_timer timer(context_.io);
  for (;;) {
    if (should_write) {
      const auto written = co_await store.WriteRow(
          kHostTable, name, context_.settings.ip, kStoreTimeout);
      is_registered = written.has_value();
    }
    const auto rows = co_await store.ReadTable(kHostTable, kStoreTimeout);
    if (rows) {
      for (const platform::StoreRow& row : rows.value().rows) {
        if (!row.value) continue;
        AddContact(*row.value);
        is_registered = is_registered ||
                        (row.key == name && *row.value == context_.settings.ip);
      }
      if (is_registered) co_return;
      if (!should_write) {
        should_write = true;
        continue;
      }
    }
    timer.expires_after(kRegistrationPause);
    co_await timer.async_wait(kUseTuple);
  }
}

void FleetLink::AddContact(const std::string& ip) {
  boost::system::error_code error;
  asio::ip::make_address_v4(ip, error);
  // A registration that is no address was not written by a host.
  if (!error && ip != context_.settings.ip) contacts_.try_emplace(ip, 0);
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
    if (!context_.peers.Merge(peer, now)) return;
    context_.log->Record(
        EventId::kPeerFound,
        {{"peer", peer.ip},
         {"zone", peer.zone.value()},
         {"incarnation", static_cast<std::int64_t>(peer.incarnation.value())}});
  };
  merge(digest.sender);
  for (const PeerRecord& peer : digest.peers) merge(peer);
  for (const ServerObservation& seen : digest.observations)
    context_.servers.Merge(seen, now);
  sync_.OnPeerFreshness(digest.sender.ip, digest.tables, now);
}

}  // namespace dogwood
