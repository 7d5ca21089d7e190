// Tasks that crash their workers: what an agent sees of a crash, how the table
// counts it, and where a suspect is placed.

#include <algorithm>

#include "banyan/graph/crash_observer.h"
#include "src/graph/graph_table_codec.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
constexpr Duration kTimeStep = Millis(20);

// --- What an agent sees ---

RunCallReply ListAt(Time at, std::vector<RunStatus> running) {
  RunCallReply reply;
  reply.op = RunCallOp::kListRuns;
  reply.answered = true;
  reply.sent_at = at;
  reply.received_at = at;
  reply.running = std::move(running);
  return reply;
}

CrashEvidence EvidenceFor(const CrashObserver& observer, const RunRef& run) {
  for (const RunCrash& crash : observer.Evidence()) {
    if (crash.run == run) {
      return crash.evidence;
    }
  }
  CPPUNIT_FAIL("the run was not on the worker");
  return CrashEvidence::kAtWork;
}

// Guards against blaming those at work for a run that crashes its worker.
void RunThatStartedIsToldFromThoseAtWork() {
  const RunRef old = RunOf("old", 0, 0);
  const RunRef young = RunOf("young", 0, 0);
  CrashObserver observer;
  observer.OnStarted(old, kNow);
  observer.OnList(ListAt(kNow + Millis(100), {{old, "", 10, 0}}));
  observer.OnList(ListAt(kNow + Millis(500), {{old, "", 50, 0}}));
  observer.OnStarted(young, kNow + Millis(520));
  observer.OnContactLost(kNow + Millis(530), CallFailure::kBrokenOff);
  CPPUNIT_ASSERT(EvidenceFor(observer, old) == CrashEvidence::kAtWork);
  CPPUNIT_ASSERT(EvidenceFor(observer, young) == CrashEvidence::kAlone);
}

void RunsThatStartedTogetherAreAllSuspects() {
  CrashObserver observer;
  observer.OnStarted(RunOf("a", 0, 0), kNow);
  observer.OnStarted(RunOf("b", 0, 0), kNow + Millis(5));
  observer.OnContactLost(kNow + Millis(12), CallFailure::kBrokenOff);
  CPPUNIT_ASSERT(EvidenceFor(observer, RunOf("a", 0, 0)) ==
                 CrashEvidence::kAtStart);
  CPPUNIT_ASSERT(EvidenceFor(observer, RunOf("b", 0, 0)) ==
                 CrashEvidence::kAtStart);
}

// Guards against counting starts that never reached the worker.
void StartThatWasNotSentIsNoEvidence() {
  const RunRef run = RunOf("g", 0, 0);
  CrashObserver observer;
  observer.OnStartUnanswered(kNow, run, kNow, CallFailure::kNotSent);
  CPPUNIT_ASSERT(observer.Evidence().empty());
  observer.OnStartUnanswered(kNow, run, kNow, CallFailure::kBrokenOff);
  CPPUNIT_ASSERT(EvidenceFor(observer, run) == CrashEvidence::kAlone);
}

// Guards against blaming starts that were sent to a worker that was down.
void SilentCrashIsUnclear() {
  const RunRef run = RunOf("g", 0, 0);
  CrashObserver observer;
  observer.OnStartUnanswered(kNow, run, kNow, CallFailure::kTimedOut);
  observer.OnContactLost(kNow + Millis(900), CallFailure::kTimedOut);
  CPPUNIT_ASSERT(EvidenceFor(observer, run) == CrashEvidence::kUnclear);
}

void RunThatEndedOrWasFencedIsNoEvidence() {
  const RunRef ended = RunOf("ended", 0, 0);
  const RunRef fenced = RunOf("fenced", 0, 0);
  CrashObserver observer;
  observer.OnStarted(ended, kNow);
  observer.OnStartUnanswered(kNow, fenced, kNow, CallFailure::kTimedOut);
  observer.OnList(ListAt(kNow + Millis(100), {}));
  observer.OnFenced(fenced);
  CPPUNIT_ASSERT(observer.Evidence().empty());
}

// --- What the table counts ---

// A table with one graph whose first task is placed on workers in turn.
class CrashFixture {
 public:
  explicit CrashFixture(const StepSpec& step = SampleStep(2)) {
    table_.Apply(InstallPlan{SamplePlan()}, kGraphStart);
    table_.Apply(SampleGraph("g", {step}), kGraphStart);
  }

  // Places the task's next run on a new worker, which then crashes.
  void Crash(CrashEvidence evidence) {
    ++run_;
    const WorkerInfo info = SampleWorker("w" + std::to_string(run_));
    table_.Apply(AdmitWorker{info, "agent-" + info.life.id}, kGraphStart);
    table_.Apply(PlaceRuns{{{run(), info.life}}}, kGraphStart);
    Record(evidence);
    table_.Apply(DropWorker{info.life, "the worker crashed", {}}, kGraphStart);
  }

  GraphApplyResult Record(CrashEvidence evidence) {
    return table_.Apply(
        RecordCrashes{{"w" + std::to_string(run_), 1}, {{run(), evidence}}},
        kGraphStart);
  }

  [[nodiscard]] RunRef run() const { return RunOf("g", 0, 0, run_); }
  [[nodiscard]] GraphState state() const {
    return table_.FindGraph("g")->state;
  }
  [[nodiscard]] bool is_suspect() const {
    return table_.suspects().contains(run().task);
  }
  [[nodiscard]] GraphTable& table() { return table_; }

 private:
  GraphTable table_;
  std::int64_t run_ = 0;
};

// Guards against a task that is started again without end, each time with a
// crash of its worker.
void TaskIsGivenUpAfterCrashesAtItsStart() {
  CrashFixture fixture;
  fixture.Crash(CrashEvidence::kAtStart);
  CPPUNIT_ASSERT(fixture.is_suspect());
  CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
  fixture.Crash(CrashEvidence::kAlone);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kFailed);
  CPPUNIT_ASSERT(!fixture.table().FindGraph("g")->failure.empty());
  CPPUNIT_ASSERT(!fixture.is_suspect());
}

void CrashesAmongOthersNeedOneMore() {
  CrashFixture fixture;
  fixture.Crash(CrashEvidence::kAtStart);
  fixture.Crash(CrashEvidence::kAtStart);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
  fixture.Crash(CrashEvidence::kUnclear);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kFailed);
}

// Guards against a third crash where a suspect has had its trial: the first one
// coincided with the loss of other workers or of the leader.
void FailedTrialDecidesAfterUnclearCrash() {
  CrashFixture fixture;
  fixture.Crash(CrashEvidence::kUnclear);
  CPPUNIT_ASSERT(fixture.is_suspect());
  fixture.Crash(CrashEvidence::kAlone);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kFailed);
}

// Guards against giving a task up for a second crash that others share.
void UnclearCrashDecidesNothing() {
  CrashFixture fixture;
  fixture.Crash(CrashEvidence::kAlone);
  fixture.Crash(CrashEvidence::kUnclear);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
}

// Guards against failing a sound job under which workers crash for other
// reasons.
void TaskThatIsAtWorkIsNotGivenUp() {
  CrashFixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.Crash(CrashEvidence::kAtWork);
    CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
  }
  CPPUNIT_ASSERT_MESSAGE("it starts apart", fixture.is_suspect());
  fixture.Crash(CrashEvidence::kAtStart);
  fixture.Crash(CrashEvidence::kAtStart);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
  fixture.Crash(CrashEvidence::kAtStart);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kFailed);
}

// Guards against adding up crashes of other causes that come at the start of a
// task, over its life.
void WorkRefutesCrashesAtTheStart() {
  CrashFixture fixture;
  for (int i = 0; i < 5; ++i) {
    fixture.Crash(CrashEvidence::kAlone);
    CPPUNIT_ASSERT(fixture.is_suspect());
    fixture.Crash(CrashEvidence::kAtWork);
    CPPUNIT_ASSERT(!fixture.is_suspect());
  }
  CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
  fixture.Crash(CrashEvidence::kAtStart);
  fixture.Crash(CrashEvidence::kAlone);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kFailed);
}

// Guards against counting one crash twice: agents repeat what they report.
void CrashOfOneRunCountsOnce() {
  CrashFixture fixture;
  fixture.Crash(CrashEvidence::kAlone);
  for (int i = 0; i < 5; ++i) {
    fixture.Record(CrashEvidence::kAlone);
  }
  CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
  CPPUNIT_ASSERT_EQUAL(
      std::int64_t{1},
      fixture.table().FindTask(fixture.run().task)->crashes.crashes);
}

// Guards against giving up a long-running task for the crashes of its
// neighbours.
void LongRunningTaskAtWorkIsCleared() {
  CrashFixture fixture(ServingStep(1));
  for (int i = 0; i < 5; ++i) {
    fixture.Crash(CrashEvidence::kAtStart);
    CPPUNIT_ASSERT(fixture.is_suspect());
    fixture.Crash(CrashEvidence::kAtWork);
    CPPUNIT_ASSERT(!fixture.is_suspect());
  }
  CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
}

// Guards against losing the count with a snapshot, and against snapshots of
// builds that did not have it.
void CountSurvivesSnapshots() {
  CrashFixture fixture;
  const nlohmann::json without = GraphTableCodec::ToJson(fixture.table());
  GraphTable earlier;
  GraphTableCodec::FromJson(without, earlier);
  CPPUNIT_ASSERT(GraphTableCodec::ToJson(earlier) == without);
  fixture.Crash(CrashEvidence::kAtStart);
  const nlohmann::json written = GraphTableCodec::ToJson(fixture.table());
  GraphTable copy;
  GraphTableCodec::FromJson(nlohmann::json::parse(written.dump()), copy);
  CPPUNIT_ASSERT(GraphTableCodec::ToJson(copy) == written);
  CPPUNIT_ASSERT(copy.suspects() == fixture.table().suspects());
}

// --- What the leader does ---

// Returns the last sync of an agent whose worker has crashed under runs.
WorkerSync CrashSync(const std::string& worker, std::vector<RunCrash> crashed) {
  WorkerSync sync;
  sync.info = SampleWorker(worker);
  sync.gone = true;
  sync.crashed = std::move(crashed);
  return sync;
}

// Returns the worker that a task's last run is placed on; empty if none is.
std::string WorkerOf(const LeaderHarness& fixture, const TaskRef& ref) {
  const TaskProgress* task = fixture.table().FindTask(ref);
  return task == nullptr || task->phase != TaskPhase::kRunning
             ? ""
             : task->worker.id;
}

// A leader with two workers, one of which has crashed under two runs.
class SuspectFixture {
 public:
  SuspectFixture() {
    harness_.Join(SampleWorker("w1"));
    harness_.Commit(SampleGraph("g", {SampleStep(2)}));
    harness_.AdvanceTime(kTimeStep);
    harness_.Join(SampleWorker("w2"));
    harness_.Commit(SampleGraph("busy", {SampleStep(1)}));
    harness_.AdvanceTime(kTimeStep);
    harness_.Lose("w1");
    harness_.Sync(
        CrashSync("w1", {{RunOf("g", 0, 0), CrashEvidence::kAtStart},
                         {RunOf("g", 0, 1), CrashEvidence::kAtWork}}));
  }

  [[nodiscard]] LeaderHarness& harness() { return harness_; }
  [[nodiscard]] std::string WorkerOfSuspect() const {
    return WorkerOf(harness_, RunOf("g", 0, 0).task);
  }

 private:
  LeaderHarness harness_;
};

// Guards against a suspect that takes further work with it.
void SuspectStartsAlone() {
  SuspectFixture fixture;
  LeaderHarness& harness = fixture.harness();
  harness.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_MESSAGE("the suspect waits for an empty worker",
                         fixture.WorkerOfSuspect().empty());
  harness.Join(SampleWorker("w3"));
  harness.Commit(SampleGraph("h", {SampleStep(3)}));
  harness.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::string("w3"), fixture.WorkerOfSuspect());
  CPPUNIT_ASSERT_MESSAGE("nothing else starts there",
                         harness.RunsOn("w3").size() == 1);
  // It is listed with progress for a while, which clears its worker.
  for (int i = 0; i < 3; ++i) {
    WorkerSync sync;
    sync.info = SampleWorker("w3");
    sync.lists = static_cast<std::uint64_t>(i) + 1;
    sync.running = {{RunOf("g", 0, 0, 2), "", std::int64_t{10} * (i + 1), 0}};
    harness.Sync(std::move(sync));
    harness.AdvanceTime(Millis(200));
  }
  harness.Commit(SampleGraph("i", {SampleStep(6)}));
  harness.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT(harness.RunsOn("w3").size() > 1);
}

// Guards against suspects that wait for each other's work instead of for each
// other's start.
void SuspectsStartOneAfterTheOther() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(2)}));
  fixture.AdvanceTime(kTimeStep);
  fixture.Lose("w1");
  fixture.Sync(CrashSync("w1", {{RunOf("g", 0, 0), CrashEvidence::kAtStart},
                                {RunOf("g", 0, 1), CrashEvidence::kAtStart}}));
  fixture.Join(SampleWorker("w2"));
  static_cast<void>(fixture.TakeOrders());
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.RunsOn("w2").size());
  bool is_trial = false;
  for (const WorkerOrders& orders : fixture.TakeOrders()) {
    for (const RunStart& start : orders.starts) {
      is_trial = start.is_trial;
    }
  }
  CPPUNIT_ASSERT_MESSAGE("the agent is told", is_trial);
  WorkerSync sync;
  sync.info = SampleWorker("w2");
  sync.starting = {*fixture.RunsOn("w2").begin()};
  sync.survived = sync.starting;
  fixture.Sync(std::move(sync));
  fixture.AdvanceTime(kTimeStep);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.RunsOn("w2").size());
}

// Guards against a suspect that waits for ever: no worker gets empty.
void SuspectIsNotStarved() {
  SuspectFixture fixture;
  for (int i = 0; i < 20 && fixture.WorkerOfSuspect().empty(); ++i) {
    WorkerSync sync;
    sync.info = SampleWorker("w2");
    fixture.harness().Sync(std::move(sync));
    fixture.harness().AdvanceTime(Millis(100));
  }
  CPPUNIT_ASSERT_EQUAL(std::string("w2"), fixture.WorkerOfSuspect());
}

// Guards against blaming tasks for a cause that many workers share.
void CommonCauseIsUnclear() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Join(SampleWorker("w2"));
  fixture.Commit(SampleGraph("g", {SampleStep(8)}));
  fixture.AdvanceTime(kTimeStep);
  const RunRef run = *fixture.RunsOn("w1").begin();
  const RunRef other = *std::next(fixture.RunsOn("w1").begin());
  fixture.Lose("w1");
  fixture.Lose("w2");
  fixture.Sync(CrashSync(
      "w1", {{run, CrashEvidence::kAlone}, {other, CrashEvidence::kAtWork}}));
  const CrashRecord& record = fixture.table().FindTask(run.task)->crashes;
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, record.unclear);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, record.at_start);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                       fixture.table().FindTask(other.task)->crashes.crashes);
}

// Guards against forgetting a crash whose worker was removed before, since its
// lease had run out.
void CrashIsCountedAfterTheRemoval() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  fixture.Lose("w1");
  fixture.Commit(DropWorker{{"w1", 1}, "the lease ran out", {}});
  fixture.Sync(CrashSync("w1", {{RunOf("g", 0, 0), CrashEvidence::kAlone}}));
  CPPUNIT_ASSERT_EQUAL(
      std::int64_t{1},
      fixture.table().FindTask(RunOf("g", 0, 0).task)->crashes.alone);
}

// Guards against crashes that nobody counts since the agent restarts after each
// of them.
void CrashThatTheAgentMissedIsCounted() {
  LeaderHarness fixture;
  fixture.Join(SampleWorker("w1"));
  fixture.Commit(SampleGraph("g", {SampleStep(1), ServingStep(1)}));
  fixture.AdvanceTime(kTimeStep);
  fixture.Join(SampleWorker("w1", 2));
  const auto crashes = [&](std::int64_t step) {
    return fixture.table().FindTask(RunOf("g", step, 0).task)->crashes.crashes;
  };
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, crashes(0));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, crashes(1));
}

// A leader with a task whose workers crash without evidence of their agent.
class UnseenCrashFixture {
 public:
  UnseenCrashFixture() {
    harness_.Join(SampleWorker("w1"));
    harness_.Commit(SampleGraph("g", {SampleStep(1)}));
  }

  // The task starts, is listed with progress if it is at work, and its worker
  // is replaced by its next incarnation. Returns whether it has started.
  bool Crash(bool is_at_work) {
    for (int i = 0; i < 30 && harness_.RunsOn("w1").empty(); ++i) {
      Report({});
    }
    if (harness_.RunsOn("w1").empty()) {
      return false;
    }
    const RunRef run = *harness_.RunsOn("w1").begin();
    for (std::int64_t percent = 1; is_at_work && percent <= 6; ++percent) {
      Report({{run, "", percent, 0}});
    }
    lists_ = 0;
    harness_.Join(SampleWorker("w1", ++born_));
    return true;
  }

  [[nodiscard]] GraphState state() const {
    return harness_.table().FindGraph("g")->state;
  }

 private:
  // The worker lists these runs.
  void Report(std::vector<RunStatus> running) {
    WorkerSync sync;
    sync.info = SampleWorker("w1", born_);
    sync.lists = ++lists_;
    sync.running = std::move(running);
    harness_.Sync(std::move(sync));
    harness_.AdvanceTime(Millis(100));
  }

  LeaderHarness harness_;
  std::int64_t born_ = 1;
  std::uint64_t lists_ = 0;
};

// Guards against a task that crashes its workers without end while each of its
// agents restarts, too.
void UnseenCrashesAreBounded() {
  UnseenCrashFixture fixture;
  int starts = 0;
  while (starts < 10 && fixture.Crash(false)) {
    ++starts;
  }
  CPPUNIT_ASSERT_EQUAL(5, starts);
  CPPUNIT_ASSERT(fixture.state() == GraphState::kFailed);
}

// Guards against failing a sound job whose workers crash together with their
// agents.
void UnseenCrashAtWorkIsNoEvidence() {
  UnseenCrashFixture fixture;
  for (int i = 0; i < 10; ++i) {
    CPPUNIT_ASSERT(fixture.Crash(true));
    CPPUNIT_ASSERT(fixture.state() == GraphState::kRunning);
  }
}

}  // namespace

Section CrashStory() {
  Section story("A task that may crash its worker");
  story
      .With(Section("as its agent sees it")
                .Then("is told from those at work",
                      RunThatStartedIsToldFromThoseAtWork)
                .Then("is one of those that started together",
                      RunsThatStartedTogetherAreAllSuspects)
                .Then("was not there if its start was not sent",
                      StartThatWasNotSentIsNoEvidence)
                .Then("is unclear if the worker fell silent",
                      SilentCrashIsUnclear)
                .Then("was not there once it ended or was fenced",
                      RunThatEndedOrWasFencedIsNoEvidence))
      .With(Section("as the table counts it")
                .Then("is given up after a crash alone",
                      TaskIsGivenUpAfterCrashesAtItsStart)
                .Then("is given up after three crashes among others",
                      CrashesAmongOthersNeedOneMore)
                .Then("is given up when its trial fails",
                      FailedTrialDecidesAfterUnclearCrash)
                .Then("is not given up for a crash that others share",
                      UnclearCrashDecidesNothing)
                .Then("is not given up for crashes at work",
                      TaskThatIsAtWorkIsNotGivenUp)
                .Then("is cleared by work after them",
                      WorkRefutesCrashesAtTheStart)
                .Then("is counted once a run", CrashOfOneRunCountsOnce)
                .Then("is cleared by work that lasts",
                      LongRunningTaskAtWorkIsCleared)
                .Then("stays counted in a snapshot", CountSurvivesSnapshots))
      .With(Section("as the leader places it")
                .Then("starts alone", SuspectStartsAlone)
                .Then("starts after another one has started",
                      SuspectsStartOneAfterTheOther)
                .Then("starts at last where no worker is empty",
                      SuspectIsNotStarved)
                .Then("is not blamed for a common cause", CommonCauseIsUnclear)
                .Then("is counted after its worker's removal",
                      CrashIsCountedAfterTheRemoval)
                .Then("is counted without evidence of its agent",
                      CrashThatTheAgentMissedIsCounted)
                .Then("is given up without such evidence, too",
                      UnseenCrashesAreBounded)
                .Then("is not given up without it once it was at work",
                      UnseenCrashAtWorkIsNoEvidence));
  return story;
}

}  // namespace banyan
