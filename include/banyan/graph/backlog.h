#ifndef BANYAN_GRAPH_BACKLOG_H_
#define BANYAN_GRAPH_BACKLOG_H_

#include <algorithm>
#include <cstdint>

#include "banyan/base/time.h"
#include "banyan/graph/urgency.h"

namespace banyan {

// Forecasts which graphs of a pool's backlog can meet their objective behind
// those placed before them. Capacity given to a graph that will be late anyway
// would make another graph late.
class Backlog {
 public:
  // `drain_cpu_millis` is the CPU time that the pool gives to best-effort
  // tasks, in thousandths of a processor.
  explicit Backlog(std::int64_t drain_cpu_millis)
      : drain_rate_(std::max<std::int64_t>(drain_cpu_millis, 1)) {}

  // Adds the next graph in placement order. Returns false and does not count
  // its work if it would finish after its deadline.
  [[nodiscard]] bool TryAdd(const Urgency& urgency, WallMillis now) noexcept {
    const std::int64_t total_work = queued_work_ + urgency.remaining_work;
    if (now + total_work / drain_rate_ > urgency.objective_deadline) {
      return false;
    }
    queued_work_ = total_work;
    return true;
  }

 private:
  // In thousandths of a processor.
  std::int64_t drain_rate_ = 1;
  // In milliseconds of a thousandth of a processor.
  std::int64_t queued_work_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_BACKLOG_H_
