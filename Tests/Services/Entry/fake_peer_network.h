#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Services/Entry/peer_channel.h"

namespace dogwood {

// In-memory peer network with partitions and lost messages. Every host stays a
// member of every view; calls to an unreachable host fail.
class FakePeerNetwork {
 public:
  class Channel : public PeerChannel {
   public:
    Channel(FakePeerNetwork& network, HostId host)
        : network_(network), host_(std::move(host)) {
      network_.channels_[host_] = this;
    }
    ~Channel() override { network_.channels_.erase(host_); }

    std::vector<Member> members() const override {
      std::vector<Member> others;
      for (const auto& [host, channel] : network_.channels_) {
        if (host == host_) continue;
        Member member;
        member.host = host;
        others.push_back(std::move(member));
      }
      return others;
    }
    void AddMemberListener(MemberListener) override {}
    TimePoint last_acknowledged_send_time() const override { return {}; }
    void Handle(std::string kind, Handler handler) override {
      handlers_[std::move(kind)] = std::move(handler);
    }
    boost::asio::awaitable<Result<nlohmann::json>> Call(HostId to,
                                                        std::string kind,
                                                        nlohmann::json body,
                                                        Duration) override {
      Channel* target = network_.FindReachable(host_, to);
      if (target == nullptr || !target->handlers_.contains(kind))
        co_return Fail(ErrorCode::kUnavailable, "unreachable");
      // Encoded as on the wire.
      nlohmann::json received =
          nlohmann::json::from_cbor(nlohmann::json::to_cbor(body));
      HostId from = host_;
      Result<nlohmann::json> answer = co_await target->handlers_.at(kind)(
          std::move(from), std::move(received));
      co_return answer;
    }
    void Broadcast(std::string kind, nlohmann::json body) override {
      for (const Member& member : members())
        network_.pending_broadcasts_.push_back(
            {host_, member.host, kind, body});
    }
    void AddPiggyback(std::string name, PiggybackSource source,
                      PiggybackSink sink) override {
      piggybacks_[std::move(name)] = {std::move(source), std::move(sink)};
    }

   private:
    friend class FakePeerNetwork;
    FakePeerNetwork& network_;
    HostId host_;
    std::map<std::string, Handler> handlers_;
    std::map<std::string, std::pair<PiggybackSource, PiggybackSink>>
        piggybacks_;
  };

  explicit FakePeerNetwork(boost::asio::io_context& context)
      : context_(context) {}

  // Hosts in different partitions cannot reach each other.
  void SetPartition(const HostId& host, int partition) {
    partitions_[host] = partition;
  }
  void HealPartitions() { partitions_.clear(); }

  // Delivers pending broadcasts between reachable hosts and drops the others.
  void DeliverBroadcasts() {
    for (Message& message : std::exchange(pending_broadcasts_, {})) {
      Channel* target = FindReachable(message.from, message.to);
      if (target == nullptr || !target->handlers_.contains(message.kind))
        continue;
      boost::asio::co_spawn(
          context_,
          [handler = target->handlers_.at(message.kind),
           message]() -> boost::asio::awaitable<void> {
            HostId from = message.from;
            nlohmann::json body = message.body;
            (void)co_await handler(std::move(from), std::move(body));
          },
          boost::asio::detached);
    }
  }
  void DropPendingBroadcasts() { pending_broadcasts_.clear(); }

  // Exchanges the piggybacked values of a ping and its acknowledgement.
  void Ping(const HostId& left, const HostId& right) {
    DeliverPiggybacks(left, right);
    DeliverPiggybacks(right, left);
  }

 private:
  struct Message {
    HostId from;
    HostId to;
    std::string kind;
    nlohmann::json body;
  };

  Channel* FindReachable(const HostId& from, const HostId& to) {
    const auto found = channels_.find(to);
    if (found == channels_.end() || partitions_[from] != partitions_[to])
      return nullptr;
    return found->second;
  }
  void DeliverPiggybacks(const HostId& from, const HostId& to) {
    Channel* target = FindReachable(from, to);
    if (target == nullptr || !channels_.contains(from)) return;
    for (auto& [name, piggyback] : channels_.at(from)->piggybacks_)
      target->piggybacks_.at(name).second(from, piggyback.first());
  }

  boost::asio::io_context& context_;
  std::map<HostId, Channel*> channels_;
  std::map<HostId, int> partitions_;
  std::vector<Message> pending_broadcasts_;
};

}  // namespace dogwood
