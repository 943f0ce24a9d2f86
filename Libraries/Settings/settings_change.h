#pragma once

#include <compare>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

// Total order of emergency orders: the greater one wins on the same path.
struct OrderRank {
  SettingsVersion version;    // newest version the accepting host knew
  std::uint64_t counter = 0;  // one more than the greatest the host had seen
  OperationId id;

  friend auto operator<=>(const OrderRank&, const OrderRank&) = default;
};

// What an operator asks for.
struct ChangeRequest {
  OperationId id;
  std::string path;
  nlohmann::json value;  // null removes
  std::string author;
  // The version the operator saw; a later change of an overlapping path is a
  // conflict.
  SettingsVersion base;
};

// One accepted change; the tree of version N is that of N - 1 with it applied.
struct SettingsChange {
  SettingsVersion version;
  OperationId id;
  std::string path;
  nlohmann::json value;
  nlohmann::json previous;  // value before the change
  std::string author;
  std::int64_t wall_us = 0;        // microseconds since the Unix epoch
  std::optional<OrderRank> order;  // set when it was an emergency order

  nlohmann::json ToJson() const;
  // Fails with kProtocol.
  static Result<SettingsChange> FromJson(const nlohmann::json& json);
};

// An order given while the store was down: an availability zone or a backend
// server out or in.
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

// Whether the path may be the subject of an emergency order: the state of an
// availability zone or of a backend server.
bool IsEmergencyPath(std::string_view path);

// Whether one path is the other or lies within it.
bool PathsOverlap(std::string_view left, std::string_view right);

}  // namespace dogwood
