#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dogwood {

// Strongly typed identifier: identifiers with different tags do not convert
// into each other.
template <typename Tag, typename Value>
class StrongId {
 public:
  using ValueType = Value;

  StrongId() = default;
  explicit StrongId(Value value) : value_(std::move(value)) {}

  const Value& value() const { return value_; }

  friend bool operator==(const StrongId&, const StrongId&) = default;
  friend auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  Value value_{};
};

using HostId = StrongId<struct HostIdTag, std::string>;
using ZoneId = StrongId<struct ZoneIdTag, std::string>;
// A client account.
using ClientAccountId = StrongId<struct ClientAccountIdTag, std::string>;
using ServiceId = StrongId<struct ServiceIdTag, std::string>;
// A backend server.
using ServerId = StrongId<struct ServerIdTag, std::string>;
using RequestId = StrongId<struct RequestIdTag, std::string>;
using OperationId = StrongId<struct OperationIdTag, std::string>;

// Start time of a process in milliseconds since the Unix epoch. Orders the
// processes of one host.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
// Version of the settings history; 0 is the empty history.
using SettingsVersion = StrongId<struct SettingsVersionTag, std::uint64_t>;

}  // namespace dogwood

template <typename Tag, typename Value>
struct std::hash<dogwood::StrongId<Tag, Value>> {
  std::size_t operator()(
      const dogwood::StrongId<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value());
  }
};
