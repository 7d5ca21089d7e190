#ifndef BANYAN_SETTINGS_SETTINGS_H_
#define BANYAN_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/error_kind.h"
#include "banyan/base/time.h"
#include "banyan/settings/scheduling_policy.h"
#include "banyan/wire/instance.h"

namespace banyan {

// A control replica as the other processes know it.
struct ControlMember {
  std::string id;
  std::string data_centre;
  // Where the system's own processes connect.
  std::string address;
  // Where operators connect.
  std::string api;
};

// Settings of banyan-control. Spans are configured in milliseconds and become
// deadlines on the process's own clock.
struct ControlSettings {
  std::string id;
  std::string data_centre;
  std::string data_folder;
  std::string listen;
  std::string api;
  std::vector<ControlMember> members;
  // Replicas to ask for admission where there is no list of members; then ids
  // are the addresses that replicas listen on.
  std::vector<std::string> seeds;
  // Whether the seeds may form a new cell when all of them are empty.
  bool bootstrap = true;
  Duration election;
  Duration lease;
  std::uint64_t snapshot_every = 0;
  SchedulingPolicy scheduling;
  // Whether each latency report is logged, for study of interference.
  bool log_latencies = false;
  Duration drain;
  std::string log_folder;
};

// Settings of the processes that serve job graphs: the replicas, gateways and
// agents of one cell.
struct CellSettings {
  std::string id;
  std::string data_centre;
  // Where this replica listens for the other processes; empty for none.
  std::string listen;
  // Replicas' addresses as of the writing of the settings.
  std::vector<std::string> seeds;
  bool bootstrap = false;
  // Empty for a process without a disk.
  std::string data_folder;
  // Where callers, the readiness check, operators and the worker connect.
  std::string front;
  std::string ready;
  std::string control;
  // Where the worker beside an agent is called.
  std::string worker;
  std::string metrics;
  Duration election;
  // The lease of a worker.
  Duration lease;
  std::uint64_t snapshot_every = 0;
  SchedulingPolicy scheduling;
  // Whether each latency report is logged, for study of interference.
  bool log_latencies = false;
  std::int64_t threads = 0;
  // How long a planned stop may take.
  Duration drain;
  std::string log_folder;
};

// A service as an entry knows it.
struct ServiceSettings {
  std::string name;
  // Paths that begin with one of these are idempotent whatever the method.
  std::vector<std::string> idempotent;
};

// Settings of banyan-entry.
struct EntrySettings {
  std::string id;
  std::string data_centre;
  std::string http;
  std::vector<ControlMember> control;
  std::vector<ServiceSettings> services;
  std::int64_t max_body_bytes = 0;
  std::int64_t threads = 0;
  Duration drain;
  std::string log_folder;
};

// Settings of banyan-agent.
struct AgentSettings {
  InstanceInfo info;
  std::string listen;
  std::string admin;
  // Address of the endpoint or of the worker's API.
  std::string target;
  std::vector<ControlMember> control;
  Duration drain;
  std::string log_folder;
};

// Each reads and checks a settings file; without a value the reason names the
// first thing that is wrong, with its place.
[[nodiscard]] std::optional<ControlSettings> LoadControlSettings(
    const std::string& path,
    Reason& reason);
[[nodiscard]] std::optional<CellSettings> LoadCellSettings(
    const std::string& path,
    Reason& reason);
[[nodiscard]] std::optional<EntrySettings> LoadEntrySettings(
    const std::string& path,
    Reason& reason);
[[nodiscard]] std::optional<AgentSettings> LoadAgentSettings(
    const std::string& path,
    Reason& reason);

}  // namespace banyan

#endif  // BANYAN_SETTINGS_SETTINGS_H_
