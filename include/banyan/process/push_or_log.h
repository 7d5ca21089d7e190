#ifndef BANYAN_PROCESS_PUSH_OR_LOG_H_
#define BANYAN_PROCESS_PUSH_OR_LOG_H_

#include <string_view>
#include <type_traits>
#include <utility>

#include "banyan/base/bounded_ring.h"
#include "banyan/events/event.h"

namespace banyan {

// Adds an item to a ring. If the ring is full or closed, drops the item and
// logs the name of the ring.
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
