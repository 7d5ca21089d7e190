#include "banyan/routing/router_core.h"

#include <functional>

namespace banyan {
namespace {

// The most attempts and claim rounds of one request.
constexpr int kMaxRounds = 4;
// Latencies remembered for each service, and the fewest that give a quantile.
constexpr std::size_t kLatencyWindow = 200;
constexpr std::size_t kLeastLatencies = 20;
// What the agent is left of the caller's budget, so that its answer is back
// in time.
constexpr Span kReturnMargin = Millis(10);
// Keys of dispatched requests that an entry remembers.
constexpr std::size_t kMaxRememberedKeys = 50000;
// The largest answer that is kept with its claim.
constexpr std::size_t kMaxKeptBody = 256U << 10U;
// Status of a claim's answer whose body was too large to keep.
constexpr int kAnswerNotKept = 303;

std::uint64_t DigestOf(const CallerRequest& request) {
  // FNV-1a; it tells requests apart under one key, not adversaries.
  std::uint64_t digest = 0xcbf29ce484222325ULL;
  for (const std::string* part :
       {&request.method, &request.path, &request.body}) {
    for (const char c : *part) {
      digest = (digest ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    digest = (digest ^ 0xffU) * 0x100000001b3ULL;
  }
  // Kept below 2^53, as every number on the wire.
  return digest >> 11U;
}

// Returns whether a refusal says that the endpoint is short of time or room.
bool IsOverload(ErrorKind error) {
  return error == ErrorKind::kOverloaded || error == ErrorKind::kDeadline;
}

}  // namespace

template <RoutingPolicy Policy>
BasicRouterCore<Policy>::BasicRouterCore(RouterOptions options, Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      next_heartbeat_(now),
      fresh_at_(now) {
  config_.version = 0;
}

template <RoutingPolicy Policy>
bool BasicRouterCore<Policy>::IsClaimed(const Flight& flight) noexcept {
  return !flight.request.is_idempotent &&
         !flight.request.idempotency_key.empty();
}

template <RoutingPolicy Policy>
std::string BasicRouterCore<Policy>::ClaimKeyOf(const Flight& flight) const {
  return flight.request.service + "/" + flight.request.idempotency_key;
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Request(Time now,
                                      WallMillis wall,
                                      const CallerRequest& request) {
  ++counters_.requests;
  const std::uint64_t ticket = request.ticket;
  Flight& flight = flights_[ticket];
  flight.request = request;
  if (flight.request.deadline == Time{}) {
    flight.request.deadline = now + Millis(config_.preset.request_timeout_ms);
  }
  if (is_leaving_) {
    Fail(flight, ErrorKind::kLeaving, "this entry is stopping");
    return;
  }
  Launch(now, wall, flight);
}

template <RoutingPolicy Policy>
const EndpointView* BasicRouterCore<Policy>::Choose(Time now,
                                                    const Flight& flight) {
  const std::vector<const EndpointView*> candidates = pool_.Candidates(
      now, flight.request.service, config_.out, flight.tried, random_);
  if (candidates.empty()) {
    return nullptr;
  }
  return policy_.Choose(candidates, options_.data_centre, random_);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Launch(Time now,
                                     WallMillis wall,
                                     Flight& flight) {
  const EndpointView* endpoint = Choose(now, flight);
  if (endpoint == nullptr) {
    Fail(flight, flight.last_error, "no endpoint can take the request");
    return;
  }
  if (now + endpoint->ExpectedLatency() + kReturnMargin >
      flight.request.deadline) {
    Fail(flight, ErrorKind::kDeadline, "can't be finished in time");
    return;
  }
  if (IsClaimed(flight)) {
    OpenClaimOn(now, wall, flight, *endpoint);
  } else {
    Dispatch(now, flight, *endpoint,
             flight.rounds == 0 ? "first choice" : "retry");
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Dispatch(Time now,
                                       Flight& flight,
                                       const EndpointView& endpoint,
                                       std::string_view why) {
  const CallerRequest& request = flight.request;
  banyan::Dispatch dispatch;
  dispatch.seq = next_seq_++;
  dispatch.agent_incarnation = endpoint.info.incarnation;
  dispatch.method = request.method;
  dispatch.path = request.path;
  dispatch.content_type = request.content_type;
  dispatch.body = request.body;
  dispatch.budget_ms = ToMillis(request.deadline - now - kReturnMargin);
  dispatch.config_version = config_.version;
  if (IsClaimed(flight)) {
    dispatch.claim_key = ClaimKeyOf(flight);
    dispatch.attempt = flight.claim_attempt;
    RememberKey(dispatch.claim_key);
  }
  out_.events.push_back(
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
          .With("reason", why));
  flight.phase = Phase::kDispatched;
  flight.attempts.push_back(
      {dispatch.seq, endpoint.info.id, endpoint.info.incarnation, now});
  flight.tried.push_back(endpoint.info.id);
  flight.hedge_at = now + HedgeDelay(request.service);
  dispatches_[dispatch.seq] = {request.ticket, endpoint.info.id, now};
  const std::string id = endpoint.info.id;
  pool_.OnDispatch(now, id, config_.preset);
  out_.messages.push_back({id, std::move(dispatch)});
}

template <RoutingPolicy Policy>
std::uint64_t BasicRouterCore<Policy>::SendCommand(Time now,
                                                   Wait wait,
                                                   LoggedCommand command) {
  const std::uint64_t seq = next_seq_++;
  wait.deadline = now + options_.command_timeout;
  waits_[seq] = wait;
  out_.to_control.emplace_back(CommandRequest{seq, std::move(command)});
  return seq;
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Command(Time now,
                                      std::uint64_t ticket,
                                      LoggedCommand command) {
  if (!has_control_) {
    CommandResult result;
    result.error = ErrorKind::kNoQuorum;
    result.text = "no control replica is reachable";
    out_.command_answers.push_back({ticket, std::move(result)});
    return;
  }
  SendCommand(now, {ticket, WaitKind::kCommand, {}}, std::move(command));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::OpenClaimOn(Time now,
                                          WallMillis wall,
                                          Flight& flight,
                                          const EndpointView& endpoint) {
  if (!has_control_) {
    Fail(flight, ErrorKind::kNoQuorum, "no control replica is reachable");
    return;
  }
  OpenClaim claim;
  claim.key = ClaimKeyOf(flight);
  claim.digest = DigestOf(flight.request);
  claim.agent = endpoint.info.id;
  claim.agent_incarnation = endpoint.info.incarnation;
  claim.expected_attempt = flight.claim_attempt;
  claim.expires_at = wall + options_.claim_retention_ms;
  LoggedCommand command;
  command.command = std::move(claim);
  flight.phase = Phase::kClaiming;
  flight.wait_seq = SendCommand(
      now, {flight.request.ticket, WaitKind::kClaim, {}}, std::move(command));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::OnClaim(Time now,
                                      WallMillis wall,
                                      Flight& flight,
                                      const CommandResult& result) {
  if (!result.ok) {
    Fail(flight, result.error, result.text);
    return;
  }
  const ClaimView& claim = result.claim;
  flight.is_claim_known = true;
  flight.claim_attempt = claim.attempt;
  flight.claim_agent = claim.agent;
  flight.claim_incarnation = claim.agent_incarnation;
  flight.is_claim_held = claim.granted;
  if (claim.granted) {
    out_.events.push_back(Event(EventId::kClaimOpened)
                              .With("ticket", flight.request.ticket)
                              .With("claim", ClaimKeyOf(flight))
                              .With("attempt", claim.attempt)
                              .With("agent", claim.agent));
    const EndpointView* endpoint = pool_.Find(claim.agent);
    if (endpoint != nullptr && endpoint->is_connected &&
        endpoint->info.incarnation == claim.agent_incarnation) {
      Dispatch(now, flight, *endpoint, "claimed");
    } else {
      flight.last_error = ErrorKind::kNoEndpoint;
      RetryOrGiveUp(now, wall, flight);
    }
    return;
  }
  out_.events.push_back(Event(EventId::kClaimResolved)
                            .With("ticket", flight.request.ticket)
                            .With("claim", ClaimKeyOf(flight))
                            .With("attempt", claim.attempt)
                            .With("state", static_cast<int>(claim.state)));
  if (claim.state == ClaimState::kFinished) {
    CallerAnswer answer;
    answer.outcome = RequestOutcome::kRan;
    answer.status = claim.status;
    answer.content_type = claim.content_type;
    answer.body = claim.body;
    answer.endpoint = claim.agent;
    Answer(flight, std::move(answer));
    return;
  }
  flight.may_have_run = true;
  if (claim.state == ClaimState::kUnknown) {
    Fail(flight, ErrorKind::kUnknownOutcome, "an earlier attempt may have run");
    return;
  }
  AskTombstone(flight);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::AskTombstone(Flight& flight) {
  const EndpointView* endpoint = pool_.Find(flight.claim_agent);
  if (endpoint == nullptr) {
    Fail(flight, ErrorKind::kUnknownOutcome,
         "the agent of an earlier attempt is gone");
    return;
  }
  if (!endpoint->is_connected) {
    flight.phase = Phase::kReconnecting;
    return;
  }
  TombstoneRequest request;
  request.seq = next_seq_++;
  request.agent_incarnation = flight.claim_incarnation;
  request.claim_key = ClaimKeyOf(flight);
  request.attempt = flight.claim_attempt;
  flight.phase = Phase::kTombstone;
  flight.wait_seq = request.seq;
  // The flight's own deadline ends this wait.
  waits_[request.seq] = {flight.request.ticket, WaitKind::kTombstone,
                         Time::max()};
  out_.events.push_back(Event(EventId::kTombstoneAsked)
                            .With("ticket", flight.request.ticket)
                            .With("claim", request.claim_key)
                            .With("attempt", request.attempt)
                            .With("agent", flight.claim_agent));
  out_.messages.push_back({flight.claim_agent, std::move(request)});
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis wall,
                                 const TombstoneReply& reply) {
  const auto wait = waits_.find(reply.seq);
  if (wait == waits_.end()) {
    return;
  }
  const auto found = flights_.find(wait->second.ticket);
  waits_.erase(wait);
  if (found == flights_.end() || found->second.wait_seq != reply.seq) {
    return;
  }
  Flight& flight = found->second;
  CallerAnswer answer;
  switch (reply.verdict) {
    case TombstoneVerdict::kGranted:
      flight.may_have_run = false;
      RetryOrGiveUp(now, wall, flight);
      return;
    case TombstoneVerdict::kFinished:
      answer.outcome = RequestOutcome::kRan;
      answer.status = reply.status;
      answer.content_type = reply.content_type;
      answer.body = reply.body;
      answer.endpoint = flight.claim_agent;
      EndClaimAs(flight, ClaimEnd::kFinished, answer);
      Answer(flight, std::move(answer));
      return;
    case TombstoneVerdict::kUnknown:
      EndClaimAs(flight, ClaimEnd::kUnknown, answer);
      Fail(flight, ErrorKind::kUnknownOutcome,
           "the agent can't tell what became of an earlier attempt");
      return;
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::EndClaimAs(const Flight& flight,
                                         ClaimEnd end,
                                         const CallerAnswer& answer) {
  EndClaim command;
  command.key = ClaimKeyOf(flight);
  command.attempt = flight.claim_attempt;
  command.end = end;
  command.status = answer.status;
  command.content_type = answer.content_type;
  if (answer.body.size() <= kMaxKeptBody) {
    command.body = answer.body;
  } else {
    command.status = kAnswerNotKept;
  }
  LoggedCommand logged;
  logged.command = std::move(command);
  out_.to_control.emplace_back(CommandRequest{0, std::move(logged)});
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis wall,
                                 const DispatchReply& reply) {
  const auto open = dispatches_.find(reply.seq);
  if (open == dispatches_.end()) {
    return;
  }
  const OpenDispatch dispatch = open->second;
  dispatches_.erase(open);
  switch (reply.outcome) {
    case RequestOutcome::kRan:
      pool_.OnSuccess(dispatch.endpoint, now - dispatch.sent);
      break;
    case RequestOutcome::kNotRun:
      pool_.OnRefusal(dispatch.endpoint, reply.error);
      break;
    case RequestOutcome::kUnknown:
      pool_.OnFailure(now, dispatch.endpoint, config_.preset, out_.events);
      break;
  }
  pool_.OnLoad(dispatch.endpoint, reply.in_flight, reply.queued);
  const auto found = flights_.find(dispatch.ticket);
  if (found == flights_.end()) {
    return;
  }
  Flight& flight = found->second;
  std::erase_if(flight.attempts, [&](const Attempt& attempt) {
    return attempt.seq == reply.seq;
  });
  if (reply.outcome == RequestOutcome::kRan) {
    NoteLatency(flight.request.service, now - dispatch.sent);
    retry_budget_.Earn(config_.preset.retry_budget_percent);
    hedge_budget_.Earn(config_.preset.hedge_budget_percent);
    CallerAnswer answer;
    answer.outcome = RequestOutcome::kRan;
    answer.status = reply.status;
    answer.content_type = reply.content_type;
    answer.body = reply.body;
    answer.endpoint = dispatch.endpoint;
    if (IsClaimed(flight)) {
      EndClaimAs(flight, ClaimEnd::kFinished, answer);
    }
    Answer(flight, std::move(answer));
    return;
  }
  flight.last_error = reply.error;
  if (reply.outcome == RequestOutcome::kUnknown) {
    flight.may_have_run = true;
    if (!flight.request.is_idempotent) {
      if (IsClaimed(flight)) {
        EndClaimAs(flight, ClaimEnd::kUnknown, CallerAnswer{});
      }
      Fail(flight, reply.error, "the endpoint gave no whole answer");
      return;
    }
  }
  if (flight.attempts.empty()) {
    RetryOrGiveUp(now, wall, flight);
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::RetryOrGiveUp(Time now,
                                            WallMillis wall,
                                            Flight& flight) {
  ++flight.rounds;
  const bool must_pay = flight.may_have_run || IsOverload(flight.last_error);
  if (flight.rounds >= kMaxRounds || now >= flight.request.deadline) {
    Fail(flight, flight.last_error, "no attempt succeeded");
    return;
  }
  if (must_pay && !retry_budget_.Spend()) {
    Fail(flight, flight.last_error, "the retry budget is spent");
    return;
  }
  ++counters_.retries;
  out_.events.push_back(
      Event(EventId::kRequestRetried)
          .With("ticket", flight.request.ticket)
          .With("round", flight.rounds)
          .With("reason", ResponseFor(flight.last_error).name));
  Launch(now, wall, flight);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::LoseAttempts(Time now,
                                           WallMillis wall,
                                           Flight& flight) {
  flight.may_have_run = true;
  flight.last_error = ErrorKind::kBrokenAnswer;
  if (flight.request.is_idempotent) {
    RetryOrGiveUp(now, wall, flight);
    return;
  }
  if (!IsClaimed(flight)) {
    Fail(flight, ErrorKind::kUnknownOutcome,
         "the connection to the endpoint's agent was lost");
    return;
  }
  // The agent may still be there and know what became of the attempt.
  AskTombstone(flight);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Hedge(Time now, Flight& flight) {
  flight.is_hedged = true;
  if (!hedge_budget_.Spend()) {
    return;
  }
  const EndpointView* endpoint = Choose(now, flight);
  if (endpoint == nullptr) {
    return;
  }
  ++counters_.hedges;
  out_.events.push_back(Event(EventId::kRequestHedged)
                            .With("ticket", flight.request.ticket)
                            .With("endpoint", endpoint->info.id));
  Dispatch(now, flight, *endpoint, "hedge");
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Answer(Flight& flight, CallerAnswer answer) {
  answer.ticket = flight.request.ticket;
  for (const Attempt& attempt : flight.attempts) {
    out_.messages.push_back({attempt.endpoint, CancelDispatch{attempt.seq}});
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
  out_.events.push_back(
      Event(is_refusal ? EventId::kRequestRefused : EventId::kRequestAnswered)
          .With("ticket", answer.ticket)
          .With("service", flight.request.service)
          .With("claim", IsClaimed(flight) ? ClaimKeyOf(flight) : "")
          .With("outcome", ToString(answer.outcome))
          .With("status", answer.status)
          .With("endpoint", answer.endpoint)
          .With("rounds", flight.rounds)
          .With("reason", answer.text));
  out_.answers.push_back(std::move(answer));
  waits_.erase(flight.wait_seq);
  flights_.erase(flight.request.ticket);
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Fail(Flight& flight,
                                   ErrorKind error,
                                   std::string text) {
  const bool is_key_open = IsClaimed(flight) && !flight.is_claim_known &&
                           (flight.request.is_resend ||
                            dispatched_keys_.contains(ClaimKeyOf(flight)));
  const bool is_unsure = flight.may_have_run || is_key_open;
  if (is_unsure && ResponseFor(error).outcome == RequestOutcome::kNotRun) {
    error = ErrorKind::kUnknownOutcome;
  }
  if (flight.is_claim_held && !flight.may_have_run) {
    EndClaimAs(flight, ClaimEnd::kReleased, CallerAnswer{});
  }
  CallerAnswer answer;
  answer.outcome = ResponseFor(error).outcome;
  answer.error = error;
  answer.status = ResponseFor(error).http_status;
  answer.text = std::move(text);
  Answer(flight, std::move(answer));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Expire(Time now, Flight& flight) {
  for (const Attempt& attempt : flight.attempts) {
    flight.may_have_run = true;
    dispatches_.erase(attempt.seq);
    pool_.OnFailure(now, attempt.endpoint, config_.preset, out_.events);
  }
  Fail(flight, ErrorKind::kDeadline, "the deadline passed");
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis wall,
                                 const CommandReply& reply) {
  const auto found = waits_.find(reply.seq);
  if (found == waits_.end()) {
    return;
  }
  const Wait wait = found->second;
  waits_.erase(found);
  if (wait.kind == WaitKind::kCommand) {
    out_.command_answers.push_back({wait.ticket, reply.result});
    return;
  }
  const auto flight = flights_.find(wait.ticket);
  if (flight != flights_.end() && flight->second.wait_seq == reply.seq) {
    OnClaim(now, wall, flight->second, reply.result);
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
  out_.events.push_back(Event(EventId::kConfigInForce)
                            .With("version", config_.version)
                            .With("preset", config_.preset_name)
                            .With("out", config_.out.size()));
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time /*now*/,
                                 WallMillis /*wall*/,
                                 const EndpointTable& table) {
  const std::uint64_t before = pool_.version();
  if (pool_.Update(table) && pool_.version() != before) {
    out_.events.push_back(Event(EventId::kEndpointTable)
                              .With("version", pool_.version())
                              .With("endpoints", pool_.endpoints().size()));
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::On(Time now,
                                 WallMillis /*wall*/,
                                 const EntryHeartbeatAck& ack) {
  if (ack.fresh) {
    fresh_at_ = now;
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
  for (const auto& [ticket, flight] : flights_) {
    if (flight.phase == Phase::kReconnecting &&
        flight.claim_agent == agent.id) {
      waiting.push_back(ticket);
    }
  }
  for (const std::uint64_t ticket : waiting) {
    AskTombstone(flights_.at(ticket));
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::AgentDown(Time now,
                                        WallMillis wall,
                                        const std::string& agent) {
  pool_.OnFailure(now, agent, config_.preset, out_.events);
  pool_.SetConnected(agent, false);
  std::set<std::uint64_t> lost;
  for (auto it = dispatches_.begin(); it != dispatches_.end();) {
    if (it->second.endpoint == agent) {
      lost.insert(it->second.ticket);
      it = dispatches_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& [ticket, flight] : flights_) {
    if (flight.phase == Phase::kTombstone && flight.claim_agent == agent) {
      flight.phase = Phase::kReconnecting;
    }
    const std::size_t count = std::erase_if(
        flight.attempts,
        [&](const Attempt& attempt) { return attempt.endpoint == agent; });
    if (count == 0 || !flight.attempts.empty()) {
      lost.erase(ticket);
    }
    flight.may_have_run = flight.may_have_run || count > 0;
  }
  for (const std::uint64_t ticket : lost) {
    const auto found = flights_.find(ticket);
    if (found != flights_.end()) {
      LoseAttempts(now, wall, found->second);
    }
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::ControlUp(Time now) {
  has_control_ = true;
  next_heartbeat_ = now;
  fresh_at_ = now;
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::ControlDown(Time now) {
  has_control_ = false;
  // What was asked of that replica gets no answer any more.
  for (auto& [seq, wait] : waits_) {
    if (wait.kind != WaitKind::kTombstone) {
      wait.deadline = std::min(wait.deadline, now);
    }
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::Tick(Time now, WallMillis wall) {
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat;
    out_.to_control.emplace_back(
        EntryHeartbeat{next_seq_++, config_.version, pool_.version()});
  }
  if (has_control_ && now - fresh_at_ > options_.control_patience) {
    fresh_at_ = now;
    out_.switch_control = true;
  }
  std::vector<std::uint64_t> due;
  for (const auto& [seq, wait] : waits_) {
    if (wait.deadline <= now) {
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
  for (const auto& [ticket, flight] : flights_) {
    const bool is_hedge_due = flight.request.is_idempotent &&
                              !flight.is_hedged && now >= flight.hedge_at &&
                              flight.phase == Phase::kDispatched;
    if (flight.request.deadline <= now || is_hedge_due) {
      due.push_back(ticket);
    }
  }
  for (const std::uint64_t ticket : due) {
    Flight& flight = flights_.at(ticket);
    if (flight.request.deadline <= now) {
      Expire(now, flight);
    } else {
      Hedge(now, flight);
    }
  }
}

template <RoutingPolicy Policy>
void BasicRouterCore<Policy>::NoteLatency(const std::string& service,
                                          Span latency) {
  std::deque<Span>& window = latencies_[service];
  window.push_back(latency);
  if (window.size() > kLatencyWindow) {
    window.pop_front();
  }
}

template <RoutingPolicy Policy>
Span BasicRouterCore<Policy>::HedgeDelay(const std::string& service) const {
  constexpr Span kNever = std::chrono::hours(1);
  const auto found = latencies_.find(service);
  if (config_.preset.hedge_budget_percent == 0 || found == latencies_.end() ||
      found->second.size() < kLeastLatencies) {
    return kNever;
  }
  std::vector<Span> sorted(found->second.begin(), found->second.end());
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
void BasicRouterCore<Policy>::RememberKey(const std::string& key) {
  if (!dispatched_keys_.insert(key).second) {
    return;
  }
  dispatched_order_.push_back(key);
  if (dispatched_order_.size() > kMaxRememberedKeys) {
    dispatched_keys_.erase(dispatched_order_.front());
    dispatched_order_.pop_front();
  }
}

template class BasicRouterCore<PowerOfTwoRouting>;
template class BasicRouterCore<RandomRouting>;
template class BasicRouterCore<RoundRobinRouting>;

}  // namespace banyan
