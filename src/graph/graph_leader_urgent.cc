// What the leader does with waits of a placement pass: logs them and makes room
// for urgent tasks.

#include <utility>

#include "banyan/graph/graph_leader.h"
#include "banyan/graph/run_event.h"

namespace banyan {

void GraphLeader::LogWaits(Time now) {
  for (const PlacementWait& wait : placement_.TakeWaits()) {
    out_.events.push_back(WaitEvent(wait));
  }
  for (Event& event : placement_.TakeEvents()) {
    out_.events.push_back(std::move(event));
  }
  for (const LongRunningWait& wait : placement_.TakeLongRunningWaits()) {
    out_.events.push_back(LongRunningWaitEvent(now, wait));
  }
}

void GraphLeader::StopForUrgent(Time now,
                                const GraphTable& table,
                                std::span<const RunPlacement> placed) {
  if (!options_.scheduling.room_for_urgent) {
    return;
  }
  const std::vector<TaskRef> unfit = placement_.TakeUnfit();
  for (const Preemption& stop :
       urgent_room_.ChooseStops(now, table, views_, unfit, placed)) {
    const GraphWorker& worker = table.workers().at(stop.worker);
    // The order is resent until the end of the run is committed.
    views_[stop.worker].stop_sent_at[stop.run] = now;
    WorkerOrders orders = MakeOrders(worker);
    orders.stops.push_back(stop.run);
    out_.orders.push_back({worker.agent, std::move(orders)});
    out_.events.push_back(
        RunEvent(EventId::kRunPreempted, stop.run, stop.worker)
            .With("for", stop.waiting.graph)
            .With("for_step", stop.waiting.step)
            .With("waited_ms", ToMillis(stop.waited))
            .With("scarce", stop.lacks_memory ? "memory" : "cpu")
            .With("kind", static_cast<int>(stop.kind))
            .With("lost_ms", ToMillis(stop.lost_work)));
  }
}

}  // namespace banyan
