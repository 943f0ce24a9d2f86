#include "Libraries/Balancing/account_quota.h"

#include <algorithm>

namespace dogwood {
namespace {

// The first tokens of up to three hosts within a window and what the backup
// grants stay within what is tolerated.
constexpr double kInitialShareOfTolerance = 0.4;
constexpr double kBackupShareOfTolerance = 0.2;
// Callers that only the backup answers are a part of all.
constexpr double kMaxBackupShare = 0.25;
// A bucket that holds less could never grant a request.
constexpr double kMinCapacity = 1;
// Guards the division for the time until a token is there.
constexpr double kMinRate = 0.01;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Requests within a window beyond the quota.
double Tolerance(const QuotaLimit& limit) {
  return (limit.rate * InSeconds(limit.window) + limit.burst) *
             limit.excess_ratio +
         limit.extra;
}

double Capacity(const QuotaLimit& limit, double share) {
  return std::max(limit.burst * share, kMinCapacity);
}

}  // namespace

double AccountQuota::InitialTokens(const QuotaLimit& limit,
                                   std::size_t former_hosts) {
  const auto hosts =
      static_cast<double>(std::max<std::size_t>(former_hosts, 1));
  return std::clamp(kInitialShareOfTolerance * Tolerance(limit) / hosts,
                    kMinCapacity, Capacity(limit, 1));
}

double AccountQuota::BackupShare(const QuotaLimit& limit) {
  const double granted = limit.rate * InSeconds(limit.window);
  return std::min(kMaxBackupShare, kBackupShareOfTolerance * Tolerance(limit) /
                                       std::max(granted, kMinRate));
}

AccountQuota::Grant AccountQuota::Take(std::uint64_t account,
                                       const QuotaLimit& limit, double share,
                                       TimePoint now,
                                       std::size_t former_hosts) {
  ForgetIdle(now);
  const auto [found, is_new] = buckets_.try_emplace(account);
  Bucket& bucket = found->second;
  const double rate = limit.rate * share;
  if (is_new) {
    bucket.tokens = InitialTokens(limit, former_hosts);
  } else {
    bucket.tokens += rate * InSeconds(now - bucket.refilled_at);
    if (now - bucket.refilled_at >= kUnaskedTime)
      bucket.tokens =
          std::min(bucket.tokens, InitialTokens(limit, former_hosts));
  }
  bucket.tokens = std::min(bucket.tokens, Capacity(limit, share));
  bucket.refilled_at = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return {true, {}};
  }
  // Refused callers get different moments, so that each finds room.
  const double interval = 1 / std::max(rate, kMinRate);
  const TimePoint room_at = std::max(
      bucket.next_room_at, now + Seconds((1 - bucket.tokens) * interval));
  const Duration retry_after = std::min(room_at - now, kMaxRetryAfter);
  bucket.next_room_at =
      std::min(room_at + Seconds(interval), now + kMaxRetryAfter);
  return {false, retry_after};
}

void AccountQuota::Return(std::uint64_t account) {
  const auto found = buckets_.find(account);
  if (found != buckets_.end()) found->second.tokens += 1;
}

void AccountQuota::ForgetIdle(TimePoint now) {
  if (now - expired_at_ < kIdleExpiry) return;
  expired_at_ = now;
  std::erase_if(buckets_, [&](const auto& item) {
    return now - item.second.refilled_at >= kIdleExpiry;
  });
}

}  // namespace dogwood
