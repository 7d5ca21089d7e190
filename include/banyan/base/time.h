#ifndef BANYAN_BASE_TIME_H_
#define BANYAN_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace banyan {

// A span of time in microseconds.
using Span = std::chrono::microseconds;

// The monotonic clock of one process. Its values mean nothing in another
// process; spans that arrive over the wire become deadlines on this clock.
struct MonotonicClock {
  using duration = Span;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The name is the standard library's.
  static constexpr bool is_steady = true;  // NOLINT

  // Returns the present time; it goes on while the process is stopped and
  // while the machine is suspended, so that leases run out meanwhile.
  [[nodiscard]] static time_point now() noexcept {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(
        std::chrono::duration_cast<Span>(std::chrono::seconds(at.tv_sec) +
                                         std::chrono::nanoseconds(at.tv_nsec)));
  }
};

// A point in time on the monotonic clock, in microseconds.
using Time = MonotonicClock::time_point;

static_assert(sizeof(Time) == 8, "times are copied by value everywhere");

// Milliseconds since the Unix epoch, for what must survive a restart.
using WallMillis = std::int64_t;

// Returns the present wall time.
[[nodiscard]] inline WallMillis WallNow() noexcept {
  using std::chrono::system_clock;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             system_clock::now().time_since_epoch())
      .count();
}

// Returns a span of so many milliseconds.
[[nodiscard]] constexpr Span Millis(std::int64_t count) noexcept {
  return std::chrono::milliseconds(count);
}

// Returns the span in whole milliseconds, rounded down.
[[nodiscard]] constexpr std::int64_t ToMillis(Span span) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace banyan

#endif  // BANYAN_BASE_TIME_H_
