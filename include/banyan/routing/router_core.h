#ifndef BANYAN_ROUTING_ROUTER_CORE_H_
#define BANYAN_ROUTING_ROUTER_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/routing/budget.h"
#include "banyan/routing/endpoint_pool.h"
#include "banyan/wire/message.h"

namespace banyan {

// A caller's request as the entry took it.
struct CallerRequest {
  // Names the caller's open connection; it comes back with the answer.
  std::uint64_t ticket = 0;
  std::string service;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  // Empty without one.
  std::string idempotency_key;
  // Whether running the request twice does no harm.
  bool is_idempotent = false;
  // Whether the caller says that it sent this request before.
  bool is_resend = false;
  // Zero means the default of the preset in force.
  Time deadline;
};

// The final answer to a caller.
struct CallerAnswer {
  std::uint64_t ticket = 0;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // Why there is no answer of an endpoint; nothing when there is one.
  std::optional<ErrorKind> error;
  std::string text;
  int status = 0;
  std::string content_type;
  std::string body;
  // The endpoint that answered.
  std::string endpoint;
};

// The answer to a command that came through the entry.
struct CommandAnswer {
  std::uint64_t ticket = 0;
  CommandResult result;
};

// Settings of one entry that its core needs.
struct RouterOptions {
  std::string data_centre;
  std::uint64_t seed = 1;
  Span heartbeat_interval = Millis(500);
  // How long a control replica may take to answer a command.
  Span command_timeout = Millis(1500);
  // How long the control replica may be without a fresh leader before the
  // entry tries another one.
  Span control_freshness_timeout = std::chrono::seconds(3);
  // How long a claim is kept after its request.
  std::int64_t claim_retention_ms = 24LL * 3600 * 1000;
};

// What one or more steps of the router want done.
struct RouterOutputs {
  std::vector<Outbound> messages;
  // Messages for the control replica that the entry is attached to.
  std::vector<Message> to_control;
  std::vector<CallerAnswer> answers;
  std::vector<CommandAnswer> command_answers;
  // Whether another control replica should be tried.
  bool switch_control = false;
  Events events;
};

// What the router counted since its start.
struct RouterCounters {
  std::uint64_t requests = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
};

// One entry without its I/O: admission, routing, claims, retries and hedges.
template <RoutingPolicy Policy>
class BasicRouterCore {
 public:
  BasicRouterCore(RouterOptions options, Time now);

  void Tick(Time now, WallMillis wall);
  void Request(Time now, WallMillis wall, const CallerRequest& request);
  void Command(Time now, std::uint64_t ticket, LoggedCommand command);
  void Receive(Time now,
               WallMillis wall,
               const Sender& from,
               const Message& message);
  // Notes that a connection to an agent stands or was lost.
  void AgentUp(const Sender& agent);
  void AgentDown(Time now, WallMillis wall, const std::string& agent);
  // Notes that a connection to a control replica stands or was lost.
  void ControlUp(Time now);
  void ControlDown(Time now);
  // Refuses further requests.
  void Leave() noexcept { is_leaving_ = true; }

  [[nodiscard]] RouterOutputs TakeOutputs() {
    return std::exchange(outputs_, RouterOutputs{});
  }

  [[nodiscard]] const EndpointPool& pool() const noexcept { return pool_; }
  [[nodiscard]] const RouterCounters& counters() const noexcept {
    return counters_;
  }
  [[nodiscard]] std::uint64_t config_version() const noexcept {
    return config_.version;
  }
  [[nodiscard]] bool is_leaving() const noexcept { return is_leaving_; }
  [[nodiscard]] bool drained() const noexcept {
    return pending_requests_.empty() && pending_replies_.empty();
  }

 private:
  // Where a request stands.
  enum class Phase : std::uint8_t {
    // One or more dispatches are under way.
    kDispatched,
    // The claim was asked for.
    kAwaitingClaim,
    // An agent was asked for a tombstone of an earlier attempt.
    kAwaitingTombstone,
    // The agent of an own attempt is being reconnected, to ask it.
    kAwaitingReconnect,
  };

  // A dispatch that has no answer yet.
  struct Attempt {
    std::uint64_t seq = 0;
    std::string endpoint;
    std::uint64_t incarnation = 0;
    Time sent;
  };

  struct PendingRequest {
    CallerRequest request;
    Phase phase = Phase::kDispatched;
    std::vector<Attempt> attempts;
    std::vector<std::string> tried_endpoints;
    // The claimed attempt that is settled at present.
    std::uint64_t claim_attempt = 0;
    std::string claim_agent;
    std::uint64_t claim_incarnation = 0;
    std::uint64_t awaited_seq = 0;
    int rounds = 0;
    // Whether any attempt may have run without an answer.
    bool may_have_run = false;
    // Whether the control cell told where the claim stands.
    bool is_claim_known = false;
    // Whether this flight holds the open claim.
    bool is_claim_held = false;
    bool is_hedged = false;
    Time hedge_at;
    ErrorKind last_error = ErrorKind::kNoEndpoint;
  };

  // What a sequence number stands for.
  enum class ReplyKind : std::uint8_t { kClaim, kTombstone, kCommand };

  struct PendingReply {
    std::uint64_t ticket = 0;
    ReplyKind kind = ReplyKind::kClaim;
    Time deadline;
  };

  // A dispatch whose answer settles the endpoint's load, even if the flight
  // is over.
  struct InFlightDispatch {
    std::uint64_t ticket = 0;
    std::string endpoint;
    Time sent;
  };

  void On(Time now, WallMillis wall, const DispatchReply& reply);
  void On(Time now, WallMillis wall, const TombstoneReply& reply);
  void On(Time now, WallMillis wall, const CommandReply& reply);
  void On(Time now, WallMillis wall, const ConfigUpdate& update);
  void On(Time now, WallMillis wall, const EndpointTable& table);
  void On(Time now, WallMillis wall, const EntryHeartbeatAck& ack);
  void OnClaim(Time now,
               WallMillis wall,
               PendingRequest& pending,
               const CommandResult& result);

  void StartAttempt(Time now, WallMillis wall, PendingRequest& pending);
  void Dispatch(Time now,
                PendingRequest& pending,
                const EndpointState& endpoint,
                std::string_view reason);
  void RequestClaim(Time now,
                    WallMillis wall,
                    PendingRequest& pending,
                    const EndpointState& endpoint);
  void RequestTombstone(PendingRequest& pending);
  void SendEndClaim(const PendingRequest& pending,
                    ClaimEnd end,
                    const CallerAnswer& answer);
  void OnAttemptsLost(Time now, WallMillis wall, PendingRequest& pending);
  void RetryOrFail(Time now, WallMillis wall, PendingRequest& pending);
  void Hedge(Time now, PendingRequest& pending);
  // Both end the flight; it must not be used after them.
  void Answer(PendingRequest& pending, CallerAnswer answer);
  void Fail(PendingRequest& pending, ErrorKind error, std::string text);
  void Expire(Time now, PendingRequest& pending);
  const EndpointState* Choose(Time now, const PendingRequest& pending);
  std::uint64_t SendCommand(Time now,
                            PendingReply pending_reply,
                            LoggedCommand command);
  [[nodiscard]] std::string ClaimKeyOf(const PendingRequest& pending) const;
  [[nodiscard]] static bool NeedsClaim(const PendingRequest& pending) noexcept;
  [[nodiscard]] Span HedgeDelay(const std::string& service) const;
  void RecordLatency(const std::string& service, Span latency);
  void RecordDispatchedKey(const std::string& key);

  RouterOptions options_;
  Policy policy_;
  Random random_;
  EndpointPool pool_;
  ConfigUpdate config_;
  AttemptBudget retry_budget_;
  AttemptBudget hedge_budget_;
  RouterCounters counters_;
  // Recent latencies of each service, for the hedge quantile.
  std::map<std::string, std::deque<Span>> latencies_;
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  // Commands and tombstone requests under way, by sequence number.
  std::map<std::uint64_t, PendingReply> pending_replies_;
  // Dispatches under way, by sequence number.
  std::map<std::uint64_t, InFlightDispatch> in_flight_dispatches_;
  // Keys that may have run through this entry, oldest first.
  std::set<std::string> dispatched_keys_;
  std::deque<std::string> dispatched_key_order_;
  std::uint64_t next_seq_ = 1;
  Time next_heartbeat_;
  Time last_fresh_at_;
  bool is_control_connected_ = false;
  bool is_leaving_ = false;
  RouterOutputs outputs_;
};

// The router that the product runs.
using RouterCore = BasicRouterCore<PowerOfTwoChoicesRouting>;

extern template class BasicRouterCore<PowerOfTwoChoicesRouting>;
extern template class BasicRouterCore<RandomRouting>;
extern template class BasicRouterCore<RoundRobinRouting>;

}  // namespace banyan

#endif  // BANYAN_ROUTING_ROUTER_CORE_H_
