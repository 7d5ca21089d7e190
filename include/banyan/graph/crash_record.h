#ifndef BANYAN_GRAPH_CRASH_RECORD_H_
#define BANYAN_GRAPH_CRASH_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Time that a run must have been listed, with progress, to count as at work.
inline constexpr Duration kMinListedTime = Millis(200);

// The crashes of workers that a task was connected to. Part of the replicated
// state.
struct CrashRecord {
  // Number of crashes with the task on the worker, of any evidence.
  std::int64_t crashes = 0;
  // Number of them as the task started, alone or among others.
  std::int64_t at_start = 0;
  // Number of them as the task started alone.
  std::int64_t alone = 0;
  // Number of them with unclear evidence.
  std::int64_t unclear = 0;
  // Whether the task started alone at one of them and had been connected to the
  // start of another one before.
  bool is_trial_failed = false;
  // The last run that was counted; each run counts once.
  std::int64_t last_run = 0;
  // Ids of the workers that crashed, oldest first.
  std::vector<std::string> workers;

  // Counts the crash of a worker.
  void Add(const RunCrash& crash, const std::string& worker);

  // Whether the next run of the task must be kept away from other tasks until
  // its worker has survived the start.
  [[nodiscard]] bool is_suspect() const noexcept {
    return has_start_evidence() || crashes >= kSuspectCrashes;
  }

  // Whether a crash may have been caused by the start of the task.
  [[nodiscard]] bool has_start_evidence() const noexcept {
    return at_start + unclear > 0;
  }

  // Whether the task must not be started again. Two crashes suffice if the task
  // started alone at the second one, as a suspect does, or at the first one and
  // among others at the second. Crashes while it was at work don't count:
  // workers crash for other reasons, too.
  [[nodiscard]] bool is_given_up() const noexcept {
    return is_trial_failed || (alone > 0 && at_start >= kMaxCrashesIfAlone) ||
           at_start + unclear >= kMaxStartingCrashes;
  }

  static constexpr std::int64_t kSuspectCrashes = 2;
  static constexpr std::int64_t kMaxCrashesIfAlone = 2;
  static constexpr std::int64_t kMaxStartingCrashes = 3;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CRASH_RECORD_H_
