#include "banyan/graph/worker_agent.h"

#include <algorithm>
#include <optional>

#include "banyan/wire/field_limits.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr std::int64_t kWorkerClockMs = 50000;

// An agent with a worker that has reported and a simulated leader.
class AgentFixture {
 public:
  explicit AgentFixture(std::int64_t started_at_ms = 1) {
    Report(started_at_ms, 1);
  }

  void Report(std::int64_t started_at_ms,
              std::int64_t sequence,
              bool draining = false) {
    WorkerReport report;
    report.info = SampleWorker("w1", started_at_ms);
    report.info.draining = draining;
    report.sequence = sequence;
    report.clock_ms = kWorkerClockMs;
    Report(report);
  }

  void Report(const WorkerReport& report) {
    if (started_at_ms_ == 0) {
      started_at_ms_ = report.info.life.started_at_ms;
    }
    agent_.OnReport(now_, report);
    Collect();
  }

  // The worker answers, as the incarnation that started then, the call that
  // asks which one it is, sent so long ago.
  void Identify(std::int64_t answering_start_ms, Duration age = Duration{}) {
    RunCallReply reply;
    reply.op = RunCallOp::kIdentify;
    reply.answered = true;
    reply.clock_ms = kWorkerClockMs;
    reply.sent_at = now_ - age;
    reply.answering_start_ms = answering_start_ms;
    if (answering_start_ms != started_at_ms_) {
      reply.refusal = RunRefusal::kOtherIncarnation;
    }
    Reply(std::move(reply));
  }

  // The worker starts again under its id, reports, and is asked who it is.
  void Restart(std::int64_t started_at_ms) {
    Report(started_at_ms, 1);
    Identify(started_at_ms);
    started_at_ms_ = started_at_ms;
  }

  // Replies come from the incarnation that started then.
  void Follow(std::int64_t started_at_ms) { started_at_ms_ = started_at_ms; }

  // The leader answers the last sync with a lease and commands.
  void Grant(WorkerOrders orders = {}, std::int64_t lease_ms = 4000) {
    orders.seq = last_sync_.seq;
    orders.worker = last_sync_.info.life;
    orders.fencing_token = std::max<std::uint64_t>(orders.fencing_token, 3);
    orders.lease_ms = lease_ms;
    agent_.OnOrders(now_, orders);
    Collect();
  }

  // The leader asks for calls to earlier incarnations to be refused; the worker
  // answers a list call with the token, and runs what they have started.
  void Fence(std::uint64_t number, std::vector<RunStatus> running = {}) {
    WorkerOrders orders;
    orders.worker = {"w1", started_at_ms_};
    orders.fencing_token = 3;
    orders.incarnation_number = number;
    orders.must_fence = true;
    agent_.OnOrders(now_, orders);
    Collect();
    RunCallReply reply;
    reply.op = RunCallOp::kListRuns;
    reply.answered = true;
    reply.clock_ms = kWorkerClockMs;
    reply.sent_at = now_;
    reply.fencing_token = CallToken(3, number);
    reply.running = std::move(running);
    Reply(std::move(reply));
  }

  void Leave() {
    agent_.OnLeave(now_, "w1");
    Collect();
  }

  // The worker announces its shutdown and is gone.
  void LeaveForGood() {
    Leave();
    FailLists();
    CPPUNIT_ASSERT(last_sync_.gone);
  }

  // The worker is gone: list calls get no answer.
  void FailLists() {
    for (int i = 0; i < 3; ++i) {
      FailList();
      Advance(Millis(100));
    }
  }

  // The list call in flight, sent so long ago, gets no answer.
  void FailList(Duration age = Duration{}) {
    RunCallReply reply;
    reply.op = RunCallOp::kListRuns;
    reply.sent_at = now_ - age;
    Reply(std::move(reply));
  }

  void Reply(RunCallReply reply) {
    reply.incarnation = {"w1", started_at_ms_};
    reply.received_at = now_;
    agent_.OnReply(now_, reply);
    Collect();
  }

  // The worker answers a list call as another incarnation.
  void DenyIncarnation(std::optional<std::int64_t> answering_start_ms) {
    RunCallReply reply;
    reply.op = RunCallOp::kListRuns;
    reply.answered = true;
    reply.refusal = RunRefusal::kOtherIncarnation;
    reply.answering_start_ms = answering_start_ms;
    reply.sent_at = now_;
    Reply(std::move(reply));
  }

  // The worker answers a list call that was sent at the current time.
  void ReplyToList(std::vector<RunStatus> running,
                   std::vector<EndedRun> ended) {
    RunCallReply reply;
    reply.op = RunCallOp::kListRuns;
    reply.answered = true;
    reply.clock_ms = kWorkerClockMs;
    reply.sent_at = now_;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    reply.last_committed_end = last_acknowledgement_;
    Reply(std::move(reply));
  }

  void Answer(RunCallOp op,
              const RunRef& run,
              bool answered,
              RunRefusal refusal = RunRefusal::kNone) {
    RunCallReply reply;
    reply.op = op;
    reply.run = run;
    reply.answered = answered;
    reply.refusal = refusal;
    reply.sent_at = now_;
    Reply(std::move(reply));
  }

  void Advance(Duration span) {
    now_ += span;
    agent_.Tick(now_);
    Collect();
  }

  [[nodiscard]] std::vector<RunCall> TakeCalls(RunCallOp op) {
    std::vector<RunCall> taken;
    std::erase_if(calls_, [&](const RunCall& call) {
      if (call.op != op) {
        return false;
      }
      taken.push_back(call);
      return true;
    });
    return taken;
  }

  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] const WorkerSync& last_sync() const { return last_sync_; }
  // Returns the syncs sent since the last call.
  [[nodiscard]] std::vector<WorkerSync> TakeSyncs() {
    return std::exchange(syncs_, {});
  }
  [[nodiscard]] bool IsReportedRefused(const RunRef& run) {
    Advance(Millis(600));
    return std::any_of(last_sync_.ended.begin(), last_sync_.ended.end(),
                       [&](const EndedRun& row) {
                         return row.run == run &&
                                row.reason == RunEndReason::kRefused;
                       });
  }

  // The worker confirms the run's only stop call, then sends an empty list.
  // Returns whether the run is refused after the list and not before it.
  [[nodiscard]] bool IsRefusedOnceFenced(const RunRef& run) {
    if (TakeCalls(RunCallOp::kStop).size() != 1) {
      return false;
    }
    Answer(RunCallOp::kStop, run, true);
    if (IsReportedRefused(run)) {
      return false;
    }
    ReplyToList({}, {});
    return IsReportedRefused(run);
  }

 private:
  void Collect() {
    WorkerAgentOutputs outputs = agent_.TakeOutputs();
    for (RunCall& call : outputs.calls) {
      if (call.op == RunCallOp::kListRuns) {
        last_acknowledgement_ = call.last_committed_end;
      }
      calls_.push_back(std::move(call));
    }
    for (Message& message : outputs.to_control) {
      last_sync_ = std::get<WorkerSync>(message);
      syncs_.push_back(last_sync_);
    }
  }

  WorkerAgent agent_;
  Time now_ = Time(std::chrono::seconds(100));
  std::int64_t started_at_ms_ = 0;
  std::vector<RunCall> calls_;
  // Of the last list call.
  std::int64_t last_acknowledgement_ = 0;
  WorkerSync last_sync_;
  std::vector<WorkerSync> syncs_;
};

WorkerOrders StartOrder(const RunRef& run) {
  WorkerOrders orders;
  orders.starts = {{run, "payload", "saved"}};
  return orders;
}

RunRef SampleRun() {
  return RunOf("g", 0, 0);
}

void StartCarriesLease() {
  AgentFixture fixture;
  WorkerOrders orders = StartOrder(SampleRun());
  fixture.Grant(orders);
  const std::vector<RunCall> starts = fixture.TakeCalls(RunCallOp::kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
  // The lease starts when the sync is sent, on the worker's clock.
  CPPUNIT_ASSERT_EQUAL(kWorkerClockMs + 4000, *starts[0].lease_until_ms);
  CPPUNIT_ASSERT_EQUAL(CallToken(3, 0), starts[0].fencing_token);
  CPPUNIT_ASSERT_EQUAL(std::string("saved"), starts[0].checkpoint);
}

// Guards against a start that reaches the worker seconds after its run was
// stopped: calls without an answer hold back those behind them.
void StartBehindOthersIsWithdrawn() {
  AgentFixture fixture;
  WorkerOrders orders;
  for (std::int64_t i = 0; i < kMaxParallelOrders + 2; ++i) {
    orders.starts.push_back({RunOf("g", 0, i), "payload", ""});
  }
  fixture.Grant(orders);
  CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kMaxParallelOrders),
                       fixture.TakeCalls(RunCallOp::kStart).size());
  WorkerOrders stop;
  stop.stops = {RunOf("g", 0, kMaxParallelOrders)};
  fixture.Grant(stop);
  CPPUNIT_ASSERT_MESSAGE("a stop waits as well",
                         fixture.TakeCalls(RunCallOp::kStop).empty());
  fixture.Answer(RunCallOp::kStart, RunOf("g", 0, 0), true);
  const std::vector<RunCall> stops = fixture.TakeCalls(RunCallOp::kStop);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
  CPPUNIT_ASSERT(stops[0].run == RunOf("g", 0, kMaxParallelOrders));
  fixture.Answer(RunCallOp::kStart, RunOf("g", 0, 1), true);
  const std::vector<RunCall> starts = fixture.TakeCalls(RunCallOp::kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
  CPPUNIT_ASSERT(starts[0].run == RunOf("g", 0, kMaxParallelOrders + 1));
}

// Guards against a start that later ones overtake again and again.
void StartsAreSentInTheOrderOfTheirCommands() {
  AgentFixture fixture;
  WorkerOrders first;
  for (std::int64_t i = 0; i < kMaxParallelOrders; ++i) {
    first.starts.push_back({RunOf("m", 0, i), "payload", ""});
  }
  fixture.Grant(first);
  fixture.Grant(StartOrder(RunOf("z", 0, 0)));
  fixture.Advance(Millis(50));
  fixture.Grant(StartOrder(RunOf("a", 0, 0)));
  static_cast<void>(fixture.TakeCalls(RunCallOp::kStart));
  fixture.Answer(RunCallOp::kStart, RunOf("m", 0, 0), true);
  const std::vector<RunCall> starts = fixture.TakeCalls(RunCallOp::kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
  CPPUNIT_ASSERT(starts[0].run == RunOf("z", 0, 0));
}

// Guards against a worker that gets no orders any more after its restart: the
// calls to its earlier incarnation end as well.
void CallsToEarlierIncarnationMakeRoomWhenTheyEnd() {
  AgentFixture fixture;
  WorkerOrders orders;
  for (std::int64_t i = 0; i < kMaxParallelOrders; ++i) {
    orders.starts.push_back({RunOf("g", 0, i), "payload", ""});
  }
  fixture.Grant(orders);
  fixture.ReplyToList({}, {});
  fixture.Restart(8);
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStop).empty());
  fixture.Follow(1);
  for (std::int64_t i = 0; i < kMaxParallelOrders; ++i) {
    fixture.Answer(RunCallOp::kStart, RunOf("g", 0, i), false);
  }
  fixture.Follow(8);
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kMaxParallelOrders),
                       fixture.TakeCalls(RunCallOp::kStop).size());
}

void NoStartWithoutLease() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()), 0);
  fixture.Advance(Millis(1000));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStart).empty());
  fixture.Advance(Millis(1000));
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
  CPPUNIT_ASSERT(fixture.IsRefusedOnceFenced(SampleRun()));
}

// Guards against repeating a start that has crashed its worker to the worker's
// next incarnation.
void UnansweredStartIsNotRepeatedBlindly() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStart).size());
  fixture.Answer(RunCallOp::kStart, SampleRun(), false);
  fixture.FailList();
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStart).empty());
}

// Guards against a trial that lasts until the next periodic report, or that
// passes although the worker is gone.
void SurvivedTrialIsReportedAtOnce() {
  WorkerOrders orders = StartOrder(SampleRun());
  orders.starts.front().is_trial = true;
  const auto starts_trial = [&](AgentFixture& fixture) {
    fixture.ReplyToList({}, {});
    fixture.Grant(orders);
    fixture.Answer(RunCallOp::kStart, SampleRun(), true);
  };
  AgentFixture survivor;
  starts_trial(survivor);
  survivor.Advance(Millis(50));
  CPPUNIT_ASSERT(survivor.last_sync().survived.empty());
  survivor.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, survivor.last_sync().survived.size());
  AgentFixture victim;
  starts_trial(victim);
  victim.FailList();
  victim.Advance(Millis(600));
  CPPUNIT_ASSERT(victim.last_sync().survived.empty());
}

// Guards against starting runs on capacity that the worker has withdrawn.
void ShrunkCapacityFencesPendingStarts() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStart).size());
  WorkerReport report;
  report.info = SampleWorker("w1");
  report.info.capacity.cpu_millis = 500;
  report.sequence = 2;
  fixture.Report(report);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("the leader learns of it at once",
                               std::int64_t{500},
                               fixture.last_sync().info.capacity.cpu_millis);
  fixture.Answer(RunCallOp::kStart, SampleRun(), false);
  fixture.ReplyToList({}, {});
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStart).empty());
  CPPUNIT_ASSERT(fixture.IsRefusedOnceFenced(SampleRun()));
}

void UnansweredStartIsRetried() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStart).size());
  fixture.Answer(RunCallOp::kStart, SampleRun(), false);
  fixture.Advance(Millis(10));
  fixture.ReplyToList({}, {});
  fixture.Advance(Millis(60));
  const std::vector<RunCall> again = fixture.TakeCalls(RunCallOp::kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
  CPPUNIT_ASSERT(again[0].run == SampleRun());
}

void LateStartIsFencedBeforeRefusal() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  fixture.Answer(RunCallOp::kStart, SampleRun(), false);
  fixture.Advance(Millis(10));
  fixture.ReplyToList({}, {});
  fixture.Advance(Millis(60));
  fixture.Answer(RunCallOp::kStart, SampleRun(), true, RunRefusal::kNoCapacity);
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
  CPPUNIT_ASSERT(fixture.IsRefusedOnceFenced(SampleRun()));
}

void RefusedStartIsFenced() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  fixture.Answer(RunCallOp::kStart, SampleRun(), true, RunRefusal::kUnhealthy);
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
  CPPUNIT_ASSERT(fixture.IsRefusedOnceFenced(SampleRun()));
}

// Guards against refusing a run that is active. Under heavy load agents and
// replicas restart together: the new leader repeats a start to the new agent
// and then moves the task, which an earlier agent had already started.
void RestartedAgentDoesNotRefuseActiveRun() {
  AgentFixture fixture;
  // The earlier agent has started the run. This one holds no lease yet, so its
  // own start waits.
  fixture.Grant(StartOrder(SampleRun()), 0);
  WorkerOrders stop;
  stop.stops = {SampleRun()};
  fixture.Grant(stop, 0);
  CPPUNIT_ASSERT_MESSAGE("an active run must not be reported as refused",
                         !fixture.IsReportedRefused(SampleRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
  fixture.Answer(RunCallOp::kStop, SampleRun(), true);
  RunStatus row;
  row.run = SampleRun();
  fixture.Advance(Millis(10));
  fixture.ReplyToList({row}, {});
  CPPUNIT_ASSERT_MESSAGE("it holds its resources until its end is listed",
                         !fixture.IsReportedRefused(SampleRun()));
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kStopped, ""}});
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
}

void CommandOfEarlierLeaderIsIgnored() {
  AgentFixture fixture;
  WorkerOrders orders;
  orders.fencing_token = 9;
  fixture.Grant(orders);
  WorkerOrders stale = StartOrder(SampleRun());
  stale.fencing_token = 4;
  fixture.Grant(stale);
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStart).empty());
}

void EndIsAcknowledgedAfterCommit() {
  AgentFixture fixture;
  fixture.Grant();
  static_cast<void>(fixture.TakeCalls(RunCallOp::kListRuns));
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.last_sync().ended.size());
  fixture.Advance(Millis(300));
  for (const RunCall& call : fixture.TakeCalls(RunCallOp::kListRuns)) {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, call.last_committed_end);
  }
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kDone, ""}});
  WorkerOrders acknowledgement;
  acknowledgement.noted = 1;
  fixture.Grant(acknowledgement);
  const std::vector<RunCall> list_calls =
      fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT(!list_calls.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, list_calls.back().last_committed_end);
}

void RestartedWorkerStartsEmpty() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {{5, SampleRun(), RunEndReason::kDone, ""}});
  fixture.Restart(8);
  CPPUNIT_ASSERT(fixture.last_sync().ended.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       fixture.last_sync().info.life.started_at_ms);
  // A delayed report of the earlier incarnation.
  fixture.Report(1, 99);
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       fixture.last_sync().info.life.started_at_ms);
}

void DrainingWorkerStartsNothing() {
  AgentFixture fixture;
  fixture.Report(1, 2, true);
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStart).empty());
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
  CPPUNIT_ASSERT(fixture.IsRefusedOnceFenced(SampleRun()));
}

// Guards against a start that is repeated later than the platform allows after
// the report that the worker drains was answered: 2 s.
void DrainFencesPendingStarts() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  fixture.Report(1, 2, true);
  // No call is answered, and each time a list shows that the worker is there.
  for (const Duration until_list : {Millis(950), Millis(40)}) {
    fixture.Advance(Millis(500));
    fixture.Answer(RunCallOp::kStart, SampleRun(), false);
    fixture.Advance(until_list);
    fixture.ReplyToList({}, {});
  }
  static_cast<void>(fixture.TakeCalls(RunCallOp::kStart));
  fixture.Advance(Millis(20));
  CPPUNIT_ASSERT_MESSAGE("a start is sent 2.01 s after the report",
                         fixture.TakeCalls(RunCallOp::kStart).empty());
  CPPUNIT_ASSERT(fixture.IsRefusedOnceFenced(SampleRun()));
}

void UnansweredStopIsRetried() {
  AgentFixture fixture;
  RunStatus row;
  row.run = SampleRun();
  fixture.Grant();
  fixture.ReplyToList({row}, {});
  WorkerOrders orders;
  orders.stops = {SampleRun()};
  fixture.Grant(orders);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
  fixture.Answer(RunCallOp::kStop, SampleRun(), false);
  fixture.Advance(Millis(60));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
}

void EndBeforeStopReplyIsNoRefusal() {
  AgentFixture fixture;
  RunStatus row;
  row.run = SampleRun();
  fixture.Grant();
  fixture.ReplyToList({row}, {});
  WorkerOrders stop;
  stop.stops = {SampleRun()};
  fixture.Grant(stop);
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kStopped, "saved"}});
  WorkerOrders acknowledgement;
  acknowledgement.noted = 1;
  fixture.Grant(acknowledgement);
  fixture.Answer(RunCallOp::kStop, SampleRun(), true);
  fixture.ReplyToList({}, {});
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
}

// Guards against starting a task again that was done: the worker's announcement
// of its shutdown overtakes the list with its last end.
void LeaveWaitsForListInFlight() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.Leave();
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT_MESSAGE("the list may still bring an end",
                         !fixture.last_sync().gone);
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kDone, ""}});
  fixture.Advance(Millis(300));
  fixture.FailLists();
  CPPUNIT_ASSERT(fixture.last_sync().gone);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.last_sync().ended.size());
}

// Guards against giving up a run that is still active: a worker whose
// announcement was not acknowledged goes on for some seconds.
void AnsweringWorkerHasNotLeft() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.Leave();
  RunStatus row;
  row.run = SampleRun();
  for (int i = 0; i < 5; ++i) {
    fixture.ReplyToList({row}, {});
    fixture.Advance(Millis(300));
    CPPUNIT_ASSERT(!fixture.last_sync().gone);
  }
  const std::vector<RunCall> calls = fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT(!calls.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, calls.back().wait_ms);
}

// Guards against admitting an incarnation again whose runs were placed
// elsewhere when it left: a delayed report arrives after the announcement.
void ReportAfterLeaveDoesNotReadmit() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.LeaveForGood();
  fixture.Report(1, 2);
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(fixture.last_sync().gone);
  fixture.Advance(Millis(6000));
  fixture.Report(1, 3);
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(fixture.last_sync().gone);
}

// Guards against giving up a run that is still active, and against losing the
// end that the next list would show: a call that was sent before the
// announcement gets no answer, which says nothing of the worker after it.
void ListSentBeforeLeaveProvesNothing() {
  AgentFixture fixture;
  fixture.Grant();
  static_cast<void>(fixture.TakeCalls(RunCallOp::kListRuns));
  fixture.Advance(Millis(400));
  fixture.Leave();
  fixture.FailList(Millis(400));
  CPPUNIT_ASSERT_MESSAGE("the worker may still answer",
                         !fixture.last_sync().gone);
  fixture.Advance(Millis(300));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kListRuns).size());
  fixture.FailLists();
  CPPUNIT_ASSERT(fixture.last_sync().gone);
}

// Guards against two runs of a task at once: the worker has left, its runs are
// placed elsewhere, and the repeated start reaches the next incarnation, which
// has the same id.
void WorkerThatLeftGetsNoStart() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStart).size());
  fixture.LeaveForGood();
  fixture.Answer(RunCallOp::kStart, SampleRun(), false);
  fixture.Advance(Millis(60));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStart).empty());
}

// Guards against admitting an incarnation again whose runs may be active: an
// agent that has restarted holds no lease, but the one before it did.
void ReportAfterLeaveDoesNotReadmitWithoutLease() {
  AgentFixture fixture;
  fixture.LeaveForGood();
  fixture.Report(1, 2);
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(fixture.last_sync().gone);
}

// Guards against renewing the lease of an incarnation whose runs were placed
// elsewhere without a gap: its clock may be slow by 2%.
void ReportAfterLeaveWaitsForSlowClock() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.LeaveForGood();
  fixture.Advance(Millis(4010));
  fixture.Report(1, 2);
  fixture.Advance(Millis(10));
  CPPUNIT_ASSERT(fixture.last_sync().gone);
}

// Guards against giving up a run that is still active: single list calls get no
// answer while the worker goes on.
void SingleUnansweredListsProveNothing() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.Leave();
  for (int i = 0; i < 10; ++i) {
    fixture.FailList();
    fixture.Advance(Millis(100));
    fixture.ReplyToList({}, {});
    fixture.Advance(Millis(100));
    CPPUNIT_ASSERT(!fixture.last_sync().gone);
  }
}

// Guards against two runs of a task at once: the announcement of the
// incarnation before arrives late and names the worker by its id alone, and the
// next one is cut off just then, with its lease.
void LateAnnouncementDoesNotEndTheNextIncarnation() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.Restart(8);
  RunStatus row;
  row.run = SampleRun();
  fixture.ReplyToList({row}, {});
  fixture.Advance(Millis(600));
  fixture.Grant();
  fixture.Leave();
  fixture.FailLists();
  CPPUNIT_ASSERT(!fixture.last_sync().gone);
}

// Guards against starting a task again that was done before its worker
// restarted: the agent knows the end, and the log does not.
void EndsOfEarlierIncarnationAreReported() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {{5, SampleRun(), RunEndReason::kDone, ""}});
  static_cast<void>(fixture.TakeSyncs());
  fixture.Restart(8);
  for (const WorkerSync& sync : fixture.TakeSyncs()) {
    CPPUNIT_ASSERT_MESSAGE("calls to it may still be carried out", !sync.gone);
  }
  fixture.Fence(1);
  const auto is_final = [](const std::vector<WorkerSync>& syncs) {
    return syncs.size() == 2 && syncs[0].gone &&
           syncs[0].info.life.started_at_ms == 1 &&
           syncs[0].ended.size() == 1 && !syncs[1].gone;
  };
  CPPUNIT_ASSERT(is_final(fixture.TakeSyncs()));
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT_MESSAGE("the report may have been lost",
                         is_final(fixture.TakeSyncs()));
  fixture.Grant();
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.TakeSyncs().size());
}

// Guards against starting a task again that was done: its start got no answer,
// and the next incarnation has carried it out before it was fenced.
void EndsOfNextIncarnationAreReportedWithTheEarlierOne() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  fixture.Answer(RunCallOp::kStart, SampleRun(), false);
  fixture.ReplyToList({}, {{5, RunOf("g", 0, 1), RunEndReason::kDone, ""}});
  fixture.Restart(8);
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kDone, ""}});
  static_cast<void>(fixture.TakeSyncs());
  fixture.Fence(1);
  const std::vector<WorkerSync> syncs = fixture.TakeSyncs();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, syncs.size());
  CPPUNIT_ASSERT(syncs[0].gone && syncs[0].info.life.started_at_ms == 1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, syncs[0].ended.size());
  CPPUNIT_ASSERT(syncs[0].ended[0].run == SampleRun());
  CPPUNIT_ASSERT(syncs[0].ended[0].reason == RunEndReason::kDone);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("it is not in the list of this incarnation",
                               std::int64_t{0}, syncs[0].ended[0].number);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, syncs[0].ended[1].number);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, syncs[1].ended[0].number);
}

// Guards against an end that counts as acknowledged since it was listed, though
// the leader has yet to decide whether it may be.
void EndsAreNotListedAgainBeforeTheAdmission() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {});
  fixture.Restart(8);
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kDone, ""}});
  static_cast<void>(fixture.TakeCalls(RunCallOp::kListRuns));
  fixture.Fence(1);
  CPPUNIT_ASSERT_MESSAGE("the leader's number is told to the worker",
                         !fixture.TakeCalls(RunCallOp::kListRuns).empty());
  CPPUNIT_ASSERT(*fixture.last_sync().may_hold_lease);
  fixture.Advance(Millis(6000));
  fixture.Advance(Millis(500));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kListRuns).empty());
  CPPUNIT_ASSERT(*fixture.last_sync().may_hold_lease);
  // 10 s on a clock that is 2% slow.
  fixture.Advance(Millis(3800));
  CPPUNIT_ASSERT(!*fixture.last_sync().may_hold_lease);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.last_sync().ended.size());
  fixture.Grant();
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kListRuns).empty());
  WorkerOrders orders;
  orders.noted = 1;
  fixture.Grant(orders);
  const auto lists = fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lists.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, lists[0].last_committed_end);
}

// Guards against starting a task again that was done: a list shows at most
// 500 ends, and the run that is to be stopped ended after these.
void EndBeyondFullListIsNoRefusal() {
  constexpr std::int64_t kEndsPerList = 500;
  AgentFixture fixture;
  fixture.Grant();
  std::vector<EndedRun> ended;
  for (std::int64_t i = 1; i <= kEndsPerList; ++i) {
    ended.push_back({i, RunOf("other", 0, i), RunEndReason::kDone, ""});
  }
  WorkerOrders stop;
  stop.stops = {SampleRun()};
  fixture.Grant(stop);
  fixture.Answer(RunCallOp::kStop, SampleRun(), true);
  fixture.ReplyToList({}, ended);
  CPPUNIT_ASSERT_MESSAGE("its end may come with the next list",
                         !fixture.IsReportedRefused(SampleRun()));
  WorkerOrders acknowledgement;
  acknowledgement.noted = kEndsPerList;
  fixture.Grant(acknowledgement);
  fixture.ReplyToList(
      {}, {{kEndsPerList + 1, SampleRun(), RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
}

// Guards against two runs of a task at once: a start was sent when the worker
// restarted under its id. A call names the id alone, so the next incarnation
// may carry it out late, while the task is placed elsewhere.
void StartInFlightIsFencedAtNextIncarnation() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStart).size());
  fixture.Restart(8);
  fixture.Grant();
  const std::vector<RunCall> stops = fixture.TakeCalls(RunCallOp::kStop);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
  CPPUNIT_ASSERT(stops[0].run == SampleRun());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, stops[0].incarnation.started_at_ms);
}

// Guards against two runs of a task at once: the next incarnation has carried
// out a start that was meant for the earlier one, and the leader places the
// task elsewhere as soon as it learns of the restart.
void RestartIsReportedOnceStartsAreFenced() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  fixture.Answer(RunCallOp::kStart, SampleRun(), true);
  static_cast<void>(fixture.TakeSyncs());
  fixture.Restart(8);
  RunStatus row;
  row.run = SampleRun();
  fixture.ReplyToList({row}, {});
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT_MESSAGE("the run may be active", fixture.TakeSyncs().empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
  fixture.Answer(RunCallOp::kStop, SampleRun(), true);
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kStopped, ""}});
  const std::vector<WorkerSync> syncs = fixture.TakeSyncs();
  CPPUNIT_ASSERT(!syncs.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, syncs.back().info.life.started_at_ms);
  CPPUNIT_ASSERT_MESSAGE(
      "what comes before it says that the earlier incarnation has ended",
      std::all_of(syncs.begin(), syncs.end() - 1,
                  [](const WorkerSync& sync) { return sync.gone; }));
}

// Guards against two runs of a task at once: the first call of a start got no
// answer, the second one was confirmed and its run listed. The next incarnation
// may carry out the first call late.
void LateCallOfListedRunIsFencedAtNextIncarnation() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  fixture.Answer(RunCallOp::kStart, SampleRun(), false);
  fixture.Advance(Millis(60));
  fixture.Answer(RunCallOp::kStart, SampleRun(), true);
  fixture.Advance(Millis(10));
  RunStatus row;
  row.run = SampleRun();
  fixture.ReplyToList({row}, {});
  fixture.Restart(8);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
}

// Guards against two runs of a task at once: a start without an answer was
// fenced and reported as refused, but only the incarnation that has ended since
// knows of the fence.
void FenceIsRepeatedAtNextIncarnation() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  for (int i = 0; i < 3; ++i) {
    fixture.Answer(RunCallOp::kStart, SampleRun(), false);
    fixture.Advance(Millis(60));
  }
  CPPUNIT_ASSERT(fixture.IsRefusedOnceFenced(SampleRun()));
  fixture.Restart(8);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
}

// Guards against running a task again that was done before its worker
// restarted: the ends wait for starts that the next incarnation has yet to
// fence, and meanwhile the lease of the earlier one expires at the leader.
void EndsOfEarlierIncarnationDoNotWaitForFences() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  fixture.ReplyToList({}, {{5, RunOf("g", 0, 1), RunEndReason::kDone, ""}});
  static_cast<void>(fixture.TakeSyncs());
  fixture.Restart(8);
  fixture.Advance(Millis(600));
  const std::vector<WorkerSync> syncs = fixture.TakeSyncs();
  CPPUNIT_ASSERT(!syncs.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, syncs[0].info.life.started_at_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, syncs[0].ended.size());
  CPPUNIT_ASSERT_MESSAGE("the start may yet be carried out", !syncs[0].gone);
}

// Guards against ends that are never reported, since an odd one before them had
// a number that the worker can't have reached.
void OddEndNumberHidesNoEnd() {
  for (const bool is_first : {true, false}) {
    AgentFixture fixture;
    fixture.Grant();
    if (!is_first) {
      fixture.ReplyToList({}, {{1, RunOf("g", 0, 1), RunEndReason::kDone, ""}});
    }
    fixture.ReplyToList(
        {}, {{kMaxCounter, RunOf("odd", 0, 0), RunEndReason::kDone, ""},
             {2, SampleRun(), RunEndReason::kDone, ""}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                         fixture.last_sync().ended.back().number);
    CPPUNIT_ASSERT(fixture.last_sync().ended.back().run == SampleRun());
  }
}

// Guards against ends that are taken for odd ones: the agent restarted, and the
// worker has ended many runs before.
void HighEndNumbersAfterRestartAreTaken() {
  AgentFixture fixture;
  fixture.ReplyToList({}, {{30000, SampleRun(), RunEndReason::kDone, ""},
                           {30001, RunOf("g", 0, 1), RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.last_sync().ended.size());
}

// Guards against two runs of a task at once: the run that is to be stopped may
// be the one whose row can't be read, until the stop has had its time.
void HiddenRunIsNoRefusal() {
  AgentFixture fixture;
  fixture.Grant();
  WorkerOrders stop;
  stop.stops = {SampleRun()};
  fixture.Grant(stop);
  fixture.Answer(RunCallOp::kStop, SampleRun(), true);
  RunCallReply reply;
  reply.op = RunCallOp::kListRuns;
  reply.answered = true;
  reply.may_hide_run = true;
  reply.refused_rows = 1;
  const auto list = [&] {
    reply.sent_at = fixture.now();
    fixture.Reply(reply);
  };
  list();
  CPPUNIT_ASSERT(!fixture.IsReportedRefused(SampleRun()));
  fixture.Advance(Millis(1000));
  list();
  CPPUNIT_ASSERT(fixture.IsReportedRefused(SampleRun()));
}

// Guards against an entry of another writer that shuts the worker out for good:
// its sequence number makes every later report look outdated.
void SequenceJumpDoesNotShutOutWorker() {
  for (const std::int64_t odd : {std::int64_t{5000}, kMaxCounter}) {
    AgentFixture fixture;
    fixture.Report(1, odd);
    std::int64_t sequence = 1;
    for (int i = 0; i < 13; ++i) {
      fixture.Advance(Millis(1000));
      fixture.Report(1, ++sequence);
    }
    fixture.Report(1, ++sequence, true);
    fixture.Advance(Millis(600));
    CPPUNIT_ASSERT(fixture.last_sync().info.draining);
  }
}

// Guards against following a sequence number that the worker can't have
// reached.
void ImplausibleSequenceIsIgnored() {
  AgentFixture fixture;
  fixture.Report(1, kMaxCounter, true);
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(!fixture.last_sync().info.draining);
  fixture.Report(1, 2, true);
  CPPUNIT_ASSERT(fixture.last_sync().info.draining);
}

// Guards against following a report that was overtaken by a later one.
void OvertakenReportIsIgnored() {
  AgentFixture fixture;
  fixture.Report(1, 3);
  fixture.Advance(std::chrono::seconds(11));
  fixture.Report(1, 2, true);
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(!fixture.last_sync().info.draining);
}

// Guards against an entry of another writer that shuts the worker out for good:
// the first report names an incarnation that started later than the worker. The
// worker's answers tell that it is not there.
void DeniedIncarnationDoesNotShutOutWorker() {
  for (const auto answering :
       {std::optional<std::int64_t>(), std::optional<std::int64_t>(1)}) {
    AgentFixture fixture(8);
    fixture.Grant();
    fixture.DenyIncarnation(answering);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                         fixture.last_sync().info.life.started_at_ms);
    static_cast<void>(fixture.TakeSyncs());
    fixture.Report(1, 3);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                         fixture.last_sync().info.life.started_at_ms);
    static_cast<void>(fixture.TakeSyncs());
    fixture.Follow(1);
    fixture.Fence(1);
    const std::vector<WorkerSync> syncs = fixture.TakeSyncs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, syncs.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, syncs[0].info.life.started_at_ms);
    CPPUNIT_ASSERT(syncs[0].gone && syncs[0].crashed.empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, syncs[1].info.life.started_at_ms);
  }
}

// Guards against a delayed report of an earlier incarnation that replaces the
// one that the worker says it is.
void DelayedReportDoesNotReplaceAnsweringIncarnation() {
  AgentFixture fixture(8);
  fixture.Grant();
  fixture.DenyIncarnation(9);
  fixture.Report(1, 2);
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       fixture.last_sync().info.life.started_at_ms);
}

// Guards against two runs of a task at once: the start was sent to an
// incarnation that the worker denies to be, but calls name its id alone.
void StartToDeniedIncarnationIsFenced() {
  AgentFixture fixture(8);
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStart).size());
  fixture.Answer(RunCallOp::kStart, SampleRun(), true);
  fixture.DenyIncarnation(1);
  static_cast<void>(fixture.TakeSyncs());
  fixture.Report(1, 2);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
  for (const WorkerSync& sync : fixture.TakeSyncs()) {
    CPPUNIT_ASSERT(!sync.gone && sync.info.life.started_at_ms == 8);
  }
}

// Returns a report of another incarnation than the fixture's.
WorkerReport ReportOf(const std::string& id, std::int64_t started_at_ms) {
  WorkerReport report;
  report.info = SampleWorker(id, started_at_ms);
  report.info.service = "another";
  report.sequence = 9;
  return report;
}

// Guards against two runs of a task at once: a report of another writer, or a
// delayed one, ends the incarnation that goes on, and its tasks are placed
// elsewhere.
void ReportOfAnotherWriterEndsNoIncarnation() {
  for (const WorkerReport& report :
       {ReportOf("w1", 8), ReportOf("w1", 4), ReportOf("w2", 8)}) {
    AgentFixture fixture(5);
    fixture.Grant();
    RunStatus row;
    row.run = SampleRun();
    fixture.ReplyToList({row}, {});
    static_cast<void>(fixture.TakeSyncs());
    fixture.Report(report);
    const std::vector<RunCall> calls = fixture.TakeCalls(RunCallOp::kIdentify);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.size());
    CPPUNIT_ASSERT(!calls[0].lease_until_ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, calls[0].last_committed_end);
    fixture.Identify(5);
    fixture.Advance(Millis(600));
    CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kIdentify).empty());
    for (const WorkerSync& sync : fixture.TakeSyncs()) {
      CPPUNIT_ASSERT(!sync.gone && sync.info.life.started_at_ms == 5);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sync.running.size());
    }
  }
}

void RestartIsBelievedOnceTheWorkerAnswers() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {});
  fixture.Report(8, 1);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       fixture.last_sync().info.life.started_at_ms);
  fixture.Identify(8);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       fixture.last_sync().info.life.started_at_ms);
}

// Guards against a restart that is taken for a delayed report, since the wall
// clock stepped back between the two incarnations.
void RestartAfterClockStepIsBelieved() {
  AgentFixture fixture(8);
  fixture.Grant();
  fixture.ReplyToList({}, {});
  static_cast<void>(fixture.TakeSyncs());
  fixture.Restart(3);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3},
                       fixture.last_sync().info.life.started_at_ms);
  static_cast<void>(fixture.TakeSyncs());
  fixture.Fence(1);
  const std::vector<WorkerSync> syncs = fixture.TakeSyncs();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, syncs.size());
  CPPUNIT_ASSERT(syncs[0].gone && syncs[0].info.life.started_at_ms == 8);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, syncs[1].info.life.started_at_ms);
}

// Guards against a worker that is not followed until its lease has run out: an
// agent that has just restarted has no fencing token, so the worker refuses to
// tell who it is, and the first report was a delayed or a false one.
void UnansweredIncarnationGivesWayToTheNextReport() {
  AgentFixture fixture(8);
  static_cast<void>(fixture.TakeSyncs());
  fixture.Report(5, 2);
  const std::vector<WorkerSync> syncs = fixture.TakeSyncs();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, syncs.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, syncs[0].info.life.started_at_ms);
  CPPUNIT_ASSERT_MESSAGE("the other one may be the worker's", !syncs[0].gone);
}

// Guards against an answer from before the restart that refutes it.
void AnswerSentBeforeTheReportProvesNothing() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {});
  fixture.Report(8, 1);
  fixture.Identify(1, Millis(1));
  fixture.Identify(8);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       fixture.last_sync().info.life.started_at_ms);
}

// Guards against a restart that is never believed, since nobody answers. By
// then the lease of the earlier incarnation has ended all that it ran.
void SilentWorkerIsReplacedAfterItsLease() {
  AgentFixture fixture;
  fixture.Grant({}, 6000);
  fixture.ReplyToList({}, {});
  fixture.FailList();
  fixture.Report(8, 1);
  fixture.Advance(Millis(6000));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                       fixture.last_sync().info.life.started_at_ms);
  fixture.Advance(Millis(4300));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       fixture.last_sync().info.life.started_at_ms);
}

// Guards against a start that the next incarnation carries out.
void NoStartWhileTheWorkerIsAskedWhoItIs() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {});
  fixture.Report(ReportOf("w1", 8));
  fixture.Grant(StartOrder(SampleRun()));
  CPPUNIT_ASSERT(fixture.TakeCalls(RunCallOp::kStart).empty());
  fixture.Identify(1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStart).size());
}

// Guards against a lease on the clock of another incarnation.
void ClockOfAnotherIncarnationIsNotTaken() {
  AgentFixture fixture;
  fixture.Grant(StartOrder(SampleRun()));
  const std::int64_t until =
      fixture.TakeCalls(RunCallOp::kStart).at(0).lease_until_ms.value();
  RunCallReply reply;
  reply.op = RunCallOp::kListRuns;
  reply.answered = true;
  reply.refusal = RunRefusal::kOtherIncarnation;
  reply.answering_start_ms = 9;
  reply.clock_ms = 10 * kWorkerClockMs;
  reply.sent_at = fixture.now();
  fixture.Reply(std::move(reply));
  fixture.Grant(StartOrder(RunOf("g", 0, 1)));
  CPPUNIT_ASSERT_EQUAL(
      until, fixture.TakeCalls(RunCallOp::kStart).at(0).lease_until_ms.value());
}

// Guards against two runs of a task at once: a call of the time when the worker
// didn't answer is carried out by its next incarnation and gives it a lease, or
// makes it forget ends.
void CallToSilentWorkerGrantsNothing() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {{5, SampleRun(), RunEndReason::kDone, ""}});
  WorkerOrders orders;
  orders.noted = 5;
  fixture.Grant(orders);
  static_cast<void>(fixture.TakeCalls(RunCallOp::kListRuns));
  fixture.FailList();
  fixture.Advance(Millis(300));
  const auto silent = fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, silent.size());
  CPPUNIT_ASSERT(!silent[0].lease_until_ms);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, silent[0].last_committed_end);
  fixture.ReplyToList({}, {});
  const auto answered = fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answered.size());
  CPPUNIT_ASSERT(answered[0].lease_until_ms.has_value());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, answered[0].last_committed_end);
}

// Guards against running a task again that was done: a list call that its
// worker left without an answer is carried out by the next incarnation, which
// forgets ends that no list has shown.
void ConfirmedAcknowledgementIsNotRepeated() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {{5, SampleRun(), RunEndReason::kDone, ""}});
  static_cast<void>(fixture.TakeCalls(RunCallOp::kListRuns));
  WorkerOrders orders;
  orders.noted = 5;
  fixture.Grant(orders);
  const auto first = fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, first[0].last_committed_end);
  fixture.ReplyToList({}, {});
  const auto second = fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, second[0].last_committed_end);
  CPPUNIT_ASSERT(second[0].lease_until_ms.has_value());
  fixture.ReplyToList({}, {{6, RunOf("g", 0, 1), RunEndReason::kDone, ""}});
  orders.noted = 6;
  fixture.Grant(orders);
  const auto third = fixture.TakeCalls(RunCallOp::kListRuns);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, third[0].last_committed_end);
}

// Guards against calls to an earlier incarnation that the next one carries out.
void CallsToNextIncarnationHaveHigherToken() {
  AgentFixture fixture;
  fixture.Fence(4);
  fixture.Grant();
  fixture.ReplyToList({}, {});
  CPPUNIT_ASSERT_EQUAL(
      CallToken(3, 4),
      fixture.TakeCalls(RunCallOp::kListRuns).back().fencing_token);
  fixture.Restart(8);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, *fixture.last_sync().answered_token);
  fixture.Fence(5);
  CPPUNIT_ASSERT_EQUAL(CallToken(3, 5), *fixture.last_sync().answered_token);
  fixture.Advance(Millis(200));
  CPPUNIT_ASSERT_EQUAL(
      CallToken(3, 5),
      fixture.TakeCalls(RunCallOp::kListRuns).back().fencing_token);
}

// Guards against two runs of a task at once: a start by an earlier agent was
// carried out by the next incarnation before it refused such calls.
void RunsOfEarlierCallsAreStoppedBeforeTheReport() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {});
  fixture.Restart(8);
  static_cast<void>(fixture.TakeSyncs());
  RunStatus row;
  row.run = SampleRun();
  fixture.Fence(1, {row});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       fixture.TakeCalls(RunCallOp::kStop).size());
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT(fixture.TakeSyncs().empty());
  fixture.Answer(RunCallOp::kStop, SampleRun(), true);
  fixture.ReplyToList({}, {{1, SampleRun(), RunEndReason::kStopped, ""}});
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       fixture.last_sync().info.life.started_at_ms);
  CPPUNIT_ASSERT_EQUAL(CallToken(3, 1), *fixture.last_sync().answered_token);
}

// Guards against tasks that wait for the lease of an ended incarnation: the
// next one has left before it was fenced, so nothing runs there any more.
void EarlierIncarnationIsGoneIfTheNextOneHasLeft() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {{5, SampleRun(), RunEndReason::kDone, ""}});
  fixture.Restart(8);
  fixture.ReplyToList({}, {});
  static_cast<void>(fixture.TakeSyncs());
  fixture.Leave();
  std::vector<WorkerSync> syncs;
  for (int i = 0; i < 6; ++i) {
    fixture.FailList();
    fixture.Advance(Millis(200));
    for (WorkerSync& sync : fixture.TakeSyncs()) {
      syncs.push_back(std::move(sync));
    }
  }
  const auto is_gone = [&](std::int64_t started_at_ms) {
    return std::any_of(syncs.begin(), syncs.end(), [&](const WorkerSync& sync) {
      return sync.gone && sync.info.life.started_at_ms == started_at_ms;
    });
  };
  CPPUNIT_ASSERT(is_gone(8));
  CPPUNIT_ASSERT(is_gone(1));
}

// Guards against a worker that counts as silent since a token was raised while
// a call was on its way.
void OvertakenListIsNoSilence() {
  AgentFixture fixture;
  fixture.Grant();
  fixture.ReplyToList({}, {});
  WorkerOrders orders;
  orders.fencing_token = 4;
  fixture.Grant(orders);
  RunCallReply reply;
  reply.op = RunCallOp::kListRuns;
  reply.answered = true;
  reply.refusal = RunRefusal::kFenced;
  reply.fencing_token = CallToken(3, 0);
  reply.sent_at = fixture.now();
  static_cast<void>(fixture.TakeCalls(RunCallOp::kListRuns));
  fixture.Reply(std::move(reply));
  CPPUNIT_ASSERT(fixture.last_sync().reachable);
  CPPUNIT_ASSERT_EQUAL(
      CallToken(4, 0),
      fixture.TakeCalls(RunCallOp::kListRuns).back().fencing_token);
}

}  // namespace

Section WorkerAgentStory() {
  Section story("The worker agent");
  story
      .With(Section("a start")
                .Then("carries the lease on the worker's clock",
                      StartCarriesLease)
                .Then("behind others without an answer can be withdrawn",
                      StartBehindOthersIsWithdrawn)
                .Then("is not overtaken by later commands",
                      StartsAreSentInTheOrderOfTheirCommands)
                .Then("is not sent without a lease", NoStartWithoutLease)
                .Then("without an answer is retried", UnansweredStartIsRetried)
                .Then("without an answer is not repeated to a silent worker",
                      UnansweredStartIsNotRepeatedBlindly)
                .Then("as a trial is reported as soon as it is survived",
                      SurvivedTrialIsReportedAtOnce)
                .Then("is fenced when the capacity shrinks",
                      ShrunkCapacityFencesPendingStarts)
                .Then("that may arrive late is fenced before it is refused",
                      LateStartIsFencedBeforeRefusal)
                .Then("that the worker refused is fenced too",
                      RefusedStartIsFenced)
                .Then("by an earlier agent is not reported as refused",
                      RestartedAgentDoesNotRefuseActiveRun)
                .Then("from an earlier leader is ignored",
                      CommandOfEarlierLeaderIsIgnored)
                .Then("is not sent to a draining worker",
                      DrainingWorkerStartsNothing)
                .Then("is fenced when the worker drains",
                      DrainFencesPendingStarts))
      .With(Section("an end")
                .Then("is acknowledged only after its commit to the log",
                      EndIsAcknowledgedAfterCommit)
                .Then("is not hidden by the odd number of another one",
                      OddEndNumberHidesNoEnd)
                .Then("may have a high number after a restart of the agent",
                      HighEndNumbersAfterRestartAreTaken))
      .With(
          Section("a stop")
              .Then("is retried until it is answered", UnansweredStopIsRetried)
              .Then("whose run has already ended is no refusal",
                    EndBeforeStopReplyIsNoRefusal)
              .Then("whose run ended beyond a full list is no refusal",
                    EndBeyondFullListIsNoRefusal)
              .Then("whose run a list may hide is no refusal",
                    HiddenRunIsNoRefusal))
      .With(Section("a worker that leaves")
                .Then("is gone only after its list in flight",
                      LeaveWaitsForListInFlight)
                .Then("is not gone while it answers", AnsweringWorkerHasNotLeft)
                .Then("is not gone by a list that was sent before",
                      ListSentBeforeLeaveProvesNothing)
                .Then("gets no start", WorkerThatLeftGetsNoStart)
                .Then("is not admitted again by a delayed report",
                      ReportAfterLeaveDoesNotReadmit)
                .Then("is not admitted again by an agent without a lease",
                      ReportAfterLeaveDoesNotReadmitWithoutLease)
                .Then("is not admitted again while its slow clock runs",
                      ReportAfterLeaveWaitsForSlowClock)
                .Then("is not gone by a late announcement of the incarnation "
                      "before",
                      LateAnnouncementDoesNotEndTheNextIncarnation)
                .Then("is not gone by single lists without an answer",
                      SingleUnansweredListsProveNothing))
      .With(Section("a report of another writer")
                .Then("does not shut the worker out by its sequence number",
                      SequenceJumpDoesNotShutOutWorker)
                .Then("is ignored if its sequence number is implausible",
                      ImplausibleSequenceIsIgnored)
                .Then("does not shut the worker out by a later start",
                      DeniedIncarnationDoesNotShutOutWorker)
                .Then("in the name of an earlier incarnation is ignored",
                      DelayedReportDoesNotReplaceAnsweringIncarnation)
                .Then("leaves no start behind unfenced",
                      StartToDeniedIncarnationIsFenced))
      .With(
          Section("a report")
              .Then("that was overtaken is ignored", OvertakenReportIsIgnored))
      .With(Section("a report of another incarnation")
                .Then("ends none that the worker answers as",
                      ReportOfAnotherWriterEndsNoIncarnation)
                .Then("is believed once the worker answers as that one",
                      RestartIsBelievedOnceTheWorkerAnswers)
                .Then("is believed after a step of the clock, too",
                      RestartAfterClockStepIsBelieved)
                .Then("is followed while the worker has answered as none",
                      UnansweredIncarnationGivesWayToTheNextReport)
                .Then("is not refuted by an answer to an earlier call",
                      AnswerSentBeforeTheReportProvesNothing)
                .Then("is believed when the lease has run out unanswered",
                      SilentWorkerIsReplacedAfterItsLease)
                .Then("holds starts back until the worker has answered",
                      NoStartWhileTheWorkerIsAskedWhoItIs)
                .Then("leaves the lease on the clock of the current one",
                      ClockOfAnotherIncarnationIsNotTaken))
      .With(Section("a restarted worker")
                .Then("starts with an empty state", RestartedWorkerStartsEmpty)
                .Then("has the starts in flight to it fenced",
                      StartInFlightIsFencedAtNextIncarnation)
                .Then("is reported only once these starts are fenced",
                      RestartIsReportedOnceStartsAreFenced)
                .Then("has a late call of a listed run fenced",
                      LateCallOfListedRunIsFencedAtNextIncarnation)
                .Then("has the fences of before repeated",
                      FenceIsRepeatedAtNextIncarnation)
                .Then("gets nothing by calls of the time it didn't answer",
                      CallToSilentWorkerGrantsNothing)
                .Then("has no end acknowledged by calls after the first answer",
                      ConfirmedAcknowledgementIsNotRepeated)
                .Then("gets calls with a higher token",
                      CallsToNextIncarnationHaveHigherToken)
                .Then("stops what earlier calls have started",
                      RunsOfEarlierCallsAreStoppedBeforeTheReport)
                .Then("does not count as silent by a refused earlier call",
                      OvertakenListIsNoSilence)
                .Then("leaves its earlier ends to be committed",
                      EndsOfEarlierIncarnationAreReported)
                .Then("leaves what it has done for earlier calls, too",
                      EndsOfNextIncarnationAreReportedWithTheEarlierOne)
                .Then("gets orders once the calls to the earlier one end",
                      CallsToEarlierIncarnationMakeRoomWhenTheyEnd)
                .Then("lists these only once until they are committed",
                      EndsAreNotListedAgainBeforeTheAdmission)
                .Then("ends its earlier incarnation also by leaving at once",
                      EarlierIncarnationIsGoneIfTheNextOneHasLeft)
                .Then("leaves its earlier ends before the starts are fenced",
                      EndsOfEarlierIncarnationDoNotWaitForFences));
  return story;
}

}  // namespace banyan
