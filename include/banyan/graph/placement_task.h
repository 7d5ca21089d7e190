#ifndef BANYAN_GRAPH_PLACEMENT_TASK_H_
#define BANYAN_GRAPH_PLACEMENT_TASK_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "banyan/graph/graph_table.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Whether an occurrence of a graph may start.
[[nodiscard]] inline bool IsDue(const Graph& graph,
                                std::int64_t occurrence,
                                WallMillis wall) {
  return graph.spec.occurrences == 0 ||
         wall >= graph.spec.first_due_at + occurrence * graph.spec.interval_ms;
}

// Whether a task waits for its next run.
[[nodiscard]] inline bool IsReady(const GraphTable& table, const TaskRef& ref) {
  const TaskProgress* task = table.FindTask(ref);
  return task != nullptr && task->phase == TaskPhase::kReady;
}

// Returns the task whose wait counts: that of the first member for a gang.
[[nodiscard]] inline TaskRef WaitKey(const TaskRef& ref, const StepSpec& step) {
  TaskRef key = ref;
  if (step.gang) {
    key.index = 0;
  }
  return key;
}

// Returns the number of tasks of a step that wait for a run.
[[nodiscard]] inline std::size_t ReadyTasks(const StepProgress& progress) {
  return static_cast<std::size_t>(
      std::count_if(progress.tasks.begin(), progress.tasks.end(),
                    [](const TaskProgress& task) {
                      return task.phase == TaskPhase::kReady;
                    }));
}

// Whether any task of a graph runs.
[[nodiscard]] inline bool HasRunningTask(const Graph& graph) {
  for (const OccurrenceProgress& occurrence : graph.occurrences) {
    for (const StepProgress& step : occurrence) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(),
                      [](const TaskProgress& task) {
                        return task.phase == TaskPhase::kRunning;
                      })) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLACEMENT_TASK_H_
