#include "banyan/graph/graph_placement.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "banyan/graph/backlog.h"
#include "banyan/graph/serving_rank.h"
#include "banyan/graph/urgency.h"

namespace banyan {
namespace {

// Placements of one batch, so that its log entry stays small.
constexpr std::size_t kMaxBatch = 256;
// A graph that waits is logged again after this.
constexpr Span kWaitLogInterval = Millis(2000);
// A lease with less than this left is not worth a start.
constexpr Span kLeastLeaseLeft = Millis(1000);
// Ready tasks without room for one of them are passed over after this many.
constexpr int kMaxMissesPerStep = 2;

// What placement prefers between workers that all have room; smaller is
// better, the fields in the order of their weight.
using Preference = std::tuple<bool, bool, bool, int, std::int64_t>;

// The latency that tasks that serve are expected to keep, in parts of their
// target, and by how much their load may rise while a task that fills runs.
constexpr double kKeptLatency = 0.8;
constexpr double kLoadRise = 1.2;
// Occupancies are compared in steps of a twentieth, so that room decides
// between workers that are about equal.
constexpr double kOccupancyLevels = 20;
// A neighbour that raises an occupancy by less than this is let in under any
// load: keeping it out would not bring a latency down.
constexpr double kNegligibleRise = 0.02;
// After this wait one task that fills goes wherever its memory has room. A
// graph must not stand still for three seconds while its pool is not busy.
constexpr Span kAnyRoomAfter = Millis(2000);
// Bounds of the part of its processor time that a task that serves is expected
// to use, and how much more than at present that is.
constexpr double kLeastServingUse = 0.35;
constexpr double kMostServingUse = 0.9;
constexpr double kServingUseRise = 1.1;

// From this part of its processor time on a pool counts as busy: waiting for a
// room that suits is then what overload looks like, not neglect.
constexpr double kBusyPool = 0.5;

// The least part of its processor time that a pool is taken to give to tasks
// that fill: when few of them run, that says little of how many could.
constexpr double kLeastDrain = 0.15;

// A service's workers with their processor time, in thousandths.
struct PoolUse {
  std::size_t workers = 0;
  std::int64_t capacity = 0;
  std::int64_t committed = 0;
  // What the tasks that fill have, or could have.
  std::int64_t drain = 0;

  [[nodiscard]] bool is_busy() const noexcept {
    return static_cast<double>(committed) >=
           kBusyPool * static_cast<double>(capacity);
  }
};

// Whether any task of a graph runs.
bool HasRunningTask(const Graph& graph) {
  for (const OccurrenceProgress& occurrence : graph.occurrences) {
    for (const StepProgress& step : occurrence) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(),
                      [](const TaskProgress& task) {
                        return task.phase == TaskPhase::kRunning;
                      })) {
        return true;
      }
    }
  }
  return false;
}

// Returns the processor time that is committed to a task that serves but that
// it leaves unused while its load occupies the given part of its time.
std::int64_t UnusedBy(const StepSpec& step, double occupancy) {
  const double use = std::clamp(kServingUseRise * occupancy, kLeastServingUse,
                                kMostServingUse);
  return static_cast<std::int64_t>((1 - use) *
                                   static_cast<double>(step.needs.cpu_millis));
}

// A graph with ready tasks.
struct Candidate {
  Urgency urgency;
  const std::string* id = nullptr;
  const Graph* graph = nullptr;
};

bool Fills(const Graph& graph) {
  return std::any_of(graph.spec.steps.begin(), graph.spec.steps.end(),
                     [](const StepSpec& step) { return step.best_effort; });
}

// Returns the graphs with ready tasks in the order of placement.
std::vector<Candidate> OrderOf(const GraphTable& table,
                               const std::map<std::string_view, PoolUse>& pools,
                               bool has_forecast,
                               WallMillis wall) {
  std::vector<Candidate> order;
  for (const std::string& id : table.ready_graphs()) {
    const auto graph = table.graphs().find(id);
    order.push_back(
        {UrgencyOf(graph->second, wall), &graph->first, &graph->second});
  }
  const auto before = [](const Candidate& a, const Candidate& b) {
    return a.urgency < b.urgency;
  };
  std::sort(order.begin(), order.end(), before);
  if (!has_forecast) {
    return order;
  }
  std::map<std::string_view, Backlog> backlogs;
  for (const auto& [service, pool] : pools) {
    backlogs.emplace(service, Backlog(pool.drain));
  }
  for (Candidate& candidate : order) {
    const auto backlog = backlogs.find(candidate.graph->queue.service);
    if (candidate.urgency.reach == Reach::kInTime && Fills(*candidate.graph) &&
        backlog != backlogs.end() &&
        !backlog->second.Take(candidate.urgency, wall)) {
      candidate.urgency.reach = Reach::kLate;
    }
  }
  std::sort(order.begin(), order.end(), before);
  return order;
}

}  // namespace

double PartOf(const GraphWorker& worker, std::int64_t cpu_millis) noexcept {
  return static_cast<double>(cpu_millis) /
         static_cast<double>(
             std::max<std::int64_t>(worker.info.capacity.cpu_millis, 1));
}

void GraphPlacement::Avoid(const TaskRef& task, const std::string& worker) {
  avoided_[task].insert(worker);
}

std::vector<RunPlacement> GraphPlacement::Choose(
    Time now,
    WallMillis wall,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const InterferenceModel& model) {
  now_ = now;
  model_ = &model;
  std::vector<RunPlacement> chosen;
  if (table.ready_graphs().empty()) {
    return chosen;
  }
  rooms_.clear();
  std::map<std::string_view, PoolUse> pools;
  for (const auto& [id, worker] : table.workers()) {
    PoolUse& pool = pools[worker.info.service];
    ++pool.workers;
    pool.capacity += worker.info.capacity.cpu_millis;
    pool.committed += worker.committed.cpu_millis;
    pool.drain +=
        std::max(worker.fill_cpu_millis,
                 static_cast<std::int64_t>(
                     kLeastDrain *
                     static_cast<double>(worker.info.capacity.cpu_millis)));
    const auto view = views.find(id);
    const bool is_usable =
        view != views.end() && view->second.life == worker.info.life &&
        view->second.reachable && !view->second.dropping &&
        view->second.lease_deadline > now + kLeastLeaseLeft &&
        !worker.info.draining &&
        !table.evacuated().contains(worker.info.data_centre);
    if (!is_usable) {
      continue;
    }
    WorkerRoom room;
    room.worker = &worker;
    room.free = worker.info.capacity - worker.committed;
    room.idle_cpu_millis = room.free.cpu_millis - worker.fill_cpu_millis;
    room.is_probed = view->second.suspected;
    if (room.is_probed) {
      const std::optional<RunRef>& probe = view->second.probe;
      if (view->second.resting_until > now ||
          (probe && worker.runs.contains(*probe))) {
        continue;
      }
    }
    for (const RunRef& run : worker.runs) {
      const StepSpec* step = table.FindStep(run.task);
      if (step != nullptr) {
        AddCompany(room, run.task, *step);
      }
    }
    for (const FillingNeighbour& neighbour : room.filling) {
      room.explored += IsUncertain(room, neighbour.image) ? 1 : 0;
    }
    rooms_.emplace(id, std::move(room));
  }
  for (const auto& [urgency, id, graph] :
       OrderOf(table, pools, policy_.backlog_forecast, wall)) {
    if (chosen.size() >= kMaxBatch) {
      break;
    }
    const Time since = waiting_since_.try_emplace(*id, now).first->second;
    const PoolUse& pool = pools[graph->queue.service];
    takes_any_room_ = since + kAnyRoomAfter <= now && !pool.is_busy() &&
                      !HasRunningTask(*graph);
    pool_workers_ = pool.workers;
    // One that had to take any room takes the next as soon as its task has
    // ended; starting the wait again would leave it idle most of the time.
    const std::size_t least = takes_any_room_ ? 2 : 1;
    const std::size_t before = chosen.size();
    PlaceGraph(wall, *id, *graph, chosen);
    if (chosen.size() >= before + least) {
      waiting_since_.erase(*id);
    }
  }
  const auto is_settled = [&](const auto& item) {
    return !table.ready_graphs().contains(item.first);
  };
  std::erase_if(waiting_since_, is_settled);
  std::erase_if(wait_noted_at_, is_settled);
  return chosen;
}

void GraphPlacement::PlaceGraph(WallMillis wall,
                                const std::string& id,
                                const Graph& graph,
                                std::vector<RunPlacement>& chosen) {
  for (std::size_t k = 0; k < graph.occurrences.size(); ++k) {
    const auto occurrence = static_cast<std::int64_t>(k);
    const bool is_due =
        graph.spec.occurrences == 0 ||
        wall >= graph.spec.first_due_at + occurrence * graph.spec.interval_ms;
    if (!is_due) {
      break;
    }
    for (std::size_t s = 0; s < graph.occurrences[k].size(); ++s) {
      const TaskRef first{id, occurrence, static_cast<std::int64_t>(s), 0};
      if (graph.spec.steps[s].gang) {
        PlaceGang(graph, first, graph.occurrences[k][s], chosen);
      } else {
        PlaceStep(graph, first, graph.occurrences[k][s], chosen);
      }
      if (chosen.size() >= kMaxBatch) {
        return;
      }
    }
  }
}

GraphPlacement::Spread GraphPlacement::SpreadOf(
    const StepProgress& progress) const {
  Spread spread;
  for (const TaskProgress& task : progress.tasks) {
    if (task.phase != TaskPhase::kRunning) {
      continue;
    }
    ++spread.tasks[task.worker.id];
    const auto room = rooms_.find(task.worker.id);
    if (room != rooms_.end()) {
      spread.rack = room->second.worker->info.rack;
    }
  }
  return spread;
}

void GraphPlacement::PlaceStep(const Graph& graph,
                               const TaskRef& first,
                               const StepProgress& progress,
                               std::vector<RunPlacement>& chosen) {
  const StepSpec& step = graph.spec.steps[static_cast<std::size_t>(first.step)];
  Spread spread;
  if (step.per_worker_limit > 0 || step.rack_local) {
    spread = SpreadOf(progress);
  }
  TaskRef ref = first;
  int misses = 0;
  for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
    const TaskProgress& task = progress.tasks[i];
    if (task.phase != TaskPhase::kReady) {
      continue;
    }
    ref.index = static_cast<std::int64_t>(i);
    const auto placed = PlaceTask(graph, ref, step, task.run + 1, spread);
    if (!placed) {
      if (++misses >= kMaxMissesPerStep) {
        return;
      }
      continue;
    }
    // One task shows that the graph is not forgotten; the others wait for
    // rooms that suit.
    takes_any_room_ = false;
    chosen.push_back(*placed);
    if (chosen.size() >= kMaxBatch) {
      return;
    }
  }
}

void GraphPlacement::PlaceGang(const Graph& graph,
                               const TaskRef& first,
                               const StepProgress& progress,
                               std::vector<RunPlacement>& chosen) {
  std::int64_t run = 0;
  for (const TaskProgress& task : progress.tasks) {
    if (task.phase != TaskPhase::kReady) {
      return;
    }
    run = std::max(run, task.run);
  }
  const StepSpec& step = graph.spec.steps[static_cast<std::size_t>(first.step)];
  // All members at once or none.
  const std::map<std::string, WorkerRoom> before = rooms_;
  std::vector<RunPlacement> members;
  Spread spread;
  TaskRef ref = first;
  for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
    ref.index = static_cast<std::int64_t>(i);
    const auto placed = PlaceTask(graph, ref, step, run + 1, spread);
    if (!placed) {
      rooms_ = before;
      return;
    }
    members.push_back(*placed);
  }
  chosen.insert(chosen.end(), members.begin(), members.end());
}

std::optional<RunPlacement> GraphPlacement::PlaceTask(const Graph& graph,
                                                      const TaskRef& task,
                                                      const StepSpec& step,
                                                      std::int64_t run,
                                                      Spread& spread) {
  PlacementWait wait;
  WorkerRoom* room = BestRoom(graph, task, step, spread, wait);
  if (room == nullptr) {
    wait.graph = task.graph;
    wait.image = step.image;
    NoteWait(std::move(wait));
    return std::nullopt;
  }
  Take(*room, task, step);
  const WorkerInfo& info = room->worker->info;
  ++spread.tasks[info.life.id];
  if (spread.rack.empty()) {
    spread.rack = info.rack;
  }
  return RunPlacement{{task, run}, info.life};
}

WorkerRoom* GraphPlacement::BestRoom(const Graph& graph,
                                     const TaskRef& task,
                                     const StepSpec& step,
                                     const Spread& spread,
                                     PlacementWait& wait) {
  const auto avoided = avoided_.find(task);
  WorkerRoom* best = nullptr;
  Preference best_preference;
  for (auto& [id, room] : rooms_) {
    const WorkerInfo& info = room.worker->info;
    if (info.service != graph.queue.service) {
      continue;
    }
    if (!Fits(ReservedResources(step), room.free)) {
      ++wait.unfit;
      continue;
    }
    if (step.best_effort && !takes_any_room_ && !room.filling.empty() &&
        room.idle_cpu_millis < step.needs.cpu_millis) {
      ++wait.busy;
      continue;
    }
    if (room.has_probe) {
      ++wait.excluded;
      continue;
    }
    // A lasting task tells nothing for long, so it is no probe.
    if (room.is_probed && step.long_running) {
      ++wait.excluded;
      continue;
    }
    if (!step.required_label.empty() &&
        std::find(info.labels.begin(), info.labels.end(),
                  step.required_label) == info.labels.end()) {
      ++wait.excluded;
      continue;
    }
    const auto count = spread.tasks.find(id);
    if (step.per_worker_limit > 0 && count != spread.tasks.end() &&
        count->second >= step.per_worker_limit) {
      ++wait.excluded;
      continue;
    }
    const bool failed_here =
        avoided != avoided_.end() && avoided->second.contains(id);
    const bool is_far =
        (!step.data_rack.empty() && info.rack != step.data_rack) ||
        (step.rack_local && !spread.rack.empty() && info.rack != spread.rack);
    const std::optional<int> company = CompanyIn(room, step);
    if (!company) {
      ++(IsUncertain(room, step.image) ? wait.uncertain : wait.interference);
      continue;
    }
    const Preference preference{failed_here, room.is_probed, is_far, *company,
                                -room.idle_cpu_millis};
    if (best == nullptr || preference < best_preference) {
      best = &room;
      best_preference = preference;
    }
  }
  return best;
}

void GraphPlacement::NoteWait(PlacementWait wait) {
  const auto [noted, is_new] = wait_noted_at_.try_emplace(wait.graph, now_);
  if (is_new || noted->second + kWaitLogInterval <= now_) {
    noted->second = now_;
    waits_.push_back(std::move(wait));
  }
}

std::optional<int> GraphPlacement::CompanyIn(const WorkerRoom& room,
                                             const StepSpec& step) const {
  if (step.latency_target_ms > 0) {
    return policy_.image_packing ? ServingRank(pool_workers_, room, step) : 0;
  }
  if (!step.best_effort || room.serving.empty()) {
    return 0;
  }
  const bool is_exploring = room.explored == 0 && IsUncertain(room, step.image);
  const std::int64_t share = is_exploring ? kExploringPercent : kFullPercent;
  const FillingNeighbour added{
      step.image,
      PartOf(*room.worker, step.needs.cpu_millis * share / kFullPercent)};
  // How far the worst off is expected above or below what it is to keep.
  double worst = -1;
  for (const ServingCompany& other : room.serving) {
    // One task at a time finds out, at a part of its share, so that the
    // expected rise is enough for it.
    const double own = is_exploring
                           ? model_->ExpectedRise(other.image, {&added, 1})
                           : model_->SafeRise(other.image, {&added, 1});
    if (policy_.light_neighbours && other.alone * own <= kNegligibleRise) {
      continue;
    }
    const double pressure = model_->SafeRise(other.image, room.filling) + own;
    worst = std::max(worst, other.alone * (1 + pressure) - other.limit);
  }
  const int level = static_cast<int>(worst * kOccupancyLevels);
  constexpr int kTooMuch = 1000;
  if (worst <= 0) {
    return level;
  }
  if (takes_any_room_) {
    return kTooMuch + level;
  }
  return std::nullopt;
}

bool GraphPlacement::IsUncertain(const WorkerRoom& room,
                                 const std::string& image) const {
  return std::any_of(room.serving.begin(), room.serving.end(),
                     [&](const ServingCompany& other) {
                       return model_->IsUncertain(other.image, image);
                     });
}

void GraphPlacement::AddCompany(WorkerRoom& room,
                                const TaskRef& task,
                                const StepSpec& step) const {
  if (step.latency_target_ms > 0) {
    const double occupancy = model_->BaseOccupancy(task.graph, step.image);
    room.serving.push_back({step.image, kLoadRise * occupancy,
                            model_->OccupancyOf(step.image, kKeptLatency),
                            step.per_worker_limit > 0});
    room.idle_cpu_millis +=
        UnusedBy(step, policy_.load_dependent_slack ? occupancy : 0);
  }
  if (step.best_effort) {
    // One that is paced down is to come back to its full share.
    room.filling.push_back(
        {step.image, PartOf(*room.worker, step.needs.cpu_millis)});
  }
}

void GraphPlacement::Take(WorkerRoom& room,
                          const TaskRef& task,
                          const StepSpec& step) const {
  room.free -= ReservedResources(step);
  room.idle_cpu_millis -= step.needs.cpu_millis;
  AddCompany(room, task, step);
  if (step.best_effort) {
    room.explored += IsUncertain(room, step.image) ? 1 : 0;
  }
  room.has_probe = room.is_probed;
}

}  // namespace banyan
