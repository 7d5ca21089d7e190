#include "banyan/graph/cell_client.h"

#include <set>

#include "tests/unit/story.h"

namespace banyan {
namespace {

std::vector<std::string> Seeds() {
  return {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"};
}

// A client whose replicas answer as the test says.
class ClientWorld {
 public:
  ClientWorld() : client_(Seeds(), 0) { client_.Tick(now_); }

  // Connects to whichever replica the client wants.
  void Connect() { client_.OnUp(now_, client_.link().current()); }

  void Open(CellCall call, Span budget) {
    client_.Open(now_, 1, std::move(call), now_ + budget);
    Collect();
  }

  void Pass(Span span) {
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

  // Answers every request that is not answered yet.
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

  void set_auto_fresh(bool fresh) { auto_fresh_ = fresh; }
  void ForgetRequests() { requests_.clear(); }
  [[nodiscard]] CellClient& client() { return client_; }
  [[nodiscard]] const std::vector<CellAnswer>& answers() const {
    return answers_;
  }
  [[nodiscard]] std::size_t requests() const { return requests_.size(); }

 private:
  void Collect() {
    CellClientOutputs outputs = client_.TakeOutputs();
    for (const Message& message : outputs.to_control) {
      if (const auto* command = std::get_if<CommandRequest>(&message)) {
        requests_.push_back(command->seq);
      } else if (const auto* query = std::get_if<CellQuery>(&message)) {
        requests_.push_back(query->seq);
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
  std::vector<CellAnswer> answers_;
};

void LeavesAReplicaWithoutALeader() {
  ClientWorld world;
  world.Connect();
  const std::string first = world.client().link().current();
  world.set_auto_fresh(false);
  world.Pass(Millis(2000));
  CPPUNIT_ASSERT(world.client().link().current() != first);
}

void StaysWithACurrentReplica() {
  ClientWorld world;
  world.Connect();
  const std::string first = world.client().link().current();
  world.set_auto_fresh(true);
  world.Pass(Millis(5000));
  CPPUNIT_ASSERT_EQUAL(first, world.client().link().current());
}

void RefusalIsCertainWhenNothingWasTaken() {
  ClientWorld world;
  world.Connect();
  world.set_auto_fresh(true);
  world.Open(Command(CancelGraph{"g"}), Millis(200));
  world.ReplyAll(ErrorKind::kNotLeader);
  world.Pass(Millis(150));
  world.ReplyAll(ErrorKind::kNotLeader);
  world.Pass(Millis(50));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.answers().size());
  CPPUNIT_ASSERT(world.answers()[0].result.error == ErrorKind::kNoQuorum);
}

void OutcomeIsUnknownWhenASendWasNotAnswered() {
  ClientWorld world;
  world.Connect();
  world.set_auto_fresh(true);
  world.Open(Command(CancelGraph{"g"}), Millis(1200));
  world.ForgetRequests();
  world.Pass(Millis(1000));
  world.ReplyAll(ErrorKind::kNotLeader);
  world.Pass(Millis(300));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.answers().size());
  CPPUNIT_ASSERT(world.answers()[0].result.error == ErrorKind::kUnknownOutcome);
}

void CallIsRefusedSoonWithoutACell() {
  // The pattern of a core without power: callers would wait for nothing.
  ClientWorld world;
  world.Open(Command(CancelGraph{"g"}), Millis(3000));
  world.Pass(Millis(700));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.answers().size());
  CPPUNIT_ASSERT(world.answers()[0].result.error == ErrorKind::kNoQuorum);
}

void LateRefusalDoesNotOverruleAnEarlierSend() {
  ClientWorld world;
  world.Connect();
  world.set_auto_fresh(true);
  world.Pass(Millis(100));
  world.Open(Command(CancelGraph{"g"}), Millis(2500));
  world.ForgetRequests();
  world.Pass(Millis(1000));
  world.ReplyAll(ErrorKind::kOverloaded);
  CPPUNIT_ASSERT(world.answers().empty());
}

void AsksTheMembersThatItLearned() {
  ClientWorld world;
  world.Connect();
  world.client().Receive(Time{}, CellMembers{{"10.0.0.8:7", "10.0.0.9:7"}});
  world.set_auto_fresh(false);
  std::set<std::string> asked;
  for (int i = 0; i < 8; ++i) {
    world.Pass(Millis(900));
    asked.insert(world.client().link().current());
  }
  CPPUNIT_ASSERT(asked.contains("10.0.0.8:7"));
  CPPUNIT_ASSERT(asked.contains("10.0.0.9:7"));
}

}  // namespace

Section CellClientStory() {
  Section story("A client of the control cell");
  story
      .With(Section("its replica")
                .Then("is left when it hears no leader",
                      LeavesAReplicaWithoutALeader)
                .Then("is kept while it is current", StaysWithACurrentReplica)
                .Then("may be any member that was learned",
                      AsksTheMembersThatItLearned))
      .With(Section("a call")
                .Then("that nobody took is refused for certain",
                      RefusalIsCertainWhenNothingWasTaken)
                .Then("that was not answered has an unknown outcome",
                      OutcomeIsUnknownWhenASendWasNotAnswered)
                .Then("is refused soon while no cell is reachable",
                      CallIsRefusedSoonWithoutACell)
                .Then("is not refused while an earlier send may count",
                      LateRefusalDoesNotOverruleAnEarlierSend));
  return story;
}

}  // namespace banyan
