// Public header of the Observe library: the catalogue and log of numbered
// events, and metrics in the Prometheus text exposition format.
#pragma once

#include "Libraries/Observe/event_catalogue.h"
#include "Libraries/Observe/event_log.h"
#include "Libraries/Observe/latency_histogram.h"
#include "Libraries/Observe/metrics_registry.h"
