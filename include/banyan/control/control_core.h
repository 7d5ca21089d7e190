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
#include "banyan/control/status_waits.h"
#include "banyan/events/event.h"
#include "banyan/graph/graph_leader.h"
#include "banyan/graph/plan_sender.h"
#include "banyan/graph/plan_watch.h"
#include "banyan/wire/message.h"

namespace banyan {

// Options of the control core of one control process.
struct ControlOptions {
  RaftOptions raft;
  // Differs between the processes of a replica, whose incarnation in the cell
  // lasts as long as its disk.
  std::uint64_t session = 0;
  // Lease duration that each acknowledged heartbeat grants to an instance.
  Duration lease = std::chrono::seconds(10);
  // Additional time that the leader waits after a lease before it treats the
  // lease as expired, to allow for clock drift.
  Duration lease_margin = std::chrono::seconds(1);
  // Number of log entries between two snapshots.
  std::uint64_t snapshot_interval_entries = 5000;
  // Size of the data of the log entries between two snapshots, in bytes, unless
  // the snapshots are larger. A replica stores up to two intervals and two
  // snapshots at a time.
  std::uint64_t snapshot_interval_bytes = std::uint64_t{8} << 20U;
  // Time after which a process that lacks the plan in force is reported.
  Duration plan_bound = Millis(3000);
  // Longest time for which the read of the state of a graph that is about to
  // end waits for its end; zero if such reads are answered at once.
  Duration status_wait{0};
  GraphLeaderOptions graphs;
};

// Reply to a command or query that was submitted to this process directly
// rather than by an attached process; `ticket` identifies the request.
struct LocalReply {
  std::uint64_t ticket = 0;
  CommandResult result;
};

// Request to encode and store a snapshot outside the core. The state is a copy,
// because encoding it takes too long to do on the core's thread.
struct SnapshotRequest {
  // All fields of the snapshot except the encoded state.
  Snapshot snapshot;
  std::shared_ptr<const ControlState> state;
};

// Side effects requested by the control core, to be carried out by the caller.
struct ControlOutputs {
  std::vector<Outbound> messages;
  std::vector<PersistBatch> persists;
  std::optional<SnapshotRequest> snapshot_request;
  std::vector<LocalReply> local_replies;
  Events events;
};

// Versions that an entry process reported in its last heartbeat. The entry may
// be attached to this or another replica.
struct EntryVersions {
  std::uint64_t incarnation = 0;
  std::uint64_t config_version = 0;
  std::uint64_t table_version = 0;
  Time last_heartbeat;
};

// State machine of one control process, without I/O: consensus, the replicated
// state, relaying for attached processes, and the work of the leader.
class ControlCore {
 public:
  ControlCore(ControlOptions options, RestoredLog restored, Time now);

  // Processes timeouts and the periodic work of the leader. `wall` is the
  // wall-clock time recorded in proposed commands. All messages that had
  // arrived by `heard_until` have been passed to Receive().
  void Tick(Time now, WallMillis wall, Time heard_until);
  void Tick(Time now, WallMillis wall) { Tick(now, wall, now); }

  // Handles a message from another process.
  void Receive(Time now,
               WallMillis wall,
               const Sender& from,
               const Message& message);

  // Handles the loss of the connection to a process.
  void OnPeerDisconnected(Time now, const std::string& peer);

  // Handles the confirmation that all batches up to `seq` are on disk.
  void OnPersisted(Time now, std::uint64_t seq);

  // Handles the completion of a requested snapshot, which is now complete and
  // on disk; compacts the log up to it.
  void OnSnapshotWritten(Snapshot snapshot);

  // Submits a command of the local operator API. The reply carries the same
  // ticket.
  void Submit(Time now,
              WallMillis wall,
              std::uint64_t ticket,
              const LoggedCommand& command);

  // Reads state from the leader, which answers only while it holds its lease.
  // The reply carries the same ticket.
  void Query(Time now,
             WallMillis wall,
             std::uint64_t ticket,
             CellQueryKind kind,
             const std::string& key);

  // Replaces the seeds at which this replica looks for its cell.
  void SetSeeds(std::vector<std::string> seeds) {
    raft_.contacts().SetSeeds(std::move(seeds));
  }

  // Starts a planned shutdown: transfers the leadership to another replica.
  void Leave(Time now);

  // Returns and clears the side effects requested since the last call. Applies
  // a bounded part of the committed entries.
  [[nodiscard]] ControlOutputs TakeOutputs(Time now, WallMillis wall);

  // Whether committed entries are left to apply, so that TakeOutputs() should
  // be called again without waiting for input.
  [[nodiscard]] bool HasMoreToApply() const noexcept {
    return raft_.HasMoreCommitted();
  }

  // Whether the state is as recent as the last contact with the leader; see
  // RaftCore::IsFresh(). False while committed entries from disk are not
  // applied, and if two TakeOutputs() in a row have left entries to apply.
  [[nodiscard]] bool IsFresh(Time now) const {
    return parts_left_ < 2 && !IsRestoring() && raft_.IsFresh(now);
  }

  // Whether committed entries from disk are not applied.
  [[nodiscard]] bool IsRestoring() const noexcept {
    return HasMoreToApply() && applied_index_ < restored_index_;
  }

  [[nodiscard]] const RaftCore& raft() const noexcept { return raft_; }
  [[nodiscard]] const ControlState& state() const noexcept { return state_; }
  // See GraphLeader::starved_time().
  [[nodiscard]] Duration starved_time() const noexcept {
    return graphs_.starved_time();
  }
  // Returns what became of the status reads that waited on this replica.
  [[nodiscard]] const StatusWaitCounters& status_wait_counters()
      const noexcept {
    return status_waits_.counters();
  }
  [[nodiscard]] const Scheduler& scheduler() const noexcept {
    return scheduler_;
  }
  [[nodiscard]] const PlanWatch& plan_watch() const noexcept {
    return plan_watch_;
  }
  // Entry processes of the whole cell by id. Maintained by the leader only.
  [[nodiscard]] const std::map<std::string, EntryVersions>& entries()
      const noexcept {
    return entries_;
  }

 private:
  // A process attached to this replica.
  struct AttachedProcess {
    std::uint64_t incarnation = 0;
    bool is_entry = false;
    // How the process takes the service plan.
    PlanDelivery plan_delivery = PlanDelivery::kNone;
    std::uint64_t table_version = 0;
  };

  // The attached process that sent a message, and the replica that it is
  // attached to.
  struct Origin {
    std::string replica;
    std::string peer;
    std::uint64_t incarnation = 0;
  };

  // A read of a graph's state that waits.
  struct StatusReader {
    std::uint64_t seq = 0;
    Origin origin;
  };

  // A proposed command whose sender waits for the reply.
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
  // Sends the configuration if the process has an older one, and the whole
  // endpoint table if its version differs.
  void SendNewerVersions(const std::string& peer,
                         std::uint64_t config_version,
                         std::uint64_t table_version);
  // Handles the message if this replica leads, otherwise relays it to the
  // leader. If no leader is known or the message was relayed already, commands
  // and queries are refused and other messages dropped.
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
  // Answers the reads that have waited for the end of their graph.
  void AnswerWaitingReads(Time now);
  [[nodiscard]] CommandResult AnswerQuery(CellQueryKind kind,
                                          const std::string& key) const;
  void ScheduleGraphs(Time now, WallMillis wall);
  void CollectGraphOutputs(Time now, WallMillis wall);
  void BroadcastPlan(Time now);
  void HandleStatus(Time now,
                    const std::string& peer,
                    const EntryStatus& status);
  // Sends the plan in force to a process, or tells it the version.
  void AnnouncePlan(const std::string& peer, PlanDelivery delivery);
  void SendMembers(const std::string& peer);
  // Stops reported tasks that are not placed on the instance, and starts again
  // placed tasks that it does not report.
  void Reconcile(WallMillis wall,
                 const Instance& instance,
                 const Heartbeat& heartbeat);
  void RunScheduler(Time now, WallMillis wall);
  bool ProposeCommand(Time now, WallMillis wall, Command command);
  void SendStart(const std::string& key, const Job& job);
  void SendToAttached(const std::string& peer, Message message);
  // Whether a process is attached to this replica. The numbers of its requests
  // begin anew with each incarnation, so that a reply to an earlier one would
  // answer another request.
  [[nodiscard]] bool IsAttached(const std::string& peer,
                                std::uint64_t incarnation) const;
  // Sends a message to the process that a message came from, unless it has
  // ended.
  void SendTo(const Origin& origin, Message message);
  void Reply(const Origin& origin, std::uint64_t seq, CommandResult result);
  void ReplyError(const Origin& origin,
                  std::uint64_t seq,
                  ErrorKind error,
                  std::string text);

  void CollectRaftOutputs(Time now);
  void HandleRaftOutputs(Time now, RaftOutputs raft);
  void ApplyCommitted(Time now, const std::vector<LogEntry>& committed);
  void ApplyEntry(Time now, const LogEntry& entry);
  [[nodiscard]] bool IsSnapshotDue() const;
  // Whether this replica's turn lies between two positions of the log. It has
  // one in each interval, another one than the other replicas.
  [[nodiscard]] bool HasTurnBetween(std::uint64_t from,
                                    std::uint64_t to,
                                    std::uint64_t interval) const noexcept;
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
  // All messages that had arrived by then have been handled. Leases expire by
  // this time.
  Time heard_until_;
  Time next_graph_decision_;
  bool has_proposed_ = false;
  // Log index of the membership last sent to attached processes.
  std::uint64_t sent_membership_index_ = 0;
  std::uint64_t applied_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  // ControlState::log_bytes() at that index.
  std::uint64_t snapshot_log_bytes_ = 0;
  // Position of this replica among those configured.
  std::uint64_t snapshot_turn_ = 0;
  bool is_snapshot_pending_ = false;
  bool is_leading_ = false;
  Time next_schedule_;
  // Index of the last log entry restored from disk at startup.
  std::uint64_t restored_index_ = 0;
  // Whether entries restored from disk have changed the service plan since it
  // was last sent. A long log may hold many changes, of which only the last one
  // is sent, after all parts of the log.
  bool has_restored_plan_ = false;
  // How many TakeOutputs() in a row have left committed entries to apply.
  std::uint64_t parts_left_ = 0;
  std::map<std::string, AttachedProcess> attached_;
  PlanSender plan_sender_;
  PlanWatch plan_watch_;
  Time next_plan_check_;
  // Replica through which each attached process is reached, by process id.
  // Maintained by the leader only.
  std::map<std::string, Origin> routes_;
  std::map<std::string, EntryVersions> entries_;
  // Commands awaiting their application, by log index.
  std::map<std::uint64_t, PendingCommand> pending_commands_;
  StatusWaits<StatusReader> status_waits_;
  // Proposed registrations that are not applied yet: instance id, and a key
  // that combines incarnation and leaving flag.
  std::set<std::pair<std::string, std::uint64_t>> pending_registrations_;
  // Tasks whose end was proposed but is not applied yet.
  std::set<TaskId> pending_task_ends_;
  // Messages of attached processes to be relayed to the leader.
  RelayUp pending_relay_up_;
  // Messages to be relayed to processes attached to other replicas, by replica.
  std::map<std::string, RelayDown> pending_relay_down_;
  ControlOutputs outputs_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_CONTROL_CORE_H_
