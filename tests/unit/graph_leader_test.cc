#include "banyan/graph/graph_leader.h"

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Span kStep = Millis(20);

// What a worker's agent would say of the runs that are placed on it.
WorkerSync ReportOf(const LeaderOnTable& world, const WorkerInfo& info) {
  WorkerSync sync;
  sync.info = info;
  for (const RunRef& run : world.RunsOn(info.life.id)) {
    RunStatus row;
    row.run = run;
    sync.running.push_back(row);
  }
  return sync;
}

void PlacesReadyTasksWithinCapacity() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Join(SampleWorker("w2"));
  world.Commit(SampleGraph("g", {SampleStep(10)}));
  world.Pass(kStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.RunsOn("w1").size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.RunsOn("w2").size());
  std::size_t starts = 0;
  for (const WorkerOrders& orders : world.TakeOrders()) {
    starts += orders.starts.size();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, orders.fencing_token);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{8}, starts);
}

void UrgentQueueGoesFirst() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Commit(SampleGraph("late", {SampleStep(4)}, "batch"));
  world.Commit(SampleGraph("soon", {SampleStep(4)}, "quick"));
  world.Pass(kStep);
  for (const RunRef& run : world.RunsOn("w1")) {
    CPPUNIT_ASSERT_EQUAL(std::string("soon"), run.task.graph);
  }
}

void SendsNothingIntoAnEvacuatedDataCentre() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1", 1, "dc-a"));
  world.Join(SampleWorker("w2", 1, "dc-b"));
  world.Commit(SetEvacuated{"dc-a", true});
  world.Commit(SampleGraph("g", {SampleStep(3)}));
  world.Pass(kStep);
  CPPUNIT_ASSERT(world.RunsOn("w1").empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.RunsOn("w2").size());
  world.Commit(SetEvacuated{"dc-a", false});
  world.Commit(SampleGraph("h", {SampleStep(4)}));
  world.Pass(kStep);
  CPPUNIT_ASSERT(!world.RunsOn("w1").empty());
}

void SendsNothingToADrainingWorker() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  WorkerInfo draining = SampleWorker("w1");
  draining.draining = true;
  WorkerSync sync;
  sync.info = draining;
  world.Sync(sync);
  world.Commit(SampleGraph("g", {SampleStep(1)}));
  world.Pass(kStep);
  CPPUNIT_ASSERT(world.RunsOn("w1").empty());
}

void GangIsPlacedWholeOrNotAtAll() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  StepSpec gang = SampleStep(5);
  gang.gang = true;
  world.Commit(SampleGraph("g", {gang}));
  world.Pass(kStep);
  CPPUNIT_ASSERT(world.RunsOn("w1").empty());
  world.Join(SampleWorker("w2"));
  world.Pass(kStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                       world.RunsOn("w1").size() + world.RunsOn("w2").size());
}

void KeepsLabelsAndSpread() {
  LeaderOnTable world;
  WorkerInfo other = SampleWorker("w1");
  other.labels = {"b"};
  world.Join(other);
  world.Join(SampleWorker("w2"));
  world.Join(SampleWorker("w3"));
  StepSpec step = SampleStep(3);
  step.required_label = "a";
  step.per_worker_limit = 1;
  world.Commit(SampleGraph("g", {step}));
  world.Pass(kStep);
  CPPUNIT_ASSERT(world.RunsOn("w1").empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.RunsOn("w2").size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.RunsOn("w3").size());
}

void SilentWorkerIsReplacedOnlyAfterItsLease() {
  LeaderOnTable world;
  const GraphLeaderOptions options;
  world.Join(SampleWorker("w1"));
  world.Commit(SampleGraph("g", {SampleStep(1)}));
  world.Pass(kStep);
  world.Join(SampleWorker("w2"));
  const Span lease = options.lease + options.lease_margin;
  for (Span passed{}; passed + Millis(200) < lease; passed += Millis(100)) {
    world.Sync(ReportOf(world, SampleWorker("w2")));
    world.Pass(Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.RunsOn("w1").size());
  }
  world.Sync(ReportOf(world, SampleWorker("w2")));
  world.Pass(Millis(300));
  world.Pass(kStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.RunsOn("w2").size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, world.RunsOn("w2").begin()->run);
}

void StopsWhatIsNotPlacedThere() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  WorkerSync sync;
  sync.info = SampleWorker("w1");
  RunStatus late;
  late.run = RunOf("nobody", 0, 0);
  sync.running = {late};
  static_cast<void>(world.TakeOrders());
  world.Sync(sync);
  const std::vector<WorkerOrders> orders = world.TakeOrders();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.back().stops.size());
  CPPUNIT_ASSERT(orders.back().stops[0] == late.run);
}

void LostStartIsSentAgain() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Commit(SampleGraph("g", {SampleStep(1)}));
  world.Pass(kStep);
  static_cast<void>(world.TakeOrders());
  WorkerSync empty;
  empty.info = SampleWorker("w1");
  world.Pass(Millis(500));
  world.Sync(empty);
  const std::vector<WorkerOrders> orders = world.TakeOrders();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.back().starts.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, orders.back().starts[0].run.run);
}

void StuckRunIsStopped() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Commit(SampleGraph("g", {SampleStep(1)}));
  world.Pass(kStep);
  bool was_stopped = false;
  for (int i = 0; i < 30 && !was_stopped; ++i) {
    WorkerSync sync = ReportOf(world, SampleWorker("w1"));
    sync.running[0].percent = 40;
    sync.lists = static_cast<std::uint64_t>(i) + 1;
    world.Sync(sync);
    world.Pass(Millis(200));
    for (const WorkerOrders& orders : world.TakeOrders()) {
      was_stopped = was_stopped || !orders.stops.empty();
    }
  }
  CPPUNIT_ASSERT(was_stopped);
}

void RunOfAnUnheardWorkerIsNotStuck() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Commit(SampleGraph("g", {SampleStep(1)}));
  world.Pass(kStep);
  for (int i = 0; i < 30; ++i) {
    // The agent repeats a list that it could not renew.
    WorkerSync sync = ReportOf(world, SampleWorker("w1"));
    sync.running[0].percent = 40;
    sync.lists = 1;
    world.Sync(sync);
    world.Pass(Millis(200));
    for (const WorkerOrders& orders : world.TakeOrders()) {
      CPPUNIT_ASSERT(orders.stops.empty());
    }
  }
}

void WorkerThatFailsDifferentGraphsIsSuspected() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Join(SampleWorker("w2"));
  std::int64_t number = 0;
  for (int i = 0; i < 2; ++i) {
    const std::string id = "g" + std::to_string(i);
    world.Commit(SampleGraph(id, {SampleStep(8)}));
    world.Pass(kStep);
    EndRuns ends{{"w1", 1}, {}};
    for (const RunRef& run : world.RunsOn("w1")) {
      ends.rows.push_back({++number, run, RunEndReason::kFailed, ""});
    }
    world.Commit(ends);
    world.Commit(CancelGraph{id});
    EndRuns stopped{{"w2", 1}, {}};
    for (const RunRef& run : world.RunsOn("w2")) {
      stopped.rows.push_back({number + 100, run, RunEndReason::kStopped, ""});
      ++number;
    }
    world.Commit(stopped);
    EndRuns rest{{"w1", 1}, {}};
    for (const RunRef& run : world.RunsOn("w1")) {
      rest.rows.push_back({++number, run, RunEndReason::kStopped, ""});
    }
    world.Commit(rest);
  }
  world.Commit(SampleGraph("next", {SampleStep(4)}));
  world.Pass(kStep);
  CPPUNIT_ASSERT(world.RunsOn("w1").empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.RunsOn("w2").size());
}

void SuspectedWorkerIsProbedBesideItsLastingTasks() {
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  StepSpec lasting = SampleStep(1);
  lasting.long_running = true;
  world.Commit(SampleGraph("watch", {lasting}));
  world.Pass(kStep);
  std::int64_t number = 0;
  for (const char* id : {"g0", "g1"}) {
    world.Commit(SampleGraph(id, {SampleStep(1)}));
    world.Pass(kStep);
    world.Commit(EndRuns{
        {"w1", 1}, {{++number, RunOf(id, 0, 0), RunEndReason::kFailed, ""}}});
    world.Commit(CancelGraph{id});
  }
  world.Commit(SampleGraph("next", {SampleStep(2)}));
  world.Pass(kStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.RunsOn("w1").size());
  for (int i = 0; i < 20; ++i) {
    world.Sync(ReportOf(world, SampleWorker("w1")));
    world.Pass(Millis(150));
  }
  // One run as a probe, and the rest once it is done.
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.RunsOn("w1").size());
  world.Commit(EndRuns{
      {"w1", 1}, {{++number, RunOf("next", 0, 0), RunEndReason::kDone, ""}}});
  world.Pass(kStep);
  CPPUNIT_ASSERT(world.RunsOn("w1").contains(RunOf("next", 0, 1)));
}

void WaitingFillsAreNotForgotten() {
  // The pattern of a recovery: tasks that serve commit all processor time, and
  // packet builds wait beside memory that is free.
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Commit(SampleGraph("watch", {ServingStep(4)}));
  world.Pass(kStep);
  world.Commit(SampleGraph("packet", {FillingStep(6, 3000)}, "batch"));
  constexpr Span kPromised = std::chrono::seconds(3);
  for (Span passed{}; passed < kPromised; passed += Millis(100)) {
    world.Sync(ReportOf(world, SampleWorker("w1")));
    world.Pass(Millis(100));
  }
  CPPUNIT_ASSERT(world.table().FindGraph("packet")->state ==
                 GraphState::kRunning);
}

void BacklogIsNotSpreadOverFullRooms() {
  // The pattern of a scale day: tasks that serve commit half of the pool, and
  // packet builds come faster than the rest can bear. Sharing out what is left
  // among all of them would make every one late.
  LeaderOnTable world;
  world.Join(SampleWorker("w1"));
  world.Join(SampleWorker("w2"));
  world.Commit(SampleGraph("watch", {ServingStep(4)}));
  world.Pass(kStep);
  for (int i = 0; i < 8; ++i) {
    world.Commit(SampleGraph("packet" + std::to_string(i),
                             {FillingStep(2, 2000)}, "batch"));
  }
  for (int i = 0; i < 100; ++i) {
    for (const char* id : {"w1", "w2"}) {
      world.Sync(ReportOf(world, SampleWorker(id)));
    }
    world.Pass(Millis(100));
  }
  const bool serves_on_first =
      world.RunsOn("w1").contains(RunOf("watch", 0, 0));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "no more run than the free worker has room for", std::size_t{2},
      world.RunsOn(serves_on_first ? "w2" : "w1").size());
}

void JobTooLargeForAnyWorkerIsRefusedAtOnce() {
  LeaderOnTable world;
  const SubmitGraph large = SampleGraph("g", {SampleStep(1, 4001)});
  CPPUNIT_ASSERT(!world.leader().CheckAdmission(world.table(), large));
  world.Join(SampleWorker("w1"));
  const auto refusal = world.leader().CheckAdmission(world.table(), large);
  CPPUNIT_ASSERT(refusal.has_value());
  CPPUNIT_ASSERT(refusal->error == ErrorKind::kOverloaded);
  CPPUNIT_ASSERT(refusal->retry_after_ms > 0);
  CPPUNIT_ASSERT(!world.leader().CheckAdmission(
      world.table(), SampleGraph("h", {SampleStep(1)})));
}

}  // namespace

Section GraphLeaderStory() {
  Section story("The leader of job graphs");
  story
      .With(Section("placing")
                .Then("keeps to every worker's capacity",
                      PlacesReadyTasksWithinCapacity)
                .Then("takes the urgent queue first", UrgentQueueGoesFirst)
                .Then("sends nothing into an evacuated data centre",
                      SendsNothingIntoAnEvacuatedDataCentre)
                .Then("sends nothing to a draining worker",
                      SendsNothingToADrainingWorker)
                .Then("starts a gang whole or not at all",
                      GangIsPlacedWholeOrNotAtAll)
                .Then("keeps labels and the spread of a step",
                      KeepsLabelsAndSpread)
                .Then("does not spread a backlog over full rooms",
                      BacklogIsNotSpreadOverFullRooms)
                .Then("does not forget tasks that fill",
                      WaitingFillsAreNotForgotten))
      .With(Section("admission")
                .Then("refuses at once what no worker is large enough for",
                      JobTooLargeForAnyWorkerIsRefusedAtOnce))
      .With(Section("a worker")
                .Then("that is silent keeps its runs until its lease ends",
                      SilentWorkerIsReplacedOnlyAfterItsLease)
                .Then("is told to stop what is not placed there",
                      StopsWhatIsNotPlacedThere)
                .Then("gets a lost start again", LostStartIsSentAgain)
                .Then("loses a run that stands still", StuckRunIsStopped)
                .Then("that can't be listed is not taken as stuck",
                      RunOfAnUnheardWorkerIsNotStuck)
                .Then("that fails different graphs gets no more for a while",
                      WorkerThatFailsDifferentGraphsIsSuspected)
                .Then("that is suspected is probed beside its lasting tasks",
                      SuspectedWorkerIsProbedBesideItsLastingTasks));
  return story;
}

}  // namespace banyan
