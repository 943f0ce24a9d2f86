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

// HTTP front end of several simulated backend servers, each on its own port,
// with a control endpoint for statistics and faults. Runs on the thread of its
// io_context.
class BackendSimulator {
 public:
  struct Options {
    boost::asio::ip::tcp::endpoint first_endpoint;  // server N: port + N
    boost::asio::ip::tcp::endpoint control_endpoint;
    std::uint32_t count = 1;
    // Per server. Further connections are reset.
    std::uint32_t connection_limit = 260;
    // Work of a request without the header Standin-Work-Us.
    std::chrono::microseconds default_work_duration =
        std::chrono::milliseconds(10);
    // `name` is the prefix of all names, `index` that of the first server.
    BackendServerModel::Options server;
  };

  BackendSimulator(boost::asio::io_context& context, Options options);
  ~BackendSimulator();

  // Opens the listeners. Fails with kIo if an address is in use.
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
