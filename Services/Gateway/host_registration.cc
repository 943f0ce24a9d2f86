#include "Services/Gateway/host_registration.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kHostTable = "dogwood-hosts";
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);

}  // namespace

std::string HostRegistration::OwnValue() const {
  return context_.settings.ip + " " + context_.settings.zone.value();
}

asio::awaitable<void> HostRegistration::Run() {
  asio::steady_timer timer(context_.io, kMeetTime);
  co_await timer.async_wait(kUseTuple);
  // No earlier start of this host can have registered.
  bool should_write = context_.settings.is_first_start;
  TimePoint read_at{};
  for (;;) {
    const TimePoint now = MonotonicNow();
    const bool is_due = !is_registered_ || now - read_at >= kRenewAfter;
    if (is_due && context_.peers.is_steward(now)) {
      if (should_write) is_registered_ = co_await Write();
      // A host that reads after its own row is written sees all that wrote
      // before it, and is seen by all that write later.
      if (co_await Read()) {
        read_at = MonotonicNow();
        const bool was_missing = !is_registered_ && !should_write;
        should_write = !is_registered_;
        if (was_missing) continue;
      }
    }
    timer.expires_after(kPause);
    co_await timer.async_wait(kUseTuple);
  }
}

asio::awaitable<bool> HostRegistration::Write() {
  const auto written = co_await store_.WriteRow(
      kHostTable, context_.settings.host.value(), OwnValue(), kStoreTimeout);
  co_return written.has_value();
}

asio::awaitable<bool> HostRegistration::Read() {
  const auto rows = co_await store_.ReadTable(kHostTable, kStoreTimeout);
  if (!rows) co_return false;
  for (const platform::StoreRow& row : rows.value().rows) TakeRow(row);
  co_return true;
}

void HostRegistration::TakeRow(const platform::StoreRow& row) {
  if (!row.value) return;
  if (row.key == context_.settings.host.value()) {
    is_registered_ = is_registered_ || *row.value == OwnValue();
    return;
  }
  const std::size_t space = row.value->find(' ');
  const std::string ip = row.value->substr(0, space);
  boost::system::error_code error;
  asio::ip::make_address_v4(ip, error);
  // A row that holds no address was not written by a host.
  if (error || space == std::string::npos || ip == context_.settings.ip) return;
  contacts_.Add(ip, ZoneId(row.value->substr(space + 1)));
}

}  // namespace dogwood
