// Public header of the Observe library: numbered events, counters, histograms,
// exposition text.
#pragma once

#include "Libraries/Observe/event_catalogue.h"
#include "Libraries/Observe/event_log.h"
#include "Libraries/Observe/latency_histogram.h"
#include "Libraries/Observe/metrics_registry.h"
