#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace dogwood {

enum class EventLevel { kDebug, kInfo, kWarning, kError };

// Number of an event. The meaning of a released number never changes.
// docs/events.md lists all numbers. Ranges: 1000 process, 2000 requests, 3000
// routing, 4000 membership, 5000 settings and orders, 6000 usage, 7000 claims,
// 8000 platform store, 9000 tests and stand-ins.
enum class EventId : std::uint16_t {
  kProcessStarted = 1000,
  kProcessStopped = 1001,
  kStopRequested = 1002,
  kStopForced = 1003,
  kStartFailed = 1004,
  kLogLinesDropped = 1005,
  kSettingsFileReloaded = 1006,
  kSettingsFileRefused = 1007,
  kLeavingServed = 1008,
  kRequestAnswered = 2000,
  kRequestNotRun = 2001,
  kRequestOutcomeUnknown = 2002,
  kRequestMalformed = 2003,
  kResponseCut = 2004,
  kRequestCancelled = 2005,
  kRequestAlreadyAnswered = 2006,
  kBackendConnectionFailed = 2100,
  kBackendResponseInvalid = 2101,
  kRequestServed = 2200,
  kRequestRefused = 2201,
  kRequestFailed = 2202,
  kRequestRetried = 2203,
  kRequestWithoutRoute = 2204,
  kCallerDisconnected = 2205,
  kRequestSuspected = 2206,
  kResponseWaitedForOrder = 2207,
  kRequestCutByStop = 2208,
  kStalledCallerAbandoned = 2209,
  kSlowRequestGivenUp = 2210,
  kRequestDenied = 2211,
  kServerUnusable = 3000,
  kServerAdded = 3001,
  kServerRemoved = 3002,
  kServerDraining = 3003,
  kServerCold = 3004,
  kServerLimited = 3005,
  kServerUnlimited = 3006,
  kServerLeaving = 3007,
  kServerPaused = 3008,
  kServerOfOtherService = 3009,
  kPeerFound = 4000,
  kPeerResponseMalformed = 4001,
  kSettingsAccepted = 5000,
  kSettingsInForce = 5001,
  kSettingsConflict = 5002,
  kSettingsUnreachable = 5003,
  kSettingsOutcomeUnknown = 5004,
  kOrderGiven = 5100,
  kOrderReceived = 5101,
  kOrderWritten = 5102,
  kOrderSuperseded = 5103,
  kFleetConfigurationRefused = 5200,
  kConfigurationInForce = 5300,
  kConfigurationRefused = 5301,
  kRegistrationRefused = 5302,
  kZonesEvacuated = 5303,
  kTableReplicated = 5304,
  kKeyLeaseChanged = 5305,
  kRolloutPhase = 5306,
  kUsageWriteFailed = 6000,
  kUsageReservationExtended = 6001,
  kUsageAdopted = 6002,
  kUsageMonthClosed = 6003,
  kUsageRowInvalid = 6004,
  kUsageReservationExceeded = 6005,
  kUsageNotFlushed = 6006,
  kClaimShardTaken = 7000,
  kClaimShardLost = 7001,
  kClaimCommitUnresolved = 7002,
  kClaimReportAbandoned = 7003,
  kClaimRowInvalid = 7004,
  kStoreUnavailable = 8000,
  kStoreAvailable = 8001,
};

// Catalogue entry of an event; the name and the description are in
// docs/events.md.
struct EventDescription {
  EventId id;
  EventLevel level;
  std::string_view name;
  std::string_view description;
};

// Returns all events in ascending order of their numbers.
std::span<const EventDescription> EventCatalogue();

// Returns the catalogue entry of an event. Aborts when `id` is not in the
// catalogue.
const EventDescription& DescribeEvent(EventId id);

}  // namespace dogwood
