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

// Where an EventLog writes its lines.
enum class EventSink { kStandardError, kStandardOutput, kFile };

// A named value of an event. dogwood-timeline filters by the fields `request`
// and `change`.
struct EventField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

// Writes each event as one JSON line with the wall time in microseconds since
// the Unix epoch, host, availability zone, process, event number, event name
// and fields. Thread-safe.
class EventLog {
 public:
  struct Options {
    HostId host;
    ZoneId zone;
    std::string process;  // program name
    EventSink sink = EventSink::kStandardError;
    // Output file unless `sink` is kStandardOutput; empty for standard error.
    std::string file;
    EventLevel min_level = EventLevel::kInfo;
  };

  static Result<std::unique_ptr<EventLog>> Open(const Options& options);
  ~EventLog();

  void Record(EventId id, std::initializer_list<EventField> fields = {});
  bool is_enabled(EventId id) const;
  // Writes pending lines. Writing to standard output never blocks; lines beyond
  // the buffer limit are dropped and counted in a log-lines-dropped event.
  void Flush();

 private:
  EventLog(const Options& options, std::shared_ptr<spdlog::logger> logger);

  void Write(EventId id, std::initializer_list<EventField> fields);

  Options options_;
  class StandardOutputSink;

  // spdlog uses shared pointers for sinks and loggers.
  std::shared_ptr<StandardOutputSink> standard_output_sink_;  // may be null
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace dogwood
