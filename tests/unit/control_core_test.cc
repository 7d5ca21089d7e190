#include "banyan/control/control_core.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// Runs a cell of one replica from the restored log and submits the commands
// once it leads. Returns the logged events; `persisted_log` receives the
// resulting log.
Events RunSingleReplica(const RestoredLog& restored,
                        const std::vector<LoggedCommand>& commands,
                        RestoredLog& persisted_log) {
  ControlOptions options;
  options.raft.self = {"control-0", 1};
  options.raft.configured_ids = {"control-0"};
  Time now(std::chrono::seconds(1000));
  ControlCore core(options, restored, now);
  persisted_log = restored;
  Events events;
  for (std::size_t step = 0; step < 500; ++step) {
    now += Millis(10);
    // The replica has been elected leader by this step (4 s).
    constexpr std::size_t kFirstCommandStep = 400;
    if (step >= kFirstCommandStep &&
        step - kFirstCommandStep < commands.size()) {
      core.Submit(now, kGraphStart, step, commands[step - kFirstCommandStep]);
    }
    core.Tick(now, kGraphStart);
    ControlOutputs out = core.TakeOutputs(now, kGraphStart);
    for (const PersistBatch& batch : out.persists) {
      persisted_log.hard_state =
          batch.hard_state.value_or(persisted_log.hard_state);
      persisted_log.entries.insert(persisted_log.entries.end(),
                                   batch.entries.begin(), batch.entries.end());
      core.OnPersisted(now, batch.seq);
    }
    std::move(out.events.begin(), out.events.end(), std::back_inserter(events));
  }
  return events;
}

std::ptrdiff_t CountEvents(const Events& events, EventId id) {
  return std::count_if(events.begin(), events.end(),
                       [&](const Event& event) { return event.id() == id; });
}

void RestartRepeatsNoEvents() {
  std::vector<LoggedCommand> commands(3);
  commands[0].command = InstallPlan{SamplePlan()};
  commands[1].command = SampleGraph("g", {SampleStep(2)});
  commands[2].command = SetEvacuated{"dc-a", true};
  RestoredLog first_log;
  const Events first_run_events =
      RunSingleReplica(RestoredLog{}, commands, first_log);
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                       CountEvents(first_run_events, EventId::kGraphAccepted));
  RestoredLog second_log;
  const Events second_run_events = RunSingleReplica(first_log, {}, second_log);
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                       CountEvents(second_run_events, EventId::kLeaderElected));
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0},
                       CountEvents(second_run_events, EventId::kGraphAccepted));
  CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t{0},
      CountEvents(second_run_events, EventId::kEvacuationChanged));
}

}  // namespace

Section ControlCoreStory() {
  Section story("The control core");
  story.With(Section("after a restart")
                 .Then("does not repeat events of entries restored from disk",
                       RestartRepeatsNoEvents));
  return story;
}

}  // namespace banyan
