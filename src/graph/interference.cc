#include "banyan/graph/interference.h"

#include <algorithm>

namespace banyan {
namespace {

// What is assumed of images that were never seen together: a task that serves
// alone needs a quarter of its target, and a neighbour adds a quarter.
constexpr double kAssumedBase = 0.25;
constexpr double kAssumedPressure = 0.25;
// Weight of one observation. Pressure changes within seconds and a report
// comes twice a second, so a few reports must turn the estimate.
constexpr double kBaseWeight = 0.2;
constexpr double kPressureWeight = 0.4;

}  // namespace

double InterferenceModel::PressureOf(const std::string& serving,
                                     const std::string& filling) const {
  const auto found = pressure_.find({serving, filling});
  return found == pressure_.end() ? kAssumedPressure : found->second;
}

double InterferenceModel::Predict(
    const std::string& serving,
    std::span<const FillingNeighbour> neighbours) const {
  const auto base = base_.find(serving);
  double latency = base == base_.end() ? kAssumedBase : base->second;
  for (const FillingNeighbour& neighbour : neighbours) {
    latency += neighbour.share * PressureOf(serving, neighbour.image);
  }
  return latency;
}

void InterferenceModel::Observe(const std::string& serving,
                                double latency,
                                std::span<const FillingNeighbour> neighbours) {
  double norm = 0;
  for (const FillingNeighbour& neighbour : neighbours) {
    norm += neighbour.share * neighbour.share;
  }
  if (norm <= 0) {
    double& base = base_.try_emplace(serving, latency).first->second;
    base += kBaseWeight * (latency - base);
    return;
  }
  // A normalized least-mean-squares step, each neighbour by its share.
  const double error = latency - Predict(serving, neighbours);
  for (const FillingNeighbour& neighbour : neighbours) {
    double& pressure =
        pressure_.try_emplace({serving, neighbour.image}, kAssumedPressure)
            .first->second;
    pressure = std::max(
        0.0, pressure + kPressureWeight * error * neighbour.share / norm);
  }
}

}  // namespace banyan
