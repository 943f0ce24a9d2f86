#include "Utilities/load/central_queue_simulation.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

namespace dogwood {

std::vector<double> SimulateCentralQueue(
    const std::vector<Arrival>& arrivals, std::int64_t start_wall_microseconds,
    std::uint32_t server_count, std::uint32_t slots_per_server,
    const SlowdownPattern& slowdown_pattern) {
  // Wall time in microseconds, index of the server.
  using Completion = std::pair<std::int64_t, std::uint32_t>;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
  std::vector<std::uint32_t> busy_slots(server_count, 0);
  std::vector<double> latencies_milliseconds;
  latencies_milliseconds.reserve(arrivals.size());
  std::int64_t now_wall = start_wall_microseconds;
  for (const Arrival& arrival : arrivals) {
    const std::int64_t arrival_wall =
        start_wall_microseconds +
        std::chrono::duration_cast<std::chrono::microseconds>(
            arrival.start_offset)
            .count();
    now_wall = std::max(now_wall, arrival_wall);
    while (
        !completions.empty() &&
        (completions.top().first <= now_wall ||
         completions.size() == std::size_t{server_count} * slots_per_server)) {
      now_wall = std::max(now_wall, completions.top().first);
      --busy_slots[completions.top().second];
      completions.pop();
    }
    const auto least_busy =
        std::min_element(busy_slots.begin(), busy_slots.end());
    const auto server =
        static_cast<std::uint32_t>(least_busy - busy_slots.begin());
    ++*least_busy;
    const std::int64_t completion = slowdown_pattern.CompletionTime(
        server, now_wall, arrival.work_microseconds);
    completions.emplace(completion, server);
    latencies_milliseconds.push_back(
        static_cast<double>(completion - arrival_wall) / 1000);
  }
  return latencies_milliseconds;
}

}  // namespace dogwood
