#include "banyan/control/scheduler.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

// A replicated state with workers, and a scheduler that receives their
// heartbeats.
class SchedulerFixture {
 public:
  explicit SchedulerFixture(int workers) {
    for (int i = 0; i < workers; ++i) {
      InstanceInfo info;
      info.id = "w" + std::to_string(i);
      info.incarnation = 1;
      info.role = InstanceRole::kWorker;
      info.data_centre = i % 2 == 0 ? "dc-a" : "dc-b";
      info.capacity = {4000, 4096, 0};
      ApplyCommand(RegisterInstance{info, {}});
    }
    scheduler.Reset(now, state, seconds(60));
    Decide();
    now += seconds(1);
  }

  void ApplyCommand(Command command) {
    state.Apply({"", 1000, std::move(command)});
  }

  void Submit(const std::string& key,
              const std::string& team = "t",
              bool is_urgent = false,
              std::int64_t cpu = 1000) {
    SubmitJob submit;
    submit.key = key;
    submit.spec.team = team;
    submit.spec.kind = "packet";
    submit.spec.needs = {cpu, 100, 0};
    submit.spec.urgent = is_urgent;
    ApplyCommand(submit);
  }

  void Report(const std::string& worker, std::int64_t cpu_percent) {
    Heartbeat heartbeat;
    heartbeat.cpu_percent = cpu_percent;
    scheduler.OnHeartbeat(state, worker, 1, heartbeat, now + seconds(60));
  }

  // Reports every worker as idle, four times one second apart, so that load
  // estimates decay.
  void ReportIdle() {
    for (int i = 0; i < 4; ++i) {
      now += seconds(1);
      for (const auto& [id, instance] : state.instances()) {
        Report(id, 0);
      }
    }
  }

  // Runs one scheduling round and applies its placements.
  SchedulerOutputs Decide() {
    SchedulerOutputs out = scheduler.Decide(now, state);
    for (const PlaceTask& place : out.placements) {
      state.Apply({"", 1000, place});
      scheduler.OnPlaced(place, state.FindJob(place.task.job)->spec);
    }
    return out;
  }

  void Fail(const std::string& job) {
    const Job before = *state.FindJob(job);
    const EndTask end{{job, before.attempt}, TaskEnd::kFailed, "", "x"};
    ApplyCommand(end);
    Events events;
    scheduler.OnTaskEnd(now, before, end, events);
  }

  ControlState state;
  Scheduler scheduler;
  Time now = kStart;
};

void UrgentJobStartsFirst() {
  SchedulerFixture fixture(1);
  for (int i = 0; i < 6; ++i) {
    fixture.Submit("normal" + std::to_string(i));
  }
  fixture.Submit("urgent", "other", true);
  const SchedulerOutputs out = fixture.Decide();
  CPPUNIT_ASSERT_EQUAL(std::string("urgent"), out.placements.front().task.job);
}

void UrgentJobPreemptsFewestTasks() {
  SchedulerFixture fixture(1);
  for (int i = 0; i < 3; ++i) {
    fixture.Submit("normal" + std::to_string(i));
  }
  fixture.Decide();
  fixture.Submit("urgent", "other", true, 2000);
  const SchedulerOutputs out = fixture.Decide();
  CPPUNIT_ASSERT_EQUAL_MESSAGE("no more tasks are evicted than needed",
                               std::size_t{1}, out.actions.size());
  CPPUNIT_ASSERT(out.actions[0].kind == TaskAction::Kind::kEvict);
  CPPUNIT_ASSERT_MESSAGE("the eviction is requested once",
                         fixture.Decide().actions.empty());
  fixture.ApplyCommand(
      EndTask{out.actions[0].task, TaskEnd::kEvicted, "cp", ""});
  fixture.now += seconds(1);
  fixture.Decide();
  CPPUNIT_ASSERT(fixture.state.FindJob("urgent")->state == JobState::kPlaced);
  CPPUNIT_ASSERT(fixture.state.FindJob(out.actions[0].task.job)->state ==
                 JobState::kQueued);
}

void TeamsShareFairly() {
  SchedulerFixture fixture(4);
  for (int i = 0; i < 40; ++i) {
    fixture.Submit("a" + std::to_string(i), "first");
  }
  for (int i = 0; i < 40; ++i) {
    fixture.Submit("b" + std::to_string(i), "second");
  }
  fixture.Decide();
  const auto used = [&](const char* team) {
    return fixture.state.teams().at(team).used.cpu_millis;
  };
  // The workers have 16000 CPU millis in all; each team must get at least a
  // quarter.
  CPPUNIT_ASSERT_MESSAGE(std::to_string(used("second")),
                         used("second") >= 4000);
  CPPUNIT_ASSERT(used("first") >= 4000);
}

void SmallJobsBackfill() {
  SchedulerFixture fixture(1);
  fixture.Submit("big", "t", false, 2500);
  fixture.Decide();
  fixture.Submit("big2", "t", false, 3000);
  fixture.Submit("small", "t", false, 500);
  fixture.Decide();
  CPPUNIT_ASSERT(fixture.state.FindJob("big2")->state == JobState::kQueued);
  CPPUNIT_ASSERT(fixture.state.FindJob("small")->state == JobState::kPlaced);
}

void BusyWorkerGetsNoBatchTasks() {
  SchedulerFixture fixture(2);
  fixture.Report("w0", 95);
  fixture.Submit("j");
  fixture.Decide();
  CPPUNIT_ASSERT_EQUAL(std::string("w1"), fixture.state.FindJob("j")->worker);
}

void FailingWorkerIsAvoided() {
  SchedulerFixture fixture(2);
  fixture.Report("w1", 80);
  for (int i = 0; i < 3; ++i) {
    const std::string key = "j" + std::to_string(i);
    fixture.Submit(key);
    fixture.Decide();
    CPPUNIT_ASSERT_EQUAL(std::string("w0"), fixture.state.FindJob(key)->worker);
    fixture.Fail(key);
  }
  fixture.Report("w1", 0);
  fixture.Submit("next");
  fixture.Decide();
  CPPUNIT_ASSERT_EQUAL(std::string("w1"),
                       fixture.state.FindJob("next")->worker);
}

void FailingJobDoesNotMakeWorkersSuspected() {
  SchedulerFixture fixture(3);
  fixture.Submit("bad");
  for (int i = 0; i < 2; ++i) {
    fixture.Decide();
    fixture.Fail("bad");
    fixture.now += seconds(30);
  }
  for (int i = 0; i < 3; ++i) {
    fixture.Submit("good" + std::to_string(i), "t", false, 3000);
  }
  fixture.ReportIdle();
  const SchedulerOutputs out = fixture.Decide();
  CPPUNIT_ASSERT_MESSAGE("all three workers still get jobs",
                         out.placements.size() >= 3);
}

void BriefLoadSpikeEvictsNothing() {
  SchedulerFixture fixture(1);
  fixture.Submit("j");
  fixture.Decide();
  fixture.Report("w0", 99);
  CPPUNIT_ASSERT(fixture.Decide().actions.empty());
  fixture.Report("w0", 40);
  fixture.Report("w0", 99);
  CPPUNIT_ASSERT(fixture.Decide().actions.empty());
}

void SustainedPressureThrottlesThenEvicts() {
  SchedulerFixture fixture(1);
  fixture.Submit("j");
  fixture.Decide();
  bool was_throttled = false;
  bool was_evicted = false;
  for (int i = 0; i < 12 && !was_evicted; ++i) {
    fixture.now += Millis(500);
    fixture.Report("w0", 99);
    for (const TaskAction& action : fixture.Decide().actions) {
      was_throttled =
          was_throttled || action.kind == TaskAction::Kind::kThrottle;
      was_evicted = was_evicted || action.kind == TaskAction::Kind::kEvict;
      CPPUNIT_ASSERT_MESSAGE("throttled before evicted", was_throttled);
    }
  }
  CPPUNIT_ASSERT(was_evicted);
}

void OutOfServiceDataCentreIsDrained() {
  SchedulerFixture fixture(2);
  for (int i = 0; i < 8; ++i) {
    fixture.Submit("j" + std::to_string(i));
  }
  fixture.Decide();
  fixture.ApplyCommand(
      SetDataCentre{"dc-b", true, fixture.state.config().version});
  fixture.now += seconds(1);
  const SchedulerOutputs out = fixture.Decide();
  CPPUNIT_ASSERT(!out.actions.empty());
  for (const TaskAction& action : out.actions) {
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), action.worker);
  }
}

void ExpiredLeaseIsReportedOnce() {
  SchedulerFixture fixture(1);
  fixture.now += seconds(61);
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{1},
      fixture.scheduler.TakeExpired(fixture.now, fixture.state).size());
  CPPUNIT_ASSERT(
      fixture.scheduler.TakeExpired(fixture.now, fixture.state).empty());
}

void AgedJobIsNotStarved() {
  SchedulerFixture fixture(1);
  fixture.Submit("filler", "t", false, 2000);
  fixture.Decide();
  fixture.Submit("big", "t", false, 3000);
  // The big job has waited for longer than the aging threshold (10 minutes),
  // while small jobs are still submitted.
  fixture.state.Apply({"", 1000 + 11 * 60 * 1000, NoOp{}});
  fixture.Submit("small", "t", false, 500);
  fixture.Decide();
  CPPUNIT_ASSERT_MESSAGE(
      "the worker is reserved for the aged job",
      fixture.state.FindJob("small")->state == JobState::kQueued);
  fixture.ApplyCommand(EndTask{{"filler", 1}, TaskEnd::kFinished, "", ""});
  fixture.ReportIdle();
  fixture.Decide();
  CPPUNIT_ASSERT(fixture.state.FindJob("big")->state == JobState::kPlaced);
}

}  // namespace

Section SchedulerStory() {
  Section story("The scheduler");
  story
      .With(Section("the queue")
                .Then("starts urgent jobs first", UrgentJobStartsFirst)
                .Then("evicts the fewest tasks for an urgent job",
                      UrgentJobPreemptsFewestTasks)
                .Then("shares capacity between teams", TeamsShareFairly)
                .Then("backfills with small jobs", SmallJobsBackfill)
                .Then("does not starve an aged job", AgedJobIsNotStarved))
      .With(Section("workers")
                .Then("that are busy get no batch tasks",
                      BusyWorkerGetsNoBatchTasks)
                .Then("on which different jobs fail are avoided",
                      FailingWorkerIsAvoided)
                .Then("are not suspected for one failing job",
                      FailingJobDoesNotMakeWorkersSuspected)
                .Then("whose lease expired are reported once",
                      ExpiredLeaseIsReportedOnce))
      .With(Section("pressure")
                .Then("in a short spike evicts no task",
                      BriefLoadSpikeEvictsNothing)
                .Then("that persists throttles first, then evicts",
                      SustainedPressureThrottlesThenEvicts))
      .With(Section("a data centre that is out of service")
                .Then("is drained", OutOfServiceDataCentreIsDrained));
  return story;
}

}  // namespace banyan
