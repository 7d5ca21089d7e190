#ifndef BANYAN_WIRE_JOB_H_
#define BANYAN_WIRE_JOB_H_

#include <cstdint>
#include <string>

#include "banyan/base/resources.h"

namespace banyan {

// What a team asks to have run.
struct JobSpec {
  std::string team;
  // Groups jobs that behave alike; estimates and interference learn by kind.
  std::string kind;
  Resources needs;
  // Urgent jobs start before all others.
  bool urgent = false;
  // Declared run time in milliseconds; distrusted.
  std::int64_t declared_run_ms = 0;
  // What the worker runs; opaque to the system.
  std::string payload;

  friend bool operator==(const JobSpec&, const JobSpec&) noexcept = default;
};

// Where a job stands.
enum class JobState : std::uint8_t {
  kQueued,
  kPlaced,
  kFinished,
  kFailed,
  kCancelled,
};

// Returns the name of a state as the operator API shows it.
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

// Returns whether a job in this state changes no more.
[[nodiscard]] constexpr bool IsFinal(JobState state) noexcept {
  return state == JobState::kFinished || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

// How one attempt of a job ended.
enum class TaskEnd : std::uint8_t {
  // The task delivered its result.
  kFinished,
  // The task itself failed.
  kFailed,
  // The agent refused to start it; it never ran.
  kRefused,
  // It was stopped on order; its last good checkpoint stays valid.
  kEvicted,
  // Its instance's lease ran out, or the instance no longer knows it.
  kLost,
};

// Returns the name of an end as logs show it.
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
  }
  return "unknown";
}

// Names one attempt of one job; the attempt number is the fencing token.
struct TaskId {
  std::string job;
  std::uint64_t attempt = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_JOB_H_
