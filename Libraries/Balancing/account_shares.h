#pragma once

#include <cmath>
#include <cstdint>
#include <unordered_map>

#include "Libraries/Core/core.h"

namespace dogwood {

// Recent use of one dispatcher's backend servers by each client account,
// compared with the account's weight. The load that it answers: one account
// sends several times its usual while there is too little room for all.
class AccountShares {
 public:
  // Uses lose half of their weight in this time. Short, so that an account that
  // has calmed down is served again within the patience of its callers.
  static constexpr Duration kHalfLife = std::chrono::seconds(1);
  // An account is over its share when it uses this much more per weight than
  // all active accounts together; accounts vary that much by chance.
  static constexpr double kOverShareFactor = 1.3;
  // Fewer recent uses say nothing.
  static constexpr double kMinUses = 4;

  void Count(std::uint64_t account, double weight, TimePoint now) {
    Use& use = uses_[account];
    use.count = Decayed(use, now) + 1;
    use.weight = weight;
    use.counted_at = now;
  }

  // Begins a comparison: sums the uses and forgets accounts without any.
  void Update(TimePoint now) {
    total_ = {};
    std::erase_if(uses_, [&](const auto& item) {
      const double count = Decayed(item.second, now);
      total_.count += count;
      total_.weight += item.second.weight;
      return count < kForgottenUses;
    });
    updated_at_ = now;
  }

  // As of the last Update(). An account that is alone is never over its share.
  bool is_over_share(std::uint64_t account) const {
    const auto found = uses_.find(account);
    if (account == 0 || found == uses_.end() || uses_.size() < 2) return false;
    const double count = Decayed(found->second, updated_at_);
    return count >= kMinUses &&
           count * total_.weight >
               kOverShareFactor * total_.count * found->second.weight;
  }

  std::size_t account_count() const { return uses_.size(); }

 private:
  static constexpr double kForgottenUses = 0.1;

  struct Use {
    double count = 0;
    double weight = 0;
    TimePoint counted_at{};
  };

  static double Decayed(const Use& use, TimePoint now) {
    const double half_lives =
        std::chrono::duration<double>(now - use.counted_at) / kHalfLife;
    return use.count * std::exp2(-std::max(half_lives, 0.0));
  }

  std::unordered_map<std::uint64_t, Use> uses_;
  Use total_;
  TimePoint updated_at_{};
};

}  // namespace dogwood
