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
  // Whether any task of the worker is throttled, and whether the next victim
  // is.
  bool has_throttled = false;
  bool is_victim_throttled = false;
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

// Throttles first and evicts only under lasting pressure. Hysteresis keeps
// waves of noise from causing evictions.
class HysteresisPressure {
 public:
  [[nodiscard]] constexpr PressureStep Step(
      const PressureView& view) const noexcept {
    if (view.has_throttled && view.reports_below >= kReleaseAfterReports) {
      return PressureStep::kRelease;
    }
    if (view.reports_above < kThrottleAfterReports) {
      return PressureStep::kNothing;
    }
    if (!view.is_victim_throttled) {
      return PressureStep::kThrottle;
    }
    const bool is_lasting = view.reports_above >= kEvictAfterReports;
    return is_lasting && view.is_cooled_down ? PressureStep::kEvict
                                             : PressureStep::kNothing;
  }

 private:
  static constexpr int kThrottleAfterReports = 2;
  static constexpr int kEvictAfterReports = 5;
  static constexpr int kReleaseAfterReports = 3;
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
