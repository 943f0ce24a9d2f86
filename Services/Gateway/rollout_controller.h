#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Carries out the operators' orders to roll out a version of a service. The
// dispatcher of the service in the zone that ranks first decides for the fleet;
// it collects the evidence of the other zones' dispatchers, and its decisions
// take effect through the store's status row, written under a condition on a
// row of its own. The dispatchers pass the phase on to the hosts of their
// zones.
class RolloutController {
 public:
  // Between two rounds of reports, decisions and statuses.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);
  // Final phases are sent in one of this many rounds, for hosts that start.
  static constexpr std::uint64_t kRoundsPerFinalStatus = 5;
  // A host that has heard nothing for this long sends nothing to a version that
  // is being tried. Several rounds.
  static constexpr Duration kStatusTimeout = std::chrono::milliseconds(1500);
  // The attempt took this many times as long as expected.
  static constexpr double kSlowRatio = 3;

  using SendFunction =
      std::function<void(const std::string& ip, const PeerMessage& message)>;

  RolloutController(GatewayContext& context, platform::StoreClient& store,
                    SendFunction send)
      : context_(context), store_(store), send_(std::move(send)) {}
  RolloutController(const RolloutController&) = delete;
  RolloutController& operator=(const RolloutController&) = delete;

  void Start();

  // An attempt that this host dispatched has ended.
  void OnAttemptEnded(ServerKey server, std::uint64_t request_kind,
                      AttemptOutcome outcome, double service_time_ratio);
  // Handle the messages of other hosts.
  void OnReport(const std::string& ip, const RolloutReport& report);
  void OnStatus(const RolloutStatus& status);

 private:
  struct Rollout {
    RolloutOrder order;
    RolloutPhase phase = RolloutPhase::kHold;
    TimePoint heard_at{};      // when the host that decides last said so
    RolloutEvidence evidence;  // of this host
    std::map<std::string, RolloutReport> reports;  // by host
    // On the host that decides.
    bool is_loaded = false;  // whether what the store has is known
    bool is_writing = false;
    platform::StoreVersion row_version;
    RolloutPhase stored_phase = RolloutPhase::kHold;
    TimePoint started_at{};
    TimePoint shifted_at{};
  };

  boost::asio::awaitable<void> Run();
  // Adds new orders and drops those that were withdrawn or replaced.
  void UpdateOrders();
  void RunRound(Rollout& rollout, TimePoint now);
  bool is_deciding(const ServiceId& service, TimePoint now) const;
  // Reads what an earlier deciding host wrote of the order.
  boost::asio::awaitable<void> Load(ServiceId service);
  void Decide(Rollout& rollout, TimePoint now);
  // Writes a phase that the operator has to know. It takes effect when the
  // store has accepted it, except that a faulty version gets nothing at once.
  boost::asio::awaitable<void> Write(ServiceId service, RolloutPhase phase);
  void EnterPhase(Rollout& rollout, RolloutPhase phase);
  void ApplyRule(const Rollout& rollout, TimePoint now);
  RolloutEvidence TotalEvidence(const Rollout& rollout) const;
  Rollout* Find(const ServiceId& service);

  GatewayContext& context_;
  platform::StoreClient& store_;
  SendFunction send_;
  std::map<ServiceId, Rollout> rollouts_;
  std::uint64_t round_ = 0;
};

}  // namespace dogwood
