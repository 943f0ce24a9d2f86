#include "Utilities/ctl/response_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace dogwood {
namespace {

using Json = nlohmann::json;
using Row = std::vector<std::string>;

constexpr std::size_t kColumnGap = 2;  // spaces between table columns
constexpr int kJsonIndent = 2;         // spaces per level

std::string FormatCell(const Json& value) {
  if (value.is_null()) return "";
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void AppendRows(const Json& value, const std::string& path,
                std::vector<Row>& rows) {
  if (!value.is_object() || value.empty()) {
    rows.push_back({path, FormatCell(value)});
    return;
  }
  for (const auto& [name, child] : value.items())
    AppendRows(child, path.empty() ? name : path + "." + name, rows);
}

// Builds the rows of a table; the first row holds the column names.
std::vector<Row> BuildRows(const Json& body) {
  std::vector<Row> rows;
  if (!body.is_array()) {
    rows.push_back({"path", "value"});
    AppendRows(body, "", rows);
    return rows;
  }
  Row columns;
  for (const Json& item : body) {
    if (!item.is_object()) continue;
    for (const auto& [name, value] : item.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end())
        columns.push_back(name);
    }
  }
  rows.push_back(columns);
  for (const Json& item : body) {
    Row row;
    for (const std::string& column : columns)
      row.push_back(item.is_object() ? FormatCell(item.value(column, Json()))
                                     : "");
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string QuoteCsvCell(const std::string& cell) {
  if (cell.find_first_of(",\"\r\n") == std::string::npos) return cell;
  std::string quoted = "\"";
  for (const char c : cell) {
    if (c == '"') quoted += '"';
    quoted += c;
  }
  return quoted + "\"";
}

std::string FormatCsv(const std::vector<Row>& rows) {
  std::string text;
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      text += (i == 0 ? "" : ",") + QuoteCsvCell(row[i]);
    text += "\r\n";
  }
  return text;
}

std::string FormatTable(const std::vector<Row>& rows) {
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
        line += std::string(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    text += line + "\n";
  }
  return text;
}

}  // namespace

std::string FormatResponse(const Json& body, OutputFormat format) {
  if (format == OutputFormat::kJson) return body.dump(kJsonIndent) + "\n";
  const std::vector<Row> rows = BuildRows(body);
  return format == OutputFormat::kCsv ? FormatCsv(rows) : FormatTable(rows);
}

}  // namespace dogwood
