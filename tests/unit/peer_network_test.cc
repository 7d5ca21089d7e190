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

#include "tests/support/free_address.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kMaintenanceInterval = Millis(20);
constexpr Duration kConnectTimeout = std::chrono::seconds(5);
// Time after which an attempt to dial counts as overdue.
constexpr Duration kDialTimeout = std::chrono::seconds(3);

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
  CPPUNIT_ASSERT(entry.Count(PeerEvent::Kind::kDown) <= 1);
  CPPUNIT_ASSERT(replica.Count(PeerEvent::Kind::kDown) <= 1);
}

}  // namespace

Section PeerNetworkStory() {
  Section section("Connections to peers");
  section.With(Section("An attempt that is overdue")
                   .Then("is repeated, and one connection stays",
                         RepeatedAttemptLeavesOneConnection));
  return section;
}

}  // namespace banyan
