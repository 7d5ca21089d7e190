#ifndef BANYAN_SRC_WIRE_JSON_TYPES_H_
#define BANYAN_SRC_WIRE_JSON_TYPES_H_

// JSON conversions of the wire types, shared by the codec, the snapshots and
// the operator API. A struct maps to an object keyed by field name.

#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <variant>

#include "banyan/wire/command.h"
#include "banyan/wire/graph.h"
#include "banyan/wire/instance.h"
#include "banyan/wire/job.h"
#include "banyan/wire/message.h"
#include "banyan/wire/preset.h"
#include "src/wire/cbor.h"
#include "src/wire/graph_json.h"

namespace banyan {

inline void from_json(const nlohmann::json& json, ErrorKind& value) {
  ReadEnum(json, ErrorKind::kInternal, value);
}
inline void from_json(const nlohmann::json& json, RequestOutcome& value) {
  ReadEnum(json, RequestOutcome::kUnknown, value);
}
inline void from_json(const nlohmann::json& json, ClaimEnd& value) {
  ReadEnum(json, ClaimEnd::kUnknown, value);
}
inline void from_json(const nlohmann::json& json, ClaimState& value) {
  ReadEnum(json, ClaimState::kUnknown, value);
}
inline void from_json(const nlohmann::json& json, InstanceRole& value) {
  ReadEnum(json, InstanceRole::kWorker, value);
}
inline void from_json(const nlohmann::json& json, JobState& value) {
  ReadEnum(json, JobState::kCancelled, value);
}
inline void from_json(const nlohmann::json& json, TaskEnd& value) {
  ReadEnum(json, TaskEnd::kWorkerCrashed, value);
}
inline void from_json(const nlohmann::json& json, EntryKind& value) {
  ReadEnum(json, EntryKind::kMembership, value);
}
inline void from_json(const nlohmann::json& json, TombstoneVerdict& value) {
  ReadEnum(json, TombstoneVerdict::kUnknown, value);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Preset,
                                                request_timeout_ms,
                                                retry_budget_percent,
                                                hedge_budget_percent,
                                                hedge_quantile_percent,
                                                eject_after_failures,
                                                eject_max_percent,
                                                eject_rest_ms,
                                                batch_cpu_ceiling_percent,
                                                service_headroom_percent,
                                                pressure_percent,
                                                evict_cooldown_ms,
                                                starts_per_second,
                                                batch_enabled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSpec,
                                   team,
                                   kind,
                                   needs,
                                   urgent,
                                   declared_run_ms,
                                   payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskId, job, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InstanceInfo,
                                   id,
                                   incarnation,
                                   role,
                                   data_centre,
                                   rack,
                                   address,
                                   service,
                                   host,
                                   slots,
                                   connections,
                                   capacity,
                                   leaving)

inline void to_json(nlohmann::json& json, const NoOp& /*command*/) {
  json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json& /*json*/, NoOp& /*command*/) {}
inline void to_json(nlohmann::json& json, const PeerHello& /*hello*/) {
  json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json& /*json*/, PeerHello& /*hello*/) {}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CreatePreset, name, preset, expected_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ActivatePreset, name, expected_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetDataCentre,
                                   data_centre,
                                   out,
                                   expected_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetTeam, team, quota, expected_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitJob, key, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelJob, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisterInstance, info, running)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveInstance, id, incarnation, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceTask, task, worker, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndTask, task, end, checkpoint, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OpenClaim,
                                   key,
                                   digest,
                                   agent,
                                   agent_incarnation,
                                   expected_attempt,
                                   expires_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndClaim,
                                   key,
                                   attempt,
                                   end,
                                   status,
                                   content_type,
                                   body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimView,
                                   state,
                                   granted,
                                   attempt,
                                   agent,
                                   agent_incarnation,
                                   status,
                                   content_type,
                                   body)
inline void to_json(nlohmann::json& json, const CommandResult& result) {
  json = {{"ok", result.ok},       {"error", result.error},
          {"text", result.text},   {"version", result.version},
          {"claim", result.claim}, {"retry_after_ms", result.retry_after_ms}};
  if (!result.failure.empty()) {
    json["failure"] = result.failure;
  }
}
inline void from_json(const nlohmann::json& json, CommandResult& result) {
  json.at("ok").get_to(result.ok);
  json.at("error").get_to(result.error);
  json.at("text").get_to(result.text);
  json.at("version").get_to(result.version);
  json.at("claim").get_to(result.claim);
  json.at("retry_after_ms").get_to(result.retry_after_ms);
  result.failure = json.value("failure", "");
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberId, id, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Membership, voters, learners)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogEntry, term, index, kind, data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoteRequest,
                                   target,
                                   term,
                                   pre_vote,
                                   transfer,
                                   last_index,
                                   last_term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoteReply, term, pre_vote, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AppendRequest,
                                   target,
                                   term,
                                   prev_index,
                                   prev_term,
                                   commit,
                                   round,
                                   entries)
inline void to_json(nlohmann::json& json, const AppendReply& reply) {
  json = {{"term", reply.term},
          {"success", reply.success},
          {"match_index", reply.match_index},
          {"prev_index", reply.prev_index},
          {"round", reply.round}};
  if (reply.leaving) {
    json["leaving"] = true;
  }
}
inline void from_json(const nlohmann::json& json, AppendReply& reply) {
  json.at("term").get_to(reply.term);
  json.at("success").get_to(reply.success);
  json.at("match_index").get_to(reply.match_index);
  json.at("prev_index").get_to(reply.prev_index);
  json.at("round").get_to(reply.round);
  reply.leaving = json.value("leaving", false);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InstallSnapshot,
                                   target,
                                   term,
                                   last_index,
                                   last_term,
                                   round,
                                   membership,
                                   state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TimeoutNow, term)
inline void to_json(nlohmann::json& json, const JoinRequest& request) {
  json = {{"empty", request.empty}, {"seen", request.seen}};
  if (!request.requester.id.empty()) {
    json["requester"] = request.requester;
  }
}
inline void from_json(const nlohmann::json& json, JoinRequest& request) {
  json.at("empty").get_to(request.empty);
  json.at("seen").get_to(request.seen);
  request.requester = json.value("requester", MemberId{});
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AgentHello, info, running)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskUsage, task, cpu_millis, memory_mib)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat,
                                   seq,
                                   config_version,
                                   leaving,
                                   cpu_percent,
                                   latency_us,
                                   usage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeartbeatAck,
                                   seq,
                                   registered,
                                   data_centre_out,
                                   config_version,
                                   lease_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartTask,
                                   task,
                                   incarnation,
                                   spec,
                                   checkpoint,
                                   config_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopTask, task, checkpoint, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ThrottleTask, task, percent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskReport, task, end, checkpoint, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskReportAck, task)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryHeartbeat,
                                   seq,
                                   config_version,
                                   table_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryHeartbeatAck, seq, fresh)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndpointTable,
                                   version,
                                   full,
                                   changed,
                                   removed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigUpdate,
                                   version,
                                   preset_name,
                                   preset,
                                   out)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayItem, peer, incarnation, frame)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayUp, items)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayDown, items)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Dispatch,
                                   seq,
                                   agent_incarnation,
                                   method,
                                   path,
                                   content_type,
                                   body,
                                   budget_ms,
                                   claim_key,
                                   attempt,
                                   config_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DispatchReply,
                                   seq,
                                   outcome,
                                   error,
                                   status,
                                   content_type,
                                   body,
                                   in_flight,
                                   queued,
                                   config_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelDispatch, seq)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TombstoneRequest,
                                   seq,
                                   agent_incarnation,
                                   claim_key,
                                   attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TombstoneReply,
                                   seq,
                                   verdict,
                                   status,
                                   content_type,
                                   body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Sender, id, incarnation)

// Thrown when a type name matches no alternative of the variant.
struct UnknownTypeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Converts a variant to [type name, fields].
template <typename... Ts>
[[nodiscard]] nlohmann::json VariantToJson(const std::variant<Ts...>& value) {
  return std::visit(
      [](const auto& alternative) {
        using T = std::decay_t<decltype(alternative)>;
        return nlohmann::json::array({T::kType, alternative});
      },
      value);
}

// Reads a variant written by VariantToJson. Throws UnknownTypeError for an
// unknown type name and nlohmann::json::exception for malformed input.
template <typename... Ts>
void VariantFromJson(const nlohmann::json& json, std::variant<Ts...>& value) {
  const auto& name = json.at(0).get_ref<const std::string&>();
  const bool found =
      ((name == Ts::kType ? (value = json.at(1).template get<Ts>(), true)
                          : false) ||
       ...);
  if (!found) {
    throw UnknownTypeError("unknown type '" + name + "'");
  }
}

inline void to_json(nlohmann::json& json, const LoggedCommand& command) {
  json = {command.command_id, command.proposed_at,
          VariantToJson(command.command)};
}
inline void from_json(const nlohmann::json& json, LoggedCommand& command) {
  json.at(0).get_to(command.command_id);
  json.at(1).get_to(command.proposed_at);
  VariantFromJson(json.at(2), command.command);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CommandRequest, seq, command)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CommandReply, seq, result)

}  // namespace banyan

#endif  // BANYAN_SRC_WIRE_JSON_TYPES_H_
