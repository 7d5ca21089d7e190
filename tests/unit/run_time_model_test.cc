#include "banyan/graph/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "banyan/graph/run_time_observer.h"
#include "banyan/graph/step_length.h"
#include "banyan/graph/urgency.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

static_assert(RunTimeSource<RunTimeModel>);

constexpr std::string_view kQueue = "batch";
constexpr std::int64_t kTasks = 10;
// Median run time of the generated steps, and its deviation.
constexpr double kMedianMs = 2000;
constexpr double kRealDeviation = 0.5;
// Deviation among the tasks of one step.
constexpr double kTaskDeviation = 0.2;

StepSpec DeclaredStep(double declared_ms) {
  StepSpec step = BestEffortStep(kTasks, 1000);
  step.estimate_ms = std::llround(declared_ms);
  return step;
}

// Generates steps with their real and declared run times.
class StepGenerator {
 public:
  struct Step {
    double real_ms;
    StepSpec spec;
  };

  // `declared_deviation` is that of the logarithm of declared/real.
  explicit StepGenerator(double declared_deviation)
      : declared_deviation_(declared_deviation) {}

  Step Next(double median_ms = kMedianMs) {
    const double real_ms = median_ms * Factor(kRealDeviation);
    return {real_ms, DeclaredStep(real_ms * Factor(declared_deviation_))};
  }

  // Returns a log-normal factor.
  double Factor(double deviation) {
    return std::exp(deviation * normal_(random_));
  }

  // Returns the run time of a task; `straggler_share` of them take seven times
  // as long.
  Duration TaskTime(const Step& step, double straggler_share = 0) {
    const bool is_straggler = uniform_(random_) < straggler_share;
    return Millis(std::llround(step.real_ms * Factor(kTaskDeviation) *
                               (is_straggler ? 7 : 1)));
  }

 private:
  double declared_deviation_;
  std::mt19937_64 random_{20261206};
  std::normal_distribution<double> normal_;
  std::uniform_real_distribution<double> uniform_{0, 1};
};

// Runs all tasks of `count` generated steps, each of a graph of its own.
void Teach(RunTimeModel& model,
           StepGenerator& generator,
           int count,
           double straggler_share = 0,
           double median_ms = kMedianMs) {
  for (int i = 0; i < count; ++i) {
    const StepGenerator::Step step = generator.Next(median_ms);
    const std::string graph = "taught-" + std::to_string(i);
    for (std::int64_t t = 0; t < kTasks; ++t) {
      model.OnRunDone(kQueue, {graph, 0, 0, t}, step.spec,
                      generator.TaskTime(step, straggler_share));
    }
    model.Forget(graph);
  }
}

// Returns the number of pairs of steps that the times rank the wrong way.
int Inversions(
    const std::vector<std::pair<double, double>>& real_and_estimate) {
  int inversions = 0;
  for (const auto& [real_a, estimate_a] : real_and_estimate) {
    for (const auto& [real_b, estimate_b] : real_and_estimate) {
      inversions += real_a < real_b && estimate_a > estimate_b ? 1 : 0;
    }
  }
  return inversions;
}

double EstimateMs(const RunTimeModel& model,
                  const std::string& graph,
                  double declared_ms) {
  return model.EstimateFor(kQueue, {graph, 0, 0, 0}, DeclaredStep(declared_ms))
      .mean_ms;
}

void NewLeaderUsesDeclaredTimes() {
  RunTimeModel model;
  CPPUNIT_ASSERT_EQUAL(800.0, EstimateMs(model, "g", 800));
  // Three steps are too few to tell.
  for (int i = 0; i < 3; ++i) {
    const std::string graph = "taught-" + std::to_string(i);
    model.OnRunDone(kQueue, {graph, 0, 0, 0}, DeclaredStep(800), Millis(8000));
    model.Forget(graph);
  }
  CPPUNIT_ASSERT_EQUAL(800.0, EstimateMs(model, "g", 800));
}

void ExactDeclaredTimesAreKept() {
  RunTimeModel model;
  StepGenerator generator(0);
  Teach(model, generator, 40);
  for (const double declared_ms : {200.0, 2000.0, 20000.0}) {
    CPPUNIT_ASSERT_EQUAL(declared_ms, EstimateMs(model, "g", declared_ms));
  }
}

// Guards against another order of service where callers know their work: it
// follows the declared times as it does without the model.
void AccurateQueuesAreServedAsDeclared() {
  RunTimeModel model;
  StepGenerator generator(0.2);
  Teach(model, generator, 40);
  const StepSpec step = DeclaredStep(2000);
  const TaskRef first{"g", 0, 0, 0};
  StepProgress progress;
  progress.tasks.resize(kTasks);
  progress.tasks[0].phase = TaskPhase::kDone;
  progress.done = 1;
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, model.StepMs(kQueue, first, step));
  CPPUNIT_ASSERT_EQUAL(
      DeclaredRunTimes::RemainingMs(kQueue, first, step, progress),
      model.RemainingMs(kQueue, first, step, progress));
  CPPUNIT_ASSERT_EQUAL(
      DeclaredRunTimes::RemainingTotalMs(kQueue, first, step, progress),
      model.RemainingTotalMs(kQueue, first, step, progress));
}

// Declared times off by a factor of 2.5: first without runs of the step, which
// must rank no worse, then with two tasks of ten done, which must rank better.
void UninformativeDeclaredTimesCauseFewerInversions() {
  RunTimeModel model;
  StepGenerator generator(0.9);
  Teach(model, generator, 60);
  std::vector<std::pair<double, double>> declared;
  std::vector<std::pair<double, double>> started;
  double declared_error = 0;
  double learned_error = 0;
  for (int i = 0; i < 100; ++i) {
    const StepGenerator::Step step = generator.Next();
    const std::string graph = "g-" + std::to_string(i);
    const TaskRef task{graph, 0, 0, 9};
    const auto declared_ms = static_cast<double>(step.spec.estimate_ms);
    const double learned_ms = EstimateMs(model, graph, declared_ms);
    declared_error += std::abs(std::log(declared_ms / step.real_ms));
    learned_error += std::abs(std::log(learned_ms / step.real_ms));
    declared.emplace_back(step.real_ms, declared_ms);
    for (std::int64_t t = 0; t < 2; ++t) {
      model.OnRunDone(kQueue, {graph, 0, 0, t}, step.spec,
                      generator.TaskTime(step));
    }
    const double started_ms =
        model.EstimateFor(kQueue, task, step.spec).mean_ms;
    started.emplace_back(step.real_ms, started_ms);
  }
  CPPUNIT_ASSERT(learned_error < 0.7 * declared_error);
  CPPUNIT_ASSERT(2 * Inversions(started) < Inversions(declared));
}

// In a graph, what is done weighs nothing, so the order of real remaining work
// differs from that of the declared one even more.
void PartlyDoneGraphsAreRankedByRemainingWork() {
  RunTimeModel model;
  StepGenerator generator(0.9);
  Teach(model, generator, 60);
  std::vector<std::pair<double, double>> declared;
  std::vector<std::pair<double, double>> learned;
  for (int i = 0; i < 60; ++i) {
    const StepGenerator::Step step = generator.Next();
    const std::string id = "g-" + std::to_string(i);
    GraphTable table;
    table.Apply(InstallPlan{SamplePlan()}, kGraphStart);
    table.Apply(SampleGraph(id, {step.spec}, std::string(kQueue)), kGraphStart);
    Graph graph = *table.FindGraph(id);
    // Of ten tasks the first run to a different extent, the others wait.
    const std::int64_t running = i % kTasks;
    double remaining_ms = step.real_ms * kTasks;
    for (std::int64_t t = 0; t < running; ++t) {
      graph.occurrences[0][0].tasks[static_cast<std::size_t>(t)].phase =
          TaskPhase::kRunning;
      model.OnProgress(kQueue, {id, 0, 0, t}, step.spec,
                       Millis(std::llround(0.8 * step.real_ms)), 80);
      remaining_ms -= 0.8 * step.real_ms;
    }
    declared.emplace_back(
        remaining_ms,
        static_cast<double>(ComputeUrgency(graph, kGraphStart).remaining_work));
    learned.emplace_back(
        remaining_ms,
        static_cast<double>(
            ComputeUrgency(id, graph, kGraphStart, model).remaining_work));
  }
  CPPUNIT_ASSERT(2 * Inversions(learned) < Inversions(declared));
}

void StragglersHardlyMoveEstimates() {
  RunTimeModel model;
  StepGenerator generator(0.9);
  Teach(model, generator, 60, 0.03);
  const QueueRunTimes& times = model.queues().find(kQueue)->second;
  CPPUNIT_ASSERT(std::abs(std::exp(times.real.mean()) / kMedianMs - 1) < 0.25);
  // One task of nine at work is a straggler: the estimate of its step stays,
  // and its own remaining time is known by its own progress.
  StepProgress progress;
  progress.tasks.resize(kTasks);
  for (std::int64_t t = 0; t < kTasks; ++t) {
    progress.tasks[static_cast<std::size_t>(t)].phase = TaskPhase::kRunning;
    model.OnProgress(kQueue, {"g", 0, 0, t}, DeclaredStep(500), Millis(1000),
                     t == 0 ? 10 : 70);
  }
  CPPUNIT_ASSERT(EstimateMs(model, "g", 500) < 1.4 * 1000 / 0.7);
  CPPUNIT_ASSERT_EQUAL(
      std::int64_t{9000},
      model.RemainingMs(kQueue, {"g", 0, 0, 0}, DeclaredStep(500), progress));
}

void ShiftedWorkIsFollowed() {
  RunTimeModel model;
  StepGenerator generator(0.9);
  Teach(model, generator, 200);
  Teach(model, generator, 120, 0, 4 * kMedianMs);
  const QueueRunTimes& times = model.queues().find(kQueue)->second;
  CPPUNIT_ASSERT(std::exp(times.real.mean()) > 3 * kMedianMs);
}

// Guards against the approximation of the normal maximum: the mean maximum of
// 4,000 samples of each size.
void LongestRunFollowsTheSampledMaximum() {
  StepGenerator generator(0);
  for (const std::int64_t count : {1, 2, 10, 20, 80}) {
    double sum = 0;
    constexpr int kSamples = 4000;
    for (int i = 0; i < kSamples; ++i) {
      double longest = 0;
      for (std::int64_t t = 0; t < count; ++t) {
        longest = std::max(longest, generator.Factor(0.3));
      }
      sum += longest;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(sum / kSamples, LongestRunMs(1, 0.3, count),
                                 0.06 * sum / kSamples);
  }
}

// Guards against judging a wide graph late by the time of one task, while its
// objective counts its longest one: graphs that still had half of their time
// were served after all others.
void WideGraphsAreJudgedByTheirLongestTask() {
  RunTimeModel model;
  StepGenerator generator(0.9);
  Teach(model, generator, 60);
  Graph graph;
  graph.queue.name = kQueue;
  graph.queue.stretch = 2;
  graph.queue.slo_ms = 1000;
  graph.spec.steps = {DeclaredStep(kMedianMs)};
  graph.submitted_at = kGraphStart;
  graph.occurrences = {{StepProgress{}}};
  graph.occurrences[0][0].tasks.resize(kTasks);
  const double median_ms = EstimateMs(model, "g", kMedianMs);
  const double longest_ms = median_ms * std::exp(kTaskDeviation * 1.54);
  const Urgency urgency = ComputeUrgency("g", graph, kGraphStart, model);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(
      2 * longest_ms + 1000,
      static_cast<double>(urgency.objective_deadline - kGraphStart),
      0.15 * longest_ms);
  // The slack by the median alone is gone by now.
  const WallMillis later = kGraphStart + std::llround(median_ms + 1100);
  CPPUNIT_ASSERT(ComputeUrgency("g", graph, later, model).feasibility ==
                 Feasibility::kOnTime);
}

// Guards against counting tasks that are done: the fewer are left, the sooner
// the longest of them ends.
void FewerRemainingTasksEndSooner() {
  RunTimeModel model;
  StepGenerator generator(0.9);
  Teach(model, generator, 60);
  StepProgress progress;
  progress.tasks.resize(kTasks);
  const auto remaining = [&] {
    return model.RemainingMs(kQueue, {"g", 0, 0, 0}, DeclaredStep(2000),
                             progress);
  };
  const std::int64_t all = remaining();
  for (std::size_t t = 0; t + 1 < static_cast<std::size_t>(kTasks); ++t) {
    progress.tasks[t].phase = TaskPhase::kDone;
    ++progress.done;
  }
  CPPUNIT_ASSERT(remaining() < all);
}

// A leader's view of one worker, with one graph whose ten tasks run there.
class ObservedWorker {
 public:
  ObservedWorker() {
    view_.life = {"w", 1};
    table_.Apply(InstallPlan{SamplePlan()}, kGraphStart);
    table_.Apply(AdmitWorker{SampleWorker("w"), "agent"}, kGraphStart);
  }

  void Place(const std::string& graph) {
    table_.Apply(SampleGraph(graph, {DeclaredStep(800)}, std::string(kQueue)),
                 kGraphStart);
    PlaceRuns place;
    for (std::int64_t t = 0; t < kTasks; ++t) {
      place.runs.push_back({RunOf(graph, 0, t), {"w", 1}});
      view_.start_sent_at[RunOf(graph, 0, t)] = now_;
    }
    table_.Apply(place, kGraphStart);
  }

  // Ends a graph's runs with a checkpoint and starts the next ones from it.
  void Restart(const std::string& graph) {
    EndRuns ends{{"w", 1}, {}};
    PlaceRuns place;
    for (std::int64_t t = 0; t < kTasks; ++t) {
      ends.rows.push_back(
          {++ends_, RunOf(graph, 0, t), RunEndReason::kStopped, "half"});
      place.runs.push_back({RunOf(graph, 0, t, 2), {"w", 1}});
      view_.start_sent_at[RunOf(graph, 0, t, 2)] = now_;
    }
    table_.Apply(ends, kGraphStart);
    table_.Apply(place, kGraphStart);
  }

  // Reports the runs of a graph with a percentage after a time, in which they
  // ran at a share.
  void Report(const std::string& graph,
              Duration span,
              std::int64_t share_percent,
              std::int64_t percent,
              bool is_new_list = true) {
    now_ += span;
    WorkerSync sync;
    for (std::int64_t t = 0; t < kTasks; ++t) {
      const RunRef run = RunOf(graph, 0, t);
      sync.running.push_back({run, "", percent, 0});
      view_.runs[run].share_percent = share_percent;
    }
    view_.is_new_list = is_new_list;
    observer_.OnSync(now_, table_, view_, sync, events_);
  }

  // Reports the graph's runs as done, then commits the ends.
  void Finish(const std::string& graph, Duration span, std::int64_t run = 1) {
    now_ += span;
    WorkerSync sync;
    for (std::int64_t t = 0; t < kTasks; ++t) {
      sync.ended.push_back(
          {++ends_, RunOf(graph, 0, t, run), RunEndReason::kDone, ""});
    }
    observer_.OnSync(now_, table_, view_, sync, events_);
    view_.proposed_end = ends_;
    observer_.OnSync(now_ + Millis(50), table_, view_, sync, events_);
    table_.Apply(EndRuns{{"w", 1}, sync.ended}, kGraphStart);
    view_.runs.clear();
    now_ += std::chrono::seconds(1);
    observer_.OnSync(now_, table_, view_, WorkerSync{}, events_);
  }

  [[nodiscard]] const RunTimeObserver& observer() const { return observer_; }
  [[nodiscard]] const Events& events() const { return events_; }
  GraphTable& table() { return table_; }

 private:
  GraphTable table_;
  GraphWorkerView view_;
  RunTimeObserver observer_;
  Events events_;
  Time now_ = Time(std::chrono::seconds(100));
  std::int64_t ends_ = 0;
};

void ThrottledRunsCountTheirShare() {
  ObservedWorker worker;
  worker.Place("g");
  const auto estimate_ms = [&] {
    const TaskRef task{"g", 0, 0, 0};
    return worker.observer()
        .model()
        .EstimateFor(kQueue, task, DeclaredStep(4000))
        .mean_ms;
  };
  // 1 s at the full share, then 4 s at a quarter: 2 s of work. The list in
  // between is old, and so is its percentage.
  worker.Report("g", Millis(1000), 100, 25);
  worker.Report("g", Millis(3000), 25, 25, false);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, estimate_ms(), 1);
  worker.Report("g", Millis(1000), 25, 50);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, estimate_ms(), 1);
  worker.Finish("g", Millis(8000));
  const auto& queues = worker.observer().model().queues();
  CPPUNIT_ASSERT_DOUBLES_EQUAL(
      4000, std::exp(queues.find(kQueue)->second.real.mean()), 1);
}

// The second run of a task has less left, so its time would be too short.
void RunsFromCheckpointsAreNotLearned() {
  ObservedWorker worker;
  worker.Place("g");
  worker.Restart("g");
  worker.Finish("g", Millis(400), 2);
  CPPUNIT_ASSERT(worker.table().FindGraph("g")->state ==
                 GraphState::kCompleted);
  CPPUNIT_ASSERT(worker.observer().model().queues().empty());
}

void MemoryIsBoundedByActiveGraphs() {
  ObservedWorker worker;
  for (int i = 0; i < 50; ++i) {
    const std::string graph = "g-" + std::to_string(i);
    worker.Place(graph);
    worker.Report(graph, Millis(500), 100, 50);
    worker.Finish(graph, Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker.observer().run_count());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         worker.observer().model().graph_count());
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       worker.observer().model().queues().size());
  // 100 s in all, a line every 10 s.
  CPPUNIT_ASSERT(worker.events().size() >= 8 && worker.events().size() <= 11);
  ServicePlan plan = SamplePlan(2);
  plan.queues.pop_back();
  worker.table().Apply(InstallPlan{plan}, kGraphStart);
  worker.Finish("none", Millis(1000));
  CPPUNIT_ASSERT(worker.observer().model().queues().empty());
}

// Returns the graph whose task is placed on the only processor: a short one
// that declares a long time, or a long one that declares a short time.
std::string FirstPlaced(bool learned_run_times) {
  GraphLeaderOptions options;
  options.scheduling.learned_run_times = learned_run_times;
  LeaderHarness cell(options);
  WorkerInfo info = SampleWorker("w");
  info.capacity.cpu_millis = 1000;
  cell.Join(info);
  StepSpec short_step = SampleStep(3);
  short_step.estimate_ms = 4000;
  StepSpec long_step = SampleStep(3);
  long_step.estimate_ms = 2000;
  cell.Commit(SampleGraph("short", {short_step}));
  cell.AdvanceTime(Millis(50));
  const std::set<RunRef> first = cell.RunsOn("w");
  cell.Commit(SampleGraph("long", {long_step}));
  // Half of the short run is done within 200 ms.
  cell.AdvanceTime(Millis(200));
  WorkerSync sync;
  sync.info = info;
  sync.lists = 1;
  sync.running.push_back({*first.begin(), "", 50, 0});
  cell.Sync(sync);
  cell.AdvanceTime(Millis(200));
  sync.running.clear();
  sync.lists = 2;
  sync.ended.push_back({1, *first.begin(), RunEndReason::kDone, ""});
  cell.Sync(sync);
  cell.AdvanceTime(Millis(50));
  const std::set<RunRef> runs = cell.RunsOn("w");
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
  return runs.begin()->task.graph;
}

void LeaderRanksByTheModelIfSwitchedOn() {
  CPPUNIT_ASSERT_EQUAL(std::string("long"), FirstPlaced(false));
  CPPUNIT_ASSERT_EQUAL(std::string("short"), FirstPlaced(true));
}

}  // namespace

Section RunTimeModelStory() {
  Section story("Learned run times");
  story
      .With(
          Section("of steps without runs")
              .Then("are the declared ones for a new leader",
                    NewLeaderUsesDeclaredTimes)
              .Then("are the declared ones if these are exact",
                    ExactDeclaredTimesAreKept)
              .Then("leave the order as declared if these are about right",
                    AccurateQueuesAreServedAsDeclared)
              .Then("rank better than uninformative declared ones",
                    UninformativeDeclaredTimesCauseFewerInversions)
              .Then("hardly change by stragglers",
                    StragglersHardlyMoveEstimates)
              .Then("follow a queue whose work shifts", ShiftedWorkIsFollowed))
      .With(Section("of the longest task of a step")
                .Then("follow the maximum of samples",
                      LongestRunFollowsTheSampledMaximum)
                .Then("tell whether a wide graph is late",
                      WideGraphsAreJudgedByTheirLongestTask)
                .Then("count the tasks that are left",
                      FewerRemainingTasksEndSooner))
      .With(Section("of runs")
                .Then("rank graphs by their remaining work",
                      PartlyDoneGraphsAreRankedByRemainingWork)
                .Then("count the share of throttled runs",
                      ThrottledRunsCountTheirShare)
                .Then("leave out runs from checkpoints",
                      RunsFromCheckpointsAreNotLearned)
                .Then("are forgotten with their graphs",
                      MemoryIsBoundedByActiveGraphs))
      .With(Section("of a leader")
                .Then("decide its order only if switched on",
                      LeaderRanksByTheModelIfSwitchedOn));
  return story;
}

}  // namespace banyan
