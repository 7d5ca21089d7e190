#ifndef BANYAN_GRAPH_WORKER_AGENT_H_
#define BANYAN_GRAPH_WORKER_AGENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/run_call.h"
#include "banyan/wire/graph.h"
#include "banyan/wire/message.h"

namespace banyan {

// What the agent of a worker wants done.
struct WorkerAgentOutputs {
  std::vector<RunCall> calls;
  std::vector<Message> to_control;
  Events events;
};

// The agent beside one worker, without its I/O. It carries out the leader's
// orders, keeps the worker's lease as long as it holds one itself, and tells
// the leader what the worker lists. It decides nothing about tasks.
class WorkerAgent {
 public:
  // Takes what the worker says of itself. Reports of an earlier life, or that
  // are overtaken, change nothing.
  void OnReport(Time now, const WorkerReport& report);

  // Takes a worker's word that its life is over.
  void OnLeave(Time now, const std::string& worker);

  // Takes the answer to a call.
  void OnReply(Time now, const RunCallReply& reply);

  // Takes the leader's orders. Returns whether they answer a sync.
  bool OnOrders(Time now, const WorkerOrders& orders);

  // Lets deadlines pass.
  void Tick(Time now);

  [[nodiscard]] WorkerAgentOutputs TakeOutputs() {
    return std::exchange(out_, WorkerAgentOutputs{});
  }

 private:
  // A start that the worker has not confirmed.
  struct PendingStart {
    RunStart start;
    Time ordered_at;
    Time retry_at;
    bool is_in_flight = false;
    // Calls without an answer, which may still be carried out.
    int unanswered_calls = 0;
  };

  // A run that the worker must not run any more.
  struct PendingStop {
    Time retry_at;
    bool is_in_flight = false;
    // When the worker confirmed the stop.
    std::optional<Time> confirmed_at;
  };

  // The worker's clock at a moment of the agent's clock. The worker read it
  // before that moment, so what is derived never lies too late.
  struct ClockSample {
    std::int64_t worker_ms = 0;
    Time at;
  };

  // What a later life of the worker starts from.
  [[nodiscard]] WorkerAgent NextIncarnation() &&;
  void OnRunList(Time now, const RunCallReply& reply);
  void OnStarted(Time now, const RunCallReply& reply);
  void OnStopped(Time now, const RunCallReply& reply);
  // Tells the leader that a run will not begin here, now that it is barred.
  void ReportRefusal(Time now, const RunRef& run);
  // Has the worker end a run, or never begin it.
  void BeginStop(Time now, const RunRef& run);
  // Has the worker bar a run that is not to begin here. Only the worker can
  // tell that it never will: an agent before this one, or a call without an
  // answer, may have started it.
  void FenceRun(Time now, const RunRef& run, const char* why);
  void SetReachable(Time now, bool reachable, const std::string& why);
  void RequestRunList(Time now);
  void SendStarts(Time now);
  void SendStops(Time now);
  void SendSync(Time now);
  [[nodiscard]] RunCall MakeCall(RunCallOp op, const RunRef& run) const;
  [[nodiscard]] std::optional<std::int64_t> LeaseOnWorkerClock() const;
  [[nodiscard]] bool IsListed(const RunRef& run) const;

  std::optional<WorkerInfo> info_;
  std::int64_t report_sequence_ = 0;
  bool has_left_ = false;
  std::optional<ClockSample> clock_;
  std::uint64_t fencing_token_ = 0;
  Time lease_deadline_;
  std::int64_t last_committed_end_ = 0;

  bool is_reachable_ = false;
  bool is_list_in_flight_ = false;
  Time next_list_at_;
  std::uint64_t list_count_ = 0;
  // The last list of the worker.
  std::map<RunRef, RunStatus> running_;
  std::map<std::int64_t, EndedRun> ended_;
  std::map<RunRef, PendingStart> pending_starts_;
  // Starts that were confirmed and that no list shows yet.
  std::map<RunRef, Time> confirmed_starts_;
  std::map<RunRef, PendingStop> pending_stops_;
  // Runs that will not begin here, and until when that is repeated.
  std::map<RunRef, Time> refusals_;

  std::uint64_t next_seq_ = 1;
  Time next_sync_at_;
  // When the syncs without an answer were sent.
  std::deque<std::pair<std::uint64_t, Time>> sent_syncs_;
  WorkerAgentOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_WORKER_AGENT_H_
