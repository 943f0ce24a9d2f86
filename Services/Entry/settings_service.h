#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Observe/event_log.h"
#include "Libraries/Platform/table_store.h"
#include "Libraries/Settings/settings.h"
#include "Services/Entry/peer_channel.h"

namespace dogwood {

// The change was appended to the change log.
struct ChangeAccepted {
  SettingsVersion version;
};
// The store is unavailable. The emergency order is in force until it is written
// to the change log or superseded.
struct ChangeProvisional {
  EmergencyOrder order;
};
using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeProvisional, ChangeConflict>;

// Known state of an operation.
struct OperationState {
  enum class Kind { kUnknown, kAccepted, kProvisional, kSuperseded };
  Kind kind = Kind::kUnknown;
  SettingsVersion version;  // of the change, or of the one that superseded it
  // Hosts not known to have applied the change.
  std::vector<HostId> lacking_hosts;
};

// Replicates the fleet's settings change log to this host, accepts changes and
// emergency orders, and publishes the resulting fleet configurations. Used on
// the control thread; must outlive the executor's last handler.
class SettingsService {
 public:
  // Receives each new configuration on the control thread. Relay workers may
  // keep using the previous one, hence the shared pointer.
  using Publisher =
      std::function<void(std::shared_ptr<const FleetConfiguration>)>;

  struct Options {
    HostId host;
    Duration store_timeout = std::chrono::seconds(2);
    // Store timeout of a change that can become an emergency order.
    Duration emergency_store_timeout = std::chrono::milliseconds(500);
    Duration peer_timeout = std::chrono::milliseconds(500);
    // Mean time between polls of the store by the whole fleet.
    Duration poll_interval = std::chrono::milliseconds(500);
    Duration retry_delay = std::chrono::milliseconds(20);
  };

  // `event_log` may be null.
  SettingsService(boost::asio::any_io_executor executor, Options options,
                  TableStore& store, PeerChannel& peers, EventLog* event_log,
                  Publisher publisher);

  // Loads the highest version among the store and two peers. Fails with
  // kUnavailable when none can be reached; the host must then accept no
  // requests.
  boost::asio::awaitable<Result<void>> Start();
  // Retries Start until it succeeds, then polls the store until Stop.
  boost::asio::awaitable<void> Run();
  void Stop();
  bool is_ready() const { return is_ready_; }

  // Submits a change; idempotent by operation id. A base of zero stands for
  // this host's version. Fails with kInvalidArgument, kUnavailable (not
  // accepted) or kOutcomeUnknown (retry with the same operation id).
  boost::asio::awaitable<Result<ChangeOutcome>> Submit(
      SettingsChangeRequest request);

  // Polls once: reads the head, fetches missing changes, writes pending orders.
  boost::asio::awaitable<void> PollStore();

  // Reads the state of an operation and queries the members not known to have
  // its version.
  boost::asio::awaitable<OperationState> ReadOperationState(OperationId id);

  const SettingsChangeLog& change_log() const { return change_log_; }
  // Latest version reported by each member; zero without a report.
  std::map<HostId, SettingsVersion> host_versions() const;
  std::vector<Member> members() const { return peers_.members(); }
  const HostId& host() const { return options_.host; }
  Duration current_poll_interval() const;

 private:
  using Json = nlohmann::json;

  enum class FetchResult { kNoResponse, kResponded };

  boost::asio::awaitable<Result<ChangeOutcome>> TrySubmit(
      SettingsChangeRequest request, bool& may_have_committed,
      bool& is_decided);
  boost::asio::awaitable<CommitResult> CommitChange(SettingsChange change,
                                                    Duration timeout);
  // Reads the operation row. A missing row proves nothing, because reads may be
  // stale.
  boost::asio::awaitable<Result<std::optional<ChangeOutcome>>> ReadOperation(
      SettingsChangeRequest request);
  Result<ChangeOutcome> DecodeOutcome(const SettingsChangeRequest& request,
                                      const std::string& row);
  // Whether the request may become an emergency order while the store is down.
  bool CanBecomeOrder(const SettingsChangeRequest& request) const;
  Result<ChangeOutcome> IssueOrder(const SettingsChangeRequest& request);
  boost::asio::awaitable<FetchResult> FetchFromStore(SettingsVersion target);
  boost::asio::awaitable<FetchResult> FetchFromPeer(HostId peer);
  boost::asio::awaitable<void> CatchUp(SettingsVersion target);
  boost::asio::awaitable<void> WritePendingOrders();
  boost::asio::awaitable<bool> TryWriteOrder(EmergencyOrder order);
  boost::asio::awaitable<void> ExchangeOrders(HostId peer);
  boost::asio::awaitable<void> SleepFor(Duration duration);

  boost::asio::awaitable<Result<Json>> HandleChanges(HostId from, Json body);
  boost::asio::awaitable<Result<Json>> HandleOrders(Json body);
  void HandlePiggyback(const HostId& from, const Json& value);
  Json BuildChangesMessage(SettingsVersion after) const;
  // Applies the contiguous changes of a message. Returns whether the log
  // advanced.
  bool ApplyChangesMessage(const Json& body);
  bool MergeOrders(const Json& orders);
  Json BuildOrdersMessage() const;
  std::string PendingOrdersDigest() const;
  void ResolveSuperseded(const EmergencyOrder& order, SettingsVersion version);

  void AcceptCommitted(const SettingsChange& change);
  void Publish();
  void UpdateStoreAvailability(bool is_available);
  void RecordEvent(EventId id, const std::string& change,
                   SettingsVersion version, const std::string& path);

  boost::asio::any_io_executor executor_;
  Options options_;
  TableStore& store_;
  PeerChannel& peers_;
  EventLog* event_log_;
  Publisher publisher_;
  SettingsChangeLog change_log_;
  std::map<HostId, SettingsVersion> reported_versions_;
  boost::asio::steady_timer poll_timer_;
  bool is_ready_ = false;
  bool is_stopping_ = false;
  bool is_store_available_ = true;
  bool is_fetching_changes_ = false;
  bool is_exchanging_orders_ = false;
};

}  // namespace dogwood
