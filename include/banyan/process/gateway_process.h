#ifndef BANYAN_PROCESS_GATEWAY_PROCESS_H_
#define BANYAN_PROCESS_GATEWAY_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

#include "banyan/base/bounded_ring.h"
#include "banyan/graph/cell_client.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/process/control_process.h"
#include "banyan/process/pending.h"
#include "banyan/settings/settings.h"

namespace banyan {

// Serves callers of job graphs; gets the plan in force, or null before the
// first one.
using QueueApiHandler = std::function<
    HttpReply(const HttpCall&, const CellCallFunction&, const ServicePlan*)>;

// Answers a call on a place where the plan in force here has no queue. That
// plan may be behind; only the cell knows that there is none.
[[nodiscard]] HttpReply ReplyForUnknownQueue(const CellCallFunction& cell,
                                             const ServicePlan& plan,
                                             Time now);

// The APIs that a gateway serves; each may be missing.
struct GatewayApis {
  QueueApiHandler queues;
  CellApiHandler operators;
};

// A process without state of its own in front of the control cell: an entry
// for callers of job graphs, or an operators' door on an instance without a
// disk.
class GatewayProcess {
 public:
  GatewayProcess(CellSettings settings, GatewayApis apis);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  [[nodiscard]] bool Start(Reason& reason);

  // Leaves the balancer's rotation, answers what was asked, then stops.
  // Returns whether every call was answered before the drain deadline.
  bool Stop();

  // Takes new seeds from a settings file that changed.
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
  using Input = std::variant<PeerEvent, CallInput, SeedsInput>;

  HttpReply ServeQueues(const HttpCall& call);
  HttpReply ServeOperators(const HttpCall& call);
  HttpReply ServeReady(const HttpCall& call);
  [[nodiscard]] CellCallFunction MakeCellCallFunction();
  CommandResult CallCell(CellCall call, Time deadline);
  [[nodiscard]] std::shared_ptr<const ServicePlan> plan() const;
  void RunCore();
  void HandleInput(Time now, Input input);
  void ApplyOutputs(CellClientOutputs outputs);

  CellSettings settings_;
  GatewayApis apis_;
  CellClient client_;
  BoundedRing<Input> inputs_;
  PendingResponses<CommandResult> pending_;
  Metrics metrics_;
  PeerNetwork network_;
  HttpServer front_;
  HttpServer ready_;
  HttpServer control_;
  HttpServer metrics_server_;
  mutable std::mutex plan_mutex_;
  std::shared_ptr<const ServicePlan> plan_;
  std::thread core_thread_;
  std::atomic<bool> is_fresh_{false};
  std::atomic<bool> is_leaving_{false};
  std::atomic<bool> must_end_{false};
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_GATEWAY_PROCESS_H_
