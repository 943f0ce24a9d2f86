#include "Libraries/Usage/usage_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

using Json = nlohmann::json;

std::string NumberOrText(const std::optional<std::uint64_t>& number,
                         std::string_view fallback) {
  return number ? std::to_string(*number) : std::string(fallback);
}

std::string_view AgreementStatus(const UsageReportLine& line) {
  if (!line.agreed_calls) return "no agreement";
  if (line.low > *line.agreed_calls) return "over";
  if (!line.high || *line.high > *line.agreed_calls) return "maybe over";
  return "within";
}

// Quotes a field if necessary (RFC 4180).
std::string CsvField(const std::string& text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos) return text;
  std::string quoted = "\"";
  for (const char character : text) {
    quoted += character;
    if (character == '"') quoted += '"';
  }
  return quoted + "\"";
}

Json ToJson(const UsageReportLine& line) {
  Json json{{"party", line.key.client_account.value()},
            {"service", line.key.service.value()},
            {"agreed", nullptr},
            {"low", line.low},
            {"high", nullptr},
            {"standing", AgreementStatus(line)}};
  if (line.agreed_calls) json["agreed"] = *line.agreed_calls;
  if (line.high) json["high"] = *line.high;
  return json;
}

std::optional<std::uint64_t> OptionalNumber(const Json& json) {
  if (json.is_null()) return std::nullopt;
  return json.get<std::uint64_t>();
}

// How precisely a row gives the usage of its incarnation.
enum class RowPrecision { kExact, kBounded, kUnbounded };

RowPrecision PrecisionOf(const UsageRow& row,
                         const HostIncarnationSet& confirmed) {
  if (row.state == UsageRowState::kClosed) return RowPrecision::kExact;
  if (row.state == UsageRowState::kAdopted || row.peers.empty() ||
      confirmed.contains({row.host, row.incarnation}))
    return RowPrecision::kBounded;
  return RowPrecision::kUnbounded;
}

}  // namespace

Result<UsageReport> UsageReport::Build(Month month,
                                       std::span<const TableRow> rows,
                                       const Agreements& agreements,
                                       const HostIncarnationSet& confirmed) {
  UsageReport report;
  report.month_ = month;
  std::map<UsageKey, UsageReportLine> lines;
  for (const auto& [key, agreed] : agreements) lines[key].agreed_calls = agreed;
  std::vector<UsageRow> parsed;
  for (const TableRow& row : rows) {
    TRY_ASSIGN(UsageRow value, UsageRow::Parse(row.value));
    if (value.month != month || value.key() != row.key)
      return Fail(
          ErrorCode::kProtocol,
          "usage row " + row.key + " holds the value of row " + value.key());
    for (const auto& [key, amount] : value.use) lines[key];
    parsed.push_back(std::move(value));
  }
  for (const UsageRow& row : parsed) {
    const RowPrecision precision = PrecisionOf(row, confirmed);
    for (auto& [key, line] : lines) {
      const auto listed = row.use.find(key);
      const UsageAmount amount = listed == row.use.end()
                                     ? UsageAmount{0, row.default_reservation}
                                     : listed->second;
      line.low += amount.total;
      if (precision == RowPrecision::kUnbounded) line.high.reset();
      if (line.high)
        *line.high +=
            precision == RowPrecision::kExact ? amount.total : amount.reserved;
    }
    if (precision == RowPrecision::kExact) continue;
    report.inexact_incarnations_.push_back(fmt::format(
        "{}/{} {}: {}", row.host.value(), row.incarnation.value(),
        kUsageRowStateNames.NameOf(row.state),
        precision == RowPrecision::kUnbounded
            ? "unbounded, no peer has written its newest reservation"
        : row.state == UsageRowState::kAdopted
            ? "vanished, written by " + row.writer.value()
            : std::string("up to its reservation")));
  }
  for (auto& [key, line] : lines) {
    line.key = key;
    report.lines_.push_back(std::move(line));
  }
  std::sort(report.inexact_incarnations_.begin(),
            report.inexact_incarnations_.end());
  return report;
}

bool UsageReport::is_exact() const {
  return std::all_of(
      lines_.begin(), lines_.end(),
      [](const UsageReportLine& line) { return line.high == line.low; });
}

std::string UsageReport::Render(UsageReportFormat format) const {
  if (format == UsageReportFormat::kJson) return EncodeSnapshot();
  std::string text;
  if (format == UsageReportFormat::kCsv) {
    text = "month,party,service,agreed,low,high,standing\n";
    for (const UsageReportLine& line : lines_) {
      text += fmt::format("{},{},{},{},{},{},{}\n", FormatMonth(month_),
                          CsvField(line.key.client_account.value()),
                          CsvField(line.key.service.value()),
                          NumberOrText(line.agreed_calls, ""), line.low,
                          NumberOrText(line.high, "unbounded"),
                          AgreementStatus(line));
    }
    return text;
  }
  constexpr std::string_view kRowFormat =
      "{:<24} {:<20} {:>12} {:>12} {:>12}  {}\n";
  text = fmt::format("Usage {}\n", FormatMonth(month_));
  text += fmt::format(kRowFormat, "party", "service", "agreed", "low", "high",
                      "standing");
  for (const UsageReportLine& line : lines_) {
    text += fmt::format(
        kRowFormat, line.key.client_account.value(), line.key.service.value(),
        NumberOrText(line.agreed_calls, "-"), line.low,
        NumberOrText(line.high, "unbounded"), AgreementStatus(line));
  }
  for (const std::string& description : inexact_incarnations_)
    text += "! " + description + "\n";
  return text;
}

std::string UsageReport::EncodeSnapshot() const {
  Json lines = Json::array();
  for (const UsageReportLine& line : lines_) lines.push_back(ToJson(line));
  return Json{{"month", FormatMonth(month_)},
              {"lines", std::move(lines)},
              {"events", inexact_incarnations_}}
             .dump(2) +
         "\n";
}

Result<UsageReport> UsageReport::ParseSnapshot(std::string_view text) {
  try {
    const Json value = Json::parse(text);
    UsageReport report;
    const auto month = ParseMonth(value.at("month").get<std::string>());
    if (!month)
      return Fail(ErrorCode::kProtocol, "usage snapshot has an invalid month");
    report.month_ = *month;
    for (const Json& entry : value.at("lines")) {
      UsageReportLine line;
      line.key = {ClientAccountId(entry.at("party").get<std::string>()),
                  ServiceId(entry.at("service").get<std::string>())};
      line.agreed_calls = OptionalNumber(entry.at("agreed"));
      line.low = entry.at("low").get<std::uint64_t>();
      line.high = OptionalNumber(entry.at("high"));
      if (line.high && *line.high < line.low)
        return Fail(
            ErrorCode::kProtocol,
            fmt::format("usage snapshot line {}/{} has high {} below low {}",
                        line.key.client_account.value(),
                        line.key.service.value(), *line.high, line.low));
      report.lines_.push_back(std::move(line));
    }
    report.inexact_incarnations_ =
        value.at("events").get<std::vector<std::string>>();
    return report;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                std::string("cannot parse usage snapshot: ") + error.what());
  }
}

Result<UsageReport> UsageReport::VerifySnapshot(
    std::string_view text, std::string_view digest,
    std::string_view recorded_digest) {
  if (digest != recorded_digest)
    return Fail(ErrorCode::kProtocol,
                fmt::format("usage snapshot has SHA-256 {}, expected {}",
                            digest, recorded_digest));
  TRY_ASSIGN(UsageReport report, ParseSnapshot(text));
  if (report.EncodeSnapshot() != text)
    return Fail(ErrorCode::kProtocol,
                "usage snapshot is not in canonical form");
  return report;
}

std::vector<UsageReportLine> UsageReport::Corrections(
    const UsageReport& newer) const {
  std::vector<UsageReportLine> corrections;
  for (const UsageReportLine& line : newer.lines_) {
    const auto previous =
        std::find_if(lines_.begin(), lines_.end(),
                     [&line](const UsageReportLine& candidate) {
                       return candidate.key == line.key;
                     });
    if (previous == lines_.end() || previous->low != line.low ||
        previous->high != line.high)
      corrections.push_back(line);
  }
  return corrections;
}

}  // namespace dogwood
