#ifndef BANYAN_GRAPH_LOOK_AHEAD_H_
#define BANYAN_GRAPH_LOOK_AHEAD_H_

#include <bitset>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/graph/candidate_worker.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Maximum number of best-effort images of a pool that are considered when its
// workers are ranked for quick tasks.
inline constexpr std::size_t kMaxRankedImages = 64;

// Whether a step's tasks are neither best-effort nor latency-sensitive nor
// long-running.
[[nodiscard]] bool IsQuick(const StepSpec& step) noexcept;

// Ranks a worker for a task of a quick step; smaller is better. Prefers workers
// that little best-effort work could use, since quick tasks fit on nearly any
// worker. Workers without enough idle CPU time for the task come last: it would
// run slower there.
[[nodiscard]] int QuickRank(const CandidateWorker& candidate,
                            const StepSpec& step) noexcept;

// Ranks a worker for a best-effort task that its step waits for alone, given
// its rank by the tasks there; smaller is better. Prefers the worker on which
// the task ends first: at its full CPU share, with enough idle CPU time, and
// with the most headroom of latency-sensitive tasks, which throttle it
// otherwise.
[[nodiscard]] int LastTaskRank(int colocation_rank,
                               const CandidateWorker& candidate,
                               const StepSpec& step,
                               const InterferenceModel& model);

// Counts, for one placement pass, the best-effort images that wait or run in a
// worker's pool and that its latency-sensitive tasks tolerate.
class BestEffortDemand {
 public:
  // Collects the images and counts them for all workers.
  void Start(const GraphTable& table,
             std::map<std::string, CandidateWorker>& candidates,
             const InterferenceModel& model);

  // Counts the images for a worker again after its latency-sensitive tasks have
  // changed.
  void Update(CandidateWorker& candidate);

 private:
  // One bit for each image of a pool.
  using ImageSet = std::bitset<kMaxRankedImages>;

  // The images of one pool.
  struct PoolImages {
    std::vector<std::string_view> images;
    // The tolerated images, by image of a latency-sensitive task.
    std::map<std::string, ImageSet> tolerated;
  };

  void AddImage(std::string_view service, std::string_view image);
  [[nodiscard]] const ImageSet& ToleratedBy(PoolImages& pool,
                                            const std::string& image) const;

  const InterferenceModel* model_ = nullptr;
  // By service.
  std::map<std::string_view, PoolImages> pools_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_LOOK_AHEAD_H_
