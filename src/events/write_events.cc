#include <glog/logging.h>

#include "banyan/events/event.h"
#include "banyan/events/json_log.h"

namespace banyan {

void WriteEvents(std::span<const Event> events) {
  if (IsJsonLogStarted()) {
    WriteJsonEvents(events);
    return;
  }
  for (const Event& event : events) {
    LOG(INFO) << event.text();
  }
}

}  // namespace banyan
