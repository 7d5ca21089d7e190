#include "banyan/graph/urgency.h"

#include <algorithm>
#include <array>
#include <vector>

#include "banyan/graph/backlog.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

Graph GraphAt(WallMillis submitted_at,
              std::int64_t estimate_ms,
              std::int64_t tasks = 1) {
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan()}, submitted_at);
  StepSpec step = SampleStep(tasks);
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

void BacklogLeavesOutWhatWouldBeLate() {
  // Two processors; each build needs two seconds of both, objective five.
  const Graph graph = GraphAt(kGraphStart, 2000, 2);
  const Urgency urgency = UrgencyOf(graph, kGraphStart);
  Backlog backlog(2000);
  CPPUNIT_ASSERT(backlog.Take(urgency, kGraphStart));
  CPPUNIT_ASSERT(backlog.Take(urgency, kGraphStart));
  CPPUNIT_ASSERT(!backlog.Take(urgency, kGraphStart));
  // What was left out takes no room from those behind it.
  Urgency patient = urgency;
  patient.objective_at += 1000;
  CPPUNIT_ASSERT(backlog.Take(patient, kGraphStart));
}

void LeastWorkLeftGoesFirst() {
  Graph begun = GraphAt(kGraphStart, 2000, 4);
  begun.state = GraphState::kRunning;
  begun.occurrences[0][0].done = 1;
  const Graph fresh = GraphAt(kGraphStart - 500, 2000, 4);
  CPPUNIT_ASSERT(UrgencyOf(begun, kGraphStart) < UrgencyOf(fresh, kGraphStart));
  const Graph small = GraphAt(kGraphStart, 2000, 2);
  CPPUNIT_ASSERT(UrgencyOf(small, kGraphStart) < UrgencyOf(begun, kGraphStart));
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

// The pattern of a scale day: packet builds of very different width come at
// half again the rate at which the room serves them. Each task takes a second;
// a build is worth something only within its objective of three. Returns how
// many were whole in time.
template <typename Before>
int BuildsInTime(const Before& before) {
  constexpr int kRoom = 12;
  constexpr int kBuilds = 90;
  constexpr std::int64_t kGapMs = 500;
  constexpr std::int64_t kTaskMs = 1000;
  constexpr std::array<std::int64_t, 6> kWidths = {4, 18, 2, 12, 6, 12};
  std::vector<Graph> waiting;
  int arrived = 0;
  int in_time = 0;
  for (WallMillis now = kGraphStart; arrived < kBuilds || !waiting.empty();
       now += kTaskMs) {
    while (arrived < kBuilds && kGraphStart + arrived * kGapMs <= now) {
      const auto at = static_cast<std::size_t>(arrived);
      waiting.push_back(GraphAt(kGraphStart + arrived * kGapMs, kTaskMs,
                                kWidths.at(at % kWidths.size())));
      waiting.back().order = at;
      ++arrived;
    }
    std::sort(
        waiting.begin(), waiting.end(),
        [&](const Graph& a, const Graph& b) { return before(a, b, now); });
    std::int64_t room = kRoom;
    for (Graph& graph : waiting) {
      StepProgress& step = graph.occurrences[0][0];
      const auto left =
          static_cast<std::int64_t>(step.tasks.size()) - step.done;
      const std::int64_t served = std::min(room, left);
      step.done += served;
      room -= served;
      in_time += served > 0 && step.is_done() &&
                         now + kTaskMs <= UrgencyOf(graph, now).objective_at
                     ? 1
                     : 0;
    }
    std::erase_if(waiting, [](const Graph& graph) {
      return graph.occurrences[0][0].is_done();
    });
  }
  return in_time;
}

void WideBuildsRunWholeInsteadOfCreeping() {
  const int by_objective =
      BuildsInTime([](const Graph& a, const Graph& b, WallMillis now) {
        return UrgencyOf(a, now).objective_at < UrgencyOf(b, now).objective_at;
      });
  const int by_urgency =
      BuildsInTime([](const Graph& a, const Graph& b, WallMillis now) {
        return UrgencyOf(a, now) < UrgencyOf(b, now);
      });
  // Two thirds of the work fit; as many of the builds must be in time.
  CPPUNIT_ASSERT(by_urgency >= 60);
  CPPUNIT_ASSERT(by_urgency > 2 * by_objective);
}

}  // namespace

Section UrgencyStory() {
  Section story("The order of placement");
  story
      .With(Section("a graph")
                .Then("reaches less as time passes", ReachFallsWithTime)
                .Then("with the least work left goes first",
                      LeastWorkLeftGoesFirst)
                .Then("that would end late behind others is left out",
                      BacklogLeavesOutWhatWouldBeLate))
      .With(Section("twice the load that fits")
                .Then("is served by half in time instead of all late",
                      OverloadServesHalfInTimeInsteadOfNothing))
      .With(Section("half again the load that fits")
                .Then("runs wide builds whole instead of all at a creep",
                      WideBuildsRunWholeInsteadOfCreeping));
  return story;
}

}  // namespace banyan
