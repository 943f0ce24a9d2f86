#include "Tests/Soak/fault_proxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

FaultProxy::FaultProxy(asio::io_context& io, tcp::endpoint target)
    : io_(io),
      target_(std::move(target)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
  asio::co_spawn(io_, Accept(), asio::detached);
}

std::string FaultProxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void FaultProxy::SetFault(LinkFault fault) {
  // Bytes that a cut swallowed never arrive, so its connections end with it.
  const bool has_lost =
      fault_ == LinkFault::kCutToServer || fault_ == LinkFault::kCutToCaller;
  fault_ = fault;
  if (fault != LinkFault::kReset && !has_lost) return;
  for (const auto& link : links_) Reset(*link);
  links_.clear();
}

void FaultProxy::Reset(Link& link) {
  boost::system::error_code ignored;
  for (Socket* socket : {&link.caller, &link.server}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

asio::awaitable<void> FaultProxy::Accept() {
  for (;;) {
    auto link = std::make_shared<Link>(io_);
    const auto [error] =
        co_await acceptor_.async_accept(link->caller, kUseTuple);
    if (error) co_return;
    if (fault_ == LinkFault::kReset) {
      Reset(*link);
      continue;
    }
    links_.insert(link);
    asio::co_spawn(io_, Open(std::move(link)), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Open(std::shared_ptr<Link> link) {
  const auto [error] = co_await link->server.async_connect(target_, kUseTuple);
  if (error) {
    Reset(*link);
    links_.erase(link);
    co_return;
  }
  asio::co_spawn(
      io_, Pump(link, link->caller, link->server, LinkFault::kCutToServer),
      asio::detached);
  asio::co_spawn(
      io_, Pump(link, link->server, link->caller, LinkFault::kCutToCaller),
      asio::detached);
}

asio::awaitable<void> FaultProxy::Pump(std::shared_ptr<Link> link, Socket& from,
                                       Socket& to, LinkFault cut) {
  constexpr Duration kLook = std::chrono::milliseconds(20);
  std::array<char, 16384> buffer{};
  asio::steady_timer timer(io_);
  for (;;) {
    const auto [error, count] =
        co_await from.async_read_some(asio::buffer(buffer), kUseTuple);
    if (error) break;
    while (fault_ == LinkFault::kSilent && from.is_open()) {
      timer.expires_after(kLook);
      co_await timer.async_wait(kUseTuple);
    }
    if (fault_ == cut) continue;
    if (fault_ == LinkFault::kDelay) {
      timer.expires_after(kDelay);
      co_await timer.async_wait(kUseTuple);
    }
    const auto [failed, written] = co_await asio::async_write(
        to, asio::buffer(buffer.data(), count), kUseTuple);
    if (failed) break;
  }
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
  links_.erase(link);
}

}  // namespace dogwood
