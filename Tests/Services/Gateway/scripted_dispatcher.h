#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>

#include "Libraries/Balancing/balancing.h"

namespace dogwood {

// Entry host of the fixture's availability zone that dispatches one service and
// answers selection requests as a test says.
class ScriptedDispatcher {
 public:
  using Decide = std::function<ServerKey(const SelectionRequest&)>;

  // Joins the zone of the host at `peer`, with an address for which the host
  // takes it for the dispatcher of the service.
  ScriptedDispatcher(boost::asio::io_context& io, const ServiceId& service,
                     const boost::asio::ip::address& peer, std::uint16_t port)
      : peer_(peer, port),
        ip_(FindAddress(service, peer)),
        socket_(io, {boost::asio::ip::make_address(ip_), port}),
        timer_(io) {
    boost::asio::co_spawn(io, Gossip(), boost::asio::detached);
    boost::asio::co_spawn(io, Answer(), boost::asio::detached);
  }

  void set_decide(Decide decide) { decide_ = std::move(decide); }

 private:
  static constexpr auto kUseAwaitableTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  static std::string FindAddress(const ServiceId& service,
                                 const boost::asio::ip::address& peer) {
    const ZoneId zone("z");
    // Differs from the addresses of the fixture in the last byte.
    const std::string host = peer.to_string();
    const std::string prefix = host.substr(0, host.rfind('.') + 1);
    constexpr unsigned kCapacity = 100;
    for (int last_byte = 251;; --last_byte) {
      std::string ip = prefix + std::to_string(last_byte);
      PeerTable peers(host, zone, kCapacity, MonotonicNow());
      peers.Merge({ip, zone, Incarnation(1), {}, false, kCapacity},
                  MonotonicNow());
      if (peers.DispatcherFor(service, zone, MonotonicNow()) == ip) return ip;
    }
  }

  void Send(const PeerMessage& message) {
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(EncodePeerMessage(message)), peer_, 0,
                    ignored);
  }

  boost::asio::awaitable<void> Gossip() {
    for (;;) {
      GossipMessage gossip;
      gossip.sender = {ip_, ZoneId("z"), Incarnation(1), {}, false, 100};
      Send(gossip);
      timer_.expires_after(std::chrono::milliseconds(50));
      const auto [error] = co_await timer_.async_wait(kUseAwaitableTuple);
      if (error) co_return;
    }
  }

  boost::asio::awaitable<void> Answer() {
    std::array<std::uint8_t, 65536> buffer{};
    for (;;) {
      boost::asio::ip::udp::endpoint sender;
      const auto [error, size] = co_await socket_.async_receive_from(
          boost::asio::buffer(buffer), sender, kUseAwaitableTuple);
      if (error) co_return;
      const auto message = DecodePeerMessage({buffer.data(), size});
      if (!message) continue;
      const auto* request = std::get_if<SelectionRequest>(&message.value());
      if (request == nullptr || !decide_) continue;
      ServerSelection selection;
      selection.server = decide_(*request);
      Send(SelectionResponse{request->request_number, AdmissionDecision::kSend,
                             selection});
    }
  }

  boost::asio::ip::udp::endpoint peer_;
  std::string ip_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  Decide decide_;
};

}  // namespace dogwood
