#ifndef BANYAN_SRC_WIRE_GRAPH_JSON_H_
#define BANYAN_SRC_WIRE_GRAPH_JSON_H_

// JSON serialization of job graphs and of messages about them. Types that occur
// in large numbers become arrays, other types objects with named fields.

#include <nlohmann/json.hpp>
#include <string>

#include "banyan/wire/graph.h"
#include "src/wire/cbor.h"

namespace banyan {

inline void from_json(const nlohmann::json& json, RunEndReason& value) {
  ReadEnum(json, RunEndReason::kWorkerLost, value);
}
inline void from_json(const nlohmann::json& json, CrashEvidence& value) {
  ReadEnum(json, CrashEvidence::kAtWork, value);
}
inline void from_json(const nlohmann::json& json, GraphState& value) {
  ReadEnum(json, GraphState::kCancelled, value);
}
inline void from_json(const nlohmann::json& json, CellQueryKind& value) {
  ReadEnum(json, CellQueryKind::kEvacuations, value);
}

inline void from_json(const nlohmann::json& json, PlanDelivery& value) {
  ReadEnum(json, PlanDelivery::kNone, value);
}

inline void to_json(nlohmann::json& json, const Resources& r) {
  json = {{"cpu_millis", r.cpu_millis},
          {"memory_mib", r.memory_mib},
          {"accelerators", r.accelerators}};
}
inline void from_json(const nlohmann::json& json, Resources& r) {
  json.at("cpu_millis").get_to(r.cpu_millis);
  json.at("memory_mib").get_to(r.memory_mib);
  json.at("accelerators").get_to(r.accelerators);
}

inline void to_json(nlohmann::json& json, const StepSpec& step) {
  json = {step.count,
          step.needs.cpu_millis,
          step.needs.memory_mib,
          step.needs.accelerators,
          step.estimate_ms,
          step.depends_on,
          step.checkpointing,
          step.gang,
          step.rack_local,
          step.speculative,
          step.long_running,
          step.best_effort,
          step.required_label,
          step.data_rack,
          step.image,
          step.per_worker_limit,
          step.latency_target_ms,
          step.max_unavailable ? nlohmann::json(*step.max_unavailable)
                               : nlohmann::json()};
}
inline void from_json(const nlohmann::json& json, StepSpec& step) {
  std::size_t i = 0;
  const auto next = [&](auto& field) { json.at(i++).get_to(field); };
  next(step.count);
  next(step.needs.cpu_millis);
  next(step.needs.memory_mib);
  next(step.needs.accelerators);
  next(step.estimate_ms);
  next(step.depends_on);
  next(step.checkpointing);
  next(step.gang);
  next(step.rack_local);
  next(step.speculative);
  next(step.long_running);
  next(step.best_effort);
  next(step.required_label);
  next(step.data_rack);
  next(step.image);
  next(step.per_worker_limit);
  next(step.latency_target_ms);
  const nlohmann::json& max_unavailable = json.at(i);
  if (!max_unavailable.is_null()) {
    step.max_unavailable = max_unavailable.get<std::int64_t>();
  }
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GraphSpec,
                                   queue,
                                   payload,
                                   steps,
                                   occurrences,
                                   first_due_at,
                                   interval_ms)

inline void to_json(nlohmann::json& json, const RunRef& run) {
  json = {run.task.graph, run.task.occurrence, run.task.step, run.task.index,
          run.run};
}
inline void from_json(const nlohmann::json& json, RunRef& run) {
  json.at(0).get_to(run.task.graph);
  json.at(1).get_to(run.task.occurrence);
  json.at(2).get_to(run.task.step);
  json.at(3).get_to(run.task.index);
  json.at(4).get_to(run.run);
}
inline void to_json(nlohmann::json& json, const WorkerIncarnation& life) {
  json = {life.id, life.started_at_ms};
}
inline void from_json(const nlohmann::json& json, WorkerIncarnation& life) {
  json.at(0).get_to(life.id);
  json.at(1).get_to(life.started_at_ms);
}
inline void to_json(nlohmann::json& json, const RunStatus& row) {
  json = {row.run, row.checkpoint, row.percent, row.measurement};
}
inline void from_json(const nlohmann::json& json, RunStatus& row) {
  json.at(0).get_to(row.run);
  json.at(1).get_to(row.checkpoint);
  json.at(2).get_to(row.percent);
  json.at(3).get_to(row.measurement);
}
inline void to_json(nlohmann::json& json, const EndedRun& row) {
  json = {row.number, row.run, row.reason, row.checkpoint};
}
inline void from_json(const nlohmann::json& json, EndedRun& row) {
  json.at(0).get_to(row.number);
  json.at(1).get_to(row.run);
  json.at(2).get_to(row.reason);
  json.at(3).get_to(row.checkpoint);
}
inline void to_json(nlohmann::json& json, const RunCrash& crash) {
  json = {crash.run, crash.evidence};
}
inline void from_json(const nlohmann::json& json, RunCrash& crash) {
  json.at(0).get_to(crash.run);
  json.at(1).get_to(crash.evidence);
}
inline void to_json(nlohmann::json& json, const RunPlacement& placement) {
  json = {placement.run, placement.worker};
}
inline void from_json(const nlohmann::json& json, RunPlacement& placement) {
  json.at(0).get_to(placement.run);
  json.at(1).get_to(placement.worker);
}
inline void to_json(nlohmann::json& json, const RunStart& start) {
  json = {start.run, start.payload, start.checkpoint, start.percent};
  if (start.is_trial) {
    json.push_back(true);
  }
}
inline void from_json(const nlohmann::json& json, RunStart& start) {
  json.at(0).get_to(start.run);
  json.at(1).get_to(start.payload);
  json.at(2).get_to(start.checkpoint);
  json.at(3).get_to(start.percent);
  start.is_trial = json.size() > 4 && json.at(4).get<bool>();
}
inline void to_json(nlohmann::json& json, const RunThrottle& pace) {
  json = {pace.run, pace.percent};
}
inline void from_json(const nlohmann::json& json, RunThrottle& pace) {
  json.at(0).get_to(pace.run);
  json.at(1).get_to(pace.percent);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerInfo,
                                   life,
                                   service,
                                   data_centre,
                                   rack,
                                   labels,
                                   capacity,
                                   draining,
                                   remaining_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QueueSpec,
                                   name,
                                   host,
                                   path_prefix,
                                   service,
                                   timeout_ms,
                                   slo_ms,
                                   stretch,
                                   priority,
                                   max_attempts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PoolSpec, name, rejects_overload, spare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestLimits,
                                   max_header_bytes,
                                   max_body_bytes,
                                   header_timeout_ms,
                                   idle_timeout_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServicePlan,
                                   version,
                                   queues,
                                   pools,
                                   limits,
                                   document)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InstallPlan, plan)
inline void to_json(nlohmann::json& json, const SetEvacuated& command) {
  json = {{"data_centre", command.data_centre},
          {"evacuated", command.evacuated}};
  if (command.expected_changes) {
    json["expected_changes"] = *command.expected_changes;
  }
}
inline void from_json(const nlohmann::json& json, SetEvacuated& command) {
  json.at("data_centre").get_to(command.data_centre);
  json.at("evacuated").get_to(command.evacuated);
  if (json.contains("expected_changes")) {
    command.expected_changes = json.at("expected_changes").get<std::uint64_t>();
  }
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitGraph, id, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelGraph, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdmitWorker, info, agent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DropWorker, life, cause, last_seen)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceRuns, runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceCopies, runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndRuns, worker, rows)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordCrashes, worker, rows)
inline void to_json(nlohmann::json& json, const WorkerSync& sync) {
  json = {{"seq", sync.seq},
          {"info", sync.info},
          {"reachable", sync.reachable},
          {"gone", sync.gone},
          {"lists", sync.lists},
          {"running", sync.running},
          {"ended", sync.ended},
          {"starting", sync.starting}};
  if (!sync.survived.empty()) {
    json["survived"] = sync.survived;
  }
  if (!sync.crashed.empty()) {
    json["crashed"] = sync.crashed;
  }
  if (sync.answered_token) {
    json["answered_token"] = *sync.answered_token;
  }
  if (sync.may_hold_lease) {
    json["may_hold_lease"] = *sync.may_hold_lease;
  }
}
inline void from_json(const nlohmann::json& json, WorkerSync& sync) {
  json.at("seq").get_to(sync.seq);
  json.at("info").get_to(sync.info);
  json.at("reachable").get_to(sync.reachable);
  json.at("gone").get_to(sync.gone);
  json.at("lists").get_to(sync.lists);
  json.at("running").get_to(sync.running);
  json.at("ended").get_to(sync.ended);
  json.at("starting").get_to(sync.starting);
  sync.survived = json.value("survived", std::vector<RunRef>{});
  sync.crashed = json.value("crashed", std::vector<RunCrash>{});
  if (json.contains("answered_token")) {
    sync.answered_token = json.at("answered_token").get<std::uint64_t>();
  }
  if (json.contains("may_hold_lease")) {
    sync.may_hold_lease = json.at("may_hold_lease").get<bool>();
  }
}
inline void to_json(nlohmann::json& json, const WorkerOrders& orders) {
  json = {{"seq", orders.seq},
          {"worker", orders.worker},
          {"fencing_token", orders.fencing_token},
          {"incarnation_number", orders.incarnation_number},
          {"lease_ms", orders.lease_ms},
          {"noted", orders.noted},
          {"starts", orders.starts},
          {"stops", orders.stops},
          {"paces", orders.paces}};
  if (orders.must_fence) {
    json["must_fence"] = true;
  }
}
inline void from_json(const nlohmann::json& json, WorkerOrders& orders) {
  json.at("seq").get_to(orders.seq);
  json.at("worker").get_to(orders.worker);
  json.at("fencing_token").get_to(orders.fencing_token);
  json.at("lease_ms").get_to(orders.lease_ms);
  json.at("noted").get_to(orders.noted);
  json.at("starts").get_to(orders.starts);
  json.at("stops").get_to(orders.stops);
  json.at("paces").get_to(orders.paces);
  orders.incarnation_number =
      json.value("incarnation_number", std::uint64_t{0});
  orders.must_fence = json.value("must_fence", false);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellQuery, seq, kind, key)
inline void to_json(nlohmann::json& json, const EntryStatus& status) {
  json = {{"seq", status.seq},
          {"plan_version", status.plan_version},
          {"delivery", status.delivery}};
}
inline void from_json(const nlohmann::json& json, EntryStatus& status) {
  json.at("seq").get_to(status.seq);
  json.at("plan_version").get_to(status.plan_version);
  if (json.contains("delivery")) {
    json.at("delivery").get_to(status.delivery);
  }
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryStatusAck, seq, fresh)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlanUpdate, plan)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlanOffer, version, missing)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlanRequest, version, offset, length)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlanPart,
                                   version,
                                   size,
                                   checksum,
                                   offset,
                                   bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellMembers, addresses)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellReferral, addresses)

}  // namespace banyan

#endif  // BANYAN_SRC_WIRE_GRAPH_JSON_H_
