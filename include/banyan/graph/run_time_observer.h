#ifndef BANYAN_GRAPH_RUN_TIME_OBSERVER_H_
#define BANYAN_GRAPH_RUN_TIME_OBSERVER_H_

#include <map>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/run_time_model.h"
#include "banyan/graph/worker_view.h"
#include "banyan/wire/message.h"

namespace banyan {

// Measures for how long runs have worked, at their CPU shares, and teaches a
// RunTimeModel. Bounded by the active runs.
class RunTimeObserver {
 public:
  // Processes a worker's report before the view takes it over: the view's
  // shares hold for the time up to now. Appends what was learned to the events
  // at intervals.
  void OnSync(Time now,
              const GraphTable& table,
              const GraphWorkerView& view,
              const WorkerSync& sync,
              Events& events);

  [[nodiscard]] const RunTimeModel& model() const noexcept { return model_; }
  // Number of runs whose worked time is being measured.
  [[nodiscard]] std::size_t run_count() const noexcept { return runs_.size(); }

 private:
  // The worked time of one run.
  struct WorkedTime {
    // Up to when the time has been counted.
    Time counted_until;
    Duration worked{};
  };

  // Counts the time up to now. Returns the worked time; null if this leader
  // hasn't started the run.
  [[nodiscard]] const WorkedTime* Advance(Time now,
                                          const GraphWorkerView& view,
                                          const RunRef& run);
  void Sweep(Time now, const GraphTable& table);
  void Log(Time now, Events& events);

  RunTimeModel model_;
  std::map<RunRef, WorkedTime> runs_;
  Time swept_at_;
  Time logged_at_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_RUN_TIME_OBSERVER_H_
