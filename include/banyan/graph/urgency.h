#ifndef BANYAN_GRAPH_URGENCY_H_
#define BANYAN_GRAPH_URGENCY_H_

#include <algorithm>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"

namespace banyan {

// A late result counts until this multiple of the latency objective.
inline constexpr std::int64_t kLateObjectiveFactor = 3;

// Where the run times of steps come from, in milliseconds: by the queue, the
// first task of the step, the step and its progress.
template <typename T>
concept RunTimeSource = requires(const T& source,
                                 std::string_view queue,
                                 const TaskRef& first,
                                 const StepSpec& step,
                                 const StepProgress& progress) {
  // Run time of one task.
  { source.StepMs(queue, first, step) } -> std::same_as<std::int64_t>;
  // Time until all tasks of the step are done.
  {
    source.RemainingMs(queue, first, step, progress)
    } -> std::same_as<std::int64_t>;
  // Sum of the remaining run times of all tasks.
  {
    source.RemainingTotalMs(queue, first, step, progress)
    } -> std::same_as<std::int64_t>;
};

// The run times that the callers declared.
struct DeclaredRunTimes {
  [[nodiscard]] static std::int64_t StepMs(std::string_view queue,
                                           const TaskRef& first,
                                           const StepSpec& step);
  [[nodiscard]] static std::int64_t RemainingMs(std::string_view queue,
                                                const TaskRef& first,
                                                const StepSpec& step,
                                                const StepProgress& progress);
  [[nodiscard]] static std::int64_t RemainingTotalMs(
      std::string_view queue,
      const TaskRef& first,
      const StepSpec& step,
      const StepProgress& progress);
};

static_assert(RunTimeSource<DeclaredRunTimes>);

// Whether a graph can still meet its latency objective, best first.
enum class Feasibility : std::uint8_t {
  // Can meet its latency objective, has neither long-running nor best-effort
  // tasks, and its pool is short of room.
  kUrgent,
  // The same with a late result that still counts.
  kUrgentLate,
  // Has long-running tasks, which are useful as soon as they run.
  kLongRunning,
  // Can meet its latency objective.
  kOnTime,
  // Will miss its objective, but a late result still counts.
  kLate,
  // Too late for its result to count.
  kExpired,
};

// Sort key of a graph in the placement order; smaller is placed first. The
// fields are compared in the order of their declaration.
struct Urgency {
  std::int64_t priority = 0;
  Feasibility feasibility = Feasibility::kOnTime;
  // Submission order of a graph that has waited for more than its objective, so
  // that graphs with more work don't starve; otherwise the largest value.
  std::uint64_t overdue_order = std::numeric_limits<std::uint64_t>::max();
  // CPU time that its steps still need by their run times, in
  // milliseconds of a thousandth of a processor.
  std::int64_t remaining_work = 0;
  // Deadline of its latency objective, in milliseconds since the epoch.
  WallMillis objective_deadline = 0;
  std::uint64_t submission_order = 0;

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

// Returns the length of the longest dependency chain, where `run_time` gives
// the run time of each step.
template <typename RunTime>
[[nodiscard]] std::int64_t CriticalPath(const GraphSpec& spec,
                                        const RunTime& run_time) {
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

// Returns how feasible an end is for an objective that counts from a start.
[[nodiscard]] Feasibility FeasibilityOf(WallMillis end,
                                        WallMillis start,
                                        std::int64_t objective_ms);

// Returns a graph's urgency at a wall time. Graphs that can meet their
// objective precede those that cannot: in an overload, submission order would
// make all of them late. Among graphs of equal feasibility the one with the
// least remaining work is first, so that a few graphs run all their tasks at
// once and finish, instead of all graphs progressing slowly.
template <RunTimeSource Source>
[[nodiscard]] Urgency ComputeUrgency(const std::string& id,
                                     const Graph& graph,
                                     WallMillis now,
                                     const Source& run_times) {
  Urgency urgency;
  urgency.priority = graph.queue.priority;
  urgency.submission_order = graph.order;
  const std::vector<StepSpec>& specs = graph.spec.steps;
  const bool is_long_running =
      std::any_of(specs.begin(), specs.end(),
                  [](const StepSpec& step) { return step.long_running; });
  if (is_long_running || graph.occurrences.empty()) {
    urgency.feasibility = Feasibility::kLongRunning;
    return urgency;
  }
  // For a scheduled job, the first occurrence that is not done counts.
  WallMillis start = graph.submitted_at;
  const OccurrenceProgress* steps = &graph.occurrences.front();
  TaskRef first{id, 0, 0, 0};
  for (std::size_t k = 0; k < graph.occurrences.size(); ++k) {
    steps = &graph.occurrences[k];
    first.occurrence = static_cast<std::int64_t>(k);
    if (graph.spec.occurrences > 0) {
      start =
          graph.spec.first_due_at + first.occurrence * graph.spec.interval_ms;
    }
    if (!IsDone(*steps)) {
      break;
    }
  }
  const std::string& queue = graph.queue.name;
  const std::int64_t critical_path =
      CriticalPath(graph.spec, [&](std::size_t s) {
        first.step = static_cast<std::int64_t>(s);
        return run_times.StepMs(queue, first, specs[s]);
      });
  const auto objective_ms =
      static_cast<std::int64_t>(static_cast<double>(critical_path) *
                                graph.queue.stretch) +
      graph.queue.slo_ms;
  urgency.objective_deadline = start + objective_ms;
  const WallMillis end =
      now + CriticalPath(graph.spec, [&](std::size_t s) {
        first.step = static_cast<std::int64_t>(s);
        return run_times.RemainingMs(queue, first, specs[s], (*steps)[s]);
      });
  urgency.feasibility = FeasibilityOf(end, start, objective_ms);
  for (std::size_t s = 0; s < steps->size(); ++s) {
    first.step = static_cast<std::int64_t>(s);
    urgency.remaining_work +=
        run_times.RemainingTotalMs(queue, first, specs[s], (*steps)[s]) *
        specs[s].needs.cpu_millis;
  }
  return urgency;
}

// Returns a graph's urgency by the declared run times.
[[nodiscard]] Urgency ComputeUrgency(const Graph& graph, WallMillis now);

}  // namespace banyan

#endif  // BANYAN_GRAPH_URGENCY_H_
