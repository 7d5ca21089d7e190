#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "src/graph/graph_table_codec.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kTimeStep = Millis(20);
// Longer than the leader waits before it repeats a start.
constexpr Duration kRepeatTime = Millis(500);
constexpr std::int64_t kMembers = 3;

// A leader with a gang of three members, each on a worker of its own.
class GangFixture {
 public:
  GangFixture() {
    for (const char* worker : {"w1", "w2", "w3"}) {
      harness_.Join(SampleWorker(worker));
    }
    StepSpec gang = SampleStep(kMembers);
    gang.gang = true;
    gang.checkpointing = true;
    gang.per_worker_limit = 1;
    harness_.Commit(SampleGraph("g", {gang}));
    harness_.AdvanceTime(kTimeStep);
    CPPUNIT_ASSERT_EQUAL(kMembers, Started(1));
  }

  // A worker lists its member at work with its latest checkpoint.
  void List(const std::string& worker, const std::string& checkpoint) {
    WorkerSync sync = SyncOf(worker);
    RunStatus row;
    row.run = MemberOn(worker);
    row.checkpoint = checkpoint;
    row.percent = 50;
    sync.running = {row};
    harness_.Sync(sync);
  }

  // A worker reports the end of its member.
  void End(const std::string& worker, const std::string& checkpoint) {
    WorkerSync sync = SyncOf(worker);
    sync.ended = {{++ended_, MemberOn(worker), RunEndReason::kGangMemberEnded,
                   checkpoint}};
    harness_.Sync(sync);
  }

  // A worker is gone without having reported the end of its member.
  void Crash(const std::string& worker) {
    WorkerSync sync = SyncOf(worker);
    sync.gone = true;
    sync.crashed = {{MemberOn(worker), CrashEvidence::kAtWork}};
    harness_.Sync(sync);
  }

  // The first run works until the first worker crashes. The newest checkpoint
  // is that of the other members, "second".
  void CrashFirstWorker() {
    for (const char* worker : {"w1", "w2", "w3"}) {
      List(worker, "first");
    }
    End("w2", "second");
    End("w3", "second");
    Crash("w1");
    Join("w4");
  }

  // A worker joins, and the gang is placed again if all members are there.
  void Join(const std::string& worker) {
    harness_.Join(SampleWorker(worker));
    harness_.AdvanceTime(kTimeStep);
  }

  // Returns the checkpoints that the starts of a run carried since the last
  // call, in alphabetical order.
  std::vector<std::string> TakeCarried(std::int64_t run) {
    std::vector<std::string> carried;
    for (const WorkerOrders& orders : harness_.TakeOrders()) {
      for (const RunStart& start : orders.starts) {
        if (start.run.run == run) {
          carried.push_back(start.checkpoint);
        }
      }
    }
    std::sort(carried.begin(), carried.end());
    return carried;
  }

  // Returns the number of starts of a run since the last call.
  std::int64_t Started(std::int64_t run) {
    return static_cast<std::int64_t>(TakeCarried(run).size());
  }

  LeaderHarness& harness() { return harness_; }

 private:
  static WorkerSync SyncOf(const std::string& worker) {
    WorkerSync sync;
    sync.info = SampleWorker(worker);
    return sync;
  }

  [[nodiscard]] RunRef MemberOn(const std::string& worker) const {
    const std::set<RunRef> runs = harness_.RunsOn(worker);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
    return *runs.begin();
  }

  LeaderHarness harness_;
  std::int64_t ended_ = 0;
};

// Fails unless each of these starts carries one checkpoint.
void AssertAllCarry(const std::string& checkpoint,
                    const std::vector<std::string>& carried,
                    std::int64_t count = kMembers) {
  std::string text;
  for (const std::string& value : carried) {
    text += "'" + value + "' ";
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, count,
                               static_cast<std::int64_t>(carried.size()));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
      text, count, std::count(carried.begin(), carried.end(), checkpoint));
}

// Returns what each member is started from.
std::vector<std::string> CarriedIn(const GraphTable& table) {
  std::vector<std::string> carried;
  for (std::int64_t i = 0; i < kMembers; ++i) {
    carried.push_back(table.FindTask({"g", 0, 0, i})->checkpoint);
  }
  return carried;
}

// Places a member of the second run, each on its own worker.
void PlaceMember(GraphTable& table, std::int64_t index) {
  const RunPlacement placement{RunOf("g", 0, index, 2),
                               {"w" + std::to_string(index + 2), 1}};
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{1},
      table.Apply(PlaceRuns{{placement}}, kGraphStart).placed.size());
}

// Returns what the members carry in the next run of a table that was restored.
std::vector<std::string> CarriedAfterRestore(const nlohmann::json& snapshot) {
  GraphTable table;
  GraphTableCodec::FromJson(snapshot, table);
  for (std::int64_t i = 0; i < kMembers; ++i) {
    PlaceMember(table, i);
  }
  return CarriedIn(table);
}

// Returns a snapshot with all workers and the gang ready to be placed again.
nlohmann::json SnapshotBeforeNextRun() {
  GangFixture gang;
  for (const char* worker : {"w1", "w2", "w3"}) {
    gang.List(worker, "first");
  }
  // The fourth worker joins before the gang is ready.
  gang.Join("w4");
  gang.End("w2", "second");
  gang.End("w3", "second");
  gang.Crash("w1");
  return GraphTableCodec::ToJson(gang.harness().table());
}

// Guards against a gang that never begins again: after the crash of a worker
// its members are started with different checkpoints.
void CarriesOneCheckpointAfterACrash() {
  GangFixture gang;
  gang.CrashFirstWorker();
  AssertAllCarry("second", gang.TakeCarried(2));
}

// Guards against work that is done again, since the crash of a worker is known
// before the ends of the other members, or a list is older than they are.
void CarriesTheNewestCheckpoint() {
  GangFixture gang;
  gang.List("w1", "first");
  gang.List("w2", "first");
  gang.List("w3", "second");
  gang.Crash("w1");
  gang.End("w2", "third");
  gang.Crash("w3");
  gang.Join("w4");
  gang.Join("w5");
  AssertAllCarry("third", gang.TakeCarried(2));
}

// Guards against a newer checkpoint that is replaced by the one from which the
// run was started, since a member has saved nothing.
void KeepsACheckpointOverThatOfTheStart() {
  GangFixture gang;
  gang.CrashFirstWorker();
  CPPUNIT_ASSERT_EQUAL(kMembers, gang.Started(2));
  gang.End("w2", "third");
  gang.End("w3", "second");
  gang.List("w4", "second");
  gang.Crash("w4");
  gang.Join("w5");
  AssertAllCarry("third", gang.TakeCarried(3));
}

// Guards against members of one run with different checkpoints: the start of
// one is repeated, also by the next leader, after another one has ended.
void RepeatedStartsCarryTheSame() {
  GangFixture gang;
  gang.CrashFirstWorker();
  CPPUNIT_ASSERT_EQUAL(kMembers, gang.Started(2));
  gang.List("w2", "second");
  gang.List("w3", "second");
  gang.End("w2", "third");
  gang.harness().AdvanceTime(kRepeatTime);
  gang.Join("w4");
  AssertAllCarry("second", gang.TakeCarried(2), 1);
  gang.harness().leader().Reset(gang.harness().now(), gang.harness().table(),
                                8);
  gang.Join("w4");
  AssertAllCarry("second", gang.TakeCarried(2), 1);
  gang.End("w3", "third");
  gang.End("w4", "second");
  gang.Join("w2");
  AssertAllCarry("third", gang.TakeCarried(3));
}

// Guards against members of one run with different checkpoints: one is placed
// after another one has ended.
void MemberThatIsPlacedLaterCarriesTheSame() {
  GraphTable table;
  GraphTableCodec::FromJson(SnapshotBeforeNextRun(), table);
  PlaceMember(table, 0);
  const EndedRun end{9, RunOf("g", 0, 0, 2), RunEndReason::kGangMemberEnded,
                     "third"};
  table.Apply(EndRuns{{"w2", 1}, {end}}, kGraphStart);
  PlaceMember(table, 1);
  PlaceMember(table, 2);
  AssertAllCarry("second", CarriedIn(table));
}

// Guards against a replica that starts the members with other checkpoints,
// since it restored a snapshot instead of applying the log.
void SnapshotKeepsTheCheckpoint() {
  AssertAllCarry("second", CarriedAfterRestore(SnapshotBeforeNextRun()));
}

// Guards against gangs that still don't begin after an upgrade: a snapshot of
// an earlier build has a checkpoint for each member.
void SnapshotOfAnEarlierBuildGivesOneCheckpoint() {
  nlohmann::json snapshot = SnapshotBeforeNextRun();
  nlohmann::json& step = snapshot["graphs"]["g"]["occurrences"][0][0];
  step.erase("checkpoint");
  const std::vector<std::string> saved = {"", "first", "second"};
  for (std::size_t i = 0; i < saved.size(); ++i) {
    step["tasks"][i][4] = saved[i];
  }
  AssertAllCarry("first", CarriedAfterRestore(snapshot));
}

}  // namespace

Section GangCheckpointStory() {
  Section story("The checkpoint of a gang");
  story
      .With(Section("the members of a run")
                .Then("carry one checkpoint after the crash of a worker",
                      CarriesOneCheckpointAfterACrash)
                .Then("carry the newest one that any member has saved",
                      CarriesTheNewestCheckpoint)
                .Then("don't go back to the one of the run before",
                      KeepsACheckpointOverThatOfTheStart)
                .Then("carry the same one when a start is repeated",
                      RepeatedStartsCarryTheSame)
                .Then("carry the same one when a member is placed later",
                      MemberThatIsPlacedLaterCarriesTheSame))
      .With(Section("a snapshot of a gang")
                .Then("keeps the checkpoint", SnapshotKeepsTheCheckpoint)
                .Then("of an earlier build gives one checkpoint",
                      SnapshotOfAnEarlierBuildGivesOneCheckpoint));
  return story;
}

}  // namespace banyan
