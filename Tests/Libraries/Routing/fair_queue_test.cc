#include "Libraries/Routing/fair_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace dogwood {
namespace {

// Reference implementation of the order in docs/design.md 4.1 by linear search.
class ReferenceQueue {
 public:
  struct Item {
    RouterRequest request;
    double start_tag;
    std::uint64_t order;
  };

  void Push(const RouterRequest& request, double share) {
    const auto agreement = static_cast<int>(request.agreement);
    double& finish = finish_[{request.client_account, agreement}];
    const double start = std::max(virtual_time_[agreement], finish);
    finish = start + 1 / share;
    items_.push_back({request, start, order_++});
  }
  std::uint64_t Pop() {
    const auto first = std::min_element(
        items_.begin(), items_.end(), [](const Item& left, const Item& right) {
          return std::tie(left.request.agreement, left.start_tag,
                          left.request.arrival, left.order) <
                 std::tie(right.request.agreement, right.start_tag,
                          right.request.arrival, right.order);
        });
    const std::uint64_t id = first->request.id;
    double& time = virtual_time_[static_cast<int>(first->request.agreement)];
    time = std::max(time, first->start_tag);
    items_.erase(first);
    return id;
  }
  void Remove(std::uint64_t id) {
    std::erase_if(items_,
                  [&](const Item& item) { return item.request.id == id; });
  }
  std::size_t size() const { return items_.size(); }
  std::uint64_t id_at(std::size_t index) const {
    return items_[index].request.id;
  }

 private:
  std::vector<Item> items_;
  std::map<std::pair<ClientAccountIndex, int>, double> finish_;
  double virtual_time_[2] = {0, 0};
  std::uint64_t order_ = 0;
};

// Guards against any difference between the heap of flows and the specified
// order.
TEST_CASE("The queue serves in the same order as a linear search") {
  CHECK(rc::check([] {
    FairQueue queue;
    ReferenceQueue reference;
    std::map<std::uint64_t, FairQueue::Entry> entries;
    const std::vector<double> shares = {1, 2, 5, 0.5};
    for (ClientAccountIndex client_account = 0; client_account < shares.size();
         ++client_account) {
      queue.SetShare(client_account, shares[client_account]);
    }
    std::uint64_t id = 0;
    TimePoint now{};
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 24));
    for (const int step : steps) {
      now += std::chrono::milliseconds(1);
      if (step < 12) {
        const auto client_account = static_cast<ClientAccountIndex>(step % 4);
        const RouterRequest request{
            .id = ++id,
            .client_account = client_account,
            .agreement = step < 8 ? AgreementCompliance::kWithin
                                  : AgreementCompliance::kOver,
            .arrival = now};
        entries[id] = queue.Push(request);
        reference.Push(request, shares[client_account]);
      } else if (reference.size() == 0) {
        RC_ASSERT(queue.empty());
      } else if (step < 20) {
        const FairQueue::Entry head = queue.head();
        const std::uint64_t served = queue.request(head).id;
        RC_ASSERT(served == reference.Pop());
        queue.Serve(head);
        entries.erase(served);
      } else {
        const std::uint64_t cancelled =
            reference.id_at(static_cast<std::size_t>(step) % reference.size());
        reference.Remove(cancelled);
        queue.Remove(entries.at(cancelled));
        entries.erase(cancelled);
      }
      RC_ASSERT(queue.size() == reference.size());
    }
  }));
}

// Guards against a client account over its agreement that delays requests
// within their agreement.
TEST_CASE("Requests within their agreement are served first") {
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    queue.Push({.id = id,
                .client_account = 0,
                .agreement = AgreementCompliance::kOver});
  }
  queue.Push({.id = 100, .client_account = 1});
  CHECK(queue.request(queue.head()).id == 100);
}

// Guards against service in order of arrival only, which favors the client
// account that sends more.
TEST_CASE(
    "Backlogged client accounts are served in proportion to their shares") {
  FairQueue queue;
  queue.SetShare(0, 1);
  queue.SetShare(1, 3);
  for (std::uint64_t id = 0; id < 400; ++id)
    queue.Push({.id = id, .client_account = 0});
  for (std::uint64_t id = 400; id < 800; ++id) {
    queue.Push({.id = id, .client_account = 1});
  }
  int served[2] = {0, 0};
  for (int count = 0; count < 200; ++count) {
    ++served[queue.request(queue.head()).client_account];
    queue.Serve(queue.head());
  }
  CHECK(served[0] >= 49);
  CHECK(served[0] <= 51);
}

}  // namespace
}  // namespace dogwood
