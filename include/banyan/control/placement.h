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

// What placement knows of one worker at the moment of a decision.
struct WorkerView {
  std::string id;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  // Capacity less what is committed or about to be.
  Resources free;
  // Expected processor use in percent: the lagging report plus an estimate for
  // tasks placed since.
  double cpu_percent = 0;
  // Whether its batch tasks have less than their full share at present.
  bool is_throttled = false;
  // Learned slow-down that the job's kind causes to services here; 1 is none.
  double interference = 1;
};

// A policy gives each worker that may take a job a cost, and nothing to a
// worker that it rules out. The worker of the least cost is chosen.
template <typename P>
concept PlacementPolicy = requires(P policy,
                                   const JobSpec& job,
                                   const WorkerView& worker) {
  { policy.Cost(job, worker) } -> std::same_as<std::optional<double>>;
};

// Weighs expected load, interference, and accelerators kept for those who
// need them.
class ScoredPlacement {
 public:
  explicit constexpr ScoredPlacement(double cpu_ceiling_percent) noexcept
      : cpu_ceiling_percent_(cpu_ceiling_percent) {}

  [[nodiscard]] std::optional<double> Cost(const JobSpec& job,
                                           const WorkerView& worker) const {
    const double cpu_after = worker.cpu_percent + CpuShare(job, worker);
    const bool is_full =
        worker.is_throttled || cpu_after > cpu_ceiling_percent_;
    if (!job.urgent && is_full) {
      return std::nullopt;
    }
    // Slow-down weighs like load: twice as slow costs as much as a full worker.
    double cost = cpu_after + (worker.interference - 1) * kInterferenceWeight;
    if (job.needs.accelerators == 0 && worker.capacity.accelerators > 0) {
      cost += kAcceleratorWeight;
    }
    return cost;
  }

  // The processor share that the job declares, in percent of the worker.
  [[nodiscard]] static constexpr double CpuShare(
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
  static constexpr double kInterferenceWeight = 100;
  static constexpr double kAcceleratorWeight = 50;
  double cpu_ceiling_percent_;
};

// Baseline: the first worker with room.
class FirstFitPlacement {
 public:
  [[nodiscard]] std::optional<double> Cost(const JobSpec& /*job*/,
                                           const WorkerView& /*worker*/) const {
    return 0;
  }
};

// Baseline: any worker with room.
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

// A worker chosen for a job, with what the policy made of it.
struct PlacementChoice {
  std::size_t worker = 0;
  double cost = 0;
};

// Returns the cheapest worker with room, the first one among equals.
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
