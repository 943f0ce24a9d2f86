#include "Libraries/Routing/poison_request_detector.h"

#include <algorithm>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {

void PoisonRequestDetector::OnStart(const ServerId& server,
                                    std::uint64_t fingerprint, TimePoint now) {
  servers_[server.value()].running.push_back({fingerprint, now});
}

void PoisonRequestDetector::OnEnd(const ServerId& server,
                                  std::uint64_t fingerprint, Outcome outcome,
                                  TimePoint now, Records& changes) {
  Server& state = servers_[server.value()];
  const auto running = std::find_if(state.running.begin(), state.running.end(),
                                    [&](const TrackedRequest& item) {
                                      return item.fingerprint == fingerprint;
                                    });
  VERIFY(running != state.running.end());
  const TimePoint started = running->since;
  *running = state.running.back();
  state.running.pop_back();
  if (outcome == Outcome::kSucceeded) {
    const auto found = entries_.find(fingerprint);
    // Two attributed crashes are not cleared by a success; they expire.
    if (found == entries_.end() || found->second.crashes[1] != 0) return;
    entries_.erase(found);
    changes.push_back({.fingerprint = fingerprint, .is_cleared = true});
    return;
  }
  if (outcome != Outcome::kLost) return;
  const bool is_late = state.crashed_at != TimePoint::min() &&
                       started <= state.crashed_at &&
                       now - state.crashed_at <= kLossWindowAfterCrash;
  if (!is_late) {
    std::erase_if(state.lost, [&](const TrackedRequest& item) {
      return now - item.since > kLossWindowBeforeCrash;
    });
    state.lost.push_back({fingerprint, now});
    return;
  }
  if (!state.had_suspect_at_crash || has_attributed_crash(fingerprint)) {
    AttributeCrash(fingerprint, state.crash_id, now, changes);
  }
}

void PoisonRequestDetector::OnCrash(const ServerId& server,
                                    const std::string& start_id, TimePoint now,
                                    Records& changes) {
  Server& state = servers_[server.value()];
  std::erase_if(state.lost, [&](const TrackedRequest& item) {
    return now - item.since > kLossWindowBeforeCrash;
  });
  // Repeated confirmation of the same crash.
  if (state.lost.empty() && state.crashed_at != TimePoint::min() &&
      now - state.crashed_at <= kLossWindowAfterCrash) {
    return;
  }
  ++state.crash_count;
  state.crashed_at = now;
  state.crash_id =
      CombineHashes(HashName(server.value()),
                    start_id.empty() ? state.crash_count : HashName(start_id));
  state.had_suspect_at_crash =
      std::any_of(state.lost.begin(), state.lost.end(),
                  [&](const TrackedRequest& item) {
                    return has_attributed_crash(item.fingerprint);
                  }) ||
      std::any_of(state.running.begin(), state.running.end(),
                  [&](const TrackedRequest& item) {
                    return has_attributed_crash(item.fingerprint);
                  });
  for (const TrackedRequest& item : state.lost) {
    if (!state.had_suspect_at_crash || has_attributed_crash(item.fingerprint)) {
      AttributeCrash(item.fingerprint, state.crash_id, now, changes);
    }
  }
  state.lost.clear();
}

bool PoisonRequestDetector::AddCrash(Entry& entry, std::uint64_t crash) {
  if (crash == 0 || entry.crashes[0] == crash || entry.crashes[1] == crash) {
    return false;
  }
  if (entry.crashes[0] == 0) {
    entry.crashes[0] = crash;
    return true;
  }
  if (entry.crashes[1] != 0) return false;
  entry.crashes[1] = crash;
  return true;
}

void PoisonRequestDetector::AttributeCrash(std::uint64_t fingerprint,
                                           std::uint64_t crash, TimePoint now,
                                           Records& changes) {
  EvictEntries(now);
  Entry& entry = entries_[fingerprint];
  if (!AddCrash(entry, crash)) return;
  entry.last_attributed_at = now;
  changes.push_back({.fingerprint = fingerprint, .crashes = entry.crashes});
}

void PoisonRequestDetector::EvictEntries(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    return now - item.second.last_attributed_at > kRefusalDuration;
  });
  if (entries_.size() < kMaximumSuspects) return;
  const auto oldest = std::min_element(entries_.begin(), entries_.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.last_attributed_at <
                                                right.second.last_attributed_at;
                                       });
  entries_.erase(oldest);
}

bool PoisonRequestDetector::Merge(const SuspectRecord& record, TimePoint now) {
  if (record.is_cleared) {
    const auto found = entries_.find(record.fingerprint);
    if (found == entries_.end() || found->second.crashes[1] != 0) return false;
    entries_.erase(found);
    return true;
  }
  if (record.age >= kRefusalDuration) return false;
  EvictEntries(now);
  Entry& entry = entries_[record.fingerprint];
  bool has_changed = false;
  for (const std::uint64_t crash : record.crashes) {
    has_changed |= AddCrash(entry, crash);
  }
  if (has_changed) {
    entry.last_attributed_at =
        std::max(entry.last_attributed_at, now - record.age);
  }
  return has_changed;
}

bool PoisonRequestDetector::is_suspect(std::uint64_t fingerprint,
                                       TimePoint now) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() &&
         now - found->second.last_attributed_at <= kRefusalDuration;
}

bool PoisonRequestDetector::is_refused(std::uint64_t fingerprint,
                                       TimePoint now) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() && found->second.crashes[1] != 0 &&
         now - found->second.last_attributed_at <= kRefusalDuration;
}

Duration PoisonRequestDetector::RefusalTimeLeft(std::uint64_t fingerprint,
                                                TimePoint now) const {
  if (!is_refused(fingerprint, now)) return Duration::zero();
  return kRefusalDuration - (now - entries_.at(fingerprint).last_attributed_at);
}

PoisonRequestDetector::Records PoisonRequestDetector::Refused(
    TimePoint now) const {
  Records records;
  for (const auto& [fingerprint, entry] : entries_) {
    if (!is_refused(fingerprint, now)) continue;
    records.push_back({.fingerprint = fingerprint,
                       .crashes = entry.crashes,
                       .age = now - entry.last_attributed_at});
  }
  return records;
}

}  // namespace dogwood
