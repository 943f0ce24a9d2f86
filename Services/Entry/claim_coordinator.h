#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Libraries/Idempotency/idempotency.h"
#include "Libraries/Observe/observe.h"
#include "Libraries/Platform/table_store.h"
#include "Services/Entry/control_clock.h"
#include "Services/Entry/peer_channel.h"

namespace dogwood {

// Result of a request's claim on its idempotency key.
struct ClaimResult {
  enum class Kind {
    kGranted,         // forward the request, then call Finish
    kNotRun,          // the request must not be forwarded
    kOutcomeUnknown,  // an earlier request with this key may have run
    kCompleted,       // an earlier request with this key ended with `status`
  };
  Kind kind = Kind::kNotRun;
  std::uint16_t status = 0;
  std::string_view reason;  // for kNotRun
  Duration retry_after{};   // for kNotRun
};

struct ClaimCoordinatorOptions {
  ClaimOptions claims;
  Duration poll_interval = std::chrono::milliseconds(50);
  Duration store_timeout = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::seconds(1);
  Duration shard_check_interval = std::chrono::milliseconds(250);
  // How long the membership view must be stable before shards are taken over,
  // and how long a host waits before it takes over a shard that it lost. Both
  // only reduce needless takeovers while the views of hosts differ.
  Duration takeover_delay = std::chrono::milliseconds(500);
  Duration lost_shard_retake_delay = std::chrono::seconds(5);
  // After this time an outcome report is abandoned and the key stays claimed.
  Duration report_timeout = std::chrono::seconds(60);
  std::size_t max_background_reports = 4096;
};

// Claims idempotency keys for this host's requests at the hosts that hold the
// key shards, and serves claims for the shards that this host holds. Used on
// the control thread only. Coroutines on the executor refer to the coordinator,
// so the executor must have stopped before the coordinator is destroyed.
class ClaimCoordinator {
 public:
  ClaimCoordinator(boost::asio::any_io_executor executor, ControlClock& clock,
                   TableStore& store, PeerChannel& peers, EventLog& events,
                   HostId host, Incarnation incarnation,
                   ClaimCoordinatorOptions options);

  // Registers the message handlers and starts the background tasks.
  void Start();

  // Returns at the deadline at the latest. A grant that arrives later is
  // released without being used.
  boost::asio::awaitable<ClaimResult> Claim(std::string key, RequestId request,
                                            TimePoint deadline);
  // Reports the outcome of a granted request: kCompleted with the HTTP status,
  // kReleased if the request was not forwarded, kUnknown otherwise. Returns
  // when the holder has stored the outcome.
  boost::asio::awaitable<Result<void>> Finish(std::string key,
                                              RequestId request,
                                              ClaimState outcome,
                                              std::uint16_t status);
  // Commits pending claims and releases this host's shards for a graceful stop.
  // From now on this host refuses claims on its shards.
  boost::asio::awaitable<void> HandOver(TimePoint deadline);

  const ClaimShardHolder& holder() const { return holder_; }

 private:
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor& executor)
        : signal(executor, boost::asio::steady_timer::time_point::max()) {}
    boost::asio::steady_timer signal;  // cancelled when `answer` is set
    std::optional<ClaimAnswer> answer;
    TimePoint deadline;
  };
  struct HolderReply {
    ClaimAnswer answer;
    HostId holder;  // for kNotHolder; empty if unknown
  };

  boost::asio::awaitable<void> CommitLoop();
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> CheckShardOwnership();
  boost::asio::awaitable<void> TakeOverShards(
      std::map<ClaimShardId, TableRow> rows);
  boost::asio::awaitable<bool> LoadClaimRows(ClaimTakeover& takeover);

  boost::asio::awaitable<Result<nlohmann::json>> HandleClaim(
      nlohmann::json body);
  boost::asio::awaitable<Result<nlohmann::json>> HandleClaimResult(
      nlohmann::json body);
  // Fails with kUnavailable if the target cannot have received the claim.
  boost::asio::awaitable<Result<HolderReply>> RequestClaim(
      HostId target, IdempotencyKeyHash key, ClaimantId claimant,
      TimePoint deadline);
  boost::asio::awaitable<Result<HolderReply>> RequestFinish(HostId target,
                                                            ClaimRecord record,
                                                            TimePoint deadline);
  boost::asio::awaitable<ClaimAnswer> ClaimAsHolder(IdempotencyKeyHash key,
                                                    ClaimantId claimant,
                                                    TimePoint deadline);
  boost::asio::awaitable<ClaimAnswer> FinishAsHolder(ClaimRecord record,
                                                     TimePoint deadline);
  boost::asio::awaitable<ClaimAnswer> WaitForAnswer(
      ClaimShardHolder::Ticket ticket, TimePoint deadline);
  boost::asio::awaitable<Result<void>> ReportOutcome(ClaimRecord record,
                                                     TimePoint deadline);
  void StartBackgroundReport(const ClaimRecord& record);
  boost::asio::awaitable<void> RunBackgroundReport(ClaimRecord record);

  std::vector<HostId> LiveHosts() const;
  // The shard's holder as far as this host knows.
  HostId LikelyHolder(ClaimShardId shard) const;
  // Updates the shard's known holder after a failed or redirected request and
  // waits before the next attempt.
  boost::asio::awaitable<void> FindHolderAndBackOff(
      ClaimShardId shard, HostId asked_host, const Result<HolderReply>& reply,
      int attempt, TimePoint deadline);
  // Adds the known holder to a kNotHolder answer.
  HolderReply MakeReply(ClaimShardId shard, ClaimAnswer answer) const;
  void DeliverAnswers(const std::vector<ClaimShardHolder::Answered>& answers);
  void WakeCommitLoop() { commit_signal_.cancel(); }

  boost::asio::any_io_executor executor_;
  ControlClock& clock_;
  TableStore& store_;
  PeerChannel& peers_;
  EventLog& events_;
  ClaimCoordinatorOptions options_;
  ClaimShardHolder holder_;
  std::uint64_t claim_counter_ = 0;
  ClaimShardHolder::Ticket next_ticket_ = 1;
  std::map<ClaimShardHolder::Ticket, Waiter> waiters_;
  boost::asio::steady_timer commit_signal_;
  std::map<ClaimShardId, HostId> known_holders_;
  std::map<ClaimShardId, TimePoint> earliest_takeover_;
  TimePoint membership_changed_at_{};
  TimePoint next_shard_check_{};
  bool is_checking_shards_ = false;
  bool is_stopping_ = false;
  std::size_t background_reports_ = 0;
  std::unordered_map<RequestId, ClaimantId> granted_claims_;
};

// Calls the coordinator from any thread. Each call resumes on the caller's
// executor.
class ClaimCoordinatorClient {
 public:
  ClaimCoordinatorClient(ClaimCoordinator& coordinator,
                         boost::asio::any_io_executor control)
      : coordinator_(coordinator), control_executor_(std::move(control)) {}

  boost::asio::awaitable<ClaimResult> Claim(std::string key, RequestId request,
                                            TimePoint deadline);
  boost::asio::awaitable<Result<void>> Finish(std::string key,
                                              RequestId request,
                                              ClaimState outcome,
                                              std::uint16_t status);

 private:
  ClaimCoordinator& coordinator_;
  boost::asio::any_io_executor control_executor_;
};

}  // namespace dogwood
