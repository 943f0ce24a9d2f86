#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/Routing/router_types.h"

namespace dogwood {

// Compares each party's request rate at this host with its agreed rate divided
// by the live hosts, with one token bucket per party.
class PartyMeter {
 public:
  // A rate of 0 puts every request over the agreement.
  void SetAgreement(PartyIndex party, double calls_per_second);
  void SetLiveHosts(std::uint32_t live_hosts);

  // Counts one request.
  AgreementClass Classify(PartyIndex party, TimePoint now);

 private:
  struct Bucket {
    double calls_per_second = 0;
    double tokens = 0;
    TimePoint filled_at{};
    bool has_started = false;
  };

  std::vector<Bucket> buckets_;  // by party
  std::uint32_t live_hosts_ = 1;
};

}  // namespace dogwood
