#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Routing/permit_lease.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Decides when this host may send a measuring request to a backend server, so
// that the whole fleet stays within the probes per second agreed for it. One
// host is the prober of a server. It gives up that role at once and takes it up
// after the takeover delay with an empty bucket of depth one, so two probes to
// a server are always at least one period apart.
class ProbeBudget {
 public:
  ProbeBudget(Duration permit_lease, Duration takeover_delay);

  // A rate of 0 forbids probes.
  void SetServer(const ServerId& server, double probes_per_second,
                 TimePoint now);
  void RemoveServer(const ServerId& server);
  void ApplyHosts(const std::vector<HostId>& hosts, const HostId& self,
                  LeaseRule lease_rule, TimePoint now);
  void SetLeaseRenewed(TimePoint sent_at, TimePoint now);

  // Takes the token of the server if this host may probe it now. To be called
  // at least once per lease for the detection of pauses.
  bool try_take(const ServerId& server, TimePoint now);
  bool is_prober(const ServerId& server) const;

 private:
  struct Entry {
    std::uint64_t name_hash = 0;
    double probes_per_second = 0;
    bool is_mine = false;
    TimePoint filling_since{};  // the bucket was empty then
  };

  void UpdateProber(Entry& entry, TimePoint now) const;

  Duration takeover_delay_;
  PermitLease lease_;
  std::vector<std::uint64_t> host_hashes_;
  std::uint64_t self_hash_ = 0;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace dogwood
