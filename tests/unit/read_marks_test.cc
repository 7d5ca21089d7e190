#include "banyan/process/read_marks.h"

#include <atomic>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "banyan/base/bounded_ring.h"
#include "banyan/net/peer_network.h"
#include "tests/support/free_address.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Time kStart(std::chrono::seconds(50));
constexpr ReadMarkTimings kTimings{.interval = Millis(20),
                                   .longest_gap = Millis(250),
                                   .settling = Millis(125)};

// Guards against silences that are judged over time in which the process has
// read nothing.
void MarkTellsWhatHasBeenRead() {
  ReadMarks marks(kStart, kTimings);
  std::vector<ReadMark> sent;
  const auto tick = [&](Duration after) {
    marks.Tick(kStart + after, [&](ReadMark mark) { sent.push_back(mark); });
  };
  tick(Millis(10));
  // A turn of 200 ms: the mark is still on its way.
  tick(Millis(210));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
  CPPUNIT_ASSERT(marks.heard_until() == kStart);
  marks.OnMark(sent[0]);
  CPPUNIT_ASSERT(marks.heard_until() == kStart + Millis(10));
  tick(Millis(220));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
  marks.OnMark(sent[1]);
  CPPUNIT_ASSERT(marks.heard_until() == kStart + Millis(220));
}

// Guards against a process that never gives up a replica again because a full
// ring has dropped a mark.
void LostMarkIsReplaced() {
  ReadMarks marks(kStart, kTimings);
  std::vector<ReadMark> sent;
  for (int i = 0; i <= 100; ++i) {
    marks.Tick(kStart + i * Millis(20),
               [&](ReadMark mark) { sent.push_back(mark); });
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sent.size());
  marks.OnMark(sent[0]);
  marks.OnMark(sent[2]);
  marks.OnMark(sent[1]);
  marks.OnMark({sent[2].at + kTimings.settling});
  CPPUNIT_ASSERT(marks.heard_until() >= sent[2].at);
}

// Guards against processes that were stopped together and take each other for
// lost, as none has had the time to send anything since.
void GapCountsOnceOthersHadTimeToBeHeard() {
  ReadMarks marks(kStart, kTimings);
  const Time thaw = kStart + std::chrono::seconds(3);
  marks.OnMark({thaw});
  CPPUNIT_ASSERT(marks.heard_until() == kStart);
  marks.OnMark({thaw + Millis(100)});
  CPPUNIT_ASSERT(marks.heard_until() == kStart);
  marks.OnMark({thaw + kTimings.settling});
  CPPUNIT_ASSERT(marks.heard_until() == thaw + kTimings.settling);
}

// Guards against a process whose turns are all long and that finds nobody lost.
void GapsInSeriesCountOneTurnLater() {
  ReadMarks marks(kStart, kTimings);
  for (int i = 1; i <= 5; ++i) {
    marks.OnMark({kStart + i * std::chrono::seconds(1)});
    CPPUNIT_ASSERT(marks.heard_until() ==
                   kStart + (i - 1) * std::chrono::seconds(1));
  }
}

// Guards against a turn that handles all inputs that have waited, however many.
void RingGivesNoMoreThanAskedFor() {
  BoundedRing<int> ring(8);
  for (int i = 0; i < 5; ++i) {
    CPPUNIT_ASSERT(ring.TryPush(int{i}));
  }
  const Time now = MonotonicClock::now();
  CPPUNIT_ASSERT((ring.PopUpTo(3, now) == std::vector<int>{0, 1, 2}));
  CPPUNIT_ASSERT((ring.PopUpTo(3, now) == std::vector<int>{3, 4}));
  CPPUNIT_ASSERT(ring.PopUpTo(3, now).empty());
}

// Guards against a mark that comes back before messages that had arrived when
// it was sent.
void MarkComesAfterWhatHadArrived() {
  constexpr int kMessages = 50;
  const std::string address = FreeAddress();
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::atomic<int> received = 0;
  PeerNetwork reader(address, 1, [&](PeerEvent&& event) {
    if (event.kind == PeerEvent::Kind::kMessage && received++ == 0) {
      released.wait();
    }
  });
  CPPUNIT_ASSERT(reader.Listen(address));
  reader.Start();
  std::atomic<bool> is_up = false;
  PeerNetwork writer("writer", 1, [&](PeerEvent&& event) {
    is_up = is_up || event.kind == PeerEvent::Kind::kUp;
  });
  writer.Start();
  const Time deadline = MonotonicClock::now() + std::chrono::seconds(5);
  while (!is_up && MonotonicClock::now() < deadline) {
    writer.Maintain(MonotonicClock::now(), std::set<std::string>{address});
    std::this_thread::sleep_for(Millis(10));
  }
  for (int i = 0; i < kMessages; ++i) {
    writer.Send(address, TimeoutNow{1});
  }
  std::this_thread::sleep_for(Millis(200));
  std::promise<int> seen;
  reader.AfterReading([&] { seen.set_value(received.load()); });
  release.set_value();
  CPPUNIT_ASSERT_EQUAL(kMessages, seen.get_future().get());
  writer.Stop();
  reader.Stop();
}

}  // namespace

Section ReadMarksStory() {
  Section section("Until when a loop has read");
  section.Then("a mark tells what has been read", MarkTellsWhatHasBeenRead)
      .Then("a mark that was lost is replaced", LostMarkIsReplaced)
      .Then("a gap counts once others had time to be heard",
            GapCountsOnceOthersHadTimeToBeHeard)
      .Then("gaps in series count one turn later",
            GapsInSeriesCountOneTurnLater)
      .Then("the ring gives no more than asked for",
            RingGivesNoMoreThanAskedFor)
      .Then("a mark comes after what had arrived",
            MarkComesAfterWhatHadArrived);
  return section;
}

}  // namespace banyan
