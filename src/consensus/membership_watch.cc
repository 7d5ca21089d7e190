#include "banyan/consensus/membership_watch.h"

#include "banyan/consensus/raft_log.h"
#include "banyan/consensus/voter_health.h"

namespace banyan {
namespace {

// How long a replica is a learner before that is logged.
constexpr Duration kLearnerWaitThreshold = std::chrono::seconds(2);
// Minimum interval between two events of the same wait.
constexpr Duration kRepeatInterval = std::chrono::seconds(5);

}  // namespace

void MembershipWatch::Observe(Time now, const View& view, Events& events) {
  ObserveLearners(now, view, events);
  ObserveLosses(now, view, events);
}

void MembershipWatch::Reset() {
  next_learner_event_.clear();
  short_since_.reset();
  next_short_event_.reset();
}

void MembershipWatch::ObserveLearners(Time now,
                                      const View& view,
                                      Events& events) {
  std::erase_if(next_learner_event_, [&](const auto& entry) {
    return !IsLearner(view.membership, entry.first);
  });
  for (const MemberStatus& other : view.others) {
    if (!IsLearner(view.membership, other.member)) {
      continue;
    }
    Time& next_event =
        next_learner_event_
            .try_emplace(other.member, other.added_at + kLearnerWaitThreshold)
            .first->second;
    const PromotionObstacle obstacle = FindPromotionObstacle(
        view.membership, view.others, other.member, view.options, now);
    if (now < next_event || obstacle == PromotionObstacle::kSpare) {
      continue;
    }
    next_event = now + kRepeatInterval;
    events.push_back(
        Event(EventId::kLearnerWaiting)
            .With("member", ToText(other.member))
            .With("waited_ms", ToMillis(now - other.added_at))
            .With("lag", other.lag)
            .With("keeps_up", other.is_caught_up ? "true" : "false")
            .With("replied_ms", ToMillis(now - other.silent_since))
            .With("waits_for", ToString(obstacle)));
  }
}

void MembershipWatch::ObserveLosses(Time now,
                                    const View& view,
                                    Events& events) {
  const auto event = [&](EventId id) {
    return Event(id)
        .With("lasted_ms", ToMillis(now - *short_since_))
        .With("voters", view.membership.voters.size())
        .With("learners", view.membership.learners.size())
        .With("losses_borne", view.losses_borne)
        .With("losses_required", view.losses_required);
  };
  if (view.losses_borne >= view.losses_required) {
    if (next_short_event_) {
      events.push_back(event(EventId::kLossesRestored));
    }
    short_since_.reset();
    next_short_event_.reset();
    return;
  }
  if (!short_since_) {
    short_since_ = now;
  }
  const bool is_due = next_short_event_ ? now >= *next_short_event_
                                        : now - *short_since_ > view.catch_up;
  if (is_due) {
    next_short_event_ = now + kRepeatInterval;
    events.push_back(event(EventId::kLossesShort));
  }
}

}  // namespace banyan
