#ifndef BANYAN_GRAPH_WORKER_SUSPICION_H_
#define BANYAN_GRAPH_WORKER_SUSPICION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Which runs a worker takes as far as its suspicion goes. Ordered by severity.
enum class WorkerAccess : std::uint8_t {
  kOpen,
  // One short run as a probe.
  kProbe,
  // None while its probe is active.
  kProbing,
  kQuarantine,
};

// Outlier detection: suspects a worker on which runs of several graphs failed.
// A suspected worker is in quarantine first and then gets one run at a time as
// a probe. Without further failures the suspicion ends by time alone, since
// what would refute it may never run there.
class WorkerSuspicion {
 public:
  // How long a failure counts, and a suspicion lasts after the last one.
  static constexpr Duration kRetention = std::chrono::seconds(10);
  // Time before a suspected worker gets a probe.
  static constexpr Duration kCooldown = Millis(2500);
  // Time after which a probe that is still active keeps out no other run.
  static constexpr Duration kMaxProbeTime = std::chrono::seconds(3);
  // Number of different graphs with failed runs that makes a worker suspected.
  static constexpr std::size_t kMinFailedGraphs = 2;

  // Counts a failed run. Returns whether the worker is suspected for it. The
  // graph of a long-running task counts once within kRetention, since its tasks
  // are restarted whenever they fail, and doesn't extend a suspicion: such a
  // run starts on a suspected worker only if it can't wait.
  [[nodiscard]] bool OnFailure(Time now,
                               const RunRef& run,
                               bool is_long_running);

  // Records a run that was placed on the worker, which is a probe if the worker
  // is suspected.
  void OnPlaced(Time now, const RunRef& run);

  // Ends the suspicion: a run has shown that the worker is sound. Failures of
  // the long-running graphs that had caused it go on not to count.
  void Clear() noexcept;

  [[nodiscard]] bool is_suspected(Time now) const noexcept {
    return suspected_until_ > now;
  }

  // Returns the access of further runs, given the active runs of the worker.
  [[nodiscard]] WorkerAccess AccessAt(Time now,
                                      const std::set<RunRef>& active) const;

  [[nodiscard]] Time last_failure_at() const noexcept {
    return last_failure_at_;
  }
  // Number of different graphs whose failures count.
  [[nodiscard]] std::size_t failed_graph_count() const noexcept;

 private:
  struct Probe {
    RunRef run;
    Time ends_at;
  };

  struct Failure {
    Time at;
    bool is_long_running = false;
    // Whether the worker was found sound after it.
    bool is_refuted = false;
  };

  // The last failure that counted of each graph with failed runs here.
  std::map<std::string, Failure> failed_graphs_;
  Time last_failure_at_;
  Time quarantined_until_;
  Time suspected_until_;
  // The last run placed here while the worker was suspected.
  std::optional<Probe> probe_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_WORKER_SUSPICION_H_
