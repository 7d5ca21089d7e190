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

// A caller's request as received by the entry.
struct CallerRequest {
  // Identifies the caller's open connection; returned with the answer.
  std::uint64_t ticket = 0;
  std::string service;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  // Empty if the caller sent none.
  std::string idempotency_key;
  // Whether the request may safely be executed more than once.
  bool is_idempotent = false;
  // Whether the caller marked the request as a resend of an earlier one.
  bool is_resend = false;
  // Zero selects the default timeout of the active preset.
  Time deadline;
};

// The final answer to a caller.
struct CallerAnswer {
  std::uint64_t ticket = 0;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // The error if no endpoint answered; empty otherwise.
  std::optional<ErrorKind> error;
  // Description of the error.
  std::string text;
  int status = 0;
  std::string content_type;
  std::string body;
  // Id of the endpoint that answered; empty if none did.
  std::string endpoint;
};

// The result of a command that was sent through the entry.
struct CommandAnswer {
  std::uint64_t ticket = 0;
  CommandResult result;
};

// Settings of the router core of one entry.
struct RouterOptions {
  std::string data_centre;
  // Seed of the random numbers of load balancing.
  std::uint64_t seed = 1;
  // Number of the first message. Differs between the processes of an entry, so
  // that a reply to an earlier one answers no request of this one.
  std::uint64_t first_seq = 1;
  // Interval of heartbeats to the control replica.
  Duration heartbeat_interval = Millis(500);
  // Timeout for the control replica's reply to a command.
  Duration command_timeout = Millis(1500);
  // The entry switches to another control replica when its own has not
  // confirmed contact with a leader for this long.
  Duration control_freshness_timeout = std::chrono::seconds(3);
  // Retention of a claim, from the time at which it is opened.
  std::int64_t claim_retention_ms = 24LL * 3600 * 1000;
};

// Actions for the caller of the core, collected since the last TakeOutputs().
struct RouterOutputs {
  // Messages for agents.
  std::vector<Outbound> messages;
  // Messages for the control replica that the entry is connected to.
  std::vector<Message> to_control;
  std::vector<CallerAnswer> answers;
  std::vector<CommandAnswer> command_answers;
  // Whether to connect to another control replica.
  bool switch_control = false;
  Events events;
};

// Counters since the start of the entry.
struct RouterCounters {
  std::uint64_t requests = 0;
  // Requests by the outcome that the caller was given.
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
};

// Routing logic of an entry, without I/O or threads: admission, endpoint
// choice, claims, retries and hedges. Every input passes the time; its effects
// are collected in RouterOutputs.
//
// A request that is not idempotent but has an idempotency key opens a claim in
// the control cell before it is dispatched. If an earlier attempt under the
// claim is still open, or the connection to its agent was lost, the agent is
// asked for a tombstone, the promise never to run that attempt, before a retry.
template <RoutingPolicy Policy>
class BasicRouterCore {
 public:
  BasicRouterCore(RouterOptions options, Time now);

  // Sends heartbeats, expires requests and commands, and starts hedges.
  void Tick(Time now, WallMillis wall);
  // Starts routing a request; its ticket must be unique.
  void Request(Time now, WallMillis wall, const CallerRequest& request);
  // Forwards a command to the control cell.
  void Command(Time now, std::uint64_t ticket, LoggedCommand command);
  // Handles a message from an agent or the control replica.
  void Receive(Time now,
               WallMillis wall,
               const Sender& from,
               const Message& message);
  // Handles a new connection to an agent.
  void AgentUp(const Sender& agent);
  // Handles the loss of the connection to an agent.
  void AgentDown(Time now, WallMillis wall, const std::string& agent);
  // Handles a new connection to a control replica.
  void ControlUp(Time now);
  // Handles the loss of the connection to the control replica.
  void ControlDown(Time now);
  // Starts draining: later requests are refused.
  void Leave() noexcept { is_leaving_ = true; }

  // Returns the collected outputs and clears them.
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
  // Returns whether no request or reply is pending.
  [[nodiscard]] bool drained() const noexcept {
    return pending_requests_.empty() && pending_replies_.empty();
  }

 private:
  // What a pending request is waiting for.
  enum class Phase : std::uint8_t {
    // The reply to at least one dispatch.
    kDispatched,
    // The control cell's reply to the opening of the claim.
    kAwaitingClaim,
    // An agent's reply to the request for a tombstone of an earlier attempt.
    kAwaitingTombstone,
    // A connection to the agent of an earlier attempt, to request a tombstone.
    kAwaitingReconnect,
  };

  // A dispatch of a pending request that has not been answered yet.
  struct Attempt {
    std::uint64_t seq = 0;
    std::string endpoint;
    std::uint64_t incarnation = 0;
    Time sent;
  };

  // A request whose caller has not been answered yet.
  struct PendingRequest {
    CallerRequest request;
    Phase phase = Phase::kDispatched;
    std::vector<Attempt> attempts;
    // Endpoints that are excluded from further attempts.
    std::vector<std::string> tried_endpoints;
    // The current attempt under the claim, and the agent that it was opened
    // for.
    std::uint64_t claim_attempt = 0;
    std::string claim_agent;
    std::uint64_t claim_incarnation = 0;
    // Sequence number of the awaited claim or tombstone reply.
    std::uint64_t awaited_seq = 0;
    // Attempts so far that ended without an answer for the caller.
    int rounds = 0;
    // Whether an attempt may have run although its answer was lost.
    bool may_have_run = false;
    // Whether the control cell has reported the state of the claim.
    bool is_claim_known = false;
    // Whether this request, and no earlier one, opened the claimed attempt.
    bool is_claim_held = false;
    bool is_hedged = false;
    // When to hedge, unless an answer arrives earlier.
    Time hedge_at;
    ErrorKind last_error = ErrorKind::kNoEndpoint;
  };

  // What kind of reply a sequence number belongs to.
  enum class ReplyKind : std::uint8_t { kClaim, kTombstone, kCommand };

  // A reply that is expected from the control replica or an agent.
  struct PendingReply {
    std::uint64_t ticket = 0;
    ReplyKind kind = ReplyKind::kClaim;
    Time deadline;
  };

  // A dispatch that counts towards its endpoint's load until it is answered,
  // even if the caller has been answered already.
  struct InFlightDispatch {
    std::uint64_t ticket = 0;
    std::string endpoint;
    Time sent;
  };

  // A claimed dispatch whose caller's deadline passed before its reply. The
  // reply still ends the claim.
  struct ExpiredClaim {
    std::string key;
    std::uint64_t attempt = 0;
  };

  // Handlers of received messages.
  void On(Time now, WallMillis wall, const DispatchReply& reply);
  void OnLateReply(const DispatchReply& reply);
  void On(Time now, WallMillis wall, const TombstoneReply& reply);
  void On(Time now, WallMillis wall, const CommandReply& reply);
  void On(Time now, WallMillis wall, const ConfigUpdate& update);
  void On(Time now, WallMillis wall, const EndpointTable& table);
  void On(Time now, WallMillis wall, const EntryHeartbeatAck& ack);
  // Continues a request after the reply to its claim.
  void OnClaim(Time now,
               WallMillis wall,
               PendingRequest& pending,
               const CommandResult& result);

  // Chooses an endpoint, then opens a claim or dispatches. Fails the request if
  // no endpoint is available or the deadline is too close.
  void StartAttempt(Time now, WallMillis wall, PendingRequest& pending);
  // Sends the request to an endpoint; `reason` is logged with the event.
  void Dispatch(Time now,
                PendingRequest& pending,
                const EndpointState& endpoint,
                std::string_view reason);
  // Asks the control cell to open a claim for an attempt at the endpoint.
  void RequestClaim(Time now,
                    WallMillis wall,
                    PendingRequest& pending,
                    const EndpointState& endpoint);
  // Asks the agent of the claimed attempt for a tombstone, once connected.
  void RequestTombstone(PendingRequest& pending);
  // Reports the end of the claimed attempt to the control cell.
  void SendEndClaim(const PendingRequest& pending,
                    ClaimEnd end,
                    const CallerAnswer& answer);
  void SendEndClaim(const std::string& key,
                    std::uint64_t claim_attempt,
                    ClaimEnd end,
                    const CallerAnswer& answer);
  // Handles the loss of all attempts in flight with their agent's connection.
  void OnAttemptsLost(Time now, WallMillis wall, PendingRequest& pending);
  // Starts another attempt if rounds, deadline and retry budget permit.
  void RetryOrFail(Time now, WallMillis wall, PendingRequest& pending);
  // Sends the request to a second endpoint if the hedge budget permits.
  void Hedge(Time now, PendingRequest& pending);
  // Answers the caller and cancels the attempts in flight. Destroys `pending`.
  void Answer(PendingRequest& pending, CallerAnswer answer);
  // Answers the caller with an error; it becomes kUnknownOutcome if the request
  // may have run. Destroys `pending`.
  void Fail(PendingRequest& pending, ErrorKind error, std::string text);
  // Fails a request whose deadline has passed. Destroys `pending`.
  void Expire(Time now, PendingRequest& pending);
  // Returns an endpoint that was not tried yet, or nullptr if there is none.
  const EndpointState* Choose(Time now, const PendingRequest& pending);
  // Sends a command to the control replica and returns its sequence number.
  std::uint64_t SendCommand(Time now,
                            PendingReply pending_reply,
                            LoggedCommand command);
  [[nodiscard]] std::string ClaimKeyOf(const PendingRequest& pending) const;
  // Returns whether the request has an idempotency key but is not idempotent.
  [[nodiscard]] static bool NeedsClaim(const PendingRequest& pending) noexcept;
  // Returns the latency quantile after which the service's requests are hedged,
  // or a very long time if hedging is off or there are too few samples.
  [[nodiscard]] Duration HedgeDelay(const std::string& service) const;
  void RecordLatency(const std::string& service, Duration latency);
  // Records a claim key as dispatched; the oldest key is evicted beyond a
  // limit.
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
  std::map<std::string, std::deque<Duration>> latencies_;
  // Pending requests by ticket.
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  // Expected replies to commands and tombstone requests, by sequence number.
  std::map<std::uint64_t, PendingReply> pending_replies_;
  // Unanswered dispatches by sequence number.
  std::map<std::uint64_t, InFlightDispatch> in_flight_dispatches_;
  std::map<std::uint64_t, ExpiredClaim> expired_claims_;
  // Claim keys that this entry has dispatched.
  std::set<std::string> dispatched_keys_;
  // The same keys, oldest first.
  std::deque<std::string> dispatched_key_order_;
  std::uint64_t next_seq_ = options_.first_seq;
  Time next_heartbeat_;
  // When the control replica last confirmed contact with a leader.
  Time last_fresh_at_;
  bool is_control_connected_ = false;
  bool is_leaving_ = false;
  RouterOutputs outputs_;
};

// The router used in production.
using RouterCore = BasicRouterCore<PowerOfTwoChoicesRouting>;

extern template class BasicRouterCore<PowerOfTwoChoicesRouting>;
extern template class BasicRouterCore<RandomRouting>;
extern template class BasicRouterCore<RoundRobinRouting>;

}  // namespace banyan

#endif  // BANYAN_ROUTING_ROUTER_CORE_H_
