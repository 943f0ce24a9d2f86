#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

class HttpClientPool;

// A host as the platform's lagging list shows it.
struct ListedHost {
  enum class State { kLive, kLeaving };

  HostId host;
  ZoneId zone;
  std::string address;       // IP:PORT for callers
  std::string peer_address;  // IP:PORT for other hosts
  State state = State::kLive;
};

// The platform's host list. Used on the control thread.
class HostList {
 public:
  HostList(boost::asio::any_io_executor executor,
           boost::asio::ip::tcp::endpoint platform);
  ~HostList();

  // Fails with kUnavailable or kDeadlineExceeded.
  boost::asio::awaitable<Result<std::vector<ListedHost>>> Read(
      Duration timeout);

  // Adds or replaces this host's entry. Repeating is safe.
  boost::asio::awaitable<Result<void>> Announce(ListedHost host,
                                                Duration timeout);

 private:
  std::unique_ptr<HttpClientPool> clients_;
};

}  // namespace dogwood
