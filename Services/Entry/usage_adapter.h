#pragma once

#include "Libraries/Usage/usage.h"
#include "Services/Entry/usage_recorder.h"

namespace dogwood {

// Counts answered requests in this host's usage ledger.
class UsageAdapter : public UsageRecorder {
 public:
  explicit UsageAdapter(UsageLedger& ledger) : ledger_(ledger) {}

  void Record(const UsageRecord& record) override {
    ledger_.Record(record.party, record.service, MonthOf(record.arrival));
  }

 private:
  UsageLedger& ledger_;
};

}  // namespace dogwood
