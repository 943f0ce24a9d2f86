#include "Libraries/Idempotency/claim_rows.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kHexDigits = 16;
// key, claimant, state digit, status
constexpr std::size_t kRecordLength = 3 * kHexDigits + 1 + 3;

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::int64_t Micros(WallTime time) { return time.time_since_epoch().count(); }
WallTime FromMicros(std::int64_t micros) {
  return WallTime(std::chrono::microseconds(micros));
}

std::string EncodeRecord(const ClaimRecord& record) {
  return fmt::format("{:016x}{:016x}{:016x}{}{:03}", record.key.high,
                     record.key.low, record.claimant.value(),
                     static_cast<int>(record.state), record.status);
}

std::optional<ClaimRecord> ParseRecord(std::string_view text) {
  if (text.size() != kRecordLength) return std::nullopt;
  const auto high = ParseNumber(text.substr(0, kHexDigits), 16);
  const auto low = ParseNumber(text.substr(kHexDigits, kHexDigits), 16);
  const auto claimant =
      ParseNumber(text.substr(2 * kHexDigits, kHexDigits), 16);
  const auto state = ParseNumber(text.substr(3 * kHexDigits, 1), 10);
  const auto status = ParseNumber(text.substr(3 * kHexDigits + 1), 10);
  if (!high || !low || !claimant || !state || !status) return std::nullopt;
  if (*state > static_cast<std::uint64_t>(ClaimState::kUnknown))
    return std::nullopt;
  return ClaimRecord{{*high, *low},
                     ClaimantId(*claimant),
                     static_cast<ClaimState>(*state),
                     static_cast<std::uint16_t>(*status)};
}

}  // namespace

ClaimKeyHash HashClaimKey(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

ClaimShardId ShardOf(const ClaimKeyHash& key) {
  return ClaimShardId(static_cast<std::uint32_t>(key.high % kClaimShardCount));
}

ClaimantId MakeClaimantId(const HostId& host, Incarnation incarnation,
                          std::uint64_t counter) {
  const std::string text =
      fmt::format("{}/{}/{}", host.value(), incarnation.value(), counter);
  return ClaimantId(XXH3_64bits(text.data(), text.size()));
}

std::optional<HostId> RendezvousHolder(ClaimShardId shard,
                                       std::span<const HostId> live) {
  std::optional<HostId> best;
  std::uint64_t best_weight = 0;
  for (const HostId& host : live) {
    const std::uint64_t weight = XXH3_64bits_withSeed(
        host.value().data(), host.value().size(), shard.value());
    if (!best || weight > best_weight ||
        (weight == best_weight && host < *best)) {
      best = host;
      best_weight = weight;
    }
  }
  return best;
}

std::string ClaimRow::Encode() const {
  Json shards = Json::array();
  for (const auto& [shard, epoch] : epochs)
    shards.push_back({shard.value(), epoch});
  Json list = Json::array();
  for (const ClaimRecord& record : records)
    list.push_back(EncodeRecord(record));
  return Json{{"wall", Micros(wall)}, {"shards", shards}, {"records", list}}
      .dump();
}

Result<ClaimRow> ClaimRow::Parse(std::string_view json) {
  try {
    const Json value = Json::parse(json);
    ClaimRow row;
    row.wall = FromMicros(value.at("wall").get<std::int64_t>());
    for (const Json& pair : value.at("shards")) {
      row.epochs[ClaimShardId(pair.at(0).get<std::uint32_t>())] =
          pair.at(1).get<std::uint64_t>();
    }
    for (const Json& text : value.at("records")) {
      const auto record = ParseRecord(text.get_ref<const std::string&>());
      if (!record) return Fail(ErrorCode::kProtocol, "malformed claim record");
      row.records.push_back(*record);
    }
    return row;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol, error.what());
  }
}

std::string ClaimShardRow::Encode() const {
  Json list = Json::array();
  for (const FormerHolder& holder_before : former) {
    Json entry{{"host", holder_before.host.value()},
               {"incarnation", holder_before.incarnation.value()},
               {"since", holder_before.since},
               {"until", Micros(holder_before.until)}};
    if (holder_before.newest) entry["newest"] = *holder_before.newest;
    list.push_back(std::move(entry));
  }
  return Json{{"epoch", epoch},
              {"holder", holder.value()},
              {"incarnation", incarnation.value()},
              {"since", since},
              {"former", std::move(list)}}
      .dump();
}

Result<ClaimShardRow> ClaimShardRow::Parse(const TableRow& row) {
  ClaimShardRow parsed;
  if (row.version == 0) return parsed;
  try {
    const Json value = Json::parse(row.value);
    parsed.epoch = value.at("epoch").get<std::uint64_t>();
    parsed.holder = HostId(value.at("holder").get<std::string>());
    parsed.incarnation =
        Incarnation(value.at("incarnation").get<std::uint64_t>());
    parsed.since = value.at("since").get<std::uint64_t>();
    for (const Json& entry : value.at("former")) {
      FormerHolder holder_before;
      holder_before.host = HostId(entry.at("host").get<std::string>());
      holder_before.incarnation =
          Incarnation(entry.at("incarnation").get<std::uint64_t>());
      holder_before.since = entry.at("since").get<std::uint64_t>();
      holder_before.until = FromMicros(entry.at("until").get<std::int64_t>());
      if (entry.contains("newest"))
        holder_before.newest = entry.at("newest").get<std::uint64_t>();
      parsed.former.push_back(std::move(holder_before));
    }
    return parsed;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol, row.key + ": " + error.what());
  }
}

ClaimShardRow ClaimShardRow::TakenOverBy(const HostId& host,
                                         Incarnation new_incarnation,
                                         std::uint64_t next_sequence,
                                         WallTime now,
                                         WallTime forget_before) const {
  ClaimShardRow next;
  next.epoch = epoch + 1;
  next.holder = host;
  next.incarnation = new_incarnation;
  next.since = next_sequence;
  for (const FormerHolder& holder_before : former) {
    if (holder_before.until >= forget_before)
      next.former.push_back(holder_before);
  }
  if (holder.value().empty()) return next;
  const auto same = std::find_if(next.former.begin(), next.former.end(),
                                 [this](const FormerHolder& candidate) {
                                   return candidate.host == holder &&
                                          candidate.incarnation == incarnation;
                                 });
  if (same == next.former.end()) {
    next.former.push_back({holder, incarnation, since, std::nullopt, now});
  } else {
    same->since = std::min(same->since, since);
    same->newest.reset();
    same->until = now;
  }
  return next;
}

std::string ClaimShardKey(ClaimShardId shard) {
  return fmt::format("claim-shard/{:02}", shard.value());
}

std::string ClaimRowPrefix(const HostId& host, Incarnation incarnation) {
  return fmt::format("claim/{}/{}/", host.value(), incarnation.value());
}

std::string ClaimRowKey(const HostId& host, Incarnation incarnation,
                        std::uint64_t sequence) {
  return fmt::format("{}{:012}", ClaimRowPrefix(host, incarnation), sequence);
}

std::optional<std::uint64_t> ClaimRowSequence(std::string_view row_key) {
  const std::size_t slash = row_key.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  return ParseNumber(row_key.substr(slash + 1), 10);
}

}  // namespace dogwood
