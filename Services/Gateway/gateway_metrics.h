#pragma once

#include "Libraries/Observe/observe.h"

namespace dogwood {

// Metrics of the gateway, registered once so that updates need no lookup.
struct GatewayMetrics {
  explicit GatewayMetrics(MetricsRegistry& registry)
      : requests_served(registry.FindOrCreateCounter("dogwood_requests_total",
                                                     "outcome=\"served\"")),
        requests_refused(registry.FindOrCreateCounter("dogwood_requests_total",
                                                      "outcome=\"refused\"")),
        requests_failed(registry.FindOrCreateCounter("dogwood_requests_total",
                                                     "outcome=\"failed\"")),
        crashing_requests_refused(registry.FindOrCreateCounter(
            "dogwood_crashing_requests_refused_total")),
        requests_abandoned_by_caller(registry.FindOrCreateCounter(
            "dogwood_requests_total", "outcome=\"caller-left\"")),
        retries(registry.FindOrCreateCounter("dogwood_repeats_total")),
        backend_connections_opened(registry.FindOrCreateCounter(
            "dogwood_server_connections_opened_total")),
        health_checks_sent(
            registry.FindOrCreateCounter("dogwood_health_checks_total")),
        mismatched_responses_skipped(registry.FindOrCreateCounter(
            "dogwood_foreign_answers_skipped_total")),
        messages_sent(
            registry.FindOrCreateCounter("dogwood_peer_messages_sent_total")),
        messages_refused(registry.FindOrCreateCounter(
            "dogwood_peer_messages_refused_total")),
        dispatcher_timeouts(
            registry.FindOrCreateCounter("dogwood_silent_dispatchers_total")),
        requests_queued(registry.FindOrCreateGauge("dogwood_requests_waiting")),
        requests_in_flight(
            registry.FindOrCreateGauge("dogwood_requests_in_hand")),
        configuration_version(
            registry.FindOrCreateGauge("dogwood_policy_version")),
        store_age_ms(
            registry.FindOrCreateGauge("dogwood_store_age_milliseconds")),
        live_hosts(registry.FindOrCreateGauge("dogwood_live_hosts")),
        usable_servers(registry.FindOrCreateGauge("dogwood_usable_servers")),
        requests_pipelined(
            registry.FindOrCreateCounter("dogwood_pipelined_requests_total")),
        pipelining_bound_reached(registry.FindOrCreateCounter(
            "dogwood_pipelining_bound_reached_total")),
        requests_denied(
            registry.FindOrCreateCounter("dogwood_requests_denied_total")),
        requests_without_key_lease(registry.FindOrCreateCounter(
            "dogwood_requests_without_key_lease_total")),
        requests_over_quota(
            registry.FindOrCreateCounter("dogwood_requests_over_quota_total")),
        quota_hosts_silent(
            registry.FindOrCreateCounter("dogwood_quota_hosts_silent_total")),
        key_age_ms(registry.FindOrCreateGauge("dogwood_key_age_milliseconds")),
        requests_held_back(
            registry.FindOrCreateCounter("dogwood_requests_held_back_total")),
        selections_of_other_services(registry.FindOrCreateCounter(
            "dogwood_selections_of_other_services_total")),
        stalled_callers_abandoned(registry.FindOrCreateCounter(
            "dogwood_stalled_callers_abandoned_total")),
        slow_requests_given_up(registry.FindOrCreateCounter(
            "dogwood_slow_requests_given_up_total")),
        request_bytes(registry.FindOrCreateGauge("dogwood_request_bytes")),
        response_body_bytes(
            registry.FindOrCreateGauge("dogwood_response_body_bytes")),
        limited_servers(registry.FindOrCreateGauge("dogwood_limited_servers")),
        refused_fingerprints(
            registry.FindOrCreateGauge("dogwood_refused_fingerprints")),
        request_duration(
            registry.FindOrCreateHistogram("dogwood_request_seconds")),
        selection_wait_duration(
            registry.FindOrCreateHistogram("dogwood_placement_wait_seconds")),
        response_order_wait_duration(registry.FindOrCreateHistogram(
            "dogwood_response_order_wait_seconds")) {}

  Counter& requests_served;
  Counter& requests_refused;
  Counter& requests_failed;
  Counter& crashing_requests_refused;
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
  Counter& requests_pipelined;  // read behind another one on their connection
  Counter& pipelining_bound_reached;
  Counter& requests_denied;             // no client account holds the key
  Counter& requests_without_key_lease;  // see KeyLease
  Counter& requests_over_quota;
  Counter& quota_hosts_silent;  // requests for which no host granted or refused
  Gauge& key_age_ms;  // since the keys were confirmed; -1 if they never were
  Counter& requests_held_back;  // from servers that want none of this host
  Counter& selections_of_other_services;  // grants of a wrong server
  Counter& stalled_callers_abandoned;     // for lack of response memory
  Counter& slow_requests_given_up;        // for lack of memory or connections
  Gauge& request_bytes;                   // held, see RequestMemory
  Gauge& response_body_bytes;             // held, see ResponseMemory
  Gauge& limited_servers;
  Gauge& refused_fingerprints;  // of requests that crash servers
  LatencyHistogram& request_duration;
  LatencyHistogram& selection_wait_duration;
  // Of responses that were ready before those to earlier requests.
  LatencyHistogram& response_order_wait_duration;
};

}  // namespace dogwood
