#include "banyan/graph/worker_agent.h"

#include <algorithm>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr std::int64_t kWorkerClock = 50000;

// An agent with a worker that reported itself and a leader that answers.
class AgentWorld {
 public:
  explicit AgentWorld(std::int64_t started_at_ms = 1) {
    Report(started_at_ms, 1);
  }

  void Report(std::int64_t started_at_ms,
              std::int64_t sequence,
              bool draining = false) {
    WorkerReport report;
    report.info = SampleWorker("w1", started_at_ms);
    report.info.draining = draining;
    report.sequence = sequence;
    report.clock_ms = kWorkerClock;
    agent_.OnReport(now_, report);
    Collect();
  }

  // The leader answers the last sync with a lease, and with orders.
  void Grant(WorkerOrders orders = {}, std::int64_t lease_ms = 4000) {
    orders.seq = last_sync_.seq;
    orders.worker = last_sync_.info.life;
    orders.fencing_token = std::max<std::uint64_t>(orders.fencing_token, 3);
    orders.lease_ms = lease_ms;
    agent_.OnOrders(now_, orders);
    Collect();
  }

  void Reply(RunCallReply reply) {
    reply.incarnation = {"w1", last_sync_.info.life.started_at_ms};
    reply.received_at = now_;
    agent_.OnReply(now_, reply);
    Collect();
  }

  // The worker answers a list that was asked for just now.
  void List(std::vector<RunStatus> running, std::vector<EndedRun> ended) {
    RunCallReply reply;
    reply.op = RunCallOp::kListRuns;
    reply.answered = true;
    reply.clock_ms = kWorkerClock;
    reply.sent_at = now_;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
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

  void Pass(Span span) {
    now_ += span;
    agent_.Tick(now_);
    Collect();
  }

  [[nodiscard]] std::vector<RunCall> Take(RunCallOp op) {
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

  [[nodiscard]] const WorkerSync& last_sync() const { return last_sync_; }
  [[nodiscard]] bool Refused(const RunRef& run) {
    Pass(Millis(600));
    return std::any_of(last_sync_.ended.begin(), last_sync_.ended.end(),
                       [&](const EndedRun& row) {
                         return row.run == run &&
                                row.reason == RunEndReason::kRefused;
                       });
  }

  // The worker confirms the one stop that was called for the run, then lists
  // nothing; returns whether the run is refused then and not before.
  [[nodiscard]] bool IsRefusedOnceBarred(const RunRef& run) {
    if (Take(RunCallOp::kStop).size() != 1) {
      return false;
    }
    Answer(RunCallOp::kStop, run, true);
    if (Refused(run)) {
      return false;
    }
    List({}, {});
    return Refused(run);
  }

 private:
  void Collect() {
    WorkerAgentOutputs outputs = agent_.TakeOutputs();
    for (RunCall& call : outputs.calls) {
      calls_.push_back(std::move(call));
    }
    for (Message& message : outputs.to_control) {
      last_sync_ = std::get<WorkerSync>(message);
    }
  }

  WorkerAgent agent_;
  Time now_ = Time(std::chrono::seconds(100));
  std::vector<RunCall> calls_;
  WorkerSync last_sync_;
};

WorkerOrders StartOrder(const RunRef& run) {
  WorkerOrders orders;
  orders.starts = {{run, "payload", "saved"}};
  return orders;
}

RunRef TheRun() {
  return RunOf("g", 0, 0);
}

void StartsUnderALease() {
  AgentWorld world;
  WorkerOrders orders = StartOrder(TheRun());
  world.Grant(orders);
  const std::vector<RunCall> starts = world.Take(RunCallOp::kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
  // The lease counts from the sending of the sync, on the worker's clock.
  CPPUNIT_ASSERT_EQUAL(kWorkerClock + 4000, *starts[0].lease_until_ms);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, starts[0].fencing_token);
  CPPUNIT_ASSERT_EQUAL(std::string("saved"), starts[0].checkpoint);
}

void StartsNothingWithoutALease() {
  AgentWorld world;
  world.Grant(StartOrder(TheRun()), 0);
  world.Pass(Millis(1000));
  CPPUNIT_ASSERT(world.Take(RunCallOp::kStart).empty());
  world.Pass(Millis(1000));
  CPPUNIT_ASSERT(!world.Refused(TheRun()));
  CPPUNIT_ASSERT(world.IsRefusedOnceBarred(TheRun()));
}

void RepeatsAStartWithoutAnAnswer() {
  AgentWorld world;
  world.Grant(StartOrder(TheRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.Take(RunCallOp::kStart).size());
  world.Answer(RunCallOp::kStart, TheRun(), false);
  world.Pass(Millis(60));
  const std::vector<RunCall> again = world.Take(RunCallOp::kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
  CPPUNIT_ASSERT(again[0].run == TheRun());
}

void BarsAStartThatMayComeLateBeforeItIsRefused() {
  AgentWorld world;
  world.Grant(StartOrder(TheRun()));
  world.Answer(RunCallOp::kStart, TheRun(), false);
  world.Pass(Millis(60));
  world.Answer(RunCallOp::kStart, TheRun(), true, RunRefusal::kNoCapacity);
  CPPUNIT_ASSERT(!world.Refused(TheRun()));
  CPPUNIT_ASSERT(world.IsRefusedOnceBarred(TheRun()));
}

void BarsWhatTheWorkerRefused() {
  AgentWorld world;
  world.Grant(StartOrder(TheRun()));
  world.Answer(RunCallOp::kStart, TheRun(), true, RunRefusal::kUnhealthy);
  CPPUNIT_ASSERT(!world.Refused(TheRun()));
  CPPUNIT_ASSERT(world.IsRefusedOnceBarred(TheRun()));
}

// Answers the load of scale days: agents and replicas restart together, and
// the new leader moves a task whose start its agent was told to repeat.
void RestartedAgentDoesNotDenyWhatRanBefore() {
  AgentWorld world;
  // The agent before this one has started the run; this one holds no lease
  // yet, so that its own start waits.
  world.Grant(StartOrder(TheRun()), 0);
  WorkerOrders stop;
  stop.stops = {TheRun()};
  world.Grant(stop, 0);
  CPPUNIT_ASSERT_MESSAGE("what runs must not be called refused",
                         !world.Refused(TheRun()));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.Take(RunCallOp::kStop).size());
  world.Answer(RunCallOp::kStop, TheRun(), true);
  RunStatus row;
  row.run = TheRun();
  world.Pass(Millis(10));
  world.List({row}, {});
  CPPUNIT_ASSERT_MESSAGE("its room is taken until its end is listed",
                         !world.Refused(TheRun()));
  world.List({}, {{1, TheRun(), RunEndReason::kStopped, ""}});
  CPPUNIT_ASSERT(!world.Refused(TheRun()));
}

void LateOrderOfAnOldLeaderIsDropped() {
  AgentWorld world;
  WorkerOrders orders;
  orders.fencing_token = 9;
  world.Grant(orders);
  WorkerOrders old = StartOrder(TheRun());
  old.fencing_token = 4;
  world.Grant(old);
  CPPUNIT_ASSERT(world.Take(RunCallOp::kStart).empty());
}

void EndIsNotedOnlyAfterTheLog() {
  AgentWorld world;
  world.Grant();
  static_cast<void>(world.Take(RunCallOp::kListRuns));
  world.List({}, {{1, TheRun(), RunEndReason::kDone, ""}});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.last_sync().ended.size());
  world.Pass(Millis(300));
  for (const RunCall& call : world.Take(RunCallOp::kListRuns)) {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, call.last_committed_end);
  }
  world.List({}, {{1, TheRun(), RunEndReason::kDone, ""}});
  WorkerOrders noted;
  noted.noted = 1;
  world.Grant(noted);
  const std::vector<RunCall> holds = world.Take(RunCallOp::kListRuns);
  CPPUNIT_ASSERT(!holds.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, holds.back().last_committed_end);
}

void RebornWorkerStartsFromNothing() {
  AgentWorld world;
  world.Grant();
  world.List({}, {{5, TheRun(), RunEndReason::kDone, ""}});
  world.Report(8, 1);
  CPPUNIT_ASSERT(world.last_sync().ended.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       world.last_sync().info.life.started_at_ms);
  // A report of the life before that was under way for long.
  world.Report(1, 99);
  world.Pass(Millis(600));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                       world.last_sync().info.life.started_at_ms);
}

void DrainingWorkerStartsNothing() {
  AgentWorld world;
  world.Report(1, 2, true);
  world.Grant(StartOrder(TheRun()));
  CPPUNIT_ASSERT(world.Take(RunCallOp::kStart).empty());
  CPPUNIT_ASSERT(!world.Refused(TheRun()));
  CPPUNIT_ASSERT(world.IsRefusedOnceBarred(TheRun()));
}

void StopsWithTheRunsOwnNumber() {
  AgentWorld world;
  RunStatus row;
  row.run = TheRun();
  world.Grant();
  world.List({row}, {});
  WorkerOrders orders;
  orders.stops = {TheRun()};
  world.Grant(orders);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.Take(RunCallOp::kStop).size());
  world.Answer(RunCallOp::kStop, TheRun(), false);
  world.Pass(Millis(60));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.Take(RunCallOp::kStop).size());
}

void EndThatComesBeforeTheStopsAnswerIsNoRefusal() {
  AgentWorld world;
  RunStatus row;
  row.run = TheRun();
  world.Grant();
  world.List({row}, {});
  WorkerOrders stop;
  stop.stops = {TheRun()};
  world.Grant(stop);
  world.List({}, {{1, TheRun(), RunEndReason::kStopped, "saved"}});
  WorkerOrders noted;
  noted.noted = 1;
  world.Grant(noted);
  world.Answer(RunCallOp::kStop, TheRun(), true);
  world.List({}, {});
  CPPUNIT_ASSERT(!world.Refused(TheRun()));
}

}  // namespace

Section WorkerAgentStory() {
  Section story("The agent beside a worker");
  story
      .With(
          Section("a start")
              .Then("bears the lease on the worker's clock", StartsUnderALease)
              .Then("does not happen without a lease",
                    StartsNothingWithoutALease)
              .Then("without an answer is repeated",
                    RepeatsAStartWithoutAnAnswer)
              .Then("that may come late is barred before it is refused",
                    BarsAStartThatMayComeLateBeforeItIsRefused)
              .Then("that the worker refused is barred as well",
                    BarsWhatTheWorkerRefused)
              .Then("of an earlier agent is not denied by the next",
                    RestartedAgentDoesNotDenyWhatRanBefore)
              .Then("of an old leader is dropped",
                    LateOrderOfAnOldLeaderIsDropped)
              .Then("does not reach a draining worker",
                    DrainingWorkerStartsNothing))
      .With(Section("an end").Then("is noted only after the log has it",
                                   EndIsNotedOnlyAfterTheLog))
      .With(Section("a stop")
                .Then("is repeated until it is answered",
                      StopsWithTheRunsOwnNumber)
                .Then("whose run has ended meanwhile is no refusal",
                      EndThatComesBeforeTheStopsAnswerIsNoRefusal))
      .With(Section("a reborn worker")
                .Then("starts from nothing", RebornWorkerStartsFromNothing));
  return story;
}

}  // namespace banyan
