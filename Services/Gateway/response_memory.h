#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace dogwood {

// Memory for the response bodies that a host holds, over all connections: from
// the first byte that a backend server sends until the caller has taken the
// last one.
class ResponseMemory {
 public:
  // Response bodies may take this fraction of the process's memory limit.
  static constexpr std::size_t kMemoryDivisor = 4;
  // Requests, responses and connections to callers together may take this
  // fraction. The rest is left to the program and its tables.
  static constexpr std::size_t kCommonNumerator = 5;
  static constexpr std::size_t kCommonDivisor = 8;
  // Larger responses leave a part of the memory to the others, so that a few of
  // them, read slowly or sent without end, do not fail all requests.
  static constexpr std::size_t kSmallResponseBytes = std::size_t{256} << 10U;
  static constexpr std::size_t kSmallResponseDivisor = 16;

  // Memory of one response; released on destruction.
  class Reservation {
   public:
    Reservation() = default;
    // Shared, because the frames of cancelled requests outlive the gateway.
    explicit Reservation(std::shared_ptr<ResponseMemory> memory)
        : memory_(std::move(memory)) {}
    ~Reservation() { Release(); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    Reservation(Reservation&& other) noexcept
        : memory_(std::move(other.memory_)),
          reserved_bytes_(std::exchange(other.reserved_bytes_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      Release();
      memory_ = std::move(other.memory_);
      reserved_bytes_ = std::exchange(other.reserved_bytes_, 0);
      return *this;
    }

    // Returns false, and reserves nothing, when the memory is used up.
    bool try_reserve(std::size_t bytes) {
      if (!memory_->has_room(bytes, reserved_bytes_ + bytes)) return false;
      memory_->used_bytes_ += bytes;
      reserved_bytes_ += bytes;
      return true;
    }

   private:
    void Release() {
      if (memory_) memory_->used_bytes_ -= reserved_bytes_;
      reserved_bytes_ = 0;
      memory_.reset();
    }

    std::shared_ptr<ResponseMemory> memory_;
    std::size_t reserved_bytes_ = 0;
  };

  explicit ResponseMemory(std::size_t process_memory_bytes)
      : max_bytes_(process_memory_bytes / kMemoryDivisor),
        max_common_bytes_(process_memory_bytes / kCommonDivisor *
                          kCommonNumerator) {}

  // Whether `bytes` more can be reserved for a response that then takes
  // `response_bytes`.
  bool has_room(std::size_t bytes, std::size_t response_bytes) const {
    const std::size_t kept_bytes = response_bytes <= kSmallResponseBytes
                                       ? 0
                                       : max_bytes_ / kSmallResponseDivisor;
    return used_bytes_ + bytes <= max_bytes_ - kept_bytes &&
           request_bytes_ + used_bytes_ + bytes <= max_common_bytes_;
  }
  // Whether requests may take `request_bytes` in all beside the responses.
  bool has_room_for_requests(std::size_t request_bytes) const {
    return request_bytes + used_bytes_ <= max_common_bytes_;
  }
  void set_request_bytes(std::size_t bytes) { request_bytes_ = bytes; }
  // Sets what is called when a response finds the memory used up. It may give
  // up a response that its caller does not read.
  void set_on_exhausted(std::function<void()> on_exhausted) {
    on_exhausted_ = std::move(on_exhausted);
  }
  void OnExhausted() const {
    if (on_exhausted_) on_exhausted_();
  }
  std::size_t used_bytes() const { return used_bytes_; }

 private:
  std::size_t max_bytes_;
  std::size_t max_common_bytes_;
  std::size_t used_bytes_ = 0;
  std::size_t request_bytes_ = 0;
  std::function<void()> on_exhausted_;
};

}  // namespace dogwood
