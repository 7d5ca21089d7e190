#ifndef BANYAN_GRAPH_RUN_TIME_SOURCE_H_
#define BANYAN_GRAPH_RUN_TIME_SOURCE_H_

#include <cmath>
#include <concepts>
#include <string_view>

#include "banyan/base/time.h"
#include "banyan/graph/run_time_model.h"
#include "banyan/graph/worker_view.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Estimates how long the tasks of a step run.
template <typename T>
concept RunTimeEstimator = requires(const T& source,
                                    std::string_view queue,
                                    const TaskRef& task,
                                    const StepSpec& step) {
  {
    source.EstimateFor(queue, task, step)
    } -> std::convertible_to<RunTimeEstimate>;
};

// Estimates by the learned run times, or by the declared ones where none are
// learned.
class RunTimeEstimates {
 public:
  RunTimeEstimates() = default;
  // `model` must outlive the estimates; null for declared run times.
  explicit RunTimeEstimates(const RunTimeModel* model) : model_(model) {}

  [[nodiscard]] RunTimeEstimate EstimateFor(std::string_view queue,
                                            const TaskRef& task,
                                            const StepSpec& step) const {
    if (model_ != nullptr) {
      return model_->EstimateFor(queue, task, step);
    }
    return {static_cast<double>(step.estimate_ms), kDeclaredLogDeviation};
  }

 private:
  // Callers declare run times that are off by a factor of two.
  static constexpr double kDeclaredLogDeviation = 0.7;

  const RunTimeModel* model_ = nullptr;
};

static_assert(RunTimeEstimator<RunTimeEstimates>);

// Returns the run time that a task seldom exceeds: the mean and one deviation.
[[nodiscard]] inline double CautiousRunTimeMs(const RunTimeEstimate& estimate) {
  return estimate.mean_ms * std::exp(estimate.log_deviation);
}

// Returns when a task that starts now is expected to have ended.
template <RunTimeEstimator Source>
[[nodiscard]] Time ExpectedEnd(const Source& run_times,
                               std::string_view queue,
                               const TaskRef& task,
                               const StepSpec& step,
                               Time now) {
  return now + Millis(static_cast<std::int64_t>(CautiousRunTimeMs(
                   run_times.EstimateFor(queue, task, step))));
}

// Returns when a run is expected to have ended, never if it is stopped by its
// CPU share. The progress of a run counts more than its estimate, unless it
// started from a checkpoint, with part of the work done.
[[nodiscard]] Time ExpectedEndOfRun(const RunView& run,
                                    const RunTimeEstimate& estimate,
                                    bool has_checkpoint,
                                    Time now);

}  // namespace banyan

#endif  // BANYAN_GRAPH_RUN_TIME_SOURCE_H_
