#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Libraries/Membership/gossip_queue.h"
#include "Libraries/Membership/member_messages.h"

namespace dogwood {

// Group membership of one host by the SWIM protocol. Performs no I/O: the
// caller sends the messages and supplies the time and the random engine.
//
// Only the host itself increments its refutation count. A received record that
// says that a member was removed makes it a suspect, so that it has the
// suspicion timeout of every table to refute. A table removes a member only
// when its own timeout expires.
class MemberTable {
 public:
  using RandomEngine = std::mt19937_64;

  struct Options {
    Duration ping_period = std::chrono::milliseconds(250);
    // Members asked for an indirect ping.
    std::size_t relay_count = 2;
    // The suspicion timeout is suspicion_factor * log2(other members + 2) *
    // ping_period, and at least shortest_suspicion.
    double suspicion_factor = 3;
    Duration shortest_suspicion = std::chrono::seconds(1);
    // A longer time between two calls means that this process was paused. Then
    // an expired timeout is no evidence that another host failed.
    Duration pause_threshold = std::chrono::seconds(1);
    // Limit of the records in an ordinary message.
    std::size_t max_change_bytes = 240;
    // Limit of the records in the acknowledgement to a joining host; 1,000
    // hosts take about 50 KB.
    std::size_t max_join_bytes = 128U << 10U;
    // How long a removed host is remembered, to reject outdated records of it
    // and to ping it again after a network partition.
    Duration tombstone_lifetime = std::chrono::hours(1);
    // Every n-th probe pings a contact or a removed host, if there is one.
    unsigned probes_per_contact = 4;
  };

  struct Target {
    HostId host;  // empty if only the address is known
    std::string peer_address;
    // Not a member, so that a failed ping raises no suspicion.
    bool is_contact = false;
    Incarnation incarnation;
    std::uint32_t refutation_count = 0;
  };

  MemberTable(MemberRecord self, Options options);

  const MemberRecord& self() const { return self_; }
  // All other members, ordered by host id.
  std::vector<Member> members() const;
  bool contains(const HostId& host) const { return entries_.contains(host); }
  // Record of another member, or nullptr.
  const MemberRecord* FindRecord(const HostId& host) const;
  // Increases with every change of members().
  std::uint64_t view_version() const { return view_version_; }
  // Latest send time of a ping that was acknowledged by a peer that lists this
  // incarnation as a member. A lease counts from the send time because the
  // acknowledgement may have been queued while this process was paused.
  TimePoint last_acknowledged_send_time() const {
    return newest_acknowledgement_;
  }
  // Hash over the hosts, incarnations, refutation counts and leaving states of
  // all members, for comparison with a peer's table.
  std::uint32_t digest() const { return digest_; }
  Duration suspicion_timeout() const;

  // Replaces the contacts, which neither adds nor removes members.
  void SetContacts(std::vector<Contact> contacts);
  // Returns the host to ping; called once per ping period.
  std::optional<Target> NextProbe(TimePoint now, RandomEngine& random);
  // Chooses the members that are asked to ping `target` for this host.
  std::vector<Target> ChooseRelays(const HostId& target, RandomEngine& random);

  // `to` is empty if the receiver's host id is unknown.
  Ping MakePing(const HostId& to, TimePoint now);
  Ack HandlePing(const HostId& from, Incarnation incarnation, const Ping& ping,
                 TimePoint now);
  void HandleAck(const HostId& from, Incarnation incarnation, const Ack& ack,
                 TimePoint sent, TimePoint now);
  // Called when neither the target nor a relay answered a ping sent at `sent`.
  void HandleProbeFailure(const Target& target, TimePoint sent, TimePoint now);
  // Removes suspects whose timeout has expired; called at least once per ping
  // period.
  void Tick(TimePoint now);
  // Marks this host as leaving, which the next messages announce.
  void Leave();

 private:
  struct Entry {
    MemberRecord record;
    TimePoint suspicion_end{};  // valid only for a suspect
    bool has_different_digest = false;
  };
  // Remembers a removed member.
  struct Tombstone {
    MemberRecord record;
    TimePoint expires_at{};
  };

  // Restarts all suspicion timeouts if this process was paused before `now`.
  void DetectPause(TimePoint now);
  void MergeRecord(const MemberRecord& record, TimePoint now);
  void MergeIntoSelf(const MemberRecord& record);
  void MergeIntoTombstone(Tombstone& tombstone, const MemberRecord& record,
                          TimePoint now);
  void MergeIntoEntry(Entry& entry, MemberRecord record, TimePoint now);
  // Merges what a host sent about itself. Returns false if this table has no
  // record of the sender's incarnation and needs its full record.
  bool MergeSenderState(const HostId& from, Incarnation incarnation,
                        std::uint32_t refutation_count, bool is_leaving,
                        TimePoint now);
  void InsertMember(const MemberRecord& record, TimePoint now);
  void ReplaceRecord(Entry& entry, const MemberRecord& record, TimePoint now);
  void RemoveMember(const HostId& host, TimePoint now);
  void AddTombstone(MemberRecord record, TimePoint now);
  // Raises the own refutation count above `refuted_count`.
  void Refute(std::uint32_t refuted_count);
  void SetSelf(const MemberRecord& record);
  // Selects the records for a message. `should_synchronize` fills the message
  // with further members because the receiver's digest differs.
  std::vector<MemberRecord> SelectChanges(const HostId& to,
                                          bool should_synchronize);
  std::vector<MemberRecord> RecordsForJoin() const;
  std::optional<Target> ChooseContact(RandomEngine& random) const;
  unsigned transmit_limit() const;

  MemberRecord self_;
  Options options_;
  std::map<HostId, Entry> entries_;
  std::set<HostId> suspects_;
  std::map<HostId, Tombstone> tombstones_;
  std::deque<HostId> tombstone_order_;
  GossipQueue gossip_queue_;
  std::vector<Contact> contacts_;
  std::vector<HostId> probe_order_;
  HostId synchronization_cursor_;  // last host sent to synchronize tables
  std::uint64_t probe_count_ = 0;
  std::uint64_t view_version_ = 0;
  std::uint32_t digest_ = 0;
  bool has_joined_ = false;
  TimePoint newest_acknowledgement_{};
  TimePoint last_call_time_{};
  TimePoint pause_end_{};
};

}  // namespace dogwood
