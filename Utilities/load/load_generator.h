#pragma once

#include <vector>

#include "Utilities/load/load_options.h"
#include "Utilities/load/load_report.h"

namespace dogwood {

// Results of one run.
struct LoadRunResult {
  std::vector<LoadResult> results;
  std::int64_t start_wall_microseconds = 0;  // wall time of start offset 0
};

// Sends each arrival at its scheduled time over keep-alive connections, and
// returns after the last response. Prints progress to standard error once a
// second.
LoadRunResult RunLoad(const LoadOptions& options,
                      const std::vector<Arrival>& arrivals);

}  // namespace dogwood
