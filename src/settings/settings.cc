#include "banyan/settings/settings.h"

#include <algorithm>
#include <limits>

#include "banyan/consensus/raft_types.h"
#include "banyan/settings/settings_reader.h"

namespace banyan {
namespace {

// Ranges and defaults of the settings.
constexpr std::int64_t kMinElectionTimeoutMs = 100;
constexpr std::int64_t kMaxElectionTimeoutMs = 10000;
constexpr std::int64_t kDefaultElectionTimeoutMs = 800;
constexpr Duration kMinCatchUp = std::chrono::seconds(1);
constexpr Duration kMaxCatchUp = std::chrono::minutes(10);
constexpr std::int64_t kMaxLossesRequired = 10;
constexpr std::int64_t kMinPlanBoundMs = 100;
constexpr std::int64_t kMaxPlanBoundMs = 600000;
constexpr std::int64_t kDefaultPlanBoundMs = 3000;
// A status read must not wait for so long that its gateway sends it again.
constexpr std::int64_t kMaxStatusWaitMs = 500;
constexpr std::int64_t kMinLeaseMs = 2000;
constexpr std::int64_t kMaxLeaseMs = 60000;
constexpr std::int64_t kDefaultLeaseMs = 10000;
// A worker counts as lost once its lease expires; the lease is long enough for
// a new leader to be elected first.
constexpr std::int64_t kDefaultWorkerLeaseMs = 4000;
constexpr std::int64_t kDefaultMaxWorkerLeaseMs = 10000;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMinSnapshotIntervalEntries = 10;
constexpr std::int64_t kMaxSnapshotIntervalEntries = 1000000;
constexpr std::int64_t kDefaultSnapshotIntervalEntries = 5000;
constexpr std::int64_t kMaxDrainTimeoutMs = 600000;
constexpr std::int64_t kDefaultDrainTimeoutMs = 15000;
constexpr std::int64_t kMaxBodyBytes = 64LL << 20;
constexpr std::int64_t kDefaultMaxBodyBytes = 1LL << 20;
constexpr std::int64_t kMaxThreads = 1024;
constexpr std::int64_t kDefaultThreads = 128;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxCpuMillis = 10000000;
constexpr std::int64_t kMaxMemoryMib = 100000000;
constexpr std::int64_t kMaxAccelerators = 64;

std::vector<ControlMember> ReadMembers(SettingsReader& reader,
                                       std::string_view key,
                                       Reason& reason) {
  std::vector<ControlMember> members;
  for (SettingsReader& section : reader.SectionList(key)) {
    ControlMember member;
    member.id = section.String("id");
    member.data_centre = section.String("data_centre");
    member.address = section.Address("address");
    member.api = section.Address("api");
    // The reader of the file shares the first error and reports it.
    static_cast<void>(section.Finish(reason));
    members.push_back(std::move(member));
  }
  return members;
}

Duration ReadDrainTimeout(SettingsReader& reader) {
  return Millis(reader.Integer("drain_ms", 0, kMaxDrainTimeoutMs,
                               kDefaultDrainTimeoutMs));
}

void ReadEndpointSettings(SettingsReader& section, AgentSettings& settings) {
  InstanceInfo& info = settings.info;
  info.role = InstanceRole::kEndpoint;
  settings.target = section.Address("address");
  info.service = section.String("service");
  info.host = section.String("host", "");
  info.slots = section.Integer("slots", 1, kMaxSlots, std::nullopt);
  info.connections =
      section.Integer("connections", info.slots, kMaxSlots, std::nullopt);
}

void ReadWorkerSettings(SettingsReader& section, AgentSettings& settings) {
  InstanceInfo& info = settings.info;
  info.role = InstanceRole::kWorker;
  settings.target = section.Address("address");
  info.capacity.cpu_millis =
      section.Integer("cpu_millis", 1, kMaxCpuMillis, std::nullopt);
  info.capacity.memory_mib =
      section.Integer("memory_mib", 1, kMaxMemoryMib, std::nullopt);
  info.capacity.accelerators =
      section.Integer("accelerators", 0, kMaxAccelerators, 0);
}

SchedulingPolicy ReadSchedulingPolicy(SettingsReader& reader, Reason& reason) {
  SchedulingPolicy policy;
  auto section = reader.Section("scheduling");
  if (!section) {
    return policy;
  }
  const auto read_flag = [&](std::string_view key, bool& value) {
    value = section->Boolean(key, value);
  };
  read_flag("backlog_forecast", policy.backlog_forecast);
  read_flag("light_neighbours", policy.light_neighbours);
  read_flag("load_dependent_slack", policy.load_dependent_slack);
  read_flag("image_packing", policy.image_packing);
  read_flag("careful_starts", policy.careful_starts);
  read_flag("starved_moves", policy.starved_moves);
  read_flag("worker_suspicion", policy.worker_suspicion);
  read_flag("speculative_copies", policy.speculative_copies);
  read_flag("room_for_urgent", policy.room_for_urgent);
  read_flag("learned_run_times", policy.learned_run_times);
  read_flag("look_ahead", policy.look_ahead);
  read_flag("admission_forecast", policy.admission_forecast);
  static_cast<void>(section->Finish(reason));
  return policy;
}

// Reads the settings that all replicas have in common.
template <typename Settings>
void ReadReplicaSettings(SettingsReader& reader,
                         std::int64_t default_lease_ms,
                         Settings& settings,
                         Reason& reason) {
  settings.election_timeout =
      Millis(reader.Integer("election_ms", kMinElectionTimeoutMs,
                            kMaxElectionTimeoutMs, kDefaultElectionTimeoutMs));
  settings.catch_up =
      reader.Seconds("catch_up_s", kMinCatchUp, kMaxCatchUp,
                     kElectionTimeoutsPerCatchUp * settings.election_timeout);
  settings.losses_required =
      reader.Integer("losses_required", 0, kMaxLossesRequired, 1);
  settings.odd_voters = reader.Boolean("odd_voters", false);
  settings.plan_bound = Millis(reader.Integer(
      "plan_bound_ms", kMinPlanBoundMs, kMaxPlanBoundMs, kDefaultPlanBoundMs));
  settings.status_wait =
      Millis(reader.Integer("status_wait_ms", 0, kMaxStatusWaitMs, 0));
  settings.lease = Millis(
      reader.Integer("lease_ms", kMinLeaseMs, kMaxLeaseMs, default_lease_ms));
  settings.max_worker_lease = Millis(reader.Integer(
      "max_worker_lease_ms", ToMillis(settings.lease), kMaxLeaseMs,
      std::max(kDefaultMaxWorkerLeaseMs, ToMillis(settings.lease))));
  settings.snapshot_interval_entries =
      static_cast<std::uint64_t>(reader.Integer(
          "snapshot_every", kMinSnapshotIntervalEntries,
          kMaxSnapshotIntervalEntries, kDefaultSnapshotIntervalEntries));
  settings.scheduling = ReadSchedulingPolicy(reader, reason);
  settings.log_latencies = reader.Boolean("log_latencies", false);
}

}  // namespace

std::optional<ControlSettings> LoadControlSettings(const std::string& path,
                                                   Reason& reason) {
  auto reader = SettingsReader::Load(path, reason);
  if (!reader) {
    return std::nullopt;
  }
  ControlSettings settings;
  settings.id = reader->String("id");
  settings.data_centre = reader->String("data_centre");
  settings.data_folder = reader->String("data_folder");
  settings.listen = reader->Address("listen");
  settings.api = reader->Address("api");
  settings.members = ReadMembers(*reader, "members", reason);
  ReadReplicaSettings(*reader, kDefaultLeaseMs, settings, reason);
  settings.drain_timeout = ReadDrainTimeout(*reader);
  settings.log_folder = reader->String("log_folder", "");
  if (!reader->Finish(reason)) {
    return std::nullopt;
  }
  for (const ControlMember& member : settings.members) {
    if (member.id == settings.id) {
      return settings;
    }
  }
  reason = {ErrorKind::kBadSettings,
            "'members' does not name '" + settings.id + "' itself",
            {path, 1, 1}};
  return std::nullopt;
}

std::optional<CellSettings> LoadCellSettings(const std::string& path,
                                             Reason& reason) {
  auto reader = SettingsReader::Load(path, reason);
  if (!reader) {
    return std::nullopt;
  }
  CellSettings settings;
  settings.id = reader->String("id");
  settings.data_centre = reader->String("data_centre");
  const std::string ip = reader->String("ip");
  const std::string port =
      std::to_string(reader->Integer("peer_port", 1, kMaxPort, std::nullopt));
  settings.listen = ip + ":" + port;
  for (const std::string& seed : reader->StringList("seeds")) {
    if (!IsIpAddressAndPort(seed)) {
      reason = {ErrorKind::kBadSettings,
                "'seeds' holds '" + seed + "', which is no IP number and port",
                {path, 1, 1}};
      return std::nullopt;
    }
    // The port of a seed is the operator API's; all replicas use the same peer
    // port.
    settings.seeds.push_back(seed.substr(0, seed.rfind(':') + 1) + port);
  }
  settings.bootstrap = reader->Choice("bootstrap", {"true", "false"}) == "true";
  settings.data_folder = reader->String("data_folder", "");
  settings.caller_address = reader->String("front", "");
  settings.readiness_address = reader->String("ready", "");
  settings.control_address = reader->String("control", "");
  settings.worker_address = reader->String("worker", "");
  settings.metrics_address = reader->String("metrics", "");
  ReadReplicaSettings(*reader, kDefaultWorkerLeaseMs, settings, reason);
  settings.threads =
      reader->Integer("threads", 1, kMaxThreads, kDefaultThreads);
  settings.drain_timeout = ReadDrainTimeout(*reader);
  settings.log_folder = reader->String("log_folder", "");
  if (!reader->Finish(reason)) {
    return std::nullopt;
  }
  return settings;
}

std::optional<EntrySettings> LoadEntrySettings(const std::string& path,
                                               Reason& reason) {
  auto reader = SettingsReader::Load(path, reason);
  if (!reader) {
    return std::nullopt;
  }
  EntrySettings settings;
  settings.id = reader->String("id");
  settings.data_centre = reader->String("data_centre");
  settings.http = reader->Address("http");
  settings.control = ReadMembers(*reader, "control", reason);
  for (SettingsReader& section : reader->SectionList("services")) {
    ServiceSettings service;
    service.name = section.String("name");
    service.idempotent_prefixes = section.StringList("idempotent");
    static_cast<void>(section.Finish(reason));
    settings.services.push_back(std::move(service));
  }
  settings.max_body_bytes =
      reader->Integer("max_body_bytes", 1, kMaxBodyBytes, kDefaultMaxBodyBytes);
  settings.threads =
      reader->Integer("threads", 2, kMaxThreads, kDefaultThreads);
  settings.drain_timeout = ReadDrainTimeout(*reader);
  settings.log_folder = reader->String("log_folder", "");
  if (!reader->Finish(reason)) {
    return std::nullopt;
  }
  return settings;
}

std::optional<AgentSettings> LoadAgentSettings(const std::string& path,
                                               Reason& reason) {
  auto reader = SettingsReader::Load(path, reason);
  if (!reader) {
    return std::nullopt;
  }
  AgentSettings settings;
  settings.info.id = reader->String("id");
  settings.info.data_centre = reader->String("data_centre");
  settings.info.rack = reader->String("rack", "");
  settings.listen = reader->Address("listen");
  settings.info.address = settings.listen;
  settings.admin = reader->Address("admin");
  settings.control = ReadMembers(*reader, "control", reason);
  auto endpoint = reader->Section("endpoint");
  auto worker = reader->Section("worker");
  if (endpoint) {
    ReadEndpointSettings(*endpoint, settings);
    static_cast<void>(endpoint->Finish(reason));
  }
  if (worker) {
    ReadWorkerSettings(*worker, settings);
    static_cast<void>(worker->Finish(reason));
  }
  settings.drain_timeout = ReadDrainTimeout(*reader);
  settings.log_folder = reader->String("log_folder", "");
  if (!reader->Finish(reason)) {
    return std::nullopt;
  }
  if (endpoint.has_value() == worker.has_value()) {
    reason = {ErrorKind::kBadSettings,
              "exactly one of 'endpoint' and 'worker' must be given",
              {path, 1, 1}};
    return std::nullopt;
  }
  return settings;
}

}  // namespace banyan
