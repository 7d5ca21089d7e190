#include "banyan/control/control_state.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr WallMillis kStart = 1000000;

Applied Do(ControlState& state,
           Command command,
           std::string id = "",
           WallMillis at = kStart) {
  return state.Apply({std::move(id), at, std::move(command)});
}

InstanceInfo Worker(const std::string& id, std::uint64_t incarnation) {
  InstanceInfo info;
  info.id = id;
  info.incarnation = incarnation;
  info.role = InstanceRole::kWorker;
  info.data_centre = "dc-a";
  info.capacity = {4000, 4096, 1};
  return info;
}

SubmitJob Submission(const std::string& key, std::int64_t cpu = 1000) {
  SubmitJob submit;
  submit.key = key;
  submit.spec.team = "minutes";
  submit.spec.kind = "packet";
  submit.spec.needs = {cpu, 512, 0};
  return submit;
}

// A state with one worker and one job.
ControlState Started() {
  ControlState state;
  Do(state, RegisterInstance{Worker("w1", 1), {}});
  Do(state, Submission("j"));
  return state;
}

void EqualVersionsNameTheWinner() {
  ControlState state;
  const std::uint64_t version = state.config().version;
  CPPUNIT_ASSERT(
      Do(state, SetDataCentre{"dc-b", true, version}, "a").result.ok);
  const Applied loser = Do(state, SetDataCentre{"dc-c", true, version}, "b");
  CPPUNIT_ASSERT(!loser.result.ok);
  CPPUNIT_ASSERT(loser.result.error == ErrorKind::kConflict);
  CPPUNIT_ASSERT(loser.result.text.find("'a'") != std::string::npos);
  CPPUNIT_ASSERT(!state.IsOut("dc-c"));
}

void ResentCommandHasItsFirstAnswer() {
  ControlState state;
  const SetDataCentre out{"dc-b", true, state.config().version};
  const Applied first = Do(state, out, "a");
  Do(state, SetDataCentre{"dc-b", false, state.config().version}, "b");
  const Applied again = Do(state, out, "a");
  CPPUNIT_ASSERT(again.result.ok);
  CPPUNIT_ASSERT_EQUAL(first.result.version, again.result.version);
  CPPUNIT_ASSERT(!state.IsOut("dc-b"));
}

void RefusesKnobOutOfRange() {
  ControlState state;
  Preset preset;
  preset.hedge_budget_percent = 90;
  const Applied applied =
      Do(state, CreatePreset{"peak", preset, state.config().version});
  CPPUNIT_ASSERT(!applied.result.ok);
  CPPUNIT_ASSERT(applied.result.text.find("0 to 50") != std::string::npos);
}

void NeverCommitsBeyondCapacity() {
  ControlState state = Started();
  for (int i = 0; i < 6; ++i) {
    const std::string key = "k" + std::to_string(i);
    Do(state, Submission(key));
    Do(state, PlaceTask{{key, 1}, "w1", 1});
  }
  const Instance* worker = state.FindInstance("w1");
  CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, worker->committed.cpu_millis);
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, worker->jobs.size());
}

void PlacesNothingWhereItIsOut() {
  ControlState state = Started();
  Do(state, SetDataCentre{"dc-a", true, state.config().version});
  const Applied applied = Do(state, PlaceTask{{"j", 1}, "w1", 1});
  CPPUNIT_ASSERT(applied.result.error == ErrorKind::kDataCentreOut);
}

void PlacesEachAttemptOnce() {
  ControlState state = Started();
  CPPUNIT_ASSERT(Do(state, PlaceTask{{"j", 1}, "w1", 1}).result.ok);
  CPPUNIT_ASSERT(!Do(state, PlaceTask{{"j", 1}, "w1", 1}).result.ok);
  CPPUNIT_ASSERT(!Do(state, PlaceTask{{"j", 2}, "w1", 1}).result.ok);
}

void DoubledEvictionResumesOnce() {
  ControlState state = Started();
  Do(state, PlaceTask{{"j", 1}, "w1", 1});
  const EndTask evicted{{"j", 1}, TaskEnd::kEvicted, "cp-1", "test"};
  Do(state, evicted);
  Do(state, PlaceTask{{"j", 2}, "w1", 1});
  Do(state, evicted);
  const Job* job = state.FindJob("j");
  CPPUNIT_ASSERT(job->state == JobState::kPlaced);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, job->attempt);
  CPPUNIT_ASSERT_EQUAL(std::string("cp-1"), job->checkpoint);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, job->evictions);
}

void OldResultIsRefused() {
  ControlState state = Started();
  Do(state, PlaceTask{{"j", 1}, "w1", 1});
  Do(state, RemoveInstance{"w1", 1, "lease expired"});
  Do(state, RegisterInstance{Worker("w2", 9), {}});
  Do(state, PlaceTask{{"j", 2}, "w2", 9});
  Do(state, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kPlaced);
}

void LateFinishBeforeNextPlacementCounts() {
  ControlState state = Started();
  Do(state, PlaceTask{{"j", 1}, "w1", 1});
  Do(state, RemoveInstance{"w1", 1, "lease expired"});
  Do(state, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kFinished);
  CPPUNIT_ASSERT(state.queues().empty());
}

void RebornAgentKeepsWhatItReports() {
  ControlState state = Started();
  Do(state, Submission("other"));
  Do(state, PlaceTask{{"j", 1}, "w1", 1});
  Do(state, PlaceTask{{"other", 1}, "w1", 1});
  Do(state, RegisterInstance{Worker("w1", 2), {{"j", 1}}});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kPlaced);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                       state.FindJob("j")->worker_incarnation);
  CPPUNIT_ASSERT(state.FindJob("other")->state == JobState::kQueued);
}

void CancelsAtEveryState() {
  ControlState state = Started();
  Do(state, Submission("queued"));
  Do(state, CancelJob{"queued"});
  CPPUNIT_ASSERT(state.FindJob("queued")->state == JobState::kCancelled);
  Do(state, PlaceTask{{"j", 1}, "w1", 1});
  const Applied stop = Do(state, CancelJob{"j"});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stop.stop.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                       state.FindInstance("w1")->committed.cpu_millis);
  Do(state, EndTask{{"j", 1}, TaskEnd::kEvicted, "", "cancelled"});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kCancelled);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                       state.FindInstance("w1")->committed.cpu_millis);
}

void RefusesWhatCanNeverRun() {
  ControlState state = Started();
  const Applied applied = Do(state, Submission("huge", 5000));
  CPPUNIT_ASSERT(applied.result.error == ErrorKind::kNeverRunnable);
}

void BadJobEndsAsFailed() {
  ControlState state = Started();
  Do(state, RegisterInstance{Worker("w2", 1), {}});
  Do(state, RegisterInstance{Worker("w3", 1), {}});
  for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
    const std::string worker = "w" + std::to_string(attempt);
    Do(state, PlaceTask{{"j", attempt}, worker, 1});
    Do(state, EndTask{{"j", attempt}, TaskEnd::kFailed, "", "bad payload"});
  }
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kFailed);
}

void QuotaBoundsATeam() {
  ControlState state = Started();
  Do(state, SetTeam{"minutes", {1500, 4096, 0}, state.config().version});
  Do(state, Submission("second"));
  CPPUNIT_ASSERT(Do(state, PlaceTask{{"j", 1}, "w1", 1}).result.ok);
  CPPUNIT_ASSERT(!Do(state, PlaceTask{{"second", 1}, "w1", 1}).result.ok);
}

OpenClaim ClaimBy(const std::string& agent, std::uint64_t expected = 0) {
  return {"booking/k", 11, agent, 1, expected, kStart + 1000};
}

void FirstClaimWins() {
  ControlState state;
  CPPUNIT_ASSERT(Do(state, ClaimBy("a")).result.claim.granted);
  const Applied second = Do(state, ClaimBy("b"));
  CPPUNIT_ASSERT(!second.result.claim.granted);
  CPPUNIT_ASSERT_EQUAL(std::string("a"), second.result.claim.agent);
  const Applied replaced = Do(state, ClaimBy("b", 1));
  CPPUNIT_ASSERT(replaced.result.claim.granted);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, replaced.result.claim.attempt);
  CPPUNIT_ASSERT(!Do(state, ClaimBy("c", 1)).result.claim.granted);
}

void FinishedClaimGivesItsAnswer() {
  ControlState state;
  Do(state, ClaimBy("a"));
  Do(state, EndClaim{"booking/k", 1, ClaimEnd::kFinished, 201, "t", "body"});
  Do(state, EndClaim{"booking/k", 1, ClaimEnd::kUnknown, 0, "", ""});
  const Applied again = Do(state, ClaimBy("b"));
  CPPUNIT_ASSERT(again.result.claim.state == ClaimState::kFinished);
  CPPUNIT_ASSERT_EQUAL(std::string("body"), again.result.claim.body);
}

void KeyIsNotReusedForAnotherRequest() {
  ControlState state;
  Do(state, ClaimBy("a"));
  OpenClaim other = ClaimBy("a");
  other.digest = 12;
  CPPUNIT_ASSERT(Do(state, other).result.error == ErrorKind::kConflict);
}

void ExpiredClaimsAreForgotten() {
  ControlState state;
  Do(state, ClaimBy("a"));
  Do(state, NoOp{}, "", kStart + 5000);
  CPPUNIT_ASSERT(state.claims().empty());
}

void SnapshotIsTheState() {
  ControlState state = Started();
  Do(state, PlaceTask{{"j", 1}, "w1", 1});
  Do(state, ClaimBy("a"));
  Do(state, SetTeam{"minutes", {9000, 9000, 0}, state.config().version}, "c");
  Reason reason;
  auto copy = ControlState::Decode(state.Encode(), reason);
  CPPUNIT_ASSERT_MESSAGE(reason.text, copy.has_value());
  CPPUNIT_ASSERT(copy->Encode() == state.Encode());
  CPPUNIT_ASSERT(copy->FindInstance("w1")->committed ==
                 state.FindInstance("w1")->committed);
  Do(state, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  Do(*copy, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT(copy->Encode() == state.Encode());
}

}  // namespace

Section ControlStateStory() {
  Section story("The replicated state");
  story
      .With(Section("operators")
                .Then("racing with equal versions learn the winner",
                      EqualVersionsNameTheWinner)
                .Then("resending a command get the first answer",
                      ResentCommandHasItsFirstAnswer)
                .Then("can't set a knob out of range", RefusesKnobOutOfRange))
      .With(Section("jobs")
                .Then("never commit a worker beyond its capacity",
                      NeverCommitsBeyondCapacity)
                .Then("are not placed where a data centre is out",
                      PlacesNothingWhereItIsOut)
                .Then("are placed once an attempt", PlacesEachAttemptOnce)
                .Then("resume once from a doubled eviction",
                      DoubledEvictionResumesOnce)
                .Then("refuse the result of an old attempt", OldResultIsRefused)
                .Then("take a late finish that nothing replaced",
                      LateFinishBeforeNextPlacementCounts)
                .Then("stay with a reborn agent that reports them",
                      RebornAgentKeepsWhatItReports)
                .Then("are cancelled at every state", CancelsAtEveryState)
                .Then("that can never run are refused", RefusesWhatCanNeverRun)
                .Then("that fail on three workers end as failed",
                      BadJobEndsAsFailed)
                .Then("keep to their team's quota", QuotaBoundsATeam))
      .With(Section("claims")
                .Then("are won by the first", FirstClaimWins)
                .Then("that finished give their answer again",
                      FinishedClaimGivesItsAnswer)
                .Then("hold their key for one request",
                      KeyIsNotReusedForAnotherRequest)
                .Then("are forgotten after their expiry",
                      ExpiredClaimsAreForgotten))
      .With(Section("a snapshot")
                .Then("gives back the same state", SnapshotIsTheState));
  return story;
}

}  // namespace banyan
