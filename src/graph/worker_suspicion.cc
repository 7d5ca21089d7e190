#include "banyan/graph/worker_suspicion.h"

#include <algorithm>

namespace banyan {

bool WorkerSuspicion::OnFailure(Time now,
                                const RunRef& run,
                                bool is_long_running) {
  std::erase_if(failed_graphs_, [&](const auto& item) {
    return item.second.at + kRetention <= now;
  });
  last_failure_at_ = now;
  if (is_long_running && failed_graphs_.contains(run.task.graph)) {
    return false;
  }
  failed_graphs_[run.task.graph] = Failure{now, is_long_running, false};
  const bool was_suspected = is_suspected(now);
  const bool is_failed_probe = was_suspected && probe_ && probe_->run == run;
  if ((was_suspected && is_long_running) ||
      (failed_graph_count() < kMinFailedGraphs && !is_failed_probe)) {
    return false;
  }
  quarantined_until_ = now + kCooldown;
  suspected_until_ = now + kRetention;
  probe_.reset();
  return true;
}

std::size_t WorkerSuspicion::failed_graph_count() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(failed_graphs_.begin(), failed_graphs_.end(),
                    [](const auto& item) { return !item.second.is_refuted; }));
}

void WorkerSuspicion::OnPlaced(Time now, const RunRef& run) {
  if (is_suspected(now)) {
    probe_ = Probe{run, now + kMaxProbeTime};
  }
}

void WorkerSuspicion::Clear() noexcept {
  std::erase_if(failed_graphs_,
                [](const auto& item) { return !item.second.is_long_running; });
  for (auto& [graph, failure] : failed_graphs_) {
    failure.is_refuted = true;
  }
  probe_.reset();
  quarantined_until_ = Time{};
  suspected_until_ = Time{};
}

WorkerAccess WorkerSuspicion::AccessAt(Time now,
                                       const std::set<RunRef>& active) const {
  if (!is_suspected(now)) {
    return WorkerAccess::kOpen;
  }
  if (quarantined_until_ > now) {
    return WorkerAccess::kQuarantine;
  }
  const bool is_probing =
      probe_ && probe_->ends_at > now && active.contains(probe_->run);
  return is_probing ? WorkerAccess::kProbing : WorkerAccess::kProbe;
}

}  // namespace banyan
