#include "tests/fakes/fake_worker.h"

#include <nlohmann/json.hpp>

#include "src/wire/json_types.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr int kCreated = 201;
constexpr std::int64_t kFullPercent = 100;

HttpReply Reply(int status, const json& body) {
  HttpReply reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

HttpReply Refusal(const std::string& reason) {
  return Reply(kConflict, {{"reason", reason}});
}

TaskId TaskFrom(const json& body) {
  return {body.at("job").get<std::string>(),
          body.at("attempt").get<std::uint64_t>()};
}

}  // namespace

void FakeWorker::End(Task& task, State state, Time now) {
  task.state = state;
  WorkerRun& run = history_[task.run];
  run.ended = now;
  run.to_ms = task.done_ms;
  run.is_finished = state == State::kFinished;
}

void FakeWorker::Advance(Time now) {
  for (auto& [id, task] : tasks_) {
    if (task.state != State::kRunning) {
      continue;
    }
    const Time until = std::min(now, lease_until_);
    if (until > task.advanced) {
      task.done_ms +=
          ToMillis(until - task.advanced) * task.percent / kFullPercent;
      task.advanced = until;
    }
    if (task.done_ms >= task.run_ms) {
      task.done_ms = task.run_ms;
      End(task, State::kFinished, until);
    } else if (lease_until_ <= now) {
      End(task, State::kStopped, lease_until_);
    }
  }
}

HttpReply FakeWorker::List() const {
  json tasks = json::array();
  std::int64_t cpu = 0;
  for (const auto& [id, task] : tasks_) {
    if (task.state == State::kStopped) {
      continue;
    }
    Resources usage;
    if (task.state == State::kRunning) {
      usage = task.needs;
      usage.cpu_millis = usage.cpu_millis * task.percent / kFullPercent;
      cpu += usage.cpu_millis;
    }
    const char* state = task.state == State::kRunning    ? "running"
                        : task.state == State::kFinished ? "finished"
                                                         : "failed";
    tasks.push_back(
        {{"job", id.job},
         {"attempt", id.attempt},
         {"state", state},
         {"needs", task.needs},
         {"usage", usage},
         {"checkpoint",
          task.checkpoint_ms > 0 ? std::to_string(task.checkpoint_ms) : ""},
         {"cause", task.state == State::kFailed ? "payload" : ""}});
  }
  return Reply(200, {{"cpu_percent", cpu * kFullPercent / capacity_.cpu_millis},
                     {"tasks", tasks}});
}

HttpReply FakeWorker::Start(Time now, const std::string& text) {
  const json body = json::parse(text);
  const TaskId id = TaskFrom(body);
  if (tasks_.contains(id)) {
    return Refusal("the attempt is known");
  }
  if (lease_until_ <= now) {
    return Refusal("the instance holds no lease");
  }
  if (now > Time(Span(body.at("start_by_us").get<std::int64_t>()))) {
    return Refusal("the order is too old");
  }
  Task task;
  body.at("needs").get_to(task.needs);
  task.run_ms = body.at("run_ms").get<std::int64_t>();
  const std::string checkpoint = body.at("checkpoint");
  task.done_ms = checkpoint.empty() ? 0 : std::stoll(checkpoint);
  task.checkpoint_ms = task.done_ms;
  task.advanced = now;
  task.run = history_.size();
  history_.push_back({id, now, Time{}, false, task.done_ms, 0});
  const bool must_fail = is_failing_ || body.value("payload", "") == "fail";
  if (must_fail) {
    End(task, State::kFailed, now);
  }
  tasks_[id] = task;
  return Reply(kCreated, json::object());
}

HttpReply FakeWorker::History() const {
  json runs = json::array();
  for (const WorkerRun& run : history_) {
    runs.push_back({{"job", run.task.job},
                    {"attempt", run.task.attempt},
                    {"started_us", run.started.time_since_epoch().count()},
                    {"ended_us", run.ended.time_since_epoch().count()},
                    {"finished", run.is_finished},
                    {"from_ms", run.from_ms},
                    {"to_ms", run.to_ms}});
  }
  return Reply(200, {{"runs", runs}});
}

HttpReply FakeWorker::Serve(const HttpCall& call) {
  const Time now = MonotonicClock::now();
  const std::lock_guard lock(mutex_);
  Advance(now);
  if (call.path == "/history") {
    return History();
  }
  if (call.path == "/control") {
    is_failing_ = call.body == "failing";
    return Reply(200, json::object());
  }
  if (call.path == "/tasks") {
    return call.method == "GET" ? List() : Start(now, call.body);
  }
  const json body = json::parse(call.body);
  if (call.path == "/lease") {
    lease_until_ = Time(Span(body.at("until_us").get<std::int64_t>()));
    return Reply(200, json::object());
  }
  const auto found = tasks_.find(TaskFrom(body));
  if (call.path == "/tasks/stop") {
    if (found == tasks_.end()) {
      return Reply(200, {{"state", "stopped"}});
    }
    Task& task = found->second;
    if (task.state == State::kRunning) {
      End(task, State::kStopped, now);
    }
    return Reply(200, {{"state", task.state == State::kFinished ? "finished"
                                                                : "stopped"}});
  }
  if (found == tasks_.end()) {
    return Reply(kNotFound, {{"reason", "no such task"}});
  }
  Task& task = found->second;
  if (call.path == "/tasks/checkpoint") {
    task.checkpoint_ms = task.done_ms;
    return Reply(200, {{"checkpoint", std::to_string(task.checkpoint_ms)}});
  }
  if (call.path == "/tasks/throttle") {
    task.percent = body.at("percent").get<std::int64_t>();
  } else if (call.path == "/tasks/forget") {
    tasks_.erase(found);
  }
  return Reply(200, json::object());
}

}  // namespace banyan
