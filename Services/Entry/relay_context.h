#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <string>

#include "Libraries/Observe/observe.h"
#include "Services/Entry/backend_connection_pool.h"
#include "Services/Entry/claim_service.h"
#include "Services/Entry/fleet_configuration_holder.h"
#include "Services/Entry/request_dispatcher.h"
#include "Services/Entry/request_metrics.h"
#include "Services/Entry/request_usage_recorder.h"

namespace dogwood {

// Services that all request workers of this host use.
struct SharedRelay {
  RequestDispatcher& dispatcher;
  BackendConnectionPool& pool;
  FleetConfigurationHolder& fleet;
  EventLog& log;
  RequestMetrics& metrics;
  ClaimService* claims = nullptr;         // null: no idempotency check
  RequestUsageRecorder* usage = nullptr;  // null: usage is not recorded
  std::atomic<bool> is_leaving{false};
};

// State of one request worker, used only on that worker's thread, except
// `in_flight_requests`.
struct WorkerContext {
  WorkerContext(SharedRelay& given_shared, unsigned given_worker_index,
                boost::asio::any_io_executor given_executor,
                std::string given_request_id_prefix)
      : shared(given_shared),
        worker_index(given_worker_index),
        executor(std::move(given_executor)),
        fleet(given_shared.fleet),
        request_id_prefix(std::move(given_request_id_prefix)) {}

  // Returns an id that is unique across all hosts and restarts.
  RequestId MakeRequestId() {
    return RequestId(request_id_prefix + std::to_string(++last_request_number));
  }

  SharedRelay& shared;
  unsigned worker_index;
  boost::asio::any_io_executor executor;
  FleetConfigurationHolder::Reader fleet;
  std::string request_id_prefix;
  std::uint64_t last_request_number = 0;
  std::atomic<std::int64_t> in_flight_requests{0};
};

}  // namespace dogwood
