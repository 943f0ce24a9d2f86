#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace dogwood {

// Lets one coroutine wait for a notification. All calls come from one thread.
// A notification without a waiter is kept for the next Wait.
class AsyncNotification {
 public:
  boost::asio::awaitable<void> Wait() {
    if (!is_notified_) {
      co_await boost::asio::async_initiate<
          const boost::asio::use_awaitable_t<>&, void()>(
          [this](auto handler) {
            waiter_ = std::make_unique<TypedHandler<decltype(handler)>>(
                std::move(handler));
          },
          boost::asio::use_awaitable);
    }
    is_notified_ = false;
  }

  // Resumes the waiting coroutine, if any, before it returns.
  void Notify() {
    is_notified_ = true;
    if (!waiter_) return;
    const std::unique_ptr<Handler> waiter = std::move(waiter_);
    waiter->Complete();
  }

  // Discards a notification that was kept.
  void Reset() { is_notified_ = false; }

 private:
  struct Handler {
    virtual ~Handler() = default;
    virtual void Complete() = 0;
  };
  template <typename Function>
  struct TypedHandler : Handler {
    explicit TypedHandler(Function given) : stored(std::move(given)) {}
    void Complete() override { std::move(stored)(); }
    Function stored;
  };

  std::unique_ptr<Handler> waiter_;
  bool is_notified_ = false;
};

}  // namespace dogwood
