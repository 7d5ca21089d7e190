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

// Plays each seed and fails with the first violation of each.
void Play(const GraphFaults& faults) {
  std::string text;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const GraphWorldResult result = PlayGraphWorld(faults, seed);
    CPPUNIT_ASSERT(result.starts >= kMinStarts);
    CPPUNIT_ASSERT(result.faults >= kMinFaults);
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
      .With(Section("A worker whose capacity shrinks")
                .Then("is not filled beyond it", ShrinkingCapacities)
                .Then("is not filled beyond it while others fail",
                      ShrinkingCapacitiesAndFailures));
  return story;
}

}  // namespace banyan
