#include "Libraries/Routing/poison_request_detector.h"

#include <algorithm>
#include <tuple>

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
    if (found == entries_.end()) return;
    const std::uint64_t crash = found->second.crashes[0];
    // Two attributed crashes are not cleared by a success; they expire.
    if (!found->second.Clear(crash)) return;
    changes.push_back({.fingerprint = fingerprint,
                       .crashes = {crash, 0},
                       .is_cleared = true});
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

bool PoisonRequestDetector::Entry::is_cleared(std::uint64_t crash) const {
  return std::find(cleared_crashes.begin(), cleared_crashes.end(), crash) !=
         cleared_crashes.end();
}

bool PoisonRequestDetector::Entry::Clear(std::uint64_t crash) {
  if (crash == 0 || crashes[1] != 0 || is_cleared(crash)) return false;
  if (crashes[0] == crash) crashes[0] = 0;
  std::rotate(cleared_crashes.begin(), cleared_crashes.end() - 1,
              cleared_crashes.end());
  cleared_crashes[0] = crash;
  return true;
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
  Entry& entry = FindOrAddEntry(fingerprint, now);
  if (entry.is_cleared(crash) || !AddCrash(entry, crash)) return;
  entry.last_attributed_at = now;
  changes.push_back({.fingerprint = fingerprint, .crashes = entry.crashes});
}

PoisonRequestDetector::Entry& PoisonRequestDetector::FindOrAddEntry(
    std::uint64_t fingerprint, TimePoint now) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) return found->second;
  EvictEntries(now);
  Entry& entry = entries_[fingerprint];
  entry.last_attributed_at = now;
  return entry;
}

void PoisonRequestDetector::EvictEntries(TimePoint now) {
  if (now - expired_at_ >= kExpiryInterval) {
    expired_at_ = now;
    std::erase_if(entries_, [&](const auto& item) {
      return now - item.second.last_attributed_at > kRefusalDuration;
    });
  }
  if (entries_.size() >= kMaximumSuspects) EvictOldestEntries();
}

void PoisonRequestDetector::EvictOldestEntries() {
  // Several at once, so that a full table is not searched for each new suspect.
  constexpr std::size_t kEvictedEntries = kMaximumSuspects / 16;
  using Candidate = std::tuple<bool, TimePoint, std::uint64_t>;
  std::vector<Candidate> candidates;
  candidates.reserve(entries_.size());
  for (const auto& [fingerprint, entry] : entries_) {
    const bool is_refused = entry.crashes[1] != 0;
    candidates.emplace_back(is_refused, entry.last_attributed_at, fingerprint);
  }
  std::nth_element(candidates.begin(), candidates.begin() + kEvictedEntries,
                   candidates.end());
  for (std::size_t i = 0; i < kEvictedEntries; ++i)
    entries_.erase(std::get<std::uint64_t>(candidates[i]));
}

bool PoisonRequestDetector::Merge(const SuspectRecord& record, TimePoint now) {
  if (record.age >= kRefusalDuration) return false;
  Entry& entry = FindOrAddEntry(record.fingerprint, now);
  if (record.is_cleared) {
    // Hosts of an earlier version do not name the crash.
    const bool has_crash = record.crashes[0] != 0;
    return entry.Clear(has_crash ? record.crashes[0] : entry.crashes[0]);
  }
  // Two attributed crashes stand even if one of them was cleared here.
  const bool is_refused_elsewhere = record.crashes[1] != 0;
  const bool was_suspect = entry.crashes[0] != 0;
  bool has_changed = false;
  for (const std::uint64_t crash : record.crashes) {
    if (is_refused_elsewhere || !entry.is_cleared(crash))
      has_changed |= AddCrash(entry, crash);
  }
  if (has_changed) {
    const TimePoint attributed_at = now - record.age;
    entry.last_attributed_at =
        was_suspect ? std::max(entry.last_attributed_at, attributed_at)
                    : attributed_at;
  }
  return has_changed;
}

bool PoisonRequestDetector::is_suspect(std::uint64_t fingerprint,
                                       TimePoint now) const {
  return has_attributed_crash(fingerprint) &&
         now - entries_.at(fingerprint).last_attributed_at <= kRefusalDuration;
}

bool PoisonRequestDetector::is_refused(std::uint64_t fingerprint,
                                       TimePoint now) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() && is_refused(found->second, now);
}

Duration PoisonRequestDetector::RefusalTimeLeft(std::uint64_t fingerprint,
                                                TimePoint now) const {
  if (!is_refused(fingerprint, now)) return Duration::zero();
  return kRefusalDuration - (now - entries_.at(fingerprint).last_attributed_at);
}

std::size_t PoisonRequestDetector::RefusedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [&](const auto& item) { return is_refused(item.second, now); }));
}

PoisonRequestDetector::Records PoisonRequestDetector::Refused(
    TimePoint now) const {
  Records records;
  for (const auto& [fingerprint, entry] : entries_) {
    if (!is_refused(entry, now)) continue;
    records.push_back({.fingerprint = fingerprint,
                       .crashes = entry.crashes,
                       .age = now - entry.last_attributed_at});
  }
  return records;
}

}  // namespace dogwood
