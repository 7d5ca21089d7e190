#include "banyan/process/worker_agent_process.h"

#include "banyan/base/random.h"
#include "banyan/events/event.h"
#include "banyan/process/program.h"
#include "banyan/process/push_or_log.h"

namespace banyan {
namespace {

constexpr std::size_t kRingCapacity = 8192;
// How long the core sleeps without input.
constexpr Duration kTick = Millis(25);
constexpr Duration kMaintenanceInterval = Millis(100);
constexpr Duration kIdleWait = std::chrono::seconds(1);
// Orders under way to the worker at once.
constexpr int kOrderThreads = 4;
constexpr int kServerThreads = 8;
// Reports of workers are acknowledged up to this size.
constexpr std::int64_t kMaxReportBytes = 4 << 20;

}  // namespace

WorkerAgentProcess::WorkerAgentProcess(CellSettings settings,
                                       WorkerProtocol protocol)
    : settings_(std::move(settings)),
      protocol_(std::move(protocol)),
      link_(settings_.seeds, NewIncarnation()),
      inputs_(kRingCapacity),
      lists_(kRingCapacity),
      orders_(kRingCapacity),
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
  call_threads_.emplace_back([this] { RunCalls(lists_); });
  for (int i = 0; i < kOrderThreads; ++i) {
    call_threads_.emplace_back([this] { RunCalls(orders_); });
  }
  const auto serve = [this](const HttpCall& call) { return Serve(call); };
  return server_.Start(settings_.control, {kServerThreads, kMaxReportBytes},
                       serve, reason) &&
         (settings_.metrics.empty() ||
          metrics_server_.Start(settings_.metrics, {2, 1 << 16}, serve,
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
  lists_.Close();
  orders_.Close();
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
  auto word = protocol_.read(call, reply);
  if (word) {
    Push(*std::move(word));
  }
  return reply;
}

void WorkerAgentProcess::RunCalls(BoundedRing<RunCall>& ring) {
  const std::unique_ptr<RunCaller> caller = protocol_.caller(settings_.worker);
  RunCall call;
  while (!ring.drained()) {
    if (ring.PopOne(call, MonotonicClock::now() + kIdleWait)) {
      RunCallReply reply = caller->Call(call);
      metrics_.Observe("worker_call_seconds",
                       reply.received_at - reply.sent_at);
      Push(std::move(reply));
    }
  }
}

void WorkerAgentProcess::RunCore() {
  Time next_maintenance = MonotonicClock::now();
  while (!must_end_) {
    std::vector<Input> batch = inputs_.PopAll(MonotonicClock::now() + kTick);
    for (Input& input : batch) {
      Take(MonotonicClock::now(), std::move(input));
    }
    const Time now = MonotonicClock::now();
    agent_.Tick(now);
    Act(now, agent_.TakeOutputs());
    const std::string before = link_.current();
    if (link_.Tick(now)) {
      network_.Drop(before);
    }
    if (now >= next_maintenance) {
      next_maintenance = now + kMaintenanceInterval;
      network_.Maintain(now, {link_.current()});
    }
  }
}

void WorkerAgentProcess::Take(Time now, Input input) {
  if (const auto* reply = std::get_if<RunCallReply>(&input)) {
    agent_.OnReply(now, *reply);
  } else if (const auto* word = std::get_if<WorkerWord>(&input)) {
    if (word->report) {
      agent_.OnReport(now, *word->report);
    } else {
      agent_.OnLeave(now, word->leaving);
    }
  } else if (const auto* seeds = std::get_if<SeedsInput>(&input)) {
    link_.AddSeeds(seeds->seeds);
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
    }
  }
}

void WorkerAgentProcess::Act(Time now, WorkerAgentOutputs outputs) {
  WriteEvents(outputs.events);
  for (const Message& message : outputs.to_control) {
    if (link_.connected()) {
      network_.Send(link_.current(), message);
      link_.OnSent(now);
    }
  }
  for (RunCall& call : outputs.calls) {
    RunCallReply refusal = MakeUnansweredReply(call);
    refusal.text = "the ring of calls is full";
    BoundedRing<RunCall>& ring =
        call.op == RunCallOp::kListRuns ? lists_ : orders_;
    if (!ring.TryPush(std::move(call))) {
      Push(std::move(refusal));
    }
  }
}

}  // namespace banyan
