#ifndef BANYAN_GRAPH_PLAN_WATCH_H_
#define BANYAN_GRAPH_PLAN_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
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
  // Forgets a process that is no longer attached.
  void Remove(const std::string& peer) { peers_.erase(peer); }

  // Returns the events that are due: for each process that is behind, when the
  // bound has passed and repeatedly after that, and when it has caught up.
  [[nodiscard]] Events Tick(Time now);

  // Number of processes that need the plan.
  [[nodiscard]] std::size_t peers() const noexcept { return peers_.size(); }
  // Number of processes that have lacked a version for longer than the bound.
  [[nodiscard]] std::size_t PeersBehind(Time now) const;
  // Longest time for which a process has lacked a version that is in force.
  [[nodiscard]] Duration LongestLag(Time now) const;

 private:
  struct Peer {
    std::uint64_t version = 0;
    Time attached_at;
    // When it is reported next, if it is behind.
    Time report_at = Time::max();
    // Whether it has been reported as behind.
    bool is_reported = false;
  };

  // Returns since when a process has lacked a version; `now` if it lacks none.
  [[nodiscard]] Time BehindSince(Time now, const Peer& peer) const;

  Duration bound_;
  // When each version came into force, from the oldest that a process lacks on.
  std::map<std::uint64_t, Time> in_force_at_;
  std::map<std::string, Peer> peers_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLAN_WATCH_H_
