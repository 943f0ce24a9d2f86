#pragma once

#include "Libraries/Observe/observe.h"

namespace dogwood {

// Metrics of the request path. References avoid a lookup in the registry for
// every request.
struct RequestMetrics {
  explicit RequestMetrics(MetricsRegistry& registry)
      : answered(registry.CounterOf("dogwood_requests_total",
                                    "outcome=\"answered\"")),
        not_run(registry.CounterOf("dogwood_requests_total",
                                   "outcome=\"not-run\"")),
        outcome_unknown(registry.CounterOf("dogwood_requests_total",
                                           "outcome=\"unknown\"")),
        cancelled(registry.CounterOf("dogwood_requests_total",
                                     "outcome=\"caller-left\"")),
        malformed_requests(
            registry.CounterOf("dogwood_malformed_requests_total")),
        truncated_responses(registry.CounterOf("dogwood_cut_responses_total")),
        retries(registry.CounterOf("dogwood_retries_total")),
        backend_connects(registry.CounterOf("dogwood_backend_connects_total")),
        invalid_responses(
            registry.CounterOf("dogwood_backend_invalid_responses_total")),
        caller_connections(
            registry.CounterOf("dogwood_caller_connections_total")),
        in_flight(registry.GaugeOf("dogwood_requests_in_flight")),
        request_duration(registry.HistogramOf("dogwood_request_seconds")),
        backend_latency(
            registry.HistogramOf("dogwood_backend_response_seconds")) {}

  Counter& answered;
  Counter& not_run;
  Counter& outcome_unknown;
  Counter& cancelled;
  Counter& malformed_requests;
  Counter& truncated_responses;
  Counter& retries;
  Counter& backend_connects;
  Counter& invalid_responses;
  Counter& caller_connections;
  Gauge& in_flight;
  LatencyHistogram& request_duration;  // request head to last response byte
  LatencyHistogram& backend_latency;   // first byte sent to response head
};

}  // namespace dogwood
