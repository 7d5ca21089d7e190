#ifndef BANYAN_GRAPH_SERVING_RANK_H_
#define BANYAN_GRAPH_SERVING_RANK_H_

#include <cstddef>

#include "banyan/graph/candidate_worker.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Workers from which on a pool is divided into zones. In a smaller one a step
// that is spread reaches most of the workers, so that no zone is left.
inline constexpr std::size_t kMinZonedPoolWorkers = 40;

// Where the tasks of a step that serves go; smaller ranks are better. What
// fills must suit every image that serves on its worker, so each further image
// on a worker takes that worker from most of what fills.
//
// In a dense pool serving tasks join their own image, then others, and leave
// workers empty as long as they can: an empty worker suits whatever fills.
struct DensePoolRanking {
  [[nodiscard]] static int Rank(const CandidateWorker& candidate,
                                const StepSpec& step) noexcept;
};

// In a zoned pool steps that are spread over many workers share one zone,
// where images mix, and all others keep to workers of their own image.
struct ZonedPoolRanking {
  [[nodiscard]] static int Rank(const CandidateWorker& candidate,
                                const StepSpec& step) noexcept;
};

// Returns the rank in a pool of that many workers.
[[nodiscard]] inline int ServingRank(std::size_t pool_workers,
                                     const CandidateWorker& candidate,
                                     const StepSpec& step) noexcept {
  return pool_workers < kMinZonedPoolWorkers
             ? DensePoolRanking::Rank(candidate, step)
             : ZonedPoolRanking::Rank(candidate, step);
}

}  // namespace banyan

#endif  // BANYAN_GRAPH_SERVING_RANK_H_
