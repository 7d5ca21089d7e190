#include "banyan/graph/serving_rank.h"

#include <algorithm>
#include <cstddef>

namespace banyan {
namespace {

// Among rooms of one kind the fullest goes first, and one where fewer tasks
// that fill would have to make way.
constexpr int kServing = 2;

int RankByCompany(const WorkerRoom& room) noexcept {
  return static_cast<int>(room.filling.size()) -
         static_cast<int>(room.serving.size()) * kServing;
}

// What serves in a room, as a step's task would find it.
struct Mix {
  // Different images, counted up to kManyImages.
  std::size_t images = 0;
  bool has_own = false;
  bool has_spread = false;
};

// From so many images on next to nothing that fills suits a worker any more,
// so that one more does no harm.
constexpr std::size_t kManyImages = 3;

Mix MixOf(const WorkerRoom& room, const StepSpec& step) noexcept {
  Mix mix;
  for (auto it = room.serving.begin(); it != room.serving.end(); ++it) {
    mix.has_own = mix.has_own || it->image == step.image;
    mix.has_spread = mix.has_spread || it->is_spread;
    const bool is_new = std::none_of(room.serving.begin(), it,
                                     [&](const ServingCompany& before) {
                                       return before.image == it->image;
                                     });
    if (is_new && mix.images < kManyImages) {
      ++mix.images;
    }
  }
  return mix;
}

}  // namespace

int DenseServing::RankOf(const WorkerRoom& room,
                         const StepSpec& step) noexcept {
  constexpr int kMixed = 20;
  constexpr int kEmpty = 50;
  const Mix mix = MixOf(room, step);
  const bool is_mixed = mix.images > (mix.has_own ? 1 : 0);
  return RankByCompany(room) + (is_mixed ? kMixed : 0) +
         (room.serving.empty() ? kEmpty : 0);
}

int ZonedServing::RankOf(const WorkerRoom& room,
                         const StepSpec& step) noexcept {
  // Beyond what the company in a room can add up to.
  constexpr int kKind = 100;
  const Mix mix = MixOf(room, step);
  const auto rank = [&](int kind) {
    return RankByCompany(room) + kind * kKind;
  };
  if (step.per_worker_limit > 0) {
    if (mix.has_own) {
      return rank(mix.has_spread || mix.images == 1 ? 0 : 1);
    }
    if (mix.has_spread) {
      return rank(2);
    }
    return rank(mix.images == 0 ? 3 : 4);
  }
  if (mix.has_own) {
    return rank(mix.has_spread ? 1 : 0);
  }
  if (mix.images == 0) {
    return rank(2);
  }
  if (mix.images >= kManyImages) {
    return rank(3);
  }
  return rank(mix.has_spread ? 4 : 5);
}

}  // namespace banyan
