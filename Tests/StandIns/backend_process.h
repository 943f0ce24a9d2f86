#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <vector>

#include "Libraries/Http/http.h"
#include "Tests/StandIns/backend_server_model.h"

namespace dogwood {

// Serves several stand-in backend servers, each on its own port, and a control
// address. One thread.
class BackendProcess {
 public:
  struct Options {
    boost::asio::ip::tcp::endpoint first;  // server N listens on this port + N
    boost::asio::ip::tcp::endpoint control;
    std::uint32_t count = 1;
    std::uint32_t connection_limit =
        260;  // per server; more are closed at once
    // Work of a request that does not name its own length.
    std::chrono::microseconds default_work = std::chrono::milliseconds(10);
    BackendServerModel::Options
        server;  // name is a prefix, index the index of the first server
  };

  BackendProcess(boost::asio::io_context& context, Options options);
  ~BackendProcess();

  Result<void> Start();
  BackendServerModel& server(std::size_t index);

 private:
  struct Server;

  Result<void> Listen(Server& server, std::uint32_t index);
  boost::asio::awaitable<void> Accept(Server& server);
  boost::asio::awaitable<void> Serve(Server& server,
                                     boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<HttpResponse> HandleControl(HttpRequest request);
  HttpResponse ApplyAction(const HttpRequest& request);
  std::string StatisticsJson() const;
  std::string RunsText() const;

  boost::asio::io_context& context_;
  Options options_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::optional<HttpServer> control_;
};

}  // namespace dogwood
