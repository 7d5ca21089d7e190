#include "banyan/graph/plan_watch.h"

#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kBound = Millis(3000);
constexpr Time kStart = Time(std::chrono::seconds(50));

void ReportsPeerThatStaysBehind() {
  PlanWatch watch(kBound);
  watch.OnInForce(kStart, 1);
  watch.OnHeld(kStart, "edge-0", 1);
  watch.OnInForce(kStart + Millis(1000), 2);
  // A later version does not put off the report.
  watch.OnInForce(kStart + Millis(3000), 3);
  CPPUNIT_ASSERT(watch.Tick(kStart + Millis(3900)).empty());
  const Events events = watch.Tick(kStart + Millis(4000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
  CPPUNIT_ASSERT(events[0].id() == EventId::kPlanBehind);
  CPPUNIT_ASSERT_EQUAL(std::string("1"), events[0].Field("held"));
  CPPUNIT_ASSERT_EQUAL(std::string("3"), events[0].Field("version"));
  CPPUNIT_ASSERT_EQUAL(std::string("3000"), events[0].Field("behind_ms"));
  CPPUNIT_ASSERT(watch.Tick(kStart + Millis(8000)).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       watch.Tick(kStart + Millis(9000)).size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       watch.PeersBehind(kStart + Millis(9000)));
}

void ReportsPeerThatHasCaughtUp() {
  PlanWatch watch(kBound);
  watch.OnInForce(kStart, 1);
  watch.OnHeld(kStart, "edge-0", 0);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch.Tick(kStart + kBound).size());
  watch.OnHeld(kStart + Millis(4000), "edge-0", 1);
  const Events events = watch.Tick(kStart + Millis(4000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
  CPPUNIT_ASSERT(events[0].id() == EventId::kPlanCaughtUp);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                       watch.PeersBehind(kStart + Millis(4000)));
}

void CountsFromTheAttachment() {
  PlanWatch watch(kBound);
  watch.OnInForce(kStart, 1);
  const Time attached_at = kStart + std::chrono::seconds(60);
  watch.OnHeld(attached_at, "edge-0", 0);
  CPPUNIT_ASSERT(watch.Tick(attached_at + Millis(2900)).empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2900},
                       ToMillis(watch.LongestLag(attached_at + Millis(2900))));
  watch.Remove("edge-0");
  CPPUNIT_ASSERT(watch.Tick(attached_at + kBound).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, watch.peers());
}

}  // namespace

Section PlanWatchStory() {
  Section story("The watch over the plan in force");
  story.With(
      Section("on a process that lacks a version")
          .Then("reports it after the bound and again every 5 s",
                ReportsPeerThatStaysBehind)
          .Then("reports that it has caught up", ReportsPeerThatHasCaughtUp)
          .Then("counts from when the process was attached",
                CountsFromTheAttachment));
  return story;
}

}  // namespace banyan
