#include "banyan/graph/speculation.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/graph/graph_table_codec.h"
#include "src/wire/graph_json.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kTick = Millis(100);

StepSpec SpeculativeStep(std::int64_t count) {
  StepSpec step = SampleStep(count);
  step.speculative = true;
  step.estimate_ms = 100;
  return step;
}

// A table with one speculative task that runs on w1, as run 1, and has a copy
// on w2, as run 2.
class CopiedTask {
 public:
  explicit CopiedTask(const StepSpec& step = SpeculativeStep(1),
                      std::int64_t max_attempts = 2) {
    ServicePlan plan = SamplePlan();
    plan.queues[0].max_attempts = max_attempts;
    table_.Apply(InstallPlan{plan}, kGraphStart);
    for (const char* id : {"w1", "w2", "w3"}) {
      table_.Apply(AdmitWorker{SampleWorker(id), std::string("agent-") + id},
                   kGraphStart);
    }
    table_.Apply(SampleGraph("g", {step}), kGraphStart);
    table_.Apply(PlaceRuns{{{RunOf("g", 0, 0, 1), {"w1", 1}}}}, kGraphStart);
    Copy(2, "w2");
  }

  void Copy(std::int64_t run, const std::string& worker) {
    table_.Apply(PlaceCopies{{{RunOf("g", 0, 0, run), {worker, 1}}}},
                 kGraphStart);
  }

  GraphApplyResult End(std::int64_t run,
                       const std::string& worker,
                       RunEndReason reason) {
    return table_.Apply(
        EndRuns{{worker, 1}, {{++number_, RunOf("g", 0, 0, run), reason, ""}}},
        kGraphStart);
  }

  [[nodiscard]] bool IsCurrent(std::int64_t run,
                               const std::string& worker) const {
    return table_.IsCurrent(RunOf("g", 0, 0, run), {worker, 1});
  }
  [[nodiscard]] bool HasCopy() const {
    const TaskProgress* task = table_.FindTask({"g", 0, 0, 0});
    return task != nullptr && task->has_copy();
  }
  [[nodiscard]] const Graph& graph() const { return *table_.FindGraph("g"); }
  [[nodiscard]] GraphTable& table() { return table_; }

 private:
  GraphTable table_;
  std::int64_t number_ = 0;
};

// Guards against a run that goes on after the other one was done, and against a
// late end that counts.
void FirstDoneEndsTheTask() {
  for (const bool is_copy_first : {false, true}) {
    CopiedTask task;
    CPPUNIT_ASSERT(task.IsCurrent(1, "w1") && task.IsCurrent(2, "w2"));
    const std::string winner = is_copy_first ? "w2" : "w1";
    const std::string loser = is_copy_first ? "w1" : "w2";
    const GraphApplyResult applied =
        task.End(is_copy_first ? 2 : 1, winner, RunEndReason::kDone);
    CPPUNIT_ASSERT(task.graph().state == GraphState::kCompleted);
    CPPUNIT_ASSERT(applied.affected_workers.contains(loser));
    task.End(is_copy_first ? 1 : 2, loser, RunEndReason::kFailed);
    CPPUNIT_ASSERT(task.graph().state == GraphState::kCompleted);
    CPPUNIT_ASSERT(task.table().workers().at(loser).runs.empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         task.table().workers().at(loser).committed.cpu_millis);
  }
}

// Guards against a task that is placed a third time while one run is active,
// and against run numbers that are used twice.
void OtherRunStaysAfterAnEnd() {
  for (const RunEndReason reason :
       {RunEndReason::kFailed, RunEndReason::kStopped, RunEndReason::kRefused,
        RunEndReason::kWorkerLost}) {
    CopiedTask first;
    first.End(1, "w1", reason);
    CPPUNIT_ASSERT(first.IsCurrent(2, "w2") && !first.HasCopy());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, first.graph().ready);
    first.End(2, "w2", RunEndReason::kStopped);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, first.graph().ready);
    CopiedTask copy;
    copy.End(2, "w2", reason);
    CPPUNIT_ASSERT(copy.IsCurrent(1, "w1") && !copy.HasCopy());
    copy.Copy(2, "w3");
    CPPUNIT_ASSERT(!copy.HasCopy());
    copy.End(1, "w1", RunEndReason::kDone);
    CPPUNIT_ASSERT(copy.graph().state == GraphState::kCompleted);
  }
}

// Guards against a job that fails while one of its runs may still be done.
void JobFailsAfterBothRunsFailed() {
  CopiedTask task;
  task.End(1, "w1", RunEndReason::kFailed);
  CPPUNIT_ASSERT(task.graph().state == GraphState::kRunning);
  task.Copy(3, "w3");
  CPPUNIT_ASSERT(!task.HasCopy());
  task.End(2, "w2", RunEndReason::kFailed);
  CPPUNIT_ASSERT(task.graph().state == GraphState::kFailed);
}

void LossOfAWorkerEndsItsOwnRun() {
  CopiedTask task;
  task.table().Apply(DropWorker{{"w1", 1}, "lapsed", {}}, kGraphStart);
  CPPUNIT_ASSERT(task.IsCurrent(2, "w2"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, task.graph().ready);
}

void CancellationStopsBothRuns() {
  CopiedTask task;
  const GraphApplyResult applied =
      task.table().Apply(CancelGraph{"g"}, kGraphStart);
  CPPUNIT_ASSERT(applied.affected_workers.contains("w1"));
  CPPUNIT_ASSERT(applied.affected_workers.contains("w2"));
}

// Guards against copies of tasks that must run once at a time, of tasks that
// crash their workers, and beyond the attempts of their queue.
void ForbiddenCopiesAreIgnored() {
  for (const auto forbid : std::vector<void (*)(StepSpec&)>{
           [](StepSpec& step) { step.speculative = false; },
           [](StepSpec& step) { step.best_effort = true; },
           [](StepSpec& step) { step.long_running = true; },
           [](StepSpec& step) { step.gang = true; }}) {
    StepSpec step = SpeculativeStep(1);
    forbid(step);
    CPPUNIT_ASSERT(!CopiedTask(step).HasCopy());
  }
  CPPUNIT_ASSERT(!CopiedTask(SpeculativeStep(1), 1).HasCopy());
  CopiedTask task;
  task.Copy(3, "w3");
  CPPUNIT_ASSERT(!task.IsCurrent(3, "w3"));
  task.End(2, "w2", RunEndReason::kStopped);
  task.Copy(3, "w1");
  CPPUNIT_ASSERT(!task.HasCopy());
  task.table().Apply(
      RecordCrashes{{"w9", 1}, {{RunOf("g", 0, 0, 2), CrashEvidence::kAlone}}},
      kGraphStart);
  task.Copy(3, "w3");
  CPPUNIT_ASSERT(!task.HasCopy());
}

void SnapshotKeepsCopies() {
  CopiedTask task;
  GraphTable read;
  GraphTableCodec::FromJson(GraphTableCodec::ToJson(task.table()), read);
  CPPUNIT_ASSERT(read.IsCurrent(RunOf("g", 0, 0, 1), {"w1", 1}));
  CPPUNIT_ASSERT(read.IsCurrent(RunOf("g", 0, 0, 2), {"w2", 1}));
  nlohmann::json json = PlaceCopies{{{RunOf("g", 0, 0, 2), {"w2", 1}}}};
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                       json.get<PlaceCopies>().runs.front().run.run);
}

// Guards against a snapshot of the previous version that is refused.
void SnapshotWithoutCopiesIsRead() {
  CopiedTask task;
  nlohmann::json json = GraphTableCodec::ToJson(task.table());
  nlohmann::json& row = json["graphs"]["g"]["occurrences"][0][0]["tasks"][0];
  CPPUNIT_ASSERT_EQUAL(std::size_t{7}, row.size());
  row.erase(6);
  row.erase(5);
  GraphTable read;
  GraphTableCodec::FromJson(json, read);
  CPPUNIT_ASSERT(read.IsCurrent(RunOf("g", 0, 0, 1), {"w1", 1}));
  CPPUNIT_ASSERT(!read.IsCurrent(RunOf("g", 0, 0, 2), {"w2", 1}));
}

SchedulingPolicy WithCopies() {
  SchedulingPolicy policy;
  policy.speculative_copies = true;
  return policy;
}

// A leader with three workers in three data centres and a speculative task. The
// reports of one worker can be held back.
class SpeculativePool {
 public:
  explicit SpeculativePool(const StepSpec& step = SpeculativeStep(1),
                           const std::string& queue = "batch",
                           SchedulingPolicy policy = WithCopies())
      : leader(policy) {
    for (const char* id : {"w1", "w2", "w3"}) {
      leader.Join(Info(id));
    }
    leader.Commit(SampleGraph("g", {step}, queue));
    leader.AdvanceTime(Millis(20));
    first = RunsOfG().at(0).second;
  }

  [[nodiscard]] static WorkerInfo Info(const std::string& id) {
    return SampleWorker(id, 1, "dc-" + id);
  }

  // Returns the runs of the task's graph, by number, with their workers.
  [[nodiscard]] std::vector<std::pair<RunRef, std::string>> RunsOfG() const {
    std::vector<std::pair<RunRef, std::string>> runs;
    for (const char* id : {"w1", "w2", "w3"}) {
      for (const RunRef& run : leader.RunsOn(id)) {
        if (run.task.graph == "g") {
          runs.emplace_back(run, id);
        }
      }
    }
    std::sort(runs.begin(), runs.end());
    return runs;
  }

  void Report(const std::string& id, std::vector<EndedRun> ended = {}) {
    WorkerSync sync;
    sync.info = Info(id);
    for (const RunRef& run : leader.RunsOn(id)) {
      sync.running.push_back({run, "", 1, 0});
    }
    std::erase_if(sync.running, [&](const RunStatus& row) {
      return std::any_of(ended.begin(), ended.end(), [&](const EndedRun& end) {
        return end.run == row.run;
      });
    });
    sync.ended = std::move(ended);
    leader.Sync(std::move(sync));
  }

  // Passes time, while all workers but one report.
  void Pass(Duration span, const std::string& silent = "") {
    for (Duration passed{}; passed < span; passed += kTick) {
      for (const char* id : {"w1", "w2", "w3"}) {
        if (id != silent) {
          Report(id);
        }
      }
      leader.AdvanceTime(kTick);
    }
  }

  LeaderHarness leader;
  // The worker of the first run.
  std::string first;
};

void SilentWorkersTaskIsCopied() {
  SpeculativePool pool;
  pool.Pass(Millis(1000), pool.first);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.RunsOfG().size());
  pool.Pass(Millis(500), pool.first);
  const auto runs = pool.RunsOfG();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
  CPPUNIT_ASSERT(runs.at(1).second != pool.first);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.leader.leader().copy_counters().placed);
  SpeculativePool off(SpeculativeStep(1), "batch", SchedulingPolicy{});
  off.Pass(Millis(2000), off.first);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, off.RunsOfG().size());
}

// The worker of the first run returns after the copy was done. Guards against a
// stop that is lost for good and a late end that is sent forever.
void LosingRunIsStoppedAndItsEndAcknowledged() {
  SpeculativePool pool;
  pool.Pass(Millis(1500), pool.first);
  const auto runs = pool.RunsOfG();
  pool.Report(runs.at(1).second,
              {{1, runs.at(1).first, RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT(pool.leader.table().FindGraph("g")->state ==
                 GraphState::kCompleted);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.leader.leader().copy_counters().won);
  CPPUNIT_ASSERT(pool.leader.leader().copy_counters().wasted_cpu_ms >= 1500);
  // The stop that was sent at once is lost.
  for (int i = 0; i < 2; ++i) {
    pool.leader.AdvanceTime(Millis(500));
    static_cast<void>(pool.leader.TakeOrders());
    pool.Report(pool.first);
    const std::vector<WorkerOrders> orders = pool.leader.TakeOrders();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.at(0).stops.size());
  }
  pool.Report(pool.first, {{1, runs.at(0).first, RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.leader.table().workers().at(pool.first).noted);
}

void ReturningFirstRunMayBeDoneFirst() {
  SpeculativePool pool;
  pool.Pass(Millis(1500), pool.first);
  const auto runs = pool.RunsOfG();
  pool.Pass(Millis(200));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.RunsOfG().size());
  pool.Report(pool.first, {{1, runs.at(0).first, RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT(pool.leader.table().FindGraph("g")->state ==
                 GraphState::kCompleted);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                       pool.leader.leader().copy_counters().won);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.leader.leader().copy_counters().dropped);
}

// Guards against a new leader that takes its own start for silence, and one
// that copies a task again.
void NewLeaderWaitsAndFindsCopies() {
  SpeculativePool pool;
  pool.Pass(Millis(1000), pool.first);
  pool.leader.leader().Reset(pool.leader.now(), pool.leader.table(), 8);
  pool.Pass(Millis(1000), pool.first);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.RunsOfG().size());
  pool.Pass(Millis(500), pool.first);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.RunsOfG().size());
  pool.leader.leader().Reset(pool.leader.now(), pool.leader.table(), 9);
  pool.Pass(Millis(1500), pool.first);
  const auto runs = pool.RunsOfG();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
  pool.Report(runs.at(1).second,
              {{1, runs.at(1).first, RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.leader.leader().copy_counters().won);
}

// Guards against copies that take the capacity of first runs.
void FullPoolHasNoCopies() {
  SpeculativePool pool;
  pool.leader.Commit(SampleGraph("fill", {SampleStep(20)}, "batch"));
  pool.leader.AdvanceTime(Millis(20));
  pool.Pass(Millis(2000), pool.first);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.RunsOfG().size());
}

// Two silent tasks of one processor each in a pool of twelve.
void CopiesKeepTheirBudget() {
  SpeculativePool pool(SpeculativeStep(6));
  pool.Pass(Millis(2000), pool.first);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.leader.RunsOn(pool.first).size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.leader.leader().copy_counters().placed);
}

// Guards against a copy from the start: a task that fails by its own fault
// fails in both runs, which uses up its attempts. The objective of 1.5 x 800 +
// 250 ms leaves no time for a second run of 800 ms.
void TaskWithoutTimeForASecondRunIsNotCopied() {
  StepSpec step = SpeculativeStep(1);
  step.estimate_ms = 800;
  SpeculativePool pool(step, "quick");
  pool.Pass(Millis(1000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.RunsOfG().size());
}

// Three runs of a step are done after 300 ms; the fourth is at 1% after 900 ms.
void RunFarBehindItsStepIsCopied() {
  SpeculativePool pool(SpeculativeStep(4));
  pool.Pass(Millis(300));
  auto runs = pool.RunsOfG();
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, runs.size());
  std::map<std::string, std::vector<EndedRun>> ends;
  for (std::size_t i = 0; i < 3; ++i) {
    std::vector<EndedRun>& rows = ends[runs[i].second];
    rows.push_back({static_cast<std::int64_t>(rows.size()) + 1, runs[i].first,
                    RunEndReason::kDone, ""});
  }
  for (const auto& [worker, rows] : ends) {
    pool.Report(worker, rows);
  }
  pool.Pass(Millis(600));
  runs = pool.RunsOfG();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
  CPPUNIT_ASSERT(runs[0].second != runs[1].second);
}

}  // namespace

Section SpeculationStory() {
  Section story("Copies of speculative tasks");
  story
      .With(
          Section("in the table")
              .Then("end with the first run that is done", FirstDoneEndsTheTask)
              .Then("leave the other run after any other end",
                    OtherRunStaysAfterAnEnd)
              .Then("fail their job only after both runs failed",
                    JobFailsAfterBothRunsFailed)
              .Then("survive the worker of the other run",
                    LossOfAWorkerEndsItsOwnRun)
              .Then("are stopped with a cancelled job",
                    CancellationStopsBothRuns)
              .Then("are ignored where they are not allowed",
                    ForbiddenCopiesAreIgnored)
              .Then("are kept by a snapshot", SnapshotKeepsCopies)
              .Then("are absent in earlier snapshots",
                    SnapshotWithoutCopiesIsRead))
      .With(Section("by the leader")
                .Then("replace the run of a silent worker",
                      SilentWorkersTaskIsCopied)
                .Then("stop the run that lost and acknowledge its end",
                      LosingRunIsStoppedAndItsEndAcknowledged)
                .Then("lose against a first run that returns",
                      ReturningFirstRunMayBeDoneFirst)
                .Then("are found by a new leader", NewLeaderWaitsAndFindsCopies)
                .Then("are not made in a full pool", FullPoolHasNoCopies)
                .Then("keep their budget", CopiesKeepTheirBudget)
                .Then("are not made at once without time for a second run",
                      TaskWithoutTimeForASecondRunIsNotCopied)
                .Then("replace a run that is far behind its step",
                      RunFarBehindItsStepIsCopied));
  return story;
}

}  // namespace banyan
