#ifndef BANYAN_TESTS_SUPPORT_VIRTUAL_MACHINES_H_
#define BANYAN_TESTS_SUPPORT_VIRTUAL_MACHINES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyan/agent/agent_core.h"
#include "banyan/base/time.h"
#include "banyan/consensus/raft_types.h"

namespace banyan {

// What a replica's disk holds, in memory.
class VirtualDisk {
 public:
  explicit VirtualDisk(std::uint64_t incarnation) : incarnation_(incarnation) {}

  void Write(const PersistBatch& batch);
  void Compact(const Snapshot& snapshot);

  [[nodiscard]] const RestoredLog& log() const { return log_; }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }

 private:
  std::uint64_t incarnation_;
  RestoredLog log_;
};

// One stretch of time in which a worker ran a job.
struct VirtualRun {
  TaskId task;
  std::string worker;
  Time started;
  // Time::max() while it runs.
  Time ended = Time::max();
  bool is_finished = false;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

// A worker under virtual time. Without a lease nothing runs on it.
class VirtualWorker {
 public:
  VirtualWorker(std::string id, Resources capacity)
      : id_(std::move(id)), capacity_(capacity) {}

  WorkerReply Call(Time now, const WorkerCall& call);

  // Lets the tasks work until now, or until their lease ran out.
  void Advance(Time now);

  // The machine dies with everything on it.
  void Crash(Time now);

  void set_failing(bool is_failing) { is_failing_ = is_failing; }
  // Processor use that services add, in percent.
  void set_service_percent(std::int64_t percent) { service_percent_ = percent; }

  [[nodiscard]] const std::vector<VirtualRun>& runs() const { return runs_; }
  [[nodiscard]] const Resources& capacity() const { return capacity_; }
  // What running tasks need together.
  [[nodiscard]] Resources running_needs() const;

 private:
  struct Task {
    Resources needs;
    WorkerTaskState state = WorkerTaskState::kRunning;
    bool is_stopped = false;
    std::int64_t run_ms = 0;
    std::int64_t done_ms = 0;
    std::int64_t checkpoint_ms = 0;
    std::int64_t percent = 100;
    Time advanced;
    std::size_t run = 0;

    [[nodiscard]] bool IsRunning() const {
      return state == WorkerTaskState::kRunning && !is_stopped;
    }
  };

  void End(Task& task, Time now, bool is_finished);
  void Start(Time now, const WorkerCall& call, WorkerReply& reply);
  void List(WorkerReply& reply) const;

  std::string id_;
  Resources capacity_;
  std::map<TaskId, Task> tasks_;
  std::vector<VirtualRun> runs_;
  Time lease_until_;
  bool is_failing_ = false;
  std::int64_t service_percent_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_VIRTUAL_MACHINES_H_
