#include "Libraries/Usage/usage_row.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kMonthsPerYear = 12;
// Character positions in a month's name, YYYY-MM.
constexpr std::size_t kYearEnd = 4;
constexpr std::size_t kMonthStart = 5;
constexpr std::size_t kMonthEnd = 7;

}  // namespace

Month MonthOf(WallTime time) {
  const std::chrono::year_month_day date(
      std::chrono::floor<std::chrono::days>(time));
  return Month(static_cast<std::uint32_t>(static_cast<int>(date.year())) *
                   kMonthsPerYear +
               static_cast<unsigned>(date.month()) - 1);
}

WallTime StartOfMonth(Month month) {
  const std::chrono::year_month_day date(
      std::chrono::year(static_cast<int>(month.value() / kMonthsPerYear)),
      std::chrono::month(month.value() % kMonthsPerYear + 1),
      std::chrono::day(1));
  return WallTime(std::chrono::sys_days(date));
}

std::string FormatMonth(Month month) {
  return fmt::format("{:04}-{:02}", month.value() / kMonthsPerYear,
                     month.value() % kMonthsPerYear + 1);
}

std::optional<Month> ParseMonth(std::string_view name) {
  std::uint32_t year = 0;
  std::uint32_t month = 0;
  if (name.size() != kMonthEnd || name[kYearEnd] != '-') return std::nullopt;
  const char* text = name.data();
  if (std::from_chars(text, text + kYearEnd, year).ptr != text + kYearEnd ||
      std::from_chars(text + kMonthStart, text + kMonthEnd, month).ptr !=
          text + kMonthEnd)
    return std::nullopt;
  if (month < 1 || month > kMonthsPerYear) return std::nullopt;
  return Month(year * kMonthsPerYear + month - 1);
}

std::string UsageRowKeyPrefix(Month month) {
  return "usage/" + FormatMonth(month) + "/";
}

std::string UsageRow::key() const {
  return fmt::format("{}{}/{}", UsageRowKeyPrefix(month), host.value(),
                     incarnation.value());
}

std::string UsageRow::Encode() const {
  Json use_list = Json::array();
  for (const auto& [key, amount] : use)
    use_list.push_back({key.client_account.value(), key.service.value(),
                        amount.total, amount.reserved});
  Json peer_list = Json::array();
  for (const HostIncarnation& peer : peers)
    peer_list.push_back({peer.host.value(), peer.incarnation.value()});
  return Json{{"month", FormatMonth(month)},
              {"host", host.value()},
              {"incarnation", incarnation.value()},
              {"state", kUsageRowStateNames.NameOf(state)},
              {"sequence", sequence},
              {"block", default_reservation},
              {"peers", std::move(peer_list)},
              {"writer", writer.value()},
              {"wall", written_at.time_since_epoch().count()},
              {"use", std::move(use_list)}}
      .dump();
}

Result<UsageRow> UsageRow::Parse(std::string_view json) {
  try {
    const Json value = Json::parse(json);
    UsageRow row;
    const auto month = ParseMonth(value.at("month").get<std::string>());
    const auto state =
        kUsageRowStateNames.FindValue(value.at("state").get<std::string>());
    if (!month || !state)
      return Fail(ErrorCode::kProtocol,
                  "usage row has an invalid month or an unknown state");
    row.month = *month;
    row.state = *state;
    row.host = HostId(value.at("host").get<std::string>());
    row.incarnation = Incarnation(value.at("incarnation").get<std::uint64_t>());
    row.sequence = value.at("sequence").get<std::uint64_t>();
    row.default_reservation = value.at("block").get<std::uint64_t>();
    row.writer = HostId(value.at("writer").get<std::string>());
    row.written_at = WallTime(
        std::chrono::microseconds(value.at("wall").get<std::int64_t>()));
    for (const Json& peer : value.at("peers"))
      row.peers.push_back({HostId(peer.at(0).get<std::string>()),
                           Incarnation(peer.at(1).get<std::uint64_t>())});
    for (const Json& entry : value.at("use")) {
      const UsageAmount amount{entry.at(2).get<std::uint64_t>(),
                               entry.at(3).get<std::uint64_t>()};
      row.use[{ClientAccountId(entry.at(0).get<std::string>()),
               ServiceId(entry.at(1).get<std::string>())}] = amount;
    }
    return row;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                std::string("cannot parse usage row: ") + error.what());
  }
}

void UsageRow::Merge(const UsageRow& other) {
  VERIFY(key() == other.key());
  const bool is_closed =
      state == UsageRowState::kClosed || other.state == UsageRowState::kClosed;
  if (other.sequence > sequence) {
    sequence = other.sequence;
    peers = other.peers;
    state = other.state;
    writer = other.writer;
    written_at = other.written_at;
  }
  default_reservation =
      std::max(default_reservation, other.default_reservation);
  for (const auto& [key, amount] : other.use) {
    UsageAmount& merged = use[key];
    merged.total = std::max(merged.total, amount.total);
    merged.reserved = std::max(merged.reserved, amount.reserved);
  }
  if (!is_closed) return;
  state = UsageRowState::kClosed;
  default_reservation = 0;
  for (auto& [key, amount] : use) amount.reserved = amount.total;
}

}  // namespace dogwood
