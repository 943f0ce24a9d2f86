#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Routing/permit_lease.h"
#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Limits the rate of probes to each backend server over all hosts. Rendezvous
// hashing selects one host as the prober of a server. A host gives up that role
// at once and takes it over after the takeover delay with an empty token bucket
// of depth one, so two probes are at least one period apart.
class ProbeRateLimiter {
 public:
  ProbeRateLimiter(Duration permit_lease, Duration takeover_delay);

  // A rate of 0 disables probes.
  void SetServer(const ServerId& server, double probes_per_second,
                 TimePoint now);
  void RemoveServer(const ServerId& server);
  void ApplyHosts(const std::vector<HostId>& hosts, const HostId& self,
                  PermitLeaseRule lease_rule, TimePoint now);
  void SetLeaseRenewed(TimePoint sent_at, TimePoint now);

  // Takes a token if this host may probe the server now. Must be called at
  // least once per lease duration, since a longer gap counts as a pause.
  bool try_take(const ServerId& server, TimePoint now);
  bool is_prober(const ServerId& server) const;

 private:
  struct Entry {
    std::uint64_t name_hash = 0;
    double probes_per_second = 0;
    bool is_prober = false;
    TimePoint bucket_empty_at{};
  };

  void UpdateProber(Entry& entry, TimePoint now) const;

  Duration takeover_delay_;
  PermitLease lease_;
  std::vector<std::uint64_t> host_hashes_;
  std::uint64_t self_hash_ = 0;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace dogwood
