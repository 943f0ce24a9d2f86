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

// Keeps the snapshots of closed months; implemented over the object store.
class SnapshotStore {
 public:
  virtual ~SnapshotStore() = default;
  virtual boost::asio::awaitable<Result<void>> Put(std::string name,
                                                   std::string text) = 0;
  virtual boost::asio::awaitable<Result<std::string>> Read(
      std::string name) = 0;
};

struct UsageServiceOptions {
  Duration write_interval = std::chrono::seconds(2);
  // Reservations are checked, and written early when low, this often.
  Duration tick = std::chrono::milliseconds(250);
  Duration store_timeout = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::milliseconds(500);
  // About 50 bytes each. One message goes to each of two peers per interval,
  // and as many as needed while the store is down.
  std::size_t keys_per_message = 24;
  // How long an incarnation must be missing before its copy is written.
  Duration adopt_delay = std::chrono::seconds(5);
  // A copy that adds nothing to the store's row is kept this long, because the
  // row may have been read from the past.
  Duration forget_delay = std::chrono::seconds(30);
  std::size_t adoptions_per_interval = 8;
  // A month opens this long before it begins and closes this long after it
  // ends; the latter exceeds every request deadline.
  Duration open_ahead = std::chrono::minutes(10);
  Duration close_after = std::chrono::hours(1);
};

// Writes this host's usage, keeps copies for peers, adopts vanished
// incarnations and builds reports. Lives on the control thread; its executor
// must stop running before it is destroyed.
class UsageService {
 public:
  UsageService(boost::asio::any_io_executor executor, ControlClock& clock,
               TableStore& store, PeerChannel& peers, EventLog& events,
               UsageLedger& ledger, HostId host, Incarnation incarnation,
               UsageServiceOptions options);

  // Registers the message handler and starts the background work.
  void Start();
  // Writes the current month's first row. Until it has returned success, no
  // request may be admitted.
  boost::asio::awaitable<Result<void>> Open(TimePoint deadline);
  // Planned stop, after the last request: writes exact totals and the copies it
  // holds of vanished hosts, or gives both to other members while the store is
  // down.
  boost::asio::awaitable<Result<void>> Flush(TimePoint deadline);

  // Asks all hosts to write, then reads the store's rows.
  boost::asio::awaitable<Result<UsageReport>> Report(
      Month month, UsageReport::Agreements agreements);
  // Stores the snapshot of a month and its digest in usage-closed/MONTH. The
  // first close wins; a repeated one returns the stored snapshot.
  boost::asio::awaitable<Result<UsageReport>> CloseMonth(
      Month month, UsageReport::Agreements agreements,
      SnapshotStore& snapshots);
  // Reads a closed month's snapshot and checks its digest.
  boost::asio::awaitable<Result<UsageReport>> Verify(Month month,
                                                     SnapshotStore& snapshots);
  // Lines that changed after the close.
  boost::asio::awaitable<Result<std::vector<UsageLine>>> Corrections(
      Month month, UsageReport::Agreements agreements,
      SnapshotStore& snapshots);

 private:
  // What one peer is known to hold of a month.
  struct PeerState {
    std::map<UsageKey, UsageAmount> held;
    UsageKey cursor;  // the last key sent
    UsageRowState state = UsageRowState::kRunning;
  };
  enum class Amount { kOneMessage, kEverything };
  // Whether the row sent to a peer is also in the store.
  enum class Origin { kStored, kExtension };

  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<void> OpenAndCloseMonths();
  boost::asio::awaitable<bool> WriteMonth(Month month);
  boost::asio::awaitable<void> Extend(Month month);
  boost::asio::awaitable<bool> Send(HostIncarnation peer, UsageRow row,
                                    Amount amount, Origin origin,
                                    std::set<HostIncarnation> stands_for);
  boost::asio::awaitable<void> Adopt(Duration delay);
  boost::asio::awaitable<bool> AdoptOne(std::string key);
  // Gives a row to two other members, whichever accept it.
  boost::asio::awaitable<bool> HandToMembers(
      UsageRow row, std::set<HostIncarnation> stands_for);
  void NoteMembers(const std::vector<Member>& members);
  boost::asio::awaitable<bool> WriteAll();
  boost::asio::awaitable<Result<nlohmann::json>> HandleTotals(
      nlohmann::json body);
  boost::asio::awaitable<Result<std::vector<TableRow>>> ReadRows(
      Month month, LiveIncarnations confirmed);
  boost::asio::awaitable<LiveIncarnations> AskAllToWrite();
  std::vector<HostIncarnation> ChoosePeers() const;

  boost::asio::any_io_executor executor_;
  ControlClock& clock_;
  TableStore& store_;
  PeerChannel& peers_;
  EventLog& events_;
  UsageLedger& ledger_;
  HostIncarnation own_;
  UsageServiceOptions options_;
  UsageCopies copies_;
  std::map<std::pair<HostIncarnation, Month>, PeerState> sent_;
  std::map<std::string, TimePoint> vanished_since_;
  LiveIncarnations seen_;  // members of the newest view
  // Rows this host may have written for a vanished incarnation. If it comes
  // back, its extensions are refused until it has written its row itself:
  // readers take an adopted row's reservations as final.
  std::set<std::string> adopted_;
  TimePoint next_write_{};
  bool is_writing_ = false;
  bool is_store_failing_ = false;
  bool is_stopping_ = false;
};

}  // namespace dogwood
