#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Utilities/load/arrival_schedule.h"

namespace dogwood {

struct LoadOptions {
  std::vector<boost::asio::ip::tcp::endpoint>
      targets;  // entry hosts' caller addresses
  std::vector<LoadStream> streams;
  double seconds = 10;
  std::uint64_t seed = 1;
  std::uint32_t threads = 1;
  std::uint32_t deadline_milliseconds = 2000;
  std::string output;  // file of the JSON report; empty: none
  // Backend servers of the central queue that the results are compared with; 0:
  // no comparison.
  std::uint32_t bound_servers = 0;
  std::uint32_t bound_slots = 6;
  std::uint32_t slow_percent = 0;
};

// Command line of dogwood-load.
extern const char kLoadUsage[];

// Fails with kInvalidArgument; --help and --version give kCancelled with the
// text to print.
Result<LoadOptions> ParseLoadOptions(int argc, char** argv);

// "service=tracking,party=lesta,rate=500,work-ms=10,sigma=0.7,method=POST,keys=yes,body=1000"
Result<LoadStream> ParseLoadStream(const std::string& text);

}  // namespace dogwood
