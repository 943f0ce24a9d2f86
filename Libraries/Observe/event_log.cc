#include "Libraries/Observe/event_log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

spdlog::level::level_enum ToSpdlogLevel(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return spdlog::level::debug;
    case EventLevel::kInfo:
      return spdlog::level::info;
    case EventLevel::kWarning:
      return spdlog::level::warn;
    case EventLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

}  // namespace

Result<std::unique_ptr<EventLog>> EventLog::Open(const Options& options) {
  spdlog::sink_ptr sink;
  if (options.file.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    try {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(options.file);
    } catch (const spdlog::spdlog_ex& exception) {
      return Fail(ErrorCode::kIo, exception.what());
    }
  }
  auto logger = std::make_shared<spdlog::logger>("events", std::move(sink));
  logger->set_pattern("%v");
  logger->set_level(ToSpdlogLevel(options.lowest_level));
  logger->flush_on(spdlog::level::info);
  return std::unique_ptr<EventLog>(new EventLog(options, std::move(logger)));
}

EventLog::EventLog(const Options& options,
                   std::shared_ptr<spdlog::logger> logger)
    : options_(options), logger_(std::move(logger)) {}

EventLog::~EventLog() { logger_->flush(); }

void EventLog::Record(EventId id, std::initializer_list<EventField> fields) {
  if (!is_enabled(id)) return;
  const EventDescription& description = DescribeEvent(id);
  nlohmann::ordered_json line;
  line["wall"] = WallNow().time_since_epoch().count();
  line["host"] = options_.host.value();
  line["zone"] = options_.zone.value();
  line["process"] = options_.process;
  line["event"] = static_cast<int>(id);
  line["name"] = description.name;
  for (const EventField& field : fields) {
    std::visit(
        [&](const auto& value) { line[std::string(field.name)] = value; },
        field.value);
  }
  // Texts may hold bytes from outside that are not UTF-8.
  logger_->log(
      ToSpdlogLevel(description.level),
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

bool EventLog::is_enabled(EventId id) const {
  return logger_->should_log(ToSpdlogLevel(DescribeEvent(id).level));
}

void EventLog::Flush() { logger_->flush(); }

}  // namespace dogwood
