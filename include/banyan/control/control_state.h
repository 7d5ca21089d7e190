#ifndef BANYAN_CONTROL_CONTROL_STATE_H_
#define BANYAN_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/base/error_kind.h"
#include "banyan/base/resources.h"
#include "banyan/events/event.h"
#include "banyan/graph/graph_table.h"
#include "banyan/wire/command.h"
#include "banyan/wire/message.h"

namespace banyan {

// Time for which a job is kept after it reached a final state.
inline constexpr WallMillis kJobRetentionMs = 24LL * 3600 * 1000;

// A job and its current attempt.
struct Job {
  JobSpec spec;
  JobState state = JobState::kQueued;
  // Number of the last placed attempt; 0 if none was placed yet.
  std::uint64_t attempt = 0;
  std::string worker;
  std::uint64_t worker_incarnation = 0;
  // Checkpoint from which the next attempt resumes; empty to start over.
  std::string checkpoint;
  std::string cause;
  bool cancelling = false;
  // Workers on which an attempt failed, oldest first; one element per failure.
  std::vector<std::string> failed_on;
  // Workers that crashed under the job, oldest first.
  std::vector<std::string> crashed_on;
  std::uint64_t evictions = 0;
  // Submission sequence number; smaller for older jobs.
  std::uint64_t order = 0;
  WallMillis submitted_at = 0;
  WallMillis changed_at = 0;
};

// A registered instance and the resources committed on it.
struct Instance {
  InstanceInfo info;
  // Sum of the resources requested by the jobs placed here.
  Resources committed;
  // Keys of the jobs placed here.
  std::set<std::string> jobs;
  // Earlier incarnations, oldest first; none of them may register again.
  std::vector<std::uint64_t> replaced;
};

// Quota and current usage of a team.
struct Team {
  // If unset, the team is limited only by the capacity of the workers.
  std::optional<Resources> quota;
  Resources used;
};

// Claim on a non-idempotent request, by which one agent at a time may execute
// it.
struct Claim {
  // Digest of the request, to detect reuse of its key for another request.
  std::uint64_t digest = 0;
  ClaimView view;
  WallMillis expires_at = 0;
};

// The active configuration.
struct Configuration {
  std::uint64_t version = 1;
  std::string active = "ordinary";
  std::map<std::string, Preset> presets = {{"ordinary", Preset{}}};
  // Data centres that are out of service.
  std::set<std::string> out;
  // Id of the command that created this version; reported to operators whose
  // command expected an older version.
  std::string last_command_id;
  std::string last_change = "initial configuration";
};

// Sort key in a team's queue: urgent jobs first, then by order of submission.
struct QueueKey {
  bool is_normal = true;
  std::uint64_t order = 0;
  std::string job;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

// Result and effects of applying one command.
struct Applied {
  CommandResult result;
  bool config_changed = false;
  // Id of the endpoint that was changed or removed; empty if none was.
  std::string changed_endpoint;
  // The task whose end this command reported, also if the end was already
  // recorded.
  std::optional<TaskId> ended_task;
  // The task placed by this command.
  std::optional<TaskId> placed_task;
  // Placed tasks that must be stopped by their workers.
  std::vector<TaskId> tasks_to_stop;
  // Effects of a job graph command; unset for other commands.
  std::optional<GraphApplyResult> graph;
  Events events;
};

// Replicated state machine of the control cell. It is deterministic: applying
// the same commands in the same order yields the same state on every replica.
class ControlState {
 public:
  // Applies one command. If a command with the same id was applied before and
  // its result is still stored, returns that result instead.
  Applied Apply(const LoggedCommand& command);

  // Counts the data of a log entry, in bytes.
  void AddLogBytes(std::uint64_t bytes) noexcept { log_bytes_ += bytes; }

  // Encodes the state as CBOR for a snapshot.
  [[nodiscard]] std::string Encode() const;
  // Decodes an encoded state; returns nullopt and sets `reason` on error.
  [[nodiscard]] static std::optional<ControlState> Decode(
      std::string_view bytes,
      Reason& reason);

  [[nodiscard]] const Configuration& config() const noexcept { return config_; }
  [[nodiscard]] const Preset& preset() const;
  [[nodiscard]] const GraphTable& graphs() const noexcept { return graphs_; }
  [[nodiscard]] const std::map<std::string, Job>& jobs() const noexcept {
    return jobs_;
  }
  [[nodiscard]] const std::map<std::string, Instance>& instances()
      const noexcept {
    return instances_;
  }
  [[nodiscard]] const std::map<std::string, Team>& teams() const noexcept {
    return teams_;
  }
  [[nodiscard]] const std::map<std::string, Claim>& claims() const noexcept {
    return claims_;
  }
  // Queued jobs by team; teams without queued jobs are absent.
  [[nodiscard]] const std::map<std::string, std::set<QueueKey>>& queues()
      const noexcept {
    return queues_;
  }
  // Incremented on every change of an endpoint.
  [[nodiscard]] std::uint64_t endpoints_version() const noexcept {
    return endpoints_version_;
  }

  // Size of the data of all log entries so far, in bytes.
  [[nodiscard]] std::uint64_t log_bytes() const noexcept { return log_bytes_; }

  // Latest wall-clock time carried by any applied command.
  [[nodiscard]] WallMillis now() const noexcept { return now_; }

  [[nodiscard]] const Job* FindJob(std::string_view key) const;
  [[nodiscard]] const Instance* FindInstance(std::string_view id) const;
  // Returns whether the data centre is out of service.
  [[nodiscard]] bool IsOutOfService(const std::string& data_centre) const {
    return config_.out.contains(data_centre);
  }
  // Returns the configuration in the form sent to agents and entry processes.
  [[nodiscard]] ConfigUpdate config_update() const;

 private:
  // Stored result of a command, returned again if the command is resent.
  struct StoredResult {
    CommandResult result;
    WallMillis expires_at = 0;
  };

  template <typename T>
  requires requires(GraphTable& table, const T& command) {
    table.Apply(command, WallMillis{});
  }
  void ApplyCommand(const T& command, Applied& applied);
  void ApplyCommand(const NoOp& command, Applied& applied);
  void ApplyCommand(const CreatePreset& command, Applied& applied);
  void ApplyCommand(const ActivatePreset& command, Applied& applied);
  void ApplyCommand(const SetDataCentre& command, Applied& applied);
  void ApplyCommand(const SetTeam& command, Applied& applied);
  void ApplyCommand(const SubmitJob& command, Applied& applied);
  void ApplyCommand(const CancelJob& command, Applied& applied);
  void ApplyCommand(const RegisterInstance& command, Applied& applied);
  void ApplyCommand(const RemoveInstance& command, Applied& applied);
  void ApplyCommand(const PlaceTask& command, Applied& applied);
  void ApplyCommand(const EndTask& command, Applied& applied);
  void ApplyCommand(const OpenClaim& command, Applied& applied);
  void ApplyCommand(const EndClaim& command, Applied& applied);

  [[nodiscard]] bool IsExpectedVersion(std::uint64_t expected,
                                       Applied& applied) const;
  void ChangeConfig(std::string change, Applied& applied);
  void Enqueue(const std::string& key, const Job& job);
  void Dequeue(const std::string& key, const Job& job);
  // Returns the job's resources to its worker and team.
  void Release(const std::string& key, Job& job);
  // Puts the job back into its queue, or ends it if it is being cancelled.
  void Requeue(const std::string& key,
               Job& job,
               std::string cause,
               Applied& applied);
  void Finish(const std::string& key,
              Job& job,
              JobState state,
              std::string cause,
              Applied& applied);
  // Requeues the tasks on the instance except those in `kept`.
  void RequeueTasksOf(Instance& instance,
                      const std::set<TaskId>& kept,
                      std::string_view cause,
                      Applied& applied);
  // Returns whether some registered worker is large enough, or none is
  // registered yet.
  [[nodiscard]] bool CouldEverRun(const Resources& needs) const;
  // Removes a bounded number of expired claims, results and jobs.
  void RemoveExpired();
  void RebuildIndexes();

  Configuration config_;
  GraphTable graphs_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Instance> instances_;
  std::map<std::string, Team> teams_;
  std::map<std::string, Claim> claims_;
  std::map<std::string, StoredResult> stored_results_;
  std::uint64_t endpoints_version_ = 1;
  std::uint64_t next_order_ = 1;
  std::uint64_t log_bytes_ = 0;
  // Latest wall-clock time carried by any applied command; never decreases.
  WallMillis now_ = 0;
  // Id of the command being applied.
  std::string command_id_;

  // Indexes derived from the members above; not part of snapshots.
  std::map<std::string, std::set<QueueKey>> queues_;
  std::set<std::pair<WallMillis, std::string>> claim_expiry_;
  std::set<std::pair<WallMillis, std::string>> stored_result_expiry_;
  std::set<std::pair<WallMillis, std::string>> job_expiry_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_CONTROL_STATE_H_
