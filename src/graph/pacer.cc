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
constexpr double kMaxRise = 0.35;
constexpr double kLeastRise = 0.1;
// For so long after a task was over its target, neighbours that may have been
// the cause come up by the least step only.
constexpr Span kWaryFor = Millis(2000);
// Neighbours that explain less than this part of an excess are not its cause;
// then all of them go down together.
constexpr double kLeastExplained = 0.5;
constexpr double kUnexplainedCut = 0.5;
// What a report covers, with the time that an order takes. A change of shares
// that is younger does not show in it as a whole.
constexpr Span kReportSpan = Millis(700);
// A task that is over its target for so long on end has its neighbours
// stopped, whatever the model says. Less than half of what is promised.
constexpr Span kMostOver = Millis(1400);
// From this probability on a neighbour is likely to interfere.
constexpr double kSuspect = 0.5;
// At this latency harmless neighbours are paced like all others: if they were
// harmless, the task would not be there.
constexpr double kSparedBelow = 0.95;
// A latency rises when it is this much greater than in the last report.
constexpr double kRise = 1.08;

// Returns the shares at which tasks were ordered to work, 0 to 1.
std::vector<double> SharesOf(const std::vector<FillingTask>& filling) {
  std::vector<double> shares;
  shares.reserve(filling.size());
  for (const FillingTask& task : filling) {
    shares.push_back(static_cast<double>(task.percent) /
                     static_cast<double>(kFullPercent));
  }
  return shares;
}

// What each neighbour adds to a task's occupancy at its full share.
struct Weight {
  double weight = 0;
  std::size_t index = 0;
  // Whether the neighbour is known not to interfere, and whether it is likely
  // to.
  bool is_cleared = false;
  bool is_suspect = false;
};

// Lowers shares, heaviest first, until the excess is gone. Where the model does
// not explain it, all that may be the cause go down together first; over the
// target, where a queue's latency says little of how far, all that are likely
// to be.
void Cut(double excess,
         double latency,
         const std::vector<Weight>& lightest_first,
         std::vector<double>& shares) {
  double explained = 0;
  for (const Weight& item : lightest_first) {
    explained += item.weight * shares[item.index];
  }
  const bool is_explained = explained >= excess * kLeastExplained;
  const double factor =
      std::min(kUnexplainedCut, kCutTo / std::max(latency, kCutTo));
  for (const Weight& item : lightest_first) {
    const bool goes_down =
        is_explained ? latency >= 1 && item.is_suspect : !item.is_cleared;
    shares[item.index] *= goes_down ? factor : 1;
  }
  const std::vector<Weight> heaviest_first(lightest_first.rbegin(),
                                           lightest_first.rend());
  for (const Weight& item : heaviest_first) {
    if (excess <= 0 || item.is_cleared || item.weight <= 0) {
      return;
    }
    double& share = shares[item.index];
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
  std::vector<FillingNeighbour> neighbours;
  std::map<RunRef, std::int64_t> percents;
  for (const FillingTask& task : filling) {
    neighbours.push_back({task.image, task.used});
    percents[task.run] = task.percent;
    const auto before = site.percents.find(task.run);
    if (before == site.percents.end() || before->second != task.percent) {
      site.changed_at[task.run] = now;
    }
  }
  std::erase_if(site.changed_at, [&](const auto& item) {
    return !percents.contains(item.first);
  });
  site.percents = std::move(percents);
  site.rising.clear();
  for (const ServingTask& task : serving) {
    if (task.latency_ms <= 0) {
      continue;
    }
    const double latency = RelativeLatency(task);
    const auto before = site.latencies.find(task.group);
    if (before == site.latencies.end() || latency > before->second * kRise) {
      site.rising.insert(task.group);
    }
    model_.Observe(
        now,
        {task.group, task.image, latency,
         1 / static_cast<double>(std::max<std::int64_t>(task.target_ms, 1))},
        neighbours);
  }
  site.latencies.clear();
  for (const ServingTask& task : serving) {
    double& latency = site.latencies[task.group];
    latency = std::max(latency, RelativeLatency(task));
  }
}

std::vector<RunThrottle> Pacer::Decide(
    Time now,
    const std::string& worker,
    const std::vector<ServingTask>& serving,
    const std::vector<FillingTask>& filling) {
  Site& site = sites_[worker];
  const std::vector<double> present = SharesOf(filling);
  std::vector<double> wanted = present;
  // How far each may come up, as the task that it presses most allows.
  std::vector<double> rises(filling.size(), kMaxRise);
  // What each will use beyond what the report knew of.
  std::vector<double> pending;
  for (std::size_t i = 0; i < filling.size(); ++i) {
    const auto changed = site.changed_at.find(filling[i].run);
    const bool is_pending =
        changed != site.changed_at.end() && changed->second + kReportSpan > now;
    pending.push_back(
        is_pending ? present[i] * filling[i].size - filling[i].used : 0);
  }
  bool is_harmed = false;
  std::set<std::string> over;
  for (const ServingTask& task : serving) {
    if (RelativeLatency(task) >= 1) {
      over.insert(task.group);
      site.over_at[task.group] = now;
      const Time since =
          site.over_since.try_emplace(task.group, now).first->second;
      is_harmed = is_harmed || since + kMostOver <= now;
    }
  }
  std::erase_if(site.over_since,
                [&](const auto& item) { return !over.contains(item.first); });
  std::erase_if(site.over_at, [&](const auto& item) {
    return item.second + kWaryFor <= now;
  });
  for (const ServingTask& task : serving) {
    const double latency = RelativeLatency(task);
    const auto occupancy = [&](double at) {
      return model_.OccupancyOf(task.image, at);
    };
    const double alone = model_.BaseOccupancy(task.group, task.image);
    std::vector<Weight> weights;
    double expected = occupancy(latency);
    for (std::size_t i = 0; i < filling.size(); ++i) {
      const PairBelief belief = model_.BeliefOf(task.image, filling[i].image);
      const bool is_cleared = belief.is_cleared() && latency < kSparedBelow;
      weights.push_back({alone * filling[i].size * belief.expected_level(), i,
                         is_cleared, belief.interferes >= kSuspect});
      expected += alone * pending[i] * belief.expected_level();
    }
    std::sort(
        weights.begin(), weights.end(),
        [](const Weight& a, const Weight& b) { return a.weight < b.weight; });
    if (expected > occupancy(kHighLatency)) {
      Cut(expected - occupancy(kCutTo), latency, weights, wanted);
    }
    const bool is_low =
        expected < occupancy(kLowLatency) && !site.rising.contains(task.group);
    // Neighbours that are not likely to interfere need no low latency to come
    // up, only one that is not high.
    double room = std::max(0.0, occupancy(kHighLatency) - expected) * kRoomUse;
    bool has_probe = false;
    const bool is_wary = site.over_at.contains(task.group);
    for (const Weight& item : weights) {
      const double missing = 1 - present[item.index];
      const double most = is_wary && !item.is_cleared ? kLeastRise : kMaxRise;
      const bool may_rise = is_low || !item.is_suspect;
      double rise = 0;
      if (item.is_cleared || item.weight <= 0) {
        rise = most;
      } else if (may_rise) {
        rise = std::min(most, room / item.weight);
      }
      // One neighbour at a time shows whether the model is still right.
      if (may_rise && room > 0 && rise < kLeastRise && missing > 0 &&
          !has_probe) {
        rise = kLeastRise;
        has_probe = true;
      }
      rise = std::min(rise, missing);
      room = std::max(0.0, room - rise * item.weight);
      rises[item.index] = std::min(rises[item.index], rise);
    }
  }
  std::vector<RunThrottle> paces;
  for (std::size_t i = 0; i < filling.size(); ++i) {
    const double share =
        wanted[i] < present[i] ? wanted[i] : present[i] + rises[i];
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
