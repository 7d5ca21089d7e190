#include <algorithm>

#include "banyan/graph/graph_leader.h"
#include "banyan/graph/run_event.h"

namespace banyan {

void GraphLeader::OnFollowed(Time now, const GraphApplyResult& applied) {
  if (applied.admitted) {
    unknown_leases_.OnAdmitted(now, *applied.admitted);
    numbers_.OnAdmitted(*applied.admitted);
    delayed_.erase(*applied.admitted);
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
  const WorkerIncarnation& incarnation = sync.info.life;
  const auto earlier = table.workers().find(incarnation.id);
  EndRuns of_earlier;
  EndRuns of_removed{incarnation, {}};
  for (const EndedRun& row : sync.ended) {
    if (row.reason != RunEndReason::kDone) {
      continue;
    }
    const EndedRun end{0, row.run, row.reason, row.checkpoint};
    if (earlier != table.workers().end() &&
        earlier->second.runs.contains(row.run)) {
      of_earlier.worker = earlier->second.info.life;
      of_earlier.rows.push_back(end);
    } else if (table.IsInherited(row.run, incarnation)) {
      of_removed.rows.push_back(end);
    }
  }
  const bool has_any = !of_earlier.rows.empty() || !of_removed.rows.empty();
  for (EndRuns* ends : {&of_earlier, &of_removed}) {
    if (!ends->rows.empty()) {
      out_.proposals.emplace_back(std::move(*ends));
    }
  }
  return has_any;
}

bool GraphLeader::MustOutlastLease(const GraphTable& table,
                                   const WorkerSync& sync) {
  const WorkerIncarnation& incarnation = sync.info.life;
  // One that was admitted before was removed since its lease had run out, or
  // since it no longer answered after it had announced its shutdown.
  const bool has_lapsed =
      unknown_leases_.WasAdmitted(incarnation) && !sync.info.draining;
  if (!sync.may_hold_lease.value_or(false) || has_lapsed) {
    return false;
  }
  const auto repeated = std::find_if(
      sync.ended.begin(), sync.ended.end(), [&](const EndedRun& row) {
        return row.reason == RunEndReason::kDone && !table.IsFinalRun(row.run);
      });
  if (repeated == sync.ended.end()) {
    return false;
  }
  if (delayed_.insert(incarnation).second) {
    out_.events.push_back(
        RunEvent(EventId::kAdmissionDelayed, repeated->run, incarnation.id)
            .With("occurrence", repeated->run.task.occurrence)
            .With("born", incarnation.started_at_ms)
            .With("number", repeated->number));
  }
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
    if (MustOutlastLease(table, sync)) {
      return;
    }
    ViewFor(info.life).drop_proposed = false;
  }
  view.admission_proposed_at = now;
  out_.proposals.emplace_back(AdmitWorker{info, agent});
}

}  // namespace banyan
