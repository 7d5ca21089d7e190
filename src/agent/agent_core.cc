#include "banyan/agent/agent_core.h"

#include <algorithm>
#include <iterator>

#include "banyan/base/random.h"

namespace banyan {
namespace {

// A longer gap between two ticks means that the process was paused. Unread
// input on its connections may then be too old to act on.
constexpr Duration kMaxTickGap = std::chrono::seconds(2);
// Number of heartbeats whose sending time is kept.
constexpr std::size_t kMaxSentHeartbeats = 64;
// Interval between AgentHello messages until the cell has registered the
// instance.
constexpr Duration kHelloInterval = std::chrono::seconds(1);
// Minimum remaining lease for a task to start.
constexpr Duration kMinLeaseToStart = std::chrono::seconds(1);

}  // namespace

AgentCore::AgentCore(AgentOptions options, Time now)
    : options_(std::move(options)),
      guard_(
          EndpointLimits{static_cast<std::size_t>(options_.info.slots),
                         static_cast<std::size_t>(options_.info.connections)}),
      tasks_(options_.info.id,
             options_.info.data_centre,
             options_.info.capacity),
      started_(now),
      last_tick_(now),
      next_heartbeat_(now),
      next_hello_(now),
      control_timeout_start_(now),
      next_poll_(now + options_.adoption_delay) {
  has_adopted_tasks_ = !IsWorker();
}

void AgentCore::DetectClockGap(Time now) {
  if (now - last_tick_ > kMaxTickGap) {
    out_.drop_connections = true;
    out_.events.push_back(
        Event(EventId::kClockGap).With("gap_ms", ToMillis(now - last_tick_)));
  }
  last_tick_ = now;
}

void AgentCore::Tick(Time now) {
  DetectClockGap(now);
  if (IsWorker() && now >= next_poll_) {
    next_poll_ = now + options_.worker_poll_interval;
    out_.worker_calls.emplace_back();
    RenewWorkerLease();
  }
  CheckLease(now);
  guard_.Tick(now);
  tasks_.Tick(now);
  if (!has_adopted_tasks_) {
    return;
  }
  if (!is_registered_ && now >= next_hello_) {
    next_hello_ = now + kHelloInterval;
    SendHello();
  }
  if (now - control_timeout_start_ > options_.control_timeout) {
    control_timeout_start_ = now;
    out_.switch_control = true;
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat_interval;
    SendHeartbeat(now);
  }
}

void AgentCore::SendHello() {
  // The cell requeues tasks that are missing from the hello, so the worker's
  // tasks must be listed first.
  if (!has_adopted_tasks_) {
    return;
  }
  out_.to_control.emplace_back(AgentHello{options_.info, tasks_.tasks()});
}

void AgentCore::SendHeartbeat(Time now) {
  Heartbeat heartbeat;
  heartbeat.seq = next_heartbeat_seq_++;
  heartbeat.config_version = config_.version;
  heartbeat.leaving = options_.info.leaving;
  heartbeat.cpu_percent = cpu_percent_;
  heartbeat.latency_us = guard_.latency().count();
  heartbeat.usage = tasks_.usage();
  sent_heartbeats_.push_back({heartbeat.seq, now});
  if (sent_heartbeats_.size() > kMaxSentHeartbeats) {
    sent_heartbeats_.pop_front();
  }
  out_.to_control.emplace_back(std::move(heartbeat));
}

void AgentCore::ControlUp(Time now) {
  next_hello_ = now;
  next_heartbeat_ = now;
  SendHello();
}

void AgentCore::Receive(Time now, const Sender& from, const Message& message) {
  std::visit(
      [&](const auto& body) {
        if constexpr (requires { On(now, from, body); }) {
          On(now, from, body);
        }
      },
      message);
}

void AgentCore::On(Time now, const Sender& /*from*/, const HeartbeatAck& ack) {
  const auto sent = std::find_if(
      sent_heartbeats_.begin(), sent_heartbeats_.end(),
      [&](const SentHeartbeat& item) { return item.seq == ack.seq; });
  if (sent == sent_heartbeats_.end()) {
    return;
  }
  control_timeout_start_ = now;
  if (!ack.registered) {
    is_registered_ = false;
    if (has_held_lease_ && IsWorker()) {
      StartNewIncarnation(now);
    }
    return;
  }
  if (sent->sent_at < acked_heartbeat_sent_at_) {
    return;
  }
  const bool had_no_lease = !HoldsLease(now);
  is_registered_ = true;
  has_held_lease_ = true;
  acked_heartbeat_sent_at_ = sent->sent_at;
  is_data_centre_out_in_ack_ = ack.data_centre_out;
  lease_deadline_ =
      std::max(lease_deadline_, sent->sent_at + Millis(ack.lease_ms));
  if (had_no_lease && HoldsLease(now)) {
    out_.events.push_back(Event(EventId::kLeaseRenewed)
                              .With("incarnation", incarnation())
                              .With("lease_ms", ack.lease_ms));
    RenewWorkerLease();
  }
}

void AgentCore::StartNewIncarnation(Time now) {
  // The cell has removed this incarnation and may place its tasks elsewhere, so
  // messages addressed to it must no longer take effect.
  out_.events.push_back(Event(EventId::kLeaseLost)
                            .With("incarnation", incarnation())
                            .With("reason", "removed by the cell"));
  tasks_.OnLeaseLost(now);
  options_.info.incarnation = NewIncarnation();
  has_held_lease_ = false;
  lease_deadline_ = Time{};
  acked_heartbeat_sent_at_ = Time{};
  sent_heartbeats_.clear();
  next_hello_ = now;
}

void AgentCore::CheckLease(Time now) {
  if (!has_held_lease_ || HoldsLease(now) || lease_deadline_ == Time{}) {
    return;
  }
  lease_deadline_ = Time{};
  out_.events.push_back(Event(EventId::kLeaseLost)
                            .With("incarnation", incarnation())
                            .With("reason", "not renewed in time"));
  tasks_.OnLeaseLost(now);
}

void AgentCore::RenewWorkerLease() {
  if (!IsWorker() || lease_deadline_ == Time{}) {
    return;
  }
  WorkerCall call;
  call.op = WorkerOp::kRenewLease;
  call.deadline = lease_deadline_;
  out_.worker_calls.push_back(std::move(call));
}

void AgentCore::On(Time /*now*/,
                   const Sender& /*from*/,
                   const ConfigUpdate& update) {
  if (update.version <= config_.version) {
    return;
  }
  config_ = update;
  guard_.set_config_version(config_.version);
  out_.events.push_back(Event(EventId::kConfigInForce)
                            .With("version", config_.version)
                            .With("preset", config_.preset_name)
                            .With("out", config_.out.size()));
}

bool AgentCore::IsOwnDataCentreOut() const {
  return std::find(config_.out.begin(), config_.out.end(),
                   options_.info.data_centre) != config_.out.end();
}

StartConditions AgentCore::StartConditionsAt(Time now) const {
  StartConditions conditions;
  conditions.own_incarnation = incarnation();
  conditions.start_by =
      std::min(acked_heartbeat_sent_at_ + options_.max_ack_age,
               lease_deadline_ - kMinLeaseToStart);
  if (options_.info.leaving) {
    conditions.refusal_reason = "leaving";
  } else if (is_data_centre_out_in_ack_ || IsOwnDataCentreOut()) {
    conditions.refusal_reason = "data centre out";
  } else if (conditions.start_by <= now) {
    conditions.refusal_reason =
        "no fresh stamp of a leader, or too little lease";
  }
  return conditions;
}

AdmissionError AgentCore::DispatchAdmissionError() const {
  if (options_.info.leaving) {
    return ErrorKind::kLeaving;
  }
  if (IsOwnDataCentreOut()) {
    return ErrorKind::kDataCentreOut;
  }
  return std::nullopt;
}

void AgentCore::On(Time now, const Sender& /*from*/, const StartTask& start) {
  if (has_adopted_tasks_ && IsWorker()) {
    tasks_.OnStart(now, start, StartConditionsAt(now));
  }
}

void AgentCore::On(Time now, const Sender& /*from*/, const StopTask& stop) {
  if (has_adopted_tasks_ && IsWorker()) {
    tasks_.OnStop(now, stop);
  }
}

void AgentCore::On(Time /*now*/,
                   const Sender& /*from*/,
                   const ThrottleTask& throttle) {
  tasks_.OnThrottle(throttle);
}

void AgentCore::On(Time now, const Sender& /*from*/, const TaskReportAck& ack) {
  tasks_.OnReportAck(now, ack);
}

void AgentCore::On(Time now, const Sender& from, const Dispatch& dispatch) {
  guard_.OnDispatch(now, from, dispatch, incarnation(),
                    DispatchAdmissionError());
}

void AgentCore::On(Time /*now*/,
                   const Sender& from,
                   const CancelDispatch& cancel) {
  guard_.OnCancel(from, cancel);
}

void AgentCore::On(Time now,
                   const Sender& from,
                   const TombstoneRequest& request) {
  guard_.OnTombstone(now, from, request, incarnation());
}

void AgentCore::OnEndpointReply(Time now, const EndpointReply& reply) {
  guard_.OnReply(now, reply);
}

void AgentCore::OnWorkerReply(Time now, const WorkerReply& reply) {
  if (reply.op == WorkerOp::kList && reply.ok) {
    cpu_percent_ = reply.cpu_percent;
    if (!has_adopted_tasks_) {
      has_adopted_tasks_ = true;
      tasks_.Adopt(reply.tasks);
      next_hello_ = now;
      return;
    }
  }
  tasks_.OnWorkerReply(now, reply);
}

void AgentCore::Leave(Time now) {
  if (options_.info.leaving) {
    return;
  }
  options_.info.leaving = true;
  is_registered_ = false;
  next_hello_ = now;
  SendHello();
}

bool AgentCore::drained() const noexcept {
  return options_.info.leaving && has_adopted_tasks_ && tasks_.idle() &&
         guard_.in_flight() == 0 && guard_.queued() == 0;
}

AgentOutputs AgentCore::TakeOutputs() {
  EndpointGuard::Outputs guard_outputs = guard_.TakeOutputs();
  TaskRunner::Outputs task_outputs = tasks_.TakeOutputs();
  std::move(guard_outputs.messages.begin(), guard_outputs.messages.end(),
            std::back_inserter(out_.messages));
  out_.endpoint_calls = std::move(guard_outputs.calls);
  std::move(task_outputs.calls.begin(), task_outputs.calls.end(),
            std::back_inserter(out_.worker_calls));
  std::move(task_outputs.reports.begin(), task_outputs.reports.end(),
            std::back_inserter(out_.to_control));
  std::move(guard_outputs.events.begin(), guard_outputs.events.end(),
            std::back_inserter(out_.events));
  std::move(task_outputs.events.begin(), task_outputs.events.end(),
            std::back_inserter(out_.events));
  return std::exchange(out_, AgentOutputs{});
}

}  // namespace banyan
