#ifndef BANYAN_CONTROL_SCHEDULER_H_
#define BANYAN_CONTROL_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/control/control_state.h"
#include "banyan/control/load_table.h"
#include "banyan/control/placement.h"
#include "banyan/control/pressure.h"
#include "banyan/wire/preset.h"

namespace banyan {

// An order that the scheduler gives for a running task.
struct TaskAction {
  enum class Kind : std::uint8_t { kEvict, kThrottle };
  Kind kind = Kind::kEvict;
  TaskId task;
  std::string worker;
  std::string cause;
  // The share of a processor that is left to the task, in percent.
  std::int64_t cpu_share_percent = 100;
};

// What one scheduling round decided.
struct SchedulerOutputs {
  std::vector<PlaceTask> placements;
  std::vector<TaskAction> actions;
  Events events;
};

// What a scheduler decides by.
template <typename P>
concept SchedulerPolicies = PlacementPolicy<typename P::Placement> &&
    PressurePolicy<typename P::Pressure> && requires(const Preset& preset) {
  { P::MakePlacement(preset) } -> std::same_as<typename P::Placement>;
};

// The product's policies.
struct DefaultPolicies {
  using Placement = ScoredPlacement;
  using Pressure = HysteresisPressure;
  [[nodiscard]] static Placement MakePlacement(const Preset& preset) {
    return ScoredPlacement(
        static_cast<double>(preset.batch_cpu_ceiling_percent));
  }
};

// Baseline: first fit, and eviction at the first sign of pressure.
struct BaselinePolicies {
  using Placement = FirstFitPlacement;
  using Pressure = ImmediateEviction;
  [[nodiscard]] static Placement MakePlacement(const Preset& /*preset*/) {
    return {};
  }
};

// The leader's decisions on batch work: which job starts next and where, and
// which task must leave. It is soft state; what it decides becomes true only
// through the log.
template <SchedulerPolicies Policies>
class BasicScheduler {
 public:
  // Forgets everything; a new leader starts with what the state tells.
  void Reset(Time now, const ControlState& state, Span lease);

  // Takes a report of an instance that holds its lease.
  void OnHeartbeat(const ControlState& state,
                   const std::string& instance,
                   std::uint64_t incarnation,
                   const Heartbeat& heartbeat,
                   Time lease_deadline);

  // Starts the lease of an instance that was just registered.
  void OnRegistered(const Instance& instance, Time lease_deadline);

  // Forgets an instance that was removed.
  void OnRemoved(const std::string& instance);

  // Takes the end of an attempt; `job` is its state before.
  void OnTaskEnd(Time now, const Job& job, const EndTask& end, Events& events);

  // Notes that a placement was applied, whether it took effect or not.
  void OnPlaced(const PlaceTask& placed, const JobSpec& spec);

  // Decides what starts and what must leave.
  [[nodiscard]] SchedulerOutputs Decide(Time now, const ControlState& state);

  // Instances whose lease ran out; each is named once.
  [[nodiscard]] std::vector<RemoveInstance> TakeExpired(
      Time now,
      const ControlState& state);

  // Notes that a job's eviction has to be tried again.
  void ForgetEviction(const std::string& job) { eviction_retry_at_.erase(job); }

  [[nodiscard]] const std::map<std::string, InstanceLoad>& loads()
      const noexcept {
    return loads_;
  }

 private:
  class PlacementRound;

  [[nodiscard]] std::vector<WorkerView> EligibleWorkers(
      Time now,
      const ControlState& state) const;
  [[nodiscard]] double InterferenceOn(const std::string& worker,
                                      const std::string& kind) const;
  void UpdateUsage(const ControlState& state,
                   const Instance& worker,
                   const Heartbeat& heartbeat,
                   InstanceLoad& load) const;
  // The processor use that a worker will come to, in percent, when all that is
  // committed on it runs and its services take their headroom.
  [[nodiscard]] static double ExpectedCpuPercent(
      const Preset& preset,
      const Instance& worker,
      const InstanceLoad& load,
      std::int64_t pending_cpu_millis);
  void UpdateInterference(const ControlState& state,
                          const Instance& endpoint,
                          const Heartbeat& heartbeat);
  void PlaceQueued(Time now, const ControlState& state, SchedulerOutputs& out);
  void DrainWorkers(Time now, const ControlState& state, SchedulerOutputs& out);
  [[nodiscard]] std::optional<TaskId> SelectVictim(
      const ControlState& state,
      const Instance& instance) const;
  void SetBatchShare(const ControlState& state,
                     const Instance& instance,
                     InstanceLoad& load,
                     std::int64_t share,
                     SchedulerOutputs& out);
  void RelievePressure(Time now,
                       const ControlState& state,
                       SchedulerOutputs& out);
  void RefillBudgets(Time now, const Preset& preset);

  std::map<std::string, InstanceLoad> loads_;
  // Services of the endpoints that share each worker.
  std::map<std::string, std::set<std::string>> services_on_;
  InterferenceTable interference_;
  ServiceBaseline baseline_;
  FailureTracker failures_;
  // Jobs whose placement stands in the log but is not applied yet, and what
  // they will commit on each worker and for each team.
  std::set<std::string> pending_placements_;
  std::map<std::string, Resources> pending_by_worker_;
  std::map<std::string, Resources> pending_by_team_;
  // Jobs that were told to leave, and when to tell them again.
  std::map<std::string, Time> eviction_retry_at_;
  // Urgent jobs that room is being made for, and when to try again.
  std::map<std::string, Time> preemption_retry_at_;
  double start_budget_ = 0;
  double drain_budget_ = 0;
  Time last_refill_;
};

// The scheduler that the product runs.
using Scheduler = BasicScheduler<DefaultPolicies>;

extern template class BasicScheduler<DefaultPolicies>;
extern template class BasicScheduler<BaselinePolicies>;

}  // namespace banyan

#endif  // BANYAN_CONTROL_SCHEDULER_H_
