#ifndef BANYAN_GRAPH_PACER_H_
#define BANYAN_GRAPH_PACER_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/interference.h"
#include "banyan/wire/graph.h"

namespace banyan {

// A latency-sensitive task on a worker, with its last reported tail latency.
struct ServingTask {
  // Tasks of one group carry the same load.
  std::string group;
  std::string image;
  std::int64_t latency_ms = 0;
  std::int64_t target_ms = 0;
};

// A best-effort task on a worker.
struct BestEffortTask {
  RunRef run;
  std::string image;
  // The last ordered CPU share, in percent.
  std::int64_t percent = kFullPercent;
  // CPU use at the full share, as a fraction of the worker's CPU capacity.
  double size = 0;
  // CPU use in the last half second, as a fraction of the worker's CPU
  // capacity.
  double used = 0;
};

// Throttles the best-effort tasks of each worker so that the co-located
// latency-sensitive tasks stay below their latency targets. Reduces the shares
// of the neighbours with the most interference first, within one report.
// Increases those with the least interference first, gradually, and tries small
// increases even where the model predicts too much interference, since the
// model may be outdated.
class Pacer {
 public:
  // Updates the interference model with one report of a worker.
  void Observe(Time now,
               const std::string& worker,
               const std::vector<ServingTask>& serving,
               const std::vector<BestEffortTask>& best_effort);

  // Returns the CPU shares that have to change on the worker. The report must
  // have been passed to Observe() before.
  [[nodiscard]] std::vector<RunThrottle> Decide(
      Time now,
      const std::string& worker,
      const std::vector<ServingTask>& serving,
      const std::vector<BestEffortTask>& best_effort);

  [[nodiscard]] const InterferenceModel& model() const noexcept {
    return model_;
  }

 private:
  // State of one worker derived from its last reports.
  struct WorkerState {
    // When a best-effort run was first seen or its share last changed.
    std::map<RunRef, Time> share_changed_at;
    // CPU shares in force during the last report, in percent.
    std::map<RunRef, std::int64_t> reported_percents;
    // Highest relative latency in the last report, by group.
    std::map<std::string, double> reported_latencies;
    // Groups whose latency rose since the report before.
    std::set<std::string> rising_groups;
    // Start of the current uninterrupted violation of the target, by group.
    std::map<std::string, Time> violating_since;
    // Time of the last violation of the target, by group.
    std::map<std::string, Time> last_violation_at;
  };

  InterferenceModel model_;
  std::map<std::string, WorkerState> workers_;
};

// Returns a task's latency as a fraction of its target.
[[nodiscard]] double RelativeLatency(const ServingTask& task) noexcept;

// Returns the task with the highest latency relative to its target; a default
// task if there is none.
[[nodiscard]] ServingTask HighestRelativeLatency(
    std::span<const ServingTask> serving);

}  // namespace banyan

#endif  // BANYAN_GRAPH_PACER_H_
