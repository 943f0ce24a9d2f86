#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// What hosts exchange about one request fingerprint: the crashes it is blamed
// for, or that it was cleared by a success.
struct SuspectRecord {
  std::uint64_t fingerprint = 0;
  std::array<std::uint64_t, 2> crashes{};  // 0: none
  bool is_cleared = false;

  friend bool operator==(const SuspectRecord&, const SuspectRecord&) = default;
};

// Finds requests that crash each backend server that runs them. When a server
// crashes, the requests lost there become suspects: all of them if none was
// already a suspect, else only those that were. A fingerprint blamed for two
// crashes is refused for an hour.
class CrashSuspects {
 public:
  enum class Outcome : std::uint8_t {
    kSucceeded,
    kLost,   // the connection ended without a response
    kOther,  // not evidence either way
  };
  // Records to send to all hosts; callers reuse the vector.
  using Records = std::vector<SuspectRecord>;

  static constexpr Duration kRefusalTime = std::chrono::hours(1);
  // Losses up to this long before the confirmation of a crash, and up to
  // kLateLoss after it, belong to that crash.
  static constexpr Duration kLossWindow = std::chrono::seconds(10);
  static constexpr Duration kLateLoss = std::chrono::seconds(1);
  static constexpr std::size_t kMaximumEntries = 4096;

  void OnStart(const ServerId& server, std::uint64_t fingerprint,
               TimePoint now);
  void OnEnd(const ServerId& server, std::uint64_t fingerprint, Outcome outcome,
             TimePoint now, Records& changes);
  // The server restarted or refuses connections. `start_id` is the last known
  // one before, equal on all hosts, or empty.
  void OnCrash(const ServerId& server, const std::string& start_id,
               TimePoint now, Records& changes);
  void Merge(const SuspectRecord& record, TimePoint now);

  bool is_suspect(std::uint64_t fingerprint, TimePoint now) const;
  bool is_refused(std::uint64_t fingerprint, TimePoint now) const;
  std::size_t size() const { return entries_.size(); }
  // All current blame, for a host that joins.
  Records All() const;

 private:
  struct Entry {
    std::array<std::uint64_t, 2> crashes{};
    TimePoint blamed_at{};
  };
  struct Running {
    std::uint64_t fingerprint = 0;
    TimePoint since{};
  };
  struct Server {
    std::vector<Running> running;
    std::vector<Running> lost;  // since: time of the loss
    TimePoint crashed_at = TimePoint::min();
    std::uint64_t crash_id = 0;
    std::uint64_t crash_count = 0;
    bool had_suspect = false;
  };

  bool is_blamed(std::uint64_t fingerprint) const {
    return entries_.contains(fingerprint);
  }
  void Blame(std::uint64_t fingerprint, std::uint64_t crash, TimePoint now,
             Records& changes);
  bool AddCrash(Entry& entry, std::uint64_t crash);
  void MakeRoom(TimePoint now);

  std::unordered_map<std::string, Server> servers_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace dogwood
