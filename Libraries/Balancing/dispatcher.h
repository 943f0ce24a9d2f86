#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Balancing/admission.h"
#include "Libraries/Balancing/peer_table.h"
#include "Libraries/Balancing/server_table.h"

namespace dogwood {

// A request that needs a backend server, as its host describes it to the
// dispatcher of its service and availability zone.
struct DispatchRequest {
  std::string host;          // entry host that holds the request
  std::uint64_t number = 0;  // unique at that host
  ServiceId service;
  unsigned priority = 0;   // 0 is the most urgent
  Duration usual_work{};   // at a server that is not slowed
  Duration goal{};         // the route's latency goal
  TimePoint goal_at{};     // when the caller's goal passes
  TimePoint deadline{};    // when the answer is due in any case
  TimePoint arrived_at{};  // at the dispatcher
  std::size_t body_bytes = 0;
  std::vector<ServerKey> excluded;  // servers already tried
  bool is_hedge = false;  // a second try beside one that is still running
  Repeatability repeatability = Repeatability::kRepeatable;
};

struct DispatchDecision {
  std::string host;
  std::uint64_t number = 0;
  AdmissionVerdict verdict = AdmissionVerdict::kRefuse;
  std::optional<Placement> placement;
  ServerTable::Occupancy occupancy;
};

// Decides for the requests of a service in one availability zone which backend
// server each goes to. One host at a time dispatches, so that the work it has
// granted is known exactly. Requests wait in the order: those that can still
// meet their goal, by priority, then by arrival.
class Dispatcher {
 public:
  // A grant whose end is not told is taken back this long after its deadline.
  static constexpr Duration kGrantMargin = std::chrono::milliseconds(500);

  Dispatcher(ServerTable& servers, const PeerTable& peers,
             ServerTable::Random& random)
      : servers_(servers), peers_(peers), random_(random) {}

  // Decides at once where possible; otherwise the request waits.
  std::optional<DispatchDecision> Add(DispatchRequest request, TimePoint now);
  // The request is withdrawn: it leaves the queue, or its grant is taken back.
  void Withdraw(const std::string& host, std::uint64_t number, TimePoint now);
  // The work of a grant has ended.
  void OnEnded(const std::string& host, std::uint64_t number,
               AttemptOutcome outcome, TimePoint now);
  // Decides for waiting requests after something has changed.
  std::vector<DispatchDecision> Review(TimePoint now);

  std::size_t waiting_count() const { return waiting_.size(); }
  std::size_t grant_count() const { return grants_.size(); }

 private:
  struct Grant {
    std::string host;
    std::uint64_t number = 0;
    ServerKey server;
    TimePoint expires_at{};
  };

  // What one pass over the queue knows of a service.
  struct ServicePass {
    std::size_t waiting_before = 0;
    // A request found no server; others do not search again.
    bool is_full = false;
    std::optional<ServerTable::Occupancy> occupancy;
  };

  std::optional<DispatchDecision> Decide(const DispatchRequest& request,
                                         ServicePass& pass, TimePoint now);
  void TakeBackOverdue(TimePoint now);

  ServerTable& servers_;
  const PeerTable& peers_;
  ServerTable::Random& random_;
  std::vector<DispatchRequest> waiting_;
  std::vector<Grant> grants_;
};

}  // namespace dogwood
