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

// Leads a cell of one replica from what is given; returns the events written.
Events LeadAlone(const RestoredLog& restored,
                 const std::vector<LoggedCommand>& commands,
                 RestoredLog& written) {
  ControlOptions options;
  options.raft.self = {"control-0", 1};
  options.raft.configured_ids = {"control-0"};
  Time now(std::chrono::seconds(1000));
  ControlCore core(options, restored, now);
  written = restored;
  Events events;
  for (std::size_t step = 0; step < 500; ++step) {
    now += Millis(10);
    constexpr std::size_t kElected = 400;
    if (step >= kElected && step - kElected < commands.size()) {
      core.Submit(now, kGraphStart, step, commands[step - kElected]);
    }
    core.Tick(now, kGraphStart);
    ControlOutputs out = core.TakeOutputs(now, kGraphStart);
    for (const PersistBatch& batch : out.persists) {
      written.hard_state = batch.hard_state.value_or(written.hard_state);
      written.entries.insert(written.entries.end(), batch.entries.begin(),
                             batch.entries.end());
      core.OnPersisted(now, batch.seq);
    }
    std::move(out.events.begin(), out.events.end(), std::back_inserter(events));
  }
  return events;
}

std::ptrdiff_t CountOf(const Events& events, EventId id) {
  return std::count_if(events.begin(), events.end(),
                       [&](const Event& event) { return event.id() == id; });
}

void RestartTellsNothingTwice() {
  std::vector<LoggedCommand> commands(3);
  commands[0].command = InstallPlan{SamplePlan()};
  commands[1].command = SampleGraph("g", {SampleStep(2)});
  commands[2].command = SetEvacuated{"dc-a", true};
  RestoredLog disk;
  const Events first = LeadAlone(RestoredLog{}, commands, disk);
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                       CountOf(first, EventId::kGraphAccepted));
  RestoredLog after;
  const Events second = LeadAlone(disk, {}, after);
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                       CountOf(second, EventId::kLeaderElected));
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0},
                       CountOf(second, EventId::kGraphAccepted));
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0},
                       CountOf(second, EventId::kEvacuationChanged));
}

}  // namespace

Section ControlCoreStory() {
  Section story("A replica's core");
  story.With(Section("after a restart")
                 .Then("tells nothing twice that its disk holds",
                       RestartTellsNothingTwice));
  return story;
}

}  // namespace banyan
