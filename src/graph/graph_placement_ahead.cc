// The members of GraphPlacement that keep workers for tasks that wait.

#include <utility>

#include "banyan/graph/graph_placement.h"
#include "banyan/graph/placement_task.h"

namespace banyan {

bool GraphPlacement::IsHeldBack(const TaskRequest& request,
                                const CandidateWorker& candidate) const {
  return candidate.hold != nullptr && request.step.best_effort &&
         !is_relaxed_ && request.isolation == Isolation::kNone &&
         candidate.hold->KeepsOut(
             request.task.graph, standing_,
             ExpectedEnd(run_times_, request.graph.queue.name, request.task,
                         request.step, now_));
}

bool GraphPlacement::IsCordoned(const TaskRequest& request,
                                const CandidateWorker& candidate) {
  return candidate.cordon != nullptr && request.isolation == Isolation::kNone &&
         candidate.cordon->graph != request.task.graph;
}

void GraphPlacement::CordonFor(const TaskRequest& request) {
  const StepProgress& progress =
      request.graph
          .occurrences[static_cast<std::size_t>(request.task.occurrence)]
                      [static_cast<std::size_t>(request.task.step)];
  cordons_.Begin(now_,
                 {request.task.graph, request.graph.queue.service,
                  ReservedResources(request.step), ReadyTasks(progress)},
                 candidates_, [&](const CandidateWorker& candidate) {
                   if (candidate.access != WorkerAccess::kOpen) {
                     return false;
                   }
                   // As the worker is without its quick tasks.
                   CandidateWorker cleared = candidate;
                   cleared.free = candidate.RoomBesideLongRunning();
                   return !IsBinding(Assess(request, cleared).exclusion);
                 });
}

Events GraphPlacement::TakeEvents() {
  Events events = reservations_.TakeEvents();
  for (Event& event : cordons_.TakeEvents()) {
    events.push_back(std::move(event));
  }
  return events;
}

void GraphPlacement::ReserveAhead(
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views) {
  // A relaxed placement needs no reservation; a reserved worker has to be
  // suitable.
  is_relaxed_ = false;
  const TaskRef& task = *first_miss_;
  const Graph& graph = *table.FindGraph(task.graph);
  const StepSpec& step = *table.FindStep(task);
  const StepProgress& progress =
      graph.occurrences[static_cast<std::size_t>(task.occurrence)]
                       [static_cast<std::size_t>(task.step)];
  const StepDistribution distribution = DistributionOf(progress);
  const TaskRequest request{graph, task, step, Isolation::kNone, distribution};
  reservations_.Search(
      task.graph, standing_, graph.queue.service, ReadyTasks(progress),
      candidates_, *model_,
      [&](const CandidateWorker& candidate) {
        return EndingRuns(table, *candidate.worker,
                          views.at(candidate.worker->info.life.id), run_times_,
                          now_);
      },
      [&](const CandidateWorker& projected) {
        return Assess(request, projected).exclusion == Exclusion::kNone;
      });
}

}  // namespace banyan
