#ifndef BANYAN_PROCESS_AGENT_PROCESS_H_
#define BANYAN_PROCESS_AGENT_PROCESS_H_

#include <atomic>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "banyan/agent/agent_core.h"
#include "banyan/base/bounded_ring.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/process/control_link.h"
#include "banyan/process/program.h"
#include "banyan/settings/settings.h"

namespace banyan {

// The banyan-agent daemon: an AgentCore with its sockets, threads and timers.
class AgentProcess {
 public:
  explicit AgentProcess(AgentSettings settings);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  // Opens the sockets and starts the threads. On failure returns false and sets
  // `reason`.
  [[nodiscard]] bool Start(Reason& reason);

  // Shuts down gracefully: announces that the instance is leaving, waits for
  // running work until the drain deadline, then deregisters the instance.
  // Returns whether all work finished in time.
  bool Stop();

 private:
  struct LeaveInput {};
  using Input = std::variant<PeerEvent, EndpointReply, WorkerReply, LeaveInput>;

  HttpReply Serve(const HttpCall& call);
  void RunCore();
  void RunEndpointCalls();
  void RunWorkerCalls();
  void HandleInput(Time now, Input input);
  void HandleInput(Time now, const PeerEvent& event);
  void ApplyOutputs(AgentOutputs outputs);
  void Push(Input input);
  void SendDeregistration();

  AgentSettings settings_;
  AgentCore core_;
  ControlLink control_;
  BoundedRing<Input> inputs_;
  BoundedRing<EndpointCall> endpoint_calls_;
  BoundedRing<WorkerCall> worker_calls_;
  Metrics metrics_;
  PeerNetwork network_;
  HttpServer server_;
  // Ids of the peers with an open connection.
  std::set<std::string> connected_peers_;
  // Ids of the peers whose messages are discarded until they reconnect.
  std::set<std::string> stale_peers_;
  std::thread core_thread_;
  std::vector<std::thread> call_threads_;
  std::atomic<bool> is_leaving_{false};
  std::atomic<bool> is_drained_{false};
  std::atomic<bool> must_end_{false};
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_AGENT_PROCESS_H_
