#pragma once

#include <vector>

#include "Utilities/load/load_options.h"
#include "Utilities/load/load_report.h"

namespace dogwood {

struct LoadRun {
  std::vector<LoadResult> results;
  std::int64_t start = 0;  // wall microseconds of the first possible arrival
};

// Sends all arrivals at their times over keep-alive connections and waits for
// the last answer. Shows progress on standard error once a second.
LoadRun RunLoad(const LoadOptions& options,
                const std::vector<Arrival>& arrivals);

}  // namespace dogwood
