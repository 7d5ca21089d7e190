// The count of graphs that wait for their first run.

#include <set>

#include "banyan/graph/graph_leader.h"

namespace banyan {

std::int64_t GraphLeader::PendingGraphCount(const GraphTable& table,
                                            std::string_view queue) const {
  std::set<std::string_view> listed;
  for (const auto& [id, view] : views_) {
    for (const auto& [run, seen] : view.runs) {
      const std::string& graph = run.task.graph;
      if (table.unconfirmed_graphs().contains(graph) &&
          table.FindGraph(graph)->queue.name == queue) {
        listed.insert(graph);
      }
    }
  }
  return table.PendingGraphCount(queue) -
         static_cast<std::int64_t>(listed.size());
}

}  // namespace banyan
