#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class LinkFault {
  kNone,
  kDelay,        // bytes of both directions come late
  kReset,        // open connections are reset, new ones at once
  kCutToServer,  // bytes to the server vanish, answers pass
  kCutToCaller,  // answers vanish, bytes to the server pass
  kSilent,       // nothing passes, nothing is closed
};

inline constexpr NameTable<LinkFault, 6> kLinkFaultNames{{{
    {LinkFault::kNone, "none"},
    {LinkFault::kDelay, "delay"},
    {LinkFault::kReset, "reset"},
    {LinkFault::kCutToServer, "cut-to-server"},
    {LinkFault::kCutToCaller, "cut-to-caller"},
    {LinkFault::kSilent, "silent"},
}}};

// A loopback proxy between a process under test and a server, with faults that
// are switched while connections are open.
class FaultProxy {
 public:
  static constexpr Duration kDelay = std::chrono::milliseconds(150);

  FaultProxy(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint target);

  std::string address() const;
  void SetFault(LinkFault fault);

 private:
  using Socket = boost::asio::ip::tcp::socket;
  // Shared by the two directions, which end at different times.
  struct Link {
    explicit Link(boost::asio::io_context& io) : caller(io), server(io) {}
    Socket caller;
    Socket server;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Open(std::shared_ptr<Link> link);
  boost::asio::awaitable<void> Pump(std::shared_ptr<Link> link, Socket& from,
                                    Socket& to, LinkFault cut);
  static void Reset(Link& link);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LinkFault fault_ = LinkFault::kNone;
  std::set<std::shared_ptr<Link>> links_;
};

}  // namespace dogwood
