#include "Libraries/Observe/event_catalogue.h"

#include <algorithm>
#include <array>

#include "Libraries/Core/verify.h"

namespace dogwood {
namespace {

using enum EventLevel;

constexpr auto kEvents = std::to_array<EventDescription>({
    {EventId::kProcessStarted, kInfo, "process-started",
     "The process accepts requests."},
    {EventId::kProcessStopped, kInfo, "process-stopped",
     "The process exits; `cut` counts the requests that it aborted."},
    {EventId::kStopRequested, kInfo, "stop-requested",
     "A signal requested a graceful shutdown."},
    {EventId::kStopForced, kWarning, "stop-forced",
     "A second signal or the stop deadline ended the graceful shutdown early."},
    {EventId::kStartFailed, kError, "start-failed",
     "The process could not start; `error` states why."},
    {EventId::kLogLinesDropped, kWarning, "log-lines-dropped",
     "Standard output was not read fast enough; `lines` counts the dropped "
     "lines."},
    {EventId::kSettingsFileReloaded, kInfo, "settings-file-reloaded",
     "The settings file changed and is in force."},
    {EventId::kSettingsFileRefused, kError, "settings-file-refused",
     "The settings file could not be read; the previous settings stay in "
     "force."},
    {EventId::kLeavingServed, kInfo, "leaving-served",
     "A process that is shutting down has answered all of its requests."},
    {EventId::kRequestAnswered, kDebug, "request-answered",
     "A backend server's response was forwarded to the caller."},
    {EventId::kRequestNotRun, kInfo, "request-not-run",
     "A request was refused before any backend server ran it."},
    {EventId::kRequestOutcomeUnknown, kWarning, "request-outcome-unknown",
     "A request may have run; its response was lost."},
    {EventId::kRequestMalformed, kInfo, "request-malformed",
     "A caller's request violated HTTP framing; the connection was closed."},
    {EventId::kResponseCut, kWarning, "response-cut",
     "A response was truncated after a part of it was forwarded to the "
     "caller."},
    {EventId::kRequestCancelled, kInfo, "request-cancelled",
     "The caller disconnected before its response; `handed_over` states "
     "whether a backend server may have run the request."},
    {EventId::kRequestAlreadyAnswered, kInfo, "request-already-answered",
     "A repeat of an answered request got the recorded status."},
    {EventId::kBackendConnectionFailed, kWarning, "backend-connection-failed",
     "A connection to a backend server was refused or lost."},
    {EventId::kBackendResponseInvalid, kWarning, "backend-answer-invalid",
     "A backend server's response was truncated, malformed, followed by "
     "surplus bytes or meant for another request."},
    {EventId::kRequestServed, kInfo, "request-served",
     "A backend server answered a request; logged for a sample and for each "
     "request that was late or repeated."},
    {EventId::kRequestRefused, kInfo, "request-refused",
     "A request was refused and has not run; `reason` states why."},
    {EventId::kRequestFailed, kWarning, "request-failed",
     "A request may have run; its response was lost or is an error."},
    {EventId::kRequestRetried, kInfo, "request-repeated",
     "A request is retried on another backend server; `reason` states why."},
    {EventId::kRequestWithoutRoute, kInfo, "request-without-route",
     "A request matches no route of the configuration in force."},
    {EventId::kCallerDisconnected, kInfo, "request-abandoned",
     "The caller disconnected before its response."},
    {EventId::kRequestSuspected, kWarning, "request-suspected",
     "A backend server crashed while it ran the request with this "
     "`fingerprint`, or the request succeeded and `is_cleared`; `is_refused` "
     "tells whether hosts refuse it from now on."},
    {EventId::kResponseWaitedForOrder, kInfo, "response-waited-for-order",
     "The response to a pipelined request waited `waited_ms` for the one in "
     "front of it; `behind` more requests follow on the connection."},
    {EventId::kRequestCutByStop, kWarning, "request-cut-by-stop",
     "The process stopped while a request ran. The request arrived "
     "`arrived_ms` after the stop signal; `has_response` tells whether its "
     "response was being written."},
    {EventId::kStalledCallerAbandoned, kWarning, "stalled-caller-abandoned",
     "The memory for responses was used up, and a caller that read nothing of "
     "its response lost it; `written_bytes` of it were sent."},
    {EventId::kSlowRequestGivenUp, kWarning, "slow-request-given-up",
     "For lack of what `reason` says, a connection was closed whose request "
     "had "
     "arrived most slowly, `read_bytes` in `read_ms`, or that had been idle "
     "for longest."},
    {EventId::kRequestDenied, kInfo, "request-denied",
     "No client account of the configuration in force holds the request's "
     "key, or the request has none (`has_key`)."},
    {EventId::kServerUnusable, kWarning, "server-unusable",
     "A backend server temporarily gets no requests; `reason` states why."},
    {EventId::kServerAdded, kInfo, "server-added",
     "A backend server registered or restarted."},
    {EventId::kServerRemoved, kInfo, "server-removed",
     "A backend server is no longer registered."},
    {EventId::kServerDraining, kInfo, "server-draining",
     "A backend server is draining and gets no new requests."},
    {EventId::kServerCold, kInfo, "server-cold",
     "A backend server gets at most its cold rate for `cold_ms`."},
    {EventId::kServerLimited, kWarning, "server-limited",
     "A backend server takes only `requests_per_second` from all hosts "
     "together; `source` is the host that received the response."},
    {EventId::kServerUnlimited, kInfo, "server-unlimited",
     "A backend server no longer limits its requests."},
    {EventId::kServerLeaving, kInfo, "server-leaving",
     "A backend server says in a response that it is leaving; `source` is the "
     "host that received it."},
    {EventId::kServerPaused, kInfo, "server-paused",
     "A backend server wants nothing from this host for `pause_ms`."},
    {EventId::kServerOfOtherService, kError, "server-of-other-service",
     "The `dispatcher` granted a request of one service a backend server of "
     "another (`server_service`)."},
    {EventId::kPeerFound, kInfo, "peer-found",
     "Another entry host was discovered for the first time or again."},
    {EventId::kPeerResponseMalformed, kWarning, "peer-unreadable",
     "A message of another entry host could not be decoded."},
    {EventId::kSettingsAccepted, kInfo, "settings-accepted",
     "This host committed a settings change."},
    {EventId::kSettingsInForce, kInfo, "settings-in-force",
     "A settings version or an emergency order is in force on this host."},
    {EventId::kSettingsConflict, kInfo, "settings-conflict",
     "A change was refused because another change to the same path was "
     "committed first."},
    {EventId::kSettingsUnreachable, kError, "settings-unreachable",
     "Neither the store nor a peer could be reached; the host accepts no "
     "requests."},
    {EventId::kSettingsOutcomeUnknown, kWarning, "settings-outcome-unknown",
     "A settings change may have been committed; the store's response was "
     "lost."},
    {EventId::kOrderGiven, kWarning, "order-given",
     "An emergency order was accepted while the store was unavailable."},
    {EventId::kOrderReceived, kWarning, "order-received",
     "An emergency order was received from another host."},
    {EventId::kOrderWritten, kInfo, "order-written",
     "An emergency order was committed to the settings chain."},
    {EventId::kOrderSuperseded, kWarning, "order-superseded",
     "A later change to the same path superseded an emergency order."},
    {EventId::kFleetConfigurationRefused, kError, "fleet-configuration-refused",
     "A fleet configuration could not be applied on this host; `error` states "
     "why."},
    {EventId::kConfigurationInForce, kInfo, "policy-in-force",
     "The operators' configuration is in force on this host."},
    {EventId::kConfigurationRefused, kError, "policy-refused",
     "A stored configuration is invalid or outdated; the previous one stays in "
     "force."},
    {EventId::kRegistrationRefused, kWarning, "registration-refused",
     "A registration could not be decoded; it adds no backend server."},
    {EventId::kZonesEvacuated, kInfo, "zones-evacuated",
     "`zones` lists all availability zones that get no requests."},
    {EventId::kTableReplicated, kInfo, "table-copied",
     "A newer version of a table of the store was copied from `source`."},
    {EventId::kKeyLeaseChanged, kWarning, "key-lease-changed",
     "Requests with keys are served or, without `is_valid`, refused, because "
     "the newest keys were confirmed `age_ms` ago (-1: never)."},
    {EventId::kRolloutPhase, kInfo, "rollout-phase",
     "The roll-out of version `target` of a service has entered a phase. This "
     "host knows of `requests` that the version answered, `bad` of them failed "
     "or slow."},
    {EventId::kUsageWriteFailed, kWarning, "usage-write-failed",
     "Usage totals could not be written to the store; they stay in memory and "
     "at peers."},
    {EventId::kUsageReservationExtended, kInfo, "usage-reservation-extended",
     "Peers hold a greater usage reservation than the store."},
    {EventId::kUsageAdopted, kInfo, "usage-adopted",
     "This host wrote the usage totals of another host's incarnation that "
     "disappeared."},
    {EventId::kUsageMonthClosed, kInfo, "usage-month-closed",
     "The usage snapshot of a month was stored; `sha256` is its digest."},
    {EventId::kUsageRowInvalid, kError, "usage-row-invalid",
     "A usage row or message could not be parsed; `error` states why."},
    {EventId::kUsageReservationExceeded, kError, "usage-reservation-exceeded",
     "A request was charged beyond the reservation in force."},
    {EventId::kUsageNotFlushed, kWarning, "usage-not-flushed",
     "A graceful shutdown could not write the host's last usage totals; the "
     "report shows bounds for them."},
    {EventId::kClaimShardTaken, kInfo, "claim-shard-taken",
     "This host took over claim shards; `shards` counts them."},
    {EventId::kClaimShardLost, kInfo, "claim-shard-lost",
     "A commit found that other hosts hold claim shards of this host; `shards` "
     "counts them."},
    {EventId::kClaimCommitUnresolved, kWarning, "claim-commit-unresolved",
     "The response to a commit of claims was lost; no claim is granted until "
     "its outcome is known."},
    {EventId::kClaimReportAbandoned, kWarning, "claim-report-abandoned",
     "The outcome of a claim could not be reported to its holder; the key "
     "stays claimed."},
    {EventId::kClaimRowInvalid, kError, "claim-row-invalid",
     "A claim row of a previous holder could not be parsed; its shards are not "
     "served."},
    {EventId::kStoreUnavailable, kWarning, "store-unavailable",
     "The platform's table service refused requests or could not be reached."},
    {EventId::kStoreAvailable, kInfo, "store-available",
     "The platform's table service answers again."},
});

}  // namespace

std::span<const EventDescription> EventCatalogue() { return kEvents; }

const EventDescription& DescribeEvent(EventId id) {
  const auto position = std::lower_bound(
      kEvents.begin(), kEvents.end(), id,
      [](const EventDescription& description, EventId target_id) {
        return description.id < target_id;
      });
  VERIFY(position != kEvents.end() && position->id == id);
  return *position;
}

}  // namespace dogwood
