#include "banyan/agent/endpoint_guard.h"

#include <algorithm>

namespace banyan {
namespace {

// How long a tombstone or the answer of a claimed attempt is kept.
constexpr Span kSettledRetention = std::chrono::minutes(10);
// The most kept tombstones and answers.
constexpr std::size_t kMaxSettled = 20000;
// A new latency counts for one part in this many.
constexpr int kLatencyDecay = 8;

}  // namespace

void EndpointGuard::Refuse(const Waiter& waiter,
                           const Dispatch& dispatch,
                           ErrorKind error,
                           std::string_view why) {
  out_.events.push_back(Event(EventId::kDispatchRefused)
                            .With("entry", waiter.peer)
                            .With("seq", waiter.seq)
                            .With("claim", dispatch.claim_key)
                            .With("attempt", dispatch.attempt)
                            .With("reason", why));
  EndpointAnswer answer;
  answer.outcome = RequestOutcome::kNotRun;
  answer.error = error;
  Tell(waiter, answer);
}

void EndpointGuard::Tell(const Waiter& waiter, const EndpointAnswer& answer) {
  if (waiter.is_tombstone) {
    TombstoneReply reply;
    reply.seq = waiter.seq;
    reply.verdict = answer.outcome == RequestOutcome::kRan
                        ? TombstoneVerdict::kFinished
                    : answer.outcome == RequestOutcome::kNotRun
                        ? TombstoneVerdict::kGranted
                        : TombstoneVerdict::kUnknown;
    reply.status = answer.status;
    reply.content_type = answer.content_type;
    reply.body = answer.body;
    out_.messages.push_back({waiter.peer, std::move(reply)});
    return;
  }
  DispatchReply reply;
  reply.seq = waiter.seq;
  reply.outcome = answer.outcome;
  reply.error = answer.error;
  reply.status = answer.status;
  reply.content_type = answer.content_type;
  reply.body = answer.body;
  reply.in_flight = static_cast<std::int64_t>(running_.size());
  reply.queued = static_cast<std::int64_t>(queue_.size());
  reply.config_version = config_version_;
  out_.messages.push_back({waiter.peer, std::move(reply)});
}

Span EndpointGuard::ExpectedWait() const noexcept {
  if (running_.size() < limits_.slots) {
    return Span(0);
  }
  const auto rounds =
      static_cast<std::int64_t>(queue_.size() / limits_.slots) + 1;
  return latency_ * rounds;
}

std::deque<EndpointGuard::Request>::iterator EndpointGuard::FindQueued(
    const AttemptKey& key) {
  return std::find_if(queue_.begin(), queue_.end(),
                      [&](const Request& request) {
                        return request.dispatch.claim_key == key.first &&
                               request.dispatch.attempt == key.second;
                      });
}

EndpointGuard::Request* EndpointGuard::FindRunning(const AttemptKey& key) {
  for (auto& [id, request] : running_) {
    if (request.dispatch.claim_key == key.first &&
        request.dispatch.attempt == key.second) {
      return &request;
    }
  }
  return nullptr;
}

bool EndpointGuard::AnswerFromHistory(const Waiter& waiter,
                                      const Dispatch& dispatch) {
  if (dispatch.claim_key.empty()) {
    return false;
  }
  const AttemptKey key{dispatch.claim_key, dispatch.attempt};
  const auto settled = settled_.find(key);
  if (settled != settled_.end()) {
    if (settled->second.is_tombstone) {
      Refuse(waiter, dispatch, ErrorKind::kStale, "attempt was withdrawn");
    } else {
      Tell(waiter, settled->second.answer);
    }
    return true;
  }
  if (Request* running = FindRunning(key)) {
    running->waiters.push_back(waiter);
    return true;
  }
  const auto queued = FindQueued(key);
  if (queued != queue_.end()) {
    queued->waiters.push_back(waiter);
    return true;
  }
  return false;
}

bool EndpointGuard::IsRepeated(const Sender& from, const Dispatch& dispatch) {
  LastDispatch& last = last_dispatch_[from.id];
  if (last.entry_incarnation != from.incarnation) {
    last = {from.incarnation, 0};
  }
  if (dispatch.seq <= last.seq) {
    return true;
  }
  last.seq = dispatch.seq;
  return false;
}

void EndpointGuard::OnDispatch(Time now,
                               const Sender& from,
                               const Dispatch& dispatch,
                               std::uint64_t own_incarnation,
                               Veto veto) {
  if (IsRepeated(from, dispatch)) {
    return;
  }
  const Waiter waiter{from.id, dispatch.seq, false};
  if (dispatch.agent_incarnation != own_incarnation) {
    Refuse(waiter, dispatch, ErrorKind::kStale,
           "meant for another incarnation");
    return;
  }
  if (AnswerFromHistory(waiter, dispatch)) {
    return;
  }
  if (veto) {
    Refuse(waiter, dispatch, *veto, ResponseFor(*veto).name);
    return;
  }
  if (running_.size() + queue_.size() >= limits_.connections) {
    Refuse(waiter, dispatch, ErrorKind::kOverloaded, "all connections in use");
    return;
  }
  const Span budget = Millis(dispatch.budget_ms);
  if (ExpectedWait() + latency_ > budget) {
    Refuse(waiter, dispatch, ErrorKind::kDeadline, "can't finish in time");
    return;
  }
  Request request;
  request.dispatch = dispatch;
  request.waiters.push_back(waiter);
  request.deadline = now + budget;
  queue_.push_back(std::move(request));
  Pump(now);
}

void EndpointGuard::Pump(Time now) {
  while (running_.size() < limits_.slots && !queue_.empty()) {
    Request request = std::move(queue_.front());
    queue_.pop_front();
    if (request.deadline <= now) {
      for (const Waiter& waiter : request.waiters) {
        Refuse(waiter, request.dispatch, ErrorKind::kDeadline,
               "deadline passed in the queue");
      }
      continue;
    }
    Start(now, std::move(request));
  }
}

void EndpointGuard::Start(Time now, Request request) {
  const std::uint64_t id = next_call_++;
  const Dispatch& dispatch = request.dispatch;
  request.started = now;
  out_.calls.push_back({id, dispatch.method, dispatch.path,
                        dispatch.content_type, dispatch.body,
                        request.deadline});
  out_.events.push_back(Event(EventId::kDispatchStarted)
                            .With("call", id)
                            .With("entry", request.waiters.front().peer)
                            .With("seq", dispatch.seq)
                            .With("claim", dispatch.claim_key)
                            .With("attempt", dispatch.attempt));
  running_.emplace(id, std::move(request));
}

void EndpointGuard::OnAnswer(Time now, const EndpointAnswer& answer) {
  const auto found = running_.find(answer.id);
  if (found == running_.end()) {
    return;
  }
  const Request request = std::move(found->second);
  running_.erase(found);
  latency_ += (now - request.started - latency_) / kLatencyDecay;
  const Dispatch& dispatch = request.dispatch;
  out_.events.push_back(Event(EventId::kDispatchEnded)
                            .With("call", answer.id)
                            .With("claim", dispatch.claim_key)
                            .With("attempt", dispatch.attempt)
                            .With("outcome", ToString(answer.outcome))
                            .With("status", answer.status));
  if (!dispatch.claim_key.empty()) {
    Settled settled;
    settled.answer = answer;
    // What was not handed over now must not run later under this attempt.
    settled.is_tombstone = answer.outcome == RequestOutcome::kNotRun;
    Settle(now, {dispatch.claim_key, dispatch.attempt}, std::move(settled));
  }
  for (const Waiter& waiter : request.waiters) {
    Tell(waiter, answer);
  }
  Pump(now);
}

void EndpointGuard::OnCancel(const Sender& from, const CancelDispatch& cancel) {
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(), [&](const Request& request) {
        const Waiter& first = request.waiters.front();
        return first.peer == from.id && first.seq == cancel.seq &&
               request.waiters.size() == 1;
      });
  if (queued == queue_.end()) {
    return;
  }
  const Request request = std::move(*queued);
  queue_.erase(queued);
  Refuse(request.waiters.front(), request.dispatch, ErrorKind::kDeadline,
         "withdrawn by the entry");
}

void EndpointGuard::OnTombstone(Time now,
                                const Sender& from,
                                const TombstoneRequest& request,
                                std::uint64_t own_incarnation) {
  const Waiter waiter{from.id, request.seq, true};
  EndpointAnswer answer;
  if (request.agent_incarnation != own_incarnation) {
    answer.outcome = RequestOutcome::kUnknown;
    Tell(waiter, answer);
    return;
  }
  const AttemptKey key{request.claim_key, request.attempt};
  const auto settled = settled_.find(key);
  if (settled != settled_.end()) {
    if (settled->second.is_tombstone) {
      answer.outcome = RequestOutcome::kNotRun;
      Tell(waiter, answer);
    } else {
      Tell(waiter, settled->second.answer);
    }
    return;
  }
  if (Request* running = FindRunning(key)) {
    running->waiters.push_back(waiter);
    return;
  }
  const auto queued = FindQueued(key);
  if (queued != queue_.end()) {
    const Request withdrawn = std::move(*queued);
    queue_.erase(queued);
    for (const Waiter& other : withdrawn.waiters) {
      Refuse(other, withdrawn.dispatch, ErrorKind::kStale,
             "attempt was withdrawn");
    }
  }
  out_.events.push_back(Event(EventId::kTombstoneGranted)
                            .With("claim", request.claim_key)
                            .With("attempt", request.attempt)
                            .With("entry", from.id));
  Settled tombstone;
  tombstone.is_tombstone = true;
  Settle(now, key, std::move(tombstone));
  answer.outcome = RequestOutcome::kNotRun;
  Tell(waiter, answer);
}

void EndpointGuard::Settle(Time now, const AttemptKey& key, Settled settled) {
  settled.expires_at = now + kSettledRetention;
  settled_order_.emplace_back(settled.expires_at, key);
  settled_[key] = std::move(settled);
  while (settled_order_.size() > kMaxSettled ||
         (!settled_order_.empty() && settled_order_.front().first <= now)) {
    settled_.erase(settled_order_.front().second);
    settled_order_.pop_front();
  }
}

void EndpointGuard::Tick(Time now) {
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->deadline > now) {
      ++it;
      continue;
    }
    const Request expired = std::move(*it);
    it = queue_.erase(it);
    for (const Waiter& waiter : expired.waiters) {
      Refuse(waiter, expired.dispatch, ErrorKind::kDeadline,
             "deadline passed in the queue");
    }
  }
  Pump(now);
}

}  // namespace banyan
