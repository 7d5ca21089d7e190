#include "banyan/graph/interference.h"

#include <algorithm>

namespace banyan {
namespace {

// What is assumed of images that were never seen: a task that serves alone
// needs a quarter of its target, and a neighbour adds a third of that.
constexpr double kAssumedBase = 0.25;
constexpr double kAssumedPressure = 0.3;
// Weight of one observation. Pressure changes within seconds and a report
// comes twice a second, so a few reports must turn the estimate.
constexpr double kPressureWeight = 0.5;
// Weight of a latency without neighbours in the usual base.
constexpr double kLoneWeight = 0.5;
// The usual base follows a lower latency at once and a higher one slowly.
constexpr double kBaseRise = 0.03;
// Reports older than this tell nothing of the present load.
constexpr Span kSampleAge = Millis(1500);
// Groups and reports that are kept.
constexpr std::size_t kMaxGroups = 4096;
constexpr double kLeastBase = 0.02;

}  // namespace

double InterferenceModel::PressureOf(const std::string& serving,
                                     const std::string& filling) const {
  const auto found = pressure_.find({serving, filling});
  return found == pressure_.end() ? kAssumedPressure : found->second;
}

double InterferenceModel::BaseOf(Time now,
                                 const std::string& group,
                                 const std::string& serving) const {
  std::size_t fresh = 0;
  double least = 0;
  const auto samples = groups_.find(group);
  if (samples != groups_.end()) {
    for (const auto& [worker, sample] : samples->second) {
      if (sample.at + kSampleAge < now) {
        continue;
      }
      least = fresh == 0 ? sample.latency : std::min(least, sample.latency);
      ++fresh;
    }
  }
  // One report alone can't tell load from pressure.
  return std::max(fresh > 1 ? least : UsualBase(serving), kLeastBase);
}

double InterferenceModel::UsualBase(const std::string& serving) const {
  const auto usual = base_.find(serving);
  return usual == base_.end() ? kAssumedBase : usual->second;
}

void InterferenceModel::Sample(Time now,
                               const std::string& worker,
                               const std::string& group,
                               const std::string& serving,
                               double latency,
                               bool has_neighbours) {
  if (groups_.size() >= kMaxGroups && !groups_.contains(group)) {
    groups_.clear();
  }
  Report& report = groups_[group][worker];
  report.latency =
      report.at == now ? std::min(report.latency, latency) : latency;
  report.at = now;
  double& usual =
      base_.try_emplace(serving, std::min(latency, kAssumedBase)).first->second;
  if (!has_neighbours) {
    usual += kLoneWeight * (latency - usual);
  } else if (latency < usual) {
    usual = latency;
  } else {
    usual += kBaseRise * (latency - usual);
  }
}

double InterferenceModel::ExpectedPressure(
    const std::string& serving,
    std::span<const FillingNeighbour> neighbours) const {
  double expected = 0;
  for (const FillingNeighbour& neighbour : neighbours) {
    expected += neighbour.share * PressureOf(serving, neighbour.image);
  }
  return expected;
}

void InterferenceModel::Learn(double base,
                              const std::string& serving,
                              double latency,
                              std::span<const FillingNeighbour> neighbours,
                              std::span<const double> blame) {
  double norm = 0;
  for (const double part : blame) {
    norm += part * part;
  }
  if (norm <= 0) {
    return;
  }
  // A normalized least-mean-squares step.
  const double error =
      latency / base - 1 - ExpectedPressure(serving, neighbours);
  for (std::size_t i = 0; i < neighbours.size(); ++i) {
    double& pressure =
        pressure_.try_emplace({serving, neighbours[i].image}, kAssumedPressure)
            .first->second;
    pressure =
        std::max(0.0, pressure + kPressureWeight * error * blame[i] / norm);
  }
}

}  // namespace banyan
