#ifndef BANYAN_GRAPH_QUEUE_MATCH_H_
#define BANYAN_GRAPH_QUEUE_MATCH_H_

#include <optional>
#include <string>
#include <string_view>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// The queue that a path belongs to, and what follows the queue's prefix.
struct QueueMatch {
  const QueueSpec* queue = nullptr;
  std::string_view remaining_path;
};

// Returns the queue of a host with the longest prefix of the path; nothing if
// there is none. A port in the host is ignored.
[[nodiscard]] std::optional<QueueMatch> MatchQueue(const ServicePlan& plan,
                                                   std::string_view host,
                                                   std::string_view path);

// Returns the moment by which a call on a queue is answered: the queue's
// timeout or, if that is less, what the caller says it waits (0 says nothing),
// less some time for the way back.
[[nodiscard]] Time AnswerDeadline(const QueueSpec& queue,
                                  std::int64_t requested_ms,
                                  Time now);

// Returns why a plan can't be put in force; nothing when it can.
[[nodiscard]] std::optional<std::string> ValidatePlan(const ServicePlan& plan);

// Returns why a job graph makes no sense; nothing when it does.
[[nodiscard]] std::optional<std::string> ValidateGraph(const GraphSpec& spec);

}  // namespace banyan

#endif  // BANYAN_GRAPH_QUEUE_MATCH_H_
