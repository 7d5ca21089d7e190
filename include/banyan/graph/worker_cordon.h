#ifndef BANYAN_GRAPH_WORKER_CORDON_H_
#define BANYAN_GRAPH_WORKER_CORDON_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/candidate_worker.h"

namespace banyan {

// Time after which a cordoned worker that still has no room is given up. Most
// quick tasks have ended by then.
inline constexpr Duration kMaxCordonTime = Millis(2500);
// Time for which a worker that was given up is not cordoned again.
inline constexpr Duration kCordonPause = Millis(2500);
// At most one worker in this many of a pool is cordoned at a time, and one of a
// smaller pool.
inline constexpr std::size_t kCordonPoolDivisor = 8;
// Time until the next search for a graph that has found no worker.
inline constexpr Duration kCordonSearchPause = Millis(250);
// Maximum number of workers that are cordoned for one graph.
inline constexpr std::size_t kMaxCordonsPerGraph = 4;
// Beside the long-running tasks a pool must hold the task more often than this.
// What is left goes to quick tasks, of whose room up to a half is idle between
// the end of one and the start of the next.
inline constexpr std::int64_t kMinRoomBesideLongRunning = 4;

// A worker that starts nothing but tasks of one graph, until a long-running
// task of that graph has room there.
struct WorkerCordon {
  std::string graph;
  Resources needs;
  // When the worker is given up.
  Time deadline;
};

// A long-running task that finds no room.
struct CordonRequest {
  const std::string& graph;
  const std::string& service;
  Resources needs;
  // Number of tasks of its step that wait.
  std::size_t waiting = 1;
};

// The workers that are cordoned for long-running tasks. Otherwise quick tasks
// take each gap on a full worker before it is large enough. Soft state of the
// leader; reads no clock.
class WorkerCordons {
 public:
  // Marks the candidates that are cordoned. Lifts the cordons for graphs of
  // which `is_waiting` is false, of workers that are no candidates or can't
  // hold the task, and those past their deadlines.
  template <typename IsWaiting>
  void Mark(Time now,
            std::map<std::string, CandidateWorker>& candidates,
            const IsWaiting& is_waiting) {
    std::erase_if(cordons_, [&](const auto& item) {
      return !is_waiting(item.second.graph);
    });
    LiftOutdated(now, candidates);
    for (const auto& [worker, cordon] : cordons_) {
      candidates.at(worker).cordon = &cordon;
    }
  }

  // Cordons the worker that has the most processors beside its long-running
  // tasks, unless enough workers are cordoned or the pool has too little room.
  // `is_suitable` returns whether the task may run on a worker.
  template <typename IsSuitable>
  void Begin(Time now,
             const CordonRequest& request,
             std::map<std::string, CandidateWorker>& candidates,
             const IsSuitable& is_suitable) {
    if (!MayBegin(now, request, candidates)) {
      return;
    }
    std::int64_t room = 0;
    CandidateWorker* best = nullptr;
    for (auto& [id, candidate] : candidates) {
      const Resources beside = candidate.RoomBesideLongRunning();
      if (candidate.worker->info.service != request.service ||
          !Fits(request.needs, beside) || !is_suitable(candidate)) {
        continue;
      }
      if (candidate.cordon != nullptr) {
        room += TimesFitting(request.needs, beside - candidate.cordon->needs);
        continue;
      }
      room += TimesFitting(request.needs, beside);
      if (!paused_until_.contains(id) &&
          (best == nullptr ||
           best->RoomBesideLongRunning().cpu_millis < beside.cpu_millis)) {
        best = &candidate;
      }
    }
    if (best != nullptr && room > kMinRoomBesideLongRunning) {
      Start(now, request, *best);
    } else {
      next_search_at_.insert_or_assign(request.graph, now + kCordonSearchPause);
    }
  }

  // Lifts the cordon of a worker on which a task of its graph was placed.
  void OnPlaced(const std::string& graph, CandidateWorker& candidate);

  // Returns the cordons by worker.
  [[nodiscard]] const std::map<std::string, WorkerCordon>& cordons()
      const noexcept {
    return cordons_;
  }

  // Returns and clears the events.
  [[nodiscard]] Events TakeEvents() { return std::exchange(events_, {}); }

 private:
  void LiftOutdated(Time now,
                    const std::map<std::string, CandidateWorker>& candidates);
  [[nodiscard]] bool MayBegin(
      Time now,
      const CordonRequest& request,
      const std::map<std::string, CandidateWorker>& candidates) const;
  void Start(Time now,
             const CordonRequest& request,
             CandidateWorker& candidate);

  std::map<std::string, WorkerCordon> cordons_;
  // Until when a worker that was given up is not cordoned again.
  std::map<std::string, Time> paused_until_;
  // When workers are searched again for a graph that has found none.
  std::map<std::string, Time> next_search_at_;
  Events events_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_WORKER_CORDON_H_
