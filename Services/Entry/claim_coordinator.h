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

// What a request with an idempotency key may do.
struct ClaimReply {
  enum class Kind {
    kGranted,         // hand it over, then call Finish
    kNotRun,          // this request is never handed over
    kOutcomeUnknown,  // an earlier request of this key may have run
    kCompleted,       // an earlier request of this key got `status`
  };
  Kind kind = Kind::kNotRun;
  std::uint16_t status = 0;
  std::string_view reason;  // for kNotRun
  Duration retry_after{};   // for kNotRun
};

struct ClaimCoordinatorOptions {
  ClaimOptions claims;
  Duration tick = std::chrono::milliseconds(50);
  Duration store_timeout = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::seconds(1);
  Duration lease_check_interval = std::chrono::milliseconds(250);
  // How long the view must be unchanged before shards are taken over, and how
  // long a host waits after it lost a shard. Both only limit needless takeovers
  // while views differ.
  Duration takeover_delay = std::chrono::milliseconds(500);
  Duration retake_delay = std::chrono::seconds(5);
  // How long an outcome is reported before the key is left as it is.
  Duration report_time = std::chrono::seconds(60);
  std::size_t max_background_reports = 4096;
};

// At-most-once claims of this host: as requester towards the holders, and as
// holder of its shards. Lives on the control thread; the executor's coroutines
// refer to it, so it must stop running before the coordinator is destroyed.
class ClaimCoordinator {
 public:
  ClaimCoordinator(boost::asio::any_io_executor executor, ControlClock& clock,
                   TableStore& store, PeerChannel& peers, EventLog& events,
                   HostId host, Incarnation incarnation,
                   ClaimCoordinatorOptions options);

  // Registers the message handlers and starts the background work.
  void Start();

  // Returns at the deadline at the latest. A grant that comes later is released
  // and never used.
  boost::asio::awaitable<ClaimReply> Claim(std::string key, RequestId request,
                                           TimePoint deadline);
  // Reports the end of a granted request: kCompleted with the HTTP status,
  // kReleased when it was not handed over, kUnknown otherwise. Returns when the
  // holder has made it durable.
  boost::asio::awaitable<Result<void>> Finish(std::string key,
                                              RequestId request,
                                              ClaimState outcome,
                                              std::uint16_t status);
  // Planned stop: commits what waits, then frees this host's shards. Claims are
  // refused by this holder from now on.
  boost::asio::awaitable<void> HandOver(TimePoint deadline);

  const ClaimHolder& holder() const { return holder_; }

 private:
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor& executor)
        : signal(executor, boost::asio::steady_timer::time_point::max()) {}
    boost::asio::steady_timer signal;  // cancelled when `answer` is set
    std::optional<ClaimAnswer> answer;
    TimePoint deadline;
  };
  struct Reply {
    ClaimAnswer answer;
    HostId holder;  // for kNotHolder, empty if not known
  };

  boost::asio::awaitable<void> CommitLoop();
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> CheckLeases();
  boost::asio::awaitable<void> TakeOver(std::map<ClaimShardId, TableRow> rows);
  boost::asio::awaitable<bool> LoadRows(ClaimTakeover& takeover);

  boost::asio::awaitable<Result<nlohmann::json>> HandleClaim(
      nlohmann::json body);
  boost::asio::awaitable<Result<nlohmann::json>> HandleResult(
      nlohmann::json body);
  // Fails with kUnavailable when the target cannot have seen it.
  boost::asio::awaitable<Result<Reply>> AskClaim(HostId target,
                                                 ClaimKeyHash key,
                                                 ClaimantId claimant,
                                                 TimePoint deadline);
  boost::asio::awaitable<Result<Reply>> AskFinish(HostId target,
                                                  ClaimRecord record,
                                                  TimePoint deadline);
  boost::asio::awaitable<ClaimAnswer> LocalClaim(ClaimKeyHash key,
                                                 ClaimantId claimant,
                                                 TimePoint deadline);
  boost::asio::awaitable<ClaimAnswer> LocalFinish(ClaimRecord record,
                                                  TimePoint deadline);
  boost::asio::awaitable<ClaimAnswer> Wait(ClaimHolder::Ticket ticket,
                                           TimePoint deadline);
  boost::asio::awaitable<Result<void>> Report(ClaimRecord record,
                                              TimePoint until);
  void ReportInBackground(const ClaimRecord& record);
  boost::asio::awaitable<void> BackgroundReport(ClaimRecord record);

  std::vector<HostId> LiveHosts() const;
  HostId TargetOf(ClaimShardId shard) const;
  // Learns the next host to ask after a reply without an answer.
  boost::asio::awaitable<void> FindHolder(ClaimShardId shard, HostId asked,
                                          const Result<Reply>& reply,
                                          int attempt, TimePoint deadline);
  Reply WithKnownHolder(ClaimShardId shard, ClaimAnswer answer) const;
  void Deliver(const std::vector<ClaimHolder::Answered>& answers);
  void WakeCommitLoop() { commit_signal_.cancel(); }

  boost::asio::any_io_executor executor_;
  ControlClock& clock_;
  TableStore& store_;
  PeerChannel& peers_;
  EventLog& events_;
  ClaimCoordinatorOptions options_;
  ClaimHolder holder_;
  std::uint64_t claim_counter_ = 0;
  ClaimHolder::Ticket next_ticket_ = 1;
  std::map<ClaimHolder::Ticket, Waiter> waiters_;
  boost::asio::steady_timer commit_signal_;
  std::map<ClaimShardId, HostId> known_holders_;
  std::map<ClaimShardId, TimePoint> not_before_;  // of the next takeover
  TimePoint view_changed_{};
  TimePoint next_lease_check_{};
  bool is_taking_over_ = false;
  bool is_stopping_ = false;
  std::size_t background_reports_ = 0;
  std::unordered_map<RequestId, ClaimantId> granted_;
};

// Calls the coordinator from any thread; results return to the caller's
// executor.
class ClaimClient {
 public:
  ClaimClient(ClaimCoordinator& coordinator,
              boost::asio::any_io_executor control)
      : coordinator_(coordinator), control_(std::move(control)) {}

  boost::asio::awaitable<ClaimReply> Claim(std::string key, RequestId request,
                                           TimePoint deadline);
  boost::asio::awaitable<Result<void>> Finish(std::string key,
                                              RequestId request,
                                              ClaimState outcome,
                                              std::uint16_t status);

 private:
  ClaimCoordinator& coordinator_;
  boost::asio::any_io_executor control_;
};

}  // namespace dogwood
