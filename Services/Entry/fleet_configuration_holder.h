#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "Libraries/Settings/settings.h"

namespace dogwood {

// The current fleet configuration. Each worker reads it through its own Reader,
// which caches the snapshot and takes the lock only after a change.
class FleetConfigurationHolder {
 public:
  using Snapshot = std::shared_ptr<const FleetConfiguration>;

  explicit FleetConfigurationHolder(FleetConfiguration fleet)
      : snapshot_(std::make_shared<FleetConfiguration>(std::move(fleet))) {}

  void Replace(FleetConfiguration fleet) {
    auto new_snapshot = std::make_shared<FleetConfiguration>(std::move(fleet));
    const std::lock_guard lock(mutex_);
    snapshot_ = std::move(new_snapshot);
    generation_.fetch_add(1, std::memory_order_release);
  }

  class Reader {
   public:
    explicit Reader(FleetConfigurationHolder& view) : view_(view) {}

    const FleetConfiguration& Current() {
      const std::uint64_t current_generation =
          view_.generation_.load(std::memory_order_acquire);
      if (!snapshot_ || current_generation != generation_) {
        const std::lock_guard lock(view_.mutex_);
        snapshot_ = view_.snapshot_;
        generation_ = view_.generation_.load(std::memory_order_relaxed);
      }
      return *snapshot_;
    }

   private:
    FleetConfigurationHolder& view_;
    Snapshot snapshot_;
    std::uint64_t generation_ = 0;
  };

 private:
  RankedMutex mutex_{LockRank::kSettings};
  // Readers keep an old snapshot until their next call of Current().
  Snapshot snapshot_;
  std::atomic<std::uint64_t> generation_{1};
};

}  // namespace dogwood
