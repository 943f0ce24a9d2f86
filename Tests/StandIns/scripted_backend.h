#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http.h"

namespace dogwood {

// A request as received by a ScriptedBackend.
struct SeenRequest {
  std::string method;
  std::string target;
  std::string id;
  std::string expected_server;
  std::string time_left_ms;
  std::string body;
};

// What happens to a connection after a response.
enum class AfterAnswer { kKeep, kClose, kReset };

// The raw bytes of a response, and what to do with the connection afterwards.
struct ScriptedAnswer {
  std::string bytes;
  AfterAnswer then = AfterAnswer::kKeep;
  Duration delay{};
  bool is_silent = false;  // waits for the peer to close
};

// Backend server whose responses are defined by a test. Health checks succeed
// and are not passed to the script.
class ScriptedBackend {
 public:
  using Script = std::function<ScriptedAnswer(const SeenRequest&)>;

  ScriptedBackend(boost::asio::io_context& io, std::string id, Script script);

  std::string address() const;
  // Returns the registration of this backend server for the store.
  std::string Registration(const std::string& service, const std::string& zone,
                           const std::string& state = "ready") const;
  const std::string& id() const { return id_; }
  const std::vector<SeenRequest>& seen() const { return seen_; }
  void set_cold(Duration cold_left) { cold_left_ = cold_left; }
  // Delays the responses to health checks.
  void set_health_delay(Duration delay) { health_delay_ = delay; }
  // Leaves health checks unanswered.
  void set_health_silent() { is_health_silent_ = true; }
  // Health checks received so far.
  int health_checks() const { return health_checks_; }
  // Requests that got no response before their connection was closed.
  int abandoned_count() const { return abandoned_requests_; }

  // Returns a valid 200 response to a request.
  static std::string Sound(const SeenRequest& request, const std::string& body,
                           const std::string& more_fields = "");

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  ScriptedAnswer MakeAnswer(const SeenRequest& request);

  boost::asio::io_context& io_;
  std::string id_;
  Script script_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<SeenRequest> seen_;
  Duration cold_left_{};
  Duration health_delay_{};
  bool is_health_silent_ = false;
  int health_checks_ = 0;
  int abandoned_requests_ = 0;
};

}  // namespace dogwood
