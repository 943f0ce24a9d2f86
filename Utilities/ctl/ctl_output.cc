#include "Utilities/ctl/ctl_output.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace dogwood {
namespace {

using Json = nlohmann::json;
using Row = std::vector<std::string>;

std::string CellOf(const Json& value) {
  if (value.is_null()) return "";
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void AddValues(const Json& value, const std::string& path,
               std::vector<Row>& rows) {
  if (!value.is_object() || value.empty()) {
    rows.push_back({path, CellOf(value)});
    return;
  }
  for (const auto& [name, child] : value.items())
    AddValues(child, path.empty() ? name : path + "." + name, rows);
}

// The first row holds the column names.
std::vector<Row> RowsOf(const Json& answer) {
  std::vector<Row> rows;
  if (!answer.is_array()) {
    rows.push_back({"path", "value"});
    AddValues(answer, "", rows);
    return rows;
  }
  Row columns;
  for (const Json& entry : answer) {
    if (!entry.is_object()) continue;
    for (const auto& [name, value] : entry.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end())
        columns.push_back(name);
    }
  }
  rows.push_back(columns);
  for (const Json& entry : answer) {
    Row row;
    for (const std::string& column : columns)
      row.push_back(entry.is_object() ? CellOf(entry.value(column, Json()))
                                      : "");
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string QuoteCsv(const std::string& cell) {
  if (cell.find_first_of(",\"\r\n") == std::string::npos) return cell;
  std::string quoted = "\"";
  for (const char c : cell) {
    if (c == '"') quoted += '"';
    quoted += c;
  }
  return quoted + "\"";
}

std::string ToCsv(const std::vector<Row>& rows) {
  std::string text;
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      text += (i == 0 ? "" : ",") + QuoteCsv(row[i]);
    text += "\r\n";
  }
  return text;
}

std::string ToTable(const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size())
        line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line + "\n";
  }
  return text;
}

}  // namespace

std::string FormatAnswer(const Json& answer, OutputFormat format) {
  if (format == OutputFormat::kJson) return answer.dump(2) + "\n";
  const std::vector<Row> rows = RowsOf(answer);
  return format == OutputFormat::kCsv ? ToCsv(rows) : ToTable(rows);
}

}  // namespace dogwood
