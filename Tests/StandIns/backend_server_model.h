#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Tests/StandIns/slowdown_pattern.h"

namespace dogwood {

// What a simulated backend server does with a request.
enum class Admission { kRun, kShed, kCrash };

// A request that a backend server started to run. Tests compare these with what
// the load balancer reports.
struct RunRecord {
  std::string request_id;
  std::string idempotency_key;
  std::string client_account;
};

// Simulates a backend server without I/O: slots, cold starts, load shedding and
// crashes.
class BackendServerModel {
 public:
  struct Options {
    std::string name;
    std::uint64_t index = 0;
    std::uint32_t slots = 6;
    // Concurrent requests at the first warm-up stage. A cold server crashes
    // above twice the limit of its stage.
    std::uint32_t cold_limit = 1;
    // Sheds requests above this number of active ones; 0 queues without limit.
    std::uint32_t shed_above = 0;
    std::uint32_t responses_per_stage = 20;
    // How long a crashed server refuses connections.
    std::chrono::milliseconds restart_delay{500};
    SlowdownPattern slowdown;
  };

  struct Statistics {
    std::uint64_t runs = 0;
    std::uint64_t probes = 0;
    std::uint64_t shed = 0;
    std::uint64_t crashes = 0;
    std::uint64_t cancelled = 0;
    std::uint32_t max_active_requests = 0;
    // Only after a response has reported the cold start.
    std::uint32_t max_active_requests_while_cold = 0;
    std::int64_t last_request_start = 0;  // wall time in microseconds
  };

  explicit BackendServerModel(Options options);

  // Counts a request as active unless it is shed or crashes the server.
  // `should_crash` marks requests that crash any server.
  Admission Admit(std::int64_t wall_microseconds, bool should_crash,
                  RunRecord record);

  // Assigns an admitted request to the slot that becomes free first. Returns
  // the wall time, in microseconds, at which the request ends.
  std::int64_t ScheduleWork(std::int64_t wall_microseconds,
                            double work_microseconds);

  // Ends a request with a response.
  void Finish(std::int64_t wall_microseconds);
  // Ends a request whose client disconnected.
  void Cancel();
  void CountProbe() { ++statistics_.probes; }

  void Crash(std::int64_t wall_microseconds);
  // Changes the start id and becomes cold, without a crash.
  void BeginColdStart();
  void set_draining(bool is_draining) { is_draining_ = is_draining; }
  void ResetStatistics() { statistics_ = {}; }

  bool is_down(std::int64_t wall_microseconds) const {
    return wall_microseconds < down_until_;
  }
  bool is_cold() const { return warm_up_stage_ < kWarmStage; }
  bool is_draining() const { return is_draining_; }
  std::uint32_t active_requests() const { return active_requests_; }
  // Incremented by each crash.
  std::uint64_t generation() const { return generation_; }
  std::string start_id() const;
  const Options& options() const { return options_; }
  const Statistics& statistics() const { return statistics_; }
  const std::vector<RunRecord>& records() const { return records_; }

 private:
  static constexpr int kWarmStage = 3;

  // Concurrent requests that the server supports at its warm-up stage.
  std::uint32_t Capacity() const;

  Options options_;
  Statistics statistics_;
  std::vector<RunRecord> records_;
  std::vector<std::int64_t> slot_free_at_;  // wall time in microseconds
  std::uint32_t active_requests_ = 0;
  int warm_up_stage_ = kWarmStage;
  std::uint32_t responses_in_stage_ = 0;
  bool has_reported_cold_start_ = false;
  bool is_draining_ = false;
  std::uint64_t generation_ = 1;
  std::uint64_t start_count_ = 1;
  std::int64_t down_until_ = 0;  // wall time in microseconds
};

}  // namespace dogwood
