#include "Libraries/Core/core.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <mutex>

namespace dogwood {
namespace {

Result<int> Half(int value) {
  if (value % 2 != 0)
    return Fail(ErrorCode::kInvalidArgument,
                "odd value " + std::to_string(value));
  return value / 2;
}

Result<int> Quarter(int value) {
  TRY_ASSIGN(const int half, Half(value));
  return Half(half);
}

TEST_CASE("Locks are taken in ascending rank and released in any order") {
  RankedMutex settings(LockRank::kSettings);
  RankedMutex routing(LockRank::kRouting);
  std::unique_lock first(settings);
  std::unique_lock second(routing);
  first.unlock();
  second.unlock();
  CheckAndPushLockRank(LockRank::kSettings);
  PopLockRank(LockRank::kSettings);
  CHECK(settings.rank() < routing.rank());
}

TEST_CASE("TRY_ASSIGN returns the error unchanged") {
  CHECK(Quarter(12).value() == 3);
  const Result<int> failed = Quarter(6);
  REQUIRE(failed.has_error());
  CHECK(failed.error().ToString() == "invalid-argument: odd value 3");
}

TEST_CASE("Name tables map enumerators to names and back") {
  CHECK(kErrorCodeNames.FindValue("conflict") == ErrorCode::kConflict);
  CHECK_FALSE(kErrorCodeNames.FindValue("none").has_value());
}

}  // namespace
}  // namespace dogwood
