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

// Runs group membership and messaging between entry hosts over PeerLink. Used
// on the thread of its executor. The io_context must not run after this object
// is destroyed.
class PeerNode : public PeerChannel {
 public:
  // Reads the contacts from the platform's host list.
  using ContactSource =
      std::function<boost::asio::awaitable<Result<std::vector<Contact>>>()>;

  struct Options {
    HostId host;
    ZoneId zone;
    Incarnation incarnation;
    boost::asio::ip::tcp::endpoint listen;
    // Advertised address; empty advertises the bound address.
    std::string peer_address;
    ContactSource contacts;         // may be empty
    std::uint64_t random_seed = 0;  // 0: seeded by the system
    MemberTable::Options table;
    Duration ping_timeout = std::chrono::milliseconds(250);
    // Timeout of an indirect ping, which goes through two relays.
    Duration relay_timeout = std::chrono::milliseconds(500);
    Duration contact_refresh_interval = std::chrono::seconds(10);
    // Timeout of messages sent by Broadcast().
    Duration broadcast_timeout = std::chrono::seconds(2);
    // Covers one ping of each of 1,000 members: reconnecting costs about ten
    // times the bytes of a ping.
    Duration idle_timeout = std::chrono::minutes(5);
    std::size_t max_connections = 512;
  };

  // Binds, listens and starts the ping loop. Fails with kIo when the address is
  // in use.
  static Result<std::unique_ptr<PeerNode>> Start(
      const boost::asio::any_io_executor& executor, Options options);
  ~PeerNode() override;
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  std::vector<Member> members() const override {
    return member_table_.members();
  }
  void AddMemberListener(MemberListener listener) override;
  TimePoint last_acknowledged_send_time() const override {
    return member_table_.last_acknowledged_send_time();
  }
  void Handle(std::string kind, Handler handler) override;
  boost::asio::awaitable<Result<nlohmann::json>> Call(
      HostId to, std::string kind, nlohmann::json body,
      Duration timeout) override;
  void Broadcast(std::string kind, nlohmann::json body) override;
  void AddPiggyback(std::string name, PiggybackSource source,
                    PiggybackSink sink) override;

  // Announces to every member that this host is leaving, and waits until each
  // has acknowledged or timed out. The ping loop continues.
  boost::asio::awaitable<void> Leave();
  // Stops the loops, the connections and the listener.
  void Stop();

  const std::string& peer_address() const {
    return member_table_.self().peer_address;
  }
  // Traffic totals, including the segments of open connections.
  PeerTrafficCounters counters() const;
  std::size_t connection_count() const;

 private:
  struct Piggyback {
    PiggybackSource source;
    PiggybackSink sink;
  };

  PeerNode(const boost::asio::any_io_executor& executor, Options options,
           std::string peer_address);

  boost::asio::awaitable<Result<nlohmann::json>> HandleRequest(
      PeerRequest request);
  Result<nlohmann::json> HandlePing(const PeerRequest& request);
  boost::asio::awaitable<Result<nlohmann::json>> HandlePingRequest(
      PeerRequest request);

  boost::asio::awaitable<void> RunPingLoop();
  boost::asio::awaitable<void> RunContactLoop();
  boost::asio::awaitable<void> RunIdleSweepLoop();
  // Pings directly, then through relays, then reports the failure to the table.
  boost::asio::awaitable<void> ProbeMember(MemberTable::Target target);
  // Returns whether the target host itself acknowledged.
  boost::asio::awaitable<bool> SendPing(MemberTable::Target target);
  boost::asio::awaitable<bool> PingThroughRelays(MemberTable::Target target);
  boost::asio::awaitable<bool> RequestRelayPing(HostId relay,
                                                nlohmann::json body);
  // Returns false when the node was stopped. Do not await it in a loop
  // condition: g++ 12 then resumes the coroutine with a wrong `this`.
  boost::asio::awaitable<bool> WaitFor(Duration duration);

  // Returns null when the address cannot be parsed.
  PeerClient* FindOrCreateClient(const std::string& peer_address);
  void CloseIdleClients();
  void AttachPiggybacks(nlohmann::json& body) const;
  void DeliverPiggybacks(const HostId& from, const nlohmann::json& body) const;
  void NotifyMemberListeners();

  boost::asio::any_io_executor executor_;
  Options options_;
  // Shared because connections live until the io_context destroys them, which
  // may be after this object.
  std::shared_ptr<PeerTrafficCounters> traffic_counters_;
  MemberTable member_table_;
  MemberTable::RandomEngine random_;
  std::optional<PeerServer> server_;
  std::unordered_map<std::string, PeerClient> clients_;
  std::unordered_map<std::string, Handler> handlers_;
  std::map<std::string, Piggyback> piggybacks_;
  std::vector<MemberListener> member_listeners_;
  std::vector<Member> notified_members_;
  std::uint64_t notified_version_ = 0;
  // Timers of the running loops, cancelled by Stop().
  std::vector<boost::asio::steady_timer*> loop_timers_;
  bool is_stopped_ = false;
};

}  // namespace dogwood
