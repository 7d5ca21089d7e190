#include "banyan/graph/worker_suspicion.h"

#include <set>

#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

// Returns the suspicion of a worker on which batch runs of two graphs failed.
WorkerSuspicion Suspected() {
  WorkerSuspicion suspicion;
  CPPUNIT_ASSERT(!suspicion.OnFailure(kStart, RunOf("g", 0, 0), false));
  CPPUNIT_ASSERT(suspicion.OnFailure(kStart, RunOf("h", 0, 0), false));
  return suspicion;
}

// Guards against a suspicion that only a run ends that may never come.
void EndsByTime() {
  const WorkerSuspicion suspicion = Suspected();
  const Time end = kStart + WorkerSuspicion::kRetention;
  CPPUNIT_ASSERT(suspicion.is_suspected(end - Millis(1)));
  CPPUNIT_ASSERT(!suspicion.is_suspected(end));
  CPPUNIT_ASSERT(suspicion.AccessAt(end, {}) == WorkerAccess::kOpen);
}

// Guards against failures that are held against a worker long after.
void FailuresFarApartDoNotAddUp() {
  WorkerSuspicion suspicion;
  CPPUNIT_ASSERT(!suspicion.OnFailure(kStart, RunOf("g", 0, 0), false));
  CPPUNIT_ASSERT(!suspicion.OnFailure(kStart + WorkerSuspicion::kRetention,
                                      RunOf("h", 0, 0), false));
}

// Guards against a probe that keeps other runs out for as long as it lasts.
void ProbeKeepsOthersOutForALimitedTime() {
  WorkerSuspicion suspicion = Suspected();
  CPPUNIT_ASSERT(suspicion.AccessAt(kStart, {}) == WorkerAccess::kQuarantine);
  const Time placed = kStart + WorkerSuspicion::kCooldown;
  CPPUNIT_ASSERT(suspicion.AccessAt(placed, {}) == WorkerAccess::kProbe);
  const RunRef probe = RunOf("i", 0, 0);
  suspicion.OnPlaced(placed, probe);
  const std::set<RunRef> active = {probe};
  CPPUNIT_ASSERT(suspicion.AccessAt(placed, active) == WorkerAccess::kProbing);
  CPPUNIT_ASSERT(suspicion.AccessAt(placed + WorkerSuspicion::kMaxProbeTime,
                                    active) == WorkerAccess::kProbe);
}

// Guards against a grey worker that is opened by its own failed probe.
void FailedProbeExtendsIt() {
  WorkerSuspicion suspicion = Suspected();
  const Time placed = kStart + WorkerSuspicion::kCooldown;
  suspicion.OnPlaced(placed, RunOf("i", 0, 0));
  CPPUNIT_ASSERT(suspicion.OnFailure(placed, RunOf("i", 0, 0), false));
  CPPUNIT_ASSERT(suspicion.AccessAt(placed, {}) == WorkerAccess::kQuarantine);
  CPPUNIT_ASSERT(suspicion.is_suspected(kStart + WorkerSuspicion::kRetention));
}

// Guards against long-running tasks that are restarted as often as they fail
// and renew the suspicion each time.
void LongRunningFailuresDoNotExtendIt() {
  WorkerSuspicion suspicion = Suspected();
  for (Duration passed{}; passed < WorkerSuspicion::kRetention;
       passed += Millis(500)) {
    for (const char* graph : {"i", "j", "k"}) {
      CPPUNIT_ASSERT(
          !suspicion.OnFailure(kStart + passed, RunOf(graph, 0, 0), true));
    }
  }
  CPPUNIT_ASSERT(suspicion.AccessAt(kStart + WorkerSuspicion::kCooldown, {}) ==
                 WorkerAccess::kProbe);
  CPPUNIT_ASSERT(!suspicion.is_suspected(kStart + WorkerSuspicion::kRetention));
}

// Guards against a sound worker that is suspected again at once by the same
// long-running tasks.
void RefutedFailuresDoNotCountAgain() {
  WorkerSuspicion suspicion;
  CPPUNIT_ASSERT(!suspicion.OnFailure(kStart, RunOf("g", 0, 0), true));
  CPPUNIT_ASSERT(suspicion.OnFailure(kStart, RunOf("h", 0, 0), true));
  suspicion.Clear();
  CPPUNIT_ASSERT(!suspicion.is_suspected(kStart));
  for (const char* graph : {"g", "h"}) {
    CPPUNIT_ASSERT(
        !suspicion.OnFailure(kStart + Millis(100), RunOf(graph, 0, 0), true));
  }
}

}  // namespace

Section WorkerSuspicionStory() {
  Section story("The suspicion of a worker");
  story.Then("ends by time", EndsByTime)
      .Then("does not add up failures that are far apart",
            FailuresFarApartDoNotAddUp)
      .Then("has probes that keep others out for a limited time",
            ProbeKeepsOthersOutForALimitedTime)
      .Then("is extended by a probe that fails", FailedProbeExtendsIt)
      .Then("is not extended by long-running tasks that fail",
            LongRunningFailuresDoNotExtendIt)
      .Then("is not raised again by what was refuted",
            RefutedFailuresDoNotCountAgain);
  return story;
}

}  // namespace banyan
