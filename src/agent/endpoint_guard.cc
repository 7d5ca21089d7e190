#include "banyan/agent/endpoint_guard.h"

#include <algorithm>

namespace banyan {
namespace {

// Retention of the tombstone or the reply of a claimed attempt.
constexpr Duration kAttemptRecordRetention = std::chrono::minutes(10);
// Maximum number of tombstones and replies kept.
constexpr std::size_t kMaxAttemptRecords = 20000;
// Each latency sample has a weight of 1 / kLatencyEwmaDivisor in the average.
constexpr int kLatencyEwmaDivisor = 8;

}  // namespace

void EndpointGuard::Refuse(const Waiter& waiter,
                           const Dispatch& dispatch,
                           ErrorKind error,
                           std::string_view reason) {
  out_.events.push_back(Event(EventId::kDispatchRefused)
                            .With("entry", waiter.peer)
                            .With("seq", waiter.seq)
                            .With("claim", dispatch.claim_key)
                            .With("attempt", dispatch.attempt)
                            .With("reason", reason));
  EndpointReply endpoint_reply;
  endpoint_reply.outcome = RequestOutcome::kNotRun;
  endpoint_reply.error = error;
  SendReply(waiter, endpoint_reply);
}

void EndpointGuard::SendReply(const Waiter& waiter,
                              const EndpointReply& endpoint_reply) {
  if (waiter.is_tombstone) {
    TombstoneReply reply;
    reply.seq = waiter.seq;
    reply.verdict = endpoint_reply.outcome == RequestOutcome::kRan
                        ? TombstoneVerdict::kFinished
                    : endpoint_reply.outcome == RequestOutcome::kNotRun
                        ? TombstoneVerdict::kGranted
                        : TombstoneVerdict::kUnknown;
    reply.status = endpoint_reply.status;
    reply.content_type = endpoint_reply.content_type;
    reply.body = endpoint_reply.body;
    out_.messages.push_back({waiter.peer, std::move(reply)});
    return;
  }
  DispatchReply reply;
  reply.seq = waiter.seq;
  reply.outcome = endpoint_reply.outcome;
  reply.error = endpoint_reply.error;
  reply.status = endpoint_reply.status;
  reply.content_type = endpoint_reply.content_type;
  reply.body = endpoint_reply.body;
  reply.in_flight = static_cast<std::int64_t>(running_.size());
  reply.queued = static_cast<std::int64_t>(queue_.size());
  reply.config_version = config_version_;
  out_.messages.push_back({waiter.peer, std::move(reply)});
}

Duration EndpointGuard::ExpectedWait() const noexcept {
  if (running_.size() < limits_.slots) {
    return Duration(0);
  }
  const auto batches =
      static_cast<std::int64_t>(queue_.size() / limits_.slots) + 1;
  return latency_ * batches;
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

bool EndpointGuard::HandleKnownAttempt(const Waiter& waiter,
                                       const Dispatch& dispatch) {
  if (dispatch.claim_key.empty()) {
    return false;
  }
  const AttemptKey key{dispatch.claim_key, dispatch.attempt};
  const auto record = attempt_records_.find(key);
  if (record != attempt_records_.end()) {
    if (record->second.is_tombstone) {
      Refuse(waiter, dispatch, ErrorKind::kStale, "attempt was withdrawn");
    } else {
      SendReply(waiter, record->second.endpoint_reply);
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

bool EndpointGuard::IsDuplicate(const Sender& from, const Dispatch& dispatch) {
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
                               AdmissionError admission_error) {
  if (IsDuplicate(from, dispatch)) {
    return;
  }
  const Waiter waiter{from.id, dispatch.seq, false};
  if (dispatch.agent_incarnation != own_incarnation) {
    Refuse(waiter, dispatch, ErrorKind::kStale,
           "meant for another incarnation");
    return;
  }
  if (HandleKnownAttempt(waiter, dispatch)) {
    return;
  }
  if (admission_error) {
    Refuse(waiter, dispatch, *admission_error,
           ResponseFor(*admission_error).name);
    return;
  }
  if (running_.size() + queue_.size() >= limits_.connections) {
    Refuse(waiter, dispatch, ErrorKind::kOverloaded, "all connections in use");
    return;
  }
  const Duration budget = Millis(dispatch.budget_ms);
  if (ExpectedWait() + latency_ > budget) {
    Refuse(waiter, dispatch, ErrorKind::kDeadline, "can't finish in time");
    return;
  }
  Request request;
  request.dispatch = dispatch;
  request.waiters.push_back(waiter);
  request.deadline = now + budget;
  queue_.push_back(std::move(request));
  StartQueued(now);
}

void EndpointGuard::StartQueued(Time now) {
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
  const std::uint64_t id = next_call_id_++;
  const Dispatch& dispatch = request.dispatch;
  request.started_at = now;
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

void EndpointGuard::OnReply(Time now, const EndpointReply& endpoint_reply) {
  const auto found = running_.find(endpoint_reply.id);
  if (found == running_.end()) {
    return;
  }
  const Request request = std::move(found->second);
  running_.erase(found);
  latency_ += (now - request.started_at - latency_) / kLatencyEwmaDivisor;
  const Dispatch& dispatch = request.dispatch;
  out_.events.push_back(Event(EventId::kDispatchEnded)
                            .With("call", endpoint_reply.id)
                            .With("claim", dispatch.claim_key)
                            .With("attempt", dispatch.attempt)
                            .With("outcome", ToString(endpoint_reply.outcome))
                            .With("status", endpoint_reply.status));
  if (!dispatch.claim_key.empty()) {
    AttemptRecord record;
    record.endpoint_reply = endpoint_reply;
    // The sender is told that the attempt did not run, so a late dispatch must
    // not run it either.
    record.is_tombstone = endpoint_reply.outcome == RequestOutcome::kNotRun;
    RecordAttempt(now, {dispatch.claim_key, dispatch.attempt},
                  std::move(record));
  }
  for (const Waiter& waiter : request.waiters) {
    SendReply(waiter, endpoint_reply);
  }
  StartQueued(now);
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
  EndpointReply endpoint_reply;
  if (request.agent_incarnation != own_incarnation) {
    endpoint_reply.outcome = RequestOutcome::kUnknown;
    SendReply(waiter, endpoint_reply);
    return;
  }
  const AttemptKey key{request.claim_key, request.attempt};
  const auto record = attempt_records_.find(key);
  if (record != attempt_records_.end()) {
    if (record->second.is_tombstone) {
      endpoint_reply.outcome = RequestOutcome::kNotRun;
      SendReply(waiter, endpoint_reply);
    } else {
      SendReply(waiter, record->second.endpoint_reply);
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
  if (forgotten_attempts_.MayContain(request.claim_key, request.attempt)) {
    endpoint_reply.outcome = RequestOutcome::kUnknown;
    SendReply(waiter, endpoint_reply);
    return;
  }
  out_.events.push_back(Event(EventId::kTombstoneGranted)
                            .With("claim", request.claim_key)
                            .With("attempt", request.attempt)
                            .With("entry", from.id));
  AttemptRecord tombstone;
  tombstone.is_tombstone = true;
  RecordAttempt(now, key, std::move(tombstone));
  endpoint_reply.outcome = RequestOutcome::kNotRun;
  SendReply(waiter, endpoint_reply);
}

void EndpointGuard::RecordAttempt(Time now,
                                  const AttemptKey& key,
                                  AttemptRecord record) {
  record.expires_at = now + kAttemptRecordRetention;
  attempt_expiry_order_.emplace_back(record.expires_at, key);
  attempt_records_[key] = std::move(record);
  while (attempt_expiry_order_.size() > kMaxAttemptRecords ||
         (!attempt_expiry_order_.empty() &&
          attempt_expiry_order_.front().first <= now)) {
    const AttemptKey& oldest = attempt_expiry_order_.front().second;
    if (attempt_records_.erase(oldest) > 0) {
      forgotten_attempts_.Add(now, oldest.first, oldest.second);
    }
    attempt_expiry_order_.pop_front();
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
  StartQueued(now);
}

}  // namespace banyan
