#include "tests/matrix/fault_matrix.h"

#include <array>
#include <atomic>
#include <mutex>
#include <thread>

namespace banyan {
namespace {

using std::chrono::seconds;

// The script that every cell runs: when what happens, from the start.
constexpr Duration kWarmUp = seconds(3);
constexpr Duration kOutAt = seconds(3);
constexpr Duration kBackAt = seconds(7);
constexpr Duration kMoreJobsAt = seconds(8);
constexpr Duration kScriptEnd = seconds(22);
// What the system is given to settle after everything is healed.
constexpr Duration kSettleBound = seconds(60);
constexpr Duration kQuietSpan = seconds(3);
constexpr Duration kRestartAfter = seconds(3);

void KillAndRestart(CoreWorld& world, const std::string& id, Duration after) {
  world.Kill(id);
  world.After(after, [&world, id] { world.Restart(id); });
}

void CutOff(CoreWorld& world,
            const std::set<std::string>& group,
            bool both_ways,
            bool hold,
            Duration span) {
  std::set<std::string> rest;
  for (const std::string& id : world.ids()) {
    if (!group.contains(id)) {
      rest.insert(id);
    }
  }
  world.Cut(group, rest, both_ways, hold);
  world.After(span, [&world] { world.Heal(); });
}

std::set<std::string> OtherControls(CoreWorld& world, const std::string& id) {
  std::set<std::string> others;
  for (const std::string& other : world.ids()) {
    if (other.starts_with("control-") && other != id) {
      others.insert(other);
    }
  }
  return others;
}

std::string LeaderOrFirst(CoreWorld& world) {
  const std::string leader = world.Leader();
  return leader.empty() ? "control-0" : leader;
}

void RaceOperators(CoreWorld& world) {
  const ControlState* state = world.LeaderState();
  const std::uint64_t version = state == nullptr ? 1 : state->config().version;
  // Three operators build on the same version, each resending its command.
  for (int i = 0; i < 3; ++i) {
    Preset preset;
    preset.starts_per_second = 100 + i;
    const std::string id =
        "race-" + std::to_string(version) + "-" + std::to_string(i);
    const CreatePreset command{"race-" + std::to_string(i), preset, version};
    world.Operate(command, i, id);
    world.After(Millis(5), [&world, command, i, id] {
      world.Operate(command, i + 1, id);
    });
  }
}

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = {
      {"kill-leader",
       [](CoreWorld& w) {
         KillAndRestart(w, LeaderOrFirst(w), kRestartAfter);
       }},
      {"kill-follower",
       [](CoreWorld& w) { KillAndRestart(w, w.AnyFollower(), kRestartAfter); }},
      {"lose-disk-leader",
       [](CoreWorld& w) {
         const std::string id = LeaderOrFirst(w);
         w.LoseDisk(id);
         w.After(kRestartAfter, [&w, id] { w.Restart(id); });
       }},
      {"lose-disk-follower",
       [](CoreWorld& w) {
         const std::string id = w.AnyFollower();
         w.LoseDisk(id);
         w.After(kRestartAfter, [&w, id] { w.Restart(id); });
       }},
      {"lose-disk-then-kill-another",
       [](CoreWorld& w) {
         const std::string id = w.AnyFollower();
         w.LoseDisk(id);
         w.After(Millis(500), [&w, id] {
           w.Restart(id);
           w.After(seconds(2), [&w] {
             KillAndRestart(w, LeaderOrFirst(w), kRestartAfter);
           });
         });
       }},
      {"restart-cell",
       [](CoreWorld& w) {
         for (int i = 0; i < 3; ++i) {
           KillAndRestart(w, "control-" + std::to_string(i), seconds(1));
         }
       }},
      {"restart-cell-beyond-lease",
       [](CoreWorld& w) {
         for (int i = 0; i < 3; ++i) {
           KillAndRestart(w, "control-" + std::to_string(i), seconds(7));
         }
       }},
      {"kill-entry",
       [](CoreWorld& w) { KillAndRestart(w, "entry-0", seconds(1)); }},
      {"kill-endpoint-agent",
       [](CoreWorld& w) { KillAndRestart(w, "booking-0", seconds(1)); }},
      {"kill-all-endpoint-agents",
       [](CoreWorld& w) {
         for (int i = 0; i < 3; ++i) {
           KillAndRestart(w, "booking-" + std::to_string(i), Millis(400));
         }
       }},
      {"kill-worker-agent",
       [](CoreWorld& w) { KillAndRestart(w, "worker-0", seconds(1)); }},
      {"kill-worker-agent-beyond-lease",
       [](CoreWorld& w) { KillAndRestart(w, "worker-1", seconds(8)); }},
      {"crash-worker",
       [](CoreWorld& w) {
         w.CrashWorker("worker-0");
         w.After(seconds(6), [&w] { w.Restart("worker-0"); });
       }},
      {"freeze-leader",
       [](CoreWorld& w) { w.Freeze(LeaderOrFirst(w), seconds(6)); }},
      {"freeze-follower",
       [](CoreWorld& w) { w.Freeze(w.AnyFollower(), seconds(6)); }},
      {"freeze-entry", [](CoreWorld& w) { w.Freeze("entry-0", seconds(5)); }},
      {"freeze-endpoint-agent",
       [](CoreWorld& w) { w.Freeze("booking-0", seconds(5)); }},
      {"freeze-worker-agent",
       [](CoreWorld& w) { w.Freeze("worker-0", seconds(2)); }},
      {"freeze-worker-agent-beyond-lease",
       [](CoreWorld& w) { w.Freeze("worker-0", seconds(9)); }},
      {"cut-leader-from-cell",
       [](CoreWorld& w) {
         const std::string id = LeaderOrFirst(w);
         w.Cut({id}, OtherControls(w, id), true, false);
         w.After(seconds(6), [&w] { w.Heal(); });
       }},
      {"cut-leader-from-cell-late",
       [](CoreWorld& w) {
         const std::string id = LeaderOrFirst(w);
         w.Cut({id}, OtherControls(w, id), true, true);
         w.After(seconds(6), [&w] { w.Heal(); });
       }},
      {"cut-leader-one-way-out",
       [](CoreWorld& w) {
         CutOff(w, {LeaderOrFirst(w)}, false, false, seconds(5));
       }},
      {"cut-leader-one-way-in",
       [](CoreWorld& w) {
         const std::string id = LeaderOrFirst(w);
         w.Cut(OtherControls(w, id), {id}, false, false);
         w.After(seconds(5), [&w] { w.Heal(); });
       }},
      {"cut-worker-agent-late",
       [](CoreWorld& w) { CutOff(w, {"worker-0"}, true, true, seconds(8)); }},
      {"cut-worker-agent",
       [](CoreWorld& w) { CutOff(w, {"worker-0"}, true, false, seconds(8)); }},
      {"cut-endpoint-agent-late",
       [](CoreWorld& w) { CutOff(w, {"booking-0"}, true, true, seconds(2)); }},
      {"cut-entry",
       [](CoreWorld& w) { CutOff(w, {"entry-0"}, true, false, seconds(4)); }},
      {"cut-data-centre",
       [](CoreWorld& w) {
         const auto ids = w.IdsIn("dc-a");
         CutOff(w, {ids.begin(), ids.end()}, true, false, seconds(7));
       }},
      {"cut-data-centre-late",
       [](CoreWorld& w) {
         const auto ids = w.IdsIn("dc-c");
         CutOff(w, {ids.begin(), ids.end()}, true, true, seconds(7));
       }},
      {"crash-data-centre",
       [](CoreWorld& w) {
         for (const std::string& id : w.IdsIn("dc-a")) {
           if (id.starts_with("worker-")) {
             w.CrashWorker(id);
             w.After(seconds(7), [&w, id] { w.Restart(id); });
           } else {
             KillAndRestart(w, id, seconds(7));
           }
         }
       }},
      {"take-out-and-back",
       [](CoreWorld& w) {
         w.TakeOut("dc-c");
         w.After(seconds(4), [&w] { w.BringBack("dc-c"); });
       }},
      {"race-operators", RaceOperators},
      {"cancel-wave", [](CoreWorld& w) { w.CancelJobs(2); }},
      {"worker-fails-everything",
       [](CoreWorld& w) {
         w.set_worker_failing("worker-2", true);
         w.After(seconds(5), [&w] { w.set_worker_failing("worker-2", false); });
       }},
      {"endpoints-lose-answers",
       [](CoreWorld& w) {
         w.set_endpoint_mode(CoreWorld::EndpointMode::kLoseAnswers);
         w.After(seconds(4), [&w] {
           w.set_endpoint_mode(CoreWorld::EndpointMode::kNormal);
         });
       }},
      {"endpoints-refuse",
       [](CoreWorld& w) {
         w.set_endpoint_mode(CoreWorld::EndpointMode::kRefuse);
         w.After(seconds(4), [&w] {
           w.set_endpoint_mode(CoreWorld::EndpointMode::kNormal);
         });
       }},
      {"doubled-messages",
       [](CoreWorld& w) {
         w.set_duplicate_percent(30);
         w.After(seconds(6), [&w] { w.set_duplicate_percent(0); });
       }},
      {"leave-worker",
       [](CoreWorld& w) {
         w.Leave("worker-0");
         w.After(seconds(4),
                 [&w] { KillAndRestart(w, "worker-0", Millis(100)); });
       }},
      {"leave-endpoint",
       [](CoreWorld& w) {
         w.Leave("booking-0");
         w.After(seconds(4),
                 [&w] { KillAndRestart(w, "booking-0", Millis(100)); });
       }},
      {"leave-entry",
       [](CoreWorld& w) {
         w.Leave("entry-0");
         w.After(seconds(2),
                 [&w] { KillAndRestart(w, "entry-0", Millis(100)); });
       }},
      {"leave-leader",
       [](CoreWorld& w) {
         const std::string id = LeaderOrFirst(w);
         w.Leave(id);
         w.After(Millis(300), [&w, id] { KillAndRestart(w, id, seconds(1)); });
       }},
  };
  return faults;
}

constexpr std::array kSteps = {
    Step{"first-leader", EventId::kLeaderElected, 1},
    Step{"registration", EventId::kInstanceRegistered, 4},
    Step{"submission", EventId::kJobSubmitted, 2},
    Step{"placement", EventId::kTaskPlaced, 3},
    Step{"start", EventId::kTaskStarted, 3},
    Step{"finish", EventId::kTaskEnded, 2},
    Step{"eviction-ordered", EventId::kTaskEvicting, 1},
    Step{"stop-for-eviction", EventId::kTaskStopped, 1},
    Step{"requeue", EventId::kTaskRequeued, 1},
    Step{"restart-elsewhere", EventId::kTaskStarted, 9},
    Step{"claim", EventId::kClaimOpened, 12},
    Step{"dispatch", EventId::kDispatchStarted, 20},
    Step{"answer", EventId::kDispatchEnded, 25},
    Step{"data-centre-out", EventId::kCommandAccepted, 1},
    Step{"data-centre-back", EventId::kCommandAccepted, 2},
    Step{"snapshot", EventId::kSnapshotTaken, 2},
};

}  // namespace

std::span<const Fault> AllFaults() {
  return Faults();
}

std::span<const Step> AllSteps() {
  return kSteps;
}

std::string Cell::name() const {
  std::string name = fault->name;
  if (second != nullptr) {
    name += std::string("+") + second->name;
  }
  return name + "@" + step->name + "#" + std::to_string(seed);
}

std::vector<Cell> AllCells(std::uint64_t seed) {
  std::vector<Cell> cells;
  for (const Fault& fault : AllFaults()) {
    for (const Step& step : AllSteps()) {
      cells.push_back({&fault, nullptr, &step, seed});
    }
  }
  std::size_t position = 0;
  for (const Fault& fault : AllFaults()) {
    for (const Fault& second : AllFaults()) {
      const Step& step = kSteps[position++ % kSteps.size()];
      cells.push_back({&fault, &second, &step, seed});
    }
  }
  return cells;
}

CellResult RunCell(const Cell& cell, bool keep_history) {
  CellResult result;
  result.name = cell.name();
  CoreWorld world(WorldShape{}, cell.seed);
  if (keep_history) {
    world.KeepHistory();
  }
  int seen = 0;
  world.set_event_hook([&](const std::string& /*id*/, const Event& event) {
    if (event.id() != cell.step->event || ++seen != cell.step->occurrence) {
      return;
    }
    result.applies = true;
    // Just after the step, or while what it caused is under way.
    const Duration delay = Duration(static_cast<std::int64_t>(
        world.random().NextBelow(3) * world.random().NextBelow(2000)));
    world.After(delay, [&] { cell.fault->inject(world); });
    if (cell.second != nullptr) {
      const Duration gap = Duration(
          static_cast<std::int64_t>(world.random().NextBelow(2500000)));
      world.After(delay + gap, [&] { cell.second->inject(world); });
    }
  });
  const auto at = [&](Duration span, const std::function<void()>& run) {
    world.After(kWarmUp + span, run);
  };
  at(Duration(0), [&] {
    world.StartCallers(2, 1);
    world.SubmitJobs(8, 4000);
  });
  at(kOutAt, [&] { world.TakeOut("dc-b"); });
  at(kBackAt, [&] { world.BringBack("dc-b"); });
  at(kMoreJobsAt, [&] { world.SubmitJobs(4, 1500); });
  world.Run(kScriptEnd);
  world.StopCallers();
  world.HealEverything();
  static_cast<void>(world.RunUntil(kSettleBound, [&] {
    const ControlState* state = world.LeaderState();
    if (state == nullptr) {
      return false;
    }
    for (const std::string& key : world.jobs()) {
      const Job* job = state->FindJob(key);
      if (job == nullptr || !IsFinal(job->state)) {
        return false;
      }
    }
    return true;
  }));
  world.Run(kQuietSpan);
  world.CheckSettled();
  result.has_lost_majority = world.has_lost_majority();
  result.violations = world.violations();
  result.events = world.events();
  result.history = world.history();
  return result;
}

MatrixReport RunCells(std::span<const Cell> cells, int threads) {
  MatrixReport report;
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < cells.size(); i = next++) {
      CellResult result = RunCell(cells[i]);
      const std::lock_guard lock(mutex);
      if (!result.violations.empty()) {
        ++report.run;
        report.failed.push_back(std::move(result));
      } else if (!result.applies) {
        ++report.not_applicable;
        report.not_reached.push_back(result.name);
      } else {
        ++report.run;
        ++report.passed;
        if (result.has_lost_majority) {
          report.stood_still.push_back(result.name);
        }
      }
    }
  };
  std::vector<std::thread> pool;
  pool.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) {
    pool.emplace_back(work);
  }
  for (std::thread& thread : pool) {
    thread.join();
  }
  return report;
}

}  // namespace banyan
