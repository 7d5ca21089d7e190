#ifndef BANYAN_SETTINGS_SCHEDULING_POLICY_H_
#define BANYAN_SETTINGS_SCHEDULING_POLICY_H_

namespace banyan {

// Optional mechanisms of the scheduler beyond fitting tasks to free capacity.
// Each can be switched in the settings under `scheduling`, to measure its
// effect; the first seven are enabled by default.
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
  // Runs copies of speculative tasks on other workers when a run is lost, far
  // behind or has no time for a second attempt.
  bool speculative_copies = false;
  // Stops less urgent runs when ready tasks of priority 0 find no room.
  bool room_for_urgent = false;
  // Ranks graphs by run times learned from their queue instead of the declared
  // ones alone.
  bool learned_run_times = false;
  // Reserves workers for graphs that wait, by what ends there soon, and fills
  // the time until then with short work.
  bool look_ahead = false;
  // Refuses graphs that can't be in time behind the backlog of their pool.
  bool admission_forecast = false;
};

}  // namespace banyan

#endif  // BANYAN_SETTINGS_SCHEDULING_POLICY_H_
