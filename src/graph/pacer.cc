#include "banyan/graph/pacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyan {
namespace {

// Parts of a latency target: above the first shares go down, towards the
// second; below the third they come up.
constexpr double kHighLatency = 0.8;
constexpr double kCutTo = 0.6;
constexpr double kLowLatency = 0.65;
// The part of the room below the high mark that one report may use up.
constexpr double kRoomUse = 0.5;
// Steps of one report, in parts of the full share.
constexpr double kMaxRise = 0.5;
constexpr double kLeastRise = 0.1;
// Neighbours that explain less than this part of an excess are not its cause;
// then all of them go down together.
constexpr double kLeastExplained = 0.5;
constexpr double kUnexplainedCut = 0.5;
// How long latencies take to follow a change of shares: reports cover half a
// second, and what is queued must be served first.
constexpr Span kSettleSpan = Millis(1200);
// A latency over its target is acted on again sooner.
constexpr Span kUrgentSpan = Millis(700);
// A task that is over its target for so long on end has its neighbours
// stopped, whatever the model says. Less than half of what is promised.
constexpr Span kMostOver = Millis(1400);
// A latency rises when it is this much greater than in the last report.
constexpr double kRise = 1.08;
// Shares that differ less than this are the same.
constexpr double kSameShare = 0.02;

std::vector<FillingNeighbour> NeighboursOf(
    const std::vector<FillingTask>& filling) {
  std::vector<FillingNeighbour> neighbours;
  neighbours.reserve(filling.size());
  for (const FillingTask& task : filling) {
    neighbours.push_back({task.image, static_cast<double>(task.percent) /
                                          static_cast<double>(kFullPercent)});
  }
  return neighbours;
}

// What each neighbour adds to a task's latency at its full share.
struct Weight {
  double weight = 0;
  std::size_t index = 0;
};

// Lowers shares, heaviest first, until the excess is gone.
void Cut(double excess,
         const std::vector<Weight>& lightest_first,
         std::vector<FillingNeighbour>& neighbours) {
  double explained = 0;
  for (const Weight& item : lightest_first) {
    explained += item.weight * neighbours[item.index].share;
  }
  if (explained < excess * kLeastExplained) {
    for (FillingNeighbour& neighbour : neighbours) {
      neighbour.share *= kUnexplainedCut;
    }
  }
  const std::vector<Weight> heaviest_first(lightest_first.rbegin(),
                                           lightest_first.rend());
  for (const Weight& item : heaviest_first) {
    if (excess <= 0 || item.weight <= 0) {
      return;
    }
    double& share = neighbours[item.index].share;
    const double less = std::min(share, excess / item.weight);
    share -= less;
    excess -= less * item.weight;
  }
}

}  // namespace

double RelativeLatency(const ServingTask& task) noexcept {
  return static_cast<double>(task.latency_ms) /
         static_cast<double>(std::max<std::int64_t>(task.target_ms, 1));
}

void Pacer::Observe(Time now,
                    const std::string& worker,
                    const std::vector<ServingTask>& serving,
                    const std::vector<FillingTask>& filling) {
  Site& site = sites_[worker];
  const std::vector<FillingNeighbour> neighbours = NeighboursOf(filling);
  std::map<RunRef, double> shares;
  std::vector<double> blame;
  double new_share = 0;
  for (std::size_t i = 0; i < filling.size(); ++i) {
    const double share = neighbours[i].share;
    const auto before = site.shares.find(filling[i].run);
    const double last = before == site.shares.end() ? 0 : before->second;
    if (std::abs(share - last) > kSameShare) {
      site.changed_at = now;
    }
    const auto settled = site.settled.find(filling[i].run);
    blame.push_back(std::max(
        0.0, share - (settled == site.settled.end() ? 0 : settled->second)));
    new_share += blame.back();
    shares[filling[i].run] = share;
  }
  site.shares = std::move(shares);
  site.is_settled = site.changed_at + kSettleSpan <= now;
  site.rising.clear();
  std::vector<double> present;
  present.reserve(neighbours.size());
  for (const FillingNeighbour& neighbour : neighbours) {
    present.push_back(neighbour.share);
  }
  if (new_share < kSameShare) {
    blame = present;
  }
  for (const ServingTask& task : serving) {
    if (task.latency_ms <= 0) {
      continue;
    }
    const double latency = RelativeLatency(task);
    const auto before = site.latencies.find(task.group);
    const bool is_rising =
        before == site.latencies.end() || latency > before->second * kRise;
    if (is_rising) {
      site.rising.insert(task.group);
    }
    model_.Sample(now, worker, task.group, task.image, latency,
                  !filling.empty());
    const double base = model_.BaseOf(now, task.group, task.image);
    const bool is_excess =
        latency / base - 1 > model_.ExpectedPressure(task.image, neighbours);
    // A latency that falls may still bear what worked here before.
    if (is_excess && is_rising) {
      model_.Learn(base, task.image, latency, neighbours, blame);
    } else if (site.is_settled) {
      model_.Learn(base, task.image, latency, neighbours, present);
    }
  }
  site.latencies.clear();
  for (const ServingTask& task : serving) {
    double& latency = site.latencies[task.group];
    latency = std::max(latency, RelativeLatency(task));
  }
  if (site.is_settled) {
    site.settled = site.shares;
  }
}

std::vector<RunPace> Pacer::Decide(Time now,
                                   const std::string& worker,
                                   const std::vector<ServingTask>& serving,
                                   const std::vector<FillingTask>& filling) {
  Site& site = sites_[worker];
  const std::vector<FillingNeighbour> present = NeighboursOf(filling);
  std::vector<FillingNeighbour> wanted = present;
  // How far each may come up, as the task that it presses most allows.
  const bool may_rise = site.changed_at + kUrgentSpan <= now;
  std::vector<double> rises(filling.size(), may_rise ? kMaxRise : 0);
  bool is_harmed = false;
  std::set<std::string> over;
  for (const ServingTask& task : serving) {
    if (RelativeLatency(task) > 1) {
      over.insert(task.group);
      const Time since =
          site.over_since.try_emplace(task.group, now).first->second;
      is_harmed = is_harmed || since + kMostOver <= now;
    }
  }
  std::erase_if(site.over_since,
                [&](const auto& item) { return !over.contains(item.first); });
  for (const ServingTask& task : serving) {
    const double latency = RelativeLatency(task);
    const double base = model_.BaseOf(now, task.group, task.image);
    std::vector<Weight> weights;
    for (std::size_t i = 0; i < filling.size(); ++i) {
      weights.push_back(
          {base * model_.PressureOf(task.image, filling[i].image), i});
    }
    std::sort(
        weights.begin(), weights.end(),
        [](const Weight& a, const Weight& b) { return a.weight < b.weight; });
    const bool is_urgent = latency > 1 && site.changed_at + kUrgentSpan <= now;
    const bool may_cut =
        site.is_settled || is_urgent || site.rising.contains(task.group);
    if (latency > kHighLatency && may_cut) {
      Cut(latency - kCutTo, weights, wanted);
    }
    const bool is_low =
        latency < kLowLatency && !site.rising.contains(task.group);
    double room = is_low ? (kHighLatency - latency) * kRoomUse : 0;
    bool has_probe = false;
    for (const Weight& item : weights) {
      const double missing = 1 - present[item.index].share;
      double rise =
          item.weight <= 0 ? kMaxRise : std::min(kMaxRise, room / item.weight);
      // One neighbour at a time shows whether the model is still right.
      if (room > 0 && rise < kLeastRise && missing > 0 && !has_probe) {
        rise = kLeastRise;
        has_probe = true;
      }
      rise = std::min(rise, missing);
      room = std::max(0.0, room - rise * item.weight);
      rises[item.index] = std::min(rises[item.index], rise);
    }
  }
  std::vector<RunPace> paces;
  for (std::size_t i = 0; i < filling.size(); ++i) {
    const double share = wanted[i].share < present[i].share
                             ? wanted[i].share
                             : present[i].share + rises[i];
    const std::int64_t percent =
        is_harmed ? 0
                  : std::lround(std::clamp(share, 0.0, 1.0) *
                                static_cast<double>(kFullPercent));
    if (percent != filling[i].percent) {
      paces.push_back({filling[i].run, percent});
    }
  }
  return paces;
}

}  // namespace banyan
