#include "banyan/graph/urgency.h"

#include <algorithm>
#include <vector>

namespace banyan {
namespace {

// A late result counts until this multiple of the latency objective.
constexpr std::int64_t kLateObjectiveFactor = 3;
// Expected remaining part of a step whose tasks all run or are done, in tenths
// of its run time.
constexpr std::int64_t kRunningRemainingTenths = 6;
constexpr std::int64_t kTenths = 10;

// Returns the estimated remaining run time of a step in milliseconds.
std::int64_t RemainingRunTime(const StepSpec& spec,
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
  return is_running ? spec.estimate_ms * kRunningRemainingTenths / kTenths
                    : spec.estimate_ms;
}

// Returns the length of the longest dependency chain, where `run_time` gives
// the run time of each step.
template <typename RunTime>
std::int64_t CriticalPath(const GraphSpec& spec, const RunTime& run_time) {
  std::vector<std::int64_t> finish_times;
  std::int64_t path_length = 0;
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    std::int64_t start = 0;
    for (const std::int64_t before : spec.steps[s].depends_on) {
      start = std::max(start, finish_times[static_cast<std::size_t>(before)]);
    }
    finish_times.push_back(start + run_time(s));
    path_length = std::max(path_length, finish_times.back());
  }
  return path_length;
}

}  // namespace

Urgency ComputeUrgency(const Graph& graph, WallMillis now) {
  Urgency urgency;
  urgency.priority = graph.queue.priority;
  urgency.submission_order = graph.order;
  const bool is_long_running =
      std::any_of(graph.spec.steps.begin(), graph.spec.steps.end(),
                  [](const StepSpec& step) { return step.long_running; });
  if (is_long_running || graph.occurrences.empty()) {
    urgency.feasibility = Feasibility::kLongRunning;
    return urgency;
  }
  const std::int64_t critical_path = CriticalPath(
      graph.spec,
      [&](std::size_t s) { return graph.spec.steps[s].estimate_ms; });
  const auto objective_ms =
      static_cast<std::int64_t>(static_cast<double>(critical_path) *
                                graph.queue.stretch) +
      graph.queue.slo_ms;
  // For a scheduled job, the first occurrence that is not done counts.
  WallMillis start = graph.submitted_at;
  const OccurrenceProgress* steps = &graph.occurrences.front();
  for (std::size_t k = 0; k < graph.occurrences.size(); ++k) {
    steps = &graph.occurrences[k];
    if (graph.spec.occurrences > 0) {
      start = graph.spec.first_due_at +
              static_cast<std::int64_t>(k) * graph.spec.interval_ms;
    }
    if (!IsDone(*steps)) {
      break;
    }
  }
  urgency.objective_deadline = start + objective_ms;
  const WallMillis end =
      now + CriticalPath(graph.spec, [&](std::size_t s) {
        return RemainingRunTime(graph.spec.steps[s], (*steps)[s]);
      });
  if (end > start + objective_ms * kLateObjectiveFactor) {
    urgency.feasibility = Feasibility::kExpired;
  } else if (end > urgency.objective_deadline) {
    urgency.feasibility = Feasibility::kLate;
  } else {
    urgency.feasibility = Feasibility::kOnTime;
  }
  for (std::size_t s = 0; s < steps->size(); ++s) {
    const StepSpec& spec = graph.spec.steps[s];
    urgency.remaining_work += spec.estimate_ms * spec.needs.cpu_millis *
                              (spec.count - (*steps)[s].done);
  }
  return urgency;
}

}  // namespace banyan
