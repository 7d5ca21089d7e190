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
// Of a latency, in parts of its target: a millisecond of 24.
constexpr double kResolution = 1.0 / 24;
// What the feeds report before they have any load.
constexpr double kIdleLatency = 1.0 / 6;
constexpr int kIdleReports = 40;

// Two workers whose processor time is committed to watch feeds, and packet
// builds that wait to fill what the feeds leave.
class FullPool {
 public:
  // The part of their processor time is what the feeds commit.
  explicit FullPool(double committed = 1) {
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
    feed.needs = {static_cast<std::int64_t>(committed * kCpuMillis), 1024, 0};
    table_.Apply(SampleGraph("feed", {feed}), kGraphStart);
    table_.Apply(PlaceRuns{{{RunOf("feed", 0, 0), {"w1", 1}},
                            {RunOf("feed", 0, 1), {"w2", 1}}}},
                 kGraphStart);
    for (int i = 0; i < kIdleReports; ++i) {
      Report(kIdleLatency);
    }
  }

  // The feeds report a latency, in parts of their target, while neighbours of
  // an image use a tenth of each worker.
  void Report(double latency, const std::string& image = "") {
    now_ += Millis(500);
    std::vector<FillingNeighbour> neighbours;
    if (!image.empty()) {
      neighbours.push_back({image, 0.1});
    }
    for (int worker = 0; worker < 2; ++worker) {
      model_.Observe(now_, {"feed", "s", latency, kResolution}, neighbours);
    }
  }

  // Teaches that an image raises the latency from a third of the target to
  // all of it.
  void TeachHeavy(const std::string& image) {
    for (int i = 0; i < 10; ++i) {
      Report(0.33);
      Report(1.0, image);
    }
  }

  // Teaches that an image does nothing to the latency.
  void TeachLight(const std::string& image) {
    for (int i = 0; i < 10; ++i) {
      Report(0.33);
      Report(0.33, image);
    }
  }

  // Submits builds of an image.
  void Submit(const std::string& image, std::int64_t tasks) {
    StepSpec build = FillingStep(tasks, 1000);
    build.image = image;
    table_.Apply(SampleGraph("build-" + image, {build}, "batch"), kGraphStart);
  }

  // Submits builds and returns how many tasks get a room.
  std::size_t Placed(const std::string& image, std::int64_t tasks) {
    Submit(image, tasks);
    return Place().size();
  }

  // Places what is ready.
  std::vector<RunPlacement> Place() {
    std::vector<RunPlacement> chosen =
        placement_.Choose(now_, kGraphStart, table_, views_, model_);
    table_.Apply(PlaceRuns{chosen}, kGraphStart);
    return chosen;
  }

  // The placed runs are paced down to nothing.
  void Pause(const std::vector<RunPlacement>& placed) {
    for (const RunPlacement& placement : placed) {
      RunView& seen = views_[placement.worker.id].runs[placement.run];
      seen.row.run = placement.run;
      seen.pace = 0;
    }
  }

  // A run is done after a span.
  void End(const RunPlacement& placed, Span after) {
    now_ += after;
    table_.Apply(EndRuns{placed.worker,
                         {{++ends_, placed.run, RunEndReason::kDone, ""}}},
                 kGraphStart);
  }

  void Pass(Span span) { now_ += span; }

  [[nodiscard]] std::vector<PlacementWait> TakeWaits() {
    return placement_.TakeWaits();
  }

 private:
  GraphPlacement placement_{SchedulingPolicy{}};
  std::int64_t ends_ = 0;
  Time now_ = Time(std::chrono::seconds(100));
  GraphTable table_;
  std::map<std::string, GraphWorkerView> views_;
  InterferenceModel model_;
};

void LightNeighbourJoinsInAPeak() {
  FullPool pool;
  pool.TeachLight("light");
  pool.Report(0.75);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.Placed("light", 1));
}

void HeavyNeighbourStaysAwayInAPeak() {
  FullPool pool;
  pool.TeachHeavy("heavy");
  pool.Report(0.75);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.Placed("heavy", 1));
}

void UnknownImageIsTriedByFewTasks() {
  // The pattern of a quiet day: builds of nine images wait beside feeds that
  // they were never seen with.
  FullPool pool;
  pool.Report(0.33);
  pool.Submit("unknown", 12);
  std::map<std::string, int> placed;
  for (const RunPlacement& placement : pool.Place()) {
    ++placed[placement.worker.id];
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed.size());
  CPPUNIT_ASSERT(placed["w1"] + placed["w2"] < 12);
}

void PausedTasksKeepTheirRoom() {
  // The pattern of a day with trouble: best-effort tasks wait on their workers,
  // paced to nothing, and more of them come to the same workers.
  FullPool pool;
  pool.TeachLight("light");
  pool.Report(0.33);
  pool.Submit("light", 60);
  const std::vector<RunPlacement> placed = pool.Place();
  CPPUNIT_ASSERT(!placed.empty() && placed.size() < 60);
  pool.Pause(placed);
  CPPUNIT_ASSERT(pool.Place().empty());
}

void ReasonOfAWaitIsNamed() {
  FullPool pool;
  pool.TeachHeavy("heavy");
  pool.Report(0.75);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.Placed("heavy", 1));
  const std::vector<PlacementWait> waits = pool.TakeWaits();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waits.size());
  CPPUNIT_ASSERT_EQUAL(std::string("heavy"), waits[0].image);
  CPPUNIT_ASSERT_EQUAL(2, waits[0].interference);
  CPPUNIT_ASSERT_EQUAL(0, waits[0].unfit + waits[0].busy);
  // It is not repeated with every pass.
  CPPUNIT_ASSERT(pool.Place().empty());
  CPPUNIT_ASSERT(pool.TakeWaits().empty());
}

void LoadDecidesHowManyFit() {
  FullPool lull;
  lull.TeachLight("light");
  lull.Report(0.22);
  FullPool peak;
  peak.TeachLight("light");
  peak.Report(0.6);
  const std::size_t in_lull = lull.Placed("light", 40);
  const std::size_t in_peak = peak.Placed("light", 40);
  // In the lull the feeds use a quarter of the 32 processors, in the peak close
  // to three quarters.
  CPPUNIT_ASSERT_MESSAGE(std::to_string(in_lull), in_lull >= 16);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(in_lull), in_lull <= 24);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(in_peak), in_peak <= 10);
}

void ForgottenBuildKeepsOneTaskAtWork() {
  // The pattern of the end of a day: the pool is less than half in use, and the
  // image of a waiting build is heavy for whatever serves there.
  FullPool pool(0.4);
  pool.TeachHeavy("heavy");
  pool.Report(0.75);
  pool.Submit("heavy", 5);
  CPPUNIT_ASSERT(pool.Place().empty());
  pool.Pass(Millis(2100));
  for (int i = 0; i < 4; ++i) {
    const std::vector<RunPlacement> placed = pool.Place();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(i), std::size_t{1},
                                 placed.size());
    pool.End(placed[0], Millis(700));
  }
}

}  // namespace

Section GraphPlacementStory() {
  Section story("Room for tasks that fill");
  story
      .With(Section("while the load of watch feeds peaks")
                .Then("is there for a light neighbour",
                      LightNeighbourJoinsInAPeak)
                .Then("is not there for a heavy one",
                      HeavyNeighbourStaysAwayInAPeak))
      .With(Section("beside feeds that an image was never seen with")
                .Then("is found for a few tasks on each worker",
                      UnknownImageIsTriedByFewTasks))
      .With(Section("where tasks are paced to nothing")
                .Then("stays theirs", PausedTasksKeepTheirRoom))
      .With(Section("that is not there")
                .Then("is logged with the reason, once in a while",
                      ReasonOfAWaitIsNamed))
      .With(Section("in a pool that is not busy")
                .Then("is found for one task at a time of a build that waits",
                      ForgottenBuildKeepsOneTaskAtWork))
      .With(Section("as the load swings")
                .Then("is what the watch feeds leave", LoadDecidesHowManyFit));
  return story;
}

}  // namespace banyan
