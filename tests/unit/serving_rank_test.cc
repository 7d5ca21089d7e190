#include "banyan/graph/serving_rank.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

StepSpec MakeStep(const std::string& image, std::int64_t per_worker_limit = 0) {
  StepSpec step = ServingStep(1);
  step.image = image;
  step.per_worker_limit = per_worker_limit;
  return step;
}

CandidateWorker MakeCandidate(const std::vector<std::string>& images,
                              bool is_spread = false) {
  CandidateWorker candidate;
  for (const std::string& image : images) {
    candidate.serving.push_back({image, 0, 0, is_spread});
  }
  return candidate;
}

void DensePoolPrefersOccupiedWorkers() {
  const StepSpec step = MakeStep("a");
  const int same_image = DensePoolRanking::Rank(MakeCandidate({"a"}), step);
  const int other_image = DensePoolRanking::Rank(MakeCandidate({"b"}), step);
  const int empty = DensePoolRanking::Rank(MakeCandidate({}), step);
  CPPUNIT_ASSERT(same_image < other_image);
  CPPUNIT_ASSERT(other_image < empty);
}

void PackedStepPrefersOwnImage() {
  const StepSpec step = MakeStep("a");
  const int same_image = ZonedPoolRanking::Rank(MakeCandidate({"a"}), step);
  const int empty = ZonedPoolRanking::Rank(MakeCandidate({}), step);
  const int mixed_zone =
      ZonedPoolRanking::Rank(MakeCandidate({"b", "c", "d"}, true), step);
  const int spread = ZonedPoolRanking::Rank(MakeCandidate({"b"}, true), step);
  const int other_image =
      ZonedPoolRanking::Rank(MakeCandidate({"b", "b", "b", "b"}), step);
  CPPUNIT_ASSERT(same_image < empty);
  CPPUNIT_ASSERT(empty < mixed_zone);
  CPPUNIT_ASSERT(mixed_zone < spread);
  CPPUNIT_ASSERT(spread < other_image);
}

void SpreadStepPrefersSpreadZone() {
  const StepSpec step = MakeStep("a", 1);
  const int zone = ZonedPoolRanking::Rank(MakeCandidate({"b"}, true), step);
  const int empty = ZonedPoolRanking::Rank(MakeCandidate({}), step);
  const int packed = ZonedPoolRanking::Rank(MakeCandidate({"b"}), step);
  CPPUNIT_ASSERT(zone < empty);
  CPPUNIT_ASSERT(empty < packed);
}

// Places 31 long-running jobs of 24 tasks each on 160 empty workers of five
// tasks each. The jobs use 16 images; every other job allows at most one task
// per worker. Returns the number of workers with tasks of only one image.
template <typename Ranking>
int CountSingleImageWorkers() {
  constexpr std::size_t kWorkers = 160;
  constexpr std::size_t kTasksPerWorker = 5;
  constexpr int kJobs = 31;
  constexpr int kTasks = 24;
  constexpr int kImages = 16;
  std::vector<CandidateWorker> candidates(kWorkers);
  for (int job = 0; job < kJobs; ++job) {
    const StepSpec step = MakeStep(
        std::string(1, static_cast<char>('a' + job % kImages)), job % 2);
    std::set<const CandidateWorker*> used;
    for (int task = 0; task < kTasks; ++task) {
      CandidateWorker* best = nullptr;
      for (CandidateWorker& candidate : candidates) {
        const bool has_capacity =
            candidate.serving.size() < kTasksPerWorker &&
            (step.per_worker_limit == 0 || !used.contains(&candidate));
        if (has_capacity &&
            (best == nullptr ||
             Ranking::Rank(candidate, step) < Ranking::Rank(*best, step))) {
          best = &candidate;
        }
      }
      CPPUNIT_ASSERT(best != nullptr);
      best->serving.push_back({step.image, 0, 0, step.per_worker_limit > 0});
      used.insert(best);
    }
  }
  return static_cast<int>(std::count_if(
      candidates.begin(), candidates.end(),
      [](const CandidateWorker& candidate) {
        return !candidate.serving.empty() &&
               std::all_of(candidate.serving.begin(), candidate.serving.end(),
                           [&](const ColocatedTask& task) {
                             return task.image ==
                                    candidate.serving.front().image;
                           });
      }));
}

void ZonesKeepWorkersSingleImage() {
  const int zoned = CountSingleImageWorkers<ZonedPoolRanking>();
  const int dense = CountSingleImageWorkers<DensePoolRanking>();
  // The jobs without a limit per worker need 77 workers; 9/10 of these must run
  // a single image.
  CPPUNIT_ASSERT_MESSAGE(std::to_string(zoned), zoned >= 69);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(dense), zoned > dense);
}

}  // namespace

Section ServingRankStory() {
  Section story("Worker ranking for latency-sensitive tasks");
  story
      .With(Section("in a small pool")
                .Then("prefers occupied workers to empty ones",
                      DensePoolPrefersOccupiedWorkers))
      .With(Section("in a large pool")
                .Then("prefers workers of its own image for a packed step",
                      PackedStepPrefersOwnImage)
                .Then("prefers the zone of spread steps for a spread step",
                      SpreadStepPrefersSpreadZone)
                .Then("keeps most workers of packed steps to one image",
                      ZonesKeepWorkersSingleImage));
  return story;
}

}  // namespace banyan
