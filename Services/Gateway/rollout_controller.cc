#include "Services/Gateway/rollout_controller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

namespace dogwood {

namespace asio = boost::asio;

namespace {

// Rows by service: what the deciding host has to find after a restart. Value:
// "NUMBER PHASE TIME", the order's number, the phase and the Unix time of the
// start in milliseconds.
constexpr std::string_view kRolloutTable = "dogwood-rollouts";
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);

struct RolloutRow {
  std::uint64_t order_number = 0;
  RolloutPhase phase = RolloutPhase::kHold;
  std::int64_t started_at_ms = 0;
};

std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             WallClockNow().time_since_epoch())
      .count();
}

std::optional<RolloutRow> DecodeRow(const std::string& value) {
  std::istringstream text(value);
  RolloutRow row;
  std::string phase;
  if (!(text >> row.order_number >> phase >> row.started_at_ms))
    return std::nullopt;
  const auto known = kRolloutPhaseNames.FindValue(phase);
  if (!known) return std::nullopt;
  row.phase = *known;
  return row;
}

}  // namespace

void RolloutController::Start() {
  asio::co_spawn(context_.io_context, Run(), asio::detached);
}

asio::awaitable<void> RolloutController::Run() {
  asio::steady_timer timer(context_.io_context);
  for (;;) {
    timer.expires_after(kInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    UpdateOrders();
    ++round_;
    const TimePoint now = MonotonicNow();
    for (auto& [service, rollout] : rollouts_) RunRound(rollout, now);
  }
}

RolloutController::Rollout* RolloutController::Find(const ServiceId& service) {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

void RolloutController::UpdateOrders() {
  std::set<ServiceId> ordered;
  for (const RolloutOrder& order : context_.rollout_orders) {
    ordered.insert(order.service);
    Rollout& rollout = rollouts_[order.service];
    if (rollout.order.number == order.number) continue;
    // A store that was restored from an older copy gets the same order again.
    const bool is_same_order =
        rollout.order.target == order.target &&
        rollout.order.duration == order.duration &&
        platform::StoreEra(platform::StoreVersion(rollout.order.number)) !=
            platform::StoreEra(platform::StoreVersion(order.number));
    if (is_same_order) {
      rollout.order.number = order.number;
      rollout.is_loaded = false;
      continue;
    }
    rollout = Rollout{};
    rollout.order = order;
    context_.log->Record(EventId::kRolloutPhase,
                         {{"service", order.service.value()},
                          {"target", order.target},
                          {"phase", kRolloutPhaseNames.NameOf(rollout.phase)},
                          {"requests", std::int64_t{0}},
                          {"bad", std::int64_t{0}}});
  }
  for (auto it = rollouts_.begin(); it != rollouts_.end();) {
    if (ordered.contains(it->first) || it->second.is_writing) {
      ++it;
      continue;
    }
    context_.server_table.SetRolloutRule(it->first, RolloutRule(), 0);
    it = rollouts_.erase(it);
  }
}

bool RolloutController::is_deciding(const ServiceId& service,
                                    TimePoint now) const {
  return context_.serving_state != ServingState::kDraining &&
         context_.peer_table.is_top_ranked_zone(now) &&
         context_.peer_table.DispatcherFor(service, context_.settings.zone,
                                           now) == context_.settings.ip;
}

void RolloutController::RunRound(Rollout& rollout, TimePoint now) {
  const ServiceId& service = rollout.order.service;
  const bool is_dispatcher =
      context_.peer_table.DispatcherFor(service, context_.settings.zone, now) ==
      context_.settings.ip;
  const auto slots =
      context_.server_table.SlotsByVersion(service, rollout.order.target, now);
  rollout.evidence.old_in_flight = slots.old_in_flight;
  if (is_deciding(service, now)) {
    Decide(rollout, now);
  } else {
    rollout.is_loaded = false;
  }
  ApplyRule(rollout, now);
  if (!is_dispatcher) return;
  if (IsFinal(rollout.phase) && round_ % kRoundsPerFinalStatus != 0) return;
  const Duration age = now - rollout.heard_at;
  const bool is_known = rollout.heard_at != TimePoint{} &&
                        (age < kStatusTimeout || IsFinal(rollout.phase));
  const RolloutStatus status{service, rollout.order.number, rollout.phase, age};
  for (const std::string& ip :
       context_.peer_table.OtherDispatchersFor(service, now)) {
    if (is_deciding(service, now)) send_(ip, status);
    send_(ip, RolloutReport{service, rollout.order.number, rollout.evidence});
  }
  if (!is_known) return;
  for (const std::string& ip : context_.peer_table.ReachablePeersInOwnZone(now))
    send_(ip, status);
}

asio::awaitable<void> RolloutController::Load(ServiceId service) {
  Rollout* rollout = Find(service);
  if (rollout == nullptr) co_return;
  const std::uint64_t order_number = rollout->order.number;
  const auto rows = co_await store_.ReadTable(kRolloutTable, kStoreTimeout);
  rollout = Find(service);
  if (rollout == nullptr) co_return;
  rollout->is_writing = false;
  if (!rows || rollout->order.number != order_number) co_return;
  rollout->is_loaded = true;
  rollout->row_version = {};
  rollout->stored_phase = RolloutPhase::kHold;
  rollout->started_at = MonotonicNow();
  for (const platform::StoreRow& row : rows.value().rows) {
    if (row.key != service.value() || !row.value) continue;
    rollout->row_version = row.version;
    const auto known = DecodeRow(*row.value);
    if (!known || known->order_number != rollout->order.number) continue;
    rollout->stored_phase = known->phase;
    const std::int64_t elapsed_ms =
        std::max<std::int64_t>(0, WallMilliseconds() - known->started_at_ms);
    rollout->started_at -= std::chrono::milliseconds(elapsed_ms);
    if (known->phase > rollout->phase) EnterPhase(*rollout, known->phase);
  }
}

RolloutEvidence RolloutController::TotalEvidence(const Rollout& rollout) const {
  RolloutEvidence total = rollout.evidence;
  for (const auto& [ip, report] : rollout.reports) {
    if (report.order_number == rollout.order.number) total.Add(report.evidence);
  }
  return total;
}

void RolloutController::Decide(Rollout& rollout, TimePoint now) {
  const ServiceId& service = rollout.order.service;
  if (rollout.is_writing) return;
  if (!rollout.is_loaded) {
    rollout.is_writing = true;
    asio::co_spawn(context_.io_context, Load(service), asio::detached);
    return;
  }
  rollout.heard_at = now;
  if (IsFinal(rollout.phase)) {
    // The write may have failed, or a store that was restored has lost it.
    if (rollout.stored_phase == rollout.phase) return;
    rollout.is_writing = true;
    asio::co_spawn(context_.io_context, Write(service, rollout.phase),
                   asio::detached);
    return;
  }
  const auto slots =
      context_.server_table.SlotsByVersion(service, rollout.order.target, now);
  const RolloutEvidence evidence = TotalEvidence(rollout);
  const RolloutEvaluator::Input input{rollout.phase,
                                      now - rollout.started_at,
                                      now - rollout.shifted_at,
                                      rollout.order.duration,
                                      slots.target,
                                      slots.old};
  const RolloutPhase phase = RolloutEvaluator::Decide(input, evidence);
  if (phase == rollout.phase) return;
  if (phase == RolloutPhase::kShift) {
    rollout.shifted_at = now;
    EnterPhase(rollout, phase);
    return;
  }
  if (phase == RolloutPhase::kRolledBack) EnterPhase(rollout, phase);
  rollout.is_writing = true;
  asio::co_spawn(context_.io_context, Write(service, phase), asio::detached);
}

asio::awaitable<void> RolloutController::Write(ServiceId service,
                                               RolloutPhase phase) {
  Rollout* rollout = Find(service);
  if (rollout == nullptr) co_return;
  const std::uint64_t order_number = rollout->order.number;
  const std::int64_t started_at_ms =
      WallMilliseconds() -
      std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicNow() -
                                                            rollout->started_at)
          .count();
  const std::string row = std::to_string(rollout->order.number) + " " +
                          std::string(kRolloutPhaseNames.NameOf(phase)) + " " +
                          std::to_string(started_at_ms);
  const std::string status =
      platform::EncodeRolloutStatus(phase, rollout->order.target);
  const std::string status_key = platform::RolloutKey(service);
  std::vector<platform::StoreClient::RowWrite> rows;
  rows.push_back({kRolloutTable, service.value(), row});
  rows.push_back({platform::kStatusTable, status_key, status});
  const auto written = co_await store_.WriteRowsIf(
      kRolloutTable, service.value(), rollout->row_version, std::move(rows),
      kStoreTimeout);
  rollout = Find(service);
  if (rollout == nullptr) co_return;
  rollout->is_writing = false;
  // Another host may have written, or this write took effect unseen, and the
  // new version of the row is not known: it is read again.
  rollout->is_loaded = false;
  const bool is_same_order = rollout->order.number == order_number;
  if (written && is_same_order) EnterPhase(*rollout, phase);
}

void RolloutController::EnterPhase(Rollout& rollout, RolloutPhase phase) {
  rollout.heard_at = MonotonicNow();
  if (rollout.phase == phase) return;
  rollout.phase = phase;
  const VersionCounts counts = TotalEvidence(rollout).TargetTotal();
  context_.log->Record(
      EventId::kRolloutPhase,
      {{"service", rollout.order.service.value()},
       {"target", rollout.order.target},
       {"phase", kRolloutPhaseNames.NameOf(phase)},
       {"requests", static_cast<std::int64_t>(counts.requests)},
       {"bad", static_cast<std::int64_t>(counts.bad)}});
  ApplyRule(rollout, rollout.heard_at);
}

void RolloutController::ApplyRule(const Rollout& rollout, TimePoint now) {
  const bool is_stale =
      !IsFinal(rollout.phase) && now - rollout.heard_at >= kStatusTimeout;
  context_.server_table.SetRolloutRule(
      rollout.order.service,
      RolloutRule(rollout.order.target,
                  is_stale ? RolloutPhase::kHold : rollout.phase),
      context_.settings.platform_limits.rollout_exposure_share);
}

void RolloutController::OnAttemptEnded(ServerKey server,
                                       std::uint64_t request_kind,
                                       AttemptOutcome outcome,
                                       double service_time_ratio) {
  const BackendServerState* state = context_.server_table.Find(server);
  if (state == nullptr) return;
  Rollout* rollout = Find(state->registration.service);
  if (rollout == nullptr || IsFinal(rollout->phase)) return;
  const bool is_bad = outcome == AttemptOutcome::kFailed ||
                      outcome == AttemptOutcome::kNoResponse ||
                      service_time_ratio >= kSlowRatio;
  if (!is_bad && outcome != AttemptOutcome::kSucceeded) return;
  RolloutEvidence::Kind& kind = rollout->evidence.kinds[request_kind];
  const bool is_target = state->registration.version == rollout->order.target;
  VersionCounts& counts = is_target ? kind.target : kind.old;
  ++counts.requests;
  if (!is_bad) return;
  ++counts.bad;
  if (is_target) rollout->evidence.bad_target_servers.insert(server.value());
}

void RolloutController::OnReport(const std::string& ip,
                                 const RolloutReport& report) {
  Rollout* rollout = Find(report.service);
  if (rollout != nullptr) rollout->reports[ip] = report;
}

void RolloutController::OnStatus(const RolloutStatus& status) {
  Rollout* rollout = Find(status.service);
  if (rollout == nullptr || rollout->order.number != status.order_number)
    return;
  const TimePoint now = MonotonicNow();
  if (status.phase < rollout->phase) return;
  const TimePoint heard_at = now - status.age;
  const bool is_new_phase = status.phase > rollout->phase;
  if (is_new_phase) {
    if (status.phase == RolloutPhase::kShift) rollout->shifted_at = heard_at;
    EnterPhase(*rollout, status.phase);
    rollout->heard_at = heard_at;
  } else {
    rollout->heard_at = std::max(rollout->heard_at, heard_at);
  }
  ApplyRule(*rollout, now);
}

}  // namespace dogwood
