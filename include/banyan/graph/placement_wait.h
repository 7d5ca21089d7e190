#ifndef BANYAN_GRAPH_PLACEMENT_WAIT_H_
#define BANYAN_GRAPH_PLACEMENT_WAIT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/exclusion.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Why a ready task was not placed: the number of workers of its pool that were
// rejected, by reason.
struct PlacementWait {
  std::string graph;
  std::string image;
  // Too little uncommitted memory or CPU time.
  int unfit = 0;
  // Too little idle CPU time for a best-effort task.
  int busy = 0;
  // A co-located latency-sensitive task would miss its target.
  int interference = 0;
  // The interference of the image is uncertain there, and the load leaves too
  // little headroom to try it.
  int uncertain = 0;
  // Any other exclusion.
  int excluded = 0;

  // Counts workers that were rejected.
  constexpr void Count(Exclusion exclusion, int workers) noexcept {
    switch (exclusion) {
      case Exclusion::kUnfit:
        unfit += workers;
        break;
      case Exclusion::kBusy:
        busy += workers;
        break;
      case Exclusion::kInterference:
        interference += workers;
        break;
      case Exclusion::kUncertain:
        uncertain += workers;
        break;
      default:
        excluded += workers;
    }
  }
};

// Returns the event that logs a wait.
[[nodiscard]] inline Event WaitEvent(const PlacementWait& wait) {
  return Event(EventId::kGraphWaiting)
      .With("request", wait.graph)
      .With("image", wait.image)
      .With("unfit", wait.unfit)
      .With("busy", wait.busy)
      .With("interference", wait.interference)
      .With("uncertain", wait.uncertain)
      .With("excluded", wait.excluded);
}

// A worker that was rejected for a task.
struct RejectedWorker {
  std::string id;
  Exclusion exclusion = Exclusion::kNone;
};

// What the workers of a pool that take runs have free and reserved.
struct PoolRoom {
  // All that is free, and the most of each amount that is free on one worker.
  Resources free;
  Resources largest_free;
  // Reserved by best-effort and by long-running tasks.
  Resources best_effort;
  Resources long_running;
};

// The wait of a long-running task, which must not last while there is room.
struct LongRunningWait {
  TaskRef task;
  // Since when the task has been ready.
  Time since;
  // How often the task fits on the workers of its pool.
  std::int64_t room = 0;
  // Number of workers of its pool, and of those that take runs at present.
  std::size_t pool_workers = 0;
  std::size_t usable_workers = 0;
  // The worker that was chosen; empty if the task goes on waiting.
  std::string chosen;
  // The workers of the pool that were rejected; those without room only if none
  // has any.
  std::vector<RejectedWorker> rejected;
  // What the task reserves, and what the pool has for it.
  Resources needs;
  PoolRoom pool;
};

// Returns the event that logs the wait of a long-running task.
[[nodiscard]] Event LongRunningWaitEvent(Time now, const LongRunningWait& wait);

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLACEMENT_WAIT_H_
