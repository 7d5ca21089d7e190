#ifndef BANYAN_PROCESS_CONTROL_PROCESS_H_
#define BANYAN_PROCESS_CONTROL_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

#include "banyan/base/bounded_ring.h"
#include "banyan/consensus/raft_storage.h"
#include "banyan/control/control_core.h"
#include "banyan/graph/cell_client.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/process/member_announcer.h"
#include "banyan/process/program.h"
#include "banyan/process/read_marks.h"
#include "banyan/process/turn_monitor.h"
#include "banyan/settings/settings.h"

namespace banyan {

// Exit code of a control process after a disk failure (EX_IOERR).
inline constexpr int kDiskFailureExitCode = 74;

// Largest body of an operator's call, in bytes, at replicas and relays alike.
inline constexpr std::int64_t kMaxOperatorBodyBytes = 1 << 20;

// Sends a call to the control cell and blocks until the result arrives or the
// deadline passes.
using CellCallFunction = std::function<CommandResult(CellCall, Time deadline)>;

// Handles the HTTP calls of an API on top of the control cell. Returns nullopt
// for an unknown path.
using CellApiHandler =
    std::function<std::optional<HttpReply>(const HttpCall&,
                                           const CellCallFunction&)>;

// The banyan-control daemon: a ControlCore with its disk, sockets, threads and
// timers.
class ControlProcess {
 public:
  // Calls are offered to `api`, if set, before the operator API.
  explicit ControlProcess(ControlSettings settings,
                          CellApiHandler api = nullptr);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  // Restores the state from the data folder and starts serving. On failure
  // returns false and sets `reason`.
  [[nodiscard]] bool Start(Reason& reason);

  // Replaces the seeds.
  void SetSeeds(std::vector<std::string> seeds);

  // Transfers leadership to another replica, then stops. Returns whether the
  // transfer finished and all calls were answered before the drain deadline.
  bool Stop();

 private:
  // All batches up to `seq` are on disk.
  struct Persisted {
    std::uint64_t seq = 0;
  };
  // The snapshot is on disk and the log is compacted up to it.
  struct Compacted {
    Snapshot snapshot;
  };
  struct ApiCommand {
    std::uint64_t ticket = 0;
    LoggedCommand command;
  };
  struct ApiQuery {
    std::uint64_t ticket = 0;
    std::string path;
  };
  struct CellInput {
    std::uint64_t ticket = 0;
    CellCall call;
    Time deadline;
  };
  // Requests a graceful shutdown.
  struct LeaveInput {};
  // Replaces the seeds.
  struct SeedsInput {
    std::vector<std::string> seeds;
  };
  using Input = std::variant<PeerEvent,
                             CellInput,
                             Persisted,
                             Compacted,
                             ApiCommand,
                             ApiQuery,
                             LeaveInput,
                             SeedsInput,
                             ReadMark>;

  // Names the kind of an input in the log.
  [[nodiscard]] static std::string_view KindOf(const Input& input);
  // Opens the data folder. A damaged log is set aside, and the replica starts
  // without one.
  [[nodiscard]] std::optional<RestoredLog> OpenStorage(Reason& reason);
  HttpReply Serve(const HttpCall& call);
  HttpReply Await(std::uint64_t ticket,
                  std::future<HttpReply> reply,
                  Input input);
  CommandResult CallCell(CellCall call, Time deadline);
  void RunCore();
  void RunDisk();
  void RunSnapshots();
  // Runs a write and retries it while the disk is full. Returns false if the
  // process stops first. Any other disk error ends the process with
  // kDiskFailureExitCode.
  [[nodiscard]] bool WriteToDisk(
      std::string_view write_kind,
      const std::function<bool(Reason& reason)>& write);
  [[nodiscard]] std::set<std::string> DialledAddresses() const;
  // Opens and closes connections, and tells the seeds who the members are.
  void MaintainConnections(Time now);
  void HandlePeerEvent(Time now, const PeerEvent& event);
  void HandleInput(Time now, Input input);
  void AnswerApiQuery(Time now, const ApiQuery& query);
  void ApplyOutputs(ControlOutputs outputs);
  // Ends a turn of the core thread and reports how long it took.
  void EndTurn();
  void Push(Input input);

  ControlSettings settings_;
  CellApiHandler api_;
  std::unique_ptr<RaftStorage> storage_;
  std::unique_ptr<ControlCore> core_;
  BoundedRing<Input> inputs_;
  BoundedRing<PersistBatch> persist_ring_;
  BoundedRing<SnapshotRequest> compaction_ring_;
  PendingHttpReplies pending_;
  PendingResponses<CommandResult> pending_cell_calls_;
  Metrics metrics_;
  std::unique_ptr<PeerNetwork> network_;
  HttpServer server_;
  std::set<std::string> dialled_addresses_;
  std::thread core_thread_;
  std::thread disk_thread_;
  std::thread snapshot_thread_;
  std::atomic<bool> is_leaving_{false};
  // Whether a stop has to wait: until the core thread has handled it, and while
  // this replica leads a cell that has other voters or is about to be voted
  // out.
  std::atomic<bool> must_stay_{true};
  // Used by the core thread only.
  bool is_leave_handled_ = false;
  // The addresses that the network was last told to keep connections to.
  std::set<std::string> maintained_addresses_;
  MemberAnnouncer announcer_;
  TurnMonitor turn_{"control-core"};
  ReadMarks read_marks_;
  std::atomic<bool> must_end_{false};
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_CONTROL_PROCESS_H_
