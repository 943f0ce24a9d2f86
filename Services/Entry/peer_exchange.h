#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Libraries/Membership/membership.h"
#include "Libraries/PeerLink/peer_link.h"
#include "Services/Entry/peer_channel.h"

namespace dogwood {

// Runs group membership and the messages between entry hosts over PeerLink.
// Used on the thread of its executor. Its io_context must not run after this
// object is destroyed.
class PeerExchange : public PeerChannel {
 public:
  // Reads the platform's host list.
  using ContactSource =
      std::function<boost::asio::awaitable<Result<std::vector<Contact>>>()>;

  struct Options {
    HostId host;
    ZoneId zone;
    Incarnation incarnation;
    boost::asio::ip::tcp::endpoint listen;
    // Address that other hosts use; empty takes the bound one.
    std::string peer_address;
    ContactSource contacts;         // may be empty
    std::uint64_t random_seed = 0;  // 0 takes one from the system
    MemberTable::Options table;
    Duration ping_timeout = std::chrono::milliseconds(250);
    // Time that two relays get for a ping of their own.
    Duration relay_timeout = std::chrono::milliseconds(500);
    Duration contact_period = std::chrono::seconds(10);
    // Timeout of messages sent by Broadcast().
    Duration broadcast_timeout = std::chrono::seconds(2);
    // Long enough for each of 1,000 members to be pinged once meanwhile: a new
    // connection costs about ten times the bytes of a ping.
    Duration idle_limit = std::chrono::minutes(5);
    std::size_t most_connections = 512;
  };

  // Binds, listens and starts to ping; fails with kIo when the address is
  // taken.
  static Result<std::unique_ptr<PeerExchange>> Start(
      const boost::asio::any_io_executor& executor, Options options);
  ~PeerExchange() override;
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  std::vector<Member> members() const override { return table_.members(); }
  void AddMemberListener(MemberListener listener) override;
  TimePoint newest_acknowledgement() const override {
    return table_.newest_acknowledgement();
  }
  void Handle(std::string kind, Handler handler) override;
  boost::asio::awaitable<Result<nlohmann::json>> Call(
      HostId to, std::string kind, nlohmann::json body,
      Duration timeout) override;
  void Broadcast(std::string kind, nlohmann::json body) override;
  void AddPiggyback(std::string name, PiggybackSource source,
                    PiggybackSink sink) override;

  // Tells every member that this host is leaving and waits until each has
  // answered or its ping has timed out. Pings go on.
  boost::asio::awaitable<void> Leave();
  // Ends pings, connections and the listener.
  void Stop();

  const std::string& peer_address() const { return table_.self().peer_address; }
  // Totals so far, with the segments of open connections.
  LinkCounters counters() const;
  std::size_t connection_count() const;

 private:
  struct Piggyback {
    PiggybackSource source;
    PiggybackSink sink;
  };

  PeerExchange(const boost::asio::any_io_executor& executor, Options options,
               std::string peer_address);

  boost::asio::awaitable<Result<nlohmann::json>> HandleRequest(
      PeerRequest request);
  Result<nlohmann::json> HandlePing(const PeerRequest& request);
  boost::asio::awaitable<Result<nlohmann::json>> HandlePingRequest(
      PeerRequest request);

  boost::asio::awaitable<void> RunPings();
  boost::asio::awaitable<void> RunContacts();
  boost::asio::awaitable<void> RunSweeps();
  // Pings, then asks relays, then reports the silence to the table.
  boost::asio::awaitable<void> Probe(MemberTable::Target target);
  // True when the host of the target itself answered.
  boost::asio::awaitable<bool> PingOnce(MemberTable::Target target);
  boost::asio::awaitable<bool> PingByRelays(MemberTable::Target target);
  boost::asio::awaitable<bool> AskRelay(HostId relay, nlohmann::json body);
  // False when the exchange was stopped. Never awaited within a loop condition,
  // which g++ 12 miscompiles: the coroutine then runs with a wrong `this`.
  boost::asio::awaitable<bool> WaitFor(Duration duration);

  // Null when the address cannot be parsed.
  PeerClient* ClientOf(const std::string& peer_address);
  void CloseIdleClients();
  void AddPiggybacks(nlohmann::json& body) const;
  void ReadPiggybacks(const HostId& from, const nlohmann::json& body) const;
  void NotifyListeners();

  boost::asio::any_io_executor executor_;
  Options options_;
  // Connections outlive this object until the io_context drops them.
  std::shared_ptr<LinkCounters> counters_;
  MemberTable table_;
  MemberTable::RandomEngine random_;
  std::optional<PeerServer> server_;
  std::unordered_map<std::string, PeerClient> clients_;
  std::unordered_map<std::string, Handler> handlers_;
  std::map<std::string, Piggyback> piggybacks_;
  std::vector<MemberListener> listeners_;
  std::vector<Member> notified_members_;
  std::uint64_t notified_version_ = 0;
  // Timers of the three loops, to end them.
  std::vector<boost::asio::steady_timer*> waiting_;
  bool is_stopped_ = false;
};

}  // namespace dogwood
