#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// State of one request fingerprint as exchanged between hosts: the crashes
// attributed to it, or the one that a successful response has cleared.
struct SuspectRecord {
  std::uint64_t fingerprint = 0;
  std::array<std::uint64_t, 2> crashes{};  // crash identifiers; 0: none
  bool is_cleared = false;
  Duration age{};  // since the last crash was attributed

  friend bool operator==(const SuspectRecord&, const SuspectRecord&) = default;
};

// Detects requests that crash the backend servers they run on. When a server
// crashes, the requests lost on it become suspects; if some of them already
// were suspects, only those are attributed the crash. A fingerprint with two
// attributed crashes is refused for kRefusalDuration.
//
// Hosts forward what is news to them, so what they know of a fingerprint only
// grows: a cleared crash is remembered and is not attributed again, and two
// attributed crashes are not cleared.
class PoisonRequestDetector {
 public:
  enum class Outcome : std::uint8_t {
    kSucceeded,
    kLost,   // the connection ended without a response
    kOther,  // neither attributes nor clears a crash
  };
  // Records to send to all hosts. Callers may reuse the vector.
  using Records = std::vector<SuspectRecord>;

  static constexpr Duration kRefusalDuration = std::chrono::hours(1);
  // Requests lost up to kLossWindowBeforeCrash before a crash is confirmed, or
  // up to kLossWindowAfterCrash after that, belong to the crash.
  static constexpr Duration kLossWindowBeforeCrash = std::chrono::seconds(10);
  static constexpr Duration kLossWindowAfterCrash = std::chrono::seconds(1);
  static constexpr std::size_t kMaximumSuspects = 4096;
  // Between removals of expired suspects.
  static constexpr Duration kExpiryInterval = std::chrono::seconds(1);

  void OnStart(const ServerId& server, std::uint64_t fingerprint,
               TimePoint now);
  void OnEnd(const ServerId& server, std::uint64_t fingerprint, Outcome outcome,
             TimePoint now, Records& changes);
  // Reports that the server restarted or refuses connections. `start_id` is the
  // last one known before the crash, which is equal on all hosts, or empty.
  void OnCrash(const ServerId& server, const std::string& start_id,
               TimePoint now, Records& changes);
  // Returns whether the record was news to this host.
  bool Merge(const SuspectRecord& record, TimePoint now);

  bool is_suspect(std::uint64_t fingerprint, TimePoint now) const;
  bool is_refused(std::uint64_t fingerprint, TimePoint now) const;
  // Time until the fingerprint is accepted again; zero if it is not refused.
  Duration RefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const;
  std::size_t size() const { return entries_.size(); }
  std::size_t RefusedCount(TimePoint now) const;
  // Returns the records of all refused fingerprints.
  Records Refused(TimePoint now) const;

 private:
  struct Entry {
    std::array<std::uint64_t, 2> crashes{};
    // The last ones, the latest first. A request that is served has few.
    std::array<std::uint64_t, 4> cleared_crashes{};
    TimePoint last_attributed_at{};

    bool is_cleared(std::uint64_t crash) const;
    // Clears the only attributed crash if it is `crash`. Returns whether this
    // is news.
    bool Clear(std::uint64_t crash);
  };
  struct TrackedRequest {
    std::uint64_t fingerprint = 0;
    TimePoint since{};
  };
  struct Server {
    std::vector<TrackedRequest> running;
    std::vector<TrackedRequest> lost;  // `since` is the time of the loss
    TimePoint crashed_at = TimePoint::min();
    std::uint64_t crash_id = 0;
    std::uint64_t crash_count = 0;
    bool had_suspect_at_crash = false;
  };

  static bool is_refused(const Entry& entry, TimePoint now) {
    return entry.crashes[1] != 0 &&
           now - entry.last_attributed_at <= kRefusalDuration;
  }
  bool has_attributed_crash(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.crashes[0] != 0;
  }
  // Returns the entry of a fingerprint, a new one if necessary.
  Entry& FindOrAddEntry(std::uint64_t fingerprint, TimePoint now);
  void AttributeCrash(std::uint64_t fingerprint, std::uint64_t crash,
                      TimePoint now, Records& changes);
  static bool AddCrash(Entry& entry, std::uint64_t crash);
  // Makes room for a new suspect.
  void EvictEntries(TimePoint now);
  // Evicts the oldest entries, refused ones last.
  void EvictOldestEntries();

  std::unordered_map<std::string, Server> servers_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  TimePoint expired_at_{};  // when expired entries were last removed
};

}  // namespace dogwood
