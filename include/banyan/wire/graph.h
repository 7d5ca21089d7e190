#ifndef BANYAN_WIRE_GRAPH_H_
#define BANYAN_WIRE_GRAPH_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"

namespace banyan {

// 100 percent: the CPU share of a task that is not throttled, and the progress
// of a task that is done.
inline constexpr std::int64_t kFullPercent = 100;

// One step of a job graph: identical tasks that become ready together.
struct StepSpec {
  std::int64_t count = 0;
  Resources needs;
  // Run time of a task in milliseconds as declared by the caller; unreliable.
  std::int64_t estimate_ms = 0;
  // Indexes of the earlier steps that must be done first.
  std::vector<std::int64_t> depends_on;
  bool checkpointing = false;
  // Gang scheduling: all tasks start together and share a run number.
  bool gang = false;
  // The tasks run slower when they are spread over several racks.
  bool rack_local = false;
  // Duplicate runs of a task may execute concurrently.
  bool speculative = false;
  // The tasks run until the job is cancelled; a task that ends is restarted.
  bool long_running = false;
  // The tasks are best-effort: they run on CPU that other tasks leave unused.
  bool best_effort = false;
  // Label that the worker must have; empty for any worker.
  std::string required_label;
  // Rack that holds the data; empty for none.
  std::string data_rack;
  // Program that the tasks run; tasks of one image behave alike.
  std::string image;
  // Maximum tasks of one occurrence on one worker; 0 for no limit.
  std::int64_t per_worker_limit = 0;
  // Tail latency target of a latency-sensitive task, in milliseconds; 0 for
  // none.
  std::int64_t latency_target_ms = 0;
  // Maximum number of tasks that voluntary disruptions may make unavailable at
  // the same time; empty for no limit.
  std::optional<std::int64_t> max_unavailable;
};

// A job of several steps, as its caller submitted it.
struct GraphSpec {
  // Name of the queue that the job was submitted to.
  std::string queue;
  // Input of the tasks; opaque to the system.
  std::string payload;
  std::vector<StepSpec> steps;
  // Occurrences of a scheduled job; 0 for a job that runs once, immediately.
  std::int64_t occurrences = 0;
  WallMillis first_due_at = 0;
  std::int64_t interval_ms = 0;
};

// Identifies one task of a job graph.
struct TaskRef {
  std::string graph;
  std::int64_t occurrence = 0;
  std::int64_t step = 0;
  std::int64_t index = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// Identifies one run of a task. Run numbers increase with each placement, so a
// run number is also the task's fencing token.
struct RunRef {
  TaskRef task;
  std::int64_t run = 0;

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// One incarnation of a worker. A restart changes the start time, not the id.
struct WorkerIncarnation {
  std::string id;
  // Start of the incarnation in milliseconds since the epoch, as reported.
  std::int64_t started_at_ms = 0;

  friend auto operator<=>(const WorkerIncarnation&,
                          const WorkerIncarnation&) = default;
};

// A worker's description of itself.
struct WorkerInfo {
  WorkerIncarnation life;
  // Name of the pool that the worker belongs to.
  std::string service;
  std::string data_centre;
  std::string rack;
  // Kind and rack labels that steps can require.
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // Minimum time before a draining worker shuts down, in milliseconds.
  std::int64_t remaining_ms = 0;

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

// Why a run ended.
enum class RunEndReason : std::uint8_t {
  // The task completed.
  kDone,
  // The task or its worker reported a failure.
  kFailed,
  // Stopped by command of the leader.
  kStopped,
  // The worker's lease expired.
  kLeaseExpired,
  // Another member of the gang ended first.
  kGangMemberEnded,
  // The other members of the gang did not start.
  kGangIncomplete,
  // The worker refused the start, so the run never began.
  kRefused,
  // The worker's incarnation ended.
  kWorkerLost,
};

// Returns the name of an end reason as written to the event log.
[[nodiscard]] constexpr const char* ToString(RunEndReason reason) noexcept {
  switch (reason) {
    case RunEndReason::kDone:
      return "done";
    case RunEndReason::kFailed:
      return "failed";
    case RunEndReason::kStopped:
      return "stopped";
    case RunEndReason::kLeaseExpired:
      return "lapsed";
    case RunEndReason::kGangMemberEnded:
      return "broken";
    case RunEndReason::kGangIncomplete:
      return "alone";
    case RunEndReason::kRefused:
      return "refused";
    case RunEndReason::kWorkerLost:
      return "lost";
  }
  return "unknown";
}

// One entry in a worker's list of active runs.
struct RunStatus {
  RunRef run;
  std::string checkpoint;
  // Progress, or availability of a long-running task; 0 to 100.
  std::int64_t percent = 0;
  // Over the last half second: tail latency in milliseconds of a
  // latency-sensitive task, CPU usage in millicores of any other task.
  std::int64_t measurement = 0;
};

// One entry in a worker's list of ended runs.
struct EndedRun {
  // Position in the list of this incarnation, from 1; 0 for a refused start and
  // for an end that an incarnation lists which has yet to be admitted.
  std::int64_t number = 0;
  RunRef run;
  RunEndReason reason = RunEndReason::kWorkerLost;
  std::string checkpoint;
};

// How a run is connected to a crash of its worker.
enum class CrashEvidence : std::uint8_t {
  // The worker crashed as it started this run alone; others were at work.
  kAlone,
  // The worker crashed as it started the run among others.
  kAtStart,
  // Another cause is about as likely: the moment of the crash is not known,
  // other
  // workers crashed at the same time, or the run was alone there but neither
  // just
  // started nor at work.
  kUnclear,
  // The run was on the worker and had started before.
  kAtWork,
};

// Returns the name of a connection as written to the event log.
[[nodiscard]] constexpr const char* ToString(CrashEvidence evidence) noexcept {
  switch (evidence) {
    case CrashEvidence::kAlone:
      return "alone";
    case CrashEvidence::kAtStart:
      return "at-start";
    case CrashEvidence::kUnclear:
      return "unclear";
    case CrashEvidence::kAtWork:
      return "at-work";
  }
  return "unknown";
}

// A run that was on a worker when the worker crashed.
struct RunCrash {
  RunRef run;
  CrashEvidence evidence = CrashEvidence::kAtWork;
};

// A queue of jobs, defined by a route of the operator's plan.
struct QueueSpec {
  std::string name;
  std::string host;
  std::string path_prefix;
  // Name of the pool whose workers run the queue's tasks.
  std::string service;
  // Maximum duration of a call on the queue, in milliseconds.
  std::int64_t timeout_ms = 0;
  // Constant part of a job's latency objective, in milliseconds.
  std::int64_t slo_ms = 0;
  // Factor on a job's critical path in its latency objective.
  double stretch = 1;
  // 0 is the highest priority, which may preempt others.
  std::int64_t priority = 0;
  // Failed runs of a task after which the job fails.
  std::int64_t max_attempts = 1;
};

// A pool of workers, defined by the operator's plan.
struct PoolSpec {
  std::string name;
  // Whether its workers reject work that exceeds their capacity.
  bool rejects_overload = false;
  // Whether its workers are powered off.
  bool spare = false;
};

// Limits on callers' requests.
struct RequestLimits {
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t header_timeout_ms = 0;
  std::int64_t idle_timeout_ms = 0;
};

// The operator's configuration, versioned and replaced atomically.
struct ServicePlan {
  std::uint64_t version = 0;
  std::vector<QueueSpec> queues;
  std::vector<PoolSpec> pools;
  RequestLimits limits;
  // The document as submitted by the operator, returned on reads.
  std::string document;
};

// State of a job graph as reported to its caller.
enum class GraphState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

// Returns the name of a state as written to the event log.
[[nodiscard]] constexpr const char* ToString(GraphState state) noexcept {
  switch (state) {
    case GraphState::kQueued:
      return "queued";
    case GraphState::kRunning:
      return "running";
    case GraphState::kCompleted:
      return "completed";
    case GraphState::kFailed:
      return "failed";
    case GraphState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

// Returns whether the state is terminal.
[[nodiscard]] constexpr bool IsFinal(GraphState state) noexcept {
  return state == GraphState::kCompleted || state == GraphState::kFailed ||
         state == GraphState::kCancelled;
}

// Activates an operator's plan unless a newer version is active.
struct InstallPlan {
  static constexpr const char* kType = "install-plan";
  ServicePlan plan;
};

// Starts or ends the evacuation of a data centre. Neither carries a version, so
// `expected_changes` keeps a delayed command from undoing a newer one.
struct SetEvacuated {
  static constexpr const char* kType = "set-evacuated";
  std::string data_centre;
  bool evacuated = false;
  // Number of changes of evacuations that its sender knows of; the command
  // changes nothing after another one. Absent in logs of earlier versions.
  std::optional<std::uint64_t> expected_changes = std::nullopt;
};

// Submits a job graph under an id chosen by its caller.
struct SubmitGraph {
  static constexpr const char* kType = "submit-graph";
  std::string id;
  GraphSpec spec;
};

// Cancels a job graph.
struct CancelGraph {
  static constexpr const char* kType = "cancel-graph";
  std::string id;
};

// Registers one incarnation of a worker or updates its description. An older
// incarnation of the same worker ends.
struct AdmitWorker {
  static constexpr const char* kType = "admit-worker";
  WorkerInfo info;
  // Id of the agent that reports for the worker.
  std::string agent;
};

// Ends one incarnation of a worker; its runs are lost.
struct DropWorker {
  static constexpr const char* kType = "drop-worker";
  WorkerIncarnation life;
  std::string cause;
  // The lost runs with their latest known checkpoints.
  std::vector<RunStatus> last_seen;
};

// One run placed on a worker.
struct RunPlacement {
  RunRef run;
  WorkerIncarnation worker;
};

// Places runs on workers.
struct PlaceRuns {
  static constexpr const char* kType = "place-runs";
  std::vector<RunPlacement> runs;
};

// Places second runs of speculative tasks on other workers.
struct PlaceCopies {
  static constexpr const char* kType = "place-copies";
  std::vector<RunPlacement> runs;
};

// Records the ended runs that a worker listed.
struct EndRuns {
  static constexpr const char* kType = "end-runs";
  WorkerIncarnation worker;
  std::vector<EndedRun> rows;
};

// Records which runs were on a worker when it crashed.
struct RecordCrashes {
  static constexpr const char* kType = "record-crashes";
  WorkerIncarnation worker;
  std::vector<RunCrash> rows;
};

// A worker's state as its agent reports it; renews the worker's lease.
struct WorkerSync {
  static constexpr const char* kType = "worker-sync";
  std::uint64_t seq = 0;
  WorkerInfo info;
  // Whether the worker answers calls; the lease is renewed only then.
  bool reachable = false;
  // Whether this incarnation has ended.
  bool gone = false;
  // Run lists received in this incarnation; `running` is the last one.
  std::uint64_t lists = 0;
  std::vector<RunStatus> running;
  // Ended runs that are not committed to the log, oldest first.
  std::vector<EndedRun> ended;
  // Runs with a pending start or stop that no run list shows yet.
  std::vector<RunRef> starting;
  // Trial runs whose start the worker has survived, until a run list shows
  // them.
  std::vector<RunRef> survived;
  // The runs that were on the worker if the incarnation ended in a crash.
  std::vector<RunCrash> crashed;
  // Highest fencing token of a call that the incarnation has answered; empty
  // from agents of earlier versions.
  std::optional<std::uint64_t> answered_token;
  // Whether the incarnation may hold a lease, also one that its agent doesn't
  // know of; empty from agents of earlier versions.
  std::optional<bool> may_hold_lease;
};

// A run to start.
struct RunStart {
  RunRef run;
  std::string payload;
  std::string checkpoint;
  // Initial share of its CPU request, in percent.
  std::int64_t percent = kFullPercent;
  // Whether the run may crash its worker as it starts; nothing else starts
  // there until the agent reports that it has not.
  bool is_trial = false;
};

// The share of its CPU request that a run may use, in percent.
struct RunThrottle {
  RunRef run;
  std::int64_t percent = kFullPercent;
};

// Response to a WorkerSync, or commands sent between two of them.
struct WorkerOrders {
  static constexpr const char* kType = "worker-orders";
  // Sequence number of the answered sync; 0 for unsolicited commands.
  std::uint64_t seq = 0;
  WorkerIncarnation worker;
  // Fencing token of the leader that sends the commands.
  std::uint64_t fencing_token = 0;
  // Number of the incarnation within the leader's term; 0 if an earlier leader
  // has admitted it. Part of the fencing token of calls to it.
  std::uint64_t incarnation_number = 0;
  // Whether the incarnation is admitted only once it has answered a call with
  // this number and has nothing running.
  bool must_fence = false;
  // Lease duration, counted from when the sync was sent; 0 grants no lease.
  std::int64_t lease_ms = 0;
  // Number of the last ended run of this incarnation committed to the log.
  std::int64_t noted = 0;
  std::vector<RunStart> starts;
  std::vector<RunRef> stops;
  std::vector<RunThrottle> paces;
};

// Kinds of reads that entries and the operator API send to the leader.
enum class CellQueryKind : std::uint8_t {
  // The plan's document.
  kPlan,
  // The plan's version.
  kPlanVersion,
  // The state of a graph, by its id.
  kGraph,
  // The number of graphs in a queue, by its name, with no run started.
  kPending,
  // The number of changes of evacuations so far.
  kEvacuations,
};

// Reads committed state from the leader, through any replica.
struct CellQuery {
  static constexpr const char* kType = "cell-query";
  std::uint64_t seq = 0;
  CellQueryKind kind = CellQueryKind::kGraph;
  std::string key;
};

// How a gateway takes the operator's plan from its replica.
enum class PlanDelivery : std::uint8_t {
  // In a PlanUpdate; for gateways that don't know the parts.
  kWhole,
  // In parts, on request.
  kParts,
  // Not at all.
  kNone,
};

// Heartbeat of an entry with the version of its active plan.
struct EntryStatus {
  static constexpr const char* kType = "entry-status";
  std::uint64_t seq = 0;
  std::uint64_t plan_version = 0;
  PlanDelivery delivery = PlanDelivery::kWhole;
};

// Answers an EntryStatus.
struct EntryStatusAck {
  static constexpr const char* kType = "entry-status-ack";
  std::uint64_t seq = 0;
  // Whether the replica recently heard from a leader that has a quorum.
  bool fresh = false;
};

// Distributes the operator's plan to an entry.
struct PlanUpdate {
  static constexpr const char* kType = "plan-update";
  ServicePlan plan;
};

// Tells a gateway which version of the plan its replica has.
struct PlanOffer {
  static constexpr const char* kType = "plan-offer";
  std::uint64_t version = 0;
  // The version that a PlanRequest asked for and the replica doesn't have; 0 if
  // the offer answers no request.
  std::uint64_t missing = 0;
};

// Asks for bytes of an encoded plan. A replica that doesn't have the version
// answers with a PlanOffer.
struct PlanRequest {
  static constexpr const char* kType = "plan-request";
  std::uint64_t version = 0;
  std::uint64_t offset = 0;
  std::uint64_t length = 0;
};

// Consecutive bytes of an encoded plan (EncodedPlan).
struct PlanPart {
  static constexpr const char* kType = "plan-part";
  std::uint64_t version = 0;
  // Of the whole encoded plan.
  std::uint64_t size = 0;
  std::uint32_t checksum = 0;
  std::uint64_t offset = 0;
  std::string bytes;
};

// Addresses of the cell's replicas, sent by a replica to connected processes.
struct CellMembers {
  static constexpr const char* kType = "cell-members";
  std::vector<std::string> addresses;
};

// Names replicas to a process that looks for the cell. Sent by a relay to those
// that connect to it, and by a replica to its seeds. May be out of date.
struct CellReferral {
  static constexpr const char* kType = "cell-referral";
  std::vector<std::string> addresses;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_GRAPH_H_
