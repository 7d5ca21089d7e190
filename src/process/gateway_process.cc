#include "banyan/process/gateway_process.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/events/event.h"
#include "banyan/process/program.h"
#include "banyan/process/push_or_log.h"
#include "banyan/process/turn_monitor.h"

namespace banyan {
namespace {

constexpr std::size_t kRingCapacity = 8192;
// Name of the input ring in the log.
constexpr const char* kRingName = "gateway";
// Longest wait of the core thread for input.
constexpr Duration kTickInterval = Millis(20);
// Times of the read marks.
constexpr ReadMarkTimings kReadMarks{.interval = Millis(100),
                                     .longest_gap = Millis(400),
                                     .settling = Millis(200)};
// Interval at which connections are checked and re-established.
constexpr Duration kMaintenanceInterval = Millis(100);
// Time that a stopping process continues to serve. The load balancer checks
// readiness once a second and needs two failures in a row.
constexpr Duration kBalancerDetectionTime = Millis(2400);
// The process stops once no call has been in flight for this long.
constexpr Duration kIdlePeriod = Millis(200);
// Interval at which a stopping process checks for calls in flight.
constexpr Duration kIdleCheckInterval = Millis(20);
// Part of the drain time reserved for closing servers and threads.
constexpr Duration kShutdownReserve = Millis(700);
// Part of that reserve for answers to the calls that the cell left unanswered.
constexpr Duration kLastAnswersTime = Millis(200);
// Time-out of the query for the current plan version.
constexpr Duration kPlanVersionTimeout = Millis(900);
constexpr int kReadyThreads = 4;

// Returns whether a process with these settings listens for those that look for
// the cell. The address of one that doesn't may be that of a replica.
bool IsDirectory(const CellSettings& settings) {
  return !settings.control_address.empty() && !settings.listen.empty();
}

// Returns the seeds without the process itself, which may be one of them.
std::vector<std::string> OtherSeeds(std::vector<std::string> seeds,
                                    const CellSettings& own) {
  if (IsDirectory(own)) {
    std::erase(seeds, own.listen);
  }
  return seeds;
}

}  // namespace

HttpReply ReplyForUnknownQueue(const CellCallFunction& call_cell,
                               const ServicePlan& plan,
                               Time now) {
  CellQuery query;
  query.kind = CellQueryKind::kPlanVersion;
  const CommandResult newest = call_cell(query, now + kPlanVersionTimeout);
  if (!newest.ok || newest.version > plan.version) {
    return ErrorReply(ErrorKind::kStale, "a newer plan is in force");
  }
  return ErrorReply(ErrorKind::kNotFound, "no such queue");
}

GatewayProcess::GatewayProcess(CellSettings settings, GatewayApis apis)
    : settings_(std::move(settings)),
      apis_(std::move(apis)),
      client_(OtherSeeds(settings_.seeds, settings_),
              NewIncarnation(),
              apis_.queues ? PlanDelivery::kParts : PlanDelivery::kNone),
      read_marks_(MonotonicClock::now(), kReadMarks),
      inputs_(kRingCapacity),
      network_(settings_.id, NewIncarnation(), [this](PeerEvent&& event) {
        PushOrLog(inputs_, std::move(event), kRingName);
      }) {}

GatewayProcess::~GatewayProcess() {
  Stop();
}

bool GatewayProcess::StartDirectory(Reason& reason) {
  if (!IsDirectory(settings_)) {
    return true;
  }
  // Its id is its address, by which seeds are known.
  directory_network_ = std::make_unique<PeerNetwork>(
      settings_.listen, NewIncarnation(), [this](PeerEvent&& event) {
        PushOrLog(inputs_, DirectoryInput{std::move(event)}, kRingName);
      });
  if (!directory_network_->Listen(settings_.listen)) {
    reason = {ErrorKind::kInternal, "can't listen on " + settings_.listen, {}};
    return false;
  }
  directory_network_->set_symmetric();
  const std::vector<std::string> seeds = OtherSeeds(settings_.seeds, settings_);
  other_seeds_ = {seeds.begin(), seeds.end()};
  directory_network_->Start();
  return true;
}

bool GatewayProcess::Start(Reason& reason) {
  if (!StartDirectory(reason)) {
    return false;
  }
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
  return serve(front_, settings_.caller_address, {threads, 1 << 20},
               &GatewayProcess::ServeQueues) &&
         serve(ready_, settings_.readiness_address, {kReadyThreads, 1 << 16},
               &GatewayProcess::ServeReady) &&
         serve(control_, settings_.control_address,
               {threads, kMaxOperatorBodyBytes},
               &GatewayProcess::ServeOperators) &&
         serve(metrics_server_, settings_.metrics_address,
               {kReadyThreads, 1 << 16}, &GatewayProcess::ServeReady);
}

bool GatewayProcess::Stop() {
  if (!core_thread_.joinable()) {
    return true;
  }
  is_leaving_ = true;
  const Time start = MonotonicClock::now();
  const Time balancer_detected_at =
      start +
      (settings_.caller_address.empty() ? kIdlePeriod : kBalancerDetectionTime);
  const Time deadline = start + settings_.drain_timeout - kShutdownReserve;
  PushOrLog(inputs_, EndInput{deadline}, kRingName);
  Time last_busy_at = start;
  Time now = start;
  while (now < deadline &&
         (now < balancer_detected_at || now < last_busy_at + kIdlePeriod)) {
    std::this_thread::sleep_for(kIdleCheckInterval);
    now = MonotonicClock::now();
    if (front_.active() + control_.active() > 0) {
      last_busy_at = now;
    }
  }
  // Handlers wait for the core thread, so it runs until the servers have
  // stopped.
  const bool was_clean = StopServers(deadline + kLastAnswersTime);
  must_end_ = true;
  core_thread_.join();
  network_.Stop();
  if (directory_network_) {
    directory_network_->Stop();
  }
  return was_clean;
}

bool GatewayProcess::StopServers(Time deadline) {
  std::atomic<bool> was_clean = true;
  std::vector<std::thread> threads;
  for (HttpServer* server : {&front_, &control_, &ready_, &metrics_server_}) {
    threads.emplace_back([&was_clean, server, deadline] {
      if (!server->Stop(deadline)) {
        was_clean = false;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return was_clean;
}

void GatewayProcess::Reload(const CellSettings& settings) {
  PushOrLog(inputs_, SeedsInput{OtherSeeds(settings.seeds, settings_)},
            kRingName);
}

std::shared_ptr<const ServicePlan> GatewayProcess::plan() const {
  const std::lock_guard lock(shared_mutex_);
  return plan_;
}

HttpReply GatewayProcess::ServeQueues(const HttpCall& call) {
  const Time start = MonotonicClock::now();
  const std::shared_ptr<const ServicePlan> current_plan = plan();
  HttpReply reply =
      apis_.queues(call, MakeCellCallFunction(), current_plan.get());
  if (is_leaving_) {
    reply.fields.push_back({"Connection", "close"});
  }
  const Duration took = MonotonicClock::now() - start;
  WriteEvent(
      Event(EventId::kCallAnswered)
          .With("method", call.method)
          .With("path", call.path)
          .With("status", reply.status)
          .With("plan", current_plan ? current_plan->version : 0)
          .With("age_ms", ToMillis(start - call.arrived_at.value_or(start)))
          .With("took_ms", ToMillis(took))
          .With("reason", reply.Field("Banyan-Error")));
  metrics_.Increment("calls{status=\"" + std::to_string(reply.status) + "\"}");
  metrics_.Observe("call_seconds", took);
  return reply;
}

HttpReply GatewayProcess::ServeOperators(const HttpCall& call) {
  const Time start = MonotonicClock::now();
  if (apis_.carries_document && apis_.carries_document(call)) {
    HttpReply reply = RedirectToReplica(call);
    LogOperatorCall(call, reply, start);
    return reply;
  }
  if (apis_.operators) {
    if (auto reply = apis_.operators(call, MakeCellCallFunction())) {
      LogOperatorCall(call, *reply, start);
      return *std::move(reply);
    }
  }
  return ErrorReply(ErrorKind::kNotFound, "no such thing: " + call.path);
}

HttpReply GatewayProcess::RedirectToReplica(const HttpCall& call) const {
  const std::lock_guard lock(shared_mutex_);
  if (!is_fresh_ || replica_.empty()) {
    return ErrorReply(ErrorKind::kNoQuorum, "no current replica is reachable");
  }
  const std::string_view control_address = settings_.control_address;
  HttpReply reply;
  reply.status = kTemporaryRedirect;
  // All replicas serve operators at the port of this process.
  reply.fields.push_back(
      {"Location",
       "http://" + replica_.substr(0, replica_.rfind(':')) +
           std::string(control_address.substr(control_address.rfind(':'))) +
           call.path + (call.query.empty() ? "" : "?" + call.query)});
  return reply;
}

HttpReply GatewayProcess::ServeReady(const HttpCall& call) {
  if (auto common = ServeHealthAndMetrics(call, is_leaving_, metrics_)) {
    return *std::move(common);
  }
  if (is_leaving_) {
    return ErrorReply(ErrorKind::kLeaving, "this process is stopping");
  }
  if (apis_.queues && !plan()) {
    return ErrorReply(ErrorKind::kStale, "no plan is known yet");
  }
  if (!is_fresh_) {
    return ErrorReply(ErrorKind::kNoQuorum, "no current replica is reachable");
  }
  return JsonReply("{\"status\":\"ok\"}\n");
}

CellCallFunction GatewayProcess::MakeCellCallFunction() {
  return [this](CellCall call, Time deadline) {
    return CallCell(std::move(call), deadline);
  };
}

CommandResult GatewayProcess::CallCell(CellCall call, Time deadline) {
  auto [ticket, answer] = pending_.Open();
  if (!inputs_.TryPush(CallInput{ticket, std::move(call), deadline})) {
    pending_.Abandon(ticket);
    CommandResult result;
    result.error = ErrorKind::kOverloaded;
    result.text = "too many calls wait";
    return result;
  }
  return answer.get();
}

void GatewayProcess::RunCore() {
  TurnMonitor turn("gateway");
  Time next_maintenance = MonotonicClock::now();
  while (!must_end_) {
    const Time wait_deadline = MonotonicClock::now() + kTickInterval;
    std::vector<Input> batch = inputs_.PopAll(wait_deadline);
    turn.Begin(MonotonicClock::now(), wait_deadline, batch.size(),
               ThreadCpuTime());
    for (Input& input : batch) {
      HandleInput(MonotonicClock::now(), std::move(input));
    }
    const Time now = MonotonicClock::now();
    turn.EndPart(now, "inputs");
    client_.Tick(now, read_marks_.heard_until());
    ApplyOutputs(client_.TakeOutputs());
    ServeDirectory();
    ShareReplica(client_.IsFresh(now));
    LogSwitch(client_.link());
    read_marks_.Tick(now, [this](ReadMark mark) {
      network_.AfterReading(
          [this, mark] { PushOrLog(inputs_, mark, kRingName); });
    });
    if (now >= next_maintenance) {
      next_maintenance = now + kMaintenanceInterval;
      network_.Maintain(now, {client_.link().current()});
      if (directory_network_) {
        directory_network_->Maintain(now, other_seeds_);
      }
    }
    if (const auto event = turn.End(MonotonicClock::now(), ThreadCpuTime())) {
      WriteEvent(*event);
    }
    metrics_.Observe("turn_seconds", turn.took());
  }
}

void GatewayProcess::ShareReplica(bool is_fresh) {
  {
    const std::lock_guard lock(shared_mutex_);
    if (replica_ != client_.confirmed_replica()) {
      replica_ = client_.confirmed_replica();
    }
  }
  is_fresh_ = is_fresh;
}

void GatewayProcess::HandleInput(Time now, Input input) {
  if (auto* call = std::get_if<CallInput>(&input)) {
    client_.Open(now, call->ticket, std::move(call->call), call->deadline);
    return;
  }
  if (const auto* seeds = std::get_if<SeedsInput>(&input)) {
    client_.OnSeeds(now, seeds->seeds);
    if (!seeds->seeds.empty()) {
      other_seeds_ = {seeds->seeds.begin(), seeds->seeds.end()};
    }
    return;
  }
  if (const auto* directory_input = std::get_if<DirectoryInput>(&input)) {
    HandleDirectoryEvent(now, directory_input->event);
    return;
  }
  if (const auto* end = std::get_if<EndInput>(&input)) {
    client_.EndBy(end->deadline);
    return;
  }
  if (const auto* mark = std::get_if<ReadMark>(&input)) {
    read_marks_.OnMark(*mark);
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
    case PeerEvent::Kind::kMessage: {
      // Answers to calls count whichever replica they are from; what else a
      // former replica has sent is about that one.
      const bool is_current = event.sender.id == client_.link().current();
      const bool is_referral =
          std::holds_alternative<CellReferral>(event.message);
      if ((is_current && (client_.link().connected() || is_referral)) ||
          std::holds_alternative<CommandReply>(event.message)) {
        client_.Receive(now, event.message);
      }
      return;
    }
  }
}

void GatewayProcess::HandleDirectoryEvent(Time now, const PeerEvent& event) {
  switch (event.kind) {
    case PeerEvent::Kind::kUp: {
      directory_.OnUp(event.sender.id);
      return;
    }
    case PeerEvent::Kind::kDown: {
      directory_.OnDown(event.sender.id);
      return;
    }
    case PeerEvent::Kind::kMessage: {
      if (const auto* referral = std::get_if<CellReferral>(&event.message)) {
        // Who connects to this process may be the selected replica as well.
        client_.OnReferral(now, "", *referral);
      }
      return;
    }
  }
}

void GatewayProcess::ServeDirectory() {
  if (!directory_network_) {
    return;
  }
  directory_.SetReplicas(client_.link().known_replicas());
  for (const Outbound& outbound : directory_.TakeMessages()) {
    directory_network_->Send(outbound.to, outbound.message);
  }
}

void GatewayProcess::ApplyOutputs(CellClientOutputs outputs) {
  WriteEvents(outputs.events);
  if (outputs.plan) {
    WriteEvent(Event(EventId::kPlanInForce)
                   .With("version", outputs.plan->version)
                   .With("queues", outputs.plan->queues.size()));
    metrics_.SetGauge("plan_version",
                      static_cast<double>(outputs.plan->version));
    const std::lock_guard lock(shared_mutex_);
    plan_ = std::make_shared<const ServicePlan>(*std::move(outputs.plan));
  }
  for (const Message& message : outputs.to_control) {
    network_.Send(client_.link().current(), message);
  }
  if (outputs.drop) {
    network_.Disconnect(*outputs.drop);
  }
  for (CellAnswer& answer : outputs.answers) {
    pending_.Resolve(answer.ticket, std::move(answer.result));
  }
}

}  // namespace banyan
