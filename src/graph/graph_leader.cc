#include "banyan/graph/graph_leader.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "banyan/graph/run_event.h"

namespace banyan {
namespace {

// Interval at which a command that the agent does not confirm is resent.
constexpr Duration kOrderRetryInterval = Millis(400);
// Time without progress after which a run is stuck and is started on another
// worker. One percent of the longest tasks takes a tenth of this time.
constexpr Duration kStallTimeout = Millis(1600);
// Minimum number of run lists without progress before a run is stuck.
constexpr int kMinStalledLists = 3;
// Time after its start by which a long-running task must be at work; otherwise
// it is moved.
constexpr Duration kLongRunningStallTimeout = Millis(4000);
// Number of other workers, each without suspicion, on which a task must have
// failed for its failures to count as its own.
constexpr int kMinFailuresElsewhere = 2;
// Minimum time between throttle decisions on a worker: the half second that a
// measurement covers, less some jitter.
constexpr Duration kMinThrottleInterval = Millis(450);
// CPU share up to which a best-effort task counts as starved.
constexpr std::int64_t kStarvedMaxPercent = 20;
// Time after which a starved task is moved.
constexpr Duration kStarvedTimeout = Millis(900);
// Maximum progress of a starved task without checkpoints that is moved.
constexpr std::int64_t kMaxDiscardablePercent = 25;
// Retry delay for a job that exceeds the capacity of every worker. Workers of
// another kind take seconds to join.
constexpr std::int64_t kOversizedRetryAfterMs = 5000;
// Workers that are lost within this time of each other are likely to have been
// lost to a common cause.
constexpr Duration kCommonCauseWindow = Millis(100);
// How long the loss of a worker is remembered: several leases.
constexpr Duration kLossRetention = std::chrono::seconds(30);
// Maximum number of ended runs in one log entry.
constexpr std::size_t kMaxEndsPerEntry = 500;

// Returns whether the log lacks the reported end of a run of the worker. What
// its list doesn't number counts only for a run that the table has.
bool IsUncommitted(const GraphWorker& worker, const EndedRun& row) {
  return row.number == 0 ? worker.runs.contains(row.run)
                         : row.number > worker.noted;
}

}  // namespace

void GraphLeader::Reset(Time now,
                        const GraphTable& table,
                        std::uint64_t fencing_token) {
  fencing_token_ = fencing_token;
  numbers_.Reset(table, fencing_token);
  views_.clear();
  placement_ = GraphPlacement(options_.scheduling);
  urgent_room_.Reset(now);
  forecast_.Reset(now);
  speculation_ = Speculation(options_.scheduling);
  placement_proposed_at_.reset();
  losses_.clear();
  delayed_.clear();
  run_times_ = RunTimeObserver();
  out_ = GraphLeaderOutputs{};
  for (const auto& [id, worker] : table.workers()) {
    GraphWorkerView& view = views_[id];
    view.life = worker.info.life;
    view.lease_deadline = LeaseExpiry(now);
    view.reported_at = now;
  }
}

GraphWorkerView& GraphLeader::ViewFor(const WorkerIncarnation& incarnation) {
  GraphWorkerView& view = views_[incarnation.id];
  if (view.life != incarnation) {
    view = GraphWorkerView{};
    view.life = incarnation;
  }
  return view;
}

void GraphLeader::ProposeRemoval(Time now,
                                 const GraphWorker& worker,
                                 std::span<const EndedRun> ended,
                                 std::string cause) {
  const WorkerIncarnation& incarnation = worker.info.life;
  const auto view = views_.find(incarnation.id);
  const auto age_ms = [&](Time GraphWorkerView::*at) {
    const bool is_known = view != views_.end() &&
                          view->second.life == incarnation &&
                          view->second.*at != Time{};
    return is_known ? ToMillis(now - view->second.*at) : -1;
  };
  const auto is_uncommitted_done = [&](const EndedRun& row) {
    return row.reason == RunEndReason::kDone && worker.runs.contains(row.run);
  };
  out_.events.push_back(
      Event(EventId::kWorkerRemovalProposed)
          .With("worker", incarnation.id)
          .With("born", incarnation.started_at_ms)
          .With("cause", cause)
          .With("runs", worker.runs.size())
          .With("ended", ended.size())
          .With("done",
                std::count_if(ended.begin(), ended.end(), is_uncommitted_done))
          .With("committed", worker.noted)
          .With("lease_ms",
                view == views_.end() || view->second.life != incarnation
                    ? 0
                    : ToMillis(view->second.lease_deadline - now))
          .With("synced_ms", age_ms(&GraphWorkerView::synced_at))
          .With("heard_ms", age_ms(&GraphWorkerView::reported_at)));
  out_.proposals.emplace_back(MakeDropWorker(incarnation, std::move(cause)));
}

DropWorker GraphLeader::MakeDropWorker(const WorkerIncarnation& incarnation,
                                       std::string cause) const {
  DropWorker drop{incarnation, std::move(cause), {}};
  const auto view = views_.find(incarnation.id);
  if (view != views_.end() && view->second.life == incarnation) {
    for (const auto& [run, seen] : view->second.runs) {
      if (!seen.row.checkpoint.empty()) {
        drop.last_seen.push_back(seen.row);
      }
    }
  }
  return drop;
}

RunStart GraphLeader::MakeStart(const GraphTable& table,
                                const GraphWorker& worker,
                                const RunRef& run) const {
  RunStart start{run, table.FindGraph(run.task.graph)->spec.payload,
                 table.FindTask(run.task)->checkpoint};
  start.is_trial = table.suspects().contains(run.task);
  const StepSpec& step = *table.FindStep(run.task);
  if (!step.best_effort || !options_.scheduling.careful_starts) {
    return start;
  }
  // Next to an image whose interference with this one is not known, a
  // best-effort task starts at a reduced CPU share.
  for (const RunRef& other : worker.runs) {
    const StepSpec* other_step = table.FindStep(other.task);
    if (other_step != nullptr && other_step->latency_target_ms > 0 &&
        pacer_.model().IsUncertain(other_step->image, step.image)) {
      start.percent = kExplorationPercent;
    }
  }
  return start;
}

WorkerOrders GraphLeader::MakeOrders(const GraphWorker& worker) const {
  WorkerOrders orders;
  orders.worker = worker.info.life;
  orders.fencing_token = fencing_token_;
  orders.incarnation_number = numbers_.Of(worker.info.life);
  orders.noted = worker.noted;
  return orders;
}

void GraphLeader::OnSync(Time now,
                         const GraphTable& table,
                         const std::string& agent,
                         const WorkerSync& sync,
                         bool may_grant_lease) {
  const WorkerIncarnation& incarnation = sync.info.life;
  const GraphWorker* worker = table.FindWorker(incarnation);
  if (sync.gone) {
    if (worker != nullptr) {
      OnLeave(now, table, *worker, sync);
    } else {
      ProposeCrashes(table, sync);
    }
    return;
  }
  ProposeAdmission(now, table, agent, sync);
  if (worker == nullptr) {
    return;
  }
  GraphWorkerView& view = ViewFor(incarnation);
  view.synced_at = now;
  if (view.drop_proposed) {
    // The removal has been proposed, so the lease must not be renewed.
    return;
  }
  if (view.reachable && !sync.reachable) {
    std::erase_if(losses_, [&](const auto& loss) {
      return loss.second + kLossRetention < now;
    });
    losses_.emplace_back(incarnation, now);
  }
  view.reachable = sync.reachable;
  view.reported_at = sync.reachable ? now : view.reported_at;
  view.capacity = sync.info.capacity;
  view.largest_capacity = Max(view.largest_capacity, sync.info.capacity);
  view.is_new_list = sync.lists != view.lists;
  view.lists = sync.lists;
  if (options_.scheduling.learned_run_times) {
    run_times_.OnSync(now, table, view, sync, out_.events);
  }
  std::map<RunRef, RunView> runs;
  for (const RunStatus& row : sync.running) {
    const auto known = view.runs.find(row.run);
    RunView seen = known == view.runs.end() ? RunView{} : known->second;
    if (known == view.runs.end()) {
      seen.listed_at = now;
      seen.progressed_at = now;
      const auto starting_share = view.starting_percent.find(row.run);
      if (starting_share != view.starting_percent.end()) {
        seen.share_percent = starting_share->second;
        view.starting_percent.erase(starting_share);
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
  view.survived.insert(sync.survived.begin(), sync.survived.end());
  FindSoundRuns(now, table, view);
  ProposeRunEnds(now, *worker, sync);
  WorkerOrders orders = MakeOrders(*worker);
  orders.seq = sync.seq;
  if (may_grant_lease && sync.reachable) {
    orders.lease_ms = ToMillis(options_.lease);
    view.lease_deadline = LeaseExpiry(now);
  }
  Reconcile(now, table, *worker, sync, orders);
  Throttle(now, table, *worker, orders);
  out_.orders.push_back({agent, std::move(orders)});
}

bool GraphLeader::HasCommonCause(const WorkerIncarnation& incarnation) const {
  const auto own =
      std::find_if(losses_.begin(), losses_.end(),
                   [&](const auto& loss) { return loss.first == incarnation; });
  return own == losses_.end() ||
         std::any_of(losses_.begin(), losses_.end(), [&](const auto& loss) {
           return loss.first != incarnation &&
                  std::chrono::abs(loss.second - own->second) <=
                      kCommonCauseWindow;
         });
}

void GraphLeader::ProposeCrashes(const GraphTable& table,
                                 const WorkerSync& sync) {
  RecordCrashes record{sync.info.life, {}};
  const bool has_common_cause = HasCommonCause(sync.info.life);
  // A run that was just starting explains the crash better than those at work.
  const bool has_starting = std::any_of(
      sync.crashed.begin(), sync.crashed.end(), [](const RunCrash& crash) {
        return crash.evidence != CrashEvidence::kAtWork;
      });
  for (RunCrash crash : sync.crashed) {
    const TaskProgress* task = table.FindTask(crash.run.task);
    if (task == nullptr || crash.run.run <= task->crashes.last_run) {
      continue;
    }
    const CrashRecord& known = task->crashes;
    const bool is_at_work = crash.evidence == CrashEvidence::kAtWork;
    const bool clears =
        is_at_work && (known.has_start_evidence() ||
                       table.FindStep(crash.run.task)->long_running);
    if (clears ? known.crashes == 0
               : is_at_work &&
                     (has_common_cause || has_starting || known.is_suspect() ||
                      !table.IsCurrent(crash.run, sync.info.life))) {
      continue;
    }
    if (has_common_cause && !is_at_work) {
      crash.evidence = CrashEvidence::kUnclear;
    }
    record.rows.push_back(std::move(crash));
  }
  if (!record.rows.empty()) {
    out_.proposals.emplace_back(std::move(record));
  }
}

void GraphLeader::ProposeUnseenCrash(const GraphTable& table,
                                     const GraphWorker& worker) {
  const WorkerIncarnation& incarnation = worker.info.life;
  const auto view = views_.find(incarnation.id);
  const bool is_viewed =
      view != views_.end() && view->second.life == incarnation;
  const bool is_reported = is_viewed && view->second.drop_proposed;
  if (is_reported || worker.info.draining) {
    return;
  }
  RecordCrashes record{incarnation, {}};
  for (const RunRef& run : worker.runs) {
    if (!table.IsCurrent(run, incarnation) ||
        table.FindStep(run.task)->long_running) {
      continue;
    }
    const bool is_suspect = table.FindTask(run.task)->crashes.is_suspect();
    if (!is_suspect) {
      record.rows.push_back({run, CrashEvidence::kAtWork});
    } else if (!is_viewed ||
               !view->second.HasSurvived(run, view->second.reported_at)) {
      record.rows.push_back({run, CrashEvidence::kUnclear});
    }
  }
  if (!record.rows.empty()) {
    out_.proposals.emplace_back(std::move(record));
  }
}

void GraphLeader::OnLeave(Time now,
                          const GraphTable& table,
                          const GraphWorker& worker,
                          const WorkerSync& sync) {
  GraphWorkerView& view = views_[worker.info.life.id];
  // The view of a later incarnation means that the removal of this one was
  // proposed with the admission of that one.
  if (view.life != worker.info.life || view.drop_proposed) {
    return;
  }
  view.drop_proposed = true;
  // The ends and the crashes go into the log before the removal, which makes
  // the remaining runs ready to be placed again.
  EndRuns ends{worker.info.life, {}};
  for (const EndedRun& row : sync.ended) {
    if (!IsUncommitted(worker, row)) {
      continue;
    }
    ends.rows.push_back(row);
    if (ends.rows.size() == kMaxEndsPerEntry) {
      out_.proposals.emplace_back(
          std::exchange(ends, EndRuns{worker.info.life, {}}));
    }
  }
  if (!ends.rows.empty()) {
    out_.proposals.emplace_back(std::move(ends));
  }
  ProposeCrashes(table, sync);
  ProposeRemoval(
      now, worker, sync.ended,
      sync.crashed.empty() ? "the worker left" : "the worker crashed");
}

void GraphLeader::ProposeRunEnds(Time now,
                                 const GraphWorker& worker,
                                 const WorkerSync& sync) {
  GraphWorkerView& view = views_[worker.info.life.id];
  EndRuns ends;
  ends.worker = worker.info.life;
  const bool is_due = view.end_proposed_at + kProposalTimeout <= now;
  std::int64_t last = view.proposed_end;
  for (const EndedRun& row : sync.ended) {
    if (ends.rows.size() >= kMaxEndsPerEntry) {
      break;
    }
    if (IsUncommitted(worker, row) &&
        (row.number == 0 || is_due || row.number > view.proposed_end)) {
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
    if (last != Time{} && last + kOrderRetryInterval > now) {
      return false;
    }
    last = now;
    return true;
  };
  std::set<RunRef> known;
  for (const EndedRun& row : sync.ended) {
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
  for (const RunStatus& row : sync.running) {
    check(row.run);
  }
  for (const RunRef& run : sync.starting) {
    check(run);
  }
  const auto is_unconfirmed = [&](const RunRef& run) {
    return !known.contains(run) && table.IsCurrent(run, worker.info.life);
  };
  // What is being stopped takes up capacity until its end is committed.
  Resources held = worker.committed;
  for (const RunRef& run : worker.runs) {
    if (is_unconfirmed(run)) {
      held -= ReservedResources(*table.FindStep(run.task));
    }
  }
  for (const RunRef& run : worker.runs) {
    if (known.contains(run)) {
      continue;
    }
    bool must_stop = !is_unconfirmed(run) || view.stop_sent_at.contains(run);
    if (is_unconfirmed(run)) {
      held += ReservedResources(*table.FindStep(run.task));
      if (!must_stop && !Fits(held, sync.info.capacity)) {
        must_stop = true;
        LogWithdrawn(run, worker);
      }
    }
    if (!must_stop && is_due(view.start_sent_at, run)) {
      orders.starts.push_back(MakeStart(table, worker, run));
    } else if (must_stop && is_due(view.stop_sent_at, run)) {
      orders.stops.push_back(run);
    }
  }
  std::erase_if(view.start_sent_at, [&](const auto& item) {
    return !worker.runs.contains(item.first);
  });
  std::erase_if(view.starting_percent, [&](const auto& item) {
    return !worker.runs.contains(item.first);
  });
  const auto has_ended = [&](const RunRef& run) {
    return !worker.runs.contains(run);
  };
  std::erase_if(view.survived, has_ended);
  std::erase_if(view.sound_runs, has_ended);
  std::erase_if(view.stop_sent_at, [&](const auto& item) {
    return !worker.runs.contains(item.first) && !known.contains(item.first);
  });
}

void GraphLeader::LogWithdrawn(const RunRef& run, const GraphWorker& worker) {
  const GraphWorkerView& view = views_[worker.info.life.id];
  const Resources capacity = view.UsableCapacity(worker.info.capacity);
  out_.events.push_back(
      RunEvent(EventId::kRunWithdrawn, run, worker.info.life.id)
          .With("occurrence", run.task.occurrence)
          .With("committed_millis", worker.committed.cpu_millis)
          .With("committed_mib", worker.committed.memory_mib)
          .With("capacity_millis", capacity.cpu_millis)
          .With("capacity_mib", capacity.memory_mib));
}

void GraphLeader::Throttle(Time now,
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
      serving.push_back({run.task.graph, step.image, seen.row.measurement,
                         step.latency_target_ms});
    } else if (step.best_effort) {
      filling.push_back({run, step.image, seen.share_percent,
                         CpuFraction(worker, step.needs.cpu_millis),
                         CpuFraction(worker, seen.row.measurement)});
    }
  }
  if (serving.empty() && filling.empty()) {
    return;
  }
  // A list arrives with every ended run, but its measurements cover the last
  // half second; acting on one measurement several times would overshoot.
  if (!view.is_new_list || view.paced_at + kMinThrottleInterval > now) {
    return;
  }
  view.paced_at = now;
  if (options_.log_latencies) {
    LogLatencies(worker, serving, filling);
  }
  pacer_.Observe(now, worker.info.life.id, serving, filling);
  orders.paces = pacer_.Decide(now, worker.info.life.id, serving, filling);
  const ServingTask slowest = HighestRelativeLatency(serving);
  for (const RunThrottle& throttle : orders.paces) {
    RunView& seen = view.runs.at(throttle.run);
    out_.events.push_back(
        RunEvent(EventId::kRunPaced, throttle.run, worker.info.life.id)
            .With("before", seen.share_percent)
            .With("percent", throttle.percent)
            .With("serving", serving.size())
            .With("filling", filling.size())
            .With("decider", slowest.group)
            .With("latency_ms", slowest.latency_ms)
            .With("target_ms", slowest.target_ms)
            .With("list", view.lists));
    seen.share_percent = throttle.percent;
  }
  if (options_.scheduling.starved_moves) {
    MoveStarvedRuns(now, table, worker, orders);
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

void GraphLeader::MoveStarvedRuns(Time now,
                                  const GraphTable& table,
                                  const GraphWorker& worker,
                                  WorkerOrders& orders) {
  GraphWorkerView& view = views_[worker.info.life.id];
  for (auto& [run, seen] : view.runs) {
    if (!table.IsCurrent(run, worker.info.life)) {
      continue;
    }
    const StepSpec& step = *table.FindStep(run.task);
    if (!step.best_effort || seen.share_percent > kStarvedMaxPercent) {
      seen.starved_since.reset();
      continue;
    }
    const Time since = seen.starved_since.value_or(now);
    seen.starved_since = since;
    // Without checkpoints a move discards the work done so far.
    const bool is_movable =
        step.checkpointing || seen.row.percent <= kMaxDiscardablePercent;
    if (since + kStarvedTimeout > now || !is_movable ||
        !view.stop_sent_at.try_emplace(run, now).second) {
      continue;
    }
    placement_.Avoid(now, run.task, worker.info.life.id, AvoidReason::kStarved);
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
                            const GraphApplyResult& applied) {
  OnFollowed(now, applied);
  speculation_.OnApplied(now, table, command, applied, out_.events);
  if ((std::holds_alternative<PlaceRuns>(command) ||
       std::holds_alternative<PlaceCopies>(command)) &&
      !speculation_.is_pending()) {
    placement_proposed_at_.reset();
  }
  forecast_.OnApplied(now, table, command);
  std::map<std::string, WorkerOrders> orders;
  const auto orders_for = [&](const GraphWorker& worker) -> WorkerOrders& {
    const auto [it, is_new] = orders.try_emplace(worker.info.life.id);
    if (is_new) {
      it->second = MakeOrders(worker);
    }
    return it->second;
  };
  for (const RunPlacement& placement : applied.placed) {
    const GraphWorker* worker = table.FindWorker(placement.worker);
    if (worker != nullptr) {
      GraphWorkerView& view = views_[placement.worker.id];
      // The capacity may have shrunk since the placement was proposed.
      if (!Fits(worker->committed,
                view.UsableCapacity(worker->info.capacity))) {
        view.stop_sent_at[placement.run] = now;
        orders_for(*worker).stops.push_back(placement.run);
        LogWithdrawn(placement.run, *worker);
        continue;
      }
      RunStart start = MakeStart(table, *worker, placement.run);
      view.start_sent_at[placement.run] = now;
      if (start.percent < kFullPercent) {
        view.starting_percent[placement.run] = start.percent;
      }
      orders_for(*worker).starts.push_back(std::move(start));
      if (!table.FindStep(placement.run.task)->long_running) {
        view.suspicion.OnPlaced(now, placement.run);
      }
      out_.events.push_back(
          RunEvent(EventId::kRunPlaced, placement.run, placement.worker.id)
              .With("occurrence", placement.run.task.occurrence)
              .With("token", fencing_token_));
    }
  }
  for (const std::string& id : applied.affected_workers) {
    const auto found = table.workers().find(id);
    if (found == table.workers().end()) {
      views_.erase(id);
      continue;
    }
    const GraphWorker& worker = found->second;
    GraphWorkerView& view = ViewFor(worker.info.life);
    if (view.lease_deadline == Time{}) {
      view.lease_deadline = LeaseExpiry(now);
    }
    WorkerOrders& worker_orders = orders_for(worker);
    for (const RunRef& run : worker.runs) {
      if (!table.IsCurrent(run, worker.info.life) &&
          view.stop_sent_at.try_emplace(run, now).second) {
        worker_orders.stops.push_back(run);
      }
    }
  }
  const auto* ends = std::get_if<EndRuns>(&command);
  const auto ended_view =
      ends == nullptr ? views_.end() : views_.find(ends->worker.id);
  if (ended_view != views_.end() && ended_view->second.life == ends->worker) {
    GraphWorkerView& view = ended_view->second;
    for (const EndedRun& row : ends->rows) {
      if (row.reason == RunEndReason::kDone) {
        view.suspicion.Clear();
        placement_.Forget(row.run.task);
      } else if (row.reason == RunEndReason::kFailed) {
        placement_.Avoid(now, row.run.task, ends->worker.id,
                         AvoidReason::kFailed);
        if (!view.sound_runs.contains(row.run)) {
          SuspectAfterFailure(now, table, view, row.run);
        }
      } else if (row.reason == RunEndReason::kRefused) {
        placement_.Avoid(now, row.run.task, ends->worker.id,
                         AvoidReason::kRefused);
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

std::optional<CommandResult> GraphLeader::CheckAdmission(
    Time now,
    WallMillis wall,
    const GraphTable& table,
    const SubmitGraph& submit,
    bool may_forecast) {
  const QueueSpec* queue = table.FindQueue(submit.spec.queue);
  if (table.FindGraph(submit.id) != nullptr || queue == nullptr) {
    return std::nullopt;
  }
  const auto step = FindOversizedStep(table, views_, *queue, submit.spec);
  if (!step) {
    return may_forecast ? forecast_.Check(now, wall, table, submit, out_.events)
                        : std::nullopt;
  }
  CommandResult refusal;
  refusal.error = ErrorKind::kOverloaded;
  refusal.text = "no worker is large enough for step " + std::to_string(*step);
  refusal.retry_after_ms = kOversizedRetryAfterMs;
  out_.events.push_back(Event(EventId::kGraphRefused)
                            .With("request", submit.id)
                            .With("queue", queue->name)
                            .With("workers", table.workers().size())
                            .With("reason", refusal.text));
  return refusal;
}

void GraphLeader::SuspectAfterFailure(Time now,
                                      const GraphTable& table,
                                      GraphWorkerView& view,
                                      const RunRef& run) {
  const StepSpec* step = table.FindStep(run.task);
  const bool is_long_running = step != nullptr && step->long_running;
  if (!options_.scheduling.worker_suspicion ||
      FailsElsewhere(now, run.task, view.life.id) ||
      !view.suspicion.OnFailure(now, run, is_long_running)) {
    return;
  }
  out_.events.push_back(
      Event(EventId::kWorkerSuspected)
          .With("worker", view.life.id)
          .With("failed_jobs", view.suspicion.failed_graph_count()));
}

bool GraphLeader::FailsElsewhere(Time now,
                                 const TaskRef& task,
                                 const std::string& worker) const {
  const std::vector<std::string_view> workers =
      placement_.WorkersFailedOn(now, task);
  return std::count_if(workers.begin(), workers.end(),
                       [&](std::string_view id) {
                         const auto view = views_.find(std::string(id));
                         return id != worker && view != views_.end() &&
                                !view->second.suspicion.is_suspected(now);
                       }) >= kMinFailuresElsewhere;
}

void GraphLeader::FindSoundRuns(Time now,
                                const GraphTable& table,
                                GraphWorkerView& view) {
  for (const auto& [run, seen] : view.runs) {
    const StepSpec* step = table.FindStep(run.task);
    if (step == nullptr || !step->long_running ||
        seen.row.percent < kFullPercent ||
        seen.listed_at + kSoundRunTime > now) {
      continue;
    }
    view.sound_runs.insert(run);
    if (view.suspicion.is_suspected(now) &&
        seen.listed_at > view.suspicion.last_failure_at()) {
      view.suspicion.Clear();
      out_.events.push_back(
          RunEvent(EventId::kWorkerCleared, run, view.life.id)
              .With("at_work_ms", ToMillis(now - seen.listed_at)));
    }
  }
}

void GraphLeader::ExpireLeases(Time now,
                               const GraphTable& table,
                               Time heard_until) {
  for (const auto& [id, worker] : table.workers()) {
    GraphWorkerView& view = views_[id];
    if (view.lease_deadline == Time{}) {
      view.life = worker.info.life;
      view.lease_deadline = LeaseExpiry(now);
    }
    const Time lease_end =
        std::max(view.lease_deadline, unknown_leases_.EndOf(worker.info.life));
    if (lease_end <= heard_until && !view.drop_proposed) {
      view.drop_proposed = true;
      ProposeRemoval(now, worker, {}, "the lease ran out");
    }
  }
}

void GraphLeader::StopStuckRuns(Time now,
                                const GraphTable& table,
                                Time heard_until) {
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
      const Duration stall_timeout =
          step.long_running ? kLongRunningStallTimeout : kStallTimeout;
      if (step.best_effort || step.gang ||
          heard_until - seen.progressed_at < stall_timeout ||
          seen.lists_without_progress < kMinStalledLists ||
          !view.stop_sent_at.try_emplace(run, now).second) {
        continue;
      }
      placement_.Avoid(now, run.task, id, AvoidReason::kFailed);
      SuspectAfterFailure(now, table, view, run);
      WorkerOrders orders = MakeOrders(*worker);
      orders.stops.push_back(run);
      out_.orders.push_back({worker->agent, std::move(orders)});
      out_.events.push_back(
          RunEvent(EventId::kRunStuck, run, id)
              .With("percent", seen.row.percent)
              .With("still_ms", ToMillis(now - seen.progressed_at)));
    }
  }
}

void GraphLeader::Decide(Time now,
                         WallMillis wall,
                         const GraphTable& table,
                         Time heard_until) {
  forecast_.Observe(now, table, out_.events);
  ExpireLeases(now, table, heard_until);
  StopStuckRuns(now, table, heard_until);
  if (placement_proposed_at_ &&
      *placement_proposed_at_ + kProposalTimeout > now) {
    return;
  }
  placement_proposed_at_.reset();
  if (options_.scheduling.room_for_urgent) {
    placement_.KeepHeadroom(urgent_room_.Headroom(now, table));
  }
  std::vector<RunPlacement> placements = placement_.Choose(
      now, wall, table, views_, pacer_.model(),
      options_.scheduling.learned_run_times ? &run_times_.model() : nullptr);
  LogWaits(now);
  StopForUrgent(now, table, placements);
  std::optional<PlaceCopies> copies = speculation_.Propose(
      now, wall, table, views_, pacer_.model(), placements);
  if (!placements.empty()) {
    placement_proposed_at_ = now;
    out_.proposals.emplace_back(PlaceRuns{std::move(placements)});
  }
  if (copies) {
    placement_proposed_at_ = now;
    out_.proposals.emplace_back(*std::move(copies));
  }
}

}  // namespace banyan
