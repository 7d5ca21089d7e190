#ifndef BANYAN_PROCESS_GATEWAY_PROCESS_H_
#define BANYAN_PROCESS_GATEWAY_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <variant>

#include "banyan/base/bounded_ring.h"
#include "banyan/graph/cell_client.h"
#include "banyan/graph/cell_directory.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/process/control_process.h"
#include "banyan/process/pending.h"
#include "banyan/process/read_marks.h"
#include "banyan/settings/settings.h"

namespace banyan {

// Handles the HTTP calls of callers that submit job graphs. The plan is the one
// in force, or null if none has been received yet.
using QueueApiHandler = std::function<
    HttpReply(const HttpCall&, const CellCallFunction&, const ServicePlan*)>;

// Returns the reply to a call whose path matches no queue of `plan`. Asks the
// cell for the current plan version, because the local plan may be out of date:
// kNotFound if the plan is current, kStale if it is not or the cell does not
// answer.
[[nodiscard]] HttpReply ReplyForUnknownQueue(const CellCallFunction& call_cell,
                                             const ServicePlan& plan,
                                             Time now);

// The APIs that a gateway serves. Each may be null.
struct GatewayApis {
  QueueApiHandler queues;
  CellApiHandler operators;
  // Whether a call of an operator carries a document, in either direction. Its
  // caller is sent to the replica, since the gateway's link may be too thin to
  // pass a document on in time.
  std::function<bool(const HttpCall&)> carries_document;
};

// A stateless front end of the control cell. Serves callers of job graphs or,
// on an instance without a disk, the operator API. One that serves operators
// may be a seed of other processes, and tells them where the replicas are.
class GatewayProcess {
 public:
  GatewayProcess(CellSettings settings, GatewayApis apis);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Starts serving. On failure returns false and sets `reason`.
  [[nodiscard]] bool Start(Reason& reason);

  // Shuts down gracefully: fails the readiness check so that the load balancer
  // stops sending calls, answers the calls in flight, then stops. A call that
  // the cell has not answered by then is answered with what is known of it.
  // Returns whether all calls were answered before the drain deadline.
  bool Stop();

  // Takes over the seeds of reloaded settings; other settings are ignored.
  void Reload(const CellSettings& settings);

 private:
  struct CallInput {
    std::uint64_t ticket = 0;
    CellCall call;
    Time deadline;
  };
  struct SeedsInput {
    std::vector<std::string> seeds;
  };
  // From a process that looks for the cell.
  struct DirectoryInput {
    PeerEvent event;
  };
  // Requests that every call is answered by the deadline.
  struct EndInput {
    Time deadline;
  };
  using Input = std::variant<PeerEvent,
                             CallInput,
                             SeedsInput,
                             DirectoryInput,
                             EndInput,
                             ReadMark>;

  HttpReply ServeQueues(const HttpCall& call);
  HttpReply ServeOperators(const HttpCall& call);
  HttpReply ServeReady(const HttpCall& call);
  [[nodiscard]] CellCallFunction MakeCellCallFunction();
  CommandResult CallCell(CellCall call, Time deadline);
  [[nodiscard]] std::shared_ptr<const ServicePlan> plan() const;
  // Returns a redirection to the connected replica, or a refusal unless it has
  // recently confirmed that its leader is live.
  [[nodiscard]] HttpReply RedirectToReplica(const HttpCall& call) const;
  // Stops all servers at the same time. Returns whether every call that was
  // handled got its answer.
  bool StopServers(Time deadline);
  void RunCore();
  // Tells the threads of the servers which replica the core has selected.
  void ShareReplica(bool is_fresh);
  void HandleInput(Time now, Input input);
  void HandleDirectoryEvent(Time now, const PeerEvent& event);
  // Tells the processes that look for the cell, and the seeds, which replicas
  // are known.
  void ServeDirectory();
  // Starts to listen for them. Returns false if the address can't be bound.
  [[nodiscard]] bool StartDirectory(Reason& reason);
  void ApplyOutputs(CellClientOutputs outputs);

  CellSettings settings_;
  GatewayApis apis_;
  CellClient client_;
  // Used by the core thread only.
  ReadMarks read_marks_;
  BoundedRing<Input> inputs_;
  PendingResponses<CommandResult> pending_;
  Metrics metrics_;
  PeerNetwork network_;
  CellDirectory directory_;
  // Connections of the processes that look for the cell; null if this process
  // is nobody's seed.
  std::unique_ptr<PeerNetwork> directory_network_;
  // The other seeds, which may be asked for the cell as well. Used by the core
  // thread once it runs.
  std::set<std::string> other_seeds_;
  HttpServer front_;
  HttpServer ready_;
  HttpServer control_;
  HttpServer metrics_server_;
  // Guards what the core thread tells the threads of the servers.
  mutable std::mutex shared_mutex_;
  std::shared_ptr<const ServicePlan> plan_;
  // CellClient::confirmed_replica(); an id is an address for other processes.
  std::string replica_;
  std::thread core_thread_;
  std::atomic<bool> is_fresh_{false};
  std::atomic<bool> is_leaving_{false};
  std::atomic<bool> must_end_{false};
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_GATEWAY_PROCESS_H_
