#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <unordered_set>

#include "Libraries/Routing/poison_request_detector.h"
#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Keeps requests that crash backend servers from reaching more of them. Tracks
// the attempts of this host, confirms crashes by connecting to the server, and
// shares what it attributes to a request with the other hosts.
class PoisonRequestGuard {
 public:
  using Records = PoisonRequestDetector::Records;
  using ShareFunction = std::function<void(const Records& records)>;

  // Time for a backend server to accept the connection that shows whether it
  // has crashed.
  static constexpr Duration kConfirmationTimeout =
      std::chrono::milliseconds(300);

  // An attempt that may be running at a backend server. One that is destroyed
  // without an outcome is neither lost nor served.
  class TrackedAttempt {
   public:
    TrackedAttempt(PoisonRequestGuard& guard, std::uint64_t fingerprint,
                   const ServerRegistration& server);
    ~TrackedAttempt();
    TrackedAttempt(const TrackedAttempt&) = delete;
    TrackedAttempt& operator=(const TrackedAttempt&) = delete;

    void End(AttemptOutcome outcome);

   private:
    friend class PoisonRequestGuard;

    PoisonRequestGuard* guard_;  // null after the end or the guard's end
    std::uint64_t fingerprint_;
    ServerId server_;
  };

  PoisonRequestGuard(GatewayContext& context, ShareFunction share);
  ~PoisonRequestGuard();
  PoisonRequestGuard(const PoisonRequestGuard&) = delete;
  PoisonRequestGuard& operator=(const PoisonRequestGuard&) = delete;

  // Whether the request must not be sent to a backend server.
  bool is_refused(std::uint64_t fingerprint, TimePoint now) const {
    return detector_.is_refused(fingerprint, now);
  }
  Duration RefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const {
    return detector_.RefusalTimeLeft(fingerprint, now);
  }

  // Applies the records of another host. Returns those that were news.
  Records Merge(const Records& records, TimePoint now);
  Records Refused(TimePoint now) const { return detector_.Refused(now); }

 private:
  void OnEnd(TrackedAttempt& attempt, PoisonRequestDetector::Outcome outcome);
  void Share(const Records& records);
  // Connects to a backend server that lost a request. One that does not accept
  // the connection has crashed; a reset alone may be a network fault.
  boost::asio::awaitable<void> ConfirmCrash(ServerKey key);
  boost::asio::awaitable<bool> IsAcceptingConnections(
      const ServerRegistration& server);

  GatewayContext& context_;
  ShareFunction share_;
  PoisonRequestDetector detector_;
  std::unordered_set<TrackedAttempt*> attempts_;
  std::set<ServerKey> confirmations_in_flight_;
};

}  // namespace dogwood
