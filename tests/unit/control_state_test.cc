#include "banyan/control/control_state.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr WallMillis kStart = 1000000;

Applied ApplyCommand(ControlState& state,
                     Command command,
                     std::string id = "",
                     WallMillis at = kStart) {
  return state.Apply({std::move(id), at, std::move(command)});
}

InstanceInfo MakeWorker(const std::string& id, std::uint64_t incarnation) {
  InstanceInfo info;
  info.id = id;
  info.incarnation = incarnation;
  info.role = InstanceRole::kWorker;
  info.data_centre = "dc-a";
  info.capacity = {4000, 4096, 1};
  return info;
}

SubmitJob MakeSubmitJob(const std::string& key, std::int64_t cpu = 1000) {
  SubmitJob submit;
  submit.key = key;
  submit.spec.team = "minutes";
  submit.spec.kind = "packet";
  submit.spec.needs = {cpu, 512, 0};
  return submit;
}

// Returns a state with one worker and one queued job.
ControlState MakeStateWithQueuedJob() {
  ControlState state;
  ApplyCommand(state, RegisterInstance{MakeWorker("w1", 1), {}});
  ApplyCommand(state, MakeSubmitJob("j"));
  return state;
}

void VersionConflictNamesWinningCommand() {
  ControlState state;
  const std::uint64_t version = state.config().version;
  CPPUNIT_ASSERT(
      ApplyCommand(state, SetDataCentre{"dc-b", true, version}, "a").result.ok);
  const Applied rejected =
      ApplyCommand(state, SetDataCentre{"dc-c", true, version}, "b");
  CPPUNIT_ASSERT(!rejected.result.ok);
  CPPUNIT_ASSERT(rejected.result.error == ErrorKind::kConflict);
  CPPUNIT_ASSERT(rejected.result.text.find("'a'") != std::string::npos);
  CPPUNIT_ASSERT(!state.IsOutOfService("dc-c"));
}

void ResentCommandReturnsFirstResult() {
  ControlState state;
  const SetDataCentre out{"dc-b", true, state.config().version};
  const Applied first = ApplyCommand(state, out, "a");
  ApplyCommand(state, SetDataCentre{"dc-b", false, state.config().version},
               "b");
  const Applied repeated = ApplyCommand(state, out, "a");
  CPPUNIT_ASSERT(repeated.result.ok);
  CPPUNIT_ASSERT_EQUAL(first.result.version, repeated.result.version);
  CPPUNIT_ASSERT(!state.IsOutOfService("dc-b"));
}

void RejectsPresetValueOutOfRange() {
  ControlState state;
  Preset preset;
  preset.hedge_budget_percent = 90;
  const Applied applied =
      ApplyCommand(state, CreatePreset{"peak", preset, state.config().version});
  CPPUNIT_ASSERT(!applied.result.ok);
  CPPUNIT_ASSERT(applied.result.text.find("0 to 50") != std::string::npos);
}

void NeverCommitsBeyondCapacity() {
  ControlState state = MakeStateWithQueuedJob();
  for (int i = 0; i < 6; ++i) {
    const std::string key = "k" + std::to_string(i);
    ApplyCommand(state, MakeSubmitJob(key));
    ApplyCommand(state, PlaceTask{{key, 1}, "w1", 1});
  }
  const Instance* worker = state.FindInstance("w1");
  CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, worker->committed.cpu_millis);
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, worker->jobs.size());
}

void RejectsPlacementInOutOfServiceDataCentre() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, SetDataCentre{"dc-a", true, state.config().version});
  const Applied applied = ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1});
  CPPUNIT_ASSERT(applied.result.error == ErrorKind::kDataCentreOut);
}

void PlacesEachAttemptOnce() {
  ControlState state = MakeStateWithQueuedJob();
  CPPUNIT_ASSERT(ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1}).result.ok);
  CPPUNIT_ASSERT(!ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1}).result.ok);
  CPPUNIT_ASSERT(!ApplyCommand(state, PlaceTask{{"j", 2}, "w1", 1}).result.ok);
}

void DuplicateEvictionRequeuesOnce() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1});
  const EndTask evicted{{"j", 1}, TaskEnd::kEvicted, "cp-1", "test"};
  ApplyCommand(state, evicted);
  ApplyCommand(state, PlaceTask{{"j", 2}, "w1", 1});
  ApplyCommand(state, evicted);
  const Job* job = state.FindJob("j");
  CPPUNIT_ASSERT(job->state == JobState::kPlaced);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, job->attempt);
  CPPUNIT_ASSERT_EQUAL(std::string("cp-1"), job->checkpoint);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, job->evictions);
}

void StaleAttemptResultIsIgnored() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1});
  ApplyCommand(state, RemoveInstance{"w1", 1, "lease expired"});
  ApplyCommand(state, RegisterInstance{MakeWorker("w2", 9), {}});
  ApplyCommand(state, PlaceTask{{"j", 2}, "w2", 9});
  ApplyCommand(state, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kPlaced);
}

void LateFinishBeforeNextPlacementIsAccepted() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1});
  ApplyCommand(state, RemoveInstance{"w1", 1, "lease expired"});
  ApplyCommand(state, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kFinished);
  CPPUNIT_ASSERT(state.queues().empty());
}

void RestartedAgentKeepsReportedTasks() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, MakeSubmitJob("other"));
  ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1});
  ApplyCommand(state, PlaceTask{{"other", 1}, "w1", 1});
  ApplyCommand(state, RegisterInstance{MakeWorker("w1", 2), {{"j", 1}}});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kPlaced);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                       state.FindJob("j")->worker_incarnation);
  CPPUNIT_ASSERT(state.FindJob("other")->state == JobState::kQueued);
}

void CancelsQueuedAndPlacedJobs() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, MakeSubmitJob("queued"));
  ApplyCommand(state, CancelJob{"queued"});
  CPPUNIT_ASSERT(state.FindJob("queued")->state == JobState::kCancelled);
  ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1});
  const Applied stop = ApplyCommand(state, CancelJob{"j"});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stop.tasks_to_stop.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                       state.FindInstance("w1")->committed.cpu_millis);
  ApplyCommand(state, EndTask{{"j", 1}, TaskEnd::kEvicted, "", "cancelled"});
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kCancelled);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                       state.FindInstance("w1")->committed.cpu_millis);
}

void RejectsJobLargerThanAnyWorker() {
  ControlState state = MakeStateWithQueuedJob();
  const Applied applied = ApplyCommand(state, MakeSubmitJob("huge", 5000));
  CPPUNIT_ASSERT(applied.result.error == ErrorKind::kNeverRunnable);
}

void JobFailsAfterThreeWorkers() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, RegisterInstance{MakeWorker("w2", 1), {}});
  ApplyCommand(state, RegisterInstance{MakeWorker("w3", 1), {}});
  for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
    const std::string worker = "w" + std::to_string(attempt);
    ApplyCommand(state, PlaceTask{{"j", attempt}, worker, 1});
    ApplyCommand(state,
                 EndTask{{"j", attempt}, TaskEnd::kFailed, "", "bad payload"});
  }
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kFailed);
}

void TeamQuotaLimitsPlacement() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state,
               SetTeam{"minutes", {1500, 4096, 0}, state.config().version});
  ApplyCommand(state, MakeSubmitJob("second"));
  CPPUNIT_ASSERT(ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1}).result.ok);
  CPPUNIT_ASSERT(
      !ApplyCommand(state, PlaceTask{{"second", 1}, "w1", 1}).result.ok);
}

OpenClaim MakeOpenClaim(const std::string& agent, std::uint64_t expected = 0) {
  return {"booking/k", 11, agent, 1, expected, kStart + 1000};
}

void FirstClaimWins() {
  ControlState state;
  CPPUNIT_ASSERT(ApplyCommand(state, MakeOpenClaim("a")).result.claim.granted);
  const Applied second = ApplyCommand(state, MakeOpenClaim("b"));
  CPPUNIT_ASSERT(!second.result.claim.granted);
  CPPUNIT_ASSERT_EQUAL(std::string("a"), second.result.claim.agent);
  const Applied replaced = ApplyCommand(state, MakeOpenClaim("b", 1));
  CPPUNIT_ASSERT(replaced.result.claim.granted);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, replaced.result.claim.attempt);
  CPPUNIT_ASSERT(
      !ApplyCommand(state, MakeOpenClaim("c", 1)).result.claim.granted);
}

// Guards against a job that is placed again without end, each time with a crash
// of its worker.
void JobFailsAfterFiveCrashes() {
  ControlState state = MakeStateWithQueuedJob();
  for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
    Reason reason;
    auto copy = ControlState::Decode(state.Encode(), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.text, copy.has_value());
    state = *std::move(copy);
    CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kQueued);
    ApplyCommand(state, PlaceTask{{"j", attempt}, "w1", 1});
    ApplyCommand(state,
                 EndTask{{"j", attempt}, TaskEnd::kWorkerCrashed, "", "gone"});
  }
  CPPUNIT_ASSERT(state.FindJob("j")->state == JobState::kFailed);
}

void FinishedClaimReturnsStoredResponse() {
  ControlState state;
  ApplyCommand(state, MakeOpenClaim("a"));
  ApplyCommand(state,
               EndClaim{"booking/k", 1, ClaimEnd::kFinished, 201, "t", "body"});
  ApplyCommand(state, EndClaim{"booking/k", 1, ClaimEnd::kUnknown, 0, "", ""});
  const Applied repeated = ApplyCommand(state, MakeOpenClaim("b"));
  CPPUNIT_ASSERT(repeated.result.claim.state == ClaimState::kFinished);
  CPPUNIT_ASSERT_EQUAL(std::string("body"), repeated.result.claim.body);
}

void IdempotencyKeyIsBoundToOneRequest() {
  ControlState state;
  ApplyCommand(state, MakeOpenClaim("a"));
  OpenClaim other = MakeOpenClaim("a");
  other.digest = 12;
  CPPUNIT_ASSERT(ApplyCommand(state, other).result.error ==
                 ErrorKind::kConflict);
}

void ExpiredClaimsAreRemoved() {
  ControlState state;
  ApplyCommand(state, MakeOpenClaim("a"));
  ApplyCommand(state, NoOp{}, "", kStart + 5000);
  CPPUNIT_ASSERT(state.claims().empty());
}

void SnapshotRoundTripPreservesState() {
  ControlState state = MakeStateWithQueuedJob();
  ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 1});
  ApplyCommand(state, MakeOpenClaim("a"));
  ApplyCommand(
      state, SetTeam{"minutes", {9000, 9000, 0}, state.config().version}, "c");
  Reason reason;
  auto copy = ControlState::Decode(state.Encode(), reason);
  CPPUNIT_ASSERT_MESSAGE(reason.text, copy.has_value());
  CPPUNIT_ASSERT(copy->Encode() == state.Encode());
  CPPUNIT_ASSERT(copy->FindInstance("w1")->committed ==
                 state.FindInstance("w1")->committed);
  ApplyCommand(state, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  ApplyCommand(*copy, EndTask{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT(copy->Encode() == state.Encode());
}

// Guards against two workers at a job at once: an announcement of an agent's
// earlier incarnation was held up in a replica that was paused, and arrives
// after the next one was given a job.
void LateRegistrationKeepsTasksOfNextIncarnation() {
  ControlState state;
  const RegisterInstance earlier{MakeWorker("w1", 1), {}};
  ApplyCommand(state, earlier);
  ApplyCommand(state, RegisterInstance{MakeWorker("w1", 2), {}});
  ApplyCommand(state, MakeSubmitJob("j"));
  ApplyCommand(state, PlaceTask{{"j", 1}, "w1", 2});
  ApplyCommand(state, earlier);
  CPPUNIT_ASSERT_MESSAGE("the task that is active must not be placed again",
                         state.FindJob("j")->state == JobState::kPlaced);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                       state.FindInstance("w1")->info.incarnation);
  Reason reason;
  auto copy = ControlState::Decode(state.Encode(), reason);
  CPPUNIT_ASSERT_MESSAGE(reason.text, copy.has_value());
  ApplyCommand(*copy, earlier);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("a snapshot keeps what was replaced",
                               std::uint64_t{2},
                               copy->FindInstance("w1")->info.incarnation);
}

}  // namespace

Section ControlStateStory() {
  Section story("The replicated state");
  story
      .With(Section("operators")
                .Then("that lose a version race are told the winning command",
                      VersionConflictNamesWinningCommand)
                .Then("that resend a command get the first result",
                      ResentCommandReturnsFirstResult)
                .Then("cannot set a preset value out of range",
                      RejectsPresetValueOutOfRange))
      .With(Section("jobs")
                .Then("are never placed beyond the capacity of a worker",
                      NeverCommitsBeyondCapacity)
                .Then("are not placed in a data centre that is out of service",
                      RejectsPlacementInOutOfServiceDataCentre)
                .Then("are placed once per attempt", PlacesEachAttemptOnce)
                .Then("fail after five crashes of their workers",
                      JobFailsAfterFiveCrashes)
                .Then("are requeued once for a duplicate eviction",
                      DuplicateEvictionRequeuesOnce)
                .Then("ignore the result of a stale attempt",
                      StaleAttemptResultIsIgnored)
                .Then("accept a late finish before the next placement",
                      LateFinishBeforeNextPlacementIsAccepted)
                .Then("stay on a restarted agent that reports them",
                      RestartedAgentKeepsReportedTasks)
                .Then("stay when an earlier incarnation registers late",
                      LateRegistrationKeepsTasksOfNextIncarnation)
                .Then("are cancelled while queued and while placed",
                      CancelsQueuedAndPlacedJobs)
                .Then("larger than any worker are refused",
                      RejectsJobLargerThanAnyWorker)
                .Then("that fail on three workers end as failed",
                      JobFailsAfterThreeWorkers)
                .Then("stay within the quota of their team",
                      TeamQuotaLimitsPlacement))
      .With(Section("claims")
                .Then("are granted to the first agent", FirstClaimWins)
                .Then("that finished return the stored response",
                      FinishedClaimReturnsStoredResponse)
                .Then("bind their key to one request",
                      IdempotencyKeyIsBoundToOneRequest)
                .Then("are removed after they expire", ExpiredClaimsAreRemoved))
      .With(Section("a snapshot")
                .Then("decodes to the same state",
                      SnapshotRoundTripPreservesState));
  return story;
}

}  // namespace banyan
