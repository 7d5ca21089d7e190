#include <string>
#include <vector>

#include "banyan/graph/graph_placement.h"
#include "banyan/graph/interference.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// Interval at which workers report latencies.
constexpr Duration kReportInterval = Millis(500);
constexpr std::int64_t kTargetMs = 150;
constexpr std::int64_t kWorkerCpuMillis = 16000;

// The reports of a latency-sensitive group whose target is kTargetMs, beside a
// best-effort image that is known to interfere with it.
class ReportedGroup {
 public:
  ReportedGroup() {
    for (int i = 0; i < 20; ++i) {
      Report(26, 0);
    }
    for (int i = 0; i < 8; ++i) {
      Report(52, 0.1);
    }
  }

  // Reports a latency, while the best-effort image uses the given fraction of
  // the worker's CPU time.
  void Report(std::int64_t latency_ms, double neighbour_load) {
    now_ += kReportInterval;
    const double target = kTargetMs;
    const std::vector<BestEffortNeighbour> neighbours = {
        {"builds", neighbour_load}};
    model_.Observe(
        now_,
        {"feed", "s", static_cast<double>(latency_ms) / target, 1 / target},
        neighbours);
  }

  [[nodiscard]] const InterferenceModel& model() const { return model_; }
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] double base() const {
    return model_.BaseOccupancy("feed", "s");
  }

 private:
  Time now_ = Time(std::chrono::seconds(100));
  InterferenceModel model_;
};

// Guards against reading a latency that no neighbour explains as a sign of no
// load at all: all neighbours would look harmless while the tasks are over
// their target.
void UnexplainedLatencyIsNoSignOfIdleness() {
  ReportedGroup group;
  const double base_before = group.base();
  // The neighbours are stopped.
  for (const std::int64_t latency_ms : {90, 217, 450}) {
    group.Report(latency_ms, 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(group.base()),
                           group.base() >= base_before);
  }
}

// Guards against a base occupancy that stays wrong once it was far off, since
// each report is then taken for an outlier.
void BaseRecoversFromOutliers() {
  ReportedGroup group;
  for (const std::int64_t latency_ms : {90, 217, 450, 1304, 1304}) {
    group.Report(latency_ms, 0);
  }
  for (int i = 0; i < 6; ++i) {
    group.Report(75, 0);
  }
  const double occupancy = group.model().OccupancyAtLatency("s", 0.5);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(occupancy, group.base(), 0.1);
}

// Returns how many of four builds are placed beside a task of the group that
// has a worker's CPU time committed to it.
std::size_t BuildsPlacedBeside(const ReportedGroup& group) {
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan()}, kGraphStart);
  WorkerInfo info = SampleWorker("w1");
  info.capacity = {kWorkerCpuMillis, 65536, 0};
  table.Apply(AdmitWorker{info, "agent-w1"}, kGraphStart);
  GraphWorkerView view;
  view.life = info.life;
  view.reachable = true;
  view.lease_deadline = group.now() + std::chrono::minutes(1);
  StepSpec feed = ServingStep(1);
  feed.needs = {kWorkerCpuMillis, 1024, 0};
  table.Apply(SampleGraph("feed", {feed}), kGraphStart);
  table.Apply(PlaceRuns{{{RunOf("feed", 0, 0), info.life}}}, kGraphStart);
  StepSpec build = BestEffortStep(4, 1000);
  build.image = "builds";
  table.Apply(SampleGraph("build", {build}, "batch"), kGraphStart);
  GraphPlacement placement{SchedulingPolicy{}};
  return placement
      .Choose(group.now(), kGraphStart, table, {{"w1", view}}, group.model())
      .size();
}

// Guards against placing best-effort tasks beside a feed that is far over its
// target while those beside it are stopped.
void OverloadedGroupGetsNoNeighbours() {
  ReportedGroup group;
  CPPUNIT_ASSERT(BuildsPlacedBeside(group) > 0);
  for (const std::int64_t latency_ms : {90, 217, 450, 1304}) {
    group.Report(latency_ms, 0);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, BuildsPlacedBeside(group));
}

}  // namespace

Section OverloadedWorkerStory() {
  Section story("A worker over its latency target");
  story.With(
      Section("with stopped neighbours")
          .Then("does not look idle", UnexplainedLatencyIsNoSignOfIdleness)
          .Then("is estimated well again when its latency falls",
                BaseRecoversFromOutliers)
          .Then("gets no further neighbours", OverloadedGroupGetsNoNeighbours));
  return story;
}

}  // namespace banyan
