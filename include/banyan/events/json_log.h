#ifndef BANYAN_EVENTS_JSON_LOG_H_
#define BANYAN_EVENTS_JSON_LOG_H_

#include <cstdint>
#include <span>
#include <string>

#include "banyan/base/time.h"
#include "banyan/events/event.h"

namespace banyan {

// Starts to write the events of this process to standard output as JSON lines,
// on a background thread. The queue is bounded: if it is full, the oldest lines
// are dropped and counted, so callers never block.
void StartJsonLog(const std::string& program);

// Returns whether events are written to standard output.
[[nodiscard]] bool IsJsonLogStarted() noexcept;

// Queues the events for writing. The JSON log must be started.
void WriteJsonEvents(std::span<const Event> events);

// Returns the number of lines that were dropped because the queue was full.
[[nodiscard]] std::uint64_t DroppedLogLines();

// Writes the queued lines and stops the background thread.
void StopJsonLog();

// Returns an event as a JSON object: the time in milliseconds since the epoch,
// its name and number, and its fields as strings, sorted by key.
[[nodiscard]] std::string ToJsonLine(const Event& event, WallMillis time);

}  // namespace banyan

#endif  // BANYAN_EVENTS_JSON_LOG_H_
