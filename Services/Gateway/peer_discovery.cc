#include "Services/Gateway/peer_discovery.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kHostTable = "dogwood-hosts";
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);

}  // namespace

std::string PeerDiscovery::OwnRowValue() const {
  return context_.settings.ip + " " + context_.settings.zone.value();
}

asio::awaitable<void> PeerDiscovery::Run() {
  asio::steady_timer timer(context_.io_context, kSeedResponseDelay);
  co_await timer.async_wait(kUseAwaitableTuple);
  // On later starts the row of an earlier one may still be valid: read first.
  bool should_write = context_.settings.is_fleet_bootstrap;
  TimePoint read_at{};
  for (;;) {
    const TimePoint now = MonotonicNow();
    const bool is_due = !is_registered_ || now - read_at >= kRefreshInterval;
    if (is_due && context_.peer_table.is_gossip_relay(now)) {
      if (should_write) is_registered_ = co_await WriteOwnRow();
      // Reading after writing ensures that of any two hosts at least the later
      // one sees the other.
      if (co_await ReadAllRows()) {
        read_at = MonotonicNow();
        const bool is_row_missing = !is_registered_ && !should_write;
        should_write = !is_registered_;
        if (is_row_missing) continue;
      }
    }
    timer.expires_after(kRetryInterval);
    co_await timer.async_wait(kUseAwaitableTuple);
  }
}

asio::awaitable<bool> PeerDiscovery::WriteOwnRow() {
  const auto written = co_await store_.WriteRow(
      kHostTable, context_.settings.host.value(), OwnRowValue(), kStoreTimeout);
  co_return written.has_value();
}

asio::awaitable<bool> PeerDiscovery::ReadAllRows() {
  const auto rows = co_await store_.ReadTable(kHostTable, kStoreTimeout);
  if (!rows) co_return false;
  for (const platform::StoreRow& row : rows.value().rows) AddCandidate(row);
  co_return true;
}

void PeerDiscovery::AddCandidate(const platform::StoreRow& row) {
  if (!row.value) return;
  if (row.key == context_.settings.host.value()) {
    is_registered_ = is_registered_ || *row.value == OwnRowValue();
    return;
  }
  const std::size_t space = row.value->find(' ');
  const std::string ip = row.value->substr(0, space);
  boost::system::error_code error;
  asio::ip::make_address_v4(ip, error);
  // Ignores malformed rows and this host's own address under another name.
  if (error || space == std::string::npos || ip == context_.settings.ip) return;
  candidates_.Add(ip, ZoneId(row.value->substr(space + 1)));
}

}  // namespace dogwood
