#ifndef BANYAN_SRC_GRAPH_GRAPH_TABLE_CODEC_H_
#define BANYAN_SRC_GRAPH_GRAPH_TABLE_CODEC_H_

// JSON serialization of the graph table for snapshots.

#include <nlohmann/json.hpp>

#include "banyan/graph/graph_table.h"
#include "src/wire/json_types.h"

namespace banyan {

inline void to_json(nlohmann::json& json, const TaskProgress& task) {
  json = {task.phase, task.run, task.failures, task.worker, task.checkpoint};
}
inline void from_json(const nlohmann::json& json, TaskProgress& task) {
  json.at(0).get_to(task.phase);
  json.at(1).get_to(task.run);
  json.at(2).get_to(task.failures);
  json.at(3).get_to(task.worker);
  json.at(4).get_to(task.checkpoint);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StepProgress,
                                   done,
                                   gang_failures,
                                   last_failed_run,
                                   tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Graph,
                                   spec,
                                   queue,
                                   state,
                                   occurrences,
                                   ready,
                                   order,
                                   submitted_at,
                                   changed_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GraphWorker,
                                   info,
                                   agent,
                                   noted,
                                   committed,
                                   fill_cpu_millis,
                                   runs)

// Converts a table's primary fields; derived indexes are rebuilt on reading.
struct GraphTableCodec {
  static nlohmann::json ToJson(const GraphTable& table) {
    return {{"plan", table.plan_},
            {"evacuated", table.evacuated_},
            {"graphs", table.graphs_},
            {"workers", table.workers_},
            {"next_order", table.next_order_}};
  }

  static void FromJson(const nlohmann::json& json, GraphTable& table) {
    json.at("plan").get_to(table.plan_);
    json.at("evacuated").get_to(table.evacuated_);
    json.at("graphs").get_to(table.graphs_);
    json.at("workers").get_to(table.workers_);
    json.at("next_order").get_to(table.next_order_);
    table.RebuildIndexes();
  }
};

}  // namespace banyan

#endif  // BANYAN_SRC_GRAPH_GRAPH_TABLE_CODEC_H_
