#include "banyan/graph/urgency.h"

#include <algorithm>
#include <vector>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

Graph GraphAt(WallMillis submitted_at, std::int64_t estimate_ms) {
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan()}, submitted_at);
  StepSpec step = SampleStep(1);
  step.estimate_ms = estimate_ms;
  table.Apply(SampleGraph("g", {step}, "batch"), submitted_at);
  return *table.FindGraph("g");
}

void ReachFallsWithTime() {
  // Objective: 2 x 2 s and 1 s more.
  const Graph graph = GraphAt(kGraphStart, 2000);
  CPPUNIT_ASSERT(UrgencyOf(graph, kGraphStart).reach == Reach::kInTime);
  CPPUNIT_ASSERT(UrgencyOf(graph, kGraphStart + 3500).reach == Reach::kLate);
  CPPUNIT_ASSERT(UrgencyOf(graph, kGraphStart + 14000).reach ==
                 Reach::kTooLate);
}

void BegunWorkGoesFirst() {
  Graph begun = GraphAt(kGraphStart, 2000);
  begun.state = GraphState::kRunning;
  const Graph fresh = GraphAt(kGraphStart - 500, 2000);
  CPPUNIT_ASSERT(UrgencyOf(begun, kGraphStart) < UrgencyOf(fresh, kGraphStart));
}

// Jobs of one second arrive at twice the rate that one worker can serve; each
// is worth something only within its objective of three seconds. Returns how
// many of them were in time.
template <typename Before>
int ServedInTime(const Before& before) {
  constexpr int kJobs = 60;
  constexpr std::int64_t kGapMs = 500;
  constexpr std::int64_t kWorkMs = 1000;
  std::vector<Graph> waiting;
  int arrived = 0;
  int in_time = 0;
  for (WallMillis now = kGraphStart; arrived < kJobs || !waiting.empty();
       now += kWorkMs) {
    while (arrived < kJobs && kGraphStart + arrived * kGapMs <= now) {
      waiting.push_back(GraphAt(kGraphStart + arrived * kGapMs, kWorkMs));
      waiting.back().order = static_cast<std::uint64_t>(arrived);
      ++arrived;
    }
    if (waiting.empty()) {
      continue;
    }
    const auto next = std::min_element(
        waiting.begin(), waiting.end(),
        [&](const Graph& a, const Graph& b) { return before(a, b, now); });
    in_time += now + kWorkMs <= UrgencyOf(*next, now).objective_at ? 1 : 0;
    waiting.erase(next);
  }
  return in_time;
}

void OverloadServesHalfInTimeInsteadOfNothing() {
  const int by_order =
      ServedInTime([](const Graph& a, const Graph& b, WallMillis) {
        return a.order < b.order;
      });
  const int by_reach =
      ServedInTime([](const Graph& a, const Graph& b, WallMillis now) {
        return UrgencyOf(a, now) < UrgencyOf(b, now);
      });
  // Half of the jobs fit; nine of ten of these must be in time.
  CPPUNIT_ASSERT(by_reach >= 27);
  CPPUNIT_ASSERT(by_reach > 3 * by_order);
}

}  // namespace

Section UrgencyStory() {
  Section story("The order of placement");
  story
      .With(Section("a graph")
                .Then("reaches less as time passes", ReachFallsWithTime)
                .Then("that has begun goes before one that has not",
                      BegunWorkGoesFirst))
      .With(Section("twice the load that fits")
                .Then("is served by half in time instead of all late",
                      OverloadServesHalfInTimeInsteadOfNothing));
  return story;
}

}  // namespace banyan
