#ifndef BANYAN_GRAPH_INTERFERENCE_H_
#define BANYAN_GRAPH_INTERFERENCE_H_

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// Load that a best-effort task puts on the worker it shares with
// latency-sensitive tasks.
struct BestEffortNeighbour {
  std::string image;
  // CPU use, as a fraction of the worker's CPU capacity.
  double load = 0;
};

// Tail latency reported by a latency-sensitive task.
struct LatencyReport {
  // Tasks of one group carry the same load, regardless of their worker.
  std::string group;
  std::string image;
  // Tail latency as a fraction of the task's target.
  double latency = 0;
  // Rounding unit of `latency`, as a fraction of the target.
  double resolution = 0;
};

// Estimated interference between a latency-sensitive and a best-effort image.
// A pair either does not interfere at all or has a sensitivity that drifts.
struct InterferenceEstimate {
  // Probability that the pair interferes.
  double probability = 0;
  // Mean sensitivity if the pair interferes: the relative increase of the
  // occupancy caused by a neighbour that uses the whole worker.
  double sensitivity = 0;
  // Variance of the sensitivity if the pair interferes.
  double variance = 0;
  // Time of the estimate.
  Time at;

  // Whether the probability of interference is low enough to ignore the pair.
  [[nodiscard]] bool is_negligible() const noexcept {
    constexpr double kNegligibleProbability = 0.05;
    return probability < kNegligibleProbability;
  }

  // Mean sensitivity over both cases: interfering or not.
  [[nodiscard]] double expected_sensitivity() const noexcept {
    return probability * sensitivity;
  }
  // Variance of the sensitivity over both cases.
  [[nodiscard]] double sensitivity_variance() const noexcept {
    return probability * (variance + sensitivity * sensitivity) -
           expected_sensitivity() * expected_sensitivity();
  }
};

// Estimates how much best-effort tasks slow down co-located latency-sensitive
// tasks, from the tail latencies that workers report.
//
// A latency-sensitive task is modelled as a queue:
//   latency = unloaded latency / (1 - occupancy)
//   occupancy = base occupancy * (1 + sum of neighbour load * sensitivity)
// All tasks of a group share one base occupancy, which depends on their own
// load only. Each report updates the group's base occupancy and the estimates
// of all image pairs involved, each in proportion to its uncertainty. The
// filter is a Gaussian mixture over the sets of pairs that interfere, collapsed
// to its moments after each report.
class InterferenceModel {
 public:
  // Updates the estimates with a report and the neighbours' CPU use in the
  // period that the report covers.
  void Observe(Time now,
               const LatencyReport& report,
               std::span<const BestEffortNeighbour> neighbours);

  // Returns the occupancy, from 0 to 1, at which a task of `image` has the
  // given latency, a fraction of its target.
  [[nodiscard]] double OccupancyAtLatency(const std::string& image,
                                          double latency) const;

  // Returns the occupancy caused by the group's own load alone, from 0 to 1.
  [[nodiscard]] double BaseOccupancy(const std::string& group,
                                     const std::string& image) const;

  // Returns the expected relative increase of the base occupancy caused by the
  // neighbours.
  [[nodiscard]] double ExpectedIncrease(
      const std::string& image,
      std::span<const BestEffortNeighbour> neighbours) const;

  // Returns a relative increase that is seldom exceeded: the expected one plus
  // a standard deviation over the pairs that are not negligible.
  [[nodiscard]] double ConservativeIncrease(
      const std::string& image,
      std::span<const BestEffortNeighbour> neighbours) const;

  // Returns the estimate for a pair as of the latest report; the prior for a
  // pair without reports.
  [[nodiscard]] InterferenceEstimate EstimateFor(
      const std::string& image,
      const std::string& neighbour) const;

  // Whether the pair is likely to interfere, or its interference is uncertain.
  [[nodiscard]] bool MayInterfere(const std::string& image,
                                  const std::string& neighbour) const;

  // Whether the reports so far do not show if the pair interferes.
  [[nodiscard]] bool IsUncertain(const std::string& image,
                                 const std::string& neighbour) const;

 private:
  using ImagePair = std::pair<std::string, std::string>;

  // Base occupancy of a group.
  struct BaseEstimate {
    double mean = 0;
    double variance = 0;
    Time at;
  };

  // Minimum latency over all reports of an image, as a fraction of the target.
  struct LatencyFloor {
    double minimum = 0;
    double report_count = 0;

    // Returns the estimated latency without load. It is below the minimum as
    // long as there are few reports, since these are all taken under load.
    [[nodiscard]] double unloaded() const noexcept;
  };

  // Total load of one best-effort image on the worker of a report.
  struct PairLoad {
    ImagePair pair;
    double load = 0;
    InterferenceEstimate estimate;
  };

  // Assumption on which image pairs interfere, with the occupancy it predicts.
  struct Hypothesis {
    // By pair, in the order of the pair loads.
    std::vector<bool> interferes;
    // Probability of the hypothesis with a report that is not an outlier.
    double weight = 1;
    // Probability of the hypothesis with an outlier report, which leaves the
    // estimates of the base and the pairs unchanged.
    double outlier_weight = 0;
    // Predicted occupancy as a multiple of the base occupancy.
    double occupancy_factor = 1;
    // Variance of the occupancy factor.
    double variance = 0;
    // Multiplies the sensitivity variances; above 1 if a sensitivity has jumped
    // away from its estimate.
    double variance_scale = 1;
    // Observed minus predicted occupancy.
    double residual = 0;
    double residual_variance = 0;
  };

  // Occupancy derived from one report.
  struct Observation {
    double occupancy = 0;
    // Standard deviation of the occupancy.
    double noise = 0;
    // Estimate of the group's base occupancy before the report.
    BaseEstimate base;
  };

  // Returns the group's base occupancy with its variance grown up to `now`; the
  // default of the image for a group without reports.
  [[nodiscard]] BaseEstimate BaseEstimateAt(Time now,
                                            const std::string& group,
                                            const std::string& image) const;
  // Returns the neighbours' loads by image, largest first, without those too
  // small to affect a latency.
  [[nodiscard]] std::vector<PairLoad> PairLoadsOf(
      const std::string& image,
      std::span<const BestEffortNeighbour> neighbours) const;
  // Returns all hypotheses over the pairs with the largest loads; the other
  // pairs contribute their mean and variance to each.
  [[nodiscard]] static std::vector<Hypothesis> EnumerateHypotheses(
      std::span<const PairLoad> pair_loads);
  // Multiplies the weights by the likelihood of the observation and normalises
  // them, outlier weights included, to a sum of 1.
  static void UpdateWeights(const Observation& observation,
                            std::vector<Hypothesis>& hypotheses);
  // Returns the base occupancy after an observation, given the weighted
  // hypotheses.
  [[nodiscard]] static BaseEstimate UpdatedBase(
      const BaseEstimate& base,
      std::span<const Hypothesis> hypotheses);
  // Returns the estimate of the pair at position `index` after an observation,
  // given the weighted hypotheses.
  [[nodiscard]] static InterferenceEstimate UpdatedEstimate(
      const BaseEstimate& base,
      std::span<const Hypothesis> hypotheses,
      const PairLoad& pair_load,
      std::size_t index);

  // Time of the latest report.
  Time latest_;
  std::map<std::string, BaseEstimate> groups_;
  // Typical base occupancy by image, for groups without reports.
  std::map<std::string, double> default_bases_;
  std::map<std::string, LatencyFloor> floors_;
  std::map<ImagePair, InterferenceEstimate> pairs_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_INTERFERENCE_H_
