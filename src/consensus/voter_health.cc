#include "banyan/consensus/voter_health.h"

#include <algorithm>
#include <utility>

#include "banyan/consensus/raft_log.h"

namespace banyan {
namespace {

// Minimum interval between two events of a lost majority.
constexpr Duration kQuorumLostInterval = std::chrono::seconds(5);
// How long a replica asks for its admission before that is logged.
constexpr Duration kJoinWaitThreshold = std::chrono::seconds(2);
// Minimum interval between two events of a replica that waits for admission.
constexpr Duration kJoinWaitingInterval = std::chrono::seconds(5);
// A wait for admission has ended if no request is sent for this long.
constexpr Duration kJoinRequestGap = std::chrono::seconds(2);

std::int64_t VoterCount(const Membership& membership) {
  return static_cast<std::int64_t>(membership.voters.size());
}

std::int64_t MajorityOf(const Membership& membership) {
  return VoterCount(membership) / 2 + 1;
}

std::string Join(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += text.empty() ? "" : ",";
    text += item;
  }
  return text;
}

}  // namespace

std::string ToText(const MemberId& member) {
  return member.id + "/" + std::to_string(member.incarnation);
}

std::string ToText(const std::vector<MemberId>& members) {
  std::vector<std::string> items;
  items.reserve(members.size());
  for (const MemberId& member : members) {
    items.push_back(ToText(member));
  }
  return Join(items);
}

VoterHealth::VoterHealth(MemberId self, const RaftTimings& timings, Time now)
    : self_(std::move(self)),
      heartbeat_interval_(timings.heartbeat_interval),
      silence_timeout_(timings.election_timeout * 2),
      last_leader_at_(now),
      next_quorum_lost_event_(now),
      last_join_request_(now),
      join_requested_since_(now),
      next_join_event_(now) {}

void VoterHealth::OnHeard(Time now,
                          const MemberId& from,
                          const Membership& membership) {
  if (from == self_ ||
      (!IsVoter(membership, from) && !IsLearner(membership, from))) {
    return;
  }
  const auto added =
      members_.try_emplace(from, Member{Contact(now), {}, false, now});
  added.first->second.heard_at = now;
  added.first->second.contact.OnAnswered(now);
}

void VoterHealth::OnMembersAsked(Time requested_at, Time sent_by) {
  for (auto& [id, member] : members_) {
    member.contact.OnAsked(requested_at, sent_by);
  }
}

void VoterHealth::Observe(Time heard_until, const View& view, Events& events) {
  TrackMembers(heard_until, view.membership);
  ObserveVoters(heard_until, view, events);
  ObserveQuorum(heard_until, view, events);
}

void VoterHealth::TrackMembers(Time now, const Membership& membership) {
  std::erase_if(members_, [&](const auto& entry) {
    return !IsVoter(membership, entry.first) &&
           !IsLearner(membership, entry.first);
  });
  for (const auto* group : {&membership.voters, &membership.learners}) {
    for (const MemberId& member : *group) {
      if (member != self_) {
        members_.try_emplace(member, Member{Contact(now), {}, false, now});
      }
    }
  }
}

void VoterHealth::ObserveVoters(Time heard_until,
                                const View& view,
                                Events& events) {
  if (view.is_leader != was_leader_) {
    was_leader_ = view.is_leader;
    for (auto& [id, member] : members_) {
      member.is_silence_logged = false;
      member.contact = Contact(heard_until);
    }
  }
  if (!view.is_leader) {
    return;
  }
  const Membership& membership = view.membership;
  for (const MemberId& voter : membership.voters) {
    const auto found = members_.find(voter);
    if (found == members_.end()) {
      continue;
    }
    Member& member = found->second;
    const Duration silence = Silence(heard_until, voter);
    const bool is_silent = silence >= silence_timeout_;
    if (is_silent == member.is_silence_logged) {
      continue;
    }
    member.is_silence_logged = is_silent;
    Event event(is_silent ? EventId::kVoterSilent : EventId::kVoterHeard);
    if (is_silent) {
      member.silent_since = heard_until - silence;
    }
    events.push_back(
        std::move(event)
            .With("voter", voter.id)
            .With("incarnation", voter.incarnation)
            .With("silent_ms", ToMillis(heard_until - member.silent_since))
            .With("voters", VoterCount(membership))
            .With("heard", HeardVoters(heard_until, membership))
            .With("losses_borne", LossesBorne(heard_until, membership)));
  }
}

void VoterHealth::ObserveQuorum(Time heard_until,
                                const View& view,
                                Events& events) {
  const Membership& membership = view.membership;
  if (view.has_leader || !IsVoter(membership, self_)) {
    last_leader_at_ = heard_until;
  }
  const std::int64_t heard = HeardVoters(heard_until, membership);
  const bool is_lost = last_leader_at_ + silence_timeout_ <= heard_until &&
                       heard < MajorityOf(membership);
  if (!is_lost) {
    if (quorum_lost_since_) {
      events.push_back(
          Event(EventId::kQuorumRegained)
              .With("lost_ms", ToMillis(heard_until - *quorum_lost_since_))
              .With("voters", VoterCount(membership))
              .With("heard", heard)
              .With("needed", MajorityOf(membership)));
      quorum_lost_since_.reset();
    }
    return;
  }
  if (heard_until < next_quorum_lost_event_) {
    return;
  }
  next_quorum_lost_event_ = heard_until + kQuorumLostInterval;
  if (!quorum_lost_since_) {
    quorum_lost_since_ = heard_until;
  }
  events.push_back(
      Event(EventId::kQuorumLost)
          .With("voters", VoterCount(membership))
          .With("heard", heard)
          .With("needed", MajorityOf(membership))
          .With("leaderless_ms", ToMillis(heard_until - last_leader_at_))
          .With("last_heard_ms", LastHeardText(heard_until, membership)));
}

void VoterHealth::OnJoinRequested(Time now,
                                  const std::vector<std::string>& asked_ids,
                                  bool holds_data,
                                  Events& events) {
  if (last_join_request_ + kJoinRequestGap < now) {
    join_requested_since_ = now;
  }
  last_join_request_ = now;
  if (now - join_requested_since_ <= kJoinWaitThreshold ||
      now < next_join_event_) {
    return;
  }
  next_join_event_ = now + kJoinWaitingInterval;
  events.push_back(Event(EventId::kJoinWaiting)
                       .With("asked", Join(asked_ids))
                       .With("waited_ms", ToMillis(now - join_requested_since_))
                       .With("holds_data", holds_data ? "true" : "false"));
}

bool VoterHealth::IsHeard(Time now, const MemberId& voter) const {
  if (voter == self_) {
    return true;
  }
  const auto found = members_.find(voter);
  return found != members_.end() && found->second.heard_at &&
         now - *found->second.heard_at < silence_timeout_;
}

std::int64_t VoterHealth::HeardVoters(Time now,
                                      const Membership& membership) const {
  return std::count_if(
      membership.voters.begin(), membership.voters.end(),
      [&](const MemberId& voter) { return IsHeard(now, voter); });
}

std::int64_t VoterHealth::LossesBorne(Time now,
                                      const Membership& membership) const {
  return HeardVoters(now, membership) - MajorityOf(membership);
}

Duration VoterHealth::Silence(Time heard_until, const MemberId& member) const {
  const auto found = members_.find(member);
  if (found == members_.end()) {
    return Duration::zero();
  }
  return heard_until -
         found->second.contact.SilentSince(heard_until, heartbeat_interval_);
}

std::string VoterHealth::LastHeardText(Time now,
                                       const Membership& membership) const {
  std::vector<std::string> items;
  for (const MemberId& voter : membership.voters) {
    std::int64_t since_ms = -1;
    const auto found = members_.find(voter);
    if (voter == self_) {
      since_ms = 0;
    } else if (found != members_.end() && found->second.heard_at) {
      since_ms = ToMillis(now - *found->second.heard_at);
    }
    items.push_back(ToText(voter) + "/" + std::to_string(since_ms));
  }
  return Join(items);
}

}  // namespace banyan
