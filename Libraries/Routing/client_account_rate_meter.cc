#include "Libraries/Routing/client_account_rate_meter.h"

#include <algorithm>

namespace dogwood {
namespace {

// Depth of a token bucket in seconds of the agreed rate, at least one call.
// Random arrivals within the agreed rate must not count as over the agreement.
constexpr double kBurstSeconds = 1;

}  // namespace

void ClientAccountRateMeter::SetAgreement(ClientAccountIndex client_account,
                                          double calls_per_second) {
  if (client_account >= buckets_.size()) buckets_.resize(client_account + 1);
  buckets_[client_account].calls_per_second = std::max(0.0, calls_per_second);
}

void ClientAccountRateMeter::SetLiveHosts(std::uint32_t live_hosts) {
  live_hosts_ = std::max(1U, live_hosts);
}

AgreementCompliance ClientAccountRateMeter::Classify(
    ClientAccountIndex client_account, TimePoint now) {
  if (client_account >= buckets_.size()) return AgreementCompliance::kOver;
  Bucket& bucket = buckets_[client_account];
  if (bucket.calls_per_second <= 0) return AgreementCompliance::kOver;
  const double rate = bucket.calls_per_second / live_hosts_;
  const double depth = std::max(1.0, rate * kBurstSeconds);
  if (!bucket.has_started) {
    bucket.has_started = true;
    bucket.tokens = depth;
    bucket.filled_at = now;
  }
  const double elapsed =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  bucket.tokens = std::min(depth, bucket.tokens + rate * elapsed);
  bucket.filled_at = now;
  if (bucket.tokens < 1) return AgreementCompliance::kOver;
  bucket.tokens -= 1;
  return AgreementCompliance::kWithin;
}

}  // namespace dogwood
