#pragma once

#include <compare>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

// Total order of emergency orders. Of two orders for the same path, the one
// with the greater rank applies.
struct OrderRank {
  SettingsVersion version;    // of the settings on the accepting host
  std::uint64_t counter = 0;  // greater than in every order the host knew
  OperationId id;

  friend auto operator<=>(const OrderRank&, const OrderRank&) = default;
};

// Change of one setting that an operator requests.
struct SettingsChangeRequest {
  OperationId id;
  std::string path;
  nlohmann::json value;  // null removes the setting
  std::string author;
  // Version that the request is based on; a later change of an overlapping path
  // is a conflict.
  SettingsVersion base;
};

// Committed change that turns the tree of version N - 1 into that of version N.
struct SettingsChange {
  SettingsVersion version;
  OperationId id;
  std::string path;
  nlohmann::json value;
  nlohmann::json previous;  // value before the change
  std::string author;
  std::int64_t wall_us = 0;        // microseconds since the Unix epoch
  std::optional<OrderRank> order;  // set if it was an emergency order

  nlohmann::json ToJson() const;
  // Fails with kProtocol.
  static Result<SettingsChange> FromJson(const nlohmann::json& json);
};

// Change accepted while the store is unavailable. It takes an availability zone
// or a backend server out of service or returns it.
struct EmergencyOrder {
  OrderRank rank;
  std::string path;
  nlohmann::json value;
  std::string author;
  std::int64_t wall_us = 0;

  nlohmann::json ToJson() const;
  // Fails with kProtocol.
  static Result<EmergencyOrder> FromJson(const nlohmann::json& json);
};

// Whether an emergency order may change the path, that is, whether it is the
// state of an availability zone or of a backend server.
bool IsEmergencyPath(std::string_view path);

// Whether the paths are equal or one is an ancestor of the other.
bool PathsOverlap(std::string_view left, std::string_view right);

}  // namespace dogwood
