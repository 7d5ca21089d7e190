#ifndef BANYAN_GRAPH_STEP_LENGTH_H_
#define BANYAN_GRAPH_STEP_LENGTH_H_

#include <cmath>
#include <cstdint>

namespace banyan {

// Returns the expected maximum of `count` standard normal values; within 0.06
// for up to 100.
[[nodiscard]] inline double ExpectedNormalMaximum(std::int64_t count) {
  constexpr double kOffset = 0.6;
  return count < 2
             ? 0
             : std::sqrt(2 * std::log(static_cast<double>(count))) - kOffset;
}

// Returns the expected run time of the longest of `count` tasks whose run times
// are log-normal, in milliseconds. A step takes that long if all of its tasks
// run side by side, and latency objectives count it.
[[nodiscard]] inline double LongestRunMs(double median_ms,
                                         double log_deviation,
                                         std::int64_t count) {
  return median_ms * std::exp(log_deviation * ExpectedNormalMaximum(count));
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_STEP_LENGTH_H_
