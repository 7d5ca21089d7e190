#include "banyan/graph/queue_match.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyan {
namespace {

// Limits on one job graph, so that a single graph can't fill the table.
constexpr std::int64_t kMaxTasks = 20000;
constexpr std::size_t kMaxSteps = 200;
constexpr std::int64_t kMaxOccurrences = 1000;

// Part of a caller's timeout reserved for transferring the answer.
constexpr Duration kAnswerTransferMargin = Millis(60);

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
    if (queue.timeout_ms <= 0) {
      return "queue '" + queue.name + "' has no timeout";
    }
  }
  return std::nullopt;
}

std::optional<std::string> ValidateGraph(const GraphSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return "the number of steps is out of range";
  }
  if (spec.occurrences < 0 || spec.occurrences > kMaxOccurrences ||
      (spec.occurrences > 0 && spec.interval_ms < 0)) {
    return "the schedule is out of range";
  }
  std::int64_t tasks = 0;
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    const StepSpec& step = spec.steps[s];
    tasks += step.count;
    if (step.count < 1 || tasks > kMaxTasks) {
      return "the number of tasks is out of range";
    }
    if (!IsNonNegative(step.needs)) {
      return "a step needs less than nothing";
    }
    const bool depends_on_earlier = std::all_of(
        step.depends_on.begin(), step.depends_on.end(), [&](auto dependency) {
          return dependency >= 0 && dependency < static_cast<std::int64_t>(s);
        });
    if (!depends_on_earlier) {
      return "a step comes after one that is not before it";
    }
  }
  return std::nullopt;
}

}  // namespace banyan
