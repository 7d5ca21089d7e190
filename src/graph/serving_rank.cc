#include "banyan/graph/serving_rank.h"

#include <algorithm>
#include <cstddef>

namespace banyan {
namespace {

// Weight of a latency-sensitive task relative to a best-effort task.
constexpr int kServingTaskWeight = 2;

// Ranks workers of one category: prefers those with more latency-sensitive
// tasks, and those with fewer best-effort tasks that would have to yield.
int RankByColocation(const CandidateWorker& candidate) noexcept {
  return static_cast<int>(candidate.best_effort.size()) -
         static_cast<int>(candidate.serving.size()) * kServingTaskWeight;
}

// Summary of the latency-sensitive tasks on a worker, in relation to a step.
struct ServingSummary {
  // Number of different images, at most kMaxCountedImages.
  std::size_t image_count = 0;
  // Whether a task runs the image of the step.
  bool has_same_image = false;
  // Whether a task belongs to a spread step.
  bool has_spread = false;
};

// A worker with this many images is compatible with almost no best-effort task,
// so that another image makes no difference.
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
  // Larger than any difference between ranks of one category.
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
