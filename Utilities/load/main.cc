// dogwood-load: open-loop load generator for a set of entry hosts.
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "Utilities/load/central_queue_simulation.h"
#include "Utilities/load/load_generator.h"
#include "Utilities/load/load_options.h"
#include "Utilities/load/load_report.h"

namespace {

using dogwood::LoadResult;
using Json = nlohmann::ordered_json;

std::vector<LoadResult> ResultsOfStream(const std::vector<LoadResult>& results,
                                        std::uint32_t stream_index) {
  std::vector<LoadResult> selected;
  for (const LoadResult& result : results) {
    if (result.stream_index == stream_index) selected.push_back(result);
  }
  return selected;
}

// Summarizes each second of the run, by scheduled start.
Json SummarizeBySecond(const std::vector<LoadResult>& results,
                       double duration_seconds) {
  std::vector<std::vector<LoadResult>> results_by_second(
      static_cast<std::size_t>(duration_seconds) + 1);
  for (const LoadResult& result : results) {
    results_by_second[static_cast<std::size_t>(result.start_offset_seconds)]
        .push_back(result);
  }
  Json summaries = Json::array();
  for (const auto& second_results : results_by_second)
    summaries.push_back(
        Json::parse(ToJson(dogwood::SummarizeResults(second_results))));
  return summaries;
}

int Run(const dogwood::LoadOptions& options) {
  const auto duration = std::chrono::duration_cast<dogwood::Duration>(
      std::chrono::duration<double>(options.duration_seconds));
  const auto arrivals =
      dogwood::GenerateArrivals(options.streams, duration, options.seed);
  const dogwood::LoadRunResult run_result = dogwood::RunLoad(options, arrivals);
  std::printf("%s", dogwood::FormatTableHeader().c_str());
  Json report;
  report["total"] =
      Json::parse(ToJson(dogwood::SummarizeResults(run_result.results)));
  report["streams"] = Json::array();
  for (std::uint32_t index = 0; index < options.streams.size(); ++index) {
    const auto summary =
        dogwood::SummarizeResults(ResultsOfStream(run_result.results, index));
    const std::string name = options.streams[index].service + " " +
                             options.streams[index].client_account;
    std::printf("%s", dogwood::FormatTableRow(name, summary).c_str());
    Json stream_report = Json::parse(ToJson(summary));
    stream_report["service"] = options.streams[index].service;
    stream_report["party"] = options.streams[index].client_account;
    report["streams"].push_back(std::move(stream_report));
  }
  if (options.central_queue_servers > 0) {
    dogwood::SlowdownPattern slowdown_pattern;
    slowdown_pattern.slow_percent = options.slow_percent;
    const auto central_queue =
        dogwood::SummarizeLatencies(dogwood::SimulateCentralQueue(
            arrivals, run_result.start_wall_microseconds,
            options.central_queue_servers,
            options.central_queue_slots_per_server, slowdown_pattern));
    std::printf(
        "%s",
        dogwood::FormatTableRow("(one central queue)", central_queue).c_str());
    report["bound"] = Json::parse(ToJson(central_queue));
  }
  report["seconds"] =
      SummarizeBySecond(run_result.results, options.duration_seconds);
  if (options.report_path.empty()) return 0;
  std::ofstream file(options.report_path);
  file << report.dump(1) << "\n";
  if (file.good()) return 0;
  std::fprintf(stderr, "dogwood-load: %s: the report could not be written\n",
               options.report_path.c_str());
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = dogwood::ParseLoadOptions(argc, argv);
  if (options.has_value()) return Run(options.value());
  const bool is_information =
      options.error().code == dogwood::ErrorCode::kCancelled;
  std::fputs(options.error().message.c_str(), is_information ? stdout : stderr);
  if (!is_information) std::fputs("\n", stderr);
  return is_information ? 0 : 2;
}
