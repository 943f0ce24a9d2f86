#include "Libraries/Membership/change_queue.h"

#include <vector>

namespace dogwood {

void ChangeQueue::Add(const HostId& host) {
  Remove(host);
  places_[host] = order_.emplace(0U, --next_age_, host).first;
}

void ChangeQueue::Remove(const HostId& host) {
  const auto found = places_.find(host);
  if (found == places_.end()) return;
  order_.erase(found->second);
  places_.erase(found);
}

void ChangeQueue::Visit(unsigned send_limit,
                        const std::function<Choice(const HostId&)>& offer) {
  std::vector<Place> taken;
  for (const Place& place : order_) {
    const Choice choice = offer(std::get<HostId>(place));
    if (choice == Choice::kStop) break;
    if (choice == Choice::kTake) taken.push_back(place);
  }
  for (const auto& [sent, age, host] : taken) {
    Remove(host);
    if (sent + 1 < send_limit)
      places_[host] = order_.emplace(sent + 1, age, host).first;
  }
}

}  // namespace dogwood
