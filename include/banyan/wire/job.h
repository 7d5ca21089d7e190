#ifndef BANYAN_WIRE_JOB_H_
#define BANYAN_WIRE_JOB_H_

#include <cstdint>
#include <string>

#include "banyan/base/resources.h"

namespace banyan {

// Specification of a job, as submitted by a team.
struct JobSpec {
  std::string team;
  // Groups similar jobs; estimates and interference are learned per kind.
  std::string kind;
  Resources needs;
  // Urgent jobs start before all others.
  bool urgent = false;
  // Run time declared by the submitter, in milliseconds; untrusted.
  std::int64_t declared_run_ms = 0;
  // Workload description for the worker; not interpreted by the system.
  std::string payload;

  friend bool operator==(const JobSpec&, const JobSpec&) noexcept = default;
};

// Lifecycle state of a job.
enum class JobState : std::uint8_t {
  kQueued,
  kPlaced,
  kFinished,
  kFailed,
  kCancelled,
};

// Returns the name of a state as shown by the operator API.
[[nodiscard]] constexpr const char* ToString(JobState state) noexcept {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kPlaced:
      return "placed";
    case JobState::kFinished:
      return "finished";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

// Returns whether a job in this state can no longer change.
[[nodiscard]] constexpr bool IsFinal(JobState state) noexcept {
  return state == JobState::kFinished || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

// How one attempt of a job ended.
enum class TaskEnd : std::uint8_t {
  // The task completed and delivered its result.
  kFinished,
  // The task itself failed.
  kFailed,
  // The agent refused to start the task; it never ran.
  kRefused,
  // The task was stopped by an order; its last good checkpoint stays valid.
  kEvicted,
  // The instance's lease expired, or the instance no longer has the task.
  kLost,
  // The worker restarted under the task.
  kWorkerCrashed,
};

// Returns the name of an end as shown in logs.
[[nodiscard]] constexpr const char* ToString(TaskEnd end) noexcept {
  switch (end) {
    case TaskEnd::kFinished:
      return "finished";
    case TaskEnd::kFailed:
      return "failed";
    case TaskEnd::kRefused:
      return "refused";
    case TaskEnd::kEvicted:
      return "evicted";
    case TaskEnd::kLost:
      return "lost";
    case TaskEnd::kWorkerCrashed:
      return "worker-crashed";
  }
  return "unknown";
}

// Identifies one attempt of a job; the attempt number is the fencing token.
struct TaskId {
  std::string job;
  std::uint64_t attempt = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_JOB_H_
