#include "banyan/graph/speculation.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "banyan/graph/candidate_worker.h"
#include "banyan/graph/placement_order.h"
#include "banyan/graph/run_event.h"

namespace banyan {
namespace {

// Time without a report after which a worker counts as silent: two syncs and a
// margin.
constexpr Duration kSilentAfter = Millis(1200);
// Interval between two passes over the active runs, which limits their cost.
constexpr Duration kPlanInterval = Millis(40);
// Time after which proposed copies that were not applied count as lost.
constexpr Duration kPendingTimeout = Millis(1500);
// Time after a copy that ended without result in which its task gets no other
// one; a worker that refuses starts would otherwise be asked in every pass.
constexpr Duration kRetryDelay = Millis(500);
// Maximum part of a pool's processors that copies use.
constexpr double kMaxCopyFraction = 0.1;
// Copies per log entry; limits its size.
constexpr std::size_t kMaxBatch = 64;
// Minimum number of other runs of the step to compare a run with.
constexpr std::size_t kMinPeers = 2;
// A run that has been active for less is not compared: its progress is known in
// whole percent, and its start takes some of the time.
constexpr Duration kMinComparedTime = Millis(250);
// Time after which a percentage that has not changed counts as the present one;
// before, the last list may just be old.
constexpr Duration kMaxListAge = Millis(700);
// A run is behind if its remaining time exceeds this multiple of the median
// time of its step. A copy takes about the median time and one start.
constexpr int kBehindFactor = 2;

// Returns the first task of a task's step.
TaskRef StepKey(const TaskRef& task) {
  TaskRef key = task;
  key.index = 0;
  return key;
}

// Returns the number of tasks of a graph that are due and ready and reserve
// processors.
std::int64_t WaitingTasks(const Graph& graph, WallMillis wall) {
  std::int64_t waiting = 0;
  for (std::size_t k = 0; k < graph.occurrences.size(); ++k) {
    if (graph.spec.occurrences > 0 &&
        wall < graph.spec.first_due_at +
                   static_cast<std::int64_t>(k) * graph.spec.interval_ms) {
      break;
    }
    for (std::size_t s = 0; s < graph.occurrences[k].size(); ++s) {
      if (!graph.spec.steps[s].best_effort) {
        waiting += std::count_if(graph.occurrences[k][s].tasks.begin(),
                                 graph.occurrences[k][s].tasks.end(),
                                 [](const TaskProgress& task) {
                                   return task.phase == TaskPhase::kReady;
                                 });
      }
    }
  }
  return waiting;
}

// Returns the pools in which first runs that reserve processors wait although
// the placements of this pass are made.
std::set<std::string_view> CrowdedPools(
    const GraphTable& table,
    WallMillis wall,
    std::span<const RunPlacement> placements) {
  std::map<std::string_view, std::int64_t> placed;
  for (const RunPlacement& placement : placements) {
    placed[placement.run.task.graph] +=
        table.FindStep(placement.run.task)->best_effort ? 0 : 1;
  }
  std::set<std::string_view> crowded;
  for (const std::string& id : table.ready_graphs()) {
    const Graph& graph = *table.FindGraph(id);
    if (WaitingTasks(graph, wall) > placed[id]) {
      crowded.insert(graph.queue.service);
    }
  }
  return crowded;
}

// Chooses workers for copies from what first runs leave free.
class CopyPlacement {
 public:
  CopyPlacement(Time now,
                const GraphTable& table,
                const std::map<std::string, GraphWorkerView>& views,
                const InterferenceModel& model,
                const SchedulingPolicy& policy,
                std::span<const RunPlacement> placements)
      : table_(table),
        candidates_(BuildCandidates(now, table, views, model, policy)) {
    std::erase_if(candidates_, [&](const auto& item) {
      return views.at(item.first).reported_at + kSilentAfter <= now;
    });
    for (const RunPlacement& placement : placements) {
      Reserve(placement);
    }
  }

  // Places a copy of a run beside its worker; returns nothing if no worker is
  // suitable.
  std::optional<RunPlacement> Place(const RunRef& first,
                                    const GraphWorker& beside) {
    const StepSpec& step = *table_.FindStep(first.task);
    // Smaller is better: same data centre, same rack, fewer idle processors.
    using Preference = std::tuple<bool, bool, std::int64_t>;
    const CandidateWorker* best = nullptr;
    Preference best_preference;
    for (const auto& [id, candidate] : candidates_) {
      const WorkerInfo& info = candidate.worker->info;
      if (id == beside.info.life.id || info.service != beside.info.service ||
          !Fits(ReservedResources(step), candidate.free) ||
          !HasLabel(info, step) || candidate.access != WorkerAccess::kOpen ||
          candidate.has_trial || IsAtLimit(first.task, step, candidate)) {
        continue;
      }
      const bool is_same_centre = info.data_centre == beside.info.data_centre;
      const Preference preference{
          is_same_centre, is_same_centre && info.rack == beside.info.rack,
          -candidate.idle_cpu_millis};
      if (best == nullptr || preference < best_preference) {
        best = &candidate;
        best_preference = preference;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    const std::int64_t run = table_.FindTask(first.task)->last_run() + 1;
    RunPlacement placement{{first.task, run}, best->worker->info.life};
    Reserve(placement);
    return placement;
  }

 private:
  // Whether the worker has as many tasks of the step as it may have.
  [[nodiscard]] bool IsAtLimit(const TaskRef& task,
                               const StepSpec& step,
                               const CandidateWorker& candidate) const {
    if (step.per_worker_limit == 0) {
      return false;
    }
    const auto is_same_step = [&](const RunRef& run) {
      return StepKey(run.task) == StepKey(task);
    };
    const std::set<RunRef>& runs = candidate.worker->runs;
    const auto added = added_.find(candidate.worker->info.life.id);
    std::int64_t count = std::count_if(runs.begin(), runs.end(), is_same_step);
    if (added != added_.end()) {
      count += std::count_if(added->second.begin(), added->second.end(),
                             is_same_step);
    }
    return count >= step.per_worker_limit;
  }

  // Deducts a run from the free capacity of its worker.
  void Reserve(const RunPlacement& placement) {
    const auto candidate = candidates_.find(placement.worker.id);
    if (candidate != candidates_.end()) {
      const StepSpec& step = *table_.FindStep(placement.run.task);
      candidate->second.free -= ReservedResources(step);
      candidate->second.idle_cpu_millis -= step.needs.cpu_millis;
      candidate->second.has_trial =
          candidate->second.has_trial ||
          table_.suspects().contains(placement.run.task);
    }
    added_[placement.worker.id].push_back(placement.run);
  }

  const GraphTable& table_;
  std::map<std::string, CandidateWorker> candidates_;
  // The runs placed in this pass, by worker.
  std::map<std::string, std::vector<RunRef>> added_;
};

}  // namespace

const char* ToString(CopyCause cause) noexcept {
  switch (cause) {
    case CopyCause::kSilentWorker:
      return "silent-worker";
    case CopyCause::kBehindStep:
      return "behind-step";
  }
  return "unknown";
}

std::vector<Speculation::CopyableRun> Speculation::FindCopyable(
    Time now,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views) {
  std::vector<CopyableRun> copyable;
  std::map<RunRef, KnownStart> started;
  step_times_ = done_times_;
  for (const auto& [id, worker] : table.workers()) {
    const auto view = views.find(id);
    for (const RunRef& run : worker.runs) {
      const StepSpec* step = table.FindStep(run.task);
      if (step == nullptr || !step->speculative ||
          !table.IsCurrent(run, worker.info.life)) {
        continue;
      }
      const auto known = started_.find(run);
      started.emplace(run, known == started_.end() ? KnownStart{now, false}
                                                   : known->second);
      const TaskProgress& task = *table.FindTask(run.task);
      if (task.has_copy()) {
        copied_.try_emplace(
            run.task, Copied{{{run.task, task.run}, task.worker},
                             {{run.task, task.copy.run}, task.copy.worker}});
      }
      if (view == views.end() || view->second.life != worker.info.life) {
        continue;
      }
      if (table.MayCopy(run.task)) {
        copyable.push_back({run, &worker, &view->second});
      }
    }
  }
  started_ = std::move(started);
  for (const auto& [id, view] : views) {
    for (const auto& [run, seen] : view.runs) {
      if (const auto expected = ExpectedTime(now, run, view)) {
        step_times_[StepKey(run.task)].push_back(*expected);
      }
    }
  }
  return copyable;
}

std::optional<Duration> Speculation::ExpectedTime(
    Time now,
    const RunRef& run,
    const GraphWorkerView& view) const {
  const auto started = started_.find(run);
  const auto seen = view.runs.find(run);
  if (started == started_.end() || !started->second.is_exact ||
      seen == view.runs.end() || seen->second.row.percent <= 0) {
    return std::nullopt;
  }
  const Time progressed_at = seen->second.progressed_at;
  const Time known_at = progressed_at + kMaxListAge < now ? now : progressed_at;
  return (known_at - started->second.at) * kFullPercent /
         seen->second.row.percent;
}

bool Speculation::IsBehind(Time now, const CopyableRun& run) const {
  const auto times = step_times_.find(StepKey(run.run.task));
  const Duration active = now - started_.at(run.run).at;
  if (times == step_times_.end() || active < kMinComparedTime) {
    return false;
  }
  // A run that progresses slowly has more work; a copy has as much.
  const auto seen = run.view->runs.find(run.run);
  if (seen != run.view->runs.end() &&
      seen->second.progressed_at + kMaxListAge > now) {
    return false;
  }
  const std::optional<Duration> expected =
      ExpectedTime(now, run.run, *run.view);
  std::vector<Duration> sorted = times->second;
  if (expected) {
    // The run itself is no peer of its own.
    const auto own = std::find(sorted.begin(), sorted.end(), *expected);
    if (own != sorted.end()) {
      sorted.erase(own);
    }
  }
  if (sorted.size() < kMinPeers) {
    return false;
  }
  std::sort(sorted.begin(), sorted.end());
  const Duration median = sorted[sorted.size() / 2];
  // Without progress, the time so far is the only evidence.
  return (expected ? *expected - active : active) > kBehindFactor * median;
}

std::optional<CopyCause> Speculation::CauseOf(Time now,
                                              const CopyableRun& run) const {
  const TaskRef& task = run.run.task;
  const auto retry = retry_at_.find(task);
  if (retry != retry_at_.end() && retry->second > now) {
    return std::nullopt;
  }
  if (run.view->reported_at != Time{} &&
      run.view->reported_at + kSilentAfter <= now) {
    return CopyCause::kSilentWorker;
  }
  // A run that is being stopped ends soon.
  if (run.view->stop_sent_at.contains(run.run)) {
    return std::nullopt;
  }
  if (IsBehind(now, run)) {
    return CopyCause::kBehindStep;
  }
  return std::nullopt;
}

std::vector<PlannedCopy> Speculation::Plan(
    Time now,
    WallMillis wall,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const InterferenceModel& model,
    std::span<const RunPlacement> placements) {
  std::vector<PlannedCopy> planned;
  if (!policy_.speculative_copies || next_plan_at_ > now) {
    return planned;
  }
  next_plan_at_ = now + kPlanInterval;
  std::vector<std::pair<CopyCause, CopyableRun>> wanted;
  for (const CopyableRun& run : FindCopyable(now, table, views)) {
    if (const auto cause = CauseOf(now, run)) {
      wanted.emplace_back(*cause, run);
    }
  }
  const auto is_gone = [&](const auto& item) {
    return table.FindTask(item.first) == nullptr;
  };
  std::erase_if(done_times_, is_gone);
  std::erase_if(retry_at_, is_gone);
  if (wanted.empty()) {
    return planned;
  }
  std::stable_sort(
      wanted.begin(), wanted.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::map<std::string_view, PoolUsage> pools = PoolUsages(table);
  for (const RunPlacement& placement : placements) {
    const GraphWorker* worker = table.FindWorker(placement.worker);
    if (worker != nullptr) {
      pools[worker->info.service].committed +=
          ReservedResources(*table.FindStep(placement.run.task)).cpu_millis;
    }
  }
  // Processors of copies, by pool.
  std::map<std::string_view, std::int64_t> used;
  for (const auto& [task, copied] : copied_) {
    const GraphWorker* worker = table.FindWorker(copied.copy.worker);
    if (worker != nullptr) {
      used[worker->info.service] += table.FindStep(task)->needs.cpu_millis;
    }
  }
  const std::set<std::string_view> crowded =
      CrowdedPools(table, wall, placements);
  CopyPlacement placement(now, table, views, model, policy_, placements);
  for (const auto& [cause, run] : wanted) {
    if (planned.size() >= kMaxBatch) {
      break;
    }
    const std::string_view service = run.worker->info.service;
    const std::int64_t needs = table.FindStep(run.run.task)->needs.cpu_millis;
    PoolUsage& pool = pools[service];
    const auto capacity = static_cast<double>(pool.capacity);
    const bool is_affordable =
        static_cast<double>(used[service] + needs) <=
            kMaxCopyFraction * capacity &&
        (cause == CopyCause::kSilentWorker || !crowded.contains(service));
    if (!is_affordable) {
      continue;
    }
    if (auto placed = placement.Place(run.run, *run.worker)) {
      used[service] += needs;
      pool.committed += needs;
      planned.push_back({*std::move(placed), cause});
    }
  }
  return planned;
}

std::optional<PlaceCopies> Speculation::Propose(
    Time now,
    WallMillis wall,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const InterferenceModel& model,
    std::span<const RunPlacement> placements) {
  if (is_pending() && pending_until_ > now) {
    return std::nullopt;
  }
  pending_.clear();
  const std::vector<PlannedCopy> planned =
      Plan(now, wall, table, views, model, placements);
  if (planned.empty()) {
    return std::nullopt;
  }
  pending_until_ = now + kPendingTimeout;
  PlaceCopies command;
  for (const PlannedCopy& copy : planned) {
    pending_.emplace(copy.placement.run, copy.cause);
    command.runs.push_back(copy.placement);
  }
  return command;
}

void Speculation::OnApplied(Time now,
                            const GraphTable& table,
                            const Command& command,
                            const GraphApplyResult& applied,
                            Events& events) {
  if (const auto* ends = std::get_if<EndRuns>(&command)) {
    for (const EndedRun& row : ends->rows) {
      const auto started = started_.find(row.run);
      if (row.reason == RunEndReason::kDone && started != started_.end() &&
          started->second.is_exact) {
        done_times_[StepKey(row.run.task)].push_back(now - started->second.at);
      }
    }
  }
  for (const RunPlacement& placement : applied.placed) {
    if (table.FindStep(placement.run.task)->speculative) {
      started_.emplace(placement.run, KnownStart{now, true});
    }
  }
  FindEnded(now, table, command, events);
  if (!std::holds_alternative<PlaceCopies>(command)) {
    return;
  }
  for (const RunPlacement& placement : applied.placed) {
    const TaskProgress& task = *table.FindTask(placement.run.task);
    const auto cause = pending_.find(placement.run);
    copied_.insert_or_assign(
        placement.run.task,
        Copied{{{placement.run.task, task.run}, task.worker}, placement});
    ++counters_.placed;
    events.push_back(
        RunEvent(EventId::kCopyPlaced, placement.run, placement.worker.id)
            .With("occurrence", placement.run.task.occurrence)
            .With("first_run", task.run)
            .With("first_worker", task.worker.id)
            .With("cause", cause == pending_.end() ? "unknown"
                                                   : ToString(cause->second)));
  }
  pending_.clear();
}

void Speculation::FindEnded(Time now,
                            const GraphTable& table,
                            const Command& command,
                            Events& events) {
  const auto* ends = std::get_if<EndRuns>(&command);
  const auto is_done = [&](const RunRef& run) {
    return ends != nullptr &&
           std::any_of(
               ends->rows.begin(), ends->rows.end(), [&](const EndedRun& row) {
                 return row.run == run && row.reason == RunEndReason::kDone;
               });
  };
  for (auto it = copied_.begin(); it != copied_.end();) {
    const auto& [ref, copied] = *it;
    const TaskProgress* task = table.FindTask(ref);
    if (task != nullptr && task->has_copy() &&
        task->copy.run == copied.copy.run.run) {
      ++it;
      continue;
    }
    const bool is_replaced = task != nullptr &&
                             task->phase == TaskPhase::kRunning &&
                             task->run == copied.copy.run.run;
    const bool is_won = is_replaced || is_done(copied.copy.run);
    if (is_won) {
      ++counters_.won;
      events.push_back(
          RunEvent(EventId::kCopyWon, copied.copy.run, copied.copy.worker.id)
              .With("occurrence", ref.occurrence)
              .With("ending", is_replaced ? "replaced" : "done"));
    }
    if (!is_replaced) {
      LogDropped(now, table, is_won ? copied.first : copied.copy, events);
    }
    if (!is_won) {
      retry_at_[ref] = now + kRetryDelay;
    }
    it = copied_.erase(it);
  }
}

void Speculation::LogDropped(Time now,
                             const GraphTable& table,
                             const RunPlacement& run,
                             Events& events) {
  const auto started = started_.find(run.run);
  const StepSpec* step = table.FindStep(run.run.task);
  const std::int64_t cpu_ms =
      started == started_.end() || step == nullptr
          ? 0
          : ToMillis(now - started->second.at) * step->needs.cpu_millis / 1000;
  ++counters_.dropped;
  counters_.wasted_cpu_ms += cpu_ms;
  events.push_back(RunEvent(EventId::kCopyDropped, run.run, run.worker.id)
                       .With("occurrence", run.run.task.occurrence)
                       .With("cpu_ms", cpu_ms)
                       .With("copies", counters_.placed)
                       .With("dropped", counters_.dropped)
                       .With("wasted_cpu_ms", counters_.wasted_cpu_ms));
}

}  // namespace banyan
