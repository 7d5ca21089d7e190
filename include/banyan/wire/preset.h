#ifndef BANYAN_WIRE_PRESET_H_
#define BANYAN_WIRE_PRESET_H_

#include <cstdint>

namespace banyan {

// Tunable parameters of a preset. Durations are in milliseconds because
// processes do not share a clock; each process derives its own deadlines.
struct Preset {
  // Time budget of a request that specifies none.
  std::int64_t request_timeout_ms = 2000;
  // Retry budget: retries as a share of recent responses, in percent.
  std::int64_t retry_budget_percent = 10;
  // Hedged requests as a share of recent responses, in percent; 0 disables
  // hedging.
  std::int64_t hedge_budget_percent = 5;
  // Latency quantile after which an idempotent request is hedged, in percent.
  std::int64_t hedge_quantile_percent = 95;
  // Number of consecutive failures after which an endpoint is ejected.
  std::int64_t eject_after_failures = 5;
  // Largest share of a service's endpoints that may be ejected, in percent.
  std::int64_t eject_max_percent = 30;
  // Time between the ejection of an endpoint and its next probe.
  std::int64_t eject_rest_ms = 3000;
  // CPU use above which no batch tasks are placed on a worker, in percent.
  std::int64_t batch_cpu_ceiling_percent = 85;
  // Headroom kept free for a service, as a share of the difference between its
  // recent peak and its current CPU use, in percent.
  std::int64_t service_headroom_percent = 50;
  // CPU use of a worker, in percent, above which its batch tasks are throttled
  // and, if the pressure lasts, evicted.
  std::int64_t pressure_percent = 95;
  // Minimum time between two evictions on the same worker.
  std::int64_t evict_cooldown_ms = 10000;
  // Maximum rate at which the scheduler starts tasks.
  std::int64_t starts_per_second = 200;
  // Whether non-urgent batch jobs are placed; urgent jobs always are.
  bool batch_enabled = true;

  friend bool operator==(const Preset&, const Preset&) noexcept = default;
};

// The allowed range of a parameter, bounds included.
struct ParameterRange {
  const char* name;
  std::int64_t Preset::*parameter;
  std::int64_t lowest;
  std::int64_t highest;
};

// The allowed ranges of all numeric parameters.
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
