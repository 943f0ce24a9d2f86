// Measures the cost of usage records and of claims. Prints one line per figure;
// figures depend on the machine, so nothing is checked here.
#include <malloc.h>

#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "Libraries/Idempotency/idempotency.h"
#include "Libraries/Usage/usage.h"

namespace dogwood {
namespace {

const HostId kHost("entry-palermo-03");
const Incarnation kIncarnation(1796342400123);
const WallTime kWall{std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)};

double NanosecondsSince(TimePoint start) {
  return std::chrono::duration<double, std::nano>(MonotonicNow() - start)
      .count();
}

void MeasureRecords(int threads, int parties) {
  constexpr int kRecords = 1'000'000;
  UsageLedger ledger(kHost, kIncarnation, {});
  const Month month = MonthOf(kWall);
  std::vector<PartyId> names;
  names.reserve(static_cast<std::size_t>(parties));
  for (int i = 0; i < parties; ++i)
    names.emplace_back("party-" + std::to_string(i));
  const ServiceId service("tracking");
  const TimePoint start = MonotonicNow();
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (int j = 0; j < kRecords; ++j)
        ledger.Record(names[static_cast<std::size_t>(j % parties)], service,
                      month);
    });
  }
  for (std::thread& worker : workers) worker.join();
  std::printf("usage-record threads=%d parties=%d ns_per_record=%.1f\n",
              threads, parties, NanosecondsSince(start) / kRecords);
}

// Holds all shards, without former holders.
ClaimHolder MakeHolder() {
  ClaimOptions options;
  options.max_pending = 1 << 20;
  ClaimHolder holder(kHost, kIncarnation, options);
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard)
    holder.Install(ClaimShardId(shard), ClaimShardRow{1, kHost, kIncarnation},
                   1, ClaimShard(options.remember));
  return holder;
}

void MeasureClaims(int batch) {
  constexpr int kClaims = 200'000;
  ClaimHolder holder = MakeHolder();
  const auto bytes_before = mallinfo2().uordblks;
  const TimePoint start = MonotonicNow();
  std::size_t row_bytes = 0;
  int commits = 0;
  for (int claim = 0; claim < kClaims; claim += batch) {
    for (int i = claim; i < claim + batch; ++i) {
      holder.Claim(
          HashClaimKey("0f2b6a1e-93d7-4c0a-8a55-" +
                       std::to_string(100000000000 + i)),
          MakeClaimantId(kHost, kIncarnation, static_cast<std::uint64_t>(i)),
          static_cast<std::uint64_t>(i), kWall);
    }
    row_bytes +=
        holder.StartCommit(TimePoint{}, kWall).puts.front().value.size();
    holder.FinishCommit(Committed{}, kWall);
    ++commits;
  }
  const double elapsed = NanosecondsSince(start);
  std::printf(
      "claims per_commit=%d ns_per_claim=%.0f row_bytes=%zu "
      "row_bytes_per_claim=%.1f state_bytes_per_key=%.1f\n",
      batch, elapsed / kClaims, row_bytes / static_cast<std::size_t>(commits),
      static_cast<double>(row_bytes) / kClaims,
      static_cast<double>(mallinfo2().uordblks - bytes_before) / kClaims);
}

void MeasureUsageRow(int parties, int services) {
  UsageLedger ledger(kHost, kIncarnation, {});
  const Month month = MonthOf(kWall);
  for (int i = 0; i < parties; ++i) {
    for (int j = 0; j < services; ++j)
      ledger.Record(PartyId("party-" + std::to_string(i)),
                    ServiceId("service-" + std::to_string(j)), month);
  }
  const TimePoint start = MonotonicNow();
  const TableCommit commit = ledger.StartWrite(month, {}, kWall);
  std::printf("usage-row parties=%d services=%d row_bytes=%zu build_us=%.0f\n",
              parties, services, commit.puts.front().value.size(),
              NanosecondsSince(start) / 1000);
}

}  // namespace
}  // namespace dogwood

int main() {
  using namespace dogwood;  // NOLINT(google-build-using-namespace)
  for (const int parties : {1, 20}) {
    MeasureRecords(1, parties);
    MeasureRecords(4, parties);
  }
  for (const int batch : {1, 10, 100, 1000}) MeasureClaims(batch);
  MeasureUsageRow(2, 2);
  MeasureUsageRow(20, 10);
  MeasureUsageRow(100, 45);
  MeasureUsageRow(20, 450);
  return 0;
}
