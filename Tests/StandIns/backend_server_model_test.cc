#include "Tests/StandIns/backend_server_model.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

BackendServerModel MakeModel() {
  return BackendServerModel({.name = "s", .slots = 2, .warm_after = 1});
}

TEST_CASE("Work beyond the slots waits for the slot that frees first") {
  BackendServerModel model = MakeModel();
  CHECK(model.ScheduleWork(0, 1000) == 1000);
  CHECK(model.ScheduleWork(0, 500) == 500);
  CHECK(model.ScheduleWork(0, 100) == 600);
}

// Guards against a stand-in that forgives overload in a cold start.
TEST_CASE("A server that has shown its cold start falls over under full load") {
  BackendServerModel model = MakeModel();
  model.TurnCold();
  CHECK(model.Admit(0, false, {}) == Admission::kRun);
  CHECK(model.Admit(0, false, {}) == Admission::kRun);
  model.Finish(1);
  CHECK(model.Admit(2, false, {}) == Admission::kRun);
  CHECK(model.Admit(2, false, {}) == Admission::kRun);
  CHECK(model.statistics().max_in_work_cold == 3);
  const std::string before = model.start_id();
  CHECK(model.Admit(2, false, {}) == Admission::kRun);
  CHECK(model.Admit(2, false, {}) == Admission::kCrash);
  CHECK(model.is_down(3));
  CHECK(model.start_id() != before);
  CHECK(model.statistics().crashes == 1);
}

TEST_CASE("A marked request crashes the server that runs it") {
  BackendServerModel model = MakeModel();
  CHECK(model.Admit(0, true, {"id", "key", "party"}) == Admission::kCrash);
  CHECK(model.in_work() == 0);
  REQUIRE(model.records().size() == 1);
  CHECK(model.records()[0].idempotency_key == "key");
}

TEST_CASE("A draining server sheds and does not count the request as run") {
  BackendServerModel model = MakeModel();
  model.set_draining(true);
  CHECK(model.Admit(0, false, {}) == Admission::kShed);
  CHECK(model.statistics().runs == 0);
  CHECK(model.records().empty());
}

}  // namespace
}  // namespace dogwood
