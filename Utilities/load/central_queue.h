#pragma once

#include <cstdint>
#include <vector>

#include "Tests/StandIns/work_speed.h"
#include "Utilities/load/arrival_schedule.h"

namespace dogwood {

// Response times, in milliseconds and in order of arrival, of one central
// first-come-first-served queue in front of all backend servers without any
// delay: the head of the queue takes a slot of the server with the least work
// as soon as one is free. `start` is the wall time of the run's start in
// microseconds, which places the arrivals in the slowdown pattern.
std::vector<double> CentralQueueLatencies(const std::vector<Arrival>& arrivals,
                                          std::int64_t start,
                                          std::uint32_t servers,
                                          std::uint32_t slots,
                                          const SlowdownPattern& slowdown);

}  // namespace dogwood
