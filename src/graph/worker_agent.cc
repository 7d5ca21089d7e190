#include "banyan/graph/worker_agent.h"

#include <algorithm>
#include <set>
#include <utility>

#include "banyan/graph/call_event.h"
#include "banyan/graph/run_event.h"
#include "banyan/graph/unknown_leases.h"

namespace banyan {
namespace {

// Interval between syncs while the state does not change.
constexpr Duration kSyncInterval = Millis(500);
// How long a list call waits for a run to end while runs are active.
constexpr std::int64_t kBusyListWaitMs = 500;
// How long a list call waits while the worker is idle.
constexpr std::int64_t kIdleListWaitMs = 1000;
// How long to wait for ended runs to be committed before the next list call,
// which renews the lease without acknowledging them.
constexpr Duration kEndCommitWait = Millis(250);
// Delay before a failed list call is retried.
constexpr Duration kListRetryDelay = Millis(200);
// Interval between the list calls that find out whether a worker that announced
// its shutdown is gone.
constexpr Duration kLeaveProbeInterval = Millis(100);
// Number of such calls in a row without an answer after which it is gone.
constexpr int kMaxUnansweredLists = 3;
// Delay before an unanswered start or stop is retried.
constexpr Duration kOrderRetryDelay = Millis(50);
// How long after its sending a call, also one of the worker to its agent, may
// arrive or be carried out, as the platform specifies it.
constexpr Duration kMaxCallDelay = std::chrono::seconds(12);
// Unanswered calls after which a start is abandoned.
constexpr int kMaxUnansweredStarts = 3;
// How long a start waits for the agent to hold a lease and the worker to
// answer.
constexpr Duration kLeaseWaitTimeout = Millis(1500);
// Minimum remaining lease for sending a start.
constexpr Duration kMinRemainingLease = Millis(100);
// Time after the answer to its start after which a trial run counts as
// survived; a crash would have broken off the list call that waits for an end.
constexpr Duration kTrialTime = Millis(75);
// How long a refusal is reported; several times the latency of a log commit.
constexpr Duration kRefusalRepeatPeriod = Millis(3000);
// Largest gap between the sequence numbers of successive reports: a day without
// a report, at ten reports a second.
constexpr std::int64_t kMaxSequenceGap = 1'000'000;
// Largest gap between the number of an end and that of the last one before it:
// workers number ends one by one and list kMaxListedEnds at a time.
constexpr std::int64_t kMaxEndNumberGap = 20 * kMaxListedEnds;
// How long a list with rows that can't be read does not show that a stopped run
// is gone. The platform bounds a stop by up to 900 ms, by deployment.
constexpr Duration kMaxStopTime = Millis(1000);
// Interval between events about rows that can't be read.
constexpr Duration kRefusedRowsLogInterval = std::chrono::seconds(10);
// Maximum number of unanswered syncs whose send times are kept.
constexpr std::size_t kMaxTrackedSyncs = 64;

// Returns the name of a call's outcome as written to the event log.
const char* OutcomeName(const RunCallReply& reply) noexcept {
  return reply.answered ? ToString(reply.refusal) : "no-answer";
}

}  // namespace

void WorkerAgent::OnReport(Time now, const WorkerReport& report) {
  if (info_ && info_->life != report.info.life) {
    if (std::find(denied_incarnations_.begin(), denied_incarnations_.end(),
                  report.info.life) != denied_incarnations_.end()) {
      out_.events.push_back(
          Event(EventId::kSuccessorRefuted)
              .With("worker", report.info.life.id)
              .With("born", report.info.life.started_at_ms)
              .With("current", info_->life.id)
              .With("current_born", info_->life.started_at_ms)
              .With("reason", "the worker has denied to be it"));
      return;
    }
    HoldSuccessor(now, report);
    if (!TryReplace(now)) {
      AskWorker(now);
    }
    return;
  }
  // Once this incarnation has left, the leader has placed its runs elsewhere.
  if (info_ && (!IsLater(now, report) || has_left_)) {
    return;
  }
  Follow(now, report);
}

void WorkerAgent::Follow(Time now, const WorkerReport& report) {
  const bool was_draining = info_ && info_->draining;
  const bool is_new = !info_;
  const bool has_shrunk = info_ && !Fits(info_->capacity, report.info.capacity);
  const bool has_changed = is_new || was_draining != report.info.draining ||
                           info_->capacity != report.info.capacity;
  if (is_new) {
    unknown_lease_end_ = now + OnSlowClock(max_lease_);
  }
  info_ = report.info;
  report_sequence_ = report.sequence;
  reported_at_ = now;
  // A worker that answers and reports after its announcement is still active.
  if (departure_ && departure_->has_answered) {
    departure_.reset();
  }
  if (is_new && report.clock_ms) {
    clock_ = ClockSample{*report.clock_ms, now};
  }
  if (has_shrunk) {
    FencePendingStarts(now, "the capacity has shrunk");
  }
  if (report.info.draining && !was_draining) {
    FencePendingStarts(now, "the worker drains");
  }
  if (has_changed) {
    SendSync(now);
  }
  SendStops(now);
  RequestRunList(now);
}

bool WorkerAgent::IsLater(Time now, const WorkerReport& report) {
  const bool has_gap = report.sequence > report_sequence_ &&
                       report.sequence - report_sequence_ > kMaxSequenceGap;
  if (report.sequence > report_sequence_ && !has_gap) {
    return true;
  }
  // Reports that were sent before the last one have arrived by then.
  const bool is_overdue = now > reported_at_ + kMaxCallDelay;
  if (is_overdue || has_gap) {
    out_.events.push_back(Event(is_overdue ? EventId::kWorkerReinstated
                                           : EventId::kPeerMessageRefused)
                              .With("worker", report.info.life.id)
                              .With("born", report.info.life.started_at_ms)
                              .With("sequence", report.sequence)
                              .With("last", report_sequence_)
                              .With("reason",
                                    "the sequence number is not "
                                    "the next"));
  }
  return is_overdue;
}

void WorkerAgent::LogCrash(const RunCrash& crash) {
  const std::optional<Duration> age = crash_observer_.AgeOf(crash.run);
  out_.events.push_back(
      RunEvent(EventId::kRunCrashObserved, crash.run, info_->life.id)
          .With("occurrence", crash.run.task.occurrence)
          .With("evidence", ToString(crash.evidence))
          .With("age_ms", age ? ToMillis(*age) : -1));
}

void WorkerAgent::OnLeave(Time now, const std::string& worker) {
  if (!info_ || info_->life.id != worker || departure_) {
    return;
  }
  departure_ = Departure{now};
  out_.events.push_back(
      Event(EventId::kWorkerLeaving)
          .With("worker", worker)
          .With("born", info_->life.started_at_ms)
          .With("running", running_.size())
          .With("ended", ended_.size())
          .With("committed", last_committed_end_)
          .With("lists", list_count_)
          .With("list_in_flight", is_list_in_flight_ ? 1 : 0));
  next_list_at_ = now;
  RequestRunList(now);
}

std::optional<std::int64_t> WorkerAgent::LeaseOnWorkerClock() const {
  if (!clock_ || lease_deadline_ <= clock_->at) {
    return std::nullopt;
  }
  return clock_->worker_ms + ToMillis(lease_deadline_ - clock_->at);
}

RunCall WorkerAgent::MakeCall(RunCallOp op, const RunRef& run) const {
  RunCall call;
  call.op = op;
  call.incarnation = info_->life;
  call.run = run;
  call.fencing_token = fence_.token();
  call.lease_until_ms = LeaseOnWorkerClock();
  call.lease_deadline = lease_deadline_;
  return call;
}

bool WorkerAgent::IsListed(const RunRef& run) const {
  return running_.contains(run) ||
         std::any_of(ended_.begin(), ended_.end(),
                     [&](const auto& item) { return item.second.run == run; });
}

bool WorkerAgent::OnOrders(Time now, const WorkerOrders& orders) {
  const bool is_answer = orders.seq != 0;
  const bool is_addressed = info_ && orders.worker == info_->life;
  if (!fence_.OnOrders(orders, is_addressed)) {
    return false;
  }
  if (!is_addressed) {
    return is_answer;
  }
  if (is_answer) {
    // The leader has processed what was sent before the answered sync, and has
    // admitted this incarnation.
    final_syncs_.clear();
    is_admitted_ = true;
    awaits_admission_ = false;
    must_fence_ = false;
    is_unfenced_ = false;
  } else if (orders.must_fence && fence_.answered() < fence_.token()) {
    must_fence_ = true;
    next_list_at_ = now;
  }
  if (is_answer && orders.lease_ms > 0) {
    for (const auto& [seq, at] : sent_syncs_) {
      if (seq == orders.seq) {
        lease_deadline_ =
            std::max(lease_deadline_, at + Millis(orders.lease_ms));
      }
    }
  }
  while (!sent_syncs_.empty() && sent_syncs_.front().first <= orders.seq) {
    sent_syncs_.pop_front();
  }
  if (orders.noted > last_committed_end_) {
    last_committed_end_ = orders.noted;
    ended_.erase(ended_.begin(), ended_.upper_bound(last_committed_end_));
    next_list_at_ = now;
  }
  for (const RunStart& start : orders.starts) {
    if (pending_starts_.contains(start.run) ||
        confirmed_starts_.contains(start.run) ||
        pending_stops_.contains(start.run) || refusals_.contains(start.run) ||
        IsListed(start.run)) {
      continue;
    }
    if (info_->draining) {
      FenceRun(now, start.run, "draining");
      continue;
    }
    pending_starts_[start.run] =
        PendingStart{start, now, now, false, 0, std::nullopt};
  }
  for (const RunRef& run : orders.stops) {
    if (!pending_stops_.contains(run)) {
      BeginStop(now, run);
    }
  }
  for (const RunThrottle& throttle : orders.paces) {
    RunCall call = MakeCall(RunCallOp::kThrottle, throttle.run);
    call.percent = throttle.percent;
    SendOrder(std::move(call));
  }
  SendStops(now);
  SendStarts(now);
  RequestRunList(now);
  return is_answer;
}

void WorkerAgent::BeginStop(Time now, const RunRef& run) {
  pending_starts_.erase(run);
  pending_stops_[run] = PendingStop{now, false, std::nullopt};
}

void WorkerAgent::FenceRun(Time now, const RunRef& run, const char* why) {
  BeginStop(now, run);
  out_.events.push_back(RunEvent(EventId::kRunOrdered, run, info_->life.id)
                            .With("outcome", "barred")
                            .With("reason", why));
}

void WorkerAgent::OnFenced(Time now, const RunCallReply& reply) {
  is_unfenced_ = false;
  awaits_admission_ = !is_admitted_;
  unknown_lease_end_ = reply.received_at + OnSlowClock(max_lease_);
  for (const RunStatus& row : reply.running) {
    if (!pending_stops_.contains(row.run)) {
      FenceRun(now, row.run, "started by a call to an earlier incarnation");
    }
    must_settle_stops_ = true;
  }
  out_.events.push_back(Event(EventId::kWorkerFenced)
                            .With("worker", info_->life.id)
                            .With("born", info_->life.started_at_ms)
                            .With("token", fence_.answered())
                            .With("running", reply.running.size()));
}

void WorkerAgent::FencePendingStarts(Time now, const char* why) {
  std::vector<RunRef> runs;
  for (const auto& [run, pending_start] : pending_starts_) {
    runs.push_back(run);
  }
  for (const RunRef& run : runs) {
    FenceRun(now, run, why);
  }
}

void WorkerAgent::ReportRefusal(Time now, const RunRef& run) {
  crash_observer_.OnFenced(run);
  refusals_[run] = now + kRefusalRepeatPeriod;
  out_.events.push_back(
      RunEvent(EventId::kRunRefused, run, info_->life.id)
          .With("occurrence", run.task.occurrence)
          .With("token", fence_.token())
          .With("reason", "it was not there when it was stopped"));
  next_sync_at_ = now;
}

void WorkerAgent::SendOrder(RunCall call) {
  ++orders_in_flight_;
  out_.calls.push_back(std::move(call));
}

std::vector<RunRef> WorkerAgent::DueStarts(Time now) {
  std::vector<RunRef> due;
  std::vector<RunRef> expired;
  for (auto& [run, pending_start] : pending_starts_) {
    if (pending_start.is_in_flight || pending_start.retry_at > now) {
      continue;
    }
    const bool has_lease =
        lease_deadline_ > now + kMinRemainingLease && LeaseOnWorkerClock();
    // The worker may have ended since the call; calls name it by its id alone,
    // so its next incarnation would carry out the start again.
    const bool is_silent = pending_start.unanswered_since &&
                           listed_at_ <= *pending_start.unanswered_since;
    if (!has_lease || is_silent) {
      if (pending_start.ordered_at + kLeaseWaitTimeout < now) {
        expired.push_back(run);
      }
      continue;
    }
    due.push_back(run);
  }
  for (const RunRef& run : expired) {
    FenceRun(now, run, "no lease or no answer");
  }
  std::stable_sort(due.begin(), due.end(),
                   [&](const RunRef& a, const RunRef& b) {
                     return pending_starts_.at(a).ordered_at <
                            pending_starts_.at(b).ordered_at;
                   });
  return due;
}

void WorkerAgent::SendStarts(Time now) {
  // A start to an incarnation that may have ended could reach the next one.
  if (has_left_ || successor_) {
    return;
  }
  for (const RunRef& run : DueStarts(now)) {
    if (orders_in_flight_ >= kMaxParallelOrders) {
      return;
    }
    PendingStart& pending_start = pending_starts_.at(run);
    RunCall call = MakeCall(RunCallOp::kStart, run);
    call.payload = pending_start.start.payload;
    call.checkpoint = pending_start.start.checkpoint;
    pending_start.is_in_flight = true;
    SendOrder(std::move(call));
  }
}

void WorkerAgent::SendStops(Time now) {
  for (auto& [run, pending_stop] : pending_stops_) {
    if (orders_in_flight_ >= kMaxParallelOrders) {
      return;
    }
    if (!pending_stop.is_in_flight && !pending_stop.confirmed_at &&
        pending_stop.retry_at <= now) {
      pending_stop.is_in_flight = true;
      SendOrder(MakeCall(RunCallOp::kStop, run));
    }
  }
}

void WorkerAgent::RequestRunList(Time now) {
  if (!info_ || has_left_ || is_list_in_flight_ || next_list_at_ > now ||
      AwaitsCommit()) {
    return;
  }
  RunCall call = MakeCall(RunCallOp::kListRuns, RunRef{});
  // The worker may have been replaced by its next incarnation.
  if (!is_reachable_) {
    call.lease_until_ms.reset();
  } else if (acknowledged_end_ < last_committed_end_) {
    call.last_committed_end = last_committed_end_;
  }
  const bool is_waiting_for_log = !ended_.empty();
  if (!is_waiting_for_log && is_reachable_ && !departure_) {
    call.wait_ms = running_.empty() && pending_starts_.empty()
                       ? kIdleListWaitMs
                       : kBusyListWaitMs;
  }
  if (must_settle_stops_ || !is_admitted_) {
    call.wait_ms = 0;
  }
  // The next list settles a confirmed stop, so it must not be delayed.
  for (const auto& [run, pending_stop] : pending_stops_) {
    if (pending_stop.confirmed_at) {
      call.wait_ms = 0;
    }
  }
  is_list_in_flight_ = true;
  out_.calls.push_back(std::move(call));
}

void WorkerAgent::OnReply(Time now, const RunCallReply& reply) {
  if (std::optional<Event> event = UnconfirmedCallEvent(reply)) {
    out_.events.push_back(*std::move(event));
  }
  if (reply.op != RunCallOp::kListRuns) {
    orders_in_flight_ = std::max(0, orders_in_flight_ - 1);
  }
  if (!info_ || reply.incarnation != info_->life) {
    return;
  }
  if (reply.answered && reply.clock_ms &&
      reply.refusal != RunRefusal::kOtherIncarnation &&
      (!clock_ || reply.received_at >= clock_->at)) {
    clock_ = ClockSample{*reply.clock_ms, reply.received_at};
  }
  CheckIdentity(now, reply);
  if (reply.incarnation != info_->life) {
    return;
  }
  switch (reply.op) {
    case RunCallOp::kListRuns:
      OnRunList(now, reply);
      break;
    case RunCallOp::kStart:
      OnStarted(now, reply);
      break;
    case RunCallOp::kStop:
      OnStopped(now, reply);
      break;
    case RunCallOp::kThrottle:
    case RunCallOp::kIdentify:
      break;
  }
  SendStops(now);
  SendStarts(now);
  RequestRunList(now);
}

bool WorkerAgent::SetReachable(Time now,
                               bool reachable,
                               const std::string& why) {
  if (is_reachable_ == reachable) {
    return false;
  }
  is_reachable_ = reachable;
  out_.events.push_back(
      Event(reachable ? EventId::kWorkerHeard : EventId::kWorkerLost)
          .With("worker", info_->life.id)
          .With("born", info_->life.started_at_ms)
          .With("reason", why));
  SendSync(now);
  return true;
}

void WorkerAgent::OnListFailure(Time now, const RunCallReply& reply) {
  next_list_at_ = now + (departure_ ? kLeaveProbeInterval : kListRetryDelay);
  const bool was_reachable = is_reachable_;
  if (was_reachable) {
    crash_observer_.OnContactLost(reply.received_at, reply.failure);
  }
  if (departure_ && reply.sent_at >= departure_->announced_at) {
    const bool is_replaced = reply.refusal == RunRefusal::kOtherIncarnation;
    departure_->unanswered_lists += reply.answered ? 0 : 1;
    has_left_ =
        is_replaced || departure_->unanswered_lists >= kMaxUnansweredLists;
  }
  SetReachable(now, false,
               reply.answered ? ToString(reply.refusal) : reply.text);
  if (has_left_ && !was_reachable) {
    SendSync(now);
  }
}

std::int64_t WorkerAgent::MaxEndNumber(const RunCallReply& reply) const {
  if (last_committed_end_ == 0 && ended_.empty()) {
    // The leader may not have told the last number yet. A worker ends less than
    // one run per millisecond of its life.
    return std::max(kMaxEndNumberGap, reply.clock_ms.value_or(0));
  }
  const std::int64_t last = ended_.empty() ? 0 : ended_.rbegin()->first;
  return std::max(last, last_committed_end_) + kMaxEndNumberGap;
}

void WorkerAgent::LogRefusedRows(Time now,
                                 std::size_t rows,
                                 const std::string& reason) {
  if (rows == 0 || now < next_rows_event_at_) {
    return;
  }
  next_rows_event_at_ = now + kRefusedRowsLogInterval;
  out_.events.push_back(Event(EventId::kRunRowsRefused)
                            .With("worker", info_->life.id)
                            .With("born", info_->life.started_at_ms)
                            .With("rows", rows)
                            .With("reason", reason));
}

void WorkerAgent::OnRunList(Time now, const RunCallReply& reply) {
  is_list_in_flight_ = false;
  if (fence_.IsOvertaken(reply)) {
    next_list_at_ = now;
    return;
  }
  if (!reply.answered || reply.refusal != RunRefusal::kNone) {
    OnListFailure(now, reply);
    return;
  }
  if (!is_reachable_) {
    out_.events.push_back(ConfirmedLeaseEvent(reply));
  }
  ++list_count_;
  listed_at_ = now;
  acknowledged_end_ = std::max(acknowledged_end_, reply.last_committed_end);
  is_denied_ = false;
  crash_observer_.OnList(reply);
  running_.clear();
  for (const RunStatus& row : reply.running) {
    running_.emplace(row.run, row);
  }
  std::erase_if(trials_, [&](const auto& item) {
    return reply.sent_at >= item.second.ends_at;
  });
  bool has_new_end = false;
  std::set<RunRef> listed_ends;
  for (const EndedRun& row : reply.ended) {
    if (row.number > MaxEndNumber(reply)) {
      LogRefusedRows(now, 1, "the number of an end is too high");
      continue;
    }
    listed_ends.insert(row.run);
    if (row.number > last_committed_end_ &&
        ended_.emplace(row.number, row).second) {
      has_new_end = true;
    }
  }
  LogRefusedRows(now, reply.refused_rows, reply.refused_row_reason);
  std::erase_if(confirmed_starts_,
                [&](const auto& item) { return item.second <= reply.sent_at; });
  // The end of a run may be listed before the reply to its stop arrives.
  for (const RunRef& run : listed_ends) {
    pending_stops_.erase(run);
  }
  // A full list may leave out the end of a run.
  const bool is_full = reply.ended.size() >= kMaxListedEnds;
  std::vector<RunRef> absent;
  std::erase_if(pending_stops_, [&](const auto& item) {
    const std::optional<Time>& at = item.second.confirmed_at;
    if (is_full || !at || *at > reply.sent_at ||
        running_.contains(item.first) ||
        (reply.may_hide_run && *at + kMaxStopTime > reply.sent_at)) {
      return false;
    }
    if (!IsListed(item.first)) {
      absent.push_back(item.first);
    }
    return true;
  });
  for (const RunRef& run : absent) {
    ReportRefusal(now, run);
  }
  const bool is_newly_fenced =
      fence_.OnList(reply) && std::exchange(must_fence_, false);
  if (is_newly_fenced) {
    OnFenced(now, reply);
  }
  for (const auto& [number, row] : ended_) {
    if (awaits_admission_ && row.reason == RunEndReason::kDone) {
      inherited_end_ = number;
    }
  }
  const bool has_synced = SetReachable(now, true, "it answered");
  next_list_at_ = ended_.empty() ? now : now + kEndCommitWait;
  if (departure_) {
    next_list_at_ = now + kLeaveProbeInterval;
    if (reply.sent_at >= departure_->announced_at) {
      departure_->has_answered = true;
      departure_->unanswered_lists = 0;
    }
  } else if (must_settle_stops_) {
    next_list_at_ = now + kOrderRetryDelay;
  } else if (!is_admitted_) {
    next_list_at_ = now + kListRetryDelay;
  }
  if (has_new_end || (is_newly_fenced && !has_synced) ||
      (must_settle_stops_ && pending_stops_.empty())) {
    SendSync(now);
  }
}

void WorkerAgent::OnStarted(Time now, const RunCallReply& reply) {
  const auto found = pending_starts_.find(reply.run);
  const bool is_ok = reply.answered && reply.refusal == RunRefusal::kNone;
  if (!is_ok) {
    out_.events.push_back(
        RunEvent(EventId::kRunOrdered, reply.run, reply.incarnation.id)
            .With("outcome", OutcomeName(reply))
            .With("reason", reply.text));
  }
  if (!reply.answered) {
    unanswered_starts_[reply.run] = now + kMaxCallDelay;
    crash_observer_.OnStartUnanswered(reply.received_at, reply.run,
                                      reply.sent_at, reply.failure);
  }
  if (is_ok) {
    crash_observer_.OnStarted(reply.run, reply.received_at);
  }
  if (found == pending_starts_.end()) {
    return;
  }
  PendingStart& pending_start = found->second;
  pending_start.is_in_flight = false;
  if (is_ok) {
    confirmed_starts_[reply.run] = reply.received_at;
    if (pending_start.start.is_trial) {
      trials_[reply.run] = Trial{reply.received_at + kTrialTime, false};
    }
    if (pending_start.start.percent < kFullPercent) {
      RunCall call = MakeCall(RunCallOp::kThrottle, reply.run);
      call.percent = pending_start.start.percent;
      SendOrder(std::move(call));
    }
    pending_starts_.erase(found);
    return;
  }
  if (!reply.answered) {
    ++pending_start.unanswered_calls;
    pending_start.unanswered_since = now;
    pending_start.retry_at = now + kOrderRetryDelay;
    if (pending_start.unanswered_calls >= kMaxUnansweredStarts) {
      FenceRun(now, reply.run, "no answer to its start");
    }
    return;
  }
  if (IsListed(reply.run)) {
    pending_starts_.erase(found);
    return;
  }
  FenceRun(now, reply.run, ToString(reply.refusal));
}

void WorkerAgent::OnStopped(Time now, const RunCallReply& reply) {
  const auto found = pending_stops_.find(reply.run);
  if (found == pending_stops_.end()) {
    return;
  }
  found->second.is_in_flight = false;
  out_.events.push_back(
      RunEvent(EventId::kRunStopped, reply.run, reply.incarnation.id)
          .With("outcome", OutcomeName(reply)));
  if (reply.answered && (reply.refusal == RunRefusal::kNone ||
                         reply.refusal == RunRefusal::kStaleRun)) {
    found->second.confirmed_at = reply.received_at;
    next_list_at_ = now;
  } else {
    found->second.retry_at = now + kOrderRetryDelay;
  }
}

WorkerSync WorkerAgent::MakeSync() {
  WorkerSync sync;
  sync.seq = next_seq_++;
  sync.info = *info_;
  sync.reachable = is_reachable_;
  sync.gone = has_left_;
  sync.lists = list_count_;
  sync.answered_token = fence_.answered();
  for (const auto& [run, row] : running_) {
    sync.running.push_back(row);
  }
  for (const auto& [number, row] : ended_) {
    sync.ended.push_back(row);
  }
  for (const auto& [run, until] : refusals_) {
    sync.ended.push_back({0, run, RunEndReason::kRefused, ""});
  }
  for (const auto& [run, trial] : trials_) {
    if (trial.has_survived) {
      sync.survived.push_back(run);
    }
  }
  for (const auto& [run, pending_start] : pending_starts_) {
    sync.starting.push_back(run);
  }
  for (const auto& [run, at] : confirmed_starts_) {
    sync.starting.push_back(run);
  }
  for (const auto& [run, pending_stop] : pending_stops_) {
    if (!running_.contains(run)) {
      sync.starting.push_back(run);
    }
  }
  return sync;
}

void WorkerAgent::SendSync(Time now) {
  if (!info_) {
    return;
  }
  next_sync_at_ = now + kSyncInterval;
  must_settle_stops_ = must_settle_stops_ && !pending_stops_.empty();
  // Once the leader knows of this incarnation, or that the earlier one is gone,
  // it places the runs of the earlier one elsewhere.
  for (WorkerSync sync : final_syncs_) {
    AddInheritedEnds(sync);
    sync.gone = !must_settle_stops_ && (!is_unfenced_ || has_left_);
    if (!sync.gone && sync.ended.empty()) {
      continue;
    }
    out_.to_control.emplace_back(std::move(sync));
  }
  if (must_settle_stops_) {
    return;
  }
  WorkerSync sync = MakeSync();
  sync.may_hold_lease = LeaseEnd() > now;
  sent_syncs_.emplace_back(sync.seq, now);
  if (sent_syncs_.size() > kMaxTrackedSyncs) {
    sent_syncs_.pop_front();
  }
  out_.to_control.emplace_back(std::move(sync));
}

void WorkerAgent::Tick(Time now) {
  std::erase_if(refusals_,
                [&](const auto& item) { return item.second <= now; });
  std::erase_if(unanswered_starts_,
                [&](const auto& item) { return item.second <= now; });
  if (!info_) {
    return;
  }
  if (!TryReplace(now)) {
    AskWorker(now);
  }
  SendStops(now);
  SendStarts(now);
  RequestRunList(now);
  bool has_survivor = false;
  for (auto& [run, trial] : trials_) {
    if (!trial.has_survived && trial.ends_at <= now && is_reachable_) {
      trial.has_survived = true;
      has_survivor = true;
    }
  }
  if (has_survivor || next_sync_at_ <= now) {
    SendSync(now);
  }
}

}  // namespace banyan
