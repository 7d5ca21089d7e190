#include "banyan/consensus/membership_watch.h"

#include <vector>

#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr Duration kHeartbeat = Millis(50);
constexpr Duration kCatchUp = seconds(6);
constexpr MembershipOptions kOptions{Millis(250), Millis(1500), kCatchUp};

const MemberId a{"a", 1};
const MemberId b{"b", 2};
const MemberId c{"c", 3};
const MemberId d{"d", 4};

// The leader `a` of the voters a, b and c, which has just added the learner d.
class WatchedCell {
 public:
  WatchedCell() {
    for (const MemberId& member : {b, c, d}) {
      others_.push_back({member, kStart, true, true, false, kStart});
    }
  }

  // Lets time pass in which all members reply, and returns what is logged.
  Events Run(Duration span) {
    Events events;
    for (const Time end = now_ + span; now_ < end;) {
      now_ += kHeartbeat;
      for (MemberStatus& other : others_) {
        other.silent_since = now_;
      }
      watch_.Observe(
          now_, {membership_, others_, kOptions, losses_borne_, 2, kCatchUp},
          events);
    }
    return events;
  }

  MemberStatus& learner() { return others_.back(); }
  void set_losses_borne(std::int64_t losses) { losses_borne_ = losses; }

 private:
  Time now_ = kStart;
  Membership membership_{{a, b, c}, {d}};
  std::vector<MemberStatus> others_;
  std::int64_t losses_borne_ = 2;
  MembershipWatch watch_;
};

// Guards against a replica that is back and not a voter, of which nothing
// tells.
void LearnerThatWaitsIsLogged() {
  WatchedCell cell;
  cell.learner().is_caught_up = false;
  cell.learner().lag = 40;
  CPPUNIT_ASSERT(cell.Run(Millis(1950)).empty());
  const Events events = cell.Run(seconds(6));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
  CPPUNIT_ASSERT(events[0].id() == EventId::kLearnerWaiting);
  CPPUNIT_ASSERT_EQUAL(std::string("d/4"), events[0].Field("member"));
  CPPUNIT_ASSERT_EQUAL(std::string("40"), events[0].Field("lag"));
  CPPUNIT_ASSERT_EQUAL(std::string("log"), events[0].Field("waits_for"));
  CPPUNIT_ASSERT_EQUAL(std::string("2000"), events[0].Field("waited_ms"));
  CPPUNIT_ASSERT_EQUAL(std::string("7000"), events[1].Field("waited_ms"));
}

// Guards against a cell that the next loss would end, of which nothing tells.
void TooFewLossesBorneAreLogged() {
  WatchedCell cell;
  cell.learner().added_at = kStart + seconds(60);
  cell.set_losses_borne(1);
  CPPUNIT_ASSERT(cell.Run(kCatchUp).empty());
  const Events events = cell.Run(seconds(5));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
  CPPUNIT_ASSERT(events[0].id() == EventId::kLossesShort);
  CPPUNIT_ASSERT_EQUAL(std::string("1"), events[0].Field("losses_borne"));
  CPPUNIT_ASSERT_EQUAL(std::string("2"), events[0].Field("losses_required"));
  cell.set_losses_borne(2);
  const Events restored = cell.Run(seconds(20));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restored.size());
  CPPUNIT_ASSERT(restored[0].id() == EventId::kLossesRestored);
}

void ShortLossesAreNotLogged() {
  WatchedCell cell;
  cell.learner().added_at = kStart + seconds(60);
  for (int i = 0; i < 3; ++i) {
    cell.set_losses_borne(0);
    CPPUNIT_ASSERT(cell.Run(seconds(5)).empty());
    cell.set_losses_borne(2);
    CPPUNIT_ASSERT(cell.Run(seconds(1)).empty());
  }
}

}  // namespace

Section MembershipWatchStory() {
  Section section("What the leader tells of its cell");
  section
      .Then("a learner that waits is logged with what it waits for",
            LearnerThatWaitsIsLogged)
      .Then(
          "a cell that bears too few losses is logged, and that it bears "
          "them again",
          TooFewLossesBorneAreLogged)
      .Then("a loss that ends within the catch-up time is not logged",
            ShortLossesAreNotLogged);
  return section;
}

}  // namespace banyan
