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
  constexpr std::uint64_t kRareSeed = 920;
  const GraphFaults faults{.leaves = true, .silent_lists = true};
  Play(faults);
  const GraphWorldResult result = PlayGraphWorld(faults, kRareSeed);
  CPPUNIT_ASSERT_MESSAGE(
      result.violations.empty() ? "" : result.violations.front(),
      result.violations.empty());
}

// Guards against what only a combination of faults brings about.
void AllTogether() {
  Play(kAllFaults);
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
  return story;
}

}  // namespace banyan
