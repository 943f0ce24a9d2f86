#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Balancing/admission_control.h"
#include "Libraries/Balancing/dispatch_request.h"
#include "Libraries/Balancing/peer_table.h"
#include "Libraries/Balancing/request_order.h"
#include "Libraries/Balancing/server_table.h"

namespace dogwood {

struct DispatchDecision {
  std::string host;
  std::uint64_t request_number = 0;
  AdmissionDecision admission = AdmissionDecision::kRefuse;
  std::optional<ServerSelection> selection;
  ServerTable::Occupancy occupancy;
};

// Distinguishes the requests of routes that a backend server may serve
// differently.
inline std::uint64_t RequestKindOf(const DispatchRequest& request) {
  return static_cast<std::uint64_t>(
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 request.latency_goal)
                 .count()) *
             2 +
         (request.retry_safety == RetrySafety::kRetryable ? 1 : 0);
}

// Assigns the requests of one availability zone to backend servers. Per service
// and zone a single host dispatches, so that it knows exactly which slots it
// has granted. RequestOrder gives the order of the queue.
class Dispatcher {
 public:
  // Grants without a completion message expire this long after their deadline.
  static constexpr Duration kGrantExpiryMargin = std::chrono::milliseconds(500);

  Dispatcher(ServerTable& servers, const PeerTable& peers,
             ServerTable::Random& random)
      : servers_(servers), peers_(peers), random_(random) {}

  // Decides immediately if possible; otherwise queues the request and returns
  // nullopt.
  std::optional<DispatchDecision> Add(DispatchRequest request, TimePoint now);
  // Cancels a request: removes it from the queue or revokes its grant.
  void Cancel(const std::string& host, std::uint64_t request_number,
              TimePoint now);
  // Releases the slot of a grant whose attempt has ended. Returns the kind of
  // its request, see RequestKindOf(); absent for an unknown grant.
  std::optional<std::uint64_t> OnEnded(const std::string& host,
                                       std::uint64_t request_number,
                                       AttemptOutcome outcome, TimePoint now);
  // Reclaims expired grants, then decides for as many queued requests as
  // possible.
  std::vector<DispatchDecision> ProcessQueue(TimePoint now);

  std::size_t queue_length() const { return queue_.size(); }
  std::size_t grant_count() const { return grants_.size(); }

 private:
  struct Grant {
    std::string host;
    std::uint64_t request_number = 0;
    ServerKey server;
    TimePoint expires_at{};
    std::uint64_t request_kind = 0;
  };

  // Per-service state of one pass over the queue.
  struct ServiceQueuePass {
    Duration queued_work{};  // service time of the requests ahead
    // The servers that a request excluded that found none. The rest of the pass
    // skips the search for requests that exclude the same ones.
    std::optional<std::vector<ServerKey>> full_without;
    std::optional<ServerTable::Occupancy> occupancy;
    std::optional<std::size_t> dispatcher_count;

    bool is_full_for(const DispatchRequest& request) const;
  };

  std::optional<DispatchDecision> Decide(const DispatchRequest& request,
                                         ServiceQueuePass& pass, TimePoint now);
  void ReclaimExpiredGrants(TimePoint now);
  void SortQueue(TimePoint now);

  ServerTable& servers_;
  const PeerTable& peers_;
  ServerTable::Random& random_;
  RequestOrder order_;
  std::vector<DispatchRequest> queue_;
  std::vector<Grant> grants_;
};

}  // namespace dogwood
