#include "tests/support/cell_world.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "tests/unit/story.h"

namespace banyan {
namespace {

using std::chrono::seconds;

// Far fewer would mean that a world stands still.
constexpr int kMinEvents = 3;
constexpr std::uint64_t kMinAcknowledged = 200;

// Reads a number from the environment. BANYAN_WORLD_SEEDS is how many seeds
// each series plays, BANYAN_WORLD_FIRST the first of them; a single seed that
// fails is printed with all that happened.
std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::stoull(value);
}

// Plays each seed and fails with the first violation of each.
void Play(const CellWorldOptions& options) {
  constexpr std::uint64_t kSeeds = 20;
  const std::uint64_t seeds = FromEnvironment("BANYAN_WORLD_SEEDS", kSeeds);
  const std::uint64_t first = FromEnvironment("BANYAN_WORLD_FIRST", 1);
  std::string text;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const CellWorldResult result = PlayCellWorld(options, seed);
    if (!result.violations.empty()) {
      ++failed;
      text += "\nseed " + std::to_string(seed) + ", " +
              std::to_string(result.violations.size()) +
              " violations, the first: " + result.violations.front();
      if (seeds == 1) {
        text += "\n" + result.history;
      }
      continue;
    }
    CPPUNIT_ASSERT(result.events >= kMinEvents);
    CPPUNIT_ASSERT(result.acknowledged >= kMinAcknowledged);
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(failed) + " of " +
                             std::to_string(seeds) + " seeds failed" + text,
                         failed == 0);
}

// How many losses at a time a cell of this size has to bear.
int LossesOf(int size) {
  constexpr int kLeastForTwo = 5;
  return size < kLeastForTwo ? 1 : 2;
}

// Guards against a core that doesn't elect though all disks are kept.
constexpr CellEvents kAllDisksKept{
    .kills = true,
    .freezes = true,
    .cuts = true,
    .power_losses = true,
    .transfers = true,
};

// Guards against voters that are gone and still count.
constexpr CellEvents kLossesOfDisks{
    .disk_losses = true,
    .replacements = true,
    .planned_replacements = true,
    .additions = true,
};

// Guards against silence that is taken for a loss, and against replicas that
// come back with a membership of before.
constexpr CellEvents kFreezesAndCuts{
    .freezes = true,
    .cuts = true,
    .disk_losses = true,
    .replacements = true,
};

// Guards against what only the earlier leader knew.
constexpr CellEvents kChangesOfLeader{
    .kills = true,
    .disk_losses = true,
    .replacements = true,
    .transfers = true,
};

// Guards against what only a combination of events brings about.
constexpr CellEvents kEverything{
    .kills = true,
    .freezes = true,
    .cuts = true,
    .disk_losses = true,
    .replacements = true,
    .planned_replacements = true,
    .additions = true,
    .power_losses = true,
    .transfers = true,
};

// The series that a cell of one size goes through.
Section SizeStory(int size) {
  const std::string name = "a cell of " + std::to_string(size);
  const auto series = [size](const CellEvents& events, bool hits_returning) {
    return [size, events, hits_returning] {
      Play({.size = size,
            .losses = LossesOf(size),
            .events = events,
            .hits_returning = hits_returning});
    };
  };
  Section section(name);
  section
      .Then(name + " bears what keeps all disks", series(kAllDisksKept, false))
      .Then(name + " bears losses of disks and replacements",
            series(kLossesOfDisks, false))
      .Then(name + " bears losses among freezes and cuts",
            series(kFreezesAndCuts, false))
      .Then(name + " bears losses among changes of leader",
            series(kChangesOfLeader, false))
      .Then(name + " bears everything together", series(kEverything, false))
      .Then(name + " bears that a returning replica is lost again",
            series(kEverything, true));
  return section;
}

// Guards against replicas that come back and don't become voters again while
// the log grows: a count of entries that they may lack is hardly ever met.
constexpr CellLoad kHeavyLoad{
    .entries_per_second = 400,
    .burst_entries = 4,
    .snapshot_entries = 2000,
    .min_sync = Millis(4),
    .max_sync = Millis(30),
};

// The same with messages that wait behind others.
constexpr CellLoad kBusyReplicas{
    .entries_per_second = 400,
    .burst_entries = 8,
    .snapshot_entries = 2000,
    .min_sync = Millis(4),
    .max_sync = Millis(30),
    .max_delay = Millis(120),
};

// The same with a disk that is slower than all others where it matters.
constexpr CellLoad kSlowReturningDisk{
    .entries_per_second = 400,
    .burst_entries = 4,
    .snapshot_entries = 2000,
    .min_sync = Millis(4),
    .max_sync = Millis(30),
    .returning_sync = Millis(300),
};

// The series that a cell goes through while its log grows.
Section LoadStory(int size) {
  const std::string name = "a cell of " + std::to_string(size);
  const auto series = [size](const CellEvents& events, const CellLoad& load) {
    return [size, events, load] {
      Play({.size = size,
            .losses = LossesOf(size),
            .load = load,
            .events = events});
    };
  };
  Section section(name + " under load");
  section
      .Then(name + " under load bears what keeps all disks",
            series(kAllDisksKept, kHeavyLoad))
      .Then(name + " under load bears losses among freezes and cuts",
            series(kFreezesAndCuts, kHeavyLoad))
      .Then(name + " under load bears everything together",
            series(kEverything, kHeavyLoad))
      .Then(name + " of busy replicas bears everything together",
            series(kEverything, kBusyReplicas))
      .Then(name + " bears that the disk of a returning replica is slow",
            series(kEverything, kSlowReturningDisk));
  return section;
}

// Guards against elections that last longer than their terms.
constexpr CellEvents kLossesOfPower{.power_losses = true};

// Disks whose syncs take longer than an election timeout after a start.
constexpr CellLoad kDisksBeyondElectionTimeout{
    .entries_per_second = 400,
    .burst_entries = 4,
    .snapshot_entries = 2000,
    .min_sync = Millis(4),
    .max_sync = Millis(30),
    .returning_sync = Millis(600),
};

// The same with disks that take as long as the longest election timeout.
constexpr CellLoad kDisksOfOneSecond{
    .entries_per_second = 400,
    .burst_entries = 4,
    .snapshot_entries = 2000,
    .min_sync = Millis(4),
    .max_sync = Millis(30),
    .returning_sync = Millis(1000),
};

// Messages that wait behind others, and disks that are slower than all others
// where it matters.
constexpr CellLoad kBusyReplicasWithSlowDisks{
    .entries_per_second = 400,
    .burst_entries = 8,
    .snapshot_entries = 2000,
    .min_sync = Millis(4),
    .max_sync = Millis(30),
    .returning_sync = Millis(300),
    .max_delay = Millis(120),
};

// The series that a cell goes through while the disks of replicas that have
// just started are slow. Guards against a whole cell that elects no leader,
// since each term ends before its votes arrive.
Section SlowDiskStory(int size) {
  const std::string name = "a cell of " + std::to_string(size);
  const auto series = [size](const CellEvents& events, const CellLoad& load) {
    return [size, events, load] {
      Play({.size = size,
            .losses = LossesOf(size),
            .load = load,
            .events = events});
    };
  };
  Section section(name + " with slow disks");
  section
      .Then(name +
                " elects after a loss of power though a sync takes longer "
                "than an election timeout",
            series(kLossesOfPower, kDisksBeyondElectionTimeout))
      .Then(name +
                " bears everything together though a returning disk takes "
                "a second a sync",
            series(kEverything, kDisksOfOneSecond))
      .Then(name +
                " of busy replicas bears everything together though a "
                "returning disk is slow",
            series(kEverything, kBusyReplicasWithSlowDisks));
  return section;
}

// The series that an even cell with an odd number of voters goes through.
// Guards against a spare that is missing when a voter is lost, and against
// voters of an even number that stay so.
Section SpareStory(int size) {
  const std::string name =
      "a cell of " + std::to_string(size) + " with a spare";
  const auto series = [size](const CellEvents& events, bool is_heavy) {
    return [size, events, is_heavy] {
      CellLoad load = is_heavy ? kHeavyLoad : CellLoad{};
      load.odd_voters = true;
      Play({.size = size,
            .losses = LossesOf(size),
            .load = load,
            .events = events,
            .hits_returning = !is_heavy});
    };
  };
  Section section(name);
  section
      .Then(name + " bears what keeps all disks", series(kAllDisksKept, false))
      .Then(name + " bears losses among changes of leader",
            series(kChangesOfLeader, false))
      .Then(name + " bears everything together", series(kEverything, false))
      .Then(name + " under load bears everything together",
            series(kEverything, true));
  return section;
}

// The series that a cell goes through whose seeds name relays. Guards against
// replicas that never find their cell, since relays don't tell where it is.
Section RelayStory(int size) {
  const std::string name =
      "a cell of " + std::to_string(size) + " whose seeds name relays";
  const auto series = [size](const CellEvents& events) {
    return [size, events] {
      Play({.size = size,
            .losses = LossesOf(size),
            .load = {.relays = 2 * size},
            .events = events});
    };
  };
  Section section(name);
  section
      .Then(name + " bears losses of disks and replacements",
            series(kLossesOfDisks))
      .Then(name + " bears everything together", series(kEverything));
  return section;
}

// Turns of the replicas' loops that take up to 5 s.
constexpr CellLoad kLongTurns{.turns = LongTurns{}};

// The same while the log grows.
constexpr CellLoad kLongTurnsUnderLoad{
    .entries_per_second = 400,
    .burst_entries = 4,
    .snapshot_entries = 2000,
    .min_sync = Millis(4),
    .max_sync = Millis(30),
    .turns = LongTurns{},
};

// Nothing but turns; the leadership is handed over to have leaders whose first
// turn is long.
constexpr CellEvents kTransfersAlone{.transfers = true};

// The series that a cell goes through while its replicas are busy. Guards
// against leaders that take their own long turns for the others' silence, and
// against voters that are voted out for them.
Section BusyStory(int size) {
  const std::string name =
      "a cell of " + std::to_string(size) + " with long turns";
  const auto series = [size](const CellEvents& events, const CellLoad& load) {
    return [size, events, load] {
      Play({.size = size,
            .losses = LossesOf(size),
            .load = load,
            .events = events});
    };
  };
  const auto keeps_leaders = [size] {
    constexpr int kTransfers = 40;
    Play({.size = size,
          .losses = LossesOf(size),
          .load = kLongTurns,
          .events = kTransfersAlone,
          .event_count = kTransfers});
  };
  Section section(name);
  section.Then(name + " keeps its leaders", keeps_leaders)
      .Then(name + " bears what keeps all disks",
            series(kAllDisksKept, kLongTurns))
      .Then(name + " bears everything together",
            series(kEverything, kLongTurns))
      .Then(name + " under load bears everything together",
            series(kEverything, kLongTurnsUnderLoad));
  return section;
}

// A replica that runs and isn't the leader.
std::string AnyFollower(const CellWorld& world) {
  for (const std::string& id : world.Running()) {
    if (id != world.Leader()) {
      return id;
    }
  }
  return "";
}

bool IsListed(const std::vector<MemberId>& members, const std::string& id) {
  return std::any_of(members.begin(), members.end(),
                     [&](const MemberId& member) { return member.id == id; });
}

void AssertNoViolation(const CellWorld& world) {
  CPPUNIT_ASSERT_MESSAGE(
      world.result().violations.empty()
          ? ""
          : world.result().violations.front() + "\n" + world.result().history,
      world.result().violations.empty());
}

// Guards against a majority that is lost for ever: the voter that is gone, its
// successor and the second disk make two of four.
void SecondDiskRightAfterReplacement() {
  CellWorld world(3, 1, 1);
  world.Form();
  const std::string lost = AnyFollower(world);
  world.LoseForGood(lost);
  world.Run(seconds(1));
  std::vector<std::string> seeds = world.Running();
  world.Start(seeds, lost);
  world.Run(kCellCatchUp);
  const std::string second = AnyFollower(world);
  world.LoseDisk(second);
  world.Run(seconds(1));
  world.Restart(second);
  world.Run(kCellCatchUp);
  CPPUNIT_ASSERT(!world.Leader().empty());
  CPPUNIT_ASSERT(world.IsVoterNow(second));
  AssertNoViolation(world);
}

// Guards against silence that each leader counts anew.
void NewLeaderRemovesEarlierLoss() {
  CellWorld world(5, 2, 1);
  world.Form();
  const std::string lost = AnyFollower(world);
  world.LoseForGood(lost);
  world.Run(seconds(1));
  world.Start(world.Running(), lost);
  // The leader dies right after the successor has been voted in.
  const auto is_admitted = [&] { return world.membership().voters.size() > 5; };
  world.RunUntil(seconds(1), is_admitted);
  const std::string leader = world.Leader();
  world.Kill(leader);
  world.Run(seconds(2));
  CPPUNIT_ASSERT(!world.Leader().empty());
  world.Restart(leader);
  world.Run(kCellCatchUp);
  CPPUNIT_ASSERT_MESSAGE("a voter that is gone still counts",
                         !IsListed(world.membership().voters, lost));
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, world.membership().voters.size());
  AssertNoViolation(world);
}

// Guards against a cell of an even number of voters that stands still while its
// halves can't reach each other: neither has a majority.
void HalfOfAnEvenCellGoesOn() {
  CellLoad load;
  load.odd_voters = true;
  CellWorld world(6, 2, 1, load);
  world.Form();
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, world.membership().voters.size());
  // Losing the spare and two voters leaves three voters of five.
  std::vector<std::string> lost;
  for (const std::string& id : world.Running()) {
    if (!world.IsVoterNow(id) || (id != world.Leader() && lost.size() < 2)) {
      lost.push_back(id);
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, lost.size());
  for (const std::string& id : lost) {
    world.Cut(id, CellWorld::CutKind::kBoth, true);
  }
  world.Run(seconds(2));
  CPPUNIT_ASSERT(!world.Leader().empty());
}

// Guards against a replica that takes itself for a voter and never asks.
void RemovedVoterComesBack() {
  CellWorld world(3, 1, 1);
  world.Form();
  const std::string silent = AnyFollower(world);
  world.Freeze(silent, false);
  // The operator takes it for lost and starts another one.
  world.Start(world.Running(), "");
  // Longer than any voter may stay silent beside a successor.
  world.Run(seconds(14));
  CPPUNIT_ASSERT_MESSAGE("a silent voter still counts",
                         !IsListed(world.membership().voters, silent));
  world.Thaw(silent);
  world.Run(kCellCatchUp);
  CPPUNIT_ASSERT_MESSAGE("a removed voter isn't admitted again",
                         world.IsVoterNow(silent));
  AssertNoViolation(world);
}

// Guards against a join request that outlives the membership it led to.
void RemovedVoterIsNoLearner() {
  CellWorld world(3, 1, 1);
  world.Form();
  const std::string added = world.Start(world.Running(), "");
  world.Run(kCellCatchUp);
  CPPUNIT_ASSERT(world.IsVoterNow(added));
  world.LoseForGood(added);
  // Longer than any voter may stay silent in a cell of an even size.
  world.Run(seconds(14));
  CPPUNIT_ASSERT_MESSAGE("a voter that is gone still counts",
                         !IsListed(world.membership().voters, added));
  CPPUNIT_ASSERT_MESSAGE("a replica that is gone is a learner",
                         !IsListed(world.membership().learners, added));
}

// Guards against a replica that is fed the log as a former voter for as long as
// the log grows, and never asks for its admission.
void RemovedVoterComesBackUnderLoad() {
  CellWorld world(5, 2, 1, kBusyReplicas);
  world.Form();
  const std::string silent = AnyFollower(world);
  world.Freeze(silent, true);
  world.RunUntil(seconds(10),
                 [&] { return !IsListed(world.membership().voters, silent); });
  world.Thaw(silent);
  world.Run(kCellCatchUp);
  CPPUNIT_ASSERT_MESSAGE("a removed voter isn't admitted again",
                         world.IsVoterNow(silent));
  AssertNoViolation(world);
}

// Guards against candidates that split the votes again and again: under load
// several pass the pre-vote before the first request for a vote arrives.
void BusyCellElectsInTime() {
  constexpr std::uint64_t kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CellWorld world(5, 2, seed, kBusyReplicas);
    world.Form();
    world.Freeze(world.Leader(), true);
    // The lease of the leader that stands still runs out.
    world.Run(seconds(1));
    CPPUNIT_ASSERT_MESSAGE(
        "no leader with seed " + std::to_string(seed),
        world.RunUntil(Millis(800), [&] { return !world.Leader().empty(); }));
    AssertNoViolation(world);
  }
}

// Guards against join requests that followers keep to themselves.
void NewcomerWhoseSeedsDoNotLead() {
  CellWorld world(5, 2, 1);
  world.Form();
  std::vector<std::string> seeds;
  for (const std::string& id : world.Running()) {
    if (id != world.Leader() && seeds.size() < 3) {
      seeds.push_back(id);
    }
  }
  const std::string newcomer = world.Start(seeds, "");
  world.Run(kCellCatchUp);
  CPPUNIT_ASSERT_MESSAGE("a newcomer isn't admitted",
                         world.IsVoterNow(newcomer));
  AssertNoViolation(world);
}

}  // namespace

Section CellWorldStory() {
  Section section("Losses of replicas under virtual time");
  section.With(
      Section("one after the other")
          .Then("the second loss of a disk right after a replacement leaves a "
                "majority",
                SecondDiskRightAfterReplacement)
          .Then(
              "a new leader removes a voter that was lost before its election",
              NewLeaderRemovesEarlierLoss)
          .Then("half of a cell of six goes on with three of five voters",
                HalfOfAnEvenCellGoesOn)
          .Then("a voter that was removed while it was silent comes back as a "
                "voter",
                RemovedVoterComesBack)
          .Then(
              "a voter that was removed without a sign of life isn't admitted "
              "as a learner",
              RemovedVoterIsNoLearner)
          .Then("a voter that was removed comes back while the log grows",
                RemovedVoterComesBackUnderLoad)
          .Then("a cell of busy replicas elects a leader in time",
                BusyCellElectsInTime)
          .Then("a newcomer whose seeds don't lead is admitted",
                NewcomerWhoseSeedsDoNotLead));
  for (const int size : {3, 4, 5, 6, 7}) {
    section.With(SizeStory(size));
  }
  for (const int size : {4, 6}) {
    section.With(SpareStory(size));
  }
  for (const int size : {3, 5}) {
    section.With(LoadStory(size));
    section.With(SlowDiskStory(size));
    section.With(BusyStory(size));
    section.With(RelayStory(size));
  }
  return section;
}

}  // namespace banyan
