#pragma once

#include "Libraries/Usage/usage.h"
#include "Services/Entry/request_usage_recorder.h"

namespace dogwood {

// Counts answered requests in this host's usage ledger.
class LedgerUsageRecorder : public RequestUsageRecorder {
 public:
  explicit LedgerUsageRecorder(UsageLedger& ledger) : ledger_(ledger) {}

  void Record(const RequestUsage& record) override {
    ledger_.Record(record.client_account, record.service,
                   MonthOf(record.arrival));
  }

 private:
  UsageLedger& ledger_;
};

}  // namespace dogwood
