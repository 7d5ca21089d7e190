#include "banyan/graph/interference.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace banyan {
namespace {

// What is assumed of images that were never seen: the latency without load, in
// parts of the target, and the occupancy.
constexpr double kAssumedFloor = 1.0 / 6;
constexpr double kAssumedBase = 0.4;
// Reports after which the least latency of an image is about the one that it
// has without load.
constexpr double kFloorReports = 20;
// The belief of a pair that was never seen.
constexpr double kPriorInterferes = 0.5;
constexpr double kPriorLevel = 3;
constexpr double kPriorVariance = 6;
// The part of reports at which a level has jumped, and by what that multiplies
// the variance of what was believed of it.
constexpr double kJumps = 0.02;
constexpr double kJumpSpread = 30;
// Levels drift within seconds: what is known of one decays in this time, in
// seconds. That a pair interferes or not lasts, and is doubted again only
// slowly.
constexpr double kLevelMemory = 20;
constexpr double kClassMemory = 90;
// A probability is kept this far from certainty, so that a wrong one is turned
// by a few reports.
constexpr double kLeastDoubt = 0.005;
constexpr double kLeastVariance = 0.05;
// Drift of a base occupancy per square root of a second, and the most that its
// variance grows to.
constexpr double kBaseDrift = 0.1;
constexpr double kMostBaseVariance = 0.03;
constexpr double kLeastBaseVariance = 1e-5;
// Occupancies are kept between these.
constexpr double kLeastBase = 0.03;
constexpr double kMostOccupancy = 0.98;
constexpr double kLeastLatency = 0.02;
// Relative deviation of reports beyond their rounding, and the deviation of
// the rounding in units of the resolution.
constexpr double kReportNoise = 0.1;
constexpr double kRoundingNoise = 0.35;
// Reports that fit no hypothesis, such as of a worker that is slow: their part
// of all reports, and the density of their occupancies.
constexpr double kOutliers = 0.05;
constexpr double kOutlierDensity = 0.5;
// Weight of a report without neighbours in the usual base.
constexpr double kUsualWeight = 0.05;
// A load below this leaves no trace in a latency.
constexpr double kTellingLoad = 0.004;
// Pairs of one report whose class is weighed; the others count by their mean.
constexpr std::size_t kMaxTerms = 5;
// Between these probabilities it is open whether a pair interferes.
constexpr double kLikelyNot = 0.15;
constexpr double kLikely = 0.85;
constexpr std::size_t kMaxGroups = 4096;
// Deviations that a rise is allowed for beyond the expected one.
constexpr double kSafeDeviations = 1;

// Returns the age in seconds; none of what is of a later time.
double AgeOf(Time at, Time now) {
  return std::chrono::duration<double>(std::max(now - at, Span::zero()))
      .count();
}

double Faded(double value, double towards, double age_s, double memory_s) {
  return towards + (value - towards) * std::exp(-age_s / memory_s);
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

PairBelief PriorBelief(Time at) {
  return {kPriorInterferes, kPriorLevel, kPriorVariance, at};
}

// Returns a belief as of a later time.
PairBelief Aged(const PairBelief& belief, Time now) {
  const double age = AgeOf(belief.at, now);
  return {Faded(belief.interferes, kPriorInterferes, age, kClassMemory),
          Faded(belief.level, kPriorLevel, age, kLevelMemory),
          Faded(belief.variance, kPriorVariance, age, kLevelMemory), now};
}

}  // namespace

double InterferenceModel::Floor::unloaded() const noexcept {
  return least * (1 - kAssumedBase * std::exp(-reports / kFloorReports));
}

double InterferenceModel::OccupancyOf(const std::string& image,
                                      double latency) const {
  const auto floor = floors_.find(image);
  const double unloaded =
      floor == floors_.end() ? kAssumedFloor : floor->second.unloaded();
  return std::clamp(1 - unloaded / std::max(latency, kLeastLatency), 0.0,
                    kMostOccupancy);
}

InterferenceModel::Base InterferenceModel::BaseAt(
    Time now,
    const std::string& group,
    const std::string& image) const {
  const auto known = groups_.find(group);
  if (known == groups_.end()) {
    const auto usual = usual_.find(image);
    return {usual == usual_.end() ? kAssumedBase : usual->second,
            kMostBaseVariance, now};
  }
  const double age = AgeOf(known->second.at, now);
  return {known->second.mean,
          std::min(known->second.variance + kBaseDrift * kBaseDrift * age,
                   kMostBaseVariance),
          now};
}

double InterferenceModel::BaseOccupancy(const std::string& group,
                                        const std::string& image) const {
  return BaseAt(latest_, group, image).mean;
}

PairBelief InterferenceModel::BeliefOf(const std::string& image,
                                       const std::string& neighbour) const {
  const auto known = pairs_.find({image, neighbour});
  return known == pairs_.end() ? PriorBelief(latest_)
                               : Aged(known->second, latest_);
}

bool InterferenceModel::IsUncertain(const std::string& image,
                                    const std::string& neighbour) const {
  const double interferes = BeliefOf(image, neighbour).interferes;
  return interferes > kLikelyNot && interferes < kLikely;
}

double InterferenceModel::ExpectedRise(
    const std::string& image,
    std::span<const FillingNeighbour> neighbours) const {
  double rise = 0;
  for (const FillingNeighbour& neighbour : neighbours) {
    rise += neighbour.load * BeliefOf(image, neighbour.image).expected_level();
  }
  return rise;
}

double InterferenceModel::SafeRise(
    const std::string& image,
    std::span<const FillingNeighbour> neighbours) const {
  double rise = 0;
  double variance = 0;
  for (const Term& term : TermsOf(image, neighbours)) {
    rise += term.load * term.belief.expected_level();
    if (!term.belief.is_cleared()) {
      variance += term.load * term.load * term.belief.level_variance();
    }
  }
  return rise + kSafeDeviations * std::sqrt(variance);
}

std::vector<InterferenceModel::Term> InterferenceModel::TermsOf(
    const std::string& image,
    std::span<const FillingNeighbour> neighbours) const {
  std::vector<Term> terms;
  for (const FillingNeighbour& neighbour : neighbours) {
    const auto same = std::find_if(
        terms.begin(), terms.end(),
        [&](const Term& term) { return term.pair.second == neighbour.image; });
    if (same != terms.end()) {
      same->load += neighbour.load;
    } else {
      terms.push_back({{image, neighbour.image},
                       neighbour.load,
                       BeliefOf(image, neighbour.image)});
    }
  }
  std::erase_if(terms,
                [](const Term& term) { return term.load <= kTellingLoad; });
  std::sort(terms.begin(), terms.end(), [](const Term& a, const Term& b) {
    return std::tie(b.load, a.pair) < std::tie(a.load, b.pair);
  });
  return terms;
}

std::vector<InterferenceModel::Hypothesis> InterferenceModel::HypothesesOf(
    std::span<const Term> terms) {
  const std::size_t weighed = std::min(terms.size(), kMaxTerms);
  std::vector<Hypothesis> hypotheses(1);
  for (const Term& term : terms.subspan(weighed)) {
    hypotheses.front().factor += term.load * term.belief.expected_level();
    hypotheses.front().variance +=
        term.load * term.load * term.belief.level_variance();
  }
  for (const Term& term : terms.first(weighed)) {
    const std::size_t before = hypotheses.size();
    for (std::size_t i = 0; i < before; ++i) {
      Hypothesis with = hypotheses[i];
      with.interferes.push_back(true);
      with.weight *= term.belief.interferes;
      with.factor += term.load * term.belief.level;
      with.variance += term.load * term.load * term.belief.variance;
      hypotheses.push_back(std::move(with));
      hypotheses[i].interferes.push_back(false);
      hypotheses[i].weight *= 1 - term.belief.interferes;
    }
  }
  const std::size_t assignments = hypotheses.size();
  for (std::size_t i = 0; i < assignments; ++i) {
    Hypothesis& usual = hypotheses[i];
    if (std::find(usual.interferes.begin(), usual.interferes.end(), true) ==
        usual.interferes.end()) {
      continue;
    }
    Hypothesis jump = usual;
    jump.weight *= kJumps;
    jump.variance *= kJumpSpread;
    jump.spread = kJumpSpread;
    usual.weight *= 1 - kJumps;
    hypotheses.push_back(std::move(jump));
  }
  return hypotheses;
}

void InterferenceModel::Weigh(const Evidence& evidence,
                              std::vector<Hypothesis>& hypotheses) {
  double total = 0;
  for (Hypothesis& hypothesis : hypotheses) {
    const double base = evidence.base.mean;
    hypothesis.error = evidence.occupancy - base * hypothesis.factor;
    hypothesis.error_variance =
        evidence.noise * evidence.noise +
        evidence.base.variance * hypothesis.factor * hypothesis.factor +
        base * base * hypothesis.variance;
    const double variance = hypothesis.error_variance;
    const double likelihood =
        std::exp(-hypothesis.error * hypothesis.error / (2 * variance)) /
        std::sqrt(variance);
    hypothesis.outlier_weight = hypothesis.weight * kOutliers * kOutlierDensity;
    hypothesis.weight *= (1 - kOutliers) * likelihood;
    total += hypothesis.weight + hypothesis.outlier_weight;
  }
  for (Hypothesis& hypothesis : hypotheses) {
    hypothesis.weight /= total;
    hypothesis.outlier_weight /= total;
  }
}

InterferenceModel::Base InterferenceModel::UpdatedBase(
    const Base& base,
    std::span<const Hypothesis> hypotheses) {
  double mean = 0;
  double square = 0;
  for (const Hypothesis& hypothesis : hypotheses) {
    const double gain =
        base.variance * hypothesis.factor / hypothesis.error_variance;
    const double updated = base.mean + gain * hypothesis.error;
    mean += hypothesis.weight * updated;
    square +=
        hypothesis.weight *
        (base.variance * (1 - gain * hypothesis.factor) + updated * updated);
  }
  return {std::clamp(mean, kLeastBase, kMostOccupancy),
          std::max(square - mean * mean, kLeastBaseVariance), base.at};
}

PairBelief InterferenceModel::UpdatedBelief(
    const Base& base,
    std::span<const Hypothesis> hypotheses,
    const Term& term,
    std::size_t index) {
  Moments level;
  for (const Hypothesis& hypothesis : hypotheses) {
    if (!hypothesis.interferes[index]) {
      continue;
    }
    const double slope = base.mean * term.load;
    const double variance = term.belief.variance * hypothesis.spread;
    const double gain = variance * slope / hypothesis.error_variance;
    level.Add(hypothesis.weight,
              std::max(0.0, term.belief.level + gain * hypothesis.error),
              variance * (1 - gain * slope));
    level.Add(hypothesis.outlier_weight, term.belief.level,
              term.belief.variance);
  }
  PairBelief belief = term.belief;
  belief.interferes = std::clamp(level.weight(), kLeastDoubt, 1 - kLeastDoubt);
  // As far as the pair does not interfere, nothing was learned of its level.
  level.Add(1 - belief.interferes, kPriorLevel, kPriorVariance);
  belief.level = level.mean();
  belief.variance = std::max(level.variance(), kLeastVariance);
  return belief;
}

void InterferenceModel::Observe(Time now,
                                const LatencyReport& report,
                                std::span<const FillingNeighbour> neighbours) {
  latest_ = std::max(latest_, now);
  if (groups_.size() >= kMaxGroups && !groups_.contains(report.group)) {
    groups_.clear();
  }
  const double latency = std::max(report.latency, kLeastLatency);
  Floor& floor =
      floors_.try_emplace(report.image, Floor{latency, 0}).first->second;
  floor.least = std::min(floor.least, latency);
  ++floor.reports;
  const std::vector<Term> terms = TermsOf(report.image, neighbours);
  Evidence evidence;
  evidence.occupancy = OccupancyOf(report.image, latency);
  evidence.noise =
      floor.unloaded() / latency *
      (kReportNoise + kRoundingNoise * report.resolution / latency);
  evidence.base = BaseAt(now, report.group, report.image);
  std::vector<Hypothesis> hypotheses = HypothesesOf(terms);
  Weigh(evidence, hypotheses);
  groups_[report.group] = UpdatedBase(evidence.base, hypotheses);
  if (terms.empty()) {
    double& usual =
        usual_.try_emplace(report.image, kAssumedBase).first->second;
    usual += kUsualWeight * (evidence.occupancy - usual);
  }
  for (std::size_t i = 0; i < std::min(terms.size(), kMaxTerms); ++i) {
    pairs_[terms[i].pair] =
        UpdatedBelief(evidence.base, hypotheses, terms[i], i);
  }
}

}  // namespace banyan
