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
      .With("chosen", wait.chosen)
      .With("rejected", rejected);
}

}  // namespace banyan
