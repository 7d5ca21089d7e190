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

// Action that the scheduler requests for a running task.
struct TaskAction {
  enum class Kind : std::uint8_t { kEvict, kThrottle };
  Kind kind = Kind::kEvict;
  TaskId task;
  std::string worker;
  std::string cause;
  // For kThrottle: the CPU share that the task may use, in percent.
  std::int64_t cpu_share_percent = 100;
};

// Decisions of one scheduling round.
struct SchedulerOutputs {
  std::vector<PlaceTask> placements;
  std::vector<TaskAction> actions;
  Events events;
};

// The placement and pressure policies of a scheduler.
template <typename P>
concept SchedulerPolicies = PlacementPolicy<typename P::Placement> &&
    PressurePolicy<typename P::Pressure> && requires(const Preset& preset) {
  { P::MakePlacement(preset) } -> std::same_as<typename P::Placement>;
};

// Policies used in production.
struct DefaultPolicies {
  using Placement = ScoredPlacement;
  using Pressure = HysteresisPressure;
  [[nodiscard]] static Placement MakePlacement(const Preset& preset) {
    return ScoredPlacement(
        static_cast<double>(preset.batch_cpu_ceiling_percent));
  }
};

// Baseline for comparison: first fit, and eviction at the first report of
// pressure.
struct BaselinePolicies {
  using Placement = FirstFitPlacement;
  using Pressure = ImmediateEviction;
  [[nodiscard]] static Placement MakePlacement(const Preset& /*preset*/) {
    return {};
  }
};

// Scheduler of batch jobs, run by the leader: chooses which job starts next and
// on which worker, and which tasks are throttled or evicted. It holds soft
// state only; a placement takes effect when its command is committed and
// applied.
template <SchedulerPolicies Policies>
class BasicScheduler {
 public:
  // Discards all soft state and starts a new lease for every registered
  // instance. Called when a replica becomes leader.
  void Reset(Time now, const ControlState& state, Duration lease);

  // Handles a heartbeat of a registered instance and extends its lease.
  void OnHeartbeat(const ControlState& state,
                   const std::string& instance,
                   std::uint64_t incarnation,
                   const Heartbeat& heartbeat,
                   Time lease_deadline);

  // Starts the lease of an instance that was just registered.
  void OnRegistered(const Instance& instance, Time lease_deadline);

  // Discards the load of an instance that was removed.
  void OnRemoved(const std::string& instance);

  // Handles the end of an attempt. `job` is the job before the end was applied.
  void OnTaskEnd(Time now, const Job& job, const EndTask& end, Events& events);

  // Handles a placement command that was applied, whether it succeeded or not.
  void OnPlaced(const PlaceTask& placed, const JobSpec& spec);

  // Runs one scheduling round: drains, relieves pressure, and places queued
  // jobs.
  [[nodiscard]] SchedulerOutputs Decide(Time now, const ControlState& state);

  // Returns the removal commands for instances whose lease expired; each
  // instance is returned once.
  [[nodiscard]] std::vector<RemoveInstance> TakeExpired(
      Time now,
      const ControlState& state);

  // Allows the eviction of a job to be requested again at once.
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
  // Returns the expected CPU usage of a worker, in percent of its capacity,
  // once all jobs committed on it or pending for it run and its services use
  // their headroom.
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
                     std::int64_t share_percent,
                     SchedulerOutputs& out);
  void RelievePressure(Time now,
                       const ControlState& state,
                       SchedulerOutputs& out);
  void RefillBudgets(Time now, const Preset& preset);

  std::map<std::string, InstanceLoad> loads_;
  // Services of the endpoints co-located with each worker, by worker id.
  std::map<std::string, std::set<std::string>> services_on_;
  InterferenceTable interference_;
  ServiceBaseline baseline_;
  FailureTracker failures_;
  // Jobs whose placement was proposed but is not applied yet.
  std::set<std::string> pending_placements_;
  // Resources of the pending placements, by worker.
  std::map<std::string, Resources> pending_by_worker_;
  // Resources of the pending placements, by team.
  std::map<std::string, Resources> pending_by_team_;
  // Jobs being evicted, with the time at which the eviction is requested again.
  std::map<std::string, Time> eviction_retry_at_;
  // Urgent jobs for which tasks are being evicted, with the time at which
  // preemption is tried again.
  std::map<std::string, Time> preemption_retry_at_;
  // Task starts allowed now; refilled at the preset's rate.
  double start_budget_ = 0;
  // Evictions for drains allowed now; refilled at a share of that rate.
  double drain_budget_ = 0;
  Time last_refill_;
};

// The scheduler used in production.
using Scheduler = BasicScheduler<DefaultPolicies>;

extern template class BasicScheduler<DefaultPolicies>;
extern template class BasicScheduler<BaselinePolicies>;

}  // namespace banyan

#endif  // BANYAN_CONTROL_SCHEDULER_H_
