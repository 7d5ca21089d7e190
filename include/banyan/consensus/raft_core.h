#ifndef BANYAN_CONSENSUS_RAFT_CORE_H_
#define BANYAN_CONSENSUS_RAFT_CORE_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/consensus/catch_up_rounds.h"
#include "banyan/consensus/cell_contacts.h"
#include "banyan/consensus/contact.h"
#include "banyan/consensus/membership_plan.h"
#include "banyan/consensus/membership_watch.h"
#include "banyan/consensus/raft_log.h"
#include "banyan/consensus/raft_types.h"
#include "banyan/consensus/voter_health.h"

namespace banyan {

// The Raft consensus of the control cell as a deterministic state machine:
// leader election with pre-vote and check-quorum, log replication, snapshots, a
// leader lease, learners, and membership changes of one member at a time. It
// does no I/O: after calling any step, the caller collects the results with
// TakeOutputs() and carries them out.
class RaftCore {
 public:
  RaftCore(RaftOptions options, RestoredLog restored, Time now);

  // Handles expired deadlines. To be called at least every few milliseconds.
  // All messages that had arrived by `heard_until` have been handled; one that
  // arrived later may still wait.
  void Tick(Time now, Time heard_until);
  void Tick(Time now) { Tick(now, now); }

  // Handles a message. Messages that are not part of Raft are ignored.
  void Receive(Time now, const Sender& from, const Message& message);

  // Records that all batches up to and including `seq` are on disk.
  void OnPersisted(Time now, std::uint64_t seq);

  // Appends a command to the log and returns its index, or nullopt if this
  // replica is not the leader or is transferring its leadership.
  std::optional<std::uint64_t> Propose(Time now, std::string data);

  // Returns a snapshot at an applied index with its state left empty. Returns
  // nullopt if the index is not in the log or not committed, or if the log has
  // a later membership.
  [[nodiscard]] std::optional<Snapshot> SnapshotMetadataAt(
      std::uint64_t applied_index) const;

  // Stores a complete snapshot that is already on disk and compacts the log.
  void Compact(Snapshot snapshot);

  // Transfers the leadership to the voter that replied last among those with a
  // complete log; does nothing if there is none.
  void TransferLeadership(Time now);

  // Announces that this replica shuts down: transfers the leadership and lets a
  // cell with an even number of voters vote it out, so that the others need one
  // vote less while it is away.
  void Leave(Time now);

  // Whether this replica still leads a cell with other voters or, after
  // Leave(), is about to be voted out or needed by a change of the membership.
  // A replica that does not lead waits for two election timeouts at most.
  [[nodiscard]] bool MustStay(Time now) const;

  // Replicates newly appended entries, then returns and clears all outputs.
  // Committed entries are returned in parts, as a replica that restarts may
  // learn at once that its whole log is committed.
  [[nodiscard]] RaftOutputs TakeOutputs(Time now);

  // Whether the next TakeOutputs() returns further committed entries.
  [[nodiscard]] bool HasMoreCommitted() const noexcept {
    return emitted_index_ < commit_index_;
  }

  [[nodiscard]] RaftRole role() const noexcept { return role_; }
  [[nodiscard]] std::uint64_t term() const noexcept { return hard_state_.term; }
  [[nodiscard]] std::uint64_t commit_index() const noexcept {
    return commit_index_;
  }
  [[nodiscard]] const RaftLog& log() const noexcept { return log_; }
  // The id of the known leader, or empty.
  [[nodiscard]] const std::string& leader() const noexcept { return leader_; }
  // Whether this replica is the leader and has committed an entry of its term.
  [[nodiscard]] bool HasCommittedInCurrentTerm() const noexcept;
  // Whether this leader holds its lease, so that no other leader can exist now.
  [[nodiscard]] bool HoldsLease(Time now) const;
  // Whether this replica is a leader that holds its lease, or a follower that
  // received a message from its leader within the election timeout.
  [[nodiscard]] bool IsFresh(Time now) const;
  // Whether this replica knows the membership of a cell.
  [[nodiscard]] bool HasMembership() const noexcept {
    return !log_.membership().voters.empty();
  }
  // Where this replica looks for its cell.
  [[nodiscard]] CellContacts& contacts() noexcept { return contacts_; }
  [[nodiscard]] const CellContacts& contacts() const noexcept {
    return contacts_;
  }
  // Whether the latest membership in the log has this replica, as a voter or
  // learner.
  [[nodiscard]] bool IsMember() const noexcept {
    return IsSelfVoter() || IsLearner(log_.membership(), options_.self);
  }
  // The number of voters in the latest membership.
  [[nodiscard]] std::size_t voter_count() const noexcept {
    return log_.membership().voters.size();
  }
  // The number of voters that this replica heard within two election timeouts,
  // itself included. Only the leader hears all voters that run; see
  // VoterHealth.
  [[nodiscard]] std::int64_t HeardVoters(Time now) const {
    return health_.HeardVoters(now, log_.membership());
  }
  // The greatest number of entries that a learner is not known to hold; 0 if
  // there is no learner or this replica isn't the leader.
  [[nodiscard]] std::uint64_t LearnerLag() const;
  // How many of the voters that are heard can be lost before the majority is
  // lost. A negative number is what the majority lacks.
  [[nodiscard]] std::int64_t LossesBorne(Time now) const {
    return health_.LossesBorne(now, log_.membership());
  }

 private:
  // The leader's replication state of another member.
  // Entries or a snapshot that were sent while the leader searches for the last
  // index at which the logs agree.
  struct Probe {
    // The heartbeat round in which they were sent.
    std::uint64_t round = 0;
    // The first index after them.
    std::uint64_t end = 0;
  };

  struct Progress {
    // Index of the next entry to send.
    std::uint64_t next = 1;
    // Last index known to be replicated on the member.
    std::uint64_t match = 0;
    // When the leader was elected or the member was added.
    Time added_at;
    // When `match` last advanced.
    Time advanced_at;
    CatchUpRounds rounds;
    // Whether the leader is searching for the last index at which the logs
    // agree. Only one request with entries is in flight meanwhile.
    bool is_probing = false;
    // That request. Heartbeats follow its end: connections deliver in order, so
    // one that is rejected shows that the request was lost.
    std::optional<Probe> probe;
    // When the leader sent the latest heartbeat round that the member
    // acknowledged.
    Time acked_round_sent_at;
    // Starts when the leader is elected or the member is added.
    Contact contact;
    bool has_replied = false;
    // Whether the member announced in its latest reply that it shuts down.
    bool is_leaving = false;
  };

  // A message that is held back until batch `seq` is on disk.
  struct DeferredMessage {
    std::uint64_t seq = 0;
    Outbound outbound;
  };

  // A batch that is not yet known to be on disk.
  struct UnpersistedBatch {
    std::uint64_t seq = 0;
    // The last log index that is on disk once the batch is.
    std::uint64_t last_index = 0;
  };

  // A heartbeat round and when it was sent.
  struct HeartbeatRound {
    std::uint64_t number = 0;
    Time sent;
  };

  void Handle(Time now, const MemberId& from, const VoteRequest& request);
  void Handle(Time now, const MemberId& from, const VoteReply& reply);
  void Handle(Time now, const MemberId& from, const AppendRequest& request);
  void Handle(Time now, const MemberId& from, const AppendReply& reply);
  void Handle(Time now, const MemberId& from, const InstallSnapshot& request);
  void Handle(Time now, const MemberId& from, const TimeoutNow& request);
  void Handle(Time now, const MemberId& from, const JoinRequest& request);

  // Counts the heartbeats of `requested_at_` as sent once input has been read
  // that arrived later. The caller may have taken long to send them.
  void DateRequests();
  void TickLeader(Time now);
  void TickFollower(Time now);
  void TickNonMember(Time now);
  void BootstrapIfAllEmpty(Time now);
  void BecomeFollower(Time now, std::uint64_t term, const std::string& leader);
  // Gives up the leadership within the present term and logs the reason.
  void StepDown(Time now, std::string_view reason);
  void StartElection(Time now, bool pre_vote, bool transfer);
  // Forgets which voters left requests for votes unanswered.
  void ForgetSilentVoters();
  // Takes a vote of this replica that is on disk into account. What this
  // replica waits for begins anew, since it takes as long at the other voters.
  void OnTermPersisted(Time now);
  void CountPreVotes(Time now);
  // Becomes the leader if a majority, this replica included, has voted for it.
  // Votes count for as long as their term lasts, also those that arrive once
  // this replica asks for pre-votes again or leaves the next term to another.
  void CountVotes(Time now);
  // Whether a majority of the voters has granted its vote.
  [[nodiscard]] bool IsMajority(const std::map<MemberId, bool>& votes) const;
  void BecomeLeader(Time now);
  void FollowLeader(Time now, const MemberId& from, std::uint64_t term);
  void AppendEntry(LogEntry entry);
  void AcceptEntries(const std::vector<LogEntry>& entries);
  void TruncateLogFrom(std::uint64_t index);
  // Marks entries with this or a greater index as not on disk.
  void ClampPersistedIndexBelow(std::uint64_t index);
  void AdvanceCommit(std::uint64_t to);
  void CommitByMajority(Time now);
  // Appends the new membership to the log and logs what changed.
  void ProposeMembership(Time now, const MembershipChange& change);
  void ReconcileMembership(Time now);
  // Sends a voter the committed entry that removed it; the leader does not
  // replicate to it any more. It must not learn of its removal earlier: its
  // vote may still be needed if the entry is lost with the leader.
  void NotifyRemovedVoter();
  // Asks all replicas that may know the leader for admission.
  void RequestAdmission(Time now);
  [[nodiscard]] std::vector<MemberStatus> StatusOfOthers(Time now);
  [[nodiscard]] MembershipOptions membership_options() const;
  // Starts to track a member from this replica's election, or from when the
  // member was added.
  void StartProgress(Time now, const MemberId& member);
  // Whether a learner may vote: it keeps up with the log, or it has been a
  // learner for a quarter of the catch-up time and still advances. What a voter
  // lacks can delay commits, but the cell must not miss its vote for longer.
  [[nodiscard]] bool IsCaughtUp(Time now, const Progress& progress) const;
  // Returns the number of entries that a member is not known to hold.
  [[nodiscard]] std::uint64_t LagOf(const Progress& progress) const noexcept {
    return log_.last_index() - std::min(progress.match, log_.last_index());
  }
  void Replicate(Time now);
  // Returns the last index at which this log may agree with that of a leader
  // whose previous entry it lacks. Entries of the term that conflicts there are
  // skipped, as far as they are not known to be committed.
  [[nodiscard]] std::uint64_t LastIndexToTry(
      const AppendRequest& request) const;
  // Whether a rejection is to be ignored. When several requests are in flight,
  // only the first rejection is handled; handling the later ones would send the
  // same entries repeatedly.
  [[nodiscard]] static bool IsStaleRejection(const Progress& progress,
                                             const AppendReply& reply);
  void HandleAppendRejection(const MemberId& from,
                             Progress& progress,
                             const AppendReply& reply);
  void SendAppend(const MemberId& to, Progress& progress);
  void SendInstall(const MemberId& to, Progress& progress);
  void Send(const MemberId& to, Message message);
  // Sends a message once all changes made so far are on disk.
  void SendWhenPersisted(const MemberId& to, Message message);
  [[nodiscard]] bool IsTermOnDisk() const noexcept;
  // Whether this replica shuts down and still waits for a successor that holds
  // the whole log; it accepts no command meanwhile.
  [[nodiscard]] bool IsHandingOver(Time now) const;
  void ResetElectionDeadline(Time now);
  void SetHardState(std::uint64_t term, const MemberId& voted_for);
  [[nodiscard]] bool IsUpToDate(const VoteRequest& request) const noexcept;
  // Leaves an election to a candidate whose pre-vote request this replica
  // grants, so that the two don't split the votes. A candidate that leaves this
  // replica's own requests unanswered may hear nothing; it keeps nobody from an
  // election.
  void StandAside(Time now,
                  const MemberId& candidate,
                  const VoteRequest& request);
  [[nodiscard]] std::vector<MemberId> OtherMembers() const;
  [[nodiscard]] bool IsSelfVoter() const noexcept;
  // Returns the latest time that `time_of` reaches on a majority of voters.
  // This replica counts with `own_time`, an unknown voter with the epoch.
  template <std::invocable<const Progress&> TimeOf>
  [[nodiscard]] Time MajorityTime(Time own_time, const TimeOf& time_of) const;
  // Returns since when a member has been silent; see Contact.
  [[nodiscard]] Time SilentSince(const Progress& progress) const {
    return progress.contact.SilentSince(heard_until_,
                                        options_.timings.heartbeat_interval);
  }

  RaftOptions options_;
  RaftLog log_;
  HardState hard_state_;
  Random random_;
  VoterHealth health_;
  MembershipWatch watch_;
  // All messages that had arrived by then have been handled. Silences are
  // judged at this time; what permits something is judged at the present.
  Time heard_until_;
  RaftRole role_ = RaftRole::kFollower;
  std::string leader_;
  CellContacts contacts_;
  std::uint64_t commit_index_ = 0;
  // Last committed index that was returned in the outputs.
  std::uint64_t emitted_index_ = 0;
  Time election_deadline_;
  // No vote is granted before this time, as it could violate the lease of the
  // current leader.
  Time vote_allowed_at_;
  Time next_heartbeat_;
  Time next_join_request_;
  std::map<MemberId, bool> pre_votes_;
  // The votes of the present term, this replica's own once it is on disk.
  std::map<MemberId, bool> votes_;
  // Whether this replica has asked for votes in the present term, and has
  // neither led in it nor followed a leader since.
  bool is_campaigning_ = false;
  // When this replica last asked for votes, other than by a pre-vote.
  Time votes_requested_at_;
  // Since this replica last had a leader: the voters that haven't answered its
  // latest request for votes, and those that didn't answer the one before while
  // it was the latest, nor any since.
  std::set<MemberId> asked_;
  std::set<MemberId> silent_;
  std::map<MemberId, Progress> progress_;
  std::deque<HeartbeatRound> rounds_;
  std::uint64_t heartbeat_round_ = 0;
  // Index of the first entry of this leader's term.
  std::uint64_t term_start_index_ = 0;
  // When the first round of heartbeats was made that DateRequests() has not
  // counted yet.
  std::optional<Time> requested_at_;
  bool must_replicate_ = false;
  Time transfer_deadline_;
  bool is_transferring_ = false;
  // The voter that the latest change of the membership removes, until the
  // change is committed; an empty id means none.
  MemberId removed_voter_;
  bool is_leaving_ = false;
  Time leave_deadline_;
  // Latest join requests by member id, from members outside the cell.
  std::map<std::string, std::pair<MemberId, JoinRequest>> join_requests_;
  std::uint64_t last_seq_ = 0;
  std::uint64_t persisted_seq_ = 0;
  // Sequence number of the last batch with a hard state.
  std::uint64_t hard_state_seq_ = 0;
  // When that batch was handed out.
  Time hard_state_handed_out_at_;
  std::deque<UnpersistedBatch> unpersisted_;
  std::uint64_t persisted_index_ = 0;
  std::deque<DeferredMessage> deferred_;
  PersistBatch pending_;
  RaftOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_CORE_H_
