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

void FeasibilityDropsOverTime() {
  // Objective: 2 x 2 s and 1 s more.
  const Graph graph = GraphAt(kGraphStart, 2000);
  CPPUNIT_ASSERT(ComputeUrgency(graph, kGraphStart).feasibility ==
                 Feasibility::kOnTime);
  CPPUNIT_ASSERT(ComputeUrgency(graph, kGraphStart + 3500).feasibility ==
                 Feasibility::kLate);
  CPPUNIT_ASSERT(ComputeUrgency(graph, kGraphStart + 14000).feasibility ==
                 Feasibility::kExpired);
}

void BacklogExcludesGraphsThatWouldBeLate() {
  // Two processors; each build needs two seconds of both, objective five.
  const Graph graph = GraphAt(kGraphStart, 2000, 2);
  const Urgency urgency = ComputeUrgency(graph, kGraphStart);
  Backlog backlog(2000);
  CPPUNIT_ASSERT(backlog.TryAdd(urgency, kGraphStart));
  CPPUNIT_ASSERT(backlog.TryAdd(urgency, kGraphStart));
  CPPUNIT_ASSERT(!backlog.TryAdd(urgency, kGraphStart));
  // What was left out takes no room from those behind it.
  Urgency later = urgency;
  later.objective_deadline += 1000;
  CPPUNIT_ASSERT(backlog.TryAdd(later, kGraphStart));
}

void LeastRemainingWorkRanksFirst() {
  Graph started = GraphAt(kGraphStart, 2000, 4);
  started.state = GraphState::kRunning;
  started.occurrences[0][0].done = 1;
  const Graph unstarted = GraphAt(kGraphStart - 500, 2000, 4);
  CPPUNIT_ASSERT(ComputeUrgency(started, kGraphStart) <
                 ComputeUrgency(unstarted, kGraphStart));
  const Graph small = GraphAt(kGraphStart, 2000, 2);
  CPPUNIT_ASSERT(ComputeUrgency(small, kGraphStart) <
                 ComputeUrgency(started, kGraphStart));
}

// Jobs of one second arrive at twice the rate that one worker can serve; each
// is worth something only within its objective of three seconds. Returns how
// many of them were in time.
template <typename Less>
int JobsCompletedOnTime(const Less& less) {
  constexpr int kJobs = 60;
  constexpr std::int64_t kArrivalIntervalMs = 500;
  constexpr std::int64_t kRunTimeMs = 1000;
  std::vector<Graph> waiting;
  int arrived = 0;
  int on_time_count = 0;
  for (WallMillis now = kGraphStart; arrived < kJobs || !waiting.empty();
       now += kRunTimeMs) {
    while (arrived < kJobs &&
           kGraphStart + arrived * kArrivalIntervalMs <= now) {
      waiting.push_back(
          GraphAt(kGraphStart + arrived * kArrivalIntervalMs, kRunTimeMs));
      waiting.back().order = static_cast<std::uint64_t>(arrived);
      ++arrived;
    }
    if (waiting.empty()) {
      continue;
    }
    const auto next = std::min_element(
        waiting.begin(), waiting.end(),
        [&](const Graph& a, const Graph& b) { return less(a, b, now); });
    on_time_count +=
        now + kRunTimeMs <= ComputeUrgency(*next, now).objective_deadline ? 1
                                                                          : 0;
    waiting.erase(next);
  }
  return on_time_count;
}

void OverloadCompletesHalfOnTime() {
  const int submission_order_count =
      JobsCompletedOnTime([](const Graph& a, const Graph& b, WallMillis) {
        return a.order < b.order;
      });
  const int urgency_order_count =
      JobsCompletedOnTime([](const Graph& a, const Graph& b, WallMillis now) {
        return ComputeUrgency(a, now) < ComputeUrgency(b, now);
      });
  // Half of the jobs fit; nine of ten of these must be in time.
  CPPUNIT_ASSERT(urgency_order_count >= 27);
  CPPUNIT_ASSERT(urgency_order_count > 3 * submission_order_count);
}

// The pattern of a scale day: packet builds of very different width come at
// half again the rate at which the room serves them. Each task takes a second;
// a build is worth something only within its objective of three. Returns how
// many were whole in time.
template <typename Less>
int BuildsCompletedOnTime(const Less& less) {
  constexpr int kTaskSlots = 12;
  constexpr int kBuilds = 90;
  constexpr std::int64_t kArrivalIntervalMs = 500;
  constexpr std::int64_t kTaskRunTimeMs = 1000;
  constexpr std::array<std::int64_t, 6> kTaskCounts = {4, 18, 2, 12, 6, 12};
  std::vector<Graph> waiting;
  int arrived = 0;
  int on_time_count = 0;
  for (WallMillis now = kGraphStart; arrived < kBuilds || !waiting.empty();
       now += kTaskRunTimeMs) {
    while (arrived < kBuilds &&
           kGraphStart + arrived * kArrivalIntervalMs <= now) {
      const auto position = static_cast<std::size_t>(arrived);
      waiting.push_back(GraphAt(kGraphStart + arrived * kArrivalIntervalMs,
                                kTaskRunTimeMs,
                                kTaskCounts.at(position % kTaskCounts.size())));
      waiting.back().order = position;
      ++arrived;
    }
    std::sort(waiting.begin(), waiting.end(),
              [&](const Graph& a, const Graph& b) { return less(a, b, now); });
    std::int64_t free_slots = kTaskSlots;
    for (Graph& graph : waiting) {
      StepProgress& step = graph.occurrences[0][0];
      const auto remaining =
          static_cast<std::int64_t>(step.tasks.size()) - step.done;
      const std::int64_t started_tasks = std::min(free_slots, remaining);
      step.done += started_tasks;
      free_slots -= started_tasks;
      on_time_count += started_tasks > 0 && step.is_done() &&
                               now + kTaskRunTimeMs <=
                                   ComputeUrgency(graph, now).objective_deadline
                           ? 1
                           : 0;
    }
    std::erase_if(waiting, [](const Graph& graph) {
      return graph.occurrences[0][0].is_done();
    });
  }
  return on_time_count;
}

void OverloadCompletesWideGraphsOneByOne() {
  const int deadline_order_count =
      BuildsCompletedOnTime([](const Graph& a, const Graph& b, WallMillis now) {
        return ComputeUrgency(a, now).objective_deadline <
               ComputeUrgency(b, now).objective_deadline;
      });
  const int urgency_order_count =
      BuildsCompletedOnTime([](const Graph& a, const Graph& b, WallMillis now) {
        return ComputeUrgency(a, now) < ComputeUrgency(b, now);
      });
  // Two thirds of the work fit; as many of the builds must be in time.
  CPPUNIT_ASSERT(urgency_order_count >= 60);
  CPPUNIT_ASSERT(urgency_order_count > 2 * deadline_order_count);
}

}  // namespace

Section UrgencyStory() {
  Section story("The order of placement");
  story
      .With(Section("a graph")
                .Then("reaches less as time passes", FeasibilityDropsOverTime)
                .Then("with the least work left goes first",
                      LeastRemainingWorkRanksFirst)
                .Then("that would end late behind others is left out",
                      BacklogExcludesGraphsThatWouldBeLate))
      .With(Section("twice the load that fits")
                .Then("is served by half in time instead of all late",
                      OverloadCompletesHalfOnTime))
      .With(Section("half again the load that fits")
                .Then("runs wide builds whole instead of all at a creep",
                      OverloadCompletesWideGraphsOneByOne));
  return story;
}

}  // namespace banyan
