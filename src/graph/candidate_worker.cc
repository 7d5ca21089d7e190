#include "banyan/graph/candidate_worker.h"

#include <algorithm>
#include <utility>

namespace banyan {
namespace {

// Workers whose lease expires sooner than this get no new runs.
constexpr Duration kMinRemainingLease = Millis(1000);
// Latency that latency-sensitive tasks have to keep beside best-effort tasks,
// as a fraction of their target.
constexpr double kLatencyGoal = 0.8;
// Factor by which the load of a latency-sensitive task may grow while a
// best-effort task runs.
constexpr double kLoadMargin = 1.2;
// Lower bound of the expected CPU utilisation of a latency-sensitive task, as a
// fraction of its committed CPU time.
constexpr double kMinServingUtilisation = 0.35;
// Upper bound of the same utilisation.
constexpr double kMaxServingUtilisation = 0.9;
// Factor from the current occupancy of a latency-sensitive task to its expected
// CPU utilisation.
constexpr double kServingUtilisationMargin = 1.1;

// Whether a worker runs a suspect whose start it may not have survived yet.
bool HasTrial(const GraphTable& table,
              const GraphWorker& worker,
              const GraphWorkerView& view,
              Time now) {
  return !table.suspects().empty() &&
         std::any_of(worker.runs.begin(), worker.runs.end(),
                     [&](const RunRef& run) {
                       return table.suspects().contains(run.task) &&
                              table.IsCurrent(run, worker.info.life) &&
                              !view.HasSurvived(run, now);
                     });
}

// Returns the part of a latency-sensitive task's committed CPU time that it is
// expected to leave unused at the given occupancy, in thousandths of a
// processor.
std::int64_t UnusedCpuMillis(const StepSpec& step, double occupancy) {
  const double utilisation =
      std::clamp(kServingUtilisationMargin * occupancy, kMinServingUtilisation,
                 kMaxServingUtilisation);
  return static_cast<std::int64_t>((1 - utilisation) *
                                   static_cast<double>(step.needs.cpu_millis));
}

}  // namespace

bool HasLabel(const WorkerInfo& info, const StepSpec& step) {
  return step.required_label.empty() ||
         std::find(info.labels.begin(), info.labels.end(),
                   step.required_label) != info.labels.end();
}

double CpuFraction(const GraphWorker& worker,
                   std::int64_t cpu_millis) noexcept {
  return static_cast<double>(cpu_millis) /
         static_cast<double>(
             std::max<std::int64_t>(worker.info.capacity.cpu_millis, 1));
}

bool IsUncertain(const CandidateWorker& candidate,
                 const std::string& image,
                 const InterferenceModel& model) {
  return std::any_of(candidate.serving.begin(), candidate.serving.end(),
                     [&](const ColocatedTask& serving_task) {
                       return model.IsUncertain(serving_task.image, image);
                     });
}

void AddColocated(CandidateWorker& candidate,
                  const TaskRef& task,
                  const StepSpec& step,
                  const InterferenceModel& model,
                  const SchedulingPolicy& policy) {
  if (step.latency_target_ms > 0) {
    const double occupancy = model.BaseOccupancy(task.graph, step.image);
    candidate.serving.push_back(
        {step.image, kLoadMargin * occupancy,
         model.OccupancyAtLatency(step.image, kLatencyGoal),
         step.per_worker_limit > 0});
    candidate.idle_cpu_millis +=
        UnusedCpuMillis(step, policy.load_dependent_slack ? occupancy : 0);
  }
  if (step.best_effort) {
    // Counted at its full share, since a throttled task is expected to return
    // to it.
    candidate.best_effort.push_back(
        {step.image, CpuFraction(*candidate.worker, step.needs.cpu_millis)});
  }
}

void AddReserved(CandidateWorker& candidate, const StepSpec& step) {
  if (step.long_running) {
    candidate.long_running_reserved += ReservedResources(step);
  } else if (step.best_effort) {
    candidate.best_effort_reserved += ReservedResources(step);
  }
}

std::map<std::string, CandidateWorker> BuildCandidates(
    Time now,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const InterferenceModel& model,
    const SchedulingPolicy& policy) {
  std::map<std::string, CandidateWorker> candidates;
  for (const auto& [id, worker] : table.workers()) {
    const auto view = views.find(id);
    const bool is_usable =
        view != views.end() && view->second.life == worker.info.life &&
        view->second.reachable && !view->second.drop_proposed &&
        view->second.lease_deadline > now + kMinRemainingLease &&
        !worker.info.draining &&
        !table.evacuated().contains(worker.info.data_centre);
    if (!is_usable) {
      continue;
    }
    CandidateWorker candidate;
    candidate.worker = &worker;
    candidate.usable = view->second.UsableCapacity(worker.info.capacity);
    candidate.free = candidate.usable - worker.committed;
    candidate.idle_cpu_millis =
        candidate.free.cpu_millis - worker.fill_cpu_millis;
    candidate.access = view->second.suspicion.AccessAt(now, worker.runs);
    candidate.has_only_suspects = std::all_of(
        worker.runs.begin(), worker.runs.end(),
        [&](const RunRef& run) { return table.suspects().contains(run.task); });
    candidate.has_trial = HasTrial(table, worker, view->second, now);
    for (const RunRef& run : worker.runs) {
      const StepSpec* step = table.FindStep(run.task);
      if (step != nullptr) {
        AddColocated(candidate, run.task, *step, model, policy);
        AddReserved(candidate, *step);
      }
    }
    for (const BestEffortNeighbour& neighbour : candidate.best_effort) {
      candidate.exploring_tasks +=
          IsUncertain(candidate, neighbour.image, model) ? 1 : 0;
    }
    candidates.emplace(id, std::move(candidate));
  }
  return candidates;
}

}  // namespace banyan
