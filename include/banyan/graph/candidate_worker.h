#ifndef BANYAN_GRAPH_CANDIDATE_WORKER_H_
#define BANYAN_GRAPH_CANDIDATE_WORKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"

namespace banyan {

// A task that serves on a worker.
struct ColocatedTask {
  std::string image;
  // What its load is expected to occupy while a task that fills runs, and what
  // may be occupied in all.
  double projected_occupancy = 0;
  double occupancy_limit = 0;
  // Whether its step bounds how many of its tasks share a worker.
  bool is_spread = false;
};

// A worker as placement sees it: what is free after all that was decided.
struct CandidateWorker {
  const GraphWorker* worker = nullptr;
  Resources free;
  // Processor time that is neither committed nor wanted by tasks that fill.
  std::int64_t idle_cpu_millis = 0;
  // The tasks here with a latency target, and those that fill.
  std::vector<ColocatedTask> serving;
  std::vector<BestEffortNeighbour> best_effort;
  // Of the latter, those whose interference here is open.
  int exploring_tasks = 0;
  // Whether the worker gets one run only, to see whether it does well.
  bool needs_probe = false;
  // Whether it has got that run.
  bool has_probe = false;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CANDIDATE_WORKER_H_
