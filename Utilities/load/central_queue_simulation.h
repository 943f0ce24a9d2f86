#pragma once

#include <cstdint>
#include <vector>

#include "Tests/StandIns/slowdown_pattern.h"
#include "Utilities/load/arrival_schedule.h"

namespace dogwood {

// Simulates one central first-come-first-served queue in front of all backend
// servers, without network delay: as soon as a slot is free, the first waiting
// request takes a slot of the server with the fewest busy slots. Returns
// response times in milliseconds, in order of arrival. The wall time of the
// run's start aligns the arrivals with the slowdown pattern.
std::vector<double> SimulateCentralQueue(
    const std::vector<Arrival>& arrivals, std::int64_t start_wall_microseconds,
    std::uint32_t server_count, std::uint32_t slots_per_server,
    const SlowdownPattern& slowdown_pattern);

}  // namespace dogwood
