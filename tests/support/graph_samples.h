#ifndef BANYAN_TESTS_SUPPORT_GRAPH_SAMPLES_H_
#define BANYAN_TESTS_SUPPORT_GRAPH_SAMPLES_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "banyan/graph/call_fence.h"
#include "banyan/graph/graph_leader.h"
#include "banyan/graph/graph_table.h"

namespace banyan {

// Wall time at which the samples are applied.
inline constexpr WallMillis kGraphStart = 1000000;

// Returns a plan with a quick queue, a batch queue and one pool.
inline ServicePlan SamplePlan(std::uint64_t version = 1) {
  ServicePlan plan;
  plan.version = version;
  QueueSpec quick;
  quick.name = "quick";
  quick.host = "a.example";
  quick.path_prefix = "/quick/";
  quick.service = "desk";
  quick.timeout_ms = 3000;
  quick.slo_ms = 250;
  quick.stretch = 1.5;
  quick.max_attempts = 2;
  QueueSpec batch = quick;
  batch.name = "batch";
  batch.path_prefix = "/batch/";
  batch.priority = 2;
  batch.slo_ms = 1000;
  batch.stretch = 2;
  plan.queues = {quick, batch};
  plan.pools = {{"desk", false, false}};
  plan.document = "{}";
  return plan;
}

// Returns a worker with four processors in the plan's pool.
inline WorkerInfo SampleWorker(const std::string& id,
                               std::int64_t started_at_ms = 1,
                               const std::string& data_centre = "dc-a") {
  WorkerInfo info;
  info.life = {id, started_at_ms};
  info.service = "desk";
  info.data_centre = data_centre;
  info.rack = "r1-1";
  info.labels = {"a", "r1-1"};
  info.capacity = {4000, 4096, 0};
  return info;
}

// Returns a step of tasks that need 256 MiB each and declare 800 ms of run
// time.
inline StepSpec SampleStep(std::int64_t count, std::int64_t cpu_millis = 1000) {
  StepSpec step;
  step.count = count;
  step.needs = {cpu_millis, 256, 0};
  step.estimate_ms = 800;
  return step;
}

// Returns a step of long-running latency-sensitive tasks with image "s".
inline StepSpec ServingStep(std::int64_t count) {
  StepSpec step = SampleStep(count);
  step.long_running = true;
  step.latency_target_ms = 20;
  step.image = "s";
  return step;
}

// Returns a step of best-effort tasks with image "f".
inline StepSpec BestEffortStep(std::int64_t count, std::int64_t cpu_millis) {
  StepSpec step = SampleStep(count, cpu_millis);
  step.best_effort = true;
  step.image = "f";
  return step;
}

inline SubmitGraph SampleGraph(const std::string& id,
                               std::vector<StepSpec> steps,
                               const std::string& queue = "quick") {
  SubmitGraph submit;
  submit.id = id;
  submit.spec.queue = queue;
  submit.spec.payload = "payload";
  submit.spec.steps = std::move(steps);
  return submit;
}

inline RunRef RunOf(const std::string& graph,
                    std::int64_t step,
                    std::int64_t index,
                    std::int64_t run = 1) {
  return {{graph, 0, step, index}, run};
}

// A graph leader with a table whose log commits every proposal at once. Records
// the orders that the leader sends.
class LeaderHarness {
 public:
  explicit LeaderHarness(const GraphLeaderOptions& options = {})
      : leader_(options) {
    Commit(InstallPlan{SamplePlan()});
    leader_.Reset(now_, table_, 7);
  }

  explicit LeaderHarness(SchedulingPolicy scheduling)
      : LeaderHarness(GraphLeaderOptions{.scheduling = scheduling}) {}

  // Applies a command and the leader's proposals that result from it.
  CommandResult Commit(const Command& command) {
    const GraphApplyResult applied = std::visit(
        [&](const auto& body) {
          if constexpr (requires { table_.Apply(body, kGraphStart); }) {
            return table_.Apply(body, wall_);
          } else {
            return GraphApplyResult{};
          }
        },
        command);
    leader_.OnApplied(now_, table_, command, applied);
    DrainOutputs();
    return applied.result;
  }

  // Returns the leader's refusal of a submission; empty if it is admitted.
  std::optional<CommandResult> CheckAdmission(const SubmitGraph& submit) {
    return leader_.CheckAdmission(now_, wall_, table_, submit, true);
  }

  // Delivers a worker's report as its agent would. If the leader asks for it,
  // the worker refuses calls to earlier incarnations, and the report follows
  // again.
  void Sync(WorkerSync sync) {
    const WorkerIncarnation incarnation = sync.info.life;
    const std::uint64_t answered = answered_tokens_[incarnation];
    Relay(sync);
    if (answered_tokens_[incarnation] != answered) {
      Relay(std::move(sync));
    }
  }

  // Delivers a report as it was sent, also a late one.
  void Relay(WorkerSync sync) {
    sync.seq = ++seq_;
    sync.reachable = true;
    sync.answered_token = answered_tokens_[sync.info.life];
    leader_.OnSync(now_, table_, "agent-" + sync.info.life.id, sync, true);
    DrainOutputs();
  }

  // Reports that a worker no longer answers its agent.
  void Lose(const std::string& worker) {
    SyncUnanswered(table_.workers().at(worker).info);
  }

  // Reports an incarnation that has not answered its agent.
  void SyncUnanswered(const WorkerInfo& info) {
    WorkerSync sync;
    sync.info = info;
    sync.seq = ++seq_;
    sync.answered_token = answered_tokens_[info.life];
    leader_.OnSync(now_, table_, "agent-" + info.life.id, sync, true);
    DrainOutputs();
  }

  // Admits a worker and grants it a lease.
  void Join(const WorkerInfo& info) {
    for (int i = 0; i < 2; ++i) {
      WorkerSync sync;
      sync.info = info;
      Sync(std::move(sync));
    }
  }

  // Advances the clocks, then runs the leader's periodic decisions.
  void AdvanceTime(Duration span) { Advance(span, now_ + span); }

  // The same for a turn in which nothing that arrives is read.
  void AdvanceUnheard(Duration span) { Advance(span, now_); }

  // Returns the runs that the table holds for a worker.
  [[nodiscard]] std::set<RunRef> RunsOn(const std::string& worker) const {
    const auto found = table_.workers().find(worker);
    return found == table_.workers().end() ? std::set<RunRef>()
                                           : found->second.runs;
  }

  // Returns the orders sent since the last call.
  [[nodiscard]] std::vector<WorkerOrders> TakeOrders() {
    return std::exchange(orders_, {});
  }

  // Returns the leader's events since the last call.
  [[nodiscard]] Events TakeEvents() { return std::exchange(events_, {}); }

  [[nodiscard]] const GraphTable& table() const { return table_; }
  [[nodiscard]] GraphLeader& leader() { return leader_; }
  [[nodiscard]] Time now() const { return now_; }

 private:
  void Advance(Duration span, Time heard_until) {
    now_ += span;
    wall_ += ToMillis(span);
    leader_.Decide(now_, wall_, table_, heard_until);
    DrainOutputs();
  }

  // Records the leader's orders and commits its proposals.
  void DrainOutputs() {
    GraphLeaderOutputs outputs = leader_.TakeOutputs();
    for (Event& event : outputs.events) {
      events_.push_back(std::move(event));
    }
    for (Outbound& order : outputs.orders) {
      const auto& orders = std::get<WorkerOrders>(order.message);
      if (orders.must_fence) {
        answered_tokens_[orders.worker] =
            CallToken(orders.fencing_token, orders.incarnation_number);
      } else {
        orders_.push_back(orders);
      }
    }
    for (const Command& command : outputs.proposals) {
      Commit(command);
    }
  }

  GraphTable table_;
  GraphLeader leader_;
  Time now_ = Time(std::chrono::seconds(100));
  WallMillis wall_ = kGraphStart;
  std::uint64_t seq_ = 0;
  std::vector<WorkerOrders> orders_;
  // The highest token that each incarnation has answered.
  std::map<WorkerIncarnation, std::uint64_t> answered_tokens_;
  Events events_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_GRAPH_SAMPLES_H_
