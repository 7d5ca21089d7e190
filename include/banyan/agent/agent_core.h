#ifndef BANYAN_AGENT_AGENT_CORE_H_
#define BANYAN_AGENT_AGENT_CORE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyan/agent/endpoint_guard.h"
#include "banyan/agent/task_runner.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// Settings of one agent that its core needs.
struct AgentOptions {
  InstanceInfo info;
  Span heartbeat_interval = Millis(500);
  // A task starts only with a leader's stamp younger than this.
  Span max_ack_age = std::chrono::seconds(2);
  // How often the worker is asked for its tasks.
  Span worker_poll_interval = Millis(200);
  // How long the control replica may leave heartbeats unconfirmed before the
  // agent tries another one.
  Span control_timeout = std::chrono::seconds(3);
  // How long a new agent waits before it first asks its worker, so that calls
  // of the agent before it have come to an end.
  Span adoption_delay = Millis(300);
};

// What one or more steps of the agent core want done.
struct AgentOutputs {
  std::vector<Outbound> messages;
  // Messages for the control replica that the agent is attached to.
  std::vector<Message> to_control;
  std::vector<EndpointCall> endpoint_calls;
  std::vector<WorkerCall> worker_calls;
  // Whether every connection must be dropped, with what was not read yet.
  bool drop_connections = false;
  // Whether another control replica should be tried.
  bool switch_control = false;
  Events events;
};

// One agent without its I/O: it announces its instance, holds its lease,
// guards the endpoint and runs the worker's tasks.
class AgentCore {
 public:
  AgentCore(AgentOptions options, Time now);

  void Tick(Time now);
  void Receive(Time now, const Sender& from, const Message& message);
  // Notes that a connection to a control replica is ready.
  void ControlUp(Time now);
  void OnEndpointReply(Time now, const EndpointReply& reply);
  void OnWorkerReply(Time now, const WorkerReply& reply);
  // Begins a planned stop.
  void Leave(Time now);

  [[nodiscard]] AgentOutputs TakeOutputs();

  // The incarnation that every message of this agent carries.
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return options_.info.incarnation;
  }
  // Whether a planned stop has finished everything.
  [[nodiscard]] bool drained() const noexcept;
  [[nodiscard]] bool HoldsLease(Time now) const noexcept {
    return lease_deadline_ > now;
  }
  [[nodiscard]] const TaskRunner& tasks() const noexcept { return tasks_; }
  [[nodiscard]] const EndpointGuard& guard() const noexcept { return guard_; }
  [[nodiscard]] std::uint64_t config_version() const noexcept {
    return config_.version;
  }

 private:
  // When a heartbeat was sent.
  struct SentHeartbeat {
    std::uint64_t seq = 0;
    Time sent_at;
  };

  void On(Time now, const Sender& from, const HeartbeatAck& ack);
  void On(Time now, const Sender& from, const ConfigUpdate& update);
  void On(Time now, const Sender& from, const StartTask& start);
  void On(Time now, const Sender& from, const StopTask& stop);
  void On(Time now, const Sender& from, const ThrottleTask& throttle);
  void On(Time now, const Sender& from, const TaskReportAck& ack);
  void On(Time now, const Sender& from, const Dispatch& dispatch);
  void On(Time now, const Sender& from, const CancelDispatch& cancel);
  void On(Time now, const Sender& from, const TombstoneRequest& request);

  void DetectClockGap(Time now);
  void SendHello();
  void SendHeartbeat(Time now);
  void StartNewIncarnation(Time now);
  void CheckLease(Time now);
  void RenewWorkerLease();
  [[nodiscard]] bool IsWorker() const noexcept {
    return options_.info.role == InstanceRole::kWorker;
  }
  [[nodiscard]] bool IsOwnDataCentreOut() const;
  [[nodiscard]] StartConditions StartConditionsAt(Time now) const;
  [[nodiscard]] AdmissionError DispatchAdmissionError() const;

  AgentOptions options_;
  EndpointGuard guard_;
  TaskRunner tasks_;
  ConfigUpdate config_;
  Time started_;
  Time last_tick_;
  Time next_heartbeat_;
  Time next_hello_;
  // When a heartbeat was confirmed last, or a replica was given a new chance.
  Time control_timeout_start_;
  Time next_poll_;
  bool has_adopted_tasks_ = false;
  bool is_registered_ = false;
  bool has_held_lease_ = false;
  Time lease_deadline_;
  // When the heartbeat was sent that the latest stamp answers.
  Time acked_heartbeat_sent_at_;
  bool is_data_centre_out_in_ack_ = false;
  std::uint64_t next_heartbeat_seq_ = 1;
  std::deque<SentHeartbeat> sent_heartbeats_;
  std::int64_t cpu_percent_ = 0;
  AgentOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_AGENT_AGENT_CORE_H_
