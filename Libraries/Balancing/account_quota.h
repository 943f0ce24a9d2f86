#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>

#include "Libraries/Core/core.h"

namespace dogwood {

// Quota of a client account over all hosts, and the excess that is tolerated
// over a window.
struct QuotaLimit {
  double rate = 0;   // requests per second
  double burst = 0;  // requests beyond the rate
  Duration window = std::chrono::seconds(5);
  double excess_ratio = 0;
  double extra = 0;  // requests
};

// Token buckets of the client accounts whose quota this host grants. Each
// account has one such host at a time. The load that it answers: an account
// that sends several times its quota through many hosts, also while hosts are
// cut off from each other or replaced.
class AccountQuota {
 public:
  // Buckets that were not asked for this long are forgotten. Longer than an
  // account needs to get its whole burst back at usual quotas.
  static constexpr Duration kIdleExpiry = std::chrono::seconds(60);
  // An account has room at most this much later than now, as far as refused
  // callers are told.
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

  struct Grant {
    bool is_granted = false;
    Duration retry_after{};  // if refused: until the account has room
  };

  // Takes a token. `share` is the part of the rate that this host may grant;
  // `former_hosts` counts the hosts that may have granted the quota before it
  // within the window of the limit.
  Grant Take(std::uint64_t account, const QuotaLimit& limit, double share,
             TimePoint now, std::size_t former_hosts = 0);
  // Gives back the token of a request that did not run.
  void Return(std::uint64_t account);

  std::size_t account_count() const { return buckets_.size(); }

  // After this time without a request, another host may have granted the quota
  // meanwhile.
  static constexpr Duration kUnaskedTime = std::chrono::seconds(1);

  // Tokens of a bucket whose history this host does not know: another host may
  // have granted the whole burst just before, as may have each of the former
  // ones.
  static double InitialTokens(const QuotaLimit& limit,
                              std::size_t former_hosts);
  // The part of the rate that hosts grant while the one that has the bucket
  // does not answer them: it may answer others.
  static double BackupShare(const QuotaLimit& limit);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint refilled_at{};
    // When the account has room for another caller that is told to return.
    TimePoint next_room_at{};
  };

  void ForgetIdle(TimePoint now);

  std::unordered_map<std::uint64_t, Bucket> buckets_;
  TimePoint expired_at_{};
};

// Admits requests of accounts for which no host that grants their quota
// answers, on average at this host's own part of the rate. Keeps no credit:
// that of many hosts would add up to a second burst.
class FallbackQuota {
 public:
  // A longer pause between two requests counts as this long.
  static constexpr Duration kMaxInterval = std::chrono::seconds(1);

  // `rate` is this host's part, in requests per second; `draw` is uniform in
  // [0, 1).
  bool Admit(std::uint64_t account, double rate, double draw, TimePoint now) {
    const auto [found, is_new] = asked_at_.try_emplace(account, now);
    const Duration interval =
        is_new ? kMaxInterval : std::min(now - found->second, kMaxInterval);
    found->second = now;
    return draw < rate * std::chrono::duration<double>(interval).count();
  }

 private:
  std::unordered_map<std::uint64_t, TimePoint> asked_at_;
};

}  // namespace dogwood
