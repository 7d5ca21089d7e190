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
  std::uint64_t snapshot_every = 5000;
  GraphLeaderOptions graphs;
};

// The answer to a command of the local operator API.
struct LocalAnswer {
  std::uint64_t ticket = 0;
  CommandResult result;
};

// A snapshot to be made beside the core: the state is a copy, because encoding
// it takes longer than the core may stand still.
struct CompactOrder {
  // Everything but the state.
  Snapshot snapshot;
  std::shared_ptr<const ControlState> state;
};

// What one or more steps of the control core want done.
struct ControlOutputs {
  std::vector<Outbound> messages;
  std::vector<PersistBatch> persists;
  std::optional<CompactOrder> compact;
  std::vector<LocalAnswer> answers;
  Events events;
};

// What a process attached to this or another replica has in force.
struct AttachedView {
  std::uint64_t incarnation = 0;
  std::uint64_t config_version = 0;
  std::uint64_t table_version = 0;
  Time heard;
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
  void PeerDown(const std::string& peer);

  // Notes that batches up to this one are on disk.
  void OnPersisted(Time now, std::uint64_t seq);

  // Takes the snapshot that was ordered, now whole and on disk.
  void OnCompacted(Snapshot snapshot);

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
  [[nodiscard]] const std::map<std::string, AttachedView>& entries()
      const noexcept {
    return entries_;
  }

 private:
  // A process attached to this replica.
  struct Attached {
    std::uint64_t incarnation = 0;
    bool is_entry = false;
    // Whether it works by the operator's plan.
    bool wants_plan = false;
    std::uint64_t table_version = 0;
  };

  // Where a message of an attached process came from.
  struct Origin {
    std::string replica;
    std::string peer;
    std::uint64_t incarnation = 0;
  };

  // A command that waits to be applied.
  struct Waiting {
    std::uint64_t term = 0;
    std::uint64_t seq = 0;
    Origin origin;
  };

  void ReceiveAttached(Time now,
                       WallMillis wall,
                       const Sender& from,
                       const Message& message);
  void On(Time now, WallMillis wall, const Sender& from, const RelayUp& relay);
  void On(const RelayDown& relay);
  void BringUpToDate(const std::string& peer,
                     std::uint64_t config_version,
                     std::uint64_t table_version);
  void Forward(Time now,
               WallMillis wall,
               const Origin& origin,
               const Message& message);

  void LeadOn(Time now,
              WallMillis wall,
              const Origin& origin,
              const AgentHello& hello);
  void LeadOn(Time now,
              WallMillis wall,
              const Origin& origin,
              const Heartbeat& heartbeat);
  void LeadOn(Time now,
              WallMillis wall,
              const Origin& origin,
              const TaskReport& report);
  void LeadOn(Time now,
              WallMillis wall,
              const Origin& origin,
              const EntryHeartbeat& heartbeat);
  void LeadOn(Time now,
              WallMillis wall,
              const Origin& origin,
              const CommandRequest& request);
  void LeadOn(Time now,
              WallMillis wall,
              const Origin& origin,
              const WorkerSync& sync);
  void LeadOn(Time now,
              WallMillis wall,
              const Origin& origin,
              const CellQuery& query);
  [[nodiscard]] CommandResult AnswerQuery(CellQueryKind kind,
                                          const std::string& key) const;
  void RunGraphs(Time now, WallMillis wall);
  void TakeGraphOutputs(Time now, WallMillis wall);
  void AnnouncePlan();
  void AnnounceMembers(const std::string& peer);
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

  void TakeRaftOutputs(Time now);
  void ApplyCommitted(Time now, const std::vector<LogEntry>& committed);
  void ApplyEntry(Time now, const LogEntry& entry);
  void ActOn(Time now, const LoggedCommand& command, const Applied& applied);
  void AnnounceConfig();
  void AnnounceEndpoint(const std::string& id);
  void FollowRole(Time now);
  void StopLeading();

  ControlOptions options_;
  RaftCore raft_;
  ControlState state_;
  Scheduler scheduler_;
  GraphLeader graphs_;
  Time next_graph_decision_;
  bool has_proposed_ = false;
  // The membership that attached processes were told last.
  std::uint64_t announced_members_ = 0;
  std::uint64_t applied_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  // By how many entries this replica's snapshots come before others'.
  std::uint64_t snapshot_offset_ = 0;
  bool is_compacting_ = false;
  bool is_leading_ = false;
  Time next_schedule_;
  // The last entry that was read back from disk at start.
  std::uint64_t recovered_index_ = 0;
  std::map<std::string, Attached> attached_;
  // The leader's knowledge of which replica an attached process uses.
  std::map<std::string, Origin> route_;
  std::map<std::string, AttachedView> entries_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::set<std::pair<std::string, std::uint64_t>> registering_;
  std::set<TaskId> ending_;
  RelayUp up_;
  std::map<std::string, RelayDown> down_;
  ControlOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_CONTROL_CORE_H_
