#pragma once

#include <cstdint>

#include "Libraries/Balancing/fleet_directory.h"

namespace dogwood {

// Short key of a backend server's registration in messages between hosts.
using ServerKey = StrongId<struct ServerKeyTag, std::uint32_t>;

ServerKey KeyOf(const ServerId& server);

// How an attempt at a backend server ended.
enum class AttemptOutcome {
  kServed,       // a sound answer, whatever its status below 500
  kShed,         // the server states that it did not run the request
  kFailed,       // an answer of 500 or above, or a broken one
  kLost,         // no answer: reset, closed or silent
  kUnreachable,  // no connection
  kMisdirected,  // another server has the address
  kAbandoned,    // the caller left or its time ran out
};

// What one host knows at some moment of a backend server, as hosts tell each
// other.
struct ServerObservation {
  ServerKey server;
  unsigned in_work = 0;     // running and waiting
  double slowdown = 1;      // duration of work relative to the usual one
  Duration age{};           // since the server reported
  Duration cold_left{};     // time until it bears full load
  double failure_rate = 0;  // recent share of failed attempts
  bool is_unreachable = false;
};

// What a load report came with.
enum class ReportSource {
  kHealthCheck,  // tells whether the server is cold as well
  kAnswer,       // to a request
};

// The load that a backend server reported.
struct ReportedLoad {
  unsigned in_work = 0;
  double slowdown = 1;
};

// One host's knowledge of a backend server. Changed only by ServerTable.
struct ServerState {
  ServerEntry entry;
  ServerKey key;

  std::optional<ReportedLoad> load;
  TimePoint load_at{};
  unsigned own_in_flight = 0;            // requests of this host
  unsigned own_in_flight_at_report = 0;  // the same when `load` was taken

  double failure_rate = 0;  // weighted share of failed attempts
  TimePoint failure_rate_at{};
  // Unreachable, or back after an absence: unusable until a health check tells
  // whether it is cold.
  bool needs_check = false;
  TimePoint needs_check_since{};
  TimePoint next_check_at{};
  Duration check_backoff{};
  bool is_misdirected = false;  // another server has the address

  TimePoint cold_until{};
  double cold_credit = 0;  // requests it may get now while it is cold
  TimePoint cold_credit_at{};

  TimePoint heard_at{};   // last answer of any kind, seen by any host
  bool has_news = false;  // to be told to other hosts
  TimePoint told_at{};    // when they were last told
};

}  // namespace dogwood
