#ifndef BANYAN_CONSENSUS_RAFT_CORE_H_
#define BANYAN_CONSENSUS_RAFT_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/consensus/raft_log.h"
#include "banyan/consensus/raft_types.h"

namespace banyan {

// The consensus of the control cell as a deterministic state machine: leader
// election with pre-vote and check-quorum, log replication, snapshots, leader
// lease, learners and membership changes of one member at a time. It does no
// I/O; call a step, then take the outputs.
class RaftCore {
 public:
  RaftCore(RaftOptions options, const RestoredLog& restored, Time now);

  // Lets deadlines pass. Call it at least every few milliseconds.
  void Tick(Time now);

  // Takes a message. Messages of other families are ignored.
  void Receive(Time now, const Sender& from, const Message& message);

  // Notes that every batch up to this one is on disk.
  void OnPersisted(Time now, std::uint64_t seq);

  // Appends a command; nothing when this replica doesn't lead.
  std::optional<std::uint64_t> Propose(Time now, std::string data);

  // Returns a snapshot of an applied index that lacks its state only; nothing
  // while a later membership stands in the log.
  [[nodiscard]] std::optional<Snapshot> SnapshotMetadataAt(
      std::uint64_t applied_index) const;

  // Takes a whole snapshot that is on disk, and trims the log.
  void Compact(Snapshot snapshot);

  // Gives the leadership to the most current voter, if there is one.
  void TransferLeadership(Time now);

  // Sends what the last steps left to replicate and returns all outputs.
  [[nodiscard]] RaftOutputs TakeOutputs(Time now);

  [[nodiscard]] RaftRole role() const noexcept { return role_; }
  [[nodiscard]] std::uint64_t term() const noexcept { return hard_state_.term; }
  [[nodiscard]] std::uint64_t commit_index() const noexcept {
    return commit_index_;
  }
  [[nodiscard]] const RaftLog& log() const noexcept { return log_; }
  // The leader's id as far as known; empty without one.
  [[nodiscard]] const std::string& leader() const noexcept { return leader_; }
  // Whether this leader committed an entry of its own term.
  [[nodiscard]] bool HasCommittedInCurrentTerm() const noexcept;
  // Whether no other leader can exist at this time.
  [[nodiscard]] bool HoldsLease(Time now) const;
  // Whether a follower last_reply_at its leader within the election span, or a
  // leader holds its lease.
  [[nodiscard]] bool IsFresh(Time now) const;
  // Whether this replica belongs to a cell.
  [[nodiscard]] bool HasMembership() const noexcept {
    return !log_.membership().voters.empty();
  }

 private:
  // What the leader knows of another member.
  struct Progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    // Whether the point where the logs part is being looked for; then one
    // request is under way at a time.
    bool is_probing = false;
    // When the leader sent the latest round that the member
    // acked_round_sent_at.
    Time acked_round_sent_at;
    // When the leader last got any answer from the member.
    Time last_reply_at;
  };

  // A message that waits for a batch to be on disk.
  struct DeferredMessage {
    std::uint64_t seq = 0;
    Outbound outbound;
  };

  // A batch that is not known to be on disk.
  struct UnpersistedBatch {
    std::uint64_t seq = 0;
    // The last entry that is on disk once the batch is.
    std::uint64_t last_index = 0;
  };

  // When a heartbeat round began.
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

  void TickLeader(Time now);
  void TickFollower(Time now);
  void TickNonMember(Time now);
  void BootstrapIfAllEmpty(Time now);
  void BecomeFollower(Time now, std::uint64_t term, const std::string& leader);
  void StartElection(Time now, bool pre_vote, bool transfer);
  void CountVotes(Time now);
  void BecomeLeader(Time now);
  void FollowLeader(Time now, const MemberId& from, std::uint64_t term);
  void AppendEntry(LogEntry entry);
  void AcceptEntries(const std::vector<LogEntry>& entries);
  void TruncateLogFrom(std::uint64_t index);
  void ClampPersistedIndexBelow(std::uint64_t index);
  void AdvanceCommit(std::uint64_t to);
  void CommitByMajority();
  void ProposeMembership(Membership membership);
  void ReconcileMembership(Time now);
  void RemoveUnresponsiveVoter(Time now, Membership next);
  void Replicate(Time now);
  void HandleAppendRejection(const MemberId& from,
                             Progress& progress,
                             const AppendReply& reply);
  void SendAppend(const MemberId& to, Progress& progress);
  void SendInstall(const MemberId& to, Progress& progress);
  void Send(const MemberId& to, Message message);
  void SendWhenPersisted(const MemberId& to, Message message);
  [[nodiscard]] bool IsTermOnDisk() const noexcept;
  void ResetElectionDeadline(Time now);
  void SetHardState(std::uint64_t term, const MemberId& voted_for);
  [[nodiscard]] bool IsUpToDate(const VoteRequest& request) const noexcept;
  [[nodiscard]] std::vector<MemberId> OtherMembers() const;
  [[nodiscard]] bool IsSelfVoter() const noexcept;
  [[nodiscard]] Time MajorityTime(Time now, Time Progress::*field) const;

  RaftOptions options_;
  RaftLog log_;
  HardState hard_state_;
  Random random_;
  RaftRole role_ = RaftRole::kFollower;
  std::string leader_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t emitted_index_ = 0;
  Time election_deadline_;
  // Until then a vote could break the lease of a leader that was last_reply_at.
  Time vote_allowed_at_;
  Time next_heartbeat_;
  Time next_join_request_;
  std::map<MemberId, bool> votes_;
  std::map<MemberId, Progress> progress_;
  std::deque<HeartbeatRound> rounds_;
  std::uint64_t heartbeat_round_ = 0;
  std::uint64_t term_start_index_ = 0;
  bool must_replicate_ = false;
  Time transfer_deadline_;
  bool is_transferring_ = false;
  // Empty members that asked to join, with what they have seen.
  std::map<std::string, std::pair<MemberId, JoinRequest>> join_requests_;
  std::uint64_t last_seq_ = 0;
  std::uint64_t persisted_seq_ = 0;
  // The last batch that held a term or a vote.
  std::uint64_t hard_state_seq_ = 0;
  std::deque<UnpersistedBatch> unpersisted_;
  std::uint64_t persisted_index_ = 0;
  std::deque<DeferredMessage> deferred_;
  PersistBatch pending_;
  RaftOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_CORE_H_
