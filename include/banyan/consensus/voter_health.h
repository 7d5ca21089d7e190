#ifndef BANYAN_CONSENSUS_VOTER_HEALTH_H_
#define BANYAN_CONSENSUS_VOTER_HEALTH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyan/consensus/contact.h"
#include "banyan/consensus/raft_types.h"

namespace banyan {

// Returns "id/incarnation" of a member.
[[nodiscard]] std::string ToText(const MemberId& member);

// Returns "id/incarnation,..." of several members.
[[nodiscard]] std::string ToText(const std::vector<MemberId>& members);

// What one replica knows of when it last heard the members of its cell, and the
// events that follow from it. It is for operators only: no decision of the
// consensus depends on it.
//
// A member is heard by any Raft message that it sends to this replica,
// whatever the message says. Being heard tells that the member's process runs
// under this incarnation, hence on the same disk, and that the network carries
// its messages this way. It doesn't tell that the member receives anything,
// that its disk accepts writes, or how much of the log it holds. Not being
// heard tells little on a replica that isn't the leader: while there is a
// leader, a follower hears only that leader and the replicas that request its
// vote. Without a leader, voters hear each other by their pre-votes, which each
// sends at least every two election timeouts, and by the replies. A replica
// that was suspended has itself heard nobody meanwhile. All times are of this
// process and are lost when it ends.
class VoterHealth {
 public:
  // The role of this replica as far as the events depend on it.
  struct View {
    const Membership& membership;
    bool is_leader = false;
    // Whether this replica is the leader or follows one.
    bool has_leader = false;
  };

  VoterHealth(MemberId self, const RaftTimings& timings, Time now);

  // Records that this replica, as the leader, sent a message to all members
  // that they answer; see Contact.
  void OnMembersAsked(Time requested_at, Time sent_by);

  // Records a Raft message. A sender outside the membership is ignored.
  void OnHeard(Time now, const MemberId& from, const Membership& membership);

  // Logs which voters have fallen silent or are heard again, on the leader, and
  // that the majority is lost or regained, on a voter. To be called at every
  // tick; what lasts is logged once or at the interval of its event. All
  // messages that had arrived by `heard_until` have been recorded.
  void Observe(Time heard_until, const View& view, Events& events);

  // Records that this replica asks the members with these ids for its
  // admission, and logs when it has waited for long.
  void OnJoinRequested(Time now,
                       const std::vector<std::string>& asked_ids,
                       bool holds_data,
                       Events& events);

  // Returns the number of voters that were heard within two election timeouts.
  // This replica counts as heard if it is a voter.
  [[nodiscard]] std::int64_t HeardVoters(Time now,
                                         const Membership& membership) const;

  // Returns how many of the voters that are heard can be lost before the
  // majority is lost. A negative number is what the majority lacks.
  [[nodiscard]] std::int64_t LossesBorne(Time now,
                                         const Membership& membership) const;

  // Returns for how long a member has left messages of this leader unanswered.
  // Zero for an unknown member.
  [[nodiscard]] Duration Silence(Time heard_until,
                                 const MemberId& member) const;

 private:
  // What is known of one other member.
  struct Member {
    // Starts when the member appears in the membership of this replica, and
    // anew when this replica becomes the leader.
    Contact contact;
    // When its last message came; nullopt if none came to this process.
    std::optional<Time> heard_at;
    // Whether voter-silent was logged and voter-heard not yet.
    bool is_silence_logged = false;
    // From when the logged silence lasts.
    Time silent_since;
  };

  void TrackMembers(Time now, const Membership& membership);
  void ObserveVoters(Time heard_until, const View& view, Events& events);
  void ObserveQuorum(Time heard_until, const View& view, Events& events);
  [[nodiscard]] bool IsHeard(Time now, const MemberId& voter) const;
  // Returns "id/incarnation/milliseconds,..." with the time since each voter
  // was last heard; 0 for this replica and -1 for a voter never heard.
  [[nodiscard]] std::string LastHeardText(Time now,
                                          const Membership& membership) const;

  MemberId self_;
  Duration heartbeat_interval_;
  // A member that is not heard for this long is silent.
  Duration silence_timeout_;
  std::map<MemberId, Member> members_;
  bool was_leader_ = false;
  // When this replica last had a leader, or when it started.
  Time last_leader_at_;
  // From when the logged loss of the majority lasts; nullopt if there is none.
  std::optional<Time> quorum_lost_since_;
  Time next_quorum_lost_event_;
  Time last_join_request_;
  Time join_requested_since_;
  Time next_join_event_;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_VOTER_HEALTH_H_
