#include "Libraries/Membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dogwood {
namespace {

// A record is told to others at most this factor * log2(members + 2) times.
// Pings and acknowledgements both count, and differing digests make up for what
// a rumour misses.
constexpr double kSendFactor = 1.5;
// Tries to find a contact that is no member yet, which bounds the cost of a
// probe on a long host list.
constexpr int kContactTries = 8;

std::uint32_t HashOf(const MemberRecord& record) {
  const std::uint64_t seed =
      record.incarnation.value() * 31 + std::uint64_t{record.refutations} * 2 +
      static_cast<std::uint64_t>(record.is_leaving() ? 1 : 0);
  const std::string& host = record.host.value();
  return static_cast<std::uint32_t>(
      XXH64(host.data(), host.size(), static_cast<XXH64_hash_t>(seed)));
}

MemberState StateOf(const MemberRecord& record) {
  if (record.is_leaving()) return MemberState::kLeaving;
  return record.is_suspect() ? MemberState::kSuspect : MemberState::kAlive;
}

RumourState SuspectFormOf(RumourState state) {
  const bool is_leaving =
      state == RumourState::kLeaving || state == RumourState::kLeavingSuspect;
  return is_leaving ? RumourState::kLeavingSuspect : RumourState::kSuspect;
}

MemberTable::Target TargetOf(const MemberRecord& record) {
  return {.host = record.host,
          .peer_address = record.peer_address,
          .incarnation = record.incarnation,
          .refutations = record.refutations};
}

}  // namespace

MemberTable::MemberTable(MemberRecord self, Options options)
    : self_(std::move(self)),
      options_(options),
      fill_cursor_(self_.host),
      digest_(HashOf(self_)) {
  queue_.Add(self_.host);
}

std::vector<Member> MemberTable::members() const {
  std::vector<Member> members;
  members.reserve(entries_.size());
  for (const auto& [host, entry] : entries_) {
    members.push_back({.host = host,
                       .zone = entry.record.zone,
                       .incarnation = entry.record.incarnation,
                       .state = StateOf(entry.record),
                       .peer_address = entry.record.peer_address});
  }
  return members;
}

const MemberRecord* MemberTable::RecordOf(const HostId& host) const {
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

unsigned MemberTable::send_limit() const {
  return static_cast<unsigned>(std::ceil(
      kSendFactor * std::log2(static_cast<double>(entries_.size()) + 2)));
}

void MemberTable::SetContacts(std::vector<Contact> contacts) {
  contacts_ = std::move(contacts);
}

std::optional<MemberTable::Target> MemberTable::NextProbe(
    TimePoint now, RandomEngine& random) {
  NoteTime(now);
  const bool is_contact_turn = probes_++ % options_.contact_interval == 0;
  if (is_contact_turn || entries_.empty()) {
    if (auto contact = ChooseContact(random)) return contact;
  }
  // Each member once per round in random order, which bounds the time until a
  // failed host is pinged.
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
  if (!removed_order_.empty() && (contacts_.empty() || pick(2) == 0)) {
    const auto found =
        removed_.find(removed_order_[pick(removed_order_.size())]);
    if (found != removed_.end()) {
      Target target = TargetOf(found->second.record);
      target.is_contact = true;
      return target;
    }
  }
  for (int i = 0; i < kContactTries && !contacts_.empty(); ++i) {
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
              options_.relays, random);
  std::vector<Target> relays;
  relays.reserve(chosen.size());
  for (const MemberRecord* record : chosen) relays.push_back(TargetOf(*record));
  return relays;
}

Ping MemberTable::MakePing(const HostId& to, TimePoint now) {
  NoteTime(now);
  const auto found = entries_.find(to);
  const bool should_fill =
      found != entries_.end() && found->second.has_other_digest;
  Ping ping;
  ping.is_joining = !has_joined_;
  ping.changes = ChooseChanges(to, should_fill);
  ping.refutations = self_.refutations;
  ping.is_leaving = self_.is_leaving();
  ping.digest = digest_;
  return ping;
}

Ack MemberTable::HandlePing(const HostId& from, Incarnation incarnation,
                            const Ping& ping, TimePoint now) {
  NoteTime(now);
  for (const MemberRecord& record : ping.changes) Apply(record, now);
  Ack ack;
  ack.is_unknown =
      !ApplyDirect(from, incarnation, ping.refutations, ping.is_leaving, now);
  ack.changes = ChooseChanges(from, ping.digest != digest_);
  if (ping.is_joining) {
    for (MemberRecord& record : WholeTable())
      ack.changes.push_back(std::move(record));
  }
  ack.refutations = self_.refutations;
  ack.is_leaving = self_.is_leaving();
  ack.digest = digest_;
  return ack;
}

void MemberTable::HandleAck(const HostId& from, Incarnation incarnation,
                            const Ack& ack, TimePoint sent, TimePoint now) {
  NoteTime(now);
  const bool is_removed_there = std::any_of(
      ack.changes.begin(), ack.changes.end(), [this](const MemberRecord& r) {
        return r.host == self_.host && r.state == RumourState::kRemoved;
      });
  for (const MemberRecord& record : ack.changes) Apply(record, now);
  const bool is_known =
      ApplyDirect(from, incarnation, ack.refutations, ack.is_leaving, now);
  // The peer needs the full record of this host, or of a member that moved.
  if (ack.is_unknown) queue_.Add(self_.host);
  if (is_known) {
    has_joined_ = true;
    entries_[from].has_other_digest = ack.digest != digest_;
  }
  if (!ack.is_unknown && !is_removed_there)
    newest_acknowledgement_ = std::max(newest_acknowledgement_, sent);
}

void MemberTable::HandleNoAnswer(const Target& target, TimePoint sent,
                                 TimePoint now) {
  NoteTime(now);
  if (target.is_contact || sent < pause_end_) return;
  const auto found = entries_.find(target.host);
  if (found == entries_.end()) return;
  MemberRecord record = found->second.record;
  if (record.incarnation != target.incarnation ||
      record.refutations != target.refutations || record.is_suspect())
    return;
  record.state = SuspectFormOf(record.state);
  Store(found->second, record, now);
}

void MemberTable::Tick(TimePoint now) {
  NoteTime(now);
  std::vector<HostId> expired;
  for (const HostId& host : suspects_) {
    if (entries_.at(host).suspicion_end <= now) expired.push_back(host);
  }
  for (const HostId& host : expired) RemoveMember(host, now);
  while (!removed_order_.empty()) {
    const auto found = removed_.find(removed_order_.front());
    if (found != removed_.end()) {
      if (found->second.forget_at > now) break;
      queue_.Remove(found->first);
      removed_.erase(found);
    }
    removed_order_.pop_front();
  }
}

void MemberTable::Leave() {
  if (self_.is_leaving()) return;
  MemberRecord record = self_;
  record.state = RumourState::kLeaving;
  ++record.refutations;
  SetSelf(record);
}

void MemberTable::NoteTime(TimePoint now) {
  if (newest_call_ != TimePoint{} &&
      now - newest_call_ > options_.pause_limit) {
    pause_end_ = now;
    for (const HostId& host : suspects_)
      entries_.at(host).suspicion_end = now + suspicion_timeout();
  }
  newest_call_ = std::max(newest_call_, now);
}

void MemberTable::Apply(const MemberRecord& record, TimePoint now) {
  if (record.host == self_.host) return ApplyToSelf(record);
  if (const auto found = removed_.find(record.host); found != removed_.end())
    return ApplyToRemoved(found->second, record, now);
  if (const auto found = entries_.find(record.host); found != entries_.end())
    return ApplyToEntry(found->second, record, now);
  // Not passed on: whoever knew the host counts its own suspicion timeout.
  if (record.state == RumourState::kRemoved)
    return RememberRemoved(record, now);
  Insert(record, now);
}

void MemberTable::ApplyToSelf(const MemberRecord& record) {
  // An earlier process of this host may still be remembered.
  if (record.incarnation < self_.incarnation) {
    queue_.Add(self_.host);
    return;
  }
  if (record.incarnation != self_.incarnation) return;
  if (IsNewer(record, self_)) Refute(record.refutations);
}

void MemberTable::ApplyToRemoved(Removed& removed, const MemberRecord& record,
                                 TimePoint now) {
  if (!IsLaterLife(record, removed.record)) {
    // The sender holds an older view; the queue tells it.
    if (record.state != RumourState::kRemoved && !queue_.contains(record.host))
      queue_.Add(record.host);
    return;
  }
  if (record.state == RumourState::kRemoved) {
    removed.record = record;
    return;
  }
  removed_.erase(record.host);
  std::erase(removed_order_, record.host);
  Insert(record, now);
}

void MemberTable::ApplyToEntry(Entry& entry, MemberRecord record,
                               TimePoint now) {
  if (record.state == RumourState::kRemoved)
    record.state = SuspectFormOf(entry.record.state);
  if (IsNewer(record, entry.record)) return Store(entry, record, now);
  if (IsNewer(entry.record, record) && !queue_.contains(record.host))
    queue_.Add(record.host);
}

bool MemberTable::ApplyDirect(const HostId& from, Incarnation incarnation,
                              std::uint32_t refutations, bool is_leaving,
                              TimePoint now) {
  const auto found = entries_.find(from);
  if (found == entries_.end()) return false;
  MemberRecord record = found->second.record;
  if (record.incarnation != incarnation) return false;
  record.refutations = refutations;
  record.state = is_leaving ? RumourState::kLeaving : RumourState::kAlive;
  if (IsLaterLife(record, found->second.record))
    Store(found->second, record, now);
  return true;
}

void MemberTable::Insert(const MemberRecord& record, TimePoint now) {
  Entry& entry = entries_[record.host];
  entry.record.host = record.host;
  // Store() takes the hash of the former record out of the digest.
  digest_ ^= HashOf(entry.record);
  Store(entry, record, now);
}

void MemberTable::Store(Entry& entry, const MemberRecord& record,
                        TimePoint now) {
  const bool was_suspect = entry.record.is_suspect();
  digest_ ^= HashOf(entry.record) ^ HashOf(record);
  // A raised counter refutes the running suspicion, so a new one starts anew.
  const bool is_new_suspicion =
      !was_suspect || IsLaterLife(record, entry.record);
  entry.record = record;
  if (record.is_suspect()) {
    suspects_.insert(record.host);
    if (is_new_suspicion) entry.suspicion_end = now + suspicion_timeout();
  } else {
    suspects_.erase(record.host);
  }
  queue_.Add(record.host);
  ++view_version_;
}

void MemberTable::RemoveMember(const HostId& host, TimePoint now) {
  const auto found = entries_.find(host);
  MemberRecord record = found->second.record;
  digest_ ^= HashOf(record);
  entries_.erase(found);
  suspects_.erase(host);
  record.state = RumourState::kRemoved;
  RememberRemoved(std::move(record), now);
  queue_.Add(host);
  ++view_version_;
}

void MemberTable::RememberRemoved(MemberRecord record, TimePoint now) {
  const HostId host = record.host;
  removed_[host] = {.record = std::move(record),
                    .forget_at = now + options_.removed_lifetime};
  removed_order_.push_back(host);
}

void MemberTable::Refute(std::uint32_t above) {
  MemberRecord record = self_;
  record.refutations = above + 1;
  SetSelf(record);
}

void MemberTable::SetSelf(const MemberRecord& record) {
  digest_ ^= HashOf(self_) ^ HashOf(record);
  self_ = record;
  queue_.Add(self_.host);
}

std::vector<MemberRecord> MemberTable::ChooseChanges(const HostId& to,
                                                     bool should_fill) {
  std::vector<MemberRecord> changes;
  std::size_t bytes = 0;
  // What is held against the receiver comes first and always, so that it can
  // refute at once.
  if (const auto found = entries_.find(to);
      found != entries_.end() && found->second.record.is_suspect())
    changes.push_back(found->second.record);
  if (const auto found = removed_.find(to); found != removed_.end())
    changes.push_back(found->second.record);
  for (const MemberRecord& record : changes) bytes += EncodedSize(record);

  const auto try_add = [&](const MemberRecord& record) {
    if (bytes + EncodedSize(record) > options_.change_bytes) return false;
    bytes += EncodedSize(record);
    changes.push_back(record);
    return true;
  };
  queue_.Visit(send_limit(), [&](const HostId& host) {
    using enum ChangeQueue::Choice;
    if (host == to) return kSkip;
    if (host == self_.host) return try_add(self_) ? kTake : kStop;
    if (const auto found = entries_.find(host); found != entries_.end())
      return try_add(found->second.record) ? kTake : kStop;
    if (const auto found = removed_.find(host); found != removed_.end())
      return try_add(found->second.record) ? kTake : kStop;
    return kTake;  // forgotten meanwhile
  });
  if (!should_fill) return changes;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    auto next = entries_.upper_bound(fill_cursor_);
    if (next == entries_.end()) next = entries_.begin();
    if (next->first != to && !try_add(next->second.record)) break;
    fill_cursor_ = next->first;
  }
  return changes;
}

std::vector<MemberRecord> MemberTable::WholeTable() const {
  std::vector<MemberRecord> records{self_};
  std::size_t bytes = EncodedSize(self_);
  for (const auto& [host, entry] : entries_) {
    bytes += EncodedSize(entry.record);
    if (bytes > options_.join_bytes) break;
    records.push_back(entry.record);
  }
  return records;
}

}  // namespace dogwood
