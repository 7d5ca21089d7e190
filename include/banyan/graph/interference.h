#ifndef BANYAN_GRAPH_INTERFERENCE_H_
#define BANYAN_GRAPH_INTERFERENCE_H_

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// A best-effort task beside a latency-sensitive one.
struct BestEffortNeighbour {
  std::string image;
  // What it uses, in parts of the worker's processor time.
  double load = 0;
};

// A latency-sensitive task's report of itself.
struct LatencyReport {
  // Names the tasks that carry the same load, on whatever worker.
  std::string group;
  std::string image;
  // Tail latency in parts of the task's target, and the unit that reports
  // round it to.
  double latency = 0;
  double resolution = 0;
};

// What is believed of a pair of a latency-sensitive and a best-effort image.
// A pair either does not interfere at all or does so at a level that drifts.
struct InterferenceEstimate {
  // Probability that the pair interferes.
  double probability = 0;
  // Mean and variance of the level if it does: the part by which a neighbour
  // that uses the whole worker raises the occupancy.
  double sensitivity = 0;
  double variance = 0;
  Time at;

  // Whether the pair can be taken not to interfere.
  [[nodiscard]] bool is_negligible() const noexcept {
    constexpr double kNegligibleProbability = 0.05;
    return probability < kNegligibleProbability;
  }

  // The level that is to be expected, and the variance around it.
  [[nodiscard]] double expected_sensitivity() const noexcept {
    return probability * sensitivity;
  }
  [[nodiscard]] double sensitivity_variance() const noexcept {
    return probability * (variance + sensitivity * sensitivity) -
           expected_sensitivity() * expected_sensitivity();
  }
};

// How much best-effort tasks slow latency-sensitive tasks down, learned from
// the tail latencies that workers report.
//
// A latency-sensitive task is taken for a queue: its latency is its latency
// without load divided by the part of its time that is not occupied. Its load
// alone gives a base occupancy that all tasks of its group share; neighbours
// raise it by the sum of their loads times the levels of their pairs. Each
// report updates the group's base and the beliefs of all pairs present
// together, each in proportion to how uncertain it is: a filter over a mixture
// of which pairs interfere, collapsed to its moments after each report.
class InterferenceModel {
 public:
  // Updates the beliefs with a report and what the neighbours used in the span
  // that it covers.
  void Observe(Time now,
               const LatencyReport& report,
               std::span<const BestEffortNeighbour> neighbours);

  // Returns which part of its time a task with that latency is occupied, 0 to
  // 1.
  [[nodiscard]] double OccupancyAtLatency(const std::string& image,
                                          double latency) const;

  // Returns the occupancy that the group's load alone gives.
  [[nodiscard]] double BaseOccupancy(const std::string& group,
                                     const std::string& image) const;

  // Returns by what part the neighbours are expected to raise the base
  // occupancy.
  [[nodiscard]] double ExpectedIncrease(
      const std::string& image,
      std::span<const BestEffortNeighbour> neighbours) const;

  // Returns a rise that is seldom exceeded: the expected one and a standard
  // deviation of what pairs that are not cleared may add.
  [[nodiscard]] double ConservativeIncrease(
      const std::string& image,
      std::span<const BestEffortNeighbour> neighbours) const;

  // Returns the belief of a pair as of the latest report.
  [[nodiscard]] InterferenceEstimate EstimateFor(
      const std::string& image,
      const std::string& neighbour) const;

  // Whether it is neither likely that the pair interferes nor that it doesn't.
  [[nodiscard]] bool IsUncertain(const std::string& image,
                                 const std::string& neighbour) const;

 private:
  using ImagePair = std::pair<std::string, std::string>;

  // A group's base occupancy, with its variance.
  struct BaseEstimate {
    double mean = 0;
    double variance = 0;
    Time at;
  };

  // The least latency that an image ever reported, and of how many reports.
  struct LatencyFloor {
    double minimum = 0;
    double report_count = 0;

    // The latency without load: the first reports are all under load.
    [[nodiscard]] double unloaded() const noexcept;
  };

  // One pair that takes part in a report.
  struct PairLoad {
    ImagePair pair;
    double load = 0;
    InterferenceEstimate estimate;
  };

  // One assignment of which terms interfere, with what it expects of the
  // occupancy: the factor on the base, and the variance of that factor.
  struct Hypothesis {
    std::vector<bool> interferes;
    // Probability that it holds, and that it holds while the report is an
    // outlier, which then says nothing of anything else.
    double weight = 1;
    double outlier_weight = 0;
    double occupancy_factor = 1;
    double variance = 0;
    // By what the variances of levels are multiplied: more than 1 where a level
    // is far from what was believed.
    double variance_scale = 1;
    // By what a report differs from the expectation, and the variance of that.
    double residual = 0;
    double residual_variance = 0;
  };

  // What a report says of the occupancy, with the deviation of its noise, and
  // what was believed of the base before.
  struct Observation {
    double occupancy = 0;
    double noise = 0;
    BaseEstimate base;
  };

  [[nodiscard]] BaseEstimate BaseEstimateAt(Time now,
                                            const std::string& group,
                                            const std::string& image) const;
  [[nodiscard]] std::vector<PairLoad> PairLoadsOf(
      const std::string& image,
      std::span<const BestEffortNeighbour> neighbours) const;
  [[nodiscard]] static std::vector<Hypothesis> EnumerateHypotheses(
      std::span<const PairLoad> pair_loads);
  // Weighs the hypotheses by the likelihood of the evidence; all weights add up
  // to 1 afterwards.
  static void UpdateWeights(const Observation& observation,
                            std::vector<Hypothesis>& hypotheses);
  [[nodiscard]] static BaseEstimate UpdatedBase(
      const BaseEstimate& base,
      std::span<const Hypothesis> hypotheses);
  [[nodiscard]] static InterferenceEstimate UpdatedEstimate(
      const BaseEstimate& base,
      std::span<const Hypothesis> hypotheses,
      const PairLoad& pair_load,
      std::size_t index);

  Time latest_;
  std::map<std::string, BaseEstimate> groups_;
  // Usual base occupancy, and latency without load, by image.
  std::map<std::string, double> default_bases_;
  std::map<std::string, LatencyFloor> floors_;
  std::map<ImagePair, InterferenceEstimate> pairs_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_INTERFERENCE_H_
