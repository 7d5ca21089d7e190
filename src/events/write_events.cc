#include <glog/logging.h>

#include "banyan/events/event.h"

namespace banyan {

void WriteEvents(std::span<const Event> events) {
  for (const Event& event : events) {
    LOG(INFO) << event.text();
  }
}

}  // namespace banyan
