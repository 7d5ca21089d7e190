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

// The whole share of a task's processor time, and the progress of a task that
// is done, in percent.
inline constexpr std::int64_t kFullPercent = 100;

// One step of a job graph: equal tasks that become ready together.
struct StepSpec {
  std::int64_t count = 0;
  Resources needs;
  // Declared run time of a task in milliseconds; distrusted.
  std::int64_t estimate_ms = 0;
  // Earlier steps, by position, that must be done first.
  std::vector<std::int64_t> depends_on;
  bool checkpointing = false;
  // All tasks work together, under one run number.
  bool gang = false;
  // The tasks are slower when spread over several racks.
  bool rack_local = false;
  // Copies of a task may run at the same time.
  bool speculative = false;
  // The tasks run until the job is cancelled, and are restarted.
  bool long_running = false;
  // The tasks use whatever processor time others leave over.
  bool best_effort = false;
  // Label that the worker must have; empty for any worker.
  std::string required_label;
  // Rack that holds the data; empty for none.
  std::string data_rack;
  // Names what the tasks run; tasks of one image behave alike.
  std::string image;
  // Most tasks of one occurrence on one worker; 0 for no bound.
  std::int64_t per_worker_limit = 0;
  // Bound of the tail latency that the tasks give their users; 0 for none.
  std::int64_t latency_target_ms = 0;
  // Tasks that the system may have unavailable at once by its own doing;
  // nothing when the step sets no bound.
  std::optional<std::int64_t> max_unavailable;
};

// A job of several steps, as its caller submitted it.
struct GraphSpec {
  // The queue it was submitted to.
  std::string queue;
  // What its tasks run; opaque to the system.
  std::string payload;
  std::vector<StepSpec> steps;
  // Occurrences of a scheduled job; 0 for a job that runs once, at once.
  std::int64_t occurrences = 0;
  WallMillis first_due_at = 0;
  std::int64_t interval_ms = 0;
};

// Names one task of a job graph.
struct TaskRef {
  std::string graph;
  std::int64_t occurrence = 0;
  std::int64_t step = 0;
  std::int64_t index = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// Names one run of a task. Run numbers rise with each placement, so a run
// number is also the task's fencing token.
struct RunRef {
  TaskRef task;
  std::int64_t run = 0;

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// One life of a worker: a worker that restarts keeps its id but not its birth.
struct WorkerIncarnation {
  std::string id;
  // Start of this life in milliseconds since the epoch, as the worker says.
  std::int64_t started_at_ms = 0;

  friend auto operator<=>(const WorkerIncarnation&,
                          const WorkerIncarnation&) = default;
};

// What a worker says of itself.
struct WorkerInfo {
  WorkerIncarnation life;
  // The pool that the worker belongs to.
  std::string service;
  std::string data_centre;
  std::string rack;
  // Kind and rack, as steps may require them.
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // What is left to a draining worker at least, in milliseconds.
  std::int64_t remaining_ms = 0;

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

// How a run ended.
enum class RunEndReason : std::uint8_t {
  // The task delivered its result.
  kDone,
  // The task or its worker failed it.
  kFailed,
  // Stopped on order.
  kStopped,
  // The worker's lease ran out.
  kLeaseExpired,
  // Another member of the gang ended.
  kGangMemberEnded,
  // The gang's other members did not come.
  kGangIncomplete,
  // The worker refused the start; the run never began.
  kRefused,
  // The worker's life ended.
  kWorkerLost,
};

// Returns the name of an ending as logs show it.
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

// One run in a worker's list of what it runs.
struct RunStatus {
  RunRef run;
  std::string checkpoint;
  // Progress of a task that ends, presence of one that doesn't; 0 to 100.
  std::int64_t percent = 0;
  // Over the last half second: tail latency in milliseconds of a task that
  // serves, thousandths of a processor in use of any other.
  std::int64_t measurement = 0;
};

// One run in a worker's list of what ended.
struct EndedRun {
  // Position in the list of this life, counted from 1.
  std::int64_t number = 0;
  RunRef run;
  RunEndReason reason = RunEndReason::kWorkerLost;
  std::string checkpoint;
};

// A route of the operator's plan, seen as a queue of jobs.
struct QueueSpec {
  std::string name;
  std::string host;
  std::string path_prefix;
  // The pool whose workers run the queue's tasks.
  std::string service;
  // Longest time that a call on the queue may take, in milliseconds.
  std::int64_t timeout_ms = 0;
  // Added to the stretched chain of work to give the latency objective.
  std::int64_t slo_ms = 0;
  // How many times its longest chain of work a job may take.
  double stretch = 1;
  // 0 comes first and may displace others.
  std::int64_t priority = 0;
  // Runs of a task that may fail before the job has failed.
  std::int64_t max_attempts = 1;
};

// A pool of workers of the operator's plan.
struct PoolSpec {
  std::string name;
  // Whether its workers refuse what does not fit.
  bool rejects_overload = false;
  // Whether its workers are switched off.
  bool spare = false;
};

// Bounds on callers' requests.
struct RequestLimits {
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t header_timeout_ms = 0;
  std::int64_t idle_timeout_ms = 0;
};

// The operator's configuration: versioned, replaced as a whole.
struct ServicePlan {
  std::uint64_t version = 0;
  std::vector<QueueSpec> queues;
  std::vector<PoolSpec> pools;
  RequestLimits limits;
  // The document as the operator sent it, for reading back.
  std::string document;
};

// Where a job graph stands, as its caller sees it.
enum class GraphState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

// Returns the name of a state as logs show it.
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

// Returns whether a graph in this state changes no more.
[[nodiscard]] constexpr bool IsFinal(GraphState state) noexcept {
  return state == GraphState::kCompleted || state == GraphState::kFailed ||
         state == GraphState::kCancelled;
}

// Puts an operator's plan in force unless a newer one is.
struct InstallPlan {
  static constexpr const char* kType = "install-plan";
  ServicePlan plan;
};

// Evacuates a data centre or takes it back.
struct SetEvacuated {
  static constexpr const char* kType = "set-evacuated";
  std::string data_centre;
  bool evacuated = false;
};

// Submits a job graph under an id that its caller chose.
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

// Makes one life of a worker known, or updates what it says of itself. An
// older life of the same worker ends.
struct AdmitWorker {
  static constexpr const char* kType = "admit-worker";
  WorkerInfo info;
  // The agent that speaks for the worker.
  std::string agent;
};

// Ends one life of a worker; its runs are lost.
struct DropWorker {
  static constexpr const char* kType = "drop-worker";
  WorkerIncarnation life;
  std::string cause;
  // The latest checkpoints known of the runs that are lost.
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

// Takes note of the ends that a worker listed.
struct EndRuns {
  static constexpr const char* kType = "end-runs";
  WorkerIncarnation worker;
  std::vector<EndedRun> rows;
};

// A worker's state as its agent reports it; renews the worker's lease.
struct WorkerSync {
  static constexpr const char* kType = "worker-sync";
  std::uint64_t seq = 0;
  WorkerInfo info;
  // Whether the worker answers calls; only then is its lease renewed.
  bool reachable = false;
  // Whether the worker said that its life is over.
  bool gone = false;
  // Lists that the agent got in this life; what follows is of the last one.
  std::uint64_t lists = 0;
  std::vector<RunStatus> running;
  // Ends that the log has not confirmed, oldest first.
  std::vector<EndedRun> ended;
  // Runs that were ordered and that no list of the worker shows yet.
  std::vector<RunRef> starting;
};

// A run to start.
struct RunStart {
  RunRef run;
  std::string payload;
  std::string checkpoint;
  // The share of its processor time that it starts with, in percent.
  std::int64_t percent = kFullPercent;
};

// A share of its processor time that a run may use, in percent.
struct RunThrottle {
  RunRef run;
  std::int64_t percent = kFullPercent;
};

// Answers a WorkerSync, or brings orders between two of them.
struct WorkerOrders {
  static constexpr const char* kType = "worker-orders";
  // The sync that this answers; 0 for orders in between.
  std::uint64_t seq = 0;
  WorkerIncarnation worker;
  // The leadership that gives the orders.
  std::uint64_t fencing_token = 0;
  // The lease from the sending of that sync on; 0 grants nothing.
  std::int64_t lease_ms = 0;
  // The last end of this life that stands in the log.
  std::int64_t noted = 0;
  std::vector<RunStart> starts;
  std::vector<RunRef> stops;
  std::vector<RunThrottle> paces;
};

// What an attached process or the operator API reads from the leader.
enum class CellQueryKind : std::uint8_t {
  // The plan's document.
  kPlan,
  // The version of the plan alone.
  kPlanVersion,
  // The state of a graph, by its id.
  kGraph,
  // The number of a queue's graphs of which nothing has begun, by its name.
  kPending,
};

// Reads confirmed state from the leader, through any replica.
struct CellQuery {
  static constexpr const char* kType = "cell-query";
  std::uint64_t seq = 0;
  CellQueryKind kind = CellQueryKind::kGraph;
  std::string key;
};

// An entry announces itself and the plan that it works by.
struct EntryStatus {
  static constexpr const char* kType = "entry-status";
  std::uint64_t seq = 0;
  std::uint64_t plan_version = 0;
};

// Answers an EntryStatus.
struct EntryStatusAck {
  static constexpr const char* kType = "entry-status-ack";
  std::uint64_t seq = 0;
  // Whether the replica heard from a leader with a majority of late.
  bool fresh = false;
};

// Brings the operator's plan to an entry.
struct PlanUpdate {
  static constexpr const char* kType = "plan-update";
  ServicePlan plan;
};

// The replicas of the cell, as a replica tells them to what is attached to it.
struct CellMembers {
  static constexpr const char* kType = "cell-members";
  std::vector<std::string> addresses;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_GRAPH_H_
