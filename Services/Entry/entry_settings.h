#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/Core/core.h"
#include "Libraries/Observe/observe.h"

namespace dogwood {

// Load-balancing policy of LocalPolicyDispatcher.
enum class LoadBalancingPolicy { kRoundRobin, kRandom, kTwoChoices };

inline constexpr EnumNames<LoadBalancingPolicy, 3> kLoadBalancingPolicyNames{{{
    {LoadBalancingPolicy::kRoundRobin, "round_robin"},
    {LoadBalancingPolicy::kRandom, "random"},
    {LoadBalancingPolicy::kTwoChoices, "two_choices"},
}}};

// Process settings of dogwood-entry, read once at startup and listed in
// docs/design.md section 9.
struct EntrySettings {
  HostId host;
  ZoneId zone;
  boost::asio::ip::tcp::endpoint callers;
  std::optional<boost::asio::ip::tcp::endpoint> peers;
  std::optional<boost::asio::ip::tcp::endpoint> operators;
  std::optional<boost::asio::ip::tcp::endpoint> platform;
  std::uint32_t workers = 1;
  std::string operator_token_file;  // empty: no operator access
  std::string log_file;             // empty: standard error
  EventLevel log_level = EventLevel::kInfo;
  std::string fleet_file;
  Duration stop_deadline = std::chrono::seconds(300);
  LoadBalancingPolicy placement_policy = LoadBalancingPolicy::kTwoChoices;

  // Fails with kInvalidArgument and the path of the offending value.
  static Result<EntrySettings> Parse(std::string_view json);
};

// Reads a whole file. Fails with kIo and the path of the file.
Result<std::string> ReadWholeFile(const std::string& path);

}  // namespace dogwood
