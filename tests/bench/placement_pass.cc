// Processor time of one placement pass at the leader, with and without looking
// ahead.

#include <time.h>

#include <map>
#include <string>
#include <vector>

#include "banyan/graph/graph_placement.h"
#include "tests/bench/bench.h"
#include "tests/support/graph_samples.h"

namespace banyan {
namespace {

constexpr int kWorkers = 70;
constexpr int kGraphs = 200;
// One in this many of the waiting graphs is quick, the others are best-effort.
// Few are, since a pass ends with 256 placements, and quick tasks are placed.
constexpr int kQuickEvery = 20;
constexpr int kServingImages = 10;
constexpr int kBestEffortImages = 18;
constexpr int kServingTasksPerWorker = 4;
constexpr std::int64_t kServingCpuMillis = 3200;
// Graphs have waited long enough for reservations in most of the passes.
constexpr int kPasses = 61;

// Processor time of this process in microseconds.
double CpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1000;
}

std::string ServingImage(int i) {
  return "serving-" + std::to_string(i % kServingImages);
}

std::string BestEffortImage(int i) {
  return "fill-" + std::to_string(i % kBestEffortImages);
}

// A pool whose workers run latency-sensitive tasks, with graphs that wait and
// reports for all pairs of images, slightly over half of which interfere.
class LoadedPool {
 public:
  LoadedPool() {
    table_.Apply(InstallPlan{SamplePlan()}, kGraphStart);
    for (int w = 0; w < kWorkers; ++w) {
      AddWorker(w);
    }
    ObservePairs();
    for (int g = 0; g < kGraphs; ++g) {
      AddGraph(g);
    }
  }

  // Returns the median processor time of passes that start from the same state,
  // in microseconds.
  [[nodiscard]] double MedianPass(bool looks_ahead) {
    SchedulingPolicy policy;
    policy.look_ahead = looks_ahead;
    GraphPlacement placement(policy);
    std::vector<double> samples;
    for (int pass = 0; pass < kPasses; ++pass) {
      now_ += Millis(100);
      const double start = CpuMicros();
      static_cast<void>(
          placement.Choose(now_, kGraphStart, table_, views_, model_));
      samples.push_back(CpuMicros() - start);
      static_cast<void>(placement.TakeWaits());
    }
    return QuantileOf(std::move(samples), 0.5);
  }

 private:
  void AddWorker(int w) {
    const std::string id = "w" + std::to_string(w);
    WorkerInfo info = SampleWorker(id);
    info.capacity = {16000, 62500, 0};
    table_.Apply(AdmitWorker{info, "agent-" + id}, kGraphStart);
    GraphWorkerView view;
    view.life = info.life;
    view.reachable = true;
    view.lease_deadline = now_ + std::chrono::hours(1);
    views_.emplace(id, view);
    PlaceRuns runs;
    for (int t = 0; t < kServingTasksPerWorker; ++t) {
      const std::string feed = "feed-" + id + "-" + std::to_string(t);
      StepSpec step = ServingStep(1);
      step.image = ServingImage(w + t);
      step.needs = {kServingCpuMillis, 6400, 0};
      table_.Apply(SampleGraph(feed, {step}), kGraphStart);
      runs.runs.push_back({RunOf(feed, 0, 0), info.life});
    }
    // One running best-effort task per worker, so that others wait.
    const std::string build = "running-" + id;
    StepSpec step = BestEffortStep(1, 1800);
    step.image = BestEffortImage(w);
    table_.Apply(SampleGraph(build, {step}, "batch"), kGraphStart);
    runs.runs.push_back({RunOf(build, 0, 0), info.life});
    table_.Apply(runs, kGraphStart);
    RunView& run = views_[id].runs[RunOf(build, 0, 0)];
    run.row.run = RunOf(build, 0, 0);
    run.row.percent = 50;
    run.listed_at = now_ - Millis(400);
  }

  void ObservePairs() {
    for (int s = 0; s < kServingImages; ++s) {
      for (int b = 0; b < kBestEffortImages; ++b) {
        const double latency = (s + b) % 9 < 5 ? 1.0 : 0.33;
        for (int i = 0; i < 10; ++i) {
          model_.Observe(now_, {"feed", ServingImage(s), 0.33, 0.04}, {});
          model_.Observe(
              now_, {"feed", ServingImage(s), latency, 0.04},
              std::vector<BestEffortNeighbour>{{BestEffortImage(b), 0.1}});
        }
      }
    }
  }

  void AddGraph(int g) {
    const std::string id = "graph-" + std::to_string(g);
    if (g % kQuickEvery == 0) {
      table_.Apply(SampleGraph(id, {SampleStep(10, 370)}), kGraphStart);
      return;
    }
    StepSpec step = BestEffortStep(20, 1800);
    step.image = BestEffortImage(g);
    step.needs.memory_mib = 3200;
    step.estimate_ms = 2200;
    table_.Apply(SampleGraph(id, {step}, "batch"), kGraphStart);
  }

  Time now_ = Time(std::chrono::seconds(100));
  GraphTable table_;
  std::map<std::string, GraphWorkerView> views_;
  InterferenceModel model_;
};

}  // namespace

void RunPlacementPass(Figures& figures) {
  LoadedPool pool;
  // Alternates, so that a change of the machine's speed affects both.
  for (std::uint64_t round = 1; round <= 3; ++round) {
    for (const bool looks_ahead : {false, true}) {
      figures.Add({"leader: placement pass", looks_ahead ? "ahead" : "off",
                   round, "70 workers, 200 waiting graphs",
                   pool.MedianPass(looks_ahead), "us"});
    }
  }
}

}  // namespace banyan
