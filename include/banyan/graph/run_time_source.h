#ifndef BANYAN_GRAPH_RUN_TIME_SOURCE_H_
#define BANYAN_GRAPH_RUN_TIME_SOURCE_H_

#include <cmath>
#include <concepts>
#include <string_view>

#include "banyan/base/time.h"
#include "banyan/graph/worker_view.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Estimated run time of a task at its full CPU share.
struct RunTimeEstimate {
  double mean_ms = 0;
  // Standard deviation of the logarithm of the run time.
  double log_deviation = 0;
};

// Estimates how long the tasks of a step run.
template <typename T>
concept RunTimeSource = requires(const T& source,
                                 std::string_view queue,
                                 const TaskRef& task,
                                 const StepSpec& step) {
  {
    source.EstimateFor(queue, task, step)
    } -> std::convertible_to<RunTimeEstimate>;
};

// The run times as the callers declare them.
struct DeclaredRunTimes {
  // Between the deviations of declared run times in the two deployments under
  // heavy load, 0.5 and 0.9.
  static constexpr double kLogDeviation = 0.7;

  [[nodiscard]] RunTimeEstimate EstimateFor(std::string_view /*queue*/,
                                            const TaskRef& /*task*/,
                                            const StepSpec& step) const {
    return {static_cast<double>(step.estimate_ms), kLogDeviation};
  }
};

// Returns the run time that a task seldom exceeds: the mean and one deviation.
[[nodiscard]] inline double CautiousRunTimeMs(const RunTimeEstimate& estimate) {
  return estimate.mean_ms * std::exp(estimate.log_deviation);
}

// Returns when a task that starts now is expected to have ended.
template <RunTimeSource Source>
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
