#include "banyan/graph/urgency.h"

#include <algorithm>
#include <vector>

namespace banyan {
namespace {

// A result counts as late up to this many times the objective.
constexpr std::int64_t kLateFactor = 3;
// What is left of a step whose tasks all run, in tenths of its run time.
constexpr std::int64_t kRunningTenths = 6;
constexpr std::int64_t kTenths = 10;

// Returns the run time of a step's tasks that is left, by their progress.
std::int64_t LeftOf(const StepSpec& spec, const StepProgress& progress) {
  if (progress.is_done()) {
    return 0;
  }
  const bool is_running =
      std::all_of(progress.tasks.begin(), progress.tasks.end(),
                  [](const TaskProgress& task) {
                    return task.phase == TaskPhase::kRunning ||
                           task.phase == TaskPhase::kDone;
                  });
  return is_running ? spec.estimate_ms * kRunningTenths / kTenths
                    : spec.estimate_ms;
}

// Returns the longest chain of the run times that a function gives by step.
template <typename RunTime>
std::int64_t LongestChain(const GraphSpec& spec, const RunTime& run_time) {
  std::vector<std::int64_t> ends;
  std::int64_t longest = 0;
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    std::int64_t start = 0;
    for (const std::int64_t before : spec.steps[s].depends_on) {
      start = std::max(start, ends[static_cast<std::size_t>(before)]);
    }
    ends.push_back(start + run_time(s));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

Urgency UrgencyOf(const Graph& graph, WallMillis now) {
  Urgency urgency;
  urgency.priority = graph.queue.priority;
  urgency.order = graph.order;
  const bool lasts =
      std::any_of(graph.spec.steps.begin(), graph.spec.steps.end(),
                  [](const StepSpec& step) { return step.long_running; });
  if (lasts || graph.occurrences.empty()) {
    urgency.reach = Reach::kLasting;
    return urgency;
  }
  const std::int64_t chain = LongestChain(graph.spec, [&](std::size_t s) {
    return graph.spec.steps[s].estimate_ms;
  });
  const auto objective = static_cast<std::int64_t>(static_cast<double>(chain) *
                                                   graph.queue.stretch) +
                         graph.queue.slo_ms;
  // Of a scheduled job the first occurrence that is not done counts.
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
  urgency.objective_at = start + objective;
  const WallMillis end = now + LongestChain(graph.spec, [&](std::size_t s) {
                           return LeftOf(graph.spec.steps[s], (*steps)[s]);
                         });
  if (end > start + objective * kLateFactor) {
    urgency.reach = Reach::kTooLate;
  } else if (end > urgency.objective_at) {
    urgency.reach = Reach::kLate;
  } else {
    urgency.reach = Reach::kInTime;
  }
  for (std::size_t s = 0; s < steps->size(); ++s) {
    const StepSpec& spec = graph.spec.steps[s];
    urgency.work_left += spec.estimate_ms * spec.needs.cpu_millis *
                         (spec.count - (*steps)[s].done);
  }
  return urgency;
}

}  // namespace banyan
