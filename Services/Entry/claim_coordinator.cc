#include "Services/Entry/claim_coordinator.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace dogwood {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;
using Kind = ClaimAnswer::Kind;

constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr Duration kGreatestBackoff = std::chrono::milliseconds(320);
constexpr Duration kStoreBackoff = std::chrono::milliseconds(200);
constexpr Duration kRetryHint = std::chrono::seconds(1);
constexpr std::size_t kScanLimit = 500;
constexpr std::int64_t kGreatestWaitMilliseconds = 60'000;

Result<Json> Encode(ClaimAnswer answer, const HostId& holder) {
  Json body{{"version", 1},
            {"answer", kClaimAnswerNames.NameOf(answer.kind)},
            {"status", answer.status}};
  if (!holder.value().empty()) body["holder"] = holder.value();
  return body;
}

Json Encode(const ClaimKeyHash& key, ClaimantId claimant) {
  return {{"version", 1},
          {"key", {key.high, key.low}},
          {"claimant", claimant.value()}};
}

ClaimRecord DecodeRecord(const Json& body) {
  return {{body.at("key").at(0).get<std::uint64_t>(),
           body.at("key").at(1).get<std::uint64_t>()},
          ClaimantId(body.at("claimant").get<std::uint64_t>())};
}

TimePoint DecodeDeadline(const Json& body, TimePoint now) {
  return now + std::chrono::milliseconds(std::clamp<std::int64_t>(
                   body.value("wait_ms", 0), 0, kGreatestWaitMilliseconds));
}

std::int64_t MillisecondsUntil(TimePoint deadline, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now)
      .count();
}

}  // namespace

ClaimCoordinator::ClaimCoordinator(asio::any_io_executor executor,
                                   ControlClock& clock, TableStore& store,
                                   PeerChannel& peers, EventLog& events,
                                   HostId host, Incarnation incarnation,
                                   ClaimCoordinatorOptions options)
    : executor_(std::move(executor)),
      clock_(clock),
      store_(store),
      peers_(peers),
      events_(events),
      options_(options),
      holder_(std::move(host), incarnation, options.claims),
      commit_signal_(executor_) {}

void ClaimCoordinator::Start() {
  peers_.Handle("claim", [this](const HostId&, Json body) {
    return HandleClaim(std::move(body));
  });
  peers_.Handle("claim-result", [this](const HostId&, Json body) {
    return HandleResult(std::move(body));
  });
  peers_.AddMemberListener(
      [this](const std::vector<Member>&) { view_changed_ = clock_.Now(); });
  asio::co_spawn(executor_, CommitLoop(), asio::detached);
  asio::co_spawn(executor_, TickLoop(), asio::detached);
}

asio::awaitable<void> ClaimCoordinator::CommitLoop() {
  while (true) {
    const auto earliest = holder_.next_commit_time();
    if (!earliest) {
      boost::system::error_code ignored;
      commit_signal_.expires_at(asio::steady_timer::time_point::max());
      co_await commit_signal_.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    if (*earliest > clock_.Now()) {
      co_await clock_.Sleep(*earliest - clock_.Now());
      continue;
    }
    if (const auto key = holder_.unresolved_row_key()) {
      const Result<TableRow> row =
          co_await store_.Read(*key, options_.store_timeout);
      if (row) Deliver(holder_.ResolveByRow(row.value(), clock_.Wall()));
      if (!holder_.next_commit_time()) continue;
    }
    const std::size_t held = holder_.shard_count();
    const CommitResult result =
        co_await store_.Commit(holder_.StartCommit(clock_.Now(), clock_.Wall()),
                               options_.store_timeout);
    Deliver(holder_.FinishCommit(result, clock_.Wall()));
    if (holder_.shard_count() < held) {
      events_.Record(EventId::kClaimShardLost,
                     {{"shards", static_cast<std::int64_t>(
                                     held - holder_.shard_count())}});
      for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard) {
        const ClaimShardId id(shard);
        if (!holder_.is_holder_of(id) && !not_before_.contains(id))
          not_before_[id] = clock_.Now() + options_.retake_delay;
      }
    }
    if (std::holds_alternative<CommitUnknown>(result))
      events_.Record(EventId::kClaimCommitUnresolved);
    if (std::holds_alternative<CommitUnknown>(result) ||
        std::holds_alternative<CommitUnavailable>(result))
      co_await clock_.Sleep(kStoreBackoff);
  }
}

asio::awaitable<void> ClaimCoordinator::TickLoop() {
  while (true) {
    const TimePoint now = clock_.Now();
    for (auto& [ticket, waiter] : waiters_) {
      if (!waiter.answer && waiter.deadline <= now) waiter.signal.cancel();
    }
    if (!is_taking_over_ && !is_stopping_ && now >= next_lease_check_) {
      next_lease_check_ = now + options_.lease_check_interval;
      is_taking_over_ = true;
      asio::co_spawn(
          executor_, CheckLeases(),
          [this](const std::exception_ptr&) { is_taking_over_ = false; });
      holder_.RemoveExpired(clock_.Wall());
    }
    co_await clock_.Sleep(options_.tick);
  }
}

asio::awaitable<void> ClaimCoordinator::CheckLeases() {
  const TimePoint now = clock_.Now();
  if (view_changed_ != TimePoint{} &&
      now < view_changed_ + options_.takeover_delay)
    co_return;
  const std::vector<HostId> live = LiveHosts();
  std::map<ClaimShardId, TableRow> wanted;
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard) {
    const ClaimShardId id(shard);
    const auto blocked = not_before_.find(id);
    if (blocked != not_before_.end()) {
      if (now < blocked->second) continue;
      not_before_.erase(blocked);
    }
    if (holder_.is_holder_of(id) ||
        RendezvousHolder(id, live) != holder_.host())
      continue;
    wanted[id].key = ClaimShardKey(id);
  }
  if (wanted.empty()) co_return;
  const Result<std::vector<TableRow>> rows = co_await store_.Scan(
      "claim-shard/", "", kClaimShardCount, options_.store_timeout);
  if (!rows) co_return;
  for (const TableRow& row : rows.value()) {
    for (auto& [shard, wanted_row] : wanted) {
      if (wanted_row.key == row.key) wanted_row = row;
    }
  }
  co_await TakeOver(std::move(wanted));
}

asio::awaitable<void> ClaimCoordinator::TakeOver(
    std::map<ClaimShardId, TableRow> rows) {
  using Phase = ClaimTakeover::Phase;
  ClaimTakeover takeover(holder_, rows);
  while (!is_stopping_) {
    const Phase phase = takeover.phase();
    if (phase == Phase::kLost) co_return;
    if (phase == Phase::kDone) break;
    CommitResult result = CommitUnavailable{};
    if (phase == Phase::kRaise) {
      result = co_await store_.Commit(takeover.RaiseCommit(clock_.Wall()),
                                      options_.store_timeout);
      takeover.ApplyRaise(result);
    } else if (phase == Phase::kLoad) {
      if (!co_await LoadRows(takeover)) co_return;
      continue;
    } else {
      result = co_await store_.Commit(takeover.ConfirmCommit(),
                                      options_.store_timeout);
      const Result<void> applied = takeover.ApplyConfirm(result);
      if (!applied) {
        events_.Record(EventId::kClaimRowInvalid,
                       {{"error", applied.error().message}});
        co_return;
      }
    }
    if (std::holds_alternative<CommitUnavailable>(result) ||
        std::holds_alternative<CommitUnknown>(result))
      co_await clock_.Sleep(kStoreBackoff);
  }
  if (is_stopping_) co_return;
  events_.Record(
      EventId::kClaimShardTaken,
      {{"shards", static_cast<std::int64_t>(takeover.shards().size())}});
  takeover.Install(holder_);
}

asio::awaitable<bool> ClaimCoordinator::LoadRows(ClaimTakeover& takeover) {
  const auto [prefix, after] = takeover.NextScan();
  const Result<std::vector<TableRow>> rows =
      co_await store_.Scan(prefix, after, kScanLimit, options_.store_timeout);
  if (!rows) {
    co_await clock_.Sleep(kStoreBackoff);
    co_return true;
  }
  const Result<void> applied = takeover.ApplyScan(rows.value(), kScanLimit);
  if (!applied) {
    events_.Record(EventId::kClaimRowInvalid,
                   {{"error", applied.error().message}});
    // Serving a shard without all of its rows could grant a key twice.
    co_return false;
  }
  co_return true;
}

std::vector<HostId> ClaimCoordinator::LiveHosts() const {
  std::vector<HostId> live;
  for (const Member& member : peers_.members()) {
    if (member.state != MemberState::kLeaving) live.push_back(member.host);
  }
  if (!is_stopping_) live.push_back(holder_.host());
  return live;
}

HostId ClaimCoordinator::TargetOf(ClaimShardId shard) const {
  if (holder_.is_holder_of(shard)) return holder_.host();
  const auto known = known_holders_.find(shard);
  if (known != known_holders_.end()) return known->second;
  return RendezvousHolder(shard, LiveHosts()).value_or(holder_.host());
}

ClaimCoordinator::Reply ClaimCoordinator::WithKnownHolder(
    ClaimShardId shard, ClaimAnswer answer) const {
  const auto known = known_holders_.find(shard);
  if (answer.kind != Kind::kNotHolder || known == known_holders_.end())
    return {answer, HostId()};
  return {answer, known->second};
}

asio::awaitable<void> ClaimCoordinator::FindHolder(ClaimShardId shard,
                                                   HostId asked,
                                                   const Result<Reply>& reply,
                                                   int attempt,
                                                   TimePoint deadline) {
  known_holders_.erase(shard);
  const bool has_hint = reply && !reply.value().holder.value().empty() &&
                        reply.value().holder != asked;
  if (has_hint) known_holders_[shard] = reply.value().holder;
  // The first redirect is followed at once; then the shard's row decides.
  if (has_hint && attempt == 0) co_return;
  if (attempt % 2 == 1) {
    const Result<TableRow> row = co_await store_.Read(
        ClaimShardKey(shard),
        std::min(options_.store_timeout,
                 std::max(deadline - clock_.Now(), Duration(1))));
    if (row) {
      const auto parsed = ClaimShardRow::Parse(row.value());
      if (parsed && !parsed.value().holder.value().empty())
        known_holders_[shard] = parsed.value().holder;
    }
  }
  const Duration backoff =
      std::min(kFirstBackoff * (1 << std::min(attempt, 8)), kGreatestBackoff);
  const Duration left = deadline - clock_.Now();
  if (left > Duration{}) co_await clock_.Sleep(std::min(backoff, left));
}

asio::awaitable<ClaimReply> ClaimCoordinator::Claim(std::string key,
                                                    RequestId request,
                                                    TimePoint deadline) {
  const ClaimKeyHash hash = HashClaimKey(key);
  const ClaimShardId shard = ShardOf(hash);
  const ClaimantId claimant =
      MakeClaimantId(holder_.host(), holder_.incarnation(), ++claim_counter_);
  bool may_be_claimed = false;
  ClaimReply decision{ClaimReply::Kind::kNotRun, 0, "claim-holder-not-found",
                      kRetryHint};
  for (int attempt = 0; clock_.Now() < deadline; ++attempt) {
    const HostId target = TargetOf(shard);
    const Result<Reply> reply =
        co_await AskClaim(target, hash, claimant, deadline);
    if (!reply) {
      if (reply.error().code != ErrorCode::kUnavailable) may_be_claimed = true;
      co_await FindHolder(shard, target, reply, attempt, deadline);
      continue;
    }
    const ClaimAnswer answer = reply.value().answer;
    if (answer.kind == Kind::kPending) {
      may_be_claimed = true;
      continue;
    }
    if (answer.kind == Kind::kNotHolder) {
      co_await FindHolder(shard, target, reply, attempt, deadline);
      continue;
    }
    if (answer.kind == Kind::kGranted) {
      may_be_claimed = true;
      if (clock_.Now() >= deadline) break;
      granted_[request] = claimant;
      co_return ClaimReply{ClaimReply::Kind::kGranted};
    }
    if (answer.kind == Kind::kUnavailable)
      decision.reason = "store-unavailable";
    if (answer.kind == Kind::kBusy) decision.reason = "claims-over-capacity";
    if (answer.kind == Kind::kOutcomeUnknown)
      decision = {ClaimReply::Kind::kOutcomeUnknown};
    if (answer.kind == Kind::kCompleted)
      decision = {ClaimReply::Kind::kCompleted, answer.status};
    break;
  }
  if (may_be_claimed)
    ReportInBackground({hash, claimant, ClaimState::kReleased});
  co_return decision;
}

asio::awaitable<Result<void>> ClaimCoordinator::Finish(std::string key,
                                                       RequestId request,
                                                       ClaimState outcome,
                                                       std::uint16_t status) {
  const auto granted = granted_.find(request);
  if (granted == granted_.end())
    co_return Fail(ErrorCode::kNotFound,
                   "request " + request.value() + " holds no claim");
  const ClaimantId claimant = granted->second;
  granted_.erase(granted);
  co_return co_await Report({HashClaimKey(key), claimant, outcome, status},
                            clock_.Now() + options_.report_time);
}

asio::awaitable<Result<void>> ClaimCoordinator::Report(ClaimRecord record,
                                                       TimePoint until) {
  const ClaimShardId shard = ShardOf(record.key);
  for (int attempt = 0; clock_.Now() < until; ++attempt) {
    const HostId target = TargetOf(shard);
    const Result<Reply> reply = co_await AskFinish(
        target, record, std::min(until, clock_.Now() + options_.peer_timeout));
    if (reply && reply.value().answer.kind == Kind::kDone)
      co_return outcome::success();
    co_await FindHolder(shard, target, reply, attempt, until);
  }
  events_.Record(EventId::kClaimReportAbandoned,
                 {{"state", kClaimStateNames.NameOf(record.state)}});
  co_return Fail(ErrorCode::kOutcomeUnknown,
                 "the claim's holder did not confirm the outcome");
}

void ClaimCoordinator::ReportInBackground(const ClaimRecord& record) {
  if (background_reports_ >= options_.max_background_reports) {
    events_.Record(EventId::kClaimReportAbandoned,
                   {{"state", kClaimStateNames.NameOf(record.state)}});
    return;
  }
  ++background_reports_;
  asio::co_spawn(executor_, BackgroundReport(record), asio::detached);
}

asio::awaitable<void> ClaimCoordinator::BackgroundReport(ClaimRecord record) {
  co_await Report(record, clock_.Now() + options_.report_time);
  --background_reports_;
}

asio::awaitable<Result<ClaimCoordinator::Reply>> ClaimCoordinator::AskClaim(
    HostId target, ClaimKeyHash key, ClaimantId claimant, TimePoint deadline) {
  if (target == holder_.host()) {
    const ClaimAnswer answer = co_await LocalClaim(key, claimant, deadline);
    co_return WithKnownHolder(ShardOf(key), answer);
  }
  Json body = Encode(key, claimant);
  const Duration wait =
      std::min(options_.peer_timeout, deadline - clock_.Now());
  body["wait_ms"] = MillisecondsUntil(clock_.Now() + wait, clock_.Now());
  const Result<Json> reply =
      co_await peers_.Call(target, "claim", std::move(body), wait);
  if (!reply) co_return reply.error();
  const auto kind =
      kClaimAnswerNames.ValueOf(reply.value().value("answer", ""));
  if (!kind) co_return Fail(ErrorCode::kProtocol, "unreadable claim answer");
  co_return Reply{{*kind, reply.value().value("status", std::uint16_t{0})},
                  HostId(reply.value().value("holder", ""))};
}

asio::awaitable<Result<ClaimCoordinator::Reply>> ClaimCoordinator::AskFinish(
    HostId target, ClaimRecord record, TimePoint deadline) {
  if (target == holder_.host())
    co_return WithKnownHolder(ShardOf(record.key),
                              co_await LocalFinish(record, deadline));
  Json body = Encode(record.key, record.claimant);
  body["state"] = kClaimStateNames.NameOf(record.state);
  body["status"] = record.status;
  body["wait_ms"] = MillisecondsUntil(deadline, clock_.Now());
  const Result<Json> reply = co_await peers_.Call(
      target, "claim-result", std::move(body), deadline - clock_.Now());
  if (!reply) co_return reply.error();
  const auto kind =
      kClaimAnswerNames.ValueOf(reply.value().value("answer", ""));
  if (!kind) co_return Fail(ErrorCode::kProtocol, "unreadable claim answer");
  co_return Reply{{*kind}, HostId(reply.value().value("holder", ""))};
}

asio::awaitable<Result<Json>> ClaimCoordinator::HandleClaim(Json body) {
  try {
    const ClaimRecord record = DecodeRecord(body);
    const ClaimAnswer answer = co_await LocalClaim(
        record.key, record.claimant, DecodeDeadline(body, clock_.Now()));
    co_return Encode(answer,
                     WithKnownHolder(ShardOf(record.key), answer).holder);
  } catch (const Json::exception& error) {
    co_return Fail(ErrorCode::kProtocol, error.what());
  }
}

asio::awaitable<Result<Json>> ClaimCoordinator::HandleResult(Json body) {
  try {
    ClaimRecord record = DecodeRecord(body);
    const auto state = kClaimStateNames.ValueOf(
        body.at("state").get_ref<const std::string&>());
    if (!state || *state == ClaimState::kClaiming ||
        *state == ClaimState::kGranted)
      co_return Fail(ErrorCode::kProtocol, "unknown outcome of a claim");
    record.state = *state;
    record.status = body.at("status").get<std::uint16_t>();
    const ClaimAnswer answer =
        co_await LocalFinish(record, DecodeDeadline(body, clock_.Now()));
    co_return Encode(answer,
                     WithKnownHolder(ShardOf(record.key), answer).holder);
  } catch (const Json::exception& error) {
    co_return Fail(ErrorCode::kProtocol, error.what());
  }
}

asio::awaitable<ClaimAnswer> ClaimCoordinator::LocalClaim(ClaimKeyHash key,
                                                          ClaimantId claimant,
                                                          TimePoint deadline) {
  if (is_stopping_) co_return ClaimAnswer{Kind::kNotHolder};
  const ClaimHolder::Ticket ticket = next_ticket_++;
  const auto answer = holder_.Claim(key, claimant, ticket, clock_.Wall());
  if (answer) co_return *answer;
  WakeCommitLoop();
  co_return co_await Wait(ticket, deadline);
}

asio::awaitable<ClaimAnswer> ClaimCoordinator::LocalFinish(ClaimRecord record,
                                                           TimePoint deadline) {
  const ClaimHolder::Ticket ticket = next_ticket_++;
  const auto answer = holder_.Finish(record, ticket, clock_.Wall());
  if (answer) co_return *answer;
  WakeCommitLoop();
  co_return co_await Wait(ticket, deadline);
}

asio::awaitable<ClaimAnswer> ClaimCoordinator::Wait(ClaimHolder::Ticket ticket,
                                                    TimePoint deadline) {
  const auto waiter = waiters_.try_emplace(ticket, executor_).first;
  waiter->second.deadline = deadline;
  boost::system::error_code ignored;
  co_await waiter->second.signal.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  const auto answer = waiter->second.answer;
  waiters_.erase(waiter);
  co_return answer.value_or(ClaimAnswer{Kind::kPending});
}

void ClaimCoordinator::Deliver(
    const std::vector<ClaimHolder::Answered>& answers) {
  for (const auto& [ticket, answer] : answers) {
    const auto waiter = waiters_.find(ticket);
    if (waiter == waiters_.end()) continue;
    waiter->second.answer = answer;
    waiter->second.signal.cancel();
  }
}

asio::awaitable<void> ClaimCoordinator::HandOver(TimePoint deadline) {
  is_stopping_ = true;
  while (clock_.Now() < deadline &&
         (holder_.next_commit_time() || is_taking_over_))
    co_await clock_.Sleep(options_.tick);
  if (holder_.next_commit_time() || holder_.shard_count() == 0) co_return;
  // A lost answer is harmless: the next holder raises the epoch in any case.
  co_await store_.Commit(holder_.HandoverCommit(clock_.Wall()),
                         options_.store_timeout);
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard)
    Deliver(holder_.Drop(ClaimShardId(shard)));
}

asio::awaitable<ClaimReply> ClaimClient::Claim(std::string key,
                                               RequestId request,
                                               TimePoint deadline) {
  co_return co_await asio::co_spawn(
      control_,
      coordinator_.Claim(std::move(key), std::move(request), deadline),
      asio::use_awaitable);
}

asio::awaitable<Result<void>> ClaimClient::Finish(std::string key,
                                                  RequestId request,
                                                  ClaimState outcome,
                                                  std::uint16_t status) {
  // co_spawn needs a result that has a default value.
  std::optional<Result<void>> result;
  co_await asio::co_spawn(
      control_,
      [&]() -> asio::awaitable<void> {
        result.emplace(co_await coordinator_.Finish(
            std::move(key), std::move(request), outcome, status));
      },
      asio::use_awaitable);
  co_return *result;
}

}  // namespace dogwood
