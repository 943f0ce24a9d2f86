#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Libraries/Core/core.h"

namespace dogwood {

// Settings of one dogwood-entry process (docs/settings.md).
struct ProcessSettings {
  HostId host;
  ZoneId zone;
  std::string caller_listen_address;    // IP:PORT
  std::string peer_listen_address;      // IP:PORT
  std::string operator_listen_address;  // IP:PORT
  std::string platform_address;         // IP:PORT, empty if fleet_file is used
  std::string fleet_file;               // empty if platform_address is used
  std::uint32_t worker_threads = 1;
  std::string operator_token_file;  // empty to reject all operators
  std::string log_file;             // empty for standard error
  std::string log_level = "info";
  std::chrono::seconds stop_deadline{300};

  // `file` names the file in messages. Fails with kInvalidArgument and
  // "FILE: PATH: found ..., allowed ...".
  static Result<ProcessSettings> Parse(std::string_view json,
                                       const std::string& file);
};

}  // namespace dogwood
