#include "banyan/graph/urgent_room.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyan/graph/placement_order.h"

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kTimeStep = Millis(25);
constexpr std::int64_t kWorkerCpuMillis = 65000;
constexpr std::int64_t kLongCpuMillis = 13000;
constexpr std::int64_t kQuickCpuMillis = 1300;

GraphLeaderOptions UrgentOptions() {
  GraphLeaderOptions options;
  options.scheduling.room_for_urgent = true;
  return options;
}

// A pool of equal workers that report all 100 ms and carry out orders at once:
// each run that is placed is at work with the next report, and each stop ends
// its run. Quick runs end after half a second.
class BusyPool {
 public:
  explicit BusyPool(int workers, GraphLeaderOptions options = UrgentOptions())
      : fixture_(options) {
    for (int i = 0; i < workers; ++i) {
      infos_.push_back(SampleWorker("w" + std::to_string(100 + i), 1,
                                    i % 3 == 0 ? "dc-a" : "dc-b"));
      infos_.back().capacity = {kWorkerCpuMillis, 250000, 0};
      fixture_.Join(infos_.back());
    }
  }

  // Submits a long-running graph, of which `max_unavailable` tasks may be
  // unavailable.
  void SubmitLongRunning(const std::string& id,
                         std::int64_t tasks,
                         std::optional<std::int64_t> max_unavailable) {
    StepSpec step = ServingStep(tasks);
    step.needs = {kLongCpuMillis, 26000, 0};
    step.max_unavailable = max_unavailable;
    fixture_.Commit(SampleGraph(id, {step}));
  }

  // Submits a graph of quick tasks.
  void SubmitQuick(const std::string& id, std::int64_t tasks) {
    StepSpec step = SampleStep(tasks, kQuickCpuMillis);
    step.needs.memory_mib = 2600;
    step.estimate_ms = 540;
    fixture_.Commit(SampleGraph(id, {step}));
  }

  void Submit(const SubmitGraph& submit) { fixture_.Commit(submit); }
  // Takes a data centre out of service: its workers announce their departure.
  void Lose(const std::string& data_centre) {
    fixture_.Commit(SetEvacuated{data_centre, true});
    std::erase_if(infos_, [&](const WorkerInfo& info) {
      if (info.data_centre != data_centre) {
        return false;
      }
      WorkerSync sync;
      sync.info = info;
      sync.gone = true;
      fixture_.Sync(std::move(sync));
      return true;
    });
  }

  // Starts a new leadership.
  void ChangeLeader() {
    fixture_.leader().Reset(fixture_.now(), fixture_.table(), 8);
    for (const WorkerInfo& info : infos_) {
      fixture_.Join(info);
    }
  }

  void Run(Duration span) {
    for (Duration passed{}; passed < span; passed += kTimeStep) {
      fixture_.AdvanceTime(kTimeStep);
      if (++steps_ % 4 == 0) {
        Report();
      }
      Collect();
    }
  }

  // Runs until all tasks of a graph have started. Returns how long that took;
  // `limit` if it didn't happen.
  Duration TimeToStart(const std::string& graph, Duration limit) {
    Duration passed{};
    while (passed < limit && CountTasks(graph, TaskPhase::kReady) > 0) {
      Run(kTimeStep);
      passed += kTimeStep;
    }
    return passed;
  }

  [[nodiscard]] std::int64_t CountTasks(const std::string& graph,
                                        TaskPhase phase) const {
    const Graph* found = fixture_.table().FindGraph(graph);
    std::int64_t count = 0;
    for (const OccurrenceProgress& occurrence : found->occurrences) {
      for (const StepProgress& step : occurrence) {
        count += std::count_if(
            step.tasks.begin(), step.tasks.end(),
            [&](const TaskProgress& task) { return task.phase == phase; });
      }
    }
    return count;
  }

  // The runs that were stopped, in order.
  [[nodiscard]] const std::vector<RunRef>& stopped() const { return stopped_; }
  [[nodiscard]] std::size_t StopsOf(const std::string& graph) const {
    return static_cast<std::size_t>(std::count_if(
        stopped_.begin(), stopped_.end(),
        [&](const RunRef& run) { return run.task.graph == graph; }));
  }
  [[nodiscard]] LeaderHarness& fixture() { return fixture_; }

 private:
  void Collect() {
    for (const WorkerOrders& orders : fixture_.TakeOrders()) {
      for (const RunRef& run : orders.stops) {
        if (stops_.emplace(run).second &&
            fixture_.table().IsCurrent(run, orders.worker)) {
          stopped_.push_back(run);
        }
      }
    }
  }

  void Report() {
    for (const WorkerInfo& info : infos_) {
      WorkerSync sync;
      sync.info = info;
      sync.lists = ++lists_;
      std::int64_t& ends = end_counts_[info.life.id];
      for (const RunRef& run : fixture_.RunsOn(info.life.id)) {
        const StepSpec& step = *fixture_.table().FindStep(run.task);
        const Time since =
            started_at_.try_emplace(run, fixture_.now()).first->second;
        const bool is_done = !step.long_running && !step.best_effort &&
                             since + Millis(500) <= fixture_.now();
        if (stops_.contains(run) || is_done) {
          sync.ended.push_back(
              {++ends, run,
               is_done ? RunEndReason::kDone : RunEndReason::kStopped, ""});
        } else {
          sync.running.push_back({run, "", step.long_running ? 100 : 50, 0});
        }
      }
      fixture_.Sync(std::move(sync));
    }
  }

  LeaderHarness fixture_;
  std::vector<WorkerInfo> infos_;
  std::set<RunRef> stops_;
  std::vector<RunRef> stopped_;
  std::map<RunRef, Time> started_at_;
  std::map<std::string, std::int64_t> end_counts_;
  std::uint64_t lists_ = 0;
  int steps_ = 0;
};

// Fills a pool of one worker with five long-running graphs of one task each.
void FillWithLongRunning(BusyPool& pool,
                         std::optional<std::int64_t> max_unavailable) {
  for (int i = 0; i < 5; ++i) {
    pool.SubmitLongRunning("feed-" + std::to_string(i), 1, max_unavailable);
  }
  pool.Run(Millis(7000));
}

void DataCentreOutLeavesRoomForQuickTasks() {
  // Guards against the displaced long-running tasks of a data centre that went
  // out of service holding all processors of the others: quick tasks waited for
  // up to 20 s.
  BusyPool pool(12);
  for (int i = 0; i < 7; ++i) {
    pool.SubmitLongRunning("feed-" + std::to_string(i), 7, 2);
  }
  pool.Run(Millis(7000));
  pool.Lose("dc-a");
  pool.Run(Millis(8000));
  pool.SubmitQuick("quick", 10);
  const Duration waited = pool.TimeToStart("quick", Millis(3000));
  CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(waited)),
                         waited <= Millis(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.stopped().size());
}

void DisplacedTasksLeaveRoomForTheQuickLoad() {
  // Guards against displaced long-running tasks that take the room between two
  // quick tasks: all their steps are then short of tasks for seconds, so that
  // none may be stopped.
  BusyPool pool(12);
  for (int i = 0; i < 7; ++i) {
    pool.SubmitLongRunning("feed-" + std::to_string(i), 7, 2);
  }
  pool.Run(Millis(7000));
  for (int i = 0; i < 50; ++i) {
    if (i == 10) {
      pool.Lose("dc-a");
    }
    const std::string id = "quick-" + std::to_string(i);
    pool.SubmitQuick(id, 4);
    pool.Run(Millis(100));
    const Duration waited = pool.TimeToStart(id, Millis(1000));
    CPPUNIT_ASSERT_MESSAGE(id + ": " + std::to_string(ToMillis(waited)),
                           waited <= Millis(300));
  }
  CPPUNIT_ASSERT(pool.stopped().empty());
}

void BestEffortMemoryIsFreedFirst() {
  // Guards against a quick task that waits for the memory of best-effort runs,
  // and against stopping anything else for it.
  BusyPool pool(1);
  pool.SubmitLongRunning("feed", 1, 1);
  StepSpec fill = BestEffortStep(2, 1000);
  fill.needs.memory_mib = 112000;
  pool.Submit(SampleGraph("fill-a", {fill}, "batch"));
  pool.Run(Millis(7000));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                       pool.CountTasks("fill-a", TaskPhase::kRunning));
  pool.SubmitQuick("quick", 4);
  const Duration waited = pool.TimeToStart("quick", Millis(3000));
  CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(waited)),
                         waited <= Millis(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.StopsOf("fill-a"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.StopsOf("feed"));
}

void BurstStopsAsFewRunsAsItNeeds() {
  // One long-running task makes room for ten quick ones.
  BusyPool pool(4);
  for (int i = 0; i < 20; ++i) {
    pool.SubmitLongRunning("feed-" + std::to_string(i), 1, 1);
  }
  pool.Run(Millis(7000));
  for (int i = 0; i < 3; ++i) {
    pool.SubmitQuick("quick-" + std::to_string(i), 10);
  }
  for (int i = 0; i < 3; ++i) {
    CPPUNIT_ASSERT(pool.TimeToStart("quick-" + std::to_string(i), Millis(500)) <
                   Millis(500));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pool.stopped().size());
}

void LimitOfUnavailableTasksHolds() {
  // Guards against stops beyond `max_unavailable`, and without one.
  for (const std::optional<std::int64_t> limit :
       {std::optional<std::int64_t>(), std::optional<std::int64_t>(0)}) {
    BusyPool pool(1);
    FillWithLongRunning(pool, limit);
    pool.SubmitQuick("quick", 4);
    pool.Run(Millis(3000));
    CPPUNIT_ASSERT(pool.stopped().empty());
  }
  // A sixth task that never had room uses up the limit of its step.
  BusyPool pool(1);
  pool.SubmitLongRunning("feed", 6, 1);
  pool.Run(Millis(7000));
  pool.SubmitQuick("quick", 4);
  pool.Run(Millis(3000));
  CPPUNIT_ASSERT(pool.stopped().empty());
}

void TaskThatRestartedCountsAsUnavailable() {
  // Guards against a second stop in a step whose task has been back for less
  // than 5.5 s.
  BusyPool pool(1);
  pool.SubmitLongRunning("feed", 5, 1);
  pool.Run(Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5},
                       pool.CountTasks("feed", TaskPhase::kRunning));
  pool.Run(Millis(2300));
  // Past the first 5 s of the leader, but the tasks have run for less.
  pool.SubmitQuick("quick", 4);
  pool.Run(Millis(200));
  CPPUNIT_ASSERT(pool.stopped().empty());
}

void StoppedTaskStaysOutWhileUrgentTasksWait() {
  // Guards against a stopped task that takes its room back at once, and against
  // stopping the same graph again and again.
  BusyPool pool(1);
  FillWithLongRunning(pool, 1);
  pool.SubmitQuick("quick-0", 10);
  CPPUNIT_ASSERT(pool.TimeToStart("quick-0", Millis(500)) < Millis(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.stopped().size());
  const std::string graph = pool.stopped().front().task.graph;
  // The quick tasks end after half a second; the room stays free.
  pool.Run(Millis(2500));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.CountTasks(graph, TaskPhase::kReady));
  pool.SubmitQuick("quick-1", 10);
  CPPUNIT_ASSERT(pool.TimeToStart("quick-1", Millis(500)) < Millis(100));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.stopped().size());
  // Without urgent tasks it returns.
  pool.Run(Millis(5000));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                       pool.CountTasks(graph, TaskPhase::kReady));
}

void GraphIsNotStoppedTwiceWithinFiveSeconds() {
  BusyPool pool(2);
  pool.SubmitLongRunning("feed", 10, 5);
  pool.Run(Millis(7000));
  pool.SubmitQuick("quick", 40);
  pool.Run(Millis(4500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.StopsOf("feed"));
}

void NewLeaderWaitsBeforeItStopsLongRunningTasks() {
  // Guards against a leader that doesn't know the stops of the previous one.
  BusyPool pool(1);
  FillWithLongRunning(pool, 1);
  pool.ChangeLeader();
  pool.SubmitQuick("quick", 4);
  pool.Run(Millis(4900));
  CPPUNIT_ASSERT(pool.stopped().empty());
  pool.Run(Millis(1500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.stopped().size());
}

void HeldBackRoomIsTakenIfItHoldsTheTaskTwice() {
  // Guards against a breach of the rule that a long-running task that has
  // waited for 3 s runs if the free capacity holds it twice.
  BusyPool pool(2);
  for (int i = 0; i < 10; ++i) {
    pool.SubmitLongRunning("feed-" + std::to_string(i), 1, 1);
  }
  pool.Run(Millis(7000));
  pool.SubmitQuick("quick", 20);
  CPPUNIT_ASSERT(pool.TimeToStart("quick", Millis(500)) < Millis(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.stopped().size());
  const auto waiting = [&] {
    std::int64_t count = 0;
    for (int i = 0; i < 10; ++i) {
      count += pool.CountTasks("feed-" + std::to_string(i), TaskPhase::kReady);
    }
    return count;
  };
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, waiting());
  // The quick tasks are done after half a second. With both slots free one of
  // the two stopped tasks returns, and the other slot stays free.
  pool.Run(Millis(2500));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, waiting());
}

void SwitchedOffStopsNothing() {
  BusyPool pool(1, GraphLeaderOptions{});
  FillWithLongRunning(pool, 1);
  pool.SubmitQuick("quick", 4);
  pool.Run(Millis(3000));
  CPPUNIT_ASSERT(pool.stopped().empty());
}

// Returns the ids of the ready graphs in placement order.
std::vector<std::string> OrderOf(const GraphTable& table,
                                 bool is_short,
                                 WallMillis wall) {
  std::map<std::string_view, PoolUsage> pools;
  pools["desk"].is_short = is_short;
  SchedulingPolicy policy;
  policy.room_for_urgent = true;
  std::vector<std::string> ids;
  for (const ReadyGraph& ready : OrderReadyGraphs(table, pools, policy, wall)) {
    ids.push_back(*ready.id);
  }
  return ids;
}

void QuickGraphsGoFirstInAShortPool() {
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan()}, kGraphStart);
  table.Apply(SampleGraph("feed", {ServingStep(1)}), kGraphStart);
  table.Apply(SampleGraph("quick", {SampleStep(1)}), kGraphStart);
  CPPUNIT_ASSERT(OrderOf(table, false, kGraphStart) ==
                 (std::vector<std::string>{"feed", "quick"}));
  CPPUNIT_ASSERT(OrderOf(table, true, kGraphStart) ==
                 (std::vector<std::string>{"quick", "feed"}));
}

void WideGraphIsNotOvertakenForever() {
  // Guards against a wide graph that waits behind all narrow ones that come
  // after it.
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan()}, kGraphStart);
  table.Apply(SampleGraph("wide", {SampleStep(40)}), kGraphStart);
  table.Apply(SampleGraph("narrow", {SampleStep(1)}), kGraphStart + 100);
  CPPUNIT_ASSERT_EQUAL(std::string("narrow"),
                       OrderOf(table, true, kGraphStart + 200).front());
  // The objective is 1.5 x 800 ms + 250 ms.
  CPPUNIT_ASSERT_EQUAL(std::string("wide"),
                       OrderOf(table, true, kGraphStart + 1600).front());
}

}  // namespace

Section UrgentRoomStory() {
  Section story("Room for urgent tasks");
  story
      .With(Section("by stops")
                .Then("quick tasks start soon when a data centre is out",
                      DataCentreOutLeavesRoomForQuickTasks)
                .Then("best-effort runs go first where memory is scarce",
                      BestEffortMemoryIsFreedFirst)
                .Then("a burst stops as few runs as it needs",
                      BurstStopsAsFewRunsAsItNeeds)
                .Then("no step has more unavailable tasks than it allows",
                      LimitOfUnavailableTasksHolds)
                .Then("a task that has just started counts as unavailable",
                      TaskThatRestartedCountsAsUnavailable)
                .Then("a graph isn't stopped twice within 5 s",
                      GraphIsNotStoppedTwiceWithinFiveSeconds)
                .Then("a new leader waits before it stops long-running tasks",
                      NewLeaderWaitsBeforeItStopsLongRunningTasks)
                .Then("the switch is needed", SwitchedOffStopsNothing))
      .With(Section("by headroom")
                .Then("a stopped task stays out while urgent tasks wait",
                      StoppedTaskStaysOutWhileUrgentTasksWait)
                .Then("displaced long-running tasks leave room for quick ones",
                      DisplacedTasksLeaveRoomForTheQuickLoad)
                .Then("room for two long-running tasks is not held back",
                      HeldBackRoomIsTakenIfItHoldsTheTaskTwice))
      .With(Section("by order")
                .Then("quick graphs go first in a pool short of room",
                      QuickGraphsGoFirstInAShortPool)
                .Then("a wide graph is not overtaken forever",
                      WideGraphIsNotOvertakenForever));
  return story;
}

}  // namespace banyan
