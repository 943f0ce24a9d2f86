#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "Services/Entry/claim_coordinator.h"
#include "Services/Entry/claim_service.h"

namespace dogwood {

// Lets the workers of the request path use the claims of the control thread.
class ClaimAdapter : public ClaimService {
 public:
  ClaimAdapter(ClaimCoordinator& coordinator,
               const boost::asio::any_io_executor& control)
      : client_(coordinator, control), control_(control) {}

  boost::asio::awaitable<ClaimDecision> Claim(
      const RequestAttributes& request) override;
  void Finish(const RequestAttributes& request, const ClaimEnd& end) override;

 private:
  boost::asio::awaitable<void> Report(std::string key, RequestId request,
                                      ClaimEnd end);

  ClaimClient client_;
  boost::asio::any_io_executor control_;
};

}  // namespace dogwood
