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
  // The latency objective is 2 x 2 s + 1 s = 5 s.
  const Graph graph = GraphAt(kGraphStart, 2000);
  CPPUNIT_ASSERT(ComputeUrgency(graph, kGraphStart).feasibility ==
                 Feasibility::kOnTime);
  CPPUNIT_ASSERT(ComputeUrgency(graph, kGraphStart + 3500).feasibility ==
                 Feasibility::kLate);
  CPPUNIT_ASSERT(ComputeUrgency(graph, kGraphStart + 14000).feasibility ==
                 Feasibility::kExpired);
}

void BacklogExcludesGraphsThatWouldBeLate() {
  // Two processors; each graph needs both for 2 s and has an objective of 5 s.
  const Graph graph = GraphAt(kGraphStart, 2000, 2);
  const Urgency urgency = ComputeUrgency(graph, kGraphStart);
  Backlog backlog(2000);
  CPPUNIT_ASSERT(backlog.TryAdd(urgency, kGraphStart));
  CPPUNIT_ASSERT(backlog.TryAdd(urgency, kGraphStart));
  CPPUNIT_ASSERT(!backlog.TryAdd(urgency, kGraphStart));
  // The excluded graph does not count against those behind it.
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

// Simulates jobs with a run time of 1 s and an objective of 3 s that arrive at
// twice the rate that one worker can run, in the order given by `less`. Returns
// the number of jobs that met their objective.
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
  // The worker can run 1/2 of the jobs; 9/10 of these must be on time.
  CPPUNIT_ASSERT(urgency_order_count >= 27);
  CPPUNIT_ASSERT(urgency_order_count > 3 * submission_order_count);
}

// Simulates graphs with very different numbers of tasks that arrive at 1.5
// times the rate that the task slots can run, in the order given by `less`.
// Each task takes 1 s, and each graph has an objective of 3 s. Returns the
// number of graphs that met their objective.
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
  // The slots can run 2/3 of the work; 2/3 of the graphs must be on time.
  CPPUNIT_ASSERT(urgency_order_count >= 60);
  CPPUNIT_ASSERT(urgency_order_count > 2 * deadline_order_count);
}

}  // namespace

Section UrgencyStory() {
  Section story("Placement order");
  story
      .With(
          Section("of a graph")
              .Then("drops in feasibility over time", FeasibilityDropsOverTime)
              .Then("puts the least remaining work first",
                    LeastRemainingWorkRanksFirst)
              .Then("excludes a graph that would be late from the backlog",
                    BacklogExcludesGraphsThatWouldBeLate))
      .With(Section("at twice the capacity")
                .Then("completes half of the jobs on time instead of none",
                      OverloadCompletesHalfOnTime))
      .With(
          Section("at 1.5 times the capacity")
              .Then("completes wide graphs one by one, not all of them slowly",
                    OverloadCompletesWideGraphsOneByOne));
  return story;
}

}  // namespace banyan
