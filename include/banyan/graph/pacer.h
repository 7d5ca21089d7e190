#ifndef BANYAN_GRAPH_PACER_H_
#define BANYAN_GRAPH_PACER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/interference.h"
#include "banyan/wire/graph.h"

namespace banyan {

// A task on a worker that serves its own users, with its last report.
struct ServingTask {
  // Names the tasks that carry the same load.
  std::string group;
  std::string image;
  std::int64_t latency_ms = 0;
  std::int64_t target_ms = 0;
};

// A task on a worker that fills, and the share that was ordered last.
struct FillingTask {
  RunRef run;
  std::string image;
  std::int64_t percent = kFullPercent;
  // What it uses at its full share, and what it used in the last half second,
  // in parts of the worker's processor time.
  double size = 0;
  double used = 0;
};

// Decides at what share the tasks that fill work on one worker, so that the
// tasks that serve there stay below their latency targets. The heaviest
// neighbours go down first, within one report; the lightest come up first,
// slowly, also where the model expects the worst: it may be out of date.
class Pacer {
 public:
  // Learns from one report of a worker.
  void Observe(Time now,
               const std::string& worker,
               const std::vector<ServingTask>& serving,
               const std::vector<FillingTask>& filling);

  // Returns the shares that are to change.
  [[nodiscard]] std::vector<RunThrottle> Decide(
      Time now,
      const std::string& worker,
      const std::vector<ServingTask>& serving,
      const std::vector<FillingTask>& filling);

  [[nodiscard]] const InterferenceModel& model() const noexcept {
    return model_;
  }

 private:
  // What is known of one worker from its last reports.
  struct Site {
    // When a neighbour came, or its share was changed.
    std::map<RunRef, Time> changed_at;
    // The shares that the last report was under.
    std::map<RunRef, std::int64_t> percents;
    // Latencies of the last report, by group.
    std::map<std::string, double> latencies;
    std::set<std::string> rising;
    // Since when a group has been over its target on end.
    std::map<std::string, Time> over_since;
    // When a group was over its target last.
    std::map<std::string, Time> over_at;
  };

  InterferenceModel model_;
  std::map<std::string, Site> sites_;
};

// Returns a task's latency in parts of its target.
[[nodiscard]] double RelativeLatency(const ServingTask& task) noexcept;

}  // namespace banyan

#endif  // BANYAN_GRAPH_PACER_H_
