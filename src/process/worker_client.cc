#include "banyan/process/worker_client.h"

#include <nlohmann/json.hpp>

#include "src/wire/json_types.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr Duration kCallTimeout = Millis(500);
// HTTP statuses from kOkStatusBegin up to, but not including, kOkStatusEnd mean
// success.
constexpr int kOkStatusEnd = 300;
constexpr int kOkStatusBegin = 200;

WorkerTaskState ReadState(const std::string& name) {
  if (name == "finished") {
    return WorkerTaskState::kFinished;
  }
  return name == "failed" ? WorkerTaskState::kFailed
                          : WorkerTaskState::kRunning;
}

std::string PathFor(WorkerOp op) {
  switch (op) {
    case WorkerOp::kList:
    case WorkerOp::kStart:
      return "/tasks";
    case WorkerOp::kRenewLease:
      return "/lease";
    case WorkerOp::kCheckpoint:
      return "/tasks/checkpoint";
    case WorkerOp::kStop:
      return "/tasks/stop";
    case WorkerOp::kThrottle:
      return "/tasks/throttle";
    case WorkerOp::kForget:
      return "/tasks/forget";
  }
  return "/";
}

std::string BodyFor(const WorkerCall& call) {
  json body = {{"job", call.task.job}, {"attempt", call.task.attempt}};
  const std::int64_t deadline_us = call.deadline.time_since_epoch().count();
  switch (call.op) {
    case WorkerOp::kList:
      return "";
    case WorkerOp::kStart:
      body["kind"] = call.spec.kind;
      body["needs"] = call.spec.needs;
      body["run_ms"] = call.spec.declared_run_ms;
      body["payload"] = call.spec.payload;
      body["checkpoint"] = call.checkpoint;
      body["start_by_us"] = deadline_us;
      break;
    case WorkerOp::kRenewLease:
      body = {{"until_us", deadline_us}};
      break;
    case WorkerOp::kThrottle:
      body["percent"] = call.percent;
      break;
    case WorkerOp::kCheckpoint:
    case WorkerOp::kStop:
    case WorkerOp::kForget:
      break;
  }
  return body.dump();
}

void ReadTasks(const json& body, WorkerReply& reply) {
  reply.cpu_percent = body.at("cpu_percent").get<std::int64_t>();
  for (const json& item : body.at("tasks")) {
    WorkerTask task;
    item.at("job").get_to(task.task.job);
    item.at("attempt").get_to(task.task.attempt);
    task.state = ReadState(item.at("state").get<std::string>());
    item.at("needs").get_to(task.needs);
    item.at("usage").get_to(task.usage);
    item.at("checkpoint").get_to(task.checkpoint);
    item.at("cause").get_to(task.cause);
    reply.tasks.push_back(std::move(task));
  }
}

}  // namespace

WorkerReply WorkerClient::Call(const WorkerCall& call) {
  HttpCall http;
  http.method = call.op == WorkerOp::kList ? "GET" : "POST";
  http.path = PathFor(call.op);
  http.body = BodyFor(call);
  http.content_type = "application/json";
  const HttpExchange exchange =
      client_.Exchange(http, "", MonotonicClock::now() + kCallTimeout);
  WorkerReply reply;
  reply.op = call.op;
  reply.task = call.task;
  reply.error_message = exchange.text;
  if (exchange.outcome != RequestOutcome::kRan) {
    return reply;
  }
  const int status = exchange.reply.status;
  reply.ok = status >= kOkStatusBegin && status < kOkStatusEnd;
  reply.is_refusal = !reply.ok;
  try {
    const json body = json::parse(exchange.reply.body);
    reply.error_message = body.value("reason", "");
    if (reply.ok && call.op == WorkerOp::kList) {
      ReadTasks(body, reply);
    }
    reply.checkpoint = body.value("checkpoint", "");
    reply.state = ReadState(body.value("state", "running"));
  } catch (const json::exception& error) {
    reply.ok = false;
    reply.is_refusal = false;
    reply.error_message = error.what();
  }
  return reply;
}

}  // namespace banyan
