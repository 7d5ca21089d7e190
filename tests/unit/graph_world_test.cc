#include "tests/support/graph_world.h"

#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr std::uint64_t kSeeds = 20;
// Far fewer would mean that a world stands still.
constexpr int kMinStarts = 40;
constexpr int kMinFaults = 2;

constexpr GraphFaults kAllFaults{
    .leaves = true,
    .leader_changes = true,
    .cuts = true,
    .worker_restarts = true,
    .agent_restarts = true,
    .late_orders = true,
    .late_reports = true,
    .silent_lists = true,
};

// Workers with long tasks restart under their id and are cut off soon after, as
// at the deployments whose workers accept the longest leases.
constexpr GraphFaults kRestartsAndCuts{
    .restart_cuts = true,
    .long_tasks = true,
    .long_leases = true,
    .long_grants = true,
};

// Besides, list calls to the former incarnation reach them.
constexpr GraphFaults kLateListsAndCuts{
    .late_lists = true,
    .restart_cuts = true,
    .long_tasks = true,
    .long_leases = true,
    .long_grants = true,
};

// Plays each seed and fails with the first violation of each.
void Play(const GraphFaults& faults) {
  std::string text;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const GraphWorldResult result = PlayGraphWorld(faults, seed);
    CPPUNIT_ASSERT(result.starts >= kMinStarts);
    CPPUNIT_ASSERT(result.faults >= kMinFaults);
    CPPUNIT_ASSERT(!faults.long_running || result.long_running_tasks > 0);
    if (!result.violations.empty()) {
      ++failed;
      text += "\nseed " + std::to_string(seed) + ", " +
              std::to_string(result.violations.size()) +
              " violations, the first: " + result.violations.front();
    }
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(failed) + " seeds failed" + text,
                         failed == 0);
}

// Plays each seed with copies, and fails also if there are hardly any.
void PlayWithCopies(GraphFaults faults) {
  faults.copies = true;
  Play(faults);
  int copies = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    copies += PlayGraphWorld(faults, seed).copies;
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(copies), copies >= 10);
}

// Plays a seed that failed once and is too rare for Play().
void PlayRareSeed(const GraphFaults& faults, std::uint64_t seed) {
  const GraphWorldResult result = PlayGraphWorld(faults, seed);
  CPPUNIT_ASSERT_MESSAGE(
      result.violations.empty() ? "" : result.violations.front(),
      result.violations.empty());
}

// Guards against a task that is started again after it was done: its end is
// lost with the incarnation of a worker that leaves.
void Leaves() {
  Play({.leaves = true});
}

// Guards against ends that only the earlier leader was told of.
void LeavesAndLeaderChanges() {
  Play({.leaves = true, .leader_changes = true});
}

// Guards against ends that are not reported since the connection is down.
void LeavesAndCuts() {
  Play({.leaves = true, .cuts = true});
}

// Guards against ends of an earlier incarnation with the same id.
void LeavesAndWorkerRestarts() {
  Play({.leaves = true, .worker_restarts = true, .late_reports = true});
}

// Guards against an agent that reports on runs of before its start.
void LeavesAndAgentRestarts() {
  Play({.leaves = true, .agent_restarts = true});
}

// Guards against a worker that is given up for one list without an answer: it
// has announced its shutdown and works on.
void LeavesAndSilentLists() {
  const GraphFaults faults{.leaves = true, .silent_lists = true};
  Play(faults);
  PlayRareSeed(faults, 920);
}

// Guards against runs that go on while a report of another writer ends their
// incarnation.
void ForeignReports() {
  Play({.leaves = true, .foreign_reports = true});
}

// Guards against leases that run out, since an agent that has just restarted
// follows a report that is not its worker's.
void ForeignReportsToRestartedAgents() {
  const GraphFaults faults{
      .leaves = true, .agent_restarts = true, .foreign_reports = true};
  Play(faults);
  for (const std::uint64_t seed : {75, 144, 178}) {
    PlayRareSeed(faults, seed);
  }
}

// Guards against the same while incarnations do end, also with clocks that
// step.
void ForeignReportsAmongRestarts() {
  Play({.leaves = true,
        .worker_restarts = true,
        .agent_restarts = true,
        .late_reports = true,
        .silent_lists = true,
        .foreign_reports = true,
        .clock_steps = true});
}

// Guards against what only a combination of faults brings about.
void AllTogether() {
  Play(kAllFaults);
}

// Guards against crashes that no agent sees, since each restarts after them.
void DeadlyTasksAndAllFaults() {
  GraphFaults faults = kAllFaults;
  faults.deadly_tasks = true;
  faults.capacity_changes = true;
  Play(faults);
  PlayRareSeed(faults, 469);
}

// Guards against a task that is started again and again, each time with a crash
// of its worker, and against sound graphs that are given up for it.
void DeadlyTasks() {
  Play({.deadly_tasks = true});
}

// Guards against crashes that only the earlier leader counted.
void DeadlyTasksAndLeaderChanges() {
  Play({.leader_changes = true, .deadly_tasks = true});
}

// Guards against sound graphs that are given up for crashes of their workers.
void DeadlyTasksAndWorkerRestarts() {
  Play({.worker_restarts = true, .deadly_tasks = true});
}

// Guards against crashes whose starts are carried out late or are repeated.
void DeadlyTasksAndLateOrders() {
  Play({.late_orders = true, .late_reports = true, .deadly_tasks = true});
}

// Guards against crashes that are forgotten while connections are down.
void DeadlyTasksAndCuts() {
  Play({.leaves = true, .cuts = true, .deadly_tasks = true});
}

// Guards against starts beyond a capacity that has shrunk.
void ShrinkingCapacities() {
  Play({.capacity_changes = true});
}

// Guards against starts that are repeated by a later leader or a later agent
// although the capacity has shrunk.
void ShrinkingCapacitiesAndFailures() {
  PlayRareSeed({.leader_changes = true, .capacity_changes = true}, 33);
  Play({.leader_changes = true,
        .cuts = true,
        .agent_restarts = true,
        .late_orders = true,
        .capacity_changes = true});
}

// Guards against best-effort long-running tasks that wait for a worker without
// latency-sensitive tasks.
void LongRunningAndLeaves() {
  const GraphFaults faults{.leaves = true, .long_running = true};
  Play(faults);
  PlayRareSeed(faults, 50);
}

// Guards against workers that stay closed to long-running tasks after failures.
void LongRunningAndFailures() {
  Play({.long_running = true, .failing_tasks = true});
}

// Guards against workers that stay closed while a best-effort task is their
// probe.
void LongRunningAndBestEffort() {
  Play({.long_running = true, .best_effort = true, .failing_tasks = true});
}

// Guards against workers that stay closed after they are sound again.
void LongRunningAndGreyWorkers() {
  Play({.long_running = true, .failing_tasks = true, .grey_workers = true});
}

// Guards against what a new leader doesn't know of failures and runs.
void LongRunningAndLeaderChanges() {
  Play({.leader_changes = true, .long_running = true, .failing_tasks = true});
}

// Guards against runs that the table holds and no worker has.
void LongRunningAndRestarts() {
  Play({.worker_restarts = true,
        .agent_restarts = true,
        .long_running = true,
        .failing_tasks = true});
}

// Guards against tasks that are not started again after leases have expired.
void LongRunningAndCuts() {
  Play({.cuts = true, .long_running = true, .failing_tasks = true});
}

// Guards against starts that are neither carried out nor given up.
void LongRunningAndLateOrders() {
  Play({.late_orders = true,
        .late_reports = true,
        .silent_lists = true,
        .long_running = true,
        .failing_tasks = true});
}

// Guards against workers that are kept for suspects of a crash.
void LongRunningAndDeadlyTasks() {
  Play({.deadly_tasks = true, .long_running = true, .failing_tasks = true});
}

// Guards against withdrawn starts that are not repeated.
void LongRunningAndShrinkingCapacities() {
  Play({.capacity_changes = true, .long_running = true, .failing_tasks = true});
}

// Guards against long-running tasks that wait though nothing has failed.
void LongRunningAndSoundTasks() {
  Play({.leaves = true,
        .leader_changes = true,
        .cuts = true,
        .agent_restarts = true,
        .late_orders = true,
        .late_reports = true,
        .silent_lists = true,
        .capacity_changes = true,
        .long_running = true});
  PlayRareSeed(
      {.worker_restarts = true, .long_running = true, .best_effort = true}, 33);
  const GraphFaults none{.long_running = true, .best_effort = true};
  PlayRareSeed(none, 38);
  PlayRareSeed(none, 50);
}

// Guards against what only a combination of faults brings about.
void LongRunningAndAllFaults() {
  GraphFaults faults = kAllFaults;
  faults.deadly_tasks = true;
  faults.capacity_changes = true;
  faults.long_running = true;
  faults.best_effort = true;
  faults.failing_tasks = true;
  faults.grey_workers = true;
  Play(faults);
}

// Guards against long-running tasks that wait for the room that is kept for
// urgent ones, and against runs that are stopped for these and then run twice.
void LongRunningAndUrgentTasks() {
  Play({.long_running = true,
        .best_effort = true,
        .failing_tasks = true,
        .room_for_urgent = true});
  GraphFaults faults = kAllFaults;
  faults.capacity_changes = true;
  faults.long_running = true;
  faults.best_effort = true;
  faults.room_for_urgent = true;
  Play(faults);
  // A world without stops would show nothing.
  int preemptions = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    preemptions += PlayGraphWorld(faults, seed).preemptions;
  }
  CPPUNIT_ASSERT(preemptions > 0);
}

// Guards against more runs of a task than two, against a second run of a task
// that isn't speculative, and against jobs that are never completed.
void CopiesAndCuts() {
  PlayWithCopies({.leaves = true, .cuts = true, .failing_tasks = true});
}

// Guards against the same with leaders that didn't place the copies.
void CopiesAndLeaderChanges() {
  PlayWithCopies({.leader_changes = true, .worker_restarts = true});
}

// Guards against what only a combination of faults brings about.
void CopiesAndAllFaults() {
  GraphFaults faults = kAllFaults;
  faults.capacity_changes = true;
  faults.failing_tasks = true;
  PlayWithCopies(faults);
}

// Guards against runs that go on past the lease that the leader knows of, and
// are placed again meanwhile: a list call that finds the next incarnation
// grants it the longest lease that it accepts.
void RestartsAndCuts() {
  Play(kRestartsAndCuts);
  for (const std::uint64_t seed : {25, 306, 322}) {
    PlayRareSeed(kRestartsAndCuts, seed);
  }
}

// Guards against the same by list calls that are carried out late.
void LateListsAndCuts() {
  Play(kLateListsAndCuts);
}

// Guards against the same at workers whose longest lease the leader outlasts
// unless the call is carried out late.
void LateListsAndShortLeases() {
  GraphFaults faults = kLateListsAndCuts;
  faults.long_leases = false;
  Play(faults);
}

// Guards against ends that a worker forgets, since a list call to its former
// incarnation acknowledges the numbers of that one's ends.
void LateListsAndRestarts() {
  Play({.worker_restarts = true, .late_lists = true, .long_grants = true});
}

// Guards against list calls to an incarnation before the former one.
void LateListsAndDoubleRestarts() {
  GraphFaults faults = kLateListsAndCuts;
  faults.double_restarts = true;
  Play(faults);
}

// Guards against list calls of an agent that has ended, of which the next one
// knows nothing.
void LateListsAndJointRestarts() {
  GraphFaults faults = kLateListsAndCuts;
  faults.agent_restarts = true;
  faults.joint_restarts = true;
  Play(faults);
}

// Guards against longer leases of which only the leader before knew.
void LateListsAndLeaderChanges() {
  GraphFaults faults = kLateListsAndCuts;
  faults.leader_changes = true;
  Play(faults);
}

// Guards against starts to the former incarnation that renew the lease of the
// next one or that it carries out, as it does with other orders.
void InheritedOrdersAndCuts() {
  GraphFaults faults = kRestartsAndCuts;
  faults.inherited_orders = true;
  faults.double_restarts = true;
  Play(faults);
}

// Guards against what only a combination of faults brings about.
void LateListsAndAllFaults() {
  GraphFaults faults = kAllFaults;
  faults.late_lists = true;
  faults.restart_cuts = true;
  faults.double_restarts = true;
  faults.joint_restarts = true;
  faults.long_tasks = true;
  faults.long_leases = true;
  faults.long_grants = true;
  Play(faults);
}

// Guards against a violation that can't be played again.
void SameSeedSameHistory() {
  const auto play = [] { return PlayGraphWorld(kAllFaults, 1).history; };
  CPPUNIT_ASSERT(play() == play());
}

}  // namespace

Section GraphWorldStory() {
  Section story("A task whose worker leaves as it ends");
  story.Then("is not run twice", Leaves)
      .Then("is not run twice while the leader changes", LeavesAndLeaderChanges)
      .Then("is not run twice while agents lose their connection",
            LeavesAndCuts)
      .Then("is not run twice while workers restart", LeavesAndWorkerRestarts)
      .Then("is not run twice while agents restart", LeavesAndAgentRestarts)
      .Then("is not run twice while lists get no answer", LeavesAndSilentLists)
      .Then("is not run twice while others report in a worker's name",
            ForeignReports)
      .Then("is not run twice while others report to restarted agents",
            ForeignReportsToRestartedAgents)
      .Then("is not run twice while others report beside restarts",
            ForeignReportsAmongRestarts)
      .Then("is not run twice with all faults together", AllTogether)
      .Then("meets the same fate from the same seed", SameSeedSameHistory);
  story
      .With(Section("A task that crashes its workers")
                .Then("is given up", DeadlyTasks)
                .Then("is given up while the leader changes",
                      DeadlyTasksAndLeaderChanges)
                .Then("is given up while workers crash by themselves",
                      DeadlyTasksAndWorkerRestarts)
                .Then("is given up while orders are late",
                      DeadlyTasksAndLateOrders)
                .Then("is given up while agents lose their connection",
                      DeadlyTasksAndCuts)
                .Then("is given up with all faults together",
                      DeadlyTasksAndAllFaults))
      .With(Section("A speculative task")
                .Then("runs twice at most though agents lose their connection",
                      CopiesAndCuts)
                .Then("runs twice at most though the leader changes",
                      CopiesAndLeaderChanges)
                .Then("runs twice at most with all faults together",
                      CopiesAndAllFaults))
      .With(Section("A worker that restarts under its id")
                .Then("runs nothing twice though it is cut off soon after",
                      RestartsAndCuts)
                .Then("runs nothing twice though a late list call grants it "
                      "the longest lease of 10 s",
                      LateListsAndCuts)
                .Then("runs nothing twice though a late list call grants it "
                      "the longest lease of 6 s",
                      LateListsAndShortLeases)
                .Then("runs nothing twice though a late list call "
                      "acknowledges its ends",
                      LateListsAndRestarts)
                .Then("runs nothing twice though it restarts again beside "
                      "late list calls",
                      LateListsAndDoubleRestarts)
                .Then("runs nothing twice though its agent restarts beside "
                      "late list calls",
                      LateListsAndJointRestarts)
                .Then("runs nothing twice though the leader changes beside "
                      "late list calls",
                      LateListsAndLeaderChanges)
                .Then("runs nothing twice though it inherits orders",
                      InheritedOrdersAndCuts)
                .Then("runs nothing twice with all faults beside late list "
                      "calls",
                      LateListsAndAllFaults))
      .With(Section("A worker whose capacity shrinks")
                .Then("is not filled beyond it", ShrinkingCapacities)
                .Then("is not filled beyond it while others fail",
                      ShrinkingCapacitiesAndFailures))
      .With(Section("A long-running task")
                .Then("runs while there is room though workers leave",
                      LongRunningAndLeaves)
                .Then("runs while there is room though tasks fail",
                      LongRunningAndFailures)
                .Then("runs while there is room beside best-effort tasks",
                      LongRunningAndBestEffort)
                .Then("runs while there is room though workers fail all",
                      LongRunningAndGreyWorkers)
                .Then("runs while there is room though the leader changes",
                      LongRunningAndLeaderChanges)
                .Then("runs while there is room though workers and agents "
                      "restart",
                      LongRunningAndRestarts)
                .Then("runs while there is room though agents lose their "
                      "connection",
                      LongRunningAndCuts)
                .Then("runs while there is room though orders are late",
                      LongRunningAndLateOrders)
                .Then("runs while there is room though tasks crash workers",
                      LongRunningAndDeadlyTasks)
                .Then("runs while there is room though capacities shrink",
                      LongRunningAndShrinkingCapacities)
                .Then("runs while there is room if no task fails",
                      LongRunningAndSoundTasks)
                .Then("runs while there is room though others are urgent",
                      LongRunningAndUrgentTasks)
                .Then("runs while there is room with all faults together",
                      LongRunningAndAllFaults));
  return story;
}

}  // namespace banyan
