#ifndef BANYAN_GRAPH_BACKLOG_H_
#define BANYAN_GRAPH_BACKLOG_H_

#include <algorithm>
#include <cstdint>

#include "banyan/base/time.h"
#include "banyan/graph/urgency.h"

namespace banyan {

// Tells which graphs of a pool's backlog can still be in time behind the ones
// that are placed before them. Room that goes to a graph that will be late all
// the same makes another one late.
class Backlog {
 public:
  // `drain_cpu_millis` is the processor time, in thousandths, that the pool
  // gives to tasks that fill.
  explicit Backlog(std::int64_t drain_cpu_millis)
      : drain_rate_(std::max<std::int64_t>(drain_cpu_millis, 1)) {}

  // Takes the next graph in the order of placement. Returns false, and leaves
  // its work out, when it would end after its objective.
  [[nodiscard]] bool TryAdd(const Urgency& urgency, WallMillis now) noexcept {
    const std::int64_t total_work = queued_work_ + urgency.remaining_work;
    if (now + total_work / drain_rate_ > urgency.objective_deadline) {
      return false;
    }
    queued_work_ = total_work;
    return true;
  }

 private:
  std::int64_t drain_rate_ = 1;
  std::int64_t queued_work_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_BACKLOG_H_
