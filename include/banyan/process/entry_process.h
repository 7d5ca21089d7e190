#ifndef BANYAN_PROCESS_ENTRY_PROCESS_H_
#define BANYAN_PROCESS_ENTRY_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <variant>

#include "banyan/base/bounded_ring.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/process/control_link.h"
#include "banyan/process/program.h"
#include "banyan/routing/router_core.h"
#include "banyan/settings/settings.h"

namespace banyan {

// The banyan-entry daemon: a RouterCore with its sockets, threads and timers.
class EntryProcess {
 public:
  explicit EntryProcess(EntrySettings settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Starts serving. On failure returns false and sets `reason`.
  [[nodiscard]] bool Start(Reason& reason);

  // Shuts down gracefully: fails the health check, then waits for requests in
  // flight until the drain deadline. Returns whether all of them finished.
  bool Stop();

 private:
  // A command received through the caller API.
  struct CommandInput {
    std::uint64_t ticket = 0;
    LoggedCommand command;
  };
  // Requests a graceful shutdown; new requests are refused from then on.
  struct LeaveInput {};
  using Input =
      std::variant<PeerEvent, CallerRequest, CommandInput, LeaveInput>;

  HttpReply Serve(const HttpCall& call);
  HttpReply ServeRequest(const HttpCall& call);
  HttpReply ServeSubmit(const HttpCall& call);
  HttpReply Await(std::uint64_t ticket,
                  std::future<HttpReply> reply,
                  Input input,
                  Time deadline);
  // Returns whether a call may be repeated safely: by its method, by the
  // caller's header or by the settings of the service.
  [[nodiscard]] bool IsIdempotent(const HttpCall& call,
                                  const std::string& service,
                                  const std::string& path) const;

  void RunCore();
  void HandleInput(Time now, Input input);
  void HandleInput(Time now, const PeerEvent& event);
  void ApplyOutputs(RouterOutputs outputs);

  EntrySettings settings_;
  RouterCore core_;
  ControlLink control_;
  BoundedRing<Input> inputs_;
  PendingHttpReplies pending_;
  Metrics metrics_;
  PeerNetwork network_;
  HttpServer server_;
  std::thread core_thread_;
  std::atomic<bool> is_leaving_{false};
  std::atomic<bool> is_drained_{false};
  std::atomic<bool> must_end_{false};
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_ENTRY_PROCESS_H_
