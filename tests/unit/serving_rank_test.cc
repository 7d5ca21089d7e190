#include "banyan/graph/serving_rank.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

StepSpec StepOf(const std::string& image, std::int64_t per_worker_limit = 0) {
  StepSpec step = ServingStep(1);
  step.image = image;
  step.per_worker_limit = per_worker_limit;
  return step;
}

WorkerRoom RoomWith(const std::vector<std::string>& images,
                    bool is_spread = false) {
  WorkerRoom room;
  for (const std::string& image : images) {
    room.serving.push_back({image, 0, 0, is_spread});
  }
  return room;
}

void DensePoolLeavesWorkersEmpty() {
  const StepSpec step = StepOf("a");
  const int own = DenseServing::RankOf(RoomWith({"a"}), step);
  const int other = DenseServing::RankOf(RoomWith({"b"}), step);
  const int empty = DenseServing::RankOf(RoomWith({}), step);
  CPPUNIT_ASSERT(own < other);
  CPPUNIT_ASSERT(other < empty);
}

void PackedStepKeepsToItself() {
  const StepSpec step = StepOf("a");
  const int own = ZonedServing::RankOf(RoomWith({"a"}), step);
  const int empty = ZonedServing::RankOf(RoomWith({}), step);
  const int many = ZonedServing::RankOf(RoomWith({"b", "c", "d"}, true), step);
  const int spread = ZonedServing::RankOf(RoomWith({"b"}, true), step);
  const int other = ZonedServing::RankOf(RoomWith({"b", "b", "b", "b"}), step);
  CPPUNIT_ASSERT(own < empty);
  CPPUNIT_ASSERT(empty < many);
  CPPUNIT_ASSERT(many < spread);
  CPPUNIT_ASSERT(spread < other);
}

void SpreadStepJoinsItsZone() {
  const StepSpec step = StepOf("a", 1);
  const int zone = ZonedServing::RankOf(RoomWith({"b"}, true), step);
  const int empty = ZonedServing::RankOf(RoomWith({}), step);
  const int packed = ZonedServing::RankOf(RoomWith({"b"}), step);
  CPPUNIT_ASSERT(zone < empty);
  CPPUNIT_ASSERT(empty < packed);
}

// The pattern of a day on the large site: 31 standing jobs of 24 tasks and 16
// images, every other one with at most one task a worker, come to 160 empty
// workers of five tasks each. Returns how many workers serve one image alone.
template <typename Serving>
int WorkersOfOneImage() {
  constexpr std::size_t kWorkers = 160;
  constexpr std::size_t kTasksPerWorker = 5;
  constexpr int kJobs = 31;
  constexpr int kTasks = 24;
  constexpr int kImages = 16;
  std::vector<WorkerRoom> rooms(kWorkers);
  for (int job = 0; job < kJobs; ++job) {
    const StepSpec step =
        StepOf(std::string(1, static_cast<char>('a' + job % kImages)), job % 2);
    std::set<const WorkerRoom*> taken;
    for (int task = 0; task < kTasks; ++task) {
      WorkerRoom* best = nullptr;
      for (WorkerRoom& room : rooms) {
        const bool has_room =
            room.serving.size() < kTasksPerWorker &&
            (step.per_worker_limit == 0 || !taken.contains(&room));
        if (has_room && (best == nullptr || Serving::RankOf(room, step) <
                                                Serving::RankOf(*best, step))) {
          best = &room;
        }
      }
      CPPUNIT_ASSERT(best != nullptr);
      best->serving.push_back({step.image, 0, 0, step.per_worker_limit > 0});
      taken.insert(best);
    }
  }
  return static_cast<int>(
      std::count_if(rooms.begin(), rooms.end(), [](const WorkerRoom& room) {
        return !room.serving.empty() &&
               std::all_of(room.serving.begin(), room.serving.end(),
                           [&](const ServingCompany& task) {
                             return task.image == room.serving.front().image;
                           });
      }));
}

void ZonesKeepWorkersToOneImage() {
  const int zoned = WorkersOfOneImage<ZonedServing>();
  const int dense = WorkersOfOneImage<DenseServing>();
  // The packed half of the jobs needs 77 workers; nine of ten stay pure.
  CPPUNIT_ASSERT_MESSAGE(std::to_string(zoned), zoned >= 69);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(dense), zoned > dense);
}

}  // namespace

Section ServingRankStory() {
  Section story("Where serving tasks go");
  story
      .With(Section("in a small pool")
                .Then("they leave workers empty", DensePoolLeavesWorkersEmpty))
      .With(Section("in a large pool")
                .Then("a packed step keeps to its own image",
                      PackedStepKeepsToItself)
                .Then("a spread step joins the zone of spread steps",
                      SpreadStepJoinsItsZone)
                .Then("most workers of packed steps serve one image",
                      ZonesKeepWorkersToOneImage));
  return story;
}

}  // namespace banyan
