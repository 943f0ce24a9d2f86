#include "Tests/StandIns/platform_simulator.h"

#include <algorithm>
#include <charconv>

namespace dogwood {
namespace {

using Json = nlohmann::json;

// A burst is the fraction 1/kBurstsPerSecond of a second's operations.
constexpr double kBurstsPerSecond = 10;

HttpResponse JsonResponse(unsigned status, const Json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

HttpResponse ErrorResponse(unsigned status, const std::string& message) {
  return JsonResponse(status, {{"error", message}});
}

Json ToJson(const TableRow& row) {
  return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

std::size_t ParseRowLimit(std::string_view target) {
  constexpr std::size_t kMaxRows = 1000;
  const std::string text = FindQueryParameter(target, "limit").value_or("1000");
  std::size_t limit = kMaxRows;
  std::from_chars(text.data(), text.data() + text.size(), limit);
  return std::min(limit, kMaxRows);
}

Duration ReadMilliseconds(const Json& object, const char* name,
                          Duration default_value) {
  if (!object.contains(name)) return default_value;
  return std::chrono::milliseconds(object.at(name).get<std::int64_t>());
}

}  // namespace

PlatformSimulator::PlatformSimulator(const Options& options)
    : options_(options),
      read_limiter_{options.reads_per_second,
                    options.reads_per_second / kBurstsPerSecond,
                    {}},
      write_limiter_{options.writes_per_second,
                     options.writes_per_second / kBurstsPerSecond,
                     {}} {}

bool PlatformSimulator::TokenBucket::try_take(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - last).count();
  tokens = std::min(std::max(1.0, tokens_per_second / kBurstsPerSecond),
                    tokens + seconds * tokens_per_second);
  last = now;
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

HttpResponse PlatformSimulator::Handle(const HttpRequest& request,
                                       TimePoint now) {
  const std::string_view path = TargetPath(request.target);
  try {
    if (path == "/faults" && request.method == "POST")
      return SetFaults(request);
    if (path == "/stats" && request.method == "GET")
      return StatisticsResponse();
    if (faults_.is_down) {
      ++refused_count_;
      return ErrorResponse(503, "the platform is unavailable");
    }
    const bool is_write = request.method != "GET";
    if (!(is_write ? write_limiter_ : read_limiter_).try_take(now)) {
      ++refused_count_;
      return ErrorResponse(503, "rate limit exceeded");
    }
    ++(is_write ? write_count_ : read_count_);
    if (path == "/table/commit" && is_write) return Commit(request, now);
    if (path.starts_with("/table/") && !is_write) return Read(request, now);
    if (path.starts_with("/object/")) return HandleObject(request, path);
    if (path == "/hosts")
      return is_write ? WriteHosts(request, now) : ReadHosts(now);
  } catch (const Json::exception& error) {
    return ErrorResponse(400, error.what());
  }
  return ErrorResponse(404, "no such resource");
}

HttpResponse PlatformSimulator::Commit(const HttpRequest& request,
                                       TimePoint now) {
  const Json body = Json::parse(request.body);
  TableTransaction commit;
  for (const Json& check : body.value("checks", Json::array())) {
    commit.checks.push_back({check.at("key").get<std::string>(),
                             check.at("version").get<std::uint64_t>()});
  }
  for (const Json& put : body.value("puts", Json::array())) {
    commit.puts.push_back(
        {put.at("key").get<std::string>(), put.at("value").get<std::string>()});
  }
  commit.deletes = body.value("deletes", std::vector<std::string>());

  const CommitResult result = table_.Commit(commit, now);
  if (std::bernoulli_distribution(faults_.lost_response_probability)(random_)) {
    ++lost_response_count_;
    return {.status = 0};
  }
  if (const auto* conflict = std::get_if<CommitConflict>(&result)) {
    Json failed = Json::array();
    for (const TableRow& row : conflict->current) failed.push_back(ToJson(row));
    return JsonResponse(409, {{"failed", failed}});
  }
  Json versions = Json::object();
  for (const TableTransaction::Put& put : commit.puts)
    versions[put.key] = table_.Read(put.key, now).version;
  return JsonResponse(200, {{"versions", versions}});
}

HttpResponse PlatformSimulator::Read(const HttpRequest& request,
                                     TimePoint now) const {
  const std::string_view path = TargetPath(request.target);
  const TimePoint as_of = now - faults_.stale_reads;
  if (path == "/table/row") {
    const auto key = FindQueryParameter(request.target, "key");
    if (!key) return ErrorResponse(400, "missing query parameter: key");
    return JsonResponse(200, ToJson(table_.Read(*key, as_of)));
  }
  if (path != "/table/scan") return ErrorResponse(404, "no such resource");
  Json rows = Json::array();
  for (const TableRow& row :
       table_.Scan(FindQueryParameter(request.target, "prefix").value_or(""),
                   FindQueryParameter(request.target, "after").value_or(""),
                   ParseRowLimit(request.target), as_of)) {
    rows.push_back(ToJson(row));
  }
  return JsonResponse(200, {{"rows", rows}});
}

HttpResponse PlatformSimulator::HandleObject(const HttpRequest& request,
                                             std::string_view path) {
  const std::string name(path.substr(std::string_view("/object/").size()));
  if (request.method == "PUT") {
    objects_[name] = request.body;
    return JsonResponse(200, {{"bytes", request.body.size()}});
  }
  const auto found = objects_.find(name);
  if (request.method != "GET" || found == objects_.end())
    return ErrorResponse(404, "no object named " + name);
  return {200, {{"Content-Type", "application/octet-stream"}}, found->second};
}

HttpResponse PlatformSimulator::ReadHosts(TimePoint now) const {
  Json list = Json::array();
  for (const auto& [name, history] : hosts_) {
    const auto found = std::find_if(
        history.rbegin(), history.rend(), [&](const HostState& state) {
          return state.since <= now - options_.host_list_lag;
        });
    if (found != history.rend() && !found->entry.is_null())
      list.push_back(found->entry);
  }
  return JsonResponse(200, list);
}

// Adds or replaces a host. A body without "state" removes it.
HttpResponse PlatformSimulator::WriteHosts(const HttpRequest& request,
                                           TimePoint now) {
  const Json entry = Json::parse(request.body);
  const auto name = entry.at("host").get<std::string>();
  const bool is_present = entry.contains("state");
  if (is_present) {
    for (const char* field : {"zone", "address", "peer_address", "state"})
      (void)entry.at(field).get<std::string>();
  }
  hosts_[name].push_back({now, is_present ? entry : Json()});
  return JsonResponse(200, Json::object());
}

HttpResponse PlatformSimulator::SetFaults(const HttpRequest& request) {
  const Json body = Json::parse(request.body);
  faults_.is_down = body.value("down", faults_.is_down);
  faults_.delay = ReadMilliseconds(body, "delay_ms", faults_.delay);
  faults_.lost_response_probability = std::clamp(
      body.value("lose_answers", faults_.lost_response_probability), 0.0, 1.0);
  faults_.stale_reads =
      ReadMilliseconds(body, "stale_reads_ms", faults_.stale_reads);
  if (body.contains("seed")) random_.seed(body.at("seed").get<unsigned>());
  return JsonResponse(200, Json::object());
}

HttpResponse PlatformSimulator::StatisticsResponse() const {
  return JsonResponse(200, {{"reads", read_count_},
                            {"writes", write_count_},
                            {"refused", refused_count_},
                            {"lost_answers", lost_response_count_},
                            {"rows", table_.Newest().size()},
                            {"objects", objects_.size()}});
}

}  // namespace dogwood
