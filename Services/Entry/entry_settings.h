#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/Core/core.h"
#include "Libraries/Observe/observe.h"

namespace dogwood {

// How BaselineDispatcher picks a backend server.
enum class PlacementPolicy { kRoundRobin, kRandom, kTwoChoices };

inline constexpr NameTable<PlacementPolicy, 3> kPlacementPolicyNames{{{
    {PlacementPolicy::kRoundRobin, "round_robin"},
    {PlacementPolicy::kRandom, "random"},
    {PlacementPolicy::kTwoChoices, "two_choices"},
}}};

// Process settings of dogwood-entry, fixed for the life of the process;
// docs/design.md section 9 lists them.
struct EntrySettings {
  HostId host;
  ZoneId zone;
  boost::asio::ip::tcp::endpoint callers;
  std::optional<boost::asio::ip::tcp::endpoint> peers;
  std::optional<boost::asio::ip::tcp::endpoint> operators;
  std::optional<boost::asio::ip::tcp::endpoint> platform;
  std::uint32_t workers = 1;
  std::string operator_token_file;  // empty: no operator is let in
  std::string log_file;             // empty: standard error
  EventLevel log_level = EventLevel::kInfo;
  std::string fleet_file;
  Duration stop_deadline = std::chrono::seconds(300);
  PlacementPolicy placement_policy = PlacementPolicy::kTwoChoices;

  // Fails with kInvalidArgument and the path of the offending value.
  static Result<EntrySettings> Parse(std::string_view json);
};

// Whole content of a file; fails with kIo and the file's name.
Result<std::string> ReadWholeFile(const std::string& path);

}  // namespace dogwood
