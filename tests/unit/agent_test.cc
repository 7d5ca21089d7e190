#include "banyan/agent/agent_core.h"

#include <algorithm>

#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Time kStartTime{seconds(100)};

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

// An AgentCore whose control replica, endpoint and worker the test simulates.
class AgentHarness {
 public:
  explicit AgentHarness(InstanceRole role)
      : core(OptionsFor(role), kStartTime) {
    core.Tick(now);
    CollectOutputs();
    if (role == InstanceRole::kWorker) {
      WorkerReply list;
      list.ok = true;
      core.OnWorkerReply(now, list);
      Advance(Millis(500));
    }
  }

  void Deliver(const Message& message) {
    core.Receive(now, {"peer", 1}, message);
    CollectOutputs();
  }

  void Advance(Duration span) {
    now += span;
    core.Tick(now);
    CollectOutputs();
  }

  // Acknowledges the last heartbeat with a lease of 10 s.
  void AckHeartbeat(bool is_data_centre_out = false,
                    bool is_registered = true) {
    HeartbeatAck ack;
    ack.seq = last_heartbeat;
    ack.registered = is_registered;
    ack.data_centre_out = is_data_centre_out;
    ack.lease_ms = 10000;
    Deliver(ack);
  }

  void CollectOutputs() {
    AgentOutputs out = core.TakeOutputs();
    for (const Message& message : out.to_control) {
      if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        last_heartbeat = heartbeat->seq;
      } else if (const auto* report = std::get_if<TaskReport>(&message)) {
        reports.push_back(*report);
      }
    }
    for (const Outbound& outbound : out.messages) {
      sent_messages.push_back(outbound.message);
    }
    endpoint_calls.insert(endpoint_calls.end(), out.endpoint_calls.begin(),
                          out.endpoint_calls.end());
    for (const WorkerCall& call : out.worker_calls) {
      if (call.op != WorkerOp::kList) {
        worker_calls.push_back(call);
      }
    }
    has_dropped_connections = has_dropped_connections || out.drop_connections;
  }

  [[nodiscard]] int StartCount() const {
    int starts = 0;
    for (const WorkerCall& call : worker_calls) {
      starts += call.op == WorkerOp::kStart ? 1 : 0;
    }
    return starts;
  }

  AgentCore core;
  Time now = kStartTime;
  std::uint64_t last_heartbeat = 0;
  std::vector<TaskReport> reports;
  std::vector<Message> sent_messages;
  std::vector<EndpointCall> endpoint_calls;
  std::vector<WorkerCall> worker_calls;
  bool has_dropped_connections = false;
};

StartTask MakeStartTask(const std::string& job, std::uint64_t attempt = 1) {
  StartTask start;
  start.task = {job, attempt};
  start.incarnation = 1;
  start.spec.needs = {1000, 1024, 0};
  return start;
}

Dispatch MakeDispatch(std::uint64_t seq, const std::string& claim = "") {
  Dispatch dispatch;
  dispatch.seq = seq;
  dispatch.agent_incarnation = 1;
  dispatch.budget_ms = 1000;
  dispatch.claim_key = claim;
  dispatch.attempt = claim.empty() ? 0 : 1;
  return dispatch;
}

void StartsAttemptOnceWithRecentAck() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  agent.Deliver(MakeStartTask("j"));
  agent.Deliver(MakeStartTask("j"));
  CPPUNIT_ASSERT_EQUAL(1, agent.StartCount());
}

void RefusesStartWithStaleAck() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  // Partitioned from the control plane: heartbeats get no acknowledgement.
  for (int i = 0; i < 5; ++i) {
    agent.Advance(Millis(500));
  }
  agent.Deliver(MakeStartTask("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.StartCount());
  CPPUNIT_ASSERT(agent.reports.back().end == TaskEnd::kRefused);
}

void MeasuresAckAgeFromHeartbeatSend() {
  AgentHarness agent(InstanceRole::kWorker);
  // The acknowledgement arrives just before its maximum age of 2 s, which is
  // measured from the sending of the heartbeat.
  agent.now += Millis(1990);
  agent.AckHeartbeat();
  agent.now += Millis(20);
  agent.Deliver(MakeStartTask("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.StartCount());
}

void RefusesStartWhenDataCentreIsOut() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat(true);
  agent.Deliver(MakeStartTask("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.StartCount());
}

void RefusesStartByNewerLocalConfig() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  ConfigUpdate update;
  update.version = 9;
  update.out = {"dc-a"};
  agent.Deliver(update);
  agent.Deliver(MakeStartTask("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.StartCount());
}

void RefusesStartBeyondCapacity() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  agent.Deliver(MakeStartTask("j1"));
  agent.Deliver(MakeStartTask("j2"));
  agent.Deliver(MakeStartTask("j3"));
  CPPUNIT_ASSERT_EQUAL(2, agent.StartCount());
  CPPUNIT_ASSERT(agent.core.tasks().committed() == (Resources{2000, 2048, 0}));
}

void DoesNotRestartAcknowledgedAttempt() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  agent.Deliver(MakeStartTask("j"));
  WorkerReply refused;
  refused.op = WorkerOp::kStart;
  refused.task = {"j", 1};
  refused.is_refusal = true;
  agent.core.OnWorkerReply(agent.now, refused);
  agent.CollectOutputs();
  agent.Deliver(TaskReportAck{{"j", 1}});
  agent.Deliver(MakeStartTask("j"));
  CPPUNIT_ASSERT_EQUAL(1, agent.StartCount());
}

void IgnoresStartForEarlierIncarnation() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  agent.Advance(Millis(500));
  agent.AckHeartbeat(false, false);
  CPPUNIT_ASSERT(agent.core.incarnation() != 1);
  agent.Advance(Millis(500));
  agent.AckHeartbeat();
  agent.Deliver(MakeStartTask("j"));
  CPPUNIT_ASSERT_EQUAL(0, agent.StartCount());
}

void StopsTasksWhenLeaseExpires() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  agent.Deliver(MakeStartTask("j"));
  for (int i = 0; i < 21; ++i) {
    agent.Advance(Millis(500));
  }
  CPPUNIT_ASSERT(!agent.core.HoldsLease(agent.now));
  CPPUNIT_ASSERT(agent.worker_calls.back().op == WorkerOp::kStop);
}

void CheckpointsBeforeEviction() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  agent.Deliver(MakeStartTask("j"));
  WorkerReply reply;
  reply.op = WorkerOp::kStart;
  reply.task = {"j", 1};
  reply.ok = true;
  agent.core.OnWorkerReply(agent.now, reply);
  agent.Deliver(StopTask{{"j", 1}, true, "test"});
  CPPUNIT_ASSERT(agent.worker_calls.back().op == WorkerOp::kCheckpoint);
  reply.op = WorkerOp::kCheckpoint;
  reply.checkpoint = "cp";
  agent.core.OnWorkerReply(agent.now, reply);
  reply.op = WorkerOp::kStop;
  agent.core.OnWorkerReply(agent.now, reply);
  agent.CollectOutputs();
  CPPUNIT_ASSERT(agent.reports.back().end == TaskEnd::kEvicted);
  CPPUNIT_ASSERT_EQUAL(std::string("cp"), agent.reports.back().checkpoint);
}

void EnforcesSlotAndConnectionLimits() {
  AgentHarness agent(InstanceRole::kEndpoint);
  for (std::uint64_t seq = 1; seq <= 3; ++seq) {
    agent.Deliver(MakeDispatch(seq));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.endpoint_calls.size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.core.guard().queued());
  const auto& refusal = std::get<DispatchReply>(agent.sent_messages.back());
  CPPUNIT_ASSERT(refusal.outcome == RequestOutcome::kNotRun);
  CPPUNIT_ASSERT(refusal.error == ErrorKind::kOverloaded);
}

void DoesNotRunDuplicateOfRefusedDispatch() {
  AgentHarness agent(InstanceRole::kEndpoint);
  for (std::uint64_t seq = 1; seq <= 3; ++seq) {
    agent.Deliver(MakeDispatch(seq));
  }
  // The third dispatch was refused; slots become free before its duplicate
  // arrives.
  for (int i = 0; i < 2; ++i) {
    EndpointReply endpoint_reply;
    endpoint_reply.id = agent.endpoint_calls.at(i).id;
    endpoint_reply.outcome = RequestOutcome::kRan;
    agent.core.OnEndpointReply(agent.now, endpoint_reply);
    agent.CollectOutputs();
  }
  agent.Deliver(MakeDispatch(3));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, agent.endpoint_calls.size());
}

void CancelsQueuedDispatchOnly() {
  AgentHarness agent(InstanceRole::kEndpoint);
  agent.Deliver(MakeDispatch(1));
  agent.Deliver(MakeDispatch(2));
  agent.Deliver(CancelDispatch{2});
  CPPUNIT_ASSERT(std::get<DispatchReply>(agent.sent_messages.back()).outcome ==
                 RequestOutcome::kNotRun);
  // A running request is not cancelled.
  const std::size_t sent_before = agent.sent_messages.size();
  agent.Deliver(CancelDispatch{1});
  CPPUNIT_ASSERT_EQUAL(sent_before, agent.sent_messages.size());
}

void TombstoneBlocksLateDispatch() {
  AgentHarness agent(InstanceRole::kEndpoint);
  agent.Deliver(TombstoneRequest{5, 1, "k", 1});
  CPPUNIT_ASSERT(std::get<TombstoneReply>(agent.sent_messages.back()).verdict ==
                 TombstoneVerdict::kGranted);
  agent.Deliver(MakeDispatch(6, "k"));
  CPPUNIT_ASSERT(agent.endpoint_calls.empty());
}

void TombstoneWaitsForRunningAttempt() {
  AgentHarness agent(InstanceRole::kEndpoint);
  agent.Deliver(MakeDispatch(1, "k"));
  const std::size_t sent_before = agent.sent_messages.size();
  agent.Deliver(TombstoneRequest{5, 1, "k", 1});
  CPPUNIT_ASSERT_EQUAL(sent_before, agent.sent_messages.size());
  EndpointReply endpoint_reply;
  endpoint_reply.id = agent.endpoint_calls.front().id;
  endpoint_reply.outcome = RequestOutcome::kRan;
  endpoint_reply.body = "done";
  agent.core.OnEndpointReply(agent.now, endpoint_reply);
  agent.CollectOutputs();
  const auto& reply = std::get<TombstoneReply>(agent.sent_messages.back());
  CPPUNIT_ASSERT(reply.verdict == TombstoneVerdict::kFinished);
  CPPUNIT_ASSERT_EQUAL(std::string("done"), reply.body);
}

void TombstoneForOtherIncarnationIsUnknown() {
  AgentHarness agent(InstanceRole::kEndpoint);
  agent.Deliver(TombstoneRequest{5, 99, "k", 1});
  CPPUNIT_ASSERT(std::get<TombstoneReply>(agent.sent_messages.back()).verdict ==
                 TombstoneVerdict::kUnknown);
}

void DrainRefusesNewDispatches() {
  AgentHarness agent(InstanceRole::kEndpoint);
  agent.Deliver(MakeDispatch(1));
  agent.core.Leave(agent.now);
  agent.Deliver(MakeDispatch(2));
  CPPUNIT_ASSERT(std::get<DispatchReply>(agent.sent_messages.back()).error ==
                 ErrorKind::kLeaving);
  CPPUNIT_ASSERT(!agent.core.drained());
  EndpointReply endpoint_reply;
  endpoint_reply.id = agent.endpoint_calls.front().id;
  endpoint_reply.outcome = RequestOutcome::kRan;
  agent.core.OnEndpointReply(agent.now, endpoint_reply);
  agent.CollectOutputs();
  CPPUNIT_ASSERT(agent.core.drained());
}

void DrainBeforeAdoptionKeepsRunningTasks() {
  AgentCore core(OptionsFor(InstanceRole::kWorker), kStartTime);
  core.Tick(kStartTime);
  static_cast<void>(core.TakeOutputs());
  core.Leave(kStartTime);
  CPPUNIT_ASSERT_MESSAGE("hello sent before the worker's tasks were listed",
                         core.TakeOutputs().to_control.empty());
  CPPUNIT_ASSERT_MESSAGE("drained before the worker's tasks were listed",
                         !core.drained());
  WorkerReply list;
  list.ok = true;
  WorkerTask running;
  running.task = {"j", 1};
  list.tasks.push_back(running);
  core.OnWorkerReply(kStartTime, list);
  core.Tick(kStartTime);
  const AgentOutputs out = core.TakeOutputs();
  const auto& hello = std::get<AgentHello>(out.to_control.front());
  CPPUNIT_ASSERT(hello.info.leaving);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hello.running.size());
}

void DropsConnectionsAfterProcessPause() {
  AgentHarness agent(InstanceRole::kEndpoint);
  agent.Advance(seconds(5));
  CPPUNIT_ASSERT(agent.has_dropped_connections);
}

// Guards against doing work again that is done: a start of an earlier agent
// process took effect after the list that this one began with.
void UnknownFinishedTaskIsReported() {
  AgentHarness agent(InstanceRole::kWorker);
  agent.AckHeartbeat();
  WorkerReply list;
  list.ok = true;
  WorkerTask finished;
  finished.task = {"j", 1};
  finished.state = WorkerTaskState::kFinished;
  list.tasks.push_back(finished);
  agent.core.OnWorkerReply(agent.now, list);
  agent.CollectOutputs();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.reports.size());
  CPPUNIT_ASSERT(agent.reports[0].end == TaskEnd::kFinished);
  const bool is_forgotten = std::any_of(
      agent.worker_calls.begin(), agent.worker_calls.end(),
      [](const WorkerCall& call) { return call.op == WorkerOp::kForget; });
  CPPUNIT_ASSERT_MESSAGE("the worker keeps it until the report is acknowledged",
                         !is_forgotten);
}

// Guards against running a request again that must run once: its entry broke
// off, and its claim is still open when the agent has forgotten the attempt.
// Claims are kept for a day.
void ForgottenAttemptGrantsNoTombstone() {
  AgentHarness agent(InstanceRole::kEndpoint);
  const auto run = [&](std::uint64_t seq, const std::string& claim) {
    agent.Deliver(MakeDispatch(seq, claim));
    EndpointReply endpoint_reply;
    endpoint_reply.id = agent.endpoint_calls.back().id;
    endpoint_reply.outcome = RequestOutcome::kRan;
    agent.core.OnEndpointReply(agent.now, endpoint_reply);
    agent.CollectOutputs();
  };
  run(1, "k");
  agent.Advance(std::chrono::minutes(11));
  run(2, "other");
  agent.Deliver(TombstoneRequest{5, 1, "k", 1});
  CPPUNIT_ASSERT_MESSAGE(
      "an attempt that ran must not be reported as one that never will",
      std::get<TombstoneReply>(agent.sent_messages.back()).verdict !=
          TombstoneVerdict::kGranted);
}

// Guards against running a request again that must run once: later attempts
// pushed the record of its attempt out.
void DisplacedAttemptGrantsNoTombstone() {
  constexpr std::uint64_t kOtherRequests = 20000;
  AgentHarness agent(InstanceRole::kEndpoint);
  for (std::uint64_t seq = 1; seq <= kOtherRequests + 1; ++seq) {
    agent.Deliver(MakeDispatch(seq, "k" + std::to_string(seq)));
    EndpointReply endpoint_reply;
    endpoint_reply.id = agent.endpoint_calls.back().id;
    endpoint_reply.outcome = RequestOutcome::kRan;
    agent.core.OnEndpointReply(agent.now, endpoint_reply);
    agent.CollectOutputs();
  }
  agent.Deliver(TombstoneRequest{5, 1, "k1", 1});
  CPPUNIT_ASSERT_MESSAGE(
      "an attempt that ran must not be reported as one that never will",
      std::get<TombstoneReply>(agent.sent_messages.back()).verdict !=
          TombstoneVerdict::kGranted);
}

// Guards against a promise that is withheld once any record has been dropped.
void UnknownAttemptIsStillGrantedATombstone() {
  AgentHarness agent(InstanceRole::kEndpoint);
  agent.Deliver(MakeDispatch(1, "k"));
  EndpointReply endpoint_reply;
  endpoint_reply.id = agent.endpoint_calls.back().id;
  endpoint_reply.outcome = RequestOutcome::kRan;
  agent.core.OnEndpointReply(agent.now, endpoint_reply);
  agent.Advance(std::chrono::minutes(11));
  agent.Deliver(TombstoneRequest{5, 1, "never sent", 1});
  CPPUNIT_ASSERT(std::get<TombstoneReply>(agent.sent_messages.back()).verdict ==
                 TombstoneVerdict::kGranted);
}

}  // namespace

Section AgentStory() {
  Section agent("Agent");
  agent
      .With(Section("with a worker")
                .Then("starts an attempt once, after a recent acknowledgement",
                      StartsAttemptOnceWithRecentAck)
                .Then("refuses tasks when heartbeats are unacknowledged",
                      RefusesStartWithStaleAck)
                .Then("measures the acknowledgement's age from the heartbeat",
                      MeasuresAckAgeFromHeartbeatSend)
                .Then("refuses tasks when its data centre is out of service",
                      RefusesStartWhenDataCentreIsOut)
                .Then("refuses tasks under a newer configuration of its own",
                      RefusesStartByNewerLocalConfig)
                .Then("refuses tasks beyond its capacity",
                      RefusesStartBeyondCapacity)
                .Then("does not restart an acknowledged attempt",
                      DoesNotRestartAcknowledgedAttempt)
                .Then("ignores start orders for an earlier incarnation",
                      IgnoresStartForEarlierIncarnation)
                .Then("stops its tasks when the lease expires",
                      StopsTasksWhenLeaseExpires)
                .Then("takes a checkpoint before an eviction",
                      CheckpointsBeforeEviction)
                .Then("reports a finished task of an earlier agent process",
                      UnknownFinishedTaskIsReported)
                .Then("keeps running tasks when drained before adoption",
                      DrainBeforeAdoptionKeepsRunningTasks))
      .With(
          Section("with an endpoint")
              .Then("enforces slot and connection limits",
                    EnforcesSlotAndConnectionLimits)
              .Then("does not run a duplicate of a refused dispatch",
                    DoesNotRunDuplicateOfRefusedDispatch)
              .Then("cancels queued dispatches only", CancelsQueuedDispatchOnly)
              .Then("does not run an attempt after granting a tombstone",
                    TombstoneBlocksLateDispatch)
              .Then("answers a tombstone request when the running attempt ends",
                    TombstoneWaitsForRunningAttempt)
              .Then("does not know the attempts of an earlier incarnation",
                    TombstoneForOtherIncarnationIsUnknown)
              .Then("grants no tombstone for an attempt that it forgot",
                    ForgottenAttemptGrantsNoTombstone)
              .Then("grants a tombstone for an attempt that it never had",
                    UnknownAttemptIsStillGrantedATombstone)
              .Then("grants no tombstone for an attempt that others displaced",
                    DisplacedAttemptGrantsNoTombstone)
              .Then("refuses new dispatches and finishes the rest on drain",
                    DrainRefusesNewDispatches)
              .Then("drops its connections after a pause of the process",
                    DropsConnectionsAfterProcessPause));
  return agent;
}

}  // namespace banyan
