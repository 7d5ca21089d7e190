#include "banyan/graph/graph_leader.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "banyan/graph/run_event.h"

namespace banyan {
namespace {

// An order that the worker's agent does not confirm is sent again after this.
constexpr Span kRepeatOrder = Millis(400);
// A proposal that was not applied by then is taken as lost.
constexpr Span kRepeatProposal = Millis(1500);
// A run whose progress stands still for this long is started elsewhere. A
// percent of the longest tasks takes a tenth of it.
constexpr Span kStuckAfter = Millis(1600);
// Lists that must show the same progress.
constexpr int kStuckLists = 3;
// A task that lasts and is not at work this long after its start is moved.
constexpr Span kAbsentAfter = Millis(4000);
// Different graphs that must fail on a worker before it is suspected.
constexpr std::size_t kFailedGraphsToSuspect = 2;
// How long a suspected worker rests before a probe.
constexpr Span kSuspectRest = Millis(2500);
// What the figures in a worker's list cover, less some jitter.
constexpr Span kFigureSpan = Millis(450);
// A task at this share or below gets nowhere; after the span it is moved, if
// it can go on elsewhere or has done no more than the given part.
constexpr std::int64_t kStarvedPercent = 20;
constexpr Span kStarvedFor = Millis(900);
constexpr std::int64_t kCheapPercent = 25;
// When a caller may come back with a job that no worker is large enough for;
// workers of another kind take seconds to join.
constexpr std::int64_t kMisfitRetryMs = 5000;
// Ends proposed in one log entry.
constexpr std::size_t kMaxEndsPerEntry = 500;

// Returns the task that is closest to its target or furthest over it; one
// without a name where there is none.
ServingTask WorstOff(const std::vector<ServingTask>& serving) {
  const auto worst =
      std::max_element(serving.begin(), serving.end(),
                       [](const ServingTask& a, const ServingTask& b) {
                         return RelativeLatency(a) < RelativeLatency(b);
                       });
  return worst == serving.end() ? ServingTask{} : *worst;
}

}  // namespace

void GraphLeader::Reset(Time now,
                        const GraphTable& table,
                        std::uint64_t fencing_token) {
  fencing_token_ = fencing_token;
  views_.clear();
  placement_ = GraphPlacement(options_.scheduling);
  placing_since_.reset();
  out_ = GraphLeaderOutputs{};
  for (const auto& [id, worker] : table.workers()) {
    GraphWorkerView& view = views_[id];
    view.life = worker.info.life;
    view.lease_deadline = LeaseEnd(now);
  }
}

GraphWorkerView& GraphLeader::ViewOf(const WorkerLife& life) {
  GraphWorkerView& view = views_[life.id];
  if (view.life != life) {
    view = GraphWorkerView{};
    view.life = life;
  }
  return view;
}

DropWorker GraphLeader::DropOf(const WorkerLife& life,
                               std::string cause) const {
  DropWorker drop{life, std::move(cause), {}};
  const auto view = views_.find(life.id);
  if (view != views_.end() && view->second.life == life) {
    for (const auto& [run, seen] : view->second.runs) {
      if (!seen.row.checkpoint.empty()) {
        drop.last_seen.push_back(seen.row);
      }
    }
  }
  return drop;
}

RunStart GraphLeader::StartOf(const GraphTable& table,
                              const GraphWorker& worker,
                              const RunRef& run) const {
  RunStart start{run, table.FindGraph(run.task.graph)->spec.payload,
                 table.FindTask(run.task)->checkpoint};
  const StepSpec& step = *table.FindStep(run.task);
  if (!step.fills || !options_.scheduling.careful_starts) {
    return start;
  }
  // Beside an image that it was never seen with it starts at a part of its
  // share.
  for (const RunRef& other : worker.runs) {
    const StepSpec* neighbour = table.FindStep(other.task);
    if (neighbour != nullptr && neighbour->latency_target_ms > 0 &&
        pacer_.model().IsUncertain(neighbour->image, step.image)) {
      start.percent = kExplorationPercent;
    }
  }
  return start;
}

WorkerOrders GraphLeader::OrdersFor(const GraphWorker& worker) const {
  WorkerOrders orders;
  orders.worker = worker.info.life;
  orders.fencing_token = fencing_token_;
  orders.noted = worker.noted;
  return orders;
}

void GraphLeader::OnSync(Time now,
                         const GraphTable& table,
                         const std::string& agent,
                         const WorkerSync& sync,
                         bool may_grant) {
  const WorkerLife& life = sync.info.life;
  const GraphWorker* worker = table.FindWorker(life);
  if (sync.gone) {
    if (worker != nullptr && !views_[life.id].drop_proposed) {
      views_[life.id].drop_proposed = true;
      out_.proposals.emplace_back(DropOf(life, "the worker left"));
    }
    return;
  }
  Admission(now, table, agent, sync);
  if (worker == nullptr) {
    return;
  }
  GraphWorkerView& view = ViewOf(life);
  if (view.drop_proposed) {
    // Its removal stands in the log; the lease must not be renewed.
    return;
  }
  view.reachable = sync.reachable;
  view.is_new_list = sync.lists != view.lists;
  view.lists = sync.lists;
  std::map<RunRef, RunView> runs;
  for (const RunningRow& row : sync.running) {
    const auto known = view.runs.find(row.run);
    RunView seen = known == view.runs.end() ? RunView{} : known->second;
    if (known == view.runs.end()) {
      seen.progressed_at = now;
      const auto paced = view.starting_percent.find(row.run);
      if (paced != view.starting_percent.end()) {
        seen.share_percent = paced->second;
        view.starting_percent.erase(paced);
      }
    } else if (known->second.row.percent != row.percent) {
      seen.progressed_at = now;
      seen.lists_without_progress = 0;
    } else if (view.is_new_list) {
      ++seen.lists_without_progress;
    }
    seen.row = row;
    runs.emplace(row.run, std::move(seen));
  }
  view.runs = std::move(runs);
  NoteEnds(now, *worker, sync);
  WorkerOrders orders = OrdersFor(*worker);
  orders.seq = sync.seq;
  if (may_grant && sync.reachable) {
    orders.lease_ms = ToMillis(options_.lease);
    view.lease_deadline = LeaseEnd(now);
  }
  Reconcile(now, table, *worker, sync, orders);
  Pace(now, table, *worker, orders);
  out_.orders.push_back({agent, std::move(orders)});
}

void GraphLeader::Admission(Time now,
                            const GraphTable& table,
                            const std::string& agent,
                            const WorkerSync& sync) {
  WorkerInfo info = sync.info;
  info.remaining_ms = 0;
  const GraphWorker* known = table.FindWorker(info.life);
  if (known != nullptr && known->info == info && known->agent == agent) {
    return;
  }
  GraphWorkerView& view = views_[info.life.id];
  const bool is_waiting = view.life == info.life &&
                          view.admission_proposed_at + kRepeatProposal > now &&
                          view.admission_proposed_at != Time{};
  const bool is_older =
      view.life.id == info.life.id && view.life.born > info.life.born;
  if (is_older || (is_waiting && known == nullptr)) {
    return;
  }
  if (known != nullptr && is_waiting && known->info.draining == info.draining) {
    return;
  }
  if (known == nullptr) {
    for (const auto& [id, other] : table.workers()) {
      if (other.agent == agent && other.info.life.born < info.life.born) {
        out_.proposals.emplace_back(
            DropOf(other.info.life, "a later life came"));
      }
    }
    ViewOf(info.life).drop_proposed = false;
  }
  view.admission_proposed_at = now;
  out_.proposals.emplace_back(AdmitWorker{info, agent});
}

void GraphLeader::NoteEnds(Time now,
                           const GraphWorker& worker,
                           const WorkerSync& sync) {
  GraphWorkerView& view = views_[worker.info.life.id];
  EndRuns ends;
  ends.worker = worker.info.life;
  const bool is_due = view.end_proposed_at + kRepeatProposal <= now;
  std::int64_t last = view.proposed_end;
  for (const EndedRow& row : sync.ended) {
    if (ends.rows.size() >= kMaxEndsPerEntry) {
      break;
    }
    if (row.number == 0) {
      // A refused start; it counts as long as the table holds the run.
      if (worker.runs.contains(row.run)) {
        ends.rows.push_back(row);
      }
      continue;
    }
    if (row.number > worker.noted &&
        (is_due || row.number > view.proposed_end)) {
      ends.rows.push_back(row);
      last = std::max(last, row.number);
    }
  }
  if (ends.rows.empty()) {
    return;
  }
  view.proposed_end = last;
  view.end_proposed_at = now;
  out_.proposals.emplace_back(std::move(ends));
}

void GraphLeader::Reconcile(Time now,
                            const GraphTable& table,
                            const GraphWorker& worker,
                            const WorkerSync& sync,
                            WorkerOrders& orders) {
  GraphWorkerView& view = views_[worker.info.life.id];
  const auto is_due = [&](std::map<RunRef, Time>& sent, const RunRef& run) {
    Time& last = sent[run];
    if (last != Time{} && last + kRepeatOrder > now) {
      return false;
    }
    last = now;
    return true;
  };
  std::set<RunRef> known;
  for (const EndedRow& row : sync.ended) {
    known.insert(row.run);
  }
  const auto check = [&](const RunRef& run) {
    known.insert(run);
    const bool must_stop = !table.IsCurrent(run, worker.info.life) ||
                           view.stop_sent_at.contains(run);
    if (must_stop && is_due(view.stop_sent_at, run)) {
      orders.stops.push_back(run);
    }
  };
  for (const RunningRow& row : sync.running) {
    check(row.run);
  }
  for (const RunRef& run : sync.starting) {
    check(run);
  }
  for (const RunRef& run : worker.runs) {
    if (known.contains(run)) {
      continue;
    }
    if (!table.IsCurrent(run, worker.info.life)) {
      if (is_due(view.stop_sent_at, run)) {
        orders.stops.push_back(run);
      }
    } else if (is_due(view.start_sent_at, run)) {
      orders.starts.push_back(StartOf(table, worker, run));
    }
  }
  std::erase_if(view.start_sent_at, [&](const auto& item) {
    return !worker.runs.contains(item.first);
  });
  std::erase_if(view.starting_percent, [&](const auto& item) {
    return !worker.runs.contains(item.first);
  });
  std::erase_if(view.stop_sent_at, [&](const auto& item) {
    return !worker.runs.contains(item.first) && !known.contains(item.first);
  });
}

void GraphLeader::Pace(Time now,
                       const GraphTable& table,
                       const GraphWorker& worker,
                       WorkerOrders& orders) {
  GraphWorkerView& view = views_[worker.info.life.id];
  std::vector<ServingTask> serving;
  std::vector<BestEffortTask> filling;
  for (const auto& [run, seen] : view.runs) {
    if (!table.IsCurrent(run, worker.info.life)) {
      continue;
    }
    const StepSpec& step = *table.FindStep(run.task);
    if (step.latency_target_ms > 0) {
      serving.push_back({run.task.graph, step.image, seen.row.figure,
                         step.latency_target_ms});
    } else if (step.fills) {
      filling.push_back({run, step.image, seen.share_percent,
                         CpuFraction(worker, step.needs.cpu_millis),
                         CpuFraction(worker, seen.row.figure)});
    }
  }
  if (serving.empty() && filling.empty()) {
    return;
  }
  // Lists come with every end, but their figures are of the last half second;
  // acting on one figure several times would overshoot.
  if (!view.is_new_list || view.paced_at + kFigureSpan > now) {
    return;
  }
  view.paced_at = now;
  if (options_.log_latencies) {
    LogLatencies(worker, serving, filling);
  }
  pacer_.Observe(now, worker.info.life.id, serving, filling);
  orders.paces = pacer_.Decide(now, worker.info.life.id, serving, filling);
  const ServingTask decider = WorstOff(serving);
  for (const RunPace& pace : orders.paces) {
    RunView& seen = view.runs.at(pace.run);
    out_.events.push_back(
        RunEvent(EventId::kRunPaced, pace.run, worker.info.life.id)
            .With("before", seen.share_percent)
            .With("percent", pace.percent)
            .With("serving", serving.size())
            .With("filling", filling.size())
            .With("decider", decider.group)
            .With("latency_ms", decider.latency_ms)
            .With("target_ms", decider.target_ms)
            .With("list", view.lists));
    seen.share_percent = pace.percent;
  }
  if (options_.scheduling.starved_moves) {
    MoveStarved(now, table, worker, orders);
  }
}

void GraphLeader::LogLatencies(const GraphWorker& worker,
                               std::span<const ServingTask> serving,
                               std::span<const BestEffortTask> filling) {
  std::ostringstream neighbours;
  double wanted = 0;
  for (const BestEffortTask& task : filling) {
    neighbours << task.image << ':' << task.used << ':' << task.percent << ' ';
    wanted += task.size * static_cast<double>(task.percent) / 100;
  }
  for (const ServingTask& task : serving) {
    out_.events.push_back(
        Event(EventId::kLatencyReported)
            .With("worker", worker.info.life.id)
            .With("group", task.group)
            .With("image", task.image)
            .With("latency_ms", task.latency_ms)
            .With("target_ms", task.target_ms)
            .With("wanted_percent", static_cast<int>(100 * wanted))
            .With("committed_millis", worker.committed.cpu_millis)
            .With("capacity_millis", worker.info.capacity.cpu_millis)
            .With("neighbours", neighbours.str()));
  }
}

void GraphLeader::MoveStarved(Time now,
                              const GraphTable& table,
                              const GraphWorker& worker,
                              WorkerOrders& orders) {
  GraphWorkerView& view = views_[worker.info.life.id];
  for (auto& [run, seen] : view.runs) {
    if (!table.IsCurrent(run, worker.info.life)) {
      continue;
    }
    const StepSpec& step = *table.FindStep(run.task);
    if (!step.fills || seen.share_percent > kStarvedPercent) {
      seen.starved_since.reset();
      continue;
    }
    const Time since = seen.starved_since.value_or(now);
    seen.starved_since = since;
    // Without checkpoints the work so far would be lost.
    const bool is_cheap =
        step.checkpointing || seen.row.percent <= kCheapPercent;
    if (since + kStarvedFor > now || !is_cheap ||
        !view.stop_sent_at.try_emplace(run, now).second) {
      continue;
    }
    placement_.Avoid(run.task, worker.info.life.id);
    orders.stops.push_back(run);
    out_.events.push_back(RunEvent(EventId::kRunMoved, run, worker.info.life.id)
                              .With("percent", seen.row.percent)
                              .With("pace", seen.share_percent)
                              .With("starved_ms", ToMillis(now - since)));
  }
}

void GraphLeader::OnApplied(Time now,
                            const GraphTable& table,
                            const Command& command,
                            const GraphApplied& applied) {
  if (std::holds_alternative<PlaceRuns>(command)) {
    placing_since_.reset();
  }
  std::map<std::string, WorkerOrders> orders;
  const auto orders_for = [&](const GraphWorker& worker) -> WorkerOrders& {
    const auto [it, is_new] = orders.try_emplace(worker.info.life.id);
    if (is_new) {
      it->second = OrdersFor(worker);
    }
    return it->second;
  };
  for (const RunPlacement& placement : applied.placed) {
    const GraphWorker* worker = table.FindWorker(placement.worker);
    if (worker != nullptr) {
      RunStart start = StartOf(table, *worker, placement.run);
      GraphWorkerView& view = views_[placement.worker.id];
      view.start_sent_at[placement.run] = now;
      if (start.percent < kFullPercent) {
        view.starting_percent[placement.run] = start.percent;
      }
      orders_for(*worker).starts.push_back(std::move(start));
      if (view.is_suspected) {
        view.probe = placement.run;
      }
      out_.events.push_back(
          RunEvent(EventId::kRunPlaced, placement.run, placement.worker.id)
              .With("occurrence", placement.run.task.occurrence)
              .With("token", fencing_token_));
    }
  }
  for (const std::string& id : applied.touched_workers) {
    const auto found = table.workers().find(id);
    if (found == table.workers().end()) {
      views_.erase(id);
      continue;
    }
    const GraphWorker& worker = found->second;
    GraphWorkerView& view = ViewOf(worker.info.life);
    if (view.lease_deadline == Time{}) {
      view.lease_deadline = LeaseEnd(now);
    }
    WorkerOrders& worker_orders = orders_for(worker);
    for (const RunRef& run : worker.runs) {
      if (!table.IsCurrent(run, worker.info.life) &&
          view.stop_sent_at.try_emplace(run, now).second) {
        worker_orders.stops.push_back(run);
      }
    }
  }
  if (const auto* ends = std::get_if<EndRuns>(&command)) {
    GraphWorkerView& view = views_[ends->worker.id];
    for (const EndedRow& row : ends->rows) {
      if (row.ending == RunEnding::kDone) {
        view.failed_graphs.clear();
        view.is_suspected = false;
        placement_.Forget(row.run.task);
      } else if (row.ending == RunEnding::kFailed) {
        placement_.Avoid(row.run.task, ends->worker.id);
        SuspectAfterFailure(now, view, row.run);
      }
    }
  }
  for (auto& [id, order] : orders) {
    const auto found = table.workers().find(id);
    if (found != table.workers().end()) {
      out_.orders.push_back({found->second.agent, std::move(order)});
    }
  }
}

std::optional<CommandResult> GraphLeader::Admit(const GraphTable& table,
                                                const SubmitGraph& submit) {
  const QueueSpec* queue = table.FindQueue(submit.spec.queue);
  if (table.FindGraph(submit.id) != nullptr || queue == nullptr) {
    return std::nullopt;
  }
  bool has_worker = false;
  std::vector<bool> fits(submit.spec.steps.size(), false);
  for (const auto& [id, worker] : table.workers()) {
    if (worker.info.service != queue->service) {
      continue;
    }
    has_worker = true;
    for (std::size_t s = 0; s < fits.size(); ++s) {
      fits[s] =
          fits[s] || Fits(HeldBy(submit.spec.steps[s]), worker.info.capacity);
    }
  }
  // Without any worker nothing is known of what may come.
  const auto misfit = std::find(fits.begin(), fits.end(), false);
  if (!has_worker || misfit == fits.end()) {
    return std::nullopt;
  }
  CommandResult refusal;
  refusal.error = ErrorKind::kOverloaded;
  refusal.text = "no worker is large enough for step " +
                 std::to_string(misfit - fits.begin());
  refusal.retry_after_ms = kMisfitRetryMs;
  out_.events.push_back(Event(EventId::kGraphRefused)
                            .With("request", submit.id)
                            .With("queue", queue->name)
                            .With("workers", table.workers().size())
                            .With("reason", refusal.text));
  return refusal;
}

void GraphLeader::SuspectAfterFailure(Time now,
                                      GraphWorkerView& view,
                                      const RunRef& run) {
  view.failed_graphs.insert(run.task.graph);
  const bool is_failed_probe = view.probe && *view.probe == run;
  if (!options_.scheduling.worker_suspicion) {
    return;
  }
  if (view.failed_graphs.size() < kFailedGraphsToSuspect && !is_failed_probe) {
    return;
  }
  view.is_suspected = true;
  view.quarantined_until = now + kSuspectRest;
  view.probe.reset();
  out_.events.push_back(Event(EventId::kWorkerSuspected)
                            .With("worker", view.life.id)
                            .With("failed_jobs", view.failed_graphs.size()));
}

void GraphLeader::ExpireLeases(Time now, const GraphTable& table) {
  for (const auto& [id, worker] : table.workers()) {
    GraphWorkerView& view = views_[id];
    if (view.lease_deadline == Time{}) {
      view.life = worker.info.life;
      view.lease_deadline = LeaseEnd(now);
    }
    if (view.lease_deadline <= now && !view.drop_proposed) {
      view.drop_proposed = true;
      out_.proposals.emplace_back(
          DropOf(worker.info.life, "the lease ran out"));
    }
  }
}

void GraphLeader::StopStuckRuns(Time now, const GraphTable& table) {
  for (auto& [id, view] : views_) {
    const GraphWorker* worker = table.FindWorker(view.life);
    if (worker == nullptr || !view.reachable) {
      continue;
    }
    for (auto& [run, seen] : view.runs) {
      if (!table.IsCurrent(run, view.life) ||
          seen.share_percent < kFullPercent ||
          seen.row.percent >= kFullPercent) {
        continue;
      }
      const StepSpec& step = *table.FindStep(run.task);
      const Span patience = step.long_running ? kAbsentAfter : kStuckAfter;
      if (step.fills || step.gang || now - seen.progressed_at < patience ||
          seen.lists_without_progress < kStuckLists ||
          !view.stop_sent_at.try_emplace(run, now).second) {
        continue;
      }
      placement_.Avoid(run.task, id);
      SuspectAfterFailure(now, view, run);
      WorkerOrders orders = OrdersFor(*worker);
      orders.stops.push_back(run);
      out_.orders.push_back({worker->agent, std::move(orders)});
      out_.events.push_back(
          RunEvent(EventId::kRunStuck, run, id)
              .With("percent", seen.row.percent)
              .With("still_ms", ToMillis(now - seen.progressed_at)));
    }
  }
}

void GraphLeader::Decide(Time now, WallMillis wall, const GraphTable& table) {
  ExpireLeases(now, table);
  StopStuckRuns(now, table);
  if (placing_since_ && *placing_since_ + kRepeatProposal > now) {
    return;
  }
  placing_since_.reset();
  std::vector<RunPlacement> chosen =
      placement_.Choose(now, wall, table, views_, pacer_.model());
  for (const PlacementWait& wait : placement_.TakeWaits()) {
    out_.events.push_back(Event(EventId::kGraphWaiting)
                              .With("request", wait.graph)
                              .With("image", wait.image)
                              .With("unfit", wait.unfit)
                              .With("busy", wait.busy)
                              .With("interference", wait.interference)
                              .With("uncertain", wait.uncertain)
                              .With("excluded", wait.excluded));
  }
  if (!chosen.empty()) {
    placing_since_ = now;
    out_.proposals.emplace_back(PlaceRuns{std::move(chosen)});
  }
}

}  // namespace banyan
