#include "banyan/net/peer_network.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/fakes/relay.h"
#include "tests/support/free_address.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kMaintenanceInterval = Millis(20);
constexpr Duration kConnectTimeout = std::chrono::seconds(5);
// Time after which an attempt to dial counts as overdue.
constexpr Duration kDialTimeout = std::chrono::seconds(3);
// The head start of the lesser id of a pair that dials symmetrically.
constexpr Duration kHeadStart = Millis(700);

// A PeerNetwork with what it reported.
class Node {
 public:
  explicit Node(const std::string& id, std::uint64_t incarnation = 1)
      : network_(id, incarnation, [this](PeerEvent&& event) {
          const std::lock_guard lock(mutex_);
          kinds_.push_back(event.kind);
        }) {}

  PeerNetwork& network() { return network_; }

  [[nodiscard]] std::size_t Count(PeerEvent::Kind kind) const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count(kinds_.begin(), kinds_.end(), kind));
  }

  [[nodiscard]] bool IsConnected() const {
    return Count(PeerEvent::Kind::kUp) > Count(PeerEvent::Kind::kDown);
  }

 private:
  mutable std::mutex mutex_;
  std::vector<PeerEvent::Kind> kinds_;
  PeerNetwork network_;
};

// Calls `maintain` every 20 ms until `is_done` or the deadline; returns
// `is_done` then.
bool MaintainUntil(const std::function<void(Time)>& maintain,
                   const std::function<bool()>& is_done,
                   Time deadline) {
  for (Time now = MonotonicClock::now(); now < deadline && !is_done();
       now = MonotonicClock::now()) {
    maintain(now);
    std::this_thread::sleep_for(kMaintenanceInterval);
  }
  return is_done();
}

// Guards against a connection that is replaced by a new one every 300 ms for
// ever after an attempt that was overdue, but not lost, was repeated.
void RepeatedAttemptLeavesOneConnection() {
  const std::string address = FreeAddress();
  Node replica(address);
  CPPUNIT_ASSERT(replica.network().Listen(address));
  replica.network().Start();
  Node entry("entry");
  entry.network().Start();
  const std::set<std::string> addresses = {address};
  const Time start = MonotonicClock::now();
  entry.network().Maintain(start, addresses);
  entry.network().Maintain(start + kDialTimeout, addresses);
  CPPUNIT_ASSERT(MaintainUntil([](Time) {}, [&] { return entry.IsConnected(); },
                               start + kConnectTimeout));
  constexpr Duration kFiveRedials = Millis(1500);
  const Time end = MonotonicClock::now() + kFiveRedials;
  MaintainUntil([&](Time now) { entry.network().Maintain(now, addresses); },
                [] { return false; }, end);
  CPPUNIT_ASSERT(entry.IsConnected());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entry.Count(PeerEvent::Kind::kDown));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replica.Count(PeerEvent::Kind::kDown));
}

// A pair of addresses, the lesser one first.
struct PairOfAddresses {
  std::string lesser;
  std::string greater;
};

PairOfAddresses FreePair() {
  const std::string one = FreeAddress();
  const std::string other = FreeAddress();
  return {std::min(one, other), std::max(one, other)};
}

// Starts a node that listens on `address` and dials symmetrically.
void StartSymmetric(Node& node, const std::string& address) {
  node.network().set_symmetric();
  CPPUNIT_ASSERT(node.network().Listen(address));
  node.network().Start();
}

// Guards against replicas that dial each other at the same time, each closing
// the connection that the other one keeps, and never get together on slow
// starts.
void CrossingAttemptsLeaveOneConnection() {
  constexpr Duration kDelay = Millis(250);
  constexpr Duration kSettled = Millis(1500);
  const PairOfAddresses ids = FreePair();
  const PairOfAddresses listened = FreePair();
  Relay to_lesser(ids.lesser, listened.lesser, kDelay);
  Relay to_greater(ids.greater, listened.greater, kDelay);
  Node lesser(ids.lesser);
  Node greater(ids.greater);
  StartSymmetric(lesser, listened.lesser);
  StartSymmetric(greater, listened.greater);
  // Takes away the head start, as if the greater one had started before.
  const auto maintain = [&](Time now) {
    greater.network().Maintain(now + kHeadStart, {ids.lesser});
    lesser.network().Maintain(now, {ids.greater});
  };
  greater.network().Maintain(MonotonicClock::now(), {ids.lesser});
  CPPUNIT_ASSERT(MaintainUntil(
      maintain, [&] { return lesser.IsConnected() && greater.IsConnected(); },
      MonotonicClock::now() + kConnectTimeout));
  MaintainUntil(
      maintain, [] { return false; }, MonotonicClock::now() + kSettled);
  CPPUNIT_ASSERT(lesser.IsConnected());
  CPPUNIT_ASSERT(greater.IsConnected());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lesser.Count(PeerEvent::Kind::kDown));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, greater.Count(PeerEvent::Kind::kDown));
}

// Connects a lesser node to a greater one, loses the greater one without the
// end of its connection, and lets the incarnation that follows it dial. Returns
// how long it takes to connect.
Duration ReturnAfterLossOfPower(std::uint64_t incarnation) {
  const PairOfAddresses ids = FreePair();
  const std::string listened = FreeAddress();
  Node lesser(ids.lesser);
  StartSymmetric(lesser, ids.lesser);
  Relay relay(ids.greater, listened);
  const auto is_connected = [&] { return lesser.IsConnected(); };
  {
    Node greater(ids.greater);
    StartSymmetric(greater, listened);
    CPPUNIT_ASSERT(MaintainUntil(
        [&](Time now) { lesser.network().Maintain(now, {ids.greater}); },
        is_connected, MonotonicClock::now() + kConnectTimeout));
    relay.set_mode(Relay::Mode::kHold);
  }
  Node returned(ids.greater, incarnation);
  returned.network().set_symmetric();
  returned.network().Start();
  const Time start = MonotonicClock::now();
  CPPUNIT_ASSERT(MaintainUntil(
      [&](Time now) {
        lesser.network().Maintain(now, {ids.greater});
        returned.network().Maintain(now, {ids.lesser});
      },
      [&] { return returned.IsConnected(); }, start + kConnectTimeout));
  CPPUNIT_ASSERT(lesser.IsConnected());
  return MonotonicClock::now() - start;
}

// Guards against a rule for crossing attempts that refuses a peer whose old
// connection is lost.
void NewIncarnationIsTakenAtOnce() {
  CPPUNIT_ASSERT(ReturnAfterLossOfPower(2) < kDialTimeout);
}

void SameIncarnationIsTaken() {
  static_cast<void>(ReturnAfterLossOfPower(1));
}

}  // namespace

Section PeerNetworkStory() {
  Section section("Connections to peers");
  section
      .With(Section("An attempt that is overdue")
                .Then("is repeated, and one connection stays",
                      RepeatedAttemptLeavesOneConnection))
      .With(Section("Two peers that dial each other at the same time")
                .Then("keep the same connection",
                      CrossingAttemptsLeaveOneConnection))
      .With(Section("A peer that comes back while its old connection is open")
                .Then("is taken at once in another incarnation",
                      NewIncarnationIsTakenAtOnce)
                .Then("is taken in the same one", SameIncarnationIsTaken));
  return section;
}

}  // namespace banyan
