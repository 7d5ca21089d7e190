#ifndef BANYAN_GRAPH_CANDIDATE_WORKER_H_
#define BANYAN_GRAPH_CANDIDATE_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"
#include "banyan/graph/worker_suspicion.h"
#include "banyan/graph/worker_view.h"
#include "banyan/settings/scheduling_policy.h"

namespace banyan {

struct WorkerCordon;
struct WorkerHold;

// A latency-sensitive task on a candidate worker.
struct ColocatedTask {
  std::string image;
  // Expected occupancy by its own load while a best-effort task runs, 0 to 1.
  double projected_occupancy = 0;
  // Occupancy, interference included, up to which it keeps its latency.
  double occupancy_limit = 0;
  // Whether its step bounds how many of its tasks share a worker.
  bool is_spread = false;
};

// A worker as placement sees it, after the placements chosen so far.
struct CandidateWorker {
  const GraphWorker* worker = nullptr;
  // The capacity that may be committed.
  Resources usable;
  // Uncommitted capacity.
  Resources free;
  // CPU time that is expected to be unused, in thousandths of a processor.
  std::int64_t idle_cpu_millis = 0;
  std::vector<ColocatedTask> serving;
  // At their full CPU shares.
  std::vector<BestEffortNeighbour> best_effort;
  // What its best-effort and its long-running tasks have reserved.
  Resources best_effort_reserved;
  Resources long_running_reserved;
  // Best-effort tasks whose interference here is uncertain.
  int exploring_tasks = 0;
  // Number of best-effort images that could use the worker, counted if
  // placement looks ahead.
  int best_effort_images = 0;
  // Whether the worker is suspected and gets no run, or a single one.
  WorkerAccess access = WorkerAccess::kOpen;
  // Whether it has got that run.
  bool has_probe = false;
  // Whether it has no runs but those of suspects.
  bool has_only_suspects = true;
  // Whether it runs a suspect whose start it may not have survived yet; it gets
  // no other run.
  bool has_trial = false;
  // Whether it is kept free for suspects that wait for such a worker.
  bool is_reserved = false;
  // Whether its pool has no other worker that gets runs.
  bool is_last = false;
  // The reservation of the worker for a graph that waits; null if there is
  // none.
  const WorkerHold* hold = nullptr;
  // The cordon that keeps its room for a long-running task; null if there is
  // none.
  const WorkerCordon* cordon = nullptr;

  // Returns what the long-running tasks leave, whatever else runs.
  [[nodiscard]] Resources RoomBesideLongRunning() const noexcept {
    return usable - long_running_reserved;
  }
};

// Whether a worker has the label that a step requires.
[[nodiscard]] bool HasLabel(const WorkerInfo& info, const StepSpec& step);

// Returns CPU time, in thousandths of a processor, as a fraction of the
// worker's CPU capacity.
[[nodiscard]] double CpuFraction(const GraphWorker& worker,
                                 std::int64_t cpu_millis) noexcept;

// Whether the interference of a best-effort image with any latency-sensitive
// task on the worker is uncertain.
[[nodiscard]] bool IsUncertain(const CandidateWorker& candidate,
                               const std::string& image,
                               const InterferenceModel& model);

// Adds a task on the worker to the co-located tasks that interference is
// estimated for.
void AddColocated(CandidateWorker& candidate,
                  const TaskRef& task,
                  const StepSpec& step,
                  const InterferenceModel& model,
                  const SchedulingPolicy& policy);

// Adds a task to what those of its kind have reserved on the worker.
void AddReserved(CandidateWorker& candidate, const StepSpec& step);

// Returns the workers that may get runs, by id: reachable ones that hold a
// lease, don't drain and are in a data centre in service.
[[nodiscard]] std::map<std::string, CandidateWorker> BuildCandidates(
    Time now,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const InterferenceModel& model,
    const SchedulingPolicy& policy);

}  // namespace banyan

#endif  // BANYAN_GRAPH_CANDIDATE_WORKER_H_
