#include "banyan/graph/queue_match.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

#include "banyan/wire/field_limits.h"
#include "banyan/wire/plan_codec.h"

namespace banyan {
namespace {

// Limits on one job graph, so that a single graph can't fill the table.
constexpr std::int64_t kMaxTasks = 20000;
constexpr std::size_t kMaxSteps = 200;
constexpr std::int64_t kMaxOccurrences = 1000;
// Tasks of all occurrences, which are allocated at once; more than the 74,000
// that a cell is designed to run.
constexpr std::int64_t kMaxScheduledTasks = 100000;
// Run time of all tasks of an occurrence, in milliseconds of a thousandth of a
// core: 30,000 years of a core. Sums of it do not overflow.
constexpr std::int64_t kMaxWork = 1'000'000'000'000'000'000;

// Limits on one queue.
constexpr std::int64_t kMaxPriority = 1'000'000;
constexpr std::int64_t kMaxAttempts = 1'000'000;
constexpr double kMaxStretch = 1000;

// Part of a caller's timeout reserved for transferring the answer.
constexpr Duration kAnswerTransferMargin = Millis(60);

// Returns the work of a step, or one more than the maximum if it is more than
// that. The fields of the step are within their limits.
std::int64_t WorkOf(const StepSpec& step) {
  const std::int64_t rate = step.needs.cpu_millis * step.count;
  return rate > 0 && step.estimate_ms > kMaxWork / rate
             ? kMaxWork + 1
             : rate * step.estimate_ms;
}

std::optional<std::string> ValidateQueue(const QueueSpec& queue) {
  if (queue.timeout_ms <= 0) {
    return "no timeout";
  }
  if (queue.timeout_ms > kMaxDurationMs ||
      !IsUpTo(queue.slo_ms, kMaxDurationMs)) {
    return "a time out of range";
  }
  // Also refuses what is not a number.
  const bool is_stretch = queue.stretch >= 0 && queue.stretch <= kMaxStretch;
  if (!is_stretch || !IsUpTo(queue.priority, kMaxPriority)) {
    return "a stretch or a priority out of range";
  }
  if (queue.max_attempts < 1 || queue.max_attempts > kMaxAttempts) {
    return "a number of attempts out of range";
  }
  return std::nullopt;
}

std::optional<std::string> ValidateStep(const StepSpec& step,
                                        std::size_t index) {
  if (step.count < 1 || step.count > kMaxTasks) {
    return "the number of tasks is out of range";
  }
  if (!IsWithinLimits(step.needs)) {
    return "the needs of a step are out of range";
  }
  if (!IsUpTo(step.estimate_ms, kMaxDurationMs) ||
      !IsUpTo(step.latency_target_ms, kMaxDurationMs)) {
    return "a time of a step is out of range";
  }
  if (!IsUpTo(step.per_worker_limit, kMaxCounter) ||
      !IsUpTo(step.max_unavailable.value_or(0), kMaxCounter)) {
    return "a limit of a step is out of range";
  }
  const bool depends_on_earlier = std::all_of(
      step.depends_on.begin(), step.depends_on.end(), [&](auto dependency) {
        return dependency >= 0 && dependency < static_cast<std::int64_t>(index);
      });
  if (!depends_on_earlier || step.depends_on.size() > index) {
    return "a step comes after one that is not before it, or twice after one";
  }
  return std::nullopt;
}

}  // namespace

Time AnswerDeadline(const QueueSpec& queue,
                    std::int64_t requested_ms,
                    Time now) {
  const Duration budget =
      Millis(requested_ms > 0 ? std::min(queue.timeout_ms, requested_ms)
                              : queue.timeout_ms);
  return now + std::max(budget - kAnswerTransferMargin, budget / 2);
}

std::optional<QueueMatch> MatchQueue(const ServicePlan& plan,
                                     std::string_view host,
                                     std::string_view path) {
  host = host.substr(0, host.find(':'));
  std::optional<QueueMatch> best;
  for (const QueueSpec& queue : plan.queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) {
      continue;
    }
    if (!best || queue.path_prefix.size() > best->queue->path_prefix.size()) {
      best = {&queue, path.substr(queue.path_prefix.size())};
    }
  }
  return best;
}

std::optional<std::string> ValidatePlan(const ServicePlan& plan) {
  std::set<std::string> pools;
  for (const PoolSpec& pool : plan.pools) {
    pools.insert(pool.name);
  }
  std::set<std::pair<std::string, std::string>> routes;
  for (const QueueSpec& queue : plan.queues) {
    if (!pools.contains(queue.service)) {
      return "queue '" + queue.name + "' names an unknown service";
    }
    if (!routes.emplace(queue.host, queue.path_prefix).second) {
      return "queue '" + queue.name + "' shares its place with another one";
    }
    if (const auto fault = ValidateQueue(queue)) {
      return "queue '" + queue.name + "' has " + *fault;
    }
  }
  return std::nullopt;
}

std::optional<std::string> ValidatePlanSize(const ServicePlan& plan) {
  const std::size_t bytes = EncodePlan(plan).bytes.size();
  if (bytes <= kMaxEncodedPlanBytes) {
    return std::nullopt;
  }
  return "the plan takes " + std::to_string(bytes) +
         " bytes to send, and gateways are reached in time by " +
         std::to_string(kMaxEncodedPlanBytes);
}

std::optional<std::string> ValidateGraph(const GraphSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return "the number of steps is out of range";
  }
  if (!IsUpTo(spec.occurrences, kMaxOccurrences) ||
      !IsUpTo(spec.interval_ms, kMaxDurationMs) ||
      !IsUpTo(spec.first_due_at, kMaxWallMillis)) {
    return "the schedule is out of range";
  }
  std::int64_t tasks = 0;
  std::int64_t work = 0;
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    if (auto fault = ValidateStep(spec.steps[s], s)) {
      return fault;
    }
    tasks += spec.steps[s].count;
    work += WorkOf(spec.steps[s]);
    if (tasks > kMaxTasks ||
        tasks * std::max<std::int64_t>(spec.occurrences, 1) >
            kMaxScheduledTasks) {
      return "the number of tasks is out of range";
    }
    if (work > kMaxWork) {
      return "the work is out of range";
    }
  }
  return std::nullopt;
}

}  // namespace banyan
