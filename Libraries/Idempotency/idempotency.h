// Umbrella header of the Idempotency library: an idempotency-key store that
// lets at most one claimant run the request of a key. Keys are sharded over the
// hosts; claims become durable by group commit (docs/design.md, 4.6).
#pragma once

#include "Libraries/Idempotency/claim_rows.h"
#include "Libraries/Idempotency/claim_shard.h"
#include "Libraries/Idempotency/claim_shard_holder.h"
#include "Libraries/Idempotency/claim_takeover.h"
