#ifndef BANYAN_WIRE_COMMAND_H_
#define BANYAN_WIRE_COMMAND_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "banyan/base/error_kind.h"
#include "banyan/base/time.h"
#include "banyan/wire/graph.h"
#include "banyan/wire/instance.h"
#include "banyan/wire/job.h"
#include "banyan/wire/preset.h"

namespace banyan {

// Creates or replaces a preset. Replacing the active preset changes the
// configuration, so `expected_version` must match the current version.
struct CreatePreset {
  static constexpr const char* kType = "create-preset";
  std::string name;
  Preset preset;
  std::uint64_t expected_version = 0;
};

// Activates a preset.
struct ActivatePreset {
  static constexpr const char* kType = "activate-preset";
  std::string name;
  std::uint64_t expected_version = 0;
};

// Takes a data centre out of service or brings it back.
struct SetDataCentre {
  static constexpr const char* kType = "set-data-centre";
  std::string data_centre;
  bool out = false;
  std::uint64_t expected_version = 0;
};

// Sets the limit on the resources that a team's running jobs may use.
struct SetTeam {
  static constexpr const char* kType = "set-team";
  std::string team;
  Resources quota;
  std::uint64_t expected_version = 0;
};

// Submits a job under a key chosen by the team.
struct SubmitJob {
  static constexpr const char* kType = "submit-job";
  std::string key;
  JobSpec spec;
};

// Cancels a job in any non-final state.
struct CancelJob {
  static constexpr const char* kType = "cancel-job";
  std::string key;
};

// Registers an instance or updates its registration. If its incarnation has
// changed, tasks placed on it that are not listed in `running` are released.
struct RegisterInstance {
  static constexpr const char* kType = "register-instance";
  InstanceInfo info;
  std::vector<TaskId> running;
};

// Removes an instance and releases its tasks.
struct RemoveInstance {
  static constexpr const char* kType = "remove-instance";
  std::string id;
  std::uint64_t incarnation = 0;
  std::string cause;
};

// Places the next attempt of a queued job on a worker.
struct PlaceTask {
  static constexpr const char* kType = "place-task";
  TaskId task;
  std::string worker;
  std::uint64_t incarnation = 0;
};

// Records the end of an attempt.
struct EndTask {
  static constexpr const char* kType = "end-task";
  TaskId task;
  TaskEnd end = TaskEnd::kLost;
  std::string checkpoint;
  std::string cause;
};

// Claims a non-idempotent request before it is dispatched. A non-zero
// `expected_attempt` replaces that attempt, whose agent has granted a
// tombstone.
struct OpenClaim {
  static constexpr const char* kType = "open-claim";
  std::string key;
  // Digest of the request; detects reuse of a key for a different request.
  std::uint64_t digest = 0;
  std::string agent;
  std::uint64_t agent_incarnation = 0;
  std::uint64_t expected_attempt = 0;
  WallMillis expires_at = 0;
};

// How a claimed attempt ended.
enum class ClaimEnd : std::uint8_t { kFinished, kReleased, kUnknown };

// Ends a claimed attempt and stores the response, if there is one.
struct EndClaim {
  static constexpr const char* kType = "end-claim";
  std::string key;
  std::uint64_t attempt = 0;
  ClaimEnd end = ClaimEnd::kUnknown;
  int status = 0;
  std::string content_type;
  std::string body;
};

// Empty command that a new leader appends as its first entry.
struct NoOp {
  static constexpr const char* kType = "no-op";
};

// Any command that can change the replicated state.
using Command = std::variant<NoOp,
                             CreatePreset,
                             ActivatePreset,
                             SetDataCentre,
                             SetTeam,
                             SubmitJob,
                             CancelJob,
                             RegisterInstance,
                             RemoveInstance,
                             PlaceTask,
                             EndTask,
                             OpenClaim,
                             EndClaim,
                             InstallPlan,
                             SetEvacuated,
                             SubmitGraph,
                             CancelGraph,
                             AdmitWorker,
                             DropWorker,
                             PlaceRuns,
                             EndRuns,
                             RecordCrashes,
                             PlaceCopies>;

// A command as stored in the replicated log.
struct LoggedCommand {
  // Identifies the command across resends; empty for idempotent commands.
  std::string command_id;
  // The leader's wall time when it accepted the command.
  WallMillis proposed_at = 0;
  Command command;
};

// State of a claim, as reported to an entry.
enum class ClaimState : std::uint8_t {
  kNone,
  kOpen,
  kFinished,
  kReleased,
  kUnknown,
};

// A claim after a command on it was applied.
struct ClaimView {
  ClaimState state = ClaimState::kNone;
  // Whether this command opened the attempt.
  bool granted = false;
  std::uint64_t attempt = 0;
  std::string agent;
  std::uint64_t agent_incarnation = 0;
  int status = 0;
  std::string content_type;
  std::string body;
};

// The result of a command.
struct CommandResult {
  bool ok = false;
  ErrorKind error = ErrorKind::kInternal;
  std::string text;
  // The configuration version after the command.
  std::uint64_t version = 0;
  ClaimView claim;
  // Delay before a rejected caller may retry, in milliseconds; 0 if
  // unspecified.
  std::int64_t retry_after_ms = 0;
  // Why the graph that was asked for has failed; empty for other results.
  std::string failure;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_COMMAND_H_
