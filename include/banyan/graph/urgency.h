#ifndef BANYAN_GRAPH_URGENCY_H_
#define BANYAN_GRAPH_URGENCY_H_

#include <compare>
#include <cstdint>
#include <limits>

#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"

namespace banyan {

// Whether a graph can still meet its latency objective, best first.
enum class Feasibility : std::uint8_t {
  // Can meet its latency objective, has neither long-running nor best-effort
  // tasks, and its pool is short of room.
  kUrgent,
  // The same with a late result that still counts.
  kUrgentLate,
  // Has long-running tasks, which are useful as soon as they run.
  kLongRunning,
  // Can meet its latency objective.
  kOnTime,
  // Will miss its objective, but a late result still counts.
  kLate,
  // Too late for its result to count.
  kExpired,
};

// Sort key of a graph in the placement order; smaller is placed first. The
// fields are compared in the order of their declaration.
struct Urgency {
  std::int64_t priority = 0;
  Feasibility feasibility = Feasibility::kOnTime;
  // Submission order of a graph that has waited for more than its objective, so
  // that graphs with more work don't starve; otherwise the largest value.
  std::uint64_t overdue_order = std::numeric_limits<std::uint64_t>::max();
  // CPU time that its steps still need by their declared run times, in
  // milliseconds of a thousandth of a processor.
  std::int64_t remaining_work = 0;
  // Deadline of its latency objective, in milliseconds since the epoch.
  WallMillis objective_deadline = 0;
  std::uint64_t submission_order = 0;

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

// Returns a graph's urgency at a wall time. Graphs that can meet their
// objective precede those that cannot: in an overload, submission order would
// make all of them late. Among graphs of equal feasibility the one with the
// least remaining work is first, so that a few graphs run all their tasks at
// once and finish, instead of all graphs progressing slowly.
[[nodiscard]] Urgency ComputeUrgency(const Graph& graph, WallMillis now);

}  // namespace banyan

#endif  // BANYAN_GRAPH_URGENCY_H_
