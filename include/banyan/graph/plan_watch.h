#ifndef BANYAN_GRAPH_PLAN_WATCH_H_
#define BANYAN_GRAPH_PLAN_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "banyan/base/time.h"
#include "banyan/events/event.h"

namespace banyan {

// Tracks which processes attached to a replica hold the operator's plan that is
// in force, and reports those that have lacked it for longer than the bound on
// changes of the plan.
class PlanWatch {
 public:
  explicit PlanWatch(Duration bound) : bound_(bound) {}

  // Records that a version is in force on this replica.
  void OnInForce(Time now, std::uint64_t version);
  // Records the version that a process holds; 0 if it has none.
  void OnHeld(Time now, const std::string& peer, std::uint64_t version);
  // Records that a process is no longer attached. If it comes back, the time
  // for which it has been behind goes on.
  void Remove(Time now, const std::string& peer);

  // Returns the events that are due: for each process that is behind, when the
  // bound has passed and repeatedly after that, and when it has caught up.
  [[nodiscard]] Events Tick(Time now);

  // Number of attached processes that need the plan.
  [[nodiscard]] std::size_t peers() const;
  // Number of attached processes that have lacked a version for longer than the
  // bound.
  [[nodiscard]] std::size_t PeersBehind(Time now) const;
  // Longest time for which an attached process has lacked a version that is in
  // force.
  [[nodiscard]] Duration LongestLag(Time now) const;

 private:
  struct Peer {
    std::uint64_t version = 0;
    // When it was first attached, or had restarted.
    Time attached_at;
    std::optional<Time> detached_at;
    // Earliest time of the next report that it is behind.
    Time next_report_at;
    // Whether it has been reported as behind and not as caught up.
    bool is_reported = false;
  };

  // Returns since when a process has lacked a version; `now` if it lacks none.
  [[nodiscard]] Time BehindSince(Time now, const Peer& peer) const;
  // Whether an attached process has lacked a version for the bound or longer.
  [[nodiscard]] bool IsBehind(Time now, const Peer& peer) const;

  Duration bound_;
  // When each version came into force, from the oldest that a process lacks on.
  std::map<std::uint64_t, Time> in_force_at_;
  std::map<std::string, Peer> peers_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLAN_WATCH_H_
