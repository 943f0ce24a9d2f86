#include "Tests/Libraries/Balancing/dispatch_simulation.h"

#include <algorithm>

#include "Tests/Libraries/Balancing/balancing_fixture.h"

namespace dogwood {

namespace {

const std::string kEntryHost = "10.0.0.1";

}  // namespace

DispatchSimulation::DispatchSimulation(SimulationOptions options)
    : options_(options),
      random_(options.seed),
      start_(kStart),
      now_(kStart),
      table_(kPalermo),
      peers_(kEntryHost, kPalermo, 20, kStart - std::chrono::hours(1)),
      dispatcher_(table_, peers_, random_) {
  for (int i = 0; i < options_.servers; ++i) {
    Server server;
    server.registration = MakeServer("server-" + std::to_string(i));
    server.registration.slots = options_.slots;
    server.key = ServerKeyOf(server.registration.id);
    servers_.push_back(std::move(server));
  }
  Register();
}

void DispatchSimulation::Register() {
  std::vector<ServerRegistration> registrations;
  for (const Server& server : servers_) {
    if (server.is_registered) registrations.push_back(server.registration);
  }
  table_.Replace(registrations, now_);
}

void DispatchSimulation::SetRegistered(int server, bool is_registered) {
  servers_[static_cast<std::size_t>(server)].is_registered = is_registered;
  Register();
}

void DispatchSimulation::SetFailing(int server, double share) {
  servers_[static_cast<std::size_t>(server)].failing_share = share;
}

SecondStatistics& DispatchSimulation::SecondOf(const Caller& caller) {
  const auto second = static_cast<std::size_t>((caller.first_sent_at - start_) /
                                               std::chrono::seconds(1));
  return seconds_[std::min(second, seconds_.size() - 1)];
}

void DispatchSimulation::OnArrival(const Caller& caller) {
  if (caller.first_sent_at == now_) ++SecondOf(caller).new_requests;
  const std::uint64_t request_number = ++last_request_number_;
  const TimePoint deadline = std::min(
      now_ + options_.timeout, caller.first_sent_at + options_.caller_timeout);
  if (!options_.has_admission) {
    std::uniform_int_distribution<std::size_t> any(0, servers_.size() - 1);
    ServerSelection selection;
    selection.server = servers_[any(random_)].key;
    Send(caller, request_number, selection, deadline);
    return;
  }
  DispatchRequest request;
  request.host = kEntryHost;
  request.request_number = request_number;
  request.service = kTracking;
  request.typical_service_time = options_.service_time;
  request.latency_goal = options_.latency_goal;
  request.latency_goal_at = caller.first_sent_at + options_.latency_goal;
  request.deadline = deadline;
  request.arrived_at = now_;
  queued_requests_.push_back({request_number, {caller, deadline}});
  if (const auto decision = dispatcher_.Add(request, now_)) Apply(*decision);
}

void DispatchSimulation::Apply(const DispatchDecision& decision) {
  const auto found = std::find_if(
      queued_requests_.begin(), queued_requests_.end(),
      [&](const auto& item) { return item.first == decision.request_number; });
  if (found == queued_requests_.end()) return;
  const QueuedRequest request = found->second;
  queued_requests_.erase(found);
  if (decision.admission == AdmissionDecision::kSend) {
    Send(request.caller, decision.request_number, *decision.selection,
         request.deadline);
    return;
  }
  ++SecondOf(request.caller).refusals;
  std::uniform_real_distribution<double> draw(0, 1);
  const Duration time_left =
      request.caller.first_sent_at + options_.caller_timeout - now_;
  ScheduleRetry(request.caller,
                AdmissionControl::RetryAfter(time_left, draw(random_)));
}

void DispatchSimulation::ScheduleRetry(Caller caller, Duration delay) {
  const TimePoint gives_up_at = caller.first_sent_at + options_.caller_timeout;
  if (caller.retries_left == 0) return;
  --caller.retries_left;
  caller.next_try_at = now_ + std::min(delay, (gives_up_at - now_) / 3);
  if (caller.next_try_at < gives_up_at) returning_.push_back(caller);
}

void DispatchSimulation::Send(const Caller& caller,
                              std::uint64_t request_number,
                              const ServerSelection& selection,
                              TimePoint deadline) {
  const auto server = std::find_if(
      servers_.begin(), servers_.end(),
      [&](const Server& known) { return known.key == selection.server; });
  std::lognormal_distribution<double> spread(-0.045, 0.3);
  server->jobs.push_back(
      {request_number, caller,
       std::chrono::duration<double>(options_.service_time).count() *
           spread(random_),
       now_, deadline, selection});
  peak_in_flight_per_server_ = std::max(peak_in_flight_per_server_,
                                        static_cast<int>(server->jobs.size()));
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(random_) < server->failing_share)
    End(*server, server->jobs.size() - 1, AttemptOutcome::kFailed);
}

void DispatchSimulation::Advance(Server& server) {
  const auto running =
      std::min<std::size_t>(server.jobs.size(), server.registration.slots);
  const bool is_above_knee =
      static_cast<double>(running) >
      ServerTable::kKneeUtilization * server.registration.slots;
  const double speed = 1 / ((server.is_noisy ? options_.noise_slowdown : 1) *
                            (is_above_knee ? options_.knee_slowdown : 1));
  for (std::size_t i = 0; i < running; ++i) {
    server.jobs[i].remaining_work -=
        std::chrono::duration<double>(kStep).count() * speed;
  }
  for (std::size_t i = server.jobs.size(); i-- > 0;) {
    if (server.jobs[i].remaining_work <= 0) {
      End(server, i, AttemptOutcome::kSucceeded);
    } else if (server.jobs[i].deadline <= now_) {
      End(server, i, AttemptOutcome::kNoResponse);
    }
  }
}

void DispatchSimulation::End(Server& server, std::size_t index,
                             AttemptOutcome outcome) {
  const Job job = server.jobs[index];
  server.jobs.erase(server.jobs.begin() + static_cast<std::ptrdiff_t>(index));
  dispatcher_.OnEnded(kEntryHost, job.request_number, outcome, now_);
  if (outcome == AttemptOutcome::kSucceeded) {
    SecondStatistics& second = SecondOf(job.caller);
    ++second.served;
    if (now_ - job.caller.first_sent_at <= options_.latency_goal)
      ++second.within_goal;
    const double expected =
        std::chrono::duration<double>(options_.service_time).count() *
        std::max(1.0, job.selection.slowdown);
    table_.OnServiceTimeRatio(
        server.key,
        std::chrono::duration<double>(now_ - job.sent_at).count() / expected,
        job.selection.is_above_knee);
    return;
  }
  ScheduleRetry(job.caller, Duration::zero());
}

double DispatchSimulation::ShareWithinGoal(
    const std::vector<SecondStatistics>& seconds, int from, int to) {
  int new_requests = 0;
  int within_goal = 0;
  for (int i = from; i < to; ++i) {
    new_requests += seconds[static_cast<std::size_t>(i)].new_requests;
    within_goal += seconds[static_cast<std::size_t>(i)].within_goal;
  }
  return static_cast<double>(within_goal) / std::max(new_requests, 1);
}

}  // namespace dogwood
