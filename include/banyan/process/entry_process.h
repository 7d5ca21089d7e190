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

// banyan-entry: the router core with its sockets, threads and timers.
class EntryProcess {
 public:
  explicit EntryProcess(EntrySettings settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Starts serving; without success the reason tells why.
  [[nodiscard]] bool Start(Reason& reason);

  // Stops gracefully: the health check turns red, then what is in flight is
  // finished, at most until the drain deadline. Returns whether all of it was.
  bool Stop();

 private:
  // A command that came through the caller API.
  struct CommandInput {
    std::uint64_t ticket = 0;
    LoggedCommand command;
  };
  // The order to refuse new requests.
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
