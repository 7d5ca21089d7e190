#include "banyan/graph/worker_agent.h"

#include <algorithm>
#include <utility>

#include "banyan/graph/run_event.h"

namespace banyan {
namespace {

// How often a worker's state is reported while nothing happens.
constexpr Span kSyncInterval = Millis(500);
// How long a list waits for an end, while something runs and else.
constexpr std::int64_t kBusyWaitMs = 500;
constexpr std::int64_t kIdleWaitMs = 1000;
// How long ends may wait for the log before the lease is renewed without them.
constexpr Span kNoteWait = Millis(250);
// When a list that failed is asked for again.
constexpr Span kHoldRetry = Millis(200);
// When a start or stop without an answer is repeated.
constexpr Span kOrderRetry = Millis(50);
// Calls of one start that may stay without an answer before it is given up.
constexpr int kMaxUnanswered = 3;
// How long a start waits for a lease.
constexpr Span kLeaseWait = Millis(1500);
// A start whose lease ends sooner is not worth the call.
constexpr Span kLeastLease = Millis(100);
// How long a refusal is repeated; several times the way to the log.
constexpr Span kRefusalMemory = Millis(3000);
// Syncs whose sending time is remembered.
constexpr std::size_t kMaxSent = 64;

// Returns what a call came to, as logs show it.
const char* OutcomeOf(const RunCallReply& reply) noexcept {
  return reply.answered ? ToString(reply.refusal) : "no-answer";
}

}  // namespace

void WorkerAgent::OnReport(Time now, const WorkerReport& report) {
  const WorkerLife& life = report.info.life;
  if (info_) {
    const bool is_same = info_->life == life;
    const bool is_older = !is_same && life.born < info_->life.born;
    if (is_older || (is_same && report.sequence <= sequence_)) {
      return;
    }
    if (!is_same) {
      *this = WorkerAgent(std::move(*this).Successor());
    }
  }
  const bool was_draining = info_ && info_->draining;
  const bool is_new = !info_;
  info_ = report.info;
  sequence_ = report.sequence;
  is_gone_ = false;
  if (is_new && report.clock_ms) {
    clock_ = ClockSample{*report.clock_ms, now};
  }
  if (is_new || was_draining != report.info.draining) {
    SendSync(now);
  }
  CallHold(now);
}

WorkerAgent WorkerAgent::Successor() && {
  WorkerAgent next;
  next.fencing_token_ = fencing_token_;
  next.next_seq_ = next_seq_;
  next.out_ = std::move(out_);
  return next;
}

void WorkerAgent::OnLeave(Time now, const std::string& worker) {
  if (!info_ || info_->life.id != worker) {
    return;
  }
  is_gone_ = true;
  SendSync(now);
}

std::optional<std::int64_t> WorkerAgent::LeaseOnWorkerClock() const {
  if (!clock_ || lease_deadline_ <= clock_->at) {
    return std::nullopt;
  }
  return clock_->worker_ms + ToMillis(lease_deadline_ - clock_->at);
}

RunCall WorkerAgent::CallFor(RunCallOp op, const RunRef& run) const {
  RunCall call;
  call.op = op;
  call.life = info_->life;
  call.run = run;
  call.fencing_token = fencing_token_;
  call.noted = noted_;
  call.lease_until_ms = LeaseOnWorkerClock();
  return call;
}

bool WorkerAgent::IsListed(const RunRef& run) const {
  return running_.contains(run) ||
         std::any_of(ended_.begin(), ended_.end(),
                     [&](const auto& item) { return item.second.run == run; });
}

bool WorkerAgent::OnOrders(Time now, const WorkerOrders& orders) {
  const bool is_answer = orders.seq != 0;
  if (orders.fencing_token < fencing_token_) {
    return false;
  }
  fencing_token_ = orders.fencing_token;
  if (!info_ || orders.worker != info_->life) {
    return is_answer;
  }
  if (is_answer && orders.lease_ms > 0) {
    for (const auto& [seq, at] : sent_) {
      if (seq == orders.seq) {
        lease_deadline_ =
            std::max(lease_deadline_, at + Millis(orders.lease_ms));
      }
    }
  }
  while (!sent_.empty() && sent_.front().first <= orders.seq) {
    sent_.pop_front();
  }
  if (orders.noted > noted_) {
    noted_ = orders.noted;
    ended_.erase(ended_.begin(), ended_.upper_bound(noted_));
    next_hold_ = now;
  }
  for (const RunStart& start : orders.starts) {
    if (starting_.contains(start.run) || started_.contains(start.run) ||
        stopping_.contains(start.run) || refused_.contains(start.run) ||
        IsListed(start.run)) {
      continue;
    }
    if (info_->draining) {
      Bar(now, start.run, "draining");
      continue;
    }
    starting_[start.run] = Starting{start, now, now, false, 0};
  }
  for (const RunRef& run : orders.stops) {
    if (!stopping_.contains(run)) {
      BeginStop(now, run);
    }
  }
  for (const RunPace& pace : orders.paces) {
    RunCall call = CallFor(RunCallOp::kPace, pace.run);
    call.percent = pace.percent;
    out_.calls.push_back(std::move(call));
  }
  CallStarts(now);
  CallStops(now);
  CallHold(now);
  return is_answer;
}

void WorkerAgent::BeginStop(Time now, const RunRef& run) {
  starting_.erase(run);
  stopping_[run] = Stopping{now, false, std::nullopt};
}

void WorkerAgent::Bar(Time now, const RunRef& run, const char* why) {
  BeginStop(now, run);
  out_.events.push_back(RunEvent(EventId::kRunOrdered, run, info_->life.id)
                            .With("outcome", "barred")
                            .With("reason", why));
}

void WorkerAgent::Refuse(Time now, const RunRef& run) {
  refused_[run] = now + kRefusalMemory;
  out_.events.push_back(
      RunEvent(EventId::kRunRefused, run, info_->life.id)
          .With("occurrence", run.task.occurrence)
          .With("token", fencing_token_)
          .With("reason", "it was not there when it was stopped"));
  next_sync_ = now;
}

void WorkerAgent::CallStarts(Time now) {
  std::vector<RunRef> expired;
  for (auto& [run, starting] : starting_) {
    if (starting.is_in_flight || starting.retry_at > now) {
      continue;
    }
    const bool has_lease =
        lease_deadline_ > now + kLeastLease && LeaseOnWorkerClock();
    if (!has_lease) {
      if (starting.ordered_at + kLeaseWait < now) {
        expired.push_back(run);
      }
      continue;
    }
    RunCall call = CallFor(RunCallOp::kStart, run);
    call.payload = starting.start.payload;
    call.checkpoint = starting.start.checkpoint;
    starting.is_in_flight = true;
    out_.calls.push_back(std::move(call));
  }
  for (const RunRef& run : expired) {
    Bar(now, run, "no lease");
  }
}

void WorkerAgent::CallStops(Time now) {
  for (auto& [run, stopping] : stopping_) {
    if (!stopping.is_in_flight && !stopping.confirmed_at &&
        stopping.retry_at <= now) {
      stopping.is_in_flight = true;
      out_.calls.push_back(CallFor(RunCallOp::kStop, run));
    }
  }
}

void WorkerAgent::CallHold(Time now) {
  if (!info_ || is_gone_ || is_holding_ || next_hold_ > now) {
    return;
  }
  RunCall call = CallFor(RunCallOp::kHold, RunRef{});
  const bool waits_for_log = !ended_.empty();
  if (!waits_for_log && is_reachable_) {
    call.wait_ms =
        running_.empty() && starting_.empty() ? kIdleWaitMs : kBusyWaitMs;
  }
  // A stop that was just confirmed, or a start, shows in the next list.
  for (const auto& [run, stopping] : stopping_) {
    if (stopping.confirmed_at) {
      call.wait_ms = 0;
    }
  }
  is_holding_ = true;
  out_.calls.push_back(std::move(call));
}

void WorkerAgent::OnReply(Time now, const RunCallReply& reply) {
  if (!info_ || reply.life != info_->life) {
    return;
  }
  if (reply.answered && reply.clock_ms &&
      (!clock_ || reply.received >= clock_->at)) {
    clock_ = ClockSample{*reply.clock_ms, reply.received};
  }
  switch (reply.op) {
    case RunCallOp::kHold:
      OnHold(now, reply);
      break;
    case RunCallOp::kStart:
      OnStarted(now, reply);
      break;
    case RunCallOp::kStop:
      OnStopped(now, reply);
      break;
    case RunCallOp::kPace:
      break;
  }
  CallStarts(now);
  CallStops(now);
  CallHold(now);
}

void WorkerAgent::SetReachable(Time now,
                               bool reachable,
                               const std::string& why) {
  if (is_reachable_ == reachable) {
    return;
  }
  is_reachable_ = reachable;
  out_.events.push_back(
      Event(reachable ? EventId::kWorkerHeard : EventId::kWorkerLost)
          .With("worker", info_->life.id)
          .With("born", info_->life.born)
          .With("reason", why));
  SendSync(now);
}

void WorkerAgent::OnHold(Time now, const RunCallReply& reply) {
  is_holding_ = false;
  if (!reply.answered || reply.refusal != RunRefusal::kNone) {
    next_hold_ = now + kHoldRetry;
    SetReachable(now, false,
                 reply.answered ? ToString(reply.refusal) : reply.text);
    return;
  }
  ++lists_;
  running_.clear();
  for (const RunningRow& row : reply.running) {
    running_.emplace(row.run, row);
  }
  bool has_new_end = false;
  for (const EndedRow& row : reply.ended) {
    if (row.number > noted_ && ended_.emplace(row.number, row).second) {
      has_new_end = true;
    }
  }
  std::erase_if(started_,
                [&](const auto& item) { return item.second <= reply.sent; });
  // The end of a run may come before the answer to its stop.
  for (const EndedRow& row : reply.ended) {
    stopping_.erase(row.run);
  }
  std::vector<RunRef> absent;
  std::erase_if(stopping_, [&](const auto& item) {
    const std::optional<Time>& at = item.second.confirmed_at;
    if (!at || *at > reply.sent || running_.contains(item.first)) {
      return false;
    }
    if (!IsListed(item.first)) {
      absent.push_back(item.first);
    }
    return true;
  });
  for (const RunRef& run : absent) {
    Refuse(now, run);
  }
  SetReachable(now, true, "it answered");
  next_hold_ = ended_.empty() ? now : now + kNoteWait;
  if (has_new_end) {
    SendSync(now);
  }
}

void WorkerAgent::OnStarted(Time now, const RunCallReply& reply) {
  const auto found = starting_.find(reply.run);
  const bool is_ok = reply.answered && reply.refusal == RunRefusal::kNone;
  if (!is_ok) {
    out_.events.push_back(
        RunEvent(EventId::kRunOrdered, reply.run, reply.life.id)
            .With("outcome", OutcomeOf(reply))
            .With("reason", reply.text));
  }
  if (found == starting_.end()) {
    return;
  }
  Starting& starting = found->second;
  starting.is_in_flight = false;
  if (is_ok) {
    started_[reply.run] = reply.received;
    if (starting.start.percent < kFullPercent) {
      RunCall call = CallFor(RunCallOp::kPace, reply.run);
      call.percent = starting.start.percent;
      out_.calls.push_back(std::move(call));
    }
    starting_.erase(found);
    return;
  }
  if (!reply.answered) {
    ++starting.unanswered;
    starting.retry_at = now + kOrderRetry;
    if (starting.unanswered >= kMaxUnanswered) {
      Bar(now, reply.run, "no answer to its start");
    }
    return;
  }
  if (IsListed(reply.run)) {
    starting_.erase(found);
    return;
  }
  Bar(now, reply.run, ToString(reply.refusal));
}

void WorkerAgent::OnStopped(Time now, const RunCallReply& reply) {
  const auto found = stopping_.find(reply.run);
  if (found == stopping_.end()) {
    return;
  }
  found->second.is_in_flight = false;
  out_.events.push_back(RunEvent(EventId::kRunStopped, reply.run, reply.life.id)
                            .With("outcome", OutcomeOf(reply)));
  if (reply.answered && (reply.refusal == RunRefusal::kNone ||
                         reply.refusal == RunRefusal::kOld)) {
    found->second.confirmed_at = reply.received;
    next_hold_ = now;
  } else {
    found->second.retry_at = now + kOrderRetry;
  }
}

void WorkerAgent::SendSync(Time now) {
  if (!info_) {
    return;
  }
  next_sync_ = now + kSyncInterval;
  WorkerSync sync;
  sync.seq = next_seq_++;
  sync.info = *info_;
  sync.reachable = is_reachable_;
  sync.gone = is_gone_;
  sync.lists = lists_;
  for (const auto& [run, row] : running_) {
    sync.running.push_back(row);
  }
  for (const auto& [number, row] : ended_) {
    sync.ended.push_back(row);
  }
  for (const auto& [run, until] : refused_) {
    sync.ended.push_back({0, run, RunEnding::kRefused, ""});
  }
  for (const auto& [run, starting] : starting_) {
    sync.starting.push_back(run);
  }
  for (const auto& [run, at] : started_) {
    sync.starting.push_back(run);
  }
  for (const auto& [run, stopping] : stopping_) {
    if (!running_.contains(run)) {
      sync.starting.push_back(run);
    }
  }
  sent_.emplace_back(sync.seq, now);
  if (sent_.size() > kMaxSent) {
    sent_.pop_front();
  }
  out_.to_control.emplace_back(std::move(sync));
}

void WorkerAgent::Tick(Time now) {
  std::erase_if(refused_, [&](const auto& item) { return item.second <= now; });
  if (!info_) {
    return;
  }
  CallStarts(now);
  CallStops(now);
  CallHold(now);
  if (next_sync_ <= now) {
    SendSync(now);
  }
}

}  // namespace banyan
