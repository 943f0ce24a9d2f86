// dogwood-ctl: command line client of the operators' HTTP interface.
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
#include "Utilities/ctl/operator_command.h"
#include "Utilities/ctl/response_format.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

enum ExitCode {
  kSuccess = 0,
  kFailure = 1,
  kUsageError = 2,
  kConflict = 3,
  kOutcomeUnknown = 4,  // the change may or may not have taken effect
};

constexpr Duration kRequestTimeout = std::chrono::seconds(15);
// For --wait.
constexpr Duration kMaxWait = std::chrono::seconds(60);
constexpr Duration kPollInterval = std::chrono::milliseconds(200);

struct CommandLine {
  std::string address = "127.0.0.1:8090";
  std::string token_file;
  OperationId operation_id;
  OutputFormat format = OutputFormat::kTable;
  bool should_wait = false;
  std::vector<std::string> command_words;  // the command and its arguments
};

void PrintUsage(std::ostream& out) {
  out << "usage: dogwood-ctl [--address IP:PORT] [--token-file FILE]\n"
         "         [--operation-id ID] [--format table|json|csv] [--wait]\n"
         "         COMMAND\n"
         "Commands:\n"
      << OperatorCommandUsage()
      << "A change prints its operation id. Repeating it with --operation-id "
         "after a lost\nresponse is safe. --wait waits until the change is in "
         "force on all hosts.\n"
         "Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict, 4 outcome "
         "unknown.\n";
}

OperationId GenerateOperationId() {
  unsigned char bytes[16];
  VERIFY(RAND_bytes(bytes, sizeof bytes) == 1);
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string id = "op-";
  for (const unsigned char byte : bytes) {
    id += kHexDigits[byte >> 4U];
    id += kHexDigits[byte & 15U];
  }
  return OperationId(std::move(id));
}

// Exits the process for --help, --version and usage errors.
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
  CommandLine command_line;
  for (int option = 0;
       (option = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    switch (option) {
      case 'a':
        command_line.address = optarg;
        break;
      case 't':
        command_line.token_file = optarg;
        break;
      case 'o':
        command_line.operation_id = OperationId(optarg);
        break;
      case 'f':
        if (const auto format = kOutputFormatNames.FindValue(optarg)) {
          command_line.format = *format;
          break;
        }
        std::cerr << "dogwood-ctl: --format: expected table, json or csv\n";
        std::exit(kUsageError);
      case 'w':
        command_line.should_wait = true;
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
  command_line.command_words.assign(argv + optind, argv + argc);
  if (command_line.operation_id.value().empty())
    command_line.operation_id = GenerateOperationId();
  return command_line;
}

// Blocking client of one host's operators' interface. Sends requests one at a
// time with the operator token, if there is one.
class OperatorClient {
 public:
  OperatorClient(asio::ip::tcp::endpoint endpoint, std::string token)
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

int ExitCodeOf(unsigned http_status) {
  if (http_status < 300) return kSuccess;
  if (http_status == 409) return kConflict;
  if (http_status == 504) return kOutcomeUnknown;
  return kFailure;
}

void PrintResponse(const HttpResponse& response, OutputFormat format) {
  const Json body =
      Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  std::ostream& out = response.status < 300 ? std::cout : std::cerr;
  out << (body.is_discarded() ? response.body : FormatResponse(body, format));
}

// Polls the change's state until it is in force on every host.
int WaitForAllHosts(OperatorClient& client, const OperationId& operation_id) {
  const TimePoint deadline = MonotonicNow() + kMaxWait;
  std::string missing = "unknown hosts";
  while (MonotonicNow() < deadline) {
    const auto response = client.Send(
        {"GET", "/v1/changes/" + PercentEncode(operation_id.value()), {}, {}});
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
        return kConflict;
      }
      missing = state == "provisional"
                    ? "the store, which has not committed the change yet"
                    : body.value("lacking", Json::array()).dump();
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr
      << "dogwood-ctl: the change is not in force on all hosts after 60 s; "
         "missing: "
      << missing << "\n";
  return kFailure;
}

int Run(const CommandLine& command_line) {
  if (command_line.command_words ==
      std::vector<std::string>{"settings-reference"}) {
    std::cout << MakeSettingsReference();
    return kSuccess;
  }
  const auto command = ParseOperatorCommand(command_line.command_words,
                                            command_line.operation_id);
  const auto endpoint = ParseEndpoint(command_line.address);
  if (!command || !endpoint) {
    std::cerr << "dogwood-ctl: "
              << (command ? endpoint.error() : command.error()).message
              << "\nTry dogwood-ctl --help.\n";
    return kUsageError;
  }
  std::string token;
  if (!command_line.token_file.empty()) {
    std::ifstream file(command_line.token_file);
    if (!std::getline(file, token)) {
      std::cerr << "dogwood-ctl: " << command_line.token_file
                << ": no token could be read from the file\n";
      return kFailure;
    }
  }
  OperatorClient client(endpoint.value(), token);
  if (command.value().is_change)
    std::cerr << "operation " << command_line.operation_id.value() << "\n";
  const auto response = client.Send(command.value().request);
  if (!response) {
    std::cerr << "dogwood-ctl: " << response.error().ToString() << "\n";
    const bool is_unknown = response.error().code == ErrorCode::kOutcomeUnknown;
    return is_unknown && command.value().is_change ? kOutcomeUnknown : kFailure;
  }
  PrintResponse(response.value(), command_line.format);
  const int exit_code = ExitCodeOf(response.value().status);
  if (exit_code != kSuccess || !command_line.should_wait ||
      !command.value().is_change)
    return exit_code;
  return WaitForAllHosts(client, command_line.operation_id);
}

}  // namespace
}  // namespace dogwood

int main(int argc, char** argv) {
  return dogwood::Run(dogwood::ParseCommandLine(argc, argv));
}
