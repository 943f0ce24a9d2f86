#pragma once

#include <sys/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// A gateway process on a loopback address of its own, started with the command
// of the deploy file.
class GatewayHost {
 public:
  struct Options {
    std::string program;  // path of dogwood-gateway
    std::string directory;
    std::string address;
    std::string zone;
    std::string store;               // IP:PORT
    std::vector<std::string> seeds;  // addresses of gateways
  };

  static constexpr std::uint16_t kCallerPort = 8161;
  static constexpr std::uint16_t kControlPort = 8166;
  static constexpr std::uint16_t kReadinessPort = 8167;

  explicit GatewayHost(Options options) : options_(std::move(options)) {}
  ~GatewayHost();
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;

  bool Start();
  // Whether the process runs; collects it when it has ended.
  bool is_running();
  const std::string& address() const { return options_.address; }
  boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port) const;

 private:
  bool WriteSettings(const std::string& path) const;

  Options options_;
  pid_t process_ = -1;
};

// Waits until the gateway says that it is ready. Returns whether it did.
boost::asio::awaitable<bool> AwaitReady(const GatewayHost& host,
                                        Duration timeout);

boost::asio::awaitable<void> SleepUntil(TimePoint time);

}  // namespace dogwood
