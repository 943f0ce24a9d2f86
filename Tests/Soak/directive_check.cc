#include "Tests/Soak/directive_check.h"

namespace dogwood {

std::string DirectiveCheck::OnRequest(int server, const std::string& id,
                                      TimePoint now) {
  if (server == kLimitedServer) {
    OnRequestToLimitedServer(id, now);
    return "Server-Limit: " + std::to_string(kLimit) + "\r\n";
  }
  if (server == kLeavingServer) {
    OnRequestToLeavingServer(id, now);
    return "Server-Leaving: 1\r\n";
  }
  return "";
}

void DirectiveCheck::OnRequestToLimitedServer(const std::string& id,
                                              TimePoint now) {
  if (limited_since_ == TimePoint{}) limited_since_ = now;
  if (now - limited_since_ < kLimitReactionTime) return;
  limited_requests_.push_back(now);
  while (now - limited_requests_.front() > kLimitWindow)
    limited_requests_.pop_front();
  constexpr double kWindowSeconds =
      std::chrono::duration<double>(kLimitWindow).count();
  const double allowed = kLimitFactor * kLimit * kWindowSeconds + kLimitExcess;
  const auto count = static_cast<double>(limited_requests_.size());
  if (count <= allowed) return;
  const double seconds =
      std::chrono::duration<double>(now - limited_since_).count();
  checker_.OnViolation(Invariant::kLimitIsKept,
                       id + ", " + std::to_string(limited_requests_.size()) +
                           " requests, " + std::to_string(seconds) +
                           " s after the first response");
}

void DirectiveCheck::OnRequestToLeavingServer(const std::string& id,
                                              TimePoint now) {
  if (leaving_since_ == TimePoint{}) leaving_since_ = now;
  if (now - leaving_since_ > kDrainTime && !has_host_stopped_)
    checker_.OnViolation(Invariant::kLeavingServerIsIdle, id);
}

}  // namespace dogwood
