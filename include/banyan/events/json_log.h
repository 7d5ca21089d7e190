#ifndef BANYAN_EVENTS_JSON_LOG_H_
#define BANYAN_EVENTS_JSON_LOG_H_

#include <cstdint>
#include <span>
#include <string>

#include "banyan/base/time.h"
#include "banyan/events/event.h"

namespace banyan {

// Sends this process's events to standard output, one JSON object a line, from
// a thread of their own. The queue is bounded: when it is full the oldest lines
// are dropped and counted, and no caller ever waits.
void StartJsonLog(const std::string& program);

// Whether events go to standard output.
[[nodiscard]] bool IsJsonLogStarted() noexcept;

// Queues the events.
void WriteJsonEvents(std::span<const Event> events);

// Lines that were dropped because the queue was full.
[[nodiscard]] std::uint64_t DroppedLogLines();

// Writes what is queued.
void StopJsonLog();

// Returns the line of an event: its time in milliseconds since the epoch, its
// name and number, and its fields as texts.
[[nodiscard]] std::string ToJsonLine(const Event& event, WallMillis time);

}  // namespace banyan

#endif  // BANYAN_EVENTS_JSON_LOG_H_
