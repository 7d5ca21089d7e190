#ifndef BANYAN_GRAPH_EXCLUSION_H_
#define BANYAN_GRAPH_EXCLUSION_H_

#include <cstddef>
#include <cstdint>

namespace banyan {

// Why a usable worker is not chosen for a task. Ordered: of several reasons the
// last one counts.
enum class Exclusion : std::uint8_t {
  kNone,
  // The capacity is kept for urgent tasks.
  kHeadroom,
  // Too little idle CPU time for a best-effort task.
  kBusy,
  // A co-located latency-sensitive task would miss its target.
  kInterference,
  // The interference of the image is uncertain there, and the load leaves too
  // little headroom to try it.
  kUncertain,
  // The worker is suspected and takes a single short run as a probe.
  kProbe,
  // The worker is suspected and takes no run.
  kQuarantine,
  // The worker is kept free for suspects of a crash, or reserved for a graph
  // that has waited.
  kReserved,
  // The task is a suspect of a crash, and others run there.
  kShared,
  // The worker may not survive the start of a suspect.
  kTrial,
  // The step's limit of tasks per worker is reached.
  kTaskLimit,
  // A required label is missing.
  kLabel,
  // Too little uncommitted memory or CPU time.
  kUnfit,
};

inline constexpr std::size_t kExclusionCount =
    static_cast<std::size_t>(Exclusion::kUnfit) + 1;

// Returns whether the task can't run on the worker at all; any other exclusion
// only says that it should not.
[[nodiscard]] constexpr bool IsBinding(Exclusion exclusion) noexcept {
  return exclusion >= Exclusion::kTaskLimit;
}

// Returns whether an overdue task is placed in spite of the exclusion. A trial
// lasts for a fraction of a second, and after a wait a worker is reserved for a
// suspect that shares none.
[[nodiscard]] constexpr bool IsWaivable(Exclusion exclusion) noexcept {
  return exclusion <= Exclusion::kReserved;
}

// Returns the name of an exclusion as written to the event log.
[[nodiscard]] constexpr const char* ToString(Exclusion exclusion) noexcept {
  switch (exclusion) {
    case Exclusion::kNone:
      return "none";
    case Exclusion::kHeadroom:
      return "headroom";
    case Exclusion::kBusy:
      return "busy";
    case Exclusion::kInterference:
      return "interference";
    case Exclusion::kUncertain:
      return "uncertain";
    case Exclusion::kProbe:
      return "probe";
    case Exclusion::kQuarantine:
      return "quarantine";
    case Exclusion::kReserved:
      return "reserved";
    case Exclusion::kShared:
      return "shared";
    case Exclusion::kTrial:
      return "trial";
    case Exclusion::kTaskLimit:
      return "task-limit";
    case Exclusion::kLabel:
      return "label";
    case Exclusion::kUnfit:
      return "unfit";
  }
  return "unknown";
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_EXCLUSION_H_
