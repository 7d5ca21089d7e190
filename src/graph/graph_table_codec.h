#ifndef BANYAN_SRC_GRAPH_GRAPH_TABLE_CODEC_H_
#define BANYAN_SRC_GRAPH_GRAPH_TABLE_CODEC_H_

// JSON serialization of the graph table for snapshots.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "banyan/graph/graph_table.h"
#include "src/wire/json_types.h"

namespace banyan {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashRecord,
                                   crashes,
                                   at_start,
                                   alone,
                                   unclear,
                                   is_trial_failed,
                                   last_run,
                                   workers)
inline void from_json(const nlohmann::json& json, TaskPhase& value) {
  ReadEnum(json, TaskPhase::kDone, value);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskCopy, run, worker)
inline void to_json(nlohmann::json& json, const TaskProgress& task) {
  json = {task.phase, task.run, task.failures, task.worker, task.checkpoint};
  // Few tasks were ever on a worker that crashed.
  if (task.crashes.last_run > 0 || task.copy.run > 0) {
    json.push_back(task.crashes);
  }
  if (task.copy.run > 0) {
    json.push_back(task.copy);
  }
}
inline void from_json(const nlohmann::json& json, TaskProgress& task) {
  json.at(0).get_to(task.phase);
  json.at(1).get_to(task.run);
  json.at(2).get_to(task.failures);
  json.at(3).get_to(task.worker);
  json.at(4).get_to(task.checkpoint);
  if (json.size() > 5) {
    json.at(5).get_to(task.crashes);
  }
  // Absent in snapshots of earlier versions, and for tasks without a copy.
  if (json.size() > 6) {
    json.at(6).get_to(task.copy);
  }
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GangCheckpoint, value, run, is_final)
inline void to_json(nlohmann::json& json, const StepProgress& step) {
  json = {{"done", step.done},
          {"gang_failures", step.gang_failures},
          {"last_failed_run", step.last_failed_run},
          {"tasks", step.tasks}};
  if (!step.checkpoint.value.empty()) {
    json["checkpoint"] = step.checkpoint;
  }
}
inline void from_json(const nlohmann::json& json, StepProgress& step) {
  json.at("done").get_to(step.done);
  json.at("gang_failures").get_to(step.gang_failures);
  json.at("last_failed_run").get_to(step.last_failed_run);
  json.at("tasks").get_to(step.tasks);
  if (json.contains("checkpoint")) {
    json.at("checkpoint").get_to(step.checkpoint);
  }
}
// Gives each gang of an earlier version's snapshot, in which each member has a
// checkpoint of its own, one of these. That of any member will do.
inline void RestoreGangCheckpoints(Graph& graph) {
  for (OccurrenceProgress& steps : graph.occurrences) {
    const std::size_t count = std::min(steps.size(), graph.spec.steps.size());
    for (std::size_t s = 0; s < count; ++s) {
      const std::vector<TaskProgress>& tasks = steps[s].tasks;
      const auto saved = std::find_if(
          tasks.begin(), tasks.end(),
          [](const auto& task) { return !task.checkpoint.empty(); });
      if (graph.spec.steps[s].gang && steps[s].checkpoint.value.empty() &&
          saved != tasks.end()) {
        steps[s].checkpoint.value = saved->checkpoint;
      }
    }
  }
}
inline void to_json(nlohmann::json& json, const Graph& graph) {
  json = {{"spec", graph.spec},
          {"queue", graph.queue},
          {"state", graph.state},
          {"occurrences", graph.occurrences},
          {"ready", graph.ready},
          {"order", graph.order},
          {"submitted_at", graph.submitted_at},
          {"changed_at", graph.changed_at}};
  if (!graph.failure.empty()) {
    json["failure"] = graph.failure;
  }
  if (graph.state == GraphState::kRunning && !graph.has_begun) {
    json["begun"] = false;
  }
  if (!graph.repeated.empty()) {
    json["repeated"] = graph.repeated;
  }
}
inline void from_json(const nlohmann::json& json, Graph& graph) {
  json.at("spec").get_to(graph.spec);
  json.at("queue").get_to(graph.queue);
  json.at("state").get_to(graph.state);
  json.at("occurrences").get_to(graph.occurrences);
  json.at("ready").get_to(graph.ready);
  json.at("order").get_to(graph.order);
  json.at("submitted_at").get_to(graph.submitted_at);
  json.at("changed_at").get_to(graph.changed_at);
  RestoreGangCheckpoints(graph);
  graph.failure = json.value("failure", "");
  // Both are absent in snapshots of earlier versions.
  graph.has_begun = json.value("begun", graph.state != GraphState::kQueued);
  graph.repeated = json.value("repeated", std::set<RunRef>{});
}
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
            {"evacuation_changes", table.evacuation_changes_},
            {"graphs", table.graphs_},
            {"cancelled_ids", table.cancelled_ids_},
            {"workers", table.workers_},
            {"next_order", table.next_order_}};
  }

  static void FromJson(const nlohmann::json& json, GraphTable& table) {
    json.at("plan").get_to(table.plan_);
    json.at("evacuated").get_to(table.evacuated_);
    // These two are absent in snapshots of earlier versions.
    table.evacuation_changes_ =
        json.value("evacuation_changes", std::uint64_t{0});
    json.at("graphs").get_to(table.graphs_);
    if (json.contains("cancelled_ids")) {
      json.at("cancelled_ids").get_to(table.cancelled_ids_);
    }
    json.at("workers").get_to(table.workers_);
    json.at("next_order").get_to(table.next_order_);
    table.RebuildIndexes();
  }
};

}  // namespace banyan

#endif  // BANYAN_SRC_GRAPH_GRAPH_TABLE_CODEC_H_
