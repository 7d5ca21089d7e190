#include "banyan/process/agent_process.h"

#include <utility>

#include "banyan/base/random.h"
#include "banyan/process/push_or_log.h"
#include "banyan/process/worker_client.h"

namespace banyan {
namespace {

constexpr std::size_t kRingCapacity = 8192;
constexpr std::size_t kWorkerRingCapacity = 4096;
// Longest wait of the core thread for input.
constexpr Duration kTickInterval = Millis(5);
// Interval at which connections are checked and re-established.
constexpr Duration kMaintenanceInterval = Millis(100);
// Interval at which an idle call thread checks whether to stop.
constexpr Duration kStopCheckInterval = Millis(100);
// Time for the deregistration to reach the control replica before the
// connections close.
constexpr Duration kDeregistrationWait = Millis(300);
constexpr int kAdminThreads = 2;
constexpr std::int64_t kMaxAdminBodyBytes = 4096;

AgentOptions OptionsFor(const AgentSettings& settings) {
  AgentOptions options;
  options.info = settings.info;
  options.info.incarnation = NewIncarnation();
  return options;
}

}  // namespace

AgentProcess::AgentProcess(AgentSettings settings)
    : settings_(std::move(settings)),
      core_(OptionsFor(settings_), MonotonicClock::now()),
      control_(settings_.control, settings_.info.data_centre),
      inputs_(kRingCapacity),
      endpoint_calls_(kRingCapacity),
      worker_calls_(kWorkerRingCapacity),
      network_(settings_.info.id,
               core_.incarnation(),
               [this](PeerEvent&& event) { Push(std::move(event)); }) {}

AgentProcess::~AgentProcess() {
  Stop();
}

void AgentProcess::Push(Input input) {
  PushOrLog(inputs_, std::move(input), "agent-core");
}

bool AgentProcess::Start(Reason& reason) {
  if (!network_.Listen(settings_.listen)) {
    reason = {ErrorKind::kInternal, "can't listen on " + settings_.listen, {}};
    return false;
  }
  network_.Start();
  core_thread_ = std::thread([this] { RunCore(); });
  if (settings_.info.role == InstanceRole::kWorker) {
    call_threads_.emplace_back([this] { RunWorkerCalls(); });
  }
  for (std::int64_t i = 0; i < settings_.info.slots; ++i) {
    call_threads_.emplace_back([this] { RunEndpointCalls(); });
  }
  return server_.Start(
      settings_.admin, {kAdminThreads, kMaxAdminBodyBytes},
      [this](const HttpCall& call) { return Serve(call); }, reason);
}

HttpReply AgentProcess::Serve(const HttpCall& call) {
  if (auto common = ServeHealthAndMetrics(call, is_leaving_, metrics_)) {
    return *std::move(common);
  }
  return ErrorReply(ErrorKind::kNotFound, "no such thing: " + call.path);
}

bool AgentProcess::Stop() {
  if (!core_thread_.joinable()) {
    return true;
  }
  is_leaving_ = true;
  Push(LeaveInput{});
  const Time deadline = MonotonicClock::now() + settings_.drain_timeout;
  while (!is_drained_ && MonotonicClock::now() < deadline) {
    std::this_thread::sleep_for(kTickInterval);
  }
  const bool was_clean = is_drained_;
  must_end_ = true;
  core_thread_.join();
  if (was_clean) {
    SendDeregistration();
  }
  endpoint_calls_.Close();
  worker_calls_.Close();
  for (std::thread& thread : call_threads_) {
    thread.join();
  }
  server_.Stop(deadline);
  network_.Stop();
  return was_clean;
}

void AgentProcess::SendDeregistration() {
  LoggedCommand command;
  command.command =
      RemoveInstance{settings_.info.id, core_.incarnation(), "left"};
  network_.Send(control_.current().id, CommandRequest{0, std::move(command)});
  std::this_thread::sleep_for(kDeregistrationWait);
}

void AgentProcess::RunEndpointCalls() {
  HttpClient client(settings_.target);
  EndpointCall call;
  while (!endpoint_calls_.drained()) {
    if (!endpoint_calls_.PopOne(call,
                                MonotonicClock::now() + kStopCheckInterval)) {
      continue;
    }
    HttpCall http;
    http.method = call.method;
    const std::size_t query_start = call.path.find('?');
    http.path = call.path.substr(0, query_start);
    http.query = query_start == std::string::npos
                     ? ""
                     : call.path.substr(query_start + 1);
    http.content_type = call.content_type;
    http.body = call.body;
    const std::string request_id = settings_.info.id + "-" +
                                   std::to_string(core_.incarnation()) + "-" +
                                   std::to_string(call.id);
    const Time start = MonotonicClock::now();
    HttpExchange exchange = client.Exchange(http, request_id, call.deadline);
    metrics_.Observe("endpoint_seconds", MonotonicClock::now() - start);
    EndpointReply answer;
    answer.id = call.id;
    answer.outcome = exchange.outcome;
    answer.error = exchange.outcome == RequestOutcome::kNotRun
                       ? ErrorKind::kNoEndpoint
                       : ErrorKind::kBrokenAnswer;
    answer.status = exchange.reply.status;
    answer.content_type = std::move(exchange.reply.content_type);
    answer.body = std::move(exchange.reply.body);
    Push(std::move(answer));
  }
}

void AgentProcess::RunWorkerCalls() {
  WorkerClient client(settings_.target);
  WorkerCall call;
  while (!worker_calls_.drained()) {
    if (worker_calls_.PopOne(call,
                             MonotonicClock::now() + kStopCheckInterval)) {
      Push(client.Call(call));
    }
  }
}

void AgentProcess::RunCore() {
  Time next_maintenance = MonotonicClock::now();
  while (!must_end_) {
    std::vector<Input> batch =
        inputs_.PopAll(MonotonicClock::now() + kTickInterval);
    // Tick() runs before the inputs are handled: if the process was suspended,
    // it drops the connections, so that messages queued meanwhile are
    // discarded.
    core_.Tick(MonotonicClock::now());
    ApplyOutputs(core_.TakeOutputs());
    for (Input& input : batch) {
      HandleInput(MonotonicClock::now(), std::move(input));
    }
    ApplyOutputs(core_.TakeOutputs());
    is_drained_ = core_.drained();
    const Time now = MonotonicClock::now();
    if (now >= next_maintenance) {
      next_maintenance = now + kMaintenanceInterval;
      network_.Maintain(now, {control_.current().address});
    }
  }
}

void AgentProcess::HandleInput(Time now, Input input) {
  if (const auto* event = std::get_if<PeerEvent>(&input)) {
    HandleInput(now, *event);
  } else if (const auto* answer = std::get_if<EndpointReply>(&input)) {
    core_.OnEndpointReply(now, *answer);
  } else if (const auto* reply = std::get_if<WorkerReply>(&input)) {
    core_.OnWorkerReply(now, *reply);
  } else {
    core_.Leave(now);
  }
}

void AgentProcess::HandleInput(Time now, const PeerEvent& event) {
  const std::string& peer = event.sender.id;
  switch (event.kind) {
    case PeerEvent::Kind::kUp:
      connected_peers_.insert(peer);
      stale_peers_.erase(peer);
      if (peer == control_.current().id) {
        core_.ControlUp(now);
      }
      return;
    case PeerEvent::Kind::kDown:
      connected_peers_.erase(peer);
      stale_peers_.erase(peer);
      if (peer == control_.current().id) {
        control_.SwitchToNext();
      }
      return;
    case PeerEvent::Kind::kMessage:
      if (!stale_peers_.contains(peer)) {
        core_.Receive(now, event.sender, event.message);
      }
      return;
  }
}

void AgentProcess::ApplyOutputs(AgentOutputs outputs) {
  WriteEvents(outputs.events);
  network_.set_incarnation(core_.incarnation());
  for (const Outbound& outbound : outputs.messages) {
    network_.Send(outbound.to, outbound.message);
  }
  control_.Send(network_, outputs.to_control);
  for (EndpointCall& call : outputs.endpoint_calls) {
    const std::uint64_t id = call.id;
    if (!endpoint_calls_.TryPush(std::move(call))) {
      EndpointReply refusal;
      refusal.id = id;
      refusal.outcome = RequestOutcome::kNotRun;
      refusal.error = ErrorKind::kOverloaded;
      Push(std::move(refusal));
    }
  }
  for (WorkerCall& call : outputs.worker_calls) {
    WorkerReply refusal;
    refusal.op = call.op;
    refusal.task = call.task;
    refusal.error_message = "the ring of worker calls is full";
    if (!worker_calls_.TryPush(std::move(call))) {
      Push(std::move(refusal));
    }
  }
  if (outputs.drop_connections) {
    stale_peers_ = connected_peers_;
    network_.DisconnectAll();
  }
  if (outputs.switch_control) {
    network_.Disconnect(control_.current().id);
    control_.SwitchToNext();
  }
  metrics_.SetGauge("config_version",
                    static_cast<double>(core_.config_version()));
  metrics_.SetGauge("tasks", static_cast<double>(core_.tasks().tasks().size()));
  metrics_.SetGauge("in_flight",
                    static_cast<double>(core_.guard().in_flight()));
  metrics_.SetGauge("sent_bytes", static_cast<double>(network_.sent_bytes()));
}

}  // namespace banyan
