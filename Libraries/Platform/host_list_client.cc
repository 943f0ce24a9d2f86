#include "Libraries/Platform/host_list_client.h"

#include <nlohmann/json.hpp>

#include "Libraries/Platform/http_client_pool.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr EnumNames<HostListEntry::State, 2> kHostStateNames{
    {{{HostListEntry::State::kLive, "live"},
      {HostListEntry::State::kLeaving, "leaving"}}}};

}  // namespace

HostListClient::HostListClient(asio::any_io_executor executor,
                               asio::ip::tcp::endpoint platform_endpoint)
    : client_pool_(std::make_unique<HttpClientPool>(
          std::move(executor), std::move(platform_endpoint))) {}
HostListClient::~HostListClient() = default;

asio::awaitable<Result<std::vector<HostListEntry>>> HostListClient::Read(
    Duration timeout) {
  std::string target = "/hosts";
  const Result<HttpResponse> result =
      co_await client_pool_->SendGetWithRetry(std::move(target), timeout);
  if (!result) co_return result.error();
  const HttpResponse& response = result.value();
  std::vector<HostListEntry> hosts;
  try {
    for (const Json& entry : Json::parse(response.body)) {
      const auto state =
          kHostStateNames.FindValue(entry.at("state").get<std::string>());
      if (!state) continue;
      hosts.push_back({HostId(entry.at("host").get<std::string>()),
                       ZoneId(entry.at("zone").get<std::string>()),
                       entry.at("address").get<std::string>(),
                       entry.at("peer_address").get<std::string>(), *state});
    }
  } catch (const Json::exception& error) {
    co_return Fail(ErrorCode::kUnavailable,
                   std::string("the platform sent a malformed host list: ") +
                       error.what());
  }
  co_return hosts;
}

asio::awaitable<Result<void>> HostListClient::Announce(HostListEntry host,
                                                       Duration timeout) {
  const Json entry = {{"host", host.host.value()},
                      {"zone", host.zone.value()},
                      {"address", host.address},
                      {"peer_address", host.peer_address},
                      {"state", kHostStateNames.NameOf(host.state)}};
  HttpRequest request{"POST", "/hosts", {}, entry.dump()};
  const Result<HttpResponse> result =
      co_await client_pool_->Send(std::move(request), timeout);
  if (!result) co_return result.error();
  const HttpResponse& response = result.value();
  if (response.status == 200) co_return outcome::success();
  co_return Fail(ErrorCode::kUnavailable,
                 "announce host " + host.host.value() +
                     ": the platform responded with status " +
                     std::to_string(response.status));
}

}  // namespace dogwood
