#ifndef BANYAN_CONTROL_PLACEMENT_H_
#define BANYAN_CONTROL_PLACEMENT_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "banyan/base/random.h"
#include "banyan/base/resources.h"
#include "banyan/wire/job.h"

namespace banyan {

// Snapshot of one worker for a placement decision.
struct WorkerView {
  std::string id;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  // Free capacity: capacity minus committed resources and pending placements.
  Resources free;
  // Expected CPU usage in percent of capacity: the last report plus an estimate
  // for tasks placed since then.
  double cpu_percent = 0;
  // Whether batch tasks on the worker are throttled.
  bool is_throttled = false;
  // Expected slowdown of the services on this worker by jobs of this kind; 1
  // means no slowdown.
  double interference = 1;
};

// Assigns a cost to each worker that may run a job, and nullopt to a worker
// that may not. The worker with the lowest cost is chosen.
template <typename P>
concept PlacementPolicy = requires(P policy,
                                   const JobSpec& job,
                                   const WorkerView& worker) {
  { policy.Cost(job, worker) } -> std::same_as<std::optional<double>>;
};

// Default policy. The cost is the sum of the expected CPU usage, the expected
// interference, and a penalty that keeps workers with accelerators free for
// jobs that need them.
class ScoredPlacement {
 public:
  explicit constexpr ScoredPlacement(double cpu_ceiling_percent) noexcept
      : cpu_ceiling_percent_(cpu_ceiling_percent) {}

  [[nodiscard]] std::optional<double> Cost(const JobSpec& job,
                                           const WorkerView& worker) const {
    const double cpu_after = worker.cpu_percent + CpuSharePercent(job, worker);
    const bool is_full =
        worker.is_throttled || cpu_after > cpu_ceiling_percent_;
    if (!job.urgent && is_full) {
      return std::nullopt;
    }
    // A slowdown by a factor of 2 costs as much as 100 percent CPU usage.
    double cost = cpu_after + (worker.interference - 1) * kInterferenceWeight;
    if (job.needs.accelerators == 0 && worker.capacity.accelerators > 0) {
      cost += kAcceleratorPenalty;
    }
    return cost;
  }

  // Returns the CPU requested by the job, in percent of the worker's capacity.
  [[nodiscard]] static constexpr double CpuSharePercent(
      const JobSpec& job,
      const WorkerView& worker) noexcept {
    constexpr double kPercent = 100;
    if (worker.capacity.cpu_millis == 0) {
      return 0;
    }
    return kPercent * static_cast<double>(job.needs.cpu_millis) /
           static_cast<double>(worker.capacity.cpu_millis);
  }

 private:
  // Cost of a slowdown by one more multiple of the baseline latency.
  static constexpr double kInterferenceWeight = 100;
  // Cost of placing a job without accelerators on a worker that has some.
  static constexpr double kAcceleratorPenalty = 50;
  double cpu_ceiling_percent_;
};

// Baseline for comparison: the first worker with enough free capacity.
class FirstFitPlacement {
 public:
  [[nodiscard]] std::optional<double> Cost(const JobSpec& /*job*/,
                                           const WorkerView& /*worker*/) const {
    return 0;
  }
};

// Baseline for comparison: a random worker with enough free capacity.
class RandomPlacement {
 public:
  explicit constexpr RandomPlacement(std::uint64_t seed) noexcept
      : random_(seed) {}

  [[nodiscard]] std::optional<double> Cost(const JobSpec& /*job*/,
                                           const WorkerView& /*worker*/) {
    return random_.NextDouble();
  }

 private:
  Random random_;
};

static_assert(PlacementPolicy<ScoredPlacement>);
static_assert(PlacementPolicy<FirstFitPlacement>);
static_assert(PlacementPolicy<RandomPlacement>);

// The worker chosen for a job, as an index into the list, and its cost.
struct PlacementChoice {
  std::size_t worker_index = 0;
  double cost = 0;
};

// Returns the worker with the lowest cost among those with enough free
// capacity; the first of them on a tie.
template <PlacementPolicy P>
[[nodiscard]] std::optional<PlacementChoice> ChooseWorker(
    P& policy,
    const JobSpec& job,
    std::span<const WorkerView> workers) {
  std::optional<PlacementChoice> best;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (!Fits(job.needs, workers[i].free)) {
      continue;
    }
    const std::optional<double> cost = policy.Cost(job, workers[i]);
    if (cost && (!best || *cost < best->cost)) {
      best = PlacementChoice{i, *cost};
    }
  }
  return best;
}

}  // namespace banyan

#endif  // BANYAN_CONTROL_PLACEMENT_H_
