#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyan/consensus/raft_core.h"
#include "banyan/wire/codec.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

// A cell of three replicas on a simulated clock. Messages are delivered at once
// and every batch counts as persisted at once.
class ThreeReplicaCell {
 public:
  ThreeReplicaCell() {
    for (int i = 0; i < 3; ++i) {
      incarnations_.push_back(static_cast<std::uint64_t>(i) + 1);
      replicas_.push_back(MakeReplica(i));
    }
  }

  // Restarts a replica on an empty disk.
  void Wipe(int i) {
    constexpr std::uint64_t kIncarnationStep = 100;
    incarnations_[i] += kIncarnationStep;
    replicas_[i] = MakeReplica(i);
  }

  // Advances the clock in steps of 10 ms. Messages from and to the disconnected
  // replicas are dropped.
  void Run(Duration span, const std::set<std::string>& disconnected = {}) {
    for (const Time end = now_ + span; now_ < end; now_ += Millis(10)) {
      for (int i = 0; i < 3; ++i) {
        replicas_[i].Tick(now_);
        Exchange(i, disconnected);
      }
    }
  }

  RaftCore* Leader() {
    RaftCore* leader = nullptr;
    for (RaftCore& replica : replicas_) {
      if (replica.role() == RaftRole::kLeader &&
          (leader == nullptr || replica.term() > leader->term())) {
        leader = &replica;
      }
    }
    return leader;
  }

  RaftCore& replica(int i) { return replicas_[i]; }
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] const std::vector<std::string>& committed(int i) {
    return committed_[i];
  }
  // Returns the events with this id that a replica has logged.
  [[nodiscard]] Events Logged(int i, EventId id) const {
    Events found;
    std::copy_if(events_[i].begin(), events_[i].end(),
                 std::back_inserter(found),
                 [&](const Event& event) { return event.id() == id; });
    return found;
  }
  // The number of events that a replica has logged.
  [[nodiscard]] std::size_t LoggedCount(int i) const {
    return events_[i].size();
  }
  // The position of the leader, which must exist.
  int LeaderPosition() {
    for (int i = 0; i < 3; ++i) {
      if (Leader() == &replicas_[i]) {
        return i;
      }
    }
    CPPUNIT_FAIL("there is no leader");
    return -1;
  }
  // Total number of messages sent, including dropped ones.
  [[nodiscard]] std::size_t sent() const { return sent_; }

 private:
  RaftCore MakeReplica(int i) {
    RaftOptions options;
    options.self = {"c" + std::to_string(i), incarnations_[i]};
    options.configured_ids = {"c0", "c1", "c2"};
    options.seed = static_cast<std::uint64_t>(i) + 7;
    return {options, RestoredLog{}, now_};
  }

  void Exchange(int i, const std::set<std::string>& disconnected) {
    const std::string id = "c" + std::to_string(i);
    RaftOutputs out = replicas_[i].TakeOutputs(now_);
    for (const LogEntry& entry : out.committed) {
      committed_[i].push_back(entry.data);
    }
    events_[i].insert(events_[i].end(), out.events.begin(), out.events.end());
    for (const PersistBatch& batch : out.persists) {
      replicas_[i].OnPersisted(now_, batch.seq);
    }
    for (const Outbound& outbound : out.messages) {
      ++sent_;
      if (disconnected.contains(id) || disconnected.contains(outbound.to)) {
        continue;
      }
      const int to = outbound.to[1] - '0';
      replicas_[to].Receive(now_, {id, incarnations_[i]}, outbound.message);
    }
  }

  Time now_ = kStart;
  std::vector<std::uint64_t> incarnations_;
  std::vector<RaftCore> replicas_;
  std::map<int, std::vector<std::string>> committed_;
  std::vector<Events> events_ = std::vector<Events>(3);
  std::size_t sent_ = 0;
};

void BootstrapsAndElectsLeader() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  CPPUNIT_ASSERT(cell.Leader() != nullptr);
  CPPUNIT_ASSERT(cell.Leader()->HoldsLease(cell.now()));
}

void BootstrapWaitsForAllMembers() {
  ThreeReplicaCell cell;
  cell.Run(seconds(5), {"c2"});
  CPPUNIT_ASSERT_MESSAGE(
      "two of three empty replicas must not bootstrap a cell",
      cell.Leader() == nullptr);
}

void CommitsOnAllReplicas() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  CPPUNIT_ASSERT(cell.Leader()->Propose(cell.now(), "x"));
  cell.Run(seconds(1));
  for (int i = 0; i < 3; ++i) {
    CPPUNIT_ASSERT_EQUAL(std::string("x"), cell.committed(i).back());
  }
}

void IsolatedLeaderLosesItsLease() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  RaftCore* old_leader = cell.Leader();
  const std::string id = old_leader->leader();
  cell.Run(Millis(760), {id});
  CPPUNIT_ASSERT_MESSAGE("a leader without a majority must not hold a lease",
                         !old_leader->HoldsLease(cell.now()));
  cell.Run(seconds(4), {id});
  CPPUNIT_ASSERT(old_leader->role() != RaftRole::kLeader);
  CPPUNIT_ASSERT(cell.Leader() != nullptr);
  CPPUNIT_ASSERT(cell.Leader() != old_leader);
}

void ReconnectedReplicaDoesNotForceElection() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  RaftCore* leader = cell.Leader();
  const std::uint64_t term = leader->term();
  const std::string disconnected_id = leader == &cell.replica(0) ? "c1" : "c0";
  cell.Run(seconds(6), {disconnected_id});
  cell.Run(seconds(3));
  CPPUNIT_ASSERT_EQUAL(term, cell.Leader()->term());
}

void TransferMovesLeadership() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  RaftCore* old_leader = cell.Leader();
  old_leader->TransferLeadership(cell.now());
  CPPUNIT_ASSERT(!old_leader->HoldsLease(cell.now()));
  cell.Run(seconds(1));
  CPPUNIT_ASSERT(cell.Leader() != nullptr);
  CPPUNIT_ASSERT(cell.Leader() != old_leader);
}

void LaggingReplicaCatchesUpWithFewMessages() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  RaftCore* leader = cell.Leader();
  const int lagging = leader == &cell.replica(0) ? 1 : 0;
  const std::string id = "c" + std::to_string(lagging);
  for (int i = 0; i < 600; ++i) {
    CPPUNIT_ASSERT(leader->Propose(cell.now(), "entry"));
    cell.Run(Millis(10), {id});
  }
  const std::size_t before = cell.sent();
  cell.Run(seconds(3));
  CPPUNIT_ASSERT_EQUAL(leader->commit_index(),
                       cell.replica(lagging).commit_index());
  // In 3 s the leader sends 30 heartbeats to each of two members: 120 messages
  // with the replies. The bound is more than twice that number.
  constexpr std::size_t kMaxMessages = 300;
  CPPUNIT_ASSERT_MESSAGE(std::to_string(cell.sent() - before),
                         cell.sent() - before < kMaxMessages);
}

// Returns a follower of a three-replica cell whose last entry has index 3 and
// term 2.
RaftCore MakeFollowerWithLog() {
  RaftOptions options;
  options.self = {"c1", 2};
  options.configured_ids = {"c0", "c1", "c2"};
  RestoredLog restored;
  restored.hard_state = {2, {}};
  restored.snapshot.membership.voters = {{"c0", 1}, {"c1", 2}, {"c2", 3}};
  restored.snapshot.last_index = 1;
  restored.snapshot.last_term = 1;
  restored.entries = {{2, 2, EntryKind::kCommand, "a"},
                      {2, 3, EntryKind::kCommand, "b"}};
  return {options, restored, kStart};
}

// Messages that a follower sends in response to a vote request, before and
// after its hard state is on disk.
struct VoteReplies {
  std::vector<Outbound> before;
  std::vector<Outbound> after;
};

// Requests a vote from a follower when it has received no message from a leader
// for more than the election timeout.
VoteReplies RequestVote(std::uint64_t last_index, std::uint64_t last_term) {
  RaftCore follower = MakeFollowerWithLog();
  const Time later = kStart + seconds(2);
  VoteRequest request;
  request.target = 2;
  request.term = 7;
  request.last_index = last_index;
  request.last_term = last_term;
  follower.Receive(later, {"c2", 3}, request);
  const RaftOutputs out = follower.TakeOutputs(later);
  for (const PersistBatch& batch : out.persists) {
    follower.OnPersisted(later, batch.seq);
  }
  return {out.messages, follower.TakeOutputs(later).messages};
}

void VoteReplyWaitsForPersistence() {
  const VoteReplies replies = RequestVote(3, 2);
  CPPUNIT_ASSERT(replies.before.empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.after.size());
  CPPUNIT_ASSERT(std::get<VoteReply>(replies.after[0].message).granted);
}

void CandidateWithOlderLogGetsNoVote() {
  const VoteReplies shorter = RequestVote(2, 2);
  CPPUNIT_ASSERT(!std::get<VoteReply>(shorter.after[0].message).granted);
  const VoteReplies older = RequestVote(9, 1);
  CPPUNIT_ASSERT(!std::get<VoteReply>(older.after[0].message).granted);
}

void RestartedReplicaWaitsBeforeVoting() {
  RaftCore follower = MakeFollowerWithLog();
  VoteRequest request;
  request.target = 2;
  request.term = 7;
  request.last_index = 9;
  request.last_term = 2;
  // Right after a restart the follower can't know whether a leader holds a
  // lease.
  follower.Receive(kStart + Millis(100), {"c2", 3}, request);
  CPPUNIT_ASSERT(follower.TakeOutputs(kStart + Millis(100)).persists.empty());
}

void RequestForOtherIncarnationIsIgnored() {
  RaftCore follower = MakeFollowerWithLog();
  VoteRequest request;
  request.target = 99;
  request.term = 7;
  request.last_index = 9;
  request.last_term = 2;
  follower.Receive(kStart + seconds(2), {"c2", 3}, request);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, follower.term());
}

// A voter whose pre-votes cross those of another candidate.
class CrossedCandidate {
 public:
  // Starts an election and then gets the other candidate's request.
  void CrossElections() {
    now_ += seconds(2);
    core_.Tick(now_);
    CPPUNIT_ASSERT(core_.role() == RaftRole::kPreCandidate);
    VoteRequest request;
    request.target = 2;
    request.term = 3;
    request.pre_vote = true;
    request.last_index = 3;
    request.last_term = 2;
    core_.Receive(now_, {"c0", 1}, request);
  }

  // Gets the grant of a voter for its own pre-vote.
  void ReceiveGrant(const Sender& voter) {
    now_ += Millis(50);
    core_.Receive(now_, voter, VoteReply{3, true, true});
  }

  // Hears from a leader of the same term, and no more.
  void HearLeader() {
    AppendRequest request;
    request.target = 2;
    request.term = 2;
    request.prev_index = 3;
    request.prev_term = 2;
    core_.Receive(now_, {"c2", 3}, request);
  }

  [[nodiscard]] RaftRole role() const { return core_.role(); }

 private:
  Time now_ = kStart;
  RaftCore core_ = MakeFollowerWithLog();
};

// Guards against an election that a candidate keeps from all others: its
// requests arrive, but no reply reaches it.
void CandidateThatHearsNothingIsFavoredOnce() {
  CrossedCandidate voter;
  voter.CrossElections();
  CPPUNIT_ASSERT(voter.role() == RaftRole::kFollower);
  voter.CrossElections();
  voter.ReceiveGrant({"c2", 3});
  CPPUNIT_ASSERT(voter.role() == RaftRole::kCandidate);
}

// Guards against votes that two candidates which hear each other split.
void CandidateThatAnswersIsFavoredAgain() {
  CrossedCandidate voter;
  voter.CrossElections();
  voter.ReceiveGrant({"c0", 1});
  voter.CrossElections();
  CPPUNIT_ASSERT(voter.role() == RaftRole::kFollower);
  voter.ReceiveGrant({"c2", 3});
  CPPUNIT_ASSERT(voter.role() == RaftRole::kFollower);
}

// Guards against a candidate that is ignored for what was before the latest
// leader.
void CandidateIsFavoredOnceMoreAfterLeader() {
  CrossedCandidate voter;
  voter.CrossElections();
  voter.HearLeader();
  voter.CrossElections();
  CPPUNIT_ASSERT(voter.role() == RaftRole::kFollower);
}

// A candidate for term 3 in a cell of three, whose disk syncs when it is told.
class SlowDiskCandidate {
 public:
  // Passes the pre-vote and asks for votes.
  void StandForTerm() {
    Advance(seconds(2));
    ReceiveReply({3, true, true});
    CPPUNIT_ASSERT(core_.role() == RaftRole::kCandidate);
  }

  // Lets the clock advance and its deadlines expire.
  void Advance(Duration span) {
    now_ += span;
    core_.Tick(now_);
    TakeOutputs();
  }

  // Gets an entry of the leader of its term, which is not on disk yet.
  void ReceiveEntry() {
    AppendRequest request;
    request.target = 2;
    request.term = 2;
    request.prev_index = 3;
    request.prev_term = 2;
    request.entries = {{2, 4, EntryKind::kCommand, "c"}};
    core_.Receive(now_, {"c2", 3}, request);
    TakeOutputs();
  }

  void ReceiveReply(const VoteReply& reply) {
    core_.Receive(now_, {"c0", 1}, reply);
    TakeOutputs();
  }

  // The disk syncs all that has been handed out.
  void Sync() {
    core_.OnPersisted(now_, last_seq_);
    TakeOutputs();
  }

  // The number of requests for votes, other than pre-votes, that it has sent.
  [[nodiscard]] int requests() const { return requests_; }
  [[nodiscard]] RaftRole role() const { return core_.role(); }
  [[nodiscard]] std::uint64_t term() const { return core_.term(); }

 private:
  void TakeOutputs() {
    const RaftOutputs out = core_.TakeOutputs(now_);
    for (const PersistBatch& batch : out.persists) {
      last_seq_ = batch.seq;
    }
    for (const Outbound& outbound : out.messages) {
      const auto* request = std::get_if<VoteRequest>(&outbound.message);
      requests_ += request != nullptr && !request->pre_vote ? 1 : 0;
    }
  }

  Time now_ = kStart;
  RaftCore core_ = MakeFollowerWithLog();
  std::uint64_t last_seq_ = 0;
  int requests_ = 0;
};

// Guards against a vote that takes two syncs, one after the other.
void RequestForVotesDoesNotWaitForOwnDisk() {
  SlowDiskCandidate candidate;
  candidate.StandForTerm();
  CPPUNIT_ASSERT_EQUAL(2, candidate.requests());
}

// Guards against a leader that may vote for another one in its own term after a
// restart.
void CandidateLeadsOnceItsVoteIsOnDisk() {
  SlowDiskCandidate candidate;
  candidate.StandForTerm();
  candidate.ReceiveReply({3, false, true});
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kCandidate);
  candidate.Sync();
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kLeader);
}

// Guards against votes for a log that the candidate has lost with its power.
void RequestForVotesWaitsForEntries() {
  SlowDiskCandidate candidate;
  candidate.ReceiveEntry();
  candidate.StandForTerm();
  CPPUNIT_ASSERT_EQUAL(0, candidate.requests());
  candidate.Sync();
  CPPUNIT_ASSERT_EQUAL(2, candidate.requests());
}

// Guards against votes that are lost because they take longer than the
// candidate waits before it asks for pre-votes again.
void VoteThatIsLateCounts() {
  SlowDiskCandidate candidate;
  candidate.StandForTerm();
  candidate.Sync();
  candidate.Advance(seconds(2));
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kPreCandidate);
  candidate.ReceiveReply({3, false, true});
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kLeader);
}

// Guards against a leader that steps down and leads again in the same term.
void VoteThatComesAfterTheLeadershipDoesNotCount() {
  SlowDiskCandidate candidate;
  candidate.StandForTerm();
  candidate.Sync();
  candidate.ReceiveReply({3, false, true});
  // No voter answers its heartbeats, all of which have left after two turns.
  candidate.Advance(Millis(100));
  candidate.Advance(Millis(100));
  candidate.Advance(seconds(3));
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kFollower);
  candidate.ReceiveReply({3, false, true});
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kFollower);
}

// Guards against terms that begin one after the other while the disk writes the
// vote of the first.
void NoTermBeginsBeforeTheOwnVoteIsOnDisk() {
  SlowDiskCandidate candidate;
  candidate.StandForTerm();
  for (int i = 0; i < 4; ++i) {
    candidate.Advance(seconds(1));
    candidate.ReceiveReply({4, true, true});
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, candidate.term());
  candidate.Sync();
  // The other voter's disk may take as long.
  candidate.Advance(Millis(700));
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kCandidate);
  candidate.ReceiveReply({3, false, true});
  CPPUNIT_ASSERT(candidate.role() == RaftRole::kLeader);
}

// Guards against a next term that begins while a voter's disk writes its vote
// for the present one.
void VoterGrantsNoPreVoteWhileItsVoteIsWritten() {
  RaftCore voter = MakeFollowerWithLog();
  Time now = kStart + seconds(2);
  VoteRequest request;
  request.target = 2;
  request.term = 3;
  request.last_index = 3;
  request.last_term = 2;
  voter.Receive(now, {"c2", 3}, request);
  const std::uint64_t seq = voter.TakeOutputs(now).persists.back().seq;
  request.term = 4;
  request.pre_vote = true;
  const auto is_granted = [&] {
    voter.Receive(now, {"c2", 3}, request);
    return std::get<VoteReply>(voter.TakeOutputs(now).messages.back().message)
        .granted;
  };
  CPPUNIT_ASSERT(!is_granted());
  voter.OnPersisted(now, seq);
  CPPUNIT_ASSERT(is_granted());
}

// A leader of term 3 must not commit an entry of term 2 by counting replicas: a
// later leader could still overwrite it.
void EntryOfEarlierTermIsNotCommittedByCounting() {
  RaftCore leader = MakeFollowerWithLog();
  Time now = kStart + seconds(4);
  const auto persist_all = [&] {
    for (int i = 0; i < 4; ++i) {
      for (const PersistBatch& batch : leader.TakeOutputs(now).persists) {
        leader.OnPersisted(now, batch.seq);
      }
    }
  };
  leader.Tick(now);
  persist_all();
  leader.Receive(now, {"c0", 1}, VoteReply{3, true, true});
  persist_all();
  leader.Receive(now, {"c0", 1}, VoteReply{3, false, true});
  persist_all();
  CPPUNIT_ASSERT(leader.role() == RaftRole::kLeader);
  // The follower has all entries of term 2, but not the entry of term 3.
  leader.Receive(now, {"c0", 1}, AppendReply{3, true, 3, 3, 0});
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, leader.commit_index());
  leader.Receive(now, {"c0", 1}, AppendReply{3, true, 4, 3, 0});
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, leader.commit_index());
}

void SlowDiskDoesNotDelayAcknowledgement() {
  RaftOptions options;
  options.self = {"c1", 2};
  options.configured_ids = {"c0", "c1", "c2"};
  RestoredLog restored;
  restored.hard_state = {1, {}};
  restored.snapshot.membership.voters = {{"c0", 1}, {"c1", 2}, {"c2", 3}};
  restored.snapshot.last_index = 1;
  restored.snapshot.last_term = 1;
  RaftCore follower(options, restored, kStart);
  AppendRequest append;
  append.target = 2;
  append.term = 1;
  append.prev_index = 1;
  append.prev_term = 1;
  append.round = 5;
  append.entries = {{1, 2, EntryKind::kCommand, "slow"}};
  follower.Receive(kStart, {"c0", 1}, append);
  const RaftOutputs out = follower.TakeOutputs(kStart);
  // The entry is not on disk yet. The reply acknowledges the heartbeat round,
  // but not the entry.
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.messages.size());
  const auto& reply = std::get<AppendReply>(out.messages.front().message);
  CPPUNIT_ASSERT(reply.success);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, reply.round);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, reply.match_index);
  follower.OnPersisted(kStart, out.persists.front().seq);
  const RaftOutputs later = follower.TakeOutputs(kStart);
  CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{2},
      std::get<AppendReply>(later.messages.front().message).match_index);
}

std::int64_t NumberField(const Event& event, const std::string& key) {
  const std::string text = event.Field(key);
  CPPUNIT_ASSERT_MESSAGE("no field " + key + " in " + event.text(),
                         !text.empty());
  return std::stoll(text);
}

void AssertBetween(std::int64_t least, std::int64_t value, std::int64_t most) {
  CPPUNIT_ASSERT_MESSAGE(std::to_string(value) + " is not between " +
                             std::to_string(least) + " and " +
                             std::to_string(most),
                         least <= value && value <= most);
}

void HealthyCellLogsNothing() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  std::size_t before = 0;
  for (int i = 0; i < 3; ++i) {
    before += cell.LoggedCount(i);
  }
  cell.Run(seconds(60));
  std::size_t after = 0;
  for (int i = 0; i < 3; ++i) {
    after += cell.LoggedCount(i);
  }
  CPPUNIT_ASSERT_EQUAL(before, after);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cell.Leader()->voter_count());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, cell.Leader()->HeardVoters(cell.now()));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, cell.Leader()->LossesBorne(cell.now()));
}

void SilentVoterIsLoggedOnce() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  const int leader = cell.LeaderPosition();
  const int silent = (leader + 1) % 3;
  const int other = (leader + 2) % 3;
  const std::string id = "c" + std::to_string(silent);
  cell.Run(seconds(10), {id});
  const Events lost = cell.Logged(leader, EventId::kVoterSilent);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
  CPPUNIT_ASSERT_EQUAL(id, lost[0].Field("voter"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{silent} + 1,
                       NumberField(lost[0], "incarnation"));
  AssertBetween(1600, NumberField(lost[0], "silent_ms"), 1620);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, NumberField(lost[0], "voters"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, NumberField(lost[0], "heard"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, NumberField(lost[0], "losses_borne"));
  CPPUNIT_ASSERT(cell.Logged(leader, EventId::kVoterHeard).empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                       cell.replica(leader).HeardVoters(cell.now()));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                       cell.replica(leader).LossesBorne(cell.now()));
  CPPUNIT_ASSERT_MESSAGE("only the leader can tell which voter is silent",
                         cell.Logged(other, EventId::kVoterSilent).empty());
  cell.Run(seconds(2));
  const Events heard = cell.Logged(leader, EventId::kVoterHeard);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heard.size());
  CPPUNIT_ASSERT_EQUAL(id, heard[0].Field("voter"));
  AssertBetween(9900, NumberField(heard[0], "silent_ms"), 10200);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, NumberField(heard[0], "losses_borne"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       cell.Logged(leader, EventId::kVoterSilent).size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       cell.replica(leader).LossesBorne(cell.now()));
}

// Followers don't hear each other while there is a leader, which must not be
// taken for silence once one of them leads.
void NewLeaderLogsOnlyTheLostOne() {
  ThreeReplicaCell cell;
  cell.Run(seconds(30));
  const int lost = cell.LeaderPosition();
  const std::string id = "c" + std::to_string(lost);
  cell.Run(seconds(12), {id});
  const int leader = cell.LeaderPosition();
  CPPUNIT_ASSERT(leader != lost);
  const Events silent = cell.Logged(leader, EventId::kVoterSilent);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, silent.size());
  CPPUNIT_ASSERT_EQUAL(id, silent[0].Field("voter"));
  for (int i = 0; i < 3; ++i) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "only the replica that was cut off has lost the majority", i == lost,
        !cell.Logged(i, EventId::kQuorumLost).empty());
  }
}

// Disconnects both other replicas of a survivor for 12 s and reconnects them.
void CheckLostQuorum(bool leader_survives) {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  const int leader = cell.LeaderPosition();
  const int survivor = leader_survives ? leader : (leader + 1) % 3;
  std::set<std::string> lost;
  for (int i = 0; i < 3; ++i) {
    if (i != survivor) {
      lost.insert("c" + std::to_string(i));
    }
  }
  const std::size_t logged_before = cell.LoggedCount(survivor);
  cell.Run(seconds(12), lost);
  const Events events = cell.Logged(survivor, EventId::kQuorumLost);
  // After at most two election timeouts without a leader's message and two
  // without a leader, then every 5 s.
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
  for (const Event& event : events) {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, NumberField(event, "voters"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, NumberField(event, "heard"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, NumberField(event, "needed"));
    const std::string text = event.Field("last_heard_ms");
    const std::string self = "c" + std::to_string(survivor) + "/" +
                             std::to_string(survivor + 1) + "/0";
    CPPUNIT_ASSERT_MESSAGE(text, text.find(self) != std::string::npos);
  }
  AssertBetween(1600, NumberField(events[0], "leaderless_ms"), 1620);
  AssertBetween(6600, NumberField(events[1], "leaderless_ms"), 6620);
  CPPUNIT_ASSERT(cell.Logged(survivor, EventId::kQuorumRegained).empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{-1},
                       cell.replica(survivor).LossesBorne(cell.now()));
  // A leader logs two silent voters and that it steps down.
  CPPUNIT_ASSERT_EQUAL(std::size_t{leader_survives ? 5U : 2U},
                       cell.LoggedCount(survivor) - logged_before);
  cell.Run(seconds(8));
  const Events regained = cell.Logged(survivor, EventId::kQuorumRegained);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, regained.size());
  AssertBetween(8000, NumberField(regained[0], "lost_ms"), 13000);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                       cell.Logged(survivor, EventId::kQuorumLost).size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, cell.Leader()->LossesBorne(cell.now()));
}

void FollowerLogsLostQuorum() {
  CheckLostQuorum(false);
}

void LeaderLogsLostQuorum() {
  CheckLostQuorum(true);
}

// Ticks a lone replica every 10 ms and returns its events with this id.
Events RunAlone(RaftCore& replica, Duration span, EventId id) {
  Events found;
  for (Time now = kStart; now < kStart + span; now += Millis(10)) {
    replica.Tick(now);
    for (const Event& event : replica.TakeOutputs(now).events) {
      if (event.id() == id) {
        found.push_back(event);
      }
    }
  }
  return found;
}

void NeverHeardVotersAreMarked() {
  RaftCore survivor = MakeFollowerWithLog();
  const Events lost = RunAlone(survivor, seconds(4), EventId::kQuorumLost);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
  CPPUNIT_ASSERT_EQUAL(std::string("c0/1/-1,c1/2/0,c2/3/-1"),
                       lost[0].Field("last_heard_ms"));
}

void CheckJoinWaiting(const RestoredLog& restored,
                      const std::string& holds_data) {
  RaftOptions options;
  options.self = {"c3", 4};
  options.configured_ids = {"c0", "c1", "c2"};
  RaftCore outsider(options, restored, kStart);
  CPPUNIT_ASSERT(RunAlone(outsider, seconds(2), EventId::kJoinWaiting).empty());
  RaftCore waiting(options, restored, kStart);
  const Events events = RunAlone(waiting, seconds(20), EventId::kJoinWaiting);
  // Shortly after 2 s, then every 5 s.
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, events.size());
  for (const Event& event : events) {
    CPPUNIT_ASSERT_EQUAL(std::string("c0,c1,c2"), event.Field("asked"));
    CPPUNIT_ASSERT_EQUAL(holds_data, event.Field("holds_data"));
  }
  AssertBetween(2000, NumberField(events[0], "waited_ms"), 2400);
  AssertBetween(17000, NumberField(events[3], "waited_ms"), 18500);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, waiting.HeardVoters(kStart));
}

void WaitForAdmissionIsLogged() {
  CheckJoinWaiting(RestoredLog{}, "false");
  RestoredLog removed;
  removed.hard_state = {2, {}};
  removed.snapshot.membership.voters = {{"c0", 1}, {"c1", 2}, {"c2", 3}};
  removed.snapshot.last_index = 1;
  removed.snapshot.last_term = 1;
  CheckJoinWaiting(removed, "true");
}

// Guards against a replica that lost its disk, knows only seeds that are gone
// and is never admitted though the leader addresses its lost data folder.
void WipedReplicaAsksWhoeverAddressesIt() {
  RaftOptions options;
  options.self = {"c1", 20};
  options.configured_ids = {"gone-1", "gone-2"};
  options.may_bootstrap = false;
  RaftCore wiped(options, RestoredLog{}, kStart);
  AppendRequest append;
  append.target = 2;
  append.term = 5;
  wiped.Receive(kStart, {"c0", 1}, append);
  wiped.Tick(kStart + seconds(1));
  bool has_asked = false;
  for (const Outbound& outbound :
       wiped.TakeOutputs(kStart + seconds(1)).messages) {
    has_asked |= outbound.to == "c0" &&
                 std::holds_alternative<JoinRequest>(outbound.message);
  }
  CPPUNIT_ASSERT(has_asked);
}

// Guards against a newcomer that for ever follows a leader that is gone, and
// asks none of the other replicas that were named to it.
void NewcomerForgetsSilentLeader() {
  RaftOptions options;
  options.self = {"c4", 1};
  options.configured_ids = {"relay"};
  options.may_bootstrap = false;
  RaftCore newcomer(options, RestoredLog{}, kStart);
  AppendRequest append;
  append.target = 1;
  append.term = 5;
  append.prev_index = 9;
  append.prev_term = 5;
  newcomer.Receive(kStart, {"c0", 1}, append);
  CPPUNIT_ASSERT_EQUAL(std::string("c0"), newcomer.leader());
  newcomer.Tick(kStart + options.timings.election_timeout * 2);
  CPPUNIT_ASSERT_EQUAL(std::string(), newcomer.leader());
}

void MembershipChangesAreNamed() {
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  const int leader = cell.LeaderPosition();
  const int wiped = (leader + 1) % 3;
  const std::string id = "c" + std::to_string(wiped);
  const std::string old_member = id + "/" + std::to_string(wiped + 1);
  const std::string new_member = id + "/" + std::to_string(wiped + 101);
  cell.Run(seconds(1), {id});
  cell.Wipe(wiped);
  cell.Run(seconds(4));
  const Events events = cell.Logged(leader, EventId::kMemberChanged);
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
  CPPUNIT_ASSERT_EQUAL(std::string("added-learner"), events[0].Field("change"));
  CPPUNIT_ASSERT_EQUAL(new_member, events[0].Field("member"));
  CPPUNIT_ASSERT_EQUAL(new_member, events[0].Field("learner_ids"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, NumberField(events[0], "voters"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, NumberField(events[0], "learners"));
  CPPUNIT_ASSERT_EQUAL(std::string("removed"), events[1].Field("change"));
  CPPUNIT_ASSERT_EQUAL(old_member, events[1].Field("member"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, NumberField(events[1], "voters"));
  CPPUNIT_ASSERT_EQUAL(new_member, events[1].Field("learner_ids"));
  AssertBetween(1000, NumberField(events[1], "silent_ms"), 2500);
  CPPUNIT_ASSERT_EQUAL(std::string("promoted"), events[2].Field("change"));
  CPPUNIT_ASSERT_EQUAL(new_member, events[2].Field("member"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, NumberField(events[2], "voters"));
  CPPUNIT_ASSERT_EQUAL(std::string(), events[2].Field("learner_ids"));
  std::string voter_ids;
  for (int i = 0; i < 3; ++i) {
    voter_ids += voter_ids.empty() ? "" : ",";
    voter_ids += "c" + std::to_string(i) + "/" +
                 std::to_string(i == wiped ? i + 101 : i + 1);
  }
  CPPUNIT_ASSERT_EQUAL(voter_ids, events[2].Field("voter_ids"));
}

// Guards against a former leader that gives up the entries that it alone has
// one by one, each at the cost of a message to it and back.
void LongConflictIsFoundAtOnce() {
  constexpr int kEntries = 1000;
  ThreeReplicaCell cell;
  cell.Run(seconds(4));
  const int former = cell.LeaderPosition();
  const std::string id = "c" + std::to_string(former);
  for (int i = 0; i < kEntries; ++i) {
    CPPUNIT_ASSERT(cell.replica(former).Propose(cell.now(), "lost"));
  }
  cell.Run(seconds(6), {id});
  const int leader = cell.LeaderPosition();
  CPPUNIT_ASSERT(leader != former);
  for (int i = 0; i < kEntries; ++i) {
    CPPUNIT_ASSERT(cell.replica(leader).Propose(cell.now(), "kept"));
  }
  cell.Run(seconds(1), {id});
  cell.Run(seconds(1));
  CPPUNIT_ASSERT_EQUAL(cell.replica(leader).commit_index(),
                       cell.replica(former).commit_index());
}

constexpr std::size_t kMebibyte = 1U << 20U;
constexpr std::size_t kLargeEntryBytes = kMebibyte / 4;
constexpr std::uint64_t kLargeEntries = 100;

// Returns the log of a follower with entries of 256 KiB after a snapshot at
// index 1.
RestoredLog LargeLog() {
  RestoredLog log;
  log.hard_state = {1, {}};
  log.snapshot.membership.voters = {{"c0", 1}, {"c1", 2}, {"c2", 3}};
  log.snapshot.last_index = 1;
  log.snapshot.last_term = 1;
  for (std::uint64_t i = 0; i < kLargeEntries; ++i) {
    log.entries.push_back(
        {1, i + 2, EntryKind::kCommand, std::string(kLargeEntryBytes, 'x')});
  }
  return log;
}

RaftCore MakeFollower(RestoredLog log) {
  RaftOptions options;
  options.self = {"c1", 2};
  options.configured_ids = {"c0", "c1", "c2"};
  return {options, std::move(log), kStart};
}

// Compacts the large log up to its last entry and returns the data of the
// entries that are retained, in bytes.
std::size_t BytesRetainedBefore(std::size_t snapshot_bytes) {
  RaftCore follower = MakeFollower(LargeLog());
  Snapshot snapshot = follower.log().snapshot();
  snapshot.last_index = follower.log().last_index();
  snapshot.state.assign(snapshot_bytes, 's');
  follower.Compact(std::move(snapshot));
  const std::uint64_t last = follower.log().last_index();
  CPPUNIT_ASSERT_EQUAL(kLargeEntries + 1, last);
  return (last - follower.log().base_index()) * kLargeEntryBytes;
}

// Guards against a log in memory that a snapshot leaves as large as it was, as
// it has few but large entries.
void FewLargeEntriesAreRetained() {
  const std::size_t retained = BytesRetainedBefore(1);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(retained) + " bytes",
                         retained > 0 && retained <= 4 * kMebibyte);
}

// Guards against a snapshot that is sent to a member in place of entries that
// are a fraction of it.
void EntriesSmallerThanSnapshotAreRetained() {
  const std::size_t retained = BytesRetainedBefore(16 * kMebibyte);
  CPPUNIT_ASSERT_EQUAL(16 * kMebibyte, retained);
}

// Guards against a replica that holds its whole log twice when it learns after
// a restart how much of it is committed.
void CommittedEntriesAreReturnedInParts() {
  RaftCore follower = MakeFollower(LargeLog());
  AppendRequest append;
  append.target = 2;
  append.term = 1;
  append.prev_index = kLargeEntries + 1;
  append.prev_term = 1;
  append.commit = kLargeEntries + 1;
  follower.Receive(kStart, {"c0", 1}, append);
  std::uint64_t last = 1;
  std::size_t count = 0;
  do {
    const RaftOutputs out = follower.TakeOutputs(kStart);
    count = out.committed.size();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " entries at once",
                           count <= 1);
    for (const LogEntry& entry : out.committed) {
      CPPUNIT_ASSERT_EQUAL(last + 1, entry.index);
      last = entry.index;
    }
  } while (count > 0);
  CPPUNIT_ASSERT_EQUAL(kLargeEntries + 1, last);
}

// Guards against a replica that hears no heartbeat while it applies thousands
// of small entries, whose number costs more than their size.
void SmallCommittedEntriesAreReturnedInParts() {
  constexpr std::uint64_t kEntries = 5000;
  constexpr std::size_t kMaxEntries = 128;
  RestoredLog log = LargeLog();
  log.entries.clear();
  for (std::uint64_t i = 0; i < kEntries; ++i) {
    log.entries.push_back({1, i + 2, EntryKind::kCommand, "x"});
  }
  RaftCore follower = MakeFollower(std::move(log));
  AppendRequest append;
  append.target = 2;
  append.term = 1;
  append.prev_index = kEntries + 1;
  append.prev_term = 1;
  append.commit = kEntries + 1;
  follower.Receive(kStart, {"c0", 1}, append);
  std::size_t total = 0;
  while (follower.HasMoreCommitted()) {
    const std::size_t count = follower.TakeOutputs(kStart).committed.size();
    CPPUNIT_ASSERT(count > 0 && count <= kMaxEntries);
    total += count;
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{kEntries}, total);
}

// Guards against copies of the same entries that queue on the link to a replica
// which has yet to answer the first.
void LaggingReplicaBehindSlowLinkGetsEntriesOnce() {
  // 20 Mbit/s, in bytes a millisecond.
  constexpr double kRate = 2500;
  constexpr std::size_t kEntryBytes = 20000;
  constexpr std::uint64_t kEntries = 150;
  Membership members;
  for (std::uint64_t i = 0; i < 3; ++i) {
    members.voters.push_back({"c" + std::to_string(i), i + 1});
  }
  std::vector<RaftCore> replicas;
  for (std::uint64_t i = 0; i < 3; ++i) {
    RaftOptions options;
    options.self = members.voters[i];
    options.configured_ids = {"c0", "c1", "c2"};
    options.timings.election_timeout = Millis(500);
    options.timings.heartbeat_interval = Millis(500) / 8;
    options.timings.max_clock_drift = Millis(50);
    options.seed = i + 1;
    RestoredLog restored;
    restored.hard_state.term = 1;
    restored.entries.push_back({1, 1, EntryKind::kMembership, Encode(members)});
    // The last replica lacks all but the first entry.
    for (std::uint64_t index = 2; i < 2 && index < kEntries + 2; ++index) {
      restored.entries.push_back(
          {1, index, EntryKind::kCommand, std::string(kEntryBytes, 'x')});
    }
    replicas.emplace_back(options, std::move(restored), kStart);
  }
  struct Arrival {
    Time at;
    Sender from;
    Message message;
  };
  std::vector<std::deque<Arrival>> links(3);
  Time now = kStart;
  Time link_free_at = now;
  std::size_t sent_bytes = 0;
  const auto step = [&](std::size_t i) {
    for (; !links[i].empty() && links[i].front().at <= now;
         links[i].pop_front()) {
      replicas[i].Receive(now, links[i].front().from, links[i].front().message);
    }
    replicas[i].Tick(now);
    RaftOutputs out = replicas[i].TakeOutputs(now);
    for (; !out.messages.empty() || !out.persists.empty();
         out = replicas[i].TakeOutputs(now)) {
      for (Outbound& outbound : out.messages) {
        const auto to = static_cast<std::size_t>(outbound.to[1] - '0');
        Time at = now + Millis(1);
        if (to == 2) {
          const std::size_t bytes = Encode(outbound.message).size();
          sent_bytes += bytes;
          link_free_at = std::max(link_free_at, now) +
                         Duration(static_cast<std::int64_t>(
                             static_cast<double>(bytes) / kRate * 1000));
          at = link_free_at + Millis(1);
        }
        links[to].push_back(
            {at,
             {members.voters[i].id, members.voters[i].incarnation},
             std::move(outbound.message)});
      }
      for (const PersistBatch& batch : out.persists) {
        replicas[i].OnPersisted(now, batch.seq);
      }
    }
  };
  for (; now < kStart + seconds(20); now += Millis(5)) {
    for (std::size_t i = 0; i < 3; ++i) {
      step(i);
    }
  }
  CPPUNIT_ASSERT(replicas[2].log().last_index() > kEntries);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(sent_bytes) + " bytes",
                         sent_bytes < 2 * kEntries * kEntryBytes);
}

}  // namespace

Section ConsensusStory() {
  Section section("Consensus");
  section
      .With(Section("bootstrap")
                .Then("forms a cell and elects a leader",
                      BootstrapsAndElectsLeader)
                .Then("waits for all configured members",
                      BootstrapWaitsForAllMembers))
      .With(
          Section("replication and transfer")
              .Then("commits a command on every replica", CommitsOnAllReplicas)
              .Then("updates a lagging replica with few messages",
                    LaggingReplicaCatchesUpWithFewMessages)
              .Then("sends a lagging replica its entries once",
                    LaggingReplicaBehindSlowLinkGetsEntriesOnce)
              .Then("finds where a long conflict begins with few messages",
                    LongConflictIsFoundAtOnce)
              .Then("transfers the leadership on request",
                    TransferMovesLeadership))
      .With(Section("memory")
                .Then("retains few entries if they are large",
                      FewLargeEntriesAreRetained)
                .Then("retains entries that are smaller than the snapshot",
                      EntriesSmallerThanSnapshotAreRetained)
                .Then("returns committed entries in parts",
                      CommittedEntriesAreReturnedInParts)
                .Then("returns small committed entries in parts",
                      SmallCommittedEntriesAreReturnedInParts))
      .With(
          Section("votes")
              .Then("a vote is sent only after it is on disk",
                    VoteReplyWaitsForPersistence)
              .Then("a candidate with a shorter or older log gets no vote",
                    CandidateWithOlderLogGetsNoVote)
              .Then(
                  "a restarted replica does not vote for one election timeout",
                  RestartedReplicaWaitsBeforeVoting)
              .Then("a request for another incarnation is ignored",
                    RequestForOtherIncarnationIsIgnored)
              .Then("a leader commits only by counting entries of its own term",
                    EntryOfEarlierTermIsNotCommittedByCounting)
              .Then("an election is left only once to a candidate that hears "
                    "nothing",
                    CandidateThatHearsNothingIsFavoredOnce)
              .Then("an election is left again to a candidate that answers",
                    CandidateThatAnswersIsFavoredAgain)
              .Then("an election is left once more to a candidate after a "
                    "leader",
                    CandidateIsFavoredOnceMoreAfterLeader)
              .Then("a request for votes doesn't wait for the candidate's disk",
                    RequestForVotesDoesNotWaitForOwnDisk)
              .Then("a candidate leads only once its own vote is on disk",
                    CandidateLeadsOnceItsVoteIsOnDisk)
              .Then("a request for votes waits for entries that aren't on disk",
                    RequestForVotesWaitsForEntries)
              .Then("a vote that comes after the candidate's timeout counts",
                    VoteThatIsLateCounts)
              .Then("a vote that comes after the leadership doesn't count",
                    VoteThatComesAfterTheLeadershipDoesNotCount)
              .Then("no further term begins before the own vote is on disk",
                    NoTermBeginsBeforeTheOwnVoteIsOnDisk)
              .Then("a voter grants no pre-vote while its vote is written",
                    VoterGrantsNoPreVoteWhileItsVoteIsWritten))
      .With(
          Section("failures")
              .Then("an isolated leader loses its lease before a new election",
                    IsolatedLeaderLosesItsLease)
              .Then("a replica that lost its disk asks whoever addresses it",
                    WipedReplicaAsksWhoeverAddressesIt)
              .Then("a newcomer forgets a leader that is silent",
                    NewcomerForgetsSilentLeader)
              .Then("a reconnected replica does not force an election",
                    ReconnectedReplicaDoesNotForceElection)
              .Then("a slow disk write does not delay the acknowledgement of a "
                    "round",
                    SlowDiskDoesNotDelayAcknowledgement))
      .With(
          Section("what an operator sees")
              .Then("a cell without a failure logs nothing",
                    HealthyCellLogsNothing)
              .Then("the leader logs a silent voter once, and that it is heard "
                    "again",
                    SilentVoterIsLoggedOnce)
              .Then("a new leader logs only the voter that is lost",
                    NewLeaderLogsOnlyTheLostOne)
              .Then("a follower logs that the majority is lost and regained",
                    FollowerLogsLostQuorum)
              .Then("a leader logs that the majority is lost and regained",
                    LeaderLogsLostQuorum)
              .Then("voters that were never heard are marked",
                    NeverHeardVotersAreMarked)
              .Then("a replica outside the cell logs that it waits",
                    WaitForAdmissionIsLogged)
              .Then("each change of the membership is named",
                    MembershipChangesAreNamed));
  return section;
}

}  // namespace banyan
