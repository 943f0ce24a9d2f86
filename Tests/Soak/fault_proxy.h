#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "Libraries/Core/core.h"

namespace dogwood {

// Faults of the network connection between two processes.
enum class LinkFault {
  kNone,
  kDelay,        // delays bytes in both directions
  kReset,        // resets open and new connections
  kCutToServer,  // discards bytes to the server only
  kCutToCaller,  // discards bytes to the caller only
  kSilent,       // forwards and closes nothing
};

inline constexpr EnumNames<LinkFault, 6> kLinkFaultNames{{{
    {LinkFault::kNone, "none"},
    {LinkFault::kDelay, "delay"},
    {LinkFault::kReset, "reset"},
    {LinkFault::kCutToServer, "cut-to-server"},
    {LinkFault::kCutToCaller, "cut-to-caller"},
    {LinkFault::kSilent, "silent"},
}}};

// TCP proxy on loopback between a process under test and a server. Its fault
// can be changed while connections are open.
class FaultProxy {
 public:
  static constexpr Duration kDelay = std::chrono::milliseconds(150);

  FaultProxy(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint target);

  std::string address() const;
  // Applies to open and new connections.
  void SetFault(LinkFault fault);

 private:
  using Socket = boost::asio::ip::tcp::socket;
  // Shared by the coroutines of the two directions, which end independently.
  struct ProxiedConnection {
    explicit ProxiedConnection(boost::asio::io_context& io)
        : caller(io), server(io) {}
    Socket caller;
    Socket server;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> ConnectToServer(
      std::shared_ptr<ProxiedConnection> connection);
  boost::asio::awaitable<void> Forward(
      std::shared_ptr<ProxiedConnection> connection, Socket& from, Socket& to,
      LinkFault cut);
  static void Reset(ProxiedConnection& connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LinkFault fault_ = LinkFault::kNone;
  std::set<std::shared_ptr<ProxiedConnection>> connections_;
};

}  // namespace dogwood
