#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

// The network path to a backend server: a proxy that can be cut. What a sender
// writes while the path is cut is held, as its kernel would hold and send it
// again: it arrives with the first retransmission after the end of the cut. It
// is lost if the sender resets the connection meanwhile, and it still arrives
// if the sender closes it in order. New connections are refused during a cut.
class HeldLink {
 public:
  // Retransmissions follow a write after this time, then after twice the time
  // of the one before.
  static constexpr Duration kFirstRetransmission =
      std::chrono::milliseconds(200);

  HeldLink(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);

  // Where senders connect.
  std::string address() const;
  void Cut();
  void Heal();

 private:
  struct Connection;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Forward(std::shared_ptr<Connection> connection);
  boost::asio::awaitable<void> Return(std::shared_ptr<Connection> connection);
  // Waits until bytes that were sent now arrive.
  boost::asio::awaitable<void> AwaitArrival();
  // Opens the port for new connections.
  void Listen();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::endpoint endpoint_;
  boost::asio::ip::tcp::acceptor acceptor_;
  bool is_cut_ = false;
};

}  // namespace dogwood
