#ifndef BANYAN_GRAPH_GRAPH_LEADER_H_
#define BANYAN_GRAPH_GRAPH_LEADER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/admission_forecast.h"
#include "banyan/graph/graph_placement.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/incarnation_numbers.h"
#include "banyan/graph/pacer.h"
#include "banyan/graph/run_time_observer.h"
#include "banyan/graph/speculation.h"
#include "banyan/graph/unknown_leases.h"
#include "banyan/graph/urgent_room.h"
#include "banyan/graph/worker_view.h"
#include "banyan/settings/scheduling_policy.h"
#include "banyan/wire/command.h"
#include "banyan/wire/message.h"

namespace banyan {

// Time after which a proposal that was not applied counts as lost.
inline constexpr Duration kProposalTimeout = Millis(1500);

// Configuration of the leader's handling of job graphs.
struct GraphLeaderOptions {
  // Duration of a worker's lease, counted from when its sync was sent.
  Duration lease = std::chrono::seconds(4);
  // Extra wait before a lease counts as expired: clocks drift by 2%, and an
  // agent that was frozen takes a moment to notice.
  Duration lease_margin = Millis(500);
  // Longest lease that a worker takes, by its own clock.
  Duration max_worker_lease = std::chrono::seconds(4);
  SchedulingPolicy scheduling;
  bool log_latencies = false;
};

// Effects that the caller must carry out for the leader.
struct GraphLeaderOutputs {
  std::vector<Command> proposals;
  // Commands, each addressed to an agent.
  std::vector<Outbound> orders;
  Events events;
};

// The leader's handling of job graphs: worker leases, commands to agents and
// placement. State beyond the table is soft: it is discarded when the
// leadership ends.
class GraphLeader {
 public:
  explicit GraphLeader(GraphLeaderOptions options) : options_(options) {}

  // Processes a command that was applied to the table while this replica
  // doesn't lead.
  void OnFollowed(Time now, const GraphApplyResult& applied);

  // Processes a table that comes from a snapshot or from the disk.
  void OnRestored(Time now) { unknown_leases_.OnRestored(now); }

  // Starts a leadership. Assumes that every worker holds a lease granted by the
  // previous leader.
  void Reset(Time now, const GraphTable& table, std::uint64_t fencing_token);

  // Processes a worker's state. `may_grant_lease` says whether the leader holds
  // its own lease, so that no other leader exists.
  void OnSync(Time now,
              const GraphTable& table,
              const std::string& agent,
              const WorkerSync& sync,
              bool may_grant_lease);

  // Processes a command that was applied to the table.
  void OnApplied(Time now,
                 const GraphTable& table,
                 const Command& command,
                 const GraphApplyResult& applied);

  // Returns the refusal of a submission; empty if it is admitted.
  // `may_forecast` says whether the leader holds its own lease: otherwise
  // another leader may have accepted the same submission.
  [[nodiscard]] std::optional<CommandResult> CheckAdmission(
      Time now,
      WallMillis wall,
      const GraphTable& table,
      const SubmitGraph& submit,
      bool may_forecast);

  // Returns the number of accepted graphs of a queue with no run started, by
  // the log and by the runs that workers list.
  [[nodiscard]] std::int64_t PendingGraphCount(const GraphTable& table,
                                               std::string_view queue) const;

  // Expires leases, stops stuck runs and places ready tasks. All syncs that had
  // arrived by `heard_until` have been processed; later ones may still wait.
  void Decide(Time now,
              WallMillis wall,
              const GraphTable& table,
              Time heard_until);
  void Decide(Time now, WallMillis wall, const GraphTable& table) {
    Decide(now, wall, table, now);
  }

  // Returns the total time of this leadership that long-running tasks have
  // waited although there was room for them twice over.
  [[nodiscard]] Duration starved_time() const noexcept {
    return placement_.starved_time();
  }

  // Returns what copies of speculative tasks have gained and cost in this
  // leadership.
  [[nodiscard]] const CopyCounters& copy_counters() const noexcept {
    return speculation_.counters();
  }

  [[nodiscard]] GraphLeaderOutputs TakeOutputs() {
    return std::exchange(out_, GraphLeaderOutputs{});
  }

 private:
  void ProposeAdmission(Time now,
                        const GraphTable& table,
                        const std::string& agent,
                        const WorkerSync& sync);
  // Returns whether the table has another incarnation of a worker, by its id or
  // by its agent.
  [[nodiscard]] static bool HasOther(const GraphTable& table,
                                     const std::string& agent,
                                     const WorkerIncarnation& incarnation);
  // Proposes the ends as done that an incarnation lists of runs placed on an
  // earlier one, as far as they count. Returns whether there are any; the
  // earlier one must not be removed, nor this one be admitted, before they are
  // committed.
  bool ProposeInheritedEnds(const GraphTable& table, const WorkerSync& sync);
  // Returns whether an incarnation that is not known must not be admitted
  // before its lease has run out. After its admission all its ends are
  // acknowledged, and an end as done must not be acknowledged within the lease
  // in which the run has ended if its task was or may be placed again.
  [[nodiscard]] bool MustOutlastLease(const GraphTable& table,
                                      const WorkerSync& sync);
  // Proposes the ended runs of a worker's incarnation that has ended and what
  // is known of its crash, then its removal.
  void OnLeave(Time now,
               const GraphTable& table,
               const GraphWorker& worker,
               const WorkerSync& sync);
  // Proposes to count a worker's crash for the tasks connected to it.
  void ProposeCrashes(const GraphTable& table, const WorkerSync& sync);
  // Proposes to count a crash of which the agent knows nothing, since it has
  // restarted, too: runs count as at work, but for those of suspects that are
  // not known to have survived their start.
  void ProposeUnseenCrash(const GraphTable& table, const GraphWorker& worker);
  // Whether other workers were lost together with this one, or whether this
  // leader can't tell.
  [[nodiscard]] bool HasCommonCause(const WorkerIncarnation& incarnation) const;
  void ProposeRunEnds(Time now,
                      const GraphWorker& worker,
                      const WorkerSync& sync);
  void Reconcile(Time now,
                 const GraphTable& table,
                 const GraphWorker& worker,
                 const WorkerSync& sync,
                 WorkerOrders& orders);
  // Logs that a run must not start since its worker's capacity has shrunk.
  void LogWithdrawn(const RunRef& run, const GraphWorker& worker);
  void Throttle(Time now,
                const GraphTable& table,
                const GraphWorker& worker,
                WorkerOrders& orders);
  void LogLatencies(const GraphWorker& worker,
                    std::span<const ServingTask> serving,
                    std::span<const BestEffortTask> filling);
  void MoveStarvedRuns(Time now,
                       const GraphTable& table,
                       const GraphWorker& worker,
                       WorkerOrders& orders);
  // Counts a failed or stuck run against its worker unless its task is known to
  // fail elsewhere, too.
  void SuspectAfterFailure(Time now,
                           const GraphTable& table,
                           GraphWorkerView& view,
                           const RunRef& run);
  // Whether the task has failed lately on several other workers that seem to be
  // sound.
  [[nodiscard]] bool FailsElsewhere(Time now,
                                    const TaskRef& task,
                                    const std::string& worker) const;
  // Clears the worker's suspicion if a long-running run that started after its
  // last failure has been at work for long enough.
  void FindSoundRuns(Time now, const GraphTable& table, GraphWorkerView& view);
  // Logs the waits that the last placement pass recorded.
  void LogWaits(Time now);
  // Stops runs for urgent tasks that found no room in the last placement pass.
  void StopForUrgent(Time now,
                     const GraphTable& table,
                     std::span<const RunPlacement> placed);
  void ExpireLeases(Time now, const GraphTable& table, Time heard_until);
  void StopStuckRuns(Time now, const GraphTable& table, Time heard_until);
  // Returns the view of a worker's incarnation. The view of an earlier
  // incarnation is discarded.
  [[nodiscard]] GraphWorkerView& ViewFor(const WorkerIncarnation& incarnation);
  // Returns when a lease granted now has certainly expired.
  [[nodiscard]] Time LeaseExpiry(Time now) const noexcept {
    return now + options_.lease + options_.lease_margin;
  }
  // Proposes to remove a worker's incarnation. `ended` is what its agent
  // reported in the sync that causes the removal.
  void ProposeRemoval(Time now,
                      const GraphWorker& worker,
                      std::span<const EndedRun> ended,
                      std::string cause);
  [[nodiscard]] DropWorker MakeDropWorker(const WorkerIncarnation& incarnation,
                                          std::string cause) const;
  [[nodiscard]] RunStart MakeStart(const GraphTable& table,
                                   const GraphWorker& worker,
                                   const RunRef& run) const;
  [[nodiscard]] WorkerOrders MakeOrders(const GraphWorker& worker) const;

  GraphLeaderOptions options_;
  std::uint64_t fencing_token_ = 0;
  IncarnationNumbers numbers_;
  UnknownLeases unknown_leases_{options_.max_worker_lease};
  std::map<std::string, GraphWorkerView> views_;
  GraphPlacement placement_{options_.scheduling};
  UrgentRoom urgent_room_;
  AdmissionForecast forecast_{options_.scheduling};
  Speculation speculation_{options_.scheduling};
  Pacer pacer_;
  RunTimeObserver run_times_;
  // Workers that stopped answering, with the time of the report of it.
  std::vector<std::pair<WorkerIncarnation, Time>> losses_;
  // Incarnations that wait for their admission until their lease has run out.
  std::set<WorkerIncarnation> delayed_;
  // When the pending batch of placements was proposed; empty if none is.
  std::optional<Time> placement_proposed_at_;
  GraphLeaderOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_GRAPH_LEADER_H_
