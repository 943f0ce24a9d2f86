#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "Libraries/Membership/membership.h"

namespace dogwood {

// Member tables on a virtual clock, with links that a test can cut. Messages
// and timers of a paused host are deferred until it resumes, as for a stopped
// process.
class SimulatedNetwork {
 public:
  // Period of the probes of each host.
  static constexpr std::uint64_t kPingPeriodMs = 250;
  static constexpr Duration kPingPeriod =
      std::chrono::milliseconds(kPingPeriodMs);
  static constexpr std::uint64_t kMaxLatencyMs = 20;
  // Time after which a probe without an answer is sent by relays.
  static constexpr Duration kRelayDelay = std::chrono::milliseconds(250);
  // Time after which a probe without an answer has failed.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(750);

  explicit SimulatedNetwork(std::size_t hosts, std::uint64_t seed = 1)
      : random_(seed) {
    hosts_.resize(hosts);
    for (std::size_t i = 0; i < hosts; ++i) Restart(i);
  }

  static HostId HostIdOf(std::size_t host) {
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
    MemberRecord self{.host = HostIdOf(host),
                      .zone = ZoneId("zone"),
                      .peer_address = HostIdOf(host).value() + ":1",
                      .incarnation = Incarnation(next_incarnation_++)};
    hosts_[host].table =
        std::make_unique<MemberTable>(self, MemberTable::Options{});
    // The host list names every host, including crashed ones.
    std::vector<Contact> contacts;
    for (std::size_t i = 0; i < size(); ++i)
      contacts.push_back({HostIdOf(i), HostIdOf(i).value() + ":1"});
    hosts_[host].table->SetContacts(std::move(contacts));
    const Duration phase = std::chrono::milliseconds(random_() % kPingPeriodMs);
    Schedule(now_ + phase, host, [this, host] { RunProbePeriod(host); });
  }
  void Crash(std::size_t host) {
    hosts_[host].table.reset();
    hosts_[host].is_paused = false;
    hosts_[host].deferred_actions.clear();
    ++hosts_[host].generation;
  }
  void Pause(std::size_t host) {
    if (is_up(host)) hosts_[host].is_paused = true;
  }
  void Resume(std::size_t host) {
    hosts_[host].is_paused = false;
    auto deferred_actions = std::move(hosts_[host].deferred_actions);
    hosts_[host].deferred_actions.clear();
    for (auto& action : deferred_actions) action();
  }
  void CutLink(std::size_t from, std::size_t to) {
    cut_links_.insert({from, to});
  }
  void RestoreLinks() { cut_links_.clear(); }

  // Calls `after_event` after every event.
  void Run(
      Duration duration, const std::function<void()>& after_event = [] {}) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      Host& host = hosts_[event.host];
      if (!host.table || host.generation != event.generation) continue;
      if (host.is_paused) {
        host.deferred_actions.push_back(event.action);
        continue;
      }
      event.action();
      after_event();
    }
    now_ = end;
  }

  // Whether every running host lists exactly the other running hosts, with
  // their current incarnation and leaving state and without suspicion.
  bool has_converged() {
    for (std::size_t i = 0; i < size(); ++i) {
      if (!is_running(i)) continue;
      std::size_t expected = 0;
      for (std::size_t j = 0; j < size(); ++j) {
        if (j == i || !is_running(j)) continue;
        ++expected;
        const MemberRecord* const record = table(i).FindRecord(HostIdOf(j));
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
    // Incremented by a crash, which cancels the host's events.
    std::uint64_t generation = 0;
    std::vector<std::function<void()>> deferred_actions;
  };
  struct Event {
    TimePoint time;
    std::uint64_t sequence;
    std::size_t host;
    std::uint64_t generation;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
  };

  void Schedule(TimePoint time, std::size_t host,
                std::function<void()> action) {
    events_.push({time, next_sequence_++, host, hosts_[host].generation,
                  std::move(action)});
  }
  void SendMessage(std::size_t from, std::size_t to,
                   std::function<void()> action) {
    if (cut_links_.contains({from, to})) return;
    Schedule(now_ + std::chrono::milliseconds(1 + random_() % kMaxLatencyMs),
             to, std::move(action));
  }
  std::size_t IndexOf(const HostId& id) const {
    return std::stoul(id.value().substr(id.value().rfind('-') + 1));
  }

  void RunProbePeriod(std::size_t host) {
    MemberTable& table = *hosts_[host].table;
    table.Tick(now_);
    if (const auto target = table.NextProbe(now_, random_))
      Probe(host, *target);
    Schedule(now_ + kPingPeriod, host, [this, host] { RunProbePeriod(host); });
  }

  void Probe(std::size_t host, const MemberTable::Target& target) {
    const auto has_answer = std::make_shared<bool>(false);
    const TimePoint sent = now_;
    SendPing(host, IndexOf(target.host), [has_answer] { *has_answer = true; });
    if (target.is_contact) return;
    Schedule(now_ + kRelayDelay, host, [=, this] {
      if (*has_answer) return;
      for (const auto& relay :
           hosts_[host].table->ChooseRelays(target.host, random_)) {
        const std::size_t relay_index = IndexOf(relay.host);
        SendMessage(host, relay_index, [=, this] {
          SendPing(relay_index, IndexOf(target.host), [=, this] {
            SendMessage(relay_index, host,
                        [has_answer] { *has_answer = true; });
          });
        });
      }
    });
    Schedule(now_ + kProbeTimeout, host, [=, this] {
      if (!*has_answer)
        hosts_[host].table->HandleProbeFailure(target, sent, now_);
    });
  }

  void SendPing(std::size_t from, std::size_t to,
                const std::function<void()>& on_answer) {
    MemberTable& sender = *hosts_[from].table;
    const Ping ping = sender.MakePing(HostIdOf(to), now_);
    const Incarnation incarnation = sender.self().incarnation;
    const TimePoint sent = now_;
    SendMessage(from, to, [=, this] {
      MemberTable& receiver = *hosts_[to].table;
      const Ack ack =
          receiver.HandlePing(HostIdOf(from), incarnation, ping, now_);
      const Incarnation receiver_incarnation = receiver.self().incarnation;
      SendMessage(to, from, [=, this] {
        hosts_[from].table->HandleAck(HostIdOf(to), receiver_incarnation, ack,
                                      sent, now_);
        on_answer();
      });
    });
  }

  MemberTable::RandomEngine random_;
  std::vector<Host> hosts_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::priority_queue<Event> events_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t next_incarnation_ = 1;
};

}  // namespace dogwood
