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
using AnswerKind = ClaimAnswer::Kind;

constexpr Duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(320);
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kRetryAfterHint = std::chrono::seconds(1);
constexpr std::size_t kScanPageRows = 500;
constexpr std::int64_t kMaxWaitMilliseconds = 60'000;

Result<Json> EncodeAnswer(ClaimAnswer answer, const HostId& holder) {
  Json body{{"version", 1},
            {"answer", kClaimAnswerNames.NameOf(answer.kind)},
            {"status", answer.status}};
  if (!holder.value().empty()) body["holder"] = holder.value();
  return body;
}

Json EncodeClaim(const IdempotencyKeyHash& key, ClaimantId claimant) {
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
                   body.value("wait_ms", 0), 0, kMaxWaitMilliseconds));
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
    return HandleClaimResult(std::move(body));
  });
  peers_.AddMemberListener([this](const std::vector<Member>&) {
    membership_changed_at_ = clock_.Now();
  });
  asio::co_spawn(executor_, CommitLoop(), asio::detached);
  asio::co_spawn(executor_, PollLoop(), asio::detached);
}

asio::awaitable<void> ClaimCoordinator::CommitLoop() {
  while (true) {
    const auto commit_time = holder_.next_commit_time();
    if (!commit_time) {
      boost::system::error_code ignored;
      commit_signal_.expires_at(asio::steady_timer::time_point::max());
      co_await commit_signal_.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    if (*commit_time > clock_.Now()) {
      co_await clock_.Sleep(*commit_time - clock_.Now());
      continue;
    }
    if (const auto key = holder_.unresolved_row_key()) {
      const Result<TableRow> row =
          co_await store_.Read(*key, options_.store_timeout);
      if (row)
        DeliverAnswers(holder_.ResolveCommitByRow(row.value(), clock_.Wall()));
      if (!holder_.next_commit_time()) continue;
    }
    const std::size_t shards_before = holder_.shard_count();
    const CommitResult result =
        co_await store_.Commit(holder_.StartCommit(clock_.Now(), clock_.Wall()),
                               options_.store_timeout);
    DeliverAnswers(holder_.FinishCommit(result, clock_.Wall()));
    if (holder_.shard_count() < shards_before) {
      events_.Record(EventId::kClaimShardLost,
                     {{"shards", static_cast<std::int64_t>(
                                     shards_before - holder_.shard_count())}});
      for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard) {
        const ClaimShardId id(shard);
        if (!holder_.is_holder_of(id) && !earliest_takeover_.contains(id))
          earliest_takeover_[id] =
              clock_.Now() + options_.lost_shard_retake_delay;
      }
    }
    if (std::holds_alternative<CommitOutcomeUnknown>(result))
      events_.Record(EventId::kClaimCommitUnresolved);
    if (std::holds_alternative<CommitOutcomeUnknown>(result) ||
        std::holds_alternative<CommitUnavailable>(result))
      co_await clock_.Sleep(kStoreRetryDelay);
  }
}

asio::awaitable<void> ClaimCoordinator::PollLoop() {
  while (true) {
    const TimePoint now = clock_.Now();
    for (auto& [ticket, waiter] : waiters_) {
      if (!waiter.answer && waiter.deadline <= now) waiter.signal.cancel();
    }
    if (!is_checking_shards_ && !is_stopping_ && now >= next_shard_check_) {
      next_shard_check_ = now + options_.shard_check_interval;
      is_checking_shards_ = true;
      asio::co_spawn(
          executor_, CheckShardOwnership(),
          [this](const std::exception_ptr&) { is_checking_shards_ = false; });
      holder_.RemoveExpired(clock_.Wall());
    }
    co_await clock_.Sleep(options_.poll_interval);
  }
}

asio::awaitable<void> ClaimCoordinator::CheckShardOwnership() {
  const TimePoint now = clock_.Now();
  if (membership_changed_at_ != TimePoint{} &&
      now < membership_changed_at_ + options_.takeover_delay)
    co_return;
  const std::vector<HostId> live = LiveHosts();
  std::map<ClaimShardId, TableRow> candidate_rows;
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard) {
    const ClaimShardId id(shard);
    const auto blocked = earliest_takeover_.find(id);
    if (blocked != earliest_takeover_.end()) {
      if (now < blocked->second) continue;
      earliest_takeover_.erase(blocked);
    }
    if (holder_.is_holder_of(id) ||
        SelectShardHolder(id, live) != holder_.host())
      continue;
    candidate_rows[id].key = ClaimShardRowKey(id);
  }
  if (candidate_rows.empty()) co_return;
  const Result<std::vector<TableRow>> rows = co_await store_.Scan(
      "claim-shard/", "", kClaimShardCount, options_.store_timeout);
  if (!rows) co_return;
  for (const TableRow& row : rows.value()) {
    for (auto& [shard, candidate_row] : candidate_rows) {
      if (candidate_row.key == row.key) candidate_row = row;
    }
  }
  co_await TakeOverShards(std::move(candidate_rows));
}

asio::awaitable<void> ClaimCoordinator::TakeOverShards(
    std::map<ClaimShardId, TableRow> rows) {
  using Phase = ClaimTakeover::Phase;
  ClaimTakeover takeover(holder_, rows);
  while (!is_stopping_) {
    const Phase phase = takeover.phase();
    if (phase == Phase::kLost) co_return;
    if (phase == Phase::kDone) break;
    CommitResult result = CommitUnavailable{};
    if (phase == Phase::kRaise) {
      result =
          co_await store_.Commit(takeover.BuildRaiseEpochsCommit(clock_.Wall()),
                                 options_.store_timeout);
      takeover.ApplyRaiseEpochs(result);
    } else if (phase == Phase::kLoad) {
      if (!co_await LoadClaimRows(takeover)) co_return;
      continue;
    } else {
      result = co_await store_.Commit(takeover.BuildConfirmCommit(),
                                      options_.store_timeout);
      const Result<void> applied = takeover.ApplyConfirm(result);
      if (!applied) {
        events_.Record(EventId::kClaimRowInvalid,
                       {{"error", applied.error().message}});
        co_return;
      }
    }
    if (std::holds_alternative<CommitUnavailable>(result) ||
        std::holds_alternative<CommitOutcomeUnknown>(result))
      co_await clock_.Sleep(kStoreRetryDelay);
  }
  if (is_stopping_) co_return;
  events_.Record(
      EventId::kClaimShardTaken,
      {{"shards", static_cast<std::int64_t>(takeover.shards().size())}});
  takeover.Install(holder_);
}

asio::awaitable<bool> ClaimCoordinator::LoadClaimRows(ClaimTakeover& takeover) {
  const auto [prefix, after] = takeover.NextScan();
  const Result<std::vector<TableRow>> rows = co_await store_.Scan(
      prefix, after, kScanPageRows, options_.store_timeout);
  if (!rows) {
    co_await clock_.Sleep(kStoreRetryDelay);
    co_return true;
  }
  const Result<void> applied = takeover.ApplyScan(rows.value(), kScanPageRows);
  if (!applied) {
    events_.Record(EventId::kClaimRowInvalid,
                   {{"error", applied.error().message}});
    // A holder that lacks rows of its shard could grant a key twice.
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

HostId ClaimCoordinator::LikelyHolder(ClaimShardId shard) const {
  if (holder_.is_holder_of(shard)) return holder_.host();
  const auto known = known_holders_.find(shard);
  if (known != known_holders_.end()) return known->second;
  return SelectShardHolder(shard, LiveHosts()).value_or(holder_.host());
}

ClaimCoordinator::HolderReply ClaimCoordinator::MakeReply(
    ClaimShardId shard, ClaimAnswer answer) const {
  const auto known = known_holders_.find(shard);
  if (answer.kind != AnswerKind::kNotHolder || known == known_holders_.end())
    return {answer, HostId()};
  return {answer, known->second};
}

asio::awaitable<void> ClaimCoordinator::FindHolderAndBackOff(
    ClaimShardId shard, HostId asked_host, const Result<HolderReply>& reply,
    int attempt, TimePoint deadline) {
  known_holders_.erase(shard);
  const bool has_redirect = reply && !reply.value().holder.value().empty() &&
                            reply.value().holder != asked_host;
  if (has_redirect) known_holders_[shard] = reply.value().holder;
  // Follows the first redirect immediately. Later attempts back off, and every
  // second attempt reads the holder from the shard's row in the store.
  if (has_redirect && attempt == 0) co_return;
  if (attempt % 2 == 1) {
    const Result<TableRow> row = co_await store_.Read(
        ClaimShardRowKey(shard),
        std::min(options_.store_timeout,
                 std::max(deadline - clock_.Now(), Duration(1))));
    if (row) {
      const auto parsed = ClaimShardRow::Parse(row.value());
      if (parsed && !parsed.value().holder.value().empty())
        known_holders_[shard] = parsed.value().holder;
    }
  }
  const Duration backoff =
      std::min(kInitialBackoff * (1 << std::min(attempt, 8)), kMaxBackoff);
  const Duration remaining = deadline - clock_.Now();
  if (remaining > Duration{})
    co_await clock_.Sleep(std::min(backoff, remaining));
}

asio::awaitable<ClaimResult> ClaimCoordinator::Claim(std::string key,
                                                     RequestId request,
                                                     TimePoint deadline) {
  const IdempotencyKeyHash hash = HashIdempotencyKey(key);
  const ClaimShardId shard = ShardOfKey(hash);
  const ClaimantId claimant =
      MakeClaimantId(holder_.host(), holder_.incarnation(), ++claim_counter_);
  bool may_be_claimed = false;
  ClaimResult result{ClaimResult::Kind::kNotRun, 0, "claim-holder-not-found",
                     kRetryAfterHint};
  for (int attempt = 0; clock_.Now() < deadline; ++attempt) {
    const HostId target = LikelyHolder(shard);
    const Result<HolderReply> reply =
        co_await RequestClaim(target, hash, claimant, deadline);
    if (!reply) {
      if (reply.error().code != ErrorCode::kUnavailable) may_be_claimed = true;
      co_await FindHolderAndBackOff(shard, target, reply, attempt, deadline);
      continue;
    }
    const ClaimAnswer answer = reply.value().answer;
    if (answer.kind == AnswerKind::kPending) {
      may_be_claimed = true;
      continue;
    }
    if (answer.kind == AnswerKind::kNotHolder) {
      co_await FindHolderAndBackOff(shard, target, reply, attempt, deadline);
      continue;
    }
    if (answer.kind == AnswerKind::kGranted) {
      may_be_claimed = true;
      if (clock_.Now() >= deadline) break;
      granted_claims_[request] = claimant;
      co_return ClaimResult{ClaimResult::Kind::kGranted};
    }
    if (answer.kind == AnswerKind::kUnavailable)
      result.reason = "store-unavailable";
    if (answer.kind == AnswerKind::kBusy)
      result.reason = "claims-over-capacity";
    if (answer.kind == AnswerKind::kOutcomeUnknown)
      result = {ClaimResult::Kind::kOutcomeUnknown};
    if (answer.kind == AnswerKind::kCompleted)
      result = {ClaimResult::Kind::kCompleted, answer.status};
    break;
  }
  if (may_be_claimed)
    StartBackgroundReport({hash, claimant, ClaimState::kReleased});
  co_return result;
}

asio::awaitable<Result<void>> ClaimCoordinator::Finish(std::string key,
                                                       RequestId request,
                                                       ClaimState outcome,
                                                       std::uint16_t status) {
  const auto granted = granted_claims_.find(request);
  if (granted == granted_claims_.end())
    co_return Fail(ErrorCode::kNotFound,
                   "request " + request.value() + " holds no claim");
  const ClaimantId claimant = granted->second;
  granted_claims_.erase(granted);
  co_return co_await ReportOutcome(
      {HashIdempotencyKey(key), claimant, outcome, status},
      clock_.Now() + options_.report_timeout);
}

asio::awaitable<Result<void>> ClaimCoordinator::ReportOutcome(
    ClaimRecord record, TimePoint deadline) {
  const ClaimShardId shard = ShardOfKey(record.key);
  for (int attempt = 0; clock_.Now() < deadline; ++attempt) {
    const HostId target = LikelyHolder(shard);
    const Result<HolderReply> reply = co_await RequestFinish(
        target, record,
        std::min(deadline, clock_.Now() + options_.peer_timeout));
    if (reply && reply.value().answer.kind == AnswerKind::kDone)
      co_return outcome::success();
    co_await FindHolderAndBackOff(shard, target, reply, attempt, deadline);
  }
  events_.Record(EventId::kClaimReportAbandoned,
                 {{"state", kClaimStateNames.NameOf(record.state)}});
  co_return Fail(ErrorCode::kOutcomeUnknown, "no holder of claim shard " +
                                                 std::to_string(shard.value()) +
                                                 " confirmed the outcome");
}

void ClaimCoordinator::StartBackgroundReport(const ClaimRecord& record) {
  if (background_reports_ >= options_.max_background_reports) {
    events_.Record(EventId::kClaimReportAbandoned,
                   {{"state", kClaimStateNames.NameOf(record.state)}});
    return;
  }
  ++background_reports_;
  asio::co_spawn(executor_, RunBackgroundReport(record), asio::detached);
}

asio::awaitable<void> ClaimCoordinator::RunBackgroundReport(
    ClaimRecord record) {
  co_await ReportOutcome(record, clock_.Now() + options_.report_timeout);
  --background_reports_;
}

asio::awaitable<Result<ClaimCoordinator::HolderReply>>
ClaimCoordinator::RequestClaim(HostId target, IdempotencyKeyHash key,
                               ClaimantId claimant, TimePoint deadline) {
  if (target == holder_.host()) {
    const ClaimAnswer answer = co_await ClaimAsHolder(key, claimant, deadline);
    co_return MakeReply(ShardOfKey(key), answer);
  }
  Json body = EncodeClaim(key, claimant);
  const Duration wait =
      std::min(options_.peer_timeout, deadline - clock_.Now());
  body["wait_ms"] = MillisecondsUntil(clock_.Now() + wait, clock_.Now());
  const Result<Json> reply =
      co_await peers_.Call(target, "claim", std::move(body), wait);
  if (!reply) co_return reply.error();
  const auto kind =
      kClaimAnswerNames.FindValue(reply.value().value("answer", ""));
  if (!kind)
    co_return Fail(ErrorCode::kProtocol,
                   "host " + target.value() + " sent an unknown claim answer");
  co_return HolderReply{
      {*kind, reply.value().value("status", std::uint16_t{0})},
      HostId(reply.value().value("holder", ""))};
}

asio::awaitable<Result<ClaimCoordinator::HolderReply>>
ClaimCoordinator::RequestFinish(HostId target, ClaimRecord record,
                                TimePoint deadline) {
  if (target == holder_.host())
    co_return MakeReply(ShardOfKey(record.key),
                        co_await FinishAsHolder(record, deadline));
  Json body = EncodeClaim(record.key, record.claimant);
  body["state"] = kClaimStateNames.NameOf(record.state);
  body["status"] = record.status;
  body["wait_ms"] = MillisecondsUntil(deadline, clock_.Now());
  const Result<Json> reply = co_await peers_.Call(
      target, "claim-result", std::move(body), deadline - clock_.Now());
  if (!reply) co_return reply.error();
  const auto kind =
      kClaimAnswerNames.FindValue(reply.value().value("answer", ""));
  if (!kind)
    co_return Fail(ErrorCode::kProtocol,
                   "host " + target.value() + " sent an unknown claim answer");
  co_return HolderReply{{*kind}, HostId(reply.value().value("holder", ""))};
}

asio::awaitable<Result<Json>> ClaimCoordinator::HandleClaim(Json body) {
  try {
    const ClaimRecord record = DecodeRecord(body);
    const ClaimAnswer answer = co_await ClaimAsHolder(
        record.key, record.claimant, DecodeDeadline(body, clock_.Now()));
    co_return EncodeAnswer(answer,
                           MakeReply(ShardOfKey(record.key), answer).holder);
  } catch (const Json::exception& error) {
    co_return Fail(ErrorCode::kProtocol, error.what());
  }
}

asio::awaitable<Result<Json>> ClaimCoordinator::HandleClaimResult(Json body) {
  try {
    ClaimRecord record = DecodeRecord(body);
    const auto state = kClaimStateNames.FindValue(
        body.at("state").get_ref<const std::string&>());
    if (!state || *state == ClaimState::kClaiming ||
        *state == ClaimState::kGranted)
      co_return Fail(ErrorCode::kProtocol, "unknown outcome of a claim");
    record.state = *state;
    record.status = body.at("status").get<std::uint16_t>();
    const ClaimAnswer answer =
        co_await FinishAsHolder(record, DecodeDeadline(body, clock_.Now()));
    co_return EncodeAnswer(answer,
                           MakeReply(ShardOfKey(record.key), answer).holder);
  } catch (const Json::exception& error) {
    co_return Fail(ErrorCode::kProtocol, error.what());
  }
}

asio::awaitable<ClaimAnswer> ClaimCoordinator::ClaimAsHolder(
    IdempotencyKeyHash key, ClaimantId claimant, TimePoint deadline) {
  if (is_stopping_) co_return ClaimAnswer{AnswerKind::kNotHolder};
  const ClaimShardHolder::Ticket ticket = next_ticket_++;
  const auto answer = holder_.Claim(key, claimant, ticket, clock_.Wall());
  if (answer) co_return *answer;
  WakeCommitLoop();
  co_return co_await WaitForAnswer(ticket, deadline);
}

asio::awaitable<ClaimAnswer> ClaimCoordinator::FinishAsHolder(
    ClaimRecord record, TimePoint deadline) {
  const ClaimShardHolder::Ticket ticket = next_ticket_++;
  const auto answer = holder_.Finish(record, ticket, clock_.Wall());
  if (answer) co_return *answer;
  WakeCommitLoop();
  co_return co_await WaitForAnswer(ticket, deadline);
}

asio::awaitable<ClaimAnswer> ClaimCoordinator::WaitForAnswer(
    ClaimShardHolder::Ticket ticket, TimePoint deadline) {
  const auto waiter = waiters_.try_emplace(ticket, executor_).first;
  waiter->second.deadline = deadline;
  boost::system::error_code ignored;
  co_await waiter->second.signal.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  const auto answer = waiter->second.answer;
  waiters_.erase(waiter);
  co_return answer.value_or(ClaimAnswer{AnswerKind::kPending});
}

void ClaimCoordinator::DeliverAnswers(
    const std::vector<ClaimShardHolder::Answered>& answers) {
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
         (holder_.next_commit_time() || is_checking_shards_))
    co_await clock_.Sleep(options_.poll_interval);
  if (holder_.next_commit_time() || holder_.shard_count() == 0) co_return;
  // The result can be ignored because the next holder raises the epoch anyway.
  co_await store_.Commit(holder_.BuildReleaseCommit(clock_.Wall()),
                         options_.store_timeout);
  for (std::uint32_t shard = 0; shard < kClaimShardCount; ++shard)
    DeliverAnswers(holder_.Drop(ClaimShardId(shard)));
}

asio::awaitable<ClaimResult> ClaimCoordinatorClient::Claim(std::string key,
                                                           RequestId request,
                                                           TimePoint deadline) {
  co_return co_await asio::co_spawn(
      control_executor_,
      coordinator_.Claim(std::move(key), std::move(request), deadline),
      asio::use_awaitable);
}

asio::awaitable<Result<void>> ClaimCoordinatorClient::Finish(
    std::string key, RequestId request, ClaimState outcome,
    std::uint16_t status) {
  // co_spawn requires a default-constructible result type.
  std::optional<Result<void>> result;
  co_await asio::co_spawn(
      control_executor_,
      [&]() -> asio::awaitable<void> {
        result.emplace(co_await coordinator_.Finish(
            std::move(key), std::move(request), outcome, status));
      },
      asio::use_awaitable);
  co_return *result;
}

}  // namespace dogwood
