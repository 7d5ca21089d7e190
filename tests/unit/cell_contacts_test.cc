#include "banyan/consensus/cell_contacts.h"

#include <cstddef>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "banyan/graph/cell_directory.h"
#include "banyan/process/member_announcer.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using Addresses = std::set<std::string>;

Membership MembershipOf(const std::vector<std::string>& voters) {
  Membership membership;
  for (const std::string& voter : voters) {
    membership.voters.push_back({voter, 1});
  }
  return membership;
}

// The receivers of messages, each of which must name these replicas.
std::vector<std::string> ReceiversOf(const std::vector<Outbound>& messages,
                                     const std::vector<std::string>& replicas) {
  std::vector<std::string> receivers;
  for (const Outbound& outbound : messages) {
    const auto* referral = std::get_if<CellReferral>(&outbound.message);
    CPPUNIT_ASSERT(referral != nullptr);
    CPPUNIT_ASSERT(replicas == referral->addresses);
    receivers.push_back(outbound.to);
  }
  return receivers;
}

using Receivers = std::vector<std::string>;

// --- CellContacts ---

// Guards against a replica whose seeds are relays and that never finds its
// cell.
void HoldsWhatIsKnown() {
  CellContacts contacts({"self", "seed"});
  contacts.OnReferral("seed", {{"named", "self"}});
  contacts.OnMisaddressed("caller");
  const Addresses expected = {"caller", "named", "seed", "voter"};
  CPPUNIT_ASSERT(expected ==
                 contacts.All(MembershipOf({"self", "voter"}), "self"));
}

// Guards against replicas that are gone and are asked for ever.
void ReplacesReferralOfSameProcess() {
  CellContacts contacts({"seed"});
  contacts.OnReferral("relay-1", {{"old"}});
  contacts.OnReferral("relay-2", {{"other"}});
  contacts.OnReferral("relay-1", {{"new"}});
  const Addresses expected = {"new", "other", "seed"};
  CPPUNIT_ASSERT(expected == contacts.All({}, "self"));
}

// Guards against a replica whose good seeds are replaced by bad ones before it
// has found its cell.
void KeepsFormerSeeds() {
  CellContacts contacts({"seed-1"});
  contacts.SetSeeds({"seed-2"});
  CPPUNIT_ASSERT((Addresses{"seed-1", "seed-2"}) == contacts.All({}, "self"));
  CPPUNIT_ASSERT(std::vector<std::string>{"seed-2"} == contacts.seeds());
  constexpr int kMany = 100;
  constexpr std::size_t kMost = 9;
  for (int i = 0; i < kMany; ++i) {
    contacts.SetSeeds({std::to_string(i)});
  }
  CPPUNIT_ASSERT_EQUAL(kMost, contacts.All({}, "self").size());
}

// Guards against settings that name nobody and leave a replica alone.
void KeepsSeedsForNone() {
  CellContacts contacts({"seed-1"});
  contacts.SetSeeds({});
  CPPUNIT_ASSERT((Addresses{"seed-1"}) == contacts.All({}, "self"));
}

// Guards against processes that name more than a replica can dial.
void BoundsReferrals() {
  constexpr std::size_t kMany = 200;
  constexpr std::size_t kMost = 32;
  CellContacts contacts({});
  for (std::size_t i = 0; i < kMany; ++i) {
    CellReferral referral;
    for (std::size_t j = 0; j < kMany; ++j) {
      referral.addresses.push_back(std::to_string(i) + "/" + std::to_string(j));
    }
    contacts.OnReferral(std::to_string(i), referral);
  }
  const Addresses all = contacts.All({}, "self");
  CPPUNIT_ASSERT_EQUAL(kMost, all.size());
  CPPUNIT_ASSERT_MESSAGE("the latest is kept", all.contains("199/0"));
}

// --- CellDirectory ---

// Guards against requests to a relay whose senders can't tell whether a replica
// has them.
void TellsAtOnceThatItIsNoReplica() {
  CellDirectory directory;
  directory.OnUp("gateway");
  CPPUNIT_ASSERT((Receivers{"gateway"}) ==
                 ReceiversOf(directory.TakeMessages(), {}));
}

// Guards against a newcomer that has asked a relay before this one knew the
// cell.
void TellsThoseThatCameBefore() {
  CellDirectory directory;
  directory.OnUp("newcomer");
  static_cast<void>(directory.TakeMessages());
  directory.SetReplicas({"r1", "r2"});
  CPPUNIT_ASSERT((Receivers{"newcomer"}) ==
                 ReceiversOf(directory.TakeMessages(), {"r1", "r2"}));
}

void TellsEachOnce() {
  CellDirectory directory;
  directory.SetReplicas({"r1"});
  directory.OnUp("newcomer");
  CPPUNIT_ASSERT((Receivers{"newcomer"}) ==
                 ReceiversOf(directory.TakeMessages(), {"r1"}));
  directory.SetReplicas({"r1"});
  CPPUNIT_ASSERT(directory.TakeMessages().empty());
}

// Guards against newcomers that ask replicas that are gone.
void TellsChanges() {
  CellDirectory directory;
  directory.SetReplicas({"r1"});
  directory.OnUp("newcomer");
  static_cast<void>(directory.TakeMessages());
  directory.SetReplicas({"r2"});
  CPPUNIT_ASSERT((Receivers{"newcomer"}) ==
                 ReceiversOf(directory.TakeMessages(), {"r2"}));
}

void TellsNobodyThatIsGone() {
  CellDirectory directory;
  directory.SetReplicas({"r1"});
  directory.OnUp("newcomer");
  directory.OnDown("newcomer");
  CPPUNIT_ASSERT(directory.TakeMessages().empty());
}

// Guards against a replica that has lost what it learnt with its power.
void TellsAgainOnNewConnection() {
  CellDirectory directory;
  directory.SetReplicas({"r1"});
  directory.OnUp("newcomer");
  static_cast<void>(directory.TakeMessages());
  directory.OnDown("newcomer");
  directory.OnUp("newcomer");
  CPPUNIT_ASSERT((Receivers{"newcomer"}) ==
                 ReceiversOf(directory.TakeMessages(), {"r1"}));
}

// --- MemberAnnouncer ---

const std::vector<std::string>& Seeds() {
  static const std::vector<std::string> seeds = {"relay-1", "relay-2", "r2"};
  return seeds;
}

// Guards against a relay that has restarted, whose seeds are relays that have
// restarted as well, and that no replica tells where the cell is.
void TellsConnectedSeeds() {
  MemberAnnouncer announcer;
  announcer.OnUp("relay-1");
  announcer.OnUp("r2");
  announcer.OnUp("stranger");
  const Membership membership = MembershipOf({"r1", "r2"});
  CPPUNIT_ASSERT(
      (Receivers{"relay-1"}) ==
      ReceiversOf(announcer.Announce(membership, Seeds()), {"r1", "r2"}));
  CPPUNIT_ASSERT(announcer.Announce(membership, Seeds()).empty());
}

void TellsNoLearner() {
  MemberAnnouncer announcer;
  announcer.OnUp("relay-1");
  Membership membership = MembershipOf({"r1"});
  membership.learners.push_back({"relay-1", 1});
  CPPUNIT_ASSERT(announcer.Announce(membership, Seeds()).empty());
}

// Guards against a replica outside its cell that names nobody in place of the
// replicas that a relay knows.
void TellsNothingWithoutMembership() {
  MemberAnnouncer announcer;
  announcer.OnUp("relay-1");
  CPPUNIT_ASSERT(announcer.Announce({}, Seeds()).empty());
  CPPUNIT_ASSERT(
      (Receivers{"relay-1"}) ==
      ReceiversOf(announcer.Announce(MembershipOf({"r1"}), Seeds()), {"r1"}));
}

void TellsNewVoters() {
  MemberAnnouncer announcer;
  announcer.OnUp("relay-1");
  static_cast<void>(announcer.Announce(MembershipOf({"r1"}), Seeds()));
  CPPUNIT_ASSERT(
      (Receivers{"relay-1"}) ==
      ReceiversOf(announcer.Announce(MembershipOf({"r2"}), Seeds()), {"r2"}));
}

// Guards against a relay that restarts while the voters stay the same.
void TellsARelayThatIsBack() {
  MemberAnnouncer announcer;
  const Membership membership = MembershipOf({"r1"});
  announcer.OnUp("relay-1");
  static_cast<void>(announcer.Announce(membership, Seeds()));
  announcer.OnDown("relay-1");
  CPPUNIT_ASSERT(announcer.Announce(membership, Seeds()).empty());
  announcer.OnUp("relay-1");
  CPPUNIT_ASSERT((Receivers{"relay-1"}) ==
                 ReceiversOf(announcer.Announce(membership, Seeds()), {"r1"}));
}

}  // namespace

Section CellContactsStory() {
  Section contacts("The contacts of a replica");
  contacts
      .Then("are its seeds, the voters and who was named or called it",
            HoldsWhatIsKnown)
      .Then("hold what each process named last", ReplacesReferralOfSameProcess)
      .Then("are former seeds as well, within bounds", KeepsFormerSeeds)
      .Then("keep the seeds if new settings name none", KeepsSeedsForNone)
      .Then("are bounded whatever is named", BoundsReferrals);
  Section directory("The directory of a relay");
  directory
      .Then("says at once that it is no replica", TellsAtOnceThatItIsNoReplica)
      .Then("tells those that came before it knew any",
            TellsThoseThatCameBefore)
      .Then("tells each of them once", TellsEachOnce)
      .Then("tells them when the replicas change", TellsChanges)
      .Then("tells nobody that is gone", TellsNobodyThatIsGone)
      .Then("tells again on a new connection", TellsAgainOnNewConnection);
  Section announcer("The announcer of a replica");
  announcer
      .Then("tells connected seeds that are no members, once",
            TellsConnectedSeeds)
      .Then("tells no learner", TellsNoLearner)
      .Then("tells nothing without a membership", TellsNothingWithoutMembership)
      .Then("tells new voters", TellsNewVoters)
      .Then("tells a relay that is back", TellsARelayThatIsBack);
  Section section("Processes that look for their cell");
  section.With(contacts).With(directory).With(announcer);
  return section;
}

}  // namespace banyan
