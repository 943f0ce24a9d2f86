#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <optional>

#include "Services/Entry/async_notification.h"
#include "Services/Entry/permit_dispatcher.h"

namespace dogwood {

// A request that waits in a service router's queue for its dispatch decision.
struct PermitDispatcher::Waiter {
  Waiter(boost::asio::any_io_executor given_executor,
         std::uint64_t given_fingerprint)
      : executor(std::move(given_executor)), fingerprint(given_fingerprint) {}

  boost::asio::any_io_executor executor;  // of the request's worker
  std::uint64_t fingerprint;
  AsyncNotification signal;          // notified on the worker
  std::optional<Decision> decision;  // set before the signal is posted
};

// Holds back the response to a peer's borrow request until the borrow is
// granted, refused or cancelled.
struct PermitDispatcher::BorrowAnswer {
  AsyncNotification signal;
  bool is_lent = false;
  bool is_cancelled = false;  // by the borrowing peer
  ServerId server;
  std::uint32_t slot = 0;
  std::uint32_t free_hint = 0;
};

}  // namespace dogwood
