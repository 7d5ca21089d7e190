#include "tests/support/virtual_machines.h"

#include <algorithm>

#include "banyan/wire/graph.h"

namespace banyan {

void VirtualDisk::Write(const PersistBatch& batch) {
  if (batch.hard_state) {
    log_.hard_state = *batch.hard_state;
  }
  if (batch.snapshot) {
    log_.snapshot = *batch.snapshot;
  }
  if (batch.truncate_from > 0) {
    std::erase_if(log_.entries, [&](const LogEntry& entry) {
      return entry.index >= batch.truncate_from;
    });
  }
  log_.entries.insert(log_.entries.end(), batch.entries.begin(),
                      batch.entries.end());
}

void VirtualDisk::Compact(const Snapshot& snapshot) {
  if (snapshot.last_index <= log_.snapshot.last_index) {
    return;
  }
  log_.snapshot = snapshot;
  std::erase_if(log_.entries, [&](const LogEntry& entry) {
    return entry.index <= snapshot.last_index;
  });
}

void VirtualWorker::End(Task& task, Time now, bool is_finished) {
  VirtualRun& run = runs_[task.run];
  run.ended = now;
  run.is_finished = is_finished;
  run.to_ms = task.done_ms;
}

void VirtualWorker::Advance(Time now) {
  for (auto& [id, task] : tasks_) {
    if (!task.IsRunning()) {
      continue;
    }
    const Time until = std::min(now, lease_until_);
    if (until > task.advanced) {
      task.done_ms +=
          ToMillis(until - task.advanced) * task.percent / kFullPercent;
      task.advanced = until;
    }
    if (task.done_ms >= task.run_ms) {
      task.done_ms = task.run_ms;
      task.state = WorkerTaskState::kFinished;
      End(task, until, true);
    } else if (lease_until_ <= now) {
      task.is_stopped = true;
      End(task, lease_until_, false);
    }
  }
}

void VirtualWorker::Crash(Time now) {
  Advance(now);
  for (auto& [id, task] : tasks_) {
    if (task.IsRunning()) {
      End(task, now, false);
    }
  }
  tasks_.clear();
  lease_until_ = Time{};
}

Resources VirtualWorker::running_needs() const {
  Resources needs;
  for (const auto& [id, task] : tasks_) {
    if (task.IsRunning()) {
      needs += task.needs;
    }
  }
  return needs;
}

void VirtualWorker::Start(Time now,
                          const WorkerCall& call,
                          WorkerReply& reply) {
  if (tasks_.contains(call.task) || lease_until_ <= now ||
      now > call.deadline) {
    reply.ok = false;
    reply.is_refusal = true;
    reply.error_message = "refused";
    return;
  }
  Task task;
  task.needs = call.spec.needs;
  task.run_ms = call.spec.declared_run_ms;
  task.done_ms = call.checkpoint.empty() ? 0 : std::stoll(call.checkpoint);
  task.checkpoint_ms = task.done_ms;
  task.advanced = now;
  task.run = runs_.size();
  runs_.push_back({call.task, id_, now, Time::max(), false, task.done_ms, 0});
  if (is_failing_ || call.spec.payload == "fail") {
    task.state = WorkerTaskState::kFailed;
    End(task, now, false);
  }
  tasks_[call.task] = task;
}

void VirtualWorker::List(WorkerReply& reply) const {
  std::int64_t cpu = 0;
  for (const auto& [id, task] : tasks_) {
    if (task.is_stopped) {
      continue;
    }
    WorkerTask item;
    item.task = id;
    item.state = task.state;
    item.needs = task.needs;
    if (task.IsRunning()) {
      item.usage = task.needs;
      item.usage.cpu_millis =
          task.needs.cpu_millis * task.percent / kFullPercent;
      cpu += item.usage.cpu_millis;
    }
    if (task.checkpoint_ms > 0) {
      item.checkpoint = std::to_string(task.checkpoint_ms);
    }
    reply.tasks.push_back(std::move(item));
  }
  reply.cpu_percent =
      service_percent_ + cpu * kFullPercent / capacity_.cpu_millis;
}

WorkerReply VirtualWorker::Call(Time now, const WorkerCall& call) {
  Advance(now);
  WorkerReply reply;
  reply.op = call.op;
  reply.task = call.task;
  reply.ok = true;
  const auto found = tasks_.find(call.task);
  switch (call.op) {
    case WorkerOp::kList:
      List(reply);
      return reply;
    case WorkerOp::kStart:
      Start(now, call, reply);
      return reply;
    case WorkerOp::kRenewLease:
      lease_until_ = call.deadline;
      return reply;
    case WorkerOp::kStop:
      if (found != tasks_.end() && found->second.IsRunning()) {
        found->second.is_stopped = true;
        End(found->second, now, false);
      }
      if (found != tasks_.end()) {
        reply.state = found->second.state;
      }
      return reply;
    case WorkerOp::kCheckpoint:
      reply.ok = found != tasks_.end();
      if (reply.ok) {
        found->second.checkpoint_ms = found->second.done_ms;
        reply.checkpoint = std::to_string(found->second.checkpoint_ms);
      }
      return reply;
    case WorkerOp::kThrottle:
      if (found != tasks_.end()) {
        found->second.percent = call.percent;
      }
      return reply;
    case WorkerOp::kForget:
      if (found != tasks_.end() && !found->second.IsRunning()) {
        tasks_.erase(found);
      }
      return reply;
  }
  return reply;
}

}  // namespace banyan
