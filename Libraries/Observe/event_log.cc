#include "Libraries/Observe/event_log.h"

#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
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

// Buffers lines up to a limit and writes them to standard output without
// blocking. Drops lines beyond the limit and counts them.
class EventLog::StandardOutputSink
    : public spdlog::sinks::base_sink<std::mutex> {
 public:
  static constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;
  // A pipe that polls writable accepts a write of this size (PIPE_BUF) without
  // blocking.
  static constexpr std::size_t kMaxWriteBytes = 4096;

  std::size_t TakeDroppedLineCount() {
    const std::lock_guard lock(mutex_);
    return std::exchange(dropped_line_count_, 0);
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (pending_lines_.size() + message.payload.size() > kMaxPendingBytes) {
      ++dropped_line_count_;
      return;
    }
    pending_lines_.append(message.payload.data(), message.payload.size());
    pending_lines_.push_back('\n');
  }

  void flush_() override {
    std::size_t written = 0;
    while (written < pending_lines_.size()) {
      pollfd poll_entry{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&poll_entry, 1, 0) <= 0 || (poll_entry.revents & POLLOUT) == 0)
        break;
      const std::size_t size =
          std::min(kMaxWriteBytes, pending_lines_.size() - written);
      const ssize_t count =
          ::write(STDOUT_FILENO, pending_lines_.data() + written, size);
      if (count <= 0) break;
      written += static_cast<std::size_t>(count);
    }
    pending_lines_.erase(0, written);
  }

 private:
  std::string pending_lines_;
  std::size_t dropped_line_count_ = 0;
};

Result<std::unique_ptr<EventLog>> EventLog::Open(const Options& options) {
  spdlog::sink_ptr sink;
  std::shared_ptr<StandardOutputSink> standard_output_sink;
  if (options.sink == EventSink::kStandardOutput) {
    standard_output_sink = std::make_shared<StandardOutputSink>();
    sink = standard_output_sink;
  } else if (options.file.empty()) {
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
  logger->set_level(ToSpdlogLevel(options.min_level));
  if (!standard_output_sink) logger->flush_on(spdlog::level::info);
  std::unique_ptr<EventLog> event_log(new EventLog(options, std::move(logger)));
  event_log->standard_output_sink_ = std::move(standard_output_sink);
  return event_log;
}

EventLog::EventLog(const Options& options,
                   std::shared_ptr<spdlog::logger> logger)
    : options_(options), logger_(std::move(logger)) {}

EventLog::~EventLog() { logger_->flush(); }

void EventLog::Record(EventId id, std::initializer_list<EventField> fields) {
  if (is_enabled(id)) Write(id, fields);
}

void EventLog::Write(EventId id, std::initializer_list<EventField> fields) {
  const EventDescription& description = DescribeEvent(id);
  nlohmann::ordered_json line;
  line["wall"] = WallClockNow().time_since_epoch().count();
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
  // Field values can contain received bytes that are not valid UTF-8.
  logger_->log(
      ToSpdlogLevel(description.level),
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

bool EventLog::is_enabled(EventId id) const {
  return logger_->should_log(ToSpdlogLevel(DescribeEvent(id).level));
}

void EventLog::Flush() {
  if (standard_output_sink_) {
    if (const std::size_t dropped_line_count =
            standard_output_sink_->TakeDroppedLineCount();
        dropped_line_count > 0) {
      Write(EventId::kLogLinesDropped,
            {{"lines", static_cast<std::int64_t>(dropped_line_count)}});
    }
  }
  logger_->flush();
}

}  // namespace dogwood
