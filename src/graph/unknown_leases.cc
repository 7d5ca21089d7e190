#include "banyan/graph/unknown_leases.h"

namespace banyan {
namespace {

// How long the end of such leases is remembered for workers that are admitted
// again.
constexpr Duration kRetention = std::chrono::minutes(10);

}  // namespace

void UnknownLeases::OnRestored(Time now) {
  ends_.clear();
  restored_end_ = now + OnSlowClock(max_lease_);
}

void UnknownLeases::OnAdmitted(Time now, const WorkerIncarnation& incarnation) {
  std::erase_if(ends_, [&](const auto& item) {
    return item.second.second + kRetention <= now;
  });
  auto& [known, end] = ends_[incarnation.id];
  if (known != incarnation) {
    known = incarnation;
    end = now + OnSlowClock(max_lease_);
  }
}

bool UnknownLeases::WasAdmitted(const WorkerIncarnation& incarnation) const {
  const auto found = ends_.find(incarnation.id);
  return found != ends_.end() && found->second.first == incarnation;
}

Time UnknownLeases::EndOf(const WorkerIncarnation& incarnation) const {
  return WasAdmitted(incarnation) ? ends_.at(incarnation.id).second
                                  : restored_end_;
}

}  // namespace banyan
