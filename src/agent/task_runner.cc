#include "banyan/agent/task_runner.h"

#include <algorithm>
#include <set>

namespace banyan {
namespace {

// How long an acknowledged attempt is remembered, so that a late order does
// not start it again.
constexpr Span kForgottenRetention = std::chrono::minutes(30);
// How often an unacknowledged report or an unanswered stop is repeated.
constexpr Span kRetryInterval = Millis(500);

}  // namespace

void TaskRunner::Call(WorkerOp op, const TaskId& task) {
  WorkerCall call;
  call.op = op;
  call.task = task;
  out_.calls.push_back(std::move(call));
}

void TaskRunner::Adopt(const std::vector<WorkerTask>& tasks) {
  for (const WorkerTask& task : tasks) {
    Entry entry;
    entry.needs = task.needs;
    entry.usage = task.usage;
    entry.checkpoint = task.checkpoint;
    entry.phase = Phase::kRunning;
    committed_ += entry.needs;
    ledger_.emplace(task.task, std::move(entry));
    out_.events.push_back(Event(EventId::kTaskAdopted)
                              .With("job", task.task.job)
                              .With("attempt", task.task.attempt)
                              .With("worker", worker_)
                              .With("data_centre", data_centre_));
  }
}

void TaskRunner::RefuseStart(Time now,
                             const StartTask& start,
                             const std::string& why) {
  out_.events.push_back(Event(EventId::kTaskRefused)
                            .With("job", start.task.job)
                            .With("attempt", start.task.attempt)
                            .With("reason", why));
  Entry& entry = ledger_[start.task];
  End(now, start.task, entry, TaskEnd::kRefused, why);
}

void TaskRunner::OnStart(Time now,
                         const StartTask& start,
                         const StartGate& gate) {
  const bool is_known =
      ledger_.contains(start.task) || forgotten_.contains(start.task);
  if (start.incarnation != gate.own_incarnation || is_known) {
    return;
  }
  if (gate.veto) {
    RefuseStart(now, start, *gate.veto);
    return;
  }
  const bool runs_other_attempt =
      std::any_of(ledger_.begin(), ledger_.end(), [&](const auto& item) {
        return item.first.job == start.task.job &&
               item.second.phase != Phase::kEnded;
      });
  if (runs_other_attempt) {
    RefuseStart(now, start, "an earlier attempt still runs here");
    return;
  }
  if (!Fits(start.spec.needs, capacity_ - committed_)) {
    RefuseStart(now, start, "no room on this worker");
    return;
  }
  Entry entry;
  entry.needs = start.spec.needs;
  entry.checkpoint = start.checkpoint;
  entry.retry_at = now + kRetryInterval;
  committed_ += entry.needs;
  ledger_.emplace(start.task, std::move(entry));
  WorkerCall call;
  call.op = WorkerOp::kStart;
  call.task = start.task;
  call.spec = start.spec;
  call.checkpoint = start.checkpoint;
  call.deadline = gate.start_by;
  out_.calls.push_back(std::move(call));
  out_.events.push_back(Event(EventId::kTaskStarted)
                            .With("job", start.task.job)
                            .With("attempt", start.task.attempt)
                            .With("worker", worker_)
                            .With("data_centre", data_centre_)
                            .With("cpu_millis", start.spec.needs.cpu_millis)
                            .With("memory_mib", start.spec.needs.memory_mib)
                            .With("checkpoint", start.checkpoint)
                            .With("config", start.config_version));
}

void TaskRunner::OnStop(Time now, const StopTask& stop) {
  const auto found = ledger_.find(stop.task);
  if (found == ledger_.end()) {
    if (!forgotten_.contains(stop.task)) {
      // The start order never came; it must not take effect later either.
      End(now, stop.task, ledger_[stop.task], TaskEnd::kEvicted, stop.cause);
    }
    return;
  }
  Entry& entry = found->second;
  const bool is_stoppable =
      entry.phase == Phase::kStarting || entry.phase == Phase::kRunning;
  if (!is_stoppable) {
    return;
  }
  if (stop.checkpoint && entry.phase == Phase::kRunning) {
    entry.phase = Phase::kCheckpointing;
    entry.cause = stop.cause;
    entry.retry_at = now + kRetryInterval;
    Call(WorkerOp::kCheckpoint, stop.task);
    return;
  }
  Stop(now, stop.task, entry, TaskEnd::kEvicted, stop.cause);
}

void TaskRunner::Stop(Time now,
                      const TaskId& task,
                      Entry& entry,
                      TaskEnd end,
                      std::string cause) {
  entry.phase = Phase::kStopping;
  entry.end = end;
  entry.cause = std::move(cause);
  entry.retry_at = now + kRetryInterval;
  out_.events.push_back(Event(EventId::kTaskStopped)
                            .With("job", task.job)
                            .With("attempt", task.attempt)
                            .With("worker", worker_)
                            .With("data_centre", data_centre_)
                            .With("reason", entry.cause));
  Call(WorkerOp::kStop, task);
}

void TaskRunner::OnThrottle(const ThrottleTask& throttle) {
  const auto found = ledger_.find(throttle.task);
  if (found == ledger_.end() || found->second.phase != Phase::kRunning) {
    return;
  }
  WorkerCall call;
  call.op = WorkerOp::kThrottle;
  call.task = throttle.task;
  call.percent = throttle.percent;
  out_.calls.push_back(std::move(call));
  out_.events.push_back(Event(EventId::kTaskThrottled)
                            .With("job", throttle.task.job)
                            .With("attempt", throttle.task.attempt)
                            .With("percent", throttle.percent));
}

void TaskRunner::End(Time now,
                     const TaskId& task,
                     Entry& entry,
                     TaskEnd end,
                     std::string cause) {
  if (entry.phase != Phase::kEnded) {
    committed_ -= entry.needs;
    entry.needs = Resources{};
  }
  entry.phase = Phase::kEnded;
  entry.end = end;
  entry.cause = std::move(cause);
  out_.events.push_back(Event(EventId::kTaskEnded)
                            .With("job", task.job)
                            .With("attempt", task.attempt)
                            .With("worker", worker_)
                            .With("data_centre", data_centre_)
                            .With("end", ToString(end))
                            .With("cause", entry.cause));
  Report(now, task, entry);
}

void TaskRunner::Report(Time now, const TaskId& task, Entry& entry) {
  entry.retry_at = now + kRetryInterval;
  out_.reports.emplace_back(
      TaskReport{task, entry.end, entry.checkpoint, entry.cause});
}

void TaskRunner::OnReportAck(Time now, const TaskReportAck& ack) {
  const auto found = ledger_.find(ack.task);
  if (found == ledger_.end() || found->second.phase != Phase::kEnded) {
    return;
  }
  Call(WorkerOp::kForget, ack.task);
  ledger_.erase(found);
  const Time until = now + kForgottenRetention;
  forgotten_[ack.task] = until;
  forgotten_order_.emplace_back(until, ack.task);
}

void TaskRunner::OnWorkerReply(Time now, const WorkerReply& reply) {
  if (reply.op == WorkerOp::kList) {
    if (reply.ok) {
      OnList(now, reply);
    }
    return;
  }
  const auto found = ledger_.find(reply.task);
  if (found == ledger_.end()) {
    return;
  }
  const TaskId& task = found->first;
  Entry& entry = found->second;
  switch (reply.op) {
    case WorkerOp::kStart:
      if (entry.phase != Phase::kStarting) {
        return;
      }
      if (reply.ok) {
        entry.phase = Phase::kRunning;
        entry.listed_from = now;
      } else if (reply.is_refusal) {
        End(now, task, entry, TaskEnd::kFailed, reply.text);
      } else {
        // It may have started; it counts as lost once it surely stopped.
        Stop(now, task, entry, TaskEnd::kLost, reply.text);
      }
      return;
    case WorkerOp::kCheckpoint:
      if (entry.phase == Phase::kCheckpointing) {
        // A checkpoint that fails leaves the last good one valid.
        if (reply.ok) {
          entry.checkpoint = reply.checkpoint;
        }
        Stop(now, task, entry, TaskEnd::kEvicted, entry.cause);
      }
      return;
    case WorkerOp::kStop:
      if (entry.phase != Phase::kStopping || !reply.ok) {
        return;
      }
      if (reply.state == WorkerTaskState::kFinished) {
        End(now, task, entry, TaskEnd::kFinished, "");
      } else {
        End(now, task, entry, entry.end, entry.cause);
      }
      return;
    case WorkerOp::kList:
    case WorkerOp::kRenewLease:
    case WorkerOp::kThrottle:
    case WorkerOp::kForget:
      return;
  }
}

void TaskRunner::OnList(Time now, const WorkerReply& reply) {
  std::set<TaskId> listed;
  for (const WorkerTask& item : reply.tasks) {
    listed.insert(item.task);
    const auto found = ledger_.find(item.task);
    if (found == ledger_.end()) {
      // Not ours: an order of an earlier agent that took effect late.
      const bool is_running = item.state == WorkerTaskState::kRunning;
      Call(is_running ? WorkerOp::kStop : WorkerOp::kForget, item.task);
      continue;
    }
    Entry& entry = found->second;
    entry.usage = item.usage;
    if (entry.phase != Phase::kRunning) {
      continue;
    }
    if (item.state == WorkerTaskState::kFinished) {
      End(now, item.task, entry, TaskEnd::kFinished, "");
    } else if (item.state == WorkerTaskState::kFailed) {
      End(now, item.task, entry, TaskEnd::kFailed, item.cause);
    }
  }
  for (auto& [task, entry] : ledger_) {
    const bool was_listable = entry.phase == Phase::kRunning &&
                              entry.listed_from + kRetryInterval < now;
    if (was_listable && !listed.contains(task)) {
      End(now, task, entry, TaskEnd::kLost, "the worker knows it no more");
    }
  }
}

void TaskRunner::LoseLease(Time now) {
  for (auto& [task, entry] : ledger_) {
    if (entry.phase != Phase::kEnded && entry.phase != Phase::kStopping) {
      Stop(now, task, entry, TaskEnd::kLost, "lease lost");
    }
  }
}

void TaskRunner::Tick(Time now) {
  for (auto& [task, entry] : ledger_) {
    if (entry.retry_at > now) {
      continue;
    }
    if (entry.phase == Phase::kEnded) {
      Report(now, task, entry);
    } else if (entry.phase == Phase::kStopping) {
      entry.retry_at = now + kRetryInterval;
      Call(WorkerOp::kStop, task);
    }
  }
  while (!forgotten_order_.empty() && forgotten_order_.front().first <= now) {
    forgotten_.erase(forgotten_order_.front().second);
    forgotten_order_.pop_front();
  }
}

std::vector<TaskUsage> TaskRunner::usage() const {
  std::vector<TaskUsage> usage;
  usage.reserve(ledger_.size());
  for (const auto& [task, entry] : ledger_) {
    usage.push_back({task, entry.usage.cpu_millis, entry.usage.memory_mib});
  }
  return usage;
}

std::vector<TaskId> TaskRunner::tasks() const {
  std::vector<TaskId> tasks;
  for (const auto& [task, entry] : ledger_) {
    tasks.push_back(task);
  }
  return tasks;
}

}  // namespace banyan
