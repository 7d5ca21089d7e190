// What a replica spends when it restarts on a long log, and in its first second
// as the leader, in this process and without I/O.

#include <time.h>

#include <algorithm>
#include <string>
#include <vector>

#include "banyan/control/control_core.h"
#include "banyan/wire/codec.h"
#include "tests/bench/bench.h"
#include "tests/support/graph_samples.h"

namespace banyan {
namespace {

constexpr int kRoutes = 1400;
constexpr int kPlans = 3;
constexpr int kTasks = 40000;
constexpr int kTasksPerGraph = 20;
constexpr int kWorkers = 160;
constexpr int kEntries = 40;
constexpr int kPeers = 216;
constexpr Duration kTurnInterval = Millis(5);
constexpr Duration kFirstSecond = std::chrono::seconds(1);

// Processor time of this process, in milliseconds.
double CpuMillis() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

void Append(RestoredLog& log, const Command& command) {
  LoggedCommand logged;
  logged.proposed_at = kGraphStart;
  logged.command = command;
  const std::uint64_t index = log.snapshot.last_index + log.entries.size() + 1;
  log.entries.push_back({1, index, EntryKind::kCommand, Encode(logged)});
}

ServicePlan PlanOfRoutes(std::uint64_t version) {
  ServicePlan plan = SamplePlan(version);
  const QueueSpec sample = plan.queues.front();
  for (int i = static_cast<int>(plan.queues.size()); i < kRoutes; ++i) {
    QueueSpec queue = sample;
    queue.name = "route-" + std::to_string(i);
    queue.path_prefix = "/" + queue.name + "/";
    plan.queues.push_back(queue);
  }
  return plan;
}

std::string WorkerName(int i) {
  return "i-" + std::to_string(i);
}

// Returns a log of plans, workers and graphs of which every other one has
// ended.
RestoredLog LongLog() {
  RestoredLog log;
  log.hard_state = {1, {}};
  log.snapshot = {1, 1, {{{"control-0", 1}}, {}}, ControlState().Encode()};
  for (std::uint64_t version = 1; version <= kPlans; ++version) {
    Append(log, InstallPlan{PlanOfRoutes(version)});
  }
  std::vector<WorkerInfo> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(SampleWorker(WorkerName(i)));
    workers.back().capacity = {1000000, 100000000, 0};
    Append(log, AdmitWorker{workers.back(), "agent-" + std::to_string(i)});
  }
  std::vector<std::int64_t> rows(kWorkers, 0);
  for (int g = 0; g < kTasks / kTasksPerGraph; ++g) {
    const std::string id = "g" + std::to_string(g);
    const auto worker = static_cast<std::size_t>(g % kWorkers);
    Append(log, SampleGraph(id, {SampleStep(kTasksPerGraph)}));
    PlaceRuns place;
    EndRuns ends{workers[worker].life, {}};
    for (std::int64_t i = 0; i < kTasksPerGraph; ++i) {
      place.runs.push_back({RunOf(id, 0, i), workers[worker].life});
      ends.rows.push_back(
          {++rows[worker], RunOf(id, 0, i), RunEndReason::kDone, ""});
    }
    Append(log, place);
    if (g % 2 == 0) {
      Append(log, ends);
    }
  }
  return log;
}

// Processor time of the turns of a replica, in milliseconds.
struct TurnCosts {
  double longest = 0;
  double sum = 0;
  int turns = 0;

  void Add(double millis) {
    longest = std::max(longest, millis);
    sum += millis;
    ++turns;
  }
};

// A cell of one replica that restarts on a long log.
class RestartedLeader {
 public:
  explicit RestartedLeader(RestoredLog log)
      : core_(Options(), std::move(log), now_) {}

  // Runs one turn, which applies one part of the log or all of it, and does its
  // disk writes after it.
  double Turn(bool applies_all) {
    const double start = CpuMillis();
    core_.Tick(now_, Wall());
    std::vector<ControlOutputs> outputs;
    do {
      outputs.push_back(core_.TakeOutputs(now_, Wall()));
    } while (applies_all && core_.HasMoreToApply());
    const double took = CpuMillis() - start;
    for (const ControlOutputs& out : outputs) {
      for (const PersistBatch& batch : out.persists) {
        core_.OnPersisted(now_, batch.seq);
      }
      for (const Outbound& outbound : out.messages) {
        messages_.push_back(outbound);
      }
    }
    return took;
  }

  // Runs turns until the log is applied and the replica leads.
  TurnCosts RunUntilApplied(bool applies_all) {
    TurnCosts costs;
    while (!core_.raft().HoldsLease(now_) || core_.HasMoreToApply()) {
      now_ += core_.HasMoreToApply() ? Duration(0) : kTurnInterval;
      costs.Add(Turn(applies_all));
    }
    return costs;
  }

  // Attaches the peers, each with its status, and runs the first second.
  TurnCosts RunFirstSecond() {
    TurnCosts costs;
    const double start = CpuMillis();
    for (int i = 0; i < kPeers; ++i) {
      EntryStatus status;
      status.delivery =
          i < kEntries ? PlanDelivery::kWhole : PlanDelivery::kParts;
      core_.Receive(now_, Wall(), {"peer-" + std::to_string(i), 1}, status);
    }
    costs.Add(CpuMillis() - start + Turn(false));
    for (const Time end = now_ + kFirstSecond; now_ < end;
         now_ += kTurnInterval) {
      costs.Add(Turn(false));
    }
    return costs;
  }

  // Encodes the messages so far, as the network does for each of them. Returns
  // the processor time, in milliseconds.
  double EncodeMessages() {
    const double start = CpuMillis();
    for (const Outbound& outbound : messages_) {
      static_cast<void>(Encode(Envelope{{"control-0", 1}, outbound.message}));
    }
    return CpuMillis() - start;
  }

 private:
  static ControlOptions Options() {
    ControlOptions options;
    options.raft.self = {"control-0", 1};
    options.raft.configured_ids = {"control-0"};
    return options;
  }

  [[nodiscard]] WallMillis Wall() const {
    return ToMillis(now_.time_since_epoch());
  }

  Time now_{std::chrono::seconds(1000)};
  ControlCore core_;
  std::vector<Outbound> messages_;
};

}  // namespace

void RunRestart(Figures& figures) {
  const RestoredLog log = LongLog();
  std::size_t bytes = 0;
  for (const LogEntry& entry : log.entries) {
    bytes += entry.data.size();
  }
  const auto add = [&](const char* policy, const char* name, double value,
                       const char* unit) {
    figures.Add({"replica: restart", policy, 0, name, value, unit});
  };
  add("log", "size", static_cast<double>(bytes) / 1e6, "MB");
  add("log", "entries", static_cast<double>(log.entries.size()), "");
  for (const bool applies_all : {true, false}) {
    const char* policy = applies_all ? "in one turn" : "in parts";
    RestartedLeader replica(log);
    const TurnCosts applying = replica.RunUntilApplied(applies_all);
    add(policy, "turns", applying.turns, "");
    add(policy, "longest turn, processor time", applying.longest, "ms");
    add(policy, "all turns, processor time", applying.sum, "ms");
    const TurnCosts leading = replica.RunFirstSecond();
    add(policy, "first second, longest turn", leading.longest, "ms");
    add(policy, "first second, all turns", leading.sum, "ms");
    add(policy, "first second, encoding messages", replica.EncodeMessages(),
        "ms");
  }
}

}  // namespace banyan
