#ifndef BANYAN_GRAPH_WORKER_VIEW_H_
#define BANYAN_GRAPH_WORKER_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/graph/crash_record.h"
#include "banyan/graph/worker_suspicion.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Time that a long-running run must have been at work to show that its worker
// doesn't fail what it starts. A worker that does fails a run within a fraction
// of a second.
inline constexpr Duration kSoundRunTime = Millis(1000);

// The leader's view of one run.
struct RunView {
  // Last report of the run.
  RunStatus row;
  // When the run was first listed.
  Time listed_at;
  // When the reported percentage last changed.
  Time progressed_at;
  // Lists received since then.
  int lists_without_progress = 0;
  // The ordered CPU share, in percent.
  std::int64_t share_percent = kFullPercent;
  // Since when the share has been too low for useful progress.
  std::optional<Time> starved_since;

  // Whether the run has started without a crash of its worker.
  [[nodiscard]] bool is_at_work(Time now) const noexcept {
    return row.percent > 0 && listed_at + kMinListedTime <= now;
  }
};

// The leader's view of one incarnation of a worker, from its agent's reports.
struct GraphWorkerView {
  WorkerIncarnation life;
  // When the leader may consider the worker's lease expired.
  Time lease_deadline;
  bool reachable = false;
  // When its agent last sent a sync; empty before the first one.
  Time synced_at;
  // When the worker last answered its agent, as reported, or when the leader
  // took over; empty before the first report.
  Time reported_at;
  // The capacity last reported; empty before the first report.
  std::optional<Resources> capacity;
  // The largest capacity that was reported.
  Resources largest_capacity;
  // Number of the worker's list that `runs` comes from.
  std::uint64_t lists = 0;
  // Whether the last sync brought a new list.
  bool is_new_list = false;
  // When the CPU shares were last decided.
  Time paced_at;
  std::map<RunRef, RunView> runs;
  // Trial runs whose start the worker has survived.
  std::set<RunRef> survived;
  // CPU shares, in percent, ordered with starts that no list shows yet.
  std::map<RunRef, std::int64_t> starting_percent;
  // When a start was last ordered, by run.
  std::map<RunRef, Time> start_sent_at;
  // When a stop was last ordered, by run.
  std::map<RunRef, Time> stop_sent_at;
  // Number of the last run end that was proposed to the log.
  std::int64_t proposed_end = 0;
  Time end_proposed_at;
  // When the worker's admission was proposed.
  Time admission_proposed_at;
  // Whether the worker's removal was proposed.
  bool drop_proposed = false;
  WorkerSuspicion suspicion;
  // Long-running runs that have been at work for kSoundRunTime.
  std::set<RunRef> sound_runs;

  // Returns whether a run has started without a crash of the worker.
  [[nodiscard]] bool HasSurvived(const RunRef& run, Time now) const {
    const auto seen = runs.find(run);
    return survived.contains(run) ||
           (seen != runs.end() && seen->second.is_at_work(now));
  }

  // Returns what may be placed on the worker: its capacity in the table, or
  // less if it has reported less since.
  [[nodiscard]] Resources UsableCapacity(const Resources& admitted) const {
    return capacity ? Min(*capacity, admitted) : admitted;
  }
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_WORKER_VIEW_H_
