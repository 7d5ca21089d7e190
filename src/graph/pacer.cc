#include "banyan/graph/pacer.h"

#include <algorithm>
#include <utility>

namespace banyan {
namespace {

// Parts of a latency target: what pacing aims at, so that a swing of the load
// has room; and above what nothing that fills works on.
constexpr double kAimedLatency = 0.7;
constexpr double kStopLatency = 1.0;
// The most that a share rises at one report, in percent.
constexpr std::int64_t kMaxRise = 20;
// Changes smaller than this are not worth an order, in percent.
constexpr std::int64_t kLeastChange = 5;
constexpr std::int64_t kFullShare = 100;

std::vector<FillingNeighbour> NeighboursOf(
    const std::vector<FillingTask>& filling) {
  std::vector<FillingNeighbour> neighbours;
  neighbours.reserve(filling.size());
  for (const FillingTask& task : filling) {
    neighbours.push_back({task.image, static_cast<double>(task.percent) /
                                          static_cast<double>(kFullShare)});
  }
  return neighbours;
}

double LatencyOf(const ServingTask& task) {
  return static_cast<double>(task.latency_ms) /
         static_cast<double>(std::max<std::int64_t>(task.target_ms, 1));
}

}  // namespace

void Pacer::Observe(const std::vector<ServingTask>& serving,
                    const std::vector<FillingTask>& filling) {
  const std::vector<FillingNeighbour> neighbours = NeighboursOf(filling);
  for (const ServingTask& task : serving) {
    if (task.latency_ms > 0) {
      model_.Observe(task.image, LatencyOf(task), neighbours);
    }
  }
}

std::vector<RunPace> Pacer::Decide(
    const std::vector<ServingTask>& serving,
    const std::vector<FillingTask>& filling) const {
  std::vector<std::int64_t> shares(filling.size(), kFullShare);
  const std::vector<FillingNeighbour> present = NeighboursOf(filling);
  for (const ServingTask& task : serving) {
    const double now = LatencyOf(task);
    const double predicted = model_.Predict(task.image, present);
    // What the model does not explain, such as the task's own load, stays.
    const double unexplained = std::max(now - predicted, 0.0);
    double room = kAimedLatency - unexplained - model_.Predict(task.image, {});
    if (now > kStopLatency) {
      room = 0;
    }
    // The lightest neighbours work on first; the heavy ones share what is left.
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < filling.size(); ++i) {
      order.emplace_back(model_.PressureOf(task.image, filling[i].image), i);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [pressure, i] : order) {
      const double share =
          pressure <= 0 ? 1.0 : std::clamp(room / pressure, 0.0, 1.0);
      room -= share * pressure;
      shares[i] = std::min(
          shares[i],
          static_cast<std::int64_t>(share * static_cast<double>(kFullShare)));
      if (now > kStopLatency) {
        shares[i] = 0;
      }
    }
  }
  std::vector<RunPace> paces;
  for (std::size_t i = 0; i < filling.size(); ++i) {
    const std::int64_t present_share = filling[i].percent;
    const std::int64_t share = std::min(shares[i], present_share + kMaxRise);
    const bool is_end = share == 0 || share == kFullShare;
    const std::int64_t change = std::abs(share - present_share);
    if (change >= kLeastChange || (is_end && change > 0)) {
      paces.push_back({filling[i].run, share});
    }
  }
  return paces;
}

}  // namespace banyan
