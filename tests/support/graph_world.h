#ifndef BANYAN_TESTS_SUPPORT_GRAPH_WORLD_H_
#define BANYAN_TESTS_SUPPORT_GRAPH_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/graph/graph_leader.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/worker_agent.h"

namespace banyan {

// The kinds of faults that a world has; each occurs in a series of its own.
struct GraphFaults {
  // Workers drain, announce their shutdown and are gone.
  bool leaves = false;
  // The leader is lost, with the end of its log, and another one follows.
  bool leader_changes = false;
  // Agents lose their connection to the leader.
  bool cuts = false;
  // Workers crash and start again under the same id.
  bool worker_restarts = false;
  // Agents start again and know nothing of before.
  bool agent_restarts = false;
  // Orders to workers get no answer and are carried out late or not at all.
  bool late_orders = false;
  // Reports of workers arrive seconds late.
  bool late_reports = false;
};

// The graph path under virtual time: a log with one table, the leader, and an
// agent with a stand-in worker on each machine. It judges by what the workers
// see, not by the table.
class GraphWorld {
 public:
  GraphWorld(GraphFaults faults, std::uint64_t seed);

  // Plays the load, the faults and the calm time after them.
  void Run();

  // Each violation with the history of its task.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  // The number of runs that workers started.
  [[nodiscard]] int starts() const { return starts_; }
  // The number of faults that occurred.
  [[nodiscard]] int faults() const { return fault_count_; }
  // All that was recorded, one line each.
  [[nodiscard]] std::string HistoryText() const;

 private:
  // A list call that waits for an end.
  struct Poll {
    RunCall call;
    Time sent_at;
    std::uint64_t agent_life = 0;
    std::uint64_t number = 0;
  };

  // An end that the worker lists until it is acknowledged.
  struct ListedEnd {
    EndedRun row;
    Time at;
  };

  // One incarnation of a stand-in worker.
  struct Worker {
    WorkerInfo info;
    // Differs between all incarnations of a world.
    std::uint64_t life = 0;
    bool is_up = false;
    bool is_departing = false;
    bool has_announced = false;
    Time booted_at;
    // Speed of its clock; up to 2% slow.
    double clock_rate = 1;
    std::int64_t sequence = 0;
    std::uint64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0;
    // Since when it has held its lease without a gap.
    Time lease_since;
    std::int64_t last_end = 0;
    // Active runs with their times of start and length.
    std::map<RunRef, std::pair<Time, Duration>> runs;
    std::vector<ListedEnd> ended;
    // The highest run of each task that was stopped or ended here.
    std::map<TaskRef, std::int64_t> barred;
    std::vector<Poll> polls;
  };

  // A machine with an agent and at most one worker.
  struct Machine {
    std::string name;
    // Null while the agent is down.
    std::unique_ptr<WorkerAgent> agent;
    std::uint64_t agent_life = 0;
    Time cut_until;
    // Rises with each loss of the connection to the leader.
    std::uint64_t connection = 0;
    Time last_to_leader;
    Time last_to_agent;
    Worker worker;
  };

  // A run that ended as done.
  struct DoneEnd {
    std::uint64_t worker_life = 0;
    std::int64_t number = 0;
    Time at;
    bool is_noted = false;
  };

  // What workers saw of one task.
  struct TaskRecord {
    std::vector<Time> starts;
    std::vector<DoneEnd> done;
  };

  struct Action {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator>(const Action& a, const Action& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };

  struct Proposal {
    std::uint64_t number = 0;
    Command command;
  };

  // A line of the history; without a task it concerns all of them.
  struct Line {
    Time at;
    std::string task;
    std::string text;
  };

  void At(Duration delay, std::function<void()> run);
  // Does something unless the worker's incarnation has ended by then.
  void AtWorker(Machine& m, Duration delay, std::function<void()> run);
  void RunUntil(Time end);
  [[nodiscard]] Duration Between(std::int64_t low_ms, std::int64_t high_ms);
  [[nodiscard]] bool Chance(std::uint64_t percent);

  // --- The log and the leader ---
  void Propose(Command command);
  void Commit(std::uint64_t number);
  void Apply(const Command& command);
  void StartLeader();
  void TickLeader();
  void FlushLeader();
  void Submit(const SubmitGraph& graph);

  // --- Agents ---
  void TickAgents();
  void TellAgent(Machine& m,
                 Duration delay,
                 std::uint64_t agent_life,
                 std::function<void(WorkerAgent&)> tell);
  void FlushAgent(Machine& m);
  // Returns the delay of a message that keeps its order on a connection.
  [[nodiscard]] Duration InOrder(Time& last);

  // --- Workers ---
  void Boot(Machine& m, const std::string& id);
  void EndLife(Machine& m, Duration pause, const std::string& next_id);
  void Report(Machine& m);
  void Beat(Machine& m);
  [[nodiscard]] std::int64_t ClockMs(const Worker& worker) const;
  void Renew(Machine& m, std::int64_t until_ms);
  void CallWorker(Machine& m, const RunCall& call);
  // Answers a call to the agent that sent it.
  void Answer(Machine& m, RunCallReply reply, std::uint64_t agent_life);
  [[nodiscard]] RunCallReply CarryOut(Machine& m, const RunCall& call);
  void List(Machine& m, Poll poll);
  void AnswerPolls(Machine& m);
  void BeginRun(Machine& m, const RunRef& run);
  void EndRun(Machine& m, const RunRef& run, RunEndReason reason);
  void Depart(Machine& m);

  // --- Faults ---
  void Series(std::int64_t longest_pause_ms, std::function<void()> fault);
  // Counts a fault and keeps its time from counting as calm.
  void Disturb(Duration span);
  void ChangeLeader();
  void RestartAgent(Machine& m);
  void Leave(Machine& m);
  [[nodiscard]] Machine& AnyMachine();

  // --- Checks ---
  void CheckStart(const Machine& m, const RunRef& run);
  // Records that a worker's end was taken note of.
  void NoteEnd(const TaskRef& task, std::uint64_t life, std::int64_t number);
  void CheckSettled();
  void Complain(const std::string& task, const std::string& what);
  void Write(const std::string& task, std::string text);
  void WriteEvents(const Events& events);

  GraphFaults faults_;
  Random random_;
  Time now_{std::chrono::seconds(100)};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  GraphTable table_;
  std::deque<Proposal> log_;
  std::uint64_t next_proposal_ = 1;
  Time last_commit_at_;
  std::unique_ptr<GraphLeader> leader_;
  std::uint64_t fencing_token_ = 6;
  Time next_decision_;
  std::deque<Machine> machines_;
  std::uint64_t lives_ = 0;
  std::uint64_t polls_ = 0;
  Time storm_until_;
  // No time before this one is calm.
  Time calm_at_;
  int fault_count_ = 0;
  int starts_ = 0;
  std::set<std::string> graphs_;
  std::map<TaskRef, TaskRecord> tasks_;
  std::vector<Line> history_;
  std::vector<std::string> violations_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_GRAPH_WORLD_H_
