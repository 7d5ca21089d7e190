#include <map>
#include <vector>

#include "banyan/consensus/raft_core.h"
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
      RaftOptions options;
      options.self = {"c" + std::to_string(i),
                      static_cast<std::uint64_t>(i) + 1};
      options.configured_ids = {"c0", "c1", "c2"};
      options.seed = static_cast<std::uint64_t>(i) + 7;
      replicas_.emplace_back(options, RestoredLog{}, kStart);
    }
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
  // Total number of messages sent, including dropped ones.
  [[nodiscard]] std::size_t sent() const { return sent_; }

 private:
  void Exchange(int i, const std::set<std::string>& disconnected) {
    const std::string id = "c" + std::to_string(i);
    RaftOutputs out = replicas_[i].TakeOutputs(now_);
    for (const LogEntry& entry : out.committed) {
      committed_[i].push_back(entry.data);
    }
    for (const PersistBatch& batch : out.persists) {
      replicas_[i].OnPersisted(now_, batch.seq);
    }
    for (const Outbound& outbound : out.messages) {
      ++sent_;
      if (disconnected.contains(id) || disconnected.contains(outbound.to)) {
        continue;
      }
      const int to = outbound.to[1] - '0';
      replicas_[to].Receive(now_, {id, static_cast<std::uint64_t>(i) + 1},
                            outbound.message);
    }
  }

  Time now_ = kStart;
  std::vector<RaftCore> replicas_;
  std::map<int, std::vector<std::string>> committed_;
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
              .Then("transfers the leadership on request",
                    TransferMovesLeadership))
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
                    EntryOfEarlierTermIsNotCommittedByCounting))
      .With(
          Section("failures")
              .Then("an isolated leader loses its lease before a new election",
                    IsolatedLeaderLosesItsLease)
              .Then("a reconnected replica does not force an election",
                    ReconnectedReplicaDoesNotForceElection)
              .Then("a slow disk write does not delay the acknowledgement of a "
                    "round",
                    SlowDiskDoesNotDelayAcknowledgement));
  return section;
}

}  // namespace banyan
