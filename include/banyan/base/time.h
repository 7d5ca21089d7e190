#ifndef BANYAN_BASE_TIME_H_
#define BANYAN_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace banyan {

// A duration in microseconds.
using Duration = std::chrono::microseconds;

// A monotonic clock. Its values are not comparable between machines, so
// messages carry durations, which the receiver turns into deadlines on its own
// clock.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // Named as the standard library's clock requirements prescribe.
  static constexpr bool is_steady = true;  // NOLINT

  // Returns the current time. CLOCK_BOOTTIME also advances while the machine is
  // suspended, so leases expire during a suspend or while the process is
  // stopped.
  [[nodiscard]] static time_point now() noexcept {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(at.tv_sec) +
        std::chrono::nanoseconds(at.tv_nsec)));
  }
};

// A point in time on the monotonic clock, in microseconds.
using Time = MonotonicClock::time_point;

static_assert(sizeof(Time) == 8, "Time is passed by value");

// Milliseconds since the Unix epoch, for times that must survive a restart.
using WallMillis = std::int64_t;

// Returns the current wall-clock time.
[[nodiscard]] inline WallMillis WallNow() noexcept {
  using std::chrono::system_clock;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             system_clock::now().time_since_epoch())
      .count();
}

// Returns a duration of `count` milliseconds.
[[nodiscard]] constexpr Duration Millis(std::int64_t count) noexcept {
  return std::chrono::milliseconds(count);
}

// Converts to whole milliseconds, truncating towards zero.
[[nodiscard]] constexpr std::int64_t ToMillis(Duration span) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace banyan

#endif  // BANYAN_BASE_TIME_H_
