#include "banyan/graph/call_event.h"

#include <cstdint>
#include <utility>

namespace banyan {
namespace {

// Adds the lease that a call carried; 0 stands for none.
Event WithLease(Event event, const RunCallReply& reply) {
  const std::int64_t left_ms =
      reply.lease_until_ms ? ToMillis(reply.lease_deadline - reply.sent_at) : 0;
  return std::move(event)
      .With("token", reply.fencing_token)
      .With("lease_until_ms", reply.lease_until_ms.value_or(0))
      .With("lease_left_ms", left_ms);
}

}  // namespace

std::optional<Event> UnconfirmedCallEvent(const RunCallReply& reply) {
  const bool is_list = reply.op == RunCallOp::kListRuns;
  const bool renews_lease =
      reply.lease_until_ms && (is_list || reply.op == RunCallOp::kStart);
  const bool acknowledges_ends = is_list && reply.last_committed_end > 0;
  if (!renews_lease && !acknowledges_ends) {
    return std::nullopt;
  }
  const bool is_denied =
      reply.answered && reply.refusal == RunRefusal::kOtherIncarnation;
  const bool is_unanswered =
      !reply.answered && reply.failure != CallFailure::kNotSent;
  if (!is_denied && !is_unanswered) {
    return std::nullopt;
  }
  return WithLease(Event(EventId::kCallUnconfirmed)
                       .With("op", ToString(reply.op))
                       .With("worker", reply.incarnation.id)
                       .With("born", reply.incarnation.started_at_ms),
                   reply)
      .With("committed", is_list ? reply.last_committed_end : 0)
      .With("failure",
            is_denied ? ToString(reply.refusal) : ToString(reply.failure))
      .With("answering_born", reply.answering_start_ms.value_or(0))
      .With("age_ms", ToMillis(reply.received_at - reply.sent_at));
}

Event ConfirmedLeaseEvent(const RunCallReply& reply) {
  return WithLease(Event(EventId::kLeaseConfirmed)
                       .With("worker", reply.incarnation.id)
                       .With("born", reply.incarnation.started_at_ms),
                   reply)
      .With("clock_ms", reply.clock_ms.value_or(0))
      .With("age_ms", ToMillis(reply.received_at - reply.sent_at));
}

}  // namespace banyan
