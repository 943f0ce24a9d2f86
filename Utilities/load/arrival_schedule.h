#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Requests of one kind, sent at random times with a constant mean rate.
struct LoadStream {
  std::string service = "tracking";
  std::string party;
  double rate = 100;              // requests a second
  double work_milliseconds = 10;  // mean of the log-normal service time
  double work_sigma =
      0.7;  // standard deviation of the logarithm of the service time
  std::string method = "GET";
  bool has_keys = false;  // each request carries an idempotency key of its own
  std::uint32_t body_bytes = 0;  // of a request with a body
  std::uint32_t response_bytes = 100;
};

// One request of the schedule.
struct Arrival {
  Duration at{};  // since the start of the run
  std::uint32_t stream = 0;
  std::uint32_t work_microseconds = 0;
};

// Poisson arrivals with log-normal service times, in order of time; equal for
// equal arguments, so that different policies see the same requests.
std::vector<Arrival> MakeArrivals(const std::vector<LoadStream>& streams,
                                  Duration length, std::uint64_t seed);

}  // namespace dogwood
