#include "banyan/graph/graph_table.h"

#include "src/graph/graph_table_codec.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// Returns a table with a plan and two workers.
GraphTable TableWithTwoWorkers() {
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan(3)}, kGraphStart);
  table.Apply(AdmitWorker{SampleWorker("w1"), "agent-1"}, kGraphStart);
  table.Apply(AdmitWorker{SampleWorker("w2"), "agent-2"}, kGraphStart);
  return table;
}

void Place(GraphTable& table, const RunRef& run, const std::string& worker) {
  table.Apply(PlaceRuns{{{run, {worker, 1}}}}, kGraphStart);
}

GraphApplyResult End(GraphTable& table,
                     const RunRef& run,
                     const std::string& worker,
                     std::int64_t number,
                     RunEndReason reason,
                     const std::string& checkpoint = "") {
  return table.Apply(EndRuns{{worker, 1}, {{number, run, reason, checkpoint}}},
                     kGraphStart);
}

void PlanVersionOnlyIncreases() {
  GraphTable table = TableWithTwoWorkers();
  ServicePlan older = SamplePlan(2);
  older.document = "older";
  CPPUNIT_ASSERT(table.Apply(InstallPlan{older}, kGraphStart).result.ok);
  ServicePlan other = SamplePlan(3);
  other.document = "other content";
  CPPUNIT_ASSERT(table.Apply(InstallPlan{other}, kGraphStart).result.ok);
  CPPUNIT_ASSERT_EQUAL(std::string("{}"), table.plan().document);
  CPPUNIT_ASSERT(
      table.Apply(InstallPlan{SamplePlan(9)}, kGraphStart).plan_changed);
}

// Guards against an order that reaches the log after newer ones and undoes
// them.
void LateEvacuationOrderChangesNothing() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SetEvacuated{"dc-a", true}, kGraphStart);
  const std::uint64_t known = table.evacuation_changes();
  const SetEvacuated withdrawal{"dc-a", false, known};
  CPPUNIT_ASSERT(table.Apply(withdrawal, kGraphStart).result.ok);
  table.Apply(SetEvacuated{"dc-a", true, table.evacuation_changes()},
              kGraphStart);
  const GraphApplyResult late = table.Apply(withdrawal, kGraphStart);
  CPPUNIT_ASSERT(late.result.error == ErrorKind::kStale);
  CPPUNIT_ASSERT(table.evacuated().contains("dc-a"));
}

void RepeatedEvacuationOrderIsAcknowledged() {
  GraphTable table = TableWithTwoWorkers();
  const SetEvacuated order{"dc-a", true, table.evacuation_changes()};
  CPPUNIT_ASSERT(table.Apply(order, kGraphStart).result.ok);
  CPPUNIT_ASSERT(table.Apply(order, kGraphStart).result.ok);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, table.evacuation_changes());
}

void ResubmissionIsIdempotent() {
  GraphTable table = TableWithTwoWorkers();
  CPPUNIT_ASSERT(
      table.Apply(SampleGraph("g", {SampleStep(2)}), kGraphStart).result.ok);
  CPPUNIT_ASSERT(
      table.Apply(SampleGraph("g", {SampleStep(9)}), kGraphStart).result.ok);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, table.FindGraph("g")->ready);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, table.PendingGraphCount("quick"));
  const GraphApplyResult unknown =
      table.Apply(SampleGraph("h", {SampleStep(1)}, "no-queue"), kGraphStart);
  CPPUNIT_ASSERT(unknown.result.error == ErrorKind::kNotFound);
}

// Guards against graphs that are missing from the number of those that wait,
// because a run was placed on a worker that never started it.
void PlacedGraphIsPendingUntilARunStarts() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(1)}), kGraphStart);
  const auto pending = [&] { return table.PendingGraphCount("quick"); };
  Place(table, RunOf("g", 0, 0, 1), "w1");
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, pending());
  End(table, RunOf("g", 0, 0, 1), "w1", 0, RunEndReason::kRefused);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, pending());
  Place(table, RunOf("g", 0, 0, 2), "w1");
  table.Apply(DropWorker{{"w1", 1}, "the lease ran out", {}}, kGraphStart);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, pending());
  Place(table, RunOf("g", 0, 0, 3), "w2");
  End(table, RunOf("g", 0, 0, 3), "w2", 1, RunEndReason::kStopped);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, pending());
  Place(table, RunOf("g", 0, 0, 4), "w2");
  End(table, RunOf("g", 0, 0, 4), "w2", 2, RunEndReason::kDone);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, pending());
}

void LostRunThatWasListedHasBegun() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(1)}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  RunStatus seen;
  seen.run = RunOf("g", 0, 0);
  table.Apply(DropWorker{{"w1", 1}, "the lease ran out", {seen}}, kGraphStart);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, table.PendingGraphCount("quick"));
}

void CancelledGraphIsNotPending() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(1)}), kGraphStart);
  table.Apply(SampleGraph("h", {SampleStep(1)}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  table.Apply(CancelGraph{"g"}, kGraphStart);
  table.Apply(CancelGraph{"h"}, kGraphStart);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, table.PendingGraphCount("quick"));
  CPPUNIT_ASSERT(table.unconfirmed_graphs().empty());
  // The end of a run that was placed before the cancellation changes nothing.
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kStopped);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, table.PendingGraphCount("quick"));
}

// Guards against a replica that counts other graphs as pending after it has
// read its snapshot.
void SnapshotKeepsThePendingGraphs() {
  GraphTable table = TableWithTwoWorkers();
  for (const std::string id : {"queued", "placed", "begun"}) {
    table.Apply(SampleGraph(id, {SampleStep(2)}), kGraphStart);
  }
  Place(table, RunOf("placed", 0, 0), "w1");
  Place(table, RunOf("begun", 0, 0), "w1");
  End(table, RunOf("begun", 0, 0), "w1", 1, RunEndReason::kDone);
  nlohmann::json json = GraphTableCodec::ToJson(table);
  GraphTable copy;
  GraphTableCodec::FromJson(json, copy);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, copy.PendingGraphCount("quick"));
  CPPUNIT_ASSERT(copy.unconfirmed_graphs() == std::set<std::string>{"placed"});
  // A snapshot of an earlier version.
  json["graphs"]["placed"].erase("begun");
  GraphTable earlier;
  GraphTableCodec::FromJson(json, earlier);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, earlier.PendingGraphCount("quick"));
}

void StepsRunInDependencyOrder() {
  GraphTable table = TableWithTwoWorkers();
  StepSpec second = SampleStep(1);
  second.depends_on = {0};
  table.Apply(SampleGraph("g", {SampleStep(2), second}), kGraphStart);
  Place(table, RunOf("g", 1, 0), "w1");
  CPPUNIT_ASSERT(table.workers().at("w1").runs.empty());
  Place(table, RunOf("g", 0, 0), "w1");
  Place(table, RunOf("g", 0, 1), "w2");
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kDone);
  Place(table, RunOf("g", 1, 0), "w1");
  CPPUNIT_ASSERT(table.workers().at("w1").runs.empty());
  End(table, RunOf("g", 0, 1), "w2", 1, RunEndReason::kDone);
  Place(table, RunOf("g", 1, 0), "w1");
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.workers().at("w1").runs.size());
  End(table, RunOf("g", 1, 0), "w1", 2, RunEndReason::kDone);
  CPPUNIT_ASSERT(table.FindGraph("g")->state == GraphState::kCompleted);
}

void TaskHasOneActiveRun() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(1)}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  Place(table, RunOf("g", 0, 0, 2), "w2");
  CPPUNIT_ASSERT(table.workers().at("w2").runs.empty());
  // A run number must not be reused.
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kStopped);
  Place(table, RunOf("g", 0, 0, 1), "w2");
  CPPUNIT_ASSERT(table.workers().at("w2").runs.empty());
  Place(table, RunOf("g", 0, 0, 2), "w2");
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.workers().at("w2").runs.size());
}

void EndCountsOnce() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(2)}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  Place(table, RunOf("g", 0, 1), "w1");
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kDone);
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kDone);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       table.FindGraph("g")->occurrences[0][0].done);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                       table.workers().at("w1").committed.cpu_millis);
}

void LostRunRestartsFromCheckpoint() {
  GraphTable table = TableWithTwoWorkers();
  StepSpec step = SampleStep(1);
  step.checkpointing = true;
  table.Apply(SampleGraph("g", {step}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  RunStatus seen;
  seen.run = RunOf("g", 0, 0);
  seen.checkpoint = "half";
  table.Apply(DropWorker{{"w1", 1}, "the lease ran out", {seen}}, kGraphStart);
  const TaskProgress* task = table.FindTask({"g", 0, 0, 0});
  CPPUNIT_ASSERT(task->phase == TaskPhase::kReady);
  CPPUNIT_ASSERT_EQUAL(std::string("half"), task->checkpoint);
  // A late end report of the lost incarnation has no effect.
  CPPUNIT_ASSERT(
      !End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kDone).result.ok);
  CPPUNIT_ASSERT(table.FindTask({"g", 0, 0, 0})->phase == TaskPhase::kReady);
}

void RestartedWorkerLosesItsRuns() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(1)}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  table.Apply(AdmitWorker{SampleWorker("w1", 5), "agent-1"}, kGraphStart);
  CPPUNIT_ASSERT(table.FindTask({"g", 0, 0, 0})->phase == TaskPhase::kReady);
  const GraphApplyResult older =
      table.Apply(AdmitWorker{SampleWorker("w1", 1), "agent-1"}, kGraphStart);
  CPPUNIT_ASSERT(!older.result.ok);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5},
                       table.workers().at("w1").info.life.started_at_ms);
}

void GraphFailsAfterMaxAttempts() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(1)}), kGraphStart);
  Place(table, RunOf("g", 0, 0, 1), "w1");
  End(table, RunOf("g", 0, 0, 1), "w1", 1, RunEndReason::kFailed);
  CPPUNIT_ASSERT(table.FindGraph("g")->state == GraphState::kRunning);
  Place(table, RunOf("g", 0, 0, 2), "w1");
  End(table, RunOf("g", 0, 0, 2), "w1", 2, RunEndReason::kStopped);
  Place(table, RunOf("g", 0, 0, 3), "w1");
  End(table, RunOf("g", 0, 0, 3), "w1", 3, RunEndReason::kFailed);
  CPPUNIT_ASSERT(table.FindGraph("g")->state == GraphState::kFailed);
}

void GangIsDoneWhenOneMemberIsDone() {
  GraphTable table = TableWithTwoWorkers();
  StepSpec gang = SampleStep(3);
  gang.gang = true;
  table.Apply(SampleGraph("g", {gang}), kGraphStart);
  for (std::int64_t i = 0; i < 3; ++i) {
    Place(table, RunOf("g", 0, i), i == 0 ? "w1" : "w2");
  }
  End(table, RunOf("g", 0, 1), "w2", 1, RunEndReason::kDone);
  CPPUNIT_ASSERT(table.FindGraph("g")->state == GraphState::kCompleted);
  // The other members hold their resources until their ends are reported.
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                       table.workers().at("w1").committed.cpu_millis);
}

void GangFailureCountsOnce() {
  GraphTable table = TableWithTwoWorkers();
  StepSpec gang = SampleStep(2);
  gang.gang = true;
  table.Apply(SampleGraph("g", {gang}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  Place(table, RunOf("g", 0, 1), "w2");
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kFailed);
  End(table, RunOf("g", 0, 1), "w2", 1, RunEndReason::kFailed);
  CPPUNIT_ASSERT(table.FindGraph("g")->state == GraphState::kRunning);
}

void CancelledGraphHoldsResourcesUntilRunsEnd() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(2)}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  const GraphApplyResult cancelled = table.Apply(CancelGraph{"g"}, kGraphStart);
  CPPUNIT_ASSERT(cancelled.affected_workers.contains("w1"));
  CPPUNIT_ASSERT(table.ready_graphs().empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                       table.workers().at("w1").committed.cpu_millis);
  CPPUNIT_ASSERT(!table.IsCurrent(RunOf("g", 0, 0), {"w1", 1}));
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kStopped);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                       table.workers().at("w1").committed.cpu_millis);
  CPPUNIT_ASSERT(!table.Apply(CancelGraph{"none"}, kGraphStart).result.ok);
}

// Guards against a job that runs after its cancelling was answered, because its
// submission was held up on the way.
void GraphCancelledBeforeItsSubmissionNeverRuns() {
  GraphTable table = TableWithTwoWorkers();
  const GraphApplyResult cancelled = table.Apply(CancelGraph{"g"}, kGraphStart);
  CPPUNIT_ASSERT(cancelled.result.error == ErrorKind::kNotFound);
  CPPUNIT_ASSERT(table.FindGraph("g") == nullptr);
  GraphTable copy;
  GraphTableCodec::FromJson(GraphTableCodec::ToJson(table), copy);
  CPPUNIT_ASSERT(
      copy.Apply(SampleGraph("g", {SampleStep(2)}), kGraphStart).result.ok);
  CPPUNIT_ASSERT(copy.FindGraph("g")->state == GraphState::kCancelled);
  CPPUNIT_ASSERT(copy.ready_graphs().empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, copy.PendingGraphCount("quick"));
}

void EarlyCancellationIsForgottenAfterTheRetention() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(CancelGraph{"g"}, kGraphStart);
  const WallMillis later = kGraphStart + kGraphRetentionMs + 1;
  table.RemoveExpiredGraphs(later);
  table.Apply(SampleGraph("g", {SampleStep(2)}), later);
  CPPUNIT_ASSERT(table.ready_graphs().contains("g"));
}

void EarlyCancellationsAreBounded() {
  GraphTable table = TableWithTwoWorkers();
  for (std::size_t i = 0; i <= kMaxCancelledIds; ++i) {
    table.Apply(CancelGraph{"g" + std::to_string(i)},
                kGraphStart + static_cast<WallMillis>(i));
  }
  table.Apply(SampleGraph("g0", {SampleStep(1)}), kGraphStart);
  table.Apply(SampleGraph("g1", {SampleStep(1)}), kGraphStart);
  CPPUNIT_ASSERT(table.ready_graphs().contains("g0"));
  CPPUNIT_ASSERT(!table.ready_graphs().contains("g1"));
}

// Guards against an earlier run that is taken for the last one of its task once
// the graph is final, also after a restart of the replica.
void FinalGraphKnowsTheLastRunsOfItsTasks() {
  GraphTable table = TableWithTwoWorkers();
  table.Apply(SampleGraph("g", {SampleStep(2)}), kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  Place(table, RunOf("g", 0, 1), "w1");
  CPPUNIT_ASSERT(!table.IsFinalRun(RunOf("g", 0, 0)));
  End(table, RunOf("g", 0, 0), "w1", 1, RunEndReason::kDone);
  End(table, RunOf("g", 0, 1), "w1", 2, RunEndReason::kStopped);
  CPPUNIT_ASSERT(table.IsFinalRun(RunOf("g", 0, 0)));
  CPPUNIT_ASSERT_MESSAGE("its task is placed again",
                         !table.IsFinalRun(RunOf("g", 0, 1)));
  Place(table, RunOf("g", 0, 1, 2), "w2");
  End(table, RunOf("g", 0, 1, 2), "w2", 1, RunEndReason::kDone);
  CPPUNIT_ASSERT(table.FindGraph("g")->state == GraphState::kCompleted);
  GraphTable copy;
  GraphTableCodec::FromJson(GraphTableCodec::ToJson(table), copy);
  for (const GraphTable* each : {&table, &copy}) {
    CPPUNIT_ASSERT(each->IsFinalRun(RunOf("g", 0, 0)));
    CPPUNIT_ASSERT(!each->IsFinalRun(RunOf("g", 0, 1)));
    CPPUNIT_ASSERT(each->IsFinalRun(RunOf("g", 0, 1, 2)));
    CPPUNIT_ASSERT(!each->IsFinalRun(RunOf("unknown", 0, 0)));
  }
}

void LongRunningTaskIsAlwaysRestarted() {
  GraphTable table = TableWithTwoWorkers();
  StepSpec step = SampleStep(1);
  step.long_running = true;
  table.Apply(SampleGraph("g", {step}), kGraphStart);
  for (std::int64_t run = 1; run <= 4; ++run) {
    Place(table, RunOf("g", 0, 0, run), "w1");
    End(table, RunOf("g", 0, 0, run), "w1", run,
        run % 2 == 0 ? RunEndReason::kDone : RunEndReason::kFailed);
    CPPUNIT_ASSERT(table.FindTask({"g", 0, 0, 0})->phase == TaskPhase::kReady);
  }
  CPPUNIT_ASSERT(table.FindGraph("g")->state == GraphState::kRunning);
}

void SnapshotRestoresTheTable() {
  GraphTable table = TableWithTwoWorkers();
  StepSpec second = SampleStep(1);
  second.depends_on = {0};
  second.max_unavailable = 1;
  table.Apply(SampleGraph("g", {SampleStep(2), second}), kGraphStart);
  table.Apply(SetEvacuated{"dc-b", true}, kGraphStart);
  Place(table, RunOf("g", 0, 0), "w1");
  const nlohmann::json written = GraphTableCodec::ToJson(table);
  GraphTable copy;
  GraphTableCodec::FromJson(
      nlohmann::json::from_cbor(nlohmann::json::to_cbor(written)), copy);
  CPPUNIT_ASSERT(GraphTableCodec::ToJson(copy) == written);
  CPPUNIT_ASSERT(copy.ready_graphs() == table.ready_graphs());
  CPPUNIT_ASSERT(copy.IsCurrent(RunOf("g", 0, 0), {"w1", 1}));
}

}  // namespace

Section GraphTableStory() {
  Section story("The job graph table");
  story
      .With(Section("the plan")
                .Then("is replaced only by a higher version",
                      PlanVersionOnlyIncreases))
      .With(Section("the evacuation of a data centre")
                .Then("is not undone by an older order that arrives late",
                      LateEvacuationOrderChangesNothing)
                .Then("is acknowledged again when its order is repeated",
                      RepeatedEvacuationOrderIsAcknowledged))
      .With(
          Section("a graph")
              .Then("is not duplicated when it is resubmitted",
                    ResubmissionIsIdempotent)
              .Then("is pending until a worker reports a run of it",
                    PlacedGraphIsPendingUntilARunStarts)
              .Then("is no longer pending when a run that was listed is lost",
                    LostRunThatWasListedHasBegun)
              .Then("is not pending when it is cancelled",
                    CancelledGraphIsNotPending)
              .Then("runs its steps in dependency order",
                    StepsRunInDependencyOrder)
              .Then("has at most one active run of a task", TaskHasOneActiveRun)
              .Then("counts the end of a run once", EndCountsOnce)
              .Then("fails when a task has used all its attempts",
                    GraphFailsAfterMaxAttempts)
              .Then("holds its resources after a cancel until its runs end",
                    CancelledGraphHoldsResourcesUntilRunsEnd)
              .Then("never runs when it was cancelled before its submission",
                    GraphCancelledBeforeItsSubmissionNeverRuns)
              .Then("may use the id of an early cancellation after its "
                    "retention",
                    EarlyCancellationIsForgottenAfterTheRetention)
              .Then("may use the id of the oldest of too many early "
                    "cancellations",
                    EarlyCancellationsAreBounded)
              .Then("knows the last runs of its tasks when it is final",
                    FinalGraphKnowsTheLastRunsOfItsTasks)
              .Then("restarts a long-running task whatever its end reason",
                    LongRunningTaskIsAlwaysRestarted))
      .With(Section("a gang")
                .Then("is done when one member is done",
                      GangIsDoneWhenOneMemberIsDone)
                .Then("counts one failure per run", GangFailureCountsOnce))
      .With(Section("a worker")
                .Then("that is lost returns its runs with their checkpoints",
                      LostRunRestartsFromCheckpoint)
                .Then("that restarts loses its runs",
                      RestartedWorkerLosesItsRuns))
      .With(Section("a snapshot")
                .Then("restores the same table", SnapshotRestoresTheTable)
                .Then("restores the pending graphs",
                      SnapshotKeepsThePendingGraphs));
  return story;
}

}  // namespace banyan
