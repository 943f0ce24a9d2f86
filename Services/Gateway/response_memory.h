#pragma once

#include <cstddef>
#include <memory>

namespace dogwood {

// Memory for the response bodies that a host is receiving from its backend
// servers, over all connections.
class ResponseMemory {
 public:
  // Response bodies may take this fraction of the process's memory limit.
  static constexpr std::size_t kMemoryDivisor = 4;

  // Memory of one response; released on destruction.
  class Reservation {
   public:
    // Shared, because the frames of cancelled requests outlive the gateway.
    explicit Reservation(std::shared_ptr<ResponseMemory> memory)
        : memory_(std::move(memory)) {}
    ~Reservation() { memory_->used_bytes_ -= reserved_bytes_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Returns false, and reserves nothing, when the memory is used up.
    bool try_reserve(std::size_t bytes) {
      if (bytes > memory_->max_bytes_ - memory_->used_bytes_) return false;
      memory_->used_bytes_ += bytes;
      reserved_bytes_ += bytes;
      return true;
    }

   private:
    std::shared_ptr<ResponseMemory> memory_;
    std::size_t reserved_bytes_ = 0;
  };

  explicit ResponseMemory(std::size_t process_memory_bytes)
      : max_bytes_(process_memory_bytes / kMemoryDivisor) {}

 private:
  std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
};

}  // namespace dogwood
