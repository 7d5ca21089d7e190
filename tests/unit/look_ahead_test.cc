#include "banyan/graph/look_ahead.h"

#include <map>
#include <string>
#include <vector>

#include "banyan/graph/graph_placement.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr std::int64_t kCpuMillis = 16000;
// Resolution of latency reports as a fraction of the target: 1 ms of 24 ms.
constexpr double kResolution = 1.0 / 24;

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
    feed.needs = {kCpuMillis / 2, 1024, 0};
    table_.Apply(SampleGraph("feed-" + id, {feed}), kGraphStart);
    table_.Apply(PlaceRuns{{{RunOf("feed-" + id, 0, 0), {id, 1}}}},
                 kGraphStart);
  }

  // Reports the latency of a serving image alone and beside a best-effort
  // image, until the model knows whether the pair interferes.
  void Observe(const std::string& serving_image,
               const std::string& image,
               bool interferes) {
    const std::vector<BestEffortNeighbour> neighbours = {{image, 0.1}};
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

  // Runs one placement pass and applies its placements.
  std::vector<RunPlacement> Place() {
    std::vector<RunPlacement> chosen =
        placement_.Choose(now_, kGraphStart, table_, views_, model_);
    table_.Apply(PlaceRuns{chosen}, kGraphStart);
    return chosen;
  }

 private:
  GraphPlacement placement_;
  Time now_ = Time(std::chrono::seconds(100));
  GraphTable table_;
  std::map<std::string, GraphWorkerView> views_;
  InterferenceModel model_;
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

}  // namespace

Section LookAheadStory() {
  Section story("Placement that looks ahead");
  story.With(
      Section("of quick tasks")
          .Then("leaves workers without latency-sensitive tasks to best-effort "
                "work",
                QuickTasksLeaveRoomForBestEffortWork)
          .Then("prefers workers with idle CPU time",
                QuickTasksAreNotSlowedDown));
  return story;
}

}  // namespace banyan
