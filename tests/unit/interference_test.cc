#include "banyan/graph/interference.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include "banyan/base/random.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr double kTargetMs = 24;
constexpr double kUnloadedMs = 4;
constexpr double kSwingStep = 0.314;
constexpr int kReportsAlone = 40;

// A serving task on two workers, with neighbours on the second only. What it
// reports follows a queue: its load, and what neighbours make of it.
class ServingPair {
 public:
  // The model sees the tasks alone for two swings of their load first.
  explicit ServingPair(InterferenceModel& model) {
    for (int i = 0; i < kReportsAlone; ++i) {
      now_ += Millis(500);
      model.Observe(now_, ReportOf(0.3 * (1 - std::cos(i * kSwingStep))), {});
    }
  }

  // Reports, in whole milliseconds, under a load and neighbours whose true
  // levels are given.
  void Report(InterferenceModel& model,
              double load,
              const std::vector<FillingNeighbour>& neighbours,
              const std::vector<double>& levels) {
    now_ += Millis(500);
    model.Observe(now_, ReportOf(load), {});
    ReportBeside(model, load, neighbours, levels);
  }

  // The same of a group that has no task without neighbours.
  void ReportBeside(InterferenceModel& model,
                    double load,
                    const std::vector<FillingNeighbour>& neighbours,
                    const std::vector<double>& levels) {
    double rise = 1;
    for (std::size_t i = 0; i < neighbours.size(); ++i) {
      rise += neighbours[i].load * levels[i];
    }
    model.Observe(now_, ReportOf(std::min(load * rise, 0.97)), neighbours);
  }

 private:
  static LatencyReport ReportOf(double occupied) {
    const double latency = std::round(kUnloadedMs / (1 - occupied)) / kTargetMs;
    return {"watch", "serving", latency, 1 / kTargetMs};
  }

  Time now_ = Time(std::chrono::seconds(100));
};

double LevelOf(const InterferenceModel& model, const std::string& image) {
  return model.BeliefOf("serving", image).expected_level();
}

void HoldsInAPeakWhatWasLearnedInALull() {
  // The pattern of watch feeds, whose load swings between a quarter and three
  // quarters within seconds while packet builds fill beside them.
  InterferenceModel model;
  ServingPair pair(model);
  for (int i = 0; i < 20; ++i) {
    pair.Report(model, 0.4, {{"builds", 0.1}}, {6});
  }
  const std::array<FillingNeighbour, 1> present = {{{"builds", 0.05}}};
  const double expected = 0.6 * (1 + model.ExpectedRise("serving", present));
  constexpr double kTrue = 0.6 * (1 + 0.05 * 6);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(kTrue, expected, 0.05);
}

void TellsALightNeighbourFromAHeavyOne() {
  Random random(1);
  InterferenceModel model;
  ServingPair pair(model);
  for (int i = 0; i < 60; ++i) {
    pair.Report(model, 0.3 + 0.3 * random.NextDouble(),
                {{"light", 0.3 * random.NextDouble()},
                 {"heavy", 0.1 * random.NextDouble()}},
                {0.2, 8});
  }
  CPPUNIT_ASSERT(LevelOf(model, "light") < 1);
  CPPUNIT_ASSERT(LevelOf(model, "heavy") > 5);
}

void FollowsALevelThatChanges() {
  InterferenceModel model;
  ServingPair pair(model);
  for (int i = 0; i < 20; ++i) {
    pair.Report(model, 0.5, {{"builds", 0.1}}, {0});
  }
  CPPUNIT_ASSERT(LevelOf(model, "builds") < 1);
  for (int i = 0; i < 4; ++i) {
    pair.Report(model, 0.5, {{"builds", 0.1}}, {6});
  }
  CPPUNIT_ASSERT_MESSAGE("within two seconds", LevelOf(model, "builds") > 4);
}

void ClearsAHarmlessImageWithinThreeSeconds() {
  InterferenceModel model;
  ServingPair pair(model);
  CPPUNIT_ASSERT(model.IsUncertain("serving", "builds"));
  for (int i = 0; i < 6; ++i) {
    pair.Report(model, 0.45, {{"builds", 0.1}}, {0});
  }
  CPPUNIT_ASSERT(!model.IsUncertain("serving", "builds"));
  CPPUNIT_ASSERT(model.BeliefOf("serving", "builds").interferes < 0.5);
}

void KeepsTheClassOfAPairWhoseLevelDrifts() {
  // The pattern of a pair that was measured over a day: heavy all the time,
  // at a level between 0.7 and 7 that changes within seconds.
  Random random(1);
  InterferenceModel model;
  ServingPair pair(model);
  for (int i = 0; i < 60; ++i) {
    const double level = 3.9 + 3.2 * std::sin(i / 6.0);
    pair.Report(model, 0.45,
                {{"heavy", 0.15 * random.NextDouble()},
                 {"light", 0.3 * random.NextDouble()}},
                {level, 0});
  }
  CPPUNIT_ASSERT(model.BeliefOf("serving", "heavy").interferes > 0.9);
  CPPUNIT_ASSERT(model.BeliefOf("serving", "light").interferes < 0.1);
}

void BlamesTheUnknownOfAKnownAndAnUnknownImage() {
  InterferenceModel model;
  ServingPair pair(model);
  for (int i = 0; i < 20; ++i) {
    pair.Report(model, 0.45, {{"cleared", 0.2}}, {0});
  }
  for (int i = 0; i < 4; ++i) {
    pair.Report(model, 0.45, {{"cleared", 0.2}, {"new", 0.1}}, {0, 5});
  }
  CPPUNIT_ASSERT(model.BeliefOf("serving", "cleared").interferes < 0.1);
  CPPUNIT_ASSERT(model.BeliefOf("serving", "new").interferes > 0.9);
}

void LearnsTheBaseBesideHarmlessNeighbours() {
  // No task of the group is without neighbours, but they are known.
  InterferenceModel model;
  ServingPair pair(model);
  for (int i = 0; i < 20; ++i) {
    pair.Report(model, 0.3, {{"cleared", 0.2}}, {0});
  }
  for (int i = 0; i < 8; ++i) {
    pair.ReportBeside(model, 0.6, {{"cleared", 0.2}}, {0});
  }
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, model.BaseOccupancy("watch", "serving"),
                               0.1);
  CPPUNIT_ASSERT(model.BeliefOf("serving", "cleared").interferes < 0.15);
}

void IsNotTurnedByOneWildReport() {
  // A worker that hesitates reports a latency that no neighbour explains.
  InterferenceModel model;
  ServingPair pair(model);
  for (int i = 0; i < 20; ++i) {
    pair.Report(model, 0.4, {{"cleared", 0.1}}, {0});
  }
  pair.ReportBeside(model, 0.95, {{"cleared", 0.1}}, {0});
  CPPUNIT_ASSERT(model.BeliefOf("serving", "cleared").interferes < 0.3);
}

void DoesNotAgeBackwards() {
  // A report that was delayed on its way is older than the last of its group.
  InterferenceModel model;
  const LatencyReport report{"watch", "serving", 0.5, 1 / kTargetMs};
  const std::array<FillingNeighbour, 1> builds = {{{"builds", 0.1}}};
  model.Observe(Time(std::chrono::seconds(100)), report, builds);
  model.Observe(Time(std::chrono::seconds(10)), report, builds);
  const double base = model.BaseOccupancy("watch", "serving");
  CPPUNIT_ASSERT(base > 0 && base < 1);
  const double rise = model.SafeRise("serving", builds);
  CPPUNIT_ASSERT(rise > 0 && rise < 1);
}

}  // namespace

Section InterferenceStory() {
  Section story("Interference of best-effort tasks");
  story
      .With(Section("as a level of a pair")
                .Then("holds in a peak when it was learned in a lull",
                      HoldsInAPeakWhatWasLearnedInALull)
                .Then("follows a change within two seconds",
                      FollowsALevelThatChanges))
      .With(Section("as a class of a pair")
                .Then("is told apart for two neighbours of one task",
                      TellsALightNeighbourFromAHeavyOne)
                .Then("is cleared within three seconds",
                      ClearsAHarmlessImageWithinThreeSeconds)
                .Then("stays while the level drifts",
                      KeepsTheClassOfAPairWhoseLevelDrifts)
                .Then("falls on the image that is not known yet",
                      BlamesTheUnknownOfAKnownAndAnUnknownImage)
                .Then("is not turned by one wild report",
                      IsNotTurnedByOneWildReport))
      .With(Section("from a report that comes late")
                .Then("stays within bounds", DoesNotAgeBackwards))
      .With(Section("apart from the load")
                .Then("leaves the base to be learned beside harmless images",
                      LearnsTheBaseBesideHarmlessNeighbours));
  return story;
}

}  // namespace banyan
