#include "tests/support/long_running_judge.h"

#include <algorithm>

#include "banyan/graph/graph_table.h"

namespace banyan {
namespace {

constexpr std::int64_t kTwice = 2;

// Returns how many more tasks of a step a worker could run, up to kTwice.
std::int64_t RoomOn(const RealWorker& worker,
                    const TaskRef& task,
                    const StepSpec& step) {
  const bool has_label = step.required_label.empty() ||
                         std::find(worker.labels.begin(), worker.labels.end(),
                                   step.required_label) != worker.labels.end();
  if (!worker.is_usable || !has_label) {
    return 0;
  }
  std::int64_t room = 0;
  const Resources needs = ReservedResources(step);
  Resources held = needs;
  while (room < kTwice && Fits(held, worker.free)) {
    held += needs;
    ++room;
  }
  if (step.per_worker_limit == 0) {
    return room;
  }
  const auto same_step = std::count_if(
      worker.running.begin(), worker.running.end(), [&](const TaskRef& other) {
        return other.graph == task.graph &&
               other.occurrence == task.occurrence && other.step == task.step;
      });
  return std::clamp<std::int64_t>(step.per_worker_limit - same_step, 0, room);
}

}  // namespace

void LongRunningJudge::OnAccepted(Time now, const SubmitGraph& graph) {
  for (std::size_t s = 0; s < graph.spec.steps.size(); ++s) {
    const StepSpec& step = graph.spec.steps[s];
    for (std::int64_t i = 0; step.long_running && i < step.count; ++i) {
      const bool is_new =
          tasks_
              .try_emplace({graph.id, 0, static_cast<std::int64_t>(s), i},
                           Task{step, now, std::nullopt, false})
              .second;
      accepted_ += is_new ? 1 : 0;
    }
  }
}

void LongRunningJudge::OnCancelled(const std::string& graph) {
  std::erase_if(tasks_,
                [&](const auto& item) { return item.first.graph == graph; });
}

void LongRunningJudge::OnRun(Time now, const TaskRef& task) {
  const auto found = tasks_.find(task);
  if (found != tasks_.end()) {
    found->second.waiting_since = now;
    found->second.is_reported = false;
  }
}

std::vector<LongRunningJudge::Violation> LongRunningJudge::Check(
    Time now,
    Time calm_since,
    std::span<const RealWorker> workers) {
  for (const RealWorker& worker : workers) {
    for (const TaskRef& task : worker.running) {
      OnRun(now, task);
    }
  }
  std::vector<Violation> violations;
  for (auto& [ref, task] : tasks_) {
    std::int64_t room = 0;
    std::string where;
    for (const RealWorker& worker : workers) {
      const std::int64_t here = RoomOn(worker, ref, task.step);
      room += here;
      if (here > 0) {
        where += " " + worker.name;
      }
    }
    if (room < kTwice) {
      task.room_since.reset();
      continue;
    }
    const Time since = task.room_since.value_or(now);
    task.room_since = since;
    if (since + kRoomFor <= now && task.waiting_since + kMaxWait <= now &&
        calm_since + kRoomFor + kCalmBefore <= now && !task.is_reported) {
      task.is_reported = true;
      violations.push_back(
          {ref, "hasn't run for " +
                    std::to_string(ToMillis(now - task.waiting_since)) +
                    " ms, with room for " +
                    std::to_string(ToMillis(now - since)) + " ms, now at" +
                    where});
    }
  }
  return violations;
}

}  // namespace banyan
