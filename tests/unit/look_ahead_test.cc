#include "banyan/graph/look_ahead.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/graph/graph_placement.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr std::int64_t kCpuMillis = 16000;
// Resolution of latency reports as a fraction of the target: 1 ms of 24 ms.
constexpr double kResolution = 1.0 / 24;
// Latency without load, as a fraction of the target.
constexpr double kUnloadedLatency = 1.0 / 6;

SchedulingPolicy LookingAhead(bool is_on = true) {
  SchedulingPolicy policy;
  policy.look_ahead = is_on;
  return policy;
}

// A pool with workers of 16 processors, each empty or with a latency-sensitive
// task.
class MixedPool {
 public:
  explicit MixedPool(SchedulingPolicy policy = LookingAhead())
      : placement_(policy) {
    table_.Apply(InstallPlan{SamplePlan()}, kGraphStart);
  }

  // Adds a worker; one with a latency-sensitive task of half of the worker if
  // it has an image.
  void AddWorker(const std::string& id, const std::string& serving_image = "") {
    WorkerInfo info = SampleWorker(id);
    info.capacity = {kCpuMillis, 65536, 0};
    info.labels.push_back(id);
    table_.Apply(AdmitWorker{info, "agent-" + id}, kGraphStart);
    GraphWorkerView view;
    view.life = info.life;
    view.reachable = true;
    view.lease_deadline = now_ + std::chrono::minutes(5);
    views_.emplace(id, view);
    if (serving_image.empty()) {
      return;
    }
    StepSpec feed = ServingStep(1);
    feed.image = serving_image;
    CommitHalf(id, feed);
  }

  // Adds workers of which half is committed to a long-running task without a
  // latency target. A pool of these counts as busy.
  void AddHalfCommitted(std::string_view prefix, int count) {
    for (int i = 1; i <= count; ++i) {
      const std::string id = std::string(prefix) + std::to_string(i);
      AddWorker(id);
      StepSpec feed = SampleStep(1);
      feed.long_running = true;
      CommitHalf(id, feed);
    }
  }

  // Reports the latency of a serving image alone and beside a best-effort
  // image, until the model knows whether the pair interferes.
  void Observe(const std::string& serving_image,
               const std::string& image,
               bool interferes) {
    const std::vector<BestEffortNeighbour> neighbours = {{image, 0.1}};
    for (int i = 0; i < 40; ++i) {
      now_ += Millis(50);
      model_.Observe(
          now_, {"feed", serving_image, kUnloadedLatency, kResolution}, {});
    }
    for (int i = 0; i < 40; ++i) {
      now_ += Millis(50);
      model_.Observe(now_, {"feed", serving_image, 0.33, kResolution}, {});
      model_.Observe(
          now_, {"feed", serving_image, interferes ? 1.0 : 0.33, kResolution},
          neighbours);
    }
  }

  void Submit(const std::string& id,
              const StepSpec& step,
              const std::string& queue) {
    table_.Apply(SampleGraph(id, {step}, queue), kGraphStart);
  }

  // Starts a run of its own graph on a worker without a placement pass.
  void StartOn(const std::string& worker, const StepSpec& step) {
    const std::string id = "filler-" + worker;
    Submit(id, step, "batch");
    Start(worker, RunOf(id, 0, 0));
  }

  // Starts a run without a placement pass.
  void Start(const std::string& worker, const RunRef& run) {
    Apply({{run, {worker, 1}}});
  }

  // Runs one placement pass and applies its placements.
  std::vector<RunPlacement> Place() {
    std::vector<RunPlacement> chosen =
        placement_.Choose(now_, kGraphStart, table_, views_, model_);
    Apply(chosen);
    for (Event& event : placement_.TakeEvents()) {
      events_.push_back(std::move(event));
    }
    return chosen;
  }

  // Ends the runs that have run for the given time, reports the progress of the
  // others and runs a placement pass.
  std::vector<RunPlacement> Advance(Duration span, Duration run_time) {
    now_ += span;
    for (auto& [id, view] : views_) {
      for (auto item = view.runs.begin(); item != view.runs.end();) {
        auto& [run, seen] = *item;
        if (seen.listed_at + run_time <= now_) {
          table_.Apply(
              EndRuns{view.life, {{++ends_[id], run, RunEndReason::kDone, ""}}},
              kGraphStart);
          item = view.runs.erase(item);
          continue;
        }
        seen.row.percent = 100 * (now_ - seen.listed_at) / run_time;
        seen.progressed_at = now_;
        ++item;
      }
    }
    return Place();
  }

  // Replaces the leader's soft state as a new leader does.
  void ChangeLeader() { placement_ = GraphPlacement(LookingAhead()); }

  [[nodiscard]] std::set<std::string> Reserved() const {
    std::set<std::string> workers;
    for (const auto& [worker, hold] : placement_.holds()) {
      workers.insert(worker);
    }
    return workers;
  }

  // Returns how often an event was logged.
  [[nodiscard]] std::int64_t Count(EventId id) const {
    return std::count_if(events_.begin(), events_.end(),
                         [&](const Event& event) { return event.id() == id; });
  }

 private:
  void CommitHalf(const std::string& worker, StepSpec step) {
    const std::string id = "feed-" + worker;
    step.needs = {kCpuMillis / 2, 1024, 0};
    table_.Apply(SampleGraph(id, {step}), kGraphStart);
    table_.Apply(PlaceRuns{{{RunOf(id, 0, 0), {worker, 1}}}}, kGraphStart);
  }

  void Apply(const std::vector<RunPlacement>& placements) {
    table_.Apply(PlaceRuns{placements}, kGraphStart);
    for (const RunPlacement& placement : placements) {
      RunView& seen = views_.at(placement.worker.id).runs[placement.run];
      seen.row.run = placement.run;
      seen.listed_at = now_;
      seen.progressed_at = now_;
    }
  }

  GraphPlacement placement_;
  Time now_ = Time(std::chrono::seconds(100));
  GraphTable table_;
  std::map<std::string, GraphWorkerView> views_;
  InterferenceModel model_;
  std::map<std::string, std::int64_t> ends_;
  Events events_;
};

StepSpec BuildStep(std::int64_t tasks, std::int64_t cpu_millis = 1000) {
  StepSpec step = BestEffortStep(tasks, cpu_millis);
  step.image = "build";
  return step;
}

// Returns the number of quick tasks of a processor each by the worker that they
// are placed on while a build waits. Of the workers, `closed` has a task that
// the builds interfere with, `open` one that they don't, and `empty` none.
std::map<std::string, int> QuickTasksByWorker(bool looks_ahead,
                                              std::int64_t quick_tasks) {
  MixedPool pool(LookingAhead(looks_ahead));
  pool.AddWorker("closed", "fragile");
  pool.AddWorker("empty");
  pool.AddWorker("open", "robust");
  pool.Observe("fragile", "build", true);
  pool.Observe("robust", "build", false);
  pool.Submit("quick", SampleStep(quick_tasks), "quick");
  pool.Submit("build", BuildStep(1), "batch");
  std::map<std::string, int> placed;
  for (const RunPlacement& placement : pool.Place()) {
    if (placement.run.task.graph == "quick") {
      ++placed[placement.worker.id];
    }
  }
  return placed;
}

void QuickTasksLeaveRoomForBestEffortWork() {
  // Guards against quick tasks on the emptiest workers, which are those that
  // best-effort work can use.
  std::map<std::string, int> placed = QuickTasksByWorker(true, 2);
  CPPUNIT_ASSERT_EQUAL(2, placed["closed"]);
  placed = QuickTasksByWorker(false, 2);
  CPPUNIT_ASSERT_EQUAL(2, placed["empty"]);
}

void QuickTasksAreNotSlowedDown() {
  // Guards against quick tasks on a worker without idle CPU time while others
  // have some: the worker "closed" has about 8 idle processors.
  std::map<std::string, int> placed = QuickTasksByWorker(true, 30);
  CPPUNIT_ASSERT_EQUAL(30, placed["closed"] + placed["open"] + placed["empty"]);
  CPPUNIT_ASSERT(placed["closed"] >= 8);
  CPPUNIT_ASSERT(placed["open"] >= 8);
  CPPUNIT_ASSERT(placed["empty"] > 0);
}

constexpr Duration kTick = Millis(100);
// Run time that ends no run within a test.
constexpr Duration kEndless = std::chrono::hours(1);

StepSpec FillerStep(std::int64_t cpu_millis, std::int64_t estimate_ms = 2000) {
  StepSpec step = BestEffortStep(1, cpu_millis);
  step.image = "lint";
  step.estimate_ms = estimate_ms;
  return step;
}

int PlacedOf(std::string_view graph,
             const std::vector<RunPlacement>& placements) {
  return static_cast<int>(std::count_if(
      placements.begin(), placements.end(), [&](const RunPlacement& placement) {
        return placement.run.task.graph == graph;
      }));
}

// Returns after how many ticks a wide task starts that waits beside a stream of
// small ones, which together need more than the pool; 100 if it doesn't.
int TicksUntilWideStarts(bool looks_ahead) {
  constexpr int kMaxTicks = 100;
  MixedPool pool(LookingAhead(looks_ahead));
  pool.AddHalfCommitted("w", 4);
  for (int tick = -10; tick < kMaxTicks; ++tick) {
    if (tick == 0) {
      pool.Submit("wide", BuildStep(1, 6000), "batch");
    }
    for (int i = 0; i < 3; ++i) {
      pool.Submit("small-" + std::to_string(tick) + "-" + std::to_string(i),
                  FillerStep(2000, 800), "batch");
    }
    const int placed = PlacedOf("wide", pool.Advance(kTick, Millis(800)));
    CPPUNIT_ASSERT(pool.Reserved().size() <= 1);
    if (placed > 0) {
      CPPUNIT_ASSERT_EQUAL(std::int64_t{looks_ahead ? 1 : 0},
                           pool.Count(EventId::kReservationUsed));
      return tick;
    }
  }
  return kMaxTicks;
}

void WideGraphStartsBesideAStreamOfSmallOnes() {
  // Guards against small tasks that fill each gap before a wide one fits.
  const int ticks = TicksUntilWideStarts(true);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(ticks), ticks <= 40);
  CPPUNIT_ASSERT_EQUAL(100, TicksUntilWideStarts(false));
}

// Four workers with 2 idle processors beside a best-effort run each that lasts
// as declared unless told otherwise, and a graph that needs more.
MixedPool PoolWithWaitingGraph(std::int64_t declared_ms = 2000) {
  MixedPool pool;
  pool.AddHalfCommitted("w", 4);
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    pool.StartOn(worker, FillerStep(6000, declared_ms));
  }
  pool.Submit("wide", BuildStep(1, 6000), "batch");
  return pool;
}

// Advances until the waiting graph has a reservation.
void AdvanceToReservation(MixedPool& pool, Duration run_time) {
  for (int tick = 0; tick < 16; ++tick) {
    CPPUNIT_ASSERT(pool.Reserved().empty());
    pool.Advance(kTick, run_time);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.Reserved().size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, pool.Count(EventId::kReservationMade));
}

void ShortWorkFillsTheTimeUntilTheReservationIsDue() {
  MixedPool pool = PoolWithWaitingGraph();
  AdvanceToReservation(pool, Millis(2000));
  const std::string reserved = *pool.Reserved().begin();
  StepSpec long_step = FillerStep(2000, 2000);
  long_step.count = 4;
  pool.Submit("long", long_step, "batch");
  CPPUNIT_ASSERT_EQUAL(3, PlacedOf("long", pool.Place()));
  pool.Submit("short", FillerStep(2000, 100), "batch");
  const std::vector<RunPlacement> placed = pool.Place();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed.size());
  CPPUNIT_ASSERT_EQUAL(std::string("short"), placed[0].run.task.graph);
  CPPUNIT_ASSERT_EQUAL(reserved, placed[0].worker.id);
}

void ReservationLapsesIfRunsGoOn() {
  // Guards against a worker that is kept from others by an estimate that is far
  // too short.
  MixedPool pool = PoolWithWaitingGraph(300);
  AdvanceToReservation(pool, kEndless);
  StepSpec long_step = FillerStep(2000, 2000);
  long_step.count = 4;
  pool.Submit("long", long_step, "batch");
  CPPUNIT_ASSERT_EQUAL(3, PlacedOf("long", pool.Place()));
  int placed = 0;
  for (int tick = 0; tick < 21; ++tick) {
    placed += PlacedOf("long", pool.Advance(kTick, kEndless));
  }
  CPPUNIT_ASSERT_EQUAL(1, placed);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       pool.Count(EventId::kReservationBroken));
}

void GraphWithNothingRunningPassesReservations() {
  // Guards against a graph that stalls in a pool that is not busy because the
  // only worker for it is reserved.
  MixedPool pool;
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    pool.AddWorker(worker);
    pool.StartOn(worker, FillerStep(kCpuMillis, 300));
  }
  // It runs, so that it isn't placed on any worker itself.
  pool.Submit("wide", BuildStep(2, kCpuMillis), "batch");
  pool.Start("w2", RunOf("wide", 0, 0));
  pool.Place();
  StepSpec step = BuildStep(1, 1000);
  step.required_label = "w1";
  pool.Submit("idle", step, "batch");
  int placed = 0;
  for (int tick = 1; tick <= 21; ++tick) {
    CPPUNIT_ASSERT_EQUAL(0, placed);
    placed += PlacedOf("idle", pool.Advance(kTick, kEndless));
  }
  CPPUNIT_ASSERT(pool.Reserved().contains("w1"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, pool.Count(EventId::kReservationMade));
  CPPUNIT_ASSERT_EQUAL(1, placed);
}

void WorkerThatDoesNotTolerateTheImageIsNotReserved() {
  // Guards against a reservation by processors and memory alone.
  MixedPool pool;
  for (const char* worker : {"a1", "a2", "a3", "a4"}) {
    pool.AddWorker(worker, "fragile");
  }
  pool.AddHalfCommitted("b", 4);
  pool.Observe("fragile", "build", true);
  pool.Observe("fragile", "lint", false);
  for (const char* worker : {"a1", "a2", "a3", "a4"}) {
    pool.StartOn(worker, FillerStep(1000));
  }
  for (const char* worker : {"b1", "b2", "b3", "b4"}) {
    pool.StartOn(worker, FillerStep(6000));
  }
  pool.Submit("wide", BuildStep(8, 6000), "batch");
  for (int tick = 0; tick < 17; ++tick) {
    CPPUNIT_ASSERT(pool.Advance(kTick, Millis(2000)).empty());
  }
  CPPUNIT_ASSERT(pool.Reserved() == (std::set<std::string>{"b1", "b2"}));
}

void NewLeaderReservesAgainAfterTheWait() {
  MixedPool pool = PoolWithWaitingGraph(4000);
  AdvanceToReservation(pool, Millis(4000));
  pool.ChangeLeader();
  CPPUNIT_ASSERT(pool.Reserved().empty());
  for (int tick = 0; tick < 16; ++tick) {
    CPPUNIT_ASSERT(pool.Reserved().empty());
    pool.Advance(kTick, Millis(4000));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.Reserved().size());
}

void LastTaskOfAStepTakesTheWorkerWhereItEndsFirst() {
  // Guards against a step that waits for a task beside a latency-sensitive one
  // that throttles it, while a worker without one is free.
  for (const bool looks_ahead : {true, false}) {
    MixedPool pool(LookingAhead(looks_ahead));
    pool.AddWorker("robust", "robust");
    pool.AddWorker("empty");
    pool.AddWorker("unknown", "unknown");
    pool.Observe("robust", "build", false);
    pool.Submit("build", BuildStep(1, 2000), "batch");
    const std::vector<RunPlacement> placed = pool.Place();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed.size());
    CPPUNIT_ASSERT_EQUAL(looks_ahead, placed[0].worker.id == "empty");
  }
}

}  // namespace

Section LookAheadStory() {
  Section story("Placement that looks ahead");
  story
      .With(Section("of quick tasks")
                .Then("leaves workers without latency-sensitive tasks to "
                      "best-effort work",
                      QuickTasksLeaveRoomForBestEffortWork)
                .Then("prefers workers with idle CPU time",
                      QuickTasksAreNotSlowedDown))
      .With(Section("for a graph that waits")
                .Then("starts it in bounded time beside a stream of small ones",
                      WideGraphStartsBesideAStreamOfSmallOnes)
                .Then("lets short work use the reserved worker until it is due",
                      ShortWorkFillsTheTimeUntilTheReservationIsDue)
                .Then("reserves no worker that doesn't tolerate its image",
                      WorkerThatDoesNotTolerateTheImageIsNotReserved))
      .With(Section("with a wrong estimate")
                .Then("drops the reservation and places other work",
                      ReservationLapsesIfRunsGoOn)
                .Then("stalls no graph that has nothing running",
                      GraphWithNothingRunningPassesReservations))
      .With(Section("after a change of leader")
                .Then("reserves again once the graph has waited",
                      NewLeaderReservesAgainAfterTheWait))
      .With(Section("of the last task of a step")
                .Then("prefers the worker on which it ends first",
                      LastTaskOfAStepTakesTheWorkerWhereItEndsFirst));
  return story;
}

}  // namespace banyan
