#include "Libraries/Routing/service_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwood {
namespace {

// Step of the running median per response, as a factor.
constexpr double kMedianStep = 1.01;
constexpr double kMeanWeight = 0.02;
// A server without any response for this long has no evidence by traffic.
constexpr Duration kSilence = std::chrono::milliseconds(500);

}  // namespace

ServiceRouter::ServiceRouter(RouterOptions options, std::mt19937_64& engine)
    : options_(options),
      engine_(&engine),
      lease_(options.permit_lease, options.permit_takeover_delay),
      permits_(options_),
      next_generation_(options.first_borrow_generation) {
  VERIFY(options_.borrow_fanout <= kMaximumFanout);
  VERIFY(options_.grant_validity < options_.permit_takeover_delay);
}

void ServiceRouter::Advance(TimePoint now) {
  lease_.Advance(now);
  permits_.Advance(now);
}

void ServiceRouter::SetLeaseRenewed(TimePoint sent_at, TimePoint now,
                                    RouterActions& actions) {
  lease_.Renew(sent_at, now);
  permits_.Advance(now);
  ServeAll(now, actions);
}

bool ServiceRouter::is_acceptable(const RouterRequest& request,
                                  ServerIndex server,
                                  bool is_first_slot) const {
  if (request.is_suspect && !is_first_slot) return false;
  return server != request.excluded || backends_.size() == 1;
}

ServerIndex ServiceRouter::FindServer(const RouterRequest& request) const {
  if (!request.is_suspect) {
    return backends_.size() == 1 ? permits_.best()
                                 : permits_.best_except(request.excluded);
  }
  // Crash suspects are rare; a search over the servers is acceptable.
  for (ServerIndex server = 0; server < backends_.size(); ++server) {
    if (permits_.is_first_slot_free(server) &&
        is_acceptable(request, server, true)) {
      return server;
    }
  }
  return kNoIndex;
}

Permit ServiceRouter::TakePermit(ServerIndex server, bool is_suspect) {
  Permit permit;
  permit.server = server;
  if (is_suspect) {
    permits_.TakeFirst(server);
  } else {
    permit.slot = permits_.Take(server);
  }
  return permit;
}

// Time until a new request of the class would be served by this host's share of
// the permits; borrowing makes it shorter.
Duration ServiceRouter::ExpectedWait(AgreementClass agreement) const {
  const std::size_t ahead = agreement == AgreementClass::kWithin
                                ? queue_.size(AgreementClass::kWithin)
                                : queue_.size();
  const double share =
      static_cast<double>(permits_.usable_permits()) /
      static_cast<double>(std::max<std::size_t>(1, live_hosts_));
  const double servers =
      std::max({1.0, share, static_cast<double>(permits_.owned_permits())});
  return Duration(static_cast<std::int64_t>(static_cast<double>(ahead) *
                                            mean_latency_ / servers));
}

AcquireResult ServiceRouter::Acquire(const RouterRequest& request,
                                     TimePoint now, RouterActions& actions) {
  Advance(now);
  if (can_use_own(now)) {
    const ServerIndex server = FindServer(request);
    if (server != kNoIndex) {
      return {.kind = AcquireResult::Kind::kGranted,
              .permit = TakePermit(server, request.is_suspect)};
    }
  }
  AcquireResult refusal;
  if (permits_.usable_permits() == 0 && backends_.empty()) return refusal;
  const Duration wait = ExpectedWait(request.agreement);
  const bool is_over = request.agreement == AgreementClass::kOver;
  const auto over_limit = static_cast<std::size_t>(
      options_.over_agreement_share * options_.queue_limit);
  if (queue_.size() >= options_.queue_limit ||
      (is_over && queue_.size(AgreementClass::kOver) >= over_limit)) {
    refusal.reason = RefusalReason::kOverCapacity;
    refusal.retry_after = wait;
    return refusal;
  }
  if (now + wait >= request.deadline) {
    refusal.reason = RefusalReason::kDeadlineTooShort;
    refusal.retry_after = wait;
    return refusal;
  }
  SendBorrows(Enqueue(request), now, actions);
  return {.kind = AcquireResult::Kind::kQueued};
}

void ServiceRouter::RecordLatency(const RouterObservation& observation) {
  if (observation.result != RouterObservation::Result::kAnswered) return;
  const auto latency = static_cast<double>(observation.latency.count());
  if (median_ <= 0) {
    median_ = latency;
    mean_latency_ = latency;
    return;
  }
  median_ *= latency > median_ ? kMedianStep : 1 / kMedianStep;
  mean_latency_ += kMeanWeight * (latency - mean_latency_);
}

void ServiceRouter::Publish(ServerIndex server, HostIndex to,
                            RouterActions& actions) const {
  actions.push_back(
      {.kind = RouterAction::Kind::kServerState, .host = to, .server = server});
}

void ServiceRouter::RefreshServer(ServerIndex server) {
  permits_.SetUsable(server, backends_[server].usable_slots());
  permits_.SetScore(server, std::round(2 * backends_[server].latency_score()));
}

void ServiceRouter::TakeEvidence(ServerIndex server,
                                 const RouterObservation& observation,
                                 TimePoint now, RouterActions& actions) {
  RecordLatency(observation);
  if (observation.in_work.has_value()) {
    permits_.ReportInWork(server, *observation.in_work, now);
  }
  const std::uint32_t usable = backends_[server].usable_slots();
  const BackendServer::Change change =
      backends_[server].Observe(observation, service_median(), now);
  if (change == BackendServer::Change::kShared) {
    Publish(server, kNoIndex, actions);
  }
  RefreshServer(server);
  if (backends_[server].usable_slots() > usable) {
    ServeFrom(server, now, actions);
  }
}

void ServiceRouter::ReleaseOwn(ServerIndex server, std::uint32_t slot,
                               TimePoint now, RouterActions& actions) {
  permits_.Release(server, slot);
  const HostIndex owner = permits_.owner(server, slot);
  if (owner != self_) {
    if (owner != kNoIndex) {
      actions.push_back({.kind = RouterAction::Kind::kSlotFree,
                         .host = owner,
                         .permit = {.server = server, .slot = slot}});
    }
    return;
  }
  ServeFrom(server, now, actions);
}

void ServiceRouter::Complete(const Permit& permit,
                             const RouterObservation& observation,
                             TimePoint now, RouterActions& actions) {
  Advance(now);
  TakeEvidence(permit.server, observation, now, actions);
  if (!permit.is_lent()) {
    ReleaseOwn(permit.server, permit.slot, now, actions);
    return;
  }
  const std::uint32_t borrow = BorrowIndexOf(permit.borrow_id);
  VERIFY(own_borrows_.contains(borrow) &&
         own_borrows_[borrow].id == permit.borrow_id);
  own_borrows_.Remove(borrow);
  actions.push_back({.kind = RouterAction::Kind::kReturnPermit,
                     .host = permit.lender,
                     .borrow_id = permit.borrow_id,
                     .permit = permit});
}

bool ServiceRouter::Cancel(std::uint64_t request_id, TimePoint now,
                           RouterActions& actions) {
  Advance(now);
  if (request_buckets_.empty()) return false;
  FairQueue::Entry entry = request_buckets_[BucketOf(request_id)];
  while (entry != kNoIndex && queue_.request(entry).id != request_id) {
    entry = waiting_[entry].next_in_bucket;
  }
  if (entry == kNoIndex) return false;
  Dequeue(entry, false, now, actions);
  return true;
}

void ServiceRouter::Tick(TimePoint now, RouterActions& actions) {
  Advance(now);
  ExpireRequests(now, actions);
  ExpireBorrows(now, actions);
  WatchLent(now, actions);
  WatchBusySlots(now, actions);
  ServeAll(now, actions);
}

void ServiceRouter::OnProbeResult(ServerIndex server,
                                  const RouterObservation& observation,
                                  TimePoint now, RouterActions& actions) {
  Advance(now);
  TakeEvidence(server, observation, now, actions);
}

void ServiceRouter::OnHealth(ServerIndex server, BackendServer::Health health,
                             TimePoint now, RouterActions& actions) {
  Advance(now);
  if (backends_[server].ObserveHealth(health) ==
      BackendServer::Change::kShared) {
    Publish(server, kNoIndex, actions);
  }
  RefreshServer(server);
  ServeFrom(server, now, actions);
}

void ServiceRouter::OnServerState(HostIndex from, ServerIndex server,
                                  const ServerState& state, TimePoint now,
                                  RouterActions& actions) {
  Advance(now);
  const std::uint64_t sequence = backends_[server].sequence();
  const BackendServer::Change change = backends_[server].Merge(state);
  if (change == BackendServer::Change::kShared) {
    const bool is_news = backends_[server].sequence() != sequence;
    Publish(server, is_news ? kNoIndex : from, actions);
  }
  RefreshServer(server);
  ServeFrom(server, now, actions);
}

bool ServiceRouter::should_probe(ServerIndex server, TimePoint now) const {
  const BackendServer& backend = backends_[server];
  return !backend.configuration().is_out && !backend.is_settled() &&
         now - backend.last_evidence() > kSilence;
}

ServerIndex ServiceRouter::server_index(const ServerId& id) const {
  const auto found = server_indexes_.find(id.value());
  return found == server_indexes_.end() ? kNoIndex : found->second;
}

HostIndex ServiceRouter::host_index(const HostId& id) const {
  const auto found = host_indexes_.find(id.value());
  return found == host_indexes_.end() ? kNoIndex : found->second;
}

std::size_t ServiceRouter::bytes() const {
  // Life cycle objects and hash nodes are counted with their usual heap sizes.
  constexpr std::size_t kLifeCycleBytes = 128;
  constexpr std::size_t kNameBytes = 96;
  return sizeof(*this) + permits_.bytes() + queue_.bytes() + parked_.bytes() +
         own_borrows_.bytes() + lent_.bytes() + peers_.bytes() +
         backends_.capacity() * sizeof(BackendServer) +
         backends_.size() * kLifeCycleBytes +
         (backends_.size() + hosts_.size()) * kNameBytes +
         waiting_.capacity() * sizeof(Waiting) + deadlines_.bytes();
}

}  // namespace dogwood
