#include "Utilities/load/arrival_schedule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace dogwood {

std::vector<Arrival> GenerateArrivals(const std::vector<LoadStream>& streams,
                                      Duration duration, std::uint64_t seed) {
  std::vector<Arrival> arrivals;
  for (std::uint32_t stream_index = 0; stream_index < streams.size();
       ++stream_index) {
    const LoadStream& stream = streams[stream_index];
    std::mt19937_64 engine(seed + stream_index);
    std::exponential_distribution<double> interarrival_seconds(
        stream.requests_per_second);
    // The mean of a log-normal variable is exp(log_mean + sigma^2 / 2).
    const double log_mean = std::log(stream.mean_work_milliseconds * 1000) -
                            stream.work_sigma * stream.work_sigma / 2;
    std::lognormal_distribution<double> work_microseconds(log_mean,
                                                          stream.work_sigma);
    const double duration_seconds =
        std::chrono::duration<double>(duration).count();
    for (double seconds = interarrival_seconds(engine);
         seconds < duration_seconds; seconds += interarrival_seconds(engine)) {
      arrivals.push_back(
          {std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(seconds)),
           stream_index,
           static_cast<std::uint32_t>(work_microseconds(engine))});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) {
              return a.start_offset < b.start_offset;
            });
  return arrivals;
}

}  // namespace dogwood
