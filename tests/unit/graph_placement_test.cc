#include "banyan/graph/graph_placement.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr std::int64_t kCpuMillis = 16000;
// Resolution of latency reports as a fraction of the target: 1 ms of 24 ms.
constexpr double kResolution = 1.0 / 24;
// Latency without load, as a fraction of the target.
constexpr double kUnloadedLatency = 1.0 / 6;
constexpr int kUnloadedReports = 40;

// Two workers with CPU time committed to a latency-sensitive feed, and
// best-effort builds to place beside it.
class CommittedPool {
 public:
  // `committed_fraction` is the part of the workers' CPU time that is committed
  // to the feed.
  explicit CommittedPool(double committed_fraction = 1) {
    table_.Apply(InstallPlan{SamplePlan()}, kGraphStart);
    for (const char* id : {"w1", "w2"}) {
      WorkerInfo info = SampleWorker(id);
      info.capacity = {kCpuMillis, 65536, 0};
      table_.Apply(AdmitWorker{info, std::string("agent-") + id}, kGraphStart);
      GraphWorkerView view;
      view.life = info.life;
      view.reachable = true;
      view.lease_deadline = now_ + std::chrono::minutes(1);
      views_.emplace(id, view);
    }
    StepSpec feed = ServingStep(2);
    feed.needs = {static_cast<std::int64_t>(committed_fraction * kCpuMillis),
                  1024, 0};
    table_.Apply(SampleGraph("feed", {feed}), kGraphStart);
    table_.Apply(PlaceRuns{{{RunOf("feed", 0, 0), {"w1", 1}},
                            {RunOf("feed", 0, 1), {"w2", 1}}}},
                 kGraphStart);
    for (int i = 0; i < kUnloadedReports; ++i) {
      Report(kUnloadedLatency);
    }
  }

  // Reports the feed's latency, as a fraction of its target, while neighbours
  // with the given image, if any, use 1/10 of each worker.
  void Report(double latency, const std::string& image = "") {
    now_ += Millis(500);
    std::vector<BestEffortNeighbour> neighbours;
    if (!image.empty()) {
      neighbours.push_back({image, 0.1});
    }
    for (int worker = 0; worker < 2; ++worker) {
      model_.Observe(now_, {"feed", "s", latency, kResolution}, neighbours);
    }
  }

  // Reports an image that increases the latency from 1/3 of the target to the
  // whole target.
  void ObserveHeavy(const std::string& image) {
    for (int i = 0; i < 10; ++i) {
      Report(0.33);
      Report(1.0, image);
    }
  }

  // Reports an image that does not affect the latency.
  void ObserveLight(const std::string& image) {
    for (int i = 0; i < 10; ++i) {
      Report(0.33);
      Report(0.33, image);
    }
  }

  // Submits a build with the given image and number of tasks.
  void Submit(const std::string& image, std::int64_t tasks) {
    StepSpec build = BestEffortStep(tasks, 1000);
    build.image = image;
    table_.Apply(SampleGraph("build-" + image, {build}, "batch"), kGraphStart);
  }

  // Submits a build and returns the number of tasks placed.
  std::size_t SubmitAndPlace(const std::string& image, std::int64_t tasks) {
    Submit(image, tasks);
    return Place().size();
  }

  // Runs one placement pass and applies its placements.
  std::vector<RunPlacement> Place() {
    std::vector<RunPlacement> chosen =
        placement_.Choose(now_, kGraphStart, table_, views_, model_);
    table_.Apply(PlaceRuns{chosen}, kGraphStart);
    return chosen;
  }

  // Sets the CPU share of the placed runs to 0.
  void ThrottleToZero(const std::vector<RunPlacement>& placed) {
    for (const RunPlacement& placement : placed) {
      RunView& run_view = views_[placement.worker.id].runs[placement.run];
      run_view.row.run = placement.run;
      run_view.share_percent = 0;
    }
  }

  // Completes a run after a time span.
  void CompleteRun(const RunPlacement& placed, Duration after) {
    now_ += after;
    table_.Apply(EndRuns{placed.worker,
                         {{++end_count_, placed.run, RunEndReason::kDone, ""}}},
                 kGraphStart);
  }

  void AdvanceTime(Duration span) { now_ += span; }

  [[nodiscard]] std::vector<PlacementWait> TakeWaits() {
    return placement_.TakeWaits();
  }

 private:
  GraphPlacement placement_{SchedulingPolicy{}};
  std::int64_t end_count_ = 0;
  Time now_ = Time(std::chrono::seconds(100));
  GraphTable table_;
  std::map<std::string, GraphWorkerView> views_;
  InterferenceModel model_;
};

void LightNeighbourIsPlacedAtPeakLoad() {
  CommittedPool pool;
  pool.ObserveLight("light");
  pool.Report(0.75);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.SubmitAndPlace("light", 1));
}

void HeavyNeighbourIsNotPlacedAtPeakLoad() {
  CommittedPool pool;
  pool.ObserveHeavy("heavy");
  pool.Report(0.75);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.SubmitAndPlace("heavy", 1));
}

void UnknownImageStartsWithFewTasks() {
  // Guards against never trying a new image, and against starting all its tasks
  // beside a feed before its interference is known.
  CommittedPool pool;
  pool.Report(0.33);
  pool.Submit("unknown", 12);
  std::map<std::string, int> placed;
  for (const RunPlacement& placement : pool.Place()) {
    ++placed[placement.worker.id];
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed.size());
  CPPUNIT_ASSERT(placed["w1"] + placed["w2"] < 12);
}

void ThrottledTasksKeepTheirCapacity() {
  // Guards against counting the CPU time of throttled tasks as idle: further
  // best-effort tasks would then be placed on the same workers.
  CommittedPool pool;
  pool.ObserveLight("light");
  pool.Report(0.33);
  pool.Submit("light", 60);
  const std::vector<RunPlacement> placed = pool.Place();
  CPPUNIT_ASSERT(!placed.empty() && placed.size() < 60);
  pool.ThrottleToZero(placed);
  CPPUNIT_ASSERT(pool.Place().empty());
}

void WaitReportsItsReasons() {
  CommittedPool pool;
  pool.ObserveHeavy("heavy");
  pool.Report(0.75);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.SubmitAndPlace("heavy", 1));
  const std::vector<PlacementWait> waits = pool.TakeWaits();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waits.size());
  CPPUNIT_ASSERT_EQUAL(std::string("heavy"), waits[0].image);
  CPPUNIT_ASSERT_EQUAL(2, waits[0].interference);
  CPPUNIT_ASSERT_EQUAL(0, waits[0].unfit + waits[0].busy);
  // The wait is not reported again with each pass.
  CPPUNIT_ASSERT(pool.Place().empty());
  CPPUNIT_ASSERT(pool.TakeWaits().empty());
}

void LoadDeterminesHowManyTasksFit() {
  CommittedPool low_load;
  low_load.ObserveLight("light");
  low_load.Report(0.22);
  CommittedPool high_load;
  high_load.ObserveLight("light");
  high_load.Report(0.6);
  const std::size_t low_load_count = low_load.SubmitAndPlace("light", 40);
  const std::size_t high_load_count = high_load.SubmitAndPlace("light", 40);
  // The feed uses 1/4 of the 32 processors at low load and almost 3/4 at high
  // load.
  CPPUNIT_ASSERT_MESSAGE(std::to_string(low_load_count), low_load_count >= 16);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(low_load_count), low_load_count <= 24);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(high_load_count),
                         high_load_count <= 10);
}

void StarvedGraphRunsOneTaskAtATime() {
  // Guards against the starvation of a build whose image interferes with all
  // latency-sensitive tasks, although less than 1/2 of its pool is committed.
  CommittedPool pool(0.4);
  pool.ObserveHeavy("heavy");
  pool.Report(0.75);
  pool.Submit("heavy", 5);
  CPPUNIT_ASSERT(pool.Place().empty());
  pool.AdvanceTime(Millis(2100));
  for (int i = 0; i < 4; ++i) {
    const std::vector<RunPlacement> placed = pool.Place();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(i), std::size_t{1},
                                 placed.size());
    pool.CompleteRun(placed[0], Millis(700));
  }
}

}  // namespace

Section GraphPlacementStory() {
  Section story("Placement of best-effort tasks");
  story
      .With(Section("at the peak load of a latency-sensitive task")
                .Then("accepts a light neighbour",
                      LightNeighbourIsPlacedAtPeakLoad)
                .Then("rejects a heavy neighbour",
                      HeavyNeighbourIsNotPlacedAtPeakLoad))
      .With(Section("with uncertain interference")
                .Then("starts a few tasks on each worker",
                      UnknownImageStartsWithFewTasks))
      .With(Section("beside throttled tasks")
                .Then("leaves them their capacity",
                      ThrottledTasksKeepTheirCapacity))
      .With(Section("without a suitable worker")
                .Then("reports the reasons at limited intervals",
                      WaitReportsItsReasons))
      .With(Section("in a pool that is not busy")
                .Then("runs one task at a time of a starved graph",
                      StarvedGraphRunsOneTaskAtATime))
      .With(Section("under a varying load")
                .Then("uses the CPU time that the feed leaves unused",
                      LoadDeterminesHowManyTasksFit));
  return story;
}

}  // namespace banyan
