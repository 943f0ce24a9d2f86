#pragma once

#include "Libraries/Observe/observe.h"

namespace dogwood {

// Metrics of the request path. References avoid a lookup in the registry for
// every request.
struct RequestMetrics {
  explicit RequestMetrics(MetricsRegistry& registry)
      : answered(registry.FindOrCreateCounter("dogwood_requests_total",
                                              "outcome=\"answered\"")),
        not_run(registry.FindOrCreateCounter("dogwood_requests_total",
                                             "outcome=\"not-run\"")),
        outcome_unknown(registry.FindOrCreateCounter("dogwood_requests_total",
                                                     "outcome=\"unknown\"")),
        cancelled(registry.FindOrCreateCounter("dogwood_requests_total",
                                               "outcome=\"caller-left\"")),
        malformed_requests(
            registry.FindOrCreateCounter("dogwood_malformed_requests_total")),
        truncated_responses(
            registry.FindOrCreateCounter("dogwood_cut_responses_total")),
        retries(registry.FindOrCreateCounter("dogwood_retries_total")),
        backend_connects(
            registry.FindOrCreateCounter("dogwood_backend_connects_total")),
        invalid_responses(registry.FindOrCreateCounter(
            "dogwood_backend_invalid_responses_total")),
        caller_connections(
            registry.FindOrCreateCounter("dogwood_caller_connections_total")),
        in_flight(registry.FindOrCreateGauge("dogwood_requests_in_flight")),
        request_duration(
            registry.FindOrCreateHistogram("dogwood_request_seconds")),
        backend_latency(registry.FindOrCreateHistogram(
            "dogwood_backend_response_seconds")) {}

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
