#ifndef BANYAN_GRAPH_PACER_H_
#define BANYAN_GRAPH_PACER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/interference.h"
#include "banyan/wire/graph.h"

namespace banyan {

// A task on a worker that serves its own users, with its last report.
struct ServingTask {
  std::string image;
  std::int64_t latency_ms = 0;
  std::int64_t target_ms = 0;
};

// A task on a worker that fills, and the share that was ordered last.
struct FillingTask {
  RunRef run;
  std::string image;
  std::int64_t percent = 100;
};

// Decides at what share the tasks that fill work on one worker, so that the
// tasks that serve there stay below their latency targets. Goes down within
// one report and up slowly.
class Pacer {
 public:
  // Learns from one report of a worker.
  void Observe(const std::vector<ServingTask>& serving,
               const std::vector<FillingTask>& filling);

  // Returns the shares that are to change.
  [[nodiscard]] std::vector<RunPace> Decide(
      const std::vector<ServingTask>& serving,
      const std::vector<FillingTask>& filling) const;

  [[nodiscard]] const InterferenceModel& model() const noexcept {
    return model_;
  }

 private:
  InterferenceModel model_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_PACER_H_
