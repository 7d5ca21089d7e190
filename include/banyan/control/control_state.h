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

// How long a job is shown after it reached its final state, in milliseconds.
inline constexpr WallMillis kJobRetentionMs = 24LL * 3600 * 1000;

// A job and the attempt that it is at.
struct Job {
  JobSpec spec;
  JobState state = JobState::kQueued;
  // The attempt that was placed last; 0 before the first.
  std::uint64_t attempt = 0;
  std::string worker;
  std::uint64_t worker_incarnation = 0;
  // The last good checkpoint; empty means from the start.
  std::string checkpoint;
  std::string cause;
  bool cancelling = false;
  // Workers on which an attempt failed, oldest first.
  std::vector<std::string> failed_on;
  std::uint64_t evictions = 0;
  // Rises with every submission; older jobs have smaller numbers.
  std::uint64_t order = 0;
  WallMillis submitted_at = 0;
  WallMillis changed_at = 0;
};

// An instance that announced itself, with what is committed on it.
struct Instance {
  InstanceInfo info;
  Resources committed;
  std::set<std::string> jobs;
};

// What a team may use and uses.
struct Team {
  // Without a quota the team is bounded by the workers alone.
  std::optional<Resources> quota;
  Resources used;
};

// A claimed non-idempotent request.
struct Claim {
  std::uint64_t digest = 0;
  ClaimView view;
  WallMillis expires_at = 0;
};

// The configuration in force.
struct Configuration {
  std::uint64_t version = 1;
  std::string active = "ordinary";
  std::map<std::string, Preset> presets = {{"ordinary", Preset{}}};
  std::set<std::string> out;
  // The command that made this version, named to whoever loses a race.
  std::string last_command_id;
  std::string last_change = "initial configuration";
};

// A position in a team's queue: urgent first, then the order of submission.
struct QueueKey {
  bool is_normal = true;
  std::uint64_t order = 0;
  std::string job;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

// What applying one command changed, for whoever acts on it.
struct Applied {
  CommandResult result;
  bool config_changed = false;
  // An endpoint that changed or went; empty when none did.
  std::string endpoint;
  // The task whose end this command confirmed, even if it was known before.
  std::optional<TaskId> ended;
  // The task that was placed by this command.
  std::optional<TaskId> placed;
  // Placed tasks that their worker must stop.
  std::vector<TaskId> stop;
  // What a command on job graphs changed.
  std::optional<GraphApplyResult> graph;
  Events events;
};

// The replicated state of the control cell. Applying the same commands in the
// same order gives the same state on every replica.
class ControlState {
 public:
  // Applies one command and tells what it changed.
  Applied Apply(const LoggedCommand& command);

  // Encodes and decodes the state for snapshots.
  [[nodiscard]] std::string Encode() const;
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
  // Queued jobs of each team that has any.
  [[nodiscard]] const std::map<std::string, std::set<QueueKey>>& queues()
      const noexcept {
    return queues_;
  }
  // Rises with every change of an endpoint.
  [[nodiscard]] std::uint64_t endpoints_version() const noexcept {
    return endpoints_version_;
  }

  // The latest wall time that any command carried.
  [[nodiscard]] WallMillis now() const noexcept { return now_; }

  [[nodiscard]] const Job* FindJob(std::string_view key) const;
  [[nodiscard]] const Instance* FindInstance(std::string_view id) const;
  // Whether the data centre is out of service.
  [[nodiscard]] bool IsOut(const std::string& data_centre) const {
    return config_.out.contains(data_centre);
  }
  // The configuration as it is pushed to agents and entries.
  [[nodiscard]] ConfigUpdate config_update() const;

 private:
  // A remembered answer to an operator's command.
  struct Remembered {
    CommandResult result;
    WallMillis expires_at = 0;
  };

  template <typename T>
  requires requires(GraphTable& table, const T& command) {
    table.Apply(command, WallMillis{});
  }
  void On(const T& command, Applied& applied);
  void On(const NoOp& command, Applied& applied);
  void On(const CreatePreset& command, Applied& applied);
  void On(const ActivatePreset& command, Applied& applied);
  void On(const SetDataCentre& command, Applied& applied);
  void On(const SetTeam& command, Applied& applied);
  void On(const SubmitJob& command, Applied& applied);
  void On(const CancelJob& command, Applied& applied);
  void On(const RegisterInstance& command, Applied& applied);
  void On(const RemoveInstance& command, Applied& applied);
  void On(const PlaceTask& command, Applied& applied);
  void On(const EndTask& command, Applied& applied);
  void On(const OpenClaim& command, Applied& applied);
  void On(const EndClaim& command, Applied& applied);

  [[nodiscard]] bool IsExpectedVersion(std::uint64_t expected,
                                       Applied& applied) const;
  void ChangeConfig(std::string change, Applied& applied);
  void Enqueue(const std::string& key, const Job& job);
  void Dequeue(const std::string& key, const Job& job);
  void Release(const std::string& key, Job& job);
  void Requeue(const std::string& key,
               Job& job,
               std::string cause,
               Applied& applied);
  void Finish(const std::string& key,
              Job& job,
              JobState state,
              std::string cause,
              Applied& applied);
  void ReleaseTasksOf(Instance& instance,
                      const std::set<TaskId>& kept,
                      std::string_view cause,
                      Applied& applied);
  [[nodiscard]] bool CouldEverRun(const Resources& needs) const;
  void ForgetExpired();
  void RebuildIndexes();

  Configuration config_;
  GraphTable graphs_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Instance> instances_;
  std::map<std::string, Team> teams_;
  std::map<std::string, Claim> claims_;
  std::map<std::string, Remembered> remembered_;
  std::uint64_t endpoints_version_ = 1;
  std::uint64_t next_order_ = 1;
  // The latest wall time that any command carried; never goes back.
  WallMillis now_ = 0;
  // The command being applied.
  std::string command_id_;

  // Derived from the above.
  std::map<std::string, std::set<QueueKey>> queues_;
  std::set<std::pair<WallMillis, std::string>> claim_expiry_;
  std::set<std::pair<WallMillis, std::string>> remembered_expiry_;
  std::set<std::pair<WallMillis, std::string>> job_expiry_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_CONTROL_STATE_H_
