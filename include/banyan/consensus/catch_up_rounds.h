#ifndef BANYAN_CONSENSUS_CATCH_UP_ROUNDS_H_
#define BANYAN_CONSENSUS_CATCH_UP_ROUNDS_H_

#include <cstdint>

#include "banyan/base/time.h"

namespace banyan {

// Tells whether a member keeps up with the leader's log, by rounds of
// replication (Ongaro, "Consensus: Bridging Theory and Practice", 4.2.1). A
// round ends when the member holds all entries that the log held at its start.
// How fast the log grows doesn't matter to a member that receives and stores it
// as fast: unlike its lag, the time that a round takes doesn't grow with it.
class CatchUpRounds {
 public:
  CatchUpRounds() = default;

  // Starts the first round. Rounds have to end within `limit`.
  CatchUpRounds(Time now, std::uint64_t last_index, Duration limit) noexcept
      : target_(last_index), due_(now + limit) {}

  // Records that the member holds all entries up to `match` while the log ends
  // at `last_index`.
  void OnMatch(Time now,
               std::uint64_t match,
               std::uint64_t last_index,
               Duration limit) noexcept {
    if (match < target_) {
      return;
    }
    has_ended_in_time_ = now < due_;
    target_ = last_index;
    due_ = now + limit;
  }

  // Whether the latest round ended in time and the present one is not overdue.
  [[nodiscard]] bool KeepsUp(Time now) const noexcept {
    return has_ended_in_time_ && now < due_;
  }

 private:
  // The last index of the present round.
  std::uint64_t target_ = 0;
  // When the present round has to have ended.
  Time due_;
  bool has_ended_in_time_ = false;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_CATCH_UP_ROUNDS_H_
