#include "banyan/consensus/membership_plan.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;
using enum MembershipChangeKind;

constexpr Time kNow{seconds(100)};
constexpr MembershipOptions kOptions{Millis(250), seconds(1), seconds(4)};

const MemberId a{"a", 1};
const MemberId b{"b", 2};
const MemberId c{"c", 3};
const MemberId d{"d", 4};
const MemberId e{"e", 5};
// The replica c after it has lost its disk.
const MemberId new_c{"c", 30};

// A cell led by `a`, in which all others reply unless told otherwise.
class PlannedCell {
 public:
  PlannedCell(std::vector<MemberId> voters, std::vector<MemberId> learners)
      : membership_{std::move(voters), std::move(learners)} {
    for (const auto* group : {&membership_.voters, &membership_.learners}) {
      for (const MemberId& member : *group) {
        if (member != a) {
          others_.push_back({member, kNow - Millis(30), true, true, false});
        }
      }
    }
  }

  PlannedCell& Silent(const MemberId& member, Duration silence) {
    Find(member).silent_since = kNow - silence;
    return *this;
  }
  // A member that has not replied to this leader, elected `age` ago.
  PlannedCell& Unheard(const MemberId& member, Duration age) {
    Find(member).has_replied = false;
    return Silent(member, age);
  }
  PlannedCell& Lagging(const MemberId& member) {
    Find(member).is_caught_up = false;
    return *this;
  }
  PlannedCell& Leaving(const MemberId& member) {
    Find(member).is_leaving = true;
    return *this;
  }
  PlannedCell& Joining(const MemberId& member) {
    joining_.push_back(member);
    return *this;
  }

  PlannedCell& KeepingOddVoters() {
    options_.odd_voters = true;
    return *this;
  }

  [[nodiscard]] std::optional<MembershipChange> Plan() const {
    return PlanMembershipChange(membership_, others_, joining_, options_, kNow);
  }
  [[nodiscard]] PromotionObstacle ObstacleOf(const MemberId& learner) const {
    return FindPromotionObstacle(membership_, others_, learner, options_, kNow);
  }

  void ExpectNone() const {
    const auto change = Plan();
    CPPUNIT_ASSERT_MESSAGE(
        change ? std::string(ToString(change->kind)) + " " + change->member.id
               : "",
        !change);
  }
  void Expect(MembershipChangeKind kind, const MemberId& member) const {
    const auto change = Plan();
    CPPUNIT_ASSERT(change);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(kind)),
                         std::string(ToString(change->kind)));
    CPPUNIT_ASSERT(change->member == member);
  }

 private:
  MemberStatus& Find(const MemberId& member) {
    for (MemberStatus& other : others_) {
      if (other.member == member) {
        return other;
      }
    }
    CPPUNIT_FAIL("no such member");
    return others_.front();
  }

  Membership membership_;
  std::vector<MemberStatus> others_;
  std::vector<MemberId> joining_;
  MembershipOptions options_ = kOptions;
};

// Guards against a cell of four voters, one of them gone, that needs three: the
// loss of another replica would cost the majority for good.
void GoneVoterIsRemovedBeforeItsSuccessorIsPromoted() {
  PlannedCell({a, b, c}, {d}).Silent(c, seconds(2)).Expect(kRemoveVoter, c);
  PlannedCell({a, b}, {d}).Expect(kPromoteLearner, d);
}

// Guards against an even number of voters, of which halves that can't reach
// each other both lack a majority.
void SpareOfOddCellIsKept() {
  PlannedCell cell({a, b, c}, {d});
  cell.Expect(kPromoteLearner, d);
  cell.KeepingOddVoters().ExpectNone();
  CPPUNIT_ASSERT(cell.ObstacleOf(d) == PromotionObstacle::kSpare);
}

// Guards against spares that don't make the cell larger when there are two, or
// don't take the place of a voter that is gone.
void SpareIsPromotedWhereItIsNeeded() {
  PlannedCell({a, b, c}, {d, e}).KeepingOddVoters().Expect(kPromoteLearner, d);
  PlannedCell({a, b, c, d}, {e}).KeepingOddVoters().Expect(kPromoteLearner, e);
  PlannedCell({a, b, c}, {d, e}).KeepingOddVoters().Lagging(e).ExpectNone();
  PlannedCell({a, b, c}, {d})
      .KeepingOddVoters()
      .Silent(c, seconds(2))
      .Expect(kRemoveVoter, c);
  PlannedCell({a, b}, {d}).KeepingOddVoters().Expect(kPromoteLearner, d);
  PlannedCell({a}, {b}).KeepingOddVoters().Expect(kPromoteLearner, b);
}

void SilentVoterOfOddCellIsKeptWithoutSuccessor() {
  PlannedCell({a, b, c}, {}).Silent(c, seconds(60)).ExpectNone();
  PlannedCell({a, b, c}, {d}).Silent(c, seconds(60)).Lagging(d).ExpectNone();
  PlannedCell({a, b, c}, {d})
      .Silent(c, seconds(60))
      .Silent(d, Millis(300))
      .ExpectNone();
}

// Guards against a removal from an odd cell that the remaining voters can't
// commit: with the removed one back they would have been a majority.
void OddCellKeepsSilentVoterWhileAnotherMayBeGone() {
  PlannedCell({a, b, c}, {d})
      .Silent(c, seconds(2))
      .Silent(b, Millis(300))
      .ExpectNone();
  PlannedCell({a, b, c}, {d}).Leaving(c).Silent(b, Millis(300)).ExpectNone();
  PlannedCell({a, b, c, d, e}, {})
      .Silent(c, seconds(2))
      .Silent(d, seconds(2))
      .Silent(b, Millis(300))
      .ExpectNone();
}

void SilentVoterOfEvenCellIsRemovedAtOnce() {
  PlannedCell({a, b, c, d}, {}).Silent(c, seconds(1)).Expect(kRemoveVoter, c);
  PlannedCell({a, b, c, d}, {}).Silent(c, Millis(900)).ExpectNone();
}

void CellOfTwoKeepsItsSilentVoter() {
  PlannedCell({a, b}, {}).Silent(b, seconds(60)).ExpectNone();
}

// Guards against a promotion that makes the majority larger while a voter may
// be gone.
void PromotionWaitsUntilAllVotersAreKnown() {
  PlannedCell({a, b, c}, {d}).Unheard(c, Millis(30)).ExpectNone();
  PlannedCell({a, b, c}, {d}).Silent(c, Millis(300)).ExpectNone();
  PlannedCell({a, b, c}, {d}).Unheard(c, seconds(1)).Expect(kRemoveVoter, c);
  PlannedCell({a, b, c}, {d}).Expect(kPromoteLearner, d);
  PlannedCell({a, b, c, d}, {e})
      .Silent(c, Millis(300))
      .Expect(kPromoteLearner, e);
  PlannedCell({a, b}, {d}).Silent(b, Millis(900)).Expect(kPromoteLearner, d);
}

void LargeOddCellRemovesDepartedVoters() {
  PlannedCell({a, b, c, d, e}, {}).Silent(c, seconds(3)).ExpectNone();
  PlannedCell({a, b, c, d, e}, {})
      .Silent(c, seconds(4))
      .Expect(kRemoveVoter, c);
  PlannedCell({a, b, c, d, e}, {})
      .Silent(c, seconds(1))
      .Silent(d, seconds(2))
      .Expect(kRemoveVoter, d);
}

void OlderIncarnationIsRemovedAtOnce() {
  PlannedCell({a, b, c}, {new_c})
      .Silent(c, Millis(400))
      .Lagging(new_c)
      .Expect(kRemoveVoter, c);
  PlannedCell({a, b, c}, {new_c})
      .Silent(c, Millis(400))
      .Unheard(new_c, Millis(10))
      .ExpectNone();
}

void LeavingVoterOfEvenCellIsRemoved() {
  PlannedCell({a, b, c, d}, {}).Leaving(c).Expect(kRemoveVoter, c);
  PlannedCell({a, b, c}, {}).Leaving(c).ExpectNone();
  PlannedCell({a, b, c}, {d}).Leaving(d).ExpectNone();
}

void NewcomerBecomesLearner() {
  PlannedCell({a, b, c}, {}).Joining(d).Expect(kAddLearner, d);
  PlannedCell({a, b, c}, {d}).Lagging(d).Joining(d).ExpectNone();
  PlannedCell({a, b, d}, {c}).Lagging(c).Joining(new_c).ExpectNone();
  PlannedCell({a, b}, {d}).Joining(e).Expect(kPromoteLearner, d);
  const auto change =
      PlannedCell({a, b, d}, {c}).Silent(c, Millis(300)).Joining(new_c).Plan();
  CPPUNIT_ASSERT(change);
  CPPUNIT_ASSERT(change->next.learners == std::vector<MemberId>{new_c});
}

void SilentLearnerIsRemoved() {
  PlannedCell({a, b, c}, {d}).Silent(d, seconds(4)).Expect(kRemoveLearner, d);
}

}  // namespace

Section MembershipPlanStory() {
  Section section("Membership changes");
  section
      .With(Section("a voter that is gone")
                .Then("is removed before its successor is promoted",
                      GoneVoterIsRemovedBeforeItsSuccessorIsPromoted)
                .Then("stays in an odd cell until a successor is ready",
                      SilentVoterOfOddCellIsKeptWithoutSuccessor)
                .Then("stays in an odd cell while another may be gone, too",
                      OddCellKeepsSilentVoterWhileAnotherMayBeGone)
                .Then("is removed from an even cell at once",
                      SilentVoterOfEvenCellIsRemovedAtOnce)
                .Then("is removed from an odd cell if two are gone or it has "
                      "departed",
                      LargeOddCellRemovesDepartedVoters)
                .Then("stays in a cell of two", CellOfTwoKeepsItsSilentVoter)
                .Then("is removed once a later incarnation replies",
                      OlderIncarnationIsRemovedAtOnce)
                .Then("is removed from an even cell when it shuts down",
                      LeavingVoterOfEvenCellIsRemoved))
      .With(Section("a newcomer")
                .Then("becomes a learner in place of its older incarnation",
                      NewcomerBecomesLearner)
                .Then("is promoted in an odd cell once all voters are known",
                      PromotionWaitsUntilAllVotersAreKnown)
                .Then("that falls silent is removed", SilentLearnerIsRemoved))
      .With(Section("a spare")
                .Then("is kept by a cell that wants an odd number of voters",
                      SpareOfOddCellIsKept)
                .Then("is promoted where it is needed",
                      SpareIsPromotedWhereItIsNeeded));
  return section;
}

}  // namespace banyan
