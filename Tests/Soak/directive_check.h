#pragma once

#include <deque>
#include <string>

#include "Tests/Soak/invariant_checker.h"

namespace dogwood {

// Lets two backend servers ask for something in their responses during the
// recovery phase, and checks from their requests that the hosts follow.
class DirectiveCheck {
 public:
  static constexpr int kLimitedServer = 1;
  static constexpr int kLeavingServer = 2;

  explicit DirectiveCheck(InvariantChecker& checker) : checker_(checker) {}

  // Records a request at a server. Returns the header fields of its response.
  std::string OnRequest(int server, const std::string& id, TimePoint now);
  // A host that has restarted may not know yet that a server is leaving.
  void OnHostStopped() { has_host_stopped_ = true; }

 private:
  static constexpr double kLimit = 10;  // requests per second
  static constexpr double kLimitFactor = 1.5;
  static constexpr double kLimitExcess = 5;  // requests
  static constexpr Duration kLimitWindow = std::chrono::seconds(4);
  // Time after the first response with a limit until the limit must be kept.
  static constexpr Duration kLimitReactionTime = std::chrono::seconds(3);
  static constexpr Duration kDrainTime = std::chrono::seconds(2);

  void OnRequestToLimitedServer(const std::string& id, TimePoint now);
  void OnRequestToLeavingServer(const std::string& id, TimePoint now);

  InvariantChecker& checker_;
  TimePoint limited_since_{};
  std::deque<TimePoint> limited_requests_;  // of the last kLimitWindow
  TimePoint leaving_since_{};
  bool has_host_stopped_ = false;
};

}  // namespace dogwood
