#pragma once

#include <boost/asio/buffer.hpp>
#include <cstring>
#include <memory>
#include <string_view>

#include "Libraries/Core/core.h"

namespace dogwood {

// Fixed-size receive buffer of a connection. The memory is left uninitialized,
// so that pages an idle connection never fills take no resident memory.
class ByteBuffer {
 public:
  explicit ByteBuffer(std::size_t capacity)
      : bytes_(std::make_unique_for_overwrite<char[]>(capacity)),
        capacity_(capacity) {}

  std::string_view data() const {
    return {bytes_.get() + begin_, end_ - begin_};
  }
  bool empty() const { return begin_ == end_; }

  void Consume(std::size_t count) {
    VERIFY(count <= end_ - begin_);
    begin_ += count;
    if (begin_ == end_) begin_ = end_ = 0;
  }
  void Clear() { begin_ = end_ = 0; }

  // Free space behind the data; moves the data to the front first when most of
  // the space is used up. Empty when the buffer is full.
  boost::asio::mutable_buffer Prepare() {
    if (begin_ > 0 && end_ > capacity_ / 2) {
      std::memmove(bytes_.get(), bytes_.get() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    return {bytes_.get() + end_, capacity_ - end_};
  }
  void Commit(std::size_t count) {
    VERIFY(count <= capacity_ - end_);
    end_ += count;
  }

 private:
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace dogwood
