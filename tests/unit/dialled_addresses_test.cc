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

// A replica that knows two voters and a learner besides itself.
KnownCell Known(const std::string& leader) {
  KnownCell known;
  known.self = "self";
  known.leader = leader;
  known.seeds = Seeds();
  known.membership.voters = {{"self", 1}, {"voter-1", 1}, {"voter-2", 1}};
  known.membership.learners = {{"learner", 1}};
  return known;
}

void DialsSeedsAndMembers() {
  const std::set<std::string> expected = {"learner", "seed-1", "seed-2",
                                          "voter-1", "voter-2"};
  CPPUNIT_ASSERT(expected == AddressesToDial(Known("")));
}

void DialsMembersOnly() {
  const std::set<std::string> expected = {"learner", "voter-1", "voter-2"};
  CPPUNIT_ASSERT(expected == AddressesToDial(Known("voter-1")));
  CPPUNIT_ASSERT(expected == AddressesToDial(Known("self")));
}

// Guards against a replica with an old log that closes the connection through
// which the leader sends it the entries that it lacks.
void DialsUnknownLeader() {
  const std::set<std::string> expected = {"learner", "successor", "voter-1",
                                          "voter-2"};
  CPPUNIT_ASSERT(expected == AddressesToDial(Known("successor")));
}

}  // namespace

Section DialledAddressesStory() {
  Section section("The addresses that a replica dials");
  section
      .Then("are those of the seeds and members while it knows no leader",
            DialsSeedsAndMembers)
      .Then("are those of the members once it knows a leader", DialsMembersOnly)
      .Then("hold the leader that its log doesn't hold", DialsUnknownLeader);
  return section;
}

}  // namespace banyan
