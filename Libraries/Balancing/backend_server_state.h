#pragma once

#include <cstdint>

#include "Libraries/Balancing/routing_configuration.h"
#include "Libraries/Balancing/token_bucket.h"

namespace dogwood {

// Hash of a backend server's identifier, used in messages between hosts.
// ServerTable keeps servers with equal keys apart.
using ServerKey = StrongId<struct ServerKeyTag, std::uint64_t>;

ServerKey ServerKeyOf(const ServerId& server);

// How an attempt at a backend server ended.
enum class AttemptOutcome {
  kSucceeded,    // a valid response with a status below 500
  kNotRun,       // the server reports that it did not run the request
  kFailed,       // a status of 500 or above, or an invalid response
  kNoResponse,   // no response: reset, closed or timed out
  kUnreachable,  // connection failed
  kMisdirected,  // a different server listens at the address
  kAbandoned,    // the caller disconnected or the deadline passed
  // Not sent: the server wants nothing from this host, or belongs to another
  // service than the request.
  kHeldBack,
};

// What a backend server's responses ask of its callers, for as long as they say
// so.
struct ServerDirectives {
  // Requests that it takes from all hosts together; absent without a limit.
  std::optional<double> max_requests_per_second;
  // Start time of the server's process if it says that it is leaving, see
  // ServerRegistration.
  std::optional<std::uint64_t> leaving_started_at_ms;

  friend bool operator==(const ServerDirectives&,
                         const ServerDirectives&) = default;
};

// Gossiped snapshot of what one host knows of a backend server.
struct ServerObservation {
  ServerKey server;
  unsigned in_flight = 0;   // requests running and queued
  double slowdown = 1;      // service time relative to the typical one
  Duration age{};           // of the load report
  Duration cold_left{};     // remaining warm-up time when it is sent
  double failure_rate = 0;  // recent share of failed attempts
  bool is_unreachable = false;
  ServerDirectives directives;
};

// Response that carried a load report.
enum class ReportSource {
  kHealthCheck,  // also reports the remaining warm-up time
  kResponse,     // response to a request
};

// Load reported by a backend server.
struct ReportedLoad {
  unsigned in_flight = 0;
  double slowdown = 1;
};

// What this host knows of a backend server. Modified only by ServerTable.
struct BackendServerState {
  ServerRegistration registration;
  ServerKey key;

  std::optional<ReportedLoad> load;
  TimePoint load_reported_at{};
  unsigned own_in_flight = 0;            // requests of this host
  unsigned own_in_flight_at_report = 0;  // when `load` was reported

  double failure_rate = 0;  // moving average of failed attempts, 0 to 1
  TimePoint failure_rate_updated_at{};
  // Set while the server is unreachable or back from an evacuated zone: it is
  // unusable until a health check reports whether it is cold.
  bool needs_health_check = false;
  TimePoint needs_health_check_since{};
  TimePoint next_health_check_at{};
  Duration health_check_backoff{};
  bool is_misdirected = false;  // a different server listens at the address

  TimePoint cold_until{};
  TokenBucket cold_requests;  // that may be sent now while it is cold

  ServerDirectives directives;
  TimePoint directives_reported_at{};
  TimePoint limit_named_at{};    // in a response to any host
  TokenBucket limited_requests;  // that may be sent now under its limit

  TimePoint last_heard_at{};            // last sign of life seen by any host
  bool has_unpublished_change = false;  // not yet gossiped
  TimePoint published_at{};             // when it was last gossiped
};

}  // namespace dogwood
