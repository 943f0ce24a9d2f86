// Umbrella header of the Usage library: counts charged requests per client
// account, service and month, reserves future usage in the store, replicates
// totals to peers and builds monthly usage reports (docs/design.md, 4.10).
#pragma once

#include "Libraries/Usage/usage_ledger.h"
#include "Libraries/Usage/usage_replicas.h"
#include "Libraries/Usage/usage_report.h"
#include "Libraries/Usage/usage_row.h"
