#ifndef BANYAN_GRAPH_WORKER_AGENT_H_
#define BANYAN_GRAPH_WORKER_AGENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/call_fence.h"
#include "banyan/graph/crash_observer.h"
#include "banyan/graph/run_call.h"
#include "banyan/wire/graph.h"
#include "banyan/wire/message.h"

namespace banyan {

// Number of calls other than list calls that are made to a worker in parallel.
// An order beyond them waits at the agent, where it can be withdrawn.
inline constexpr int kMaxParallelOrders = 4;

// Effects that the caller must carry out for the agent.
struct WorkerAgentOutputs {
  std::vector<RunCall> calls;
  std::vector<Message> to_control;
  Events events;
};

// The agent of one worker, without I/O. It carries out the leader's commands,
// renews the worker's lease while it holds one itself, and reports the worker's
// run lists to the leader. It makes no scheduling decisions.
class WorkerAgent {
 public:
  // `max_lease` is the longest lease that the worker takes, by its own clock.
  explicit WorkerAgent(Duration max_lease = std::chrono::seconds(10))
      : max_lease_(max_lease) {}

  // Processes a worker's report. Ignores reports that arrive out of order. A
  // report of another incarnation is believed once there is evidence that the
  // current one has ended: the worker answers as another one, it has left, or
  // its lease has run out. Until the worker has answered as any, the agent
  // follows each report and says nothing of the end of the one before.
  void OnReport(Time now, const WorkerReport& report);

  // Processes a worker's announcement of its shutdown. The worker counts as
  // gone once it no longer answers list calls, so that its last ends are
  // reported.
  void OnLeave(Time now, const std::string& worker);

  // Processes the reply to a call.
  void OnReply(Time now, const RunCallReply& reply);

  // Processes commands of the leader. Returns whether they answer a sync.
  bool OnOrders(Time now, const WorkerOrders& orders);

  // Sends what is due and drops what has expired.
  void Tick(Time now);

  [[nodiscard]] WorkerAgentOutputs TakeOutputs() {
    return std::exchange(out_, WorkerAgentOutputs{});
  }

 private:
  // A start that the worker has not confirmed yet.
  struct PendingStart {
    RunStart start;
    Time ordered_at;
    Time retry_at;
    bool is_in_flight = false;
    // Calls without an answer; the worker may still carry them out.
    int unanswered_calls = 0;
    // When the last of them ended; repeated only after a later run list.
    std::optional<Time> unanswered_since;
  };

  // A run that the worker must stop or never start.
  struct PendingStop {
    Time retry_at;
    bool is_in_flight = false;
    // When the worker confirmed the stop.
    std::optional<Time> confirmed_at;
  };

  // A run that was started as a trial.
  struct Trial {
    // When its start counts as survived.
    Time ends_at;
    bool has_survived = false;
  };

  // An announced shutdown. Only list calls sent after it tell whether the
  // worker is gone.
  struct Departure {
    Time announced_at;
    int unanswered_lists = 0;
    bool has_answered = false;
  };

  // A report of another incarnation, until the worker has told which one it is.
  struct Successor {
    WorkerReport report;
    Time reported_at;
    // When the worker is asked again.
    Time ask_at;
    bool is_asking = false;
  };

  // A reading of the worker's clock and the agent's time of its receipt. The
  // reading is older than the receipt, so derived deadlines are never too late.
  struct ClockSample {
    std::int64_t worker_ms = 0;
    Time at;
  };

  // Returns whether a report of the current incarnation is later than its last
  // one.
  [[nodiscard]] bool IsLater(Time now, const WorkerReport& report);
  // Takes over a report of the current or the first incarnation.
  void Follow(Time now, const WorkerReport& report);
  // Keeps a report of another incarnation.
  void HoldSuccessor(Time now, const WorkerReport& report);
  // Asks the worker which incarnation it is while a report of another one is
  // kept.
  void AskWorker(Time now);
  // Returns what shows that the current incarnation has ended, if it is
  // followed by the one given.
  [[nodiscard]] std::optional<std::string_view> EvidenceOfEnd(
      Time now,
      const WorkerIncarnation& successor) const;
  // Follows the incarnation whose report is kept if there is such evidence.
  // Returns whether it does.
  bool TryReplace(Time now);
  // Settles by a reply whether the incarnation of the kept report is there.
  void CheckIdentity(Time now, const RunCallReply& reply);
  // Returns the initial state for the incarnation that replaces this one.
  [[nodiscard]] WorkerAgent NextIncarnation(const WorkerIncarnation& successor,
                                            bool has_ended) &&;
  // Logs what connects a run to the crash of the worker.
  void LogCrash(const RunCrash& crash);
  void OnRunList(Time now, const RunCallReply& reply);
  // Returns whether the ends in the last run list must not be listed again
  // before they are committed. A listed end may count as acknowledged, and the
  // leader has yet to decide whether those of calls to earlier incarnations may
  // be.
  [[nodiscard]] bool AwaitsCommit() const noexcept;
  // Returns when all leases that the worker may hold have run out.
  [[nodiscard]] Time LeaseEnd() const noexcept;
  // Returns the highest number that a new end in a run list may have.
  [[nodiscard]] std::int64_t MaxEndNumber(const RunCallReply& reply) const;
  // Logs that rows of a run list were left out or read in part.
  void LogRefusedRows(Time now, std::size_t rows, const std::string& reason);
  // Counts a list call without lists against a worker that announced its
  // shutdown.
  void OnListFailure(Time now, const RunCallReply& reply);
  void OnStarted(Time now, const RunCallReply& reply);
  void OnStopped(Time now, const RunCallReply& reply);
  // Reports to the leader that a fenced run will never start here.
  void ReportRefusal(Time now, const RunRef& run);
  // Makes the worker stop a run or never start it.
  void BeginStop(Time now, const RunRef& run);
  // Makes the worker refuse a run that must not start here. Only the worker
  // can guarantee this: an earlier agent, or a call without an answer, may have
  // started the run.
  void FenceRun(Time now, const RunRef& run, const char* why);
  // Processes a run list that shows that calls to earlier incarnations are
  // refused from now on: what they have started is stopped.
  void OnFenced(Time now, const RunCallReply& reply);
  // Fences the starts that the worker has not confirmed.
  void FencePendingStarts(Time now, const char* why);
  // Returns whether that has changed, and so was reported.
  bool SetReachable(Time now, bool reachable, const std::string& why);
  void RequestRunList(Time now);
  // Returns the starts that can be sent now, in the order in which they were
  // ordered, and fences those that have waited for too long.
  [[nodiscard]] std::vector<RunRef> DueStarts(Time now);
  void SendStarts(Time now);
  void SendStops(Time now);
  void SendSync(Time now);
  // Adds to the final state of an earlier incarnation of the worker the ends as
  // done that this one lists: until the leader has admitted it, its runs are
  // those of calls to earlier ones.
  void AddInheritedEnds(WorkerSync& final_sync) const;
  // Returns this incarnation's state under the next sequence number.
  [[nodiscard]] WorkerSync MakeSync();
  [[nodiscard]] RunCall MakeCall(RunCallOp op, const RunRef& run) const;
  // Makes an order, which counts as in flight until its reply.
  void SendOrder(RunCall call);
  [[nodiscard]] std::optional<std::int64_t> LeaseOnWorkerClock() const;
  [[nodiscard]] bool IsListed(const RunRef& run) const;

  Duration max_lease_;
  std::optional<WorkerInfo> info_;
  // Until when the worker may hold a lease that was granted by an earlier agent
  // or in a call to an earlier incarnation.
  Time unknown_lease_end_;
  std::optional<Successor> successor_;
  // The last incarnations that the worker has denied to be, oldest first. None
  // of them returns.
  std::deque<WorkerIncarnation> denied_incarnations_;
  std::int64_t report_sequence_ = 0;
  // When the last report arrived.
  Time reported_at_;
  // Whether the worker has answered the last list call as another incarnation,
  // and the start of that one if it is known.
  bool is_denied_ = false;
  std::optional<std::int64_t> denied_by_;
  // The worker's announcement of its shutdown, if there was one.
  std::optional<Departure> departure_;
  // Whether the worker no longer answers after its announcement. Final for this
  // incarnation.
  bool has_left_ = false;
  std::optional<ClockSample> clock_;
  CallFence fence_;
  // Whether the leader has admitted this incarnation, and whether it does so
  // only once calls to earlier ones are refused.
  bool is_admitted_ = false;
  bool must_fence_ = false;
  // Whether calls to earlier incarnations are refused, and the leader has yet
  // to admit this one.
  bool awaits_admission_ = false;
  // Whether calls to earlier incarnations under the same id may still be
  // carried out, so that these must not be reported as gone.
  bool is_unfenced_ = false;
  Time lease_deadline_;
  std::int64_t last_committed_end_ = 0;
  // Last end that a list call has acknowledged and the worker has answered.
  // Later calls leave it out: the worker's next incarnation, which numbers its
  // ends anew, may carry them out.
  std::int64_t acknowledged_end_ = 0;
  // Number of the last end as done that was listed between the fence and the
  // admission; 0 if there was none.
  std::int64_t inherited_end_ = 0;

  // Calls other than list calls without a reply, also those to earlier
  // incarnations.
  int orders_in_flight_ = 0;

  bool is_reachable_ = false;
  bool is_list_in_flight_ = false;
  Time next_list_at_;
  std::uint64_t list_count_ = 0;
  // When the worker's last run list arrived.
  Time listed_at_;
  // The worker's last run list.
  std::map<RunRef, RunStatus> running_;
  std::map<std::int64_t, EndedRun> ended_;
  // When rows that can't be read are logged again at the earliest.
  Time next_rows_event_at_;
  std::map<RunRef, PendingStart> pending_starts_;
  // Confirmed starts that no run list shows yet, with the time of the answer.
  std::map<RunRef, Time> confirmed_starts_;
  // Trial runs until a list that was sent after the trial.
  std::map<RunRef, Trial> trials_;
  std::map<RunRef, PendingStop> pending_stops_;
  // Whether the leader learns of this incarnation only after `pending_stops_`
  // are settled.
  bool must_settle_stops_ = false;
  // Runs with a start call without an answer, and until when it may still be
  // carried out.
  std::map<RunRef, Time> unanswered_starts_;
  // Refused runs, and until when each refusal is reported.
  std::map<RunRef, Time> refusals_;

  CrashObserver crash_observer_;

  // Final states of earlier incarnations with uncommitted ends or a crash,
  // oldest first.
  // They are sent before each sync until the leader answers a sync of the
  // current incarnation.
  std::deque<WorkerSync> final_syncs_;
  std::uint64_t next_seq_ = 1;
  Time next_sync_at_;
  // Unanswered syncs by sequence number, with the time of sending.
  std::deque<std::pair<std::uint64_t, Time>> sent_syncs_;
  WorkerAgentOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_WORKER_AGENT_H_
