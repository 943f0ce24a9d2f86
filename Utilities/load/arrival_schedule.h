#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Requests of one kind with Poisson arrivals and log-normal service times.
struct LoadStream {
  std::string service = "tracking";
  std::string client_account;
  double requests_per_second = 100;
  double mean_work_milliseconds = 10;  // service time at full speed
  // Standard deviation of the logarithm of the service time.
  double work_sigma = 0.7;
  std::string method = "GET";
  bool has_idempotency_keys = false;  // one unique key per request
  std::uint32_t body_bytes = 0;       // of the request
  std::uint32_t response_bytes = 100;
};

// One scheduled request.
struct Arrival {
  Duration start_offset{};  // from the start of the run
  std::uint32_t stream_index = 0;
  std::uint32_t work_microseconds = 0;  // service time at full speed
};

// Generates the arrivals of all streams in order of start. Equal arguments give
// equal arrivals, so that runs of different policies get the same requests.
std::vector<Arrival> GenerateArrivals(const std::vector<LoadStream>& streams,
                                      Duration duration, std::uint64_t seed);

}  // namespace dogwood
