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
  std::int64_t batch_share_percent = 100;
  // Whether the last eviction on this worker is long enough ago.
  bool is_cooldown_over = true;
};

// What to do about it.
enum class PressureAction : std::uint8_t {
  kNothing,
  kThrottle,
  kEvict,
  kRelease
};

// A policy decides from one worker's reports.
template <typename P>
concept PressurePolicy = requires(P policy, const PressureView& view) {
  { policy.NextAction(view) } -> std::same_as<PressureAction>;
};

// The least share that a throttle leaves to batch tasks, in percent.
inline constexpr std::int64_t kMinBatchSharePercent = 25;
inline constexpr std::int64_t kFullBatchSharePercent = 100;

// Throttles first, all batch tasks of the worker at once, and evicts only under
// pressure that lasts at the least share. Each step waits until reports can
// show what the one before it did; hysteresis keeps waves of noise from causing
// evictions.
class HysteresisPressure {
 public:
  [[nodiscard]] constexpr PressureAction NextAction(
      const PressureView& view) const noexcept {
    if (view.reports_above >= kReportsBeforeThrottle ||
        view.slow_reports >= kReportsBeforeThrottle) {
      if (view.batch_share_percent > kMinBatchSharePercent) {
        return PressureAction::kThrottle;
      }
      const bool is_lasting = view.reports_above >= kReportsBeforeEviction;
      return is_lasting && view.is_cooldown_over ? PressureAction::kEvict
                                                 : PressureAction::kNothing;
    }
    const bool is_relieved =
        view.batch_share_percent < kFullBatchSharePercent &&
        view.reports_below >= kReportsBeforeRelease && view.slow_reports == 0;
    return is_relieved ? PressureAction::kRelease : PressureAction::kNothing;
  }

 private:
  static constexpr int kReportsBeforeThrottle = 2;
  static constexpr int kReportsBeforeEviction = 8;
  static constexpr int kReportsBeforeRelease = 2;
};

// Baseline: evicts at the first report above the mark.
class ImmediateEviction {
 public:
  [[nodiscard]] constexpr PressureAction NextAction(
      const PressureView& view) const noexcept {
    return view.reports_above > 0 ? PressureAction::kEvict
                                  : PressureAction::kNothing;
  }
};

static_assert(PressurePolicy<HysteresisPressure>);
static_assert(PressurePolicy<ImmediateEviction>);

}  // namespace banyan

#endif  // BANYAN_CONTROL_PRESSURE_H_
