#include "banyan/graph/graph_table.h"

#include <algorithm>
#include <utility>

#include "banyan/graph/run_event.h"

namespace banyan {
namespace {

// Maximum number of expired graphs removed per command, which bounds the time
// that one command takes.
constexpr int kMaxExpiredPerCommand = 64;

void Refuse(GraphApplyResult& applied, ErrorKind kind, std::string text) {
  applied.result.ok = false;
  applied.result.error = kind;
  applied.result.text = std::move(text);
}

// Returns what the members of a gang's run are started from. It is the same for
// a member that is placed after another one of the run.
std::string CheckpointOfRun(const StepProgress& gang, std::int64_t run) {
  const auto placed =
      std::find_if(gang.tasks.begin(), gang.tasks.end(),
                   [&](const TaskProgress& task) { return task.run == run; });
  return placed == gang.tasks.end() ? gang.checkpoint.value
                                    : placed->checkpoint;
}

// Returns the event of a run that has ended on a worker.
Event EndEvent(const EndedRun& row, const std::string& worker) {
  return RunEvent(EventId::kRunEnded, row.run, worker)
      .With("occurrence", row.run.task.occurrence)
      .With("number", row.number)
      .With("ending", ToString(row.reason));
}

// Returns the last runs of the graph's tasks that were placed more than once.
std::set<RunRef> RepeatedRuns(const std::string& id, const Graph& graph) {
  std::set<RunRef> repeated;
  TaskRef ref{id, 0, 0, 0};
  for (const OccurrenceProgress& steps : graph.occurrences) {
    ref.step = 0;
    for (const StepProgress& step : steps) {
      ref.index = 0;
      for (const TaskProgress& task : step.tasks) {
        if (task.last_run() > 1) {
          repeated.insert({ref, task.last_run()});
        }
        ++ref.index;
      }
      ++ref.step;
    }
    ++ref.occurrence;
  }
  return repeated;
}

}  // namespace

bool IsDone(const OccurrenceProgress& steps) {
  return std::all_of(steps.begin(), steps.end(),
                     [](const StepProgress& step) { return step.is_done(); });
}

const Graph* GraphTable::FindGraph(std::string_view id) const {
  const auto found = graphs_.find(std::string(id));
  return found == graphs_.end() ? nullptr : &found->second;
}

const GraphWorker* GraphTable::FindWorker(
    const WorkerIncarnation& incarnation) const {
  const auto found = workers_.find(incarnation.id);
  return found == workers_.end() || found->second.info.life != incarnation
             ? nullptr
             : &found->second;
}

GraphWorker* GraphTable::MutableWorker(const WorkerIncarnation& incarnation) {
  return const_cast<GraphWorker*>(std::as_const(*this).FindWorker(incarnation));
}

const StepSpec* GraphTable::FindStep(const TaskRef& task) const {
  const Graph* graph = FindGraph(task.graph);
  const auto step = static_cast<std::size_t>(task.step);
  return graph == nullptr || step >= graph->spec.steps.size()
             ? nullptr
             : &graph->spec.steps[step];
}

TaskProgress* GraphTable::MutableTask(const TaskRef& task) {
  return const_cast<TaskProgress*>(std::as_const(*this).FindTask(task));
}

const TaskProgress* GraphTable::FindTask(const TaskRef& task) const {
  const Graph* graph = FindGraph(task.graph);
  if (graph == nullptr || task.occurrence < 0 || task.step < 0 ||
      task.index < 0) {
    return nullptr;
  }
  const auto occurrence = static_cast<std::size_t>(task.occurrence);
  const auto step = static_cast<std::size_t>(task.step);
  const auto index = static_cast<std::size_t>(task.index);
  if (occurrence >= graph->occurrences.size() ||
      step >= graph->occurrences[occurrence].size() ||
      index >= graph->occurrences[occurrence][step].tasks.size()) {
    return nullptr;
  }
  return &graph->occurrences[occurrence][step].tasks[index];
}

StepProgress& GraphTable::MutableStep(const TaskRef& task) {
  return graphs_.at(task.graph)
      .occurrences.at(static_cast<std::size_t>(task.occurrence))
      .at(static_cast<std::size_t>(task.step));
}

bool GraphTable::IsCurrent(const RunRef& run,
                           const WorkerIncarnation& incarnation) const {
  const TaskProgress* task = FindTask(run.task);
  if (task == nullptr || task->phase != TaskPhase::kRunning) {
    return false;
  }
  return (task->run == run.run && task->worker == incarnation) ||
         (task->has_copy() && task->copy.run == run.run &&
          task->copy.worker == incarnation);
}

bool GraphTable::IsInherited(const RunRef& run,
                             const WorkerIncarnation& incarnation) const {
  const TaskProgress* task = FindTask(run.task);
  return task != nullptr && task->phase == TaskPhase::kReady &&
         task->run == run.run && task->last_run() == run.run &&
         task->worker.id == incarnation.id && task->worker != incarnation &&
         !FindStep(run.task)->long_running;
}

bool GraphTable::IsFinalRun(const RunRef& run) const {
  const Graph* graph = FindGraph(run.task.graph);
  if (graph == nullptr) {
    return false;
  }
  if (!IsFinal(graph->state)) {
    const TaskProgress* task = FindTask(run.task);
    return task != nullptr && task->phase == TaskPhase::kDone &&
           task->last_run() == run.run;
  }
  const auto last = graph->repeated.lower_bound({run.task, 0});
  const bool is_repeated =
      last != graph->repeated.end() && last->task == run.task;
  return run.run == (is_repeated ? last->run : 1);
}

bool GraphTable::MayCopy(const TaskRef& ref) const {
  const TaskProgress* task = FindTask(ref);
  if (task == nullptr || task->phase != TaskPhase::kRunning ||
      task->has_copy() || task->crashes.is_suspect()) {
    return false;
  }
  const StepSpec& step = *FindStep(ref);
  // The active run and the copy may both fail.
  return step.speculative && !step.best_effort && !step.long_running &&
         !step.gang &&
         task->failures + 2 <= FindGraph(ref.graph)->queue.max_attempts;
}

const QueueSpec* GraphTable::FindQueue(std::string_view name) const {
  const auto found =
      std::find_if(plan_.queues.begin(), plan_.queues.end(),
                   [&](const QueueSpec& queue) { return queue.name == name; });
  return found == plan_.queues.end() ? nullptr : &*found;
}

std::int64_t GraphTable::PendingGraphCount(std::string_view queue) const {
  const auto found = pending_counts_.find(std::string(queue));
  return found == pending_counts_.end() ? 0 : found->second;
}

GraphApplyResult GraphTable::Apply(const InstallPlan& command,
                                   WallMillis /*now*/) {
  GraphApplyResult applied;
  applied.result.ok = true;
  if (command.plan.version > plan_.version) {
    plan_ = command.plan;
    applied.plan_changed = true;
  }
  applied.result.version = plan_.version;
  return applied;
}

GraphApplyResult GraphTable::Apply(const SetEvacuated& command,
                                   WallMillis /*now*/) {
  GraphApplyResult applied;
  applied.result.version = evacuation_changes_;
  if (evacuated_.contains(command.data_centre) == command.evacuated) {
    applied.result.ok = true;
    return applied;
  }
  const std::uint64_t expected =
      command.expected_changes.value_or(evacuation_changes_);
  if (expected != evacuation_changes_) {
    Refuse(applied, ErrorKind::kStale, "the evacuations have changed since");
    applied.events.push_back(Event(EventId::kCommandRefused)
                                 .With("command", SetEvacuated::kType)
                                 .With("data_centre", command.data_centre)
                                 .With("evacuated", command.evacuated ? 1 : 0)
                                 .With("expected", expected)
                                 .With("changes", evacuation_changes_)
                                 .With("reason", applied.result.text));
    return applied;
  }
  if (command.evacuated) {
    evacuated_.insert(command.data_centre);
  } else {
    evacuated_.erase(command.data_centre);
  }
  applied.result.ok = true;
  applied.result.version = ++evacuation_changes_;
  applied.events.push_back(Event(EventId::kEvacuationChanged)
                               .With("data_centre", command.data_centre)
                               .With("evacuated", command.evacuated ? 1 : 0)
                               .With("changes", evacuation_changes_));
  return applied;
}

GraphApplyResult GraphTable::Apply(const SubmitGraph& command, WallMillis now) {
  GraphApplyResult applied;
  applied.result.ok = true;
  if (graphs_.contains(command.id)) {
    return applied;
  }
  const QueueSpec* queue = FindQueue(command.spec.queue);
  if (queue == nullptr) {
    Refuse(applied, ErrorKind::kNotFound,
           "no queue '" + command.spec.queue + "'");
    return applied;
  }
  Graph& graph = graphs_[command.id];
  graph.spec = command.spec;
  graph.queue = *queue;
  graph.order = next_order_++;
  graph.submitted_at = now;
  graph.changed_at = now;
  OccurrenceProgress steps;
  for (const StepSpec& step : graph.spec.steps) {
    StepProgress progress;
    progress.tasks.resize(static_cast<std::size_t>(step.count));
    steps.push_back(std::move(progress));
  }
  const auto occurrence_count =
      std::max<std::int64_t>(graph.spec.occurrences, 1);
  graph.occurrences.assign(static_cast<std::size_t>(occurrence_count), steps);
  if (graph.spec.occurrences == 0) {
    ++pending_counts_[graph.queue.name];
  }
  for (std::size_t occurrence = 0; occurrence < graph.occurrences.size();
       ++occurrence) {
    MarkReadySteps(graph, occurrence);
  }
  if (graph.ready > 0) {
    ready_graphs_.insert(command.id);
  }
  std::int64_t tasks = 0;
  std::int64_t filling = 0;
  std::int64_t serving = 0;
  for (const StepSpec& step : graph.spec.steps) {
    tasks += step.count;
    filling += step.best_effort ? step.count : 0;
    serving += step.latency_target_ms > 0 ? step.count : 0;
  }
  applied.events.push_back(Event(EventId::kGraphAccepted)
                               .With("request", command.id)
                               .With("queue", graph.queue.name)
                               .With("steps", graph.spec.steps.size())
                               .With("tasks", tasks)
                               .With("filling", filling)
                               .With("serving", serving)
                               .With("plan", plan_.version));
  if (cancelled_ids_.contains(command.id)) {
    ForgetCancelled(command.id);
    Finish(command.id, graph, GraphState::kCancelled, now, applied);
  }
  return applied;
}

void GraphTable::MarkReadySteps(Graph& graph, std::size_t occurrence) {
  OccurrenceProgress& steps = graph.occurrences[occurrence];
  for (std::size_t s = 0; s < steps.size(); ++s) {
    if (steps[s].tasks.empty() ||
        steps[s].tasks.front().phase != TaskPhase::kWaiting) {
      continue;
    }
    const std::vector<std::int64_t>& depends_on =
        graph.spec.steps[s].depends_on;
    const bool is_ready = std::all_of(
        depends_on.begin(), depends_on.end(), [&](std::int64_t dependency) {
          return steps[static_cast<std::size_t>(dependency)].is_done();
        });
    if (!is_ready) {
      continue;
    }
    for (TaskProgress& task : steps[s].tasks) {
      task.phase = TaskPhase::kReady;
      ++graph.ready;
    }
  }
}

void GraphTable::SetPhase(const std::string& id,
                          Graph& graph,
                          TaskProgress& task,
                          TaskPhase phase) {
  graph.ready -= task.phase == TaskPhase::kReady ? 1 : 0;
  graph.ready += phase == TaskPhase::kReady ? 1 : 0;
  task.phase = phase;
  if (graph.ready > 0) {
    ready_graphs_.insert(id);
  } else {
    ready_graphs_.erase(id);
  }
}

void GraphTable::MarkRunning(const std::string& id, Graph& graph) {
  if (graph.state != GraphState::kQueued) {
    return;
  }
  graph.state = GraphState::kRunning;
  if (graph.spec.occurrences == 0) {
    unconfirmed_graphs_.insert(id);
  }
}

void GraphTable::MarkBegun(const std::string& id, Graph& graph) {
  if (graph.has_begun) {
    return;
  }
  graph.has_begun = true;
  unconfirmed_graphs_.erase(id);
  if (graph.spec.occurrences == 0) {
    --pending_counts_[graph.queue.name];
  }
}

GraphApplyResult GraphTable::Apply(const CancelGraph& command, WallMillis now) {
  GraphApplyResult applied;
  const auto found = graphs_.find(command.id);
  if (found == graphs_.end()) {
    Refuse(applied, ErrorKind::kNotFound, "no such graph");
    RememberCancelled(command.id, now, applied);
    return applied;
  }
  applied.result.ok = true;
  if (!IsFinal(found->second.state)) {
    Finish(command.id, found->second, GraphState::kCancelled, now, applied);
  }
  return applied;
}

void GraphTable::RememberCancelled(const std::string& id,
                                   WallMillis now,
                                   GraphApplyResult& applied) {
  ForgetCancelled(id);
  if (cancelled_ids_.size() >= kMaxCancelledIds) {
    const std::string oldest = cancelled_expiry_.begin()->second;
    applied.events.push_back(Event(EventId::kCancelForgotten)
                                 .With("request", oldest)
                                 .With("remembered", cancelled_ids_.size()));
    ForgetCancelled(oldest);
  }
  const WallMillis until = now + kGraphRetentionMs;
  cancelled_ids_.emplace(id, until);
  cancelled_expiry_.emplace(until, id);
  applied.events.push_back(Event(EventId::kCancelRemembered)
                               .With("request", id)
                               .With("remembered", cancelled_ids_.size()));
}

void GraphTable::ForgetCancelled(const std::string& id) {
  const auto found = cancelled_ids_.find(id);
  if (found != cancelled_ids_.end()) {
    cancelled_expiry_.erase({found->second, id});
    cancelled_ids_.erase(found);
  }
}

GraphApplyResult GraphTable::Apply(const AdmitWorker& command, WallMillis now) {
  GraphApplyResult applied;
  applied.result.ok = true;
  const WorkerIncarnation& incarnation = command.info.life;
  for (auto it = workers_.begin(); it != workers_.end();) {
    GraphWorker& other = it->second;
    const bool is_same_worker =
        other.agent == command.agent || it->first == incarnation.id;
    if (!is_same_worker || other.info.life == incarnation) {
      ++it;
      continue;
    }
    if (other.info.life.started_at_ms > incarnation.started_at_ms) {
      Refuse(applied, ErrorKind::kStale, "a later life is known");
      return applied;
    }
    EndIncarnation(other, "a later life came", now, applied);
    it = workers_.erase(it);
  }
  const bool is_new = !workers_.contains(incarnation.id);
  GraphWorker& worker = workers_[incarnation.id];
  worker.info = command.info;
  worker.agent = command.agent;
  applied.affected_workers.insert(incarnation.id);
  if (is_new) {
    applied.admitted = incarnation;
  }
  applied.events.push_back(
      Event(is_new ? EventId::kWorkerAdmitted : EventId::kWorkerChanged)
          .With("worker", incarnation.id)
          .With("born", incarnation.started_at_ms)
          .With("service", command.info.service)
          .With("data_centre", command.info.data_centre)
          .With("draining", command.info.draining ? 1 : 0));
  return applied;
}

GraphApplyResult GraphTable::Apply(const DropWorker& command, WallMillis now) {
  GraphApplyResult applied;
  GraphWorker* worker = MutableWorker(command.life);
  if (worker == nullptr) {
    Refuse(applied, ErrorKind::kStale, "another life is known");
    return applied;
  }
  applied.result.ok = true;
  for (const RunStatus& row : command.last_seen) {
    if (!IsCurrent(row.run, command.life)) {
      continue;
    }
    const std::string& id = row.run.task.graph;
    MarkBegun(id, graphs_.at(id));
    SaveCheckpoint(row.run, row.checkpoint, false);
  }
  EndIncarnation(*worker, command.cause, now, applied);
  workers_.erase(command.life.id);
  return applied;
}

void GraphTable::EndIncarnation(GraphWorker& worker,
                                const std::string& cause,
                                WallMillis now,
                                GraphApplyResult& applied) {
  applied.events.push_back(Event(EventId::kWorkerDropped)
                               .With("worker", worker.info.life.id)
                               .With("born", worker.info.life.started_at_ms)
                               .With("runs", worker.runs.size())
                               .With("cause", cause));
  const std::set<RunRef> runs = worker.runs;
  for (const RunRef& run : runs) {
    EndRun(worker, {0, run, RunEndReason::kWorkerLost, ""}, now, applied);
  }
  applied.affected_workers.insert(worker.info.life.id);
}

GraphApplyResult GraphTable::Apply(const PlaceRuns& command, WallMillis now) {
  GraphApplyResult applied;
  applied.result.ok = true;
  for (const RunPlacement& placement : command.runs) {
    TaskProgress* task = MutableTask(placement.run.task);
    GraphWorker* worker = MutableWorker(placement.worker);
    const bool is_possible =
        task != nullptr && task->phase == TaskPhase::kReady &&
        placement.run.run > task->last_run() && worker != nullptr;
    if (!is_possible) {
      continue;
    }
    const std::string& id = placement.run.task.graph;
    Graph& graph = graphs_.at(id);
    if (FindStep(placement.run.task)->gang) {
      task->checkpoint =
          CheckpointOfRun(MutableStep(placement.run.task), placement.run.run);
    }
    task->run = placement.run.run;
    task->worker = placement.worker;
    SetPhase(id, graph, *task, TaskPhase::kRunning);
    MarkRunning(id, graph);
    AddRun(placement, *worker, now, applied);
  }
  return applied;
}

GraphApplyResult GraphTable::Apply(const PlaceCopies& command, WallMillis now) {
  GraphApplyResult applied;
  applied.result.ok = true;
  for (const RunPlacement& placement : command.runs) {
    TaskProgress* task = MutableTask(placement.run.task);
    GraphWorker* worker = MutableWorker(placement.worker);
    if (worker == nullptr || !MayCopy(placement.run.task) ||
        placement.run.run <= task->last_run() ||
        placement.worker.id == task->worker.id) {
      continue;
    }
    task->copy = {placement.run.run, placement.worker};
    AddRun(placement, *worker, now, applied);
  }
  return applied;
}

void GraphTable::AddRun(const RunPlacement& placement,
                        GraphWorker& worker,
                        WallMillis now,
                        GraphApplyResult& applied) {
  const StepSpec& step = *FindStep(placement.run.task);
  graphs_.at(placement.run.task.graph).changed_at = now;
  worker.committed += ReservedResources(step);
  worker.fill_cpu_millis += step.best_effort ? step.needs.cpu_millis : 0;
  worker.runs.insert(placement.run);
  applied.placed.push_back(placement);
}

GraphApplyResult GraphTable::Apply(const EndRuns& command, WallMillis now) {
  GraphApplyResult applied;
  GraphWorker* worker = MutableWorker(command.worker);
  if (worker == nullptr) {
    for (const EndedRun& row : command.rows) {
      applied.result.ok |= FinishInherited(command.worker, row, now, applied);
    }
    if (!applied.result.ok) {
      Refuse(applied, ErrorKind::kStale, "another life is known");
    }
    return applied;
  }
  applied.result.ok = true;
  applied.affected_workers.insert(command.worker.id);
  for (const EndedRun& row : command.rows) {
    // A refusal comes from the agent and has no number in the worker's list.
    if (row.number != 0 && row.number <= worker->noted) {
      continue;
    }
    worker->noted = std::max(worker->noted, row.number);
    EndRun(*worker, row, now, applied);
  }
  return applied;
}

GraphApplyResult GraphTable::Apply(const RecordCrashes& command,
                                   WallMillis now) {
  GraphApplyResult applied;
  applied.result.ok = true;
  for (const RunCrash& crash : command.rows) {
    RecordCrash(crash, command.worker.id, now, applied);
  }
  return applied;
}

void GraphTable::RecordCrash(const RunCrash& crash,
                             const std::string& worker,
                             WallMillis now,
                             GraphApplyResult& applied) {
  const TaskRef& ref = crash.run.task;
  TaskProgress* task = MutableTask(ref);
  const bool is_counted = task == nullptr || task->phase == TaskPhase::kDone ||
                          crash.run.run <= task->crashes.last_run;
  if (is_counted || crash.run.run > task->last_run()) {
    return;
  }
  // A task that got to work was not to blame for earlier crashes at its start.
  if (crash.evidence == CrashEvidence::kAtWork &&
      (task->crashes.has_start_evidence() || FindStep(ref)->long_running)) {
    task->crashes = CrashRecord{};
    task->crashes.last_run = crash.run.run;
    suspects_.erase(ref);
    return;
  }
  CrashRecord& record = task->crashes;
  record.Add(crash, worker);
  applied.events.push_back(RunEvent(EventId::kCrashRecorded, crash.run, worker)
                               .With("occurrence", ref.occurrence)
                               .With("evidence", ToString(crash.evidence))
                               .With("crashes", record.crashes)
                               .With("at_start", record.at_start)
                               .With("alone", record.alone)
                               .With("unclear", record.unclear));
  if (record.is_suspect()) {
    suspects_.insert(ref);
  }
  if (!record.is_given_up()) {
    return;
  }
  std::string workers;
  for (const std::string& id : record.workers) {
    workers += (workers.empty() ? "" : ",") + id;
  }
  applied.events.push_back(Event(EventId::kTaskGivenUp)
                               .With("request", ref.graph)
                               .With("occurrence", ref.occurrence)
                               .With("step", ref.step)
                               .With("task", ref.index)
                               .With("crashes", record.crashes)
                               .With("at_start", record.at_start)
                               .With("alone", record.alone)
                               .With("unclear", record.unclear)
                               .With("workers", workers));
  Graph& graph = graphs_.at(ref.graph);
  graph.failure = "task " + std::to_string(ref.index) + " of step " +
                  std::to_string(ref.step) + " crashed its worker " +
                  std::to_string(record.crashes) + " times";
  Finish(ref.graph, graph, GraphState::kFailed, now, applied);
}

void GraphTable::EndRun(GraphWorker& worker,
                        const EndedRun& row,
                        WallMillis now,
                        GraphApplyResult& applied) {
  const auto graph = graphs_.find(row.run.task.graph);
  if (worker.runs.erase(row.run) == 0) {
    if (!FinishInherited(worker.info.life, row, now, applied)) {
      applied.events.push_back(
          RunEvent(EventId::kRunEndIgnored, row.run, worker.info.life.id)
              .With("occurrence", row.run.task.occurrence)
              .With("number", row.number)
              .With("ending", ToString(row.reason)));
    }
    return;
  }
  if (graph == graphs_.end()) {
    return;
  }
  const StepSpec& step = *FindStep(row.run.task);
  worker.committed -= ReservedResources(step);
  worker.fill_cpu_millis -= step.best_effort ? step.needs.cpu_millis : 0;
  applied.events.push_back(EndEvent(row, worker.info.life.id));
  // A refused start has no number, and has not begun.
  if (row.number != 0 || row.reason == RunEndReason::kDone) {
    MarkBegun(graph->first, graph->second);
  }
  if (!IsCurrent(row.run, worker.info.life)) {
    return;
  }
  TaskProgress& task = *MutableTask(row.run.task);
  SaveCheckpoint(row.run, row.checkpoint, true);
  graph->second.changed_at = now;
  const bool is_copy = task.has_copy() && row.run.run == task.copy.run;
  if (row.reason == RunEndReason::kDone && !step.long_running) {
    if (task.has_copy()) {
      // The other run must be stopped.
      applied.affected_workers.insert(is_copy ? task.worker.id
                                              : task.copy.worker.id);
      task.copy.worker = WorkerIncarnation{};
    }
    FinishTask(graph->first, graph->second, row.run.task, now, applied);
    return;
  }
  if (task.has_copy()) {
    // The other run stays, as the first run.
    if (!is_copy) {
      task.run = task.copy.run;
      task.worker = task.copy.worker;
    }
    task.copy.worker = WorkerIncarnation{};
  } else {
    SetPhase(graph->first, graph->second, task, TaskPhase::kReady);
  }
  if (row.reason == RunEndReason::kFailed && !step.long_running) {
    RecordFailure(graph->first, graph->second, row.run, task, now, applied);
  }
}

bool GraphTable::FinishInherited(const WorkerIncarnation& incarnation,
                                 const EndedRun& row,
                                 WallMillis now,
                                 GraphApplyResult& applied) {
  if (row.reason != RunEndReason::kDone || !IsInherited(row.run, incarnation)) {
    return false;
  }
  const auto graph = graphs_.find(row.run.task.graph);
  applied.events.push_back(EndEvent(row, incarnation.id));
  MarkBegun(graph->first, graph->second);
  graph->second.changed_at = now;
  FinishTask(graph->first, graph->second, row.run.task, now, applied);
  return true;
}

void GraphTable::SaveCheckpoint(const RunRef& run,
                                const std::string& checkpoint,
                                bool is_final) {
  if (checkpoint.empty()) {
    return;
  }
  TaskProgress& task = *MutableTask(run.task);
  if (!FindStep(run.task)->gang) {
    task.checkpoint = checkpoint;
    return;
  }
  // A member that has saved nothing reports what it was started from.
  if (checkpoint != task.checkpoint) {
    MutableStep(run.task).checkpoint.Update({checkpoint, run.run, is_final});
  }
}

void GraphTable::FinishTask(const std::string& id,
                            Graph& graph,
                            const TaskRef& ref,
                            WallMillis now,
                            GraphApplyResult& applied) {
  const auto occurrence = static_cast<std::size_t>(ref.occurrence);
  const auto index = static_cast<std::size_t>(ref.step);
  StepProgress& step = graph.occurrences[occurrence][index];
  // A gang is done when any one of its members is done.
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const bool is_done = graph.spec.steps[index].gang ||
                         static_cast<std::int64_t>(i) == ref.index;
    if (is_done && step.tasks[i].phase != TaskPhase::kDone) {
      suspects_.erase(
          {ref.graph, ref.occurrence, ref.step, static_cast<std::int64_t>(i)});
      SetPhase(id, graph, step.tasks[i], TaskPhase::kDone);
      ++step.done;
    }
  }
  if (!step.is_done()) {
    return;
  }
  MarkReadySteps(graph, occurrence);
  if (graph.ready > 0) {
    ready_graphs_.insert(id);
  }
  if (std::all_of(graph.occurrences.begin(), graph.occurrences.end(), IsDone)) {
    Finish(id, graph, GraphState::kCompleted, now, applied);
  }
}

void GraphTable::RecordFailure(const std::string& id,
                               Graph& graph,
                               const RunRef& run,
                               TaskProgress& task,
                               WallMillis now,
                               GraphApplyResult& applied) {
  const auto index = static_cast<std::size_t>(run.task.step);
  std::int64_t failures = ++task.failures;
  if (graph.spec.steps[index].gang) {
    StepProgress& step = MutableStep(run.task);
    if (run.run > step.last_failed_run) {
      step.last_failed_run = run.run;
      ++step.gang_failures;
    }
    failures = step.gang_failures;
  }
  // Another run of the task may be active and may still be done.
  if (failures >= graph.queue.max_attempts &&
      task.phase != TaskPhase::kRunning) {
    graph.failure = "task " + std::to_string(run.task.index) + " of step " +
                    std::to_string(run.task.step) + " failed " +
                    std::to_string(failures) + " times";
    Finish(id, graph, GraphState::kFailed, now, applied);
  }
}

void GraphTable::Finish(const std::string& id,
                        Graph& graph,
                        GraphState state,
                        WallMillis now,
                        GraphApplyResult& applied) {
  // Workers must stop the runs of the graph that are still active.
  for (const OccurrenceProgress& steps : graph.occurrences) {
    for (const StepProgress& step : steps) {
      for (const TaskProgress& task : step.tasks) {
        if (task.phase == TaskPhase::kRunning) {
          applied.affected_workers.insert(task.worker.id);
          if (task.has_copy()) {
            applied.affected_workers.insert(task.copy.worker.id);
          }
        }
      }
    }
  }
  MarkBegun(id, graph);
  graph.state = state;
  graph.changed_at = now;
  graph.ready = 0;
  graph.repeated = RepeatedRuns(id, graph);
  graph.occurrences.clear();
  graph.spec.payload.clear();
  ready_graphs_.erase(id);
  std::erase_if(suspects_, [&](const TaskRef& ref) { return ref.graph == id; });
  expiry_.emplace(now + kGraphRetentionMs, id);
  applied.events.push_back(Event(EventId::kGraphEnded)
                               .With("request", id)
                               .With("queue", graph.queue.name)
                               .With("state", ToString(state))
                               .With("took_ms", now - graph.submitted_at));
}

void GraphTable::RemoveExpiredGraphs(WallMillis now) {
  for (int i = 0; i < kMaxExpiredPerCommand && !expiry_.empty() &&
                  expiry_.begin()->first < now;
       ++i) {
    graphs_.erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
  for (int i = 0; i < kMaxExpiredPerCommand && !cancelled_expiry_.empty() &&
                  cancelled_expiry_.begin()->first < now;
       ++i) {
    cancelled_ids_.erase(cancelled_expiry_.begin()->second);
    cancelled_expiry_.erase(cancelled_expiry_.begin());
  }
}

void GraphTable::RebuildIndexes() {
  ready_graphs_.clear();
  suspects_.clear();
  unconfirmed_graphs_.clear();
  pending_counts_.clear();
  expiry_.clear();
  cancelled_expiry_.clear();
  for (const auto& [id, until] : cancelled_ids_) {
    cancelled_expiry_.emplace(until, id);
  }
  for (auto& [id, graph] : graphs_) {
    if (IsFinal(graph.state)) {
      expiry_.emplace(graph.changed_at + kGraphRetentionMs, id);
      continue;
    }
    if (!graph.has_begun && graph.spec.occurrences == 0) {
      ++pending_counts_[graph.queue.name];
      if (graph.state == GraphState::kRunning) {
        unconfirmed_graphs_.insert(id);
      }
    }
    if (graph.ready > 0) {
      ready_graphs_.insert(id);
    }
    AddSuspects(id, graph);
  }
}

void GraphTable::AddSuspects(const std::string& id, const Graph& graph) {
  TaskRef ref{id, 0, 0, 0};
  for (const OccurrenceProgress& steps : graph.occurrences) {
    ref.step = 0;
    for (const StepProgress& step : steps) {
      ref.index = 0;
      for (const TaskProgress& task : step.tasks) {
        if (task.phase != TaskPhase::kDone && task.crashes.is_suspect()) {
          suspects_.insert(ref);
        }
        ++ref.index;
      }
      ++ref.step;
    }
    ++ref.occurrence;
  }
}

}  // namespace banyan
