#ifndef BANYAN_SETTINGS_SCHEDULING_POLICY_H_
#define BANYAN_SETTINGS_SCHEDULING_POLICY_H_

namespace banyan {

// The scheduler's mechanisms beyond plain fitting of tasks to workers. Each
// can be switched off in the settings under `scheduling`, to measure what it
// contributes; all are on by default.
struct SchedulingPolicy {
  // Orders best-effort graphs behind a forecast of the backlog: one that would
  // end late anyway goes after those that can still be in time.
  bool backlog_forecast = true;
  // Places a best-effort task under any load where its learned interference is
  // negligible.
  bool light_neighbours = true;
  // Lets the processor time that latency-sensitive tasks leave unused follow
  // their present load.
  bool load_dependent_slack = true;
  // Packs latency-sensitive tasks with others of their image.
  bool image_packing = true;
  // Starts a best-effort task at a part of its share beside an image that it
  // was never seen with.
  bool careful_starts = true;
  // Restarts best-effort tasks elsewhere that are paced down for long.
  bool starved_moves = true;
  // Rests workers on which several graphs failed.
  bool worker_suspicion = true;
};

}  // namespace banyan

#endif  // BANYAN_SETTINGS_SCHEDULING_POLICY_H_
