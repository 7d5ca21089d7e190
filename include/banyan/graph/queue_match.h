#ifndef BANYAN_GRAPH_QUEUE_MATCH_H_
#define BANYAN_GRAPH_QUEUE_MATCH_H_

#include <optional>
#include <string>
#include <string_view>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// The queue that a path belongs to, and the path after the queue's prefix.
struct QueueMatch {
  const QueueSpec* queue = nullptr;
  std::string_view remaining_path;
};

// Returns the queue on a host whose prefix is the longest match for the path;
// empty if none matches. A port in the host is ignored.
[[nodiscard]] std::optional<QueueMatch> MatchQueue(const ServicePlan& plan,
                                                   std::string_view host,
                                                   std::string_view path);

// Returns the deadline for answering a call on a queue: the queue's timeout or
// the caller's timeout if that is shorter (0 for none), less a margin for
// transferring the answer.
[[nodiscard]] Time AnswerDeadline(const QueueSpec& queue,
                                  std::int64_t requested_ms,
                                  Time now);

// Returns why a plan is invalid; empty when it is valid.
[[nodiscard]] std::optional<std::string> ValidatePlan(const ServicePlan& plan);

// Returns why a valid plan is too large to reach all gateways within the bound
// on changes; empty when it is not.
[[nodiscard]] std::optional<std::string> ValidatePlanSize(
    const ServicePlan& plan);

// Returns why a job graph is invalid; empty when it is valid.
[[nodiscard]] std::optional<std::string> ValidateGraph(const GraphSpec& spec);

}  // namespace banyan

#endif  // BANYAN_GRAPH_QUEUE_MATCH_H_
