#pragma once

#include "Libraries/Observe/observe.h"

namespace dogwood {

// Metrics of the gateway, registered once so that updates need no lookup.
struct GatewayMetrics {
  explicit GatewayMetrics(MetricsRegistry& registry)
      : served(
            registry.CounterOf("dogwood_requests_total", "outcome=\"served\"")),
        refused(registry.CounterOf("dogwood_requests_total",
                                   "outcome=\"refused\"")),
        failed(
            registry.CounterOf("dogwood_requests_total", "outcome=\"failed\"")),
        caller_left(registry.CounterOf("dogwood_requests_total",
                                       "outcome=\"caller-left\"")),
        repeats(registry.CounterOf("dogwood_repeats_total")),
        connections_opened(
            registry.CounterOf("dogwood_server_connections_opened_total")),
        health_checks(registry.CounterOf("dogwood_health_checks_total")),
        answers_skipped(
            registry.CounterOf("dogwood_foreign_answers_skipped_total")),
        messages_sent(registry.CounterOf("dogwood_peer_messages_sent_total")),
        messages_refused(
            registry.CounterOf("dogwood_peer_messages_refused_total")),
        dispatcher_timeouts(
            registry.CounterOf("dogwood_silent_dispatchers_total")),
        waiting(registry.GaugeOf("dogwood_requests_waiting")),
        in_hand(registry.GaugeOf("dogwood_requests_in_hand")),
        policy_version(registry.GaugeOf("dogwood_policy_version")),
        store_age_ms(registry.GaugeOf("dogwood_store_age_milliseconds")),
        live_hosts(registry.GaugeOf("dogwood_live_hosts")),
        usable_servers(registry.GaugeOf("dogwood_usable_servers")),
        request_time(registry.HistogramOf("dogwood_request_seconds")),
        placement_wait(registry.HistogramOf("dogwood_placement_wait_seconds")) {
  }

  Counter& served;
  Counter& refused;
  Counter& failed;
  Counter& caller_left;
  Counter& repeats;
  Counter& connections_opened;
  Counter& health_checks;
  Counter& answers_skipped;
  Counter& messages_sent;
  Counter& messages_refused;
  Counter& dispatcher_timeouts;
  Gauge& waiting;
  Gauge& in_hand;
  Gauge& policy_version;
  Gauge& store_age_ms;
  Gauge& live_hosts;
  Gauge& usable_servers;
  LatencyHistogram& request_time;
  LatencyHistogram& placement_wait;
};

}  // namespace dogwood
