#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <string>

#include "Libraries/Observe/observe.h"
#include "Services/Entry/backend_pool.h"
#include "Services/Entry/claim_service.h"
#include "Services/Entry/fleet_view.h"
#include "Services/Entry/request_dispatcher.h"
#include "Services/Entry/request_metrics.h"
#include "Services/Entry/usage_recorder.h"

namespace dogwood {

// What all workers share.
struct SharedRelay {
  RequestDispatcher& dispatcher;
  BackendPool& pool;
  FleetView& fleet;
  EventLog& log;
  RequestMetrics& metrics;
  ClaimService* claims = nullptr;  // null: keys are not checked
  UsageRecorder* usage = nullptr;  // null: usage is not recorded
  std::atomic<bool> is_leaving{false};
};

// What the requests of one worker use; touched by that worker alone, except
// `in_flight`.
struct RelayContext {
  RelayContext(SharedRelay& given_shared, unsigned given_worker,
               boost::asio::any_io_executor given_executor,
               std::string given_id_prefix)
      : shared(given_shared),
        worker(given_worker),
        executor(std::move(given_executor)),
        fleet(given_shared.fleet),
        id_prefix(std::move(given_id_prefix)) {}

  // Unique over all hosts and restarts.
  RequestId NextRequestId() {
    return RequestId(id_prefix + std::to_string(++last_request));
  }

  SharedRelay& shared;
  unsigned worker;
  boost::asio::any_io_executor executor;
  FleetView::Reader fleet;
  std::string id_prefix;
  std::uint64_t last_request = 0;
  std::atomic<std::int64_t> in_flight{0};
};

}  // namespace dogwood
