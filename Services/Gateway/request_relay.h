#pragma once

#include <boost/asio/awaitable.hpp>
#include <unordered_map>

#include "Services/Gateway/caller_request.h"
#include "Services/Gateway/gateway_context.h"
#include "Services/Gateway/placement_service.h"
#include "Services/Gateway/server_connection_pool.h"

namespace dogwood {

// Serves one caller's request after another: finds the route, waits for a
// backend server, hands the request over and repeats it where that is allowed.
class RequestRelay {
 public:
  // A request without a deadline of its own is given up after this long.
  static constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
  // Until a backend server accepts a connection; twice the time of a lost
  // opening packet is too long to wait for.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
  // Backend servers that refused a connection before a request is refused.
  static constexpr unsigned kMostUnreachable = 3;
  // A hedge is sent when this much of the usual work is left before the goal,
  // and the first try has taken that much at least.
  static constexpr double kHedgeReserve = 1.25;
  static constexpr double kHedgePatience = 1.2;
  // Without time for a hedge before the goal, one is sent when the first try
  // has taken this much of the usual work: it may bring no answer at all.
  static constexpr double kLatePatience = 4;
  // A hedge that found no free server is asked for again after this time.
  static constexpr Duration kHedgeRetry = std::chrono::milliseconds(120);
  // While a first try takes longer than usual, its server's state is looked at
  // this often.
  static constexpr Duration kLostLook = std::chrono::milliseconds(60);
  // One served request in this number is logged.
  static constexpr std::uint64_t kServedSample = 50;

  RequestRelay(GatewayContext& context, PlacementService& placements);

  boost::asio::awaitable<Reply> Serve(const CallerRequest& request);
  void CloseIdleConnections(TimePoint now) { pool_.CloseExpired(now); }

 private:
  // One request on its way, over all its attempts.
  struct Journey {
    const CallerRequest& request;
    std::shared_ptr<const RouteTable> routes;  // the version it started with
    const RouteEntry& route;
    const ServiceId& service;
    TimePoint deadline{};       // the caller's or the route's, the earlier one
    unsigned attempts = 0;      // backend servers that got the request
    unsigned unreachable = 0;   // backend servers that it could not be sent to
    bool may_have_run = false;  // at one of the backend servers so far
    std::string_view last_end = "not-sent";  // how the last try ended, for logs
    std::vector<ServerKey> tried;
  };
  struct Attempt {
    AttemptOutcome outcome = AttemptOutcome::kAbandoned;
    bool was_sent = false;
    bool has_caller_left = false;
    bool has_stalled = false;  // this process, while it waited
    std::unique_ptr<ServerConnection> connection;  // with kServed, kFailed, ...
    bool has_answer = false;
    std::optional<ReportedLoad> load;  // told with the answer
    Duration elapsed{};                // from sending to the answer's end
  };

  // One try with its placement; `ticket` outlives the work.
  struct Leg {
    Placement placement;
    Attempt attempt;
  };
  // State that a try and its hedge share.
  struct Race {
    ServerKey first;  // the first try's server
    TimePoint sent_at{};
    std::uint64_t started_at_ms = 0;  // of that server
    bool is_hedge_running = false;
    bool has_first_ended = false;
  };

  boost::asio::awaitable<Reply> Travel(Journey& journey);
  boost::asio::awaitable<Leg> RunLeg(Journey& journey,
                                     PlacementService::Ticket& ticket,
                                     std::uint64_t number);
  // Runs a repeatable try, and a hedge beside it when it is about to miss the
  // goal or its server is lost; returns the one that brought an answer.
  boost::asio::awaitable<Leg> RunHedged(Journey& journey,
                                        PlacementService::Ticket& ticket,
                                        std::uint64_t number);
  boost::asio::awaitable<Leg> RunFirst(Journey& journey,
                                       PlacementService::Ticket& ticket,
                                       std::uint64_t number, Race& race);
  boost::asio::awaitable<Leg> RunHedge(Journey& journey, Race& race);
  // One try beside the first one; nothing when no server or repeat was granted.
  boost::asio::awaitable<std::unique_ptr<Leg>> TryBeside(Journey& journey,
                                                         Race& race,
                                                         bool is_lost);
  // Whether the first try's server has crashed or fallen silent since.
  bool IsLost(const Race& race) const;
  bool try_take_repeat(const Journey& journey, std::string_view reason,
                       TimePoint now);
  DispatchRequest Describe(const Journey& journey);
  static PlacementEnd EndOf(std::uint64_t number, const Placement& placement,
                            const Attempt& attempt, Duration usual_work);
  boost::asio::awaitable<Attempt> Try(Journey& journey,
                                      const Placement& placement);
  boost::asio::awaitable<ExchangeResult> Exchange(ServerConnection& connection,
                                                  const Journey& journey,
                                                  const ServerState& server);
  enum class ConnectEnd { kConnected, kUnreachable, kOwnStall };
  boost::asio::awaitable<ConnectEnd> Connect(ServerConnection& connection,
                                             const ServerState& server,
                                             TimePoint deadline);
  AttemptOutcome Classify(Attempt& attempt, const Journey& journey,
                          const ServerState& server);
  bool may_repeat(Journey& journey, const Attempt& attempt, TimePoint now);
  Reply FinalReply(const Journey& journey, Attempt& attempt);
  Reply Abandon(const Journey& journey, std::string_view phase);
  Reply Refuse(const Journey& journey, std::string_view reason,
               const std::optional<Placement>& seen);
  void LogOutcome(const Journey& journey, const Reply& reply,
                  const Placement& placement);
  Duration UsualWork(const RouteEntry& route);
  void LearnWork(const RouteEntry& route, Duration elapsed, double slowdown);

  GatewayContext& context_;
  PlacementService& placements_;
  ServerConnectionPool pool_;
  // Duration of work by route at servers that are not slowed, and the longest
  // time a caller was seen to wait, which tells first tries from later ones.
  struct RouteStatistics {
    Duration usual_work{};
    Duration longest_wait{};
  };
  std::unordered_map<std::string, RouteStatistics> statistics_;
  std::uint64_t served_count_ = 0;
};

}  // namespace dogwood
