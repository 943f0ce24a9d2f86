#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "Libraries/Observe/observe.h"
#include "Libraries/Platform/platform.h"
#include "Libraries/Usage/usage.h"
#include "Services/Entry/control_clock.h"
#include "Services/Entry/peer_channel.h"

namespace dogwood {

// Stores the usage report snapshots of closed months.
class UsageSnapshotStore {
 public:
  virtual ~UsageSnapshotStore() = default;
  virtual boost::asio::awaitable<Result<void>> Put(std::string name,
                                                   std::string text) = 0;
  virtual boost::asio::awaitable<Result<std::string>> Read(
      std::string name) = 0;
};

struct UsageServiceOptions {
  Duration write_interval = std::chrono::seconds(2);
  // How often reservations are checked. Low reservations are renewed before the
  // write interval has passed.
  Duration poll_interval = std::chrono::milliseconds(250);
  Duration store_timeout = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::milliseconds(500);
  // Each key takes about 50 bytes of a message. Each of the two replica
  // holders receives one message per write interval, and as many as needed
  // while the store is unavailable.
  std::size_t max_keys_per_message = 24;
  // How long an incarnation must be missing before its row is adopted.
  Duration adopt_delay = std::chrono::seconds(5);
  // How long a replica of a vanished incarnation is kept at least, even if it
  // adds nothing to the stored row, because a read may return an outdated row.
  Duration redundant_replica_retention = std::chrono::seconds(30);
  std::size_t max_adoptions_per_write_interval = 8;
  // A month's rows open this long before it begins and close this long after it
  // ends. The close delay must exceed every request deadline.
  Duration month_open_lead = std::chrono::minutes(10);
  Duration month_close_delay = std::chrono::hours(1);
};

// Writes this host's usage rows to the store, keeps replicas of peers' rows,
// writes the rows of vanished host incarnations (adoption), and builds reports.
// Used on the control thread only. The executor must have stopped before the
// service is destroyed.
class UsageService {
 public:
  UsageService(boost::asio::any_io_executor executor, ControlClock& clock,
               TableStore& store, PeerChannel& peers, EventLog& events,
               UsageLedger& ledger, HostId host, Incarnation incarnation,
               UsageServiceOptions options);

  // Registers the message handler and starts the background tasks.
  void Start();
  // Writes the current month's first row. Requests may be admitted only after
  // this has succeeded.
  boost::asio::awaitable<Result<void>> Open(TimePoint deadline);
  // Writes the exact totals and the replicas of vanished hosts' rows for a
  // graceful stop, or transfers all rows to other members if the store is
  // unavailable. Must be called after the last request has ended.
  boost::asio::awaitable<Result<void>> Flush(TimePoint deadline);

  // Makes all hosts write their usage, then builds a report of the stored rows.
  boost::asio::awaitable<Result<UsageReport>> Report(
      Month month, UsageReport::Agreements agreements);
  // Stores the snapshot of a month, and its digest in the row
  // usage-closed/MONTH. If the month is already closed, returns the stored
  // snapshot.
  boost::asio::awaitable<Result<UsageReport>> CloseMonth(
      Month month, UsageReport::Agreements agreements,
      UsageSnapshotStore& snapshots);
  // Reads a closed month's snapshot and verifies its digest.
  boost::asio::awaitable<Result<UsageReport>> Verify(
      Month month, UsageSnapshotStore& snapshots);
  // Returns the lines that changed after the month was closed.
  boost::asio::awaitable<Result<std::vector<UsageReportLine>>> Corrections(
      Month month, UsageReport::Agreements agreements,
      UsageSnapshotStore& snapshots);

 private:
  // The part of a month's totals that one peer has acknowledged.
  struct PeerReplicaState {
    std::map<UsageKey, UsageAmount> acknowledged;
    UsageKey last_sent_key;
    UsageRowState state = UsageRowState::kRunning;
  };
  enum class SendExtent { kOneMessage, kAllMessages };
  // Whether the row sent to a peer is also in the store.
  enum class RowStorage { kStored, kNotStored };

  boost::asio::awaitable<void> RunPeriodicTasks();
  boost::asio::awaitable<void> OpenAndCloseMonths();
  boost::asio::awaitable<bool> WriteMonth(Month month);
  boost::asio::awaitable<void> ExtendReservations(Month month);
  boost::asio::awaitable<bool> SendTotals(
      HostIncarnation peer, UsageRow row, SendExtent extent, RowStorage storage,
      std::set<HostIncarnation> replaced_hosts);
  boost::asio::awaitable<void> AdoptVanishedRows(Duration delay);
  boost::asio::awaitable<bool> AdoptRow(std::string key);
  // Sends a row to members until two have accepted it. Returns whether at least
  // one accepted it.
  boost::asio::awaitable<bool> TransferToMembers(
      UsageRow row, std::set<HostIncarnation> replaced_hosts);
  void UpdateMembers(const std::vector<Member>& members);
  boost::asio::awaitable<bool> WriteOpenMonths();
  boost::asio::awaitable<Result<nlohmann::json>> HandleTotals(
      nlohmann::json body);
  boost::asio::awaitable<Result<std::vector<TableRow>>> ReadRows(
      Month month, HostIncarnationSet written_hosts);
  boost::asio::awaitable<HostIncarnationSet> RequestWritesFromAllHosts();
  std::vector<HostIncarnation> ChooseReplicaHolders() const;

  boost::asio::any_io_executor executor_;
  ControlClock& clock_;
  TableStore& store_;
  PeerChannel& peers_;
  EventLog& events_;
  UsageLedger& ledger_;
  HostIncarnation own_incarnation_;
  UsageServiceOptions options_;
  UsageReplicas peer_replicas_;
  std::map<std::pair<HostIncarnation, Month>, PeerReplicaState> sent_totals_;
  std::map<std::string, TimePoint> vanished_since_;
  HostIncarnationSet member_incarnations_;  // without this host
  // Keys of rows that this host may have written for a vanished incarnation.
  // Reports treat the reservations of an adopted row as final, so extensions
  // from an incarnation that reappears are refused until it has written its row
  // itself.
  std::set<std::string> adopted_rows_;
  TimePoint next_write_time_{};
  bool is_writing_ = false;
  bool is_store_failing_ = false;
  bool is_stopping_ = false;
};

}  // namespace dogwood
