#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Binary min-heap of dense indexes with one key each. Updates and removals by
// index take logarithmic time. Allocates only when the greatest index grows.
template <typename Key>
class IndexedHeap {
 public:
  void Resize(std::size_t indexes) {
    if (indexes <= positions_.size()) return;
    positions_.resize(indexes, kInvalidIndex);
    keys_.resize(indexes);
    heap_.reserve(indexes);
  }

  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  std::uint32_t top() const { return heap_.front(); }
  std::uint32_t at(std::size_t position) const { return heap_[position]; }
  const Key& key(std::uint32_t index) const { return keys_[index]; }
  bool contains(std::uint32_t index) const {
    return positions_[index] != kInvalidIndex;
  }

  void InsertOrUpdate(std::uint32_t index, Key key) {
    if (!contains(index)) {
      keys_[index] = std::move(key);
      positions_[index] = static_cast<std::uint32_t>(heap_.size());
      heap_.push_back(index);
      SiftUp(heap_.size() - 1);
      return;
    }
    keys_[index] = std::move(key);
    SiftUp(positions_[index]);
    SiftDown(positions_[index]);
  }

  void Remove(std::uint32_t index) {
    if (!contains(index)) return;
    const std::size_t position = positions_[index];
    const std::uint32_t last = heap_.back();
    heap_.pop_back();
    positions_[index] = kInvalidIndex;
    if (last == index) return;
    heap_[position] = last;
    positions_[last] = static_cast<std::uint32_t>(position);
    SiftUp(position);
    SiftDown(positions_[last]);
  }

  std::size_t bytes() const {
    return heap_.capacity() * sizeof(std::uint32_t) +
           positions_.capacity() * sizeof(std::uint32_t) +
           keys_.capacity() * sizeof(Key);
  }

 private:
  bool IsLess(std::size_t left, std::size_t right) const {
    return keys_[heap_[left]] < keys_[heap_[right]];
  }

  void Swap(std::size_t left, std::size_t right) {
    std::swap(heap_[left], heap_[right]);
    positions_[heap_[left]] = static_cast<std::uint32_t>(left);
    positions_[heap_[right]] = static_cast<std::uint32_t>(right);
  }

  void SiftUp(std::size_t position) {
    while (position > 0) {
      const std::size_t parent = (position - 1) / 2;
      if (!IsLess(position, parent)) return;
      Swap(position, parent);
      position = parent;
    }
  }

  void SiftDown(std::size_t position) {
    while (true) {
      std::size_t least = position;
      for (std::size_t child = 2 * position + 1;
           child <= 2 * position + 2 && child < heap_.size(); ++child) {
        if (IsLess(child, least)) least = child;
      }
      if (least == position) return;
      Swap(position, least);
      position = least;
    }
  }

  std::vector<std::uint32_t> heap_;
  std::vector<std::uint32_t> positions_;
  std::vector<Key> keys_;
};

}  // namespace dogwood
