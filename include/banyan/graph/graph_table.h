#ifndef BANYAN_GRAPH_GRAPH_TABLE_H_
#define BANYAN_GRAPH_GRAPH_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/events/event.h"
#include "banyan/graph/crash_record.h"
#include "banyan/graph/gang_checkpoint.h"
#include "banyan/wire/command.h"
#include "banyan/wire/graph.h"

namespace banyan {

// How long a graph remains readable after it reached a terminal state, in
// milliseconds. Five times the guaranteed time, because wall clocks may jump.
inline constexpr WallMillis kGraphRetentionMs = 600LL * 1000;

// Maximum number of unknown graphs whose cancellation is remembered.
inline constexpr std::size_t kMaxCancelledIds = 10'000;

// State of one task of a graph.
enum class TaskPhase : std::uint8_t { kWaiting, kReady, kRunning, kDone };

// The second run of a speculative task.
struct TaskCopy {
  // Number of the copy placed last; 0 before the first. Kept after its end,
  // since run numbers are not reused.
  std::int64_t run = 0;
  // Empty id unless the copy is active.
  WorkerIncarnation worker;
};

// Progress of one task, with its latest run.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  // Number of the first run; 0 before it is placed. A copy that outlives the
  // first run becomes the first run.
  std::int64_t run = 0;
  std::int64_t failures = 0;
  WorkerIncarnation worker;
  // The latest checkpoint committed to the log; empty to start from scratch.
  // For a member of a gang the one that its latest run was placed with.
  std::string checkpoint;
  CrashRecord crashes;
  TaskCopy copy;

  // Whether a copy is active beside the first run.
  [[nodiscard]] bool has_copy() const noexcept {
    return !copy.worker.id.empty();
  }
  // Number of the run placed last; 0 before the first.
  [[nodiscard]] std::int64_t last_run() const noexcept {
    return std::max(run, copy.run);
  }
};

// Progress of one step in one occurrence.
struct StepProgress {
  std::int64_t done = 0;
  // Failed runs of a gang; a run counts once, however many members fail.
  std::int64_t gang_failures = 0;
  std::int64_t last_failed_run = 0;
  // Of a gang.
  GangCheckpoint checkpoint;
  std::vector<TaskProgress> tasks;

  [[nodiscard]] bool is_done() const noexcept {
    return done == static_cast<std::int64_t>(tasks.size());
  }
};

// Progress of the steps of one occurrence.
using OccurrenceProgress = std::vector<StepProgress>;

// Returns whether every step of an occurrence is done.
[[nodiscard]] bool IsDone(const OccurrenceProgress& steps);

// A job graph with its progress. The occurrences of a final graph are dropped.
struct Graph {
  GraphSpec spec;
  // The queue as it was when the graph was accepted.
  QueueSpec queue;
  GraphState state = GraphState::kQueued;
  // Whether a worker has reported a run of the graph. A run that is only placed
  // may never start.
  bool has_begun = false;
  std::vector<OccurrenceProgress> occurrences;
  // Number of tasks whose steps are ready and that are not placed.
  std::int64_t ready = 0;
  // Submission order; increases with every submission.
  std::uint64_t order = 0;
  WallMillis submitted_at = 0;
  WallMillis changed_at = 0;
  // Why the graph has failed; empty if it has not.
  std::string failure;
  // Of a final graph, the last runs of the tasks that were placed more than
  // once.
  std::set<RunRef> repeated;
};

// A worker's current incarnation with the runs placed on it.
struct GraphWorker {
  WorkerInfo info;
  std::string agent;
  // Number of the last ended run of this incarnation committed to the log.
  std::int64_t noted = 0;
  // Resources of all runs whose end is not committed to the log, without the
  // CPU of best-effort tasks.
  Resources committed;
  // CPU requested by best-effort tasks, in millicores.
  std::int64_t fill_cpu_millis = 0;
  std::set<RunRef> runs;
};

// The result of applying one command to the table.
struct GraphApplyResult {
  CommandResult result;
  bool plan_changed = false;
  // Runs that were placed and must be started.
  std::vector<RunPlacement> placed;
  // Ids of workers whose runs changed or ended.
  std::set<std::string> affected_workers;
  // The incarnation of a worker that was admitted; not if it was known.
  std::optional<WorkerIncarnation> admitted;
  Events events;
};

// The replicated table of job graphs, worker incarnations, the operator's plan
// and the evacuated data centres. Deterministic; performs no I/O.
class GraphTable {
 public:
  // Applies one command. `now` is the wall time of its log entry.
  GraphApplyResult Apply(const InstallPlan& command, WallMillis now);
  GraphApplyResult Apply(const SetEvacuated& command, WallMillis now);
  // A graph that was cancelled before it was submitted ends as cancelled.
  GraphApplyResult Apply(const SubmitGraph& command, WallMillis now);
  // Remembers the cancellation of an unknown graph for kGraphRetentionMs, since
  // its submission may still be on its way.
  GraphApplyResult Apply(const CancelGraph& command, WallMillis now);
  GraphApplyResult Apply(const AdmitWorker& command, WallMillis now);
  GraphApplyResult Apply(const DropWorker& command, WallMillis now);
  GraphApplyResult Apply(const PlaceRuns& command, WallMillis now);
  // Ignores copies that are not allowed: of tasks that have no active run, have
  // a copy, are suspects or could exceed their attempts, of steps that may not
  // be copied, and on the worker of the first run.
  GraphApplyResult Apply(const PlaceCopies& command, WallMillis now);
  // An incarnation that has yet to be admitted can only have done runs of an
  // earlier one.
  GraphApplyResult Apply(const EndRuns& command, WallMillis now);
  GraphApplyResult Apply(const RecordCrashes& command, WallMillis now);

  // Removes graphs whose retention period has passed at the log's wall time.
  void RemoveExpiredGraphs(WallMillis now);

  // Rebuilds the derived indexes after loading a snapshot.
  void RebuildIndexes();

  [[nodiscard]] const ServicePlan& plan() const noexcept { return plan_; }
  [[nodiscard]] const std::set<std::string>& evacuated() const noexcept {
    return evacuated_;
  }
  // Number of changes of evacuations so far.
  [[nodiscard]] std::uint64_t evacuation_changes() const noexcept {
    return evacuation_changes_;
  }
  [[nodiscard]] const std::map<std::string, Graph>& graphs() const noexcept {
    return graphs_;
  }
  [[nodiscard]] const std::map<std::string, GraphWorker>& workers()
      const noexcept {
    return workers_;
  }
  // Ids of graphs in progress that have tasks to place.
  [[nodiscard]] const std::set<std::string>& ready_graphs() const noexcept {
    return ready_graphs_;
  }

  // Tasks of graphs in progress that may crash the worker that starts them.
  [[nodiscard]] const std::set<TaskRef>& suspects() const noexcept {
    return suspects_;
  }

  [[nodiscard]] const Graph* FindGraph(std::string_view id) const;
  [[nodiscard]] const GraphWorker* FindWorker(
      const WorkerIncarnation& incarnation) const;
  // Returns the step of a task, also in a terminal graph; null if the graph is
  // unknown.
  [[nodiscard]] const StepSpec* FindStep(const TaskRef& task) const;
  // Returns the progress of a task; null if its graph is terminal or unknown.
  [[nodiscard]] const TaskProgress* FindTask(const TaskRef& task) const;
  // Returns whether the run is its task's active run or its active copy, on
  // this worker.
  [[nodiscard]] bool IsCurrent(const RunRef& run,
                               const WorkerIncarnation& incarnation) const;
  // Returns whether the run is the last one of a task that waits to be placed
  // again, and was placed on another incarnation of this worker: a call to that
  // one may have started it on this one.
  [[nodiscard]] bool IsInherited(const RunRef& run,
                                 const WorkerIncarnation& incarnation) const;
  // Returns whether the run is the last one of its task, which is not placed
  // again. False if the graph is unknown.
  [[nodiscard]] bool IsFinalRun(const RunRef& run) const;
  // Returns whether another run of the task may be started beside its active
  // one.
  [[nodiscard]] bool MayCopy(const TaskRef& task) const;
  // Returns the plan's queue of this name; null if there is none.
  [[nodiscard]] const QueueSpec* FindQueue(std::string_view name) const;
  // Returns the number of accepted graphs of a queue of which the log has no
  // run that started; workers may already list runs of some.
  [[nodiscard]] std::int64_t PendingGraphCount(std::string_view queue) const;
  // Ids of graphs that have runs placed and that count as pending.
  [[nodiscard]] const std::set<std::string>& unconfirmed_graphs()
      const noexcept {
    return unconfirmed_graphs_;
  }

  friend struct GraphTableCodec;

 private:
  [[nodiscard]] GraphWorker* MutableWorker(
      const WorkerIncarnation& incarnation);
  [[nodiscard]] TaskProgress* MutableTask(const TaskRef& task);
  [[nodiscard]] StepProgress& MutableStep(const TaskRef& task);
  // Records what a current run has saved. `is_final` says that it has ended.
  void SaveCheckpoint(const RunRef& run,
                      const std::string& checkpoint,
                      bool is_final);
  void MarkReadySteps(Graph& graph, std::size_t occurrence);
  void SetPhase(const std::string& id,
                Graph& graph,
                TaskProgress& task,
                TaskPhase phase);
  void EndRun(GraphWorker& worker,
              const EndedRun& row,
              WallMillis now,
              GraphApplyResult& applied);
  // Completes the task of a run that was placed on another incarnation of the
  // worker, if that still counts. Returns whether it does.
  bool FinishInherited(const WorkerIncarnation& incarnation,
                       const EndedRun& row,
                       WallMillis now,
                       GraphApplyResult& applied);
  // Records the placement of a run that its task's progress names already.
  void AddRun(const RunPlacement& placement,
              GraphWorker& worker,
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
  // Records a crash for one task and gives the task up if it is to blame.
  void RecordCrash(const RunCrash& crash,
                   const std::string& worker,
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
  void MarkRunning(const std::string& id, Graph& graph);
  // Records that a run of the graph has started; it is no longer pending.
  void MarkBegun(const std::string& id, Graph& graph);
  // Remembers that an unknown graph was cancelled.
  void RememberCancelled(const std::string& id,
                         WallMillis now,
                         GraphApplyResult& applied);
  void ForgetCancelled(const std::string& id);
  // Adds the suspects among a graph's tasks to their index.
  void AddSuspects(const std::string& id, const Graph& graph);

  ServicePlan plan_;
  std::set<std::string> evacuated_;
  std::uint64_t evacuation_changes_ = 0;
  std::map<std::string, Graph> graphs_;
  // Graphs that were cancelled before they were submitted, with the end of
  // their retention.
  std::map<std::string, WallMillis> cancelled_ids_;
  std::map<std::string, GraphWorker> workers_;
  std::uint64_t next_order_ = 1;

  // Indexes derived from the fields above.
  std::set<std::string> ready_graphs_;
  std::set<TaskRef> suspects_;
  std::set<std::string> unconfirmed_graphs_;
  std::map<std::string, std::int64_t> pending_counts_;
  std::set<std::pair<WallMillis, std::string>> expiry_;
  std::set<std::pair<WallMillis, std::string>> cancelled_expiry_;
};

// Returns the resources that a run of a step reserves on its worker: a
// best-effort task reserves memory but no CPU.
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
