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

// Settings of AgentCore.
struct AgentOptions {
  // The instance that the agent registers, with its current incarnation.
  InstanceInfo info;
  Duration heartbeat_interval = Millis(500);
  // A task may start only if the latest leader acknowledgement answers a
  // heartbeat that was sent less than this long ago.
  Duration max_ack_age = std::chrono::seconds(2);
  // How often the worker is polled for its task list.
  Duration worker_poll_interval = Millis(200);
  // Time without a heartbeat acknowledgement after which the agent switches to
  // another control replica.
  Duration control_timeout = std::chrono::seconds(3);
  // Delay before a new agent first lists its worker's tasks, so that calls made
  // by the previous agent process have completed.
  Duration adoption_delay = Millis(300);
};

// Actions requested by AgentCore since the last call of TakeOutputs().
struct AgentOutputs {
  // Messages for the entries, each with its recipient.
  std::vector<Outbound> messages;
  // Messages for the control replica that the agent is connected to.
  std::vector<Message> to_control;
  std::vector<EndpointCall> endpoint_calls;
  std::vector<WorkerCall> worker_calls;
  // Whether to close all connections and discard their unread input.
  bool drop_connections = false;
  // Whether to connect to another control replica.
  bool switch_control = false;
  Events events;
};

// The decision logic of one agent, without I/O. Registers the instance, renews
// its lease, admits requests to the endpoint and runs tasks on the worker.
class AgentCore {
 public:
  AgentCore(AgentOptions options, Time now);

  // Advances all timers. Must be called before input that has waited unread is
  // passed in, because it detects pauses of the process.
  void Tick(Time now);
  // Handles a message; message types that an agent does not handle are ignored.
  void Receive(Time now, const Sender& from, const Message& message);
  // Handles a new connection to a control replica: sends the hello at once and
  // a heartbeat with the next tick.
  void ControlUp(Time now);
  void OnEndpointReply(Time now, const EndpointReply& reply);
  void OnWorkerReply(Time now, const WorkerReply& reply);
  // Starts draining: no new request or task is admitted.
  void Leave(Time now);

  // Returns the pending actions and clears them.
  [[nodiscard]] AgentOutputs TakeOutputs();

  // The incarnation that every message of this agent carries. A worker's agent
  // takes a new one after the cell has removed the instance.
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return options_.info.incarnation;
  }
  // Whether draining has completed: no task, running request or queued request
  // is left.
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
  // Sending time of a heartbeat, used to date its acknowledgement.
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

  // Requests that connections be dropped if the process was paused.
  void DetectClockGap(Time now);
  void SendHello();
  void SendHeartbeat(Time now);
  // Stops all tasks and takes a new incarnation after removal by the cell.
  void StartNewIncarnation(Time now);
  // Stops all tasks if the lease has expired.
  void CheckLease(Time now);
  // Passes the current lease deadline on to the worker.
  void RenewWorkerLease();
  [[nodiscard]] bool IsWorker() const noexcept {
    return options_.info.role == InstanceRole::kWorker;
  }
  // Whether the configuration lists this data centre as out of service.
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
  // Time of the last heartbeat acknowledgement or of the last switch to another
  // control replica, whichever is later.
  Time control_timeout_start_;
  Time next_poll_;
  // Whether the worker's tasks have been listed; always true for an endpoint.
  bool has_adopted_tasks_ = false;
  bool is_registered_ = false;
  // Whether this incarnation has ever held a lease.
  bool has_held_lease_ = false;
  // Default-constructed before the first lease and after a lease was lost.
  Time lease_deadline_;
  // Sending time of the latest heartbeat that a leader has acknowledged.
  Time acked_heartbeat_sent_at_;
  // Whether that acknowledgement reported this data centre as out of service.
  bool is_data_centre_out_in_ack_ = false;
  std::uint64_t next_heartbeat_seq_ = 1;
  std::deque<SentHeartbeat> sent_heartbeats_;
  std::int64_t cpu_percent_ = 0;
  AgentOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_AGENT_AGENT_CORE_H_
