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
#include "banyan/process/read_marks.h"
#include "banyan/settings/settings.h"

namespace banyan {

// A message from a worker to its agent: a status report or, if there is none,
// the announcement that the worker is leaving.
struct WorkerMessage {
  std::optional<WorkerReport> report;
  std::string leaving;
};

// Parses a worker's message. On failure returns nullopt and sets the error
// reply.
using WorkerMessageParser =
    std::function<std::optional<WorkerMessage>(const HttpCall&, HttpReply&)>;

// Calls one worker over a dedicated connection. Not thread-safe.
class RunCallClient {
 public:
  RunCallClient() = default;
  virtual ~RunCallClient() = default;
  RunCallClient(const RunCallClient&) = delete;
  RunCallClient& operator=(const RunCallClient&) = delete;

  // Makes the call and waits for the reply. After a time-out the outcome is
  // unknown: the worker may have executed the call or may still do so.
  virtual RunCallReply Call(const RunCall& call) = 0;
};

// The protocol between an agent process and its worker.
struct WorkerProtocol {
  WorkerMessageParser parse_message;
  std::function<std::unique_ptr<RunCallClient>(const std::string& address)>
      make_client;
};

// The daemon of a worker's agent: a WorkerAgent with its sockets, threads and
// timers.
class WorkerAgentProcess {
 public:
  WorkerAgentProcess(CellSettings settings, WorkerProtocol protocol);
  ~WorkerAgentProcess();
  WorkerAgentProcess(const WorkerAgentProcess&) = delete;
  WorkerAgentProcess& operator=(const WorkerAgentProcess&) = delete;

  // Starts serving. On failure returns false and sets `reason`.
  [[nodiscard]] bool Start(Reason& reason);

  // Waits for calls in flight, then stops. Runs on the worker continue under
  // their lease; the next agent adopts them.
  bool Stop();

  // Adds the seed addresses of reloaded settings; other settings are ignored.
  void Reload(const CellSettings& settings);

 private:
  struct SeedsInput {
    std::vector<std::string> seeds;
  };
  using Input = std::
      variant<PeerEvent, RunCallReply, WorkerMessage, SeedsInput, ReadMark>;

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
  // Used by the core thread only.
  ReadMarks read_marks_;
  BoundedRing<Input> inputs_;
  // List calls block at the worker, so a dedicated thread makes them.
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
