#include <algorithm>

#include "banyan/graph/graph_leader.h"

namespace banyan {

void GraphLeader::OnFollowed(Time now, const GraphApplyResult& applied) {
  if (applied.admitted) {
    unknown_leases_.OnAdmitted(now, *applied.admitted);
    numbers_.OnAdmitted(*applied.admitted);
  }
}

bool GraphLeader::HasOther(const GraphTable& table,
                           const std::string& agent,
                           const WorkerIncarnation& incarnation) {
  return std::any_of(
      table.workers().begin(), table.workers().end(), [&](const auto& item) {
        return (item.second.agent == agent || item.first == incarnation.id) &&
               item.second.info.life != incarnation;
      });
}

bool GraphLeader::ProposeInheritedEnds(const GraphTable& table,
                                       const WorkerSync& sync) {
  const auto earlier = table.workers().find(sync.info.life.id);
  if (earlier == table.workers().end()) {
    return false;
  }
  EndRuns ends{earlier->second.info.life, {}};
  for (const EndedRun& row : sync.ended) {
    if (row.reason == RunEndReason::kDone &&
        earlier->second.runs.contains(row.run)) {
      ends.rows.push_back({0, row.run, row.reason, row.checkpoint});
    }
  }
  if (ends.rows.empty()) {
    return false;
  }
  out_.proposals.emplace_back(std::move(ends));
  return true;
}

void GraphLeader::ProposeAdmission(Time now,
                                   const GraphTable& table,
                                   const std::string& agent,
                                   const WorkerSync& sync) {
  WorkerInfo info = sync.info;
  info.remaining_ms = 0;
  const GraphWorker* known = table.FindWorker(info.life);
  if (known != nullptr && known->info == info && known->agent == agent) {
    return;
  }
  // Asked of any incarnation: one that refuses its agent's calls learns a token
  // by it, and one with the earlier start waits for it to end the other.
  if (known == nullptr && !numbers_.IsFenced(sync)) {
    out_.orders.push_back({agent, numbers_.Request(info.life)});
    return;
  }
  // Only the worker can tell that another incarnation has taken its place.
  if (known == nullptr && !sync.reachable &&
      HasOther(table, agent, info.life)) {
    return;
  }
  GraphWorkerView& view = views_[info.life.id];
  const bool is_waiting = view.life == info.life &&
                          view.admission_proposed_at + kProposalTimeout > now &&
                          view.admission_proposed_at != Time{};
  const bool is_older = view.life.id == info.life.id &&
                        view.life.started_at_ms > info.life.started_at_ms;
  if (is_older || (is_waiting && known == nullptr)) {
    return;
  }
  if (known != nullptr && is_waiting && known->info.draining == info.draining) {
    return;
  }
  if (known == nullptr) {
    if (ProposeInheritedEnds(table, sync)) {
      return;
    }
    for (const auto& [id, other] : table.workers()) {
      if (other.agent == agent &&
          other.info.life.started_at_ms < info.life.started_at_ms) {
        ProposeUnseenCrash(table, other);
        ProposeRemoval(now, other, {}, "a later life came");
      }
    }
    ViewFor(info.life).drop_proposed = false;
  }
  view.admission_proposed_at = now;
  out_.proposals.emplace_back(AdmitWorker{info, agent});
}

}  // namespace banyan
