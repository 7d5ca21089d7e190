#include "banyan/graph/pacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyan {
namespace {

// Latency, as a fraction of the target, above which shares are reduced.
constexpr double kThrottleThreshold = 0.8;
// Latency, as a fraction of the target, that a reduction aims at.
constexpr double kThrottleGoal = 0.6;
// Latency, as a fraction of the target, below which all shares may increase
// unless it is rising.
constexpr double kRecoveryThreshold = 0.65;
// Part of the headroom below the throttle threshold that the increases after
// one report may use.
constexpr double kHeadroomUse = 0.5;
// Largest increase after one report, as a fraction of the full share.
constexpr double kMaxShareIncrease = 0.35;
// Increase by which a neighbour is tried where the model leaves less, and the
// largest one during slow recovery; a fraction of the full share.
constexpr double kMinShareIncrease = 0.1;
// Period after a violation of a target in which neighbours that may have caused
// it increase by kMinShareIncrease at most.
constexpr Duration kSlowRecoveryPeriod = Millis(2000);
// If the neighbours explain less than this part of the excess occupancy, the
// model does not identify the cause, and all neighbours that may interfere are
// reduced together.
constexpr double kMinExplainedFraction = 0.5;
// Factor on shares that are reduced together; smaller for high latencies.
constexpr double kUnexplainedShareFactor = 0.5;
// Period that a report covers plus the delay of an order. A more recent change
// of a share is not fully reflected in the report.
constexpr Duration kReportWindow = Millis(700);
// After a continuous violation of a target for this long all neighbours are
// stopped, regardless of the model. Less than half of the guaranteed limit.
constexpr Duration kMaxViolation = Millis(1400);
// Neighbours with at least this probability are likely to interfere.
constexpr double kLikelyInterference = 0.5;
// From this latency on, as a fraction of the target, neighbours that the model
// considers harmless are throttled like all others: the latency indicates that
// the model is wrong.
constexpr double kExemptionThreshold = 0.95;
// A latency counts as rising if it exceeds the one in the last report by this
// factor.
constexpr double kRisingLatencyRatio = 1.08;

// Returns the ordered CPU shares, from 0 to 1.
std::vector<double> SharesOf(const std::vector<BestEffortTask>& best_effort) {
  std::vector<double> shares;
  shares.reserve(best_effort.size());
  for (const BestEffortTask& task : best_effort) {
    shares.push_back(static_cast<double>(task.percent) /
                     static_cast<double>(kFullPercent));
  }
  return shares;
}

// Expected contribution of a neighbour to a task's occupancy.
struct Contribution {
  // At the neighbour's full share.
  double occupancy = 0;
  std::size_t task_index = 0;
  // Whether the neighbour is known not to interfere.
  bool is_negligible = false;
  // Whether the neighbour is likely to interfere.
  bool is_likely = false;
};

// Reduces shares, largest contribution first, until the excess occupancy is
// gone. Before that, some neighbours are reduced together by one factor:
// - all that may interfere, if the model does not explain the excess;
// - all that are likely to interfere, if the model explains the excess but the
//   latency exceeds its target, because the latency of an overloaded queue
//   hardly shows by how much the load is too high.
void ReduceShares(double excess_occupancy,
                  double latency,
                  const std::vector<Contribution>& ascending,
                  std::vector<double>& shares) {
  double explained_occupancy = 0;
  for (const Contribution& contribution : ascending) {
    explained_occupancy +=
        contribution.occupancy * shares[contribution.task_index];
  }
  const bool is_explained =
      explained_occupancy >= excess_occupancy * kMinExplainedFraction;
  const double share_factor =
      std::min(kUnexplainedShareFactor,
               kThrottleGoal / std::max(latency, kThrottleGoal));
  for (const Contribution& contribution : ascending) {
    const bool is_reduced = is_explained
                                ? latency >= 1 && contribution.is_likely
                                : !contribution.is_negligible;
    shares[contribution.task_index] *= is_reduced ? share_factor : 1;
  }
  const std::vector<Contribution> descending(ascending.rbegin(),
                                             ascending.rend());
  for (const Contribution& contribution : descending) {
    if (excess_occupancy <= 0 || contribution.is_negligible ||
        contribution.occupancy <= 0) {
      return;
    }
    double& share = shares[contribution.task_index];
    const double reduction =
        std::min(share, excess_occupancy / contribution.occupancy);
    share -= reduction;
    excess_occupancy -= reduction * contribution.occupancy;
  }
}

}  // namespace

double RelativeLatency(const ServingTask& task) noexcept {
  return static_cast<double>(task.latency_ms) /
         static_cast<double>(std::max<std::int64_t>(task.target_ms, 1));
}

ServingTask HighestRelativeLatency(std::span<const ServingTask> serving) {
  const auto highest =
      std::max_element(serving.begin(), serving.end(),
                       [](const ServingTask& a, const ServingTask& b) {
                         return RelativeLatency(a) < RelativeLatency(b);
                       });
  return highest == serving.end() ? ServingTask{} : *highest;
}

void Pacer::Observe(Time now,
                    const std::string& worker,
                    const std::vector<ServingTask>& serving,
                    const std::vector<BestEffortTask>& best_effort) {
  WorkerState& state = workers_[worker];
  std::vector<BestEffortNeighbour> neighbours;
  std::map<RunRef, std::int64_t> reported_percents;
  for (const BestEffortTask& task : best_effort) {
    neighbours.push_back({task.image, task.used});
    reported_percents[task.run] = task.percent;
    const auto previous = state.reported_percents.find(task.run);
    if (previous == state.reported_percents.end() ||
        previous->second != task.percent) {
      state.share_changed_at[task.run] = now;
    }
  }
  std::erase_if(state.share_changed_at, [&](const auto& item) {
    return !reported_percents.contains(item.first);
  });
  state.reported_percents = std::move(reported_percents);
  state.rising_groups.clear();
  for (const ServingTask& task : serving) {
    if (task.latency_ms <= 0) {
      continue;
    }
    const double latency = RelativeLatency(task);
    const auto previous = state.reported_latencies.find(task.group);
    if (previous == state.reported_latencies.end() ||
        latency > previous->second * kRisingLatencyRatio) {
      state.rising_groups.insert(task.group);
    }
    model_.Observe(
        now,
        {task.group, task.image, latency,
         1 / static_cast<double>(std::max<std::int64_t>(task.target_ms, 1))},
        neighbours);
  }
  state.reported_latencies.clear();
  for (const ServingTask& task : serving) {
    double& latency = state.reported_latencies[task.group];
    latency = std::max(latency, RelativeLatency(task));
  }
}

std::vector<RunThrottle> Pacer::Decide(
    Time now,
    const std::string& worker,
    const std::vector<ServingTask>& serving,
    const std::vector<BestEffortTask>& best_effort) {
  WorkerState& state = workers_[worker];
  const std::vector<double> current_shares = SharesOf(best_effort);
  std::vector<double> target_shares = current_shares;
  // Largest increase of each share that all latency-sensitive tasks permit.
  std::vector<double> max_increases(best_effort.size(), kMaxShareIncrease);
  // Load of each best-effort task that the report does not reflect yet.
  std::vector<double> pending_load;
  for (std::size_t i = 0; i < best_effort.size(); ++i) {
    const auto changed = state.share_changed_at.find(best_effort[i].run);
    const bool is_pending = changed != state.share_changed_at.end() &&
                            changed->second + kReportWindow > now;
    pending_load.push_back(is_pending
                               ? current_shares[i] * best_effort[i].size -
                                     best_effort[i].used
                               : 0);
  }
  bool must_stop_all = false;
  std::set<std::string> violating_groups;
  for (const ServingTask& task : serving) {
    if (RelativeLatency(task) >= 1) {
      violating_groups.insert(task.group);
      state.last_violation_at[task.group] = now;
      const Time since =
          state.violating_since.try_emplace(task.group, now).first->second;
      must_stop_all = must_stop_all || since + kMaxViolation <= now;
    }
  }
  std::erase_if(state.violating_since, [&](const auto& item) {
    return !violating_groups.contains(item.first);
  });
  std::erase_if(state.last_violation_at, [&](const auto& item) {
    return item.second + kSlowRecoveryPeriod <= now;
  });
  for (const ServingTask& task : serving) {
    const double latency = RelativeLatency(task);
    const auto occupancy_at = [&](double relative_latency) {
      return model_.OccupancyAtLatency(task.image, relative_latency);
    };
    const double base_occupancy = model_.BaseOccupancy(task.group, task.image);
    std::vector<Contribution> contributions;
    double expected_occupancy = occupancy_at(latency);
    for (std::size_t i = 0; i < best_effort.size(); ++i) {
      const InterferenceEstimate estimate =
          model_.EstimateFor(task.image, best_effort[i].image);
      const bool is_negligible =
          estimate.is_negligible() && latency < kExemptionThreshold;
      contributions.push_back({base_occupancy * best_effort[i].size *
                                   estimate.expected_sensitivity(),
                               i, is_negligible,
                               estimate.probability >= kLikelyInterference});
      expected_occupancy +=
          base_occupancy * pending_load[i] * estimate.expected_sensitivity();
    }
    std::sort(contributions.begin(), contributions.end(),
              [](const Contribution& a, const Contribution& b) {
                return a.occupancy < b.occupancy;
              });
    if (expected_occupancy > occupancy_at(kThrottleThreshold)) {
      ReduceShares(expected_occupancy - occupancy_at(kThrottleGoal), latency,
                   contributions, target_shares);
    }
    const bool is_low = expected_occupancy < occupancy_at(kRecoveryThreshold) &&
                        !state.rising_groups.contains(task.group);
    // Neighbours that are not likely to interfere may increase whenever the
    // latency is below the throttle threshold, not only when it is low.
    double headroom =
        std::max(0.0, occupancy_at(kThrottleThreshold) - expected_occupancy) *
        kHeadroomUse;
    bool has_trial_increase = false;
    const bool recovers_slowly = state.last_violation_at.contains(task.group);
    for (const Contribution& contribution : contributions) {
      const double remaining_share =
          1 - current_shares[contribution.task_index];
      const double max_increase = recovers_slowly && !contribution.is_negligible
                                      ? kMinShareIncrease
                                      : kMaxShareIncrease;
      const bool may_increase = is_low || !contribution.is_likely;
      double increase = 0;
      if (contribution.is_negligible || contribution.occupancy <= 0) {
        increase = max_increase;
      } else if (may_increase) {
        increase = std::min(max_increase, headroom / contribution.occupancy);
      }
      // One neighbour at a time is tried beyond what the model permits, to
      // check whether the model is still valid.
      if (may_increase && headroom > 0 && increase < kMinShareIncrease &&
          remaining_share > 0 && !has_trial_increase) {
        increase = kMinShareIncrease;
        has_trial_increase = true;
      }
      increase = std::min(increase, remaining_share);
      headroom = std::max(0.0, headroom - increase * contribution.occupancy);
      max_increases[contribution.task_index] =
          std::min(max_increases[contribution.task_index], increase);
    }
  }
  std::vector<RunThrottle> paces;
  for (std::size_t i = 0; i < best_effort.size(); ++i) {
    const double share = target_shares[i] < current_shares[i]
                             ? target_shares[i]
                             : current_shares[i] + max_increases[i];
    const std::int64_t percent =
        must_stop_all ? 0
                      : std::lround(std::clamp(share, 0.0, 1.0) *
                                    static_cast<double>(kFullPercent));
    if (percent != best_effort[i].percent) {
      paces.push_back({best_effort[i].run, percent});
    }
  }
  return paces;
}

}  // namespace banyan
