#include "banyan/graph/interference.h"

#include <algorithm>
#include <vector>

namespace banyan {
namespace {

// What is assumed of images that were never seen: a task that serves alone
// needs a quarter of its target, and a sixth of it without any load.
constexpr double kAssumedBase = 0.25;
constexpr double kAssumedFloor = 1.0 / 6;
// Between a light and a heavy neighbour.
constexpr double kAssumedPressure = 3;
// Occupancies are kept between these; latencies are reported in whole
// milliseconds.
constexpr double kLeastOccupancy = 0.05;
constexpr double kMostOccupancy = 0.98;
// What a neighbour of a tenth of the worker adds while the task is half
// occupied; less than that tells little.
constexpr double kTellingLoad = 0.05;
// Weight of one observation. Pressure changes within seconds and a report
// comes twice a second, so a few reports must turn the estimate.
constexpr double kPressureWeight = 0.7;
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
  double& floor = floor_.try_emplace(serving, kAssumedFloor).first->second;
  floor = std::max(kLeastBase, std::min(floor, latency));
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

double InterferenceModel::OccupancyOf(const std::string& serving,
                                      double latency) const {
  const auto floor = floor_.find(serving);
  const double unloaded = floor == floor_.end() ? kAssumedFloor : floor->second;
  return std::clamp(1 - unloaded / std::max(latency, kLeastBase),
                    kLeastOccupancy, kMostOccupancy);
}

double InterferenceModel::ExpectedPressure(
    const std::string& serving,
    std::span<const FillingNeighbour> neighbours) const {
  double expected = 0;
  for (const FillingNeighbour& neighbour : neighbours) {
    expected += neighbour.load * PressureOf(serving, neighbour.image);
  }
  return expected;
}

void InterferenceModel::Learn(double base,
                              const std::string& serving,
                              double latency,
                              std::span<const FillingNeighbour> neighbours) {
  const double alone = OccupancyOf(serving, base);
  std::vector<double> regressors;
  double norm = 0;
  for (const FillingNeighbour& neighbour : neighbours) {
    regressors.push_back(alone * neighbour.load);
    norm += regressors.back() * regressors.back();
  }
  if (norm <= 0) {
    return;
  }
  // A normalized least-mean-squares step, small where little is to be seen.
  norm += kTellingLoad * kTellingLoad;
  const double error = OccupancyOf(serving, latency) -
                       alone * (1 + ExpectedPressure(serving, neighbours));
  for (std::size_t i = 0; i < neighbours.size(); ++i) {
    double& pressure =
        pressure_.try_emplace({serving, neighbours[i].image}, kAssumedPressure)
            .first->second;
    pressure = std::max(
        0.0, pressure + kPressureWeight * error * regressors[i] / norm);
  }
}

}  // namespace banyan
