#include "banyan/routing/router_core.h"

#include <functional>

namespace banyan {
namespace {

// Maximum number of rounds (attempts, including claims) of one request.
constexpr int kMaxRounds = 4;
// Latency samples kept per service for the hedge quantile.
constexpr std::size_t kLatencyWindowSize = 200;
// Minimum number of samples for a quantile; with fewer, requests are not
// hedged.
constexpr std::size_t kMinLatencySamples = 20;
// Subtracted from the caller's remaining time when it is passed to the agent,
// so that the answer arrives before the deadline.
constexpr Duration kReplyMargin = Millis(10);
// Maximum number of dispatched claim keys that an entry keeps.
constexpr std::size_t kMaxDispatchedKeys = 50000;
// Maximum number of claims without a reply that an entry keeps.
constexpr std::size_t kMaxExpiredClaims = 20000;
// Largest answer body that is stored with a claim (256 KiB).
constexpr std::size_t kMaxStoredBodyBytes = 256U << 10U;
// HTTP status stored with a claim in place of an answer body that is too large.
constexpr int kStatusBodyNotStored = 303;

std::uint64_t DigestOf(const CallerRequest& request) {
  // FNV-1a. It detects that a key is reused for a different request; it does
  // not resist deliberate collisions.
  std::uint64_t digest = 0xcbf29ce484222325ULL;
  for (const std::string* part :
       {&request.method, &request.path, &request.body}) {
    for (const char c : *part) {
      digest = (digest ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    digest = (digest ^ 0xffU) * 0x100000001b3ULL;
  }
  // Numbers on the wire must be below 2^53.
  return digest >> 11U;
}

// Returns whether a refusal was caused by overload or by too short a deadline.
bool IsOverload(ErrorKind error) {
  return error == ErrorKind::kOverloaded || error == ErrorKind::kDeadline;
}

}  // namespace

template <RoutingPolicy Policy>
BasicRouterCore<Policy>::BasicRouterCore(RouterOptions options, Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      next_heartbeat_(now),
      last_fresh_at_(now) {
  config_.version = 0;
}

template <RoutingPolicy Policy>
bool BasicRouterCore<Policy>::NeedsClaim(
    const PendingRequest& pending) noexcept {
  return !pending.request.is_idempotent &&
         !pending.request.idempotency_key.empty();
}

template <RoutingPolicy Policy>
std::string BasicRouterCore<Policy>::ClaimKeyOf(
    const PendingRequest& pending) const {
  return pending.request.service + "/" + pending.request.idempotency_key;
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Request(Time now,
                                      WallMillis wall,
                                      const CallerRequest& request) {
  ++counters_.requests;
  const std::uint64_t ticket = request.ticket;
  PendingRequest& pending = pending_requests_[ticket];
  pending.request = request;
  if (pending.request.deadline == Time{}) {
    pending.request.deadline = now + Millis(config_.preset.request_timeout_ms);
  }
  if (is_leaving_) {
    Fail(pending, ErrorKind::kLeaving, "this entry is stopping");
    return;
  }
  StartAttempt(now, wall, pending);
}

template <RoutingPolicy Policy>
const EndpointState* BasicRouterCore<Policy>::Choose(
    Time now,
    const PendingRequest& pending) {
  const std::vector<const EndpointState*> candidates =
      pool_.Candidates(now, pending.request.service, config_.out,
                       pending.tried_endpoints, random_);
  if (candidates.empty()) {
    return nullptr;
  }
  return policy_.Choose(candidates, options_.data_centre, random_);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::StartAttempt(Time now,
                                           WallMillis wall,
                                           PendingRequest& pending) {
  const EndpointState* endpoint = Choose(now, pending);
  if (endpoint == nullptr) {
    Fail(pending, pending.last_error, "no endpoint can take the request");
    return;
  }
  if (now + endpoint->ExpectedLatency() + kReplyMargin >
      pending.request.deadline) {
    Fail(pending, ErrorKind::kDeadline, "can't be finished in time");
    return;
  }
  if (NeedsClaim(pending)) {
    RequestClaim(now, wall, pending, *endpoint);
  } else {
    Dispatch(now, pending, *endpoint,
             pending.rounds == 0 ? "first choice" : "retry");
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Dispatch(Time now,
                                       PendingRequest& pending,
                                       const EndpointState& endpoint,
                                       std::string_view reason) {
  const CallerRequest& request = pending.request;
  banyan::Dispatch dispatch;
  dispatch.seq = next_seq_++;
  dispatch.agent_incarnation = endpoint.info.incarnation;
  dispatch.method = request.method;
  dispatch.path = request.path;
  dispatch.content_type = request.content_type;
  dispatch.body = request.body;
  dispatch.budget_ms = ToMillis(request.deadline - now - kReplyMargin);
  dispatch.config_version = config_.version;
  if (NeedsClaim(pending)) {
    dispatch.claim_key = ClaimKeyOf(pending);
    dispatch.attempt = pending.claim_attempt;
    RecordDispatchedKey(dispatch.claim_key);
  }
  outputs_.events.push_back(
      Event(EventId::kRequestRouted)
          .With("ticket", request.ticket)
          .With("seq", dispatch.seq)
          .With("service", request.service)
          .With("endpoint", endpoint.info.id)
          .With("data_centre", endpoint.info.data_centre)
          .With("claim", dispatch.claim_key)
          .With("attempt", dispatch.attempt)
          .With("config", config_.version)
          .With("load_percent",
                static_cast<std::int64_t>(endpoint.Utilisation() * 100))
          .With("reason", reason));
  pending.phase = Phase::kDispatched;
  pending.attempts.push_back(
      {dispatch.seq, endpoint.info.id, endpoint.info.incarnation, now});
  pending.tried_endpoints.push_back(endpoint.info.id);
  pending.hedge_at = now + HedgeDelay(request.service);
  in_flight_dispatches_[dispatch.seq] = {request.ticket, endpoint.info.id, now};
  const std::string id = endpoint.info.id;
  pool_.OnDispatch(now, id, config_.preset);
  outputs_.messages.push_back({id, std::move(dispatch)});
}

template <RoutingPolicy Policy>
std::uint64_t BasicRouterCore<Policy>::SendCommand(Time now,
                                                   PendingReply pending_reply,
                                                   LoggedCommand command) {
  const std::uint64_t seq = next_seq_++;
  pending_reply.deadline = now + options_.command_timeout;
  pending_replies_[seq] = pending_reply;
  outputs_.to_control.emplace_back(CommandRequest{seq, std::move(command)});
  return seq;
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Command(Time now,
                                      std::uint64_t ticket,
                                      LoggedCommand command) {
  if (!is_control_connected_) {
    CommandResult result;
    result.error = ErrorKind::kNoQuorum;
    result.text = "no control replica is reachable";
    outputs_.command_answers.push_back({ticket, std::move(result)});
    return;
  }
  SendCommand(now, {ticket, ReplyKind::kCommand, {}}, std::move(command));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::RequestClaim(Time now,
                                           WallMillis wall,
                                           PendingRequest& pending,
                                           const EndpointState& endpoint) {
  if (!is_control_connected_) {
    Fail(pending, ErrorKind::kNoQuorum, "no control replica is reachable");
    return;
  }
  OpenClaim claim;
  claim.key = ClaimKeyOf(pending);
  claim.digest = DigestOf(pending.request);
  claim.agent = endpoint.info.id;
  claim.agent_incarnation = endpoint.info.incarnation;
  claim.expected_attempt = pending.claim_attempt;
  claim.expires_at = wall + options_.claim_retention_ms;
  LoggedCommand command;
  command.command = std::move(claim);
  pending.phase = Phase::kAwaitingClaim;
  pending.awaited_seq = SendCommand(
      now, {pending.request.ticket, ReplyKind::kClaim, {}}, std::move(command));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::OnClaim(Time now,
                                      WallMillis wall,
                                      PendingRequest& pending,
                                      const CommandResult& result) {
  if (!result.ok) {
    Fail(pending, result.error, result.text);
    return;
  }
  const ClaimView& claim = result.claim;
  pending.is_claim_known = true;
  pending.claim_attempt = claim.attempt;
  pending.claim_agent = claim.agent;
  pending.claim_incarnation = claim.agent_incarnation;
  pending.is_claim_held = claim.granted;
  if (claim.granted) {
    outputs_.events.push_back(Event(EventId::kClaimOpened)
                                  .With("ticket", pending.request.ticket)
                                  .With("claim", ClaimKeyOf(pending))
                                  .With("attempt", claim.attempt)
                                  .With("agent", claim.agent));
    const EndpointState* endpoint = pool_.Find(claim.agent);
    if (endpoint != nullptr && endpoint->is_connected &&
        endpoint->info.incarnation == claim.agent_incarnation) {
      Dispatch(now, pending, *endpoint, "claimed");
    } else {
      pending.last_error = ErrorKind::kNoEndpoint;
      RetryOrFail(now, wall, pending);
    }
    return;
  }
  outputs_.events.push_back(Event(EventId::kClaimResolved)
                                .With("ticket", pending.request.ticket)
                                .With("claim", ClaimKeyOf(pending))
                                .With("attempt", claim.attempt)
                                .With("state", static_cast<int>(claim.state)));
  if (claim.state == ClaimState::kFinished) {
    CallerAnswer answer;
    answer.outcome = RequestOutcome::kRan;
    answer.status = claim.status;
    answer.content_type = claim.content_type;
    answer.body = claim.body;
    answer.endpoint = claim.agent;
    Answer(pending, std::move(answer));
    return;
  }
  pending.may_have_run = true;
  if (claim.state == ClaimState::kUnknown) {
    Fail(pending, ErrorKind::kUnknownOutcome,
         "an earlier attempt may have run");
    return;
  }
  RequestTombstone(pending);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::RequestTombstone(PendingRequest& pending) {
  const EndpointState* endpoint = pool_.Find(pending.claim_agent);
  if (endpoint == nullptr) {
    Fail(pending, ErrorKind::kUnknownOutcome,
         "the agent of an earlier attempt is gone");
    return;
  }
  if (!endpoint->is_connected) {
    pending.phase = Phase::kAwaitingReconnect;
    return;
  }
  TombstoneRequest request;
  request.seq = next_seq_++;
  request.agent_incarnation = pending.claim_incarnation;
  request.claim_key = ClaimKeyOf(pending);
  request.attempt = pending.claim_attempt;
  pending.phase = Phase::kAwaitingTombstone;
  pending.awaited_seq = request.seq;
  // Needs no deadline of its own: the request's deadline applies.
  pending_replies_[request.seq] = {pending.request.ticket,
                                   ReplyKind::kTombstone, Time::max()};
  outputs_.events.push_back(Event(EventId::kTombstoneAsked)
                                .With("ticket", pending.request.ticket)
                                .With("claim", request.claim_key)
                                .With("attempt", request.attempt)
                                .With("agent", pending.claim_agent));
  outputs_.messages.push_back({pending.claim_agent, std::move(request)});
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis wall,
                                 const TombstoneReply& reply) {
  const auto pending_reply = pending_replies_.find(reply.seq);
  if (pending_reply == pending_replies_.end()) {
    return;
  }
  const auto found = pending_requests_.find(pending_reply->second.ticket);
  pending_replies_.erase(pending_reply);
  if (found == pending_requests_.end() ||
      found->second.awaited_seq != reply.seq) {
    return;
  }
  PendingRequest& pending = found->second;
  CallerAnswer answer;
  switch (reply.verdict) {
    case TombstoneVerdict::kGranted:
      pending.may_have_run = false;
      RetryOrFail(now, wall, pending);
      return;
    case TombstoneVerdict::kFinished:
      answer.outcome = RequestOutcome::kRan;
      answer.status = reply.status;
      answer.content_type = reply.content_type;
      answer.body = reply.body;
      answer.endpoint = pending.claim_agent;
      SendEndClaim(pending, ClaimEnd::kFinished, answer);
      Answer(pending, std::move(answer));
      return;
    case TombstoneVerdict::kUnknown:
      SendEndClaim(pending, ClaimEnd::kUnknown, answer);
      Fail(pending, ErrorKind::kUnknownOutcome,
           "the agent can't tell what became of an earlier attempt");
      return;
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::OnLateReply(const DispatchReply& reply) {
  const auto found = expired_claims_.find(reply.seq);
  if (found == expired_claims_.end()) {
    return;
  }
  const ExpiredClaim claim = std::move(found->second);
  expired_claims_.erase(found);
  CallerAnswer answer;
  answer.status = reply.status;
  answer.content_type = reply.content_type;
  answer.body = reply.body;
  const ClaimEnd end =
      reply.outcome == RequestOutcome::kRan      ? ClaimEnd::kFinished
      : reply.outcome == RequestOutcome::kNotRun ? ClaimEnd::kReleased
                                                 : ClaimEnd::kUnknown;
  SendEndClaim(claim.key, claim.attempt, end, answer);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::SendEndClaim(const PendingRequest& pending,
                                           ClaimEnd end,
                                           const CallerAnswer& answer) {
  SendEndClaim(ClaimKeyOf(pending), pending.claim_attempt, end, answer);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::SendEndClaim(const std::string& key,
                                           std::uint64_t claim_attempt,
                                           ClaimEnd end,
                                           const CallerAnswer& answer) {
  EndClaim command;
  command.key = key;
  command.attempt = claim_attempt;
  command.end = end;
  command.status = answer.status;
  command.content_type = answer.content_type;
  if (answer.body.size() <= kMaxStoredBodyBytes) {
    command.body = answer.body;
  } else {
    command.status = kStatusBodyNotStored;
  }
  LoggedCommand logged;
  logged.command = std::move(command);
  outputs_.to_control.emplace_back(CommandRequest{0, std::move(logged)});
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis wall,
                                 const DispatchReply& reply) {
  const auto open_dispatch = in_flight_dispatches_.find(reply.seq);
  if (open_dispatch == in_flight_dispatches_.end()) {
    OnLateReply(reply);
    return;
  }
  const InFlightDispatch dispatch = open_dispatch->second;
  in_flight_dispatches_.erase(open_dispatch);
  switch (reply.outcome) {
    case RequestOutcome::kRan:
      pool_.OnSuccess(dispatch.endpoint, now - dispatch.sent);
      break;
    case RequestOutcome::kNotRun:
      pool_.OnRefusal(dispatch.endpoint, reply.error);
      break;
    case RequestOutcome::kUnknown:
      pool_.OnFailure(now, dispatch.endpoint, config_.preset, outputs_.events);
      break;
  }
  pool_.OnLoadReport(dispatch.endpoint, reply.in_flight, reply.queued);
  const auto found = pending_requests_.find(dispatch.ticket);
  if (found == pending_requests_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  std::erase_if(pending.attempts, [&](const Attempt& attempt) {
    return attempt.seq == reply.seq;
  });
  if (reply.outcome == RequestOutcome::kRan) {
    RecordLatency(pending.request.service, now - dispatch.sent);
    retry_budget_.Deposit(config_.preset.retry_budget_percent);
    hedge_budget_.Deposit(config_.preset.hedge_budget_percent);
    CallerAnswer answer;
    answer.outcome = RequestOutcome::kRan;
    answer.status = reply.status;
    answer.content_type = reply.content_type;
    answer.body = reply.body;
    answer.endpoint = dispatch.endpoint;
    if (NeedsClaim(pending)) {
      SendEndClaim(pending, ClaimEnd::kFinished, answer);
    }
    Answer(pending, std::move(answer));
    return;
  }
  pending.last_error = reply.error;
  if (reply.outcome == RequestOutcome::kUnknown) {
    pending.may_have_run = true;
    if (!pending.request.is_idempotent) {
      if (NeedsClaim(pending)) {
        SendEndClaim(pending, ClaimEnd::kUnknown, CallerAnswer{});
      }
      Fail(pending, reply.error, "the endpoint gave no whole answer");
      return;
    }
  }
  if (pending.attempts.empty()) {
    RetryOrFail(now, wall, pending);
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::RetryOrFail(Time now,
                                          WallMillis wall,
                                          PendingRequest& pending) {
  ++pending.rounds;
  const bool needs_retry_budget =
      pending.may_have_run || IsOverload(pending.last_error);
  if (pending.rounds >= kMaxRounds || now >= pending.request.deadline) {
    Fail(pending, pending.last_error, "no attempt succeeded");
    return;
  }
  if (needs_retry_budget && !retry_budget_.TryWithdraw()) {
    Fail(pending, pending.last_error, "the retry budget is spent");
    return;
  }
  ++counters_.retries;
  outputs_.events.push_back(
      Event(EventId::kRequestRetried)
          .With("ticket", pending.request.ticket)
          .With("round", pending.rounds)
          .With("reason", ResponseFor(pending.last_error).name));
  StartAttempt(now, wall, pending);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::OnAttemptsLost(Time now,
                                             WallMillis wall,
                                             PendingRequest& pending) {
  pending.may_have_run = true;
  pending.last_error = ErrorKind::kBrokenAnswer;
  if (pending.request.is_idempotent) {
    RetryOrFail(now, wall, pending);
    return;
  }
  if (!NeedsClaim(pending)) {
    Fail(pending, ErrorKind::kUnknownOutcome,
         "the connection to the endpoint's agent was lost");
    return;
  }
  // The agent may still be running and know the outcome of the attempt.
  RequestTombstone(pending);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Hedge(Time now, PendingRequest& pending) {
  pending.is_hedged = true;
  if (!hedge_budget_.TryWithdraw()) {
    return;
  }
  const EndpointState* endpoint = Choose(now, pending);
  if (endpoint == nullptr) {
    return;
  }
  ++counters_.hedges;
  outputs_.events.push_back(Event(EventId::kRequestHedged)
                                .With("ticket", pending.request.ticket)
                                .With("endpoint", endpoint->info.id));
  Dispatch(now, pending, *endpoint, "hedge");
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Answer(PendingRequest& pending,
                                     CallerAnswer answer) {
  answer.ticket = pending.request.ticket;
  for (const Attempt& attempt : pending.attempts) {
    outputs_.messages.push_back(
        {attempt.endpoint, CancelDispatch{attempt.seq}});
  }
  switch (answer.outcome) {
    case RequestOutcome::kRan:
      ++counters_.ran;
      break;
    case RequestOutcome::kNotRun:
      ++counters_.not_run;
      break;
    case RequestOutcome::kUnknown:
      ++counters_.unknown;
      break;
  }
  const bool is_refusal = answer.outcome == RequestOutcome::kNotRun;
  outputs_.events.push_back(
      Event(is_refusal ? EventId::kRequestRefused : EventId::kRequestAnswered)
          .With("ticket", answer.ticket)
          .With("service", pending.request.service)
          .With("claim", NeedsClaim(pending) ? ClaimKeyOf(pending) : "")
          .With("outcome", ToString(answer.outcome))
          .With("status", answer.status)
          .With("endpoint", answer.endpoint)
          .With("rounds", pending.rounds)
          .With("reason", answer.text));
  outputs_.answers.push_back(std::move(answer));
  pending_replies_.erase(pending.awaited_seq);
  pending_requests_.erase(pending.request.ticket);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Fail(PendingRequest& pending,
                                   ErrorKind error,
                                   std::string text) {
  const bool may_have_run_before =
      NeedsClaim(pending) && !pending.is_claim_known &&
      (pending.request.is_resend ||
       dispatched_keys_.contains(ClaimKeyOf(pending)));
  const bool is_outcome_unknown = pending.may_have_run || may_have_run_before;
  if (is_outcome_unknown &&
      ResponseFor(error).outcome == RequestOutcome::kNotRun) {
    error = ErrorKind::kUnknownOutcome;
  }
  if (pending.is_claim_held && !pending.may_have_run) {
    SendEndClaim(pending, ClaimEnd::kReleased, CallerAnswer{});
  }
  CallerAnswer answer;
  answer.outcome = ResponseFor(error).outcome;
  answer.error = error;
  answer.status = ResponseFor(error).http_status;
  answer.text = std::move(text);
  Answer(pending, std::move(answer));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Expire(Time now, PendingRequest& pending) {
  for (const Attempt& attempt : pending.attempts) {
    pending.may_have_run = true;
    in_flight_dispatches_.erase(attempt.seq);
    pool_.OnFailure(now, attempt.endpoint, config_.preset, outputs_.events);
    if (NeedsClaim(pending)) {
      expired_claims_[attempt.seq] = {ClaimKeyOf(pending),
                                      pending.claim_attempt};
    }
  }
  // Dispatches are numbered in ascending order, so the oldest come first.
  while (expired_claims_.size() > kMaxExpiredClaims) {
    expired_claims_.erase(expired_claims_.begin());
  }
  Fail(pending, ErrorKind::kDeadline, "the deadline passed");
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis wall,
                                 const CommandReply& reply) {
  const auto found = pending_replies_.find(reply.seq);
  if (found == pending_replies_.end()) {
    return;
  }
  const PendingReply pending_reply = found->second;
  pending_replies_.erase(found);
  if (pending_reply.kind == ReplyKind::kCommand) {
    outputs_.command_answers.push_back({pending_reply.ticket, reply.result});
    return;
  }
  const auto pending = pending_requests_.find(pending_reply.ticket);
  if (pending != pending_requests_.end() &&
      pending->second.awaited_seq == reply.seq) {
    OnClaim(now, wall, pending->second, reply.result);
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time /*now*/,
                                 WallMillis /*wall*/,
                                 const ConfigUpdate& update) {
  if (update.version <= config_.version) {
    return;
  }
  config_ = update;
  outputs_.events.push_back(Event(EventId::kConfigInForce)
                                .With("version", config_.version)
                                .With("preset", config_.preset_name)
                                .With("out", config_.out.size()));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time /*now*/,
                                 WallMillis /*wall*/,
                                 const EndpointTable& table) {
  const std::uint64_t previous_version = pool_.version();
  if (pool_.Update(table) && pool_.version() != previous_version) {
    outputs_.events.push_back(Event(EventId::kEndpointTable)
                                  .With("version", pool_.version())
                                  .With("endpoints", pool_.endpoints().size()));
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis /*wall*/,
                                 const EntryHeartbeatAck& ack) {
  if (ack.fresh) {
    last_fresh_at_ = now;
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Receive(Time now,
                                      WallMillis wall,
                                      const Sender& /*from*/,
                                      const Message& message) {
  std::visit(
      [&](const auto& body) {
        if constexpr (requires { On(now, wall, body); }) {
          On(now, wall, body);
        }
      },
      message);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::AgentUp(const Sender& agent) {
  pool_.SetConnected(agent.id, true);
  std::vector<std::uint64_t> waiting;
  for (const auto& [ticket, pending] : pending_requests_) {
    if (pending.phase == Phase::kAwaitingReconnect &&
        pending.claim_agent == agent.id) {
      waiting.push_back(ticket);
    }
  }
  for (const std::uint64_t ticket : waiting) {
    RequestTombstone(pending_requests_.at(ticket));
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::AgentDown(Time now,
                                        WallMillis wall,
                                        const std::string& agent) {
  pool_.OnFailure(now, agent, config_.preset, outputs_.events);
  pool_.SetConnected(agent, false);
  std::set<std::uint64_t> affected_tickets;
  for (auto it = in_flight_dispatches_.begin();
       it != in_flight_dispatches_.end();) {
    if (it->second.endpoint == agent) {
      affected_tickets.insert(it->second.ticket);
      it = in_flight_dispatches_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& [ticket, pending] : pending_requests_) {
    if (pending.phase == Phase::kAwaitingTombstone &&
        pending.claim_agent == agent) {
      pending.phase = Phase::kAwaitingReconnect;
    }
    const std::size_t count = std::erase_if(
        pending.attempts,
        [&](const Attempt& attempt) { return attempt.endpoint == agent; });
    if (count == 0 || !pending.attempts.empty()) {
      affected_tickets.erase(ticket);
    }
    pending.may_have_run = pending.may_have_run || count > 0;
  }
  for (const std::uint64_t ticket : affected_tickets) {
    const auto found = pending_requests_.find(ticket);
    if (found != pending_requests_.end()) {
      OnAttemptsLost(now, wall, found->second);
    }
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::ControlUp(Time now) {
  is_control_connected_ = true;
  next_heartbeat_ = now;
  last_fresh_at_ = now;
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::ControlDown(Time now) {
  is_control_connected_ = false;
  // Replies from that replica can no longer arrive.
  for (auto& [seq, pending_reply] : pending_replies_) {
    if (pending_reply.kind != ReplyKind::kTombstone) {
      pending_reply.deadline = std::min(pending_reply.deadline, now);
    }
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Tick(Time now, WallMillis wall) {
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat_interval;
    outputs_.to_control.emplace_back(
        EntryHeartbeat{next_seq_++, config_.version, pool_.version()});
  }
  if (is_control_connected_ &&
      now - last_fresh_at_ > options_.control_freshness_timeout) {
    last_fresh_at_ = now;
    outputs_.switch_control = true;
  }
  std::vector<std::uint64_t> due;
  for (const auto& [seq, pending_reply] : pending_replies_) {
    if (pending_reply.deadline <= now) {
      due.push_back(seq);
    }
  }
  for (const std::uint64_t seq : due) {
    CommandReply reply;
    reply.seq = seq;
    reply.result.error = ErrorKind::kNoQuorum;
    reply.result.text = "the control cell did not answer in time";
    On(now, wall, reply);
  }
  due.clear();
  for (const auto& [ticket, pending] : pending_requests_) {
    const bool is_hedge_due = pending.request.is_idempotent &&
                              !pending.is_hedged && now >= pending.hedge_at &&
                              pending.phase == Phase::kDispatched;
    if (pending.request.deadline <= now || is_hedge_due) {
      due.push_back(ticket);
    }
  }
  for (const std::uint64_t ticket : due) {
    PendingRequest& pending = pending_requests_.at(ticket);
    if (pending.request.deadline <= now) {
      Expire(now, pending);
    } else {
      Hedge(now, pending);
    }
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::RecordLatency(const std::string& service,
                                            Duration latency) {
  std::deque<Duration>& window = latencies_[service];
  window.push_back(latency);
  if (window.size() > kLatencyWindowSize) {
    window.pop_front();
  }
}

template <RoutingPolicy Policy>
Duration BasicRouterCore<Policy>::HedgeDelay(const std::string& service) const {
  constexpr Duration kNever = std::chrono::hours(1);
  const auto found = latencies_.find(service);
  if (config_.preset.hedge_budget_percent == 0 || found == latencies_.end() ||
      found->second.size() < kMinLatencySamples) {
    return kNever;
  }
  std::vector<Duration> sorted(found->second.begin(), found->second.end());
  constexpr std::size_t kPercent = 100;
  const auto rank =
      sorted.size() *
      static_cast<std::size_t>(config_.preset.hedge_quantile_percent) /
      kPercent;
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(rank, sorted.size() - 1));
  std::nth_element(sorted.begin(), nth, sorted.end());
  return *nth;
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::RecordDispatchedKey(const std::string& key) {
  if (!dispatched_keys_.insert(key).second) {
    return;
  }
  dispatched_key_order_.push_back(key);
  if (dispatched_key_order_.size() > kMaxDispatchedKeys) {
    dispatched_keys_.erase(dispatched_key_order_.front());
    dispatched_key_order_.pop_front();
  }
}

template class BasicRouterCore<PowerOfTwoChoicesRouting>;
template class BasicRouterCore<RandomRouting>;
template class BasicRouterCore<RoundRobinRouting>;

}  // namespace banyan
