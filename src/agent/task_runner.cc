#include "banyan/agent/task_runner.h"

#include <algorithm>
#include <set>

namespace banyan {
namespace {

// Retention of acknowledged attempts, so that a late start order does not run
// one again.
constexpr Duration kAcknowledgedRetention = std::chrono::minutes(30);
// Interval for repeating unacknowledged reports and unanswered stop calls.
constexpr Duration kRetryInterval = Millis(500);

}  // namespace

void TaskRunner::CallWorker(WorkerOp op, const TaskId& task) {
  WorkerCall call;
  call.op = op;
  call.task = task;
  out_.calls.push_back(std::move(call));
}

void TaskRunner::Adopt(const std::vector<WorkerTask>& tasks) {
  for (const WorkerTask& task : tasks) {
    TaskRecord record;
    record.needs = task.needs;
    record.usage = task.usage;
    record.checkpoint = task.checkpoint;
    record.phase = Phase::kRunning;
    committed_ += record.needs;
    records_.emplace(task.task, std::move(record));
    out_.events.push_back(Event(EventId::kTaskAdopted)
                              .With("job", task.task.job)
                              .With("attempt", task.task.attempt)
                              .With("worker", worker_)
                              .With("data_centre", data_centre_));
  }
}

void TaskRunner::RefuseStart(Time now,
                             const StartTask& start,
                             const std::string& reason) {
  out_.events.push_back(Event(EventId::kTaskRefused)
                            .With("job", start.task.job)
                            .With("attempt", start.task.attempt)
                            .With("reason", reason));
  TaskRecord& record = records_[start.task];
  End(now, start.task, record, TaskEnd::kRefused, reason);
}

void TaskRunner::OnStart(Time now,
                         const StartTask& start,
                         const StartConditions& conditions) {
  const bool is_known =
      records_.contains(start.task) || acknowledged_.contains(start.task);
  if (start.incarnation != conditions.own_incarnation || is_known) {
    return;
  }
  if (conditions.refusal_reason) {
    RefuseStart(now, start, *conditions.refusal_reason);
    return;
  }
  const bool runs_other_attempt =
      std::any_of(records_.begin(), records_.end(), [&](const auto& item) {
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
  TaskRecord record;
  record.needs = start.spec.needs;
  record.checkpoint = start.checkpoint;
  record.retry_at = now + kRetryInterval;
  committed_ += record.needs;
  records_.emplace(start.task, std::move(record));
  WorkerCall call;
  call.op = WorkerOp::kStart;
  call.task = start.task;
  call.spec = start.spec;
  call.checkpoint = start.checkpoint;
  call.deadline = conditions.start_by;
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
  const auto found = records_.find(stop.task);
  if (found == records_.end()) {
    if (!acknowledged_.contains(stop.task)) {
      // The start order has not arrived. Recording the end makes a late one
      // have no effect.
      End(now, stop.task, records_[stop.task], TaskEnd::kEvicted, stop.cause);
    }
    return;
  }
  TaskRecord& record = found->second;
  const bool is_stoppable =
      record.phase == Phase::kStarting || record.phase == Phase::kRunning;
  if (!is_stoppable) {
    return;
  }
  if (stop.checkpoint && record.phase == Phase::kRunning) {
    record.phase = Phase::kCheckpointing;
    record.cause = stop.cause;
    record.retry_at = now + kRetryInterval;
    CallWorker(WorkerOp::kCheckpoint, stop.task);
    return;
  }
  Stop(now, stop.task, record, TaskEnd::kEvicted, stop.cause);
}

void TaskRunner::Stop(Time now,
                      const TaskId& task,
                      TaskRecord& record,
                      TaskEnd end,
                      std::string cause) {
  record.phase = Phase::kStopping;
  record.end = end;
  record.cause = std::move(cause);
  record.retry_at = now + kRetryInterval;
  out_.events.push_back(Event(EventId::kTaskStopped)
                            .With("job", task.job)
                            .With("attempt", task.attempt)
                            .With("worker", worker_)
                            .With("data_centre", data_centre_)
                            .With("reason", record.cause));
  CallWorker(WorkerOp::kStop, task);
}

void TaskRunner::OnThrottle(const ThrottleTask& throttle) {
  const auto found = records_.find(throttle.task);
  if (found == records_.end() || found->second.phase != Phase::kRunning) {
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
                     TaskRecord& record,
                     TaskEnd end,
                     std::string cause) {
  if (record.phase != Phase::kEnded) {
    committed_ -= record.needs;
    record.needs = Resources{};
  }
  record.phase = Phase::kEnded;
  record.end = end;
  record.cause = std::move(cause);
  out_.events.push_back(Event(EventId::kTaskEnded)
                            .With("job", task.job)
                            .With("attempt", task.attempt)
                            .With("worker", worker_)
                            .With("data_centre", data_centre_)
                            .With("end", ToString(end))
                            .With("cause", record.cause));
  Report(now, task, record);
}

void TaskRunner::Report(Time now, const TaskId& task, TaskRecord& record) {
  record.retry_at = now + kRetryInterval;
  out_.reports.emplace_back(
      TaskReport{task, record.end, record.checkpoint, record.cause});
}

void TaskRunner::OnReportAck(Time now, const TaskReportAck& ack) {
  const auto found = records_.find(ack.task);
  if (found == records_.end() || found->second.phase != Phase::kEnded) {
    return;
  }
  CallWorker(WorkerOp::kForget, ack.task);
  records_.erase(found);
  const Time until = now + kAcknowledgedRetention;
  acknowledged_[ack.task] = until;
  acknowledged_expiry_order_.emplace_back(until, ack.task);
}

void TaskRunner::OnWorkerReply(Time now, const WorkerReply& reply) {
  if (reply.op == WorkerOp::kList) {
    if (reply.ok) {
      OnList(now, reply);
    }
    return;
  }
  const auto found = records_.find(reply.task);
  if (found == records_.end()) {
    return;
  }
  const TaskId& task = found->first;
  TaskRecord& record = found->second;
  switch (reply.op) {
    case WorkerOp::kStart:
      if (record.phase != Phase::kStarting) {
        return;
      }
      if (reply.ok) {
        record.phase = Phase::kRunning;
        record.confirmed_running_at = now;
      } else if (reply.is_refusal) {
        End(now, task, record, TaskEnd::kFailed, reply.error_message);
      } else {
        // The task may have started. It is reported as lost once the worker has
        // confirmed the stop.
        Stop(now, task, record, TaskEnd::kLost, reply.error_message);
      }
      return;
    case WorkerOp::kCheckpoint:
      if (record.phase == Phase::kCheckpointing) {
        // If the checkpoint failed, the previous one remains valid.
        if (reply.ok) {
          record.checkpoint = reply.checkpoint;
        }
        Stop(now, task, record, TaskEnd::kEvicted, record.cause);
      }
      return;
    case WorkerOp::kStop:
      if (record.phase != Phase::kStopping || !reply.ok) {
        return;
      }
      if (reply.state == WorkerTaskState::kFinished) {
        End(now, task, record, TaskEnd::kFinished, "");
      } else {
        End(now, task, record, record.end, record.cause);
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
    const auto found = records_.find(item.task);
    if (found == records_.end()) {
      OnUnknownTask(now, item);
      continue;
    }
    TaskRecord& record = found->second;
    record.usage = item.usage;
    if (record.phase != Phase::kRunning) {
      continue;
    }
    if (item.state == WorkerTaskState::kFinished) {
      End(now, item.task, record, TaskEnd::kFinished, "");
    } else if (item.state == WorkerTaskState::kFailed) {
      End(now, item.task, record, TaskEnd::kFailed, item.cause);
    }
  }
  for (auto& [task, record] : records_) {
    const bool should_be_listed =
        record.phase == Phase::kRunning &&
        record.confirmed_running_at + kRetryInterval < now;
    if (should_be_listed && !listed.contains(task)) {
      End(now, task, record, TaskEnd::kWorkerCrashed,
          "the worker knows it no more");
    }
  }
}

void TaskRunner::OnUnknownTask(Time now, const WorkerTask& item) {
  // A call by a previous agent process took effect after adoption.
  if (item.state == WorkerTaskState::kRunning) {
    CallWorker(WorkerOp::kStop, item.task);
  } else if (acknowledged_.contains(item.task)) {
    CallWorker(WorkerOp::kForget, item.task);
  } else {
    const bool has_finished = item.state == WorkerTaskState::kFinished;
    TaskRecord& record = records_[item.task];
    record.checkpoint = item.checkpoint;
    End(now, item.task, record,
        has_finished ? TaskEnd::kFinished : TaskEnd::kFailed, item.cause);
  }
}

void TaskRunner::OnLeaseLost(Time now) {
  for (auto& [task, record] : records_) {
    if (record.phase != Phase::kEnded && record.phase != Phase::kStopping) {
      Stop(now, task, record, TaskEnd::kLost, "lease lost");
    }
  }
}

void TaskRunner::Tick(Time now) {
  for (auto& [task, record] : records_) {
    if (record.retry_at > now) {
      continue;
    }
    if (record.phase == Phase::kEnded) {
      Report(now, task, record);
    } else if (record.phase == Phase::kStopping) {
      record.retry_at = now + kRetryInterval;
      CallWorker(WorkerOp::kStop, task);
    }
  }
  while (!acknowledged_expiry_order_.empty() &&
         acknowledged_expiry_order_.front().first <= now) {
    acknowledged_.erase(acknowledged_expiry_order_.front().second);
    acknowledged_expiry_order_.pop_front();
  }
}

std::vector<TaskUsage> TaskRunner::usage() const {
  std::vector<TaskUsage> usage;
  usage.reserve(records_.size());
  for (const auto& [task, record] : records_) {
    usage.push_back({task, record.usage.cpu_millis, record.usage.memory_mib});
  }
  return usage;
}

std::vector<TaskId> TaskRunner::tasks() const {
  std::vector<TaskId> tasks;
  for (const auto& [task, record] : records_) {
    tasks.push_back(task);
  }
  return tasks;
}

}  // namespace banyan
