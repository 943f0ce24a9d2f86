// Public header of the Idempotency library: at-most-once claims on keys, held
// per shard and made durable by group commit (docs/design.md, 4.6).
#pragma once

#include "Libraries/Idempotency/claim_holder.h"
#include "Libraries/Idempotency/claim_rows.h"
#include "Libraries/Idempotency/claim_shard.h"
#include "Libraries/Idempotency/claim_takeover.h"
