#include "tests/fakes/fake_worker.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "src/wire/json_types.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr int kConflict = 409;
constexpr int kNotFound = 404;

HttpReply Reply(int status, const json& body) {
  HttpReply reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

const char* NameOf(WorkerTaskState state) {
  switch (state) {
    case WorkerTaskState::kRunning:
      return "running";
    case WorkerTaskState::kFinished:
      return "finished";
    case WorkerTaskState::kFailed:
      return "failed";
  }
  return "running";
}

std::optional<WorkerOp> OpFor(const HttpCall& call) {
  static const std::map<std::string, WorkerOp> ops = {
      {"/tasks", WorkerOp::kStart},
      {"/lease", WorkerOp::kRenewLease},
      {"/tasks/checkpoint", WorkerOp::kCheckpoint},
      {"/tasks/stop", WorkerOp::kStop},
      {"/tasks/throttle", WorkerOp::kThrottle},
      {"/tasks/forget", WorkerOp::kForget}};
  if (call.method == "GET" && call.path == "/tasks") {
    return WorkerOp::kList;
  }
  const auto found = ops.find(call.path);
  return found == ops.end() ? std::nullopt : std::optional(found->second);
}

WorkerCall ReadCall(WorkerOp op, const std::string& text) {
  const json body = json::parse(text.empty() ? "{}" : text);
  WorkerCall call;
  call.op = op;
  call.task = {body.value("job", ""), body.value("attempt", std::uint64_t{0})};
  call.spec.needs = body.value("needs", Resources{});
  call.spec.declared_run_ms = body.value("run_ms", std::int64_t{0});
  call.spec.payload = body.value("payload", "");
  call.checkpoint = body.value("checkpoint", "");
  call.percent = body.value("percent", std::int64_t{0});
  const char* deadline =
      op == WorkerOp::kRenewLease ? "until_us" : "start_by_us";
  call.deadline = Time(Duration(body.value(deadline, std::int64_t{0})));
  return call;
}

json ListToJson(const WorkerReply& reply) {
  json tasks = json::array();
  for (const WorkerTask& task : reply.tasks) {
    tasks.push_back({{"job", task.task.job},
                     {"attempt", task.task.attempt},
                     {"state", NameOf(task.state)},
                     {"needs", task.needs},
                     {"usage", task.usage},
                     {"checkpoint", task.checkpoint},
                     {"cause", task.cause}});
  }
  return {{"cpu_percent", reply.cpu_percent}, {"tasks", tasks}};
}

}  // namespace

HttpReply FakeWorker::History() const {
  json runs = json::array();
  for (const VirtualRun& run : worker_.runs()) {
    const bool is_running = run.ended == Time::max();
    runs.push_back(
        {{"job", run.task.job},
         {"attempt", run.task.attempt},
         {"started_us", run.started.time_since_epoch().count()},
         {"ended_us", is_running ? 0 : run.ended.time_since_epoch().count()},
         {"finished", run.is_finished},
         {"from_ms", run.from_ms},
         {"to_ms", run.to_ms}});
  }
  return Reply(200, {{"runs", runs}});
}

HttpReply FakeWorker::Serve(const HttpCall& call) {
  const Time now = MonotonicClock::now();
  const std::lock_guard lock(mutex_);
  worker_.Advance(now);
  if (call.path == "/history") {
    return History();
  }
  if (call.path == "/control") {
    worker_.set_failing(call.body == "failing");
    return Reply(200, json::object());
  }
  const auto op = OpFor(call);
  if (!op) {
    return Reply(kNotFound, {{"reason", "no such call"}});
  }
  const WorkerReply reply = worker_.Call(now, ReadCall(*op, call.body));
  if (!reply.ok) {
    return Reply(kConflict, {{"reason", reply.error_message}});
  }
  if (*op == WorkerOp::kList) {
    return Reply(200, ListToJson(reply));
  }
  return Reply(
      200, {{"checkpoint", reply.checkpoint}, {"state", NameOf(reply.state)}});
}

}  // namespace banyan
