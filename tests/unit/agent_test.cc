#include "banyan/agent/agent_core.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

AgentOptions OptionsFor(InstanceRole role) {
  AgentOptions options;
  options.info.id = "a";
  options.info.incarnation = 1;
  options.info.role = role;
  options.info.data_centre = "dc-a";
  options.info.slots = 1;
  options.info.connections = 2;
  options.info.capacity = {2000, 2048, 0};
  return options;
}

// An agent whose control replica, endpoint and worker are played by the test.
class Agent {
 public:
  explicit Agent(InstanceRole role) : core(OptionsFor(role), kStart) {
    core.Tick(now);
    Take();
    if (role == InstanceRole::kWorker) {
      WorkerReply list;
      list.ok = true;
      core.OnWorkerReply(now, list);
      Advance(Millis(500));
    }
  }

  void Tell(const Message& message) {
    core.Receive(now, {"peer", 1}, message);
    Take();
  }

  void Advance(Span span) {
    now += span;
    core.Tick(now);
    Take();
  }

  // Confirms the last heartbeat.
  void Confirm(bool is_out = false, bool is_registered = true) {
    HeartbeatAck ack;
    ack.seq = last_heartbeat;
    ack.registered = is_registered;
    ack.data_centre_out = is_out;
    ack.lease_ms = 10000;
    Tell(ack);
  }

  void Take() {
    AgentOutputs out = core.TakeOutputs();
    for (const Message& message : out.to_control) {
      if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        last_heartbeat = heartbeat->seq;
      } else if (const auto* report = std::get_if<TaskReport>(&message)) {
        reports.push_back(*report);
      }
    }
    for (const Outbound& outbound : out.messages) {
      sent.push_back(outbound.message);
    }
    calls.insert(calls.end(), out.endpoint_calls.begin(),
                 out.endpoint_calls.end());
    for (const WorkerCall& call : out.worker_calls) {
      if (call.op != WorkerOp::kList) {
        worker_calls.push_back(call);
      }
    }
    has_dropped = has_dropped || out.drop_connections;
  }

  [[nodiscard]] int Starts() const {
    int starts = 0;
    for (const WorkerCall& call : worker_calls) {
      starts += call.op == WorkerOp::kStart ? 1 : 0;
    }
    return starts;
  }

  AgentCore core;
  Time now = kStart;
  std::uint64_t last_heartbeat = 0;
  std::vector<TaskReport> reports;
  std::vector<Message> sent;
  std::vector<EndpointCall> calls;
  std::vector<WorkerCall> worker_calls;
  bool has_dropped = false;
};

StartTask StartOf(const std::string& job, std::uint64_t attempt = 1) {
  StartTask start;
  start.task = {job, attempt};
  start.incarnation = 1;
  start.spec.needs = {1000, 1024, 0};
  return start;
}

Dispatch RequestOf(std::uint64_t seq, const std::string& claim = "") {
  Dispatch dispatch;
  dispatch.seq = seq;
  dispatch.agent_incarnation = 1;
  dispatch.budget_ms = 1000;
  dispatch.claim_key = claim;
  dispatch.attempt = claim.empty() ? 0 : 1;
  return dispatch;
}

void StartsWithAFreshStamp() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  agent.Tell(StartOf("j"));
  agent.Tell(StartOf("j"));
  CPPUNIT_ASSERT_EQUAL(1, agent.Starts());
}

void RefusesWithAnOldStamp() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  // Cut off: heartbeats go out, but no answer comes.
  for (int i = 0; i < 5; ++i) {
    agent.Advance(Millis(500));
  }
  agent.Tell(StartOf("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.Starts());
  CPPUNIT_ASSERT(agent.reports.back().end == TaskEnd::kRefused);
}

void CountsTheStampFromSending() {
  Agent agent(InstanceRole::kWorker);
  // The answer to the first heartbeat takes almost as long as it may count.
  agent.now += Millis(1990);
  agent.Confirm();
  agent.now += Millis(20);
  agent.Tell(StartOf("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.Starts());
}

void RefusesInAnOutDataCentre() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm(true);
  agent.Tell(StartOf("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.Starts());
}

void RefusesByItsOwnNewerVersion() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  ConfigUpdate update;
  update.version = 9;
  update.out = {"dc-a"};
  agent.Tell(update);
  agent.Tell(StartOf("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.Starts());
}

void RefusesWhatDoesNotFit() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  agent.Tell(StartOf("j1"));
  agent.Tell(StartOf("j2"));
  agent.Tell(StartOf("j3"));
  CPPUNIT_ASSERT_EQUAL(2, agent.Starts());
  CPPUNIT_ASSERT(agent.core.tasks().committed() == (Resources{2000, 2048, 0}));
}

void LateOrderStartsNothingAgain() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  agent.Tell(StartOf("j"));
  WorkerReply refused;
  refused.op = WorkerOp::kStart;
  refused.task = {"j", 1};
  refused.is_refusal = true;
  agent.core.OnWorkerReply(agent.now, refused);
  agent.Take();
  agent.Tell(TaskReportAck{{"j", 1}});
  agent.Tell(StartOf("j"));
  CPPUNIT_ASSERT_EQUAL(1, agent.Starts());
}

void OrderForAnEarlierIncarnationIsIgnored() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  agent.Advance(Millis(500));
  agent.Confirm(false, false);
  CPPUNIT_ASSERT(agent.core.incarnation() != 1);
  agent.Advance(Millis(500));
  agent.Confirm();
  agent.Tell(StartOf("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.Starts());
}

void StopsTasksWhenTheLeaseRunsOut() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  agent.Tell(StartOf("j"));
  for (int i = 0; i < 21; ++i) {
    agent.Advance(Millis(500));
  }
  CPPUNIT_ASSERT(!agent.core.HoldsLease(agent.now));
  CPPUNIT_ASSERT(agent.worker_calls.back().op == WorkerOp::kStop);
}

void CheckpointsBeforeEviction() {
  Agent agent(InstanceRole::kWorker);
  agent.Confirm();
  agent.Tell(StartOf("j"));
  WorkerReply reply;
  reply.op = WorkerOp::kStart;
  reply.task = {"j", 1};
  reply.ok = true;
  agent.core.OnWorkerReply(agent.now, reply);
  agent.Tell(StopTask{{"j", 1}, true, "test"});
  CPPUNIT_ASSERT(agent.worker_calls.back().op == WorkerOp::kCheckpoint);
  reply.op = WorkerOp::kCheckpoint;
  reply.checkpoint = "cp";
  agent.core.OnWorkerReply(agent.now, reply);
  reply.op = WorkerOp::kStop;
  agent.core.OnWorkerReply(agent.now, reply);
  agent.Take();
  CPPUNIT_ASSERT(agent.reports.back().end == TaskEnd::kEvicted);
  CPPUNIT_ASSERT_EQUAL(std::string("cp"), agent.reports.back().checkpoint);
}

void SlotsAndConnectionsAreHardLimits() {
  Agent agent(InstanceRole::kEndpoint);
  for (std::uint64_t seq = 1; seq <= 3; ++seq) {
    agent.Tell(RequestOf(seq));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.calls.size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.core.guard().queued());
  const auto& refusal = std::get<DispatchReply>(agent.sent.back());
  CPPUNIT_ASSERT(refusal.outcome == RequestOutcome::kNotRun);
  CPPUNIT_ASSERT(refusal.error == ErrorKind::kOverloaded);
}

void RepeatOfARefusedRequestDoesNotRun() {
  Agent agent(InstanceRole::kEndpoint);
  for (std::uint64_t seq = 1; seq <= 3; ++seq) {
    agent.Tell(RequestOf(seq));
  }
  // The third was refused; room comes free before its repeat arrives.
  for (int i = 0; i < 2; ++i) {
    EndpointAnswer answer;
    answer.id = agent.calls.at(i).id;
    answer.outcome = RequestOutcome::kRan;
    agent.core.OnEndpointAnswer(agent.now, answer);
    agent.Take();
  }
  agent.Tell(RequestOf(3));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, agent.calls.size());
}

void QueuedRequestIsWithdrawn() {
  Agent agent(InstanceRole::kEndpoint);
  agent.Tell(RequestOf(1));
  agent.Tell(RequestOf(2));
  agent.Tell(CancelDispatch{2});
  CPPUNIT_ASSERT(std::get<DispatchReply>(agent.sent.back()).outcome ==
                 RequestOutcome::kNotRun);
  // What already runs is not withdrawn.
  const std::size_t before = agent.sent.size();
  agent.Tell(CancelDispatch{1});
  CPPUNIT_ASSERT_EQUAL(before, agent.sent.size());
}

void TombstoneKeepsALateDispatchOut() {
  Agent agent(InstanceRole::kEndpoint);
  agent.Tell(TombstoneRequest{5, 1, "k", 1});
  CPPUNIT_ASSERT(std::get<TombstoneReply>(agent.sent.back()).verdict ==
                 TombstoneVerdict::kGranted);
  agent.Tell(RequestOf(6, "k"));
  CPPUNIT_ASSERT(agent.calls.empty());
}

void TombstoneWaitsForWhatRuns() {
  Agent agent(InstanceRole::kEndpoint);
  agent.Tell(RequestOf(1, "k"));
  const std::size_t before = agent.sent.size();
  agent.Tell(TombstoneRequest{5, 1, "k", 1});
  CPPUNIT_ASSERT_EQUAL(before, agent.sent.size());
  EndpointAnswer answer;
  answer.id = agent.calls.front().id;
  answer.outcome = RequestOutcome::kRan;
  answer.body = "done";
  agent.core.OnEndpointAnswer(agent.now, answer);
  agent.Take();
  const auto& reply = std::get<TombstoneReply>(agent.sent.back());
  CPPUNIT_ASSERT(reply.verdict == TombstoneVerdict::kFinished);
  CPPUNIT_ASSERT_EQUAL(std::string("done"), reply.body);
}

void RebornAgentCantTell() {
  Agent agent(InstanceRole::kEndpoint);
  agent.Tell(TombstoneRequest{5, 99, "k", 1});
  CPPUNIT_ASSERT(std::get<TombstoneReply>(agent.sent.back()).verdict ==
                 TombstoneVerdict::kUnknown);
}

void LeavingTakesNothingNew() {
  Agent agent(InstanceRole::kEndpoint);
  agent.Tell(RequestOf(1));
  agent.core.Leave(agent.now);
  agent.Tell(RequestOf(2));
  CPPUNIT_ASSERT(std::get<DispatchReply>(agent.sent.back()).error ==
                 ErrorKind::kLeaving);
  CPPUNIT_ASSERT(!agent.core.drained());
  EndpointAnswer answer;
  answer.id = agent.calls.front().id;
  answer.outcome = RequestOutcome::kRan;
  agent.core.OnEndpointAnswer(agent.now, answer);
  agent.Take();
  CPPUNIT_ASSERT(agent.core.drained());
}

void LeavingBeforeAdoptionGivesNothingUp() {
  AgentCore core(OptionsFor(InstanceRole::kWorker), kStart);
  core.Tick(kStart);
  static_cast<void>(core.TakeOutputs());
  core.Leave(kStart);
  CPPUNIT_ASSERT_MESSAGE("no hello before the worker was asked",
                         core.TakeOutputs().to_control.empty());
  CPPUNIT_ASSERT_MESSAGE("what runs there is not known yet", !core.drained());
  WorkerReply list;
  list.ok = true;
  WorkerTask running;
  running.task = {"j", 1};
  list.tasks.push_back(running);
  core.OnWorkerReply(kStart, list);
  core.Tick(kStart);
  const AgentOutputs out = core.TakeOutputs();
  const auto& hello = std::get<AgentHello>(out.to_control.front());
  CPPUNIT_ASSERT(hello.info.leaving);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hello.running.size());
}

void FreezeDropsWhatWaited() {
  Agent agent(InstanceRole::kEndpoint);
  agent.Advance(seconds(5));
  CPPUNIT_ASSERT(agent.has_dropped);
}

}  // namespace

Section AgentStory() {
  Section story("An agent");
  story
      .With(
          Section("beside a worker")
              .Then("starts an attempt once, with a fresh stamp",
                    StartsWithAFreshStamp)
              .Then("starts nothing when it is cut off", RefusesWithAnOldStamp)
              .Then("counts a stamp from its question",
                    CountsTheStampFromSending)
              .Then("starts nothing in a data centre that is out",
                    RefusesInAnOutDataCentre)
              .Then("goes by its own newer version",
                    RefusesByItsOwnNewerVersion)
              .Then("refuses what does not fit", RefusesWhatDoesNotFit)
              .Then("starts no ended attempt again",
                    LateOrderStartsNothingAgain)
              .Then("ignores orders for an earlier incarnation",
                    OrderForAnEarlierIncarnationIsIgnored)
              .Then("stops its tasks when the lease runs out",
                    StopsTasksWhenTheLeaseRunsOut)
              .Then("takes a checkpoint before an eviction",
                    CheckpointsBeforeEviction)
              .Then("that leaves before it asked its worker gives nothing up",
                    LeavingBeforeAdoptionGivesNothingUp))
      .With(
          Section("beside an endpoint")
              .Then("keeps to slots and connections",
                    SlotsAndConnectionsAreHardLimits)
              .Then("does not run the repeat of what it refused",
                    RepeatOfARefusedRequestDoesNotRun)
              .Then("withdraws what only waits", QueuedRequestIsWithdrawn)
              .Then("keeps its promise not to run an attempt",
                    TombstoneKeepsALateDispatchOut)
              .Then("gives no promise for what runs", TombstoneWaitsForWhatRuns)
              .Then("can't tell what the one before it ran",
                    RebornAgentCantTell)
              .Then("that leaves takes nothing new and finishes the rest",
                    LeavingTakesNothingNew)
              .Then("that was frozen drops what waited unread",
                    FreezeDropsWhatWaited));
  return story;
}

}  // namespace banyan
