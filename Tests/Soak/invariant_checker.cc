#include "Tests/Soak/invariant_checker.h"

#include <algorithm>

namespace dogwood {
namespace {

// Statuses that the gateway sends only for requests that did not run.
bool MeansNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void InvariantChecker::OnViolation(Invariant invariant, std::string detail) {
  if (violations_.size() < kMaxViolations)
    violations_.push_back({invariant, std::move(detail)});
}

void InvariantChecker::OnRequestSent(const SentRequest& request) {
  requests_[request.id] = {request, 0, false, is_recovery_phase_};
}

void InvariantChecker::OnRequestRun(const SentRequest& request,
                                    const std::string& server) {
  const auto found = requests_.find(request.id);
  if (found == requests_.end()) {
    OnViolation(Invariant::kRunsOnlyAsSent, request.id + " at " + server);
    return;
  }
  Record& record = found->second;
  const SentRequest& sent = record.sent;
  if (sent.method != request.method || sent.target != request.target ||
      sent.body != request.body) {
    OnViolation(Invariant::kRunsOnlyAsSent,
                request.id + " arrived modified at " + server);
  }
  ++record.runs;
  if (sent.is_retryable) return;
  if (record.runs > 1)
    OnViolation(Invariant::kRunsAtMostOnce, request.id + " at " + server);
  if (record.is_reported_not_run)
    OnViolation(Invariant::kNotRunIsTrue,
                request.id + " ran after its response at " + server);
}

void InvariantChecker::OnResponse(const std::string& id, unsigned status,
                                  bool is_matching_response) {
  Record& record = requests_[id];
  const bool is_success = status >= 200 && status < 300;
  if (is_success && !is_matching_response)
    OnViolation(Invariant::kMatchingResponse, id);
  if (is_success) ++served_;
  if (MeansNotRun(status)) {
    record.is_reported_not_run = true;
    if (record.runs > 0 && !record.sent.is_retryable)
      OnViolation(Invariant::kNotRunIsTrue,
                  id + " with status " + std::to_string(status));
  }
  if (!record.is_recovery_phase) return;
  ++recovery_responded_;
  if (is_success) ++recovery_served_;
  if (status == 0 && record.runs > 0) ++recovery_lost_;
}

void InvariantChecker::OnVersionProbe(const std::string& host, int incarnation,
                                      std::uint64_t version, unsigned status) {
  constexpr unsigned kNotFound = 404;
  std::uint64_t& seen = versions_[{host, incarnation}];
  if (status == kNotFound && version <= seen) {
    OnViolation(Invariant::kVersionNeverDecreases,
                host + " has no route of version " + std::to_string(version) +
                    " after serving version " + std::to_string(seen));
  }
  const bool has_route = status >= 200 && status < 300;
  if (has_route) seen = std::max(seen, version);
}

void InvariantChecker::BeginRecoveryPhase() {
  is_recovery_phase_ = true;
  recovery_responded_ = recovery_served_ = recovery_lost_ = 0;
}

void InvariantChecker::EndRecoveryPhase(double min_served_share) {
  is_recovery_phase_ = false;
  const double served_share =
      static_cast<double>(recovery_served_) /
      static_cast<double>(std::max<std::size_t>(recovery_responded_, 1));
  if (served_share < min_served_share) {
    OnViolation(Invariant::kServesWithoutFaults,
                std::to_string(recovery_served_) + " of " +
                    std::to_string(recovery_responded_) + " requests served");
  }
}

}  // namespace dogwood
