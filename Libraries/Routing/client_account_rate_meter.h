#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Classifies requests as within or over the agreement of their client account.
// Uses one token bucket per client account, filled at the agreed rate divided
// by the number of live hosts.
class ClientAccountRateMeter {
 public:
  // With a rate of 0 every request is over the agreement.
  void SetAgreement(ClientAccountIndex client_account, double calls_per_second);
  void SetLiveHosts(std::uint32_t live_hosts);

  // Takes a token for one request and returns its class.
  AgreementCompliance Classify(ClientAccountIndex client_account,
                               TimePoint now);

 private:
  struct Bucket {
    double calls_per_second = 0;
    double tokens = 0;
    TimePoint filled_at{};
    bool has_started = false;
  };

  std::vector<Bucket> buckets_;  // indexed by client account
  std::uint32_t live_hosts_ = 1;
};

}  // namespace dogwood
