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

// Creates or replaces a preset. Replacing the one in force is a change of
// configuration and needs the expected version.
struct CreatePreset {
  static constexpr const char* kType = "create-preset";
  std::string name;
  Preset preset;
  std::uint64_t expected_version = 0;
};

// Puts a preset in force.
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

// Sets what a team may have running at once.
struct SetTeam {
  static constexpr const char* kType = "set-team";
  std::string team;
  Resources quota;
  std::uint64_t expected_version = 0;
};

// Submits a job under a key that the team chose.
struct SubmitJob {
  static constexpr const char* kType = "submit-job";
  std::string key;
  JobSpec spec;
};

// Cancels a job wherever it stands.
struct CancelJob {
  static constexpr const char* kType = "cancel-job";
  std::string key;
};

// Makes an instance known. Tasks that it reports as running stay with it;
// tasks placed on it that it does not report are released.
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

// Ends an attempt.
struct EndTask {
  static constexpr const char* kType = "end-task";
  TaskId task;
  TaskEnd end = TaskEnd::kLost;
  std::string checkpoint;
  std::string cause;
};

// Claims a non-idempotent request before its dispatch. With an expected
// attempt it replaces that attempt, which its agent promised never to run.
struct OpenClaim {
  static constexpr const char* kType = "open-claim";
  std::string key;
  // Digest of the request, so that a key is not reused for another one.
  std::uint64_t digest = 0;
  std::string agent;
  std::uint64_t agent_incarnation = 0;
  std::uint64_t expected_attempt = 0;
  WallMillis expires_at = 0;
};

// How a claimed attempt ended.
enum class ClaimEnd : std::uint8_t { kFinished, kReleased, kUnknown };

// Ends a claimed attempt, with the answer where there is one.
struct EndClaim {
  static constexpr const char* kType = "end-claim";
  std::string key;
  std::uint64_t attempt = 0;
  ClaimEnd end = ClaimEnd::kUnknown;
  int status = 0;
  std::string content_type;
  std::string body;
};

// An empty command: a new leader's first entry.
struct NoOp {
  static constexpr const char* kType = "no-op";
};

// Everything that can change the replicated state.
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
                             EndRuns>;

// A command as it stands in the log.
struct LoggedCommand {
  // Names the command for resends; empty where a resend is harmless.
  std::string command_id;
  // The leader's wall time when it took the command.
  WallMillis proposed_at = 0;
  Command command;
};

// Where a claim stands, as told to an entry.
enum class ClaimState : std::uint8_t {
  kNone,
  kOpen,
  kFinished,
  kReleased,
  kUnknown,
};

// What a claim command found.
struct ClaimView {
  ClaimState state = ClaimState::kNone;
  // Whether this very command opened the attempt.
  bool granted = false;
  std::uint64_t attempt = 0;
  std::string agent;
  std::uint64_t agent_incarnation = 0;
  int status = 0;
  std::string content_type;
  std::string body;
};

// The answer to a command.
struct CommandResult {
  bool ok = false;
  ErrorKind error = ErrorKind::kInternal;
  std::string text;
  // The configuration version after the command.
  std::uint64_t version = 0;
  ClaimView claim;
  // When a refused caller may come back, in milliseconds; 0 leaves it open.
  std::int64_t retry_after_ms = 0;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_COMMAND_H_
