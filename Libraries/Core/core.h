// Public header of the Core library: error handling, strongly typed
// identifiers, time and lock ranks.
#pragma once

#include "Libraries/Core/enum_names.h"
#include "Libraries/Core/error.h"
#include "Libraries/Core/lock_rank.h"
#include "Libraries/Core/strong_id.h"
#include "Libraries/Core/table_transaction.h"
#include "Libraries/Core/time.h"
#include "Libraries/Core/verify.h"
