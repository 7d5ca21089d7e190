#ifndef BANYAN_GRAPH_WORKER_VIEW_H_
#define BANYAN_GRAPH_WORKER_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// What the leader saw of one run.
struct RunView {
  RunStatus row;
  // When the percentage last changed, and lists since then.
  Time moved_at;
  int lists_unmoved = 0;
  // The share of processor time that was ordered, in percent.
  std::int64_t pace = kFullPercent;
  // Since when that share has been next to nothing.
  std::optional<Time> starved_since;
};

// What the leader learned of one worker's life from its agent's reports.
struct GraphWorkerView {
  WorkerIncarnation life;
  // When the leader may take the worker's lease as run out.
  Time lease_deadline;
  bool reachable = false;
  // The worker's list that the runs below are from.
  std::uint64_t lists = 0;
  bool is_new_list = false;
  Time paced_at;
  std::map<RunRef, RunView> runs;
  // Shares ordered with a start that no list shows yet.
  std::map<RunRef, std::int64_t> starting_pace;
  // When an order was sent last, by run.
  std::map<RunRef, Time> started;
  std::map<RunRef, Time> stopped;
  // The last end that was proposed to the log, and when.
  std::int64_t proposed_end = 0;
  Time proposed_at;
  // When the worker's admission was proposed.
  Time admitting_at;
  bool dropping = false;
  // Graphs whose runs failed here since one was done.
  std::set<std::string> failed_graphs;
  // A suspected worker rests until then, and after that gets one run at a
  // time, until one is done.
  bool suspected = false;
  Time resting_until;
  std::optional<RunRef> probe;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_WORKER_VIEW_H_
