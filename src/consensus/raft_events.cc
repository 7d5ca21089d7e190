#include "banyan/consensus/raft_events.h"

#include <algorithm>

#include "banyan/consensus/voter_health.h"

namespace banyan {

Event TermPersistedEvent(const HardState& hard_state, Duration took) {
  return Event(EventId::kTermPersisted)
      .With("term", hard_state.term)
      .With("voted_for", hard_state.voted_for.id)
      .With("took_ms", ToMillis(took));
}

Event ElectionLapsedEvent(const LapsedElection& election) {
  const auto granted =
      std::count_if(election.votes.begin(), election.votes.end(),
                    [](const auto& vote) { return vote.second; });
  return Event(EventId::kElectionLapsed)
      .With("term", election.term)
      .With("waited_ms", ToMillis(election.waited))
      .With("granted", static_cast<std::int64_t>(granted))
      .With("needed", election.membership.voters.size() / 2 + 1)
      .With("own_vote_on_disk",
            election.is_own_vote_on_disk ? "true" : "false");
}

Event MemberChangedEvent(const Membership& next,
                         const MembershipChange& change) {
  return Event(EventId::kMemberChanged)
      .With("voters", next.voters.size())
      .With("learners", next.learners.size())
      .With("voter_ids", ToText(next.voters))
      .With("learner_ids", ToText(next.learners))
      .With("change", ToString(change.kind))
      .With("member", ToText(change.member));
}

}  // namespace banyan
