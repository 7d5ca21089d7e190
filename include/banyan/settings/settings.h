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

// Identity and addresses of a control replica, as configured on its clients.
struct ControlMember {
  std::string id;
  std::string data_centre;
  // Address for the system's own processes.
  std::string address;
  // Address of the operator API.
  std::string api;
};

// Settings of banyan-control. Durations are configured in milliseconds and
// applied as deadlines on the monotonic clock of the process.
struct ControlSettings {
  std::string id;
  std::string data_centre;
  std::string data_folder;
  std::string listen;
  std::string api;
  std::vector<ControlMember> members;
  // Replicas to ask for admission if `members` is empty; the ids of replicas
  // are then their listen addresses.
  std::vector<std::string> seeds;
  // Whether the seeds may form a new cell if none of them holds data.
  bool bootstrap = true;
  Duration election_timeout;
  // Time after the start of a successor, or of a replica that is back, within
  // which the cell tolerates the next failure again.
  Duration catch_up;
  // How many losses of replicas at a time the cell has to bear.
  std::int64_t losses_required = 0;
  // Whether the leader keeps an odd number of voters.
  bool odd_voters = false;
  // Time from the acknowledgement of a plan until every process that needs it
  // has to hold it.
  Duration plan_bound{0};
  // Longest time for which the read of the state of a graph that is about to
  // end waits for its end.
  Duration status_wait{0};
  Duration lease;
  // Longest lease that a worker takes, by its own clock.
  Duration max_worker_lease = std::chrono::seconds(10);
  std::uint64_t snapshot_interval_entries = 0;
  SchedulingPolicy scheduling;
  // Whether to log each latency report, for the analysis of interference.
  bool log_latencies = false;
  Duration drain_timeout;
  std::string log_folder;
};

// Settings of the processes that serve job graphs: the replicas, gateways and
// agents of one cell.
struct CellSettings {
  std::string id;
  std::string data_centre;
  // Listen address for the other processes; empty for none.
  std::string listen;
  // Addresses of the replicas when the settings were written.
  std::vector<std::string> seeds;
  bool bootstrap = false;
  // Empty for a process without persistent storage.
  std::string data_folder;
  // Listen address for callers.
  std::string caller_address;
  // Listen address for readiness checks.
  std::string readiness_address;
  // Listen address for operators; on an agent, for its worker.
  std::string control_address;
  // Address at which an agent calls its worker.
  std::string worker_address;
  std::string metrics_address;
  Duration election_timeout;
  // As in ControlSettings.
  Duration catch_up;
  std::int64_t losses_required = 0;
  bool odd_voters = false;
  Duration plan_bound{0};
  Duration status_wait{0};
  // Duration of a worker lease, and the longest one that a worker takes.
  Duration lease;
  Duration max_worker_lease = std::chrono::seconds(10);
  std::uint64_t snapshot_interval_entries = 0;
  SchedulingPolicy scheduling;
  // Whether to log each latency report, for the analysis of interference.
  bool log_latencies = false;
  std::int64_t threads = 0;
  // Time limit of a planned stop.
  Duration drain_timeout;
  std::string log_folder;
};

// A service that an entry routes to.
struct ServiceSettings {
  std::string name;
  // Requests to a path with one of these prefixes are idempotent, whatever
  // their method.
  std::vector<std::string> idempotent_prefixes;
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
  Duration drain_timeout;
  std::string log_folder;
};

// Settings of banyan-agent.
struct AgentSettings {
  InstanceInfo info;
  std::string listen;
  std::string admin;
  // Address of the endpoint or of the worker API.
  std::string target;
  std::vector<ControlMember> control;
  Duration drain_timeout;
  std::string log_folder;
};

// Each reads and validates a settings file. On an error, returns no value and
// sets the reason to the first error with its position in the file.
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
