#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/consensus/raft_core.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr Duration kElectionTimeout = Millis(500);
constexpr Duration kHeartbeat = Millis(62);
constexpr Duration kCheckQuorum = kElectionTimeout * 2;
// Time between two turns of a loop that has nothing to do.
constexpr Duration kIdle = Millis(5);
// Time that a message takes, and a sync of the disk.
constexpr Duration kDelay = Millis(1);
constexpr Duration kSync = Millis(3);

// A turn of a loop: it reads what has arrived, handles it, calls Tick() and
// carries out what follows.
struct Turn {
  // Time from the handling of the input until Tick().
  Duration handling{0};
  // Time from Tick() until the outputs leave.
  Duration applying{0};
  // The number of inputs that are handled before the time `handling`, the
  // others after it; nullopt for all.
  std::optional<std::size_t> inputs_before = std::nullopt;
};

// The turns that take long, in each of their parts.
std::vector<Turn> LongTurns() {
  std::vector<Turn> turns;
  for (const int millis : {200, 1000, 3250, 5000}) {
    turns.push_back({.handling = Millis(millis)});
    turns.push_back({.applying = Millis(millis)});
  }
  return turns;
}

std::string ToText(const Turn& turn) {
  return "handling " + std::to_string(ToMillis(turn.handling)) +
         " ms, applying " + std::to_string(ToMillis(turn.applying)) + " ms";
}

// Collects what fails over several turns, so that a test names all of them.
class Findings {
 public:
  void Add(bool has_failed, std::string_view what) {
    if (has_failed) {
      text_ += "\n";
      text_ += what;
    }
  }
  void Add(bool has_failed, const Turn& turn) { Add(has_failed, ToText(turn)); }
  void AssertNone() const { CPPUNIT_ASSERT_MESSAGE(text_, text_.empty()); }

 private:
  std::string text_;
};

// The core of one voter of a cell, in a loop under virtual time. The other
// voters answer every request at once, other than while they are cut off.
class LoopingVoter {
 public:
  explicit LoopingVoter(int voters) {
    RaftOptions options;
    options.self = Member(0);
    options.timings.election_timeout = kElectionTimeout;
    options.timings.heartbeat_interval = kHeartbeat;
    options.timings.max_clock_drift = kElectionTimeout / 10;
    options.timings.catch_up = seconds(4);
    RestoredLog restored;
    restored.hard_state = {1, {}};
    restored.snapshot.last_index = 1;
    restored.snapshot.last_term = 1;
    for (int i = 0; i < voters; ++i) {
      options.configured_ids.push_back(Member(i).id);
      restored.snapshot.membership.voters.push_back(Member(i));
    }
    core_.emplace(options, restored, now_);
  }

  static MemberId Member(int i) {
    return {"c" + std::to_string(i), static_cast<std::uint64_t>(i) + 1};
  }

  // Runs one turn; the next one begins when it ends.
  void Take(const Turn& turn) {
    const Time heard_until = now_;
    std::vector<Input> batch;
    while (!inputs_.empty() && inputs_.front().at <= now_) {
      batch.push_back(std::move(inputs_.front()));
      inputs_.pop_front();
    }
    const std::size_t before =
        std::min(turn.inputs_before.value_or(batch.size()), batch.size());
    for (std::size_t i = 0; i < before; ++i) {
      HandleInput(batch[i]);
    }
    now_ += turn.handling;
    for (std::size_t i = before; i < batch.size(); ++i) {
      HandleInput(batch[i]);
    }
    core_->Tick(now_, heard_until);
    RaftOutputs out = core_->TakeOutputs(now_);
    now_ += turn.applying;
    CarryOut(std::move(out));
  }

  // Runs short turns.
  void Run(Duration span) {
    for (const Time end = now_ + span; now_ < end;) {
      now_ += kIdle;
      Take({});
    }
  }

  // Runs short turns until the condition holds.
  template <typename Condition>
  void RunUntil(Condition condition) {
    for (const Time end = now_ + seconds(10); !condition();) {
      CPPUNIT_ASSERT_MESSAGE("the cell doesn't get there", now_ < end);
      now_ += kIdle;
      Take({});
    }
  }

  // Runs short turns until this voter leads and holds its lease.
  void Lead() {
    RunUntil([this] { return core_->HoldsLease(now_); });
    Run(seconds(1));
  }

  // Lets time pass while the loop waits.
  void Wait(Duration span) { now_ += span; }

  // Runs short turns until a heartbeat round has just left.
  void RunUntilAsked() {
    const Time from = now_;
    RunUntil([&] { return asked_at_ > from; });
  }

  // Adds a message to what waits for the loop.
  void Arrive(Time at, const MemberId& from, Message message) {
    AddInput({at, from, std::move(message), 0});
  }

  // Sets how long the answers of another voter take.
  void Delay(int voter, Duration delay) { delays_[Member(voter)] = delay; }

  // From now on the others' answers to requests that leave are lost.
  void CutOff() { cut_at_ = now_; }
  // From now on no message is handled, neither those that wait.
  void HoldMessages() { holds_messages_ = true; }

  RaftCore& core() { return *core_; }
  [[nodiscard]] bool leads() const {
    return core_->role() == RaftRole::kLeader;
  }
  [[nodiscard]] Time now() const { return now_; }
  // When this voter last handled a message of another one.
  [[nodiscard]] Time heard_at() const { return heard_at_; }
  // When the first request left after the cut.
  [[nodiscard]] std::optional<Time> unanswered_at() const {
    return unanswered_at_;
  }
  // Whether all that was asked has been answered and handled.
  [[nodiscard]] bool is_at_rest() const { return inputs_.empty(); }
  [[nodiscard]] std::size_t CountEvents(EventId id) const {
    return static_cast<std::size_t>(
        std::count_if(events_.begin(), events_.end(),
                      [&](const Event& event) { return event.id() == id; }));
  }
  // The number of requests for a vote or a pre-vote that have left.
  [[nodiscard]] std::size_t vote_requests() const { return vote_requests_; }
  [[nodiscard]] bool HasRemovedVoter() const {
    return std::any_of(events_.begin(), events_.end(), [](const Event& event) {
      return event.id() == EventId::kMemberChanged &&
             event.Field("change") == "removed";
    });
  }
  [[nodiscard]] std::size_t voters() const { return core_->voter_count(); }

 private:
  struct Input {
    Time at;
    MemberId from;
    Message message;
    // A batch that is on disk; 0 for a message.
    std::uint64_t persisted = 0;
  };

  void AddInput(Input input) {
    const auto place = std::upper_bound(
        inputs_.begin(), inputs_.end(), input.at,
        [](Time at, const Input& waiting) { return at < waiting.at; });
    inputs_.insert(place, std::move(input));
  }

  void HandleInput(const Input& input) {
    if (input.persisted != 0) {
      core_->OnPersisted(now_, input.persisted);
    } else if (!holds_messages_) {
      heard_at_ = now_;
      core_->Receive(now_, {input.from.id, input.from.incarnation},
                     input.message);
    }
  }

  void CarryOut(RaftOutputs out) {
    std::move(out.events.begin(), out.events.end(),
              std::back_inserter(events_));
    for (const PersistBatch& batch : out.persists) {
      AddInput({now_ + kSync, {}, {}, batch.seq});
    }
    for (const Outbound& outbound : out.messages) {
      if (std::holds_alternative<VoteRequest>(outbound.message)) {
        ++vote_requests_;
      } else if (std::holds_alternative<AppendRequest>(outbound.message)) {
        asked_at_ = now_;
        if (cut_at_ && !unanswered_at_) {
          unanswered_at_ = now_;
        }
      }
      if (!cut_at_) {
        Answer(Member(outbound.to[1] - '0'), outbound.message);
      }
    }
  }

  void Answer(const MemberId& peer, const Message& message) {
    const auto slower = delays_.find(peer);
    const Time at = now_ + (slower == delays_.end() ? kDelay : slower->second);
    if (const auto* append = std::get_if<AppendRequest>(&message)) {
      Arrive(at, peer,
             AppendReply{append->term, true,
                         append->prev_index + append->entries.size(),
                         append->prev_index, append->round, false});
    } else if (const auto* vote = std::get_if<VoteRequest>(&message)) {
      Arrive(at, peer, VoteReply{vote->term, vote->pre_vote, true});
    }
  }

  Time now_ = kStart;
  std::optional<RaftCore> core_;
  std::deque<Input> inputs_;
  std::map<MemberId, Duration> delays_;
  Events events_;
  std::size_t vote_requests_ = 0;
  Time heard_at_;
  Time asked_at_;
  std::optional<Time> cut_at_;
  std::optional<Time> unanswered_at_;
  bool holds_messages_ = false;
};

// Whether a leader that takes these turns, one right after the other, still
// leads with its lease three seconds later.
bool StaysLeader(LoopingVoter& leader, const std::vector<Turn>& turns) {
  const std::uint64_t term = leader.core().term();
  for (const Turn& turn : turns) {
    leader.Take(turn);
  }
  leader.Take({});
  leader.Run(seconds(3));
  return leader.leads() && leader.core().term() == term &&
         leader.CountEvents(EventId::kLeaderStepped) == 0 &&
         leader.core().HoldsLease(leader.now());
}

// Guards against a leader that takes its own turn for the others' silence.
void LeaderWithRepliesWaiting() {
  Findings findings;
  for (const Turn& turn : LongTurns()) {
    LoopingVoter leader(3);
    leader.Lead();
    leader.RunUntilAsked();
    CPPUNIT_ASSERT(!leader.is_at_rest());
    findings.Add(!StaysLeader(leader, {turn}), turn);
  }
  findings.AssertNone();
}

// Guards against silence that begins though nobody was asked.
void LeaderThatAskedNothing() {
  Findings findings;
  for (const Turn& turn : LongTurns()) {
    LoopingVoter leader(3);
    leader.Lead();
    leader.RunUntilAsked();
    leader.RunUntil([&] { return leader.is_at_rest(); });
    findings.Add(!StaysLeader(leader, {turn}), turn);
  }
  findings.AssertNone();
}

// Guards against a request that counts as unanswered before it has left.
void LeaderWhoseRequestsLeaveLate() {
  Findings findings;
  for (const Turn& turn : LongTurns()) {
    LoopingVoter leader(3);
    leader.Lead();
    leader.RunUntilAsked();
    leader.RunUntil([&] { return leader.is_at_rest(); });
    // The heartbeat that is due now leaves when the turn ends.
    leader.Wait(kHeartbeat);
    findings.Add(!StaysLeader(leader, {turn}), turn);
  }
  findings.AssertNone();
}

// Guards against a request that left at the end of the first turn and counts
// from its beginning in the second, in which no reply can have been read.
void LeaderInTwoLongTurns() {
  Findings findings;
  for (const Turn& first : LongTurns()) {
    for (const Turn& second : LongTurns()) {
      LoopingVoter leader(3);
      leader.Lead();
      leader.RunUntilAsked();
      leader.RunUntil([&] { return leader.is_at_rest(); });
      leader.Wait(kHeartbeat);
      findings.Add(!StaysLeader(leader, {first, second}),
                   ToText(first) + "; " + ToText(second));
    }
  }
  findings.AssertNone();
}

// Guards against a leader that steps down in its first turn.
void LeaderInItsFirstTurn() {
  Findings findings;
  for (const Turn& turn : LongTurns()) {
    LoopingVoter leader(3);
    leader.RunUntil(
        [&] { return leader.core().role() == RaftRole::kCandidate; });
    // The votes and the sync of the own one are read by the long turn.
    leader.Wait(kSync + kDelay);
    findings.Add(!StaysLeader(leader, {turn}), turn);
  }
  findings.AssertNone();
}

// A heartbeat of the leader c1.
AppendRequest HeartbeatFromLeader() {
  AppendRequest request;
  request.target = LoopingVoter::Member(0).incarnation;
  request.term = 1;
  request.prev_index = 1;
  request.prev_term = 1;
  return request;
}

// Guards against a follower that takes its own turn for the leader's silence.
void FollowerWithHeartbeatsWaiting() {
  Findings findings;
  for (const Turn& turn : LongTurns()) {
    LoopingVoter follower(3);
    for (Time at = kStart; at < kStart + seconds(12); at += kHeartbeat) {
      follower.Arrive(at, LoopingVoter::Member(1), HeartbeatFromLeader());
    }
    follower.Run(seconds(1));
    follower.Take(turn);
    follower.Take(turn);
    follower.Take({});
    follower.Run(Millis(200));
    findings.Add(follower.vote_requests() != 0 ||
                     follower.core().leader() != LoopingVoter::Member(1).id,
                 turn);
  }
  findings.AssertNone();
}

// Guards against a leader that is cut off and stays for longer than its
// followers wait.
void CutOffLeaderWithShortTurns() {
  LoopingVoter leader(3);
  leader.Lead();
  leader.CutOff();
  leader.Run(kHeartbeat);
  const Time last_reply = leader.heard_at();
  while (leader.now() < last_reply + kCheckQuorum - kHeartbeat) {
    leader.Run(kIdle);
    CPPUNIT_ASSERT_MESSAGE("steps down early", leader.leads());
  }
  // The end of the bound, and one turn that looks up after it.
  leader.Run(last_reply + kCheckQuorum + kHeartbeat + kIdle - leader.now());
  CPPUNIT_ASSERT_MESSAGE("stays", !leader.leads());
}

// Guards against turns that put the end of a leader without followers off.
void CutOffLeaderWithLongTurns() {
  Findings findings;
  for (const Turn& turn : LongTurns()) {
    LoopingVoter leader(3);
    leader.Lead();
    leader.CutOff();
    bool is_late = false;
    for (int i = 0; i < 50 && leader.leads() && !is_late; ++i) {
      const auto asked = leader.unanswered_at();
      const Time looks_up = leader.now();
      leader.Take(turn);
      is_late = asked && leader.leads() &&
                looks_up >= *asked + kCheckQuorum + kHeartbeat;
    }
    findings.Add(is_late || leader.leads(), turn);
  }
  findings.AssertNone();
}

// Guards against a lease that lasts as long as the loop doesn't read.
void LeaseEndsOnTheClock() {
  for (const Turn& turn : LongTurns()) {
    for (int offset = 0; offset < 14; ++offset) {
      LoopingVoter leader(3);
      leader.Lead();
      leader.Run(kIdle * offset);
      leader.HoldMessages();
      const Time last = leader.now() + kElectionTimeout;
      const auto assert_no_lease = [&](Time at) {
        if (at >= last) {
          CPPUNIT_ASSERT_MESSAGE(ToText(turn), !leader.core().HoldsLease(at));
          CPPUNIT_ASSERT_MESSAGE(ToText(turn),
                                 !leader.leads() || !leader.core().IsFresh(at));
        }
      };
      for (int i = 0; i < 4; ++i) {
        // The core doesn't change while the turn goes on.
        for (Duration in_turn{0}; in_turn <= turn.handling + turn.applying;
             in_turn += Millis(10)) {
          assert_no_lease(leader.now() + in_turn);
        }
        leader.Take(turn);
        assert_no_lease(leader.now());
      }
    }
  }
}

// When a follower that heard a leader for the last time at kStart grants a vote
// or a pre-vote that is asked for every 5 ms. `lag` is for how long it hasn't
// read at each Tick().
std::optional<Time> GrantsAt(Duration lag, bool pre_vote, bool hears_leader) {
  RaftOptions options;
  options.self = LoopingVoter::Member(0);
  options.timings.election_timeout = kElectionTimeout;
  options.timings.heartbeat_interval = kHeartbeat;
  RestoredLog restored;
  restored.hard_state = {1, {}};
  restored.snapshot.last_index = 1;
  restored.snapshot.last_term = 1;
  for (int i = 0; i < 3; ++i) {
    options.configured_ids.push_back(LoopingVoter::Member(i).id);
    restored.snapshot.membership.voters.push_back(LoopingVoter::Member(i));
  }
  const Time started = hears_leader ? kStart - seconds(1) : kStart;
  RaftCore core(options, restored, started);
  if (hears_leader) {
    core.Receive(kStart, {"c1", 2}, HeartbeatFromLeader());
  }
  VoteRequest request;
  request.target = options.self.incarnation;
  request.term = 2;
  request.pre_vote = pre_vote;
  request.last_index = 1;
  request.last_term = 1;
  for (Time now = kStart; now < kStart + seconds(2); now += kIdle) {
    core.Receive(now, {"c2", 3}, request);
    core.Tick(now, now - lag);
    RaftOutputs out = core.TakeOutputs(now);
    for (const PersistBatch& batch : out.persists) {
      core.OnPersisted(now, batch.seq);
    }
    RaftOutputs then = core.TakeOutputs(now);
    std::move(then.messages.begin(), then.messages.end(),
              std::back_inserter(out.messages));
    for (const Outbound& outbound : out.messages) {
      const auto* reply = std::get_if<VoteReply>(&outbound.message);
      if (reply != nullptr && reply->granted) {
        return now;
      }
    }
  }
  return std::nullopt;
}

// Guards against a vote within the lease of a leader.
void VoteWaitsOnTheClock() {
  for (const bool pre_vote : {true, false}) {
    for (const bool hears_leader : {true, false}) {
      const auto without = GrantsAt(Duration(0), pre_vote, hears_leader);
      CPPUNIT_ASSERT(without && *without >= kStart + kElectionTimeout);
      for (const int lag : {5, 200, 1000, 3250, 5000}) {
        const auto granted = GrantsAt(Millis(lag), pre_vote, hears_leader);
        CPPUNIT_ASSERT(!granted || *granted >= *without);
      }
    }
  }
}

// A turn in which the replies of two of four voters are handled before the long
// part, those of the others after it.
Turn SplitTurn(Duration span) {
  return {.handling = span, .inputs_before = 2};
}

// Guards against voters that are voted out or logged though their replies were
// read before those of others.
void AnsweringVotersStay() {
  for (const int millis : {200, 1000, 3250, 5000}) {
    LoopingVoter leader(5);
    leader.Lead();
    leader.RunUntilAsked();
    leader.Wait(kDelay);
    leader.Take(SplitTurn(Millis(millis)));
    leader.Take({});
    leader.Run(seconds(3));
    const std::string text = ToText(SplitTurn(Millis(millis)));
    CPPUNIT_ASSERT_MESSAGE(text, leader.leads());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0},
                                 leader.CountEvents(EventId::kMemberChanged));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{5}, leader.voters());
  }
}

// Guards against alarms about voters that answer.
void AnsweringVotersAreNotLogged() {
  Findings findings;
  for (const int millis : {200, 1000, 3250, 5000}) {
    for (const Turn& turn :
         {SplitTurn(Millis(millis)), Turn{.handling = Millis(millis)},
          Turn{.applying = Millis(millis)}}) {
      LoopingVoter leader(5);
      leader.Lead();
      leader.RunUntilAsked();
      leader.Wait(kDelay);
      leader.Take(turn);
      leader.Take({});
      leader.Run(seconds(3));
      findings.Add(leader.CountEvents(EventId::kVoterSilent) != 0, turn);
    }
  }
  findings.AssertNone();
}

// Guards against a change of the membership in the midst of the input, while
// replies wait that were read with it.
void ChangeBeforeRepliesAreRead() {
  Findings findings;
  for (const Turn& turn : LongTurns()) {
    LoopingVoter leader(5);
    leader.Lead();
    leader.Delay(3, kDelay * 2);
    leader.Delay(4, kDelay * 2);
    leader.RunUntilAsked();
    // Between the replies of two voters and those of the others.
    leader.Arrive(leader.now() + kDelay * 3 / 2, LoopingVoter::Member(7),
                  JoinRequest{});
    leader.Take(turn);
    leader.Take({});
    leader.Run(Millis(200));
    findings.Add(leader.HasRemovedVoter() || !leader.leads(), turn);
  }
  findings.AssertNone();
}

}  // namespace

Section LongTurnStory() {
  Section section("Long turns of a replica's loop");
  section
      .With(
          Section("of a leader whose followers answer")
              .Then("a leader with replies that wait still leads after a long "
                    "turn",
                    LeaderWithRepliesWaiting)
              .Then("a leader that had asked nothing still leads after a long "
                    "turn",
                    LeaderThatAskedNothing)
              .Then("a leader whose requests leave at the end of a long turn "
                    "still leads",
                    LeaderWhoseRequestsLeaveLate)
              .Then("a leader still leads after two long turns, one right "
                    "after the other",
                    LeaderInTwoLongTurns)
              .Then("a leader still leads after its first turn was long",
                    LeaderInItsFirstTurn))
      .With(Section("of a follower whose leader is heard")
                .Then("a follower with heartbeats that wait starts no election "
                      "after a long turn",
                      FollowerWithHeartbeatsWaiting))
      .With(Section("of a leader that is cut off")
                .Then("a leader that is cut off steps down in time",
                      CutOffLeaderWithShortTurns)
                .Then("long turns don't put the end of a leader off that is "
                      "cut off",
                      CutOffLeaderWithLongTurns))
      .With(Section("and what a replica may do")
                .Then("a lease ends on the clock, whatever has been read",
                      LeaseEndsOnTheClock)
                .Then("a vote waits on the clock, whatever has been read",
                      VoteWaitsOnTheClock))
      .With(Section("and the membership")
                .Then("voters that answer stay voters after a long turn",
                      AnsweringVotersStay)
                .Then("voters that answer aren't logged as silent after a long "
                      "turn",
                      AnsweringVotersAreNotLogged)
                .Then("voters whose replies were read behind a join request "
                      "stay voters",
                      ChangeBeforeRepliesAreRead));
  return section;
}

}  // namespace banyan
