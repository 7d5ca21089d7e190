// Processes whose seeds do not name the replicas of their cell.

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "banyan/net/peer_network.h"
#include "banyan/process/worker_agent_process.h"
#include "tests/support/free_address.h"
#include "tests/support/small_cell.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

// Of SmallCell.
constexpr Duration kCatchUp = seconds(4);
// Required of a process that starts while the cell is undisturbed.
constexpr Duration kContact = seconds(3);

std::string Folder() {
  return Paths().scratch + "/seeds";
}

// Guards against a successor that is never admitted: the next losses that the
// cell has to bear then take its majority for good.
void SuccessorThatKnowsRelays() {
  SmallCell cell(Folder());
  const CellSettings settings = RelaySettings(FreeAddress(), cell.Addresses());
  const auto relay = StartRelay(settings);
  CPPUNIT_ASSERT(IsReady(settings, kContact));
  cell.Remove(2);
  const std::size_t successor = cell.AddReplica({settings.listen});
  CPPUNIT_ASSERT(cell.IsWhole(successor, kCatchUp));
}

// Guards against gateways that restart while the operator's list names relays
// first, and never serve again.
void GatewayThatKnowsRelays() {
  SmallCell cell(Folder());
  const CellSettings known = RelaySettings(FreeAddress(), cell.Addresses());
  const auto relay = StartRelay(known);
  CPPUNIT_ASSERT(IsReady(known, kContact));
  const CellSettings settings = RelaySettings(FreeAddress(), {known.listen});
  const auto gateway = StartRelay(settings);
  CPPUNIT_ASSERT(IsReady(settings, kContact));
}

// Guards against relays of a site that has lost its power: each knows others
// like itself only, and nothing leads them to the replicas, which know some.
void RelaysThatKnowEachOther() {
  SmallCell cell(Folder());
  CellSettings first = RelaySettings(FreeAddress(), {});
  CellSettings second = RelaySettings(FreeAddress(), {first.listen});
  first.seeds = {second.listen};
  const auto first_relay = StartRelay(first);
  const auto second_relay = StartRelay(second);
  CPPUNIT_ASSERT(!IsReady(first, Millis(500)));
  CPPUNIT_ASSERT(!IsReady(second, Millis(0)));
  cell.SetSeeds(0, {first.listen});
  CPPUNIT_ASSERT(IsReady(first, kContact));
  CPPUNIT_ASSERT(IsReady(second, kContact));
}

// Guards against an entry that never asks the replica of its own machine, whose
// address its settings name as well.
void EntryBesideAReplica() {
  SmallCell cell(Folder());
  CellSettings settings = RelaySettings(cell.Address(0), {cell.Address(0)});
  settings.control_address.clear();
  const auto entry = StartRelay(settings);
  CPPUNIT_ASSERT(IsReady(settings, kContact));
}

// Guards against replicas that keep the addresses of their start, all of which
// may be gone by the time that they look for the cell.
void SuccessorThatIsGivenOtherSeeds(bool is_relay) {
  SmallCell cell(Folder());
  const CellSettings settings = RelaySettings(FreeAddress(), cell.Addresses());
  const auto relay = StartRelay(settings);
  CPPUNIT_ASSERT(IsReady(settings, kContact));
  cell.Remove(2);
  const std::size_t successor = cell.AddReplica({FreeAddress()});
  CPPUNIT_ASSERT(!cell.IsWhole(successor, Millis(500)));
  cell.SetSeeds(successor, {is_relay ? settings.listen : cell.Address(0)});
  CPPUNIT_ASSERT(cell.IsWhole(successor, kCatchUp));
}

void SuccessorThatIsGivenAReplica() {
  SuccessorThatIsGivenOtherSeeds(false);
}

void SuccessorThatIsGivenARelay() {
  SuccessorThatIsGivenOtherSeeds(true);
}

// The only replica of a cell, as far as entries, relays and agents see.
class LoneReplica {
 public:
  LoneReplica()
      : address_(FreeAddress()), network_(address_, 1, [this](PeerEvent&& e) {
          const std::lock_guard lock(mutex_);
          peers_.insert(e.sender.id);
        }) {
    CPPUNIT_ASSERT(network_.Listen(address_));
    network_.Start();
    thread_ = std::thread([this] {
      while (!must_end_) {
        for (const std::string& peer : Peers()) {
          network_.Send(peer, CellMembers{{address_}});
          network_.Send(peer, EntryStatusAck{0, true});
        }
        std::this_thread::sleep_for(Millis(20));
      }
    });
  }
  ~LoneReplica() {
    must_end_ = true;
    thread_.join();
    network_.Stop();
  }
  LoneReplica(const LoneReplica&) = delete;
  LoneReplica& operator=(const LoneReplica&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }

  // Returns the processes that have connected.
  [[nodiscard]] std::set<std::string> Peers() const {
    const std::lock_guard lock(mutex_);
    return peers_;
  }

 private:
  const std::string address_;
  mutable std::mutex mutex_;
  std::set<std::string> peers_;
  PeerNetwork network_;
  std::atomic<bool> must_end_{false};
  std::thread thread_;
};

// A worker that is not there.
class NoWorker : public RunCallClient {
 public:
  RunCallReply Call(const RunCall& call) override {
    return MakeUnansweredReply(call);
  }
};

// Guards against agents that are attached to a relay for good, so that nothing
// runs on their workers.
void AgentThatKnowsARelay() {
  const LoneReplica replica;
  const CellSettings known = RelaySettings(FreeAddress(), {replica.address()});
  const auto relay = StartRelay(known);
  CPPUNIT_ASSERT(IsReady(known, kContact));
  CellSettings settings;
  settings.id = "agent";
  settings.seeds = {known.listen};
  settings.control_address = FreeAddress();
  settings.worker_address = FreeAddress();
  WorkerAgentProcess agent(
      settings, {[](const HttpCall&, HttpReply&) { return std::nullopt; },
                 [](const std::string&) -> std::unique_ptr<RunCallClient> {
                   return std::make_unique<NoWorker>();
                 }});
  Reason reason;
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), agent.Start(reason));
  CPPUNIT_ASSERT(
      HoldsWithin(kContact, [&] { return replica.Peers().contains("agent"); }));
  agent.Stop();
}

// Guards against a relay that gives up its replica, and with it its calls, when
// that replica announces the cell to it.
void RelayWhoseReplicaKnowsIt() {
  SmallCell cell(Folder());
  const CellSettings settings = RelaySettings(FreeAddress(), cell.Addresses());
  const auto relay = StartRelay(settings);
  CPPUNIT_ASSERT(IsReady(settings, kContact));
  for (const std::size_t position : {0U, 1U, 2U}) {
    cell.SetSeeds(position, {settings.listen});
  }
  CPPUNIT_ASSERT_MESSAGE(
      "a relay that is not ready",
      !HoldsWithin(seconds(2), [&] { return !IsReady(settings, Millis(0)); }));
}

}  // namespace

Section SeedsStory() {
  Section story("Seeds");
  story.With(
      Section("that name relays")
          .Then("lead a successor to its cell within the time to catch up",
                SuccessorThatKnowsRelays)
          .Then("lead a gateway to a replica", GatewayThatKnowsRelays)
          .Then("lead an agent to a replica", AgentThatKnowsARelay)
          .Then("make those relays serve that name each other only",
                RelaysThatKnowEachOther)
          .Then("leave a relay with its replica", RelayWhoseReplicaKnowsIt));
  story.With(
      Section("that name the machine itself")
          .Then("lead an entry to the replica beside it", EntryBesideAReplica));
  story.With(Section("that replace dead ones")
                 .Then("lead a successor to its cell by a replica",
                       SuccessorThatIsGivenAReplica)
                 .Then("lead a successor to its cell by a relay",
                       SuccessorThatIsGivenARelay));
  return story;
}

}  // namespace banyan
