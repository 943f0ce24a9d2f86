#include "Libraries/Usage/usage_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;

std::string NumberOr(const std::optional<std::uint64_t>& number,
                     std::string_view otherwise) {
  return number ? std::to_string(*number) : std::string(otherwise);
}

std::string_view StandingOf(const UsageLine& line) {
  if (!line.agreed) return "no agreement";
  if (line.low > *line.agreed) return "over";
  if (!line.high || *line.high > *line.agreed) return "maybe over";
  return "within";
}

// Quotes a field when it holds a separator (RFC 4180).
std::string CsvField(const std::string& text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos) return text;
  std::string quoted = "\"";
  for (const char character : text) {
    quoted += character;
    if (character == '"') quoted += '"';
  }
  return quoted + "\"";
}

Json ToJson(const UsageLine& line) {
  Json json{{"party", line.key.party.value()},
            {"service", line.key.service.value()},
            {"agreed", nullptr},
            {"low", line.low},
            {"high", nullptr},
            {"standing", StandingOf(line)}};
  if (line.agreed) json["agreed"] = *line.agreed;
  if (line.high) json["high"] = *line.high;
  return json;
}

std::optional<std::uint64_t> OptionalNumber(const Json& json) {
  if (json.is_null()) return std::nullopt;
  return json.get<std::uint64_t>();
}

// What is known of one incarnation's use.
enum class RowKnowledge { kExact, kBounded, kUnbounded };

RowKnowledge KnowledgeOf(const UsageRow& row,
                         const LiveIncarnations& confirmed) {
  if (row.state == UsageRowState::kClosed) return RowKnowledge::kExact;
  if (row.state == UsageRowState::kAdopted || row.peers.empty() ||
      confirmed.contains({row.host, row.incarnation}))
    return RowKnowledge::kBounded;
  return RowKnowledge::kUnbounded;
}

}  // namespace

Result<UsageReport> UsageReport::Build(Month month,
                                       std::span<const TableRow> rows,
                                       const Agreements& agreements,
                                       const LiveIncarnations& confirmed) {
  UsageReport report;
  report.month_ = month;
  std::map<UsageKey, UsageLine> lines;
  for (const auto& [key, agreed] : agreements) lines[key].agreed = agreed;
  std::vector<UsageRow> parsed;
  for (const TableRow& row : rows) {
    TRY_ASSIGN(UsageRow value, UsageRow::Parse(row.value));
    if (value.month != month || value.key() != row.key)
      return Fail(ErrorCode::kProtocol, row.key + " holds another row's value");
    for (const auto& [key, amount] : value.use) lines[key];
    parsed.push_back(std::move(value));
  }
  for (const UsageRow& row : parsed) {
    const RowKnowledge knowledge = KnowledgeOf(row, confirmed);
    for (auto& [key, line] : lines) {
      const auto listed = row.use.find(key);
      const UsageAmount amount =
          listed == row.use.end() ? UsageAmount{0, row.block} : listed->second;
      line.low += amount.total;
      if (knowledge == RowKnowledge::kUnbounded) line.high.reset();
      if (line.high)
        *line.high +=
            knowledge == RowKnowledge::kExact ? amount.total : amount.reserved;
    }
    if (knowledge == RowKnowledge::kExact) continue;
    report.events_.push_back(fmt::format(
        "{}/{} {}: {}", row.host.value(), row.incarnation.value(),
        kUsageRowStateNames.NameOf(row.state),
        knowledge == RowKnowledge::kUnbounded
            ? "unbounded, no peer has written its newest reservation"
        : row.state == UsageRowState::kAdopted
            ? "vanished, written by " + row.writer.value()
            : std::string("up to its reservation")));
  }
  for (auto& [key, line] : lines) {
    line.key = key;
    report.lines_.push_back(std::move(line));
  }
  std::sort(report.events_.begin(), report.events_.end());
  return report;
}

bool UsageReport::is_exact() const {
  return std::all_of(lines_.begin(), lines_.end(), [](const UsageLine& line) {
    return line.high == line.low;
  });
}

std::string UsageReport::Render(UsageFormat format) const {
  if (format == UsageFormat::kJson) return SnapshotText();
  std::string text;
  if (format == UsageFormat::kCsv) {
    text = "month,party,service,agreed,low,high,standing\n";
    for (const UsageLine& line : lines_) {
      text += fmt::format("{},{},{},{},{},{},{}\n", MonthName(month_),
                          CsvField(line.key.party.value()),
                          CsvField(line.key.service.value()),
                          NumberOr(line.agreed, ""), line.low,
                          NumberOr(line.high, "unbounded"), StandingOf(line));
    }
    return text;
  }
  constexpr std::string_view kColumns =
      "{:<24} {:<20} {:>12} {:>12} {:>12}  {}\n";
  text = fmt::format("Usage {}\n", MonthName(month_));
  text += fmt::format(kColumns, "party", "service", "agreed", "low", "high",
                      "standing");
  for (const UsageLine& line : lines_) {
    text +=
        fmt::format(kColumns, line.key.party.value(), line.key.service.value(),
                    NumberOr(line.agreed, "-"), line.low,
                    NumberOr(line.high, "unbounded"), StandingOf(line));
  }
  for (const std::string& event : events_) text += "! " + event + "\n";
  return text;
}

std::string UsageReport::SnapshotText() const {
  Json list = Json::array();
  for (const UsageLine& line : lines_) list.push_back(ToJson(line));
  return Json{{"month", MonthName(month_)},
              {"lines", std::move(list)},
              {"events", events_}}
             .dump(2) +
         "\n";
}

Result<UsageReport> UsageReport::ParseSnapshot(std::string_view text) {
  try {
    const Json value = Json::parse(text);
    UsageReport report;
    const auto month = ParseMonth(value.at("month").get<std::string>());
    if (!month) return Fail(ErrorCode::kProtocol, "snapshot of no month");
    report.month_ = *month;
    for (const Json& entry : value.at("lines")) {
      UsageLine line;
      line.key = {PartyId(entry.at("party").get<std::string>()),
                  ServiceId(entry.at("service").get<std::string>())};
      line.agreed = OptionalNumber(entry.at("agreed"));
      line.low = entry.at("low").get<std::uint64_t>();
      line.high = OptionalNumber(entry.at("high"));
      if (line.high && *line.high < line.low)
        return Fail(ErrorCode::kProtocol, "snapshot line with high below low");
      report.lines_.push_back(std::move(line));
    }
    report.events_ = value.at("events").get<std::vector<std::string>>();
    return report;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol, error.what());
  }
}

Result<UsageReport> UsageReport::VerifySnapshot(
    std::string_view text, std::string_view digest,
    std::string_view recorded_digest) {
  if (digest != recorded_digest)
    return Fail(ErrorCode::kProtocol,
                fmt::format("snapshot has SHA-256 {}, recorded was {}", digest,
                            recorded_digest));
  TRY_ASSIGN(UsageReport report, ParseSnapshot(text));
  if (report.SnapshotText() != text)
    return Fail(ErrorCode::kProtocol, "snapshot is not in its normal form");
  return report;
}

std::vector<UsageLine> UsageReport::Corrections(
    const UsageReport& newer) const {
  std::vector<UsageLine> changed;
  for (const UsageLine& line : newer.lines_) {
    const auto same = std::find_if(
        lines_.begin(), lines_.end(),
        [&line](const UsageLine& old) { return old.key == line.key; });
    if (same == lines_.end() || same->low != line.low ||
        same->high != line.high)
      changed.push_back(line);
  }
  return changed;
}

}  // namespace dogwood
