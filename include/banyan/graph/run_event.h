#ifndef BANYAN_GRAPH_RUN_EVENT_H_
#define BANYAN_GRAPH_RUN_EVENT_H_

#include <string_view>

#include "banyan/events/event.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Returns an event about a run, with the fields that identify the run.
[[nodiscard]] inline Event RunEvent(EventId id,
                                    const RunRef& run,
                                    std::string_view worker) {
  return Event(id)
      .With("request", run.task.graph)
      .With("step", run.task.step)
      .With("task", run.task.index)
      .With("run", run.run)
      .With("worker", worker);
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_RUN_EVENT_H_
