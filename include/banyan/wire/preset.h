#ifndef BANYAN_WIRE_PRESET_H_
#define BANYAN_WIRE_PRESET_H_

#include <cstdint>

namespace banyan {

// The knobs that a preset sets. Spans are in milliseconds because they travel
// between clocks; each process turns them into deadlines of its own.
struct Preset {
  // Default budget of a request that names none.
  std::int64_t request_timeout_ms = 2000;
  // Retries as a share of recent answers, in percent.
  std::int64_t retry_budget_percent = 10;
  // Hedges as a share of recent answers, in percent; 0 turns hedging off.
  std::int64_t hedge_budget_percent = 5;
  // Latency quantile after which an idempotent request is hedged, in percent.
  std::int64_t hedge_quantile_percent = 95;
  // Consecutive failures that eject an endpoint.
  std::int64_t eject_after_failures = 5;
  // The largest share of a service's endpoints that may be ejected.
  std::int64_t eject_max_percent = 30;
  // How long an ejected endpoint rests before its probe.
  std::int64_t eject_rest_ms = 3000;
  // Batch placement stops on a worker above this processor use, in percent.
  std::int64_t batch_cpu_ceiling_percent = 85;
  // How much of the way from a service's present use to its recent peak is
  // kept free for it, in percent.
  std::int64_t service_headroom_percent = 50;
  // Above this use a batch task is throttled and in the end evicted.
  std::int64_t pressure_percent = 95;
  // The least span between two evictions on one worker.
  std::int64_t evict_cooldown_ms = 10000;
  // Task starts that the scheduler may order in a second.
  std::int64_t starts_per_second = 200;
  // Whether normal batch jobs are placed at all; urgent ones always are.
  bool batch_enabled = true;

  friend bool operator==(const Preset&, const Preset&) noexcept = default;
};

// The allowed range of one knob.
struct ParameterRange {
  const char* name;
  std::int64_t Preset::*parameter;
  std::int64_t lowest;
  std::int64_t highest;
};

// The allowed ranges of all numeric knobs.
inline constexpr ParameterRange kParameterRanges[] = {
    {"request_timeout_ms", &Preset::request_timeout_ms, 10, 600000},
    {"retry_budget_percent", &Preset::retry_budget_percent, 0, 100},
    {"hedge_budget_percent", &Preset::hedge_budget_percent, 0, 50},
    {"hedge_quantile_percent", &Preset::hedge_quantile_percent, 50, 99},
    {"eject_after_failures", &Preset::eject_after_failures, 1, 1000},
    {"eject_max_percent", &Preset::eject_max_percent, 0, 90},
    {"eject_rest_ms", &Preset::eject_rest_ms, 100, 600000},
    {"batch_cpu_ceiling_percent", &Preset::batch_cpu_ceiling_percent, 1, 100},
    {"service_headroom_percent", &Preset::service_headroom_percent, 0, 100},
    {"pressure_percent", &Preset::pressure_percent, 1, 100},
    {"evict_cooldown_ms", &Preset::evict_cooldown_ms, 0, 600000},
    {"starts_per_second", &Preset::starts_per_second, 1, 10000},
};

}  // namespace banyan

#endif  // BANYAN_WIRE_PRESET_H_
