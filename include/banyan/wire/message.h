#ifndef BANYAN_WIRE_MESSAGE_H_
#define BANYAN_WIRE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "banyan/wire/command.h"
#include "banyan/wire/graph.h"
#include "banyan/wire/instance.h"
#include "banyan/wire/job.h"
#include "banyan/wire/preset.h"

namespace banyan {

// Names a replica of the control cell. The incarnation belongs to its data
// folder: a replica that lost its disk is another member.
struct MemberId {
  std::string id;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

// The members of the control cell.
struct Membership {
  std::vector<MemberId> voters;
  std::vector<MemberId> learners;

  friend bool operator==(const Membership&, const Membership&) = default;
};

// What an entry of the replicated log holds.
enum class EntryKind : std::uint8_t { kCommand, kMembership };

// One entry of the replicated log.
struct LogEntry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  EntryKind kind = EntryKind::kCommand;
  // An encoded LoggedCommand or Membership.
  std::string data;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

// The first message of each side of a connection; it names the sender.
struct PeerHello {
  static constexpr const char* kType = "peer-hello";
};

// Asks for a vote, or in a pre-vote whether one would be given.
struct VoteRequest {
  static constexpr const char* kType = "vote-request";
  // The receiver's incarnation; any other member ignores the message.
  std::uint64_t target = 0;
  std::uint64_t term = 0;
  bool pre_vote = false;
  // Whether the old leader handed its office over to the candidate.
  bool transfer = false;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
};

// Answers a VoteRequest.
struct VoteReply {
  static constexpr const char* kType = "vote-reply";
  std::uint64_t term = 0;
  bool pre_vote = false;
  bool granted = false;
};

// Replicates entries; without entries it is the leader's heartbeat.
struct AppendRequest {
  static constexpr const char* kType = "append-request";
  // The receiver's incarnation; any other member ignores the message.
  std::uint64_t target = 0;
  std::uint64_t term = 0;
  std::uint64_t prev_index = 0;
  std::uint64_t prev_term = 0;
  std::uint64_t commit = 0;
  // The leader's heartbeat round, sent back to confirm the leader's lease.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

// Answers an AppendRequest or an InstallSnapshot.
struct AppendReply {
  static constexpr const char* kType = "append-reply";
  std::uint64_t term = 0;
  bool success = false;
  // On success the last index known to match, else where to try again.
  std::uint64_t match_index = 0;
  // The prev_index of the request that this answers.
  std::uint64_t prev_index = 0;
  std::uint64_t round = 0;
};

// Replaces a follower's log by a snapshot.
struct InstallSnapshot {
  static constexpr const char* kType = "install-snapshot";
  // The receiver's incarnation; any other member ignores the message.
  std::uint64_t target = 0;
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::uint64_t round = 0;
  Membership membership;
  std::string state;
};

// Tells a caught-up follower to stand for election at once.
struct TimeoutNow {
  static constexpr const char* kType = "timeout-now";
  std::uint64_t term = 0;
};

// A replica without membership tells the others so. All configured members
// empty form a new cell; otherwise the leader admits it as a learner.
struct JoinRequest {
  static constexpr const char* kType = "join-request";
  // Whether the sender's data folder is empty.
  bool empty = true;
  // The members the sender knows to be empty, by identity.
  std::vector<MemberId> seen;
};

// An agent announces its instance.
struct AgentHello {
  static constexpr const char* kType = "agent-hello";
  InstanceInfo info;
  std::vector<TaskId> running;
};

// What one running task uses, as the worker measured it some time ago.
struct TaskUsage {
  TaskId task;
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mib = 0;
};

// An agent renews its instance's lease and everything that runs under it.
struct Heartbeat {
  static constexpr const char* kType = "heartbeat";
  std::uint64_t seq = 0;
  std::uint64_t config_version = 0;
  bool leaving = false;
  // Processor use of the whole worker in percent, services included.
  std::int64_t cpu_percent = 0;
  // Mean latency of an endpoint's recent answers; 0 without any.
  std::int64_t latency_us = 0;
  // Every attempt that runs or whose end is not acknowledged yet.
  std::vector<TaskUsage> usage;
};

// Confirms a heartbeat with the leader's stamp. The agent counts freshness and
// lease from when it sent the heartbeat.
struct HeartbeatAck {
  static constexpr const char* kType = "heartbeat-ack";
  std::uint64_t seq = 0;
  // Whether the cell knows this incarnation of the instance.
  bool registered = false;
  bool data_centre_out = false;
  std::uint64_t config_version = 0;
  std::int64_t lease_ms = 0;
};

// Orders an agent to start a task.
struct StartTask {
  static constexpr const char* kType = "start-task";
  TaskId task;
  // The agent's incarnation that the task was placed on.
  std::uint64_t incarnation = 0;
  JobSpec spec;
  std::string checkpoint;
  std::uint64_t config_version = 0;
};

// Orders an agent to stop a task.
struct StopTask {
  static constexpr const char* kType = "stop-task";
  TaskId task;
  // Whether a checkpoint is taken first.
  bool checkpoint = false;
  std::string cause;
};

// Sets the share of a processor that a task may use, in percent.
struct ThrottleTask {
  static constexpr const char* kType = "throttle-task";
  TaskId task;
  std::int64_t percent = 100;
};

// Reports the end of an attempt; repeated until acknowledged.
struct TaskReport {
  static constexpr const char* kType = "task-report";
  TaskId task;
  TaskEnd end = TaskEnd::kLost;
  std::string checkpoint;
  std::string cause;
};

// Tells the agent that the end of an attempt stands in the log.
struct TaskReportAck {
  static constexpr const char* kType = "task-report-ack";
  TaskId task;
};

// An entry announces itself and what it has in force.
struct EntryHeartbeat {
  static constexpr const char* kType = "entry-heartbeat";
  std::uint64_t seq = 0;
  std::uint64_t config_version = 0;
  std::uint64_t table_version = 0;
};

// Tells an entry how current its control replica is.
struct EntryHeartbeatAck {
  static constexpr const char* kType = "entry-heartbeat-ack";
  std::uint64_t seq = 0;
  // Whether the replica heard from a leader with a majority of late.
  bool fresh = false;
};

// Brings an entry's endpoint table from one version to another.
struct EndpointTable {
  static constexpr const char* kType = "endpoint-table";
  std::uint64_t version = 0;
  // Whether this replaces the table; otherwise it is a delta.
  bool full = true;
  std::vector<InstanceInfo> changed;
  std::vector<std::string> removed;
};

// The configuration in force.
struct ConfigUpdate {
  static constexpr const char* kType = "config-update";
  std::uint64_t version = 0;
  std::string preset_name;
  Preset preset;
  std::vector<std::string> out;
};

// Asks the leader, through any replica, to commit a command.
struct CommandRequest {
  static constexpr const char* kType = "command-request";
  std::uint64_t seq = 0;
  LoggedCommand command;
};

// Answers a CommandRequest.
struct CommandReply {
  static constexpr const char* kType = "command-reply";
  std::uint64_t seq = 0;
  CommandResult result;
};

// A message on its way between an attached process and the leader.
struct RelayItem {
  // The attached process: the origin on the way up, the target down.
  std::string peer;
  std::uint64_t incarnation = 0;
  // The encoded message.
  std::string frame;
};

// Messages of attached processes, gathered by their replica for the leader.
struct RelayUp {
  static constexpr const char* kType = "relay-up";
  std::vector<RelayItem> items;
};

// Messages of the leader to processes attached to a replica.
struct RelayDown {
  static constexpr const char* kType = "relay-down";
  std::vector<RelayItem> items;
};

// Hands a request to an agent.
struct Dispatch {
  static constexpr const char* kType = "dispatch";
  std::uint64_t seq = 0;
  // A restarted agent refuses what was meant for the one before.
  std::uint64_t agent_incarnation = 0;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  // What is left of the caller's budget; a deadline where it arrives.
  std::int64_t budget_ms = 0;
  // Empty for an unclaimed request.
  std::string claim_key;
  std::uint64_t attempt = 0;
  std::uint64_t config_version = 0;
};

// Answers a Dispatch.
struct DispatchReply {
  static constexpr const char* kType = "dispatch-reply";
  std::uint64_t seq = 0;
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // The error where the endpoint gave no whole answer.
  ErrorKind error = ErrorKind::kInternal;
  int status = 0;
  std::string content_type;
  std::string body;
  std::int64_t in_flight = 0;
  std::int64_t queued = 0;
  std::uint64_t config_version = 0;
};

// Withdraws a dispatch that its entry needs no more.
struct CancelDispatch {
  static constexpr const char* kType = "cancel-dispatch";
  std::uint64_t seq = 0;
};

// Asks an agent never to run a claimed attempt.
struct TombstoneRequest {
  static constexpr const char* kType = "tombstone-request";
  std::uint64_t seq = 0;
  std::uint64_t agent_incarnation = 0;
  std::string claim_key;
  std::uint64_t attempt = 0;
};

// What an agent says to a TombstoneRequest.
enum class TombstoneVerdict : std::uint8_t {
  // The attempt did not run and never will.
  kGranted,
  // The attempt ran; the answer comes along.
  kFinished,
  // This incarnation can't tell.
  kUnknown,
};

// Answers a TombstoneRequest, once the attempt is not running any more.
struct TombstoneReply {
  static constexpr const char* kType = "tombstone-reply";
  std::uint64_t seq = 0;
  TombstoneVerdict verdict = TombstoneVerdict::kUnknown;
  int status = 0;
  std::string content_type;
  std::string body;
};

// Everything that the system's own processes say to each other.
using Message = std::variant<PeerHello,
                             VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             InstallSnapshot,
                             TimeoutNow,
                             JoinRequest,
                             AgentHello,
                             Heartbeat,
                             HeartbeatAck,
                             StartTask,
                             StopTask,
                             ThrottleTask,
                             TaskReport,
                             TaskReportAck,
                             EntryHeartbeat,
                             EntryHeartbeatAck,
                             EndpointTable,
                             ConfigUpdate,
                             CommandRequest,
                             CommandReply,
                             RelayUp,
                             RelayDown,
                             Dispatch,
                             DispatchReply,
                             CancelDispatch,
                             TombstoneRequest,
                             TombstoneReply,
                             WorkerSync,
                             WorkerOrders,
                             CellQuery,
                             EntryStatus,
                             EntryStatusAck,
                             PlanUpdate,
                             CellMembers>;

// Who sent a message.
struct Sender {
  std::string id;
  std::uint64_t incarnation = 0;

  friend bool operator==(const Sender&, const Sender&) = default;
};

// A message with its sender, as it travels.
struct Envelope {
  Sender sender;
  Message message;
};

// A message that a core wants sent.
struct Outbound {
  std::string to;
  Message message;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_MESSAGE_H_
