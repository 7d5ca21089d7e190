#ifndef BANYAN_GRAPH_GRAPH_TABLE_H_
#define BANYAN_GRAPH_GRAPH_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/events/event.h"
#include "banyan/wire/command.h"
#include "banyan/wire/graph.h"

namespace banyan {

// How long a graph is shown after it reached its final state, in milliseconds.
// Five times what callers are promised, because wall clocks may jump.
inline constexpr WallMillis kGraphRetentionMs = 600LL * 1000;

// Where one task of a graph stands.
enum class TaskPhase : std::uint8_t { kWaiting, kReady, kRunning, kDone };

// One task and the run that it is at.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  // The run that was placed last; 0 before the first.
  std::int64_t run = 0;
  std::int64_t failures = 0;
  WorkerIncarnation worker;
  // The latest checkpoint that stands in the log; empty means from the start.
  std::string checkpoint;
};

// The tasks of one step of one occurrence.
struct StepProgress {
  std::int64_t done = 0;
  // Failed runs of a gang, counted once each.
  std::int64_t gang_failures = 0;
  std::int64_t last_failed_run = 0;
  std::vector<TaskProgress> tasks;

  [[nodiscard]] bool is_done() const noexcept {
    return done == static_cast<std::int64_t>(tasks.size());
  }
};

// The steps of one occurrence.
using OccurrenceProgress = std::vector<StepProgress>;

// Returns whether every step of an occurrence is done.
[[nodiscard]] bool IsDone(const OccurrenceProgress& steps);

// A job graph with its progress. The occurrences of a final graph are dropped.
struct Graph {
  GraphSpec spec;
  // The queue as it was when the graph was accepted.
  QueueSpec queue;
  GraphState state = GraphState::kQueued;
  std::vector<OccurrenceProgress> occurrences;
  // Tasks that may be placed as far as their steps go.
  std::int64_t ready = 0;
  // Rises with every submission.
  std::uint64_t order = 0;
  WallMillis submitted_at = 0;
  WallMillis changed_at = 0;
};

// A worker's present life with what was placed on it.
struct GraphWorker {
  WorkerInfo info;
  std::string agent;
  // The last end of this life that stands in the log.
  std::int64_t noted = 0;
  // Needs of all runs whose end is not noted. The processor time of tasks
  // that fill is not part of it.
  Resources committed;
  // Processor time that the tasks that fill would like, in thousandths.
  std::int64_t fill_cpu_millis = 0;
  std::set<RunRef> runs;
};

// What applying one command to the table changed.
struct GraphApplyResult {
  CommandResult result;
  bool plan_changed = false;
  // Runs that were placed, for whoever sends the starts.
  std::vector<RunPlacement> placed;
  // Workers whose runs changed or ended.
  std::set<std::string> affected_workers;
  Events events;
};

// The replicated table of job graphs, workers' lives, the operator's plan and
// the evacuated data centres. Deterministic; does no I/O.
class GraphTable {
 public:
  // Applies one command at the log's wall time.
  GraphApplyResult Apply(const InstallPlan& command, WallMillis now);
  GraphApplyResult Apply(const SetEvacuated& command, WallMillis now);
  GraphApplyResult Apply(const SubmitGraph& command, WallMillis now);
  GraphApplyResult Apply(const CancelGraph& command, WallMillis now);
  GraphApplyResult Apply(const AdmitWorker& command, WallMillis now);
  GraphApplyResult Apply(const DropWorker& command, WallMillis now);
  GraphApplyResult Apply(const PlaceRuns& command, WallMillis now);
  GraphApplyResult Apply(const EndRuns& command, WallMillis now);

  // Forgets graphs that ended long before the log's wall time.
  void RemoveExpiredGraphs(WallMillis now);

  // Rebuilds what is derived, after the fields were read from a snapshot.
  void RebuildIndexes();

  [[nodiscard]] const ServicePlan& plan() const noexcept { return plan_; }
  [[nodiscard]] const std::set<std::string>& evacuated() const noexcept {
    return evacuated_;
  }
  [[nodiscard]] const std::map<std::string, Graph>& graphs() const noexcept {
    return graphs_;
  }
  [[nodiscard]] const std::map<std::string, GraphWorker>& workers()
      const noexcept {
    return workers_;
  }
  // Graphs in progress that have tasks to place.
  [[nodiscard]] const std::set<std::string>& ready_graphs() const noexcept {
    return ready_graphs_;
  }

  [[nodiscard]] const Graph* FindGraph(std::string_view id) const;
  [[nodiscard]] const GraphWorker* FindWorker(
      const WorkerIncarnation& incarnation) const;
  // The step of a task, also of a graph that is over; nothing for one of a
  // graph that is not known.
  [[nodiscard]] const StepSpec* FindStep(const TaskRef& task) const;
  // The progress of a task; nothing for one of a graph that is over.
  [[nodiscard]] const TaskProgress* FindTask(const TaskRef& task) const;
  // Whether the run is the one that its task is at, on this worker.
  [[nodiscard]] bool IsCurrent(const RunRef& run,
                               const WorkerIncarnation& incarnation) const;
  // The plan's queue of this name; nothing if it has none.
  [[nodiscard]] const QueueSpec* FindQueue(std::string_view name) const;
  // Graphs of a queue that were accepted and of which nothing has begun.
  [[nodiscard]] std::int64_t PendingGraphCount(std::string_view queue) const;

  friend struct GraphTableCodec;

 private:
  [[nodiscard]] GraphWorker* MutableWorker(
      const WorkerIncarnation& incarnation);
  [[nodiscard]] TaskProgress* MutableTask(const TaskRef& task);
  void MarkReadySteps(Graph& graph, std::size_t occurrence);
  void SetPhase(const std::string& id,
                Graph& graph,
                TaskProgress& task,
                TaskPhase phase);
  void EndRun(GraphWorker& worker,
              const EndedRun& row,
              WallMillis now,
              GraphApplyResult& applied);
  void FinishTask(const std::string& id,
                  Graph& graph,
                  const TaskRef& ref,
                  WallMillis now,
                  GraphApplyResult& applied);
  void RecordFailure(const std::string& id,
                     Graph& graph,
                     const RunRef& run,
                     TaskProgress& task,
                     WallMillis now,
                     GraphApplyResult& applied);
  void Finish(const std::string& id,
              Graph& graph,
              GraphState state,
              WallMillis now,
              GraphApplyResult& applied);
  void EndIncarnation(GraphWorker& worker,
                      const std::string& cause,
                      WallMillis now,
                      GraphApplyResult& applied);
  void MarkRunning(Graph& graph);

  ServicePlan plan_;
  std::set<std::string> evacuated_;
  std::map<std::string, Graph> graphs_;
  std::map<std::string, GraphWorker> workers_;
  std::uint64_t next_order_ = 1;

  // Derived from the above.
  std::set<std::string> ready_graphs_;
  std::map<std::string, std::int64_t> pending_counts_;
  std::set<std::pair<WallMillis, std::string>> expiry_;
};

// Returns what a run of a step takes of its worker for good: a task that fills
// takes memory but no processor time of its own.
[[nodiscard]] inline Resources ReservedResources(
    const StepSpec& step) noexcept {
  Resources held = step.needs;
  if (step.best_effort) {
    held.cpu_millis = 0;
  }
  return held;
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_GRAPH_TABLE_H_
