#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Utilities/load/arrival_schedule.h"

namespace dogwood {

// Command line of dogwood-load.
struct LoadOptions {
  // Addresses on which the entry hosts accept requests.
  std::vector<boost::asio::ip::tcp::endpoint> targets;
  std::vector<LoadStream> streams;
  double duration_seconds = 10;
  std::uint64_t seed = 1;
  std::uint32_t thread_count = 1;
  std::uint32_t deadline_milliseconds = 2000;
  std::string report_path;  // of the JSON report; empty: none
  // Size of the simulated central queue that the results are compared with; 0:
  // no comparison.
  std::uint32_t central_queue_servers = 0;
  std::uint32_t central_queue_slots_per_server = 6;
  std::uint32_t slow_percent = 0;  // see SlowdownPattern
};

// Usage text.
extern const char kLoadUsage[];

// Fails with kInvalidArgument on a usage error, and for --help and --version
// with kCancelled and the text to print as the message.
Result<LoadOptions> ParseLoadOptions(int argc, char** argv);

// Parses a --stream argument, for example
// "service=tracking,party=lesta,rate=500,work-ms=10,sigma=0.7,method=POST,keys=yes,body=1000".
Result<LoadStream> ParseLoadStream(const std::string& text);

}  // namespace dogwood
