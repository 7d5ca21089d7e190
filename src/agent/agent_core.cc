#include "banyan/agent/agent_core.h"

#include <algorithm>
#include <iterator>

#include "banyan/base/random.h"

namespace banyan {
namespace {

// A gap between two ticks that means the process was stopped. Whatever waits
// unread on its connections may be too old to act on.
constexpr Span kClockGap = std::chrono::seconds(2);
// Heartbeats whose sending time is remembered.
constexpr std::size_t kMaxSentHeartbeats = 64;
// How often the announcement is repeated until the cell knows the instance.
constexpr Span kHelloInterval = std::chrono::seconds(1);
// What must be left of the lease for a task to start.
constexpr Span kLeastLeaseToStart = std::chrono::seconds(1);

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
      confirmed_at_(now),
      next_poll_(now + options_.settle) {
  is_adopted_ = !IsWorker();
}

void AgentCore::NoteClockGap(Time now) {
  if (now - last_tick_ > kClockGap) {
    out_.drop_connections = true;
    out_.events.push_back(
        Event(EventId::kClockGap).With("gap_ms", ToMillis(now - last_tick_)));
  }
  last_tick_ = now;
}

void AgentCore::Tick(Time now) {
  NoteClockGap(now);
  if (IsWorker() && now >= next_poll_) {
    next_poll_ = now + options_.poll;
    out_.worker_calls.emplace_back();
    RenewWorkerLease();
  }
  CheckLease(now);
  guard_.Tick(now);
  tasks_.Tick(now);
  if (!is_adopted_) {
    return;
  }
  if (!is_registered_ && now >= next_hello_) {
    next_hello_ = now + kHelloInterval;
    SayHello();
  }
  if (now - confirmed_at_ > options_.control_patience) {
    confirmed_at_ = now;
    out_.switch_control = true;
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat;
    SendHeartbeat(now);
  }
}

void AgentCore::SayHello() {
  // Before the worker was asked, a hello would give up what still runs there.
  if (!is_adopted_) {
    return;
  }
  out_.to_control.emplace_back(AgentHello{options_.info, tasks_.tasks()});
}

void AgentCore::SendHeartbeat(Time now) {
  Heartbeat heartbeat;
  heartbeat.seq = next_seq_++;
  heartbeat.config_version = config_.version;
  heartbeat.leaving = options_.info.leaving;
  heartbeat.cpu_percent = cpu_percent_;
  heartbeat.latency_us = guard_.latency().count();
  heartbeat.usage = tasks_.usage();
  sent_.push_back({heartbeat.seq, now});
  if (sent_.size() > kMaxSentHeartbeats) {
    sent_.pop_front();
  }
  out_.to_control.emplace_back(std::move(heartbeat));
}

void AgentCore::ControlUp(Time now) {
  next_hello_ = now;
  next_heartbeat_ = now;
  SayHello();
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
      sent_.begin(), sent_.end(),
      [&](const SentHeartbeat& item) { return item.seq == ack.seq; });
  if (sent == sent_.end()) {
    return;
  }
  confirmed_at_ = now;
  if (!ack.registered) {
    is_registered_ = false;
    if (had_lease_ && IsWorker()) {
      StartAfresh(now);
    }
    return;
  }
  if (sent->sent < stamped_at_) {
    return;
  }
  const bool had_none = !HoldsLease(now);
  is_registered_ = true;
  had_lease_ = true;
  stamped_at_ = sent->sent;
  is_stamped_out_ = ack.data_centre_out;
  lease_deadline_ =
      std::max(lease_deadline_, sent->sent + Millis(ack.lease_ms));
  if (had_none && HoldsLease(now)) {
    out_.events.push_back(Event(EventId::kLeaseRenewed)
                              .With("incarnation", incarnation())
                              .With("lease_ms", ack.lease_ms));
    RenewWorkerLease();
  }
}

void AgentCore::StartAfresh(Time now) {
  // The cell gave this incarnation up and may place its tasks elsewhere, so
  // nothing that was meant for it may take effect any more.
  out_.events.push_back(Event(EventId::kLeaseLost)
                            .With("incarnation", incarnation())
                            .With("reason", "removed by the cell"));
  tasks_.LoseLease(now);
  options_.info.incarnation = NewIncarnation();
  had_lease_ = false;
  lease_deadline_ = Time{};
  stamped_at_ = Time{};
  sent_.clear();
  next_hello_ = now;
}

void AgentCore::CheckLease(Time now) {
  if (!had_lease_ || HoldsLease(now) || lease_deadline_ == Time{}) {
    return;
  }
  lease_deadline_ = Time{};
  out_.events.push_back(Event(EventId::kLeaseLost)
                            .With("incarnation", incarnation())
                            .With("reason", "not renewed in time"));
  tasks_.LoseLease(now);
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

StartGate AgentCore::GateFor(Time now) const {
  StartGate gate;
  gate.own_incarnation = incarnation();
  gate.start_by = std::min(stamped_at_ + options_.freshness,
                           lease_deadline_ - kLeastLeaseToStart);
  if (options_.info.leaving) {
    gate.veto = "leaving";
  } else if (is_stamped_out_ || IsOwnDataCentreOut()) {
    gate.veto = "data centre out";
  } else if (gate.start_by <= now) {
    gate.veto = "no fresh stamp of a leader, or too little lease";
  }
  return gate;
}

Veto AgentCore::DispatchVeto() const {
  if (options_.info.leaving) {
    return ErrorKind::kLeaving;
  }
  if (IsOwnDataCentreOut()) {
    return ErrorKind::kDataCentreOut;
  }
  return std::nullopt;
}

void AgentCore::On(Time now, const Sender& /*from*/, const StartTask& start) {
  if (is_adopted_ && IsWorker()) {
    tasks_.OnStart(now, start, GateFor(now));
  }
}

void AgentCore::On(Time now, const Sender& /*from*/, const StopTask& stop) {
  if (is_adopted_ && IsWorker()) {
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
  guard_.OnDispatch(now, from, dispatch, incarnation(), DispatchVeto());
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

void AgentCore::OnEndpointAnswer(Time now, const EndpointAnswer& answer) {
  guard_.OnAnswer(now, answer);
}

void AgentCore::OnWorkerReply(Time now, const WorkerReply& reply) {
  if (reply.op == WorkerOp::kList && reply.ok) {
    cpu_percent_ = reply.cpu_percent;
    if (!is_adopted_) {
      is_adopted_ = true;
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
  SayHello();
}

bool AgentCore::drained() const noexcept {
  return options_.info.leaving && is_adopted_ && tasks_.idle() &&
         guard_.in_flight() == 0 && guard_.queued() == 0;
}

AgentOutputs AgentCore::TakeOutputs() {
  EndpointGuard::Outputs guarded = guard_.TakeOutputs();
  TaskRunner::Outputs run = tasks_.TakeOutputs();
  std::move(guarded.messages.begin(), guarded.messages.end(),
            std::back_inserter(out_.messages));
  out_.endpoint_calls = std::move(guarded.calls);
  std::move(run.calls.begin(), run.calls.end(),
            std::back_inserter(out_.worker_calls));
  std::move(run.reports.begin(), run.reports.end(),
            std::back_inserter(out_.to_control));
  std::move(guarded.events.begin(), guarded.events.end(),
            std::back_inserter(out_.events));
  std::move(run.events.begin(), run.events.end(),
            std::back_inserter(out_.events));
  return std::exchange(out_, AgentOutputs{});
}

}  // namespace banyan
