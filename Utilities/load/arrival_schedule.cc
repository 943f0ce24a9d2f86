#include "Utilities/load/arrival_schedule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace dogwood {

std::vector<Arrival> MakeArrivals(const std::vector<LoadStream>& streams,
                                  Duration length, std::uint64_t seed) {
  std::vector<Arrival> arrivals;
  for (std::uint32_t index = 0; index < streams.size(); ++index) {
    const LoadStream& stream = streams[index];
    std::mt19937_64 random(seed + index);
    std::exponential_distribution<double> gap(stream.rate);
    // The mean of a log-normal variable is exp(mu + sigma^2 / 2).
    const double mu = std::log(stream.work_milliseconds * 1000) -
                      stream.work_sigma * stream.work_sigma / 2;
    std::lognormal_distribution<double> work(mu, stream.work_sigma);
    const double end = std::chrono::duration<double>(length).count();
    for (double at = gap(random); at < end; at += gap(random)) {
      arrivals.push_back({std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(at)),
                          index, static_cast<std::uint32_t>(work(random))});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace dogwood
