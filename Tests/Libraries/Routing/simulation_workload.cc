// Arrival rates and service times of the fleet simulation.
#include <algorithm>
#include <cmath>

#include "Tests/Libraries/Routing/fleet_simulation.h"

namespace dogwood {
namespace {

// Speed with slow phases, relative to full speed: full for 4/5 of the time, a
// third of it for 1/5.
constexpr double kMeanRelativeSpeed = 0.8 + 0.2 / 3;

}  // namespace

double ArrivalRate(const FleetSimulationOptions& options, double load) {
  const bool is_slowed =
      options.has_slow_phases && !options.is_load_relative_to_full_speed;
  const double speed = is_slowed ? kMeanRelativeSpeed : 1;
  const double mean_seconds =
      (1 - options.long_request_fraction) * options.mean_service_ms / 1000 +
      options.long_request_fraction *
          std::chrono::duration<double>(options.long_service_time).count();
  return load * options.servers * options.slots * speed / mean_seconds /
         options.hosts;
}

double Quantile(std::vector<float>& values, double quantile) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

Duration SampleServiceTime(const FleetSimulationOptions& options,
                           std::mt19937_64& engine) {
  if (options.long_request_fraction > 0 &&
      std::bernoulli_distribution(options.long_request_fraction)(engine)) {
    return options.long_service_time;
  }
  const double mu = std::log(options.mean_service_ms / 1000) -
                    options.sigma * options.sigma / 2;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::lognormal_distribution<double>(mu, options.sigma)(engine)));
}

}  // namespace dogwood
