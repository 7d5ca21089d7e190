#ifndef BANYAN_GRAPH_URGENT_ROOM_H_
#define BANYAN_GRAPH_URGENT_ROOM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/worker_view.h"

namespace banyan {

// Free capacity to keep on each worker when a long-running task is placed, by
// service.
using HeadroomByService = std::map<std::string, Resources, std::less<>>;

// Which runs are stopped first; smaller goes first.
enum class PreemptionKind : std::uint8_t {
  // Best-effort, in the way of memory.
  kBestEffort,
  // Of lower priority, and saves checkpoints.
  kLowerPriorityCheckpointing,
  kLowerPriority,
  // Long-running, and bounded by the step's `max_unavailable`.
  kLongRunning,
};

// A run to stop for an urgent task that waits.
struct Preemption {
  RunRef run;
  std::string worker;
  PreemptionKind kind = PreemptionKind::kBestEffort;
  // One of the tasks that wait.
  TaskRef waiting;
  Duration waited{};
  // Whether memory is scarce on the worker; otherwise processors are.
  bool lacks_memory = false;
  // Work since the last checkpoint; none for a long-running task.
  Duration lost_work{};
};

// Makes room for urgent tasks: ready tasks of queues of priority 0 that are
// neither long-running nor best-effort and that found no worker for lack of
// processors or memory. Deterministic, without I/O; reads no clock.
class UrgentRoom {
 public:
  // Starts a leadership. Nothing is known of stops by the previous leader, so
  // no long-running task is stopped at first.
  void Reset(Time now);

  // Returns the headroom in pools whose urgent tasks have waited lately, or
  // whose long-running tasks that wait would leave less room free than urgent
  // tasks use at present. It is less than any long-running task that waits
  // there.
  [[nodiscard]] HeadroomByService Headroom(Time now, const GraphTable& table);

  // Returns the runs to stop after a placement pass. `unfit` has the urgent
  // tasks that found no room in the pass, `placed` what it has placed.
  [[nodiscard]] std::vector<Preemption> ChooseStops(
      Time now,
      const GraphTable& table,
      const std::map<std::string, GraphWorkerView>& views,
      std::span<const TaskRef> unfit,
      std::span<const RunPlacement> placed);

 private:
  // Tasks of one step that found no room.
  struct Demand {
    TaskRef task;
    const StepSpec* step = nullptr;
    const std::string* service = nullptr;
    std::int64_t tasks = 0;
    Time since;
  };

  // A recent shortage in one pool.
  struct Shortage {
    // When an urgent task last waited.
    Time last_wait_at;
    // The largest sum of what waited at a time, and the largest task.
    Resources total;
    Resources largest;
  };

  // The state of one pass.
  class Pass;

  // Returns the steps that have waited for long enough, oldest first, and
  // forgets the waits of others.
  [[nodiscard]] std::vector<Demand> FindDemands(
      Time now,
      const GraphTable& table,
      std::span<const TaskRef> unfit,
      std::span<const RunPlacement> placed);
  void RecordShortages(Time now, std::span<const Demand> demands);

  std::optional<Time> started_at_;
  // Since when the tasks of a step have found no room, by its first task.
  std::map<TaskRef, Time> waiting_since_;
  // When a run of a graph was last stopped.
  std::map<std::string, Time> stopped_at_;
  std::map<std::string, Shortage> shortages_;
};

// Returns how many tasks of a step count as unavailable: those that aren't at
// work, are being stopped or haven't been at work without interruption for
// 5.5 s, as far as this leader has seen.
[[nodiscard]] std::int64_t UnavailableTasks(
    Time now,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const TaskRef& first);

}  // namespace banyan

#endif  // BANYAN_GRAPH_URGENT_ROOM_H_
