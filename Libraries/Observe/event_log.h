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
    std::string file;     // empty writes to standard error
    EventLevel lowest_level = EventLevel::kInfo;
  };

  static Result<std::unique_ptr<EventLog>> Open(const Options& options);
  ~EventLog();

  void Record(EventId id, std::initializer_list<EventField> fields = {});
  bool is_enabled(EventId id) const;
  void Flush();

 private:
  EventLog(const Options& options, std::shared_ptr<spdlog::logger> logger);

  Options options_;
  // spdlog hands out its loggers as shared pointers.
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace dogwood
