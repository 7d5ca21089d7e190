#ifndef BANYAN_CONSENSUS_RAFT_EVENTS_H_
#define BANYAN_CONSENSUS_RAFT_EVENTS_H_

#include <cstdint>
#include <map>

#include "banyan/base/time.h"
#include "banyan/consensus/membership_plan.h"
#include "banyan/consensus/raft_types.h"
#include "banyan/events/event.h"

namespace banyan {

// An election that has run out of time.
struct LapsedElection {
  std::uint64_t term = 0;
  // Time since the votes were asked for.
  Duration waited{0};
  const std::map<MemberId, bool>& votes;
  const Membership& membership;
  bool is_own_vote_on_disk = false;
};

// Returns the event of a term and vote that are on disk, `took` after they were
// handed out to be written.
[[nodiscard]] Event TermPersistedEvent(const HardState& hard_state,
                                       Duration took);

// Returns the event of an election that has run out of time.
[[nodiscard]] Event ElectionLapsedEvent(const LapsedElection& election);

// Returns the event of a proposed change of the membership; `next` is sorted.
[[nodiscard]] Event MemberChangedEvent(const Membership& next,
                                       const MembershipChange& change);

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_EVENTS_H_
