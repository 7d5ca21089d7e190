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
// Phase advance of the load per report, in radians.
constexpr double kLoadPhaseStep = 0.314;
constexpr int kWarmUpReports = 40;

// Simulates the reports of a latency-sensitive service with one task on each of
// two workers, and best-effort neighbours on the second worker only. The
// latency follows a queue whose occupancy is the load, increased by the
// neighbours.
class SimulatedService {
 public:
  // Reports the tasks without neighbours over two periods of a sinusoidal load.
  explicit SimulatedService(InterferenceModel& model) {
    for (int i = 0; i < kWarmUpReports; ++i) {
      now_ += Millis(500);
      model.Observe(now_, MakeReport(0.3 * (1 - std::cos(i * kLoadPhaseStep))),
                    {});
    }
  }

  // Reports both tasks, with latencies in whole milliseconds, at the given load
  // and true sensitivities to the neighbours.
  void Report(InterferenceModel& model,
              double load,
              const std::vector<BestEffortNeighbour>& neighbours,
              const std::vector<double>& sensitivities) {
    now_ += Millis(500);
    model.Observe(now_, MakeReport(load), {});
    ReportWithNeighbours(model, load, neighbours, sensitivities);
  }

  // Reports the task with neighbours only.
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
  // Guards against estimates that are valid only at the load at which they were
  // made: the load of some services varies between 1/4 and 3/4 of their
  // capacity within seconds.
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
    service.Report(model, 0.3 + 0.3 * random.NextDouble(),
                   {{"light", 0.3 * random.NextDouble()},
                    {"heavy", 0.1 * random.NextDouble()}},
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
  // Guards against losing the class of a pair that interferes all the time but
  // with a sensitivity that varies between 0.7 and 7 within seconds.
  Random random(1);
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 60; ++i) {
    const double sensitivity = 3.9 + 3.2 * std::sin(i / 6.0);
    service.Report(model, 0.45,
                   {{"heavy", 0.15 * random.NextDouble()},
                    {"light", 0.3 * random.NextDouble()}},
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
  // Every task of the group has neighbours, but their images are known.
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
  // A worker that stalls briefly reports a latency that no neighbour explains.
  InterferenceModel model;
  SimulatedService service(model);
  for (int i = 0; i < 20; ++i) {
    service.Report(model, 0.4, {{"cleared", 0.1}}, {0});
  }
  service.ReportWithNeighbours(model, 0.95, {{"cleared", 0.1}}, {0});
  CPPUNIT_ASSERT(model.EstimateFor("serving", "cleared").probability < 0.3);
}

void ToleratesOutOfOrderReports() {
  // A delayed report is older than the last one of its group. A negative age
  // would make the estimates grow beyond their bounds.
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
      .With(Section("sensitivity of an image pair")
                .Then("is valid at high load if estimated at low load",
                      EstimateFromLowLoadHoldsAtHighLoad)
                .Then("tracks a change within two seconds",
                      TracksChangingSensitivity))
      .With(Section("classification of an image pair")
                .Then("separates two neighbours of one task",
                      SeparatesLightFromHeavyNeighbour)
                .Then("identifies a harmless image within three seconds",
                      ClassifiesHarmlessImageWithinThreeSeconds)
                .Then("is kept while the sensitivity drifts",
                      KeepsClassWhileSensitivityDrifts)
                .Then("attributes an increase to the unknown image",
                      AttributesIncreaseToUnknownImage)
                .Then("is not reversed by a single outlier",
                      ResistsSingleOutlier))
      .With(Section("estimates after a delayed report")
                .Then("stay within bounds", ToleratesOutOfOrderReports))
      .With(Section("base occupancy")
                .Then("is learned beside harmless images",
                      LearnsBaseWithHarmlessNeighbours));
  return story;
}

}  // namespace banyan
