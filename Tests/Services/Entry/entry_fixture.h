#pragma once

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Services/Entry/entry_host.h"
#include "Services/Entry/local_policy_dispatcher.h"

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

inline tcp::endpoint LoopbackEndpoint(unsigned short port = 0) {
  return {asio::ip::address_v4::loopback(), port};
}

// Size of one read from a socket.
constexpr std::size_t kReadBufferBytes = 4096;

// Reads until the bytes contain `delimiter` or the stream ends, and returns the
// bytes up to and including the delimiter. Later bytes stay in `rest`.
inline std::string ReadUntil(tcp::socket& socket, std::string& rest,
                             std::string_view delimiter) {
  while (rest.find(delimiter) == std::string::npos) {
    char bytes[kReadBufferBytes];
    boost::system::error_code error;
    const std::size_t count = socket.read_some(asio::buffer(bytes), error);
    rest.append(bytes, count);
    if (error) break;
  }
  const std::size_t position = rest.find(delimiter);
  const std::size_t end =
      position == std::string::npos ? rest.size() : position + delimiter.size();
  std::string result = rest.substr(0, end);
  rest.erase(0, end);
  return result;
}

// Reads `count` bytes, fewer if the stream ends. Later bytes stay in `rest`.
inline std::string ReadBytes(tcp::socket& socket, std::string& rest,
                             std::size_t count) {
  while (rest.size() < count) {
    char bytes[kReadBufferBytes];
    boost::system::error_code error;
    const std::size_t received = socket.read_some(asio::buffer(bytes), error);
    rest.append(bytes, received);
    if (error) break;
  }
  std::string result = rest.substr(0, count);
  rest.erase(0, count);
  return result;
}

// A connection that FakeBackendServer accepted.
struct FakeBackendConnection {
  explicit FakeBackendConnection(tcp::socket given)
      : socket(std::move(given)) {}

  std::string ReadHead() { return ReadUntil(socket, rest, "\r\n\r\n"); }
  std::string ReadBody(std::size_t count) {
    return ReadBytes(socket, rest, count);
  }
  void Send(std::string_view bytes) {
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
  }
  // Waits until the entry host closes the connection or sends bytes; returns
  // whether it closed the connection.
  bool WaitForClose() {
    char byte = 0;
    boost::system::error_code error;
    socket.read_some(asio::buffer(&byte, 1), error);
    return static_cast<bool>(error);
  }

  tcp::socket socket;
  std::string rest;
};

// A scripted backend server. Accepts connections on an ephemeral port and runs
// the script for each connection on a separate thread.
class FakeBackendServer {
 public:
  using Script = std::function<void(FakeBackendConnection&)>;

  explicit FakeBackendServer(Script script)
      : script_(std::move(script)), acceptor_(context_, LoopbackEndpoint()) {
    accept_thread_ = std::thread([this] { Accept(); });
  }

  ~FakeBackendServer() {
    is_stopping_ = true;
    // Connects to unblock the pending accept.
    boost::system::error_code ignored;
    asio::io_context context;
    tcp::socket wake_socket(context);
    wake_socket.connect(acceptor_.local_endpoint(), ignored);
    accept_thread_.join();
    for (auto& connection : connections_)
      connection->socket.shutdown(tcp::socket::shutdown_both, ignored);
    for (std::thread& script_thread : script_threads_) script_thread.join();
  }

  unsigned short port() const { return acceptor_.local_endpoint().port(); }
  int connection_count() const { return accepted_count_; }

 private:
  void Accept() {
    while (true) {
      boost::system::error_code error;
      tcp::socket socket = acceptor_.accept(error);
      if (is_stopping_) return;
      if (error) continue;
      ++accepted_count_;
      connections_.push_back(
          std::make_unique<FakeBackendConnection>(std::move(socket)));
      FakeBackendConnection* connection = connections_.back().get();
      script_threads_.emplace_back([this, connection] {
        script_(*connection);
        boost::system::error_code ignored;
        connection->socket.shutdown(tcp::socket::shutdown_both, ignored);
      });
    }
  }

  Script script_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> accepted_count_ = 0;
  std::vector<std::unique_ptr<FakeBackendConnection>> connections_;
  std::vector<std::thread> script_threads_;
  std::thread accept_thread_;
};

// Returns a 200 response with `fields`, a Content-Length field and a body.
inline std::string Respond(std::string_view body,
                           std::string_view fields = "") {
  return "HTTP/1.1 200 OK\r\n" + std::string(fields) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

// A LocalPolicyDispatcher that records the attempt reports.
class RecordingDispatcher : public LocalPolicyDispatcher {
 public:
  RecordingDispatcher()
      : LocalPolicyDispatcher(LoadBalancingPolicy::kRoundRobin, 1) {}

  void Complete(const RequestAttributes& request, const DispatchGrant& grant,
                const AttemptReport& report) override {
    {
      const std::lock_guard lock(mutex_);
      reports_.push_back(report);
    }
    LocalPolicyDispatcher::Complete(request, grant, report);
  }
  std::vector<AttemptReport> reports() const {
    const std::lock_guard lock(mutex_);
    return reports_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<AttemptReport> reports_;
};

// Records the usage records in memory.
class RecordingUsageRecorder : public RequestUsageRecorder {
 public:
  void Record(const RequestUsage& record) override {
    const std::lock_guard lock(mutex_);
    records_.push_back(record);
  }
  std::vector<RequestUsage> records() const {
    const std::lock_guard lock(mutex_);
    return records_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<RequestUsage> records_;
};

// An entry host that listens on ephemeral loopback ports and runs its control
// work on a separate thread.
class EntryFixture {
 public:
  struct Options {
    std::vector<unsigned short> ports;  // of the backend servers
    std::string client_accounts;        // JSON object
    ClaimService* claims = nullptr;
    unsigned workers = 1;
    Duration stop_deadline = std::chrono::seconds(30);
    std::string token_file;
  };

  explicit EntryFixture(const Options& options) {
    std::string servers;
    for (const unsigned short port : options.ports) {
      servers += (servers.empty() ? "" : ",") + ("\"s" + std::to_string(port)) +
                 R"(":{"zone":"z","address":"127.0.0.1:)" +
                 std::to_string(port) + "\"}";
    }
    const std::string text = R"({"services":{"svc":{"servers":{)" + servers +
                             R"(}}},"parties":{)" + options.client_accounts +
                             "}}";
    auto fleet = FleetConfiguration::Parse(text);
    VERIFY(fleet.has_value());
    VERIFY(dispatcher.Apply(fleet.value()).has_value());
    EntrySettings settings;
    settings.host = HostId("h1");
    settings.callers = LoopbackEndpoint();
    settings.operators = LoopbackEndpoint();
    settings.operator_token_file = options.token_file;
    settings.workers = options.workers;
    settings.stop_deadline = options.stop_deadline;
    log_ = std::move(EventLog::Open({.host = settings.host,
                                     .process = "entry_test",
                                     .file = "/dev/null"})
                         .value());
    host = std::make_unique<EntryHost>(
        settings, std::move(fleet).value(),
        EntryHostDependencies{.dispatcher = dispatcher,
                              .log = *log_,
                              .metrics = metrics,
                              .control = control,
                              .claims = options.claims,
                              .usage = &usage});
    VERIFY(host->Start().has_value());
    thread_ = std::thread([this] { host->Run(); });
  }

  ~EntryFixture() {
    host->RequestStop();
    host->RequestStop();
    Join();
  }
  void Join() {
    if (thread_.joinable()) thread_.join();
  }

  RecordingDispatcher dispatcher;
  RecordingUsageRecorder usage;
  MetricsRegistry metrics;
  boost::asio::io_context control{1};
  std::unique_ptr<EntryHost> host;

 private:
  std::unique_ptr<EventLog> log_;
  std::thread thread_;
};

// A caller connection to an entry host.
class Caller {
 public:
  explicit Caller(const EntryFixture& entry)
      : Caller(entry.host->callers_endpoint()) {}
  explicit Caller(const tcp::endpoint& endpoint) : socket(context_) {
    socket.connect(endpoint);
  }

  void Send(std::string_view bytes) {
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
  }
  std::string ReadHead() { return ReadUntil(socket, rest, "\r\n\r\n"); }
  std::string ReadBody(std::size_t count) {
    return ReadBytes(socket, rest, count);
  }
  std::string ReadAll() { return ReadUntil(socket, rest, "\x01 never"); }
  // Sends a request without body and returns everything that the entry host
  // sends until it closes the connection.
  std::string Exchange(std::string_view method, std::string_view fields = "") {
    Send(std::string(method) + " /x HTTP/1.1\r\nHost: h\r\n" +
         "Dogwood-Service: svc\r\nConnection: close\r\n" + std::string(fields) +
         "\r\n");
    return ReadAll();
  }

 private:
  asio::io_context context_;

 public:
  tcp::socket socket;
  std::string rest;
};

}  // namespace dogwood
