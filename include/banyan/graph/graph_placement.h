#ifndef BANYAN_GRAPH_GRAPH_PLACEMENT_H_
#define BANYAN_GRAPH_GRAPH_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/candidate_worker.h"
#include "banyan/graph/exclusion.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"
#include "banyan/graph/look_ahead.h"
#include "banyan/graph/placement_wait.h"
#include "banyan/graph/reservation.h"
#include "banyan/graph/run_time_model.h"
#include "banyan/graph/run_time_source.h"
#include "banyan/graph/urgent_room.h"
#include "banyan/graph/worker_cordon.h"
#include "banyan/graph/worker_view.h"
#include "banyan/settings/scheduling_policy.h"

namespace banyan {

// CPU share, in percent, at which a best-effort task starts on a worker where
// the interference of its image is uncertain.
inline constexpr std::int64_t kExplorationPercent = 50;

// Why a task avoids a worker. Ordered by weight.
enum class AvoidReason : std::uint8_t {
  // Its run was throttled there for long.
  kStarved,
  // The worker refused the start of its run, which counts for
  // WorkerSuspicion::kRetention.
  kRefused,
  // Its run failed or was stuck there.
  kFailed,
};

// Chooses workers for ready tasks. Deterministic; reads no clock, all times are
// passed in.
class GraphPlacement {
 public:
  explicit GraphPlacement(SchedulingPolicy policy) : policy_(policy) {}

  // Returns the placements to propose, most urgent first: by the run times of
  // the model, or by the declared ones if it is null.
  [[nodiscard]] std::vector<RunPlacement> Choose(
      Time now,
      WallMillis wall,
      const GraphTable& table,
      const std::map<std::string, GraphWorkerView>& views,
      const InterferenceModel& model,
      const RunTimeModel* run_times = nullptr);

  // Records a reason to prefer other workers for the next run of the task.
  void Avoid(Time now,
             const TaskRef& task,
             const std::string& worker,
             AvoidReason reason);

  // Returns the workers on which runs of the task failed or were stuck within
  // WorkerSuspicion::kRetention.
  [[nodiscard]] std::vector<std::string_view> WorkersFailedOn(
      Time now,
      const TaskRef& task) const;

  // Returns and clears the recorded waits of graphs with unplaced tasks. Each
  // graph is recorded at limited intervals only.
  [[nodiscard]] std::vector<PlacementWait> TakeWaits() {
    return std::exchange(waits_, {});
  }

  // Returns and clears the recorded waits of long-running tasks: those that
  // last, at limited intervals for each graph, and those that have ended.
  [[nodiscard]] std::vector<LongRunningWait> TakeLongRunningWaits() {
    return std::exchange(long_running_waits_, {});
  }

  // Returns and clears the events of reservations and cordons.
  [[nodiscard]] Events TakeEvents();

  // Returns the workers that are cordoned for long-running tasks, by id.
  [[nodiscard]] const std::map<std::string, WorkerCordon>& cordons()
      const noexcept {
    return cordons_.cordons();
  }

  // Returns the workers that are reserved for graphs that wait, by id.
  [[nodiscard]] const std::map<std::string, WorkerHold>& holds()
      const noexcept {
    return reservations_.holds();
  }

  // Returns the total time that long-running tasks have waited although there
  // was room for them twice over.
  [[nodiscard]] Duration starved_time() const noexcept { return starved_time_; }

  // Sets the free capacity that long-running tasks leave on each worker. One
  // that has waited for kMaxLongRunningWait takes it if the free capacity holds
  // the task twice.
  void KeepHeadroom(HeadroomByService headroom) {
    headroom_ = std::move(headroom);
  }

  // Returns and clears the urgent tasks that found no worker in the last pass
  // for lack of processors or memory: of priority 0, neither long-running nor
  // best-effort. Of a step there may be only the first ones.
  [[nodiscard]] std::vector<TaskRef> TakeUnfit() {
    return std::exchange(unfit_, {});
  }

  // Drops the avoided workers of a task that is done.
  void Forget(const TaskRef& task) { avoided_.erase(task); }

 private:
  // The last reason for which a task avoids a worker.
  struct Avoidance {
    AvoidReason reason;
    Time at;
  };

  // Distribution of the running tasks of one step.
  struct StepDistribution {
    // Number of tasks by worker.
    std::map<std::string, int> tasks;
    // Rack of one of the tasks; empty if none runs.
    std::string rack;
  };

  // Where a task may be placed. Suspects start one after the other on workers
  // of their own; after a wait they take the worker that was reserved for them,
  // and a gang with suspects any workers.
  enum class Isolation : std::uint8_t {
    kNone,
    kOwnWorker,
    kReservedWorker,
    kAnyWorker,
  };

  // A task that needs a worker, and what restricts the choice.
  struct TaskRequest {
    const Graph& graph;
    const TaskRef& task;
    const StepSpec& step;
    Isolation isolation;
    const StepDistribution& distribution;
    // Whether waivable exclusions only order the choice.
    bool is_overdue = false;
    // Whether the step waits for no other task without a worker.
    bool is_one_left = false;
  };

  // What the tasks co-located on a worker make of it for a step.
  struct Colocation {
    // Smaller is better.
    int rank = 0;
    // Whether all latency-sensitive tasks there are expected to keep their
    // targets.
    bool is_suitable = true;
  };

  // A worker's suitability for a task.
  struct Assessment {
    Exclusion exclusion = Exclusion::kNone;
    // Smaller is better.
    int colocation_rank = 0;
  };

  // The outcome of the search for a worker.
  struct Search {
    // The preferred worker; null if none is suitable.
    CandidateWorker* best = nullptr;
    // Number of rejected workers, by exclusion.
    std::array<int, kExclusionCount> rejected{};
    // Number of times that the task fits on the workers without a binding
    // exclusion.
    std::int64_t room = 0;

    // Whether the task found no worker and at least one lacks only processors
    // or memory, as far as the search has looked.
    [[nodiscard]] bool lacks_room() const noexcept {
      return best == nullptr &&
             rejected[static_cast<std::size_t>(Exclusion::kUnfit)] > 0;
    }
  };

  // Places the suspects that are ready and reserves a worker of each pool for
  // those that wait.
  void PlaceSuspects(WallMillis wall,
                     const GraphTable& table,
                     std::vector<RunPlacement>& placements);
  // Reserves a worker for a suspect unless one that can run it is reserved: of
  // those that can, one with room and the fewest runs. It gets other runs only
  // if no other worker of its pool does. An overdue suspect takes a worker that
  // is suspected of failing its runs, too.
  void ReserveWorker(const Graph& graph,
                     const StepSpec& step,
                     const StepDistribution& distribution,
                     bool is_overdue);
  // Whether a worker runs as many tasks of a step as the step allows.
  [[nodiscard]] static bool IsAtLimit(const StepSpec& step,
                                      const StepDistribution& distribution,
                                      const WorkerInfo& info);
  // Whether a long-running task has been ready for so long that it must be
  // placed on any worker that can run it. Starts its wait if it is new.
  [[nodiscard]] bool IsOverdue(const TaskRef& ref, const StepSpec& step);
  // Returns the isolation of a task's next run.
  [[nodiscard]] Isolation IsolationOf(const TaskRef& ref,
                                      const TaskProgress& task);
  // Returns the isolation of a gang's next run, which has one trial for all its
  // members.
  [[nodiscard]] Isolation GangIsolation(const TaskRef& first,
                                        const StepProgress& progress);
  [[nodiscard]] StepDistribution DistributionOf(
      const StepProgress& progress) const;
  void PlaceGraph(WallMillis wall,
                  const std::string& id,
                  const Graph& graph,
                  std::vector<RunPlacement>& placements);
  void PlaceStep(const Graph& graph,
                 const TaskRef& first,
                 const StepProgress& progress,
                 std::vector<RunPlacement>& placements);
  // Places all tasks of a gang or none.
  void PlaceGang(const Graph& graph,
                 const TaskRef& first,
                 const StepProgress& progress,
                 std::vector<RunPlacement>& placements);
  // Places one task on the best worker for it; returns nothing if no worker is
  // suitable. Doesn't mark the worker as one with a trial.
  [[nodiscard]] std::optional<RunPlacement> PlaceTask(
      const Graph& graph,
      const TaskRef& task,
      const StepSpec& step,
      std::int64_t run,
      Isolation isolation,
      bool is_overdue,
      StepDistribution& distribution,
      bool is_one_left = false);
  // Keeps other starts from the workers of suspects that were placed.
  void MarkTrials(std::span<const RunPlacement> placed);
  [[nodiscard]] Search FindWorker(const TaskRequest& request);
  // Ranks a worker by the reasons to avoid it; recent ones count most.
  [[nodiscard]] int AvoidanceRank(
      const std::map<std::string, Avoidance>& avoided,
      const std::string& worker) const;
  [[nodiscard]] Assessment Assess(const TaskRequest& request,
                                  const CandidateWorker& candidate) const;
  // Returns whether a task may be placed on a worker as far as suspects go.
  [[nodiscard]] static bool IsAllowed(const CandidateWorker& candidate,
                                      Isolation isolation);
  // Whether a best-effort task has to leave a worker to the graph that it is
  // reserved for. One whose graph is relaxed doesn't, so that nothing stalls.
  [[nodiscard]] bool IsHeldBack(const TaskRequest& request,
                                const CandidateWorker& candidate) const;
  // Whether a worker is cordoned for another graph.
  [[nodiscard]] static bool IsCordoned(const TaskRequest& request,
                                       const CandidateWorker& candidate);
  // Cordons a worker for an overdue long-running task that has no room.
  void CordonFor(const TaskRequest& request);
  // Reserves workers for the step of the first task that found none.
  void ReserveAhead(const GraphTable& table,
                    const std::map<std::string, GraphWorkerView>& views);
  void RecordWait(const TaskRequest& request, const Search& search);
  // Whether a long-running task would take capacity that is kept for urgent
  // tasks.
  [[nodiscard]] bool TakesHeadroom(const TaskRequest& request,
                                   const CandidateWorker& candidate) const;
  // Records the wait of a long-running task and counts it as starved if it goes
  // on in spite of room.
  void RecordLongRunningWait(const TaskRequest& request, const Search& search);
  // Deducts a placed task from the worker's free capacity.
  void Reserve(CandidateWorker& candidate,
               const TaskRef& task,
               const StepSpec& step);

  // Rates a worker for a step by the tasks co-located there.
  [[nodiscard]] Colocation ColocationOf(const CandidateWorker& candidate,
                                        const StepSpec& step) const;
  SchedulingPolicy policy_;
  Time now_;
  const InterferenceModel* model_ = nullptr;
  std::map<std::string, CandidateWorker> candidates_;
  BestEffortDemand demand_;
  RunTimeEstimates run_times_;
  Reservations reservations_;
  WorkerCordons cordons_;
  std::map<TaskRef, std::map<std::string, Avoidance>> avoided_;
  // When those of tasks that are gone were last dropped.
  Time avoided_swept_at_;
  // Since when a graph has had unplaced tasks.
  std::map<std::string, Time> waiting_since_;
  // Since when a suspect has had no worker of its own.
  std::map<TaskRef, Time> suspect_waiting_since_;
  // Since when a long-running task has been ready.
  std::map<TaskRef, Time> long_running_since_;
  HeadroomByService headroom_;
  std::vector<TaskRef> unfit_;
  std::vector<PlacementWait> waits_;
  // When a graph's wait was last recorded.
  std::map<std::string, Time> wait_recorded_at_;
  std::vector<LongRunningWait> long_running_waits_;
  // When the wait of a graph's long-running tasks was last recorded.
  std::map<std::string, Time> long_wait_recorded_at_;
  Duration starved_time_{};
  // When workers were last chosen; empty before the first pass.
  std::optional<Time> last_pass_at_;
  // Whether the current graph has waited long enough to be placed without
  // regard to idle CPU time and interference.
  bool is_relaxed_ = false;
  // The current graph's place in the order of service.
  Standing standing_;
  // The first task of the current graph that found no worker.
  std::optional<TaskRef> first_miss_;
  // Number of workers in the current graph's pool.
  std::size_t pool_workers_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_GRAPH_PLACEMENT_H_
