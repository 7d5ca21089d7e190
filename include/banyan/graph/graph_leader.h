#ifndef BANYAN_GRAPH_GRAPH_LEADER_H_
#define BANYAN_GRAPH_GRAPH_LEADER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/graph_placement.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/pacer.h"
#include "banyan/graph/worker_view.h"
#include "banyan/settings/scheduling_policy.h"
#include "banyan/wire/command.h"
#include "banyan/wire/message.h"

namespace banyan {

// What the leader's duties for job graphs depend on.
struct GraphLeaderOptions {
  // The lease that a sync gives a worker, from its sending on.
  Span lease = std::chrono::seconds(4);
  // What the leader waits beyond a lease: clocks drift by 2%, and an agent
  // that was frozen needs a moment to notice.
  Span lease_margin = Millis(500);
  SchedulingPolicy scheduling;
  bool log_latencies = false;
};

// What the leader wants done for job graphs.
struct GraphLeaderOutputs {
  std::vector<Command> proposals;
  // Orders, each for the agent that it names.
  std::vector<Outbound> orders;
  Events events;
};

// The leader's duties for job graphs: workers' leases, orders to agents,
// placement. What it knows beyond the table is soft and lost with the
// leadership.
class GraphLeader {
 public:
  explicit GraphLeader(GraphLeaderOptions options) : options_(options) {}

  // Begins a leadership; every worker may hold a lease of the one before.
  void Reset(Time now, const GraphTable& table, std::uint64_t fencing_token);

  // Takes a worker's report; `may_grant` tells whether no other leader exists.
  void OnSync(Time now,
              const GraphTable& table,
              const std::string& agent,
              const WorkerSync& sync,
              bool may_grant_lease);

  // Acts on what the log applied.
  void OnApplied(Time now,
                 const GraphTable& table,
                 const Command& command,
                 const GraphApplyResult& applied);

  // Returns why a submission is refused, if it is; nothing admits it.
  [[nodiscard]] std::optional<CommandResult> CheckAdmission(
      const GraphTable& table,
      const SubmitGraph& submit);

  // Lets leases run out and places what is ready.
  void Decide(Time now, WallMillis wall, const GraphTable& table);

  [[nodiscard]] GraphLeaderOutputs TakeOutputs() {
    return std::exchange(out_, GraphLeaderOutputs{});
  }

 private:
  void ProposeAdmission(Time now,
                        const GraphTable& table,
                        const std::string& agent,
                        const WorkerSync& sync);
  void ProposeRunEnds(Time now,
                      const GraphWorker& worker,
                      const WorkerSync& sync);
  void Reconcile(Time now,
                 const GraphTable& table,
                 const GraphWorker& worker,
                 const WorkerSync& sync,
                 WorkerOrders& orders);
  void Throttle(Time now,
                const GraphTable& table,
                const GraphWorker& worker,
                WorkerOrders& orders);
  void LogLatencies(const GraphWorker& worker,
                    std::span<const ServingTask> serving,
                    std::span<const FillingTask> filling);
  void MoveStarvedRuns(Time now,
                       const GraphTable& table,
                       const GraphWorker& worker,
                       WorkerOrders& orders);
  void SuspectAfterFailure(Time now, GraphWorkerView& view, const RunRef& run);
  void ExpireLeases(Time now, const GraphTable& table);
  void StopStuckRuns(Time now, const GraphTable& table);
  // Returns what was seen of a worker's life; what was seen of the life before
  // it is forgotten.
  [[nodiscard]] GraphWorkerView& ViewFor(const WorkerIncarnation& incarnation);
  // When a lease that is granted now has run out for certain.
  [[nodiscard]] Time LeaseExpiry(Time now) const noexcept {
    return now + options_.lease + options_.lease_margin;
  }
  [[nodiscard]] DropWorker MakeDropWorker(const WorkerIncarnation& incarnation,
                                          std::string cause) const;
  [[nodiscard]] RunStart MakeStart(const GraphTable& table,
                                   const GraphWorker& worker,
                                   const RunRef& run) const;
  [[nodiscard]] WorkerOrders MakeOrders(const GraphWorker& worker) const;

  GraphLeaderOptions options_;
  std::uint64_t fencing_token_ = 0;
  std::map<std::string, GraphWorkerView> views_;
  GraphPlacement placement_{options_.scheduling};
  Pacer pacer_;
  // When a batch of placements was proposed that is not applied yet.
  std::optional<Time> placement_proposed_at_;
  GraphLeaderOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_GRAPH_LEADER_H_
