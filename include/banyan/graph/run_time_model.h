#ifndef BANYAN_GRAPH_RUN_TIME_MODEL_H_
#define BANYAN_GRAPH_RUN_TIME_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"
#include "banyan/wire/graph.h"

namespace banyan {

// The run time of a task: its log-normal distribution's median, which stands
// for the mean because single runs that take many times as long don't move it,
// and the standard deviation of its logarithm.
struct RunTimeEstimate {
  double mean_ms = 0;
  double log_deviation = 0;
};

// Running mean and variance. Recent values count more once there are
// kMaxWeight.
class RunningMoments {
 public:
  // Number of values that the moments follow.
  static constexpr double kMaxWeight = 60;

  void Add(double value);

  [[nodiscard]] double weight() const noexcept { return weight_; }
  [[nodiscard]] double mean() const noexcept { return mean_; }
  [[nodiscard]] double variance() const noexcept { return variance_; }

 private:
  double weight_ = 0;
  double mean_ = 0;
  double variance_ = 0;
};

// What was learned of the run times of one queue. A step counts once, however
// many tasks it has, since its tasks are alike.
struct QueueRunTimes {
  // Logarithm of the mean run time of a step in milliseconds.
  RunningMoments real;
  // Logarithm of the ratio of the real to the declared run time.
  RunningMoments ratio;
  // Variance of the logarithm among the tasks of one step.
  RunningMoments task_variance;

  // Whether the declared run times are about right, so that they are used as
  // they are.
  [[nodiscard]] bool is_declared_accurate() const noexcept;
};

// Learns the run times of tasks, by queue, from runs that are done and from the
// progress of active runs. Deterministic; reads no clock. Satisfies
// RunTimeSource.
class RunTimeModel {
 public:
  // Learns from a run that has ended `done` after having worked for this long
  // at a full share.
  void OnRunDone(std::string_view queue,
                 const TaskRef& task,
                 const StepSpec& step,
                 Duration worked);

  // Learns from the progress of an active run. A run whose worked time is not
  // known is passed with 0: its percentage still counts.
  void OnProgress(std::string_view queue,
                  const TaskRef& task,
                  const StepSpec& step,
                  Duration worked,
                  std::int64_t percent);

  // Returns the run time of a task of a step at a full share: by the step's own
  // runs if it has any, otherwise by the declared time and its queue.
  [[nodiscard]] RunTimeEstimate EstimateFor(std::string_view queue,
                                            const TaskRef& task,
                                            const StepSpec& step) const;

  // Discards what is known of a graph's steps. What its queue has learned from
  // them stays; steps that are done in part count now.
  void Forget(std::string_view graph);

  // Forgets the graphs that are no longer in progress and the queues that the
  // plan no longer has.
  void RetainOnly(const GraphTable& table);

  // Returns the run time of the step's longest task in whole milliseconds, or
  // of the median one until the queue's times were learned. This and the next
  // two return what DeclaredRunTimes does if the declared times are accurate.
  [[nodiscard]] std::int64_t StepMs(std::string_view queue,
                                    const TaskRef& first,
                                    const StepSpec& step) const;
  // Returns the time until the last task of the step is done.
  [[nodiscard]] std::int64_t RemainingMs(std::string_view queue,
                                         const TaskRef& first,
                                         const StepSpec& step,
                                         const StepProgress& progress) const;
  // Returns the sum of the remaining run times of the step's tasks.
  [[nodiscard]] std::int64_t RemainingTotalMs(
      std::string_view queue,
      const TaskRef& first,
      const StepSpec& step,
      const StepProgress& progress) const;

  [[nodiscard]] const std::map<std::string, QueueRunTimes, std::less<>>&
  queues() const noexcept {
    return queues_;
  }
  // Number of graphs with known runs.
  [[nodiscard]] std::size_t graph_count() const noexcept {
    return graphs_.size();
  }

 private:
  // The last progress of a task's active run.
  struct Progress {
    double worked_ms = 0;
    std::int64_t percent = 0;

    // Returns the expected run time; empty while too little is known.
    [[nodiscard]] std::optional<double> total_ms() const noexcept;
  };

  // What is known of the runs of one step.
  struct StepRuns {
    std::string queue;
    std::int64_t declared_ms = 0;
    // Whether the queue has learned from the step.
    bool is_counted = false;
    // Logarithm of the run time in milliseconds, by task.
    std::map<std::int64_t, double> done;
    std::map<std::int64_t, Progress> active;
  };

  // Mean and variance of the logarithms of a step's run times.
  struct StepMean {
    std::size_t count = 0;
    double mean = 0;
    double variance = 0;
  };

  using OccurrenceStep = std::pair<std::int64_t, std::int64_t>;

  // Whether the declared run times of a queue are used as they are.
  [[nodiscard]] bool UsesDeclared(std::string_view queue) const;
  // Returns the expected run time of the longest of so many tasks of a step;
  // the median run time until the queue's times were learned.
  [[nodiscard]] double LongestMs(std::string_view queue,
                                 const TaskRef& first,
                                 const StepSpec& step,
                                 std::int64_t tasks) const;
  [[nodiscard]] StepRuns& MutableStep(std::string_view queue,
                                      const TaskRef& task,
                                      const StepSpec& step);
  [[nodiscard]] const StepRuns* FindStep(const TaskRef& task) const;
  // Returns the moments of the tasks that are done, or those of the tasks at
  // work if none is.
  [[nodiscard]] static StepMean MeanOf(const StepRuns& step);
  void Count(StepRuns& step);

  std::map<std::string, QueueRunTimes, std::less<>> queues_;
  std::map<std::string, std::map<OccurrenceStep, StepRuns>, std::less<>>
      graphs_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_RUN_TIME_MODEL_H_
