#include "Tests/StandIns/backend_server_model.h"

#include <doctest/doctest.h>

namespace dogwood {
namespace {

BackendServerModel MakeModel() {
  return BackendServerModel(
      {.name = "s", .slots = 2, .responses_per_stage = 1});
}

TEST_CASE("Requests beyond the slots wait for the slot that is free first") {
  BackendServerModel model = MakeModel();
  CHECK(model.ScheduleWork(0, 1000) == 1000);
  CHECK(model.ScheduleWork(0, 500) == 500);
  CHECK(model.ScheduleWork(0, 100) == 600);
}

// Tests of cold starts depend on the simulated server crashing under overload.
TEST_CASE("A server that has reported its cold start crashes when overloaded") {
  BackendServerModel model = MakeModel();
  model.BeginColdStart();
  CHECK(model.Admit(0, false, {}) == Admission::kRun);
  CHECK(model.Admit(0, false, {}) == Admission::kRun);
  model.Finish(1);
  CHECK(model.Admit(2, false, {}) == Admission::kRun);
  CHECK(model.Admit(2, false, {}) == Admission::kRun);
  CHECK(model.statistics().max_active_requests_while_cold == 3);
  const std::string before = model.start_id();
  CHECK(model.Admit(2, false, {}) == Admission::kRun);
  CHECK(model.Admit(2, false, {}) == Admission::kCrash);
  CHECK(model.is_down(3));
  CHECK(model.start_id() != before);
  CHECK(model.statistics().crashes == 1);
}

TEST_CASE("A request marked to crash the server does so and is recorded") {
  BackendServerModel model = MakeModel();
  CHECK(model.Admit(0, true, {"id", "key", "party"}) == Admission::kCrash);
  CHECK(model.active_requests() == 0);
  REQUIRE(model.records().size() == 1);
  CHECK(model.records()[0].idempotency_key == "key");
}

TEST_CASE("A draining server sheds requests without recording them as run") {
  BackendServerModel model = MakeModel();
  model.set_draining(true);
  CHECK(model.Admit(0, false, {}) == Admission::kShed);
  CHECK(model.statistics().runs == 0);
  CHECK(model.records().empty());
}

}  // namespace
}  // namespace dogwood
