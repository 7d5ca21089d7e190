// Processes whose seeds do not name the replicas of their cell.

#include <string>
#include <vector>

#include "tests/support/free_address.h"
#include "tests/support/small_cell.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

// Of SmallCell.
constexpr Duration kCatchUp = seconds(4);
// Required of a process that starts while the cell is undisturbed.
constexpr Duration kContact = seconds(3);

std::string Folder() {
  return Paths().scratch + "/seeds";
}

// Guards against a successor that is never admitted: the next losses that the
// cell has to bear then take its majority for good.
void SuccessorThatKnowsRelays() {
  SmallCell cell(Folder());
  const CellSettings settings = RelaySettings(FreeAddress(), cell.Addresses());
  const auto relay = StartRelay(settings);
  CPPUNIT_ASSERT(IsReady(settings, kContact));
  cell.Remove(2);
  const std::size_t successor = cell.AddReplica({settings.listen});
  CPPUNIT_ASSERT(cell.IsWhole(successor, kCatchUp));
}

// Guards against gateways that restart while the operator's list names relays
// first, and never serve again.
void GatewayThatKnowsRelays() {
  SmallCell cell(Folder());
  const CellSettings known = RelaySettings(FreeAddress(), cell.Addresses());
  const auto relay = StartRelay(known);
  CPPUNIT_ASSERT(IsReady(known, kContact));
  const CellSettings settings = RelaySettings(FreeAddress(), {known.listen});
  const auto gateway = StartRelay(settings);
  CPPUNIT_ASSERT(IsReady(settings, kContact));
}

}  // namespace

Section SeedsStory() {
  Section story("Seeds");
  story.With(
      Section("that name relays")
          .Then("lead a successor to its cell within the time to catch up",
                SuccessorThatKnowsRelays)
          .Then("lead a gateway to a replica", GatewayThatKnowsRelays));
  return story;
}

}  // namespace banyan
