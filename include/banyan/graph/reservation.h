#ifndef BANYAN_GRAPH_RESERVATION_H_
#define BANYAN_GRAPH_RESERVATION_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/candidate_worker.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"
#include "banyan/graph/run_time_source.h"
#include "banyan/graph/urgency.h"

namespace banyan {

// Wait after which workers are reserved for a graph.
inline constexpr Duration kReserveAfter = Millis(1500);
// Runs that are expected to end later than this don't count for a reservation.
inline constexpr Duration kReservationHorizon = Millis(3000);
// Time past the due time after which a reservation lapses.
inline constexpr Duration kReservationGrace = Millis(2000);
// Time for which a graph whose reservation has lapsed gets no other. Bounds
// what a wrong estimate keeps from other graphs.
inline constexpr Duration kReservationPause = Millis(2000);
// Time until the next search for a graph that has found no worker to reserve.
inline constexpr Duration kSearchPause = Millis(500);
// Maximum number of graphs with reservations.
inline constexpr std::size_t kMaxReservingGraphs = 16;
// Maximum number of workers reserved for one graph, so that a wide graph leaves
// some to others.
inline constexpr std::size_t kMaxWorkersPerReservation = 4;
// At most one worker in this many of a pool is reserved.
inline constexpr std::size_t kReservedPoolDivisor = 4;
// Maximum number of graphs per pass for which reservations are searched; limits
// the time of the pass.
inline constexpr int kMaxReservationSearches = 2;

// A graph's place in the order of service as reservations respect it. The
// remaining work doesn't count: graphs with little of it would otherwise pass a
// wide graph forever.
struct Standing {
  std::int64_t priority = 0;
  Feasibility feasibility = Feasibility::kOnTime;

  friend auto operator<=>(const Standing&, const Standing&) = default;
};

// Returns a graph's standing at a wall time. Unlike its place in the order it
// ignores the backlog, which makes wide graphs late in the forecast.
[[nodiscard]] inline Standing StandingOf(const Graph& graph, WallMillis wall) {
  const Urgency urgency = ComputeUrgency(graph, wall);
  return {urgency.priority, urgency.feasibility};
}

// A run that is expected to end.
struct EndingRun {
  TaskRef task;
  const StepSpec* step = nullptr;
  Time end;
};

// A worker that is reserved for a graph.
struct WorkerHold {
  std::string graph;
  Standing standing;
  // When the graph is expected to be able to run on the worker.
  Time due;

  // Whether a best-effort task of another graph has to leave the worker.
  [[nodiscard]] bool KeepsOut(const std::string& other,
                              const Standing& other_standing,
                              Time expected_end) const {
    return other != graph && other_standing >= standing && expected_end >= due;
  }
};

// Returns the runs on a worker that are expected to end within the horizon,
// first ends first.
template <RunTimeEstimator Source>
[[nodiscard]] std::vector<EndingRun> EndingRuns(const GraphTable& table,
                                                const GraphWorker& worker,
                                                const GraphWorkerView& view,
                                                const Source& run_times,
                                                Time now) {
  std::vector<EndingRun> ending;
  for (const RunRef& run : worker.runs) {
    const StepSpec* step = table.FindStep(run.task);
    const TaskProgress* task = table.FindTask(run.task);
    if (step == nullptr || task == nullptr || step->long_running) {
      continue;
    }
    const RunTimeEstimate estimate = run_times.EstimateFor(
        table.FindGraph(run.task.graph)->queue.name, run.task, *step);
    const auto seen = view.runs.find(run);
    const Time end =
        seen == view.runs.end()
            ? now +
                  Millis(static_cast<std::int64_t>(CautiousRunTimeMs(estimate)))
            : ExpectedEndOfRun(seen->second, estimate,
                               !task->checkpoint.empty(), now);
    if (end <= now + kReservationHorizon) {
      ending.push_back({run.task, step, end});
    }
  }
  std::sort(
      ending.begin(), ending.end(),
      [](const EndingRun& a, const EndingRun& b) { return a.end < b.end; });
  return ending;
}

// Removes a run that has ended from a projected worker.
void RemoveEnded(CandidateWorker& projected,
                 const StepSpec& step,
                 const InterferenceModel& model);

// Returns when a worker becomes suitable as its runs end one after the other;
// empty if it doesn't.
template <typename IsSuitable>
[[nodiscard]] std::optional<Time> SuitableFrom(
    const CandidateWorker& candidate,
    std::span<const EndingRun> ending,
    const InterferenceModel& model,
    const IsSuitable& is_suitable) {
  if (ending.empty()) {
    return std::nullopt;
  }
  // Most workers aren't suitable even after the last end.
  CandidateWorker projected = candidate;
  for (const EndingRun& run : ending) {
    RemoveEnded(projected, *run.step, model);
  }
  if (!is_suitable(projected)) {
    return std::nullopt;
  }
  projected = candidate;
  for (const EndingRun& run : ending) {
    RemoveEnded(projected, *run.step, model);
    if (is_suitable(projected)) {
      return run.end;
    }
  }
  return std::nullopt;
}

// A worker that a graph could use from a time on.
struct DueWorker {
  Time due;
  CandidateWorker* candidate = nullptr;
};

// The workers that are reserved for graphs that wait. Soft state of the leader;
// reads no clock.
class Reservations {
 public:
  // Drops reservations that have lapsed, or whose graph or worker is gone.
  void DropLapsed(Time now, const GraphTable& table);
  // Drops reservations of workers that get no runs and marks the others.
  void Mark(std::map<std::string, CandidateWorker>& candidates);

  // Whether to search workers for a graph that has waited since a time.
  [[nodiscard]] bool MayReserve(const std::string& graph, Time since) const;

  // Searches up to `tasks` workers of a service on which the graph could run
  // once runs end that are due soon, and reserves those that are due first.
  // `ending_runs` returns the runs that end on a worker, `is_suitable` whether
  // the task could start on a projected worker.
  template <typename EndingRunsOf, typename IsSuitable>
  void Search(const std::string& graph,
              const Standing& standing,
              std::string_view service,
              std::size_t tasks,
              std::map<std::string, CandidateWorker>& candidates,
              const InterferenceModel& model,
              const EndingRunsOf& ending_runs,
              const IsSuitable& is_suitable) {
    const std::size_t limit = std::min(
        {tasks, kMaxWorkersPerReservation, Quota(service, candidates)});
    if (limit == 0) {
      return;
    }
    ++searches_;
    std::vector<DueWorker> found;
    for (auto& [id, candidate] : candidates) {
      if (candidate.worker->info.service != service ||
          candidate.hold != nullptr) {
        continue;
      }
      if (const auto due = SuitableFrom(candidate, ending_runs(candidate),
                                        model, is_suitable)) {
        found.push_back({*due, &candidate});
      }
    }
    Make(graph, standing, limit, std::move(found));
  }

  // Ends the reservation of a worker on which its graph was placed.
  void OnPlaced(std::span<const RunPlacement> placed,
                std::map<std::string, CandidateWorker>& candidates);

  // Returns and clears the events of reservations made, used and broken.
  [[nodiscard]] Events TakeEvents() { return std::exchange(events_, {}); }

  // The reserved workers, by id.
  [[nodiscard]] const std::map<std::string, WorkerHold>& holds()
      const noexcept {
    return holds_;
  }

 private:
  // Returns how many more workers of a service may be reserved.
  [[nodiscard]] static std::size_t Quota(
      std::string_view service,
      const std::map<std::string, CandidateWorker>& candidates);
  // Reserves the workers that are due first.
  void Make(const std::string& graph,
            const Standing& standing,
            std::size_t limit,
            std::vector<DueWorker> found);
  void LogBroken(const std::string& worker,
                 const WorkerHold& hold,
                 std::string_view reason);

  Time now_;
  int searches_ = 0;
  std::map<std::string, WorkerHold> holds_;
  // When a graph may get a reservation again.
  std::map<std::string, Time> paused_until_;
  Events events_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_RESERVATION_H_
