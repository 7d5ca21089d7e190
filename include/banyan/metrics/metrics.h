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

// Counts, levels and latencies of one process, rendered in the text format
// that Prometheus reads. Safe to use from any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter. The name may carry labels: `answers{outcome="ran"}`.
  void Count(std::string_view name, std::uint64_t amount = 1);

  // Sets a level.
  void Set(std::string_view name, double value);

  // Adds one latency to a summary with its median, p99 and greatest value.
  void Observe(std::string_view name, Duration latency);

  // Returns everything as text.
  [[nodiscard]] std::string Render() const;

 private:
  class Summary;
  mutable std::mutex mutex_;
  std::map<std::string, double, std::less<>> values_;
  std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries_;
};

}  // namespace banyan

#endif  // BANYAN_METRICS_METRICS_H_
