#include "banyan/graph/run_time_observer.h"

#include <cmath>

namespace banyan {
namespace {

// Interval at which what is known of ended graphs is dropped.
constexpr Duration kSweepInterval = std::chrono::seconds(1);
// Interval at which what was learned is logged.
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

void RunTimeObserver::OnSync(Time now,
                             const GraphTable& table,
                             const GraphWorkerView& view,
                             const WorkerSync& sync,
                             Events& events) {
  // The worked time of a run that started from a checkpoint is not learned,
  // since part of its task was done before; its percentage counts.
  for (const RunStatus& row : sync.running) {
    if (!table.IsCurrent(row.run, view.life)) {
      continue;
    }
    const bool is_whole = table.FindTask(row.run.task)->checkpoint.empty();
    const WorkedTime* time = Advance(now, view, row.run);
    // An old list has an old percentage.
    if (!view.is_new_list) {
      continue;
    }
    model_.OnProgress(table.FindGraph(row.run.task.graph)->queue.name,
                      row.run.task, *table.FindStep(row.run.task),
                      time != nullptr && is_whole ? time->worked : Duration{},
                      row.percent);
  }
  for (const EndedRun& row : sync.ended) {
    // An end is reported until it is committed, and counts once.
    if (row.number <= 0 || !table.IsCurrent(row.run, view.life) ||
        (row.number <= view.proposed_end && !runs_.contains(row.run))) {
      continue;
    }
    const WorkedTime* time = Advance(now, view, row.run);
    if (row.reason == RunEndReason::kDone && time != nullptr &&
        table.FindTask(row.run.task)->checkpoint.empty()) {
      model_.OnRunDone(table.FindGraph(row.run.task.graph)->queue.name,
                       row.run.task, *table.FindStep(row.run.task),
                       time->worked);
    }
    runs_.erase(row.run);
  }
  if (swept_at_ + kSweepInterval <= now) {
    Sweep(now, table);
  }
  if (logged_at_ + kLogInterval <= now) {
    Log(now, events);
  }
}

const RunTimeObserver::WorkedTime* RunTimeObserver::Advance(
    Time now,
    const GraphWorkerView& view,
    const RunRef& run) {
  auto time = runs_.find(run);
  if (time == runs_.end()) {
    const auto started = view.start_sent_at.find(run);
    if (started == view.start_sent_at.end()) {
      return nullptr;
    }
    time = runs_.emplace(run, WorkedTime{started->second}).first;
  }
  std::int64_t percent = kFullPercent;
  if (const auto seen = view.runs.find(run); seen != view.runs.end()) {
    percent = seen->second.share_percent;
  } else if (const auto share = view.starting_percent.find(run);
             share != view.starting_percent.end()) {
    percent = share->second;
  }
  time->second.worked +=
      (now - time->second.counted_until) * percent / kFullPercent;
  time->second.counted_until = now;
  return &time->second;
}

void RunTimeObserver::Sweep(Time now, const GraphTable& table) {
  swept_at_ = now;
  std::erase_if(runs_, [&](const auto& item) {
    const TaskProgress* task = table.FindTask(item.first.task);
    return task == nullptr || task->phase != TaskPhase::kRunning ||
           task->run != item.first.run;
  });
  model_.RetainOnly(table);
}

void RunTimeObserver::Log(Time now, Events& events) {
  logged_at_ = now;
  for (const auto& [name, times] : model_.queues()) {
    events.push_back(
        Event(EventId::kRunTimesLearned)
            .With("queue", name)
            .With("count", std::llround(times.real.weight()))
            .With("mean_ms", std::llround(std::exp(times.real.mean())))
            .With("spread_percent",
                  std::llround(100 * std::sqrt(times.real.variance())))
            .With("ratio_percent",
                  std::llround(100 * std::exp(times.ratio.mean())))
            .With("ratio_spread_percent",
                  std::llround(100 * std::sqrt(times.ratio.variance())))
            .With("declared_used", times.is_declared_accurate() ? 1 : 0));
  }
}

}  // namespace banyan
