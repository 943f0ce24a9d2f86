// Public header of the Usage library: charges per party, service and month,
// their reservations, copies at peers and the month's report (docs/design.md,
// 4.10).
#pragma once

#include "Libraries/Usage/usage_copies.h"
#include "Libraries/Usage/usage_ledger.h"
#include "Libraries/Usage/usage_report.h"
#include "Libraries/Usage/usage_row.h"
