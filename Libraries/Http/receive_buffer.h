#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstring>
#include <memory>
#include <string_view>

#include "Libraries/Core/core.h"

namespace dogwood {

// Fixed-capacity receive buffer of a connection. The memory is not initialized,
// so that pages that were never written use no resident memory.
class ReceiveBuffer {
 public:
  explicit ReceiveBuffer(std::size_t capacity)
      : bytes_(std::make_unique_for_overwrite<char[]>(capacity)),
        capacity_(capacity) {}

  std::string_view data() const {
    return {bytes_.get() + begin_, end_ - begin_};
  }
  bool empty() const { return begin_ == end_; }
  // Whether Prepare() returns no space.
  bool is_full() const { return end_ - begin_ == capacity_; }

  // Removes `count` bytes from the front of the data.
  void Consume(std::size_t count) {
    VERIFY(count <= end_ - begin_);
    begin_ += count;
    if (begin_ == end_) begin_ = end_ = 0;
  }
  void Clear() { begin_ = end_ = 0; }

  // Returns the free space after the data, which is empty when the buffer is
  // full. Moves the data to the front first when it ends in the second half.
  boost::asio::mutable_buffer Prepare() {
    if (begin_ > 0 && end_ > capacity_ / 2) {
      std::memmove(bytes_.get(), bytes_.get() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    return {bytes_.get() + end_, capacity_ - end_};
  }
  // Appends the first `count` bytes of the space from Prepare() to the data.
  void Commit(std::size_t count) {
    VERIFY(count <= capacity_ - end_);
    end_ += count;
    touched_bytes_ = std::max(touched_bytes_, end_);
  }
  // Resident memory that data has taken so far.
  std::size_t touched_bytes() const { return touched_bytes_; }

 private:
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_;
  std::size_t begin_ = 0;  // offset of the first byte of data
  std::size_t end_ = 0;    // offset after the last byte of data
  std::size_t touched_bytes_ = 0;
};

}  // namespace dogwood
