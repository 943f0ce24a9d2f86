// dogwood-ctl: command line of the operators' interface.
#include <getopt.h>
#include <openssl/rand.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "Libraries/Http/http.h"
#include "Libraries/Settings/settings.h"
#include "Utilities/ctl/ctl_command.h"
#include "Utilities/ctl/ctl_output.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

enum ExitCode {
  kSuccess = 0,
  kFailure = 1,
  kUsageError = 2,
  kConflictFound = 3,
  kOutcomeUnknown = 4,
};

constexpr Duration kRequestTimeout = std::chrono::seconds(15);
constexpr Duration kLongestWait = std::chrono::seconds(60);
constexpr Duration kWaitInterval = std::chrono::milliseconds(200);

struct CommandLine {
  std::string address = "127.0.0.1:8090";
  std::string token_file;
  OperationId operation;
  OutputFormat format = OutputFormat::kTable;
  bool should_wait = false;
  std::vector<std::string> words;
};

void PrintUsage(std::ostream& out) {
  out << "usage: dogwood-ctl [--address IP:PORT] [--token-file FILE]\n"
         "         [--operation-id ID] [--format table|json|csv] [--wait]\n"
         "         COMMAND\n"
         "Commands:\n"
      << CommandUsage()
      << "A change prints its operation id; repeating it with --operation-id "
         "after a lost\nanswer is safe. --wait waits until all hosts have the "
         "change.\n"
         "Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict, 4 outcome "
         "unknown.\n";
}

OperationId GenerateOperationId() {
  unsigned char bytes[16];
  VERIFY(RAND_bytes(bytes, sizeof bytes) == 1);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id = "op-";
  for (const unsigned char byte : bytes) {
    id += kDigits[byte >> 4U];
    id += kDigits[byte & 15U];
  }
  return OperationId(std::move(id));
}

// Exits for --help, --version and wrong usage.
CommandLine ParseCommandLine(int argc, char** argv) {
  static const option kOptions[] = {
      {"address", required_argument, nullptr, 'a'},
      {"token-file", required_argument, nullptr, 't'},
      {"operation-id", required_argument, nullptr, 'o'},
      {"format", required_argument, nullptr, 'f'},
      {"wait", no_argument, nullptr, 'w'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0}};
  CommandLine line;
  for (int option = 0;
       (option = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    switch (option) {
      case 'a':
        line.address = optarg;
        break;
      case 't':
        line.token_file = optarg;
        break;
      case 'o':
        line.operation = OperationId(optarg);
        break;
      case 'f':
        if (const auto format = kOutputFormatNames.ValueOf(optarg)) {
          line.format = *format;
          break;
        }
        std::cerr << "dogwood-ctl: --format: expected table, json or csv\n";
        std::exit(kUsageError);
      case 'w':
        line.should_wait = true;
        break;
      case 'h':
        PrintUsage(std::cout);
        std::exit(kSuccess);
      case 'v':
        std::cout << "dogwood-ctl " DOGWOOD_VERSION "\n";
        std::exit(kSuccess);
      default:
        PrintUsage(std::cerr);
        std::exit(kUsageError);
    }
  }
  line.words.assign(argv + optind, argv + argc);
  if (line.operation.value().empty()) line.operation = GenerateOperationId();
  return line;
}

// Sends requests one after the other.
class Operator {
 public:
  Operator(asio::ip::tcp::endpoint endpoint, std::string token)
      : client_(context_.get_executor(), std::move(endpoint)),
        token_(std::move(token)) {}

  Result<HttpResponse> Send(HttpRequest request) {
    if (!token_.empty())
      request.headers.emplace_back("Authorization", "Bearer " + token_);
    std::optional<Result<HttpResponse>> response;
    asio::co_spawn(
        context_,
        [&]() -> asio::awaitable<void> {
          response.emplace(
              co_await client_.Send(std::move(request), kRequestTimeout));
        },
        asio::detached);
    context_.restart();
    context_.run();
    return *response;
  }

 private:
  asio::io_context context_;
  HttpClient client_;
  std::string token_;
};

int ExitCodeOf(unsigned status) {
  if (status < 300) return kSuccess;
  if (status == 409) return kConflictFound;
  if (status == 504) return kOutcomeUnknown;
  return kFailure;
}

void PrintBody(const HttpResponse& response, OutputFormat format) {
  const Json body =
      Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  std::ostream& out = response.status < 300 ? std::cout : std::cerr;
  out << (body.is_discarded() ? response.body : FormatAnswer(body, format));
}

// Polls until the operation is in force on every host.
int WaitForAllHosts(Operator& server, const OperationId& operation) {
  const TimePoint deadline = MonotonicNow() + kLongestWait;
  std::string lacking = "unknown hosts";
  while (MonotonicNow() < deadline) {
    const auto response = server.Send(
        {"GET", "/v1/changes/" + PercentEncode(operation.value()), {}, {}});
    if (response && response.value().status == 200) {
      const Json body = Json::parse(response.value().body, nullptr, false);
      const std::string state = body.value("state", "");
      if (body.value("in_force_everywhere", false)) {
        std::cerr << "in force on all hosts with version "
                  << body.value("version", 0) << "\n";
        return kSuccess;
      }
      if (state == "superseded") {
        std::cerr << "dogwood-ctl: superseded by version "
                  << body.value("version", 0) << "\n";
        return kConflictFound;
      }
      lacking = state == "provisional"
                    ? "the store, which has not taken the order yet"
                    : body.value("lacking", Json::array()).dump();
    }
    std::this_thread::sleep_for(kWaitInterval);
  }
  std::cerr << "dogwood-ctl: not in force everywhere after 60 s; missing: "
            << lacking << "\n";
  return kFailure;
}

int Run(const CommandLine& line) {
  if (line.words == std::vector<std::string>{"settings-reference"}) {
    std::cout << SettingsReference();
    return kSuccess;
  }
  const auto command = ParseCommand(line.words, line.operation);
  const auto endpoint = ParseEndpoint(line.address);
  if (!command || !endpoint) {
    std::cerr << "dogwood-ctl: "
              << (command ? endpoint.error() : command.error()).message
              << "\nTry dogwood-ctl --help.\n";
    return kUsageError;
  }
  std::string token;
  if (!line.token_file.empty()) {
    std::ifstream file(line.token_file);
    if (!std::getline(file, token)) {
      std::cerr << "dogwood-ctl: " << line.token_file << ": cannot be read\n";
      return kFailure;
    }
  }
  Operator server(endpoint.value(), token);
  if (command.value().is_change)
    std::cerr << "operation " << line.operation.value() << "\n";
  const auto response = server.Send(command.value().request);
  if (!response) {
    std::cerr << "dogwood-ctl: " << response.error().ToString() << "\n";
    const bool is_unknown = response.error().code == ErrorCode::kOutcomeUnknown;
    return is_unknown && command.value().is_change ? kOutcomeUnknown : kFailure;
  }
  PrintBody(response.value(), line.format);
  const int exit_code = ExitCodeOf(response.value().status);
  if (exit_code != kSuccess || !line.should_wait || !command.value().is_change)
    return exit_code;
  return WaitForAllHosts(server, line.operation);
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  return dogwood::Run(dogwood::ParseCommandLine(argc, argv));
}
