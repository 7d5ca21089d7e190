#ifndef BANYAN_GRAPH_CALL_EVENT_H_
#define BANYAN_GRAPH_CALL_EVENT_H_

#include <optional>

#include "banyan/events/event.h"
#include "banyan/graph/run_call.h"

namespace banyan {

// Returns the event for a call that renews the lease or acknowledges ends and
// that the incarnation it was addressed to has not answered. That one or a
// later one may have carried it out, or may still do so. Returns nothing for
// other calls, and for calls that never reached the worker.
[[nodiscard]] std::optional<Event> UnconfirmedCallEvent(
    const RunCallReply& reply);

// Returns the event for an answered list call: the lease that it carried,
// beside the worker's clock in the answer.
[[nodiscard]] Event ConfirmedLeaseEvent(const RunCallReply& reply);

}  // namespace banyan

#endif  // BANYAN_GRAPH_CALL_EVENT_H_
