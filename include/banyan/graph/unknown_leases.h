#ifndef BANYAN_GRAPH_UNKNOWN_LEASES_H_
#define BANYAN_GRAPH_UNKNOWN_LEASES_H_

#include <map>
#include <string>
#include <utility>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Returns the longest time for which a worker holds a lease: its clock may be
// 2% slow.
[[nodiscard]] constexpr Duration OnSlowClock(Duration lease) noexcept {
  return lease * 50 / 49;
}

// Returns by how much such a clock may be late at the end of a lease.
[[nodiscard]] constexpr Duration MaxClockLag(Duration lease) noexcept {
  return OnSlowClock(lease) - lease;
}

// Until when workers may hold leases that no leader has granted. A call to an
// earlier incarnation that the next one carries out gives it the longest lease
// that workers take, as its clock has begun anew. Admitted incarnations refuse
// such calls, so these leases begin before the admission. Every replica keeps
// the times of its own, since any of them may lead next.
class UnknownLeases {
 public:
  // `max_lease` is the longest lease that workers take, by their clocks.
  explicit UnknownLeases(Duration max_lease) : max_lease_(max_lease) {}

  // Forgets all times: the table comes from a snapshot or from the disk.
  void OnRestored(Time now);

  // Processes the admission of an incarnation to the table. One that is
  // admitted again has refused calls to earlier ones all along.
  void OnAdmitted(Time now, const WorkerIncarnation& incarnation);

  // Returns whether the incarnation has been admitted since the table was
  // restored, as far as this replica remembers.
  [[nodiscard]] bool WasAdmitted(const WorkerIncarnation& incarnation) const;

  // Returns when such leases of an admitted incarnation have run out.
  [[nodiscard]] Time EndOf(const WorkerIncarnation& incarnation) const;

 private:
  Duration max_lease_;
  // For incarnations that were admitted before the table was restored.
  Time restored_end_;
  // By the last incarnation of each worker.
  std::map<std::string, std::pair<WorkerIncarnation, Time>> ends_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_UNKNOWN_LEASES_H_
