#include "banyan/graph/interference.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace banyan {
namespace {

// Latency without load of an image without reports, as a fraction of the
// target.
constexpr double kDefaultUnloadedLatency = 1.0 / 6;
// Base occupancy of an image without reports.
constexpr double kDefaultBaseOccupancy = 0.4;
// Number of reports after which the minimum latency of an image is close to its
// latency without load.
constexpr double kLatencyFloorReports = 20;
// Prior probability that a pair interferes.
constexpr double kPriorProbability = 0.5;
// Prior mean of the sensitivity of a pair that interferes.
constexpr double kPriorSensitivity = 3;
// Prior variance of the sensitivity of a pair that interferes.
constexpr double kPriorSensitivityVariance = 6;
// Probability per report that a sensitivity has jumped.
constexpr double kJumpProbability = 0.02;
// Factor on the variance of a sensitivity that has jumped.
constexpr double kJumpVarianceScale = 30;
// Time constant with which a sensitivity estimate decays to the prior.
// Sensitivities drift within seconds.
constexpr double kSensitivityDecaySeconds = 20;
// Time constant with which the probability of interference decays to the prior.
// Pairs rarely change between interfering and not interfering.
constexpr double kProbabilityDecaySeconds = 90;
// Probabilities stay this far from 0 and 1, so that a few reports can reverse a
// wrong one.
constexpr double kMinProbability = 0.005;
// Lower bound of the variance of a sensitivity.
constexpr double kMinSensitivityVariance = 0.05;
// Standard deviation of the drift of a base occupancy over one second; it grows
// with the square root of the time.
constexpr double kBaseDrift = 0.1;
// Upper bound of the variance of a base occupancy.
constexpr double kMaxBaseVariance = 0.03;
// Lower bound of the variance of a base occupancy.
constexpr double kMinBaseVariance = 1e-5;
// Lower bound of base occupancies.
constexpr double kMinBaseOccupancy = 0.03;
// Upper bound of all occupancies.
constexpr double kMaxOccupancy = 0.98;
// Lower bound of latencies, as a fraction of the target.
constexpr double kMinLatency = 0.02;
// Relative standard deviation of reported latencies, without rounding.
constexpr double kReportNoise = 0.1;
// Standard deviation of the rounding, in units of the resolution.
constexpr double kRoundingNoise = 0.35;
// Part of all reports that no hypothesis explains, such as those of a slow
// worker.
constexpr double kOutlierProbability = 0.05;
// Probability density of the occupancy in such a report.
constexpr double kOutlierDensity = 0.5;
// Weight of a report without neighbours in the default base occupancy.
constexpr double kDefaultBaseWeight = 0.05;
// Neighbours with a smaller load have no visible effect on a latency.
constexpr double kMinObservableLoad = 0.004;
// Limits the hypotheses per report: two for each pair, all combined. Pairs
// beyond the limit contribute their mean and variance.
constexpr std::size_t kMaxWeighedPairs = 5;
// Up to this probability a pair is unlikely to interfere; above it, and below
// kLikelyProbability, its interference is uncertain.
constexpr double kUnlikelyProbability = 0.15;
// From this probability on a pair is likely to interfere.
constexpr double kLikelyProbability = 0.85;
// The group estimates are cleared when a further group would exceed this.
constexpr std::size_t kMaxGroups = 4096;
// Standard deviations between the expected and the conservative increase.
constexpr double kConservativeDeviations = 1;

// Returns the age in seconds; 0 if `at` is later than `now`.
double AgeSeconds(Time at, Time now) {
  return std::chrono::duration<double>(std::max(now - at, Duration::zero()))
      .count();
}

// Returns `value` after exponential decay towards `target`.
double Decayed(double value, double target, double age_s, double decay_s) {
  return target + (value - target) * std::exp(-age_s / decay_s);
}

// Accumulates the mean and variance of a mixture from its weighted components.
class Moments {
 public:
  void Add(double weight, double mean, double variance) noexcept {
    weight_ += weight;
    mean_ += weight * mean;
    square_ += weight * (variance + mean * mean);
  }
  [[nodiscard]] double weight() const noexcept { return weight_; }
  [[nodiscard]] double mean() const noexcept { return mean_ / weight_; }
  [[nodiscard]] double variance() const noexcept {
    return square_ / weight_ - mean() * mean();
  }

 private:
  double weight_ = 0;
  double mean_ = 0;
  double square_ = 0;
};

InterferenceEstimate PriorEstimate(Time at) {
  return {kPriorProbability, kPriorSensitivity, kPriorSensitivityVariance, at};
}

// Returns an estimate decayed to a later time.
InterferenceEstimate AgedTo(const InterferenceEstimate& estimate, Time now) {
  const double age = AgeSeconds(estimate.at, now);
  return {Decayed(estimate.probability, kPriorProbability, age,
                  kProbabilityDecaySeconds),
          Decayed(estimate.sensitivity, kPriorSensitivity, age,
                  kSensitivityDecaySeconds),
          Decayed(estimate.variance, kPriorSensitivityVariance, age,
                  kSensitivityDecaySeconds),
          now};
}

}  // namespace

double InterferenceModel::LatencyFloor::unloaded() const noexcept {
  return minimum * (1 - kDefaultBaseOccupancy *
                            std::exp(-report_count / kLatencyFloorReports));
}

double InterferenceModel::OccupancyAtLatency(const std::string& image,
                                             double latency) const {
  const auto floor = floors_.find(image);
  const double unloaded = floor == floors_.end() ? kDefaultUnloadedLatency
                                                 : floor->second.unloaded();
  return std::clamp(1 - unloaded / std::max(latency, kMinLatency), 0.0,
                    kMaxOccupancy);
}

InterferenceModel::BaseEstimate InterferenceModel::BaseEstimateAt(
    Time now,
    const std::string& group,
    const std::string& image) const {
  const auto known = groups_.find(group);
  if (known == groups_.end()) {
    const auto default_base = default_bases_.find(image);
    return {default_base == default_bases_.end() ? kDefaultBaseOccupancy
                                                 : default_base->second,
            kMaxBaseVariance, now};
  }
  const double age = AgeSeconds(known->second.at, now);
  return {known->second.mean,
          std::min(known->second.variance + kBaseDrift * kBaseDrift * age,
                   kMaxBaseVariance),
          now};
}

double InterferenceModel::BaseOccupancy(const std::string& group,
                                        const std::string& image) const {
  return BaseEstimateAt(latest_, group, image).mean;
}

InterferenceEstimate InterferenceModel::EstimateFor(
    const std::string& image,
    const std::string& neighbour) const {
  const auto known = pairs_.find({image, neighbour});
  return known == pairs_.end() ? PriorEstimate(latest_)
                               : AgedTo(known->second, latest_);
}

bool InterferenceModel::MayInterfere(const std::string& image,
                                     const std::string& neighbour) const {
  const auto known = pairs_.find({image, neighbour});
  return known == pairs_.end() ||
         Decayed(known->second.probability, kPriorProbability,
                 AgeSeconds(known->second.at, latest_),
                 kProbabilityDecaySeconds) > kUnlikelyProbability;
}

bool InterferenceModel::IsUncertain(const std::string& image,
                                    const std::string& neighbour) const {
  const double probability = EstimateFor(image, neighbour).probability;
  return probability > kUnlikelyProbability && probability < kLikelyProbability;
}

double InterferenceModel::ExpectedIncrease(
    const std::string& image,
    std::span<const BestEffortNeighbour> neighbours) const {
  double increase = 0;
  for (const BestEffortNeighbour& neighbour : neighbours) {
    increase += neighbour.load *
                EstimateFor(image, neighbour.image).expected_sensitivity();
  }
  return increase;
}

double InterferenceModel::ConservativeIncrease(
    const std::string& image,
    std::span<const BestEffortNeighbour> neighbours) const {
  double increase = 0;
  double variance = 0;
  for (const PairLoad& pair_load : PairLoadsOf(image, neighbours)) {
    increase += pair_load.load * pair_load.estimate.expected_sensitivity();
    if (!pair_load.estimate.is_negligible()) {
      variance += pair_load.load * pair_load.load *
                  pair_load.estimate.sensitivity_variance();
    }
  }
  return increase + kConservativeDeviations * std::sqrt(variance);
}

std::vector<InterferenceModel::PairLoad> InterferenceModel::PairLoadsOf(
    const std::string& image,
    std::span<const BestEffortNeighbour> neighbours) const {
  std::vector<PairLoad> pair_loads;
  for (const BestEffortNeighbour& neighbour : neighbours) {
    const auto same_image = std::find_if(
        pair_loads.begin(), pair_loads.end(), [&](const PairLoad& pair_load) {
          return pair_load.pair.second == neighbour.image;
        });
    if (same_image != pair_loads.end()) {
      same_image->load += neighbour.load;
    } else {
      pair_loads.push_back({{image, neighbour.image},
                            neighbour.load,
                            EstimateFor(image, neighbour.image)});
    }
  }
  std::erase_if(pair_loads, [](const PairLoad& pair_load) {
    return pair_load.load <= kMinObservableLoad;
  });
  std::sort(pair_loads.begin(), pair_loads.end(),
            [](const PairLoad& a, const PairLoad& b) {
              return std::tie(b.load, a.pair) < std::tie(a.load, b.pair);
            });
  return pair_loads;
}

std::vector<InterferenceModel::Hypothesis>
InterferenceModel::EnumerateHypotheses(std::span<const PairLoad> pair_loads) {
  const std::size_t weighed_count =
      std::min(pair_loads.size(), kMaxWeighedPairs);
  std::vector<Hypothesis> hypotheses(1);
  for (const PairLoad& pair_load : pair_loads.subspan(weighed_count)) {
    hypotheses.front().occupancy_factor +=
        pair_load.load * pair_load.estimate.expected_sensitivity();
    hypotheses.front().variance += pair_load.load * pair_load.load *
                                   pair_load.estimate.sensitivity_variance();
  }
  for (const PairLoad& pair_load : pair_loads.first(weighed_count)) {
    const std::size_t count_before = hypotheses.size();
    for (std::size_t i = 0; i < count_before; ++i) {
      Hypothesis interfering = hypotheses[i];
      interfering.interferes.push_back(true);
      interfering.weight *= pair_load.estimate.probability;
      interfering.occupancy_factor +=
          pair_load.load * pair_load.estimate.sensitivity;
      interfering.variance +=
          pair_load.load * pair_load.load * pair_load.estimate.variance;
      hypotheses.push_back(std::move(interfering));
      hypotheses[i].interferes.push_back(false);
      hypotheses[i].weight *= 1 - pair_load.estimate.probability;
    }
  }
  const std::size_t assignment_count = hypotheses.size();
  for (std::size_t i = 0; i < assignment_count; ++i) {
    Hypothesis& without_jump = hypotheses[i];
    if (std::find(without_jump.interferes.begin(),
                  without_jump.interferes.end(),
                  true) == without_jump.interferes.end()) {
      continue;
    }
    Hypothesis with_jump = without_jump;
    with_jump.weight *= kJumpProbability;
    with_jump.variance *= kJumpVarianceScale;
    with_jump.variance_scale = kJumpVarianceScale;
    without_jump.weight *= 1 - kJumpProbability;
    hypotheses.push_back(std::move(with_jump));
  }
  return hypotheses;
}

void InterferenceModel::UpdateWeights(const Observation& observation,
                                      std::vector<Hypothesis>& hypotheses) {
  double total = 0;
  for (Hypothesis& hypothesis : hypotheses) {
    const double base = observation.base.mean;
    hypothesis.residual =
        observation.occupancy - base * hypothesis.occupancy_factor;
    hypothesis.residual_variance = observation.noise * observation.noise +
                                   observation.base.variance *
                                       hypothesis.occupancy_factor *
                                       hypothesis.occupancy_factor +
                                   base * base * hypothesis.variance;
    const double variance = hypothesis.residual_variance;
    const double likelihood =
        std::exp(-hypothesis.residual * hypothesis.residual / (2 * variance)) /
        std::sqrt(variance);
    hypothesis.outlier_weight =
        hypothesis.weight * kOutlierProbability * kOutlierDensity;
    hypothesis.weight *= (1 - kOutlierProbability) * likelihood;
    total += hypothesis.weight + hypothesis.outlier_weight;
  }
  for (Hypothesis& hypothesis : hypotheses) {
    hypothesis.weight /= total;
    hypothesis.outlier_weight /= total;
  }
}

InterferenceModel::BaseEstimate InterferenceModel::UpdatedBase(
    const BaseEstimate& base,
    std::span<const Hypothesis> hypotheses) {
  double mean = 0;
  double square = 0;
  for (const Hypothesis& hypothesis : hypotheses) {
    const double gain = base.variance * hypothesis.occupancy_factor /
                        hypothesis.residual_variance;
    const double updated = base.mean + gain * hypothesis.residual;
    mean += hypothesis.weight * updated;
    square += hypothesis.weight *
              (base.variance * (1 - gain * hypothesis.occupancy_factor) +
               updated * updated);
    // An outlier has no information on the base.
    mean += hypothesis.outlier_weight * base.mean;
    square +=
        hypothesis.outlier_weight * (base.variance + base.mean * base.mean);
  }
  return {std::clamp(mean, kMinBaseOccupancy, kMaxOccupancy),
          std::max(square - mean * mean, kMinBaseVariance), base.at};
}

InterferenceEstimate InterferenceModel::UpdatedEstimate(
    const BaseEstimate& base,
    std::span<const Hypothesis> hypotheses,
    const PairLoad& pair_load,
    std::size_t index) {
  Moments sensitivity;
  for (const Hypothesis& hypothesis : hypotheses) {
    if (!hypothesis.interferes[index]) {
      continue;
    }
    const double slope = base.mean * pair_load.load;
    const double variance =
        pair_load.estimate.variance * hypothesis.variance_scale;
    const double gain = variance * slope / hypothesis.residual_variance;
    sensitivity.Add(hypothesis.weight,
                    std::max(0.0, pair_load.estimate.sensitivity +
                                      gain * hypothesis.residual),
                    variance * (1 - gain * slope));
    sensitivity.Add(hypothesis.outlier_weight, pair_load.estimate.sensitivity,
                    pair_load.estimate.variance);
  }
  InterferenceEstimate estimate = pair_load.estimate;
  estimate.probability =
      std::clamp(sensitivity.weight(), kMinProbability, 1 - kMinProbability);
  // If the pair does not interfere, the report has no information on its
  // sensitivity, which is then distributed as in the prior.
  sensitivity.Add(1 - estimate.probability, kPriorSensitivity,
                  kPriorSensitivityVariance);
  estimate.sensitivity = sensitivity.mean();
  estimate.variance = std::max(sensitivity.variance(), kMinSensitivityVariance);
  return estimate;
}

void InterferenceModel::Observe(
    Time now,
    const LatencyReport& report,
    std::span<const BestEffortNeighbour> neighbours) {
  latest_ = std::max(latest_, now);
  if (groups_.size() >= kMaxGroups && !groups_.contains(report.group)) {
    groups_.clear();
  }
  const double latency = std::max(report.latency, kMinLatency);
  LatencyFloor& floor =
      floors_.try_emplace(report.image, LatencyFloor{latency, 0}).first->second;
  floor.minimum = std::min(floor.minimum, latency);
  ++floor.report_count;
  const std::vector<PairLoad> pair_loads =
      PairLoadsOf(report.image, neighbours);
  Observation observation;
  observation.occupancy = OccupancyAtLatency(report.image, latency);
  observation.noise =
      floor.unloaded() / latency *
      (kReportNoise + kRoundingNoise * report.resolution / latency);
  observation.base = BaseEstimateAt(now, report.group, report.image);
  std::vector<Hypothesis> hypotheses = EnumerateHypotheses(pair_loads);
  UpdateWeights(observation, hypotheses);
  groups_[report.group] = UpdatedBase(observation.base, hypotheses);
  if (pair_loads.empty()) {
    double& default_base =
        default_bases_.try_emplace(report.image, kDefaultBaseOccupancy)
            .first->second;
    default_base += kDefaultBaseWeight * (observation.occupancy - default_base);
  }
  for (std::size_t i = 0; i < std::min(pair_loads.size(), kMaxWeighedPairs);
       ++i) {
    pairs_[pair_loads[i].pair] =
        UpdatedEstimate(observation.base, hypotheses, pair_loads[i], i);
  }
}

}  // namespace banyan
