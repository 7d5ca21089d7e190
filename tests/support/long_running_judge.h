#ifndef BANYAN_TESTS_SUPPORT_LONG_RUNNING_JUDGE_H_
#define BANYAN_TESTS_SUPPORT_LONG_RUNNING_JUDGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// A worker as it really is, whatever the table holds.
struct RealWorker {
  std::string name;
  std::vector<std::string> labels;
  // Whether it takes work and its room can be known to the leader.
  bool is_usable = false;
  // Its capacity less what its runs reserve; negative if it has shrunk.
  Resources free;
  std::vector<TaskRef> running;
};

// Judges whether each long-running task runs while there is room for it,
// whether other tasks of its graph run or not and however full the pool is.
//
// From kMaxWait after the end of its last run, or after its submission, a task
// must run at each moment at which there has been room for it twice over for
// kRoomFor on end, in calm time. Room twice over means that the usable workers
// with the required label, taken together, could start two more such tasks
// within their free resources and the limit per worker, both on one worker or
// on two. This is the strict reading in three respects: the room may lie on
// other workers from moment to moment, kRoomFor may begin before kMaxWait has
// passed, and a task that can't run twice on one worker for its limit has room
// if two workers are free.
class LongRunningJudge {
 public:
  struct Violation {
    TaskRef task;
    std::string text;
  };

  static constexpr Duration kMaxWait = Millis(6000);
  static constexpr Duration kRoomFor = Millis(3000);
  // No fault occurs in kRoomFor, nor so long before it.
  static constexpr Duration kCalmBefore = Millis(4000);

  // Adds the long-running tasks of a graph that was accepted.
  void OnAccepted(Time now, const SubmitGraph& graph);

  // Drops the tasks of a graph that is being cancelled.
  void OnCancelled(const std::string& graph);

  // Takes note that a run of the task starts or ends.
  void OnRun(Time now, const TaskRef& task);

  // Returns the tasks that don't run though they must; each once until it runs
  // again. No fault has occurred since `calm_since`.
  [[nodiscard]] std::vector<Violation>
  Check(Time now, Time calm_since, std::span<const RealWorker> workers);

  // The number of tasks that were accepted.
  [[nodiscard]] int accepted() const noexcept { return accepted_; }

 private:
  struct Task {
    StepSpec step;
    // When its last run ended, or it was accepted.
    Time waiting_since;
    // Since when there has been room without a gap; empty if there is none.
    std::optional<Time> room_since;
    bool is_reported = false;
  };

  std::map<TaskRef, Task> tasks_;
  int accepted_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_LONG_RUNNING_JUDGE_H_
