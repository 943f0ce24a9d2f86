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

// The change is part of the chain.
struct ChangeAccepted {
  SettingsVersion version;
};
// The store is down; the order is in force until it is written or superseded.
struct ChangeProvisional {
  EmergencyOrder order;
};
using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeProvisional, ChangeConflict>;

// What is known of an operation.
struct OperationState {
  enum class Kind { kUnknown, kAccepted, kProvisional, kSuperseded };
  Kind kind = Kind::kUnknown;
  SettingsVersion version;  // of the change, or of the one that superseded it
  // Hosts that are not known to have it in force.
  std::vector<HostId> lacking;
};

// Keeps this host's settings chain at the fleet's newest version, accepts
// changes and emergency orders, and publishes fleet configurations. Used on the
// control thread; must outlive the executor's last handler.
class SettingsService {
 public:
  // Receives each new configuration, on the control thread. Workers of the
  // request path keep the old value while they use it.
  using Publisher =
      std::function<void(std::shared_ptr<const FleetConfiguration>)>;

  struct Options {
    HostId host;
    Duration store_timeout = std::chrono::seconds(2);
    // An emergency order does not wait longer for a slow store.
    Duration emergency_timeout = std::chrono::milliseconds(500);
    Duration peer_timeout = std::chrono::milliseconds(500);
    Duration poll_interval = std::chrono::milliseconds(500);  // whole fleet
    Duration retry_delay = std::chrono::milliseconds(20);
  };

  // `events` may be null.
  SettingsService(boost::asio::any_io_executor executor, Options options,
                  TableStore& store, PeerChannel& peers, EventLog* events,
                  Publisher publisher);

  // Takes the greatest version of the store and two peers. Fails with
  // kUnavailable when neither can be reached; the host must then take no work.
  boost::asio::awaitable<Result<void>> Start();
  // Starts, retrying as needed, and polls the store until Stop.
  boost::asio::awaitable<void> Run();
  void Stop();
  bool is_ready() const { return is_ready_; }

  // Idempotent by operation id. A base of zero stands for this host's version.
  // Fails with kInvalidArgument, kUnavailable (not accepted) or kOutcomeUnknown
  // (repeat with the same operation id).
  boost::asio::awaitable<Result<ChangeOutcome>> Submit(ChangeRequest request);

  // One poll: reads the head, fetches missing changes, writes pending orders.
  boost::asio::awaitable<void> PollStore();

  // Asks the members that are not known to have the version.
  boost::asio::awaitable<OperationState> StateOf(OperationId id);

  const SettingsChain& chain() const { return chain_; }
  // Newest version each member reported, members without a report with zero.
  std::map<HostId, SettingsVersion> host_versions() const;
  std::vector<Member> members() const { return peers_.members(); }
  const HostId& host() const { return options_.host; }
  Duration current_poll_interval() const;

 private:
  using Json = nlohmann::json;

  enum class Fetched { kNothing, kAnswered };

  boost::asio::awaitable<Result<ChangeOutcome>> SubmitOnce(
      ChangeRequest request, bool& may_have_committed, bool& is_decided);
  boost::asio::awaitable<CommitResult> CommitChange(SettingsChange change,
                                                    Duration timeout);
  // Reads the operation row; a missing one proves nothing, as reads may be
  // stale.
  boost::asio::awaitable<Result<std::optional<ChangeOutcome>>> ReadOperation(
      ChangeRequest request);
  Result<ChangeOutcome> OutcomeOf(const ChangeRequest& request,
                                  const std::string& row);
  // Whether the request can become an emergency order.
  bool MayBeOrder(const ChangeRequest& request) const;
  Result<ChangeOutcome> GiveOrder(const ChangeRequest& request);
  boost::asio::awaitable<Fetched> FetchFromStore(SettingsVersion target);
  boost::asio::awaitable<Fetched> FetchFromPeer(HostId peer);
  boost::asio::awaitable<void> CatchUp(SettingsVersion target);
  boost::asio::awaitable<void> WriteOrders();
  boost::asio::awaitable<bool> WriteOrder(EmergencyOrder order);
  boost::asio::awaitable<void> ExchangeOrders(HostId peer);
  boost::asio::awaitable<void> Wait(Duration duration);

  boost::asio::awaitable<Result<Json>> HandleChanges(HostId from, Json body);
  boost::asio::awaitable<Result<Json>> HandleOrders(Json body);
  void ReadPiggyback(const HostId& from, const Json& value);
  Json ChangesMessage(SettingsVersion after) const;
  // Applies what it can and returns whether the chain advanced.
  bool ApplyMessage(const Json& body);
  bool MergeOrders(const Json& orders);
  Json OrdersMessage() const;
  std::string OrdersDigest() const;
  void ResolveSuperseded(const EmergencyOrder& order, SettingsVersion version);

  void AcceptCommitted(const SettingsChange& change);
  void Publish();
  void NoteStore(bool is_answering);
  void Record(EventId id, const std::string& change, SettingsVersion version,
              const std::string& path);

  boost::asio::any_io_executor executor_;
  Options options_;
  TableStore& store_;
  PeerChannel& peers_;
  EventLog* events_;
  Publisher publisher_;
  SettingsChain chain_;
  std::map<HostId, SettingsVersion> reported_;
  boost::asio::steady_timer timer_;
  bool is_ready_ = false;
  bool is_stopping_ = false;
  bool is_store_answering_ = true;
  bool is_fetching_ = false;
  bool is_exchanging_ = false;
};

}  // namespace dogwood
