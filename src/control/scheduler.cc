#include "banyan/control/scheduler.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace banyan {
namespace {

// Number of jobs of one team that may find no worker in a round before the team
// is skipped for the rest of the round.
constexpr int kBackfillDepth = 16;
// Age after which a worker is reserved for a job, so that smaller jobs do not
// starve it.
constexpr WallMillis kAgingThresholdMs = 10LL * 60 * 1000;
// Maximum number of workers reserved for aged jobs in one round.
constexpr std::size_t kMaxReservations = 4;
// Rate of evictions for drains, as a fraction of the start rate.
constexpr double kDrainBudgetShare = 0.5;
// Time after which an eviction that has not ended is requested again.
constexpr Duration kEvictionRetryInterval = std::chrono::seconds(5);
// Ratio to the baseline latency above which a service counts as slow.
constexpr double kSlowServiceRatio = 1.3;
// Distance below the pressure threshold, in percentage points, from which a
// report counts as well below it.
constexpr std::int64_t kReleaseMarginPercent = 15;
// Weight of a new report in the moving average of used to requested CPU.
constexpr double kBatchRatioSmoothing = 0.1;
// Lower limit of a sample of that ratio.
constexpr double kMinBatchRatio = 0.2;
// Upper limit of a sample of that ratio.
constexpr double kMaxBatchRatio = 2;
// Factor by which the recorded peak of service CPU usage decays per report.
constexpr double kServicePeakDecay = 0.99;
constexpr double kPercent = 100;

// Returns the dominant share of a team: the largest fraction of its quota that
// it uses of any one resource.
double DominantShare(const Resources& used,
                     const std::optional<Resources>& quota) {
  // A team without a quota is compared by CPU only, against this nominal quota.
  constexpr double kNominalQuotaMillis = 1e6;
  if (!quota) {
    return static_cast<double>(used.cpu_millis) / kNominalQuotaMillis;
  }
  const auto share_of = [](std::int64_t a, std::int64_t b) {
    return b == 0 ? 0.0 : static_cast<double>(a) / static_cast<double>(b);
  };
  return std::max({share_of(used.cpu_millis, quota->cpu_millis),
                   share_of(used.memory_mib, quota->memory_mib),
                   share_of(used.accelerators, quota->accelerators)});
}

}  // namespace

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::Reset(Time now,
                                     const ControlState& state,
                                     Duration lease) {
  *this = BasicScheduler();
  last_refill_ = now;
  for (const auto& [id, instance] : state.instances()) {
    OnRegistered(instance, now + lease);
  }
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::OnRegistered(const Instance& instance,
                                            Time lease_deadline) {
  InstanceLoad& load = loads_[instance.info.id];
  if (load.incarnation != instance.info.incarnation) {
    load = InstanceLoad{};
    load.incarnation = instance.info.incarnation;
  }
  load.lease_deadline = std::max(load.lease_deadline, lease_deadline);
  if (!instance.info.host.empty()) {
    services_on_[instance.info.host].insert(instance.info.service);
  }
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::OnRemoved(const std::string& instance) {
  loads_.erase(instance);
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::OnHeartbeat(const ControlState& state,
                                           const std::string& instance,
                                           std::uint64_t incarnation,
                                           const Heartbeat& heartbeat,
                                           Time lease_deadline) {
  InstanceLoad& load = loads_[instance];
  load.incarnation = incarnation;
  load.lease_deadline = std::max(load.lease_deadline, lease_deadline);
  load.config_version = heartbeat.config_version;
  load.cpu_percent = heartbeat.cpu_percent;
  const Instance* known = state.FindInstance(instance);
  if (known != nullptr && known->info.role == InstanceRole::kWorker) {
    UpdateUsage(state, *known, heartbeat, load);
  }
  const std::int64_t threshold = state.preset().pressure_percent;
  if (load.cpu_percent > threshold) {
    ++load.reports_above;
    load.reports_below = 0;
  } else if (load.cpu_percent < threshold - kReleaseMarginPercent) {
    ++load.reports_below;
    load.reports_above = 0;
  }
  if (known != nullptr && heartbeat.latency_us > 0) {
    UpdateInterference(state, *known, heartbeat);
  }
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::UpdateUsage(const ControlState& state,
                                           const Instance& worker,
                                           const Heartbeat& heartbeat,
                                           InstanceLoad& load) const {
  std::int64_t used = 0;
  std::int64_t declared = 0;
  for (const TaskUsage& usage : heartbeat.usage) {
    const Job* job = state.FindJob(usage.task.job);
    used += usage.cpu_millis;
    // A task that just started has not used any CPU yet, so its sample is
    // ignored.
    declared += job == nullptr || usage.cpu_millis == 0
                    ? 0
                    : job->spec.needs.cpu_millis;
  }
  const auto capacity = static_cast<double>(worker.info.capacity.cpu_millis);
  const double batch_percent = kPercent * static_cast<double>(used) / capacity;
  load.service_percent =
      std::max(0.0, static_cast<double>(heartbeat.cpu_percent) - batch_percent);
  load.service_peak_percent = std::max(
      load.service_percent, load.service_peak_percent * kServicePeakDecay);
  // While the tasks are throttled, their usage reflects the throttle and not
  // their demand.
  if (declared > 0 && load.batch_share_percent == kFullBatchSharePercent) {
    const double ratio =
        std::clamp(static_cast<double>(used) / static_cast<double>(declared),
                   kMinBatchRatio, kMaxBatchRatio);
    load.batch_ratio += kBatchRatioSmoothing * (ratio - load.batch_ratio);
  }
}

template <SchedulerPolicies Policies>
double BasicScheduler<Policies>::ExpectedCpuPercent(
    const Preset& preset,
    const Instance& worker,
    const InstanceLoad& load,
    std::int64_t pending_cpu_millis) {
  const double headroom = static_cast<double>(preset.service_headroom_percent) /
                          kPercent *
                          (load.service_peak_percent - load.service_percent);
  const double batch =
      kPercent *
      static_cast<double>(worker.committed.cpu_millis + pending_cpu_millis) /
      static_cast<double>(worker.info.capacity.cpu_millis);
  return load.service_percent + headroom + batch * load.batch_ratio;
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::UpdateInterference(const ControlState& state,
                                                  const Instance& endpoint,
                                                  const Heartbeat& heartbeat) {
  const std::string& service = endpoint.info.service;
  const double slowdown = baseline_.Observe(service, heartbeat.latency_us);
  const auto host_load = loads_.find(endpoint.info.host);
  if (host_load != loads_.end()) {
    int& slow_reports = host_load->second.slow_reports;
    slow_reports = slowdown > kSlowServiceRatio ? slow_reports + 1 : 0;
  }
  const Instance* host = state.FindInstance(endpoint.info.host);
  if (host == nullptr) {
    return;
  }
  std::set<std::string> kinds;
  for (const std::string& key : host->jobs) {
    kinds.insert(state.FindJob(key)->spec.kind);
  }
  interference_.AddSample(service, kinds, slowdown);
}

template <SchedulerPolicies Policies>
double BasicScheduler<Policies>::InterferenceOn(const std::string& worker,
                                                const std::string& kind) const {
  const auto found = services_on_.find(worker);
  if (found == services_on_.end()) {
    return 1.0;
  }
  double highest = 1.0;
  for (const std::string& service : found->second) {
    highest = std::max(highest, interference_.ExpectedSlowdown(service, kind));
  }
  return highest;
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::OnTaskEnd(Time now,
                                         const Job& job,
                                         const EndTask& end,
                                         Events& events) {
  eviction_retry_at_.erase(end.task.job);
  switch (end.end) {
    case TaskEnd::kFinished:
      failures_.RecordSuccess(job.worker);
      failures_.ForgetJob(end.task.job);
      break;
    case TaskEnd::kFailed:
      if (failures_.RecordFailure(now, job.worker, end.task.job,
                                  job.failed_on)) {
        events.push_back(Event(EventId::kWorkerSuspected)
                             .With("worker", job.worker)
                             .With("last_job", end.task.job));
      }
      break;
    case TaskEnd::kRefused:
      failures_.BackOff(now, end.task.job);
      break;
    case TaskEnd::kEvicted:
    case TaskEnd::kLost:
    case TaskEnd::kWorkerCrashed:
      break;
  }
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::OnPlaced(const PlaceTask& placed,
                                        const JobSpec& spec) {
  if (pending_placements_.erase(placed.task.job) == 0) {
    return;
  }
  pending_by_worker_[placed.worker] -= spec.needs;
  pending_by_team_[spec.team] -= spec.needs;
}

template <SchedulerPolicies Policies>
std::vector<WorkerView> BasicScheduler<Policies>::EligibleWorkers(
    Time now,
    const ControlState& state) const {
  std::vector<WorkerView> views;
  views.reserve(state.instances().size());
  for (const auto& [id, instance] : state.instances()) {
    const InstanceInfo& info = instance.info;
    const auto load = loads_.find(id);
    const bool is_eligible =
        info.role == InstanceRole::kWorker && !info.leaving &&
        !state.IsOutOfService(info.data_centre) && load != loads_.end() &&
        !load->second.is_removing && load->second.lease_deadline > now &&
        !failures_.IsSuspected(now, id);
    if (!is_eligible) {
      continue;
    }
    WorkerView view;
    view.id = id;
    view.incarnation = info.incarnation;
    view.data_centre = info.data_centre;
    view.rack = info.rack;
    view.capacity = info.capacity;
    view.free = info.capacity - instance.committed;
    const auto found = pending_by_worker_.find(id);
    const Resources pending =
        found == pending_by_worker_.end() ? Resources{} : found->second;
    view.free -= pending;
    view.cpu_percent = ExpectedCpuPercent(state.preset(), instance,
                                          load->second, pending.cpu_millis);
    view.is_throttled =
        load->second.batch_share_percent < kFullBatchSharePercent;
    views.push_back(std::move(view));
  }
  return views;
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::RefillBudgets(Time now, const Preset& preset) {
  const double seconds =
      std::chrono::duration<double>(now - last_refill_).count();
  const auto rate = static_cast<double>(preset.starts_per_second);
  last_refill_ = now;
  start_budget_ = std::min(rate, start_budget_ + rate * seconds);
  drain_budget_ = std::min(rate * kDrainBudgetShare,
                           drain_budget_ + rate * kDrainBudgetShare * seconds);
}

// One placement round: a snapshot of the eligible workers, and a priority queue
// of the teams with queued jobs.
template <SchedulerPolicies Policies>
class BasicScheduler<Policies>::PlacementRound {
 public:
  PlacementRound(BasicScheduler& scheduler,
                 Time now,
                 const ControlState& state,
                 SchedulerOutputs& out)
      : scheduler_(scheduler),
        now_(now),
        state_(state),
        out_(out),
        workers_(scheduler.EligibleWorkers(now, state)),
        policy_(Policies::MakePlacement(state.preset())) {}

  void Run() {
    for (const auto& [name, queue] : state_.queues()) {
      Push({&name, queue.begin(), queue.end(), 0, 0, false});
    }
    while (!turns_.empty() && scheduler_.start_budget_ >= 1) {
      TeamTurn turn = turns_.top();
      turns_.pop();
      TryNextJob(turn);
      Push(turn);
    }
  }

 private:
  using Queue = std::set<QueueKey>;

  struct TeamTurn {
    const std::string* name = nullptr;
    Queue::const_iterator next;
    Queue::const_iterator end;
    // Number of jobs of the team that could not be placed in this round.
    int unplaced_jobs = 0;
    double dominant_share = 0;
    bool is_urgent = false;

    // Orders teams by priority: urgent jobs first, then the smallest dominant
    // share.
    friend bool operator<(const TeamTurn& a, const TeamTurn& b) {
      if (a.is_urgent != b.is_urgent) {
        return b.is_urgent;
      }
      return a.dominant_share > b.dominant_share;
    }
  };

  void Push(TeamTurn turn) {
    if (turn.next == turn.end || turn.unplaced_jobs >= kBackfillDepth) {
      return;
    }
    turn.is_urgent = !turn.next->is_normal;
    turn.dominant_share =
        DominantShare(UsedBy(*turn.name), QuotaOf(*turn.name));
    turns_.push(turn);
  }

  [[nodiscard]] Resources UsedBy(const std::string& name) const {
    const auto team = state_.teams().find(name);
    const auto pending = scheduler_.pending_by_team_.find(name);
    Resources used;
    if (team != state_.teams().end()) {
      used += team->second.used;
    }
    if (pending != scheduler_.pending_by_team_.end()) {
      used += pending->second;
    }
    return used;
  }

  [[nodiscard]] std::optional<Resources> QuotaOf(
      const std::string& name) const {
    const auto team = state_.teams().find(name);
    return team == state_.teams().end() ? std::nullopt : team->second.quota;
  }

  // Tries to place the team's next job.
  void TryNextJob(TeamTurn& turn) {
    const QueueKey& key = *turn.next++;
    const Job& job = state_.jobs().at(key.job);
    const bool must_wait = scheduler_.pending_placements_.contains(key.job) ||
                           scheduler_.failures_.IsBackingOff(now_, key.job) ||
                           (!state_.preset().batch_enabled && !job.spec.urgent);
    if (must_wait) {
      return;
    }
    const std::optional<Resources> quota = QuotaOf(*turn.name);
    const bool is_within_quota =
        !quota || Fits(UsedBy(*turn.name) + job.spec.needs, *quota);
    if (!is_within_quota || !Place(*turn.name, key.job, job)) {
      ++turn.unplaced_jobs;
    }
  }

  bool Place(const std::string& team, const std::string& key, const Job& job) {
    for (WorkerView& worker : workers_) {
      worker.interference = scheduler_.InterferenceOn(worker.id, job.spec.kind);
    }
    const auto choice =
        ChooseWorker(policy_, job.spec, std::span<const WorkerView>(workers_));
    if (!choice) {
      if (job.spec.urgent) {
        Preempt(key, job);
      } else {
        ReserveWorkerIfAged(key, job);
      }
      return false;
    }
    WorkerView& worker = workers_[choice->worker_index];
    Commit(team, key, job, worker, choice->cost);
    return true;
  }

  void Commit(const std::string& team,
              const std::string& key,
              const Job& job,
              WorkerView& worker,
              double cost) {
    out_.placements.push_back(
        {{key, job.attempt + 1}, worker.id, worker.incarnation});
    out_.events.push_back(Event(EventId::kTaskPlaced)
                              .With("job", key)
                              .With("attempt", job.attempt + 1)
                              .With("worker", worker.id)
                              .With("data_centre", worker.data_centre)
                              .With("cost", static_cast<std::int64_t>(cost))
                              .With("reason", job.spec.urgent
                                                  ? "urgent, least cost"
                                                  : "least cost"));
    const double share_percent =
        ScoredPlacement::CpuSharePercent(job.spec, worker);
    worker.free -= job.spec.needs;
    worker.cpu_percent += share_percent;
    scheduler_.pending_placements_.insert(key);
    scheduler_.preemption_retry_at_.erase(key);
    scheduler_.pending_by_worker_[worker.id] += job.spec.needs;
    scheduler_.pending_by_team_[team] += job.spec.needs;
    scheduler_.start_budget_ -= 1;
  }

  // Returns the non-urgent tasks to evict from a worker so that the job fits,
  // or nullopt if evicting all of them would not be enough.
  [[nodiscard]] std::optional<std::vector<TaskId>> VictimsOn(
      const WorkerView& worker,
      const Job& job) const {
    Resources free = worker.free;
    std::vector<TaskId> victims;
    const Instance& instance = *state_.FindInstance(worker.id);
    for (const std::string& key : instance.jobs) {
      if (Fits(job.spec.needs, free)) {
        break;
      }
      const Job& other = state_.jobs().at(key);
      if (!other.spec.urgent) {
        victims.push_back({key, other.attempt});
        free += other.spec.needs;
      }
    }
    return Fits(job.spec.needs, free) ? std::optional(victims) : std::nullopt;
  }

  // Evicts the fewest non-urgent tasks that free enough capacity on one worker
  // for an urgent job. The worker is excluded from other placements for the
  // rest of the round.
  void Preempt(const std::string& key, const Job& job) {
    Time& retry_at = scheduler_.preemption_retry_at_[key];
    if (retry_at > now_) {
      return;
    }
    auto best = workers_.end();
    std::vector<TaskId> fewest_victims;
    for (auto worker = workers_.begin(); worker != workers_.end(); ++worker) {
      auto victims = VictimsOn(*worker, job);
      const bool is_better =
          victims &&
          (best == workers_.end() || victims->size() < fewest_victims.size());
      if (is_better) {
        best = worker;
        fewest_victims = *std::move(victims);
      }
    }
    if (best == workers_.end()) {
      return;
    }
    retry_at = now_ + kEvictionRetryInterval;
    for (const TaskId& victim : fewest_victims) {
      scheduler_.eviction_retry_at_[victim.job] = now_ + kEvictionRetryInterval;
      out_.actions.push_back({TaskAction::Kind::kEvict, victim, best->id,
                              "room for urgent job " + key});
    }
    workers_.erase(best);
  }

  // Reserves the worker with the most free CPU among those large enough for an
  // aged job: it is excluded from other placements for the rest of the round,
  // so that small jobs do not starve a large one.
  void ReserveWorkerIfAged(const std::string& key, const Job& job) {
    const bool is_aged = state_.now() - job.submitted_at > kAgingThresholdMs;
    if (!is_aged || reservations_ >= kMaxReservations) {
      return;
    }
    auto best = workers_.end();
    for (auto worker = workers_.begin(); worker != workers_.end(); ++worker) {
      const bool is_better = Fits(job.spec.needs, worker->capacity) &&
                             (best == workers_.end() ||
                              worker->free.cpu_millis > best->free.cpu_millis);
      if (is_better) {
        best = worker;
      }
    }
    if (best == workers_.end()) {
      return;
    }
    ++reservations_;
    out_.events.push_back(Event(EventId::kJobUnplaceable)
                              .With("job", key)
                              .With("kept_worker", best->id)
                              .With("reason", "aged, waits for room"));
    workers_.erase(best);
  }

  BasicScheduler& scheduler_;
  Time now_;
  const ControlState& state_;
  SchedulerOutputs& out_;
  std::vector<WorkerView> workers_;
  typename Policies::Placement policy_;
  std::priority_queue<TeamTurn> turns_;
  std::size_t reservations_ = 0;
};

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::PlaceQueued(Time now,
                                           const ControlState& state,
                                           SchedulerOutputs& out) {
  if (!state.queues().empty() && start_budget_ >= 1) {
    PlacementRound(*this, now, state, out).Run();
  }
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::DrainWorkers(Time now,
                                            const ControlState& state,
                                            SchedulerOutputs& out) {
  for (const auto& [id, instance] : state.instances()) {
    const bool must_drain = state.IsOutOfService(instance.info.data_centre) ||
                            instance.info.leaving;
    if (instance.info.role != InstanceRole::kWorker || !must_drain) {
      continue;
    }
    for (const std::string& key : instance.jobs) {
      if (drain_budget_ < 1) {
        return;
      }
      Time& retry_at = eviction_retry_at_[key];
      if (retry_at > now) {
        continue;
      }
      retry_at = now + kEvictionRetryInterval;
      drain_budget_ -= 1;
      const Job& job = state.jobs().at(key);
      out.actions.push_back(
          {TaskAction::Kind::kEvict,
           {key, job.attempt},
           id,
           instance.info.leaving ? "worker leaving" : "data centre out"});
    }
  }
}

template <SchedulerPolicies Policies>
std::optional<TaskId> BasicScheduler<Policies>::SelectVictim(
    const ControlState& state,
    const Instance& instance) const {
  // Selects the task with the strongest interference; the CPU request decides
  // between tasks whose interference is nearly equal.
  std::optional<TaskId> victim;
  double highest_cost = -1;
  for (const std::string& key : instance.jobs) {
    const Job& job = state.jobs().at(key);
    if (eviction_retry_at_.contains(key) || job.spec.urgent) {
      continue;
    }
    const double cost =
        (InterferenceOn(instance.info.id, job.spec.kind) - 1) * kPercent +
        static_cast<double>(job.spec.needs.cpu_millis) /
            static_cast<double>(instance.info.capacity.cpu_millis);
    if (cost > highest_cost) {
      victim = TaskId{key, job.attempt};
      highest_cost = cost;
    }
  }
  return victim;
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::RelievePressure(Time now,
                                               const ControlState& state,
                                               SchedulerOutputs& out) {
  const typename Policies::Pressure policy;
  for (auto& [id, load] : loads_) {
    const Instance* instance = state.FindInstance(id);
    if (instance == nullptr || instance->jobs.empty()) {
      load.batch_share_percent = kFullBatchSharePercent;
      continue;
    }
    PressureView view;
    view.reports_above = load.reports_above;
    view.reports_below = load.reports_below;
    view.slow_reports = load.slow_reports;
    view.batch_share_percent = load.batch_share_percent;
    view.is_cooldown_over = now >= load.next_eviction;
    switch (policy.NextAction(view)) {
      case PressureAction::kNothing:
        break;
      case PressureAction::kRelease:
        SetBatchShare(
            state, *instance, load,
            std::min(kFullBatchSharePercent, load.batch_share_percent * 2),
            out);
        break;
      case PressureAction::kThrottle:
        SetBatchShare(
            state, *instance, load,
            std::max(kMinBatchSharePercent, load.batch_share_percent / 2), out);
        break;
      case PressureAction::kEvict:
        if (const auto victim = SelectVictim(state, *instance)) {
          out.actions.push_back(
              {TaskAction::Kind::kEvict, *victim, id, "lasting pressure"});
          load.next_eviction = now + Millis(state.preset().evict_cooldown_ms);
          load.reports_above = 0;
          eviction_retry_at_[victim->job] = now + kEvictionRetryInterval;
        }
        break;
    }
  }
}

template <SchedulerPolicies Policies>
void BasicScheduler<Policies>::SetBatchShare(const ControlState& state,
                                             const Instance& instance,
                                             InstanceLoad& load,
                                             std::int64_t share_percent,
                                             SchedulerOutputs& out) {
  const char* cause =
      share_percent < load.batch_share_percent ? "pressure" : "pressure gone";
  load.batch_share_percent = share_percent;
  // The next action requires new reports, which reflect this one.
  load.reports_above = 0;
  load.reports_below = 0;
  load.slow_reports = 0;
  for (const std::string& key : instance.jobs) {
    const Job& job = state.jobs().at(key);
    if (job.spec.urgent) {
      continue;
    }
    out.actions.push_back({TaskAction::Kind::kThrottle,
                           {key, job.attempt},
                           instance.info.id,
                           cause,
                           share_percent});
  }
}

template <SchedulerPolicies Policies>
SchedulerOutputs BasicScheduler<Policies>::Decide(Time now,
                                                  const ControlState& state) {
  SchedulerOutputs out;
  RefillBudgets(now, state.preset());
  DrainWorkers(now, state, out);
  RelievePressure(now, state, out);
  PlaceQueued(now, state, out);
  for (const TaskAction& action : out.actions) {
    out.events.push_back(Event(action.kind == TaskAction::Kind::kEvict
                                   ? EventId::kTaskEvicting
                                   : EventId::kTaskThrottled)
                             .With("job", action.task.job)
                             .With("attempt", action.task.attempt)
                             .With("worker", action.worker)
                             .With("reason", action.cause));
  }
  return out;
}

template <SchedulerPolicies Policies>
std::vector<RemoveInstance> BasicScheduler<Policies>::TakeExpired(
    Time now,
    const ControlState& state) {
  std::vector<RemoveInstance> expired;
  for (auto& [id, load] : loads_) {
    if (load.is_removing || load.lease_deadline > now ||
        state.FindInstance(id) == nullptr) {
      continue;
    }
    load.is_removing = true;
    expired.push_back({id, load.incarnation, "lease expired"});
  }
  return expired;
}

template class BasicScheduler<DefaultPolicies>;
template class BasicScheduler<BaselinePolicies>;

}  // namespace banyan
