#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "Services/Entry/claim_coordinator.h"
#include "Services/Entry/claim_service.h"

namespace dogwood {

// Forwards claims of request workers to the coordinator on the control thread.
class ClaimAdapter : public ClaimService {
 public:
  ClaimAdapter(ClaimCoordinator& coordinator,
               const boost::asio::any_io_executor& control)
      : client_(coordinator, control), control_executor_(control) {}

  boost::asio::awaitable<ClaimDecision> Claim(
      const RequestAttributes& request) override;
  void Finish(const RequestAttributes& request, const ClaimEnd& end) override;

 private:
  boost::asio::awaitable<void> ReportEnd(std::string key, RequestId request,
                                         ClaimEnd end);

  ClaimCoordinatorClient client_;
  boost::asio::any_io_executor control_executor_;
};

}  // namespace dogwood
