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

// Dense indexes of hosts, backend servers and client accounts within one
// ServiceRouter. They stay valid for the lifetime of the router.
using HostIndex = std::uint32_t;
using ServerIndex = std::uint32_t;
using ClientAccountIndex = std::uint32_t;
inline constexpr std::uint32_t kInvalidIndex =
    std::numeric_limits<std::uint32_t>::max();

// Limit on the slots of a backend server, which are kept in 64-bit masks.
inline constexpr std::uint32_t kMaximumSlots = 64;

enum class AgreementCompliance : std::uint8_t { kWithin, kOver };

struct RouterOptions {
  Duration permit_lease = std::chrono::seconds(1);
  // Longer than the lease, so that a host whose lease expired has stopped using
  // the permit.
  Duration permit_takeover_delay = std::chrono::milliseconds(1500);
  // Slots of a removed host stay blocked until a response reports free
  // capacity, at most for this time. Covers requests that outlive their host.
  Duration orphan_check_timeout = std::chrono::seconds(10);
  // A queued borrow request expires at the lender after borrow_timeout. The
  // borrower accepts a grant up to grant_validity after sending the request.
  // This is below the takeover delay, so a lender never reclaims a permit that
  // a late grant could still use.
  Duration borrow_timeout = std::chrono::seconds(1);
  Duration grant_validity = std::chrono::milliseconds(1400);
  // Interval of queries about a lent permit that is not returned, since the
  // grant or the return may have been lost.
  Duration lent_query_interval = std::chrono::seconds(2);
  std::uint32_t queue_limit = 1024;
  // Fraction of queue_limit available to requests over their agreement.
  double over_agreement_queue_share = 0.5;
  std::uint32_t cold_limit = 1;
  // A slow-start step ends after this many normal responses per usable slot and
  // lasts at least minimum_slow_start_step_time.
  std::uint32_t responses_per_slow_start_step = 4;
  Duration minimum_slow_start_step_time = std::chrono::milliseconds(200);
  // Peers asked in parallel for each queued request.
  std::uint32_t borrow_fanout = 2;
  // A lender with queued requests lends only to a request that is older than
  // its own first one by at least this margin. A lent slot idles for a round
  // trip between hosts, so exchanging permits between equally loaded hosts
  // loses capacity.
  Duration lend_margin = std::chrono::milliseconds(3);
  // Greater than the generation of every borrow id of an earlier incarnation of
  // this host, for example the start time in milliseconds.
  std::uint64_t first_borrow_generation = 1;
};

// Permission to run one request on one slot of a backend server.
struct Permit {
  ServerIndex server = kInvalidIndex;
  std::uint32_t slot = 0;
  HostIndex lender = kInvalidIndex;  // kInvalidIndex: owned by this host
  std::uint64_t borrow_id = 0;       // set for a lent permit

  bool is_lent() const { return lender != kInvalidIndex; }
  friend bool operator==(const Permit&, const Permit&) = default;
};

struct RouterRequest {
  std::uint64_t id = 0;  // unique among queued requests
  ClientAccountIndex client_account = 0;
  AgreementCompliance agreement = AgreementCompliance::kWithin;
  // Crash suspects use only slot 0 of a backend server, so at most one suspect
  // of all hosts runs on it.
  bool is_suspect = false;
  TimePoint arrival;
  TimePoint deadline;
  ServerIndex excluded = kInvalidIndex;  // server of a failed attempt
};

enum class RefusalReason : std::uint8_t {
  kNoServer,
  kOverCapacity,
  kDeadlineTooShort,
};

struct PermitAcquisition {
  enum class Kind : std::uint8_t { kGranted, kQueued, kRefused };
  Kind kind = Kind::kRefused;
  Permit permit;                                    // if granted
  RefusalReason reason = RefusalReason::kNoServer;  // if refused
  Duration retry_after{};                           // if refused; 0: unknown
};

// Outcome of one attempt at a backend server.
struct AttemptObservation {
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
  std::optional<std::uint32_t> in_work;  // excludes the answered request
};

// State of a backend server that hosts exchange. The greatest sequence wins;
// among equal sequences the lower step wins.
struct SharedServerState {
  std::string start_id;
  std::uint32_t step = 0;
  std::uint32_t adaptive_limit = kMaximumSlots;
  bool is_down = false;
  bool is_draining = false;
  std::uint64_t sequence = 0;
};

// Action that the caller of the router must carry out. Each kind uses the
// fields named beside it; the others are unset.
struct RouterAction {
  enum class Kind : std::uint8_t {
    kGrant,         // run request with permit
    kRefuse,        // reject queued request: reason, retry_after
    kSendBorrow,    // to host: borrow_id, age, agreement, is_suspect
    kCancelBorrow,  // to host: borrow_id
    kLend,          // answer to host's borrow: borrow_id, permit, free_hint
    kRefuseBorrow,  // answer to host's borrow: borrow_id
    kReturnPermit,  // to host: permit (with borrow_id)
    kOrphanPermit,  // like kReturnPermit, for a permit of an earlier
                    // incarnation of this host, whose request may still run
    kQueryLent,     // asks host if permit (with borrow_id) is in use
    kSlotBusy,      // to host: the slot it gained still has a request
    kSlotFree,      // to host: that request has ended
    kServerState,   // server state to host, or to all if kInvalidIndex
  };
  Kind kind = Kind::kGrant;
  HostIndex host = kInvalidIndex;
  ServerIndex server = kInvalidIndex;
  std::uint64_t request = 0;
  std::uint64_t borrow_id = 0;
  Permit permit;
  RefusalReason reason = RefusalReason::kNoServer;
  Duration retry_after{};
  Duration age{};  // since the request's arrival
  AgreementCompliance agreement = AgreementCompliance::kWithin;
  bool is_suspect = false;
  std::uint32_t free_hint = 0;  // free permits that the lender has left
};

// The router appends to it. Callers may reuse the vector.
using RouterActions = std::vector<RouterAction>;

struct RouterServer {
  ServerId id;
  ZoneId zone;
  std::uint32_t slots = 6;
  // Slots within the limit of the availability zone; see ZoneSlotLimits.
  std::uint32_t zone_slots = kMaximumSlots;
  // Set by the operational state of the server or its availability zone.
  bool is_out_of_rotation = false;
};

enum class PermitLeaseRule : std::uint8_t {
  kRequired,
  kSingleHost,  // the platform lists no other host
};

enum class HostStartKind : std::uint8_t {
  kNewHost,
  // An earlier incarnation of this host was in the fleet recently, so its
  // requests may still run: owned slots start as orphaned.
  kRestartedHost,
};

struct RouterConfiguration {
  std::vector<HostId> hosts;  // live hosts, including self
  HostId self;
  std::vector<RouterServer> servers;
  PermitLeaseRule lease_rule = PermitLeaseRule::kRequired;
  HostStartKind start_rule =
      HostStartKind::kNewHost;  // used by the first call only
};

}  // namespace dogwood
