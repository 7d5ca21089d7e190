#ifndef BANYAN_CONTROL_PRESSURE_H_
#define BANYAN_CONTROL_PRESSURE_H_

#include <concepts>
#include <cstdint>

#include "banyan/base/time.h"

namespace banyan {

// Pressure on one worker, derived from heartbeats, which lag behind the actual
// load.
struct PressureView {
  // Reports above the pressure threshold of the preset since the last one well
  // below it or the last action.
  int reports_above = 0;
  // Reports well below the threshold since the last one above it or the last
  // change of the batch share.
  int reports_below = 0;
  // Consecutive reports of a slow service on the worker.
  int slow_reports = 0;
  // CPU share granted to each batch task on the worker, in percent.
  std::int64_t batch_share_percent = 100;
  // Whether the cooldown after the last eviction on this worker is over.
  bool is_cooldown_over = true;
};

// Action against pressure on one worker.
enum class PressureAction : std::uint8_t {
  kNothing,
  kThrottle,
  kEvict,
  kRelease
};

// Chooses the next action for one worker.
template <typename P>
concept PressurePolicy = requires(P policy, const PressureView& view) {
  { policy.NextAction(view) } -> std::same_as<PressureAction>;
};

// Lower limit of the CPU share of throttled batch tasks, in percent.
inline constexpr std::int64_t kMinBatchSharePercent = 25;
// CPU share of batch tasks that are not throttled, in percent.
inline constexpr std::int64_t kFullBatchSharePercent = 100;

// Default policy. Throttles all batch tasks of the worker at once, and evicts
// only if the pressure persists at the minimum share. Each action requires new
// reports that reflect the previous one. The hysteresis prevents evictions due
// to short load spikes.
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

// Baseline for comparison: evicts at the first report above the threshold.
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
