#ifndef BANYAN_CONTROL_CONTROL_CORE_H_
#define BANYAN_CONTROL_CONTROL_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/consensus/raft_core.h"
#include "banyan/control/control_state.h"
#include "banyan/control/scheduler.h"
#include "banyan/events/event.h"
#include "banyan/graph/graph_leader.h"
#include "banyan/wire/message.h"

namespace banyan {

// Settings of one control process that its core needs.
struct ControlOptions {
  RaftOptions raft;
  // The lease that a heartbeat gives an instance.
  Span lease = std::chrono::seconds(10);
  // What the leader waits beyond a lease, for clocks that drift.
  Span lease_margin = std::chrono::seconds(1);
  // Entries after which a snapshot is taken.
  std::uint64_t snapshot_interval_entries = 5000;
  GraphLeaderOptions graphs;
};

// The answer to a command of the local operator API.
struct LocalReply {
  std::uint64_t ticket = 0;
  CommandResult result;
};

// A snapshot to be made beside the core: the state is a copy, because encoding
// it takes longer than the core may stand still.
struct SnapshotRequest {
  // Everything but the state.
  Snapshot snapshot;
  std::shared_ptr<const ControlState> state;
};

// What one or more steps of the control core want done.
struct ControlOutputs {
  std::vector<Outbound> messages;
  std::vector<PersistBatch> persists;
  std::optional<SnapshotRequest> snapshot_request;
  std::vector<LocalReply> local_replies;
  Events events;
};

// What a process attached to this or another replica has in force.
struct EntryVersions {
  std::uint64_t incarnation = 0;
  std::uint64_t config_version = 0;
  std::uint64_t table_version = 0;
  Time last_heartbeat;
};

// One control process without its I/O: consensus, the replicated state, the
// relay for attached processes, and the duties of the leader.
class ControlCore {
 public:
  ControlCore(ControlOptions options, const RestoredLog& restored, Time now);

  // Lets deadlines pass.
  void Tick(Time now, WallMillis wall);

  // Takes a message of another process.
  void Receive(Time now,
               WallMillis wall,
               const Sender& from,
               const Message& message);

  // Notes that a connection to a process was lost.
  void OnPeerDisconnected(const std::string& peer);

  // Notes that batches up to this one are on disk.
  void OnPersisted(Time now, std::uint64_t seq);

  // Takes the snapshot that was ordered, now whole and on disk.
  void OnSnapshotWritten(Snapshot snapshot);

  // Takes a command of the local operator API; the answer bears the ticket.
  void Submit(Time now,
              WallMillis wall,
              std::uint64_t ticket,
              const LoggedCommand& command);

  // Reads confirmed state; the answer bears the ticket.
  void Query(Time now,
             WallMillis wall,
             std::uint64_t ticket,
             CellQueryKind kind,
             const std::string& key);

  // Begins a planned stop: the leadership goes to another replica.
  void Leave(Time now);

  // Returns what all steps since the last call want done.
  [[nodiscard]] ControlOutputs TakeOutputs(Time now, WallMillis wall);

  [[nodiscard]] const RaftCore& raft() const noexcept { return raft_; }
  [[nodiscard]] const ControlState& state() const noexcept { return state_; }
  [[nodiscard]] const Scheduler& scheduler() const noexcept {
    return scheduler_;
  }
  // Entries of the whole cell as the leader knows them.
  [[nodiscard]] const std::map<std::string, EntryVersions>& entries()
      const noexcept {
    return entries_;
  }

 private:
  // A process attached to this replica.
  struct AttachedProcess {
    std::uint64_t incarnation = 0;
    bool is_entry = false;
    // Whether it works by the operator's plan.
    bool receives_plan = false;
    std::uint64_t table_version = 0;
  };

  // Where a message of an attached process came from.
  struct Origin {
    std::string replica;
    std::string peer;
    std::uint64_t incarnation = 0;
  };

  // A command that waits to be applied.
  struct PendingCommand {
    std::uint64_t term = 0;
    std::uint64_t seq = 0;
    Origin origin;
  };

  void ReceiveAttached(Time now,
                       WallMillis wall,
                       const Sender& from,
                       const Message& message);
  void HandleRelay(Time now,
                   WallMillis wall,
                   const Sender& from,
                   const RelayUp& relay);
  void HandleRelay(const RelayDown& relay);
  void SendNewerVersions(const std::string& peer,
                         std::uint64_t config_version,
                         std::uint64_t table_version);
  void HandleOrForward(Time now,
                       WallMillis wall,
                       const Origin& origin,
                       const Message& message);

  void HandleAsLeader(Time now,
                      WallMillis wall,
                      const Origin& origin,
                      const AgentHello& hello);
  void HandleAsLeader(Time now,
                      WallMillis wall,
                      const Origin& origin,
                      const Heartbeat& heartbeat);
  void HandleAsLeader(Time now,
                      WallMillis wall,
                      const Origin& origin,
                      const TaskReport& report);
  void HandleAsLeader(Time now,
                      WallMillis wall,
                      const Origin& origin,
                      const EntryHeartbeat& heartbeat);
  void HandleAsLeader(Time now,
                      WallMillis wall,
                      const Origin& origin,
                      const CommandRequest& request);
  void HandleAsLeader(Time now,
                      WallMillis wall,
                      const Origin& origin,
                      const WorkerSync& sync);
  void HandleAsLeader(Time now,
                      WallMillis wall,
                      const Origin& origin,
                      const CellQuery& query);
  [[nodiscard]] CommandResult AnswerQuery(CellQueryKind kind,
                                          const std::string& key) const;
  void ScheduleGraphs(Time now, WallMillis wall);
  void CollectGraphOutputs(Time now, WallMillis wall);
  void BroadcastPlan();
  void SendMembers(const std::string& peer);
  void Reconcile(WallMillis wall,
                 const Instance& instance,
                 const Heartbeat& heartbeat);
  void RunScheduler(Time now, WallMillis wall);
  bool ProposeCommand(Time now, WallMillis wall, Command command);
  void SendStart(const std::string& key, const Job& job);
  void SendToAttached(const std::string& peer, Message message);
  void Reply(const Origin& origin, std::uint64_t seq, CommandResult result);
  void ReplyError(const Origin& origin,
                  std::uint64_t seq,
                  ErrorKind error,
                  std::string text);

  void CollectRaftOutputs(Time now);
  void ApplyCommitted(Time now, const std::vector<LogEntry>& committed);
  void ApplyEntry(Time now, const LogEntry& entry);
  void HandleApplied(Time now,
                     const LoggedCommand& command,
                     const Applied& applied);
  void BroadcastConfig();
  void BroadcastEndpoint(const std::string& id);
  void UpdateLeadership(Time now);
  void StopLeading();

  ControlOptions options_;
  RaftCore raft_;
  ControlState state_;
  Scheduler scheduler_;
  GraphLeader graphs_;
  Time next_graph_decision_;
  bool has_proposed_ = false;
  // The membership that attached processes were told last.
  std::uint64_t sent_membership_index_ = 0;
  std::uint64_t applied_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  // By how many entries this replica's snapshots come before others'.
  std::uint64_t snapshot_index_offset_ = 0;
  bool is_snapshot_pending_ = false;
  bool is_leading_ = false;
  Time next_schedule_;
  // The last entry that was read back from disk at start.
  std::uint64_t restored_index_ = 0;
  std::map<std::string, AttachedProcess> attached_;
  // The leader's knowledge of which replica an attached process uses.
  std::map<std::string, Origin> routes_;
  std::map<std::string, EntryVersions> entries_;
  std::map<std::uint64_t, PendingCommand> pending_commands_;
  std::set<std::pair<std::string, std::uint64_t>> pending_registrations_;
  std::set<TaskId> pending_task_ends_;
  RelayUp pending_relay_up_;
  std::map<std::string, RelayDown> pending_relay_down_;
  ControlOutputs outputs_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_CONTROL_CORE_H_
