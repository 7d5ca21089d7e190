#include "banyan/graph/look_ahead.h"

#include <set>
#include <utility>

namespace banyan {
namespace {

// Added to the rank of a worker without enough idle CPU time; larger than any
// number of images.
constexpr int kTooBusyRank = 1000;
// Added to the rank of a worker where a best-effort task starts at a reduced
// share; larger than any difference between suitable workers.
constexpr int kExploringRank = 500;
// Rank of a worker without latency-sensitive tasks for the last task of a step;
// smaller than any other.
constexpr int kUnsharedRank = -100;

}  // namespace

bool IsQuick(const StepSpec& step) noexcept {
  return !step.best_effort && !step.long_running && step.latency_target_ms == 0;
}

int QuickRank(const CandidateWorker& candidate, const StepSpec& step) noexcept {
  return candidate.best_effort_images +
         (candidate.idle_cpu_millis < step.needs.cpu_millis ? kTooBusyRank : 0);
}

int LastTaskRank(int colocation_rank,
                 const CandidateWorker& candidate,
                 const StepSpec& step,
                 const InterferenceModel& model) {
  int rank = candidate.serving.empty() ? kUnsharedRank : colocation_rank;
  rank += candidate.idle_cpu_millis < step.needs.cpu_millis ? kTooBusyRank : 0;
  rank += IsUncertain(candidate, step.image, model) ? kExploringRank : 0;
  return rank;
}

void BestEffortDemand::Start(const GraphTable& table,
                             std::map<std::string, CandidateWorker>& candidates,
                             const InterferenceModel& model) {
  model_ = &model;
  pools_.clear();
  std::set<std::pair<std::string_view, std::string_view>> added;
  const auto add = [&](std::string_view service, std::string_view image) {
    if (added.emplace(service, image).second) {
      AddImage(service, image);
    }
  };
  for (const std::string& id : table.ready_graphs()) {
    const Graph& graph = *table.FindGraph(id);
    for (const StepSpec& step : graph.spec.steps) {
      if (step.best_effort) {
        add(graph.queue.service, step.image);
      }
    }
  }
  for (const auto& [id, candidate] : candidates) {
    for (const BestEffortNeighbour& running : candidate.best_effort) {
      add(candidate.worker->info.service, running.image);
    }
  }
  for (auto& [id, candidate] : candidates) {
    Update(candidate);
  }
}

void BestEffortDemand::Update(CandidateWorker& candidate) {
  const auto pool = pools_.find(candidate.worker->info.service);
  if (pool == pools_.end()) {
    candidate.best_effort_images = 0;
    return;
  }
  // A worker without latency-sensitive tasks accepts any image, also those that
  // arrive later.
  if (candidate.serving.empty()) {
    candidate.best_effort_images =
        static_cast<int>(pool->second.images.size()) + 1;
    return;
  }
  ImageSet tolerated;
  tolerated.set();
  for (const ColocatedTask& serving_task : candidate.serving) {
    tolerated &= ToleratedBy(pool->second, serving_task.image);
  }
  candidate.best_effort_images = static_cast<int>(tolerated.count());
}

void BestEffortDemand::AddImage(std::string_view service,
                                std::string_view image) {
  std::vector<std::string_view>& images = pools_[service].images;
  if (images.size() < kMaxRankedImages) {
    images.push_back(image);
  }
}

const BestEffortDemand::ImageSet& BestEffortDemand::ToleratedBy(
    PoolImages& pool,
    const std::string& image) const {
  const auto [known, is_new] = pool.tolerated.try_emplace(image);
  if (is_new) {
    for (std::size_t i = 0; i < pool.images.size(); ++i) {
      known->second[i] =
          !model_->MayInterfere(image, std::string(pool.images[i]));
    }
  }
  return known->second;
}

}  // namespace banyan
