#include "banyan/settings/settings.h"

#include <limits>

#include "banyan/settings/settings_reader.h"

namespace banyan {
namespace {

// Ranges of the settings, in the unit that the key names.
constexpr std::int64_t kMinElectionMs = 100;
constexpr std::int64_t kMaxElectionMs = 10000;
constexpr std::int64_t kDefaultElectionMs = 800;
constexpr std::int64_t kMinLeaseMs = 2000;
constexpr std::int64_t kMaxLeaseMs = 60000;
constexpr std::int64_t kDefaultLeaseMs = 10000;
// A worker is taken as lost after its lease; a new leader is there sooner.
constexpr std::int64_t kDefaultWorkerLeaseMs = 4000;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMinSnapshotEvery = 10;
constexpr std::int64_t kMaxSnapshotEvery = 1000000;
constexpr std::int64_t kDefaultSnapshotEvery = 5000;
constexpr std::int64_t kMaxDrainMs = 600000;
constexpr std::int64_t kDefaultDrainMs = 15000;
constexpr std::int64_t kMaxBodyBytes = 64LL << 20;
constexpr std::int64_t kDefaultBodyBytes = 1LL << 20;
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
  for (SettingsReader& section : reader.Sections(key)) {
    ControlMember member;
    member.id = section.Text("id");
    member.data_centre = section.Text("data_centre");
    member.address = section.Address("address");
    member.api = section.Address("api");
    // The first complaint is shared with the outer reader.
    static_cast<void>(section.Finish(reason));
    members.push_back(std::move(member));
  }
  return members;
}

Duration ReadDrain(SettingsReader& reader) {
  return Millis(reader.Number("drain_ms", 0, kMaxDrainMs, kDefaultDrainMs));
}

void ReadEndpoint(SettingsReader& section, AgentSettings& settings) {
  InstanceInfo& info = settings.info;
  info.role = InstanceRole::kEndpoint;
  settings.target = section.Address("address");
  info.service = section.Text("service");
  info.host = section.Text("host", "");
  info.slots = section.Number("slots", 1, kMaxSlots, std::nullopt);
  info.connections =
      section.Number("connections", info.slots, kMaxSlots, std::nullopt);
}

void ReadWorker(SettingsReader& section, AgentSettings& settings) {
  InstanceInfo& info = settings.info;
  info.role = InstanceRole::kWorker;
  settings.target = section.Address("address");
  info.capacity.cpu_millis =
      section.Number("cpu_millis", 1, kMaxCpuMillis, std::nullopt);
  info.capacity.memory_mib =
      section.Number("memory_mib", 1, kMaxMemoryMib, std::nullopt);
  info.capacity.accelerators =
      section.Number("accelerators", 0, kMaxAccelerators, 0);
}

SchedulingPolicy ReadScheduling(SettingsReader& reader, Reason& reason) {
  SchedulingPolicy policy;
  auto section = reader.Section("scheduling");
  if (!section) {
    return policy;
  }
  const auto read = [&](std::string_view key, bool& value) {
    value = section->Switch(key, value);
  };
  read("backlog_forecast", policy.backlog_forecast);
  read("light_neighbours", policy.light_neighbours);
  read("load_dependent_slack", policy.load_dependent_slack);
  read("image_packing", policy.image_packing);
  read("careful_starts", policy.careful_starts);
  read("starved_moves", policy.starved_moves);
  read("worker_suspicion", policy.worker_suspicion);
  static_cast<void>(section->Finish(reason));
  return policy;
}

// Reads what every replica needs, with the default of its lease in
// milliseconds.
template <typename Settings>
void ReadReplica(SettingsReader& reader,
                 std::int64_t default_lease_ms,
                 Settings& settings,
                 Reason& reason) {
  settings.election = Millis(reader.Number("election_ms", kMinElectionMs,
                                           kMaxElectionMs, kDefaultElectionMs));
  settings.lease = Millis(
      reader.Number("lease_ms", kMinLeaseMs, kMaxLeaseMs, default_lease_ms));
  settings.snapshot_every = static_cast<std::uint64_t>(
      reader.Number("snapshot_every", kMinSnapshotEvery, kMaxSnapshotEvery,
                    kDefaultSnapshotEvery));
  settings.scheduling = ReadScheduling(reader, reason);
  settings.log_latencies = reader.Switch("log_latencies", false);
}

}  // namespace

std::optional<ControlSettings> LoadControlSettings(const std::string& path,
                                                   Reason& reason) {
  auto reader = SettingsReader::Load(path, reason);
  if (!reader) {
    return std::nullopt;
  }
  ControlSettings settings;
  settings.id = reader->Text("id");
  settings.data_centre = reader->Text("data_centre");
  settings.data_folder = reader->Text("data_folder");
  settings.listen = reader->Address("listen");
  settings.api = reader->Address("api");
  settings.members = ReadMembers(*reader, "members", reason);
  ReadReplica(*reader, kDefaultLeaseMs, settings, reason);
  settings.drain = ReadDrain(*reader);
  settings.log_folder = reader->Text("log_folder", "");
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
  settings.id = reader->Text("id");
  settings.data_centre = reader->Text("data_centre");
  const std::string ip = reader->Text("ip");
  const std::string port =
      std::to_string(reader->Number("peer_port", 1, kMaxPort, std::nullopt));
  settings.listen = ip + ":" + port;
  for (const std::string& seed : reader->Texts("seeds")) {
    if (!IsIpAddress(seed)) {
      reason = {ErrorKind::kBadSettings,
                "'seeds' holds '" + seed + "', which is no IP number and port",
                {path, 1, 1}};
      return std::nullopt;
    }
    // A seed names the operators' address; peers use one port everywhere.
    settings.seeds.push_back(seed.substr(0, seed.rfind(':') + 1) + port);
  }
  settings.bootstrap = reader->Choice("bootstrap", {"true", "false"}) == "true";
  settings.data_folder = reader->Text("data_folder", "");
  settings.front = reader->Text("front", "");
  settings.ready = reader->Text("ready", "");
  settings.control = reader->Text("control", "");
  settings.worker = reader->Text("worker", "");
  settings.metrics = reader->Text("metrics", "");
  ReadReplica(*reader, kDefaultWorkerLeaseMs, settings, reason);
  settings.threads = reader->Number("threads", 1, kMaxThreads, kDefaultThreads);
  settings.drain = ReadDrain(*reader);
  settings.log_folder = reader->Text("log_folder", "");
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
  settings.id = reader->Text("id");
  settings.data_centre = reader->Text("data_centre");
  settings.http = reader->Address("http");
  settings.control = ReadMembers(*reader, "control", reason);
  for (SettingsReader& section : reader->Sections("services")) {
    ServiceSettings service;
    service.name = section.Text("name");
    service.idempotent = section.Texts("idempotent");
    static_cast<void>(section.Finish(reason));
    settings.services.push_back(std::move(service));
  }
  settings.max_body_bytes =
      reader->Number("max_body_bytes", 1, kMaxBodyBytes, kDefaultBodyBytes);
  settings.threads = reader->Number("threads", 2, kMaxThreads, kDefaultThreads);
  settings.drain = ReadDrain(*reader);
  settings.log_folder = reader->Text("log_folder", "");
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
  settings.info.id = reader->Text("id");
  settings.info.data_centre = reader->Text("data_centre");
  settings.info.rack = reader->Text("rack", "");
  settings.listen = reader->Address("listen");
  settings.info.address = settings.listen;
  settings.admin = reader->Address("admin");
  settings.control = ReadMembers(*reader, "control", reason);
  auto endpoint = reader->Section("endpoint");
  auto worker = reader->Section("worker");
  if (endpoint) {
    ReadEndpoint(*endpoint, settings);
    static_cast<void>(endpoint->Finish(reason));
  }
  if (worker) {
    ReadWorker(*worker, settings);
    static_cast<void>(worker->Finish(reason));
  }
  settings.drain = ReadDrain(*reader);
  settings.log_folder = reader->Text("log_folder", "");
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
