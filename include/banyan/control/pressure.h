#ifndef BANYAN_CONTROL_PRESSURE_H_
#define BANYAN_CONTROL_PRESSURE_H_

#include <concepts>
#include <cstdint>

#include "banyan/base/time.h"

namespace banyan {

// What lagging reports tell about the pressure on one worker.
struct PressureView {
  // Successive reports above the preset's mark, and well below it.
  int reports_above = 0;
  int reports_below = 0;
  // Successive reports of a service on the worker that it is slow.
  int slow_reports = 0;
  // The share that batch tasks have here, in percent.
  std::int64_t batch_share = 100;
  // Whether the last eviction on this worker is long enough ago.
  bool is_cooled_down = true;
};

// What to do about it.
enum class PressureStep : std::uint8_t {
  kNothing,
  kThrottle,
  kEvict,
  kRelease
};

// A policy decides from one worker's reports.
template <typename P>
concept PressurePolicy = requires(P policy, const PressureView& view) {
  { policy.Step(view) } -> std::same_as<PressureStep>;
};

// The least share that a throttle leaves to batch tasks, in percent.
inline constexpr std::int64_t kLeastBatchShare = 25;
inline constexpr std::int64_t kFullBatchShare = 100;

// Throttles first, all batch tasks of the worker at once, and evicts only under
// pressure that lasts at the least share. Each step waits until reports can
// show what the one before it did; hysteresis keeps waves of noise from causing
// evictions.
class HysteresisPressure {
 public:
  [[nodiscard]] constexpr PressureStep Step(
      const PressureView& view) const noexcept {
    if (view.reports_above >= kThrottleAfterReports ||
        view.slow_reports >= kThrottleAfterReports) {
      if (view.batch_share > kLeastBatchShare) {
        return PressureStep::kThrottle;
      }
      const bool is_lasting = view.reports_above >= kEvictAfterReports;
      return is_lasting && view.is_cooled_down ? PressureStep::kEvict
                                               : PressureStep::kNothing;
    }
    const bool is_over = view.batch_share < kFullBatchShare &&
                         view.reports_below >= kReleaseAfterReports &&
                         view.slow_reports == 0;
    return is_over ? PressureStep::kRelease : PressureStep::kNothing;
  }

 private:
  static constexpr int kThrottleAfterReports = 2;
  static constexpr int kEvictAfterReports = 8;
  static constexpr int kReleaseAfterReports = 2;
};

// Baseline: evicts at the first report above the mark.
class EvictAtOnce {
 public:
  [[nodiscard]] constexpr PressureStep Step(
      const PressureView& view) const noexcept {
    return view.reports_above > 0 ? PressureStep::kEvict
                                  : PressureStep::kNothing;
  }
};

static_assert(PressurePolicy<HysteresisPressure>);
static_assert(PressurePolicy<EvictAtOnce>);

}  // namespace banyan

#endif  // BANYAN_CONTROL_PRESSURE_H_
