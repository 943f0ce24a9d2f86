#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "Libraries/Core/core.h"

namespace dogwood {

// The hosts whose newest record is still to be told to others, each a limited
// number of times. Records sent least often come first, and of those the
// newest.
class ChangeQueue {
 public:
  // Starts counting anew when the host is queued already.
  void Add(const HostId& host);
  void Remove(const HostId& host);
  bool contains(const HostId& host) const { return places_.contains(host); }
  std::size_t size() const { return places_.size(); }

  // Offers hosts in order until `offer` returns kStop. A host that was taken
  // `send_limit` times leaves the queue.
  enum class Choice { kTake, kSkip, kStop };
  void Visit(unsigned send_limit,
             const std::function<Choice(const HostId&)>& offer);

 private:
  // Times sent, age (smaller is newer), host.
  using Place = std::tuple<unsigned, std::int64_t, HostId>;

  std::set<Place> order_;
  std::map<HostId, std::set<Place>::iterator> places_;
  std::int64_t next_age_ = 0;
};

}  // namespace dogwood
