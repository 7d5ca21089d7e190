#ifndef BANYAN_SETTINGS_SCHEDULING_POLICY_H_
#define BANYAN_SETTINGS_SCHEDULING_POLICY_H_

namespace banyan {

// Optional mechanisms of the scheduler beyond fitting tasks to free capacity.
// Each can be disabled in the settings under `scheduling` to measure its
// effect; all are enabled by default.
struct SchedulingPolicy {
  // Forecasts the backlog of best-effort graphs: a graph that would miss its
  // objective anyway is placed after those that can still meet theirs.
  bool backlog_forecast = true;
  // Places a best-effort task under any load on workers where its estimated
  // interference is negligible.
  bool light_neighbours = true;
  // Estimates the CPU time left unused by latency-sensitive tasks from their
  // current load, instead of assuming a fixed part.
  bool load_dependent_slack = true;
  // Prefers workers for latency-sensitive tasks by the images already there, so
  // that tasks of one image are packed together.
  bool image_packing = true;
  // Starts a best-effort task at a reduced CPU share where its interference
  // with a co-located image is uncertain.
  bool careful_starts = true;
  // Restarts best-effort tasks that have been throttled for long on another
  // worker.
  bool starved_moves = true;
  // Outlier detection: quarantines workers on which several graphs failed.
  bool worker_suspicion = true;
};

}  // namespace banyan

#endif  // BANYAN_SETTINGS_SCHEDULING_POLICY_H_
