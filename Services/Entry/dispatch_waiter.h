#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <optional>

#include "Services/Entry/permit_dispatcher.h"
#include "Services/Entry/signal.h"

namespace dogwood {

// A request that waits in a router's queue.
struct PermitDispatcher::Waiter {
  Waiter(boost::asio::any_io_executor given_executor,
         std::uint64_t given_fingerprint)
      : executor(std::move(given_executor)), fingerprint(given_fingerprint) {}

  boost::asio::any_io_executor executor;  // of the worker that waits
  std::uint64_t fingerprint;
  Signal signal;                     // notified on the worker
  std::optional<Decision> decision;  // set before the signal is posted
};

// The response to a peer's borrow request that is parked here.
struct PermitDispatcher::BorrowAnswer {
  Signal signal;
  bool is_lent = false;
  bool is_cancelled = false;  // by the borrower
  ServerId server;
  std::uint32_t slot = 0;
  std::uint32_t free_hint = 0;
};

}  // namespace dogwood
