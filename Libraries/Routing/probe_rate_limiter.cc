#include "Libraries/Routing/probe_rate_limiter.h"

#include <algorithm>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {
namespace {

// Used in place of a slot index in the rendezvous hash; greater than any slot
// index.
constexpr std::uint32_t kProberHashSlot = kMaximumSlots;

}  // namespace

ProbeRateLimiter::ProbeRateLimiter(Duration permit_lease,
                                   Duration takeover_delay)
    : takeover_delay_(takeover_delay), lease_(permit_lease, takeover_delay) {}

void ProbeRateLimiter::UpdateProber(Entry& entry, TimePoint now) const {
  bool is_prober = !host_hashes_.empty();
  const std::uint64_t own =
      RendezvousWeight(self_hash_, entry.name_hash, kProberHashSlot);
  for (const std::uint64_t host : host_hashes_) {
    if (RendezvousWeight(host, entry.name_hash, kProberHashSlot) > own) {
      is_prober = false;
    }
  }
  if (is_prober && !entry.is_prober)
    entry.bucket_empty_at = now + takeover_delay_;
  entry.is_prober = is_prober;
}

void ProbeRateLimiter::SetServer(const ServerId& server,
                                 double probes_per_second, TimePoint now) {
  Entry& entry = entries_[server.value()];
  if (probes_per_second != entry.probes_per_second) {
    entry.bucket_empty_at = std::max(entry.bucket_empty_at, now);
  }
  entry.name_hash = HashName(server.value());
  entry.probes_per_second = std::max(0.0, probes_per_second);
  UpdateProber(entry, now);
}

void ProbeRateLimiter::RemoveServer(const ServerId& server) {
  entries_.erase(server.value());
}

void ProbeRateLimiter::ApplyHosts(const std::vector<HostId>& hosts,
                                  const HostId& self,
                                  PermitLeaseRule lease_rule, TimePoint now) {
  lease_.set_is_exempt(lease_rule == PermitLeaseRule::kSingleHost);
  lease_.Advance(now);
  host_hashes_.clear();
  for (const HostId& host : hosts) {
    host_hashes_.push_back(HashName(host.value()));
  }
  self_hash_ = HashName(self.value());
  for (auto& [name, entry] : entries_) UpdateProber(entry, now);
}

void ProbeRateLimiter::SetLeaseRenewed(TimePoint sent_at, TimePoint now) {
  lease_.Renew(sent_at, now);
}

bool ProbeRateLimiter::try_take(const ServerId& server, TimePoint now) {
  lease_.Advance(now);
  const auto found = entries_.find(server.value());
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  if (!entry.is_prober || entry.probes_per_second <= 0 ||
      !lease_.is_valid(now)) {
    return false;
  }
  const TimePoint since = std::max(entry.bucket_empty_at, lease_.usable_from());
  const double elapsed = std::chrono::duration<double>(now - since).count();
  if (now < since || elapsed * entry.probes_per_second < 1) return false;
  entry.bucket_empty_at = now;
  return true;
}

bool ProbeRateLimiter::is_prober(const ServerId& server) const {
  const auto found = entries_.find(server.value());
  return found != entries_.end() && found->second.is_prober;
}

}  // namespace dogwood
