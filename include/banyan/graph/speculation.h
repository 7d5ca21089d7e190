#ifndef BANYAN_GRAPH_SPECULATION_H_
#define BANYAN_GRAPH_SPECULATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"
#include "banyan/graph/worker_view.h"
#include "banyan/settings/scheduling_policy.h"
#include "banyan/wire/command.h"

namespace banyan {

// Why a copy is started, most urgent first.
enum class CopyCause : std::uint8_t {
  // The worker of the first run no longer reports.
  kSilentWorker,
  // The run doesn't progress and is far behind the other runs of its step.
  kBehindStep,
};

// Returns the name of a cause as written to the event log.
[[nodiscard]] const char* ToString(CopyCause cause) noexcept;

// A copy to place.
struct PlannedCopy {
  RunPlacement placement;
  CopyCause cause = CopyCause::kBehindStep;
};

// What copies have gained and cost in one leadership.
struct CopyCounters {
  std::int64_t placed = 0;
  // Copies that were done first or took the place of the first run.
  std::int64_t won = 0;
  // Runs of copied tasks that were not needed.
  std::int64_t dropped = 0;
  // Processor time reserved by those, in milliseconds of one processor.
  std::int64_t wasted_cpu_ms = 0;
};

// Decides which speculative tasks get a second run, and follows the copies that
// are active. Deterministic; reads no clock, all times are passed in. Its state
// is soft: a new leader finds the copies in the table and counts the time of
// the runs from its own start.
class Speculation {
 public:
  explicit Speculation(SchedulingPolicy policy) : policy_(policy) {}

  // Returns the copies to place, most urgent first, within the budget and the
  // capacity that `placements`, the first runs of this pass, leave free.
  [[nodiscard]] std::vector<PlannedCopy> Plan(
      Time now,
      WallMillis wall,
      const GraphTable& table,
      const std::map<std::string, GraphWorkerView>& views,
      const InterferenceModel& model,
      std::span<const RunPlacement> placements);

  // Returns the command that places the planned copies; empty if there are
  // none, or while an earlier one is not applied.
  [[nodiscard]] std::optional<PlaceCopies> Propose(
      Time now,
      WallMillis wall,
      const GraphTable& table,
      const std::map<std::string, GraphWorkerView>& views,
      const InterferenceModel& model,
      std::span<const RunPlacement> placements);

  // Follows a command that was applied to the table, and logs what it means for
  // copies.
  void OnApplied(Time now,
                 const GraphTable& table,
                 const Command& command,
                 const GraphApplyResult& applied,
                 Events& events);

  // Whether proposed copies are not applied yet.
  [[nodiscard]] bool is_pending() const noexcept { return !pending_.empty(); }
  [[nodiscard]] const CopyCounters& counters() const noexcept {
    return counters_;
  }

 private:
  // When a run started.
  struct KnownStart {
    Time at;
    // Whether this leader placed the run; otherwise it is the time at which the
    // leader first saw it.
    bool is_exact = false;
  };

  // A task with two active runs.
  struct Copied {
    RunPlacement first;
    RunPlacement copy;
  };

  // A first run that may be copied.
  struct CopyableRun {
    RunRef run;
    const GraphWorker* worker = nullptr;
    const GraphWorkerView* view = nullptr;
  };

  // Returns the runs that may be copied, and takes note of runs and copies that
  // this leader has not placed.
  [[nodiscard]] std::vector<CopyableRun> FindCopyable(
      Time now,
      const GraphTable& table,
      const std::map<std::string, GraphWorkerView>& views);
  // Returns why a run should be copied; empty if it should not.
  [[nodiscard]] std::optional<CopyCause> CauseOf(Time now,
                                                 const CopyableRun& run) const;
  // Returns the expected whole time of an active run; empty if its progress
  // or its start isn't known.
  [[nodiscard]] std::optional<Duration>
  ExpectedTime(Time now, const RunRef& run, const GraphWorkerView& view) const;
  [[nodiscard]] bool IsBehind(Time now, const CopyableRun& run) const;
  // Logs and forgets copied tasks that have a single run or none left.
  void FindEnded(Time now,
                 const GraphTable& table,
                 const Command& command,
                 Events& events);
  // Logs a run that was not needed and counts the time that it used.
  void LogDropped(Time now,
                  const GraphTable& table,
                  const RunPlacement& run,
                  Events& events);

  SchedulingPolicy policy_;
  CopyCounters counters_;
  Time next_plan_at_;
  // The causes of proposed copies, and until when their command may be applied.
  std::map<RunRef, CopyCause> pending_;
  Time pending_until_;
  // When active runs of speculative steps were placed or first seen.
  std::map<RunRef, KnownStart> started_;
  std::map<TaskRef, Copied> copied_;
  // Until when a task gets no further copy after one that ended without result.
  std::map<TaskRef, Time> retry_at_;
  // Times of active and ended runs of a step, by its first task.
  std::map<TaskRef, std::vector<Duration>> step_times_;
  std::map<TaskRef, std::vector<Duration>> done_times_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_SPECULATION_H_
