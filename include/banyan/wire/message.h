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

// Identifies a replica of the control cell. The incarnation is tied to the data
// directory, so a replica that lost its disk counts as a different member.
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

// Type of the payload of a log entry.
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

// First message that each side sends on a connection; identifies the sender.
struct PeerHello {
  static constexpr const char* kType = "peer-hello";
};

// Requests a vote, or in a pre-vote asks whether a vote would be granted.
struct VoteRequest {
  static constexpr const char* kType = "vote-request";
  // Incarnation of the intended receiver; other incarnations ignore the
  // message.
  std::uint64_t target = 0;
  std::uint64_t term = 0;
  bool pre_vote = false;
  // Whether the previous leader transferred leadership to the candidate.
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

// Replicates log entries; empty requests serve as the leader's heartbeat.
struct AppendRequest {
  static constexpr const char* kType = "append-request";
  // Incarnation of the intended receiver; other incarnations ignore the
  // message.
  std::uint64_t target = 0;
  std::uint64_t term = 0;
  std::uint64_t prev_index = 0;
  std::uint64_t prev_term = 0;
  std::uint64_t commit = 0;
  // The leader's heartbeat round, echoed in the reply to confirm its lease.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

// Answers an AppendRequest or an InstallSnapshot.
struct AppendReply {
  static constexpr const char* kType = "append-reply";
  std::uint64_t term = 0;
  bool success = false;
  // On success the last index known to match, otherwise the index after which
  // the leader retries.
  std::uint64_t match_index = 0;
  // The prev_index of the request being answered.
  std::uint64_t prev_index = 0;
  std::uint64_t round = 0;
  // Whether the sender is shutting down.
  bool leaving = false;
};

// Replaces a follower's log with a snapshot.
struct InstallSnapshot {
  static constexpr const char* kType = "install-snapshot";
  // Incarnation of the intended receiver; other incarnations ignore the
  // message.
  std::uint64_t target = 0;
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::uint64_t round = 0;
  Membership membership;
  std::string state;
};

// Tells an up-to-date follower to start an election immediately.
struct TimeoutNow {
  static constexpr const char* kType = "timeout-now";
  std::uint64_t term = 0;
};

// Announces a replica that has no membership, or that hears no leader and may
// have been removed. If all configured replicas are empty, they form a new
// cell; otherwise the leader adds it as a learner. Members that don't lead
// forward the request to the leader.
struct JoinRequest {
  static constexpr const char* kType = "join-request";
  // Whether the sender has no membership, or only the initial one of a newly
  // formed cell.
  bool empty = true;
  // Members, with incarnations, that the sender knows to have started empty.
  std::vector<MemberId> seen;
  // The replica that requests admission; empty if it is the sender itself.
  MemberId requester;
};

// Sent by an agent to register its instance.
struct AgentHello {
  static constexpr const char* kType = "agent-hello";
  InstanceInfo info;
  std::vector<TaskId> running;
};

// Resource use of a running task, as last measured by the worker; may be stale.
struct TaskUsage {
  TaskId task;
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mib = 0;
};

// Sent by an agent to renew the lease that covers its instance and its tasks.
struct Heartbeat {
  static constexpr const char* kType = "heartbeat";
  std::uint64_t seq = 0;
  std::uint64_t config_version = 0;
  bool leaving = false;
  // CPU use of the whole worker in percent, including services.
  std::int64_t cpu_percent = 0;
  // Mean latency of an endpoint's recent responses in microseconds; 0 if there
  // were none.
  std::int64_t latency_us = 0;
  // All attempts that are running or whose end is not yet acknowledged.
  std::vector<TaskUsage> usage;
};

// The leader's acknowledgement of a heartbeat. The agent measures freshness and
// lease from the time at which it sent the heartbeat.
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
  // Incarnation of the agent for which the task was placed.
  std::uint64_t incarnation = 0;
  JobSpec spec;
  std::string checkpoint;
  std::uint64_t config_version = 0;
};

// Orders an agent to stop a task.
struct StopTask {
  static constexpr const char* kType = "stop-task";
  TaskId task;
  // Whether to take a checkpoint before stopping.
  bool checkpoint = false;
  std::string cause;
};

// Limits the share of CPU time that a task may use, in percent.
struct ThrottleTask {
  static constexpr const char* kType = "throttle-task";
  TaskId task;
  std::int64_t percent = 100;
};

// Reports the end of an attempt; resent until acknowledged.
struct TaskReport {
  static constexpr const char* kType = "task-report";
  TaskId task;
  TaskEnd end = TaskEnd::kLost;
  std::string checkpoint;
  std::string cause;
};

// Confirms to the agent that the end of an attempt is committed to the log.
struct TaskReportAck {
  static constexpr const char* kType = "task-report-ack";
  TaskId task;
};

// Sent by an entry to announce itself and the versions that it uses.
struct EntryHeartbeat {
  static constexpr const char* kType = "entry-heartbeat";
  std::uint64_t seq = 0;
  std::uint64_t config_version = 0;
  std::uint64_t table_version = 0;
};

// Tells an entry whether the state of its control replica is current.
struct EntryHeartbeatAck {
  static constexpr const char* kType = "entry-heartbeat-ack";
  std::uint64_t seq = 0;
  // Whether the replica recently heard from a leader that has a quorum.
  bool fresh = false;
};

// Updates an entry's endpoint table to a new version.
struct EndpointTable {
  static constexpr const char* kType = "endpoint-table";
  std::uint64_t version = 0;
  // Whether the message replaces the whole table; otherwise it is a delta.
  bool full = true;
  std::vector<InstanceInfo> changed;
  std::vector<std::string> removed;
};

// The active configuration.
struct ConfigUpdate {
  static constexpr const char* kType = "config-update";
  std::uint64_t version = 0;
  std::string preset_name;
  Preset preset;
  std::vector<std::string> out;
};

// Asks the leader to commit a command; may be sent to any replica.
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

// A message relayed between an attached process and the leader.
struct RelayItem {
  // The attached process: the sender in RelayUp, the receiver in RelayDown.
  std::string peer;
  std::uint64_t incarnation = 0;
  // The encoded message.
  std::string frame;
};

// Messages from attached processes, batched by their replica for the leader.
struct RelayUp {
  static constexpr const char* kType = "relay-up";
  std::vector<RelayItem> items;
};

// Messages from the leader to the processes attached to a replica.
struct RelayDown {
  static constexpr const char* kType = "relay-down";
  std::vector<RelayItem> items;
};

// Forwards a request to an agent.
struct Dispatch {
  static constexpr const char* kType = "dispatch";
  std::uint64_t seq = 0;
  // A restarted agent rejects requests addressed to an earlier incarnation.
  std::uint64_t agent_incarnation = 0;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  // Remaining time budget of the caller, converted to a deadline on receipt.
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
  // The error if the endpoint gave no complete response.
  ErrorKind error = ErrorKind::kInternal;
  int status = 0;
  std::string content_type;
  std::string body;
  std::int64_t in_flight = 0;
  std::int64_t queued = 0;
  std::uint64_t config_version = 0;
};

// Cancels a dispatch whose result the entry no longer needs.
struct CancelDispatch {
  static constexpr const char* kType = "cancel-dispatch";
  std::uint64_t seq = 0;
};

// Asks an agent to guarantee that a claimed attempt will never run.
struct TombstoneRequest {
  static constexpr const char* kType = "tombstone-request";
  std::uint64_t seq = 0;
  std::uint64_t agent_incarnation = 0;
  std::string claim_key;
  std::uint64_t attempt = 0;
};

// An agent's decision on a TombstoneRequest.
enum class TombstoneVerdict : std::uint8_t {
  // The attempt has not run and never will.
  kGranted,
  // The attempt ran; its response is included.
  kFinished,
  // This incarnation cannot determine whether the attempt ran.
  kUnknown,
};

// Answers a TombstoneRequest once the attempt is no longer running.
struct TombstoneReply {
  static constexpr const char* kType = "tombstone-reply";
  std::uint64_t seq = 0;
  TombstoneVerdict verdict = TombstoneVerdict::kUnknown;
  int status = 0;
  std::string content_type;
  std::string body;
};

// Any message exchanged between the processes of the system.
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
                             PlanOffer,
                             PlanRequest,
                             PlanPart,
                             CellMembers,
                             CellReferral>;

// Identifies the sender of a message.
struct Sender {
  std::string id;
  std::uint64_t incarnation = 0;

  friend bool operator==(const Sender&, const Sender&) = default;
};

// A message with its sender, as transmitted.
struct Envelope {
  Sender sender;
  Message message;
};

// A message that a core requests to be sent.
struct Outbound {
  std::string to;
  Message message;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_MESSAGE_H_
