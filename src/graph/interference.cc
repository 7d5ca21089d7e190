#include "banyan/graph/interference.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace banyan {
namespace {

// What is assumed of images that were never seen: the latency without load, in
// parts of the target, and the occupancy.
constexpr double kDefaultUnloadedLatency = 1.0 / 6;
constexpr double kDefaultBaseOccupancy = 0.4;
// Reports after which the least latency of an image is about the one that it
// has without load.
constexpr double kLatencyFloorReports = 20;
// The belief of a pair that was never seen.
constexpr double kPriorProbability = 0.5;
constexpr double kPriorSensitivity = 3;
constexpr double kPriorSensitivityVariance = 6;
// The part of reports at which a level has jumped, and by what that multiplies
// the variance of what was believed of it.
constexpr double kJumpProbability = 0.02;
constexpr double kJumpVarianceScale = 30;
// Levels drift within seconds: what is known of one decays in this time, in
// seconds. That a pair interferes or not lasts, and is doubted again only
// slowly.
constexpr double kSensitivityDecaySeconds = 20;
constexpr double kProbabilityDecaySeconds = 90;
// A probability is kept this far from certainty, so that a wrong one is turned
// by a few reports.
constexpr double kMinProbability = 0.005;
constexpr double kMinSensitivityVariance = 0.05;
// Drift of a base occupancy per square root of a second, and the most that its
// variance grows to.
constexpr double kBaseDrift = 0.1;
constexpr double kMaxBaseVariance = 0.03;
constexpr double kMinBaseVariance = 1e-5;
// Occupancies are kept between these.
constexpr double kMinBaseOccupancy = 0.03;
constexpr double kMaxOccupancy = 0.98;
constexpr double kMinLatency = 0.02;
// Relative deviation of reports beyond their rounding, and the deviation of
// the rounding in units of the resolution.
constexpr double kReportNoise = 0.1;
constexpr double kRoundingNoise = 0.35;
// Reports that fit no hypothesis, such as of a worker that is slow: their part
// of all reports, and the density of their occupancies.
constexpr double kOutlierProbability = 0.05;
constexpr double kOutlierDensity = 0.5;
// Weight of a report without neighbours in the usual base.
constexpr double kDefaultBaseWeight = 0.05;
// A load below this leaves no trace in a latency.
constexpr double kMinObservableLoad = 0.004;
// Pairs of one report whose class is weighed; the others count by their mean.
constexpr std::size_t kMaxWeighedPairs = 5;
// Between these probabilities it is open whether a pair interferes.
constexpr double kUnlikelyProbability = 0.15;
constexpr double kLikelyProbability = 0.85;
constexpr std::size_t kMaxGroups = 4096;
// Deviations that a rise is allowed for beyond the expected one.
constexpr double kConservativeDeviations = 1;

// Returns the age in seconds; none of what is of a later time.
double AgeSeconds(Time at, Time now) {
  return std::chrono::duration<double>(std::max(now - at, Span::zero()))
      .count();
}

double Decayed(double value, double target, double age_s, double decay_s) {
  return target + (value - target) * std::exp(-age_s / decay_s);
}

// Mean and variance of a mixture, from its weighted components.
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

// Returns a belief as of a later time.
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
  // As far as the pair does not interfere, nothing was learned of its level.
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
