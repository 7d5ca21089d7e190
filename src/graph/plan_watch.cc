#include "banyan/graph/plan_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyan {
namespace {

// Interval between reports of a process that stays behind.
constexpr Duration kReportInterval = std::chrono::seconds(5);
// How long a process that is no longer attached is remembered. One that turns
// from replica to replica comes back to each of them within seconds.
constexpr Duration kDetachedRetention = std::chrono::seconds(60);
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
  Peer& entry = peers_.try_emplace(peer, Peer{version, now}).first->second;
  const bool has_restarted = version < entry.version;
  if (has_restarted) {
    entry.attached_at = now;
  }
  entry.version = version;
  entry.detached_at.reset();
}

void PlanWatch::Remove(Time now, const std::string& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.detached_at = now;
  }
}

Time PlanWatch::BehindSince(Time now, const Peer& peer) const {
  const auto missing = in_force_at_.upper_bound(peer.version);
  return missing == in_force_at_.end()
             ? now
             : std::max(missing->second, peer.attached_at);
}

bool PlanWatch::IsBehind(Time now, const Peer& peer) const {
  return !peer.detached_at && BehindSince(now, peer) + bound_ <= now;
}

Events PlanWatch::Tick(Time now) {
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.detached_at &&
           *entry.second.detached_at + kDetachedRetention <= now;
  });
  Events events;
  std::uint64_t oldest_held = UINT64_MAX;
  for (auto& [id, peer] : peers_) {
    oldest_held = std::min(oldest_held, peer.version);
    const Time since = BehindSince(now, peer);
    if (IsBehind(now, peer) && peer.next_report_at <= now) {
      peer.is_reported = true;
      peer.next_report_at = now + kReportInterval;
      events.push_back(Event(EventId::kPlanBehind)
                           .With("peer", id)
                           .With("held", peer.version)
                           .With("version", in_force_at_.rbegin()->first)
                           .With("behind_ms", ToMillis(now - since)));
    } else if (since == now && std::exchange(peer.is_reported, false)) {
      peer.next_report_at = Time{};
      events.push_back(Event(EventId::kPlanCaughtUp)
                           .With("peer", id)
                           .With("version", peer.version));
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

std::size_t PlanWatch::peers() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [](const auto& entry) { return !entry.second.detached_at; }));
}

std::size_t PlanWatch::PeersBehind(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [&](const auto& entry) { return IsBehind(now, entry.second); }));
}

Duration PlanWatch::LongestLag(Time now) const {
  Duration longest{0};
  for (const auto& [id, peer] : peers_) {
    if (!peer.detached_at) {
      longest = std::max(longest, now - BehindSince(now, peer));
    }
  }
  return longest;
}

}  // namespace banyan
