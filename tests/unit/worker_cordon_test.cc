#include "banyan/graph/worker_cordon.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kTimeStep = Millis(25);
// A long-running task must run again so long after the end of its last run if
// there is room for it twice over, however full the pool is.
constexpr Duration kRestartLimit = std::chrono::seconds(9);
constexpr Resources kWorkerCapacity = {32000, 125000, 0};
constexpr std::int64_t kLongCpuMillis = 6400;
constexpr std::int64_t kQuickCpuMillis = 1800;
// A quick task takes 0.8 s and 50 ms for each worker before its own, so that
// workers don't free all their room at once.
constexpr Duration kQuickTime = Millis(800);

GraphLeaderOptions Options() {
  GraphLeaderOptions options;
  options.scheduling.room_for_urgent = true;
  options.scheduling.look_ahead = true;
  return options;
}

// A pool whose workers carry out orders at once and report each end within
// 25 ms. Quick tasks are submitted faster than they are done.
class FullPool {
 public:
  explicit FullPool(int workers) : leader(Options()) {
    for (int i = 0; i < workers; ++i) {
      infos_.push_back(SampleWorker("w" + std::to_string(100 + i)));
      infos_.back().capacity = kWorkerCapacity;
      leader.Join(infos_.back());
    }
  }

  void SubmitLongRunning(const std::string& id, std::int64_t tasks) {
    StepSpec step = ServingStep(tasks);
    step.needs = {kLongCpuMillis, 13000, 0};
    leader.Commit(SampleGraph(id, {step}));
  }

  // Lets time pass. From the first call of `StartQuickLoad` on quick graphs
  // arrive meanwhile.
  void Run(Duration span) {
    for (Duration passed{}; passed < span; passed += kTimeStep) {
      if (has_quick_load_ && ++steps_ % 2 == 0) {
        StepSpec step = SampleStep(9, kQuickCpuMillis);
        step.needs.memory_mib = 3600;
        step.estimate_ms = ToMillis(kQuickTime);
        leader.Commit(SampleGraph("quick-" + std::to_string(steps_), {step}));
      }
      leader.AdvanceTime(kTimeStep);
      for (std::size_t i = 0; i < infos_.size(); ++i) {
        Report(i);
      }
    }
  }
  void StartQuickLoad() { has_quick_load_ = true; }

  // Fails the run of a long-running task.
  void Fail(const std::string& graph, std::int64_t index) {
    failing_ = RunOf(graph, 0, index,
                     leader.table().FindTask({graph, 0, 0, index})->run);
    Run(kTimeStep);
  }

  [[nodiscard]] bool IsRunning(const std::string& graph,
                               std::int64_t index) const {
    return leader.table().FindTask({graph, 0, 0, index})->phase ==
           TaskPhase::kRunning;
  }

  // Returns how long a task takes to run again, up to the limit.
  [[nodiscard]] Duration TimeToRestart(const std::string& graph,
                                       std::int64_t index) {
    Duration passed{};
    while (passed < kRestartLimit && !IsRunning(graph, index)) {
      Run(kTimeStep);
      passed += kTimeStep;
    }
    return passed;
  }

  // Returns how many quick tasks run.
  [[nodiscard]] std::int64_t QuickRuns() const {
    std::int64_t count = 0;
    for (const auto& [id, worker] : leader.table().workers()) {
      count += std::count_if(
          worker.runs.begin(), worker.runs.end(), [&](const RunRef& run) {
            return !leader.table().FindStep(run.task)->long_running;
          });
    }
    return count;
  }

  LeaderHarness leader;

 private:
  void Report(std::size_t index) {
    const WorkerInfo& info = infos_[index];
    WorkerSync sync;
    sync.info = info;
    sync.lists = ++lists_;
    std::int64_t& ends = ends_[info.life.id];
    for (const RunRef& run : leader.RunsOn(info.life.id)) {
      const bool is_long = leader.table().FindStep(run.task)->long_running;
      const Time since =
          started_at_.try_emplace(run, leader.now()).first->second;
      const Duration jitter =
          Millis(50) * ((index + static_cast<std::size_t>(run.task.index)) % 8);
      if (run == failing_) {
        sync.ended.push_back({++ends, run, RunEndReason::kFailed, ""});
      } else if (!is_long && since + kQuickTime + jitter <= leader.now()) {
        sync.ended.push_back({++ends, run, RunEndReason::kDone, ""});
      } else {
        sync.running.push_back({run, "", is_long ? kFullPercent : 50, 0});
      }
    }
    leader.Sync(std::move(sync));
  }

  std::vector<WorkerInfo> infos_;
  RunRef failing_;
  std::map<RunRef, Time> started_at_;
  std::map<std::string, std::int64_t> ends_;
  std::uint64_t lists_ = 0;
  std::int64_t steps_ = 0;
  bool has_quick_load_ = false;
};

// Guards against quick tasks that take each gap on full workers: a long-running
// task whose run had failed stood still until the quick load was over.
void RestartsBesideAQuickLoadThatFillsThePool() {
  FullPool pool(8);
  pool.SubmitLongRunning("feed", 24);
  pool.Run(std::chrono::seconds(1));
  pool.StartQuickLoad();
  pool.Run(std::chrono::seconds(4));
  pool.Fail("feed", 3);
  const Duration waited = pool.TimeToRestart("feed", 3);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(waited)),
                         waited < kRestartLimit);
}

// Guards against tasks of one step that get their room one after the other,
// each after the limit of the one before.
void AllTasksRestartWithinTheLimit() {
  FullPool pool(16);
  pool.SubmitLongRunning("feed", 32);
  pool.SubmitLongRunning("alerts", 16);
  pool.Run(std::chrono::seconds(1));
  pool.StartQuickLoad();
  pool.Run(std::chrono::seconds(4));
  for (int i = 0; i < 4; ++i) {
    pool.Fail("feed", i);
    pool.Fail("alerts", i);
  }
  pool.Run(kRestartLimit);
  for (int i = 0; i < 4; ++i) {
    CPPUNIT_ASSERT(pool.IsRunning("feed", i));
    CPPUNIT_ASSERT(pool.IsRunning("alerts", i));
  }
}

// Guards against workers that are kept for a task after it was placed, and
// against a pool that is kept from quick tasks as a whole.
void QuickTasksKeepMostOfThePool() {
  FullPool pool(16);
  pool.SubmitLongRunning("feed", 48);
  pool.Run(std::chrono::seconds(1));
  pool.StartQuickLoad();
  pool.Run(std::chrono::seconds(4));
  const std::int64_t before = pool.QuickRuns();
  for (int i = 0; i < 4; ++i) {
    pool.Fail("feed", i);
  }
  for (int i = 0; i < 40; ++i) {
    pool.Run(Millis(100));
    CPPUNIT_ASSERT(pool.QuickRuns() * 4 >= before * 3);
  }
}

// The candidates of a pool with the given room beside long-running tasks.
struct Candidates {
  explicit Candidates(const std::vector<std::int64_t>& room_millis) {
    workers.reserve(room_millis.size());
    for (const std::int64_t room : room_millis) {
      GraphWorker& worker = workers.emplace_back();
      worker.info = SampleWorker("w" + std::to_string(workers.size()));
      CandidateWorker candidate;
      candidate.worker = &worker;
      candidate.usable = kWorkerCapacity;
      candidate.long_running_reserved = {kWorkerCapacity.cpu_millis - room, 0,
                                         0};
      by_id.emplace(worker.info.life.id, candidate);
    }
  }

  void Begin(WorkerCordons& cordons, Time now, const std::string& graph) {
    cordons.Begin(now,
                  {graph, workers.front().info.service, {5000, 1000, 0}, 1},
                  by_id, [](const CandidateWorker&) { return true; });
  }

  std::vector<GraphWorker> workers;
  std::map<std::string, CandidateWorker> by_id;
};

constexpr auto kWaits = [](const std::string&) { return true; };

void TakesTheWorkerWithTheMostRoom() {
  Candidates candidates({12000, 20000, 9000});
  WorkerCordons cordons;
  candidates.Begin(cordons, Time{}, "g");
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cordons.cordons().size());
  CPPUNIT_ASSERT(cordons.cordons().contains("w2"));
  // Of so small a pool one worker is cordoned.
  candidates.Begin(cordons, Time{}, "h");
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cordons.cordons().size());
}

void LeavesScarceRoomToQuickTasks() {
  Candidates candidates({12000, 10000, 4000});
  WorkerCordons cordons;
  candidates.Begin(cordons, Time{}, "g");
  CPPUNIT_ASSERT(cordons.cordons().empty());
}

// Guards against graphs that each count the room that the others are about to
// take, and together leave none to quick tasks.
void CountWhatIsKeptForOthers() {
  Candidates candidates(std::vector<std::int64_t>(32, 2000));
  for (const char* id : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
    candidates.by_id.at(id).long_running_reserved.cpu_millis -= 3000;
  }
  WorkerCordons cordons;
  for (const char* graph : {"g", "h", "i", "j"}) {
    candidates.Begin(cordons, Time{}, graph);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cordons.cordons().size());
}

void EndsWithThePlacementOrTheWait() {
  Candidates candidates({12000, 20000, 9000});
  WorkerCordons cordons;
  candidates.Begin(cordons, Time{}, "g");
  cordons.OnPlaced("h", candidates.by_id.at("w2"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cordons.cordons().size());
  cordons.OnPlaced("g", candidates.by_id.at("w2"));
  CPPUNIT_ASSERT(cordons.cordons().empty());
  candidates.Begin(cordons, Time{}, "g");
  cordons.Mark(Time{}, candidates.by_id,
               [](const std::string&) { return false; });
  CPPUNIT_ASSERT(cordons.cordons().empty());
}

void TakesAnotherWorkerAfterALapse() {
  Candidates candidates({12000, 20000, 9000});
  WorkerCordons cordons;
  candidates.Begin(cordons, Time{}, "g");
  Candidates later({12000, 20000, 9000});
  cordons.Mark(Time{} + kMaxCordonTime, later.by_id, kWaits);
  CPPUNIT_ASSERT(cordons.cordons().empty());
  later.Begin(cordons, Time{} + kMaxCordonTime, "g");
  CPPUNIT_ASSERT(cordons.cordons().contains("w1"));
}

void FollowsItsWorker() {
  Candidates candidates({12000, 20000, 9000});
  WorkerCordons cordons;
  candidates.Begin(cordons, Time{}, "g");
  Candidates fuller({12000, 4000, 9000});
  cordons.Mark(Time{}, fuller.by_id, kWaits);
  CPPUNIT_ASSERT(cordons.cordons().empty());
  candidates.by_id.at("w2").cordon = nullptr;
  candidates.Begin(cordons, Time{}, "g");
  Candidates fewer({12000});
  cordons.Mark(Time{}, fewer.by_id, kWaits);
  CPPUNIT_ASSERT(cordons.cordons().empty());
}

}  // namespace

Section WorkerCordonStory() {
  Section story("Workers cordoned for long-running tasks");
  story
      .With(Section("in a pool that a quick load fills")
                .Then("a long-running task restarts within the limit",
                      RestartsBesideAQuickLoadThatFillsThePool)
                .Then("all tasks of a step restart within the limit",
                      AllTasksRestartWithinTheLimit)
                .Then("quick tasks keep most of the pool",
                      QuickTasksKeepMostOfThePool))
      .With(
          Section("by choice")
              .Then("are those with the most room",
                    TakesTheWorkerWithTheMostRoom)
              .Then("leave scarce room to quick tasks",
                    LeavesScarceRoomToQuickTasks)
              .Then("count what is kept for others", CountWhatIsKeptForOthers))
      .With(Section("over time")
                .Then("end with the placement or the wait",
                      EndsWithThePlacementOrTheWait)
                .Then("are exchanged after a lapse",
                      TakesAnotherWorkerAfterALapse)
                .Then("follow what their workers hold", FollowsItsWorker));
  return story;
}

}  // namespace banyan
