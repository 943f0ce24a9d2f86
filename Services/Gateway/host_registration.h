#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Lets entry hosts find each other through a table of the store that holds one
// row a host: its name, and its address with its availability zone. Calls of
// the store are paid for, so only the stewards of a zone register and read it:
// they find the other zones' stewards and any part of their own zone that the
// contacts of the settings did not lead to. A host that finds nobody is its own
// zone's steward.
class HostRegistration {
 public:
  // After the start, contacts of the settings have answered by then.
  static constexpr Duration kMeetTime = std::chrono::milliseconds(600);
  // After a call that the store refused or that was lost, and between looks at
  // whether this host has become a steward.
  static constexpr Duration kPause = std::chrono::milliseconds(700);
  // Parts of a zone that never met find each other after this time.
  static constexpr Duration kRenewAfter = std::chrono::seconds(10);

  HostRegistration(GatewayContext& context, platform::StoreClient& store,
                   ContactBook& contacts)
      : context_(context), store_(store), contacts_(contacts) {}

  boost::asio::awaitable<void> Run();

 private:
  // Both return whether the store answered.
  boost::asio::awaitable<bool> Write();
  boost::asio::awaitable<bool> Read();
  std::string OwnValue() const;
  void TakeRow(const platform::StoreRow& row);

  GatewayContext& context_;
  platform::StoreClient& store_;
  ContactBook& contacts_;
  bool is_registered_ = false;
};

}  // namespace dogwood
