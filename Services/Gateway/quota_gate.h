#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <unordered_map>

#include "Libraries/Balancing/account_quota.h"
#include "Services/Gateway/gateway_context.h"

namespace dogwood {

// Admits requests of client accounts with a quota. Asks the host that grants
// the account's quota, which may be this one, and answers the other hosts for
// the accounts that this host grants.
class QuotaGate {
 public:
  // For one answer. Some round trips between zones; a host that is short of
  // processor time is asked for no longer.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(40);
  // How long a host that did not answer is not asked.
  static constexpr Duration kSilentTime = std::chrono::milliseconds(500);
  enum class Decision {
    kAdmitted,
    kOverQuota,
    kUnknown,  // no host that knows the account's use could be reached
  };
  struct Result {
    Decision decision = Decision::kAdmitted;
    Duration retry_after{};  // until the account has room, if over its quota
    std::string granted_by;  // address of the host that granted the token
  };

  using SendFunction =
      std::function<void(const std::string& ip, const PeerMessage& message)>;

  QuotaGate(GatewayContext& context, SendFunction send)
      : context_(context), send_(std::move(send)) {}
  QuotaGate(const QuotaGate&) = delete;
  QuotaGate& operator=(const QuotaGate&) = delete;

  boost::asio::awaitable<Result> Admit(const ClientAccount& account);
  // Gives back the token of an admitted request that did not run.
  void Return(const ClientAccount& account, const std::string& granted_by);

  // Handle the messages of other hosts.
  void OnRequest(const std::string& ip, const QuotaRequest& request);
  void OnResponse(const QuotaResponse& response);
  void OnReturn(const QuotaReturn& message);

 private:
  struct PendingAnswer {
    boost::asio::steady_timer* timer;
    std::optional<QuotaResponse> response;
  };

  QuotaLimit LimitOf(const ClientAccount& account) const;
  // Whether this host has just started and knows none of the other hosts, which
  // may be granting the same quotas.
  bool is_uninformed(TimePoint now) const;
  AccountQuota::Grant TakeHere(const ClientAccount& account, bool is_backup,
                               TimePoint now);
  boost::asio::awaitable<std::optional<QuotaResponse>> Ask(
      const std::string& ip, std::uint64_t account, bool is_backup);
  // Takes a token from this host's own part of the quota.
  bool try_take_fallback(const ClientAccount& account, TimePoint now);

  GatewayContext& context_;
  const TimePoint started_at_ = MonotonicNow();
  SendFunction send_;
  AccountQuota quota_;
  FallbackQuota fallback_;
  std::uint64_t last_request_number_ = 0;
  std::unordered_map<std::uint64_t, PendingAnswer*> pending_;
  std::unordered_map<std::string, TimePoint> silent_until_;
};

}  // namespace dogwood
