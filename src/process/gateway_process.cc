#include "banyan/process/gateway_process.h"

#include <algorithm>
#include <utility>

#include "banyan/base/random.h"
#include "banyan/events/event.h"
#include "banyan/process/program.h"
#include "banyan/process/push_or_log.h"

namespace banyan {
namespace {

constexpr std::size_t kRingCapacity = 8192;
// The name of its inputs in the log.
constexpr const char* kRing = "gateway";
// How long the core sleeps without input.
constexpr Duration kTick = Millis(20);
constexpr Duration kMaintenanceInterval = Millis(100);
// How long a planned stop goes on serving, so that the balancer's checks, one
// a second and two in a row, have seen it.
constexpr Duration kRotationWait = Millis(2400);
// How long no call may be under way before the process ends.
constexpr Duration kQuietWait = Millis(200);
constexpr Duration kQuietCheck = Millis(20);
// What is left of the drain deadline for closing down.
constexpr Duration kCloseDownReserve = Millis(700);
// How long the check that a plan is the newest may take.
constexpr Duration kPlanCheck = Millis(900);
constexpr int kReadyThreads = 4;
constexpr std::int64_t kMaxOperatorBodyBytes = 8 << 20;

}  // namespace

HttpReply AnswerNoQueue(const CellPort& cell,
                        const ServicePlan& plan,
                        Time now) {
  CellQuery query;
  query.kind = CellQueryKind::kPlanVersion;
  const CommandResult newest = cell(query, now + kPlanCheck);
  if (!newest.ok || newest.version > plan.version) {
    return ErrorReply(ErrorKind::kStale, "a newer plan is in force");
  }
  return ErrorReply(ErrorKind::kNotFound, "no such queue");
}

GatewayProcess::GatewayProcess(CellSettings settings, GatewayApis apis)
    : settings_(std::move(settings)),
      apis_(std::move(apis)),
      client_(settings_.seeds, NewIncarnation()),
      inputs_(kRingCapacity),
      network_(settings_.id, NewIncarnation(), [this](PeerEvent&& event) {
        PushOrLog(inputs_, std::move(event), kRing);
      }) {}

GatewayProcess::~GatewayProcess() {
  Stop();
}

bool GatewayProcess::Start(Reason& reason) {
  network_.Start();
  core_thread_ = std::thread([this] { RunCore(); });
  const int threads = static_cast<int>(settings_.threads);
  const auto serve =
      [&](HttpServer& server, const std::string& address,
          HttpServer::Limits limits,
          HttpReply (GatewayProcess::*handler)(const HttpCall&)) {
        return address.empty() || server.Start(
                                      address, limits,
                                      [this, handler](const HttpCall& call) {
                                        return (this->*handler)(call);
                                      },
                                      reason);
      };
  return serve(front_, settings_.front, {threads, 1 << 20},
               &GatewayProcess::ServeQueues) &&
         serve(ready_, settings_.ready, {kReadyThreads, 1 << 16},
               &GatewayProcess::ServeReady) &&
         serve(control_, settings_.control, {threads, kMaxOperatorBodyBytes},
               &GatewayProcess::ServeOperators) &&
         serve(metrics_server_, settings_.metrics, {kReadyThreads, 1 << 16},
               &GatewayProcess::ServeReady);
}

bool GatewayProcess::Stop() {
  if (!core_thread_.joinable()) {
    return true;
  }
  is_leaving_ = true;
  const Time start = MonotonicClock::now();
  const Time rotated_at =
      start + (settings_.front.empty() ? kQuietWait : kRotationWait);
  const Time deadline = start + settings_.drain - kCloseDownReserve;
  Time busy_at = start;
  Time now = start;
  while (now < deadline && (now < rotated_at || now < busy_at + kQuietWait)) {
    std::this_thread::sleep_for(kQuietCheck);
    now = MonotonicClock::now();
    if (front_.active() + control_.active() > 0) {
      busy_at = now;
    }
  }
  const bool was_clean = front_.active() + control_.active() == 0;
  front_.Stop();
  control_.Stop();
  ready_.Stop();
  metrics_server_.Stop();
  must_end_ = true;
  core_thread_.join();
  network_.Stop();
  return was_clean;
}

void GatewayProcess::Reload(const CellSettings& settings) {
  PushOrLog(inputs_, SeedsInput{settings.seeds}, kRing);
}

std::shared_ptr<const ServicePlan> GatewayProcess::plan() const {
  const std::lock_guard lock(plan_mutex_);
  return plan_;
}

HttpReply GatewayProcess::ServeQueues(const HttpCall& call) {
  const Time start = MonotonicClock::now();
  const std::shared_ptr<const ServicePlan> in_force = plan();
  HttpReply reply = apis_.queues(call, port(), in_force.get());
  if (is_leaving_) {
    reply.fields.push_back({"Connection", "close"});
  }
  const Duration took = MonotonicClock::now() - start;
  WriteEvent(Event(EventId::kCallAnswered)
                 .With("method", call.method)
                 .With("path", call.path)
                 .With("status", reply.status)
                 .With("plan", in_force ? in_force->version : 0)
                 .With("took_ms", ToMillis(took))
                 .With("reason", reply.Field("Banyan-Error")));
  metrics_.Count("calls{status=\"" + std::to_string(reply.status) + "\"}");
  metrics_.Observe("call_seconds", took);
  return reply;
}

HttpReply GatewayProcess::ServeOperators(const HttpCall& call) {
  if (apis_.operators) {
    if (auto reply = apis_.operators(call, port())) {
      return *std::move(reply);
    }
  }
  return ErrorReply(ErrorKind::kNotFound, "no such thing: " + call.path);
}

HttpReply GatewayProcess::ServeReady(const HttpCall& call) {
  if (auto common = ServeHealthAndMetrics(call, is_leaving_, metrics_)) {
    return *std::move(common);
  }
  if (is_leaving_) {
    return ErrorReply(ErrorKind::kLeaving, "this process is stopping");
  }
  if (!plan()) {
    return ErrorReply(ErrorKind::kStale, "no plan is known yet");
  }
  if (!is_fresh_) {
    return ErrorReply(ErrorKind::kNoQuorum, "no current replica is reachable");
  }
  return JsonReply("{\"status\":\"ok\"}\n");
}

CellPort GatewayProcess::port() {
  return [this](CellCall call, Time deadline) {
    return CallCell(std::move(call), deadline);
  };
}

CommandResult GatewayProcess::CallCell(CellCall call, Time deadline) {
  auto [ticket, answer] = pending_.Open();
  if (!inputs_.TryPush(CallInput{ticket, std::move(call), deadline})) {
    pending_.GiveUp(ticket);
    CommandResult result;
    result.error = ErrorKind::kOverloaded;
    result.text = "too many calls wait";
    return result;
  }
  return answer.get();
}

void GatewayProcess::RunCore() {
  Time next_maintenance = MonotonicClock::now();
  while (!must_end_) {
    std::vector<Input> batch = inputs_.PopAll(MonotonicClock::now() + kTick);
    for (Input& input : batch) {
      Take(MonotonicClock::now(), std::move(input));
    }
    const Time now = MonotonicClock::now();
    client_.Tick(now);
    Act(client_.TakeOutputs());
    is_fresh_ = client_.IsFresh(now);
    if (now >= next_maintenance) {
      next_maintenance = now + kMaintenanceInterval;
      network_.Maintain(now, {client_.link().current()});
    }
  }
}

void GatewayProcess::Take(Time now, Input input) {
  if (auto* call = std::get_if<CallInput>(&input)) {
    client_.Open(now, call->ticket, std::move(call->call), call->deadline);
    return;
  }
  if (const auto* seeds = std::get_if<SeedsInput>(&input)) {
    client_.link().AddSeeds(seeds->seeds);
    return;
  }
  const auto& event = std::get<PeerEvent>(input);
  switch (event.kind) {
    case PeerEvent::Kind::kUp: {
      WriteEvent(Event(EventId::kPeerUp).With("peer", event.sender.id));
      client_.OnUp(now, event.sender.id);
      return;
    }
    case PeerEvent::Kind::kDown: {
      WriteEvent(Event(EventId::kPeerDown).With("peer", event.sender.id));
      client_.OnDown(now, event.sender.id);
      return;
    }
    case PeerEvent::Kind::kMessage:
      client_.Receive(now, event.message);
      return;
  }
}

void GatewayProcess::Act(CellClientOutputs outputs) {
  if (outputs.plan) {
    WriteEvent(Event(EventId::kPlanInForce)
                   .With("version", outputs.plan->version)
                   .With("queues", outputs.plan->queues.size()));
    metrics_.Set("plan_version", static_cast<double>(outputs.plan->version));
    const std::lock_guard lock(plan_mutex_);
    plan_ = std::make_shared<const ServicePlan>(*std::move(outputs.plan));
  }
  for (const Message& message : outputs.to_control) {
    network_.Send(client_.link().current(), message);
  }
  if (outputs.drop) {
    network_.Drop(*outputs.drop);
  }
  for (CellAnswer& answer : outputs.answers) {
    pending_.Deliver(answer.ticket, std::move(answer.result));
  }
}

}  // namespace banyan
