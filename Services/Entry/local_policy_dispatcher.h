#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "Libraries/Settings/settings.h"
#include "Services/Entry/entry_settings.h"
#include "Services/Entry/request_dispatcher.h"

namespace dogwood {

// Selects backend servers by round robin, at random or by the power of two
// choices. It knows only the requests of this host, has no queue and no
// permits, and is the baseline that PermitDispatcher is compared with.
class LocalPolicyDispatcher : public RequestDispatcher {
 public:
  LocalPolicyDispatcher(LoadBalancingPolicy policy, std::uint64_t seed);
  ~LocalPolicyDispatcher() override;

  // Puts a fleet configuration in force. Fails with kInvalidArgument if a
  // server address is not IP:PORT; the previous configuration then stays in
  // force.
  Result<void> Apply(const FleetConfiguration& fleet);

  boost::asio::awaitable<outcome::result<DispatchGrant, DispatchRefusal,
                                         outcome::policy::terminate>>
  Acquire(const RequestAttributes& request, ServerId excluded) override;
  void Complete(const RequestAttributes& request, const DispatchGrant& grant,
                const AttemptReport& report) override;
  bool try_take_retry(const ServiceId& service) override;

 private:
  struct Server;
  struct Service;

  Server* SelectServer(Service& service, const ServerId& excluded);

  LoadBalancingPolicy policy_;
  RankedMutex mutex_{LockRank::kRouting};
  std::mt19937_64 random_engine_;
  std::uint64_t next_grant_ = 1;
  std::map<ServiceId, std::unique_ptr<Service>> services_;
};

}  // namespace dogwood
