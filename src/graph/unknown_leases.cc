#include "banyan/graph/unknown_leases.h"

namespace banyan {

void UnknownLeases::OnRestored(Time now) {
  ends_.clear();
  restored_end_ = now + OnSlowClock(max_lease_);
}

void UnknownLeases::OnAdmitted(Time now, const WorkerIncarnation& incarnation) {
  std::erase_if(ends_, [&](const auto& item) { return item.second <= now; });
  ends_[incarnation] = now + OnSlowClock(max_lease_);
}

Time UnknownLeases::EndOf(const WorkerIncarnation& incarnation) const {
  const auto found = ends_.find(incarnation);
  return found == ends_.end() ? restored_end_ : found->second;
}

}  // namespace banyan
