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
  std::string listen_callers;  // IP:PORT
  std::string listen_peers;
  std::string listen_operators;
  std::string platform;    // empty when fleet_file is used
  std::string fleet_file;  // empty when platform is used
  std::uint32_t workers = 1;
  std::string operator_token_file;  // empty: no operator is allowed
  std::string log_file;             // empty: standard error
  std::string log_level = "info";
  std::chrono::seconds stop_deadline{300};

  // `file` is the name that messages show. Fails with kInvalidArgument and
  // "FILE: PATH: found ..., allowed ...".
  static Result<ProcessSettings> Parse(std::string_view json,
                                       const std::string& file);
};

}  // namespace dogwood
