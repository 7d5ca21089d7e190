#ifndef BANYAN_PROCESS_TURN_MONITOR_H_
#define BANYAN_PROCESS_TURN_MONITOR_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"

namespace banyan {

// Returns the processor time that the calling thread has used, or nullopt where
// the system doesn't tell.
[[nodiscard]] std::optional<Duration> ThreadCpuTime() noexcept;

// Measures the turns of a process's main loop. A turn reads all input that has
// arrived, handles it and carries out what follows from it; what arrives
// meanwhile waits for the next turn.
class TurnMonitor {
 public:
  // `loop` names the loop in the events.
  explicit TurnMonitor(std::string loop) : loop_(std::move(loop)) {}

  // Starts a turn that handles `inputs` inputs. The wait for them was to end at
  // `wait_deadline`. `cpu` is the processor time of the thread so far.
  void Begin(Time now,
             Time wait_deadline,
             std::size_t inputs,
             std::optional<Duration> cpu);

  // Records that one input has been handled. `kind` must outlive the turn.
  void OnInputHandled(Time now, std::string_view kind);

  // Ends a part of the turn. `part` must outlive the turn.
  void EndPart(Time now, std::string_view part);

  // Ends the turn. Returns an event if the turn took long, or if it began long
  // after the wait for input was to end.
  [[nodiscard]] std::optional<Event> End(Time now, std::optional<Duration> cpu);

  // How long the latest turn took.
  [[nodiscard]] Duration took() const noexcept { return took_; }

 private:
  struct Part {
    std::string_view name;
    Duration took;
  };

  std::string loop_;
  Time began_at_;
  Time part_began_at_;
  Time input_began_at_;
  Duration began_late_{0};
  std::optional<Duration> cpu_at_begin_;
  std::size_t inputs_ = 0;
  Part slowest_input_;
  std::vector<Part> parts_;
  Duration took_{0};
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_TURN_MONITOR_H_
