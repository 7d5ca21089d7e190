#ifndef BANYAN_PROCESS_PUSH_OR_LOG_H_
#define BANYAN_PROCESS_PUSH_OR_LOG_H_

#include <string_view>
#include <type_traits>
#include <utility>

#include "banyan/base/bounded_ring.h"
#include "banyan/events/event.h"

namespace banyan {

// Adds an item to a ring; a ring that is full or closed drops it with a log
// line that bears the ring's name.
template <typename T>
void PushOrLog(BoundedRing<T>& ring,
               std::type_identity_t<T> item,
               std::string_view name) {
  if (!ring.TryPush(std::move(item))) {
    WriteEvent(Event(EventId::kRingFull).With("ring", name));
  }
}

}  // namespace banyan

#endif  // BANYAN_PROCESS_PUSH_OR_LOG_H_
