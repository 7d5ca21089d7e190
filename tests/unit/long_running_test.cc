#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kTimeStep = Millis(100);
// A long-running task must run again so long after the end of its last run if
// there is room for it twice over.
constexpr Duration kRestartLimit = std::chrono::seconds(9);
// A sound worker that is suspected takes long-running tasks again within this
// time, whatever its other tasks do.
constexpr Duration kSuspicionLimit = std::chrono::seconds(15);

// Workers whose agents list all runs that are placed on them, with long-running
// runs at work.
class Pool {
 public:
  explicit Pool(const std::vector<WorkerInfo>& workers) : workers_(workers) {
    for (const WorkerInfo& info : workers_) {
      leader.Join(info);
    }
  }

  // Lets time pass with a list of each worker in each step.
  void Pass(Duration span) {
    for (Duration passed{}; passed < span; passed += kTimeStep) {
      for (const WorkerInfo& info : workers_) {
        leader.Sync(ListOf(info));
      }
      leader.AdvanceTime(kTimeStep);
    }
  }

  // Ends a run on its worker.
  void End(const RunRef& run, RunEndReason reason) {
    for (const WorkerInfo& info : workers_) {
      if (leader.RunsOn(info.life.id).contains(run)) {
        WorkerSync sync = ListOf(info);
        std::erase_if(sync.running,
                      [&](const RunStatus& row) { return row.run == run; });
        sync.ended = {{++last_end_[info.life.id], run, reason, ""}};
        leader.Sync(std::move(sync));
      }
    }
  }

  // Reports that a worker refused the start of a run.
  void Refuse(const RunRef& run) {
    for (const WorkerInfo& info : workers_) {
      if (leader.RunsOn(info.life.id).contains(run)) {
        WorkerSync sync = ListOf(info);
        std::erase_if(sync.running,
                      [&](const RunStatus& row) { return row.run == run; });
        sync.ended = {{0, run, RunEndReason::kRefused, ""}};
        leader.Sync(std::move(sync));
      }
    }
  }

  // Returns the active run of a task; its number is 0 if it does not run.
  [[nodiscard]] RunRef RunOfTask(const std::string& graph,
                                 std::int64_t index = 0) const {
    const TaskProgress* task = leader.table().FindTask({graph, 0, 0, index});
    const bool is_running = task->phase == TaskPhase::kRunning;
    return RunOf(graph, 0, index, is_running ? task->run : 0);
  }

  [[nodiscard]] bool IsRunning(const std::string& graph,
                               std::int64_t index = 0) const {
    return RunOfTask(graph, index).run != 0;
  }

  // Returns the worker that runs a task.
  [[nodiscard]] std::string WorkerOf(const std::string& graph,
                                     std::int64_t index = 0) const {
    return leader.table().FindTask({graph, 0, 0, index})->worker.id;
  }

  LeaderHarness leader;

 private:
  WorkerSync ListOf(const WorkerInfo& info) {
    WorkerSync sync;
    sync.info = info;
    sync.lists = ++lists_;
    for (const RunRef& run : leader.RunsOn(info.life.id)) {
      const StepSpec& step = *leader.table().FindStep(run.task);
      sync.running.push_back(
          {run, "", step.long_running ? kFullPercent : 1, 0});
    }
    return sync;
  }

  std::vector<WorkerInfo> workers_;
  std::uint64_t lists_ = 0;
  std::map<std::string, std::int64_t> last_end_;
};

StepSpec LongRunningStep(std::int64_t count) {
  StepSpec step = SampleStep(count);
  step.long_running = true;
  return step;
}

// Fails a run of a task of each graph, so that their worker is suspected.
void FailBoth(Pool& pool, const std::string& first, const std::string& second) {
  pool.End(pool.RunOfTask(first), RunEndReason::kFailed);
  pool.End(pool.RunOfTask(second), RunEndReason::kFailed);
}

// Guards against a worker that is suspected for good: long-running tasks may
// fail at any time and never end as done.
void RestartsOnTheOnlyWorkerAfterFailures() {
  Pool pool({SampleWorker("w1")});
  pool.leader.Commit(SampleGraph("g", {LongRunningStep(1)}));
  pool.leader.Commit(SampleGraph("h", {LongRunningStep(1)}));
  pool.Pass(std::chrono::seconds(1));
  for (int i = 0; i < 2; ++i) {
    pool.Pass(std::chrono::seconds(60));
    FailBoth(pool, "g", "h");
  }
  pool.Pass(kRestartLimit);
  CPPUNIT_ASSERT(pool.IsRunning("g"));
  CPPUNIT_ASSERT(pool.IsRunning("h"));
}

// Guards against a task that waits for the probe of a suspected worker while
// the limit per worker rules out the others.
void RestartsBesideASlowProbe() {
  Pool pool({SampleWorker("w1"), SampleWorker("w2")});
  StepSpec spread = LongRunningStep(2);
  spread.per_worker_limit = 1;
  pool.leader.Commit(SampleGraph("g", {spread}));
  pool.Pass(std::chrono::seconds(1));
  const std::int64_t index = pool.WorkerOf("g", 0) == "w1" ? 0 : 1;
  // Two graphs that fail on the same worker.
  pool.leader.Commit(SampleGraph("h", {SampleStep(6, 500)}));
  pool.leader.Commit(SampleGraph("i", {SampleStep(6, 500)}));
  pool.Pass(std::chrono::seconds(1));
  for (const RunRef& run : pool.leader.RunsOn("w1")) {
    if (run.task.graph != "g") {
      pool.End(run, RunEndReason::kFailed);
    }
  }
  pool.End(pool.RunOfTask("g", index), RunEndReason::kFailed);
  pool.Pass(kRestartLimit);
  CPPUNIT_ASSERT(pool.IsRunning("g", 0));
  CPPUNIT_ASSERT(pool.IsRunning("g", 1));
}

// Guards against long-running best-effort tasks that wait for better
// neighbours.
void BestEffortTasksStartBesideLatencySensitiveOnes() {
  Pool pool({SampleWorker("w1")});
  pool.leader.Commit(SampleGraph("g", {ServingStep(4)}));
  pool.Pass(std::chrono::seconds(1));
  StepSpec filling = BestEffortStep(4, 1000);
  filling.long_running = true;
  pool.leader.Commit(SampleGraph("h", {filling}));
  pool.Pass(kRestartLimit);
  for (std::int64_t i = 0; i < filling.count; ++i) {
    CPPUNIT_ASSERT(pool.IsRunning("h", i));
  }
}

// Guards against a suspect of a crash for which a worker is reserved that is
// suspected of failing its runs and therefore gets no long-running task.
void SuspectOfACrashIsNotKeptForASuspectedWorker() {
  Pool pool({SampleWorker("w1"), SampleWorker("w2")});
  const std::vector<std::string> graphs = {"a", "b", "c", "d"};
  for (const std::string& graph : graphs) {
    pool.leader.Commit(SampleGraph(graph, {LongRunningStep(1)}));
  }
  pool.Pass(std::chrono::seconds(1));
  const RunRef run = pool.RunOfTask("a");
  const std::string worker = pool.WorkerOf("a");
  for (const std::string& graph : graphs) {
    if (pool.WorkerOf(graph) != worker) {
      pool.End(pool.RunOfTask(graph), RunEndReason::kFailed);
    }
  }
  pool.Pass(std::chrono::seconds(3));
  pool.leader.Commit(RecordCrashes{SampleWorker(worker).life,
                                   {{run, CrashEvidence::kAtStart}}});
  pool.End(run, RunEndReason::kStopped);
  pool.Pass(kRestartLimit);
  CPPUNIT_ASSERT(pool.IsRunning("a"));
}

// Guards against a suspect of a crash for which a worker is reserved that is
// too small for it.
void SuspectOfACrashIsNotKeptForASmallWorker() {
  WorkerInfo small = SampleWorker("w2");
  small.capacity.cpu_millis = 500;
  Pool pool({SampleWorker("w1"), small});
  pool.leader.Commit(SampleGraph("a", {LongRunningStep(1)}));
  pool.leader.Commit(SampleGraph("b", {LongRunningStep(1)}));
  pool.Pass(std::chrono::seconds(1));
  const RunRef run = pool.RunOfTask("a");
  pool.leader.Commit(
      RecordCrashes{SampleWorker("w1").life, {{run, CrashEvidence::kAtStart}}});
  pool.End(run, RunEndReason::kStopped);
  pool.Pass(kRestartLimit);
  CPPUNIT_ASSERT(pool.IsRunning("a"));
}

// Guards against a suspect of a crash for which a worker is reserved that runs
// as many tasks of its step as the step allows.
void SuspectOfACrashIsNotKeptForAWorkerAtItsLimit() {
  WorkerInfo labelled = SampleWorker("w1");
  labelled.labels.emplace_back("x");
  Pool pool({labelled, SampleWorker("w2")});
  StepSpec limited = LongRunningStep(2);
  limited.per_worker_limit = 1;
  StepSpec beside = LongRunningStep(2);
  beside.required_label = "x";
  pool.leader.Commit(SampleGraph("a", {limited}));
  pool.leader.Commit(SampleGraph("b", {beside}));
  pool.Pass(std::chrono::seconds(1));
  const std::int64_t index = pool.WorkerOf("a") == "w1" ? 0 : 1;
  const RunRef run = pool.RunOfTask("a", index);
  CPPUNIT_ASSERT_EQUAL(std::string("w1"), pool.WorkerOf("a", index));
  pool.leader.Commit(
      RecordCrashes{SampleWorker("w1").life, {{run, CrashEvidence::kAtStart}}});
  pool.End(run, RunEndReason::kStopped);
  pool.Pass(kRestartLimit);
  CPPUNIT_ASSERT(pool.IsRunning("a", index));
}

// Guards against a sound worker that is closed by tasks that always fail.
void WorkerIsNotClosedByTasksThatAlwaysFail() {
  Pool pool({SampleWorker("w1")});
  pool.leader.Commit(SampleGraph("g", {LongRunningStep(1)}));
  pool.leader.Commit(SampleGraph("h", {LongRunningStep(1)}));
  pool.Pass(std::chrono::seconds(1));
  pool.leader.Commit(SampleGraph("sound", {LongRunningStep(1)}));
  Duration longest_wait{};
  Duration wait{};
  for (int i = 0; i < 600; ++i) {
    for (const char* graph : {"g", "h"}) {
      if (pool.IsRunning(graph)) {
        pool.End(pool.RunOfTask(graph), RunEndReason::kFailed);
      }
    }
    pool.Pass(kTimeStep);
    wait = pool.IsRunning("sound") ? Duration{} : wait + kTimeStep;
    longest_wait = std::max(longest_wait, wait);
  }
  CPPUNIT_ASSERT(longest_wait <= kSuspicionLimit);
  CPPUNIT_ASSERT(pool.IsRunning("sound"));
}

// Guards against a start that is tried again and again on the worker that
// refuses it.
void RefusedStartIsTriedElsewhere() {
  Pool pool({SampleWorker("w1"), SampleWorker("w2")});
  pool.leader.Commit(SampleGraph("g", {LongRunningStep(1)}));
  for (int i = 0; i < 3; ++i) {
    pool.Pass(kTimeStep);
    if (pool.IsRunning("g") && pool.WorkerOf("g") == "w1") {
      pool.Refuse(pool.RunOfTask("g"));
    }
  }
  pool.Pass(kTimeStep);
  CPPUNIT_ASSERT(pool.IsRunning("g"));
  CPPUNIT_ASSERT_EQUAL(std::string("w2"), pool.WorkerOf("g"));
}

// Guards against long-running tasks that always fail and keep batch work from
// the only worker.
void BatchWorkIsNotKeptOutByTasksThatAlwaysFail() {
  Pool pool({SampleWorker("w1")});
  pool.leader.Commit(SampleGraph("g", {LongRunningStep(1)}));
  pool.leader.Commit(SampleGraph("h", {LongRunningStep(1)}));
  pool.Pass(std::chrono::seconds(1));
  int done = 0;
  pool.leader.Commit(SampleGraph("batch", {SampleStep(30)}));
  for (int i = 0; i < 300; ++i) {
    for (const char* graph : {"g", "h"}) {
      if (pool.IsRunning(graph)) {
        pool.End(pool.RunOfTask(graph), RunEndReason::kFailed);
      }
    }
    pool.Pass(kTimeStep);
    for (std::int64_t index = 0; index < 30; ++index) {
      if (pool.leader.table().FindTask({"batch", 0, 0, index}) != nullptr &&
          pool.IsRunning("batch", index)) {
        pool.End(pool.RunOfTask("batch", index), RunEndReason::kDone);
        ++done;
      }
    }
  }
  CPPUNIT_ASSERT_EQUAL(30, done);
}

// Guards against a sound worker that is suspected for a task that fails on all
// workers.
void TaskThatFailsOnAllWorkersCastsNoSuspicion() {
  Pool pool({SampleWorker("w1"), SampleWorker("w2"), SampleWorker("w3")});
  pool.leader.Commit(SampleGraph("g", {LongRunningStep(1)}));
  std::set<std::string> workers;
  for (int i = 0; i < 3; ++i) {
    pool.Pass(kTimeStep);
    CPPUNIT_ASSERT(pool.IsRunning("g"));
    workers.insert(pool.WorkerOf("g"));
    pool.End(pool.RunOfTask("g"), RunEndReason::kFailed);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, workers.size());
  // On the third one another graph fails, too.
  pool.leader.Commit(SampleGraph("h", {SampleStep(12, 1)}));
  pool.Pass(kTimeStep);
  const std::string third = pool.WorkerOf("g");
  for (std::int64_t index = 0; index < 12; ++index) {
    if (pool.WorkerOf("h", index) == third) {
      pool.End(pool.RunOfTask("h", index), RunEndReason::kFailed);
      break;
    }
  }
  pool.leader.Commit(SampleGraph("sound", {SampleStep(9)}));
  pool.Pass(kTimeStep);
  CPPUNIT_ASSERT(pool.leader.RunsOn(third).size() >= 2);
}

// Guards against many long-running tasks that always fail and keep batch work
// from the only worker: each failure of another graph renews its quarantine.
void BatchWorkIsNotKeptOutByManyTasksThatAlwaysFail() {
  constexpr int kGraphs = 12;
  Pool pool({SampleWorker("w1")});
  for (int i = 0; i < kGraphs; ++i) {
    StepSpec step = LongRunningStep(1);
    step.needs = {100, 16, 0};
    pool.leader.Commit(SampleGraph("g" + std::to_string(i), {step}));
  }
  pool.leader.Commit(SampleGraph("batch", {SampleStep(4)}));
  const auto is_final = [&] {
    return IsFinal(pool.leader.table().FindGraph("batch")->state);
  };
  for (int i = 0; i < 100 && !is_final(); ++i) {
    pool.Pass(kTimeStep);
    for (int g = 0; g < kGraphs; ++g) {
      const std::string graph = "g" + std::to_string(g);
      if (pool.IsRunning(graph)) {
        pool.End(pool.RunOfTask(graph), RunEndReason::kFailed);
      }
    }
    for (std::int64_t index = 0; index < 4 && !is_final(); ++index) {
      if (pool.IsRunning("batch", index)) {
        pool.End(pool.RunOfTask("batch", index), RunEndReason::kDone);
      }
    }
  }
  CPPUNIT_ASSERT(is_final());
}

// Guards against a worker that is not suspected since tasks failed elsewhere
// long ago.
void OldFailuresElsewhereExcuseNoWorker() {
  Pool pool({SampleWorker("w1"), SampleWorker("w2"), SampleWorker("w3"),
             SampleWorker("w4")});
  const std::vector<std::string> graphs = {"g", "h", "i", "j"};
  for (const std::string& graph : graphs) {
    pool.leader.Commit(SampleGraph(graph, {LongRunningStep(1)}));
  }
  for (int i = 0; i < 6; ++i) {
    pool.Pass(std::chrono::seconds(60));
    for (const std::string& graph : graphs) {
      pool.End(pool.RunOfTask(graph), RunEndReason::kFailed);
    }
  }
  int failures = 0;
  for (int i = 0; i < 50; ++i) {
    pool.Pass(kTimeStep);
    for (const std::string& graph : graphs) {
      if (pool.IsRunning(graph) && pool.WorkerOf(graph) == "w1") {
        pool.End(pool.RunOfTask(graph), RunEndReason::kFailed);
        ++failures;
      }
    }
  }
  CPPUNIT_ASSERT(failures <= 8);
}

// Guards against a trial that others join: a long-running task has waited
// while its pool had no worker, and is overdue as the worker comes back.
void OverdueTaskDoesNotJoinATrial() {
  Pool pool({SampleWorker("w1")});
  for (const char* graph : {"a", "b", "d"}) {
    pool.leader.Commit(SampleGraph(graph, {LongRunningStep(1)}));
  }
  pool.Pass(std::chrono::seconds(1));
  const RecordCrashes crashes{SampleWorker("w1").life,
                              {{pool.RunOfTask("a"), CrashEvidence::kAtStart},
                               {pool.RunOfTask("b"), CrashEvidence::kAtStart}}};
  pool.leader.Commit(crashes);
  pool.leader.Commit(DropWorker{SampleWorker("w1").life, "it crashed", {}});
  pool.leader.AdvanceTime(std::chrono::seconds(1));
  pool.leader.AdvanceTime(std::chrono::seconds(1));
  pool.leader.AdvanceTime(std::chrono::seconds(1));
  pool.leader.Join(SampleWorker("w1", 2));
  pool.leader.AdvanceTime(Millis(10));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.leader.RunsOn("w1").size());
}

// Guards against a gang of long-running tasks that waits longer with each of
// its members, or for good if one of them is a suspect of a crash.
void GangOfSuspectsIsPlacedWhole() {
  Pool pool({SampleWorker("w1"), SampleWorker("w2")});
  pool.leader.Commit(SampleGraph("x", {LongRunningStep(2)}));
  pool.Pass(std::chrono::seconds(1));
  StepSpec gang = LongRunningStep(4);
  gang.gang = true;
  pool.leader.Commit(SampleGraph("g", {gang}));
  pool.Pass(std::chrono::seconds(1));
  CPPUNIT_ASSERT(pool.IsRunning("g"));
  RecordCrashes crashes{SampleWorker(pool.WorkerOf("g")).life, {}};
  std::vector<RunRef> runs;
  for (std::int64_t i = 0; i < gang.count; ++i) {
    runs.push_back(pool.RunOfTask("g", i));
    crashes.rows.push_back({runs.back(), CrashEvidence::kUnclear});
  }
  pool.leader.Commit(crashes);
  for (const RunRef& run : runs) {
    pool.End(run, RunEndReason::kGangMemberEnded);
  }
  pool.Pass(kRestartLimit);
  for (std::int64_t i = 0; i < gang.count; ++i) {
    CPPUNIT_ASSERT(pool.IsRunning("g", i));
  }
}

}  // namespace

Section LongRunningStory() {
  Section story("A long-running task");
  story
      .With(Section("that failed")
                .Then("restarts on the only worker, though tasks fail there",
                      RestartsOnTheOnlyWorkerAfterFailures)
                .Then("restarts beside a probe that lasts",
                      RestartsBesideASlowProbe)
                .Then("does not wait for a worker that its neighbours close",
                      WorkerIsNotClosedByTasksThatAlwaysFail)
                .Then("does not keep batch work from the only worker",
                      BatchWorkIsNotKeptOutByTasksThatAlwaysFail)
                .Then("does not keep batch work out with many others",
                      BatchWorkIsNotKeptOutByManyTasksThatAlwaysFail)
                .Then("long ago on other workers excuses no worker",
                      OldFailuresElsewhereExcuseNoWorker)
                .Then("on all workers casts no suspicion on them",
                      TaskThatFailsOnAllWorkersCastsNoSuspicion))
      .With(
          Section("whose start is refused")
              .Then("is tried on another worker", RefusedStartIsTriedElsewhere))
      .With(Section("that may have crashed its worker")
                .Then("is not kept for a worker that is suspected",
                      SuspectOfACrashIsNotKeptForASuspectedWorker)
                .Then("is not kept for a worker that is too small",
                      SuspectOfACrashIsNotKeptForASmallWorker)
                .Then("is not kept for a worker at its limit",
                      SuspectOfACrashIsNotKeptForAWorkerAtItsLimit)
                .Then("has no overdue task beside its trial",
                      OverdueTaskDoesNotJoinATrial)
                .Then("is placed with its gang", GangOfSuspectsIsPlacedWhole))
      .With(Section("that is best-effort")
                .Then("does not wait for better neighbours",
                      BestEffortTasksStartBesideLatencySensitiveOnes));
  return story;
}

}  // namespace banyan
