#include "Services/Gateway/refused_request_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kRefusedRequestTable = "dogwood-refused-requests";
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);

// A row's key is the fingerprint, its value "CRASH CRASH TIME", all decimal.
// TIME is the Unix time of the last crash in milliseconds.
std::string EncodeValue(const SuspectRecord& record, WallTime now) {
  const auto crashed_at = std::chrono::duration_cast<std::chrono::milliseconds>(
      (now - record.age).time_since_epoch());
  return std::to_string(record.crashes[0]) + " " +
         std::to_string(record.crashes[1]) + " " +
         std::to_string(crashed_at.count());
}

std::optional<SuspectRecord> DecodeRow(const platform::StoreRow& row,
                                       WallTime now) {
  if (!row.value) return std::nullopt;
  SuspectRecord record;
  std::int64_t crashed_at_ms = 0;
  std::istringstream key(row.key);
  std::istringstream value(*row.value);
  if (!(key >> record.fingerprint) ||
      !(value >> record.crashes[0] >> record.crashes[1] >> crashed_at_ms)) {
    return std::nullopt;
  }
  const std::chrono::milliseconds now_since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch());
  // The clocks of hosts differ: a crash in the future has just happened.
  if (crashed_at_ms < 0) return std::nullopt;
  const std::int64_t age_ms =
      std::max<std::int64_t>(0, now_since_epoch.count() - crashed_at_ms);
  const auto refusal_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                              PoisonRequestDetector::kRefusalDuration)
                              .count();
  if (age_ms >= refusal_ms) return std::nullopt;
  record.age = std::chrono::milliseconds(age_ms);
  return record;
}

}  // namespace

void RefusedRequestStore::Start(LoadFunction on_load) {
  asio::co_spawn(context_.io_context, Load(std::move(on_load)), asio::detached);
}

asio::awaitable<void> RefusedRequestStore::Load(LoadFunction on_load) {
  asio::steady_timer timer(context_.io_context);
  for (;;) {
    timer.expires_after(kRetryInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
    if (!context_.peer_table.is_gossip_relay(MonotonicNow())) continue;
    const auto rows =
        co_await store_.ReadTable(kRefusedRequestTable, kStoreTimeout);
    if (!rows) continue;
    Records records;
    for (const platform::StoreRow& row : rows.value().rows) {
      if (const auto record = DecodeRow(row, WallClockNow())) {
        records.push_back(*record);
        continue;
      }
      // Expired or not written by this program. A row that can't be removed is
      // left to the next start of a gossip relay.
      (void)co_await store_.RemoveRow(kRefusedRequestTable, row.key,
                                      kStoreTimeout);
    }
    on_load(records);
    co_return;
  }
}

void RefusedRequestStore::Save(const Records& records) {
  for (const SuspectRecord& record : records)
    asio::co_spawn(context_.io_context, Write(record), asio::detached);
}

asio::awaitable<void> RefusedRequestStore::Write(SuspectRecord record) {
  const TimePoint expires_at =
      MonotonicNow() + PoisonRequestDetector::kRefusalDuration - record.age;
  const std::string key = std::to_string(record.fingerprint);
  const std::string value = EncodeValue(record, WallClockNow());
  asio::steady_timer timer(context_.io_context);
  while (MonotonicNow() < expires_at) {
    if (co_await store_.WriteRow(kRefusedRequestTable, key, value,
                                 kStoreTimeout)) {
      co_return;
    }
    timer.expires_after(kRetryInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
  }
}

}  // namespace dogwood
