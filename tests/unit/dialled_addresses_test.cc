#include "banyan/process/dialled_addresses.h"

#include <set>
#include <string>
#include <vector>

#include "tests/unit/story.h"

namespace banyan {
namespace {

const std::vector<std::string>& Seeds() {
  static const std::vector<std::string> seeds = {"seed-1", "seed-2", "self"};
  return seeds;
}

// Returns what a replica dials that knows two voters and a learner besides
// itself, and one replica that a relay has named.
std::set<std::string> DialledUnder(const std::string& leader) {
  CellContacts contacts(Seeds());
  contacts.OnReferral("seed-1", {{"named"}});
  Membership membership;
  membership.voters = {{"self", 1}, {"voter-1", 1}, {"voter-2", 1}};
  membership.learners = {{"learner", 1}};
  return AddressesToDial({"self", leader, contacts, membership});
}

void DialsAllContacts() {
  const std::set<std::string> expected = {"learner", "named",   "seed-1",
                                          "seed-2",  "voter-1", "voter-2"};
  CPPUNIT_ASSERT(expected == DialledUnder(""));
}

// Guards against a relay that has restarted, that other processes ask, and that
// no replica tells where the cell is.
void DialsMembersAndSeeds() {
  const std::set<std::string> expected = {"learner", "seed-1", "seed-2",
                                          "voter-1", "voter-2"};
  CPPUNIT_ASSERT(expected == DialledUnder("voter-1"));
  CPPUNIT_ASSERT(expected == DialledUnder("self"));
}

// Guards against a replica with an old log that closes the connection through
// which the leader sends it the entries that it lacks.
void DialsUnknownLeader() {
  const std::set<std::string> expected = {"learner",   "seed-1",  "seed-2",
                                          "successor", "voter-1", "voter-2"};
  CPPUNIT_ASSERT(expected == DialledUnder("successor"));
}

}  // namespace

Section DialledAddressesStory() {
  Section section("The addresses that a replica dials");
  section
      .Then(
          "are those of the members and all contacts while it knows no leader",
          DialsAllContacts)
      .Then("are those of the members and seeds once it knows a leader",
            DialsMembersAndSeeds)
      .Then("hold the leader that its log doesn't hold", DialsUnknownLeader);
  return section;
}

}  // namespace banyan
