#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "Libraries/Routing/routing.h"

namespace dogwood {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kServers = 4;
constexpr std::uint32_t kSlots = 3;

// Reference implementation for a single host by linear search. Any server with
// most free slots is a correct choice; the queue order follows docs/design.md
// 4.1.
struct ReferenceRouter {
  struct Waiting {
    RouterRequest request;
    double start_tag;
    std::uint64_t order;
  };

  std::uint32_t free(ServerIndex server) const {
    return kSlots - static_cast<std::uint32_t>(in_use[server].size());
  }
  // Greatest number of free slots of any server that the request may use.
  std::uint32_t most_free(const RouterRequest& request) const {
    std::uint32_t most = 0;
    for (ServerIndex server = 0; server < kServers; ++server) {
      if (server != request.excluded) most = std::max(most, free(server));
    }
    return most;
  }
  void Enqueue(const RouterRequest& request) {
    const auto agreement = static_cast<int>(request.agreement);
    double& finish = finishes[{request.client_account, agreement}];
    const double start = std::max(virtual_times[agreement], finish);
    finish = start + 1;
    queue.push_back({request, start, order++});
  }
  // Removes and returns the request to serve next, or 0.
  std::uint64_t Next() {
    const auto first = std::min_element(
        queue.begin(), queue.end(),
        [](const Waiting& left, const Waiting& right) {
          return std::tie(left.request.agreement, left.start_tag,
                          left.request.arrival, left.order) <
                 std::tie(right.request.agreement, right.start_tag,
                          right.request.arrival, right.order);
        });
    if (first == queue.end()) return 0;
    double& time = virtual_times[static_cast<int>(first->request.agreement)];
    time = std::max(time, first->start_tag);
    const std::uint64_t id = first->request.id;
    queue.erase(first);
    return id;
  }

  std::vector<std::set<std::uint32_t>> in_use{kServers};
  std::vector<Waiting> queue;
  std::map<std::pair<ClientAccountIndex, int>, double> finishes;
  double virtual_times[2] = {0, 0};
  std::uint64_t order = 0;
};

// Guards against lost or duplicated slots, wrong queue order, grants that
// overtake a waiting request, and requests that stay queued after their
// deadline or cancellation.
TEST_CASE("The router decides like the reference implementation") {
  CHECK(rc::check([] {
    std::mt19937_64 engine(1);
    ServiceRouter router({}, engine);
    RouterActions actions;
    TimePoint now{};
    RouterConfiguration fleet{.hosts = {HostId("a")},
                              .self = HostId("a"),
                              .lease_rule = PermitLeaseRule::kSingleHost};
    for (std::uint32_t server = 0; server < kServers; ++server) {
      fleet.servers.push_back(
          {.id = ServerId("s" + std::to_string(server)), .slots = kSlots});
    }
    router.ApplyConfiguration(fleet, now, actions);
    now += seconds(2);
    router.Tick(now, actions);
    ReferenceRouter reference;
    std::vector<Permit> held;
    std::uint64_t id = 0;
    const auto take = [&](const Permit& permit) {
      RC_ASSERT(permit.slot < kSlots);
      RC_ASSERT(reference.in_use[permit.server].insert(permit.slot).second);
      held.push_back(permit);
    };
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        300, rc::gen::inRange<std::uint32_t>(0, 100000));
    for (const std::uint32_t step : steps) {
      actions.clear();
      now += milliseconds(1);
      const std::uint32_t value = step / 10;
      if (step % 10 < 5) {
        RouterRequest request{.id = ++id,
                              .client_account = value % 3,
                              .agreement = value / 3 % 2 == 0
                                               ? AgreementCompliance::kWithin
                                               : AgreementCompliance::kOver,
                              .arrival = now,
                              .deadline = now + milliseconds(20 + value % 500)};
        const bool can_run = reference.most_free(request) > 0;
        // Excludes a server only if another one is free, since the search of
        // the queue past excluded heads is bounded and that of the reference is
        // not.
        if (can_run && value % 5 == 0) {
          request.excluded = value % kServers;
          if (reference.most_free(request) == 0)
            request.excluded = kInvalidIndex;
        }
        const std::uint32_t most = reference.most_free(request);
        const PermitAcquisition result = router.Acquire(request, now, actions);
        if (most > 0) {
          RC_ASSERT(result.kind == PermitAcquisition::Kind::kGranted);
          RC_ASSERT(result.permit.server != request.excluded);
          RC_ASSERT(reference.free(result.permit.server) == most);
          take(result.permit);
        } else {
          RC_ASSERT(result.kind == PermitAcquisition::Kind::kQueued);
          reference.Enqueue(request);
        }
      } else if (step % 10 < 8) {
        if (held.empty()) continue;
        const std::size_t index = value % held.size();
        const Permit permit = held[index];
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
        reference.in_use[permit.server].erase(permit.slot);
        router.Complete(permit, {}, now, actions);
        const bool has_waiting = !reference.queue.empty();
        RC_ASSERT(actions.size() == (has_waiting ? 1U : 0U));
        if (has_waiting) {
          RC_ASSERT(actions[0].kind == RouterAction::Kind::kGrant);
          RC_ASSERT(actions[0].permit.server == permit.server);
          RC_ASSERT(actions[0].request == reference.Next());
          take(actions[0].permit);
        }
      } else if (step % 10 == 8) {
        if (reference.queue.empty()) continue;
        const auto entry =
            reference.queue.begin() +
            static_cast<std::ptrdiff_t>(value % reference.queue.size());
        RC_ASSERT(router.Cancel(entry->request.id, now, actions));
        reference.queue.erase(entry);
      } else {
        now += milliseconds(value % 100);
        router.Tick(now, actions);
        std::set<std::uint64_t> expired;
        for (const auto& waiting : reference.queue) {
          if (waiting.request.deadline <= now) {
            expired.insert(waiting.request.id);
          }
        }
        std::erase_if(reference.queue, [&](const auto& waiting) {
          return waiting.request.deadline <= now;
        });
        std::set<std::uint64_t> refused;
        for (const RouterAction& action : actions) {
          RC_ASSERT(action.kind == RouterAction::Kind::kRefuse);
          refused.insert(action.request);
        }
        RC_ASSERT(refused == expired);
      }
      RC_ASSERT(router.queue_length() == reference.queue.size());
      RC_ASSERT(router.permits().free_permits() ==
                std::size_t{kServers} * kSlots - held.size());
    }
  }));
}

}  // namespace
}  // namespace dogwood
