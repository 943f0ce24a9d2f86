#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Tests/Soak/fault_proxy.h"
#include "Tests/Soak/host_process.h"
#include "Tests/Soak/soak_ledger.h"
#include "Tests/StandIns/scripted_backend.h"
#include "Tests/StandIns/store_service.h"

namespace dogwood {

enum class Judged {
  kAll,
  kSafety,  // only promises that hold however slow the machine is
};

struct SoakOptions {
  std::string program;
  std::string folder;
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);  // of the part with faults
  Judged judged = Judged::kAll;
  int hosts = 4;
  int servers = 6;
  int callers = 12;
};

// The system under test with everything around it: gateways as processes,
// stand-ins of the store and of backend servers behind proxies, and callers.
// Faults come from a seeded source, in series and overlapping; then all faults
// end, and callers have to be served, a planned stop included.
class SoakWorld {
 public:
  explicit SoakWorld(SoakOptions options);

  // Fails with kIo when the processes cannot be started.
  Result<void> Run();
  const SoakLedger& ledger() const { return ledger_; }

 private:
  static constexpr Duration kLeastPause = std::chrono::milliseconds(100);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(900);
  static constexpr Duration kLongestFault = std::chrono::milliseconds(2500);
  // From the last fault's end until callers have to be served.
  static constexpr Duration kSettle = std::chrono::seconds(6);
  static constexpr Duration kCalm = std::chrono::seconds(4);
  // After its registration says so, a draining server gets nothing later.
  static constexpr Duration kDrainBound = std::chrono::seconds(3);
  static constexpr double kLeastServed = 0.9;

  enum class FaultKind {
    kServerLink,
    kStoreLink,
    kStore,
    kPause,
    kKill,
    kStop,
    kConfigure,
    kServerAnswers,
    kDrain
  };
  static constexpr int kFaultKinds = 9;

  boost::asio::awaitable<void> Play();
  boost::asio::awaitable<void> PlayFaults();
  boost::asio::awaitable<void> PlayOne(FaultKind kind, Duration length);
  boost::asio::awaitable<void> PlayCalm();
  boost::asio::awaitable<void> Call(int number);
  boost::asio::awaitable<void> ProbeVersions(int host);
  boost::asio::awaitable<void> KeepHostsRunning();
  boost::asio::awaitable<void> AwaitEnd(HostProcess& host);
  ScriptedAnswer AnswerOf(int server, const SeenRequest& request);
  // Reserves a block of loopback addresses and returns its prefix.
  std::string ReserveAddresses();
  void PutPolicy();
  void PutServer(int server, const std::string& state);
  void Note(const std::string& text) const;
  int Draw(int below);
  Duration DrawDuration(Duration least, Duration most);

  SoakOptions options_;
  boost::asio::io_context io_;
  std::mt19937_64 random_;
  SoakLedger ledger_;
  StoreService store_;
  // Held while this process uses its block of addresses.
  boost::asio::ip::tcp::acceptor block_lock_;
  std::vector<std::unique_ptr<ScriptedBackend>> servers_;
  std::vector<std::unique_ptr<FaultProxy>> server_links_;
  std::vector<std::unique_ptr<FaultProxy>> store_links_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  std::vector<double> failing_share_;     // by server
  std::vector<TimePoint> draining_from_;  // by server; the epoch: not draining
  std::uint64_t version_ = 0;             // of the newest configuration
  std::uint64_t last_request_ = 0;
  int faults_open_ = 0;
  bool is_calm_ = false;
  bool is_over_ = false;
};

}  // namespace dogwood
