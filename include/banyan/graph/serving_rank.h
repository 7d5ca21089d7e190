#ifndef BANYAN_GRAPH_SERVING_RANK_H_
#define BANYAN_GRAPH_SERVING_RANK_H_

#include <cstddef>

#include "banyan/graph/candidate_worker.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Pools of at least this many workers are divided into zones. In a smaller pool
// a spread step (one with a limit of tasks per worker) reaches most workers,
// which leaves no separate zone.
inline constexpr std::size_t kMinZonedPoolWorkers = 40;

// Ranks a worker of a dense pool for a task of a latency-sensitive step;
// smaller is better. Prefers workers that already run the task's image, then
// workers that run others, and keeps workers empty as long as possible: an
// empty worker accepts any best-effort task. Elsewhere a best-effort task must
// be compatible with every latency-sensitive image on its worker, so each
// additional image excludes most best-effort tasks.
struct DensePoolRanking {
  [[nodiscard]] static int Rank(const CandidateWorker& candidate,
                                const StepSpec& step) noexcept;
};

// Ranks a worker of a zoned pool for a task of a latency-sensitive step;
// smaller is better. Spread steps share one zone where images mix, and all
// other steps prefer workers that run only their own image.
struct ZonedPoolRanking {
  [[nodiscard]] static int Rank(const CandidateWorker& candidate,
                                const StepSpec& step) noexcept;
};

// Returns the rank of a worker in a pool of `pool_workers` workers; smaller is
// better.
[[nodiscard]] inline int ServingRank(std::size_t pool_workers,
                                     const CandidateWorker& candidate,
                                     const StepSpec& step) noexcept {
  return pool_workers < kMinZonedPoolWorkers
             ? DensePoolRanking::Rank(candidate, step)
             : ZonedPoolRanking::Rank(candidate, step);
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_SERVING_RANK_H_
