#include "banyan/graph/worker_cordon.h"

#include <algorithm>

namespace banyan {

void WorkerCordons::LiftOutdated(
    Time now,
    const std::map<std::string, CandidateWorker>& candidates) {
  std::erase_if(paused_until_,
                [&](const auto& item) { return item.second <= now; });
  std::erase_if(next_search_at_,
                [&](const auto& item) { return item.second <= now; });
  std::erase_if(cordons_, [&](const auto& item) {
    const auto& [worker, cordon] = item;
    const auto found = candidates.find(worker);
    if (found == candidates.end()) {
      return true;
    }
    const CandidateWorker& candidate = found->second;
    if (cordon.deadline <= now) {
      paused_until_.insert_or_assign(worker, now + kCordonPause);
      events_.push_back(Event(EventId::kCordonLapsed)
                            .With("worker", worker)
                            .With("request", cordon.graph)
                            .With("free_millis", candidate.free.cpu_millis)
                            .With("free_mib", candidate.free.memory_mib));
      return true;
    }
    return !Fits(cordon.needs, candidate.RoomBesideLongRunning());
  });
}

bool WorkerCordons::MayBegin(
    Time now,
    const CordonRequest& request,
    const std::map<std::string, CandidateWorker>& candidates) const {
  const auto next_search = next_search_at_.find(request.graph);
  if (next_search != next_search_at_.end() && next_search->second > now) {
    return false;
  }
  std::size_t workers = 0;
  std::size_t cordoned = 0;
  std::size_t own = 0;
  for (const auto& [id, candidate] : candidates) {
    if (candidate.worker->info.service != request.service) {
      continue;
    }
    ++workers;
    if (candidate.cordon != nullptr) {
      ++cordoned;
      own += candidate.cordon->graph == request.graph ? 1 : 0;
    }
  }
  return own < std::min(request.waiting, kMaxCordonsPerGraph) &&
         cordoned < std::max<std::size_t>(workers / kCordonPoolDivisor, 1);
}

void WorkerCordons::Start(Time now,
                          const CordonRequest& request,
                          CandidateWorker& candidate) {
  const std::string& worker = candidate.worker->info.life.id;
  const WorkerCordon cordon{request.graph, request.needs, now + kMaxCordonTime};
  candidate.cordon = &cordons_.insert_or_assign(worker, cordon).first->second;
  events_.push_back(Event(EventId::kWorkerCordoned)
                        .With("worker", worker)
                        .With("request", request.graph)
                        .With("needs_millis", request.needs.cpu_millis)
                        .With("needs_mib", request.needs.memory_mib)
                        .With("free_millis", candidate.free.cpu_millis)
                        .With("free_mib", candidate.free.memory_mib));
}

void WorkerCordons::OnPlaced(const std::string& graph,
                             CandidateWorker& candidate) {
  if (candidate.cordon != nullptr && candidate.cordon->graph == graph) {
    candidate.cordon = nullptr;
    cordons_.erase(candidate.worker->info.life.id);
  }
}

}  // namespace banyan
