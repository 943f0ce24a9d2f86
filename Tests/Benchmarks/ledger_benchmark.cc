// Benchmark of usage recording and of idempotency claims: time per operation,
// size of stored rows and memory per key. Figures depend on the machine, so
// nothing is checked.
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
const WallTime kWallTime{
    std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)};

double NanosecondsSince(TimePoint start) {
  return std::chrono::duration<double, std::nano>(MonotonicNow() - start)
      .count();
}

// Time per recorded request.
void MeasureUsageRecords(int thread_count, int client_account_count) {
  constexpr int kRecordsPerThread = 1'000'000;
  UsageLedger ledger(kHost, kIncarnation, {});
  const Month month = MonthOf(kWallTime);
  std::vector<ClientAccountId> client_accounts;
  client_accounts.reserve(static_cast<std::size_t>(client_account_count));
  for (int i = 0; i < client_account_count; ++i)
    client_accounts.emplace_back("party-" + std::to_string(i));
  const ServiceId service("tracking");
  const TimePoint start = MonotonicNow();
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(thread_count));
  for (int i = 0; i < thread_count; ++i) {
    workers.emplace_back([&] {
      for (int j = 0; j < kRecordsPerThread; ++j)
        ledger.Record(
            client_accounts[static_cast<std::size_t>(j % client_account_count)],
            service, month);
    });
  }
  for (std::thread& worker : workers) worker.join();
  std::printf("usage-record threads=%d parties=%d ns_per_record=%.1f\n",
              thread_count, client_account_count,
              NanosecondsSince(start) / kRecordsPerThread);
}

// Holds every shard; none has a former holder.
ClaimShardHolder MakeHolderOfAllShards() {
  ClaimOptions options;
  options.max_pending = 1 << 20;
  ClaimShardHolder holder(kHost, kIncarnation, options);
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard)
    holder.Install(ClaimShardId(shard), ClaimShardRow{1, kHost, kIncarnation},
                   1, ClaimShard(options.remember));
  return holder;
}

// Time per claim with group commit, bytes of a commit's row, and heap bytes per
// remembered key.
void MeasureClaims(int claims_per_commit) {
  constexpr int kClaims = 200'000;
  ClaimShardHolder holder = MakeHolderOfAllShards();
  const auto bytes_before = mallinfo2().uordblks;
  const TimePoint start = MonotonicNow();
  std::size_t row_bytes = 0;
  int commit_count = 0;
  for (int first_claim = 0; first_claim < kClaims;
       first_claim += claims_per_commit) {
    for (int i = first_claim; i < first_claim + claims_per_commit; ++i) {
      holder.Claim(
          HashIdempotencyKey("0f2b6a1e-93d7-4c0a-8a55-" +
                             std::to_string(100000000000 + i)),
          MakeClaimantId(kHost, kIncarnation, static_cast<std::uint64_t>(i)),
          static_cast<std::uint64_t>(i), kWallTime);
    }
    row_bytes +=
        holder.StartCommit(TimePoint{}, kWallTime).puts.front().value.size();
    holder.FinishCommit(Committed{}, kWallTime);
    ++commit_count;
  }
  const double elapsed_nanoseconds = NanosecondsSince(start);
  std::printf(
      "claims per_commit=%d ns_per_claim=%.0f row_bytes=%zu "
      "row_bytes_per_claim=%.1f state_bytes_per_key=%.1f\n",
      claims_per_commit, elapsed_nanoseconds / kClaims,
      row_bytes / static_cast<std::size_t>(commit_count),
      static_cast<double>(row_bytes) / kClaims,
      static_cast<double>(mallinfo2().uordblks - bytes_before) / kClaims);
}

// Size of a host's usage row and the time to build it.
void MeasureUsageRow(int client_account_count, int service_count) {
  UsageLedger ledger(kHost, kIncarnation, {});
  const Month month = MonthOf(kWallTime);
  for (int i = 0; i < client_account_count; ++i) {
    for (int j = 0; j < service_count; ++j)
      ledger.Record(ClientAccountId("party-" + std::to_string(i)),
                    ServiceId("service-" + std::to_string(j)), month);
  }
  const TimePoint start = MonotonicNow();
  const TableTransaction commit = ledger.StartWrite(month, {}, kWallTime);
  std::printf("usage-row parties=%d services=%d row_bytes=%zu build_us=%.0f\n",
              client_account_count, service_count,
              commit.puts.front().value.size(), NanosecondsSince(start) / 1000);
}

}  // namespace
}  // namespace dogwood

int main() {
  using namespace dogwood;  // NOLINT(google-build-using-namespace)
  for (const int client_account_count : {1, 20}) {
    MeasureUsageRecords(1, client_account_count);
    MeasureUsageRecords(4, client_account_count);
  }
  for (const int claims_per_commit : {1, 10, 100, 1000})
    MeasureClaims(claims_per_commit);
  MeasureUsageRow(2, 2);
  MeasureUsageRow(20, 10);
  MeasureUsageRow(100, 45);
  MeasureUsageRow(20, 450);
  return 0;
}
