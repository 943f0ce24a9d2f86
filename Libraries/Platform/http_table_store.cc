#include "Libraries/Platform/http_table_store.h"

#include <nlohmann/json.hpp>

#include "Libraries/Platform/http_client_pool.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

HttpRequest ToCommitRequest(const TableTransaction& commit) {
  Json checks = Json::array();
  for (const TableTransaction::Check& check : commit.checks)
    checks.push_back({{"key", check.key}, {"version", check.version}});
  Json puts = Json::array();
  for (const TableTransaction::Put& put : commit.puts)
    puts.push_back({{"key", put.key}, {"value", put.value}});
  const Json body{{"checks", std::move(checks)},
                  {"puts", std::move(puts)},
                  {"deletes", commit.deletes}};
  return {"POST",
          "/table/commit",
          {{"Content-Type", "application/json"}},
          body.dump()};
}

Result<TableRow> ToRow(const Json& json) {
  try {
    return TableRow{json.at("key").get<std::string>(),
                    json.at("version").get<std::uint64_t>(),
                    json.at("value").get<std::string>()};
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kUnavailable,
                std::string("the platform sent a malformed table row: ") +
                    error.what());
  }
}

Result<std::vector<TableRow>> ToRows(const Json& parent, const char* name) {
  std::vector<TableRow> rows;
  if (!parent.is_object() || !parent.contains(name)) {
    return Fail(
        ErrorCode::kUnavailable,
        std::string("the platform's response has no field \"") + name + "\"");
  }
  for (const Json& json : parent.at(name)) {
    TRY_ASSIGN(TableRow row, ToRow(json));
    rows.push_back(std::move(row));
  }
  return rows;
}

// Returns a discarded value when the text is not JSON.
Json TryParseJson(const std::string& text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace

HttpTableStore::HttpTableStore(asio::any_io_executor executor,
                               asio::ip::tcp::endpoint platform_endpoint)
    : client_pool_(std::make_unique<HttpClientPool>(
          std::move(executor), std::move(platform_endpoint))) {}
HttpTableStore::~HttpTableStore() = default;

asio::awaitable<CommitResult> HttpTableStore::Commit(TableTransaction commit,
                                                     Duration timeout) {
  HttpRequest request = ToCommitRequest(commit);
  const Result<HttpResponse> response =
      co_await client_pool_->Send(std::move(request), timeout);
  if (!response) {
    if (response.error().code == ErrorCode::kUnavailable)
      co_return CommitUnavailable{};
    co_return CommitOutcomeUnknown{};
  }
  switch (response.value().status) {
    case 200:
      co_return Committed{};
    case 409: {
      auto rows = ToRows(TryParseJson(response.value().body), "failed");
      // Status 409 alone means that nothing changed.
      if (!rows) co_return CommitConflict{};
      co_return CommitConflict{std::move(rows).value()};
    }
    case 400:
    case 413:
    case 503:
      co_return CommitUnavailable{};
    default:
      co_return CommitOutcomeUnknown{};
  }
}

asio::awaitable<Result<TableRow>> HttpTableStore::Read(std::string key,
                                                       Duration timeout) {
  std::string target = "/table/row?key=" + PercentEncode(key);
  const Result<HttpResponse> response =
      co_await client_pool_->SendGetWithRetry(std::move(target), timeout);
  if (!response) co_return response.error();
  co_return ToRow(TryParseJson(response.value().body));
}

asio::awaitable<Result<std::vector<TableRow>>> HttpTableStore::Scan(
    std::string prefix, std::string after, std::size_t limit,
    Duration timeout) {
  std::string target = "/table/scan?prefix=" + PercentEncode(prefix) +
                       "&after=" + PercentEncode(after) +
                       "&limit=" + std::to_string(limit);
  const Result<HttpResponse> response =
      co_await client_pool_->SendGetWithRetry(std::move(target), timeout);
  if (!response) co_return response.error();
  co_return ToRows(TryParseJson(response.value().body), "rows");
}

}  // namespace dogwood
