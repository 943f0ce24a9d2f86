#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"
#include "Tests/StandIns/platform_table.h"

namespace dogwood {

// The stand-in for the platform: table service, object store and host list with
// the protocol of docs/design.md section 6, rate limits and faults. No I/O and
// no clock.
class PlatformService {
 public:
  struct Options {
    double reads_per_second = 2000;
    double writes_per_second = 400;
    Duration host_list_lag{};
  };

  explicit PlatformService(const Options& options);

  // A response with status 0 stands for a lost answer: the connection is to be
  // closed instead.
  HttpResponse Handle(const HttpRequest& request, TimePoint now);

  // How long each answer is to be held back.
  Duration delay() const { return faults_.delay; }

 private:
  using Json = nlohmann::json;

  struct Faults {
    bool is_down = false;
    Duration delay{};
    double lose_answers = 0;  // probability
    Duration stale_reads{};
  };
  // Allows `rate` operations a second with bursts of a tenth of a second.
  struct Limiter {
    double rate = 0;
    double tokens = 0;
    TimePoint last;
    bool try_take(TimePoint now);
  };
  struct Host {
    TimePoint since;
    Json entry;  // null when the host was removed
  };

  HttpResponse Commit(const HttpRequest& request, TimePoint now);
  HttpResponse Read(const HttpRequest& request, TimePoint now) const;
  HttpResponse Object(const HttpRequest& request, std::string_view path);
  HttpResponse ReadHosts(TimePoint now) const;
  HttpResponse WriteHosts(const HttpRequest& request, TimePoint now);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Stats() const;

  Options options_;
  Faults faults_;
  std::minstd_rand random_{1};
  Limiter reads_;
  Limiter writes_;
  PlatformTable table_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, std::vector<Host>> hosts_;
  std::uint64_t read_count_ = 0;
  std::uint64_t write_count_ = 0;
  std::uint64_t refused_count_ = 0;
  std::uint64_t lost_count_ = 0;
};

}  // namespace dogwood
