#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "Libraries/Core/core.h"
#include "Libraries/Observe/event_catalogue.h"

namespace spdlog {
class logger;
}

namespace dogwood {

enum class EventSink { kStandardError, kStandardOutput, kFile };

// One named value of an event. `request` and `change` are the names that the
// time line filters by.
struct EventField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

// Writes each event as one JSON line with wall time in microseconds since the
// epoch, host, process, number and name. Thread-safe.
class EventLog {
 public:
  struct Options {
    HostId host;
    ZoneId zone;
    std::string process;  // program name
    EventSink sink = EventSink::kStandardError;
    std::string file;  // with kFile, or set alone
    EventLevel lowest_level = EventLevel::kInfo;
  };

  static Result<std::unique_ptr<EventLog>> Open(const Options& options);
  ~EventLog();

  void Record(EventId id, std::initializer_list<EventField> fields = {});
  bool is_enabled(EventId id) const;
  // Writes what is pending. On standard output this never waits for the reader;
  // lines beyond the bound are dropped and counted in an event.
  void Flush();

 private:
  EventLog(const Options& options, std::shared_ptr<spdlog::logger> logger);

  void Write(EventId id, std::initializer_list<EventField> fields);

  Options options_;
  class BoundedSink;

  // spdlog hands out its loggers and takes its sinks as shared pointers.
  std::shared_ptr<BoundedSink> bounded_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace dogwood
