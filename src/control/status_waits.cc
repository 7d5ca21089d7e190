#include "banyan/control/status_waits.h"

#include <algorithm>

namespace banyan {

bool IsEnding(const Graph& graph) {
  const auto is_long_running = [](const StepSpec& step) {
    return step.long_running;
  };
  const auto is_begun = [](const TaskProgress& task) {
    return task.phase == TaskPhase::kRunning || task.phase == TaskPhase::kDone;
  };
  return !IsFinal(graph.state) && !graph.occurrences.empty() &&
         std::none_of(graph.spec.steps.begin(), graph.spec.steps.end(),
                      is_long_running) &&
         std::all_of(graph.occurrences.begin(), graph.occurrences.end(),
                     [&](const OccurrenceProgress& steps) {
                       return std::all_of(steps.begin(), steps.end(),
                                          [&](const StepProgress& step) {
                                            return std::all_of(
                                                step.tasks.begin(),
                                                step.tasks.end(), is_begun);
                                          });
                     });
}

}  // namespace banyan
