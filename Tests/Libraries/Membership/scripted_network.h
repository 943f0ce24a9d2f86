#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "Libraries/Membership/membership.h"

namespace dogwood {

// Many member tables on a virtual clock with links that the test cuts. Messages
// and timers of a paused host wait until it resumes, as in a stopped process.
class ScriptedNetwork {
 public:
  explicit ScriptedNetwork(std::size_t hosts, std::uint64_t seed = 1)
      : random_(seed) {
    hosts_.resize(hosts);
    for (std::size_t i = 0; i < hosts; ++i) Restart(i);
  }

  static HostId IdOf(std::size_t host) {
    return HostId("host-" + std::to_string(host));
  }

  std::size_t size() const { return hosts_.size(); }
  bool is_up(std::size_t host) const { return hosts_[host].table != nullptr; }
  bool is_running(std::size_t host) const {
    return is_up(host) && !hosts_[host].is_paused;
  }
  MemberTable& table(std::size_t host) { return *hosts_[host].table; }
  TimePoint now() const { return now_; }

  void Restart(std::size_t host) {
    Crash(host);
    MemberRecord self{.host = IdOf(host),
                      .zone = ZoneId("zone"),
                      .peer_address = IdOf(host).value() + ":1",
                      .incarnation = Incarnation(next_incarnation_++)};
    hosts_[host].table =
        std::make_unique<MemberTable>(self, MemberTable::Options{});
    // The lagging host list: every host that ever existed.
    std::vector<Contact> contacts;
    for (std::size_t i = 0; i < size(); ++i)
      contacts.push_back({IdOf(i), IdOf(i).value() + ":1"});
    hosts_[host].table->SetContacts(std::move(contacts));
    const Duration phase = std::chrono::milliseconds(random_() % 250);
    At(now_ + phase, host, [this, host] { RunPeriod(host); });
  }
  void Crash(std::size_t host) {
    hosts_[host].table.reset();
    hosts_[host].is_paused = false;
    hosts_[host].held.clear();
    ++hosts_[host].life;
  }
  void Pause(std::size_t host) {
    if (is_up(host)) hosts_[host].is_paused = true;
  }
  void Resume(std::size_t host) {
    hosts_[host].is_paused = false;
    auto held = std::move(hosts_[host].held);
    hosts_[host].held.clear();
    for (auto& action : held) action();
  }
  void Cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void Heal() { cuts_.clear(); }

  // `watch` is called after every event.
  void Run(
      Duration duration, const std::function<void()>& watch = [] {}) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      Host& host = hosts_[event.host];
      if (!host.table || host.life != event.life) continue;
      if (host.is_paused) {
        host.held.push_back(event.action);
        continue;
      }
      event.action();
      watch();
    }
    now_ = end;
  }

  // True when every running host lists exactly all other running hosts, alive
  // with their newest incarnation, and no others.
  bool has_converged() {
    for (std::size_t i = 0; i < size(); ++i) {
      if (!is_running(i)) continue;
      std::size_t expected = 0;
      for (std::size_t j = 0; j < size(); ++j) {
        if (j == i || !is_running(j)) continue;
        ++expected;
        const MemberRecord* const record = table(i).RecordOf(IdOf(j));
        if (record == nullptr || record->is_suspect() ||
            record->incarnation != table(j).self().incarnation ||
            record->is_leaving() != table(j).self().is_leaving())
          return false;
      }
      if (table(i).members().size() != expected) return false;
    }
    return true;
  }

 private:
  struct Host {
    std::unique_ptr<MemberTable> table;
    bool is_paused = false;
    std::uint64_t life = 0;
    std::vector<std::function<void()>> held;
  };
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::size_t host;
    std::uint64_t life;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  void At(TimePoint time, std::size_t host, std::function<void()> action) {
    events_.push(
        {time, next_order_++, host, hosts_[host].life, std::move(action)});
  }
  void Deliver(std::size_t from, std::size_t to, std::function<void()> action) {
    if (cuts_.contains({from, to})) return;
    At(now_ + std::chrono::milliseconds(1 + random_() % 20), to,
       std::move(action));
  }
  std::size_t IndexOf(const HostId& id) const {
    return std::stoul(id.value().substr(id.value().rfind('-') + 1));
  }

  void RunPeriod(std::size_t host) {
    MemberTable& table = *hosts_[host].table;
    table.Tick(now_);
    if (const auto target = table.NextProbe(now_, random_))
      Probe(host, *target);
    At(now_ + std::chrono::milliseconds(250), host,
       [this, host] { RunPeriod(host); });
  }

  void Probe(std::size_t host, const MemberTable::Target& target) {
    const auto has_answer = std::make_shared<bool>(false);
    const TimePoint sent = now_;
    SendPing(host, IndexOf(target.host), [has_answer] { *has_answer = true; });
    if (target.is_contact) return;
    At(now_ + std::chrono::milliseconds(250), host, [=, this] {
      if (*has_answer) return;
      for (const auto& relay :
           hosts_[host].table->ChooseRelays(target.host, random_)) {
        const std::size_t by = IndexOf(relay.host);
        Deliver(host, by, [=, this] {
          SendPing(by, IndexOf(target.host), [=, this] {
            Deliver(by, host, [has_answer] { *has_answer = true; });
          });
        });
      }
    });
    At(now_ + std::chrono::milliseconds(750), host, [=, this] {
      if (!*has_answer) hosts_[host].table->HandleNoAnswer(target, sent, now_);
    });
  }

  void SendPing(std::size_t from, std::size_t to,
                const std::function<void()>& on_answer) {
    MemberTable& sender = *hosts_[from].table;
    const Ping ping = sender.MakePing(IdOf(to), now_);
    const Incarnation incarnation = sender.self().incarnation;
    const TimePoint sent = now_;
    Deliver(from, to, [=, this] {
      MemberTable& receiver = *hosts_[to].table;
      const Ack ack = receiver.HandlePing(IdOf(from), incarnation, ping, now_);
      const Incarnation answering = receiver.self().incarnation;
      Deliver(to, from, [=, this] {
        hosts_[from].table->HandleAck(IdOf(to), answering, ack, sent, now_);
        on_answer();
      });
    });
  }

  MemberTable::RandomEngine random_;
  std::vector<Host> hosts_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::priority_queue<Event> events_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_order_ = 0;
  std::uint64_t next_incarnation_ = 1;
};

}  // namespace dogwood
