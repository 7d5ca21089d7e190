#include "tests/soak/soak.h"

#include "tests/unit/story.h"

namespace banyan {
namespace {

// Far fewer would mean that the cluster stands still.
constexpr std::size_t kMinRuns = 100;
constexpr int kMinFaults = 5;

void Soak(const std::string& name, const SoakOptions& options) {
  const SoakResult result =
      RunSoak(Paths().binaries, Paths().scratch + "/" + name, options);
  std::string text;
  for (const std::string& line : result.violations) {
    text += "\n" + line;
  }
  CPPUNIT_ASSERT_MESSAGE(text, result.violations.empty());
  CPPUNIT_ASSERT(result.runs >= kMinRuns);
  CPPUNIT_ASSERT(result.faults >= kMinFaults);
}

// Guards against tasks that run twice since reports of another writer end
// incarnations that go on.
void ForeignReportsRunNothingTwice() {
  SoakOptions options;
  options.span = std::chrono::seconds(15);
  options.faults = {.foreign_reports = true,
                    .worker_restarts = false,
                    .agents = false,
                    .replicas = false,
                    .power_losses = false};
  Soak("soak-foreign", options);
}

// Guards against runs that go on past the lease that the leader knows of, and
// are placed again meanwhile, since calls to the former incarnation of a worker
// reach the next one.
void RestartsAndCutsRunNothingTwice() {
  SoakOptions options;
  options.seed = 6;
  options.span = std::chrono::seconds(15);
  options.faults = {.foreign_reports = false,
                    .worker_restarts = false,
                    .agents = false,
                    .replicas = false,
                    .power_losses = false,
                    .restart_cuts = true};
  Soak("soak-cuts", options);
}

// Guards against what only faults that overlap bring about.
void OverlappingFaultsLoseNothing() {
  SoakOptions options;
  options.seed = 2;
  options.faults.power_losses = false;
  Soak("soak-all", options);
}

// Guards against a replica that refuses its log, since a loss of power tore the
// record that was being written, and against acknowledged changes that are gone
// with it.
void PowerLossesLoseNothingAcknowledged() {
  SoakOptions options;
  options.seed = 3;
  // Fewer kinds of faults leave more losses of power to a short run.
  options.faults = {.foreign_reports = false,
                    .worker_restarts = false,
                    .agents = false,
                    .replicas = true,
                    .power_losses = true};
  Soak("soak-power", options);
}

// Guards against losses of disks, of two replicas at a time and at last beside
// a loss of power, that leave slow replicas without a majority.
void LostDisksLeaveAMajority() {
  SoakOptions options;
  options.seed = 4;
  options.span = std::chrono::seconds(6);
  options.shape = FiveReplicaShape();
  options.faults = {.foreign_reports = false,
                    .worker_restarts = false,
                    .agents = false,
                    .replicas = false,
                    .power_losses = false,
                    .lost_disks = true,
                    .slow_replicas = true};
  Soak("soak-disks", options);
}

// Guards against large configurations that do not get through thin links to
// entries and relays: a link that is left while it carries one, copies that are
// begun anew or sent twice.
void LargeConfigurationsReachThinLinks() {
  SoakOptions options;
  options.seed = 5;
  options.span = std::chrono::seconds(6);
  options.shape = ThinLinkShape();
  options.faults = {.foreign_reports = false,
                    .worker_restarts = false,
                    .agents = false,
                    .replicas = false,
                    .power_losses = true,
                    .lost_disks = true};
  Soak("soak-thin", options);
}

}  // namespace

Section SoakStory() {
  Section story("A soak on real processes");
  story
      .Then("runs nothing twice while others report in a worker's name",
            ForeignReportsRunNothingTwice)
      .Then("runs nothing twice though restarted workers take late calls",
            RestartsAndCutsRunNothingTwice)
      .Then("loses nothing and runs nothing twice among all faults",
            OverlappingFaultsLoseNothing)
      .Then("restores everything acknowledged after losses of power",
            PowerLossesLoseNothingAcknowledged)
      .Then("keeps a majority of slow replicas among losses of disks",
            LostDisksLeaveAMajority)
      .Then("gets large configurations through thin links in time",
            LargeConfigurationsReachThinLinks);
  return story;
}

}  // namespace banyan
