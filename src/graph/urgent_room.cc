#include "banyan/graph/urgent_room.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "banyan/graph/candidate_worker.h"
#include "banyan/graph/worker_suspicion.h"

namespace banyan {
namespace {

// Wait from which on room is made. A step waits for two commits of 25 ms each
// without any shortage.
constexpr Duration kMinUrgentWait = Millis(150);
// Maximum number of stops in one pass.
constexpr std::size_t kMaxStops = 8;
// Time for which a graph whose run was stopped isn't stopped again, and for
// which a new leader stops no long-running task.
constexpr Duration kStopInterval = Millis(5000);
// Time for which headroom is kept after an urgent task has waited.
constexpr Duration kShortageRetention = Millis(5000);
// Time for which a long-running task must have been at work to count as
// available.
constexpr Duration kAvailableAfter = Millis(5500);
// A worker whose lease ends this much sooner than the latest one hasn't
// answered for several syncs, so its list may be outdated.
constexpr Duration kMaxSilence = Millis(2000);
// Workers whose lease expires sooner than this get no new runs.
constexpr Duration kMinRemainingLease = Millis(1000);

TaskRef FirstOfStep(TaskRef task) {
  task.index = 0;
  return task;
}

// Returns amounts for `count` tasks.
Resources Times(const Resources& needs, std::int64_t count) {
  return {needs.cpu_millis * count, needs.memory_mib * count,
          needs.accelerators * count};
}

// Returns the part of amounts for each of `workers`.
Resources Share(const Resources& total, std::int64_t workers) {
  const std::int64_t parts = std::max<std::int64_t>(workers, 1);
  return {total.cpu_millis / parts, total.memory_mib / parts,
          total.accelerators / parts};
}

// Returns the largest amounts that don't hold a task.
Resources LessThan(const Resources& needs) {
  return {std::max<std::int64_t>(needs.cpu_millis - 1, 0),
          std::max<std::int64_t>(needs.memory_mib - 1, 0),
          std::max<std::int64_t>(needs.accelerators - 1, 0)};
}

bool IsUrgent(const Graph& graph, const StepSpec& step) {
  return graph.queue.priority == 0 && !step.long_running && !step.best_effort;
}

// The load of a pool with long-running tasks that wait.
struct PoolLoad {
  // What the long-running tasks need that wait, and the least of each amount.
  Resources waiting;
  Resources smallest;
  // What urgent tasks need, those that run and those that are ready.
  Resources urgent;
  // What the workers have free that take runs, and their number.
  Resources free;
  std::int64_t workers = 0;
};

// Returns the loads of pools with long-running tasks that wait, by service.
std::map<std::string_view, PoolLoad> PoolLoads(const GraphTable& table) {
  std::map<std::string_view, PoolLoad> loads;
  std::map<std::string_view, Resources> urgent;
  for (const std::string& id : table.ready_graphs()) {
    const Graph& graph = table.graphs().at(id);
    for (const OccurrenceProgress& steps : graph.occurrences) {
      for (std::size_t s = 0; s < steps.size(); ++s) {
        const StepSpec& step = graph.spec.steps[s];
        const auto ready = std::count_if(
            steps[s].tasks.begin(), steps[s].tasks.end(),
            [](const TaskProgress& t) { return t.phase == TaskPhase::kReady; });
        if (ready == 0) {
          continue;
        }
        if (IsUrgent(graph, step)) {
          urgent[graph.queue.service] += Times(step.needs, ready);
        } else if (step.long_running) {
          const Resources needs = ReservedResources(step);
          const auto [load, is_new] = loads.try_emplace(graph.queue.service);
          load->second.waiting += Times(needs, ready);
          load->second.smallest =
              is_new ? needs : Min(load->second.smallest, needs);
        }
      }
    }
  }
  if (loads.empty()) {
    return loads;
  }
  for (const auto& [id, worker] : table.workers()) {
    const auto load = loads.find(worker.info.service);
    if (load == loads.end() || worker.info.draining ||
        table.evacuated().contains(worker.info.data_centre)) {
      continue;
    }
    ++load->second.workers;
    load->second.free += worker.info.capacity - worker.committed;
    for (const RunRef& run : worker.runs) {
      const Graph* graph = table.FindGraph(run.task.graph);
      const StepSpec* step = table.FindStep(run.task);
      if (graph != nullptr && step != nullptr && IsUrgent(*graph, *step)) {
        load->second.urgent += step->needs;
      }
    }
  }
  for (auto& [service, load] : loads) {
    load.urgent += urgent[service];
  }
  return loads;
}

// Returns the latest end of a lease: that of a worker that answers.
Time LatestLease(const std::map<std::string, GraphWorkerView>& views) {
  Time latest{};
  for (const auto& [id, view] : views) {
    latest = std::max(latest, view.lease_deadline);
  }
  return latest;
}

// Whether the lists of a worker show what it runs at present.
bool IsAnswering(const GraphWorkerView& view, Time latest_lease) {
  return view.reachable && !view.drop_proposed &&
         view.lease_deadline + kMaxSilence >= latest_lease;
}

}  // namespace

std::int64_t UnavailableTasks(
    Time now,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const TaskRef& first) {
  const Graph* graph = table.FindGraph(first.graph);
  if (graph == nullptr || graph->occurrences.empty()) {
    return 0;
  }
  const Time latest_lease = LatestLease(views);
  const StepProgress& progress =
      graph->occurrences[static_cast<std::size_t>(first.occurrence)]
                        [static_cast<std::size_t>(first.step)];
  TaskRef ref = first;
  const auto is_available = [&](const TaskProgress& task) {
    const auto view = views.find(task.worker.id);
    if (task.phase != TaskPhase::kRunning || view == views.end() ||
        view->second.life != task.worker ||
        !IsAnswering(view->second, latest_lease)) {
      return false;
    }
    const RunRef run{ref, task.run};
    const auto seen = view->second.runs.find(run);
    return seen != view->second.runs.end() &&
           !view->second.stop_sent_at.contains(run) &&
           seen->second.row.percent >= kFullPercent &&
           std::max(seen->second.listed_at, seen->second.progressed_at) +
                   kAvailableAfter <=
               now;
  };
  std::int64_t unavailable = 0;
  for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
    ref.index = static_cast<std::int64_t>(i);
    unavailable += is_available(progress.tasks[i]) ? 0 : 1;
  }
  return unavailable;
}

// Holds the room of each usable worker, with what is being freed there.
class UrgentRoom::Pass {
 public:
  Pass(Time now,
       const GraphTable& table,
       const std::map<std::string, GraphWorkerView>& views,
       std::span<const RunPlacement> placed)
      : now_(now), table_(table), views_(views) {
    const Time latest_lease = LatestLease(views);
    for (const auto& [id, worker] : table.workers()) {
      const auto view = views.find(id);
      if (view == views.end() || view->second.life != worker.info.life ||
          !IsAnswering(view->second, latest_lease) ||
          view->second.lease_deadline <= now + kMinRemainingLease ||
          worker.info.draining ||
          table.evacuated().contains(worker.info.data_centre) ||
          view->second.suspicion.AccessAt(now, worker.runs) !=
              WorkerAccess::kOpen) {
        continue;
      }
      Room room{
          &worker, &view->second,
          view->second.UsableCapacity(worker.info.capacity) - worker.committed};
      for (const RunRef& run : worker.runs) {
        const StepSpec* step = table.FindStep(run.task);
        if (step != nullptr && view->second.stop_sent_at.contains(run)) {
          room.free += ReservedResources(*step);
          room.has_stop = true;
        }
      }
      rooms_.emplace(id, room);
    }
    for (const RunPlacement& placement : placed) {
      const auto room = rooms_.find(placement.worker.id);
      if (room != rooms_.end()) {
        room->second.free -=
            ReservedResources(*table.FindStep(placement.run.task));
      }
    }
  }

  // Takes what is free, or is being freed, for tasks that wait. Returns the
  // number of tasks that still have no room.
  std::int64_t TakeFreeRoom(const Demand& demand) {
    std::int64_t tasks = demand.tasks;
    for (auto& [id, room] : rooms_) {
      if (IsSuitable(room, demand)) {
        tasks -= Take(room, *demand.step, tasks);
      }
    }
    return tasks;
  }

  // Chooses stops for `tasks` tasks that have no room.
  void Stop(const Demand& demand,
            std::int64_t tasks,
            bool may_stop_long_running,
            std::map<std::string, Time>& stopped_at,
            std::vector<Preemption>& stops) {
    for (const Victim& victim :
         FindVictims(demand, may_stop_long_running, stopped_at)) {
      if (tasks <= 0 || stops.size() >= kMaxStops) {
        return;
      }
      Room& room = rooms_.at(victim.stop.worker);
      const std::string& graph = victim.stop.run.task.graph;
      if (room.has_stop || stopped_at.contains(graph)) {
        continue;
      }
      room.free += victim.freed;
      room.has_stop = true;
      tasks -= Take(room, *demand.step, tasks);
      stopped_at.emplace(graph, now_);
      stops.push_back(victim.stop);
    }
  }

 private:
  struct Room {
    const GraphWorker* worker = nullptr;
    const GraphWorkerView* view = nullptr;
    Resources free;
    // Whether a run is being stopped there.
    bool has_stop = false;
  };

  // A run that may be stopped. Compared by kind, lost work and how many further
  // tasks of its step may be unavailable, negated.
  struct Victim {
    std::tuple<PreemptionKind, Duration, std::int64_t> rank;
    Preemption stop;
    Resources freed;
  };

  static bool IsSuitable(const Room& room, const Demand& demand) {
    return room.worker->info.service == *demand.service &&
           HasLabel(room.worker->info, *demand.step);
  }

  // Takes room for up to `tasks` tasks. Returns how many fit.
  static std::int64_t Take(Room& room,
                           const StepSpec& step,
                           std::int64_t tasks) {
    const std::int64_t times = std::min(
        tasks,
        std::min(TimesFitting(step.needs, room.free),
                 step.per_worker_limit > 0 ? step.per_worker_limit : tasks));
    for (std::int64_t i = 0; i < times; ++i) {
      room.free -= step.needs;
    }
    return times;
  }

  std::vector<Victim> FindVictims(
      const Demand& demand,
      bool may_stop_long_running,
      const std::map<std::string, Time>& stopped_at) {
    std::vector<Victim> victims;
    for (const auto& [id, room] : rooms_) {
      if (room.has_stop || !IsSuitable(room, demand)) {
        continue;
      }
      for (const RunRef& run : room.worker->runs) {
        const auto seen = room.view->runs.find(run);
        if (seen == room.view->runs.end() ||
            !table_.IsCurrent(run, room.worker->info.life) ||
            table_.suspects().contains(run.task) ||
            stopped_at.contains(run.task.graph)) {
          continue;
        }
        const Graph& graph = *table_.FindGraph(run.task.graph);
        const StepSpec& step = *table_.FindStep(run.task);
        const Resources freed = ReservedResources(step);
        if (step.gang || !Fits(demand.step->needs, room.free + freed)) {
          continue;
        }
        const std::optional<PreemptionKind> kind = KindOf(graph, step);
        if (!kind || (step.long_running && !may_stop_long_running)) {
          continue;
        }
        std::int64_t spare = 0;
        if (step.long_running) {
          spare = SpareTasks(run.task, step);
          if (spare <= 0) {
            continue;
          }
        }
        const Duration lost = LostWork(step, seen->second);
        victims.push_back(
            {{*kind, lost, -spare},
             {run, id, *kind, demand.task, now_ - demand.since,
              demand.step->needs.memory_mib > room.free.memory_mib, lost},
             freed});
      }
    }
    std::stable_sort(
        victims.begin(), victims.end(),
        [](const Victim& a, const Victim& b) { return a.rank < b.rank; });
    return victims;
  }

  // Returns the kind of a run; empty if it must not be stopped.
  static std::optional<PreemptionKind> KindOf(const Graph& graph,
                                              const StepSpec& step) {
    if (step.long_running) {
      return PreemptionKind::kLongRunning;
    }
    if (step.best_effort) {
      return PreemptionKind::kBestEffort;
    }
    if (graph.queue.priority == 0) {
      return std::nullopt;
    }
    return step.checkpointing ? PreemptionKind::kLowerPriorityCheckpointing
                              : PreemptionKind::kLowerPriority;
  }

  Duration LostWork(const StepSpec& step, const RunView& seen) const {
    const bool is_saved = step.checkpointing && !seen.row.checkpoint.empty();
    return step.long_running || is_saved ? Duration{} : now_ - seen.listed_at;
  }

  // Returns how many further tasks of a long-running step may become
  // unavailable; none without a limit, since it isn't known how many may.
  std::int64_t SpareTasks(const TaskRef& task, const StepSpec& step) {
    if (!step.max_unavailable) {
      return 0;
    }
    const TaskRef first = FirstOfStep(task);
    const auto [found, is_new] = unavailable_.try_emplace(first);
    if (is_new) {
      found->second = UnavailableTasks(now_, table_, views_, first);
    }
    return *step.max_unavailable - found->second;
  }

  Time now_;
  const GraphTable& table_;
  const std::map<std::string, GraphWorkerView>& views_;
  std::map<std::string, Room> rooms_;
  // Number of unavailable tasks of a step, by its first task.
  std::map<TaskRef, std::int64_t> unavailable_;
};

void UrgentRoom::Reset(Time now) {
  *this = UrgentRoom();
  started_at_ = now;
}

HeadroomByService UrgentRoom::Headroom(Time now, const GraphTable& table) {
  std::erase_if(shortages_, [&](const auto& item) {
    return item.second.last_wait_at + kShortageRetention <= now;
  });
  HeadroomByService headroom;
  const std::map<std::string_view, PoolLoad> loads = PoolLoads(table);
  for (const auto& [service, load] : loads) {
    // What is placed now must leave room for urgent tasks as they come and go.
    if (load.urgent != Resources{} &&
        !Fits(load.urgent, load.free - load.waiting)) {
      headroom[std::string(service)] = Share(load.urgent, load.workers);
    }
  }
  for (const auto& [service, shortage] : shortages_) {
    const auto load = loads.find(service);
    const std::int64_t workers = load == loads.end() ? 1 : load->second.workers;
    Resources& kept = headroom[service];
    kept = Max(kept, Max(shortage.largest, Share(shortage.total, workers)));
  }
  for (auto& [service, kept] : headroom) {
    const auto load = loads.find(service);
    if (load != loads.end()) {
      kept = Min(kept, LessThan(load->second.smallest));
    }
  }
  return headroom;
}

std::vector<UrgentRoom::Demand> UrgentRoom::FindDemands(
    Time now,
    const GraphTable& table,
    std::span<const TaskRef> unfit,
    std::span<const RunPlacement> placed) {
  std::map<TaskRef, Time> waiting;
  std::vector<Demand> demands;
  for (const TaskRef& task : unfit) {
    const TaskRef first = FirstOfStep(task);
    const auto known = waiting_since_.find(first);
    const Time since = known == waiting_since_.end() ? now : known->second;
    if (!waiting.emplace(first, since).second || since + kMinUrgentWait > now) {
      continue;
    }
    const Graph& graph = *table.FindGraph(task.graph);
    const StepProgress& progress =
        graph.occurrences[static_cast<std::size_t>(task.occurrence)]
                         [static_cast<std::size_t>(task.step)];
    const auto ready = std::count_if(
        progress.tasks.begin(), progress.tasks.end(),
        [](const TaskProgress& t) { return t.phase == TaskPhase::kReady; });
    const auto chosen = std::count_if(
        placed.begin(), placed.end(), [&](const RunPlacement& placement) {
          return FirstOfStep(placement.run.task) == first;
        });
    demands.push_back({task, table.FindStep(task), &graph.queue.service,
                       ready - chosen, since});
  }
  waiting_since_ = std::move(waiting);
  std::stable_sort(
      demands.begin(), demands.end(),
      [](const Demand& a, const Demand& b) { return a.since < b.since; });
  return demands;
}

void UrgentRoom::RecordShortages(Time now, std::span<const Demand> demands) {
  std::map<std::string, Resources> totals;
  for (const Demand& demand : demands) {
    const Resources& needs = demand.step->needs;
    totals[*demand.service] +=
        {needs.cpu_millis * demand.tasks, needs.memory_mib * demand.tasks,
         needs.accelerators * demand.tasks};
    Shortage& shortage = shortages_[*demand.service];
    shortage.last_wait_at = now;
    shortage.largest = Max(shortage.largest, needs);
  }
  for (const auto& [service, total] : totals) {
    shortages_[service].total = Max(shortages_[service].total, total);
  }
}

std::vector<Preemption> UrgentRoom::ChooseStops(
    Time now,
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    std::span<const TaskRef> unfit,
    std::span<const RunPlacement> placed) {
  const Time started_at = started_at_ ? *started_at_ : now;
  started_at_ = started_at;
  std::erase_if(stopped_at_, [&](const auto& item) {
    return item.second + kStopInterval <= now;
  });
  const std::vector<Demand> demands = FindDemands(now, table, unfit, placed);
  std::vector<Preemption> stops;
  if (demands.empty()) {
    return stops;
  }
  RecordShortages(now, demands);
  const bool may_stop_long_running = started_at + kStopInterval <= now;
  Pass pass(now, table, views, placed);
  for (const Demand& demand : demands) {
    pass.Stop(demand, pass.TakeFreeRoom(demand), may_stop_long_running,
              stopped_at_, stops);
  }
  return stops;
}

}  // namespace banyan
