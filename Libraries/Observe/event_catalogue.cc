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
