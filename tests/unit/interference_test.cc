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
constexpr double kLoadPhaseStep = 0.314;
constexpr int kWarmUpReports = 40;

// A serving task on two workers, with neighbours on the second only. What it
// reports follows a queue: its load, and what neighbours make of it.
class SimulatedService {
 public:
  // The model sees the tasks alone for two swings of their load first.
  explicit SimulatedService(InterferenceModel& model) {
    for (int i = 0; i < kWarmUpReports; ++i) {
      now_ += Millis(500);
      model.Observe(now_, MakeReport(0.3 * (1 - std::cos(i * kLoadPhaseStep))),
                    {});
    }
  }

  // Reports, in whole milliseconds, under a load and neighbours whose true
  // levels are given.
  void Report(InterferenceModel& model,
              double load,
              const std::vector<BestEffortNeighbour>& neighbours,
              const std::vector<double>& sensitivities) {
    now_ += Millis(500);
    model.Observe(now_, MakeReport(load), {});
    ReportWithNeighbours(model, load, neighbours, sensitivities);
  }

  // The same of a group that has no task without neighbours.
  void ReportWithNeighbours(InterferenceModel& model,
                            double load,
                            const std::vector<BestEffortNeighbour>& neighbours,
                            const std::vector<double>& sensitivities) {
    double increase = 1;
    for (std::size_t i = 0; i < neighbours.size(); ++i) {
      increase += neighbours[i].load * sensitivities[i];
    }
    model.Observe(now_, MakeReport(std::min(load * increase, 0.97)),
                  neighbours);
  }

 private:
  static LatencyReport MakeReport(double occupancy) {
    const double latency =
        std::round(kUnloadedMs / (1 - occupancy)) / kTargetMs;
    return {"watch", "serving", latency, 1 / kTargetMs};
  }

  Time now_ = Time(std::chrono::seconds(100));
};

double SensitivityOf(const InterferenceModel& model, const std::string& image) {
  return model.EstimateFor("serving", image).expected_sensitivity();
}

void EstimateFromLowLoadHoldsAtHighLoad() {
  // The pattern of watch feeds, whose load swings between a quarter and three
  // quarters within seconds while packet builds fill beside them.
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 20; ++i) {
    service.Report(model, 0.4, {{"builds", 0.1}}, {6});
  }
  const std::array<BestEffortNeighbour, 1> neighbours = {{{"builds", 0.05}}};
  const double expected =
      0.6 * (1 + model.ExpectedIncrease("serving", neighbours));
  constexpr double kTrueOccupancy = 0.6 * (1 + 0.05 * 6);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(kTrueOccupancy, expected, 0.05);
}

void SeparatesLightFromHeavyNeighbour() {
  Random random(1);
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 60; ++i) {
    service.Report(
        model, 0.3 + 0.3 * random.Unit(),
        {{"light", 0.3 * random.Unit()}, {"heavy", 0.1 * random.Unit()}},
        {0.2, 8});
  }
  CPPUNIT_ASSERT(SensitivityOf(model, "light") < 1);
  CPPUNIT_ASSERT(SensitivityOf(model, "heavy") > 5);
}

void TracksChangingSensitivity() {
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 20; ++i) {
    service.Report(model, 0.5, {{"builds", 0.1}}, {0});
  }
  CPPUNIT_ASSERT(SensitivityOf(model, "builds") < 1);
  for (int i = 0; i < 4; ++i) {
    service.Report(model, 0.5, {{"builds", 0.1}}, {6});
  }
  CPPUNIT_ASSERT_MESSAGE("within two seconds",
                         SensitivityOf(model, "builds") > 4);
}

void ClassifiesHarmlessImageWithinThreeSeconds() {
  InterferenceModel model;
  SimulatedService service(model);
  CPPUNIT_ASSERT(model.IsUncertain("serving", "builds"));
  for (int i = 0; i < 6; ++i) {
    service.Report(model, 0.45, {{"builds", 0.1}}, {0});
  }
  CPPUNIT_ASSERT(!model.IsUncertain("serving", "builds"));
  CPPUNIT_ASSERT(model.EstimateFor("serving", "builds").probability < 0.5);
}

void KeepsClassWhileSensitivityDrifts() {
  // The pattern of a pair that was measured over a day: heavy all the time,
  // at a level between 0.7 and 7 that changes within seconds.
  Random random(1);
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 60; ++i) {
    const double sensitivity = 3.9 + 3.2 * std::sin(i / 6.0);
    service.Report(
        model, 0.45,
        {{"heavy", 0.15 * random.Unit()}, {"light", 0.3 * random.Unit()}},
        {sensitivity, 0});
  }
  CPPUNIT_ASSERT(model.EstimateFor("serving", "heavy").probability > 0.9);
  CPPUNIT_ASSERT(model.EstimateFor("serving", "light").probability < 0.1);
}

void AttributesIncreaseToUnknownImage() {
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 20; ++i) {
    service.Report(model, 0.45, {{"cleared", 0.2}}, {0});
  }
  for (int i = 0; i < 4; ++i) {
    service.Report(model, 0.45, {{"cleared", 0.2}, {"new", 0.1}}, {0, 5});
  }
  CPPUNIT_ASSERT(model.EstimateFor("serving", "cleared").probability < 0.1);
  CPPUNIT_ASSERT(model.EstimateFor("serving", "new").probability > 0.9);
}

void LearnsBaseWithHarmlessNeighbours() {
  // No task of the group is without neighbours, but they are known.
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 20; ++i) {
    service.Report(model, 0.3, {{"cleared", 0.2}}, {0});
  }
  for (int i = 0; i < 8; ++i) {
    service.ReportWithNeighbours(model, 0.6, {{"cleared", 0.2}}, {0});
  }
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, model.BaseOccupancy("watch", "serving"),
                               0.1);
  CPPUNIT_ASSERT(model.EstimateFor("serving", "cleared").probability < 0.15);
}

void ResistsSingleOutlier() {
  // A worker that hesitates reports a latency that no neighbour explains.
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 20; ++i) {
    service.Report(model, 0.4, {{"cleared", 0.1}}, {0});
  }
  service.ReportWithNeighbours(model, 0.95, {{"cleared", 0.1}}, {0});
  CPPUNIT_ASSERT(model.EstimateFor("serving", "cleared").probability < 0.3);
}

void ToleratesOutOfOrderReports() {
  // A report that was delayed on its way is older than the last of its group.
  InterferenceModel model;
  const LatencyReport report{"watch", "serving", 0.5, 1 / kTargetMs};
  const std::array<BestEffortNeighbour, 1> builds = {{{"builds", 0.1}}};
  model.Observe(Time(std::chrono::seconds(100)), report, builds);
  model.Observe(Time(std::chrono::seconds(10)), report, builds);
  const double base = model.BaseOccupancy("watch", "serving");
  CPPUNIT_ASSERT(base > 0 && base < 1);
  const double increase = model.ConservativeIncrease("serving", builds);
  CPPUNIT_ASSERT(increase > 0 && increase < 1);
}

}  // namespace

Section InterferenceStory() {
  Section story("Interference of best-effort tasks");
  story
      .With(Section("as a level of a pair")
                .Then("holds in a peak when it was learned in a lull",
                      EstimateFromLowLoadHoldsAtHighLoad)
                .Then("follows a change within two seconds",
                      TracksChangingSensitivity))
      .With(Section("as a class of a pair")
                .Then("is told apart for two neighbours of one task",
                      SeparatesLightFromHeavyNeighbour)
                .Then("is cleared within three seconds",
                      ClassifiesHarmlessImageWithinThreeSeconds)
                .Then("stays while the level drifts",
                      KeepsClassWhileSensitivityDrifts)
                .Then("falls on the image that is not known yet",
                      AttributesIncreaseToUnknownImage)
                .Then("is not turned by one wild report", ResistsSingleOutlier))
      .With(Section("from a report that comes late")
                .Then("stays within bounds", ToleratesOutOfOrderReports))
      .With(Section("apart from the load")
                .Then("leaves the base to be learned beside harmless images",
                      LearnsBaseWithHarmlessNeighbours));
  return story;
}

}  // namespace banyan
