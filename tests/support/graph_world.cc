#include "tests/support/graph_world.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

#include "banyan/base/random.h"
#include "banyan/graph/worker_agent.h"
#include "tests/support/graph_samples.h"
#include "tests/support/long_running_judge.h"
#include "tests/support/long_running_load.h"

namespace banyan {
namespace {

using Work = std::function<void()>;

constexpr Time kStart{std::chrono::seconds(100)};
constexpr Time kLoadEnd = kStart + std::chrono::seconds(20);
constexpr Time kFaultsEnd = kStart + std::chrono::seconds(24);
// The last late order is carried out within 14 s; several leases follow.
constexpr Time kEnd = kStart + std::chrono::seconds(60);
// Workers that crash again and again, or that are partly filled with long runs,
// complete less other work.
constexpr Time kLateEnd = kEnd + std::chrono::seconds(60);
// So do long tasks on few workers.
constexpr Time kLatestEnd = kLateEnd + std::chrono::seconds(60);
constexpr Duration kAgentTick = Millis(25);
constexpr Duration kBusyDecision = Millis(10);
constexpr Duration kIdleDecision = Millis(100);
constexpr Duration kBeat = Millis(1000);
constexpr Duration kOrderTimeout = Millis(500);
constexpr Duration kListTimeout = Millis(1000);
constexpr Duration kSubmitRetry = Millis(500);
// An end that was listed in calm time counts as noted after this time.
constexpr Duration kNotedAfter = Millis(100);
// Time is calm again so long after a fault.
constexpr Duration kCalmAfter = Millis(3000);
// A capacity that has shrunk is in force so long after the change: the time in
// which a machine counts as out of touch, and one report.
constexpr Duration kCapacityInForceAfter = kCalmAfter + kBeat;
// The room of a worker counts so long after its boot, the time in which a
// machine counts as out of touch.
constexpr Duration kBootKnownAfter = kCalmAfter;
// A speculative task may start so long after an end that was taken note of.
constexpr Duration kMaxLateCopy = Millis(1000);
constexpr Duration kJudgeInterval = Millis(50);
// Part of the pool that long-running tasks may reserve, and part of its memory
// that best-effort tasks may hold for the whole play, in percent. What is left
// fits the batch load on at least one worker.
constexpr std::int64_t kMaxLongLoadPercent = 40;
// A long-running task is fully available so long after its start.
constexpr Duration kAvailableAfter = Millis(500);
// Tail latency of a latency-sensitive task alone on its worker, and what
// best-effort tasks add that use all of the worker's processors.
constexpr std::int64_t kBaseLatencyMs = 8;
constexpr std::int64_t kMaxAddedLatencyMs = 24;
// A task that crashes its workers may be started so often after so many
// crashes.
constexpr std::size_t kCrashesUntilBudget = 3;
constexpr int kMaxStartsAfterCrashes = 2;
// A sound task may be given up after so many crashes of workers that had been
// sent a start of it.
constexpr int kCrashesUntilSuspect = 2;
// The longest lease that a worker takes, on its own clock.
constexpr std::int64_t kMaxLeaseMs = 6000;
constexpr std::int64_t kLongMaxLeaseMs = 10000;
constexpr Duration kLongGrant = Millis(5800);
// A call is carried out no later than this after it was sent.
constexpr std::int64_t kMaxCallDelayMs = 12000;
constexpr double kMaxClockLag = 0.02;
// By this factor, for each kind of fault, a series may be sparser.
constexpr std::uint64_t kSparsest = 2;
// Last lines of a violation's history that concern its task. Only a task that
// fails again and again has more.
constexpr int kOwnLines = 100;
// Lines of a violation's history that don't concern its task.
constexpr int kOtherLines = 25;

std::string NameOf(const TaskRef& task) {
  return task.graph + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

std::string NameOf(const WorkerIncarnation& worker) {
  return worker.id + "@" + std::to_string(worker.started_at_ms);
}

// A call that a worker has received, with the life of the agent that sent it.
struct Call {
  RunCall body;
  Time sent_at;
  std::uint64_t agent_life = 0;
  std::uint64_t number = 0;
};

// A run that ended as done, as its worker knows it.
struct DoneEnd {
  std::uint64_t worker_life = 0;
  std::int64_t number = 0;
  Time at;
  // How it was taken note of; empty if it wasn't.
  std::string noted;
  Time noted_at;
};

// What workers saw of one task.
struct TaskRecord {
  Time last_start;
  // Whether it crashes each worker that starts it.
  bool is_deadly = false;
  std::size_t crashes = 0;
  // Starts since it has crashed kCrashesUntilBudget workers.
  int starts_after_crashes = 0;
  // Whether each of its runs fails shortly after its start.
  bool always_fails = false;
  std::int64_t failures = 0;
  // Crashes of workers that had been sent a start of it, with `restart_cuts`.
  int crashes_beside = 0;
  std::vector<DoneEnd> done;
};

// One incarnation of a stand-in worker.
struct Worker {
  WorkerInfo info;
  std::uint64_t life = 0;
  bool is_up = false;
  bool is_departing = false;
  bool has_announced = false;
  // When its clock was at zero; its boot is later.
  Time booted_at;
  Time up_since;
  double clock_rate = 1;
  std::int64_t sequence = 0;
  std::uint64_t fencing_token = 0;
  std::int64_t lease_until_ms = 0;
  // Since when it has held its lease without a gap.
  Time lease_since;
  std::int64_t last_end = 0;
  // Earlier capacities, each with the time until which it is in force.
  std::vector<std::pair<Resources, Time>> shrunk;
  // The capacity before the last change, with the time until which the leader
  // may not know of the change.
  std::optional<std::pair<Resources, Time>> changed;
  // Until when all that it starts fails.
  Time grey_until;
  // CPU shares of throttled runs, in percent.
  std::map<RunRef, std::int64_t> paces;
  // Active runs with their starts and lengths.
  std::map<RunRef, std::pair<Time, Duration>> runs;
  // Ends that are not acknowledged, with their times.
  std::vector<std::pair<EndedRun, Time>> ended;
  // The highest run of each task that was stopped or ended here.
  std::map<TaskRef, std::int64_t> barred;
  // List calls that wait for an end.
  std::vector<Call> polls;
  // Tasks whose starts it was sent.
  std::set<TaskRef> offered;

  [[nodiscard]] std::int64_t ClockMs(Time now) const {
    return static_cast<std::int64_t>(
        clock_rate * static_cast<double>(ToMillis(now - booted_at)));
  }
};

// A machine with an agent, null while it is down, and at most one worker. Lives
// and connections are numbered; what belongs to an earlier one is lost.
struct Machine {
  std::string name;
  std::unique_ptr<WorkerAgent> agent;
  std::uint64_t agent_life = 0;
  Time cut_until;
  std::uint64_t connection = 0;
  Time last_to_leader;
  Time last_to_agent;
  Worker worker;
  // Until when the worker and its agent don't reach each other.
  Time worker_cut_until;
  // Calls that the next worker may carry out.
  std::vector<Call> held;
};

// One world with its event queue. It is played once.
class GraphWorld {
 public:
  GraphWorld(const GraphFaults& faults, std::uint64_t seed)
      : faults_(faults), random_(seed) {}

  GraphWorldResult Run() {
    Apply(InstallPlan{SamplePlan()});
    StartLeader();
    const std::uint64_t count = 3 + random_.NextBelow(4);
    for (std::uint64_t i = 0; i < count; ++i) {
      Machine& m = machines_.emplace_back();
      m.name = "side-" + std::to_string(i);
      m.agent = std::make_unique<WorkerAgent>(MaxLease());
      Boot(m, NextId());
    }
    TickLeader();
    TickAgents();
    PlanLoad();
    PlanLongLoad();
    PlanFaults();
    if (faults_.long_running) {
      JudgeLongRunning();
    }
    const bool ends_late = faults_.deadly_tasks || faults_.long_running ||
                           faults_.best_effort || MayBeLate() ||
                           faults_.restart_cuts;
    const Time late_end = faults_.long_tasks ? kLatestEnd : kLateEnd;
    const Time end = ends_late ? late_end : kEnd;
    while (actions_.top().at <= end) {
      const Action action = actions_.top();
      actions_.pop();
      now_ = action.at;
      action.run();
    }
    CheckSettled();
    result_.long_running_tasks = judge_.accepted();
    for (const Line& line : history_) {
      result_.history += TextOf(line);
    }
    return std::move(result_);
  }

 private:
  struct Action {
    Time at;
    std::uint64_t order = 0;
    Work run;

    friend bool operator>(const Action& a, const Action& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };

  // A line of the history; without a task it concerns all of them.
  struct Line {
    Time at;
    std::string task;
    std::string text;
  };

  void At(Duration delay, Work run) {
    actions_.push({now_ + delay, next_order_++, std::move(run)});
  }

  // Does something unless the worker's incarnation has ended by then.
  void AtWorker(Machine& m, Duration delay, Work run) {
    At(delay, [&m, life = m.worker.life, run = std::move(run)] {
      if (m.worker.life == life && m.worker.is_up) {
        run();
      }
    });
  }

  Duration Between(std::int64_t low_ms, std::int64_t high_ms) {
    return Millis(low_ms) +
           Duration(random_.NextBelow(
               static_cast<std::uint64_t>(1000 * (high_ms - low_ms) + 1)));
  }
  bool Chance(std::uint64_t percent) {
    return random_.NextBelow(100) < percent;
  }
  // The delay of a message that keeps its place on its connection.
  Duration InOrder(Time& last) {
    last = std::max(last, now_ + Between(1, 10));
    return last - now_;
  }
  [[nodiscard]] WallMillis Wall() const {
    return kGraphStart + ToMillis(now_ - kStart);
  }

  // The longest lease that workers take, on their own clocks.
  [[nodiscard]] Duration MaxLease() const {
    return Millis(faults_.long_leases ? kLongMaxLeaseMs : kMaxLeaseMs);
  }

  // --- The log and the leader ---

  void Propose(Command command) {
    log_.emplace_back(next_order_, std::move(command));
    last_commit_at_ = std::max(last_commit_at_, now_ + Between(2, 40));
    At(last_commit_at_ - now_, [this, number = next_order_] {
      // A proposal that was lost is not in the log any more.
      if (!log_.empty() && log_.front().first == number) {
        const Command committed = std::move(log_.front().second);
        log_.pop_front();
        Apply(committed);
      }
    });
  }

  void Apply(const Command& command) {
    const GraphApplyResult applied = std::visit(
        [&](const auto& body) {
          if constexpr (requires { table_.Apply(body, kGraphStart); }) {
            return table_.Apply(body, Wall());
          } else {
            return GraphApplyResult{};
          }
        },
        command);
    WriteEvents(applied.events);
    const auto* submit = std::get_if<SubmitGraph>(&command);
    if (submit != nullptr && applied.result.ok &&
        !cancelled_.contains(submit->id)) {
      judge_.OnAccepted(now_, *submit);
    }
    if (applied.admitted) {
      admissions_.emplace_back(now_, applied);
    }
    if (leader_) {
      leader_->OnApplied(now_, table_, command, applied);
      FlushLeader();
    }
  }

  void StartLeader() {
    GraphLeaderOptions options;
    if (faults_.long_grants) {
      options.lease = kLongGrant;
    }
    options.scheduling.room_for_urgent = faults_.room_for_urgent;
    options.scheduling.speculative_copies = faults_.copies;
    options.max_worker_lease = MaxLease();
    leader_ = std::make_unique<GraphLeader>(options);
    // Every replica has followed the admissions.
    for (const auto& [at, applied] : admissions_) {
      leader_->OnFollowed(at, applied);
    }
    leader_->Reset(now_, table_, ++fencing_token_);
    Write("", "leader " + std::to_string(fencing_token_));
  }

  void TickLeader() {
    if (leader_ && now_ >= next_decision_) {
      next_decision_ = now_ + (table_.ready_graphs().empty() ? kIdleDecision
                                                             : kBusyDecision);
      leader_->Decide(now_, Wall(), table_);
      FlushLeader();
    }
    At(kBusyDecision, [this] { TickLeader(); });
  }

  void FlushLeader() {
    GraphLeaderOutputs outputs = leader_->TakeOutputs();
    WriteEvents(outputs.events);
    for (Command& command : outputs.proposals) {
      Propose(std::move(command));
    }
    for (const Outbound& order : outputs.orders) {
      Machine& m =
          *std::find_if(machines_.begin(), machines_.end(),
                        [&](const auto& it) { return it.name == order.to; });
      if (m.cut_until > now_) {
        continue;
      }
      TellAgent(m, InOrder(m.last_to_agent), m.agent_life,
                [this, &m, connection = m.connection,
                 orders = std::get<WorkerOrders>(order.message)] {
                  if (m.connection == connection) {
                    static_cast<void>(m.agent->OnOrders(now_, orders));
                  }
                });
    }
  }

  void Submit(const SubmitGraph& graph) {
    if (table_.FindGraph(graph.id) == nullptr) {
      if (leader_) {
        Propose(graph);
      }
      At(kSubmitRetry, [this, graph] { Submit(graph); });
    }
  }

  void Cancel(const std::string& id) {
    if (cancelled_.insert(id).second) {
      Write(id, "is cancelled");
    }
    judge_.OnCancelled(id);
    const Graph* graph = table_.FindGraph(id);
    if (graph == nullptr || !IsFinal(graph->state)) {
      if (leader_ && graph != nullptr) {
        Propose(CancelGraph{id});
      }
      At(kSubmitRetry, [this, id] { Cancel(id); });
    }
  }

  void PlanLoad() {
    const auto draw = [&](std::uint64_t most) {
      return 1 + static_cast<std::int64_t>(random_.NextBelow(most));
    };
    for (Time at = kStart; at < kLoadEnd; at += Between(200, 900)) {
      std::vector<StepSpec> steps{SampleStep(draw(4), 500 * draw(4))};
      if (Chance(50)) {
        steps.push_back(SampleStep(draw(4), 500 * draw(4)));
        steps.back().depends_on = {0};
      }
      for (StepSpec& step : steps) {
        step.speculative = faults_.copies && Chance(60);
      }
      const std::string id = "g" + std::to_string(graphs_.size());
      graphs_.push_back(SampleGraph(id, std::move(steps)));
      if (faults_.deadly_tasks && Chance(15)) {
        MakeDeadly(graphs_.back());
      }
      At(at - kStart, [this, graph = graphs_.back()] { Submit(graph); });
    }
  }

  // Plans long-running and best-effort graphs. They leave part of the pool to
  // the batch load, so that all of that can complete.
  void PlanLongLoad() {
    Resources most;
    for (const Machine& m : machines_) {
      most += m.worker.info.capacity;
    }
    most = {most.cpu_millis * kMaxLongLoadPercent / 100,
            most.memory_mib * kMaxLongLoadPercent / 100, 0};
    Resources reserved;
    for (Time at = kStart + Millis(100); faults_.long_running && at < kLoadEnd;
         at += Between(500, 4000)) {
      SubmitGraph graph = DrawLongRunningGraph(random_, NextGraph());
      if (faults_.room_for_urgent) {
        graph.spec.steps.front().max_unavailable = 1;
      }
      if (!Fits(reserved + TotalNeeds(graph), most)) {
        continue;
      }
      reserved += TotalNeeds(graph);
      AddGraph(at, graph);
      for (std::int64_t i = 0; i < graph.spec.steps.front().count; ++i) {
        tasks_[{graph.id, 0, 0, i}].always_fails =
            faults_.failing_tasks && Chance(15);
      }
      if (Chance(20)) {
        At(at - kStart + Between(2000, 20000),
           [this, id = graph.id] { Cancel(id); });
      }
    }
    Resources held;
    for (Time at = kStart; faults_.best_effort && at < kLoadEnd;
         at += Between(500, 4000)) {
      const SubmitGraph graph =
          DrawBestEffortGraph(random_, NextGraph(), Chance(25));
      if (graph.spec.steps.front().estimate_ms == kHourMs) {
        const Resources memory{0, TotalNeeds(graph).memory_mib, 0};
        if (!Fits(held + memory, most)) {
          continue;
        }
        held += memory;
      }
      AddGraph(at, graph);
    }
  }

  std::string NextGraph() { return "g" + std::to_string(graphs_.size()); }

  void AddGraph(Time at, const SubmitGraph& graph) {
    graphs_.push_back(graph);
    At(at - kStart, [this, graph] { Submit(graph); });
  }

  // Makes some tasks of one step crash their workers.
  void MakeDeadly(const SubmitGraph& graph) {
    ++result_.deadly_graphs;
    const std::size_t step = random_.NextBelow(graph.spec.steps.size());
    const auto count = static_cast<std::uint64_t>(graph.spec.steps[step].count);
    const std::uint64_t deadly = Chance(70) ? 1 : 1 + random_.NextBelow(count);
    for (std::uint64_t i = 0; i < deadly; ++i) {
      tasks_[{graph.id, 0, static_cast<std::int64_t>(step),
              static_cast<std::int64_t>(random_.NextBelow(count))}]
          .is_deadly = true;
    }
    Write(graph.id, "has a deadly task");
  }

  // --- Agents ---

  void TickAgents() {
    for (Machine& m : machines_) {
      if (m.agent) {
        m.agent->Tick(now_);
        FlushAgent(m);
      }
    }
    At(kAgentTick, [this] { TickAgents(); });
  }

  // Tells an agent something unless it was restarted since.
  void TellAgent(Machine& m, Duration delay, std::uint64_t life, Work tell) {
    At(delay, [this, &m, life, tell = std::move(tell)] {
      if (m.agent && m.agent_life == life) {
        tell();
        FlushAgent(m);
      }
    });
  }

  void FlushAgent(Machine& m) {
    const WorkerAgentOutputs outputs = m.agent->TakeOutputs();
    WriteEvents(outputs.events);
    for (const Message& message : outputs.to_control) {
      if (m.cut_until > now_) {
        break;
      }
      At(InOrder(m.last_to_leader), [this, &m, connection = m.connection,
                                     sync = std::get<WorkerSync>(message)] {
        if (leader_ && m.connection == connection) {
          leader_->OnSync(now_, table_, m.name, sync, true);
          FlushLeader();
        }
      });
    }
    for (const RunCall& call : outputs.calls) {
      CallWorker(m, {call, now_, m.agent_life, next_order_});
    }
  }

  // --- Workers ---

  std::string NextId() { return "w" + std::to_string(++ids_); }

  void Boot(Machine& m, const std::string& id) {
    m.worker = Worker{};
    m.worker.info = SampleWorker(id, Wall());
    if (faults_.clock_steps && Chance(50)) {
      m.worker.info.life.started_at_ms -= ToMillis(Between(1, 20000));
    }
    m.worker.life = ++lives_;
    m.worker.is_up = true;
    m.worker.booted_at = now_ - Between(0, 5000);
    m.worker.up_since = now_;
    if (faults_.long_running) {
      m.worker.info.labels = {m.name.back() % 2 == 0 ? "a" : "b"};
    }
    m.worker.clock_rate = 1 - kMaxClockLag * random_.NextDouble();
    Write("", "boot of " + NameOf(m.worker.info.life) + " on " + m.name);
    for (const Call& call : std::exchange(m.held, {})) {
      CarryOutLate(m, call, Chance(50) ? Between(1, 20) : LateDelay(call));
    }
    Beat(m);
  }

  void EndLife(Machine& m, Duration pause, const std::string& next_id) {
    Write("", "end of " + NameOf(m.worker.info.life));
    m.worker.is_up = false;
    for (const auto& [run, times] : m.worker.runs) {
      judge_.OnRun(now_, run.task);
    }
    m.worker.runs.clear();
    for (const Call& call : std::exchange(m.worker.polls, {})) {
      if (faults_.late_lists && Chance(50)) {
        Hold(m, call);
      } else {
        Answer(m, call, BrokenOff(call.body));
      }
    }
    At(pause, [this, &m, next_id] { Boot(m, next_id); });
  }

  // Keeps a call for the next incarnation. Its caller sees the connection break
  // at once, or nothing until the call times out.
  void Hold(Machine& m, const Call& call) {
    m.held.push_back(call);
    if (Chance(50)) {
      Answer(m, call, BrokenOff(call.body));
    } else {
      TimeOut(m, call);
    }
  }

  // Lets a call go unanswered until its caller gives it up.
  void TimeOut(Machine& m, const Call& call) {
    const Duration timeout = call.body.op == RunCallOp::kListRuns
                                 ? kListTimeout + Millis(call.body.wait_ms)
                                 : kOrderTimeout;
    At(std::max(call.sent_at + timeout, now_) - now_,
       [this, &m, call] { Answer(m, call, MakeUnansweredReply(call.body)); });
  }

  [[nodiscard]] bool MayBeLate() const {
    return faults_.late_lists || faults_.inherited_orders;
  }
  [[nodiscard]] bool MayBeLate(const Call& call) const {
    return call.body.op == RunCallOp::kListRuns ? faults_.late_lists
                                                : faults_.inherited_orders;
  }

  // Draws after which delay a call without an answer is carried out.
  Duration LateDelay(const Call& call) {
    return std::max(call.sent_at + Between(2000, kMaxCallDelayMs) - now_,
                    Millis(1));
  }

  // Carries out a call at whichever incarnation is up by then.
  void CarryOutLate(Machine& m, const Call& call, Duration delay) {
    At(delay, [this, &m, call] {
      if (!m.worker.is_up) {
        return;
      }
      if (call.body.op != RunCallOp::kListRuns) {
        static_cast<void>(CarryOut(m, call.body, true));
        return;
      }
      if (TakeList(m, call.body).refusal == RunRefusal::kNone &&
          call.body.incarnation != m.worker.info.life) {
        const std::int64_t left_ms =
            m.worker.lease_until_ms - m.worker.ClockMs(now_);
        Write("", "list call to " + NameOf(call.body.incarnation) + " at " +
                      NameOf(m.worker.info.life) + " acknowledges ends up to " +
                      std::to_string(call.body.last_committed_end) +
                      " and leaves a lease of " + std::to_string(left_ms) +
                      " ms");
      }
    });
  }

  // Remembers that a worker was sent a start. One that is down counts as having
  // crashed after it.
  void NoteOffer(Machine& m, const TaskRef& task) {
    if (m.worker.is_up) {
      m.worker.offered.insert(task);
    } else {
      tasks_[task].crashes_beside += faults_.restart_cuts ? 1 : 0;
    }
  }

  // Ends a worker without a word; it starts again under its id.
  void Crash(Machine& m, Duration pause) {
    for (const TaskRef& task : m.worker.offered) {
      tasks_[task].crashes_beside += faults_.restart_cuts ? 1 : 0;
    }
    EndLife(m, pause, m.worker.info.life.id);
  }

  static RunCallReply BrokenOff(const RunCall& call) {
    RunCallReply reply = MakeUnansweredReply(call);
    reply.failure = CallFailure::kBrokenOff;
    return reply;
  }

  // Ends a worker some milliseconds after it has started a deadly task.
  void CrashBy(Machine& m, const TaskRef& task) {
    ++result_.crashes_by_tasks;
    ++tasks_[task].crashes;
    const Duration pause = Between(1500, 4000);
    Disturb(pause, NameOf(task) + " crashes " + NameOf(m.worker.info.life));
    EndLife(m, pause, Chance(50) ? m.worker.info.life.id : NextId());
  }

  // Changes a worker's capacity for some seconds.
  void ChangeCapacity(Machine& m) {
    if (!m.worker.is_up || !m.worker.shrunk.empty()) {
      return;
    }
    const Resources before = m.worker.info.capacity;
    m.worker.info.capacity = {before.cpu_millis * Percent(100) / 100,
                              before.memory_mib * Percent(100) / 100, 0};
    m.worker.shrunk.emplace_back(before, now_ + kCapacityInForceAfter);
    m.worker.changed = {before, now_ + kCapacityInForceAfter};
    ++result_.faults;
    Write("", "capacity of " + NameOf(m.worker.info.life) + " shrinks to " +
                  std::to_string(m.worker.info.capacity.cpu_millis) + " and " +
                  std::to_string(m.worker.info.capacity.memory_mib));
    AtWorker(m, Between(1000, 9000), [this, &m, before] {
      m.worker.changed = {m.worker.info.capacity, now_ + kCapacityInForceAfter};
      m.worker.info.capacity = before;
      m.worker.shrunk.clear();
      Write("", "capacity of " + NameOf(m.worker.info.life) + " grows again");
    });
  }

  std::int64_t Percent(std::uint64_t below) {
    return Chance(20) ? 0 : static_cast<std::int64_t>(random_.NextBelow(below));
  }

  void Report(Machine& m) {
    if (m.worker_cut_until > now_) {
      ++m.worker.sequence;
      return;
    }
    const bool is_late =
        faults_.late_reports && now_ < kFaultsEnd && Chance(10);
    const WorkerReport report{m.worker.info, ++m.worker.sequence,
                              m.worker.ClockMs(now_)};
    TellAgent(m, is_late ? Between(200, 3000) : Between(1, 10), m.agent_life,
              [this, &m, report] { m.agent->OnReport(now_, report); });
  }

  // Tells an agent of an incarnation that its worker is not.
  void ReportForeign(Machine& m) {
    WorkerReport report{m.worker.info, 0, m.worker.ClockMs(now_)};
    report.sequence = m.worker.sequence + ToMillis(Between(0, 5));
    WorkerIncarnation& life = report.info.life;
    if (Chance(30)) {
      life.id = "x" + life.id;
    }
    life.started_at_ms += ToMillis(Between(1, 5000)) * (Chance(30) ? -1 : 1);
    report.info.service = Chance(50) ? "another" : report.info.service;
    report.info.draining = Chance(10);
    ++result_.faults;
    Write("", "foreign report of " + NameOf(life) + " on " + m.name);
    TellAgent(m, Between(1, 10), m.agent_life,
              [this, &m, report] { m.agent->OnReport(now_, report); });
  }

  void Beat(Machine& m) {
    Report(m);
    AtWorker(m, kBeat, [this, &m] { Beat(m); });
  }

  void Renew(Machine& m, std::optional<std::int64_t> asked_ms) {
    Worker& worker = m.worker;
    const std::int64_t clock_ms = worker.ClockMs(now_);
    const std::int64_t until_ms =
        std::min(asked_ms.value_or(0), clock_ms + ToMillis(MaxLease()));
    if (until_ms <= std::max(clock_ms, worker.lease_until_ms)) {
      return;
    }
    if (worker.lease_until_ms <= clock_ms) {
      worker.lease_since = now_;
    }
    worker.lease_until_ms = until_ms;
    const auto wait = static_cast<double>(until_ms - clock_ms + 2);
    AtWorker(m, Millis(static_cast<std::int64_t>(wait / worker.clock_rate)),
             [this, &m] {
               while (!m.worker.runs.empty() &&
                      m.worker.lease_until_ms <= m.worker.ClockMs(now_)) {
                 EndRun(m, m.worker.runs.begin()->first,
                        RunEndReason::kLeaseExpired);
               }
             });
  }

  void CallWorker(Machine& m, const Call& call) {
    const bool is_list = call.body.op == RunCallOp::kListRuns;
    const bool is_cut = m.worker_cut_until > now_;
    if (call.body.op == RunCallOp::kStart) {
      NoteOffer(m, call.body.run.task);
    }
    if (is_cut || (MayBeLate(call) && call_storm_until_ > now_ && Chance(40))) {
      TimeOut(m, call);
      if (MayBeLate(call) && Chance(70)) {
        CarryOutLate(m, call,
                     std::max(LateDelay(call), m.worker_cut_until - now_));
      }
      return;
    }
    if (is_list && silent_until_ > now_ && Chance(40)) {
      // The connection breaks, or the agent gives the call up.
      At(Chance(50) ? Between(1, 5) : kListTimeout + Millis(call.body.wait_ms),
         [this, &m, call] { Answer(m, call, MakeUnansweredReply(call.body)); });
      return;
    }
    if (!is_list && storm_until_ > now_ && Chance(40)) {
      Write(NameOf(call.body.run.task), "an order gets no answer");
      AtWorker(m, Chance(70) ? Between(2000, 12000) : Between(1, 5),
               [this, &m, call] {
                 static_cast<void>(CarryOut(m, call.body, true));
               });
      At(kOrderTimeout,
         [this, &m, call] { Answer(m, call, MakeUnansweredReply(call.body)); });
      return;
    }
    At(Between(1, 5), [this, &m, call, is_list] {
      if (!m.worker.is_up && MayBeLate(call) && Chance(50)) {
        Hold(m, call);
      } else if (!m.worker.is_up) {
        RunCallReply reply = MakeUnansweredReply(call.body);
        reply.failure = CallFailure::kNotSent;
        Answer(m, call, reply);
      } else if (is_list) {
        List(m, call);
      } else {
        const RunCallReply reply = CarryOut(m, call.body);
        const bool is_cut_short = tasks_[call.body.run.task].is_deadly &&
                                  call.body.op == RunCallOp::kStart &&
                                  Chance(20);
        Answer(m, call, is_cut_short ? BrokenOff(call.body) : reply);
      }
    });
  }

  // Answers a call to the agent that sent it. Answers may overtake each other.
  void Answer(Machine& m, const Call& call, RunCallReply reply) {
    if (m.worker_cut_until > now_ && reply.answered) {
      TimeOut(m, call);
      return;
    }
    reply.sent_at = call.sent_at;
    TellAgent(m, Between(1, Chance(20) ? 30 : 3), call.agent_life,
              [this, &m, reply, life = m.worker.life]() mutable {
                reply.received_at = now_;
                for (const EndedRun& row : reply.ended) {
                  Write(NameOf(row.run.task), "end is listed");
                  At(kNotedAfter, [this, row, life] {
                    if (row.reason == RunEndReason::kDone && now_ >= calm_at_) {
                      NoteEnd(row, life, "listed in calm time");
                    }
                  });
                }
                m.agent->OnReply(now_, reply);
              });
  }

  // Returns the answer to a call, with a refusal if it is not for this worker:
  // the id is checked, the time of the start isn't.
  RunCallReply Accept(Machine& m, const RunCall& call) {
    RunCallReply reply = MakeUnansweredReply(call);
    reply.answered = true;
    reply.clock_ms = m.worker.ClockMs(now_);
    if (call.incarnation.id != m.worker.info.life.id) {
      reply.refusal = RunRefusal::kOtherIncarnation;
    } else if (call.fencing_token < m.worker.fencing_token) {
      reply.refusal = RunRefusal::kFenced;
    } else {
      m.worker.fencing_token = call.fencing_token;
    }
    return reply;
  }

  // Carries out a start or a stop. Bounds on the time of a start hold unless
  // the worker was late.
  RunCallReply CarryOut(Machine& m, const RunCall& call, bool is_late = false) {
    RunCallReply reply = Accept(m, call);
    Worker& worker = m.worker;
    if (reply.refusal != RunRefusal::kNone) {
      return reply;
    }
    if (call.op == RunCallOp::kIdentify) {
      reply.answering_start_ms = worker.info.life.started_at_ms;
      if (call.incarnation != worker.info.life) {
        reply.refusal = RunRefusal::kOtherIncarnation;
      }
      return reply;
    }
    std::int64_t& barred = worker.barred[call.run.task];
    if (call.op == RunCallOp::kStop) {
      WriteRun(m, call.run, "is stopped");
      barred = std::max(barred, call.run.run);
      AtWorker(m, Between(5, 200), [this, &m, run = call.run] {
        EndRun(m, run, RunEndReason::kStopped);
      });
    } else if (call.op == RunCallOp::kStart &&
               !worker.runs.contains(call.run)) {
      if (barred >= call.run.run) {
        reply.refusal = RunRefusal::kStaleRun;
      } else if (call.lease_until_ms.value_or(0) <= worker.ClockMs(now_)) {
        reply.refusal = RunRefusal::kLeaseExpired;
      } else {
        BeginRun(m, call.run, is_late);
      }
      Renew(m, call.lease_until_ms);
    } else if (call.op == RunCallOp::kThrottle) {
      worker.paces[call.run] = call.percent;
    }
    return reply;
  }

  // Forgets the ends that a list call acknowledges, and renews the lease.
  RunCallReply TakeList(Machine& m, const RunCall& call) {
    RunCallReply reply = Accept(m, call);
    if (reply.refusal != RunRefusal::kNone) {
      return reply;
    }
    Worker& worker = m.worker;
    const bool has_lease = worker.lease_until_ms > worker.ClockMs(now_);
    std::erase_if(worker.ended, [&](const auto& end) {
      if (end.first.number > call.last_committed_end) {
        return false;
      }
      Write(NameOf(end.first.run.task), "end is acknowledged");
      // A lease that lapsed in between stands for good.
      if (end.first.reason == RunEndReason::kDone && has_lease &&
          worker.lease_since <= end.second) {
        NoteEnd(end.first, worker.life, "acknowledged");
      }
      return true;
    });
    Renew(m, call.lease_until_ms);
    return reply;
  }

  void List(Machine& m, const Call& call) {
    const RunCallReply reply = TakeList(m, call.body);
    if (reply.refusal != RunRefusal::kNone) {
      Answer(m, call, reply);
      return;
    }
    Worker& worker = m.worker;
    worker.polls.push_back(call);
    if (!worker.ended.empty()) {
      AnswerPolls(m);
      return;
    }
    AtWorker(m, Millis(call.body.wait_ms), [this, &m, number = call.number] {
      if (std::any_of(m.worker.polls.begin(), m.worker.polls.end(),
                      [&](const Call& it) { return it.number == number; })) {
        AnswerPolls(m);
      }
    });
  }

  void AnswerPolls(Machine& m) {
    for (const Call& call : std::exchange(m.worker.polls, {})) {
      RunCallReply reply = Accept(m, call.body);
      // The call was accepted as it came. The lists name the worker's start.
      reply.refusal = RunRefusal::kNone;
      if (call.body.incarnation != m.worker.info.life) {
        reply.refusal = RunRefusal::kOtherIncarnation;
      } else {
        for (const auto& [run, times] : m.worker.runs) {
          reply.running.push_back(RowOf(m.worker, run, times));
        }
        for (const auto& [row, at] : m.worker.ended) {
          reply.ended.push_back(row);
        }
      }
      Answer(m, call, std::move(reply));
    }
  }

  // Returns the entry of an active run in its worker's list.
  RunStatus RowOf(const Worker& worker,
                  const RunRef& run,
                  const std::pair<Time, Duration>& times) {
    const StepSpec& step = *table_.FindStep(run.task);
    RunStatus row{run, "", 100 * (now_ - times.first) / times.second, 0};
    if (step.long_running) {
      row.percent = now_ - times.first >= kAvailableAfter ? kFullPercent : 0;
    }
    if (step.best_effort) {
      row.measurement = UsedMillis(worker, run, step);
    } else if (step.latency_target_ms > 0) {
      std::int64_t filling = 0;
      for (const auto& [other, other_times] : worker.runs) {
        const StepSpec& other_step = *table_.FindStep(other.task);
        filling +=
            other_step.best_effort ? UsedMillis(worker, other, other_step) : 0;
      }
      row.measurement =
          kBaseLatencyMs +
          kMaxAddedLatencyMs * filling /
              std::max<std::int64_t>(worker.info.capacity.cpu_millis, 1);
    }
    return row;
  }

  // Returns what a best-effort run uses at its CPU share.
  static std::int64_t UsedMillis(const Worker& worker,
                                 const RunRef& run,
                                 const StepSpec& step) {
    const auto pace = worker.paces.find(run);
    const std::int64_t percent =
        pace == worker.paces.end() ? kFullPercent : pace->second;
    return step.needs.cpu_millis * percent / kFullPercent;
  }

  void BeginRun(Machine& m, const RunRef& run, bool is_late) {
    ++result_.starts;
    WriteRun(m, run, "starts");
    CheckStart(m, run, is_late);
    NoteOffer(m, run.task);
    judge_.OnRun(now_, run.task);
    if (tasks_[run.task].is_deadly) {
      AtWorker(m, Between(2, 20),
               [this, &m, task = run.task] { CrashBy(m, task); });
      m.worker.runs[run] = {now_, Millis(1000)};
      return;
    }
    const auto [reason, length] = FateOf(m.worker, run);
    m.worker.runs[run] = {now_, length};
    AtWorker(m, length,
             [this, &m, run, reason = reason] { EndRun(m, run, reason); });
  }

  // Draws how a run ends unless it is stopped, and when.
  std::pair<RunEndReason, Duration> FateOf(const Worker& worker,
                                           const RunRef& run) {
    const StepSpec& step = *table_.FindStep(run.task);
    const bool is_long = step.long_running || step.best_effort;
    if (worker.grey_until > now_ || tasks_[run.task].always_fails) {
      return {RunEndReason::kFailed, Between(50, 400)};
    }
    if (faults_.failing_tasks && Chance(is_long ? 40 : 10)) {
      return {RunEndReason::kFailed, Between(50, is_long ? 10000 : 1500)};
    }
    if (step.long_running || step.estimate_ms == kHourMs) {
      return {RunEndReason::kDone, Millis(kHourMs)};
    }
    if (faults_.long_tasks && !step.best_effort && Chance(50)) {
      return {RunEndReason::kDone, Between(3000, 12000)};
    }
    return {RunEndReason::kDone, step.best_effort
                                     ? Between(1000, kMaxBestEffortRunMs)
                                     : Between(200, 3000)};
  }

  void EndRun(Machine& m, const RunRef& run, RunEndReason reason) {
    Worker& worker = m.worker;
    if (worker.runs.erase(run) == 0) {
      return;
    }
    WriteRun(m, run, std::string("ends as ") + ToString(reason));
    judge_.OnRun(now_, run.task);
    worker.paces.erase(run);
    std::int64_t& barred = worker.barred[run.task];
    barred = std::max(barred, run.run);
    worker.ended.push_back({{++worker.last_end, run, reason, ""}, now_});
    if (reason == RunEndReason::kDone) {
      tasks_[run.task].done.push_back(
          {worker.life, worker.last_end, now_, "", {}});
    } else if (reason == RunEndReason::kFailed) {
      ++result_.faults;
      ++tasks_[run.task].failures;
    }
    AnswerPolls(m);
    if (worker.is_departing && worker.runs.empty()) {
      Depart(m);
    }
  }

  // Drains a worker, which leaves as its last run ends or, at last, with runs.
  void Leave(Machine& m) {
    if (!m.worker.is_up || m.worker.info.draining) {
      return;
    }
    ++result_.faults;
    Write("", "drain of " + NameOf(m.worker.info.life));
    m.worker.info.draining = true;
    Report(m);
    AtWorker(m, Between(2000, 2300), [this, &m] {
      m.worker.is_departing = true;
      if (m.worker.runs.empty()) {
        Depart(m);
      }
    });
    AtWorker(m, Between(2050, 3500), [this, &m] { Depart(m); });
  }

  // Announces the shutdown. Without an acknowledgement the worker goes on for a
  // while.
  void Depart(Machine& m) {
    if (std::exchange(m.worker.has_announced, true)) {
      return;
    }
    const std::string id = m.worker.info.life.id;
    const bool is_cut = m.worker_cut_until > now_;
    if (!is_cut) {
      TellAgent(m, Between(1, Chance(20) ? 30 : 3), m.agent_life,
                [this, &m, id] { m.agent->OnLeave(now_, id); });
    }
    const bool is_acknowledged = !is_cut && m.agent && Chance(75);
    Write("", "leave of " + NameOf(m.worker.info.life) +
                  (is_acknowledged ? "" : ", not acknowledged"));
    AtWorker(m, is_acknowledged ? Between(0, 10) : Between(200, 3000),
             [this, &m, id] {
               EndLife(m, Between(500, 4000), Chance(50) ? id : NextId());
             });
  }

  // --- Faults ---

  void PlanFaults() {
    if (faults_.leaves) {
      Repeat(2500, [this] { Leave(AnyMachine()); });
    }
    Plan(faults_.leader_changes, 7000, [this] { ChangeLeader(); });
    Plan(faults_.cuts, 5000, [this] {
      Machine& m = AnyMachine();
      ++m.connection;
      const Duration span = Between(100, Chance(30) ? 6000 : 1000);
      m.cut_until = std::max(m.cut_until, now_ + span);
      Disturb(span, "cut of " + m.name);
    });
    Plan(faults_.worker_restarts, 7000, [this] {
      Machine& m = AnyMachine();
      if (m.worker.is_up) {
        const Duration pause = Between(300, 3000);
        Disturb(pause, "crash of " + NameOf(m.worker.info.life));
        Crash(m, pause);
      }
    });
    Plan(faults_.agent_restarts, 6000, [this] { RestartAgent(AnyMachine()); });
    Plan(faults_.late_orders, 5000, [this] {
      const Duration span = Between(300, 1500);
      storm_until_ = now_ + span;
      Disturb(span, "late orders");
    });
    Plan(faults_.capacity_changes, 2500,
         [this] { ChangeCapacity(AnyMachine()); });
    if (faults_.grey_workers) {
      Repeat(8000, [this] {
        Machine& m = AnyMachine();
        const Duration span = Between(2000, 8000);
        ++result_.faults;
        m.worker.grey_until = now_ + span;
        Write("", NameOf(m.worker.info.life) + " fails all for " +
                      std::to_string(ToMillis(span)) + " ms");
      });
    }
    if (faults_.foreign_reports) {
      Repeat(3000, [this] { ReportForeign(AnyMachine()); });
    }
    if (MayBeLate()) {
      Repeat(5000, [this] { BeginCallStorm(Between(300, 1500)); });
    }
    if (faults_.restart_cuts) {
      Repeat(8000, [this] { RestartAndCut(AnyMachine()); });
    }
    Plan(faults_.silent_lists, 5000, [this] {
      const Duration span = Between(300, 1500);
      silent_until_ = now_ + span;
      Disturb(span, "silent lists");
    });
  }

  // Begins a series of faults. The more kinds there are, the more of them are
  // sparse, so that every world has calm times.
  void Plan(bool is_on, std::int64_t longest_pause_ms, const Work& fault) {
    const std::vector<bool> kinds = {
        faults_.leader_changes,  faults_.cuts,        faults_.worker_restarts,
        faults_.agent_restarts,  faults_.late_orders, faults_.silent_lists,
        faults_.capacity_changes};
    const auto count = static_cast<std::uint64_t>(
        std::count(kinds.begin(), kinds.end(), true));
    if (is_on) {
      const std::uint64_t factor = 1 + random_.NextBelow(kSparsest * count);
      Repeat(static_cast<std::int64_t>(factor) * longest_pause_ms, fault);
    }
  }

  void Repeat(std::int64_t longest_pause_ms, const Work& fault) {
    At(Between(500, longest_pause_ms), [this, longest_pause_ms, fault] {
      if (now_ < kFaultsEnd) {
        fault();
        Repeat(longest_pause_ms, fault);
      }
    });
  }

  // Keeps the time of a fault from counting as calm. A leave is none.
  void Disturb(Duration span, const std::string& what) {
    ++result_.faults;
    calm_at_ = std::max(calm_at_, now_ + span + kCalmAfter);
    Write("", what + " for " + std::to_string(ToMillis(span)) + " ms");
  }

  void BeginCallStorm(Duration span) {
    call_storm_until_ = std::max(call_storm_until_, now_ + span);
    Disturb(span, "late calls");
  }

  // Crashes a worker, twice if so drawn, and cuts the incarnation that follows
  // off from its agent.
  void RestartAndCut(Machine& m) {
    if (!m.worker.is_up) {
      return;
    }
    Duration delay{};
    if (MayBeLate() && Chance(50)) {
      delay = Between(50, 500);
      BeginCallStorm(delay);
    }
    const int crashes = faults_.double_restarts && Chance(60) ? 2 : 1;
    for (int i = 0; i < crashes; ++i) {
      const Duration pause = Between(100, 900);
      At(delay, [this, &m, pause] {
        if (m.worker.is_up) {
          Disturb(pause, "crash of " + NameOf(m.worker.info.life));
          Crash(m, pause);
        }
      });
      if (faults_.joint_restarts && Chance(60)) {
        At(delay + Between(0, ToMillis(pause)),
           [this, &m] { RestartAgent(m); });
      }
      delay += pause + Between(50, 900);
    }
    At(delay + Between(0, 1500), [this, &m] {
      const Duration span = Between(1000, 12000);
      m.worker_cut_until = std::max(m.worker_cut_until, now_ + span);
      Disturb(span, "cut of " + NameOf(m.worker.info.life) + " from its agent");
    });
    if (faults_.leader_changes && Chance(40)) {
      At(Between(0, 6000), [this] { ChangeLeader(); });
    }
  }

  void ChangeLeader() {
    if (leader_) {
      leader_.reset();
      log_.resize(random_.NextBelow(log_.size() + 1));
      const Duration outage = Between(200, 3000);
      Disturb(outage, "no leader");
      At(outage, [this] { StartLeader(); });
    }
  }

  void RestartAgent(Machine& m) {
    if (m.agent) {
      m.agent.reset();
      ++m.connection;
      const Duration outage = Between(100, 2000);
      Disturb(outage, "no agent on " + m.name);
      At(outage, [this, &m] {
        m.agent = std::make_unique<WorkerAgent>(MaxLease());
        ++m.agent_life;
      });
    }
  }

  Machine& AnyMachine() {
    return machines_[random_.NextBelow(machines_.size())];
  }

  // --- Checks ---

  // Returns whether the resources fit a capacity that is in force: the present
  // one or, until a change has to be known, an earlier one.
  bool FitsInForce(const Machine& m, const Resources& needs, bool is_late) {
    return Fits(needs, m.worker.info.capacity) ||
           std::any_of(m.worker.shrunk.begin(), m.worker.shrunk.end(),
                       [&](const auto& item) {
                         return (is_late || now_ <= item.second) &&
                                Fits(needs, item.first);
                       });
  }

  void CheckStart(const Machine& m, const RunRef& run, bool is_late) {
    const StepSpec& step = *table_.FindStep(run.task);
    Resources reserved = ReservedResources(step);
    int others = 0;
    for (const Machine& other : machines_) {
      for (const auto& [active, times] : other.worker.runs) {
        if (active.task == run.task) {
          ++others;
        }
        if (&other == &m) {
          reserved += ReservedResources(*table_.FindStep(active.task));
        }
      }
    }
    result_.copies += others > 0 ? 1 : 0;
    if (others > (step.speculative ? 1 : 0)) {
      Complain(NameOf(run.task),
               step.speculative ? "three runs at once" : "two runs at once");
    }
    if (!FitsInForce(m, reserved, is_late)) {
      Complain(NameOf(run.task), "more reserved than the capacity");
    }
    TaskRecord& record = tasks_[run.task];
    if (record.crashes >= kCrashesUntilBudget && !is_late &&
        ++record.starts_after_crashes > kMaxStartsAfterCrashes) {
      Complain(NameOf(run.task), "started again after three crashes");
    }
    record.last_start = now_;
    for (const DoneEnd& end : record.done) {
      const bool is_allowed =
          step.speculative && now_ <= end.noted_at + kMaxLateCopy;
      if (!end.noted.empty() && !is_allowed) {
        Complain(NameOf(run.task),
                 "a start after an end that was " + end.noted);
      }
    }
  }

  // Records that a worker's end was taken note of, which holds from its time.
  void NoteEnd(const EndedRun& row, std::uint64_t life, const char* how) {
    TaskRecord& record = tasks_[row.run.task];
    for (DoneEnd& end : record.done) {
      if (end.worker_life == life && end.number == row.number &&
          end.noted.empty()) {
        end.noted = how;
        end.noted_at = now_;
        if (record.last_start >= end.at &&
            !table_.FindStep(row.run.task)->speculative) {
          Complain(NameOf(row.run.task),
                   "a start after an end that was later " + end.noted);
        }
      }
    }
  }

  // Judges the long-running tasks at each moment. Room that the leader may not
  // know of doesn't count: that of a worker that has just booted, and more than
  // the lower capacity just after a change.
  void JudgeLongRunning() {
    std::vector<RealWorker> workers;
    for (const Machine& m : machines_) {
      const Worker& worker = m.worker;
      RealWorker& real = workers.emplace_back();
      real.name = NameOf(worker.info.life);
      real.labels = worker.info.labels;
      real.is_usable = worker.is_up && !worker.info.draining &&
                       worker.up_since + kBootKnownAfter <= now_;
      real.free = worker.info.capacity;
      if (worker.changed && worker.changed->second >= now_) {
        real.free = Min(real.free, worker.changed->first);
      }
      for (const auto& [run, times] : worker.runs) {
        real.free -= ReservedResources(*table_.FindStep(run.task));
        real.running.push_back(run.task);
      }
    }
    for (const LongRunningJudge::Violation& violation :
         judge_.Check(now_, calm_at_ - kCalmAfter, workers)) {
      Complain(NameOf(violation.task), violation.text);
    }
    At(kJudgeInterval, [this] { JudgeLongRunning(); });
  }

  // Returns whether a task of the graph failed as often as its queue allows, or
  // may be suspected of the crashes of its workers.
  bool HasExhaustedAttempts(const Graph& graph, const std::string& id) {
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& item) {
      return item.first.graph == id &&
             (item.second.failures >= graph.queue.max_attempts ||
              item.second.crashes_beside >= kCrashesUntilSuspect);
    });
  }

  // Returns the state that a graph has to be in; the present one if that is
  // allowed beside another.
  GraphState ExpectedState(const SubmitGraph& submit, const Graph& graph) {
    const StepSpec& step = submit.spec.steps.front();
    if (cancelled_.contains(submit.id)) {
      return GraphState::kCancelled;
    }
    if (step.long_running) {
      return IsFinal(graph.state) ? GraphState::kRunning : graph.state;
    }
    if (std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& item) {
          return item.second.is_deadly && item.first.graph == submit.id;
        })) {
      return GraphState::kFailed;
    }
    const bool may_be_failed = HasExhaustedAttempts(graph, submit.id);
    const bool is_allowed =
        (may_be_failed && graph.state == GraphState::kFailed) ||
        (step.best_effort && !IsFinal(graph.state));
    return is_allowed ? graph.state : GraphState::kCompleted;
  }

  void CheckSettled() {
    for (const SubmitGraph& submit : graphs_) {
      const Graph* graph = table_.FindGraph(submit.id);
      const GraphState expected = graph == nullptr
                                      ? GraphState::kCompleted
                                      : ExpectedState(submit, *graph);
      if (graph == nullptr || graph->state != expected) {
        Complain(submit.id, std::string("not ") + ToString(expected));
        continue;
      }
      if (graph->state != GraphState::kCompleted) {
        continue;
      }
      for (std::size_t s = 0; s < submit.spec.steps.size(); ++s) {
        for (std::int64_t i = 0; i < submit.spec.steps[s].count; ++i) {
          const TaskRef task{submit.id, 0, static_cast<std::int64_t>(s), i};
          if (tasks_[task].done.empty()) {
            Complain(NameOf(task), "completed without an end as done");
          }
        }
      }
    }
  }

  // Records a violation with the last lines of its task and the last other
  // ones.
  void Complain(const std::string& task, const std::string& what) {
    const auto is_other = [](const Line& line) { return line.task.empty(); };
    const auto is_own = [&](const Line& line) {
      return line.task == task || line.task.starts_with(task + ".") ||
             (!line.task.empty() && task.starts_with(line.task + "."));
    };
    auto others = std::count_if(history_.begin(), history_.end(), is_other);
    auto own = std::count_if(history_.begin(), history_.end(), is_own);
    std::string lines;
    for (const Line& line : history_) {
      if ((is_own(line) && own-- <= kOwnLines) ||
          (is_other(line) && others-- <= kOtherLines)) {
        lines += TextOf(line);
      }
    }
    result_.violations.push_back(task + ": " + what + "\n" + lines);
  }

  static std::string TextOf(const Line& line) {
    return "  " + std::to_string(ToMillis(line.at - kStart)) + " ms " +
           line.task + " " + line.text + "\n";
  }

  void Write(const std::string& task, std::string text) {
    history_.push_back({now_, task, std::move(text)});
  }

  void WriteRun(const Machine& m, const RunRef& run, const std::string& what) {
    Write(NameOf(run.task), "run " + std::to_string(run.run) + " " + what +
                                " at " + NameOf(m.worker.info.life));
  }

  // Records the product's events about runs and workers.
  void WriteEvents(const Events& events) {
    for (const Event& event : events) {
      result_.preemptions += event.id() == EventId::kRunPreempted ? 1 : 0;
      const std::string graph = event.Field("request");
      if (graph.empty() || !event.Field("run").empty()) {
        Write(graph.empty() ? ""
                            : graph + "." + event.Field("step") + "." +
                                  event.Field("task"),
              event.text());
      } else if (faults_.long_running) {
        Write(graph, event.text());
      }
    }
  }

  GraphFaults faults_;
  Random random_;
  Time now_ = kStart;
  std::uint64_t next_order_ = 0;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  GraphTable table_;
  std::deque<std::pair<std::uint64_t, Command>> log_;
  Time last_commit_at_;
  std::unique_ptr<GraphLeader> leader_;
  // The admissions of incarnations, with their times.
  std::vector<std::pair<Time, GraphApplyResult>> admissions_;
  std::uint64_t fencing_token_ = 6;
  Time next_decision_;
  std::deque<Machine> machines_;
  std::uint64_t lives_ = 0;
  std::uint64_t ids_ = 0;
  // Until when orders may get no answer.
  Time storm_until_;
  // Until when lists may get no answer.
  Time silent_until_;
  // Until when calls of each kind may get no answer.
  Time call_storm_until_;
  // No time before this one is calm.
  Time calm_at_;
  std::vector<SubmitGraph> graphs_;
  std::set<std::string> cancelled_;
  LongRunningJudge judge_;
  std::map<TaskRef, TaskRecord> tasks_;
  std::vector<Line> history_;
  GraphWorldResult result_;
};

}  // namespace

GraphWorldResult PlayGraphWorld(const GraphFaults& faults, std::uint64_t seed) {
  return GraphWorld(faults, seed).Run();
}

}  // namespace banyan
