#ifndef BANYAN_GRAPH_URGENCY_H_
#define BANYAN_GRAPH_URGENCY_H_

#include <compare>
#include <cstdint>

#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"

namespace banyan {

// What placing tasks of a graph can still achieve, best first.
enum class Feasibility : std::uint8_t {
  // Its tasks last; they serve from the moment that they run.
  kLongRunning,
  // It can meet its latency objective.
  kOnTime,
  // It can only be late.
  kLate,
  // Not even a late result counts any more.
  kExpired,
};

// A graph's place in the order of placement; smaller goes first.
struct Urgency {
  std::int64_t priority = 0;
  Feasibility feasibility = Feasibility::kOnTime;
  // Processor time that its steps still need, in thousandths times
  // milliseconds, by what was declared.
  std::int64_t remaining_work = 0;
  // When its objective ends, in milliseconds since the epoch.
  WallMillis objective_deadline = 0;
  std::uint64_t submission_order = 0;

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

// Returns a graph's urgency at a wall time. Work that can meet its objective
// goes before work that can't: in an overload the queue would otherwise make
// everything late by turns. Of what can, the graph with the least work left
// goes first, so that few graphs run at their full width and end instead of
// all at a part of it.
[[nodiscard]] Urgency ComputeUrgency(const Graph& graph, WallMillis now);

}  // namespace banyan

#endif  // BANYAN_GRAPH_URGENCY_H_
