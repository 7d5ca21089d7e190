#ifndef BANYAN_AGENT_TASK_RUNNER_H_
#define BANYAN_AGENT_TASK_RUNNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// Operations of the worker's API.
enum class WorkerOp : std::uint8_t {
  kList,
  kStart,
  kRenewLease,
  kCheckpoint,
  kStop,
  kThrottle,
  kForget,
};

// A call to the worker's API. The worker shares the agent's monotonic clock,
// so deadlines are passed as they are.
struct WorkerCall {
  WorkerOp op = WorkerOp::kList;
  TaskId task;
  JobSpec spec;
  std::string checkpoint;
  // kThrottle: share of a processor that the task may use, in percent.
  std::int64_t percent = 0;
  // kRenewLease: end of the lease. kStart: latest time at which the task may
  // start.
  Time deadline;
};

// State of a task as reported by the worker.
enum class WorkerTaskState : std::uint8_t { kRunning, kFinished, kFailed };

// One task in the worker's list.
struct WorkerTask {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Resources needs;
  Resources usage;
  std::string checkpoint;
  std::string cause;
};

// Result of a WorkerCall.
struct WorkerReply {
  WorkerOp op = WorkerOp::kList;
  TaskId task;
  bool ok = false;
  // Whether the worker rejected the call. If neither ok nor is_refusal is set,
  // it is unknown whether the call took effect.
  bool is_refusal = false;
  // Reason for a refusal, or what went wrong with the call.
  std::string error_message;
  std::string checkpoint;
  // kStop: the state of the task when the worker stopped it.
  WorkerTaskState state = WorkerTaskState::kRunning;
  // kList: processor use of the whole worker in percent, services included.
  std::int64_t cpu_percent = 0;
  // kList: all tasks known to the worker.
  std::vector<WorkerTask> tasks;
};

// The agent's conditions for starting a task.
struct StartConditions {
  std::uint64_t own_incarnation = 0;
  // Reason why no task may start; empty if tasks may start.
  std::optional<std::string> refusal_reason;
  // Latest time at which the worker may start the task.
  Time start_by;
};

// Runs tasks through the worker's API. Starts each attempt at most once, tracks
// the committed resources, and reports the end of each attempt until the report
// is acknowledged.
class TaskRunner {
 public:
  // Actions requested since the last call of TakeOutputs().
  struct Outputs {
    std::vector<Message> reports;
    std::vector<WorkerCall> calls;
    Events events;
  };

  // The worker's id and data centre are included in events.
  TaskRunner(std::string worker, std::string data_centre, Resources capacity)
      : worker_(std::move(worker)),
        data_centre_(std::move(data_centre)),
        capacity_(capacity) {}

  // Adopts the tasks that a previous agent process left on the worker.
  void Adopt(const std::vector<WorkerTask>& tasks);

  // Starts the attempt or reports it as refused. Orders for another incarnation
  // or for a known attempt are ignored.
  void OnStart(Time now,
               const StartTask& start,
               const StartConditions& conditions);
  // Evicts the task, after a checkpoint if the order asks for one.
  void OnStop(Time now, const StopTask& stop);
  void OnThrottle(const ThrottleTask& throttle);
  void OnReportAck(Time now, const TaskReportAck& ack);
  void OnWorkerReply(Time now, const WorkerReply& reply);

  // Stops all tasks after the lease has expired or the cell has removed the
  // instance.
  void OnLeaseLost(Time now);

  // Repeats unacknowledged reports and unanswered stops, and removes expired
  // records of acknowledged attempts.
  void Tick(Time now);

  // Returns the pending actions and clears them.
  [[nodiscard]] Outputs TakeOutputs() { return std::exchange(out_, Outputs{}); }

  // Resource usage of every attempt whose end has not been acknowledged.
  [[nodiscard]] std::vector<TaskUsage> usage() const;
  // All attempts whose end has not been acknowledged.
  [[nodiscard]] std::vector<TaskId> tasks() const;
  // Sum of the resources that unfinished tasks have requested.
  [[nodiscard]] const Resources& committed() const noexcept {
    return committed_;
  }
  [[nodiscard]] bool idle() const noexcept { return records_.empty(); }

 private:
  enum class Phase : std::uint8_t {
    kStarting,
    kRunning,
    kCheckpointing,
    kStopping,
    kEnded,
  };

  struct TaskRecord {
    Resources needs;
    Resources usage;
    Phase phase = Phase::kStarting;
    // The end that is reported, or, in kStopping, that will be reported once
    // the worker has stopped the task.
    TaskEnd end = TaskEnd::kEvicted;
    std::string checkpoint;
    std::string cause;
    // Time of the next repeated stop call or report.
    Time retry_at;
    // Time of the worker's reply to the start call. A list requested before
    // that may not include the task yet.
    Time confirmed_running_at;
  };

  // Asks the worker to stop the task, which will then end as `end`.
  void Stop(Time now,
            const TaskId& task,
            TaskRecord& record,
            TaskEnd end,
            std::string cause);
  // Stops a listed task that has no record, or reports its end unless that was
  // acknowledged before.
  void OnUnknownTask(Time now, const WorkerTask& item);
  // Releases the task's resources and reports its end.
  void End(Time now,
           const TaskId& task,
           TaskRecord& record,
           TaskEnd end,
           std::string cause);
  // Sends the report and schedules its repetition.
  void Report(Time now, const TaskId& task, TaskRecord& record);
  void RefuseStart(Time now, const StartTask& start, const std::string& reason);
  void OnList(Time now, const WorkerReply& reply);
  void CallWorker(WorkerOp op, const TaskId& task);

  std::string worker_;
  std::string data_centre_;
  Resources capacity_;
  Resources committed_;
  std::map<TaskId, TaskRecord> records_;
  // Attempts whose end was acknowledged, with their expiry time. A late start
  // order for one of them is ignored.
  std::map<TaskId, Time> acknowledged_;
  std::deque<std::pair<Time, TaskId>> acknowledged_expiry_order_;
  Outputs out_;
};

}  // namespace banyan

#endif  // BANYAN_AGENT_TASK_RUNNER_H_
