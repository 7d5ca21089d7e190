#include "banyan/graph/plan_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyan {
namespace {

// Interval between reports of a process that stays behind.
constexpr Duration kReportInterval = std::chrono::seconds(5);
// Maximum number of versions whose times are kept.
constexpr std::size_t kMaxVersions = 256;

}  // namespace

void PlanWatch::OnInForce(Time now, std::uint64_t version) {
  in_force_at_.try_emplace(version, now);
  // The oldest version, which the process furthest behind lacks, is kept.
  if (in_force_at_.size() > kMaxVersions) {
    in_force_at_.erase(std::next(in_force_at_.begin()));
  }
}

void PlanWatch::OnHeld(Time now,
                       const std::string& peer,
                       std::uint64_t version) {
  Peer& entry = peers_.try_emplace(peer, Peer{0, now}).first->second;
  entry.version = version;
}

Time PlanWatch::BehindSince(Time now, const Peer& peer) const {
  const auto missing = in_force_at_.upper_bound(peer.version);
  return missing == in_force_at_.end()
             ? now
             : std::max(missing->second, peer.attached_at);
}

Events PlanWatch::Tick(Time now) {
  Events events;
  std::uint64_t oldest_held = UINT64_MAX;
  for (auto& [id, peer] : peers_) {
    oldest_held = std::min(oldest_held, peer.version);
    const Time since = BehindSince(now, peer);
    if (since == now) {
      if (std::exchange(peer.is_reported, false)) {
        events.push_back(Event(EventId::kPlanCaughtUp)
                             .With("peer", id)
                             .With("version", peer.version));
      }
      peer.report_at = Time::max();
      continue;
    }
    if (peer.report_at == Time::max()) {
      peer.report_at = since + bound_;
    }
    if (peer.report_at <= now) {
      peer.is_reported = true;
      peer.report_at = now + kReportInterval;
      events.push_back(Event(EventId::kPlanBehind)
                           .With("peer", id)
                           .With("held", peer.version)
                           .With("version", in_force_at_.rbegin()->first)
                           .With("behind_ms", ToMillis(now - since)));
    }
  }
  if (!peers_.empty() && !in_force_at_.empty()) {
    // The version in force stays, as what a process that attaches later lacks.
    auto oldest_lacked = in_force_at_.upper_bound(oldest_held);
    if (oldest_lacked == in_force_at_.end()) {
      --oldest_lacked;
    }
    in_force_at_.erase(in_force_at_.begin(), oldest_lacked);
  }
  return events;
}

std::size_t PlanWatch::PeersBehind(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return BehindSince(now, entry.second) + bound_ < now;
      }));
}

Duration PlanWatch::LongestLag(Time now) const {
  Duration longest{0};
  for (const auto& [id, peer] : peers_) {
    longest = std::max(longest, now - BehindSince(now, peer));
  }
  return longest;
}

}  // namespace banyan
