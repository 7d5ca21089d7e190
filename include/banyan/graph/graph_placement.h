#ifndef BANYAN_GRAPH_GRAPH_PLACEMENT_H_
#define BANYAN_GRAPH_GRAPH_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/candidate_worker.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"
#include "banyan/graph/placement_wait.h"
#include "banyan/graph/worker_view.h"
#include "banyan/settings/scheduling_policy.h"

namespace banyan {

// Returns processor time, in thousandths, in parts of what the worker has.
[[nodiscard]] double CpuFraction(const GraphWorker& worker,
                                 std::int64_t cpu_millis) noexcept;

// The share, in percent, at which a best-effort task starts where it is open
// whether its image interferes.
inline constexpr std::int64_t kExplorationPercent = 50;

// Chooses which ready tasks start where. Deterministic; knows no clocks but
// those it is given.
class GraphPlacement {
 public:
  explicit GraphPlacement(SchedulingPolicy policy) : policy_(policy) {}

  // Returns the placements to propose, most urgent first.
  [[nodiscard]] std::vector<RunPlacement> Choose(
      Time now,
      WallMillis wall,
      const GraphTable& table,
      const std::map<std::string, GraphWorkerView>& views,
      const InterferenceModel& model);

  // Learns that a run of the task did not do well on the worker.
  void Avoid(const TaskRef& task, const std::string& worker);

  // The graphs that the last pass left waiting, at most once in a while each.
  [[nodiscard]] std::vector<PlacementWait> TakeWaits() {
    return std::exchange(waits_, {});
  }

  // Forgets what was learned of a task that is done.
  void Forget(const TaskRef& task) { avoided_.erase(task); }

 private:
  // Where the tasks of one step run.
  struct StepDistribution {
    // Tasks by worker.
    std::map<std::string, int> tasks;
    std::string rack;
  };

  // Where the tasks of a step that run do so.
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
  void PlaceGang(const Graph& graph,
                 const TaskRef& first,
                 const StepProgress& progress,
                 std::vector<RunPlacement>& placements);
  // Places one task in the best room for it; nothing when there is none.
  [[nodiscard]] std::optional<RunPlacement> PlaceTask(
      const Graph& graph,
      const TaskRef& task,
      const StepSpec& step,
      std::int64_t run,
      StepDistribution& distribution);
  [[nodiscard]] CandidateWorker* BestCandidate(
      const Graph& graph,
      const TaskRef& task,
      const StepSpec& step,
      const StepDistribution& distribution,
      PlacementWait& wait);
  void RecordWait(PlacementWait wait);
  // Counts a task that runs on the worker among the company of others.
  void AddColocated(CandidateWorker& candidate,
                    const TaskRef& task,
                    const StepSpec& step) const;
  void Reserve(CandidateWorker& candidate,
               const TaskRef& task,
               const StepSpec& step) const;

  // How little a worker suits a step for the company there; smaller is better,
  // nothing when it does not suit at all.
  [[nodiscard]] std::optional<int> ColocationRank(
      const CandidateWorker& candidate,
      const StepSpec& step) const;
  // Whether it is open what a best-effort image does to what is served here.
  [[nodiscard]] bool IsUncertain(const CandidateWorker& candidate,
                                 const std::string& image) const;

  SchedulingPolicy policy_;
  Time now_;
  const InterferenceModel* model_ = nullptr;
  std::map<std::string, CandidateWorker> candidates_;
  std::map<TaskRef, std::set<std::string>> avoided_;
  // Since when a graph has had tasks that were not placed.
  std::map<std::string, Time> waiting_since_;
  std::vector<PlacementWait> waits_;
  // When a graph's wait was noted last.
  std::map<std::string, Time> wait_recorded_at_;
  // Whether the graph at hand waited so long that any room will do, and the
  // workers of its pool.
  bool is_relaxed_ = false;
  std::size_t pool_workers_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_GRAPH_PLACEMENT_H_
