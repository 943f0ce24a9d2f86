#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace dogwood {

// Lets one coroutine wait for a notification on the same thread. A notification
// without a waiter is kept for the next Wait.
class Signal {
 public:
  boost::asio::awaitable<void> Wait() {
    if (!is_set_) {
      co_await boost::asio::async_initiate<
          const boost::asio::use_awaitable_t<>&, void()>(
          [this](auto handler) {
            waiter_ = std::make_unique<HandlerOf<decltype(handler)>>(
                std::move(handler));
          },
          boost::asio::use_awaitable);
    }
    is_set_ = false;
  }

  // Resumes the waiter before it returns.
  void Notify() {
    is_set_ = true;
    if (!waiter_) return;
    const std::unique_ptr<Handler> waiter = std::move(waiter_);
    waiter->Complete();
  }

  void Reset() { is_set_ = false; }

 private:
  struct Handler {
    virtual ~Handler() = default;
    virtual void Complete() = 0;
  };
  template <typename Stored>
  struct HandlerOf : Handler {
    explicit HandlerOf(Stored given) : stored(std::move(given)) {}
    void Complete() override { std::move(stored)(); }
    Stored stored;
  };

  std::unique_ptr<Handler> waiter_;
  bool is_set_ = false;
};

}  // namespace dogwood
