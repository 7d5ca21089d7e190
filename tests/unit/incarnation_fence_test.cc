#include <algorithm>
#include <string>
#include <vector>

#include "banyan/graph/call_fence.h"
#include "banyan/graph/graph_leader.h"
#include "banyan/graph/incarnation_numbers.h"
#include "banyan/graph/unknown_leases.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kTimeStep = Millis(20);
constexpr std::uint64_t kLeaderToken = 7;

// Options of a deployment whose workers take longer leases than are granted.
constexpr GraphLeaderOptions kLongLeases{
    .lease = Millis(5800),
    .lease_margin = Millis(500),
    .max_worker_lease = std::chrono::seconds(10),
};

WorkerSync SyncOf(const WorkerInfo& info, std::uint64_t answered_token) {
  WorkerSync sync;
  sync.seq = 1;
  sync.info = info;
  sync.reachable = true;
  sync.answered_token = answered_token;
  return sync;
}

// Returns whether the outputs propose to admit the incarnation.
bool Admits(const GraphLeaderOutputs& outputs, const WorkerIncarnation& life) {
  return std::any_of(outputs.proposals.begin(), outputs.proposals.end(),
                     [&](const Command& command) {
                       const auto* admit = std::get_if<AdmitWorker>(&command);
                       return admit != nullptr && admit->info.life == life;
                     });
}

// Guards against an incarnation that carries out calls to an earlier one while
// it has runs of its own.
void AdmissionWaitsForFence() {
  GraphTable table;
  GraphLeader leader(kLongLeases);
  const Time now(std::chrono::seconds(100));
  leader.Reset(now, table, kLeaderToken);
  const WorkerInfo info = SampleWorker("w1", 8);
  leader.OnSync(now, table, "agent", SyncOf(info, 0), true);
  GraphLeaderOutputs outputs = leader.TakeOutputs();
  CPPUNIT_ASSERT(!Admits(outputs, info.life));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outputs.orders.size());
  const auto orders = std::get<WorkerOrders>(outputs.orders[0].message);
  CPPUNIT_ASSERT(orders.must_fence && orders.worker == info.life);
  const std::uint64_t token =
      CallToken(orders.fencing_token, orders.incarnation_number);
  CPPUNIT_ASSERT(token > CallToken(kLeaderToken, 0));
  leader.OnSync(now, table, "agent", SyncOf(info, token - 1), true);
  CPPUNIT_ASSERT(!Admits(leader.TakeOutputs(), info.life));
  leader.OnSync(now, table, "agent", SyncOf(info, token), true);
  CPPUNIT_ASSERT(Admits(leader.TakeOutputs(), info.life));
}

// Guards against a worker that never joins since its agent is of an earlier
// version.
void EarlierAgentsAreAdmittedAtOnce() {
  GraphTable table;
  GraphLeader leader(kLongLeases);
  const Time now(std::chrono::seconds(100));
  leader.Reset(now, table, kLeaderToken);
  const WorkerInfo info = SampleWorker("w1", 8);
  WorkerSync sync = SyncOf(info, 0);
  sync.answered_token.reset();
  leader.OnSync(now, table, "agent", sync, true);
  CPPUNIT_ASSERT(Admits(leader.TakeOutputs(), info.life));
}

void NumbersRiseWithIncarnations() {
  GraphTable table;
  IncarnationNumbers numbers;
  numbers.Reset(table, kLeaderToken);
  const WorkerIncarnation first{"w1", 8};
  const WorkerIncarnation second{"w1", 9};
  const std::uint64_t first_number = numbers.Request(first).incarnation_number;
  numbers.OnAdmitted(first);
  const std::uint64_t second_number =
      numbers.Request(second).incarnation_number;
  CPPUNIT_ASSERT(second_number > first_number);
  CPPUNIT_ASSERT_EQUAL(first_number, numbers.Of(first));
  numbers.OnAdmitted(second);
  CPPUNIT_ASSERT_EQUAL(second_number, numbers.Of(second));
  CPPUNIT_ASSERT_MESSAGE(
      "an earlier one has to be fenced again",
      !numbers.IsFenced(SyncOf(SampleWorker("w1", 8),
                               CallToken(kLeaderToken, first_number))));
}

// Guards against a worker that is admitted late for a fence that it has had.
void ReadmissionNeedsNoFence() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1"));
  for (int i = 0; i < 120; ++i) {
    fixture.AdvanceTime(Millis(100));
  }
  CPPUNIT_ASSERT(fixture.table().workers().empty());
  WorkerSync sync;
  sync.info = SampleWorker("w1");
  fixture.Relay(sync);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.table().workers().size());
}

// Returns the requests to fence the incarnation.
std::vector<WorkerOrders> FenceRequests(const GraphLeaderOutputs& outputs,
                                        const WorkerIncarnation& life) {
  std::vector<WorkerOrders> requests;
  for (const Outbound& outbound : outputs.orders) {
    const auto* orders = std::get_if<WorkerOrders>(&outbound.message);
    if (orders != nullptr && orders->must_fence && orders->worker == life) {
      requests.push_back(*orders);
    }
  }
  return requests;
}

// Guards against a restarted worker that stays out until a lease has run out,
// after a step of its clock: its agent reports the earlier incarnation as gone
// only once the next one has been fenced, which the leader has to ask for.
void EarlierStartIsFencedBesideAdmittedIncarnation() {
  LeaderHarness fixture(kLongLeases);
  const WorkerInfo earlier = SampleWorker("w1", 8);
  const WorkerInfo next = SampleWorker("w1", 3);
  fixture.Join(earlier);
  fixture.leader().OnSync(fixture.now(), fixture.table(), "agent-w1",
                          SyncOf(next, 0), true);
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{1},
      FenceRequests(fixture.leader().TakeOutputs(), next.life).size());
}

// Guards against a restarted worker that stays out until a lease has run out,
// as its agent has restarted, too, knows no token, and the worker has seen the
// one of a call to its earlier incarnation and refuses all lower ones.
void RestartedAgentLearnsTokenBesideAdmittedIncarnation() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  const WorkerInfo next = SampleWorker("w1", 8);
  WorkerSync sync = SyncOf(next, 0);
  sync.reachable = false;
  fixture.leader().OnSync(fixture.now(), fixture.table(), "agent-w1", sync,
                          true);
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{1},
      FenceRequests(fixture.leader().TakeOutputs(), next.life).size());
}

// Guards against a start after an end that is acknowledged: a start that the
// earlier incarnation did not answer was carried out by the next one and was
// done before that one refused such calls.
void DoneEndOfInheritedStartCounts() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g1", {SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w1").contains(RunOf("g1", 0, 0)));
  WorkerSync sync;
  sync.info = SampleWorker("w1", 8);
  sync.lists = 1;
  sync.ended = {{1, RunOf("g1", 0, 0), RunEndReason::kDone, ""}};
  for (int i = 0; i < 2; ++i) {
    fixture.Sync(sync);
  }
  CPPUNIT_ASSERT_EQUAL(
      std::int64_t{8},
      fixture.table().workers().at("w1").info.life.started_at_ms);
  const bool is_acknowledged = fixture.table().workers().at("w1").noted == 1;
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(!is_acknowledged || fixture.RunsOn("w1").empty());
  fixture.Sync(sync);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       fixture.table().workers().at("w1").noted);
  CPPUNIT_ASSERT(fixture.table().FindGraph("g1")->state ==
                 GraphState::kCompleted);
}

// Guards against a second run elsewhere in the time between the removal of the
// earlier incarnation and the next report of the one that has done the task.
void DoneEndOfInheritedStartIsCommittedBeforeRemoval() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g1", {SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w1").contains(RunOf("g1", 0, 0)));
  fixture.Join(SampleWorker("w2"));
  WorkerSync sync;
  sync.info = SampleWorker("w1", 8);
  sync.lists = 1;
  sync.ended = {{1, RunOf("g1", 0, 0), RunEndReason::kDone, ""}};
  fixture.Sync(sync);
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w2").empty());
  CPPUNIT_ASSERT(fixture.table().FindGraph("g1")->state ==
                 GraphState::kCompleted);
}

// Guards against the same if the agent reports the earlier incarnation as gone,
// with what the next one lists.
void DoneEndOfInheritedStartCountsBesideDeparture() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g1", {SampleStep(1), SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w1").contains(RunOf("g1", 0, 0)));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       fixture.table().PendingGraphCount("quick"));
  WorkerSync gone;
  gone.info = SampleWorker("w1", 3);
  gone.gone = true;
  gone.ended = {{0, RunOf("g1", 0, 0), RunEndReason::kDone, ""}};
  fixture.Relay(gone);
  CPPUNIT_ASSERT(fixture.table().workers().empty());
  CPPUNIT_ASSERT(fixture.table().FindTask(RunOf("g1", 0, 0).task)->phase ==
                 TaskPhase::kDone);
  CPPUNIT_ASSERT(fixture.table().FindTask(RunOf("g1", 1, 0).task)->phase ==
                 TaskPhase::kReady);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("a run of the graph has ended", std::int64_t{0},
                               fixture.table().PendingGraphCount("quick"));
}

// Guards against the same if the lease of the earlier incarnation ran out
// before the next one was reached, and the task has waited for a worker since
// then.
void DoneEndOfInheritedStartCountsAfterRemoval() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g1", {SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w1").contains(RunOf("g1", 0, 0)));
  for (int i = 0; i < 120; ++i) {
    fixture.AdvanceTime(Millis(100));
  }
  CPPUNIT_ASSERT(fixture.table().workers().empty());
  WorkerSync sync;
  sync.info = SampleWorker("w1", 8);
  sync.lists = 1;
  sync.ended = {{1, RunOf("g1", 0, 0), RunEndReason::kDone, ""}};
  for (int i = 0; i < 3; ++i) {
    fixture.Sync(sync);
  }
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       fixture.table().workers().at("w1").noted);
  CPPUNIT_ASSERT(fixture.RunsOn("w1").empty());
  CPPUNIT_ASSERT(fixture.table().FindGraph("g1")->state ==
                 GraphState::kCompleted);
}

// Returns the report of the next incarnation of `w1`, which has done a run that
// an earlier one was sent.
WorkerSync SyncWithInheritedEnd(const RunRef& run, bool may_hold_lease) {
  WorkerSync sync;
  sync.info = SampleWorker("w1", 8);
  sync.lists = 1;
  sync.ended = {{1, run, RunEndReason::kDone, ""}};
  sync.may_hold_lease = may_hold_lease;
  return sync;
}

// Guards against acknowledging an end as done of a task that was started again
// meanwhile: its worker was out of reach, and the lease of the earlier
// incarnation ran out before the end was listed.
void DoneEndOfRepeatedTaskOutlastsLease() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g1", {SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w1").contains(RunOf("g1", 0, 0)));
  for (int i = 0; i < 120; ++i) {
    fixture.AdvanceTime(Millis(100));
  }
  fixture.Join(SampleWorker("w2"));
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w2").contains(RunOf("g1", 0, 0, 2)));
  for (int i = 0; i < 12; ++i) {
    fixture.Sync(SyncWithInheritedEnd(RunOf("g1", 0, 0), true));
    fixture.AdvanceTime(Millis(500));
  }
  CPPUNIT_ASSERT(!fixture.table().workers().contains("w1"));
  for (int i = 0; i < 2; ++i) {
    fixture.Sync(SyncWithInheritedEnd(RunOf("g1", 0, 0), false));
  }
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       fixture.table().workers().at("w1").noted);
  CPPUNIT_ASSERT_MESSAGE("the second run goes on",
                         fixture.RunsOn("w2").contains(RunOf("g1", 0, 0, 2)));
}

// Guards against the same if the earlier incarnation had confirmed that the run
// will not start there, which the next one doesn't know.
void DoneEndOfRefusedRunOutlastsLease() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g1", {SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  fixture.Join(SampleWorker("w2"));
  WorkerSync refusal;
  refusal.info = SampleWorker("w1", 3);
  refusal.ended = {{0, RunOf("g1", 0, 0), RunEndReason::kRefused, ""}};
  fixture.Sync(refusal);
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w2").contains(RunOf("g1", 0, 0, 2)));
  for (int i = 0; i < 3; ++i) {
    fixture.Sync(SyncWithInheritedEnd(RunOf("g1", 0, 0), true));
  }
  CPPUNIT_ASSERT_MESSAGE("neither incarnation is in service",
                         !fixture.table().workers().contains("w1"));
  for (int i = 0; i < 2; ++i) {
    fixture.Sync(SyncWithInheritedEnd(RunOf("g1", 0, 0), false));
  }
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       fixture.table().workers().at("w1").noted);
}

// Guards against the same by an order of entries in the log: the task is placed
// again after the leader has seen its end and before that is committed.
void DoneEndIsCommittedBeforeAdmission() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 3));
  fixture.Commit(SampleGraph("g1", {SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  for (int i = 0; i < 120; ++i) {
    fixture.AdvanceTime(Millis(100));
  }
  CPPUNIT_ASSERT(fixture.table().workers().empty());
  const WorkerSync sync = SyncWithInheritedEnd(RunOf("g1", 0, 0), true);
  fixture.Sync(sync);
  CPPUNIT_ASSERT(fixture.table().FindGraph("g1")->state ==
                 GraphState::kCompleted);
  CPPUNIT_ASSERT_MESSAGE("it is admitted with a later report",
                         fixture.table().workers().empty());
  fixture.Sync(sync);
  CPPUNIT_ASSERT_MESSAGE("and doesn't wait for the end of its lease",
                         fixture.table().workers().contains("w1"));
}

// Guards against workers that are out of service for a lease without need: one
// that was cut off for longer than its lease has its own ends to report.
void ReadmissionDoesNotOutlastLease() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 8));
  fixture.Commit(SampleGraph("g1", {SampleStep(1)}));
  fixture.AdvanceTime(Millis(100));
  for (int i = 0; i < 120; ++i) {
    fixture.AdvanceTime(Millis(100));
  }
  fixture.Join(SampleWorker("w2"));
  fixture.AdvanceTime(Millis(100));
  CPPUNIT_ASSERT(fixture.RunsOn("w2").contains(RunOf("g1", 0, 0, 2)));
  fixture.Sync(SyncWithInheritedEnd(RunOf("g1", 0, 0), true));
  CPPUNIT_ASSERT(fixture.table().workers().contains("w1"));
}

// Guards against tasks that wait longer for a worker that went silent: one that
// is admitted again has refused calls to earlier incarnations all the time.
void LeaseOfReadmittedWorkerIsTheGrantedOne() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1"));
  for (int i = 0; i < 120; ++i) {
    fixture.AdvanceTime(Millis(100));
  }
  CPPUNIT_ASSERT(fixture.table().workers().empty());
  fixture.Join(SampleWorker("w1"));
  int steps = 0;
  while (!fixture.table().workers().empty() && steps < 200) {
    fixture.AdvanceTime(Millis(100));
    ++steps;
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(steps), steps >= 63 && steps <= 64);
}

// Returns after how many steps of 100 ms the leader removes a silent worker.
int StepsUntilRemoval(LeaderHarness& fixture) {
  int steps = 0;
  while (!fixture.table().workers().empty() && steps < 200) {
    fixture.AdvanceTime(Millis(100));
    ++steps;
  }
  return steps;
}

// Guards against two runs of a task at once: a call to the earlier incarnation
// gave the restarted worker the longest lease, and the worker went silent.
void LeaseOfRestartedWorkerIsWaitedFor() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 8));
  const int steps = StepsUntilRemoval(fixture);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(steps), steps >= 103);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(steps), steps <= 104);
}

// Guards against tasks that wait longer than the lease of a silent worker that
// has not restarted lately.
void LeaseOfOtherWorkersIsTheGrantedOne() {
  LeaderHarness fixture(kLongLeases);
  fixture.Join(SampleWorker("w1", 8));
  for (int i = 0; i < 60; ++i) {
    fixture.AdvanceTime(Millis(100));
    WorkerSync sync;
    sync.info = SampleWorker("w1", 8);
    fixture.Sync(sync);
  }
  const int steps = StepsUntilRemoval(fixture);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(steps), steps >= 63 && steps <= 64);
}

// Guards against a replica that leads next and takes the lease for the granted
// one.
void NextLeaderWaitsForTheSameLease() {
  GraphTable table;
  GraphLeader next(kLongLeases);
  next.OnRestored(Time(std::chrono::seconds(10)));
  const Time admitted(std::chrono::seconds(100));
  next.OnFollowed(
      admitted,
      table.Apply(AdmitWorker{SampleWorker("w1", 8), "agent"}, kGraphStart));
  const Time elected = admitted + Millis(1000);
  next.Reset(elected, table, kLeaderToken);
  const auto removes_at = [&](Duration after) {
    next.Decide(admitted + after, kGraphStart, table);
    const GraphLeaderOutputs outputs = next.TakeOutputs();
    return std::any_of(outputs.proposals.begin(), outputs.proposals.end(),
                       [](const Command& command) {
                         return std::holds_alternative<DropWorker>(command);
                       });
  };
  CPPUNIT_ASSERT_MESSAGE("6.3 s after the election", !removes_at(Millis(7400)));
  CPPUNIT_ASSERT(!removes_at(Millis(10200)));
  CPPUNIT_ASSERT(removes_at(Millis(10210)));
}

// Guards against a replica that has just started and knows no times.
void RestoredReplicaWaitsFromItsStart() {
  UnknownLeases leases(std::chrono::seconds(10));
  const Time restored(std::chrono::seconds(100));
  leases.OnRestored(restored);
  CPPUNIT_ASSERT(leases.EndOf({"w1", 8}) >= restored + Millis(10204));
  leases.OnAdmitted(restored + Millis(5000), {"w1", 9});
  CPPUNIT_ASSERT(leases.EndOf({"w1", 9}) >= restored + Millis(15204));
  CPPUNIT_ASSERT(leases.EndOf({"w1", 9}) <= restored + Millis(15210));
}

// Guards against lower tokens than a worker has seen: those of another leader,
// or of a command to an earlier incarnation.
void TokensOfAnAgentOnlyRise() {
  CallFence fence;
  WorkerOrders orders;
  orders.fencing_token = 3;
  orders.incarnation_number = 5;
  CPPUNIT_ASSERT(fence.OnOrders(orders, true));
  CPPUNIT_ASSERT_EQUAL(CallToken(3, 5), fence.token());
  orders.incarnation_number = 4;
  CPPUNIT_ASSERT(fence.OnOrders(orders, true));
  CPPUNIT_ASSERT_EQUAL(CallToken(3, 5), fence.token());
  orders.fencing_token = 2;
  orders.incarnation_number = 9;
  CPPUNIT_ASSERT(!fence.OnOrders(orders, true));
  CPPUNIT_ASSERT_EQUAL(CallToken(3, 5), fence.token());
  orders.fencing_token = 4;
  CPPUNIT_ASSERT(fence.OnOrders(orders, false));
  CPPUNIT_ASSERT_EQUAL(CallToken(4, 0), fence.token());
}

void NumbersStayWithinTheirTerm() {
  CPPUNIT_ASSERT(CallToken(3, kMaxIncarnationNumber + 5) < CallToken(4, 0));
}

}  // namespace

Section IncarnationFenceStory() {
  Section story("Calls to an earlier incarnation of a worker");
  story
      .With(Section("are refused by the next one")
                .Then("before it is admitted", AdmissionWaitsForFence)
                .Then("as their tokens are lower", NumbersRiseWithIncarnations)
                .Then("also after it was removed for a while",
                      ReadmissionNeedsNoFence)
                .Then("also if its start is the lower one after a step of its "
                      "clock",
                      EarlierStartIsFencedBesideAdmittedIncarnation)
                .Then("also if its agent restarts beside it",
                      RestartedAgentLearnsTokenBesideAdmittedIncarnation)
                .Then("unless they were carried out before, whose done ends "
                      "count",
                      DoneEndOfInheritedStartCounts)
                .Then("before the earlier one is removed",
                      DoneEndOfInheritedStartIsCommittedBeforeRemoval)
                .Then("also if the earlier one is gone by then",
                      DoneEndOfInheritedStartCountsBesideDeparture)
                .Then("also if its lease ran out before",
                      DoneEndOfInheritedStartCountsAfterRemoval)
                .Then("before this one is admitted",
                      DoneEndIsCommittedBeforeAdmission)
                .Then("or isn't acknowledged within the lease, once the task "
                      "was started again",
                      DoneEndOfRepeatedTaskOutlastsLease)
                .Then("also if the earlier one had refused the run",
                      DoneEndOfRefusedRunOutlastsLease)
                .Then("unless it was admitted before, and its lease has run "
                      "out",
                      ReadmissionDoesNotOutlastLease)
                .Then("unless its agent is of an earlier version",
                      EarlierAgentsAreAdmittedAtOnce))
      .With(Section("may have given it the longest lease")
                .Then("for which the leader waits",
                      LeaseOfRestartedWorkerIsWaitedFor)
                .Then("for which the next leader waits, too",
                      NextLeaderWaitsForTheSameLease)
                .Then("for which a replica that has just started waits",
                      RestoredReplicaWaitsFromItsStart)
                .Then("which is not waited for again when it is readmitted",
                      LeaseOfReadmittedWorkerIsTheGrantedOne)
                .Then("which is over when it has run for a while",
                      LeaseOfOtherWorkersIsTheGrantedOne))
      .With(Section("have tokens")
                .Then("that only rise", TokensOfAnAgentOnlyRise)
                .Then("below those of the next leader",
                      NumbersStayWithinTheirTerm));
  return story;
}

}  // namespace banyan
