#pragma once

#include <boost/asio/awaitable.hpp>

#include "Services/Gateway/poison_request_guard.h"

namespace dogwood {

// Keeps the fingerprints of refused requests in a table of the store, so that
// the hosts still refuse them after all of them have restarted.
//
// Store calls are billed: only the host that attributes the last crash writes,
// and only gossip relays read, once after their start. Other hosts learn of the
// records by gossip.
class RefusedRequestStore {
 public:
  using Records = PoisonRequestGuard::Records;
  using LoadFunction = std::function<void(const Records& records)>;

  // Between attempts to read or write, and between checks whether this host has
  // become a gossip relay.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(700);

  RefusedRequestStore(GatewayContext& context, platform::StoreClient& store)
      : context_(context), store_(store) {}

  // Passes the stored records to `on_load` once this host is a gossip relay.
  void Start(LoadFunction on_load);
  // Writes each record, retrying until it expires.
  void Save(const Records& records);

 private:
  boost::asio::awaitable<void> Load(LoadFunction on_load);
  boost::asio::awaitable<void> Write(SuspectRecord record);

  GatewayContext& context_;
  platform::StoreClient& store_;
};

}  // namespace dogwood
