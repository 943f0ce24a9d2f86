#include "Libraries/Idempotency/claim_rows.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;

constexpr int kDecimalBase = 10;
constexpr int kHexadecimalBase = 16;
constexpr std::size_t kHexDigitsPerNumber = 16;  // of 64 bits
constexpr std::size_t kStateDigits = 1;
constexpr std::size_t kStatusDigits = 3;
// Both halves of the key hash, the claimant, the state and the status.
constexpr std::size_t kEncodedRecordLength =
    3 * kHexDigitsPerNumber + kStateDigits + kStatusDigits;

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::int64_t ToMicroseconds(WallTime time) {
  return time.time_since_epoch().count();
}
WallTime FromMicroseconds(std::int64_t microseconds) {
  return WallTime(std::chrono::microseconds(microseconds));
}

std::string EncodeRecord(const ClaimRecord& record) {
  return fmt::format("{:016x}{:016x}{:016x}{}{:03}", record.key.high,
                     record.key.low, record.claimant.value(),
                     static_cast<int>(record.state), record.status);
}

std::optional<ClaimRecord> ParseRecord(std::string_view text) {
  if (text.size() != kEncodedRecordLength) return std::nullopt;
  const auto high =
      ParseNumber(text.substr(0, kHexDigitsPerNumber), kHexadecimalBase);
  const auto low = ParseNumber(
      text.substr(kHexDigitsPerNumber, kHexDigitsPerNumber), kHexadecimalBase);
  const auto claimant =
      ParseNumber(text.substr(2 * kHexDigitsPerNumber, kHexDigitsPerNumber),
                  kHexadecimalBase);
  const auto state = ParseNumber(
      text.substr(3 * kHexDigitsPerNumber, kStateDigits), kDecimalBase);
  const auto status = ParseNumber(
      text.substr(3 * kHexDigitsPerNumber + kStateDigits), kDecimalBase);
  if (!high || !low || !claimant || !state || !status) return std::nullopt;
  if (*state > static_cast<std::uint64_t>(ClaimState::kUnknown))
    return std::nullopt;
  return ClaimRecord{{*high, *low},
                     ClaimantId(*claimant),
                     static_cast<ClaimState>(*state),
                     static_cast<std::uint16_t>(*status)};
}

}  // namespace

IdempotencyKeyHash HashIdempotencyKey(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

ClaimShardId ShardOfKey(const IdempotencyKeyHash& key) {
  return ClaimShardId(static_cast<std::uint32_t>(key.high % kClaimShardCount));
}

ClaimantId MakeClaimantId(const HostId& host, Incarnation incarnation,
                          std::uint64_t counter) {
  const std::string text =
      fmt::format("{}/{}/{}", host.value(), incarnation.value(), counter);
  return ClaimantId(XXH3_64bits(text.data(), text.size()));
}

std::optional<HostId> SelectShardHolder(ClaimShardId shard,
                                        std::span<const HostId> live) {
  std::optional<HostId> preferred;
  std::uint64_t greatest_weight = 0;
  for (const HostId& host : live) {
    const std::uint64_t weight = XXH3_64bits_withSeed(
        host.value().data(), host.value().size(), shard.value());
    if (!preferred || weight > greatest_weight ||
        (weight == greatest_weight && host < *preferred)) {
      preferred = host;
      greatest_weight = weight;
    }
  }
  return preferred;
}

std::string ClaimRow::Encode() const {
  Json shards = Json::array();
  for (const auto& [shard, epoch] : epochs)
    shards.push_back({shard.value(), epoch});
  Json record_list = Json::array();
  for (const ClaimRecord& record : records)
    record_list.push_back(EncodeRecord(record));
  return Json{{"wall", ToMicroseconds(written_at)},
              {"shards", shards},
              {"records", record_list}}
      .dump();
}

Result<ClaimRow> ClaimRow::Parse(std::string_view json) {
  try {
    const Json value = Json::parse(json);
    ClaimRow row;
    row.written_at = FromMicroseconds(value.at("wall").get<std::int64_t>());
    for (const Json& pair : value.at("shards")) {
      row.epochs[ClaimShardId(pair.at(0).get<std::uint32_t>())] =
          pair.at(1).get<std::uint64_t>();
    }
    for (const Json& text : value.at("records")) {
      const auto record = ParseRecord(text.get_ref<const std::string&>());
      if (!record)
        return Fail(ErrorCode::kProtocol,
                    fmt::format("record {} of the claim row is malformed",
                                row.records.size()));
      row.records.push_back(*record);
    }
    return row;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                std::string("cannot parse claim row: ") + error.what());
  }
}

std::string ClaimShardRow::Encode() const {
  Json holder_list = Json::array();
  for (const FormerHolder& former_holder : former_holders) {
    Json entry{{"host", former_holder.host.value()},
               {"incarnation", former_holder.incarnation.value()},
               {"since", former_holder.first_sequence},
               {"until", ToMicroseconds(former_holder.replaced_at)}};
    if (former_holder.last_sequence)
      entry["newest"] = *former_holder.last_sequence;
    holder_list.push_back(std::move(entry));
  }
  return Json{{"epoch", epoch},
              {"holder", holder.value()},
              {"incarnation", incarnation.value()},
              {"since", first_sequence},
              {"former", std::move(holder_list)}}
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
    parsed.first_sequence = value.at("since").get<std::uint64_t>();
    for (const Json& entry : value.at("former")) {
      FormerHolder former_holder;
      former_holder.host = HostId(entry.at("host").get<std::string>());
      former_holder.incarnation =
          Incarnation(entry.at("incarnation").get<std::uint64_t>());
      former_holder.first_sequence = entry.at("since").get<std::uint64_t>();
      former_holder.replaced_at =
          FromMicroseconds(entry.at("until").get<std::int64_t>());
      if (entry.contains("newest"))
        former_holder.last_sequence = entry.at("newest").get<std::uint64_t>();
      parsed.former_holders.push_back(std::move(former_holder));
    }
    return parsed;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                "cannot parse " + row.key + ": " + error.what());
  }
}

ClaimShardRow ClaimShardRow::TakenOverBy(const HostId& host,
                                         Incarnation new_incarnation,
                                         std::uint64_t next_sequence,
                                         WallTime now,
                                         WallTime forget_before) const {
  ClaimShardRow next_row;
  next_row.epoch = epoch + 1;
  next_row.holder = host;
  next_row.incarnation = new_incarnation;
  next_row.first_sequence = next_sequence;
  for (const FormerHolder& former_holder : former_holders) {
    if (former_holder.replaced_at >= forget_before)
      next_row.former_holders.push_back(former_holder);
  }
  if (holder.value().empty()) return next_row;
  const auto existing = std::find_if(
      next_row.former_holders.begin(), next_row.former_holders.end(),
      [this](const FormerHolder& candidate) {
        return candidate.host == holder && candidate.incarnation == incarnation;
      });
  if (existing == next_row.former_holders.end()) {
    next_row.former_holders.push_back(
        {holder, incarnation, first_sequence, std::nullopt, now});
  } else {
    existing->first_sequence =
        std::min(existing->first_sequence, first_sequence);
    existing->last_sequence.reset();
    existing->replaced_at = now;
  }
  return next_row;
}

std::string ClaimShardRowKey(ClaimShardId shard) {
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
  return ParseNumber(row_key.substr(slash + 1), kDecimalBase);
}

}  // namespace dogwood
