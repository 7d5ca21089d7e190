#ifndef BANYAN_PROCESS_WORKER_AGENT_PROCESS_H_
#define BANYAN_PROCESS_WORKER_AGENT_PROCESS_H_

#include <atomic>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "banyan/base/bounded_ring.h"
#include "banyan/graph/cell_link.h"
#include "banyan/graph/run_call.h"
#include "banyan/graph/worker_agent.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/settings/settings.h"

namespace banyan {

// What a worker says to its agent: a report of itself, or that it leaves.
struct WorkerMessage {
  std::optional<WorkerReport> report;
  std::string leaving;
};

// Reads what a worker says; without a value the reply tells what was wrong.
using WorkerMessageParser =
    std::function<std::optional<WorkerMessage>(const HttpCall&, HttpReply&)>;

// Makes calls to one worker over one connection of its own. Used by one thread.
class RunCallClient {
 public:
  RunCallClient() = default;
  virtual ~RunCallClient() = default;
  RunCallClient(const RunCallClient&) = delete;
  RunCallClient& operator=(const RunCallClient&) = delete;

  // Makes the call; without an answer by the deadline it may have been, or may
  // yet be, carried out.
  virtual RunCallReply Call(const RunCall& call) = 0;
};

// How an agent process speaks with its worker.
struct WorkerProtocol {
  WorkerMessageParser parse_message;
  std::function<std::unique_ptr<RunCallClient>(const std::string& address)>
      make_client;
};

// The agent beside a worker with its sockets, threads and timers.
class WorkerAgentProcess {
 public:
  WorkerAgentProcess(CellSettings settings, WorkerProtocol protocol);
  ~WorkerAgentProcess();
  WorkerAgentProcess(const WorkerAgentProcess&) = delete;
  WorkerAgentProcess& operator=(const WorkerAgentProcess&) = delete;

  [[nodiscard]] bool Start(Reason& reason);

  // Ends calls that are under way; what runs goes on under its lease and is
  // taken over by the next agent.
  bool Stop();

  // Takes new seeds from a settings file that changed.
  void Reload(const CellSettings& settings);

 private:
  struct SeedsInput {
    std::vector<std::string> seeds;
  };
  using Input =
      std::variant<PeerEvent, RunCallReply, WorkerMessage, SeedsInput>;

  HttpReply Serve(const HttpCall& call);
  void RunCore();
  void RunCalls(BoundedRing<RunCall>& ring);
  void HandleInput(Time now, Input input);
  void ApplyOutputs(Time now, WorkerAgentOutputs outputs);
  void Push(Input input);

  CellSettings settings_;
  WorkerProtocol protocol_;
  WorkerAgent agent_;
  CellLink link_;
  BoundedRing<Input> inputs_;
  // Lists wait at the worker, so they have a thread of their own.
  BoundedRing<RunCall> list_calls_;
  BoundedRing<RunCall> order_calls_;
  Metrics metrics_;
  PeerNetwork network_;
  HttpServer server_;
  HttpServer metrics_server_;
  std::thread core_thread_;
  std::vector<std::thread> call_threads_;
  std::atomic<bool> must_end_{false};
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_WORKER_AGENT_PROCESS_H_
