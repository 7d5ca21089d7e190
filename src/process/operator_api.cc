#include "banyan/process/operator_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "banyan/control/control_core.h"
#include "src/wire/json_types.h"

namespace banyan {
namespace {

using nlohmann::json;

// Splits a path such as "/v1/presets/peak/activate" at its slashes. Empty parts
// are skipped.
std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  std::string part;
  for (const char c : path) {
    if (c != '/') {
      part += c;
    } else if (!part.empty()) {
      parts.push_back(std::exchange(part, ""));
    }
  }
  if (!part.empty()) {
    parts.push_back(part);
  }
  return parts;
}

// Thrown if a JSON body has a field that the call does not define.
struct UnknownFieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws UnknownFieldError if an object has a field that is not in `known`.
void CheckFields(const json& object, const std::vector<std::string>& known) {
  for (const auto& [key, value] : object.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      throw UnknownFieldError("unknown field '" + key + "'");
    }
  }
}

Resources ReadResources(const json& value) {
  CheckFields(value, {"cpu_millis", "memory_mib", "accelerators"});
  Resources resources;
  resources.cpu_millis = value.value("cpu_millis", std::int64_t{0});
  resources.memory_mib = value.value("memory_mib", std::int64_t{0});
  resources.accelerators = value.value("accelerators", std::int64_t{0});
  return resources;
}

Preset ReadPreset(const json& value) {
  std::vector<std::string> known = {"batch_enabled"};
  for (const ParameterRange& range : kParameterRanges) {
    known.emplace_back(range.name);
  }
  CheckFields(value, known);
  return value.get<Preset>();
}

SubmitJob ReadSubmitJob(const json& value) {
  CheckFields(value, {"key", "team", "kind", "needs", "urgent",
                      "declared_run_ms", "payload"});
  SubmitJob submit;
  value.at("key").get_to(submit.key);
  value.at("team").get_to(submit.spec.team);
  submit.spec.kind = value.value("kind", "default");
  submit.spec.needs = ReadResources(value.at("needs"));
  submit.spec.urgent = value.value("urgent", false);
  submit.spec.declared_run_ms = value.value("declared_run_ms", std::int64_t{0});
  submit.spec.payload = value.value("payload", "");
  return submit;
}

// Parses `body`, an empty one as {}, and applies `read` to it. On an exception
// returns nullopt and sets `reason`.
template <typename T, typename Reader>
std::optional<T> ReadJson(std::string_view body,
                          Reason& reason,
                          const Reader& read) {
  try {
    return read(json::parse(body.empty() ? "{}" : body));
  } catch (const json::exception& error) {
    reason = {ErrorKind::kBadRequest, error.what(), {}};
  } catch (const UnknownFieldError& error) {
    reason = {ErrorKind::kBadRequest, error.what(), {}};
  }
  return std::nullopt;
}

std::optional<Command> ReadCommand(const std::vector<std::string>& parts,
                                   const json& body) {
  const std::string resource = parts.size() > 1 ? parts[1] : "";
  const std::string name = parts.size() > 2 ? parts[2] : "";
  const std::string action = parts.size() > 3 ? parts[3] : "";
  if (resource == "jobs" && name.empty()) {
    return ReadSubmitJob(body);
  }
  if (resource == "jobs" && action == "cancel") {
    return CancelJob{name};
  }
  if (name.empty()) {
    return std::nullopt;
  }
  const auto expected = [&] {
    return body.at("expected_version").get<std::uint64_t>();
  };
  if (resource == "presets" && action.empty()) {
    CheckFields(body, {"expected_version", "command_id", "preset"});
    return CreatePreset{name, ReadPreset(body.at("preset")), expected()};
  }
  if (resource == "presets" && action == "activate") {
    CheckFields(body, {"expected_version", "command_id"});
    return ActivatePreset{name, expected()};
  }
  if (resource == "data-centres" && (action == "out" || action == "in")) {
    CheckFields(body, {"expected_version", "command_id"});
    return SetDataCentre{name, action == "out", expected()};
  }
  if (resource == "teams" && action.empty()) {
    CheckFields(body, {"expected_version", "command_id", "quota"});
    return SetTeam{name, ReadResources(body.at("quota")), expected()};
  }
  return std::nullopt;
}

json JobToJson(const std::string& key, const Job& job) {
  return {{"key", key},
          {"state", ToString(job.state)},
          {"team", job.spec.team},
          {"kind", job.spec.kind},
          {"urgent", job.spec.urgent},
          {"attempt", job.attempt},
          {"worker", job.worker},
          {"checkpoint", job.checkpoint},
          {"evictions", job.evictions},
          {"failures", job.failed_on.size()},
          {"cause", job.cause},
          {"submitted_at_ms", job.submitted_at},
          {"changed_at_ms", job.changed_at}};
}

json ConfigToJson(const Configuration& config) {
  return {{"version", config.version},
          {"active_preset", config.active},
          {"presets", config.presets},
          {"out", config.out},
          {"last_change", config.last_change},
          {"last_command_id", config.last_command_id}};
}

json InstancesToJson(const ControlCore& core) {
  json instances = json::array();
  for (const auto& [id, instance] : core.state().instances()) {
    const InstanceInfo& info = instance.info;
    const auto load = core.scheduler().loads().find(id);
    const bool has_load = load != core.scheduler().loads().end();
    instances.push_back(
        {{"id", id},
         {"role", info.role == InstanceRole::kWorker ? "worker" : "endpoint"},
         {"data_centre", info.data_centre},
         {"service", info.service},
         {"leaving", info.leaving},
         {"capacity", info.capacity},
         {"committed", instance.committed},
         {"tasks", instance.jobs.size()},
         {"cpu_percent", has_load ? load->second.cpu_percent : 0},
         {"config_version", has_load ? load->second.config_version : 0}});
  }
  return instances;
}

json StatusToJson(const ControlCore& core, Time now) {
  const ControlState& state = core.state();
  std::map<std::string, std::size_t> jobs;
  for (const auto& [key, job] : state.jobs()) {
    ++jobs[ToString(job.state)];
  }
  json entries = json::array();
  bool is_in_force = true;
  for (const auto& [id, entry] : core.entries()) {
    // Entries that have not reported for this long are left out.
    constexpr Duration kEntryReportTimeout = std::chrono::seconds(5);
    if (entry.last_heartbeat + kEntryReportTimeout < now) {
      continue;
    }
    entries.push_back({{"id", id},
                       {"config_version", entry.config_version},
                       {"table_version", entry.table_version}});
    is_in_force = is_in_force && entry.config_version == state.config().version;
  }
  const json instances = InstancesToJson(core);
  for (const json& instance : instances) {
    is_in_force =
        is_in_force && instance["config_version"] == state.config().version;
  }
  const Membership& membership = core.raft().log().membership();
  return {{"leader", core.raft().leader()},
          {"fresh", core.IsFresh(now)},
          {"term", core.raft().term()},
          {"commit_index", core.raft().commit_index()},
          {"voters", membership.voters},
          {"learners", membership.learners},
          {"config", ConfigToJson(state.config())},
          {"in_force_everywhere", is_in_force},
          {"instances", instances},
          {"entries", std::move(entries)},
          {"jobs", jobs},
          {"claims", state.claims().size()}};
}

HttpReply JsonReply(const json& value) {
  HttpReply reply;
  reply.body = value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
  return reply;
}

}  // namespace

std::optional<SubmitJob> ParseSubmitJob(std::string_view body, Reason& reason) {
  return ReadJson<SubmitJob>(body, reason, ReadSubmitJob);
}

std::optional<LoggedCommand> ParseCommand(std::string_view path,
                                          std::string_view body,
                                          Reason& reason) {
  const std::vector<std::string> parts = SplitPath(path);
  reason = {ErrorKind::kNotFound, "no such call: " + std::string(path), {}};
  return ReadJson<std::optional<LoggedCommand>>(
             body, reason,
             [&](const json& value) -> std::optional<LoggedCommand> {
               auto command = ReadCommand(parts, value);
               if (!command) {
                 return std::nullopt;
               }
               LoggedCommand logged;
               logged.command_id = value.value("command_id", "");
               logged.command = *std::move(command);
               return logged;
             })
      .value_or(std::nullopt);
}

HttpReply CommandReplyFor(const CommandResult& result) {
  if (!result.ok) {
    return ErrorReply(result.error, result.text);
  }
  return JsonReply({{"ok", true}, {"version", result.version}});
}

HttpReply AnswerQuery(const ControlCore& core,
                      const std::string& path,
                      Time now) {
  const std::vector<std::string> parts = SplitPath(path);
  const std::string resource = parts.size() > 1 ? parts[1] : "";
  if (resource == "status") {
    return JsonReply(StatusToJson(core, now));
  }
  if (resource == "config") {
    return JsonReply(ConfigToJson(core.state().config()));
  }
  if (resource == "jobs" && parts.size() > 2) {
    const Job* job = core.state().FindJob(parts[2]);
    if (job != nullptr) {
      return JsonReply(JobToJson(parts[2], *job));
    }
  }
  return ErrorReply(ErrorKind::kNotFound, "no such thing: " + path);
}

}  // namespace banyan
