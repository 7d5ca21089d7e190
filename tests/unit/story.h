#ifndef BANYAN_TESTS_UNIT_STORY_H_
#define BANYAN_TESTS_UNIT_STORY_H_

#include <cppunit/TestCaller.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <utility>

namespace banyan {

// A test case made of a name and a function, so that sections can nest and
// read as a story.
class StoryCase : public CppUnit::TestCase {
 public:
  StoryCase(const std::string& name, std::function<void()> body)
      : CppUnit::TestCase(name), body_(std::move(body)) {}

  void runTest() override { body_(); }

 private:
  std::function<void()> body_;
};

// A section of the story: further sections and cases below a heading.
class Section {
 public:
  explicit Section(std::string heading)
      : suite_(new CppUnit::TestSuite(std::move(heading))) {}

  // Adds a case.
  Section& Then(const std::string& name, std::function<void()> body) {
    suite_->addTest(new StoryCase(name, std::move(body)));
    return *this;
  }

  // Adds a section below this one.
  Section& With(const Section& below) {
    suite_->addTest(below.suite_);
    return *this;
  }

  // The suite; the one it is added to owns it.
  [[nodiscard]] CppUnit::TestSuite* suite() const { return suite_; }

 private:
  CppUnit::TestSuite* suite_;
};

// Where the tests find what they work on.
struct TestPaths {
  std::string binaries;
  std::string event_catalogue;
  std::string traces;
  std::string scratch;
};

// The paths of this run.
const TestPaths& Paths();

// One function a feature; each returns its part of the story.
Section WireStory();
Section SettingsStory();
Section EventsStory();
Section StorageStory();
Section PowerLossStory();
Section ConsensusStory();
Section CellContactsStory();
Section CellWorldStory();
Section MembershipPlanStory();
Section MembershipWatchStory();
Section TurnMonitorStory();
Section ReadMarksStory();
Section ControlCoreStory();
Section ControlStateStory();
Section SchedulerStory();
Section RoutingStory();
Section AdmissionForecastStory();
Section AgentStory();
Section GraphPlacementStory();
Section GraphTableStory();
Section CallEventStory();
Section CrashStory();
Section GraphWorldStory();
Section GraphLeaderStory();
Section WorkerAgentStory();
Section IncarnationFenceStory();
Section LongRunningStory();
Section LongTurnStory();
Section WorkerSuspicionStory();
Section InterferenceStory();
Section OverloadedWorkerStory();
Section PacerStory();
Section PeerNetworkStory();
Section DialledAddressesStory();
Section PlanCheckStory();
Section PlanTransferStory();
Section PlanWatchStory();
Section CellClientStory();
Section HttpClientStory();
Section HttpServerStory();
Section GangCheckpointStory();
Section GatewayProcessStory();
Section LateCallStory();
Section PlatformCodecStory();
Section DecoderFuzzStory();
Section ServingRankStory();
Section LookAheadStory();
Section SpeculationStory();
Section UrgencyStory();
Section UrgentRoomStory();
Section WorkerCordonStory();
Section RunTimeModelStory();
Section AuditStory();
Section ReplayStory();
Section MatrixStory();
Section ProcessStory();
Section SoakStory();
Section SeedsStory();

}  // namespace banyan

#endif  // BANYAN_TESTS_UNIT_STORY_H_
