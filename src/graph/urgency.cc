#include "banyan/graph/urgency.h"

#include <algorithm>

namespace banyan {
namespace {

// Expected remaining part of a step whose tasks all run or are done, in tenths
// of its run time.
constexpr std::int64_t kRunningRemainingTenths = 6;
constexpr std::int64_t kTenths = 10;

}  // namespace

std::int64_t DeclaredRunTimes::StepMs(std::string_view /*queue*/,
                                      const TaskRef& /*first*/,
                                      const StepSpec& step) {
  return step.estimate_ms;
}

std::int64_t DeclaredRunTimes::RemainingMs(std::string_view /*queue*/,
                                           const TaskRef& /*first*/,
                                           const StepSpec& step,
                                           const StepProgress& progress) {
  if (progress.is_done()) {
    return 0;
  }
  const bool is_running =
      std::all_of(progress.tasks.begin(), progress.tasks.end(),
                  [](const TaskProgress& task) {
                    return task.phase == TaskPhase::kRunning ||
                           task.phase == TaskPhase::kDone;
                  });
  return is_running ? step.estimate_ms * kRunningRemainingTenths / kTenths
                    : step.estimate_ms;
}

std::int64_t DeclaredRunTimes::RemainingTotalMs(std::string_view /*queue*/,
                                                const TaskRef& /*first*/,
                                                const StepSpec& step,
                                                const StepProgress& progress) {
  return step.estimate_ms * (step.count - progress.done);
}

Feasibility FeasibilityOf(WallMillis end,
                          WallMillis start,
                          std::int64_t objective_ms) {
  if (end > start + objective_ms * kLateObjectiveFactor) {
    return Feasibility::kExpired;
  }
  return end > start + objective_ms ? Feasibility::kLate : Feasibility::kOnTime;
}

Urgency ComputeUrgency(const Graph& graph, WallMillis now) {
  // Declared run times don't depend on the graph's id.
  return ComputeUrgency({}, graph, now, DeclaredRunTimes{});
}

}  // namespace banyan
