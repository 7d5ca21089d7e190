#include "banyan/graph/graph_placement.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "banyan/graph/placement_order.h"
#include "banyan/graph/placement_task.h"
#include "banyan/graph/serving_rank.h"

namespace banyan {
namespace {

// Interval at which records of tasks that are gone are dropped.
constexpr Duration kSweepInterval = std::chrono::seconds(10);
// Maximum number of waits of long-running tasks that are logged in one pass.
constexpr std::size_t kMaxLoggedWaits = 16;
// Maximum number of rejected workers in one log line.
constexpr std::size_t kMaxLoggedWorkers = 16;
// Wait of a long-running task from which on it is logged.
constexpr Duration kLongWait = Millis(1000);
// Longest time between two passes that counts as a wait in between.
constexpr Duration kMaxPassInterval = Millis(1000);
// Number of times that a long-running task must fit on workers for its wait to
// count as one in spite of room.
constexpr std::int64_t kAmpleRoom = 2;
// Placements per batch; limits the size of its log entry.
constexpr std::size_t kMaxBatch = 256;
// Interval at which the wait of one graph is logged.
constexpr Duration kWaitLogInterval = Millis(2000);
// Number of tasks of a long-running step without a suitable worker after which
// only its overdue tasks are tried.
constexpr int kMaxMissesPerStep = 2;

// Order of preference between suitable workers; smaller is better. Compared by
// exclusion, earlier failures, suspicion, remote rack, co-location rank and
// idle CPU time.
using Preference =
    std::tuple<Exclusion, int, WorkerAccess, bool, int, std::int64_t>;

// Occupancies are compared in levels of 1/20, so that idle CPU time decides
// between workers of about equal occupancy.
constexpr double kOccupancyLevels = 20;
// A best-effort task that increases an occupancy by no more than this is placed
// under any load: keeping it out would not reduce the latency.
constexpr double kNegligibleIncrease = 0.02;
// After this wait one best-effort task is placed on any worker with enough
// memory. A graph must not be idle for 3 s while its pool is not busy.
constexpr Duration kRelaxAfter = Millis(2000);
// After this wait a suspect is placed beside other tasks. A graph must not be
// idle for 3 s while its pool is not busy.
constexpr Duration kMaxIsolationWait = Millis(1500);
// After this wait a long-running task is placed on any worker that can run it.
// It must not wait for 3 s while there is room.
constexpr Duration kMaxLongRunningWait = Millis(1500);

}  // namespace

void GraphPlacement::Avoid(Time now,
                           const TaskRef& task,
                           const std::string& worker,
                           AvoidReason reason) {
  Avoidance& recorded =
      avoided_[task].try_emplace(worker, Avoidance{reason, now}).first->second;
  recorded = {std::max(recorded.reason, reason), now};
}

std::vector<std::string_view> GraphPlacement::WorkersFailedOn(
    Time now,
    const TaskRef& task) const {
  std::vector<std::string_view> workers;
  const auto found = avoided_.find(task);
  if (found != avoided_.end()) {
    for (const auto& [worker, avoidance] : found->second) {
      if (avoidance.reason == AvoidReason::kFailed &&
          avoidance.at + WorkerSuspicion::kRetention > now) {
        workers.emplace_back(worker);
      }
    }
  }
  return workers;
}

std::vector<RunPlacement> GraphPlacement::Choose(
    Time now,
    WallMillis wall,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const InterferenceModel& model,
    const RunTimeModel* run_times) {
  now_ = now;
  model_ = &model;
  run_times_ = RunTimeEstimates(run_times);
  unfit_.clear();
  std::erase_if(long_running_since_,
                [&](const auto& item) { return !IsReady(table, item.first); });
  if (avoided_swept_at_ + kSweepInterval <= now) {
    avoided_swept_at_ = now;
    std::erase_if(avoided_, [&](const auto& item) {
      return table.FindTask(item.first) == nullptr;
    });
  }
  if (policy_.look_ahead) {
    reservations_.DropLapsed(now, table);
  }
  std::vector<RunPlacement> placements;
  if (table.ready_graphs().empty()) {
    last_pass_at_ = now;
    return placements;
  }
  candidates_ = BuildCandidates(now, table, views, model, policy_);
  cordons_.Mark(now, candidates_, [&](const std::string& graph) {
    return table.ready_graphs().contains(graph);
  });
  if (policy_.look_ahead) {
    demand_.Start(table, candidates_, model);
    reservations_.Mark(candidates_);
  }
  std::map<std::string_view, PoolUsage> pools = PoolUsages(table);
  for (auto& [service, pool] : pools) {
    pool.is_short = headroom_.contains(service);
  }
  PlaceSuspects(wall, table, placements);
  const std::vector<ReadyGraph> order =
      run_times == nullptr
          ? OrderReadyGraphs(table, pools, policy_, wall)
          : OrderReadyGraphs(table, pools, policy_, wall, *run_times);
  for (const auto& [urgency, id, graph] : order) {
    if (placements.size() >= kMaxBatch) {
      break;
    }
    const Time since = waiting_since_.try_emplace(*id, now).first->second;
    const PoolUsage& pool = pools[graph->queue.service];
    is_relaxed_ = since + kRelaxAfter <= now && !pool.is_busy() &&
                  !HasRunningTask(*graph);
    pool_workers_ = pool.workers;
    // A graph whose placement was relaxed keeps its wait time, so that its next
    // task is placed as soon as this one ends. Restarting the wait would leave
    // the graph idle most of the time.
    const std::size_t min_placed = is_relaxed_ ? 2 : 1;
    const std::size_t placed_before = placements.size();
    first_miss_.reset();
    standing_ = policy_.look_ahead ? StandingOf(*graph, wall) : Standing{};
    PlaceGraph(wall, *id, *graph, placements);
    if (policy_.look_ahead) {
      const std::span<const RunPlacement> placed(placements);
      reservations_.OnPlaced(placed.subspan(placed_before), candidates_);
      if (first_miss_ && reservations_.MayReserve(*id, since)) {
        ReserveAhead(table, views);
      }
    }
    if (placements.size() >= placed_before + min_placed) {
      waiting_since_.erase(*id);
    }
  }
  const auto has_no_ready_tasks = [&](const auto& item) {
    return !table.ready_graphs().contains(item.first);
  };
  std::erase_if(waiting_since_, has_no_ready_tasks);
  std::erase_if(wait_recorded_at_, has_no_ready_tasks);
  std::erase_if(long_wait_recorded_at_, has_no_ready_tasks);
  last_pass_at_ = now;
  return placements;
}

void GraphPlacement::PlaceGraph(WallMillis wall,
                                const std::string& id,
                                const Graph& graph,
                                std::vector<RunPlacement>& placements) {
  for (std::size_t k = 0; k < graph.occurrences.size(); ++k) {
    const auto occurrence = static_cast<std::int64_t>(k);
    if (!IsDue(graph, occurrence, wall)) {
      break;
    }
    for (std::size_t s = 0; s < graph.occurrences[k].size(); ++s) {
      const TaskRef first{id, occurrence, static_cast<std::int64_t>(s), 0};
      if (graph.spec.steps[s].gang) {
        PlaceGang(graph, first, graph.occurrences[k][s], placements);
      } else {
        PlaceStep(graph, first, graph.occurrences[k][s], placements);
      }
      if (placements.size() >= kMaxBatch) {
        return;
      }
    }
  }
}

void GraphPlacement::PlaceSuspects(WallMillis wall,
                                   const GraphTable& table,
                                   std::vector<RunPlacement>& placements) {
  std::erase_if(suspect_waiting_since_,
                [&](const auto& item) { return !IsReady(table, item.first); });
  for (const TaskRef& ref : table.suspects()) {
    const TaskProgress& task = *table.FindTask(ref);
    const Graph& graph = *table.FindGraph(ref.graph);
    const StepSpec& step = *table.FindStep(ref);
    if (placements.size() >= kMaxBatch) {
      return;
    }
    if (task.phase != TaskPhase::kReady ||
        !IsDue(graph, ref.occurrence, wall)) {
      continue;
    }
    const bool is_overdue = IsOverdue(ref, step);
    StepDistribution distribution = DistributionOf(
        graph.occurrences[static_cast<std::size_t>(ref.occurrence)]
                         [static_cast<std::size_t>(ref.step)]);
    // The members of a gang are placed together.
    if (step.gang) {
      ReserveWorker(graph, step, distribution, is_overdue);
      continue;
    }
    const Isolation isolation = IsolationOf(ref, task);
    is_relaxed_ = isolation == Isolation::kReservedWorker;
    if (is_relaxed_) {
      ReserveWorker(graph, step, distribution, is_overdue);
    }
    if (auto placed = PlaceTask(graph, ref, step, task.last_run() + 1,
                                isolation, is_overdue, distribution)) {
      MarkTrials({&*placed, 1});
      long_running_since_.erase(ref);
      placements.push_back(*std::move(placed));
    } else {
      ReserveWorker(graph, step, distribution, is_overdue);
    }
  }
}

bool GraphPlacement::IsAtLimit(const StepSpec& step,
                               const StepDistribution& distribution,
                               const WorkerInfo& info) {
  const auto count = distribution.tasks.find(info.life.id);
  return step.per_worker_limit > 0 && count != distribution.tasks.end() &&
         count->second >= step.per_worker_limit;
}

void GraphPlacement::ReserveWorker(const Graph& graph,
                                   const StepSpec& step,
                                   const StepDistribution& distribution,
                                   bool is_overdue) {
  const auto is_suitable = [&](const CandidateWorker& candidate) {
    const bool is_accessible =
        is_overdue || candidate.access == WorkerAccess::kOpen ||
        (candidate.access != WorkerAccess::kQuarantine && !step.long_running);
    return is_accessible && HasLabel(candidate.worker->info, step) &&
           !IsAtLimit(step, distribution, candidate.worker->info) &&
           Fits(ReservedResources(step), candidate.usable);
  };
  const auto preference = [&](const CandidateWorker& candidate) {
    return std::pair(!Fits(ReservedResources(step), candidate.free),
                     candidate.worker->runs.size());
  };
  std::size_t others = 0;
  CandidateWorker* best = nullptr;
  for (auto& [id, candidate] : candidates_) {
    if (candidate.worker->info.service != graph.queue.service ||
        candidate.has_trial) {
      continue;
    }
    if (candidate.is_reserved) {
      if (is_suitable(candidate) &&
          Fits(ReservedResources(step), candidate.free)) {
        return;
      }
      continue;
    }
    others += candidate.access == WorkerAccess::kQuarantine ? 0 : 1;
    if (is_suitable(candidate) &&
        (best == nullptr || preference(candidate) < preference(*best))) {
      best = &candidate;
    }
  }
  if (best != nullptr) {
    best->is_reserved = true;
    best->is_last = others <= 1;
  }
}

bool GraphPlacement::IsOverdue(const TaskRef& ref, const StepSpec& step) {
  return step.long_running &&
         long_running_since_.try_emplace(WaitKey(ref, step), now_)
                     .first->second +
                 kMaxLongRunningWait <=
             now_;
}

GraphPlacement::Isolation GraphPlacement::IsolationOf(
    const TaskRef& ref,
    const TaskProgress& task) {
  if (!task.crashes.is_suspect()) {
    return Isolation::kNone;
  }
  const Time since =
      suspect_waiting_since_.try_emplace(ref, now_).first->second;
  return since + kMaxIsolationWait <= now_ ? Isolation::kReservedWorker
                                           : Isolation::kOwnWorker;
}

GraphPlacement::Isolation GraphPlacement::GangIsolation(
    const TaskRef& first,
    const StepProgress& progress) {
  TaskRef ref = first;
  Isolation isolation = Isolation::kNone;
  for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
    ref.index = static_cast<std::int64_t>(i);
    isolation = std::max(isolation, IsolationOf(ref, progress.tasks[i]));
  }
  // A single worker may be too small for all members.
  return isolation == Isolation::kReservedWorker ? Isolation::kAnyWorker
                                                 : isolation;
}

void GraphPlacement::MarkTrials(std::span<const RunPlacement> placed) {
  for (const RunPlacement& placement : placed) {
    candidates_.at(placement.worker.id).has_trial = true;
  }
}

GraphPlacement::StepDistribution GraphPlacement::DistributionOf(
    const StepProgress& progress) const {
  StepDistribution distribution;
  for (const TaskProgress& task : progress.tasks) {
    if (task.phase != TaskPhase::kRunning) {
      continue;
    }
    ++distribution.tasks[task.worker.id];
    if (task.has_copy()) {
      ++distribution.tasks[task.copy.worker.id];
    }
    const auto candidate = candidates_.find(task.worker.id);
    if (candidate != candidates_.end()) {
      distribution.rack = candidate->second.worker->info.rack;
    }
  }
  return distribution;
}

void GraphPlacement::PlaceStep(const Graph& graph,
                               const TaskRef& first,
                               const StepProgress& progress,
                               std::vector<RunPlacement>& placements) {
  const StepSpec& step = graph.spec.steps[static_cast<std::size_t>(first.step)];
  StepDistribution distribution;
  if (step.per_worker_limit > 0 || step.rack_local) {
    distribution = DistributionOf(progress);
  }
  const bool is_one_left = policy_.look_ahead && ReadyTasks(progress) == 1;
  TaskRef ref = first;
  int miss_count = 0;
  for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
    const TaskProgress& task = progress.tasks[i];
    if (task.phase != TaskPhase::kReady || task.crashes.is_suspect()) {
      continue;
    }
    ref.index = static_cast<std::int64_t>(i);
    const bool is_overdue = IsOverdue(ref, step);
    if (!is_overdue && miss_count >= kMaxMissesPerStep) {
      continue;
    }
    const auto placed =
        PlaceTask(graph, ref, step, task.last_run() + 1, Isolation::kNone,
                  is_overdue, distribution, is_one_left);
    if (!placed) {
      // What keeps out a task keeps out all others of its step, unless others
      // are overdue: earlier failures only order the workers.
      if (is_overdue || !step.long_running) {
        return;
      }
      ++miss_count;
      continue;
    }
    // One relaxed placement is enough to avoid starvation; the other tasks wait
    // for suitable workers.
    is_relaxed_ = false;
    // The run may fail before the next pass, and then waits anew.
    long_running_since_.erase(ref);
    placements.push_back(*placed);
    if (placements.size() >= kMaxBatch) {
      return;
    }
  }
}

void GraphPlacement::PlaceGang(const Graph& graph,
                               const TaskRef& first,
                               const StepProgress& progress,
                               std::vector<RunPlacement>& placements) {
  std::int64_t run = 0;
  for (const TaskProgress& task : progress.tasks) {
    if (task.phase != TaskPhase::kReady) {
      return;
    }
    run = std::max(run, task.last_run());
  }
  const StepSpec& step = graph.spec.steps[static_cast<std::size_t>(first.step)];
  // Restored unless all members can be placed.
  const std::map<std::string, CandidateWorker> saved_candidates = candidates_;
  std::vector<RunPlacement> members;
  StepDistribution distribution;
  TaskRef ref = first;
  const Isolation isolation = GangIsolation(first, progress);
  const bool is_overdue = IsOverdue(first, step);
  for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
    ref.index = static_cast<std::int64_t>(i);
    const auto placed = PlaceTask(graph, ref, step, run + 1, isolation,
                                  is_overdue, distribution);
    if (!placed) {
      candidates_ = saved_candidates;
      return;
    }
    members.push_back(*placed);
  }
  if (isolation != Isolation::kNone) {
    MarkTrials(members);
  }
  long_running_since_.erase(first);
  placements.insert(placements.end(), members.begin(), members.end());
}

std::optional<RunPlacement> GraphPlacement::PlaceTask(
    const Graph& graph,
    const TaskRef& task,
    const StepSpec& step,
    std::int64_t run,
    Isolation isolation,
    bool is_overdue,
    StepDistribution& distribution,
    bool is_one_left) {
  const TaskRequest request{graph,        task,       step,       isolation,
                            distribution, is_overdue, is_one_left};
  const Search search = FindWorker(request);
  if (step.long_running) {
    RecordLongRunningWait(request, search);
  }
  CandidateWorker* candidate = search.best;
  if (candidate == nullptr) {
    if (!first_miss_) {
      first_miss_ = task;
    }
    RecordWait(request, search);
    if (is_overdue && !step.gang && isolation == Isolation::kNone) {
      CordonFor(request);
    }
    return std::nullopt;
  }
  Reserve(*candidate, task, step);
  cordons_.OnPlaced(task.graph, *candidate);
  candidate->has_only_suspects =
      candidate->has_only_suspects && isolation != Isolation::kNone;
  const WorkerInfo& info = candidate->worker->info;
  ++distribution.tasks[info.life.id];
  if (distribution.rack.empty()) {
    distribution.rack = info.rack;
  }
  return RunPlacement{{task, run}, info.life};
}

int GraphPlacement::AvoidanceRank(
    const std::map<std::string, Avoidance>& avoided,
    const std::string& worker) const {
  const auto found = avoided.find(worker);
  if (found == avoided.end()) {
    return 0;
  }
  if (found->second.at + WorkerSuspicion::kRetention > now_) {
    return 2;
  }
  return found->second.reason == AvoidReason::kRefused ? 0 : 1;
}

GraphPlacement::Search GraphPlacement::FindWorker(const TaskRequest& request) {
  const StepSpec& step = request.step;
  const Resources needs = ReservedResources(step);
  const auto avoided_workers = avoided_.find(request.task);
  Search search;
  Preference best_preference;
  for (auto& [id, candidate] : candidates_) {
    const WorkerInfo& info = candidate.worker->info;
    if (info.service != request.graph.queue.service) {
      continue;
    }
    const Assessment assessment = Assess(request, candidate);
    if (!IsBinding(assessment.exclusion)) {
      search.room += TimesFitting(needs, candidate.free);
    }
    if (assessment.exclusion != Exclusion::kNone) {
      ++search.rejected[static_cast<std::size_t>(assessment.exclusion)];
      if (!request.is_overdue || !IsWaivable(assessment.exclusion)) {
        continue;
      }
    }
    const int avoidance_rank = avoided_workers == avoided_.end()
                                   ? 0
                                   : AvoidanceRank(avoided_workers->second, id);
    const bool is_remote =
        (!step.data_rack.empty() && info.rack != step.data_rack) ||
        (step.rack_local && !request.distribution.rack.empty() &&
         info.rack != request.distribution.rack);
    const int rank =
        request.is_one_left && step.best_effort
            ? LastTaskRank(assessment.colocation_rank, candidate, step, *model_)
            : assessment.colocation_rank;
    const Preference preference{assessment.exclusion,
                                avoidance_rank,
                                candidate.access,
                                is_remote,
                                rank,
                                -candidate.idle_cpu_millis};
    if (search.best == nullptr || preference < best_preference) {
      search.best = &candidate;
      best_preference = preference;
    }
  }
  // Headroom that holds the task less than twice may be kept for longer.
  if (search.best != nullptr && search.room < kAmpleRoom && !step.gang &&
      std::get<Exclusion>(best_preference) == Exclusion::kHeadroom) {
    search.best = nullptr;
  }
  return search;
}

GraphPlacement::Assessment GraphPlacement::Assess(
    const TaskRequest& request,
    const CandidateWorker& candidate) const {
  const StepSpec& step = request.step;
  const WorkerInfo& info = candidate.worker->info;
  if (!Fits(ReservedResources(step), candidate.free)) {
    return {Exclusion::kUnfit};
  }
  if (!HasLabel(info, step)) {
    return {Exclusion::kLabel};
  }
  if (IsAtLimit(step, request.distribution, info)) {
    return {Exclusion::kTaskLimit};
  }
  if (candidate.has_trial) {
    return {Exclusion::kTrial};
  }
  if (!IsAllowed(candidate, request.isolation)) {
    return {request.isolation == Isolation::kNone ? Exclusion::kReserved
                                                  : Exclusion::kShared};
  }
  if (IsCordoned(request, candidate)) {
    return {Exclusion::kReserved};
  }
  if (candidate.access == WorkerAccess::kQuarantine) {
    return {Exclusion::kQuarantine};
  }
  // A long-running task takes too long to complete to be used as a probe.
  const bool is_probe = candidate.access == WorkerAccess::kProbe &&
                        !candidate.has_probe && !step.long_running;
  const bool may_join_probe = is_relaxed_ && !step.long_running;
  if (candidate.access != WorkerAccess::kOpen && !is_probe && !may_join_probe) {
    return {Exclusion::kProbe};
  }
  if (IsHeldBack(request, candidate)) {
    return {Exclusion::kReserved};
  }
  const Colocation colocation = ColocationOf(candidate, step);
  if (!colocation.is_suitable && !is_relaxed_) {
    return {IsUncertain(candidate, step.image, *model_)
                ? Exclusion::kUncertain
                : Exclusion::kInterference,
            colocation.rank};
  }
  if (step.best_effort && !is_relaxed_ && !candidate.best_effort.empty() &&
      candidate.idle_cpu_millis < step.needs.cpu_millis) {
    return {Exclusion::kBusy, colocation.rank};
  }
  return {TakesHeadroom(request, candidate) ? Exclusion::kHeadroom
                                            : Exclusion::kNone,
          colocation.rank};
}

bool GraphPlacement::IsAllowed(const CandidateWorker& candidate,
                               Isolation isolation) {
  switch (isolation) {
    case Isolation::kNone:
      return !candidate.is_reserved || candidate.is_last;
    case Isolation::kOwnWorker:
      return candidate.has_only_suspects;
    case Isolation::kReservedWorker:
      return candidate.has_only_suspects || candidate.is_reserved;
    case Isolation::kAnyWorker:
      return true;
  }
  return false;
}

bool GraphPlacement::TakesHeadroom(const TaskRequest& request,
                                   const CandidateWorker& candidate) const {
  const auto kept = headroom_.find(request.graph.queue.service);
  return request.step.long_running && kept != headroom_.end() &&
         candidate.cordon == nullptr &&
         !Fits(request.step.needs + kept->second, candidate.free);
}

void GraphPlacement::RecordWait(const TaskRequest& request,
                                const Search& search) {
  if (search.lacks_room() && request.graph.queue.priority == 0 &&
      request.isolation == Isolation::kNone && !request.step.long_running &&
      !request.step.best_effort) {
    unfit_.push_back(request.task);
  }
  const auto [recorded, is_new] =
      wait_recorded_at_.try_emplace(request.task.graph, now_);
  if (!is_new && recorded->second + kWaitLogInterval > now_) {
    return;
  }
  recorded->second = now_;
  PlacementWait wait{request.task.graph, request.step.image};
  for (std::size_t i = 0; i < search.rejected.size(); ++i) {
    wait.Count(static_cast<Exclusion>(i), search.rejected[i]);
  }
  waits_.push_back(std::move(wait));
}

void GraphPlacement::RecordLongRunningWait(const TaskRequest& request,
                                           const Search& search) {
  const Time since =
      long_running_since_.try_emplace(WaitKey(request.task, request.step), now_)
          .first->second;
  if (search.best == nullptr && search.room >= kAmpleRoom && last_pass_at_) {
    starved_time_ += std::min(now_ - *last_pass_at_, kMaxPassInterval);
  }
  if (since + kLongWait > now_ ||
      long_running_waits_.size() >= kMaxLoggedWaits) {
    return;
  }
  const auto [recorded, is_new] =
      long_wait_recorded_at_.try_emplace(request.task.graph, now_);
  const bool is_due = is_new || recorded->second + kWaitLogInterval <= now_;
  if (!is_due && search.best == nullptr) {
    return;
  }
  recorded->second = now_;
  LongRunningWait wait;
  wait.task = request.task;
  wait.since = since;
  wait.room = search.room;
  wait.pool_workers = pool_workers_;
  wait.needs = ReservedResources(request.step);
  if (search.best != nullptr) {
    wait.chosen = search.best->worker->info.life.id;
  }
  for (const auto& [id, candidate] : candidates_) {
    if (candidate.worker->info.service != request.graph.queue.service) {
      continue;
    }
    ++wait.usable_workers;
    wait.pool.free += candidate.free;
    wait.pool.largest_free = Max(wait.pool.largest_free, candidate.free);
    wait.pool.best_effort += candidate.best_effort_reserved;
    wait.pool.long_running += candidate.long_running_reserved;
    if (wait.rejected.size() >= kMaxLoggedWorkers) {
      continue;
    }
    const Exclusion exclusion = Assess(request, candidate).exclusion;
    if (exclusion != Exclusion::kNone &&
        (search.room == 0 || !IsBinding(exclusion))) {
      wait.rejected.push_back({id, exclusion});
    }
  }
  long_running_waits_.push_back(std::move(wait));
}

GraphPlacement::Colocation GraphPlacement::ColocationOf(
    const CandidateWorker& candidate,
    const StepSpec& step) const {
  if (step.latency_target_ms > 0) {
    return {policy_.image_packing ? ServingRank(pool_workers_, candidate, step)
                                  : 0};
  }
  if (policy_.look_ahead && IsQuick(step)) {
    return {QuickRank(candidate, step)};
  }
  if (!step.best_effort || candidate.serving.empty()) {
    return {};
  }
  const bool is_exploring = candidate.exploring_tasks == 0 &&
                            IsUncertain(candidate, step.image, *model_);
  const std::int64_t share = is_exploring ? kExplorationPercent : kFullPercent;
  const BestEffortNeighbour added{
      step.image, CpuFraction(*candidate.worker,
                              step.needs.cpu_millis * share / kFullPercent)};
  // Largest difference between expected occupancy and its limit over the
  // latency-sensitive tasks here.
  double worst_excess = -1;
  for (const ColocatedTask& serving_task : candidate.serving) {
    // Only one exploring task is placed here at a time, and at a reduced share,
    // so that the expected increase is a sufficient estimate for it.
    const double own_increase =
        is_exploring
            ? model_->ExpectedIncrease(serving_task.image, {&added, 1})
            : model_->ConservativeIncrease(serving_task.image, {&added, 1});
    if (policy_.light_neighbours &&
        serving_task.projected_occupancy * own_increase <=
            kNegligibleIncrease) {
      continue;
    }
    const double total_increase =
        model_->ConservativeIncrease(serving_task.image,
                                     candidate.best_effort) +
        own_increase;
    worst_excess = std::max(
        worst_excess, serving_task.projected_occupancy * (1 + total_increase) -
                          serving_task.occupancy_limit);
  }
  const int level = static_cast<int>(worst_excess * kOccupancyLevels);
  // Larger than any difference between suitable workers.
  constexpr int kOverLimitRank = 1000;
  if (worst_excess <= 0) {
    return {level};
  }
  return {kOverLimitRank + level, false};
}

void GraphPlacement::Reserve(CandidateWorker& candidate,
                             const TaskRef& task,
                             const StepSpec& step) {
  candidate.free -= ReservedResources(step);
  candidate.idle_cpu_millis -= step.needs.cpu_millis;
  AddReserved(candidate, step);
  AddColocated(candidate, task, step, *model_, policy_);
  if (policy_.look_ahead && step.latency_target_ms > 0) {
    demand_.Update(candidate);
  }
  if (step.best_effort) {
    candidate.exploring_tasks +=
        IsUncertain(candidate, step.image, *model_) ? 1 : 0;
  }
  candidate.has_probe =
      candidate.has_probe ||
      (candidate.access != WorkerAccess::kOpen && !step.long_running);
}

}  // namespace banyan
