#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// Dense numbers of hosts, backend servers and parties inside one ServiceRouter.
// They stay valid for the life of the router.
using HostIndex = std::uint32_t;
using ServerIndex = std::uint32_t;
using PartyIndex = std::uint32_t;
inline constexpr std::uint32_t kNoIndex =
    std::numeric_limits<std::uint32_t>::max();

// Slots of one backend server are kept in 64-bit masks.
inline constexpr std::uint32_t kMaximumSlots = 64;

enum class AgreementClass : std::uint8_t { kWithin, kOver };

struct RouterOptions {
  Duration permit_lease = std::chrono::seconds(1);
  // Longer than the lease, so that a holder without a lease has stopped.
  Duration permit_takeover_delay = std::chrono::milliseconds(1500);
  // How long slots of a vanished host need a report that shows room; covers
  // requests that outlive their host.
  Duration room_check_limit = std::chrono::seconds(10);
  // A borrow expires at the peer after this time. A grant is accepted up to
  // grant_validity after the borrow was sent, which is below the takeover
  // delay: a lender reclaims no permit that a late grant could still use.
  Duration borrow_timeout = std::chrono::seconds(1);
  Duration grant_validity = std::chrono::milliseconds(1400);
  // A lent permit that is still out after this time is asked for again, since
  // the grant or the return may have been lost.
  Duration lent_query_interval = std::chrono::seconds(2);
  std::uint32_t queue_limit = 1024;
  // Part of the queue limit that requests above their agreement may fill.
  double over_agreement_share = 0.5;
  std::uint32_t cold_limit = 1;
  // Normal responses per usable slot that end a slow-start step, and the least
  // time a step lasts.
  std::uint32_t responses_per_step = 4;
  Duration minimum_step_time = std::chrono::milliseconds(200);
  // Peers asked per waiting request.
  std::uint32_t borrow_fanout = 2;
  // A lender with a queue lends only when the borrower's request is older than
  // its own first by at least this. A lent slot idles for a round trip between
  // hosts, so exchanging permits between equally loaded hosts loses capacity.
  Duration lend_margin = std::chrono::milliseconds(3);
  // Greater than every borrow id of an earlier incarnation of this host, for
  // example the start time in milliseconds.
  std::uint64_t first_borrow_generation = 1;
};

// The right to run one request on one slot of a backend server.
struct Permit {
  ServerIndex server = kNoIndex;
  std::uint32_t slot = 0;
  HostIndex lender = kNoIndex;  // kNoIndex: a permit of this host
  std::uint64_t borrow_id = 0;  // of a lent permit

  bool is_lent() const { return lender != kNoIndex; }
  friend bool operator==(const Permit&, const Permit&) = default;
};

struct RouterRequest {
  std::uint64_t id = 0;  // unique among waiting requests
  PartyIndex party = 0;
  AgreementClass agreement = AgreementClass::kWithin;
  // A crash suspect uses only the first slot of a backend server, so that no
  // other suspect of any host runs there.
  bool is_suspect = false;
  TimePoint arrival;
  TimePoint deadline;
  ServerIndex excluded = kNoIndex;  // of a failed earlier attempt
};

enum class RefusalReason : std::uint8_t {
  kNoServer,
  kOverCapacity,
  kDeadlineTooShort,
};

struct AcquireResult {
  enum class Kind : std::uint8_t { kGranted, kQueued, kRefused };
  Kind kind = Kind::kRefused;
  Permit permit;                                    // when granted
  RefusalReason reason = RefusalReason::kNoServer;  // when refused
  Duration retry_after{};                           // when refused; 0: no hint
};

// What one attempt at a backend server showed.
struct RouterObservation {
  enum class Result : std::uint8_t {
    kAnswered,
    kShedNotRun,
    kConnectFailed,
    kConnectionLost,
    kInvalidResponse,
    kCancelled,
    kNotSent,
  };
  Result result = Result::kNotSent;
  Duration latency{};         // from first byte sent to response head
  std::string_view start_id;  // may be empty
  std::optional<std::uint32_t> in_work;  // without the answered request
};

// Shared state of a backend server, merged by every host: the greatest sequence
// wins, and among equal sequences the lower step.
struct ServerState {
  std::string start_id;
  std::uint32_t step = 0;
  std::uint32_t adaptive_limit = kMaximumSlots;
  bool is_down = false;
  bool is_draining = false;
  std::uint64_t sequence = 0;
};

// What the process must do after a call. Fields that a kind does not name are
// unset.
struct RouterAction {
  enum class Kind : std::uint8_t {
    kGrant,         // request may run with permit
    kRefuse,        // request leaves the queue: reason, retry_after
    kSendBorrow,    // to host: borrow_id, age, agreement, is_suspect
    kCancelBorrow,  // to host: borrow_id
    kLend,          // answer to host's borrow: borrow_id, permit, free_hint
    kRefuseBorrow,  // answer to host's borrow: borrow_id
    kReturnPermit,  // to host: permit (with borrow_id)
    kOrphanPermit,  // as kReturnPermit, but an earlier incarnation of this
                    // host held it and its work may still be running
    kQueryLent,     // to host: is permit (with borrow_id) still in use
    kSlotBusy,      // to host: the slot it gained (permit) still has work
    kSlotFree,      // to host: that work has ended
    kServerState,   // server's state; to host, or to all when kNoIndex
  };
  Kind kind = Kind::kGrant;
  HostIndex host = kNoIndex;
  ServerIndex server = kNoIndex;
  std::uint64_t request = 0;
  std::uint64_t borrow_id = 0;
  Permit permit;
  RefusalReason reason = RefusalReason::kNoServer;
  Duration retry_after{};
  Duration age{};  // time since the request's arrival
  AgreementClass agreement = AgreementClass::kWithin;
  bool is_suspect = false;
  std::uint32_t free_hint = 0;  // free permits left at the lender
};

// Appended to by the router; callers reuse the vector.
using RouterActions = std::vector<RouterAction>;

struct RouterServer {
  ServerId id;
  ZoneId zone;
  std::uint32_t slots = 6;
  // Slots left after the availability zone limit; see ZoneLimits.
  std::uint32_t zone_slots = kMaximumSlots;
  bool is_out = false;  // the server or its availability zone gets no new work
};

enum class LeaseRule : std::uint8_t {
  kRequired,
  kLoneHost,  // the platform's host list names no other host
};

enum class StartRule : std::uint8_t {
  kNewHost,
  // An earlier incarnation of this host was in the fleet a moment ago, so its
  // work may still be running: own slots start with the room check.
  kRestartedHost,
};

struct RouterFleet {
  std::vector<HostId> hosts;  // alive, including self
  HostId self;
  std::vector<RouterServer> servers;
  LeaseRule lease_rule = LeaseRule::kRequired;
  StartRule start_rule = StartRule::kNewHost;  // read at the first call only
};

}  // namespace dogwood
