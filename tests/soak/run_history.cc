#include "tests/soak/run_history.h"

#include <utility>

namespace banyan {

std::size_t RunHistory::Start(std::string task,
                              std::int64_t number,
                              std::string worker) {
  const std::lock_guard lock(mutex_);
  ObservedRun run;
  run.task = std::move(task);
  run.number = number;
  run.worker = std::move(worker);
  run.started_at = MonotonicClock::now();
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void RunHistory::End(std::size_t index, std::string ending) {
  const std::lock_guard lock(mutex_);
  runs_[index].ended_at = MonotonicClock::now();
  runs_[index].ending = std::move(ending);
}

void RunHistory::Acknowledge(std::size_t index) {
  const std::lock_guard lock(mutex_);
  runs_[index].is_acknowledged = true;
}

void RunHistory::Lapse(std::size_t index) {
  const std::lock_guard lock(mutex_);
  runs_[index].has_lapsed = true;
}

std::size_t RunHistory::size() const {
  const std::lock_guard lock(mutex_);
  return runs_.size();
}

std::vector<std::string> RunHistory::FindRunsTwice() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::vector<const ObservedRun*>> tasks;
  std::vector<std::string> found;
  // Runs are in the order of their starts.
  for (const ObservedRun& run : runs_) {
    for (const ObservedRun* earlier : tasks[run.task]) {
      const bool is_active =
          !earlier->ended_at || *earlier->ended_at > run.started_at;
      const bool is_done = earlier->ending == "done" &&
                           earlier->is_acknowledged && !earlier->has_lapsed;
      if (is_active || is_done) {
        found.push_back(
            "run " + std::to_string(run.number) + " of " + run.task +
            " starts on " + run.worker + " " + (is_active ? "while" : "after") +
            " run " + std::to_string(earlier->number) + " on " +
            earlier->worker + (is_active ? " is active" : " was done"));
      }
    }
    tasks[run.task].push_back(&run);
  }
  return found;
}

}  // namespace banyan
