#include "banyan/graph/placement_order.h"

#include <algorithm>

#include "banyan/graph/backlog.h"

namespace banyan {
namespace {

// Lower bound of the part of its CPU time that a pool gives to best-effort
// tasks in the forecast: the number that run says little about the number that
// could.
constexpr double kMinDrainFraction = 0.15;

// Whether any step of a graph is best-effort.
bool IsBestEffort(const Graph& graph) {
  return std::any_of(graph.spec.steps.begin(), graph.spec.steps.end(),
                     [](const StepSpec& step) { return step.best_effort; });
}

// Moves a quick graph of priority 0 ahead of long-running ones in a pool that
// is short of room, and ahead of equally feasible ones after its objective.
// Late best-effort graphs keep their order by remaining work: by age, nearly
// all of them would be late at once.
void Prefer(const Graph& graph,
            bool is_short,
            WallMillis wall,
            Urgency& urgency) {
  if (urgency.feasibility == Feasibility::kLongRunning || IsBestEffort(graph)) {
    return;
  }
  if (wall > urgency.objective_deadline) {
    urgency.overdue_order = urgency.submission_order;
  }
  if (!is_short || urgency.priority != 0) {
    return;
  }
  if (urgency.feasibility == Feasibility::kOnTime) {
    urgency.feasibility = Feasibility::kUrgent;
  } else if (urgency.feasibility == Feasibility::kLate) {
    urgency.feasibility = Feasibility::kUrgentLate;
  }
}

}  // namespace

std::map<std::string_view, PoolUsage> PoolUsages(const GraphTable& table) {
  std::map<std::string_view, PoolUsage> pools;
  for (const auto& [id, worker] : table.workers()) {
    PoolUsage& pool = pools[worker.info.service];
    ++pool.workers;
    pool.capacity += worker.info.capacity.cpu_millis;
    pool.committed += worker.committed.cpu_millis;
    pool.drain_rate +=
        std::max(worker.fill_cpu_millis,
                 static_cast<std::int64_t>(
                     kMinDrainFraction *
                     static_cast<double>(worker.info.capacity.cpu_millis)));
  }
  return pools;
}

std::vector<ReadyGraph> SortReadyGraphs(
    std::vector<ReadyGraph> graphs,
    const std::map<std::string_view, PoolUsage>& pools,
    const SchedulingPolicy& policy,
    WallMillis wall) {
  if (policy.room_for_urgent) {
    for (ReadyGraph& ready : graphs) {
      const auto pool = pools.find(ready.graph->queue.service);
      Prefer(*ready.graph, pool != pools.end() && pool->second.is_short, wall,
             ready.urgency);
    }
  }
  const auto earlier = [](const ReadyGraph& a, const ReadyGraph& b) {
    return a.urgency < b.urgency;
  };
  std::sort(graphs.begin(), graphs.end(), earlier);
  if (!policy.backlog_forecast) {
    return graphs;
  }
  std::map<std::string_view, Backlog> backlogs;
  for (const auto& [service, pool] : pools) {
    backlogs.emplace(service, Backlog(pool.drain_rate));
  }
  for (ReadyGraph& ready : graphs) {
    const auto backlog = backlogs.find(ready.graph->queue.service);
    if (ready.urgency.feasibility == Feasibility::kOnTime &&
        IsBestEffort(*ready.graph) && backlog != backlogs.end() &&
        !backlog->second.TryAdd(ready.urgency, wall)) {
      ready.urgency.feasibility = Feasibility::kLate;
    }
  }
  std::sort(graphs.begin(), graphs.end(), earlier);
  return graphs;
}

}  // namespace banyan
