#include "banyan/graph/graph_leader.h"

#include <algorithm>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kTimeStep = Millis(20);

// Returns the sync of an agent whose worker runs everything placed on it.
WorkerSync SyncWithPlacedRuns(const LeaderHarness& fixture,
                              const WorkerInfo& info) {
  WorkerSync sync;
  sync.info = info;
  for (const RunRef& run : fixture.RunsOn(info.life.id)) {
    RunStatus row;
    row.run = run;
    sync.running.push_back(row);
  }
  return sync;
}

void PlacesReadyTasksWithinCapacity() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Join(SampleWorker("w2"));
  fixture.Commit(SampleGraph("g", {SampleStep(10)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.RunsOn("w1").size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.RunsOn("w2").size());
  std::size_t starts = 0;
  for (const WorkerOrders& orders : fixture.TakeOrders()) {
    starts += orders.starts.size();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, orders.fencing_token);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{8}, starts);
}

// Guards against a number of waiting graphs that leaves out those whose runs
// are placed on a worker that does not start them.
void GraphIsPendingUntilARunIsListed() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(2)}));
  fixture.Commit(SampleGraph("h", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.RunsOn("w1").size());
  const auto pending = [&] {
    return fixture.leader().PendingGraphCount(fixture.table(), "quick");
  };
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, pending());
  WorkerSync sync;
  sync.info = SampleWorker("w1");
  for (std::int64_t i = 0; i < 2; ++i) {
    RunStatus row;
    row.run = RunOf("g", 0, i);
    sync.running.push_back(row);
  }
  fixture.Sync(sync);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, pending());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, fixture.leader().PendingGraphCount(
                                            fixture.table(), "batch"));
  fixture.Sync(SyncWithPlacedRuns(fixture, SampleWorker("w1")));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, pending());
}

void HigherPriorityQueueGoesFirst() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("late", {SampleStep(4)}, "batch"));
  fixture.Commit(SampleGraph("soon", {SampleStep(4)}, "quick"));
  fixture.AdvanceTime(kTimeStep);
  for (const RunRef& run : fixture.RunsOn("w1")) {
    CPPUNIT_ASSERT_EQUAL(std::string("soon"), run.task.graph);
  }
}

void SkipsEvacuatedDataCentre() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1", 1, "dc-a"));
  fixture.Join(SampleWorker("w2", 1, "dc-b"));
  fixture.Commit(SetEvacuated{"dc-a", true});
  fixture.Commit(SampleGraph("g", {SampleStep(3)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.RunsOn("w2").size());
  fixture.Commit(SetEvacuated{"dc-a", false});
  fixture.Commit(SampleGraph("h", {SampleStep(4)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(!fixture.RunsOn("w1").empty());
}

void SkipsDrainingWorker() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  WorkerInfo draining = SampleWorker("w1");
  draining.draining = true;
  WorkerSync sync;
  sync.info = draining;
  fixture.Sync(sync);
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
}

void GangIsPlacedWholeOrNotAtAll() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  StepSpec gang = SampleStep(5);
  gang.gang = true;
  fixture.Commit(SampleGraph("g", {gang}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
  fixture.Join(SampleWorker("w2"));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fixture.RunsOn("w1").size() +
                                           fixture.RunsOn("w2").size());
}

void RespectsLabelsAndPerWorkerLimit() {
  LeaderHarness fixture;
  WorkerInfo other = SampleWorker("w1");
  other.labels = {"b"};
  fixture.Join(other);
  fixture.Join(SampleWorker("w2"));
  fixture.Join(SampleWorker("w3"));
  StepSpec step = SampleStep(3);
  step.required_label = "a";
  step.per_worker_limit = 1;
  fixture.Commit(SampleGraph("g", {step}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w2").size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w3").size());
}

void SilentWorkerIsReplacedOnlyAfterItsLease() {
  LeaderHarness fixture;
  const GraphLeaderOptions options;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  fixture.Join(SampleWorker("w2"));
  const Duration lease = options.lease + options.lease_margin;
  for (Duration passed{}; passed + Millis(200) < lease; passed += Millis(100)) {
    fixture.Sync(SyncWithPlacedRuns(fixture, SampleWorker("w2")));
    fixture.AdvanceTime(Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w1").size());
  }
  fixture.Sync(SyncWithPlacedRuns(fixture, SampleWorker("w2")));
  fixture.AdvanceTime(Millis(300));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w2").size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, fixture.RunsOn("w2").begin()->run);
}

// Guards against the loss of every run of a cell whose leader has stood still:
// the syncs of its workers wait in its queue.
void UnreadWorkerKeepsItsRuns() {
  const GraphLeaderOptions options;
  const Duration lease = options.lease + options.lease_margin;
  for (const Duration turn : {Millis(200), Millis(5000), lease * 2}) {
    LeaderHarness fixture;
    fixture.Join(SampleWorker("w1"));
    fixture.Join(SampleWorker("w2"));
    fixture.Commit(SampleGraph("g", {SampleStep(1)}));
    fixture.AdvanceTime(kTimeStep);
    const std::set<RunRef> runs = fixture.RunsOn("w1");
    fixture.AdvanceUnheard(turn);
    CPPUNIT_ASSERT(fixture.table().workers().contains("w1"));
    fixture.Sync(SyncWithPlacedRuns(fixture, SampleWorker("w1")));
    fixture.AdvanceTime(kTimeStep);
    CPPUNIT_ASSERT(fixture.table().workers().contains("w1"));
    CPPUNIT_ASSERT(runs == fixture.RunsOn("w1"));
    // What has been read holds no sync of the other one.
    CPPUNIT_ASSERT_EQUAL(turn < lease,
                         fixture.table().workers().contains("w2"));
  }
}

// Returns the last sync of an agent whose worker has left, with its ended runs.
WorkerSync FinalSync(const std::string& worker, std::vector<EndedRun> ended) {
  WorkerSync sync;
  sync.info = SampleWorker(worker);
  sync.gone = true;
  sync.ended = std::move(ended);
  return sync;
}

// Guards against starting a task again that was done just before its worker
// left: the last sync of the worker carries the end.
void EndsOfLeavingWorkerAreCounted() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(2)}));
  fixture.AdvanceTime(kTimeStep);
  fixture.Join(SampleWorker("w2"));
  fixture.Sync(
      FinalSync("w1", {{1, RunOf("g", 0, 0), RunEndReason::kDone, ""}}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_MESSAGE("the worker that left is removed",
                         !fixture.table().workers().contains("w1"));
  CPPUNIT_ASSERT_MESSAGE("the task that was done is not started again",
                         !fixture.RunsOn("w2").contains(RunOf("g", 0, 0, 2)));
  CPPUNIT_ASSERT_MESSAGE("the task that was lost is started again",
                         fixture.RunsOn("w2").contains(RunOf("g", 0, 1, 2)));
}

// Guards against losing the ends that exceed one log entry when a worker
// leaves.
void ManyEndsOfLeavingWorkerAreCounted() {
  constexpr std::int64_t kTasks = 700;
  LeaderHarness fixture;
  WorkerInfo large = SampleWorker("w1");
  large.capacity = {kTasks, kTasks, 0};
  fixture.Join(large);
  StepSpec step = SampleStep(kTasks, 1);
  step.needs.memory_mib = 1;
  fixture.Commit(SampleGraph("g", {step}));
  // A batch of placements is limited.
  for (int i = 0; i < 3; ++i) {
    fixture.AdvanceTime(kTimeStep);
  }
  CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kTasks),
                       fixture.RunsOn("w1").size());
  std::vector<EndedRun> ended;
  for (std::int64_t i = 0; i < kTasks; ++i) {
    ended.push_back({i + 1, RunOf("g", 0, i), RunEndReason::kDone, ""});
  }
  fixture.Sync(FinalSync("w1", std::move(ended)));
  CPPUNIT_ASSERT(fixture.table().FindGraph("g")->state ==
                 GraphState::kCompleted);
}

// Guards against one proposal per sync while the log is slow: an agent sends
// the last ends of an earlier incarnation before each sync of the next one.
void EndsOfEarlierIncarnationAreProposedOnce() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  WorkerSync next;
  next.info = SampleWorker("w1", 2);
  for (int i = 0; i < 2; ++i) {
    fixture.leader().OnSync(
        fixture.now(), fixture.table(), "agent-w1",
        FinalSync("w1", {{1, RunOf("g", 0, 0), RunEndReason::kDone, ""}}),
        true);
    fixture.leader().OnSync(fixture.now(), fixture.table(), "agent-w1", next,
                            true);
  }
  const GraphLeaderOutputs outputs = fixture.leader().TakeOutputs();
  CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t{1},
      std::count_if(outputs.proposals.begin(), outputs.proposals.end(),
                    [](const Command& command) {
                      return std::holds_alternative<EndRuns>(command);
                    }));
}

// Guards against a sound worker that gets no work: ends that failed on an
// earlier incarnation, applied after the next one was admitted.
void FailuresOfEarlierIncarnationCastNoSuspicion() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1", 2));
  fixture.Commit(EndRuns{{"w1", 1},
                         {{1, RunOf("g", 0, 0), RunEndReason::kFailed, ""},
                          {2, RunOf("h", 0, 0), RunEndReason::kFailed, ""}}});
  fixture.Commit(SampleGraph("k", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w1").size());
}

void UnplacedRunIsStopped() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  WorkerSync sync;
  sync.info = SampleWorker("w1");
  RunStatus unplaced;
  unplaced.run = RunOf("nobody", 0, 0);
  sync.running = {unplaced};
  static_cast<void>(fixture.TakeOrders());
  fixture.Sync(sync);
  const std::vector<WorkerOrders> orders = fixture.TakeOrders();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.back().stops.size());
  CPPUNIT_ASSERT(orders.back().stops[0] == unplaced.run);
}

void LostStartIsResent() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  static_cast<void>(fixture.TakeOrders());
  WorkerSync empty;
  empty.info = SampleWorker("w1");
  fixture.AdvanceTime(Millis(500));
  fixture.Sync(empty);
  const std::vector<WorkerOrders> orders = fixture.TakeOrders();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.back().starts.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, orders.back().starts[0].run.run);
}

void StuckRunIsStopped() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  bool was_stopped = false;
  for (int i = 0; i < 30 && !was_stopped; ++i) {
    WorkerSync sync = SyncWithPlacedRuns(fixture, SampleWorker("w1"));
    sync.running[0].percent = 40;
    sync.lists = static_cast<std::uint64_t>(i) + 1;
    fixture.Sync(sync);
    fixture.AdvanceTime(Millis(200));
    for (const WorkerOrders& orders : fixture.TakeOrders()) {
      was_stopped = was_stopped || !orders.stops.empty();
    }
  }
  CPPUNIT_ASSERT(was_stopped);
}

// Guards against runs that are stopped, and workers that are suspected, after a
// long turn of the leader: the lists that show the progress wait in its queue.
void RunWithUnreadListsIsNotStuck() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  std::uint64_t lists = 0;
  const auto list = [&](int percent) {
    WorkerSync sync = SyncWithPlacedRuns(fixture, SampleWorker("w1"));
    sync.running[0].percent = percent;
    sync.lists = ++lists;
    fixture.Sync(std::move(sync));
  };
  // Lists that had waited are handled in one turn.
  for (int i = 0; i < 10; ++i) {
    list(40);
  }
  fixture.AdvanceUnheard(Millis(4000));
  list(60);
  fixture.AdvanceTime(kTimeStep);
  for (const WorkerOrders& orders : fixture.TakeOrders()) {
    CPPUNIT_ASSERT(orders.stops.empty());
  }
}

void RunWithoutNewListsIsNotStuck() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  for (int i = 0; i < 30; ++i) {
    // The agent resends its last list, because it can't get a new one.
    WorkerSync sync = SyncWithPlacedRuns(fixture, SampleWorker("w1"));
    sync.running[0].percent = 40;
    sync.lists = 1;
    fixture.Sync(sync);
    fixture.AdvanceTime(Millis(200));
    for (const WorkerOrders& orders : fixture.TakeOrders()) {
      CPPUNIT_ASSERT(orders.stops.empty());
    }
  }
}

void WorkerThatFailsDifferentGraphsIsSuspected() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Join(SampleWorker("w2"));
  std::int64_t number = 0;
  for (int i = 0; i < 2; ++i) {
    const std::string id = "g" + std::to_string(i);
    fixture.Commit(SampleGraph(id, {SampleStep(8)}));
    fixture.AdvanceTime(kTimeStep);
    EndRuns ends{{"w1", 1}, {}};
    for (const RunRef& run : fixture.RunsOn("w1")) {
      ends.rows.push_back({++number, run, RunEndReason::kFailed, ""});
    }
    fixture.Commit(ends);
    fixture.Commit(CancelGraph{id});
    EndRuns stopped{{"w2", 1}, {}};
    for (const RunRef& run : fixture.RunsOn("w2")) {
      stopped.rows.push_back({number + 100, run, RunEndReason::kStopped, ""});
      ++number;
    }
    fixture.Commit(stopped);
    EndRuns remaining{{"w1", 1}, {}};
    for (const RunRef& run : fixture.RunsOn("w1")) {
      remaining.rows.push_back({++number, run, RunEndReason::kStopped, ""});
    }
    fixture.Commit(remaining);
  }
  fixture.Commit(SampleGraph("next", {SampleStep(4)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.RunsOn("w2").size());
}

void SuspectedWorkerIsProbedBesideLongRunningTasks() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  StepSpec long_running_step = SampleStep(1);
  long_running_step.long_running = true;
  fixture.Commit(SampleGraph("watch", {long_running_step}));
  fixture.AdvanceTime(kTimeStep);
  std::int64_t number = 0;
  for (const char* id : {"g0", "g1"}) {
    fixture.Commit(SampleGraph(id, {SampleStep(1)}));
    fixture.AdvanceTime(kTimeStep);
    fixture.Commit(EndRuns{
        {"w1", 1}, {{++number, RunOf(id, 0, 0), RunEndReason::kFailed, ""}}});
    fixture.Commit(CancelGraph{id});
  }
  fixture.Commit(SampleGraph("next", {SampleStep(2)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w1").size());
  for (int i = 0; i < 20; ++i) {
    fixture.Sync(SyncWithPlacedRuns(fixture, SampleWorker("w1")));
    fixture.AdvanceTime(Millis(150));
  }
  // One run is started as a probe, the other one when the probe is done.
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.RunsOn("w1").size());
  fixture.Commit(EndRuns{
      {"w1", 1}, {{++number, RunOf("next", 0, 0), RunEndReason::kDone, ""}}});
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").contains(RunOf("next", 0, 1)));
}

void BestEffortTasksAreNotStarved() {
  // Guards against starvation of best-effort tasks after a recovery, when
  // latency-sensitive tasks reserve all CPU and only memory is free.
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("watch", {ServingStep(4)}));
  fixture.AdvanceTime(kTimeStep);
  fixture.Commit(SampleGraph("packet", {BestEffortStep(6, 3000)}, "batch"));
  constexpr Duration kStartTimeLimit = std::chrono::seconds(3);
  for (Duration passed{}; passed < kStartTimeLimit; passed += Millis(100)) {
    fixture.Sync(SyncWithPlacedRuns(fixture, SampleWorker("w1")));
    fixture.AdvanceTime(Millis(100));
  }
  CPPUNIT_ASSERT(fixture.table().FindGraph("packet")->state ==
                 GraphState::kRunning);
}

void BacklogIsNotSpreadOverFullWorkers() {
  // Guards against spreading free capacity over the whole backlog under load,
  // when latency-sensitive tasks reserve half of the pool and best-effort jobs
  // arrive faster than the other half can run them: every job would be late.
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Join(SampleWorker("w2"));
  fixture.Commit(SampleGraph("watch", {ServingStep(4)}));
  fixture.AdvanceTime(kTimeStep);
  for (int i = 0; i < 8; ++i) {
    fixture.Commit(SampleGraph("packet" + std::to_string(i),
                               {BestEffortStep(2, 2000)}, "batch"));
  }
  for (int i = 0; i < 100; ++i) {
    for (const char* id : {"w1", "w2"}) {
      fixture.Sync(SyncWithPlacedRuns(fixture, SampleWorker(id)));
    }
    fixture.AdvanceTime(Millis(100));
  }
  const bool serves_on_first =
      fixture.RunsOn("w1").contains(RunOf("watch", 0, 0));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "no more runs than fit on the free worker", std::size_t{2},
      fixture.RunsOn(serves_on_first ? "w2" : "w1").size());
}

void OversizedJobIsRefusedAtOnce() {
  LeaderHarness fixture;
  const SubmitGraph large = SampleGraph("g", {SampleStep(1, 4001)});
  CPPUNIT_ASSERT(!fixture.CheckAdmission(large));
  fixture.Join(SampleWorker("w1"));
  const auto refusal = fixture.CheckAdmission(large);
  CPPUNIT_ASSERT(refusal.has_value());
  CPPUNIT_ASSERT(refusal->error == ErrorKind::kOverloaded);
  CPPUNIT_ASSERT(refusal->retry_after_ms > 0);
  CPPUNIT_ASSERT(!fixture.CheckAdmission(SampleGraph("h", {SampleStep(1)})));
}

// Returns the runs whose start the leader has ordered since the last call.
std::set<RunRef> TakeStarts(LeaderHarness& fixture) {
  std::set<RunRef> starts;
  for (const WorkerOrders& orders : fixture.TakeOrders()) {
    for (const RunStart& start : orders.starts) {
      starts.insert(start.run);
    }
  }
  return starts;
}

// Guards against starts beyond the capacity: orders that no run list confirms
// are repeated to a worker whose capacity has shrunk since.
void StartsBeyondShrunkCapacityAreWithdrawn() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(3)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, TakeStarts(fixture).size());
  WorkerSync sync;
  sync.info = SampleWorker("w1");
  sync.info.capacity.cpu_millis = 1000;
  for (int i = 0; i < 3; ++i) {
    fixture.AdvanceTime(Millis(500));
    fixture.Sync(sync);
  }
  CPPUNIT_ASSERT(TakeStarts(fixture).size() <= 1);
}

// Guards against starts beyond a capacity that has shrunk: a sync that another
// replica relays late brings the former capacity back.
void LateSyncRestoresNoCapacity() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.AdvanceTime(Millis(1000));
  WorkerSync shrunk;
  shrunk.info = SampleWorker("w1");
  shrunk.info.capacity.cpu_millis = 1000;
  fixture.Sync(shrunk);
  WorkerSync late;
  late.info = SampleWorker("w1");
  late.seq = 1;
  late.reachable = true;
  fixture.leader().OnSync(fixture.now(), fixture.table(), "agent-w1", late,
                          true);
  fixture.Commit(SampleGraph("g", {SampleStep(4)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w1").size());
}

// Guards against a job that is refused as too large for a worker whose capacity
// has shrunk for a while.
void ShrunkCapacityRefusesNoJob() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  WorkerSync sync;
  sync.info = SampleWorker("w1");
  sync.info.capacity = {};
  fixture.Sync(sync);
  const SubmitGraph graph = SampleGraph("g", {SampleStep(1, 4000)});
  CPPUNIT_ASSERT(!fixture.CheckAdmission(graph));
  fixture.Commit(graph);
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
  fixture.Join(SampleWorker("w1"));
  fixture.AdvanceTime(Millis(2000));
  fixture.Join(SampleWorker("w1"));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("it starts once the capacity is back",
                               std::size_t{1}, fixture.RunsOn("w1").size());
}

// Guards against two runs of a task at once: an agent that has just restarted
// takes the first report for the worker's, and it is one of another writer.
void UnansweredIncarnationEndsNoOther() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  fixture.SyncUnanswered(SampleWorker("w1", 8));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w1").size());
  const WorkerInfo successor = SampleWorker("w1", 9);
  fixture.Join(successor);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
  CPPUNIT_ASSERT(fixture.table().FindWorker(successor.life) != nullptr);
}

// Guards against two runs of a task at once: a replica that was frozen relays a
// sync of an incarnation that has ended, and the clock stepped back before the
// next one.
void LateSyncOfEndedIncarnationEndsNoOther() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1", 8));
  WorkerSync departure;
  departure.info = SampleWorker("w1", 8);
  departure.gone = true;
  fixture.Sync(departure);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w1").size());
  WorkerSync late;
  late.info = SampleWorker("w1", 8);
  fixture.Relay(late);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w1").size());
}

}  // namespace

Section GraphLeaderStory() {
  Section story("The job graph leader");
  story
      .With(Section("an incarnation")
                .Then("ends once the worker answers as another one",
                      UnansweredIncarnationEndsNoOther)
                .Then("is not ended by a late sync of one that has ended",
                      LateSyncOfEndedIncarnationEndsNoOther))
      .With(
          Section("placement")
              .Then("respects every worker's capacity",
                    PlacesReadyTasksWithinCapacity)
              .Then(
                  "counts a graph as pending until a worker lists a run of it",
                  GraphIsPendingUntilARunIsListed)
              .Then("serves the queue with the higher priority first",
                    HigherPriorityQueueGoesFirst)
              .Then("skips an evacuated data centre", SkipsEvacuatedDataCentre)
              .Then("skips a draining worker", SkipsDrainingWorker)
              .Then("places all tasks of a gang or none",
                    GangIsPlacedWholeOrNotAtAll)
              .Then("respects required labels and the limit per worker",
                    RespectsLabelsAndPerWorkerLimit)
              .Then("does not spread a backlog over full workers",
                    BacklogIsNotSpreadOverFullWorkers)
              .Then("does not starve best-effort tasks",
                    BestEffortTasksAreNotStarved))
      .With(Section("admission")
                .Then("refuses at once a job that exceeds every worker",
                      OversizedJobIsRefusedAtOnce)
                .Then("accepts a job for a capacity that may grow again",
                      ShrunkCapacityRefusesNoJob))
      .With(Section("a worker")
                .Then("that is silent keeps its runs until its lease expires",
                      SilentWorkerIsReplacedOnlyAfterItsLease)
                .Then("keeps its runs while its syncs are unread",
                      UnreadWorkerKeepsItsRuns)
                .Then("that left has its reported ends counted",
                      EndsOfLeavingWorkerAreCounted)
                .Then("that left has its ends beyond one log entry counted",
                      ManyEndsOfLeavingWorkerAreCounted)
                .Then("that restarted has its earlier ends proposed once",
                      EndsOfEarlierIncarnationAreProposedOnce)
                .Then("that restarted is not suspected for earlier failures",
                      FailuresOfEarlierIncarnationCastNoSuspicion)
                .Then("must stop a run that is not placed on it",
                      UnplacedRunIsStopped)
                .Then("gets a lost start command again", LostStartIsResent)
                .Then("gets no start again that its capacity no longer holds",
                      StartsBeyondShrunkCapacityAreWithdrawn)
                .Then("gets no start beyond its capacity after a late sync",
                      LateSyncRestoresNoCapacity)
                .Then("must stop a run without progress", StuckRunIsStopped)
                .Then("whose run lists are unread has no stuck runs",
                      RunWithUnreadListsIsNotStuck)
                .Then("without new run lists has no stuck runs",
                      RunWithoutNewListsIsNotStuck)
                .Then("that fails different graphs is suspected",
                      WorkerThatFailsDifferentGraphsIsSuspected)
                .Then("that is suspected is probed beside long-running tasks",
                      SuspectedWorkerIsProbedBesideLongRunningTasks));
  return story;
}

}  // namespace banyan
