#include "Libraries/Membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dogwood {
namespace {

// A record is sent at most kTransmitLimitFactor * log2(other members + 2)
// times, in pings or acknowledgements. Members that it does not reach receive
// it when digests differ.
constexpr double kTransmitLimitFactor = 1.5;
// Random picks to find a contact that is not a member; bounds the cost of a
// probe when the host list is long.
constexpr int kMaxContactAttempts = 8;

// Multipliers of the record hash. All hosts must use the same.
constexpr std::uint64_t kIncarnationMultiplier = 31;
constexpr std::uint64_t kRefutationCountMultiplier = 2;

std::uint32_t RecordHash(const MemberRecord& record) {
  const std::uint64_t seed =
      record.incarnation.value() * kIncarnationMultiplier +
      std::uint64_t{record.refutation_count} * kRefutationCountMultiplier +
      static_cast<std::uint64_t>(record.is_leaving() ? 1 : 0);
  const std::string& host = record.host.value();
  return static_cast<std::uint32_t>(
      XXH64(host.data(), host.size(), static_cast<XXH64_hash_t>(seed)));
}

MemberState MemberStateOf(const MemberRecord& record) {
  if (record.is_leaving()) return MemberState::kLeaving;
  return record.is_suspect() ? MemberState::kSuspect : MemberState::kAlive;
}

RecordState ToSuspectState(RecordState state) {
  const bool is_leaving =
      state == RecordState::kLeaving || state == RecordState::kLeavingSuspect;
  return is_leaving ? RecordState::kLeavingSuspect : RecordState::kSuspect;
}

MemberTable::Target TargetOf(const MemberRecord& record) {
  return {.host = record.host,
          .peer_address = record.peer_address,
          .incarnation = record.incarnation,
          .refutation_count = record.refutation_count};
}

}  // namespace

MemberTable::MemberTable(MemberRecord self, Options options)
    : self_(std::move(self)),
      options_(options),
      synchronization_cursor_(self_.host),
      digest_(RecordHash(self_)) {
  gossip_queue_.Add(self_.host);
}

std::vector<Member> MemberTable::members() const {
  std::vector<Member> members;
  members.reserve(entries_.size());
  for (const auto& [host, entry] : entries_) {
    members.push_back({.host = host,
                       .zone = entry.record.zone,
                       .incarnation = entry.record.incarnation,
                       .state = MemberStateOf(entry.record),
                       .peer_address = entry.record.peer_address});
  }
  return members;
}

const MemberRecord* MemberTable::FindRecord(const HostId& host) const {
  const auto found = entries_.find(host);
  return found == entries_.end() ? nullptr : &found->second.record;
}

Duration MemberTable::suspicion_timeout() const {
  const double periods = options_.suspicion_factor *
                         std::log2(static_cast<double>(entries_.size()) + 2);
  const Duration timeout(static_cast<std::int64_t>(
      periods * static_cast<double>(options_.ping_period.count())));
  return std::max(timeout, options_.shortest_suspicion);
}

unsigned MemberTable::transmit_limit() const {
  return static_cast<unsigned>(
      std::ceil(kTransmitLimitFactor *
                std::log2(static_cast<double>(entries_.size()) + 2)));
}

void MemberTable::SetContacts(std::vector<Contact> contacts) {
  contacts_ = std::move(contacts);
}

std::optional<MemberTable::Target> MemberTable::NextProbe(
    TimePoint now, RandomEngine& random) {
  DetectPause(now);
  const bool is_contact_turn =
      probe_count_++ % options_.probes_per_contact == 0;
  if (is_contact_turn || entries_.empty()) {
    if (auto contact = ChooseContact(random)) return contact;
  }
  // Pings each member once per round in random order, which bounds the time
  // until a failed host is detected.
  while (true) {
    if (probe_order_.empty()) {
      if (entries_.empty()) return std::nullopt;
      for (const auto& [host, entry] : entries_) probe_order_.push_back(host);
      std::shuffle(probe_order_.begin(), probe_order_.end(), random);
    }
    const auto found = entries_.find(probe_order_.back());
    probe_order_.pop_back();
    if (found != entries_.end()) return TargetOf(found->second.record);
  }
}

std::optional<MemberTable::Target> MemberTable::ChooseContact(
    RandomEngine& random) const {
  const auto pick = [&random](std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
  };
  if (!tombstone_order_.empty() && (contacts_.empty() || pick(2) == 0)) {
    const auto found =
        tombstones_.find(tombstone_order_[pick(tombstone_order_.size())]);
    if (found != tombstones_.end()) {
      Target target = TargetOf(found->second.record);
      target.is_contact = true;
      return target;
    }
  }
  for (int i = 0; i < kMaxContactAttempts && !contacts_.empty(); ++i) {
    const Contact& contact = contacts_[pick(contacts_.size())];
    if (contact.peer_address == self_.peer_address ||
        contact.host == self_.host || entries_.contains(contact.host))
      continue;
    const bool is_member =
        contact.host.value().empty() &&
        std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
          return item.second.record.peer_address == contact.peer_address;
        });
    if (is_member) continue;
    return Target{.host = contact.host,
                  .peer_address = contact.peer_address,
                  .is_contact = true};
  }
  return std::nullopt;
}

std::vector<MemberTable::Target> MemberTable::ChooseRelays(
    const HostId& target, RandomEngine& random) {
  std::vector<const MemberRecord*> candidates;
  for (const auto& [host, entry] : entries_) {
    if (host != target && !entry.record.is_suspect())
      candidates.push_back(&entry.record);
  }
  std::vector<const MemberRecord*> chosen;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen),
              options_.relay_count, random);
  std::vector<Target> relays;
  relays.reserve(chosen.size());
  for (const MemberRecord* record : chosen) relays.push_back(TargetOf(*record));
  return relays;
}

Ping MemberTable::MakePing(const HostId& to, TimePoint now) {
  DetectPause(now);
  const auto found = entries_.find(to);
  const bool should_synchronize =
      found != entries_.end() && found->second.has_different_digest;
  Ping ping;
  ping.is_joining = !has_joined_;
  ping.changes = SelectChanges(to, should_synchronize);
  ping.refutation_count = self_.refutation_count;
  ping.is_leaving = self_.is_leaving();
  ping.digest = digest_;
  return ping;
}

Ack MemberTable::HandlePing(const HostId& from, Incarnation incarnation,
                            const Ping& ping, TimePoint now) {
  DetectPause(now);
  for (const MemberRecord& record : ping.changes) MergeRecord(record, now);
  Ack ack;
  ack.is_sender_unknown = !MergeSenderState(
      from, incarnation, ping.refutation_count, ping.is_leaving, now);
  ack.changes = SelectChanges(from, ping.digest != digest_);
  if (ping.is_joining) {
    for (MemberRecord& record : RecordsForJoin())
      ack.changes.push_back(std::move(record));
  }
  ack.refutation_count = self_.refutation_count;
  ack.is_leaving = self_.is_leaving();
  ack.digest = digest_;
  return ack;
}

void MemberTable::HandleAck(const HostId& from, Incarnation incarnation,
                            const Ack& ack, TimePoint sent, TimePoint now) {
  DetectPause(now);
  const bool is_removed_at_peer = std::any_of(
      ack.changes.begin(), ack.changes.end(), [this](const MemberRecord& r) {
        return r.host == self_.host && r.state == RecordState::kRemoved;
      });
  for (const MemberRecord& record : ack.changes) MergeRecord(record, now);
  const bool is_known = MergeSenderState(
      from, incarnation, ack.refutation_count, ack.is_leaving, now);
  // The peer has no record of this incarnation and needs the full one.
  if (ack.is_sender_unknown) gossip_queue_.Add(self_.host);
  if (is_known) {
    has_joined_ = true;
    entries_[from].has_different_digest = ack.digest != digest_;
  }
  if (!ack.is_sender_unknown && !is_removed_at_peer)
    newest_acknowledgement_ = std::max(newest_acknowledgement_, sent);
}

void MemberTable::HandleProbeFailure(const Target& target, TimePoint sent,
                                     TimePoint now) {
  DetectPause(now);
  if (target.is_contact || sent < pause_end_) return;
  const auto found = entries_.find(target.host);
  if (found == entries_.end()) return;
  MemberRecord record = found->second.record;
  if (record.incarnation != target.incarnation ||
      record.refutation_count != target.refutation_count || record.is_suspect())
    return;
  record.state = ToSuspectState(record.state);
  ReplaceRecord(found->second, record, now);
}

void MemberTable::Tick(TimePoint now) {
  DetectPause(now);
  std::vector<HostId> expired;
  for (const HostId& host : suspects_) {
    if (entries_.at(host).suspicion_end <= now) expired.push_back(host);
  }
  for (const HostId& host : expired) RemoveMember(host, now);
  while (!tombstone_order_.empty()) {
    const auto found = tombstones_.find(tombstone_order_.front());
    if (found != tombstones_.end()) {
      if (found->second.expires_at > now) break;
      gossip_queue_.Remove(found->first);
      tombstones_.erase(found);
    }
    tombstone_order_.pop_front();
  }
}

void MemberTable::Leave() {
  if (self_.is_leaving()) return;
  MemberRecord record = self_;
  record.state = RecordState::kLeaving;
  ++record.refutation_count;
  SetSelf(record);
}

void MemberTable::DetectPause(TimePoint now) {
  if (last_call_time_ != TimePoint{} &&
      now - last_call_time_ > options_.pause_threshold) {
    pause_end_ = now;
    for (const HostId& host : suspects_)
      entries_.at(host).suspicion_end = now + suspicion_timeout();
  }
  last_call_time_ = std::max(last_call_time_, now);
}

void MemberTable::MergeRecord(const MemberRecord& record, TimePoint now) {
  if (record.host == self_.host) return MergeIntoSelf(record);
  if (const auto found = tombstones_.find(record.host);
      found != tombstones_.end())
    return MergeIntoTombstone(found->second, record, now);
  if (const auto found = entries_.find(record.host); found != entries_.end())
    return MergeIntoEntry(found->second, record, now);
  // Not gossiped: hosts that list the member wait for their own suspicion
  // timeout.
  if (record.state == RecordState::kRemoved) return AddTombstone(record, now);
  InsertMember(record, now);
}

void MemberTable::MergeIntoSelf(const MemberRecord& record) {
  // Another host still has the record of an earlier process of this host.
  if (record.incarnation < self_.incarnation) {
    gossip_queue_.Add(self_.host);
    return;
  }
  if (record.incarnation != self_.incarnation) return;
  if (IsNewer(record, self_)) Refute(record.refutation_count);
}

void MemberTable::MergeIntoTombstone(Tombstone& tombstone,
                                     const MemberRecord& record,
                                     TimePoint now) {
  if (!IsNewerIgnoringState(record, tombstone.record)) {
    // The sender's record is outdated; gossip the removal again.
    if (record.state != RecordState::kRemoved &&
        !gossip_queue_.contains(record.host))
      gossip_queue_.Add(record.host);
    return;
  }
  if (record.state == RecordState::kRemoved) {
    tombstone.record = record;
    return;
  }
  tombstones_.erase(record.host);
  std::erase(tombstone_order_, record.host);
  InsertMember(record, now);
}

void MemberTable::MergeIntoEntry(Entry& entry, MemberRecord record,
                                 TimePoint now) {
  if (record.state == RecordState::kRemoved)
    record.state = ToSuspectState(entry.record.state);
  if (IsNewer(record, entry.record)) return ReplaceRecord(entry, record, now);
  if (IsNewer(entry.record, record) && !gossip_queue_.contains(record.host))
    gossip_queue_.Add(record.host);
}

bool MemberTable::MergeSenderState(const HostId& from, Incarnation incarnation,
                                   std::uint32_t refutation_count,
                                   bool is_leaving, TimePoint now) {
  const auto found = entries_.find(from);
  if (found == entries_.end()) return false;
  MemberRecord record = found->second.record;
  if (record.incarnation != incarnation) return false;
  record.refutation_count = refutation_count;
  record.state = is_leaving ? RecordState::kLeaving : RecordState::kAlive;
  if (IsNewerIgnoringState(record, found->second.record))
    ReplaceRecord(found->second, record, now);
  return true;
}

void MemberTable::InsertMember(const MemberRecord& record, TimePoint now) {
  Entry& entry = entries_[record.host];
  entry.record.host = record.host;
  // ReplaceRecord() removes the hash of the previous record from the digest.
  digest_ ^= RecordHash(entry.record);
  ReplaceRecord(entry, record, now);
}

void MemberTable::ReplaceRecord(Entry& entry, const MemberRecord& record,
                                TimePoint now) {
  const bool was_suspect = entry.record.is_suspect();
  digest_ ^= RecordHash(entry.record) ^ RecordHash(record);
  // A greater refutation count refutes the current suspicion, so a suspicion
  // with that count starts a new timeout.
  const bool is_new_suspicion =
      !was_suspect || IsNewerIgnoringState(record, entry.record);
  entry.record = record;
  if (record.is_suspect()) {
    suspects_.insert(record.host);
    if (is_new_suspicion) entry.suspicion_end = now + suspicion_timeout();
  } else {
    suspects_.erase(record.host);
  }
  gossip_queue_.Add(record.host);
  ++view_version_;
}

void MemberTable::RemoveMember(const HostId& host, TimePoint now) {
  const auto found = entries_.find(host);
  MemberRecord record = found->second.record;
  digest_ ^= RecordHash(record);
  entries_.erase(found);
  suspects_.erase(host);
  record.state = RecordState::kRemoved;
  AddTombstone(std::move(record), now);
  gossip_queue_.Add(host);
  ++view_version_;
}

void MemberTable::AddTombstone(MemberRecord record, TimePoint now) {
  const HostId host = record.host;
  tombstones_[host] = {.record = std::move(record),
                       .expires_at = now + options_.tombstone_lifetime};
  tombstone_order_.push_back(host);
}

void MemberTable::Refute(std::uint32_t refuted_count) {
  MemberRecord record = self_;
  record.refutation_count = refuted_count + 1;
  SetSelf(record);
}

void MemberTable::SetSelf(const MemberRecord& record) {
  digest_ ^= RecordHash(self_) ^ RecordHash(record);
  self_ = record;
  gossip_queue_.Add(self_.host);
}

std::vector<MemberRecord> MemberTable::SelectChanges(const HostId& to,
                                                     bool should_synchronize) {
  std::vector<MemberRecord> changes;
  std::size_t bytes = 0;
  // A suspicion or removal of the receiver is always sent, and first, so that
  // the receiver can refute it at once.
  if (const auto found = entries_.find(to);
      found != entries_.end() && found->second.record.is_suspect())
    changes.push_back(found->second.record);
  if (const auto found = tombstones_.find(to); found != tombstones_.end())
    changes.push_back(found->second.record);
  for (const MemberRecord& record : changes) bytes += EncodedSizeBound(record);

  const auto try_add = [&](const MemberRecord& record) {
    if (bytes + EncodedSizeBound(record) > options_.max_change_bytes)
      return false;
    bytes += EncodedSizeBound(record);
    changes.push_back(record);
    return true;
  };
  gossip_queue_.Visit(transmit_limit(), [&](const HostId& host) {
    using enum GossipQueue::Decision;
    if (host == to) return kSkip;
    if (host == self_.host) return try_add(self_) ? kTake : kStop;
    if (const auto found = entries_.find(host); found != entries_.end())
      return try_add(found->second.record) ? kTake : kStop;
    if (const auto found = tombstones_.find(host); found != tombstones_.end())
      return try_add(found->second.record) ? kTake : kStop;
    return kTake;  // its tombstone has expired
  });
  if (!should_synchronize) return changes;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    auto next = entries_.upper_bound(synchronization_cursor_);
    if (next == entries_.end()) next = entries_.begin();
    if (next->first != to && !try_add(next->second.record)) break;
    synchronization_cursor_ = next->first;
  }
  return changes;
}

std::vector<MemberRecord> MemberTable::RecordsForJoin() const {
  std::vector<MemberRecord> records{self_};
  std::size_t bytes = EncodedSizeBound(self_);
  for (const auto& [host, entry] : entries_) {
    bytes += EncodedSizeBound(entry.record);
    if (bytes > options_.max_join_bytes) break;
    records.push_back(entry.record);
  }
  return records;
}

}  // namespace dogwood
