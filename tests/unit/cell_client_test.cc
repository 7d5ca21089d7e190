#include "banyan/graph/cell_client.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/unit/story.h"

namespace banyan {
namespace {

std::vector<std::string> Seeds() {
  return {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"};
}

// A client with simulated replicas.
class ClientFixture {
 public:
  ClientFixture() : client_(Seeds(), 0) { client_.Tick(now_); }

  // Connects the replica that the client has selected.
  void Connect() { client_.OnUp(now_, client_.link().current()); }

  void Open(CellCall call, Duration budget) {
    client_.Open(now_, 1, std::move(call), now_ + budget);
    Collect();
  }

  void EndAfter(Duration span) { client_.EndBy(now_ + span); }

  void Advance(Duration span) {
    const Time until = now_ + span;
    while (now_ < until) {
      now_ += Millis(50);
      client_.Tick(now_);
      Collect();
      if (auto_fresh_) {
        client_.Receive(now_, EntryStatusAck{0, *auto_fresh_});
      }
    }
  }

  // Advances by a turn in which the process handles nothing that arrives.
  void AdvanceUnheard(Duration span) {
    const Time heard_until = now_;
    now_ += span;
    client_.Tick(now_, heard_until);
    Collect();
  }

  // Advances within a turn.
  void Spend(Duration span) { now_ += span; }

  // Handles what arrived during such a turn.
  void Hear(const Message& message) { client_.Receive(now_, message); }

  // Answers every unanswered request.
  void ReplyAll(ErrorKind error, bool ok = false) {
    for (const std::uint64_t seq : std::exchange(requests_, {})) {
      CommandReply reply;
      reply.seq = seq;
      reply.result.ok = ok;
      reply.result.error = error;
      client_.Receive(now_, reply);
    }
    Collect();
  }

  void set_auto_fresh(std::optional<bool> fresh) { auto_fresh_ = fresh; }
  void DropRequests() { requests_.clear(); }
  [[nodiscard]] CellClient& client() { return client_; }
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] const std::vector<CellAnswer>& answers() const {
    return answers_;
  }
  [[nodiscard]] std::size_t requests() const { return requests_.size(); }
  [[nodiscard]] std::size_t plan_requests() const { return plan_requests_; }

 private:
  void Collect() {
    CellClientOutputs outputs = client_.TakeOutputs();
    for (const Message& message : outputs.to_control) {
      if (const auto* command = std::get_if<CommandRequest>(&message)) {
        requests_.push_back(command->seq);
      } else if (const auto* query = std::get_if<CellQuery>(&message)) {
        requests_.push_back(query->seq);
      } else if (std::holds_alternative<PlanRequest>(message)) {
        ++plan_requests_;
      }
    }
    for (CellAnswer& answer : outputs.answers) {
      answers_.push_back(std::move(answer));
    }
  }

  Time now_ = Time(std::chrono::seconds(50));
  CellClient client_;
  std::optional<bool> auto_fresh_;
  std::vector<std::uint64_t> requests_;
  std::size_t plan_requests_ = 0;
  std::vector<CellAnswer> answers_;
};

void LeavesReplicaWithoutLeader() {
  ClientFixture fixture;
  fixture.Connect();
  const std::string first = fixture.client().link().current();
  fixture.set_auto_fresh(false);
  fixture.Advance(Millis(2000));
  CPPUNIT_ASSERT(fixture.client().link().current() != first);
}

void StaysWithReplicaWithLeader() {
  ClientFixture fixture;
  fixture.Connect();
  const std::string first = fixture.client().link().current();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(5000));
  CPPUNIT_ASSERT_EQUAL(first, fixture.client().link().current());
}

// Returns a client that is connected and has just sent its status.
ClientFixture ClientThatAwaitsAnswer() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(500));
  fixture.set_auto_fresh(std::nullopt);
  fixture.Advance(Millis(100));
  return fixture;
}

// Guards against a process that leaves its replica after a long turn, although
// the answer waits in its queue.
void StaysWithReplicaWhoseAnswerIsUnread() {
  for (const Duration turn : {Millis(200), Millis(1000), Millis(5000)}) {
    ClientFixture fixture = ClientThatAwaitsAnswer();
    const std::string first = fixture.client().link().current();
    fixture.AdvanceUnheard(turn);
    CPPUNIT_ASSERT_EQUAL(first, fixture.client().link().current());
    fixture.Hear(EntryStatusAck{0, true});
    fixture.set_auto_fresh(true);
    fixture.Advance(Millis(1000));
    CPPUNIT_ASSERT_EQUAL(first, fixture.client().link().current());
  }
}

// Guards against a replica that is left because the connection to it came up
// during a long turn.
void StaysWithReplicaWhoseConnectionIsUnread() {
  ClientFixture fixture;
  const std::string first = fixture.client().link().current();
  fixture.AdvanceUnheard(Millis(1000));
  CPPUNIT_ASSERT_EQUAL(first, fixture.client().link().current());
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(1000));
  CPPUNIT_ASSERT_EQUAL(first, fixture.client().link().current());
}

// Guards against a wait for an answer that begins before the status has left
// the process.
void AnswerIsDueOnceTheStatusIsSent() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(450));
  fixture.set_auto_fresh(std::nullopt);
  const std::string first = fixture.client().link().current();
  // The turn that sends the status ends; the next one comes 3 s later.
  fixture.AdvanceUnheard(Millis(100));
  fixture.AdvanceUnheard(Millis(3000));
  fixture.Advance(Millis(750));
  CPPUNIT_ASSERT_EQUAL(first, fixture.client().link().current());
  fixture.Advance(Millis(100));
  CPPUNIT_ASSERT(first != fixture.client().link().current());
}

// Guards against a replica that is kept because the process is slow, though it
// has read all that arrived.
void LeavesSilentReplicaAfterLongTurns() {
  ClientFixture fixture = ClientThatAwaitsAnswer();
  const std::string first = fixture.client().link().current();
  fixture.AdvanceUnheard(Millis(1000));
  CPPUNIT_ASSERT_EQUAL(first, fixture.client().link().current());
  fixture.AdvanceUnheard(Millis(1000));
  CPPUNIT_ASSERT(first != fixture.client().link().current());
}

void RefusalIsDefiniteWhenNothingWasAccepted() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Open(Command(CancelGraph{"g"}), Millis(200));
  fixture.ReplyAll(ErrorKind::kNotLeader);
  fixture.Advance(Millis(150));
  fixture.ReplyAll(ErrorKind::kNotLeader);
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error == ErrorKind::kNoQuorum);
}

void OutcomeIsUnknownAfterUnansweredRequest() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Open(Command(CancelGraph{"g"}), Millis(1200));
  fixture.DropRequests();
  fixture.Advance(Millis(1000));
  fixture.ReplyAll(ErrorKind::kNotLeader);
  fixture.Advance(Millis(300));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error ==
                 ErrorKind::kUnknownOutcome);
}

void CallFailsEarlyWithoutReplica() {
  // Guards against callers that wait for their whole timeout while the control
  // cell is down.
  ClientFixture fixture;
  fixture.Open(Command(CancelGraph{"g"}), Millis(3000));
  fixture.Advance(Millis(700));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error == ErrorKind::kNoQuorum);
}

// Guards against calls that outlast the process that made them, and against a
// request that was sent being called not run.
void CallThatWasSentHasUnknownOutcomeAtEnd() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(100));
  fixture.Open(Command(CancelGraph{"g"}), Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests());
  fixture.EndAfter(Millis(400));
  fixture.Advance(Millis(350));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.answers().size());
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error ==
                 ErrorKind::kUnknownOutcome);
}

// Guards against requests that are sent with no time left for their answer.
void CallAfterEndIsNotSent() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.EndAfter(Millis(100));
  fixture.Advance(Millis(100));
  fixture.Open(Command(CancelGraph{"g"}), Millis(3000));
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.requests());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error == ErrorKind::kNoQuorum);
}

void LateRefusalDoesNotSettleEarlierRequest() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(100));
  fixture.Open(Command(CancelGraph{"g"}), Millis(2500));
  fixture.DropRequests();
  fixture.Advance(Millis(1000));
  fixture.ReplyAll(ErrorKind::kOverloaded);
  CPPUNIT_ASSERT(fixture.answers().empty());
}

// Guards against a call that is carried out after its caller was told that it
// was not.
void ExpiredCallIsNotSent() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(100));
  fixture.Open(Command(CancelGraph{"g"}), Millis(-1));
  fixture.Connect();
  fixture.Advance(Millis(100));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.requests());
  CPPUNIT_ASSERT(fixture.answers().at(0).result.error == ErrorKind::kNoQuorum);
}

// Guards against calls that fail as unreachable after a long turn, although the
// confirmation of a live leader and their answers wait in the queue.
void CallWaitsForUnreadConfirmation() {
  for (const Duration turn : {Millis(1600), Millis(2500), Millis(5000)}) {
    ClientFixture fixture = ClientThatAwaitsAnswer();
    fixture.Open(CellQuery{0, CellQueryKind::kGraph, "g"}, Millis(9000));
    fixture.AdvanceUnheard(turn);
    CPPUNIT_ASSERT(fixture.answers().empty());
    CPPUNIT_ASSERT(!fixture.client().IsFresh(fixture.now()));
    fixture.Hear(EntryStatusAck{0, true});
    fixture.ReplyAll(ErrorKind::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
    CPPUNIT_ASSERT(fixture.answers()[0].result.error == ErrorKind::kNotFound);
  }
}

// Guards against submissions that are refused after long turns, although the
// cell can decide.
void SubmissionIsSentAfterLongTurns() {
  ClientFixture fixture = ClientThatAwaitsAnswer();
  fixture.AdvanceUnheard(Millis(1600));
  // The next turn handles the submission first, and the confirmation later.
  fixture.Spend(Millis(600));
  fixture.Open(Command(SubmitGraph{"g", {}}), Millis(3000));
  CPPUNIT_ASSERT(fixture.answers().empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests());
}

// Guards against a call that outlasts its caller because the process is slow.
void CallEndsAtItsDeadlineAfterLongTurn() {
  ClientFixture fixture = ClientThatAwaitsAnswer();
  fixture.Open(CellQuery{0, CellQueryKind::kGraph, "g"}, Millis(900));
  fixture.AdvanceUnheard(Millis(1000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
}

// Guards against requests that are all sent again after a long turn, while
// their answers wait in the queue.
void CallIsNotSentAgainBeforeItsAnswerIsRead() {
  ClientFixture fixture = ClientThatAwaitsAnswer();
  fixture.Open(CellQuery{0, CellQueryKind::kGraph, "g"}, Millis(9000));
  fixture.AdvanceUnheard(Millis(1000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests());
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.requests());
}

// Guards against parts of a plan that cross a thin link twice because the
// process read them late.
void PlanPartsAreNotAskedForAgainWhileUnread() {
  ClientFixture fixture = ClientThatAwaitsAnswer();
  fixture.Hear(PlanOffer{1});
  fixture.Advance(Millis(50));
  const std::size_t first_requests = fixture.plan_requests();
  CPPUNIT_ASSERT(first_requests > 0);
  fixture.AdvanceUnheard(Millis(1500));
  CPPUNIT_ASSERT_EQUAL(first_requests, fixture.plan_requests());
  fixture.Hear(EntryStatusAck{0, true});
  fixture.AdvanceUnheard(Millis(50));
  CPPUNIT_ASSERT(first_requests < fixture.plan_requests());
}

// Returns a client that is connected and has had no fresh replica for 500 ms,
// after one that was fresh for up to 1.5 s.
ClientFixture ClientWithoutCell() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(100));
  fixture.set_auto_fresh(false);
  fixture.Advance(Millis(2050));
  fixture.Connect();
  return fixture;
}

// Guards against callers that wait while the cell can't decide, and against a
// submission that is sent after its caller was told that it does not run.
void SubmissionIsRefusedWithoutCell() {
  ClientFixture fixture = ClientWithoutCell();
  fixture.Open(Command(SubmitGraph{"g", {}}), Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  const CommandResult& result = fixture.answers()[0].result;
  CPPUNIT_ASSERT(result.error == ErrorKind::kNoQuorum);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, result.retry_after_ms);
  fixture.set_auto_fresh(true);
  fixture.Connect();
  fixture.Advance(Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.requests());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
}

// Guards against queries of state that are refused as submissions are.
void QueryIsSentWithoutCell() {
  ClientFixture fixture = ClientWithoutCell();
  fixture.Open(CellQuery{0, CellQueryKind::kGraph, "g"}, Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests());
  CPPUNIT_ASSERT(fixture.answers().empty());
}

// Guards against "not run" for a submission that may have been accepted before
// the cell was lost.
void SentSubmissionHasUnknownOutcomeWithoutCell() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(100));
  fixture.set_auto_fresh(false);
  fixture.Advance(Millis(1300));
  // The replica without a leader has been left by now.
  fixture.Connect();
  fixture.Open(Command(SubmitGraph{"g", {}}), Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests());
  fixture.Advance(Millis(1000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error ==
                 ErrorKind::kUnknownOutcome);
}

void UsesReportedMembers() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.client().Receive(Time{}, CellMembers{{"10.0.0.8:7", "10.0.0.9:7"}});
  fixture.set_auto_fresh(false);
  std::set<std::string> selected;
  for (int i = 0; i < 8; ++i) {
    fixture.Advance(Millis(900));
    selected.insert(fixture.client().link().current());
  }
  CPPUNIT_ASSERT(selected.contains("10.0.0.8:7"));
  CPPUNIT_ASSERT(selected.contains("10.0.0.9:7"));
}

// --- Which process a link selects ---

constexpr Time kLinkStart{std::chrono::seconds(50)};
// Longer than a link waits for a connection or an answer.
constexpr Duration kLongWait = Millis(900);

using Addresses = std::vector<std::string>;

// What the processes of a site that are no replicas name, by their addresses.
// Nothing listens at any other one.
using Site = std::map<std::string, Addresses>;

// Returns what a link selects in so many changes.
Addresses Selections(CellLink& link, const Site& site, std::size_t changes) {
  Addresses selected;
  Time now = kLinkStart;
  for (std::size_t i = 0; i < changes; ++i) {
    const std::string current = link.current();
    selected.push_back(current);
    now += kLongWait;
    if (const auto found = site.find(current); found != site.end()) {
      link.OnUp(now, current);
      if (link.OnReferral(now, current, {found->second})) {
        continue;
      }
      link.OnSent(now);
    }
    // A wait begins with the first turn after what it waits for.
    while (!link.Tick(now, now)) {
      now += kLongWait;
    }
  }
  return selected;
}

std::set<std::string> Distinct(const Addresses& addresses) {
  return {addresses.begin(), addresses.end()};
}

void FollowsReferralOfSelectedProcess() {
  CellLink link({"relay"}, 0);
  link.OnUp(kLinkStart, "relay");
  CPPUNIT_ASSERT(link.OnReferral(kLinkStart, "relay", {{"a", "b"}}));
  CPPUNIT_ASSERT(link.current() == "a" || link.current() == "b");
  CPPUNIT_ASSERT(!link.connected());
}

// Guards against processes that leave a replica that serves them, because
// others are named, by that replica itself or as members of its cell.
void KeepsReplicaThatHasAnswered() {
  CellLink link({"a"}, 0);
  link.OnUp(kLinkStart, "a");
  link.OnAnswer();
  CPPUNIT_ASSERT(!link.OnReferral(kLinkStart, "relay", {{"b", "c"}}));
  CPPUNIT_ASSERT(!link.OnReferral(kLinkStart, "a", {{"b", "c"}}));
  CPPUNIT_ASSERT(!link.AddSeeds(kLinkStart, {"d"}));
  link.SetMembers({"b", "c"});
  CPPUNIT_ASSERT_EQUAL(std::string("a"), link.current());
  CPPUNIT_ASSERT(link.connected());
}

void LeavesUnheardProcessForNamedOne() {
  CellLink link({"dead"}, 0);
  CPPUNIT_ASSERT(link.OnReferral(kLinkStart, "", {{"a"}}));
  CPPUNIT_ASSERT_EQUAL(std::string("a"), link.current());
  CPPUNIT_ASSERT_MESSAGE("is among the named ones",
                         !link.OnReferral(kLinkStart, "", {{"b", "a"}}));
}

// Guards against a process that goes back and forth between a relay and the
// dead replicas that it names, and never tries its other seeds.
void EveryAddressGetsItsTurn() {
  const Site site = {{"relay-1", {"dead-1", "dead-2", "dead-3"}},
                     {"relay-2", {"dead-2", "a"}},
                     {"relay-3", {"relay-1", "relay-2"}}};
  constexpr std::size_t kChanges = 16;
  for (std::uint64_t seed = 0; seed < kChanges; ++seed) {
    CellLink link({"relay-1", "relay-2", "relay-3", "dead-4"}, seed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                         Distinct(Selections(link, site, kChanges)).size());
  }
}

// Guards against a process that connects to the same relay without an end, or
// is stuck there, because that relay names itself.
void OwnNameIsNotFollowed() {
  CellLink alone({"relay"}, 0);
  alone.OnUp(kLinkStart, "relay");
  CPPUNIT_ASSERT(!alone.OnReferral(kLinkStart, "relay", {{"relay"}}));
  CPPUNIT_ASSERT(alone.connected());
  for (std::uint64_t seed = 0; seed < 4; ++seed) {
    CellLink link({"relay"}, seed);
    link.OnUp(kLinkStart, "relay");
    CPPUNIT_ASSERT(link.OnReferral(kLinkStart, "relay", {{"relay", "a"}}));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), link.current());
  }
}

void NewSeedsAreUsedAtOnce() {
  CellLink link({"dead-1", "dead-2"}, 0);
  CPPUNIT_ASSERT(link.AddSeeds(kLinkStart, {"a"}));
  CPPUNIT_ASSERT_EQUAL(std::string("a"), link.current());
  const auto selected = Distinct(Selections(link, {}, 4));
  CPPUNIT_ASSERT_MESSAGE(
      "known ones are kept",
      selected.contains("dead-1") && selected.contains("dead-2"));
  CellLink empty({}, 0);
  CPPUNIT_ASSERT(empty.AddSeeds(kLinkStart, {"a"}));
  CPPUNIT_ASSERT_EQUAL(std::string("a"), empty.current());
}

// Guards against a process that tries seeds that it has known for long before
// it has tried all new ones.
void AllNewSeedsComeFirst() {
  const Addresses old = {"old-1", "old-2", "old-3", "old-4", "old-5", "old-6"};
  const Addresses fresh = {"new-1", "new-2", "new-3"};
  for (std::uint64_t seed = 0; seed < old.size(); ++seed) {
    CellLink link(old, seed);
    CPPUNIT_ASSERT(link.AddSeeds(kLinkStart, fresh));
    CPPUNIT_ASSERT(Distinct(fresh) ==
                   Distinct(Selections(link, {}, fresh.size())));
  }
}

// Guards against a connection in progress that is given up since the settings
// were read again.
void KnownSeedsChangeNothing() {
  CellLink link({"relay", "dead"}, 0);
  link.OnUp(kLinkStart, "relay");
  CPPUNIT_ASSERT(link.OnReferral(kLinkStart, "relay", {{"a"}}));
  CPPUNIT_ASSERT(!link.AddSeeds(kLinkStart, {"dead", "relay"}));
  CPPUNIT_ASSERT_EQUAL(std::string("a"), link.current());
}

// Guards against corrected seeds that are forgotten since they were members,
// when others are told as the members.
void SeedsOutlastMembers() {
  CellLink link({"old-1", "old-2"}, 0);
  link.SetMembers({"a", "b"});
  CPPUNIT_ASSERT(!link.AddSeeds(kLinkStart, {"a", "b"}));
  link.SetMembers({"old-1", "old-2"});
  const auto selected = Distinct(Selections(link, {}, 4));
  CPPUNIT_ASSERT(selected.contains("a") && selected.contains("b"));
}

// Guards against a relay that knows replicas and names none, since they are its
// seeds.
void NamedSeedsAreKnownReplicas() {
  CellLink link({"a", "b"}, 0);
  CPPUNIT_ASSERT(!link.OnReferral(kLinkStart, "", {{"a", "b"}}));
  CPPUNIT_ASSERT((std::set<std::string>{"a", "b"}) ==
                 Distinct(link.known_replicas()));
}

void KnownSeedsAreBounded() {
  constexpr std::size_t kMaxSeeds = 16;
  CellLink link({"first"}, 0);
  for (std::size_t i = 0; i < 2 * kMaxSeeds; ++i) {
    static_cast<void>(link.AddSeeds(kLinkStart, {"seed-" + std::to_string(i)}));
  }
  const auto selected = Distinct(Selections(link, {}, 2 * kMaxSeeds));
  CPPUNIT_ASSERT_EQUAL(kMaxSeeds, selected.size());
  CPPUNIT_ASSERT(selected.contains("seed-31"));
}

// --- What becomes of requests to a process that is no replica ---

// Guards against submissions that are reported as unknown, so that nobody may
// send them again, although they went to a relay only.
void SubmissionAtRelayCountsAsNotSent() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.Open(Command(SubmitGraph{"g", {}}), Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests());
  fixture.client().OnReferral(fixture.now(), fixture.client().link().current(),
                              {{"10.0.0.9:7"}});
  fixture.Advance(Millis(600));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error == ErrorKind::kNoQuorum);
}

// Guards against requests of the turn in which a process says that it is no
// replica, which go to the next one in its name.
void RequestOfTheSameTurnIsRetracted() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.client().Open(fixture.now(), 1, Command(SubmitGraph{"g", {}}),
                        fixture.now() + Millis(3000));
  fixture.Hear(CellReferral{{"10.0.0.9:7"}});
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.requests());
}

// Guards against submissions that are reported as unknown, although they went
// to a relay that knows no replica.
void NothingIsSentToRelayThatKnowsNone() {
  ClientFixture fixture;
  fixture.Connect();
  const std::string relay = fixture.client().link().current();
  fixture.client().Receive(fixture.now(), CellReferral{});
  CPPUNIT_ASSERT_EQUAL(relay, fixture.client().link().current());
  fixture.Open(Command(SubmitGraph{"g", {}}), Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.requests());
  fixture.client().Receive(fixture.now(), CellReferral{{"10.0.0.9:7"}});
  CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:7"),
                       fixture.client().link().current());
  fixture.Connect();
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.requests());
}

// Guards against "not run" for a submission that a replica may have accepted
// before a relay was asked.
void SubmissionAtReplicaBeforeRelayIsUnknown() {
  ClientFixture fixture;
  fixture.Connect();
  fixture.set_auto_fresh(true);
  fixture.Advance(Millis(100));
  fixture.Open(Command(SubmitGraph{"g", {}}), Millis(3000));
  fixture.set_auto_fresh(std::nullopt);
  fixture.client().OnDown(fixture.now(), fixture.client().link().current());
  fixture.Connect();
  fixture.Advance(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.requests());
  fixture.client().OnReferral(fixture.now(), fixture.client().link().current(),
                              {{"10.0.0.9:7"}});
  fixture.Advance(Millis(3000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
  CPPUNIT_ASSERT(fixture.answers()[0].result.error ==
                 ErrorKind::kUnknownOutcome);
}

// Guards against "not run" for a submission that the selected replica may have
// accepted, because this replica announces the members of its cell.
void SubmissionAtReplicaThatAnnouncesIsUnknown() {
  for (const bool has_answered : {true, false}) {
    ClientFixture fixture;
    fixture.Connect();
    if (has_answered) {
      fixture.set_auto_fresh(true);
      fixture.Advance(Millis(100));
      fixture.set_auto_fresh(std::nullopt);
    }
    const std::string replica = fixture.client().link().current();
    fixture.Open(Command(SubmitGraph{"g", {}}), Millis(3000));
    // An announcement comes on a connection that the replica has made.
    fixture.client().OnReferral(fixture.now(), has_answered ? replica : "",
                                {{"10.0.0.9:7"}});
    CPPUNIT_ASSERT(!has_answered ||
                   fixture.client().link().current() == replica);
    fixture.Advance(Millis(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers().size());
    CPPUNIT_ASSERT(fixture.answers()[0].result.error ==
                   ErrorKind::kUnknownOutcome);
  }
}

}  // namespace

Section CellClientStory() {
  Section story("The control cell client");
  story
      .With(Section("its replica")
                .Then("is left when it has no live leader",
                      LeavesReplicaWithoutLeader)
                .Then("is kept while it has a live leader",
                      StaysWithReplicaWithLeader)
                .Then("may be any member that a replica reported",
                      UsesReportedMembers))
      .With(
          Section("the process that its link selects")
              .Then("is named by the relay that it asked",
                    FollowsReferralOfSelectedProcess)
              .Then("is kept once it has answered", KeepsReplicaThatHasAnswered)
              .Then("is left for a named one before that",
                    LeavesUnheardProcessForNamedOne)
              .Then("is any seed and any named one in turn",
                    EveryAddressGetsItsTurn)
              .Then("is another one if a relay names itself",
                    OwnNameIsNotFollowed)
              .Then("is a new seed at once while nothing answers",
                    NewSeedsAreUsedAtOnce)
              .Then("is each new seed before any former one",
                    AllNewSeedsComeFirst)
              .Then("is the same after the same seeds", KnownSeedsChangeNothing)
              .Then("is a seed though other members are told",
                    SeedsOutlastMembers)
              .Then("is told to others though it is a seed",
                    NamedSeedsAreKnownReplicas)
              .Then("is one of 16 seeds at most", KnownSeedsAreBounded))
      .With(Section("a submission to a process that names replicas")
                .Then("counts as not sent", SubmissionAtRelayCountsAsNotSent)
                .Then("is not sent to the next one in the same turn",
                      RequestOfTheSameTurnIsRetracted)
                .Then("waits while that process names none",
                      NothingIsSentToRelayThatKnowsNone)
                .Then("stays unknown if a replica got it before",
                      SubmissionAtReplicaBeforeRelayIsUnknown)
                .Then("stays unknown if that process is a replica",
                      SubmissionAtReplicaThatAnnouncesIsUnknown))
      .With(Section("after a long turn, its replica")
                .Then("is kept if its answer is unread",
                      StaysWithReplicaWhoseAnswerIsUnread)
                .Then("is kept if its connection is unread",
                      StaysWithReplicaWhoseConnectionIsUnread)
                .Then("has the whole time for an answer once it is asked",
                      AnswerIsDueOnceTheStatusIsSent)
                .Then("is left if it was silent all the same",
                      LeavesSilentReplicaAfterLongTurns))
      .With(Section("a call")
                .Then("that has expired is never sent", ExpiredCallIsNotSent)
                .Then("that no replica accepted is refused definitely",
                      RefusalIsDefiniteWhenNothingWasAccepted)
                .Then("that was not answered has an unknown outcome",
                      OutcomeIsUnknownAfterUnansweredRequest)
                .Then("fails early while no replica is reachable",
                      CallFailsEarlyWithoutReplica)
                .Then("is not refused while an earlier request may succeed",
                      LateRefusalDoesNotSettleEarlierRequest))
      .With(Section("while the cell can't decide")
                .Then("refuses a submission at once and never sends it",
                      SubmissionIsRefusedWithoutCell)
                .Then("sends a query", QueryIsSentWithoutCell)
                .Then("reports an unknown outcome for what was sent",
                      SentSubmissionHasUnknownOutcomeWithoutCell))
      .With(
          Section("after a long turn, a call")
              .Then("waits for a confirmation that is unread",
                    CallWaitsForUnreadConfirmation)
              .Then("that submits a job is sent",
                    SubmissionIsSentAfterLongTurns)
              .Then("ends at its deadline", CallEndsAtItsDeadlineAfterLongTurn)
              .Then("is sent again only once what came has been read",
                    CallIsNotSentAgainBeforeItsAnswerIsRead)
              .Then("leaves the link free of parts of a plan sent twice",
                    PlanPartsAreNotAskedForAgainWhileUnread))
      .With(Section("at the end of its process")
                .Then("fails a call that was sent with an unknown outcome",
                      CallThatWasSentHasUnknownOutcomeAtEnd)
                .Then("does not send a call", CallAfterEndIsNotSent));
  return story;
}

}  // namespace banyan
