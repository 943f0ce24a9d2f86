#pragma once

#include "Libraries/Observe/observe.h"

namespace dogwood {

// Metrics of the gateway, registered once so that updates need no lookup.
struct GatewayMetrics {
  explicit GatewayMetrics(MetricsRegistry& registry)
      : requests_served(
            registry.CounterOf("dogwood_requests_total", "outcome=\"served\"")),
        requests_refused(registry.CounterOf("dogwood_requests_total",
                                            "outcome=\"refused\"")),
        requests_failed(
            registry.CounterOf("dogwood_requests_total", "outcome=\"failed\"")),
        requests_abandoned_by_caller(registry.CounterOf(
            "dogwood_requests_total", "outcome=\"caller-left\"")),
        retries(registry.CounterOf("dogwood_repeats_total")),
        backend_connections_opened(
            registry.CounterOf("dogwood_server_connections_opened_total")),
        health_checks_sent(registry.CounterOf("dogwood_health_checks_total")),
        mismatched_responses_skipped(
            registry.CounterOf("dogwood_foreign_answers_skipped_total")),
        messages_sent(registry.CounterOf("dogwood_peer_messages_sent_total")),
        messages_refused(
            registry.CounterOf("dogwood_peer_messages_refused_total")),
        dispatcher_timeouts(
            registry.CounterOf("dogwood_silent_dispatchers_total")),
        requests_queued(registry.GaugeOf("dogwood_requests_waiting")),
        requests_in_flight(registry.GaugeOf("dogwood_requests_in_hand")),
        configuration_version(registry.GaugeOf("dogwood_policy_version")),
        store_age_ms(registry.GaugeOf("dogwood_store_age_milliseconds")),
        live_hosts(registry.GaugeOf("dogwood_live_hosts")),
        usable_servers(registry.GaugeOf("dogwood_usable_servers")),
        request_duration(registry.HistogramOf("dogwood_request_seconds")),
        selection_wait_duration(
            registry.HistogramOf("dogwood_placement_wait_seconds")) {}

  Counter& requests_served;
  Counter& requests_refused;
  Counter& requests_failed;
  Counter& requests_abandoned_by_caller;
  Counter& retries;
  Counter& backend_connections_opened;
  Counter& health_checks_sent;
  Counter& mismatched_responses_skipped;
  Counter& messages_sent;
  Counter& messages_refused;
  Counter& dispatcher_timeouts;
  Gauge& requests_queued;
  Gauge& requests_in_flight;
  Gauge& configuration_version;
  Gauge& store_age_ms;
  Gauge& live_hosts;
  Gauge& usable_servers;
  LatencyHistogram& request_duration;
  LatencyHistogram& selection_wait_duration;
};

}  // namespace dogwood
