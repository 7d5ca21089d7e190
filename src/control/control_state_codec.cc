// Encoding of the control state in snapshots.

#include <utility>

#include "banyan/control/control_state.h"
#include "src/graph/graph_table_codec.h"
#include "src/wire/json_types.h"

namespace banyan {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Job,
                                   spec,
                                   state,
                                   attempt,
                                   worker,
                                   worker_incarnation,
                                   checkpoint,
                                   cause,
                                   cancelling,
                                   failed_on,
                                   evictions,
                                   order,
                                   submitted_at,
                                   changed_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Claim, digest, view, expires_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Configuration,
                                   version,
                                   active,
                                   presets,
                                   out,
                                   last_command_id,
                                   last_change)

std::string ControlState::Encode() const {
  json instances = json::array();
  json replaced = json::object();
  json crashed_on = json::object();
  for (const auto& [key, job] : jobs_) {
    if (!job.crashed_on.empty()) {
      crashed_on[key] = job.crashed_on;
    }
  }
  for (const auto& [id, instance] : instances_) {
    instances.push_back(instance.info);
    if (!instance.replaced.empty()) {
      replaced[id] = instance.replaced;
    }
  }
  json quotas = json::object();
  for (const auto& [name, team] : teams_) {
    if (team.quota) {
      quotas[name] = *team.quota;
    }
  }
  json remembered = json::object();
  for (const auto& [id, answer] : stored_results_) {
    remembered[id] = {answer.result, answer.expires_at};
  }
  const json value = {{"config", config_},
                      {"jobs", jobs_},
                      {"instances", std::move(instances)},
                      {"replaced", std::move(replaced)},
                      {"crashed_on", std::move(crashed_on)},
                      {"quotas", std::move(quotas)},
                      {"claims", claims_},
                      {"remembered", std::move(remembered)},
                      {"endpoints_version", endpoints_version_},
                      {"next_order", next_order_},
                      {"log_bytes", log_bytes_},
                      {"now", now_},
                      {"graphs", GraphTableCodec::ToJson(graphs_)}};
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

std::optional<ControlState> ControlState::Decode(std::string_view bytes,
                                                 Reason& reason) {
  ControlState state;
  try {
    const json value = ParseCbor(bytes);
    value.at("config").get_to(state.config_);
    value.at("jobs").get_to(state.jobs_);
    value.at("claims").get_to(state.claims_);
    value.at("endpoints_version").get_to(state.endpoints_version_);
    value.at("next_order").get_to(state.next_order_);
    value.at("now").get_to(state.now_);
    // Snapshots written before job graphs were introduced lack this field.
    if (value.contains("graphs")) {
      GraphTableCodec::FromJson(value.at("graphs"), state.graphs_);
    }
    for (const json& info : value.at("instances")) {
      Instance instance;
      info.get_to(instance.info);
      state.instances_.emplace(instance.info.id, instance);
    }
    // Snapshots of earlier builds lack the next three fields.
    if (value.contains("log_bytes")) {
      value.at("log_bytes").get_to(state.log_bytes_);
    }
    if (value.contains("crashed_on")) {
      for (const auto& [key, workers] : value.at("crashed_on").items()) {
        const auto found = state.jobs_.find(key);
        if (found != state.jobs_.end()) {
          workers.get_to(found->second.crashed_on);
        }
      }
    }
    if (value.contains("replaced")) {
      for (const auto& [id, incarnations] : value.at("replaced").items()) {
        const auto found = state.instances_.find(id);
        if (found != state.instances_.end()) {
          incarnations.get_to(found->second.replaced);
        }
      }
    }
    for (const auto& [name, quota] : value.at("quotas").items()) {
      state.teams_[name].quota = quota.get<Resources>();
    }
    for (const auto& [id, answer] : value.at("remembered").items()) {
      StoredResult& remembered = state.stored_results_[id];
      answer.at(0).get_to(remembered.result);
      answer.at(1).get_to(remembered.expires_at);
    }
  } catch (const InvalidValueError& error) {
    reason = {ErrorKind::kCorruptLog, error.what(), {}};
    return std::nullopt;
  } catch (const json::exception& error) {
    reason = {ErrorKind::kCorruptLog, error.what(), {}};
    return std::nullopt;
  }
  state.RebuildIndexes();
  return state;
}

void ControlState::RebuildIndexes() {
  for (auto& [key, job] : jobs_) {
    if (job.state == JobState::kQueued) {
      Enqueue(key, job);
    } else if (job.state == JobState::kPlaced) {
      const auto instance = instances_.find(job.worker);
      if (instance != instances_.end()) {
        instance->second.jobs.insert(key);
        instance->second.committed += job.spec.needs;
      }
      teams_[job.spec.team].used += job.spec.needs;
    } else {
      job_expiry_.emplace(job.changed_at + kJobRetentionMs, key);
    }
  }
  for (const auto& [key, claim] : claims_) {
    claim_expiry_.emplace(claim.expires_at, key);
  }
  for (const auto& [id, answer] : stored_results_) {
    stored_result_expiry_.emplace(answer.expires_at, id);
  }
}

}  // namespace banyan
