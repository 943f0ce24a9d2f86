#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Libraries/Membership/change_queue.h"
#include "Libraries/Membership/member_messages.h"

namespace dogwood {

// SWIM-style group membership of one host. It decides; the caller sends the
// messages, measures time and owns the random engine.
//
// Each host alone raises its own refutation counter. A rumour that a host was
// removed only makes it a suspect here, so that every table gives it one
// suspicion timeout to refute; removal is always this table's own decision.
class MemberTable {
 public:
  using RandomEngine = std::mt19937_64;

  struct Options {
    Duration ping_period = std::chrono::milliseconds(250);
    std::size_t relays = 2;
    // Suspicion timeout: this factor * log2(members + 1) * ping_period.
    double suspicion_factor = 3;
    Duration shortest_suspicion = std::chrono::seconds(1);
    // A longer gap between calls means that this process was stopped; its own
    // timeouts then say nothing about the others.
    Duration pause_limit = std::chrono::seconds(1);
    // Records of one ordinary message, in bytes.
    std::size_t change_bytes = 240;
    // Records of the answer to a joining host; 1,000 hosts take about 50 KB.
    std::size_t join_bytes = 128U << 10U;
    // A removed host is remembered this long, to refuse old rumours about it
    // and to find it again after a split.
    Duration removed_lifetime = std::chrono::hours(1);
    // Every n-th probe goes to a contact or removed host, if there is one.
    unsigned contact_interval = 4;
  };

  struct Target {
    HostId host;  // empty when only the address is known
    std::string peer_address;
    // A failed ping to a contact has no consequence.
    bool is_contact = false;
    Incarnation incarnation;
    std::uint32_t refutations = 0;
  };

  MemberTable(MemberRecord self, Options options);

  const MemberRecord& self() const { return self_; }
  // All other members in ascending order of their ids.
  std::vector<Member> members() const;
  bool contains(const HostId& host) const { return entries_.contains(host); }
  const MemberRecord* RecordOf(const HostId& host) const;
  // Rises with every change that members() shows.
  std::uint64_t view_version() const { return view_version_; }
  // Newest time at which a message was sent that a peer acknowledged while it
  // held this incarnation for a member. The sending time is the safe one for a
  // lease: the answer may have waited while this process was stopped.
  TimePoint newest_acknowledgement() const { return newest_acknowledgement_; }
  // Hash over hosts, incarnations and counters of this view.
  std::uint32_t digest() const { return digest_; }
  Duration suspicion_timeout() const;

  // Replaces the contacts. They never add or remove a member by themselves.
  void SetContacts(std::vector<Contact> contacts);
  // The host to ping in this period; called once per period.
  std::optional<Target> NextProbe(TimePoint now, RandomEngine& random);
  // Members to ask to ping `target` in place of this host.
  std::vector<Target> ChooseRelays(const HostId& target, RandomEngine& random);

  // `to` may be empty when the receiver is not known.
  Ping MakePing(const HostId& to, TimePoint now);
  Ack HandlePing(const HostId& from, Incarnation incarnation, const Ping& ping,
                 TimePoint now);
  void HandleAck(const HostId& from, Incarnation incarnation, const Ack& ack,
                 TimePoint sent, TimePoint now);
  // Neither the host nor a relay answered a ping sent at `sent`.
  void HandleNoAnswer(const Target& target, TimePoint sent, TimePoint now);
  // Removes suspects whose timeout has passed; called at least once per period.
  void Tick(TimePoint now);
  // Announces with the following messages that this host is leaving.
  void Leave();

 private:
  struct Entry {
    MemberRecord record;
    TimePoint suspicion_end{};  // valid while the record is suspect
    bool has_other_digest = false;
  };
  struct Removed {
    MemberRecord record;
    TimePoint forget_at{};
  };

  void NoteTime(TimePoint now);
  void Apply(const MemberRecord& record, TimePoint now);
  void ApplyToSelf(const MemberRecord& record);
  void ApplyToRemoved(Removed& removed, const MemberRecord& record,
                      TimePoint now);
  void ApplyToEntry(Entry& entry, MemberRecord record, TimePoint now);
  // Takes counter and leaving state that a host sent about itself. False when
  // this table needs the sender's full record.
  bool ApplyDirect(const HostId& from, Incarnation incarnation,
                   std::uint32_t refutations, bool is_leaving, TimePoint now);
  void Insert(const MemberRecord& record, TimePoint now);
  void Store(Entry& entry, const MemberRecord& record, TimePoint now);
  void RemoveMember(const HostId& host, TimePoint now);
  void RememberRemoved(MemberRecord record, TimePoint now);
  void Refute(std::uint32_t above);
  void SetSelf(const MemberRecord& record);
  std::vector<MemberRecord> ChooseChanges(const HostId& to, bool should_fill);
  std::vector<MemberRecord> WholeTable() const;
  std::optional<Target> ChooseContact(RandomEngine& random) const;
  unsigned send_limit() const;

  MemberRecord self_;
  Options options_;
  std::map<HostId, Entry> entries_;
  std::set<HostId> suspects_;
  std::map<HostId, Removed> removed_;
  std::deque<HostId> removed_order_;
  ChangeQueue queue_;
  std::vector<Contact> contacts_;
  std::vector<HostId> probe_order_;
  HostId fill_cursor_;
  std::uint64_t probes_ = 0;
  std::uint64_t view_version_ = 0;
  std::uint32_t digest_ = 0;
  bool has_joined_ = false;
  TimePoint newest_acknowledgement_{};
  TimePoint newest_call_{};
  TimePoint pause_end_{};
};

}  // namespace dogwood
