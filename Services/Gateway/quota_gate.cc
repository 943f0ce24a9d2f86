#include "Services/Gateway/quota_gate.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Libraries/Routing/rendezvous.h"

namespace dogwood {

namespace asio = boost::asio;

QuotaLimit QuotaGate::LimitOf(const ClientAccount& account) const {
  const platform::PlatformLimits& limits = context_.settings.platform_limits;
  return {account.rate_per_second, account.burst, limits.quota_window,
          limits.quota_excess_ratio, limits.quota_extra};
}

bool QuotaGate::is_uninformed(TimePoint now) const {
  const std::vector<std::string>& seeds = context_.settings.seed_ips;
  const bool has_other_seed = std::any_of(
      seeds.begin(), seeds.end(),
      [this](const std::string& ip) { return ip != context_.settings.ip; });
  return has_other_seed && context_.peer_table.KnownHostCount() == 1 &&
         now - started_at_ < PeerTable::kConvergenceTime;
}

AccountQuota::Grant QuotaGate::TakeHere(const ClientAccount& account,
                                        bool is_backup, TimePoint now) {
  const QuotaLimit limit = LimitOf(account);
  // The backup grants beside the first host, as long as some hosts reach that
  // one. Without an answer from either, each host grants its part of as much.
  const double share = is_backup ? AccountQuota::BackupShare(limit)
                                 : context_.peer_table.ReachableShare(now);
  const std::uint64_t hash = HashName(account.name.value());
  return quota_.Take(
      hash, limit, share, now,
      context_.peer_table.RecentQuotaHostCount(hash, limit.window, now));
}

asio::awaitable<QuotaGate::Result> QuotaGate::Admit(
    const ClientAccount& account) {
  constexpr std::size_t kAskedHosts = 2;
  const std::uint64_t hash = HashName(account.name.value());
  const std::vector<std::string> hosts =
      context_.peer_table.QuotaHostsOf(hash, kAskedHosts, MonotonicNow());
  for (std::size_t rank = 0; rank < hosts.size(); ++rank) {
    const std::string& ip = hosts[rank];
    const bool is_backup = rank > 0;
    if (ip == context_.settings.ip) {
      if (is_uninformed(MonotonicNow())) break;
      const auto grant = TakeHere(account, is_backup, MonotonicNow());
      co_return Result{
          grant.is_granted ? Decision::kAdmitted : Decision::kOverQuota,
          grant.retry_after, ip};
    }
    const auto silent = silent_until_.find(ip);
    if (silent != silent_until_.end() && MonotonicNow() < silent->second)
      continue;
    const auto response = co_await Ask(ip, hash, is_backup);
    if (response && response->is_known) {
      co_return Result{
          response->is_granted ? Decision::kAdmitted : Decision::kOverQuota,
          response->retry_after, ip};
    }
    if (!response) silent_until_[ip] = MonotonicNow() + kSilentTime;
  }
  context_.metrics.quota_hosts_silent.Add();
  const bool is_admitted = try_take_fallback(account, MonotonicNow());
  co_return Result{is_admitted ? Decision::kAdmitted : Decision::kUnknown,
                   {},
                   context_.settings.ip};
}

asio::awaitable<std::optional<QuotaResponse>> QuotaGate::Ask(
    const std::string& ip, std::uint64_t account, bool is_backup) {
  asio::steady_timer timer(context_.io_context);
  PendingAnswer answer{&timer, {}};
  const std::uint64_t number = ++last_request_number_;
  pending_[number] = &answer;
  send_(ip, QuotaRequest{number, account, is_backup});
  timer.expires_after(kAnswerTimeout);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  pending_.erase(number);
  co_return answer.response;
}

bool QuotaGate::try_take_fallback(const ClientAccount& account, TimePoint now) {
  const double hosts =
      static_cast<double>(context_.peer_table.KnownHostCount());
  const double share = AccountQuota::BackupShare(LimitOf(account));
  std::uniform_real_distribution<double> draw(0, 1);
  return fallback_.Admit(HashName(account.name.value()),
                         share * account.rate_per_second / hosts,
                         draw(context_.random_engine), now);
}

void QuotaGate::Return(const ClientAccount& account,
                       const std::string& granted_by) {
  const std::uint64_t hash = HashName(account.name.value());
  if (granted_by == context_.settings.ip) {
    quota_.Return(hash);
  } else {
    send_(granted_by, QuotaReturn{hash});
  }
}

void QuotaGate::OnRequest(const std::string& ip, const QuotaRequest& request) {
  QuotaResponse response{request.request_number};
  const ClientAccount* account =
      context_.route_table
          ? context_.route_table->FindAccountByHash(request.account)
          : nullptr;
  if (account != nullptr) {
    const auto grant = TakeHere(*account, request.is_backup, MonotonicNow());
    response.is_known = true;
    response.is_granted = grant.is_granted;
    response.retry_after = grant.retry_after;
  }
  send_(ip, response);
}

void QuotaGate::OnResponse(const QuotaResponse& response) {
  const auto found = pending_.find(response.request_number);
  if (found == pending_.end()) return;
  found->second->response = response;
  found->second->timer->cancel();
}

void QuotaGate::OnReturn(const QuotaReturn& message) {
  quota_.Return(message.account);
}

}  // namespace dogwood
