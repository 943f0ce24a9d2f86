#include "Tests/Soak/soak_ledger.h"

#include <algorithm>

namespace dogwood {
namespace {

bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void SoakLedger::OnViolation(Promise promise, std::string detail) {
  if (violations_.size() < kMostViolations)
    violations_.push_back({promise, std::move(detail)});
}

void SoakLedger::OnAsked(const AskedRequest& request) {
  requests_[request.id] = {request, 0, false, is_calm_};
}

void SoakLedger::OnRun(const AskedRequest& request, const std::string& server) {
  const auto found = requests_.find(request.id);
  if (found == requests_.end()) {
    OnViolation(Promise::kAsked, request.id + " at " + server);
    return;
  }
  Record& record = found->second;
  const AskedRequest& asked = record.asked;
  if (asked.method != request.method || asked.target != request.target ||
      asked.body != request.body) {
    OnViolation(Promise::kAsked, request.id + " was changed at " + server);
  }
  ++record.runs;
  if (asked.may_repeat) return;
  if (record.runs > 1)
    OnViolation(Promise::kOnce, request.id + " at " + server);
  if (record.is_told_not_run)
    OnViolation(Promise::kNotRun, request.id + " ran later at " + server);
}

void SoakLedger::OnAnswer(const std::string& id, unsigned status,
                          bool is_own_answer) {
  Record& record = requests_[id];
  const bool is_success = status >= 200 && status < 300;
  if (is_success && !is_own_answer) OnViolation(Promise::kOwnAnswer, id);
  if (is_success) ++served_;
  if (PromisesNotRun(status)) {
    record.is_told_not_run = true;
    if (record.runs > 0 && !record.asked.may_repeat)
      OnViolation(Promise::kNotRun, id + " with " + std::to_string(status));
  }
  if (!record.is_calm) return;
  ++calm_answered_;
  if (is_success) ++calm_served_;
  if (status == 0 && record.runs > 0) ++calm_lost_;
}

void SoakLedger::OnVersionProbe(const std::string& host, int incarnation,
                                std::uint64_t version, unsigned status) {
  constexpr unsigned kNotFound = 404;
  std::uint64_t& seen = versions_[{host, incarnation}];
  if (status == kNotFound && version <= seen) {
    OnViolation(Promise::kVersionForward, host + " lacks version " +
                                              std::to_string(version) +
                                              " after " + std::to_string(seen));
  }
  const bool has_route = status >= 200 && status < 300;
  if (has_route) seen = std::max(seen, version);
}

void SoakLedger::BeginCalm() {
  is_calm_ = true;
  calm_answered_ = calm_served_ = calm_lost_ = 0;
}

void SoakLedger::EndCalm(double least_served_share) {
  is_calm_ = false;
  const double share =
      static_cast<double>(calm_served_) /
      static_cast<double>(std::max<std::size_t>(calm_answered_, 1));
  if (share < least_served_share) {
    OnViolation(Promise::kRecovery, std::to_string(calm_served_) + " of " +
                                        std::to_string(calm_answered_));
  }
}

}  // namespace dogwood
