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

// A host in the platform's host list, which shows changes after a delay.
struct HostListEntry {
  enum class State { kLive, kLeaving };

  HostId host;
  ZoneId zone;
  std::string address;       // IP:PORT where callers connect
  std::string peer_address;  // IP:PORT where other hosts connect
  State state = State::kLive;
};

// Client of the platform's host list. Must be used on the control thread.
class HostListClient {
 public:
  HostListClient(boost::asio::any_io_executor executor,
                 boost::asio::ip::tcp::endpoint platform_endpoint);
  ~HostListClient();

  // Returns all hosts of the list. Fails with kUnavailable or
  // kDeadlineExceeded.
  boost::asio::awaitable<Result<std::vector<HostListEntry>>> Read(
      Duration timeout);

  // Adds or replaces this host's entry. Idempotent.
  boost::asio::awaitable<Result<void>> Announce(HostListEntry host,
                                                Duration timeout);

 private:
  std::unique_ptr<HttpClientPool> client_pool_;
};

}  // namespace dogwood
