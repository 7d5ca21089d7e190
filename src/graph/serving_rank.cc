#include "banyan/graph/serving_rank.h"

#include <algorithm>
#include <cstddef>

namespace banyan {
namespace {

// Among rooms of one kind the fullest goes first, and one where fewer tasks
// that fill would have to make way.
constexpr int kServingTaskWeight = 2;

int RankByColocation(const CandidateWorker& candidate) noexcept {
  return static_cast<int>(candidate.best_effort.size()) -
         static_cast<int>(candidate.serving.size()) * kServingTaskWeight;
}

// What serves in a room, as a step's task would find it.
struct ServingSummary {
  // Different images, counted up to kManyImages.
  std::size_t image_count = 0;
  bool has_same_image = false;
  bool has_spread = false;
};

// From so many images on next to nothing that fills suits a worker any more,
// so that one more does no harm.
constexpr std::size_t kMaxCountedImages = 3;

ServingSummary SummariseServing(const CandidateWorker& candidate,
                                const StepSpec& step) noexcept {
  ServingSummary summary;
  for (auto it = candidate.serving.begin(); it != candidate.serving.end();
       ++it) {
    summary.has_same_image = summary.has_same_image || it->image == step.image;
    summary.has_spread = summary.has_spread || it->is_spread;
    const bool is_new = std::none_of(candidate.serving.begin(), it,
                                     [&](const ColocatedTask& earlier) {
                                       return earlier.image == it->image;
                                     });
    if (is_new && summary.image_count < kMaxCountedImages) {
      ++summary.image_count;
    }
  }
  return summary;
}

}  // namespace

int DensePoolRanking::Rank(const CandidateWorker& candidate,
                           const StepSpec& step) noexcept {
  constexpr int kMixedImagesPenalty = 20;
  constexpr int kEmptyWorkerPenalty = 50;
  const ServingSummary summary = SummariseServing(candidate, step);
  const bool is_mixed = summary.image_count > (summary.has_same_image ? 1 : 0);
  return RankByColocation(candidate) + (is_mixed ? kMixedImagesPenalty : 0) +
         (candidate.serving.empty() ? kEmptyWorkerPenalty : 0);
}

int ZonedPoolRanking::Rank(const CandidateWorker& candidate,
                           const StepSpec& step) noexcept {
  // Beyond what the company in a room can add up to.
  constexpr int kCategoryWidth = 100;
  const ServingSummary summary = SummariseServing(candidate, step);
  const auto rank_in = [&](int category) {
    return RankByColocation(candidate) + category * kCategoryWidth;
  };
  if (step.per_worker_limit > 0) {
    if (summary.has_same_image) {
      return rank_in(summary.has_spread || summary.image_count == 1 ? 0 : 1);
    }
    if (summary.has_spread) {
      return rank_in(2);
    }
    return rank_in(summary.image_count == 0 ? 3 : 4);
  }
  if (summary.has_same_image) {
    return rank_in(summary.has_spread ? 1 : 0);
  }
  if (summary.image_count == 0) {
    return rank_in(2);
  }
  if (summary.image_count >= kMaxCountedImages) {
    return rank_in(3);
  }
  return rank_in(summary.has_spread ? 4 : 5);
}

}  // namespace banyan
