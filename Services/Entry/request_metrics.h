#pragma once

#include "Libraries/Observe/observe.h"

namespace dogwood {

// Counters and histograms of the request path, looked up once.
struct RequestMetrics {
  explicit RequestMetrics(MetricsRegistry& registry)
      : answered(registry.CounterOf("dogwood_requests_total",
                                    "outcome=\"answered\"")),
        not_run(registry.CounterOf("dogwood_requests_total",
                                   "outcome=\"not-run\"")),
        unknown(registry.CounterOf("dogwood_requests_total",
                                   "outcome=\"unknown\"")),
        cancelled(registry.CounterOf("dogwood_requests_total",
                                     "outcome=\"caller-left\"")),
        malformed(registry.CounterOf("dogwood_malformed_requests_total")),
        cut(registry.CounterOf("dogwood_cut_responses_total")),
        retries(registry.CounterOf("dogwood_retries_total")),
        connects(registry.CounterOf("dogwood_backend_connects_total")),
        invalid_responses(
            registry.CounterOf("dogwood_backend_invalid_responses_total")),
        caller_connections(
            registry.CounterOf("dogwood_caller_connections_total")),
        in_flight(registry.GaugeOf("dogwood_requests_in_flight")),
        duration(registry.HistogramOf("dogwood_request_seconds")),
        backend_latency(
            registry.HistogramOf("dogwood_backend_response_seconds")) {}

  Counter& answered;
  Counter& not_run;
  Counter& unknown;
  Counter& cancelled;
  Counter& malformed;
  Counter& cut;
  Counter& retries;
  Counter& connects;
  Counter& invalid_responses;
  Counter& caller_connections;
  Gauge& in_flight;
  LatencyHistogram& duration;         // arrival of the head to the last byte
  LatencyHistogram& backend_latency;  // first byte sent to the response head
};

}  // namespace dogwood
