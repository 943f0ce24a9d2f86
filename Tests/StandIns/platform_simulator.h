#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"
#include "Tests/StandIns/versioned_table.h"

namespace dogwood {

// Simulates the platform: table service, object store and host list with the
// protocol of docs/design.md section 6, rate limits and injected faults. Does
// no I/O and reads no clock.
class PlatformSimulator {
 public:
  struct Options {
    double reads_per_second = 2000;
    double writes_per_second = 400;
    Duration host_list_lag{};
  };

  explicit PlatformSimulator(const Options& options);

  // Status 0 means a lost response: the caller has to close the connection
  // without sending anything.
  HttpResponse Handle(const HttpRequest& request, TimePoint now);

  // Delay of each response.
  Duration delay() const { return faults_.delay; }

 private:
  using Json = nlohmann::json;

  struct Faults {
    bool is_down = false;
    Duration delay{};
    double lost_response_probability = 0;  // 0 to 1
    Duration stale_reads{};
  };
  // Token bucket whose capacity is a tenth of a second's tokens, at least one.
  struct TokenBucket {
    double tokens_per_second = 0;
    double tokens = 0;
    TimePoint last;
    bool try_take(TimePoint now);
  };
  struct HostState {
    TimePoint since;
    Json entry;  // null if the host was removed
  };

  HttpResponse Commit(const HttpRequest& request, TimePoint now);
  HttpResponse Read(const HttpRequest& request, TimePoint now) const;
  HttpResponse HandleObject(const HttpRequest& request, std::string_view path);
  HttpResponse ReadHosts(TimePoint now) const;
  HttpResponse WriteHosts(const HttpRequest& request, TimePoint now);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse StatisticsResponse() const;

  Options options_;
  Faults faults_;
  std::minstd_rand random_{1};
  TokenBucket read_limiter_;
  TokenBucket write_limiter_;
  VersionedTable table_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, std::vector<HostState>> hosts_;
  std::uint64_t read_count_ = 0;
  std::uint64_t write_count_ = 0;
  std::uint64_t refused_count_ = 0;
  std::uint64_t lost_response_count_ = 0;
};

}  // namespace dogwood
