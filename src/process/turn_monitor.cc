#include "banyan/process/turn_monitor.h"

#include <ctime>

namespace banyan {
namespace {

// Turns that take longer, or begin later, are logged.
constexpr Duration kLongTurn = Millis(100);

}  // namespace

std::optional<Duration> ThreadCpuTime() noexcept {
  timespec used{};
  if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(used.tv_sec) +
      std::chrono::nanoseconds(used.tv_nsec));
}

void TurnMonitor::Begin(Time now,
                        Time wait_deadline,
                        std::size_t inputs,
                        std::optional<Duration> cpu) {
  began_at_ = now;
  part_began_at_ = now;
  input_began_at_ = now;
  began_late_ = now > wait_deadline ? now - wait_deadline : Duration::zero();
  cpu_at_begin_ = cpu;
  inputs_ = inputs;
  slowest_input_ = {};
  parts_.clear();
}

void TurnMonitor::OnInputHandled(Time now, std::string_view kind) {
  const Duration took = now - input_began_at_;
  input_began_at_ = now;
  if (took > slowest_input_.took) {
    slowest_input_ = {kind, took};
  }
}

void TurnMonitor::EndPart(Time now, std::string_view part) {
  parts_.push_back({part, now - part_began_at_});
  part_began_at_ = now;
}

std::optional<Event> TurnMonitor::End(Time now, std::optional<Duration> cpu) {
  took_ = now - began_at_;
  if (took_ < kLongTurn && began_late_ < kLongTurn) {
    return std::nullopt;
  }
  Event event = Event(EventId::kTurnLong)
                    .With("loop", loop_)
                    .With("took_ms", ToMillis(took_))
                    .With("late_ms", ToMillis(began_late_))
                    .With("inputs", inputs_);
  const auto add = [&event](std::string_view key, Duration value) {
    event = Event(std::move(event)).With(key, ToMillis(value));
  };
  if (cpu && cpu_at_begin_) {
    add("cpu_ms", *cpu - *cpu_at_begin_);
  }
  for (const Part& part : parts_) {
    add(std::string(part.name) + "_ms", part.took);
  }
  if (!slowest_input_.name.empty()) {
    event = Event(std::move(event))
                .With("slowest_input", slowest_input_.name)
                .With("slowest_input_ms", ToMillis(slowest_input_.took));
  }
  return event;
}

}  // namespace banyan
