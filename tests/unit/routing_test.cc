#include "banyan/routing/router_core.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr WallMillis kWall = 5000000;

// The router core of an entry with two endpoints. The test plays the part of
// the control replica and the agents.
class RouterHarness {
 public:
  explicit RouterHarness(std::uint64_t first_seq = 1)
      : core({.data_centre = "dc-a", .first_seq = first_seq}, kStart) {
    EndpointTable table;
    table.version = 2;
    for (const char* id : {"e1", "e2"}) {
      InstanceInfo info;
      info.id = id;
      info.incarnation = 1;
      info.data_centre = "dc-a";
      info.service = "booking";
      info.slots = 2;
      info.connections = 4;
      table.changed.push_back(info);
    }
    core.ControlUp(now);
    Deliver(table);
    core.AgentUp({"e1", 1});
    core.AgentUp({"e2", 1});
    CollectOutputs();
  }

  // Passes a message to the router.
  void Deliver(const Message& message) {
    core.Receive(now, kWall, {"peer", 1}, message);
    CollectOutputs();
  }

  // Sends a request with an optional idempotency key; it expires after 1 s.
  void Send(const std::string& key, bool is_idempotent) {
    CallerRequest request;
    request.ticket = ++ticket;
    request.service = "booking";
    request.method = "POST";
    request.path = "/x";
    request.body = "body " + std::to_string(ticket);
    request.idempotency_key = key;
    request.is_idempotent = is_idempotent;
    request.deadline = now + seconds(1);
    core.Request(now, kWall, request);
    CollectOutputs();
  }

  // Advances the clock and ticks the router.
  void Advance(Duration span) {
    now += span;
    core.Tick(now, kWall);
    CollectOutputs();
  }

  // Appends the router's new outputs to those collected so far.
  void CollectOutputs() {
    RouterOutputs out = core.TakeOutputs();
    messages.insert(messages.end(), out.messages.begin(), out.messages.end());
    for (const Message& message : out.to_control) {
      if (const auto* command = std::get_if<CommandRequest>(&message)) {
        commands.push_back(*command);
      }
    }
    answers.insert(answers.end(), out.answers.begin(), out.answers.end());
  }

  // Returns all dispatches that the router has sent.
  [[nodiscard]] std::vector<Dispatch> Dispatches() const {
    std::vector<Dispatch> dispatches;
    for (const Outbound& outbound : messages) {
      if (const auto* dispatch = std::get_if<Dispatch>(&outbound.message)) {
        dispatches.push_back(*dispatch);
      }
    }
    return dispatches;
  }

  // Answers a dispatch as its agent.
  void Reply(const Dispatch& dispatch,
             RequestOutcome outcome,
             ErrorKind error = ErrorKind::kBrokenAnswer) {
    DispatchReply reply;
    reply.seq = dispatch.seq;
    reply.outcome = outcome;
    reply.error = error;
    reply.status = 200;
    reply.body = "answer to " + dispatch.body;
    Deliver(reply);
  }

  // Grants the last command to open a claim.
  void GrantClaim(std::uint64_t attempt) {
    const auto& claim = std::get<OpenClaim>(commands.back().command.command);
    CommandReply reply;
    reply.seq = commands.back().seq;
    reply.result.ok = true;
    reply.result.claim = {ClaimState::kOpen,       true, attempt, claim.agent,
                          claim.agent_incarnation, 0,    "",      ""};
    Deliver(reply);
  }

  RouterCore core;
  Time now = kStart;
  std::uint64_t ticket = 0;
  std::vector<Outbound> messages;
  std::vector<CommandRequest> commands;
  std::vector<CallerAnswer> answers;
};

void AnswerGoesToItsOwnRequest() {
  RouterHarness entry;
  entry.Send("", true);
  entry.Send("", true);
  const auto dispatches = entry.Dispatches();
  // The replies arrive in reverse order.
  entry.Reply(dispatches[1], RequestOutcome::kRan);
  entry.Reply(dispatches[0], RequestOutcome::kRan);
  CPPUNIT_ASSERT_EQUAL(std::string("answer to body 2"), entry.answers[0].body);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entry.answers[0].ticket);
  CPPUNIT_ASSERT_EQUAL(std::string("answer to body 1"), entry.answers[1].body);
}

void LateAnswerIsDropped() {
  RouterHarness entry;
  entry.Send("", true);
  const auto dispatch = entry.Dispatches().front();
  entry.Advance(seconds(2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.answers.size());
  CPPUNIT_ASSERT(entry.answers[0].outcome == RequestOutcome::kUnknown);
  entry.Reply(dispatch, RequestOutcome::kRan);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.answers.size());
}

// Guards against a caller that is given the answer to another request: after a
// restart of the entry, an agent answers a request of the process before.
void AnswerToAnEarlierProcessIsDropped() {
  RouterHarness earlier;
  earlier.Send("", false);
  constexpr std::uint64_t kFirstSeq = 1000;
  RouterHarness next(kFirstSeq);
  next.Send("", false);
  DispatchReply reply;
  reply.seq = earlier.Dispatches().at(0).seq;
  reply.outcome = RequestOutcome::kRan;
  next.Deliver(reply);
  CPPUNIT_ASSERT(next.answers.empty());
  next.Reply(next.Dispatches().at(0), RequestOutcome::kRan);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.answers.size());
}

void RefusedRequestIsSentToAnotherEndpoint() {
  RouterHarness entry;
  entry.Send("", false);
  const auto first = entry.Dispatches().front();
  entry.Reply(first, RequestOutcome::kNotRun, ErrorKind::kLeaving);
  const auto dispatches = entry.Dispatches();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, dispatches.size());
  entry.Reply(dispatches[1], RequestOutcome::kRan);
  CPPUNIT_ASSERT(entry.answers[0].outcome == RequestOutcome::kRan);
}

void RequestWithoutKeyIsNotRetriedAfterUnknownOutcome() {
  RouterHarness entry;
  entry.Send("", false);
  entry.Reply(entry.Dispatches().front(), RequestOutcome::kUnknown);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.Dispatches().size());
  CPPUNIT_ASSERT(entry.answers[0].outcome == RequestOutcome::kUnknown);
}

void RequestWithKeyWaitsForItsClaim() {
  RouterHarness entry;
  entry.Send("k", false);
  CPPUNIT_ASSERT(entry.Dispatches().empty());
  entry.GrantClaim(1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.Dispatches().size());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.Dispatches()[0].attempt);
}

void RequestWithKeyIsNotRunWithoutControlReplica() {
  RouterHarness entry;
  entry.core.ControlDown(entry.now);
  entry.Send("k", false);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.answers.size());
  CPPUNIT_ASSERT(entry.answers[0].outcome == RequestOutcome::kNotRun);
  CPPUNIT_ASSERT(ResponseFor(*entry.answers[0].error).retry_after_seconds > 0);
}

void DispatchedKeyIsNotReportedAsNotRun() {
  RouterHarness entry;
  entry.Send("k", false);
  entry.GrantClaim(1);
  entry.Advance(seconds(2));
  entry.core.ControlDown(entry.now);
  entry.Send("k", false);
  CPPUNIT_ASSERT(entry.answers.back().outcome == RequestOutcome::kUnknown);
}

void OpenClaimRequestsTombstone() {
  RouterHarness entry;
  entry.Send("k", false);
  CommandReply reply;
  reply.seq = entry.commands.back().seq;
  reply.result.ok = true;
  reply.result.claim = {ClaimState::kOpen, false, 3, "e1", 1, 0, "", ""};
  entry.Deliver(reply);
  const auto& tombstone_request =
      std::get<TombstoneRequest>(entry.messages.back().message);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, tombstone_request.attempt);
  TombstoneReply granted;
  granted.seq = tombstone_request.seq;
  granted.verdict = TombstoneVerdict::kGranted;
  entry.Deliver(granted);
  const auto& claim =
      std::get<OpenClaim>(entry.commands.back().command.command);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, claim.expected_attempt);
}

// Guards against losing an outcome that the entry is told: it comes after the
// caller's deadline, and nothing but the agent's record of the attempt, which
// is kept for minutes, can settle the claim from then on.
void LateAnswerEndsItsClaim() {
  RouterHarness entry;
  entry.Send("k", false);
  entry.GrantClaim(1);
  const auto dispatch = entry.Dispatches().front();
  entry.Advance(seconds(2));
  CPPUNIT_ASSERT(entry.answers[0].outcome == RequestOutcome::kUnknown);
  entry.Reply(dispatch, RequestOutcome::kRan);
  const auto* end =
      std::get_if<EndClaim>(&entry.commands.back().command.command);
  CPPUNIT_ASSERT_MESSAGE("the claim must not stay open",
                         end != nullptr && end->end == ClaimEnd::kFinished);
}

void FailingEndpointIsEjectedAndProbed() {
  RouterHarness entry;
  const auto send_with_e1_failing = [&] {
    for (int i = 0; i < 40; ++i) {
      entry.Send("", false);
      const auto dispatch = entry.Dispatches().back();
      const bool is_e1 = entry.messages.back().to == "e1";
      entry.Reply(dispatch,
                  is_e1 ? RequestOutcome::kUnknown : RequestOutcome::kRan);
    }
  };
  ConfigUpdate config;
  config.version = 2;
  config.preset.eject_max_percent = 50;
  entry.Deliver(config);
  send_with_e1_failing();
  CPPUNIT_ASSERT(entry.core.pool().Find("e1")->is_ejected);
  const std::size_t before = entry.messages.size();
  send_with_e1_failing();
  for (std::size_t i = before; i < entry.messages.size(); ++i) {
    CPPUNIT_ASSERT(entry.messages[i].to != "e1");
  }
  entry.Advance(seconds(4));
  entry.Send("", false);
  CPPUNIT_ASSERT_EQUAL(std::string("e1"), entry.messages.back().to);
  entry.Reply(entry.Dispatches().back(), RequestOutcome::kRan);
  CPPUNIT_ASSERT(!entry.core.pool().Find("e1")->is_ejected);
}

void RetriesStayWithinBudget() {
  RouterHarness entry;
  for (int i = 0; i < 200; ++i) {
    entry.Send("", true);
    while (entry.answers.size() < entry.ticket) {
      entry.Reply(entry.Dispatches().back(), RequestOutcome::kUnknown);
    }
  }
  // No request succeeds, so only the initial tokens of the budget are spent.
  CPPUNIT_ASSERT_MESSAGE(std::to_string(entry.core.counters().retries),
                         entry.core.counters().retries <= 3);
}

void DataCentreOutReceivesNoRequests() {
  RouterHarness entry;
  ConfigUpdate config;
  config.version = 2;
  config.out = {"dc-a"};
  entry.Deliver(config);
  entry.Send("", true);
  CPPUNIT_ASSERT(entry.Dispatches().empty());
  CPPUNIT_ASSERT(entry.answers[0].outcome == RequestOutcome::kNotRun);
  ConfigUpdate older;
  older.version = 1;
  entry.Deliver(older);
  entry.Send("", true);
  CPPUNIT_ASSERT_MESSAGE("an older configuration version was applied",
                         entry.Dispatches().empty());
}

}  // namespace

Section RoutingStory() {
  Section section("Request routing at an entry");
  section
      .With(Section("an answer")
                .Then("goes to its own request", AnswerGoesToItsOwnRequest)
                .Then("that arrives after the deadline is dropped",
                      LateAnswerIsDropped)
                .Then("drops the answer to a request of an earlier process",
                      AnswerToAnEarlierProcessIsDropped))
      .With(
          Section("a request")
              .Then("that was refused is sent to another endpoint",
                    RefusedRequestIsSentToAnotherEndpoint)
              .Then("without a key is not retried after an unknown outcome",
                    RequestWithoutKeyIsNotRetriedAfterUnknownOutcome)
              .Then("with a key waits for its claim",
                    RequestWithKeyWaitsForItsClaim)
              .Then(
                  "with a key is refused as not-run without a control replica",
                  RequestWithKeyIsNotRunWithoutControlReplica)
              .Then("that may have run is not reported as not-run",
                    DispatchedKeyIsNotReportedAsNotRun)
              .Then("under an open claim requests a tombstone",
                    OpenClaimRequestsTombstone)
              .Then("that is answered late has its claim ended",
                    LateAnswerEndsItsClaim))
      .With(Section("endpoints")
                .Then("that keep failing are ejected and probed",
                      FailingEndpointIsEjectedAndProbed)
                .Then("receive only as many retries as the budget permits",
                      RetriesStayWithinBudget)
                .Then("in a data centre that is out receive no requests",
                      DataCentreOutReceivesNoRequests));
  return section;
}

}  // namespace banyan
