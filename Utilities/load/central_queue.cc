#include "Utilities/load/central_queue.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

namespace dogwood {

std::vector<double> CentralQueueLatencies(const std::vector<Arrival>& arrivals,
                                          std::int64_t start,
                                          std::uint32_t servers,
                                          std::uint32_t slots,
                                          const SlowdownPattern& slowdown) {
  using Ending =
      std::pair<std::int64_t, std::uint32_t>;  // wall microseconds, server
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
  std::vector<std::uint32_t> in_work(servers, 0);
  std::vector<double> latencies;
  latencies.reserve(arrivals.size());
  std::int64_t now = start;
  for (const Arrival& arrival : arrivals) {
    const std::int64_t arrived =
        start +
        std::chrono::duration_cast<std::chrono::microseconds>(arrival.at)
            .count();
    now = std::max(now, arrived);
    while (!endings.empty() &&
           (endings.top().first <= now ||
            endings.size() == std::size_t{servers} * slots)) {
      now = std::max(now, endings.top().first);
      --in_work[endings.top().second];
      endings.pop();
    }
    const auto least = std::min_element(in_work.begin(), in_work.end());
    const auto server = static_cast<std::uint32_t>(least - in_work.begin());
    ++*least;
    const std::int64_t end =
        slowdown.EndOfWork(server, now, arrival.work_microseconds);
    endings.emplace(end, server);
    latencies.push_back(static_cast<double>(end - arrived) / 1000);
  }
  return latencies;
}

}  // namespace dogwood
