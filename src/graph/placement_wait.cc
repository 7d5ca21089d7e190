#include "banyan/graph/placement_wait.h"

namespace banyan {

Event LongRunningWaitEvent(Time now, const LongRunningWait& wait) {
  std::string rejected;
  for (const RejectedWorker& worker : wait.rejected) {
    rejected += (rejected.empty() ? "" : ",") + worker.id + ":" +
                ToString(worker.exclusion);
  }
  return Event(EventId::kLongRunningWaited)
      .With("request", wait.task.graph)
      .With("occurrence", wait.task.occurrence)
      .With("step", wait.task.step)
      .With("task", wait.task.index)
      .With("waited_ms", ToMillis(now - wait.since))
      .With("room", wait.room)
      .With("workers", wait.pool_workers)
      .With("usable", wait.usable_workers)
      .With("needs_millis", wait.needs.cpu_millis)
      .With("needs_mib", wait.needs.memory_mib)
      .With("free_millis", wait.pool.free.cpu_millis)
      .With("free_mib", wait.pool.free.memory_mib)
      .With("largest_free_millis", wait.pool.largest_free.cpu_millis)
      .With("largest_free_mib", wait.pool.largest_free.memory_mib)
      .With("best_effort_mib", wait.pool.best_effort.memory_mib)
      .With("long_running_mib", wait.pool.long_running.memory_mib)
      .With("chosen", wait.chosen)
      .With("rejected", rejected);
}

}  // namespace banyan
