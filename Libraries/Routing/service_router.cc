#include "Libraries/Routing/service_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwood {
namespace {

// Factor by which each response moves the median latency estimate.
constexpr double kMedianStepFactor = 1.01;
// Weight of the newest response in the mean latency.
constexpr double kMeanLatencyWeight = 0.02;
// A server below full concurrency is probed after this time without a
// response.
constexpr Duration kProbeAfterSilence = std::chrono::milliseconds(500);

}  // namespace

ServiceRouter::ServiceRouter(RouterOptions options, std::mt19937_64& engine)
    : options_(options),
      engine_(&engine),
      lease_(options.permit_lease, options.permit_takeover_delay),
      permits_(options_),
      next_borrow_generation_(options.first_borrow_generation) {
  VERIFY(options_.borrow_fanout <= kMaximumBorrowFanout);
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
  AssignAllFreePermits(now, actions);
}

bool ServiceRouter::is_server_allowed(const RouterRequest& request,
                                      ServerIndex server,
                                      bool is_first_slot) const {
  if (request.is_suspect && !is_first_slot) return false;
  return server != request.excluded || backends_.size() == 1;
}

ServerIndex ServiceRouter::FindFreeServer(const RouterRequest& request) const {
  if (!request.is_suspect) {
    return backends_.size() == 1
               ? permits_.best_server()
               : permits_.best_server_except(request.excluded);
  }
  // Crash suspects are rare, so a linear search is acceptable.
  for (ServerIndex server = 0; server < backends_.size(); ++server) {
    if (permits_.is_first_slot_free(server) &&
        is_server_allowed(request, server, true)) {
      return server;
    }
  }
  return kInvalidIndex;
}

Permit ServiceRouter::TakePermit(ServerIndex server, bool is_suspect) {
  Permit permit;
  permit.server = server;
  if (is_suspect) {
    permits_.TakeFirstSlot(server);
  } else {
    permit.slot = permits_.Take(server);
  }
  return permit;
}

// Expected wait of a new request of the class, if this host used only its share
// of the permits. Borrowing shortens it.
Duration ServiceRouter::EstimateWait(AgreementCompliance agreement) const {
  const std::size_t ahead = agreement == AgreementCompliance::kWithin
                                ? queue_.size(AgreementCompliance::kWithin)
                                : queue_.size();
  const double share =
      static_cast<double>(permits_.usable_permits()) /
      static_cast<double>(std::max<std::size_t>(1, live_hosts_));
  const double servers =
      std::max({1.0, share, static_cast<double>(permits_.owned_permits())});
  return Duration(static_cast<std::int64_t>(static_cast<double>(ahead) *
                                            mean_latency_ / servers));
}

PermitAcquisition ServiceRouter::Acquire(const RouterRequest& request,
                                         TimePoint now,
                                         RouterActions& actions) {
  Advance(now);
  if (can_use_own_permits(now)) {
    const ServerIndex server = FindFreeServer(request);
    if (server != kInvalidIndex) {
      return {.kind = PermitAcquisition::Kind::kGranted,
              .permit = TakePermit(server, request.is_suspect)};
    }
  }
  PermitAcquisition refusal;
  if (permits_.usable_permits() == 0 && backends_.empty()) return refusal;
  const Duration wait = EstimateWait(request.agreement);
  const bool is_over = request.agreement == AgreementCompliance::kOver;
  const auto over_limit = static_cast<std::size_t>(
      options_.over_agreement_queue_share * options_.queue_limit);
  if (queue_.size() >= options_.queue_limit ||
      (is_over && queue_.size(AgreementCompliance::kOver) >= over_limit)) {
    refusal.reason = RefusalReason::kOverCapacity;
    refusal.retry_after = wait;
    return refusal;
  }
  if (now + wait >= request.deadline) {
    refusal.reason = RefusalReason::kDeadlineTooShort;
    refusal.retry_after = wait;
    return refusal;
  }
  SendBorrowRequests(Enqueue(request), now, actions);
  return {.kind = PermitAcquisition::Kind::kQueued};
}

void ServiceRouter::RecordLatency(const AttemptObservation& observation) {
  if (observation.result != AttemptObservation::Result::kAnswered) return;
  const auto latency = static_cast<double>(observation.latency.count());
  if (median_latency_ <= 0) {
    median_latency_ = latency;
    mean_latency_ = latency;
    return;
  }
  median_latency_ *=
      latency > median_latency_ ? kMedianStepFactor : 1 / kMedianStepFactor;
  mean_latency_ += kMeanLatencyWeight * (latency - mean_latency_);
}

void ServiceRouter::PublishState(ServerIndex server, HostIndex to,
                                 RouterActions& actions) const {
  actions.push_back(
      {.kind = RouterAction::Kind::kServerState, .host = to, .server = server});
}

void ServiceRouter::RefreshServer(ServerIndex server) {
  permits_.SetUsableSlots(server, backends_[server].usable_slots());
  permits_.SetScore(server, std::round(2 * backends_[server].latency_score()));
}

void ServiceRouter::ApplyObservation(ServerIndex server,
                                     const AttemptObservation& observation,
                                     TimePoint now, RouterActions& actions) {
  RecordLatency(observation);
  if (observation.in_work.has_value()) {
    permits_.ObserveInFlight(server, *observation.in_work, now);
  }
  const std::uint32_t usable = backends_[server].usable_slots();
  const BackendServer::Change change =
      backends_[server].Observe(observation, service_median_latency(), now);
  if (change == BackendServer::Change::kMustPublish) {
    PublishState(server, kInvalidIndex, actions);
  }
  RefreshServer(server);
  if (backends_[server].usable_slots() > usable) {
    AssignFreePermits(server, now, actions);
  }
}

void ServiceRouter::ReleaseOwnPermit(ServerIndex server, std::uint32_t slot,
                                     TimePoint now, RouterActions& actions) {
  permits_.Release(server, slot);
  const HostIndex owner = permits_.owner(server, slot);
  if (owner != self_) {
    if (owner != kInvalidIndex) {
      actions.push_back({.kind = RouterAction::Kind::kSlotFree,
                         .host = owner,
                         .permit = {.server = server, .slot = slot}});
    }
    return;
  }
  AssignFreePermits(server, now, actions);
}

void ServiceRouter::Complete(const Permit& permit,
                             const AttemptObservation& observation,
                             TimePoint now, RouterActions& actions) {
  Advance(now);
  ApplyObservation(permit.server, observation, now, actions);
  if (!permit.is_lent()) {
    ReleaseOwnPermit(permit.server, permit.slot, now, actions);
    return;
  }
  const std::uint32_t borrow = BorrowIndex(permit.borrow_id);
  VERIFY(outgoing_borrows_.contains(borrow) &&
         outgoing_borrows_[borrow].id == permit.borrow_id);
  outgoing_borrows_.Remove(borrow);
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
  while (entry != kInvalidIndex && queue_.request(entry).id != request_id) {
    entry = waiting_requests_[entry].next_in_bucket;
  }
  if (entry == kInvalidIndex) return false;
  Dequeue(entry, false, now, actions);
  return true;
}

void ServiceRouter::Tick(TimePoint now, RouterActions& actions) {
  Advance(now);
  ExpireRequests(now, actions);
  ExpireBorrows(now, actions);
  CheckLentPermits(now, actions);
  QueryBusySlots(now, actions);
  AssignAllFreePermits(now, actions);
}

void ServiceRouter::OnProbeResult(ServerIndex server,
                                  const AttemptObservation& observation,
                                  TimePoint now, RouterActions& actions) {
  Advance(now);
  ApplyObservation(server, observation, now, actions);
}

void ServiceRouter::OnHealth(ServerIndex server, BackendServer::Health health,
                             TimePoint now, RouterActions& actions) {
  Advance(now);
  if (backends_[server].ObserveHealth(health) ==
      BackendServer::Change::kMustPublish) {
    PublishState(server, kInvalidIndex, actions);
  }
  RefreshServer(server);
  AssignFreePermits(server, now, actions);
}

void ServiceRouter::OnServerState(HostIndex from, ServerIndex server,
                                  const SharedServerState& state, TimePoint now,
                                  RouterActions& actions) {
  Advance(now);
  const std::uint64_t sequence = backends_[server].sequence();
  const BackendServer::Change change = backends_[server].Merge(state);
  if (change == BackendServer::Change::kMustPublish) {
    const bool has_newer_state = backends_[server].sequence() != sequence;
    PublishState(server, has_newer_state ? kInvalidIndex : from, actions);
  }
  RefreshServer(server);
  AssignFreePermits(server, now, actions);
}

bool ServiceRouter::should_probe(ServerIndex server, TimePoint now) const {
  const BackendServer& backend = backends_[server];
  return !backend.configuration().is_out_of_rotation && !backend.is_settled() &&
         now - backend.last_observed_at() > kProbeAfterSilence;
}

ServerIndex ServiceRouter::server_index(const ServerId& id) const {
  const auto found = server_indexes_.find(id.value());
  return found == server_indexes_.end() ? kInvalidIndex : found->second;
}

HostIndex ServiceRouter::host_index(const HostId& id) const {
  const auto found = host_indexes_.find(id.value());
  return found == host_indexes_.end() ? kInvalidIndex : found->second;
}

std::size_t ServiceRouter::bytes() const {
  // Lifecycle objects and hash nodes count with their usual heap sizes.
  constexpr std::size_t kLifecycleBytes = 128;
  constexpr std::size_t kNameBytes = 96;
  return sizeof(*this) + permits_.bytes() + queue_.bytes() +
         borrow_queue_.bytes() + outgoing_borrows_.bytes() +
         lent_permits_.bytes() + peer_selector_.bytes() +
         backends_.capacity() * sizeof(BackendServer) +
         backends_.size() * kLifecycleBytes +
         (backends_.size() + hosts_.size()) * kNameBytes +
         waiting_requests_.capacity() * sizeof(WaitingRequest) +
         deadlines_.bytes();
}

}  // namespace dogwood
