#include "Libraries/Observe/event_catalogue.h"

#include <algorithm>
#include <array>

#include "Libraries/Core/verify.h"

namespace dogwood {
namespace {

using enum EventLevel;

constexpr auto kCatalogue = std::to_array<EventDescription>({
    {EventId::kProcessStarted, kInfo, "process-started",
     "The process accepts work."},
    {EventId::kProcessStopped, kInfo, "process-stopped",
     "The process ends; `cut` counts requests it ended early."},
    {EventId::kStopRequested, kInfo, "stop-requested",
     "A signal asked for a graceful shutdown."},
    {EventId::kStopForced, kWarning, "stop-forced",
     "A second signal or the stop deadline ended the shutdown early."},
    {EventId::kStartFailed, kError, "start-failed",
     "The process could not start; `error` says why."},
    {EventId::kLogLinesDropped, kWarning, "log-lines-dropped",
     "Standard output was not read fast enough; `lines` were dropped."},
    {EventId::kSettingsFileReloaded, kInfo, "settings-file-reloaded",
     "The settings file changed and is in force."},
    {EventId::kSettingsFileRefused, kError, "settings-file-refused",
     "The settings file could not be read; the former settings stay in force."},
    {EventId::kLeavingServed, kInfo, "leaving-served",
     "All requests of a leaving process are answered."},
    {EventId::kRequestAnswered, kDebug, "request-answered",
     "A backend server's answer was passed to the caller."},
    {EventId::kRequestNotRun, kInfo, "request-not-run",
     "A request was refused before any backend server ran it."},
    {EventId::kRequestOutcomeUnknown, kWarning, "request-outcome-unknown",
     "A request may have run; its answer was lost."},
    {EventId::kRequestMalformed, kInfo, "request-malformed",
     "A caller's bytes broke HTTP framing; the connection was closed."},
    {EventId::kResponseCut, kWarning, "response-cut",
     "A response ended after a part of it was passed to the caller."},
    {EventId::kRequestCancelled, kInfo, "request-cancelled",
     "The caller left before its response; `handed_over` tells whether a "
     "backend server had the request."},
    {EventId::kRequestAlreadyAnswered, kInfo, "request-already-answered",
     "A resend of an answered request got the recorded status."},
    {EventId::kBackendConnectionFailed, kWarning, "backend-connection-failed",
     "A connection to a backend server was refused or lost."},
    {EventId::kBackendAnswerInvalid, kWarning, "backend-answer-invalid",
     "A backend server's answer was truncated, surplus, crossed or malformed."},
    {EventId::kRequestServed, kInfo, "request-served",
     "A backend server answered; a sample, and every one that was late or "
     "repeated."},
    {EventId::kRequestRefused, kInfo, "request-refused",
     "A request was refused and has not run; `reason` says why."},
    {EventId::kRequestFailed, kWarning, "request-failed",
     "A request may have run and its answer is lost or a failure."},
    {EventId::kRequestRepeated, kInfo, "request-repeated",
     "A request goes to another backend server; `reason` says why."},
    {EventId::kRequestWithoutRoute, kInfo, "request-without-route",
     "No route of the configuration in force matches."},
    {EventId::kRequestAbandoned, kInfo, "request-abandoned",
     "The caller left before the answer."},
    {EventId::kServerUnusable, kWarning, "server-unusable",
     "A backend server gets no requests for now; `reason` says why."},
    {EventId::kServerAdded, kInfo, "server-added",
     "A backend server registered or started again."},
    {EventId::kServerRemoved, kInfo, "server-removed",
     "A backend server is gone from the registrations."},
    {EventId::kServerDraining, kInfo, "server-draining",
     "A backend server leaves and gets no new requests."},
    {EventId::kServerCold, kInfo, "server-cold",
     "A backend server bears only its cold rate for `cold_ms`."},
    {EventId::kPeerFound, kInfo, "peer-found",
     "Another entry host was heard for the first time or again."},
    {EventId::kPeerUnreadable, kWarning, "peer-unreadable",
     "A message of another entry host could not be read."},
    {EventId::kSettingsAccepted, kInfo, "settings-accepted",
     "This host committed a settings change."},
    {EventId::kSettingsInForce, kInfo, "settings-in-force",
     "A settings version or an emergency order is in force on this host."},
    {EventId::kSettingsConflict, kInfo, "settings-conflict",
     "A change was refused because another one of the same path came first."},
    {EventId::kSettingsUnreachable, kError, "settings-unreachable",
     "Neither the store nor a peer could be reached; the host accepts no "
     "work."},
    {EventId::kSettingsOutcomeUnknown, kWarning, "settings-outcome-unknown",
     "A settings change may have been committed; its answer was lost."},
    {EventId::kOrderGiven, kWarning, "order-given",
     "An emergency order was accepted while the store was down."},
    {EventId::kOrderReceived, kWarning, "order-received",
     "An emergency order arrived from another host."},
    {EventId::kOrderWritten, kInfo, "order-written",
     "An emergency order became part of the settings chain."},
    {EventId::kOrderSuperseded, kWarning, "order-superseded",
     "A later change of the same path superseded an emergency order."},
    {EventId::kFleetConfigurationRefused, kError, "fleet-configuration-refused",
     "A fleet configuration could not be put in force on this host; `error` "
     "says why."},
    {EventId::kPolicyInForce, kInfo, "policy-in-force",
     "A configuration of the operators is in force on this host."},
    {EventId::kPolicyRefused, kError, "policy-refused",
     "A stored configuration is invalid or older; the former one stays."},
    {EventId::kRegistrationRefused, kWarning, "registration-refused",
     "A registration could not be read and names no backend server."},
    {EventId::kZonesEvacuated, kInfo, "zones-evacuated",
     "The availability zones in `zones` get no requests; the list is "
     "complete."},
    {EventId::kTableCopied, kInfo, "table-copied",
     "A newer copy of a table of the store was taken; `source` says from "
     "where."},
    {EventId::kUsageWriteFailed, kWarning, "usage-write-failed",
     "Running totals could not be written; they stay in memory and at peers."},
    {EventId::kUsageReservationExtended, kInfo, "usage-reservation-extended",
     "Peers hold a greater reservation than the store."},
    {EventId::kUsageAdopted, kInfo, "usage-adopted",
     "The totals of a vanished incarnation were written by a peer."},
    {EventId::kUsageMonthClosed, kInfo, "usage-month-closed",
     "The snapshot of a month was stored; `sha256` is its digest."},
    {EventId::kUsageRowInvalid, kError, "usage-row-invalid",
     "A usage row or message could not be read; `error` says why."},
    {EventId::kUsageReservationExceeded, kError, "usage-reservation-exceeded",
     "A request was charged beyond the reservation in force."},
    {EventId::kUsageNotFlushed, kWarning, "usage-not-flushed",
     "A planned stop could not write the host's last usage; the report shows "
     "bounds for it."},
    {EventId::kClaimShardTaken, kInfo, "claim-shard-taken",
     "This host took shards over; `shards` counts them."},
    {EventId::kClaimShardLost, kInfo, "claim-shard-lost",
     "A commit found that another host holds a shard."},
    {EventId::kClaimCommitUnresolved, kWarning, "claim-commit-unresolved",
     "The answer to a commit of claims was lost; nothing is granted until its "
     "fate is known."},
    {EventId::kClaimReportAbandoned, kWarning, "claim-report-abandoned",
     "The outcome of a claim could not be reported to its holder; the key "
     "stays claimed."},
    {EventId::kClaimRowInvalid, kError, "claim-row-invalid",
     "A row of a former holder could not be read; its shards stay unserved."},
    {EventId::kStoreUnavailable, kWarning, "store-unavailable",
     "The platform's table service refused or could not be reached."},
    {EventId::kStoreAvailable, kInfo, "store-available",
     "The platform's table service answers again."},
});

}  // namespace

std::span<const EventDescription> EventCatalogue() { return kCatalogue; }

const EventDescription& DescribeEvent(EventId id) {
  const auto found =
      std::lower_bound(kCatalogue.begin(), kCatalogue.end(), id,
                       [](const EventDescription& description, EventId wanted) {
                         return description.id < wanted;
                       });
  VERIFY(found != kCatalogue.end() && found->id == id);
  return *found;
}

}  // namespace dogwood
