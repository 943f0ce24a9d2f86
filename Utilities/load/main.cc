// dogwood-load: open-loop load and experiments against a set of entry hosts.
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "Utilities/load/central_queue.h"
#include "Utilities/load/load_options.h"
#include "Utilities/load/load_report.h"
#include "Utilities/load/load_runner.h"

namespace {

using dogwood::LoadResult;
using Json = nlohmann::ordered_json;

std::vector<LoadResult> ResultsOf(const std::vector<LoadResult>& results,
                                  std::uint32_t stream) {
  std::vector<LoadResult> selected;
  for (const LoadResult& result : results) {
    if (result.stream == stream) selected.push_back(result);
  }
  return selected;
}

// Summaries of each second of the run, by intended start.
Json PerSecond(const std::vector<LoadResult>& results, double seconds) {
  std::vector<std::vector<LoadResult>> parts(static_cast<std::size_t>(seconds) +
                                             1);
  for (const LoadResult& result : results) {
    parts[static_cast<std::size_t>(result.at_seconds)].push_back(result);
  }
  Json rows = Json::array();
  for (const auto& part : parts)
    rows.push_back(Json::parse(ToJson(dogwood::Summarize(part))));
  return rows;
}

int Run(const dogwood::LoadOptions& options) {
  const auto length = std::chrono::duration_cast<dogwood::Duration>(
      std::chrono::duration<double>(options.seconds));
  const auto arrivals =
      dogwood::MakeArrivals(options.streams, length, options.seed);
  const dogwood::LoadRun run = dogwood::RunLoad(options, arrivals);
  std::printf("%s", dogwood::TableHeading().c_str());
  Json report;
  report["total"] = Json::parse(ToJson(dogwood::Summarize(run.results)));
  report["streams"] = Json::array();
  for (std::uint32_t i = 0; i < options.streams.size(); ++i) {
    const auto summary = dogwood::Summarize(ResultsOf(run.results, i));
    const std::string name =
        options.streams[i].service + " " + options.streams[i].party;
    std::printf("%s", dogwood::TableLine(name, summary).c_str());
    Json row = Json::parse(ToJson(summary));
    row["service"] = options.streams[i].service;
    row["party"] = options.streams[i].party;
    report["streams"].push_back(std::move(row));
  }
  if (options.bound_servers > 0) {
    dogwood::SlowdownPattern slowdown;
    slowdown.slow_percent = options.slow_percent;
    const auto bound =
        dogwood::SummarizeLatencies(dogwood::CentralQueueLatencies(
            arrivals, run.start, options.bound_servers, options.bound_slots,
            slowdown));
    std::printf("%s", dogwood::TableLine("(one central queue)", bound).c_str());
    report["bound"] = Json::parse(ToJson(bound));
  }
  report["seconds"] = PerSecond(run.results, options.seconds);
  if (options.output.empty()) return 0;
  std::ofstream file(options.output);
  file << report.dump(1) << "\n";
  if (file.good()) return 0;
  std::fprintf(stderr, "dogwood-load: %s: the report could not be written\n",
               options.output.c_str());
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = dogwood::ParseLoadOptions(argc, argv);
  if (options.has_value()) return Run(options.value());
  const bool is_answer = options.error().code == dogwood::ErrorCode::kCancelled;
  std::fputs(options.error().message.c_str(), is_answer ? stdout : stderr);
  if (!is_answer) std::fputs("\n", stderr);
  return is_answer ? 0 : 2;
}
