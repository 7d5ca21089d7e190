#ifndef BANYAN_METRICS_METRICS_H_
#define BANYAN_METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "banyan/base/time.h"

namespace banyan {

// Counters, gauges and latency summaries of one process, rendered in the
// Prometheus text format. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Increments a counter. The name may include labels:
  // `answers{outcome="ran"}`.
  void Increment(std::string_view name, std::uint64_t amount = 1);

  // Sets a gauge.
  void SetGauge(std::string_view name, double value);

  // Adds a latency to a summary, which reports median, p99 and maximum in
  // seconds.
  void Observe(std::string_view name, Duration latency);

  // Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

 private:
  class Summary;
  mutable std::mutex mutex_;
  std::map<std::string, double, std::less<>> values_;
  std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries_;
};

}  // namespace banyan

#endif  // BANYAN_METRICS_METRICS_H_
