#ifndef BANYAN_GRAPH_PLACEMENT_ORDER_H_
#define BANYAN_GRAPH_PLACEMENT_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/urgency.h"
#include "banyan/settings/scheduling_policy.h"

namespace banyan {

// A pool counts as busy if at least this part of its CPU time is committed.
// Waiting for a suitable worker is then due to overload, not to starvation.
inline constexpr double kBusyPoolFraction = 0.5;

// The workers of a service, with CPU time in thousandths of a processor.
struct PoolUsage {
  std::size_t workers = 0;
  std::int64_t capacity = 0;
  std::int64_t committed = 0;
  // CPU time that best-effort tasks have, or could have.
  std::int64_t drain_rate = 0;
  // Whether urgent tasks have found no room lately.
  bool is_short = false;

  [[nodiscard]] bool is_busy() const noexcept {
    return static_cast<double>(committed) >=
           kBusyPoolFraction * static_cast<double>(capacity);
  }
};

// Returns the usage of each pool that has workers, by service.
[[nodiscard]] std::map<std::string_view, PoolUsage> PoolUsages(
    const GraphTable& table);

// A graph with ready tasks.
struct ReadyGraph {
  Urgency urgency;
  const std::string* id = nullptr;
  const Graph* graph = nullptr;
};

// Returns the graphs in placement order. With the forecast, best-effort graphs
// that would be late behind others count as late. With room for urgent tasks,
// quick graphs of priority 0 precede long-running ones in a pool that is short
// of room, and quick graphs that have waited for more than their objective
// precede equally feasible ones.
[[nodiscard]] std::vector<ReadyGraph> SortReadyGraphs(
    std::vector<ReadyGraph> graphs,
    const std::map<std::string_view, PoolUsage>& pools,
    const SchedulingPolicy& policy,
    WallMillis wall);

// Returns the graphs with ready tasks in placement order, by their run times
// from a source.
template <RunTimeSource Source = DeclaredRunTimes>
[[nodiscard]] std::vector<ReadyGraph> OrderReadyGraphs(
    const GraphTable& table,
    const std::map<std::string_view, PoolUsage>& pools,
    const SchedulingPolicy& policy,
    WallMillis wall,
    const Source& run_times = {}) {
  std::vector<ReadyGraph> graphs;
  for (const std::string& id : table.ready_graphs()) {
    const auto graph = table.graphs().find(id);
    graphs.push_back({ComputeUrgency(id, graph->second, wall, run_times),
                      &graph->first, &graph->second});
  }
  return SortReadyGraphs(std::move(graphs), pools, policy, wall);
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLACEMENT_ORDER_H_
