#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

// One gateway under test as a child process, on a loopback address of its own.
// Only this child is ever signalled.
class HostProcess {
 public:
  struct Options {
    std::string program;  // path of dogwood-gateway
    std::string folder;   // for settings and logs
    std::string address;
    std::string zone;
    std::string store;     // IP:PORT
    std::string contacts;  // quoted addresses, separated by commas
  };

  static constexpr std::uint16_t kCallersPort = 7001;

  explicit HostProcess(Options options) : options_(std::move(options)) {}
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  // Fails with kIo when the settings cannot be written or no process started.
  Result<void> Start();
  void Signal(int signal);
  // Whether the process is there; collects one that has ended.
  bool is_running();
  void Kill();

  const std::string& address() const { return options_.address; }
  int incarnation() const { return incarnation_; }
  // Exit status of the last process that ended by itself, 0 until then.
  int exit_status() const { return exit_status_; }

 private:
  Result<std::string> WriteSettings() const;

  Options options_;
  pid_t process_ = -1;
  int incarnation_ = 0;
  int exit_status_ = 0;
};

}  // namespace dogwood
