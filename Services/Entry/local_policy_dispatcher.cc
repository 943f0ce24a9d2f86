#include "Services/Entry/local_policy_dispatcher.h"

#include <algorithm>

#include "Libraries/Http/http.h"

namespace dogwood {
namespace {

// Retry budget of each service as a token bucket: each first attempt adds a
// tenth of a retry. The bucket starts full, so that a service with few requests
// can retry its first failures.
constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 10;

}  // namespace

struct LocalPolicyDispatcher::Server {
  ServerId id;
  boost::asio::ip::tcp::endpoint endpoint;
  std::uint64_t in_flight_count = 0;
};

struct LocalPolicyDispatcher::Service {
  std::vector<std::unique_ptr<Server>> servers;
  std::size_t next_index = 0;
  double retry_tokens = kMaxRetryTokens;
};

LocalPolicyDispatcher::LocalPolicyDispatcher(LoadBalancingPolicy policy,
                                             std::uint64_t seed)
    : policy_(policy), random_engine_(seed) {}
LocalPolicyDispatcher::~LocalPolicyDispatcher() = default;

Result<void> LocalPolicyDispatcher::Apply(const FleetConfiguration& fleet) {
  std::map<ServiceId, std::unique_ptr<Service>> services;
  for (const auto& [service_id, configuration] : fleet.services) {
    auto service = std::make_unique<Service>();
    for (const auto& [server_id, server] : configuration.servers) {
      const auto endpoint = ParseEndpoint(server.address);
      if (!endpoint) {
        return Fail(ErrorCode::kInvalidArgument,
                    "services." + service_id.value() + ".servers." +
                        server_id.value() +
                        ".address: " + endpoint.error().message);
      }
      const auto zone = fleet.zones.find(server.zone);
      const bool is_zone_out =
          zone != fleet.zones.end() &&
          zone->second.operational_state == OperationalState::kOutOfService;
      if (is_zone_out ||
          server.operational_state == OperationalState::kOutOfService)
        continue;
      service->servers.push_back(std::make_unique<Server>(
          Server{.id = server_id, .endpoint = endpoint.value()}));
    }
    services.emplace(service_id, std::move(service));
  }
  const std::lock_guard lock(mutex_);
  // Servers that remain keep their counts of requests in flight.
  for (auto& [service_id, service] : services) {
    const auto previous = services_.find(service_id);
    if (previous == services_.end()) continue;
    service->retry_tokens = previous->second->retry_tokens;
    for (const auto& server : service->servers) {
      for (const auto& previous_server : previous->second->servers) {
        if (previous_server->id == server->id)
          server->in_flight_count = previous_server->in_flight_count;
      }
    }
  }
  services_ = std::move(services);
  return outcome::success();
}

LocalPolicyDispatcher::Server* LocalPolicyDispatcher::SelectServer(
    Service& service, const ServerId& excluded) {
  auto& servers = service.servers;
  if (servers.empty()) return nullptr;
  const auto random_index = [&] {
    return std::uniform_int_distribution<std::size_t>(
        0, servers.size() - 1)(random_engine_);
  };
  Server* selected = nullptr;
  switch (policy_) {
    case LoadBalancingPolicy::kRoundRobin:
      selected = servers[service.next_index++ % servers.size()].get();
      break;
    case LoadBalancingPolicy::kRandom:
      selected = servers[random_index()].get();
      break;
    case LoadBalancingPolicy::kTwoChoices: {
      Server* first = servers[random_index()].get();
      Server* second = servers[random_index()].get();
      selected =
          second->in_flight_count < first->in_flight_count ? second : first;
      break;
    }
  }
  if (selected->id != excluded || servers.size() == 1) return selected;
  // The excluded server is replaced by the next one in order.
  const auto selected_iterator = std::find_if(
      servers.begin(), servers.end(),
      [&](const auto& server) { return server.get() == selected; });
  const auto position =
      static_cast<std::size_t>(selected_iterator - servers.begin());
  return servers[(position + 1) % servers.size()].get();
}

boost::asio::awaitable<
    outcome::result<DispatchGrant, DispatchRefusal, outcome::policy::terminate>>
LocalPolicyDispatcher::Acquire(const RequestAttributes& request,
                               ServerId excluded) {
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(request.service);
  if (found == services_.end())
    co_return outcome::failure(
        DispatchRefusal{DispatchRefusal::Reason::kUnknownService, {}});
  Service& service = *found->second;
  if (excluded.value().empty()) {
    service.retry_tokens = std::min(
        kMaxRetryTokens, service.retry_tokens + kRetryTokensPerRequest);
  }
  Server* server = SelectServer(service, excluded);
  if (server == nullptr) {
    co_return outcome::failure(DispatchRefusal{
        DispatchRefusal::Reason::kNoServer, std::chrono::seconds(1)});
  }
  ++server->in_flight_count;
  co_return DispatchGrant{
      .id = next_grant_++, .server = server->id, .endpoint = server->endpoint};
}

void LocalPolicyDispatcher::Complete(const RequestAttributes& request,
                                     const DispatchGrant& grant,
                                     const AttemptReport& /*report*/) {
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(request.service);
  if (found == services_.end()) return;
  for (const auto& server : found->second->servers) {
    if (server->id == grant.server && server->in_flight_count > 0)
      --server->in_flight_count;
  }
}

bool LocalPolicyDispatcher::try_take_retry(const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(service);
  if (found == services_.end() || found->second->retry_tokens < 1) return false;
  found->second->retry_tokens -= 1;
  return true;
}

}  // namespace dogwood
