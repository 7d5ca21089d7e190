#include "banyan/graph/call_event.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "banyan/graph/worker_agent.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Time kSentAt = Time(std::chrono::seconds(100));

// Returns a list call that carries 3 s of lease and acknowledges end 57.
RunCall SampleListCall() {
  RunCall call;
  call.incarnation = {"w1", 8};
  call.fencing_token = 3;
  call.lease_until_ms = 53000;
  call.lease_deadline = kSentAt + Millis(3000);
  call.last_committed_end = 57;
  return call;
}

// Returns the reply to a call that got no answer within 1,500 ms.
RunCallReply TimeOut(const RunCall& call) {
  RunCallReply reply = MakeUnansweredReply(call);
  reply.sent_at = kSentAt;
  reply.received_at = kSentAt + Millis(1500);
  return reply;
}

RunCallReply Answer(const RunCall& call) {
  RunCallReply reply = TimeOut(call);
  reply.answered = true;
  reply.failure = CallFailure::kNone;
  return reply;
}

void UnansweredListIsLogged() {
  const std::optional<Event> event =
      UnconfirmedCallEvent(TimeOut(SampleListCall()));
  CPPUNIT_ASSERT(event.has_value());
  CPPUNIT_ASSERT_EQUAL(
      std::string("E1356 op=list worker=w1 born=8 token=3 lease_until_ms=53000 "
                  "lease_left_ms=3000 committed=57 failure=timed-out "
                  "answering_born=0 age_ms=1500"),
      event->text());
}

// Guards against the loss of the one line that tells which lease a later
// incarnation has been given.
void DeniedListIsLogged() {
  RunCallReply reply = Answer(SampleListCall());
  reply.refusal = RunRefusal::kOtherIncarnation;
  reply.answering_start_ms = 9;
  const std::optional<Event> event = UnconfirmedCallEvent(reply);
  CPPUNIT_ASSERT(event.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("other-life"), event->Field("failure"));
  CPPUNIT_ASSERT_EQUAL(std::string("9"), event->Field("answering_born"));
}

void ExpiredLeaseIsLoggedAsCarried() {
  RunCall call = SampleListCall();
  call.last_committed_end = 0;
  call.lease_deadline = kSentAt - Millis(200);
  const std::optional<Event> event = UnconfirmedCallEvent(TimeOut(call));
  CPPUNIT_ASSERT(event.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("-200"), event->Field("lease_left_ms"));
}

void AcknowledgementWithoutLeaseIsLogged() {
  RunCall call = SampleListCall();
  call.lease_until_ms.reset();
  const std::optional<Event> event = UnconfirmedCallEvent(TimeOut(call));
  CPPUNIT_ASSERT(event.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("0"), event->Field("lease_until_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("0"), event->Field("lease_left_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("57"), event->Field("committed"));
}

void StartAcknowledgesNoEnd() {
  RunCall call = SampleListCall();
  call.op = RunCallOp::kStart;
  const std::optional<Event> event = UnconfirmedCallEvent(TimeOut(call));
  CPPUNIT_ASSERT(event.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("start"), event->Field("op"));
  CPPUNIT_ASSERT_EQUAL(std::string("0"), event->Field("committed"));
}

void CallsWithoutEffectAreNotLogged() {
  RunCall idle = SampleListCall();
  idle.lease_until_ms.reset();
  idle.last_committed_end = 0;
  CPPUNIT_ASSERT(!UnconfirmedCallEvent(TimeOut(idle)));
  for (const RunCallOp op :
       {RunCallOp::kStop, RunCallOp::kThrottle, RunCallOp::kIdentify}) {
    RunCall call = SampleListCall();
    call.op = op;
    CPPUNIT_ASSERT(!UnconfirmedCallEvent(TimeOut(call)));
  }
  RunCallReply unsent = TimeOut(SampleListCall());
  unsent.failure = CallFailure::kNotSent;
  CPPUNIT_ASSERT(!UnconfirmedCallEvent(unsent));
}

void AnswersAreNotLogged() {
  RunCallReply reply = Answer(SampleListCall());
  CPPUNIT_ASSERT(!UnconfirmedCallEvent(reply));
  reply.refusal = RunRefusal::kFenced;
  CPPUNIT_ASSERT(!UnconfirmedCallEvent(reply));
}

// Returns the events of an ID in an agent's outputs.
Events TakeEvents(WorkerAgent& agent, EventId id) {
  Events events = agent.TakeOutputs().events;
  std::erase_if(events, [&](const Event& event) { return event.id() != id; });
  return events;
}

// An agent whose worker has answered nothing yet, with its first list call.
class SilentWorker {
 public:
  SilentWorker() {
    WorkerReport report;
    report.info = SampleWorker("w1", 8);
    report.sequence = 1;
    report.clock_ms = 50000;
    agent_.OnReport(kSentAt, report);
    WorkerAgentOutputs outputs = agent_.TakeOutputs();
    WorkerOrders orders;
    orders.worker = report.info.life;
    orders.seq = std::get<WorkerSync>(outputs.to_control.back()).seq;
    orders.fencing_token = 3;
    orders.lease_ms = 4000;
    orders.noted = 57;
    agent_.OnOrders(kSentAt, orders);
    agent_.OnReply(kSentAt, Answer(outputs.calls.at(0)));
    list_ = agent_.TakeOutputs().calls.at(0);
  }

  [[nodiscard]] WorkerAgent& agent() { return agent_; }
  [[nodiscard]] const RunCall& list() const { return list_; }

 private:
  WorkerAgent agent_;
  RunCall list_;
};

void AgentLogsListThatItsWorkerLeavesUnanswered() {
  SilentWorker worker;
  worker.agent().OnReply(kSentAt + Millis(1500), TimeOut(worker.list()));
  const Events events = TakeEvents(worker.agent(), EventId::kCallUnconfirmed);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
  CPPUNIT_ASSERT_EQUAL(std::string("54000"), events[0].Field("lease_until_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("4000"), events[0].Field("lease_left_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("57"), events[0].Field("committed"));
}

// Guards against silence about the calls that matter most: those whose outcome
// arrives when the agent already follows the next incarnation.
void AgentLogsListOfAnEarlierIncarnation() {
  SilentWorker worker;
  WorkerReport successor;
  successor.info = SampleWorker("w1", 9);
  worker.agent().OnReport(kSentAt, successor);
  RunCallReply denial = MakeUnansweredReply(worker.list());
  denial.op = RunCallOp::kIdentify;
  denial.answered = true;
  denial.refusal = RunRefusal::kOtherIncarnation;
  denial.answering_start_ms = 9;
  worker.agent().OnReply(kSentAt, denial);
  CPPUNIT_ASSERT(TakeEvents(worker.agent(), EventId::kCallUnconfirmed).empty());
  worker.agent().OnReply(kSentAt + Millis(1500), TimeOut(worker.list()));
  const Events events = TakeEvents(worker.agent(), EventId::kCallUnconfirmed);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
  CPPUNIT_ASSERT_EQUAL(std::string("8"), events[0].Field("born"));
}

void AgentLogsLeaseOfFirstAnswer() {
  SilentWorker worker;
  worker.agent().OnReply(kSentAt + Millis(1500), TimeOut(worker.list()));
  static_cast<void>(worker.agent().TakeOutputs());
  RunCallReply answer = Answer(worker.list());
  answer.clock_ms = 51700;
  worker.agent().OnReply(kSentAt + Millis(1700), answer);
  const Events events = TakeEvents(worker.agent(), EventId::kLeaseConfirmed);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
  CPPUNIT_ASSERT_EQUAL(std::string("54000"), events[0].Field("lease_until_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("51700"), events[0].Field("clock_ms"));
  worker.agent().OnReply(kSentAt + Millis(1700), answer);
  CPPUNIT_ASSERT(TakeEvents(worker.agent(), EventId::kLeaseConfirmed).empty());
}

void LeaderLogsTimeSinceTheLastSync() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.AdvanceTime(Millis(1000));
  fixture.Lose("w1");
  fixture.AdvanceTime(Millis(3500));
  const Events events = fixture.TakeEvents();
  const auto removal =
      std::find_if(events.begin(), events.end(), [](const Event& event) {
        return event.id() == EventId::kWorkerRemovalProposed;
      });
  CPPUNIT_ASSERT(removal != events.end());
  CPPUNIT_ASSERT_EQUAL(std::string("3500"), removal->Field("synced_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("4500"), removal->Field("heard_ms"));
}

}  // namespace

Section CallEventStory() {
  Section story("Calls that may reach a later incarnation");
  story
      .With(Section("a call")
                .Then("without an answer is logged with what it carried",
                      UnansweredListIsLogged)
                .Then("that another incarnation answered is logged",
                      DeniedListIsLogged)
                .Then("with an expired lease is logged, too",
                      ExpiredLeaseIsLoggedAsCarried)
                .Then("without a lease is logged if it acknowledges ends",
                      AcknowledgementWithoutLeaseIsLogged)
                .Then("that starts a run acknowledges no end",
                      StartAcknowledgesNoEnd)
                .Then("that carries nothing or never left is not logged",
                      CallsWithoutEffectAreNotLogged)
                .Then("that was answered is not logged", AnswersAreNotLogged))
      .With(Section("an agent")
                .Then("logs a list that its worker leaves unanswered",
                      AgentLogsListThatItsWorkerLeavesUnanswered)
                .Then("logs a list of an earlier incarnation",
                      AgentLogsListOfAnEarlierIncarnation)
                .Then("logs the lease of the first answer after a silence",
                      AgentLogsLeaseOfFirstAnswer))
      .With(Section("the leader")
                .Then("logs at a removal the time since the last sync",
                      LeaderLogsTimeSinceTheLastSync));
  return story;
}

}  // namespace banyan
