#include "banyan/process/worker_agent_process.h"

#include "banyan/base/random.h"
#include "banyan/events/event.h"
#include "banyan/process/program.h"
#include "banyan/process/push_or_log.h"
#include "banyan/process/turn_monitor.h"

namespace banyan {
namespace {

constexpr std::size_t kRingCapacity = 8192;
// Longest wait of the core thread for input.
constexpr Duration kTickInterval = Millis(25);
// Times of the read marks.
constexpr ReadMarkTimings kReadMarks{.interval = Millis(100),
                                     .longest_gap = Millis(400),
                                     .settling = Millis(200)};
// Interval at which connections are checked and re-established.
constexpr Duration kMaintenanceInterval = Millis(100);
// Interval at which an idle call thread checks whether to stop.
constexpr Duration kStopCheckInterval = std::chrono::seconds(1);
constexpr int kServerThreads = 8;
// Largest accepted report of a worker.
constexpr std::int64_t kMaxReportBytes = 4 << 20;

}  // namespace

WorkerAgentProcess::WorkerAgentProcess(CellSettings settings,
                                       WorkerProtocol protocol)
    : settings_(std::move(settings)),
      protocol_(std::move(protocol)),
      agent_(settings_.max_worker_lease),
      link_(settings_.seeds, NewIncarnation()),
      read_marks_(MonotonicClock::now(), kReadMarks),
      inputs_(kRingCapacity),
      list_calls_(kRingCapacity),
      order_calls_(kRingCapacity),
      network_(settings_.id, NewIncarnation(), [this](PeerEvent&& event) {
        Push(std::move(event));
      }) {}

WorkerAgentProcess::~WorkerAgentProcess() {
  Stop();
}

void WorkerAgentProcess::Push(Input input) {
  PushOrLog(inputs_, std::move(input), "worker-agent");
}

bool WorkerAgentProcess::Start(Reason& reason) {
  network_.Start();
  core_thread_ = std::thread([this] { RunCore(); });
  call_threads_.emplace_back([this] { RunCalls(list_calls_); });
  for (int i = 0; i < kMaxParallelOrders; ++i) {
    call_threads_.emplace_back([this] { RunCalls(order_calls_); });
  }
  const auto serve = [this](const HttpCall& call) { return Serve(call); };
  return server_.Start(settings_.control_address,
                       {kServerThreads, kMaxReportBytes}, serve, reason) &&
         (settings_.metrics_address.empty() ||
          metrics_server_.Start(settings_.metrics_address, {2, 1 << 16}, serve,
                                reason));
}

bool WorkerAgentProcess::Stop() {
  if (!core_thread_.joinable()) {
    return true;
  }
  server_.Stop();
  metrics_server_.Stop();
  must_end_ = true;
  core_thread_.join();
  list_calls_.Close();
  order_calls_.Close();
  for (std::thread& thread : call_threads_) {
    thread.join();
  }
  network_.Stop();
  return true;
}

void WorkerAgentProcess::Reload(const CellSettings& settings) {
  Push(SeedsInput{settings.seeds});
}

HttpReply WorkerAgentProcess::Serve(const HttpCall& call) {
  if (auto common = ServeHealthAndMetrics(call, must_end_, metrics_)) {
    return *std::move(common);
  }
  HttpReply reply;
  auto message = protocol_.parse_message(call, reply);
  if (message) {
    Push(*std::move(message));
  }
  return reply;
}

void WorkerAgentProcess::RunCalls(BoundedRing<RunCall>& ring) {
  const std::unique_ptr<RunCallClient> client =
      protocol_.make_client(settings_.worker_address);
  RunCall call;
  while (!ring.drained()) {
    if (ring.PopOne(call, MonotonicClock::now() + kStopCheckInterval)) {
      RunCallReply reply = client->Call(call);
      metrics_.Observe("worker_call_seconds",
                       reply.received_at - reply.sent_at);
      Push(std::move(reply));
    }
  }
}

void WorkerAgentProcess::RunCore() {
  TurnMonitor turn("worker-agent");
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
    agent_.Tick(now);
    ApplyOutputs(now, agent_.TakeOutputs());
    const std::string previous_replica = link_.current();
    if (link_.Tick(now, read_marks_.heard_until())) {
      network_.Disconnect(previous_replica);
    }
    LogSwitch(link_);
    read_marks_.Tick(now, [this](ReadMark mark) {
      network_.AfterReading([this, mark] { Push(mark); });
    });
    if (now >= next_maintenance) {
      next_maintenance = now + kMaintenanceInterval;
      network_.Maintain(now, {link_.current()});
    }
    if (const auto event = turn.End(MonotonicClock::now(), ThreadCpuTime())) {
      WriteEvent(*event);
    }
    metrics_.Observe("turn_seconds", turn.took());
  }
}

void WorkerAgentProcess::HandleInput(Time now, Input input) {
  if (const auto* reply = std::get_if<RunCallReply>(&input)) {
    agent_.OnReply(now, *reply);
  } else if (const auto* message = std::get_if<WorkerMessage>(&input)) {
    if (message->report) {
      agent_.OnReport(now, *message->report);
    } else {
      agent_.OnLeave(now, message->leaving);
    }
  } else if (const auto* seeds = std::get_if<SeedsInput>(&input)) {
    const std::string previous_replica = link_.current();
    if (link_.AddSeeds(now, seeds->seeds)) {
      network_.Disconnect(previous_replica);
    }
  } else if (const auto* mark = std::get_if<ReadMark>(&input)) {
    read_marks_.OnMark(*mark);
  } else {
    const auto& event = std::get<PeerEvent>(input);
    if (event.kind == PeerEvent::Kind::kUp) {
      WriteEvent(Event(EventId::kPeerUp).With("peer", event.sender.id));
      link_.OnUp(now, event.sender.id);
    } else if (event.kind == PeerEvent::Kind::kDown) {
      WriteEvent(Event(EventId::kPeerDown).With("peer", event.sender.id));
      link_.OnDown(now, event.sender.id);
    } else if (const auto* orders = std::get_if<WorkerOrders>(&event.message)) {
      if (agent_.OnOrders(now, *orders)) {
        link_.OnAnswer();
      }
    } else if (const auto* members = std::get_if<CellMembers>(&event.message)) {
      link_.SetMembers(members->addresses);
    } else if (const auto* referral =
                   std::get_if<CellReferral>(&event.message)) {
      // What a process that was left has sent is outdated.
      if (event.sender.id == link_.current() &&
          link_.OnReferral(now, event.sender.id, *referral)) {
        network_.Disconnect(event.sender.id);
      }
    }
  }
}

void WorkerAgentProcess::ApplyOutputs(Time now, WorkerAgentOutputs outputs) {
  WriteEvents(outputs.events);
  for (const Event& event : outputs.events) {
    metrics_.Increment("events{event=\"" + std::string(EventName(event.id())) +
                       "\"}");
  }
  for (const Message& message : outputs.to_control) {
    if (link_.connected()) {
      network_.Send(link_.current(), message);
      link_.OnSent(now);
    }
  }
  for (RunCall& call : outputs.calls) {
    RunCallReply refusal = MakeUnansweredReply(call);
    refusal.failure = CallFailure::kNotSent;
    refusal.text = "the ring of calls is full";
    BoundedRing<RunCall>& ring =
        call.op == RunCallOp::kListRuns ? list_calls_ : order_calls_;
    if (!ring.TryPush(std::move(call))) {
      Push(std::move(refusal));
    }
  }
}

}  // namespace banyan
