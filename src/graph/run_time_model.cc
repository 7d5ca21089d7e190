#include "banyan/graph/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "banyan/graph/step_length.h"
#include "banyan/graph/urgency.h"

namespace banyan {
namespace {

// Number of steps before which a queue's declared times are used as they are.
constexpr double kMinSteps = 4;
// Number of steps at which what was learned counts as much as the declared
// time.
constexpr double kHalfTrustSteps = 6;
// Deviation of the logarithm of a run time of which only the declared time is
// known: callers are off by a factor of two and more.
constexpr double kUnknownDeviation = 0.7;
// Deviation among the tasks of a step until it was learned: tasks of a step
// differ by 15 to 30%.
constexpr double kUnknownTaskDeviation = 0.25;
// Lower bound of deviations, so that a few equal values don't count as
// certainty.
constexpr double kMinDeviation = 0.05;
// Declared times within this root mean square of the logarithm of real/declared
// are used as they are. Callers who know their work are within 0.2, those who
// guess are off by 0.5 and more.
constexpr double kAccurateDeviation = 0.3;
// Progress from which on the run time of an active run can be told.
constexpr std::int64_t kMinPercent = 10;
// Expected remaining part of an active run whose progress is not known.
constexpr double kUnknownRemaining = 0.6;

double Square(double value) {
  return value * value;
}

// Returns the logarithm of a time, of at least a millisecond.
double LogMillis(double millis) {
  return std::log(std::max(millis, 1.0));
}

// A value with its variance.
struct Weighted {
  double value = 0;
  double variance = 0;
};

// Returns the mean of two values, weighted by their precision.
Weighted Combine(const Weighted& a, const Weighted& b) {
  const double sum = a.variance + b.variance;
  return {(a.value * b.variance + b.value * a.variance) / sum,
          a.variance * b.variance / sum};
}

// Returns the variance of the moments, of at least kMinDeviation squared.
double VarianceOf(const RunningMoments& moments) {
  return std::max(moments.variance(), Square(kMinDeviation));
}

// Returns the variance among the tasks of one step of a queue.
double TaskVarianceOf(const QueueRunTimes* times) {
  if (times == nullptr) {
    return Square(kUnknownTaskDeviation);
  }
  const double weight = times->task_variance.weight();
  return std::max((times->task_variance.mean() * weight +
                   Square(kUnknownTaskDeviation) * kHalfTrustSteps) /
                      (weight + kHalfTrustSteps),
                  Square(kMinDeviation));
}

// Returns the run time of a step without runs as a logarithm. The error of the
// declared time is taken as independent of the real one, so that both are
// estimates of the same value.
Weighted EstimateWithoutRuns(const QueueRunTimes* times,
                             std::int64_t declared_ms) {
  const Weighted declared{LogMillis(static_cast<double>(declared_ms)),
                          Square(kUnknownDeviation)};
  if (times == nullptr || times->real.weight() < kMinSteps) {
    return declared;
  }
  const Weighted learned =
      Combine({declared.value + times->ratio.mean(), VarianceOf(times->ratio)},
              {times->real.mean(), VarianceOf(times->real)});
  const double trust =
      times->real.weight() / (times->real.weight() + kHalfTrustSteps);
  return {std::lerp(declared.value, learned.value, trust),
          std::lerp(declared.variance, learned.variance, trust)};
}

}  // namespace

void RunningMoments::Add(double value) {
  weight_ = std::min(weight_ + 1, kMaxWeight);
  const double distance = value - mean_;
  const double rate = 1 / weight_;
  mean_ += rate * distance;
  variance_ = (1 - rate) * (variance_ + rate * Square(distance));
}

bool QueueRunTimes::is_declared_accurate() const noexcept {
  return ratio.weight() >= kMinSteps &&
         ratio.variance() + Square(ratio.mean()) <= Square(kAccurateDeviation);
}

std::optional<double> RunTimeModel::Progress::total_ms() const noexcept {
  if (percent < kMinPercent || worked_ms <= 0) {
    return std::nullopt;
  }
  return worked_ms * static_cast<double>(kFullPercent) /
         static_cast<double>(percent);
}

RunTimeModel::StepRuns& RunTimeModel::MutableStep(std::string_view queue,
                                                  const TaskRef& task,
                                                  const StepSpec& step) {
  const auto [found, is_new] = graphs_[task.graph].try_emplace(
      OccurrenceStep{task.occurrence, task.step});
  if (is_new) {
    found->second.queue = queue;
    found->second.declared_ms = step.estimate_ms;
  }
  return found->second;
}

const RunTimeModel::StepRuns* RunTimeModel::FindStep(
    const TaskRef& task) const {
  const auto graph = graphs_.find(task.graph);
  if (graph == graphs_.end()) {
    return nullptr;
  }
  const auto step =
      graph->second.find(OccurrenceStep{task.occurrence, task.step});
  return step == graph->second.end() ? nullptr : &step->second;
}

RunTimeModel::StepMean RunTimeModel::MeanOf(const StepRuns& step) {
  std::vector<double> logs;
  for (const auto& [index, log] : step.done) {
    logs.push_back(log);
  }
  if (logs.empty()) {
    for (const auto& [index, progress] : step.active) {
      if (const auto total = progress.total_ms()) {
        logs.push_back(LogMillis(*total));
      }
    }
  }
  StepMean result;
  result.count = logs.size();
  const auto count = static_cast<double>(logs.size());
  for (const double log : logs) {
    result.mean += log / count;
  }
  for (const double log : logs) {
    result.variance +=
        logs.size() > 1 ? Square(log - result.mean) / (count - 1) : 0;
  }
  return result;
}

void RunTimeModel::Count(StepRuns& step) {
  if (step.is_counted || step.done.empty()) {
    return;
  }
  step.is_counted = true;
  const StepMean mean = MeanOf(step);
  QueueRunTimes& times = queues_[step.queue];
  times.real.Add(mean.mean);
  times.ratio.Add(mean.mean - LogMillis(static_cast<double>(step.declared_ms)));
  if (mean.count > 1) {
    times.task_variance.Add(mean.variance);
  }
}

void RunTimeModel::OnRunDone(std::string_view queue,
                             const TaskRef& task,
                             const StepSpec& step,
                             Duration worked) {
  if (step.long_running) {
    return;
  }
  StepRuns& runs = MutableStep(queue, task, step);
  runs.active.erase(task.index);
  runs.done[task.index] = LogMillis(static_cast<double>(ToMillis(worked)));
  if (static_cast<std::int64_t>(runs.done.size()) >= step.count) {
    Count(runs);
  }
}

void RunTimeModel::OnProgress(std::string_view queue,
                              const TaskRef& task,
                              const StepSpec& step,
                              Duration worked,
                              std::int64_t percent) {
  if (step.long_running) {
    return;
  }
  MutableStep(queue, task, step).active[task.index] = {
      static_cast<double>(ToMillis(worked)), percent};
}

RunTimeEstimate RunTimeModel::EstimateFor(std::string_view queue,
                                          const TaskRef& task,
                                          const StepSpec& step) const {
  const auto found = queues_.find(queue);
  const QueueRunTimes* times =
      found == queues_.end() ? nullptr : &found->second;
  const double task_variance = TaskVarianceOf(times);
  const auto declared_ms = static_cast<double>(step.estimate_ms);
  if (step.long_running ||
      (times != nullptr && times->is_declared_accurate())) {
    return {declared_ms, std::sqrt(task_variance)};
  }
  const StepRuns* runs = FindStep(task);
  const StepMean mean = runs == nullptr ? StepMean{} : MeanOf(*runs);
  const bool is_learned = times != nullptr && times->real.weight() >= kMinSteps;
  if (mean.count == 0 && !is_learned) {
    return {declared_ms, kUnknownDeviation};
  }
  Weighted estimate = EstimateWithoutRuns(times, step.estimate_ms);
  if (mean.count > 0) {
    estimate = Combine(
        estimate, {mean.mean, task_variance / static_cast<double>(mean.count)});
  }
  return {std::exp(estimate.value),
          std::sqrt(estimate.variance + task_variance)};
}

void RunTimeModel::Forget(std::string_view graph) {
  const auto found = graphs_.find(graph);
  if (found == graphs_.end()) {
    return;
  }
  for (auto& [key, step] : found->second) {
    Count(step);
  }
  graphs_.erase(found);
}

void RunTimeModel::RetainOnly(const GraphTable& table) {
  std::vector<std::string> ended;
  for (const auto& [id, steps] : graphs_) {
    const Graph* graph = table.FindGraph(id);
    if (graph == nullptr || graph->occurrences.empty()) {
      ended.push_back(id);
    }
  }
  for (const std::string& id : ended) {
    Forget(id);
  }
  std::erase_if(queues_, [&](const auto& item) {
    return table.FindQueue(item.first) == nullptr;
  });
}

std::int64_t RunTimeModel::StepMs(std::string_view queue,
                                  const TaskRef& first,
                                  const StepSpec& step) const {
  return UsesDeclared(queue)
             ? DeclaredRunTimes::StepMs(queue, first, step)
             : std::llround(LongestMs(queue, first, step, step.count));
}

bool RunTimeModel::UsesDeclared(std::string_view queue) const {
  const auto times = queues_.find(queue);
  return times != queues_.end() && times->second.is_declared_accurate();
}

double RunTimeModel::LongestMs(std::string_view queue,
                               const TaskRef& first,
                               const StepSpec& step,
                               std::int64_t tasks) const {
  const double median_ms = EstimateFor(queue, first, step).mean_ms;
  const auto times = queues_.find(queue);
  if (times == queues_.end() || times->second.real.weight() < kMinSteps) {
    return median_ms;
  }
  return LongestRunMs(median_ms, std::sqrt(TaskVarianceOf(&times->second)),
                      tasks);
}

std::int64_t RunTimeModel::RemainingMs(std::string_view queue,
                                       const TaskRef& first,
                                       const StepSpec& step,
                                       const StepProgress& progress) const {
  if (UsesDeclared(queue)) {
    return DeclaredRunTimes::RemainingMs(queue, first, step, progress);
  }
  if (progress.is_done()) {
    return 0;
  }
  const double step_ms = EstimateFor(queue, first, step).mean_ms;
  const StepRuns* runs = FindStep(first);
  double remaining = 0;
  for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
    const TaskPhase phase = progress.tasks[i].phase;
    if (phase == TaskPhase::kDone) {
      continue;
    }
    if (phase != TaskPhase::kRunning) {
      return std::llround(
          LongestMs(queue, first, step, step.count - progress.done));
    }
    const auto index = static_cast<std::int64_t>(i);
    if (runs == nullptr || !runs->active.contains(index)) {
      remaining = std::max(remaining, kUnknownRemaining * step_ms);
      continue;
    }
    // A run that is far behind the others is known by its own progress.
    const Progress& active = runs->active.at(index);
    remaining = std::max(
        remaining, active.total_ms().value_or(step_ms) *
                       static_cast<double>(kFullPercent - active.percent) /
                       static_cast<double>(kFullPercent));
  }
  return std::llround(remaining);
}

std::int64_t RunTimeModel::RemainingTotalMs(
    std::string_view queue,
    const TaskRef& first,
    const StepSpec& step,
    const StepProgress& progress) const {
  if (UsesDeclared(queue)) {
    return DeclaredRunTimes::RemainingTotalMs(queue, first, step, progress);
  }
  if (progress.is_done()) {
    return 0;
  }
  const StepRuns* runs = FindStep(first);
  auto tasks = static_cast<double>(step.count - progress.done);
  if (runs != nullptr) {
    for (const auto& [index, active] : runs->active) {
      const auto i = static_cast<std::size_t>(index);
      if (i < progress.tasks.size() &&
          progress.tasks[i].phase == TaskPhase::kRunning) {
        tasks -= static_cast<double>(active.percent) /
                 static_cast<double>(kFullPercent);
      }
    }
  }
  return std::llround(EstimateFor(queue, first, step).mean_ms *
                      std::max(tasks, 0.0));
}

}  // namespace banyan
