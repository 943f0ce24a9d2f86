#include "Libraries/Routing/party_meter.h"

#include <algorithm>

namespace dogwood {
namespace {

// A bucket holds this much of the agreed rate, at least one call: requests that
// arrive at random within the agreement must not count as over it.
constexpr double kBurstSeconds = 1;

}  // namespace

void PartyMeter::SetAgreement(PartyIndex party, double calls_per_second) {
  if (party >= buckets_.size()) buckets_.resize(party + 1);
  buckets_[party].calls_per_second = std::max(0.0, calls_per_second);
}

void PartyMeter::SetLiveHosts(std::uint32_t live_hosts) {
  live_hosts_ = std::max(1U, live_hosts);
}

AgreementClass PartyMeter::Classify(PartyIndex party, TimePoint now) {
  if (party >= buckets_.size()) return AgreementClass::kOver;
  Bucket& bucket = buckets_[party];
  if (bucket.calls_per_second <= 0) return AgreementClass::kOver;
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
  if (bucket.tokens < 1) return AgreementClass::kOver;
  bucket.tokens -= 1;
  return AgreementClass::kWithin;
}

}  // namespace dogwood
