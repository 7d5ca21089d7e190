#ifndef BANYAN_EVENTS_H_
#define BANYAN_EVENTS_H_

// Umbrella header: structured log events.

#include "banyan/events/event.h"
#include "banyan/events/json_log.h"

#endif  // BANYAN_EVENTS_H_
