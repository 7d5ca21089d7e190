#include "banyan/control/control_state.h"

#include <algorithm>
#include <utility>

#include "src/wire/json_types.h"

namespace banyan {
namespace {

// Time for which the result of a command is kept, so that a resent command
// returns it.
constexpr WallMillis kCommandRetentionMs = 24LL * 3600 * 1000;
// Maximum number of expired items of each type that one command removes.
constexpr int kMaxExpiredPerCommand = 32;
// Maximum number of earlier incarnations that an instance is known by.
constexpr std::size_t kMaxReplacedIncarnations = 8;
// A job ends as failed once it has failed on this many different workers.
constexpr std::size_t kMaxFailedWorkers = 3;
// A job ends as failed once it has failed this many times in total.
constexpr std::size_t kMaxFailures = 5;
// Crashes of workers under a job after which it is not placed again.
constexpr std::size_t kMaxCrashes = 5;

void Refuse(Applied& applied, ErrorKind error, std::string text) {
  applied.result.ok = false;
  applied.result.error = error;
  applied.result.text = std::move(text);
}

void Accept(Applied& applied) {
  applied.result.ok = true;
}

}  // namespace

const Preset& ControlState::preset() const {
  return config_.presets.at(config_.active);
}

const Job* ControlState::FindJob(std::string_view key) const {
  const auto found = jobs_.find(std::string(key));
  return found == jobs_.end() ? nullptr : &found->second;
}

const Instance* ControlState::FindInstance(std::string_view id) const {
  const auto found = instances_.find(std::string(id));
  return found == instances_.end() ? nullptr : &found->second;
}

ConfigUpdate ControlState::config_update() const {
  ConfigUpdate update;
  update.version = config_.version;
  update.preset_name = config_.active;
  update.preset = preset();
  update.out.assign(config_.out.begin(), config_.out.end());
  return update;
}

template <typename T>
requires requires(GraphTable& table, const T& command) {
  table.Apply(command, WallMillis{});
}
void ControlState::ApplyCommand(const T& command, Applied& applied) {
  applied.graph = graphs_.Apply(command, now_);
  applied.result = applied.graph->result;
  applied.events = std::move(applied.graph->events);
}

Applied ControlState::Apply(const LoggedCommand& command) {
  now_ = std::max(now_, command.proposed_at);
  command_id_ = command.command_id;
  Applied applied;
  const auto stored = stored_results_.find(command_id_);
  if (!command_id_.empty() && stored != stored_results_.end()) {
    applied.result = stored->second.result;
    return applied;
  }
  std::visit([&](const auto& body) { ApplyCommand(body, applied); },
             command.command);
  if (!applied.graph) {
    applied.result.version = config_.version;
  }
  if (!command_id_.empty()) {
    const WallMillis expires_at = now_ + kCommandRetentionMs;
    stored_results_[command_id_] = {applied.result, expires_at};
    stored_result_expiry_.emplace(expires_at, command_id_);
  }
  RemoveExpired();
  return applied;
}

void ControlState::RemoveExpired() {
  graphs_.RemoveExpiredGraphs(now_);
  for (int i = 0; i < kMaxExpiredPerCommand; ++i) {
    if (!claim_expiry_.empty() && claim_expiry_.begin()->first < now_) {
      claims_.erase(claim_expiry_.begin()->second);
      claim_expiry_.erase(claim_expiry_.begin());
    }
    if (!stored_result_expiry_.empty() &&
        stored_result_expiry_.begin()->first < now_) {
      stored_results_.erase(stored_result_expiry_.begin()->second);
      stored_result_expiry_.erase(stored_result_expiry_.begin());
    }
    if (!job_expiry_.empty() && job_expiry_.begin()->first < now_) {
      jobs_.erase(job_expiry_.begin()->second);
      job_expiry_.erase(job_expiry_.begin());
    }
  }
}

void ControlState::ApplyCommand(const NoOp& /*command*/, Applied& applied) {
  Accept(applied);
}

bool ControlState::IsExpectedVersion(std::uint64_t expected,
                                     Applied& applied) const {
  if (expected == config_.version) {
    return true;
  }
  Refuse(applied, ErrorKind::kConflict,
         "expected version " + std::to_string(expected) + ", but version " +
             std::to_string(config_.version) + " was made by command '" +
             config_.last_command_id + "': " + config_.last_change);
  return false;
}

void ControlState::ChangeConfig(std::string change, Applied& applied) {
  ++config_.version;
  config_.last_command_id = command_id_;
  config_.last_change = std::move(change);
  applied.config_changed = true;
  applied.events.push_back(Event(EventId::kCommandAccepted)
                               .With("version", config_.version)
                               .With("command", command_id_)
                               .With("change", config_.last_change));
  Accept(applied);
}

void ControlState::ApplyCommand(const CreatePreset& command, Applied& applied) {
  if (!IsExpectedVersion(command.expected_version, applied)) {
    return;
  }
  for (const ParameterRange& range : kParameterRanges) {
    const std::int64_t value = command.preset.*range.parameter;
    if (value < range.lowest || value > range.highest) {
      Refuse(applied, ErrorKind::kBadRequest,
             std::string(range.name) + " is " + std::to_string(value) +
                 ", allowed is " + std::to_string(range.lowest) + " to " +
                 std::to_string(range.highest));
      return;
    }
  }
  config_.presets[command.name] = command.preset;
  ChangeConfig("preset " + command.name + " set", applied);
}

void ControlState::ApplyCommand(const ActivatePreset& command,
                                Applied& applied) {
  if (!IsExpectedVersion(command.expected_version, applied)) {
    return;
  }
  if (!config_.presets.contains(command.name)) {
    Refuse(applied, ErrorKind::kNotFound, "no preset " + command.name);
    return;
  }
  config_.active = command.name;
  ChangeConfig("preset " + command.name + " in force", applied);
}

void ControlState::ApplyCommand(const SetDataCentre& command,
                                Applied& applied) {
  if (!IsExpectedVersion(command.expected_version, applied)) {
    return;
  }
  if (command.out) {
    config_.out.insert(command.data_centre);
  } else {
    config_.out.erase(command.data_centre);
  }
  ChangeConfig(
      "data centre " + command.data_centre + (command.out ? " out" : " back"),
      applied);
}

void ControlState::ApplyCommand(const SetTeam& command, Applied& applied) {
  if (!IsExpectedVersion(command.expected_version, applied)) {
    return;
  }
  if (!IsNonNegative(command.quota)) {
    Refuse(applied, ErrorKind::kBadRequest, "a quota can't be negative");
    return;
  }
  teams_[command.team].quota = command.quota;
  ChangeConfig("quota of team " + command.team + " set", applied);
}

void ControlState::Enqueue(const std::string& key, const Job& job) {
  queues_[job.spec.team].insert({!job.spec.urgent, job.order, key});
}

void ControlState::Dequeue(const std::string& key, const Job& job) {
  const auto queue = queues_.find(job.spec.team);
  if (queue == queues_.end()) {
    return;
  }
  queue->second.erase({!job.spec.urgent, job.order, key});
  if (queue->second.empty()) {
    queues_.erase(queue);
  }
}

bool ControlState::CouldEverRun(const Resources& needs) const {
  bool has_worker = false;
  for (const auto& [id, instance] : instances_) {
    if (instance.info.role != InstanceRole::kWorker) {
      continue;
    }
    has_worker = true;
    if (Fits(needs, instance.info.capacity)) {
      return true;
    }
  }
  return !has_worker;
}

void ControlState::ApplyCommand(const SubmitJob& command, Applied& applied) {
  const auto found = jobs_.find(command.key);
  if (found != jobs_.end()) {
    if (found->second.spec == command.spec) {
      Accept(applied);
    } else {
      Refuse(applied, ErrorKind::kConflict,
             "key " + command.key + " names another job");
    }
    return;
  }
  if (command.key.empty() || command.spec.team.empty()) {
    Refuse(applied, ErrorKind::kBadRequest, "a job needs a key and a team");
    return;
  }
  if (!IsNonNegative(command.spec.needs)) {
    Refuse(applied, ErrorKind::kBadRequest, "needs can't be negative");
    return;
  }
  if (!CouldEverRun(command.spec.needs)) {
    Refuse(applied, ErrorKind::kNeverRunnable,
           "no worker is large enough for this job");
    return;
  }
  const auto team = teams_.find(command.spec.team);
  if (team != teams_.end() && team->second.quota &&
      !Fits(command.spec.needs, *team->second.quota)) {
    Refuse(applied, ErrorKind::kNeverRunnable,
           "the job needs more than the quota of its team");
    return;
  }
  Job job;
  job.spec = command.spec;
  job.order = next_order_++;
  job.submitted_at = now_;
  job.changed_at = now_;
  Enqueue(command.key, job);
  jobs_.emplace(command.key, std::move(job));
  applied.events.push_back(Event(EventId::kJobSubmitted)
                               .With("job", command.key)
                               .With("team", command.spec.team)
                               .With("kind", command.spec.kind)
                               .With("urgent", command.spec.urgent ? 1 : 0));
  Accept(applied);
}

void ControlState::ApplyCommand(const CancelJob& command, Applied& applied) {
  const auto found = jobs_.find(command.key);
  if (found == jobs_.end()) {
    Refuse(applied, ErrorKind::kNotFound, "no job " + command.key);
    return;
  }
  Job& job = found->second;
  Accept(applied);
  if (job.state == JobState::kQueued) {
    Dequeue(command.key, job);
    Finish(command.key, job, JobState::kCancelled, "cancelled", applied);
  } else if (job.state == JobState::kPlaced) {
    // The resources stay committed until the worker confirms the end.
    job.cancelling = true;
    applied.tasks_to_stop.push_back({command.key, job.attempt});
  }
}

void ControlState::Release(const std::string& key, Job& job) {
  const auto instance = instances_.find(job.worker);
  if (instance != instances_.end() && instance->second.jobs.erase(key) > 0) {
    instance->second.committed -= job.spec.needs;
  }
  teams_[job.spec.team].used -= job.spec.needs;
  job.worker.clear();
  job.worker_incarnation = 0;
}

void ControlState::Finish(const std::string& key,
                          Job& job,
                          JobState state,
                          std::string cause,
                          Applied& applied) {
  job.state = state;
  job.cause = std::move(cause);
  job.changed_at = now_;
  job_expiry_.emplace(now_ + kJobRetentionMs, key);
  applied.events.push_back(Event(EventId::kJobEnded)
                               .With("job", key)
                               .With("attempt", job.attempt)
                               .With("state", ToString(state))
                               .With("cause", job.cause));
}

void ControlState::Requeue(const std::string& key,
                           Job& job,
                           std::string cause,
                           Applied& applied) {
  if (job.cancelling) {
    Finish(key, job, JobState::kCancelled, "cancelled", applied);
    return;
  }
  job.state = JobState::kQueued;
  job.cause = std::move(cause);
  job.changed_at = now_;
  Enqueue(key, job);
  applied.events.push_back(Event(EventId::kTaskRequeued)
                               .With("job", key)
                               .With("attempt", job.attempt)
                               .With("cause", job.cause));
}

void ControlState::RequeueTasksOf(Instance& instance,
                                  const std::set<TaskId>& kept,
                                  std::string_view cause,
                                  Applied& applied) {
  const std::set<std::string> keys = instance.jobs;
  for (const std::string& key : keys) {
    Job& job = jobs_.at(key);
    const TaskId task{key, job.attempt};
    if (kept.contains(task)) {
      continue;
    }
    Release(key, job);
    Requeue(key, job, std::string(cause), applied);
  }
}

void ControlState::ApplyCommand(const RegisterInstance& command,
                                Applied& applied) {
  const InstanceInfo& info = command.info;
  Accept(applied);
  const auto found = instances_.find(info.id);
  const bool is_endpoint = info.role == InstanceRole::kEndpoint;
  if (found != instances_.end() &&
      std::count(found->second.replaced.begin(), found->second.replaced.end(),
                 info.incarnation) > 0) {
    Refuse(applied, ErrorKind::kStale, "a later incarnation has registered");
    return;
  }
  if (found != instances_.end() && found->second.info == info) {
    return;
  }
  Instance& instance = instances_[info.id];
  const bool is_restarted = instance.info.incarnation != info.incarnation;
  if (is_restarted && found != instances_.end()) {
    instance.replaced.push_back(instance.info.incarnation);
    if (instance.replaced.size() > kMaxReplacedIncarnations) {
      instance.replaced.erase(instance.replaced.begin());
    }
  }
  instance.info = info;
  if (is_restarted) {
    const std::set<TaskId> running(command.running.begin(),
                                   command.running.end());
    RequeueTasksOf(instance, running, "agent restarted without it", applied);
    for (const std::string& key : instance.jobs) {
      jobs_.at(key).worker_incarnation = info.incarnation;
    }
  }
  if (is_endpoint) {
    ++endpoints_version_;
    applied.changed_endpoint = info.id;
  }
  applied.events.push_back(Event(info.leaving ? EventId::kInstanceLeaving
                                              : EventId::kInstanceRegistered)
                               .With("instance", info.id)
                               .With("incarnation", info.incarnation)
                               .With("data_centre", info.data_centre)
                               .With("cpu_millis", info.capacity.cpu_millis)
                               .With("memory_mib", info.capacity.memory_mib)
                               .With("adopted", instance.jobs.size()));
}

void ControlState::ApplyCommand(const RemoveInstance& command,
                                Applied& applied) {
  Accept(applied);
  const auto found = instances_.find(command.id);
  if (found == instances_.end() ||
      found->second.info.incarnation != command.incarnation) {
    return;
  }
  RequeueTasksOf(found->second, {}, command.cause, applied);
  if (found->second.info.role == InstanceRole::kEndpoint) {
    ++endpoints_version_;
    applied.changed_endpoint = command.id;
  }
  instances_.erase(found);
  applied.events.push_back(Event(EventId::kInstanceRemoved)
                               .With("instance", command.id)
                               .With("incarnation", command.incarnation)
                               .With("cause", command.cause));
}

void ControlState::ApplyCommand(const PlaceTask& command, Applied& applied) {
  const auto job = jobs_.find(command.task.job);
  const auto instance = instances_.find(command.worker);
  if (job == jobs_.end() || job->second.state != JobState::kQueued ||
      job->second.attempt + 1 != command.task.attempt) {
    Refuse(applied, ErrorKind::kStale, "the job is not waiting for this");
    return;
  }
  if (instance == instances_.end() ||
      instance->second.info.incarnation != command.incarnation ||
      instance->second.info.leaving) {
    Refuse(applied, ErrorKind::kStale, "the worker is gone or leaving");
    return;
  }
  if (IsOutOfService(instance->second.info.data_centre)) {
    Refuse(applied, ErrorKind::kDataCentreOut, "the data centre is out");
    return;
  }
  const Resources& needs = job->second.spec.needs;
  const Resources free =
      instance->second.info.capacity - instance->second.committed;
  if (!Fits(needs, free)) {
    Refuse(applied, ErrorKind::kOverloaded, "the worker has no room");
    return;
  }
  Team& team = teams_[job->second.spec.team];
  if (team.quota && !Fits(team.used + needs, *team.quota)) {
    Refuse(applied, ErrorKind::kOverloaded, "the team is at its quota");
    return;
  }
  Dequeue(command.task.job, job->second);
  job->second.state = JobState::kPlaced;
  job->second.attempt = command.task.attempt;
  job->second.worker = command.worker;
  job->second.worker_incarnation = command.incarnation;
  job->second.changed_at = now_;
  instance->second.committed += needs;
  instance->second.jobs.insert(command.task.job);
  team.used += needs;
  applied.placed_task = command.task;
  Accept(applied);
}

void ControlState::ApplyCommand(const EndTask& command, Applied& applied) {
  Accept(applied);
  applied.ended_task = command.task;
  const auto found = jobs_.find(command.task.job);
  if (found == jobs_.end() || found->second.attempt != command.task.attempt) {
    return;
  }
  const std::string& key = found->first;
  Job& job = found->second;
  if (job.state == JobState::kQueued && command.end == TaskEnd::kFinished) {
    // The task finished under its lease, but the report arrived after the
    // leader had given up the lease. No later attempt was placed, so the result
    // is accepted and the work is not repeated.
    Dequeue(key, job);
    Finish(key, job, JobState::kFinished, "reported late", applied);
    return;
  }
  if (job.state != JobState::kPlaced) {
    return;
  }
  const std::string worker = job.worker;
  Release(key, job);
  if (!command.checkpoint.empty()) {
    job.checkpoint = command.checkpoint;
  }
  switch (command.end) {
    case TaskEnd::kFinished:
      Finish(key, job, JobState::kFinished, command.cause, applied);
      return;
    case TaskEnd::kFailed: {
      job.failed_on.push_back(worker);
      const std::set<std::string> distinct_workers(job.failed_on.begin(),
                                                   job.failed_on.end());
      if (distinct_workers.size() >= kMaxFailedWorkers ||
          job.failed_on.size() >= kMaxFailures) {
        Finish(key, job, JobState::kFailed, command.cause, applied);
        return;
      }
      break;
    }
    case TaskEnd::kEvicted:
      ++job.evictions;
      break;
    case TaskEnd::kWorkerCrashed:
      job.crashed_on.push_back(worker);
      if (job.crashed_on.size() >= kMaxCrashes) {
        Finish(key, job, JobState::kFailed,
               "its workers crashed " + std::to_string(kMaxCrashes) + " times",
               applied);
        return;
      }
      break;
    case TaskEnd::kRefused:
    case TaskEnd::kLost:
      break;
  }
  Requeue(key, job, std::string(ToString(command.end)) + ": " + command.cause,
          applied);
}

void ControlState::ApplyCommand(const OpenClaim& command, Applied& applied) {
  Claim& claim = claims_[command.key];
  ClaimView& view = claim.view;
  Accept(applied);
  if (view.state != ClaimState::kNone && claim.digest != command.digest) {
    Refuse(applied, ErrorKind::kConflict,
           "the idempotency key belongs to another request");
    return;
  }
  const bool is_replacement = view.state == ClaimState::kOpen &&
                              command.expected_attempt != 0 &&
                              view.attempt == command.expected_attempt;
  const bool is_free =
      view.state == ClaimState::kNone || view.state == ClaimState::kReleased;
  view.granted = false;
  if (!is_free && !is_replacement) {
    applied.result.claim = view;
    return;
  }
  if (claim.expires_at != 0) {
    claim_expiry_.erase({claim.expires_at, command.key});
  }
  claim.digest = command.digest;
  claim.expires_at = command.expires_at;
  claim_expiry_.emplace(command.expires_at, command.key);
  view.state = ClaimState::kOpen;
  ++view.attempt;
  view.agent = command.agent;
  view.agent_incarnation = command.agent_incarnation;
  applied.result.claim = view;
  applied.result.claim.granted = true;
}

void ControlState::ApplyCommand(const EndClaim& command, Applied& applied) {
  Accept(applied);
  const auto found = claims_.find(command.key);
  if (found == claims_.end()) {
    Refuse(applied, ErrorKind::kNotFound, "no such claim");
    return;
  }
  ClaimView& view = found->second.view;
  if (view.attempt == command.attempt && view.state == ClaimState::kOpen) {
    switch (command.end) {
      case ClaimEnd::kFinished:
        view.state = ClaimState::kFinished;
        view.status = command.status;
        view.content_type = command.content_type;
        view.body = command.body;
        break;
      case ClaimEnd::kReleased:
        view.state = ClaimState::kReleased;
        break;
      case ClaimEnd::kUnknown:
        view.state = ClaimState::kUnknown;
        break;
    }
  }
  applied.result.claim = view;
}

}  // namespace banyan
