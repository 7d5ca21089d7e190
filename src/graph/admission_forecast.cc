#include "banyan/graph/admission_forecast.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/graph/placement_order.h"
#include "banyan/graph/urgency.h"

namespace banyan {
namespace {

// Declared run times are off by a factor of two and more, so a forecast must
// exceed the limit by this factor.
constexpr double kUncertaintyFactor = 2;
// Backlog up to which nothing is refused.
constexpr double kMinBacklogMs = 2000;
// Bounds of the time after which a caller is told to return. A longer forecast
// is too uncertain to send a caller away for.
constexpr std::int64_t kMinRetryAfterMs = 1000;
constexpr std::int64_t kMaxRetryAfterMs = 60000;
// Part of its processors that a pool must use for the work of a graph's kind;
// below it the pool is idle, and what waits waits for another reason.
constexpr double kMinBestEffortFraction = 0.1;
// Interval between two reports of how often the forecast was wrong.
constexpr Duration kReportInterval = std::chrono::seconds(10);
// Maximum number of refusals remembered for each queue.
constexpr std::size_t kMaxRefusals = 1000;

std::int64_t WorkPerTask(const StepSpec& step) {
  return step.estimate_ms * step.needs.cpu_millis;
}

// Whether the forecast may refuse a graph. Long-running and latency-sensitive
// tasks don't wait for a backlog, and a scheduled job starts later.
bool IsSubject(const GraphSpec& spec) {
  return spec.occurrences == 0 &&
         std::none_of(spec.steps.begin(), spec.steps.end(),
                      [](const StepSpec& step) {
                        return step.long_running || step.latency_target_ms > 0;
                      });
}

bool IsBestEffort(const GraphSpec& spec) {
  return std::all_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) { return step.best_effort; });
}

// Whether a pool has no workers or uses too little of its processors for a
// backlog to be due to a lack of them.
bool IsIdle(const GraphTable& table,
            std::string_view service,
            bool is_best_effort) {
  std::int64_t capacity = 0;
  std::int64_t committed = 0;
  std::int64_t fill = 0;
  for (const auto& [id, worker] : table.workers()) {
    if (worker.info.service == service) {
      capacity += worker.info.capacity.cpu_millis;
      committed += worker.committed.cpu_millis;
      fill += worker.fill_cpu_millis;
    }
  }
  const auto part = [&](double fraction) {
    return fraction * static_cast<double>(capacity);
  };
  if (capacity == 0) {
    return true;
  }
  return is_best_effort
             ? static_cast<double>(fill) < part(kMinBestEffortFraction)
             : static_cast<double>(committed + fill) < part(kBusyPoolFraction);
}

// Returns the graph that a submission would become.
Graph NewGraph(const SubmitGraph& submit,
               const QueueSpec& queue,
               WallMillis wall) {
  Graph graph;
  graph.spec = submit.spec;
  graph.queue = queue;
  graph.submitted_at = wall;
  OccurrenceProgress& steps = graph.occurrences.emplace_back();
  for (const StepSpec& step : submit.spec.steps) {
    steps.emplace_back().tasks.resize(static_cast<std::size_t>(step.count));
  }
  return graph;
}

// Returns the declared work of a graph's tasks that neither run nor are done.
std::int64_t UnstartedWork(const Graph& graph) {
  std::int64_t work = 0;
  for (const OccurrenceProgress& steps : graph.occurrences) {
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const auto unstarted =
          std::count_if(steps[s].tasks.begin(), steps[s].tasks.end(),
                        [](const TaskProgress& task) {
                          return task.phase == TaskPhase::kWaiting ||
                                 task.phase == TaskPhase::kReady;
                        });
      work += WorkPerTask(graph.spec.steps[s]) * unstarted;
    }
  }
  return work;
}

// What a graph waits for if its pool works at a rate.
struct Wait {
  std::int64_t work = 0;
  double ms = 0;
};

// Returns the wait behind the pool's graphs that are placed before `urgency`.
// A graph that has expired by its turn is placed behind the others of its
// priority, so its work is not waited for.
Wait WaitBehind(const std::vector<ReadyGraph>& order,
                const std::string& service,
                const Urgency& urgency,
                double rate,
                WallMillis wall) {
  Wait wait;
  for (const ReadyGraph& ready : order) {
    const Graph& graph = *ready.graph;
    if (graph.queue.service != service || !(ready.urgency < urgency) ||
        !IsSubject(graph.spec)) {
      continue;
    }
    const WallMillis turn = wall + static_cast<WallMillis>(wait.ms);
    if (ready.urgency.priority == urgency.priority &&
        ComputeUrgency(graph, turn).feasibility == Feasibility::kExpired) {
      continue;
    }
    wait.work += UnstartedWork(graph);
    wait.ms = static_cast<double>(wait.work) / rate;
  }
  return wait;
}

// Returns a hash that is the same in every build (FNV-1a).
std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

// Spreads the return of callers over half as much again.
std::int64_t RetryAfterMs(double wait_ms, std::string_view id) {
  const std::int64_t base =
      std::clamp(static_cast<std::int64_t>(
                     std::min(wait_ms, static_cast<double>(kMaxRetryAfterMs))),
                 kMinRetryAfterMs, kMaxRetryAfterMs);
  return base + static_cast<std::int64_t>(
                    HashOf(id) % static_cast<std::uint64_t>(base / 2 + 1));
}

// Returns the latest end at which a graph's result still counts.
WallMillis LimitOf(Graph graph) {
  // A final graph has no occurrences, which the urgency needs.
  graph = NewGraph({"", graph.spec}, graph.queue, graph.submitted_at);
  const Urgency urgency = ComputeUrgency(graph, graph.submitted_at);
  return graph.submitted_at +
         kLateObjectiveFactor *
             (urgency.objective_deadline - graph.submitted_at);
}

}  // namespace

void AdmissionForecast::Reset(Time now) {
  *this = AdmissionForecast(policy_);
  reported_at_ = now;
}

void AdmissionForecast::Observe(Time now,
                                const GraphTable& table,
                                Events& events) {
  if (!policy_.admission_forecast) {
    return;
  }
  std::set<std::string_view> waiting;
  for (const std::string& id : table.ready_graphs()) {
    const Graph& graph = *table.FindGraph(id);
    if (IsSubject(graph.spec)) {
      waiting.insert(graph.queue.service);
    }
  }
  for (const std::string_view service : waiting) {
    PoolLoad& pool = pools_[std::string(service)];
    pool.waiting_since = pool.waiting_since.value_or(now);
  }
  for (auto& [service, pool] : pools_) {
    if (!waiting.contains(service)) {
      pool.waiting_since.reset();
    }
    while (!pool.done.empty() && pool.done.front().at + kMaxRateSpan < now) {
      pool.done.pop_front();
    }
  }
  std::erase_if(pools_, [](const auto& pool) {
    return !pool.second.waiting_since && pool.second.done.empty();
  });
  if (reported_at_ + kReportInterval > now) {
    return;
  }
  reported_at_ = now;
  // Graphs that were cancelled or given up after a crash end without a row.
  std::erase_if(accepted_, [&](const std::string& id) {
    const Graph* graph = table.FindGraph(id);
    return graph == nullptr || IsFinal(graph->state);
  });
  const Counts counts = std::exchange(counts_, Counts{});
  if (counts.failed + counts.late + counts.refused + counts.refused_in_vain >
      0) {
    events.push_back(Event(EventId::kForecastMissed)
                         .With("accepted_failed", counts.failed)
                         .With("accepted_late", counts.late)
                         .With("refused", counts.refused)
                         .With("refused_in_vain", counts.refused_in_vain));
  }
}

void AdmissionForecast::OnApplied(Time now,
                                  const GraphTable& table,
                                  const Command& command) {
  if (!policy_.admission_forecast) {
    return;
  }
  if (const auto* submit = std::get_if<SubmitGraph>(&command)) {
    proposed_.erase(submit->id);
    const Graph* graph = table.FindGraph(submit->id);
    if (graph != nullptr && !IsFinal(graph->state) && IsSubject(graph->spec)) {
      accepted_.insert(submit->id);
    }
    return;
  }
  const auto* ends = std::get_if<EndRuns>(&command);
  if (ends == nullptr) {
    return;
  }
  for (const EndedRun& row : ends->rows) {
    const StepSpec* step = table.FindStep(row.run.task);
    const Graph* graph = table.FindGraph(row.run.task.graph);
    if (step == nullptr || graph == nullptr) {
      continue;
    }
    if (row.reason == RunEndReason::kDone && !step->long_running) {
      pools_[graph->queue.service].done.push_back({now, WorkPerTask(*step)});
    }
    if (IsFinal(graph->state) && accepted_.erase(row.run.task.graph) > 0) {
      OnGraphEnd(*graph);
    }
  }
}

void AdmissionForecast::OnGraphEnd(const Graph& graph) {
  if (graph.state == GraphState::kFailed) {
    ++counts_.failed;
    return;
  }
  if (graph.state != GraphState::kCompleted) {
    return;
  }
  if (graph.changed_at > LimitOf(graph)) {
    ++counts_.late;
    return;
  }
  // A later graph of the queue ended before the limit of a refused one, which
  // could have been served in its place.
  std::deque<Refusal>& refusals = refusals_[graph.queue.name];
  std::erase_if(refusals, [&](const Refusal& refusal) {
    return refusal.limit < graph.changed_at;
  });
  if (!refusals.empty() && refusals.front().at <= graph.submitted_at) {
    refusals.pop_front();
    ++counts_.refused_in_vain;
  }
}

std::optional<double> AdmissionForecast::RateOf(
    Time now,
    const std::string& service) const {
  const auto pool = pools_.find(service);
  if (pool == pools_.end() || !pool->second.waiting_since) {
    return std::nullopt;
  }
  const Time start = std::max(*pool->second.waiting_since, now - kMaxRateSpan);
  if (now - start < kMinRateSpan) {
    return std::nullopt;
  }
  double work = 0;
  for (const DoneWork& done : pool->second.done) {
    work += done.at >= start ? static_cast<double>(done.work) : 0;
  }
  return work / static_cast<double>(ToMillis(now - start));
}

std::optional<CommandResult> AdmissionForecast::Check(Time now,
                                                      WallMillis wall,
                                                      const GraphTable& table,
                                                      const SubmitGraph& submit,
                                                      Events& events) {
  const QueueSpec* queue = table.FindQueue(submit.spec.queue);
  if (!policy_.admission_forecast || queue == nullptr ||
      table.FindGraph(submit.id) != nullptr || proposed_.contains(submit.id)) {
    return std::nullopt;
  }
  const auto measured_rate = RateOf(now, queue->service);
  const bool is_best_effort = IsBestEffort(submit.spec);
  if (!measured_rate || !IsSubject(submit.spec) ||
      IsIdle(table, queue->service, is_best_effort)) {
    proposed_.insert(submit.id);
    return std::nullopt;
  }
  // The rate is in declared work, as the backlog, so that an error common to
  // all run times cancels out. It is no less than what runs now.
  const auto usages = PoolUsages(table);
  const auto drain_rate =
      static_cast<double>(usages.at(queue->service).drain_rate);
  const double rate = std::max({*measured_rate, drain_rate, 1.0});
  const std::vector<ReadyGraph> order =
      OrderReadyGraphs(table, usages, policy_, wall);
  Urgency urgency = ComputeUrgency(NewGraph(submit, *queue, wall), wall);
  // Among graphs that are on time, the latest submission is last.
  urgency.submission_order = UINT64_MAX;
  const WallMillis objective_ms = urgency.objective_deadline - wall;
  // The wait if the pool works faster than measured by the uncertainty.
  Wait wait = WaitBehind(order, queue->service, urgency,
                         rate * kUncertaintyFactor, wall);
  if (policy_.backlog_forecast && is_best_effort &&
      static_cast<double>(wait.work + urgency.remaining_work) / drain_rate >
          static_cast<double>(objective_ms)) {
    // Placement ranks it among the late graphs.
    urgency.feasibility = Feasibility::kLate;
    wait = WaitBehind(order, queue->service, urgency, rate * kUncertaintyFactor,
                      wall);
  }
  const double wait_ms = wait.ms * kUncertaintyFactor;
  const auto limit_ms =
      static_cast<double>(kLateObjectiveFactor * objective_ms);
  if (wait_ms <= kMinBacklogMs || wait.ms <= limit_ms) {
    proposed_.insert(submit.id);
    return std::nullopt;
  }
  CommandResult refusal;
  refusal.error = ErrorKind::kOverloaded;
  refusal.text = "the work that waits ahead can't be done in time";
  refusal.retry_after_ms = RetryAfterMs(wait_ms - limit_ms, submit.id);
  ++counts_.refused;
  std::deque<Refusal>& refusals = refusals_[queue->name];
  refusals.push_back({wall, wall + kLateObjectiveFactor * objective_ms});
  if (refusals.size() > kMaxRefusals) {
    refusals.pop_front();
  }
  events.push_back(Event(EventId::kGraphRefused)
                       .With("request", submit.id)
                       .With("queue", queue->name)
                       .With("ahead_cpu_ms", wait.work / 1000)
                       .With("rate_cpu_millis", static_cast<std::int64_t>(rate))
                       .With("wait_ms", static_cast<std::int64_t>(wait_ms))
                       .With("objective_ms", objective_ms)
                       .With("retry_after_ms", refusal.retry_after_ms)
                       .With("reason", refusal.text));
  return refusal;
}

std::optional<std::size_t> FindOversizedStep(
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const QueueSpec& queue,
    const GraphSpec& spec) {
  bool has_worker = false;
  std::vector<bool> fits(spec.steps.size(), false);
  for (const auto& [id, worker] : table.workers()) {
    if (worker.info.service != queue.service) {
      continue;
    }
    has_worker = true;
    // A capacity that has shrunk may grow again.
    const auto view = views.find(id);
    const Resources capacity =
        view == views.end() || view->second.life != worker.info.life
            ? worker.info.capacity
            : Max(worker.info.capacity, view->second.largest_capacity);
    for (std::size_t s = 0; s < fits.size(); ++s) {
      fits[s] = fits[s] || Fits(ReservedResources(spec.steps[s]), capacity);
    }
  }
  const auto unfit_step = std::find(fits.begin(), fits.end(), false);
  if (!has_worker || unfit_step == fits.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(unfit_step - fits.begin());
}

}  // namespace banyan
