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
  watch.Remove(attached_at + Millis(2900), "edge-0");
  CPPUNIT_ASSERT(watch.Tick(attached_at + kBound).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, watch.peers());
}

// Guards against a process that never gets the plan and is never reported,
// since it turns from replica to replica sooner than the bound.
void ReportsPeerThatReconnects() {
  PlanWatch watch(kBound);
  watch.OnInForce(kStart, 1);
  std::size_t reports = 0;
  Time now = kStart;
  while (now < kStart + std::chrono::seconds(60)) {
    watch.OnHeld(now, "edge-0", 0);
    now += Millis(1300);
    reports += watch.Tick(now).size();
    watch.Remove(now, "edge-0");
    now += Millis(100);
    reports += watch.Tick(now).size();
  }
  CPPUNIT_ASSERT(reports > 0);
}

// Guards against reports of a process that gets each version within the bound
// while newer ones come into force.
void DoesNotReportPeerThatKeepsUp() {
  PlanWatch watch(kBound);
  watch.OnInForce(kStart, 1);
  watch.OnHeld(kStart, "edge-0", 1);
  for (std::uint64_t version = 2; version < 30; ++version) {
    const Time in_force_at = kStart + version * Millis(1000);
    watch.OnInForce(in_force_at, version);
    CPPUNIT_ASSERT(watch.Tick(in_force_at).empty());
    // The version before, 1.2 s after it came into force.
    watch.OnHeld(in_force_at + Millis(200), "edge-0", version - 1);
    CPPUNIT_ASSERT(watch.Tick(in_force_at + Millis(200)).empty());
  }
}

}  // namespace

Section PlanWatchStory() {
  Section story("The watch over the plan in force");
  story.With(
      Section("on a process that lacks a version")
          .Then("reports it after the bound and again every 5 s",
                ReportsPeerThatStaysBehind)
          .Then("reports that it has caught up", ReportsPeerThatHasCaughtUp)
          .Then("reports one that reconnects within the bound",
                ReportsPeerThatReconnects)
          .Then("does not report one that gets each version in time",
                DoesNotReportPeerThatKeepsUp)
          .Then("counts from when the process was attached",
                CountsFromTheAttachment));
  return story;
}

}  // namespace banyan
