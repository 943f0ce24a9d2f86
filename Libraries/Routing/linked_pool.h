#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Object pool with stable indexes whose values are linked in insertion order.
// Allocates only when the number of values reaches a new maximum.
template <typename Value>
class LinkedPool {
 public:
  std::uint32_t Add(Value value) {
    std::uint32_t index = 0;
    if (unused_.empty()) {
      index = static_cast<std::uint32_t>(nodes_.size());
      nodes_.emplace_back();
      unused_.reserve(nodes_.capacity());
    } else {
      index = unused_.back();
      unused_.pop_back();
    }
    Node& node = nodes_[index];
    node.value = std::move(value);
    node.is_used = true;
    node.previous = last_;
    node.next = kInvalidIndex;
    (last_ == kInvalidIndex ? first_ : nodes_[last_].next) = index;
    last_ = index;
    ++size_;
    return index;
  }

  void Remove(std::uint32_t index) {
    Node& node = nodes_[index];
    VERIFY(node.is_used);
    node.is_used = false;
    (node.previous == kInvalidIndex ? first_ : nodes_[node.previous].next) =
        node.next;
    (node.next == kInvalidIndex ? last_ : nodes_[node.next].previous) =
        node.previous;
    unused_.push_back(index);
    --size_;
  }

  bool contains(std::uint32_t index) const {
    return index < nodes_.size() && nodes_[index].is_used;
  }
  Value& operator[](std::uint32_t index) { return nodes_[index].value; }
  const Value& operator[](std::uint32_t index) const {
    return nodes_[index].value;
  }
  // Index of the oldest value, or kInvalidIndex.
  std::uint32_t first() const { return first_; }
  std::uint32_t next(std::uint32_t index) const { return nodes_[index].next; }
  std::size_t size() const { return size_; }
  // Upper bound of all indexes.
  std::size_t capacity() const { return nodes_.size(); }
  std::size_t bytes() const {
    return nodes_.capacity() * sizeof(Node) +
           unused_.capacity() * sizeof(std::uint32_t);
  }

 private:
  struct Node {
    Value value{};
    std::uint32_t previous = kInvalidIndex;
    std::uint32_t next = kInvalidIndex;
    bool is_used = false;
  };

  std::vector<Node> nodes_;
  std::vector<std::uint32_t> unused_;
  std::uint32_t first_ = kInvalidIndex;
  std::uint32_t last_ = kInvalidIndex;
  std::size_t size_ = 0;
};

}  // namespace dogwood
