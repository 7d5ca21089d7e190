#include "tests/support/graph_world.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "tests/support/graph_samples.h"

namespace banyan {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};
constexpr Time kLoadEnd = kStart + std::chrono::seconds(20);
constexpr Time kFaultsEnd = kStart + std::chrono::seconds(24);
// The last late order is carried out 12 s after the faults; several leases
// follow.
constexpr Time kEnd = kStart + std::chrono::seconds(60);
constexpr Duration kAgentTick = Millis(25);
constexpr Duration kBusyDecision = Millis(10);
constexpr Duration kIdleDecision = Millis(100);
constexpr Duration kBeat = Millis(1000);
constexpr Duration kOrderTimeout = Millis(500);
constexpr Duration kSubmitRetry = Millis(500);
// An end that was listed in calm time counts as noted after this time.
constexpr Duration kNotedAfter = Millis(100);
// Time is calm again so long after a fault.
constexpr Duration kCalmAfter = Millis(3000);
constexpr std::int64_t kMaxLeaseMs = 6000;
constexpr double kMaxClockLag = 0.02;
constexpr std::size_t kHistoryLines = 40;

std::string NameOf(const TaskRef& task) {
  return task.graph + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

std::string NameOf(const WorkerIncarnation& worker) {
  return worker.id + "@" + std::to_string(worker.started_at_ms);
}

}  // namespace

GraphWorld::GraphWorld(GraphFaults faults, std::uint64_t seed)
    : faults_(faults), random_(seed) {}

void GraphWorld::Run() {
  constexpr std::uint64_t kFewest = 3;
  constexpr std::uint64_t kMost = 6;
  const std::uint64_t count = kFewest + random_.NextBelow(kMost - kFewest + 1);
  Apply(InstallPlan{SamplePlan()});
  StartLeader();
  for (std::uint64_t i = 0; i < count; ++i) {
    Machine& m = machines_.emplace_back();
    m.name = "side-" + std::to_string(i);
    m.agent = std::make_unique<WorkerAgent>();
    Boot(m, "w" + std::to_string(i));
  }
  TickLeader();
  TickAgents();
  for (Time at = kStart; at < kLoadEnd; at += Between(200, 900)) {
    const auto step = [&] {
      return SampleStep(
          1 + static_cast<std::int64_t>(random_.NextBelow(4)),
          500 * (1 + static_cast<std::int64_t>(random_.NextBelow(4))));
    };
    std::vector<StepSpec> steps{step()};
    if (Chance(50)) {
      steps.push_back(step());
      steps.back().depends_on = {0};
    }
    const std::string id = "g" + std::to_string(graphs_.size());
    graphs_.insert(id);
    At(at - kStart,
       [this, graph = SampleGraph(id, std::move(steps))] { Submit(graph); });
  }
  if (faults_.leaves) {
    Series(2500, [this] { Leave(AnyMachine()); });
  }
  if (faults_.leader_changes) {
    Series(7000, [this] { ChangeLeader(); });
  }
  if (faults_.cuts) {
    Series(5000, [this] {
      Machine& m = AnyMachine();
      const Duration span = Between(100, Chance(30) ? 6000 : 1000);
      Write("", "cut of " + m.name + " for " + std::to_string(ToMillis(span)));
      ++m.connection;
      m.cut_until = std::max(m.cut_until, now_ + span);
      Disturb(span);
    });
  }
  if (faults_.worker_restarts) {
    Series(7000, [this] {
      Machine& m = AnyMachine();
      const Duration pause = Between(300, 3000);
      if (m.worker.is_up) {
        Write("", "crash of " + NameOf(m.worker.info.life));
        Disturb(pause);
        EndLife(m, pause, m.worker.info.life.id);
      }
    });
  }
  if (faults_.agent_restarts) {
    Series(6000, [this] { RestartAgent(AnyMachine()); });
  }
  if (faults_.late_orders) {
    Series(5000, [this] {
      const Duration span = Between(300, 1500);
      Write("", "orders are late for " + std::to_string(ToMillis(span)));
      storm_until_ = now_ + span;
      Disturb(span);
    });
  }
  RunUntil(kEnd);
  CheckSettled();
}

void GraphWorld::At(Duration delay, std::function<void()> run) {
  actions_.push({now_ + delay, next_order_++, std::move(run)});
}

void GraphWorld::AtWorker(Machine& m,
                          Duration delay,
                          std::function<void()> run) {
  At(delay, [&m, life = m.worker.life, run = std::move(run)] {
    if (m.worker.life == life && m.worker.is_up) {
      run();
    }
  });
}

void GraphWorld::RunUntil(Time end) {
  while (!actions_.empty() && actions_.top().at <= end) {
    const Action action = actions_.top();
    actions_.pop();
    now_ = action.at;
    action.run();
  }
}

Duration GraphWorld::Between(std::int64_t low_ms, std::int64_t high_ms) {
  const auto span =
      static_cast<std::uint64_t>(Millis(high_ms - low_ms).count());
  return Millis(low_ms) + Duration(random_.NextBelow(span + 1));
}

bool GraphWorld::Chance(std::uint64_t percent) {
  return random_.NextBelow(100) < percent;
}

void GraphWorld::Propose(Command command) {
  const std::uint64_t number = next_proposal_++;
  log_.push_back({number, std::move(command)});
  last_commit_at_ = std::max(last_commit_at_, now_ + Between(2, 40));
  At(last_commit_at_ - now_, [this, number] { Commit(number); });
}

void GraphWorld::Commit(std::uint64_t number) {
  // A proposal that was lost is not in the log any more.
  if (!log_.empty() && log_.front().number == number) {
    const Command command = std::move(log_.front().command);
    log_.pop_front();
    Apply(command);
  }
}

void GraphWorld::Apply(const Command& command) {
  const GraphApplyResult applied = std::visit(
      [&](const auto& body) {
        if constexpr (requires { table_.Apply(body, kGraphStart); }) {
          return table_.Apply(body, kGraphStart + ToMillis(now_ - kStart));
        } else {
          return GraphApplyResult{};
        }
      },
      command);
  WriteEvents(applied.events);
  if (leader_) {
    leader_->OnApplied(now_, table_, command, applied);
    FlushLeader();
  }
}

void GraphWorld::StartLeader() {
  leader_ = std::make_unique<GraphLeader>(GraphLeaderOptions{});
  leader_->Reset(now_, table_, ++fencing_token_);
  Write("", "leader " + std::to_string(fencing_token_));
}

void GraphWorld::TickLeader() {
  if (leader_ && now_ >= next_decision_) {
    next_decision_ =
        now_ + (table_.ready_graphs().empty() ? kIdleDecision : kBusyDecision);
    leader_->Decide(now_, kGraphStart + ToMillis(now_ - kStart), table_);
    FlushLeader();
  }
  At(kBusyDecision, [this] { TickLeader(); });
}

void GraphWorld::FlushLeader() {
  GraphLeaderOutputs outputs = leader_->TakeOutputs();
  WriteEvents(outputs.events);
  for (Command& command : outputs.proposals) {
    Propose(std::move(command));
  }
  for (Outbound& order : outputs.orders) {
    const auto m = std::find_if(
        machines_.begin(), machines_.end(),
        [&](const Machine& machine) { return machine.name == order.to; });
    if (m->cut_until > now_) {
      continue;
    }
    TellAgent(*m, InOrder(m->last_to_agent), m->agent_life,
              [this, m, connection = m->connection,
               orders = std::get<WorkerOrders>(std::move(order.message))](
                  WorkerAgent& agent) {
                if (m->connection == connection) {
                  static_cast<void>(agent.OnOrders(now_, orders));
                }
              });
  }
}

void GraphWorld::Submit(const SubmitGraph& graph) {
  if (table_.FindGraph(graph.id) != nullptr) {
    return;
  }
  if (leader_) {
    Propose(graph);
  }
  At(kSubmitRetry, [this, graph] { Submit(graph); });
}

void GraphWorld::TickAgents() {
  for (Machine& m : machines_) {
    if (m.agent) {
      m.agent->Tick(now_);
      FlushAgent(m);
    }
  }
  At(kAgentTick, [this] { TickAgents(); });
}

void GraphWorld::TellAgent(Machine& m,
                           Duration delay,
                           std::uint64_t agent_life,
                           std::function<void(WorkerAgent&)> tell) {
  At(delay, [this, &m, agent_life, tell = std::move(tell)] {
    if (m.agent && m.agent_life == agent_life) {
      tell(*m.agent);
      FlushAgent(m);
    }
  });
}

void GraphWorld::FlushAgent(Machine& m) {
  WorkerAgentOutputs outputs = m.agent->TakeOutputs();
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
    CallWorker(m, call);
  }
}

Duration GraphWorld::InOrder(Time& last) {
  last = std::max(last, now_ + Between(1, 10));
  return last - now_;
}

void GraphWorld::Boot(Machine& m, const std::string& id) {
  m.worker = Worker{};
  m.worker.info = SampleWorker(id, kGraphStart + ToMillis(now_ - kStart));
  m.worker.life = ++lives_;
  m.worker.is_up = true;
  m.worker.booted_at = now_ - Between(0, 5000);
  m.worker.clock_rate = 1 - kMaxClockLag * random_.NextDouble();
  Write("", "boot of " + NameOf(m.worker.info.life) + " on " + m.name);
  Beat(m);
}

void GraphWorld::EndLife(Machine& m,
                         Duration pause,
                         const std::string& next_id) {
  m.worker.is_up = false;
  for (const auto& [run, active] : m.worker.runs) {
    Write(NameOf(run.task), "is gone with " + NameOf(m.worker.info.life));
  }
  m.worker.runs.clear();
  for (const Poll& poll : std::exchange(m.worker.polls, {})) {
    RunCallReply reply = MakeUnansweredReply(poll.call);
    reply.sent_at = poll.sent_at;
    Answer(m, std::move(reply), poll.agent_life);
  }
  At(pause, [this, &m, next_id] { Boot(m, next_id); });
}

void GraphWorld::Report(Machine& m) {
  WorkerReport report;
  report.info = m.worker.info;
  report.sequence = ++m.worker.sequence;
  report.clock_ms = ClockMs(m.worker);
  const bool is_late = faults_.late_reports && Chance(10) && now_ < kFaultsEnd;
  TellAgent(
      m, is_late ? Between(200, 3000) : Between(1, 10), m.agent_life,
      [this, report](WorkerAgent& agent) { agent.OnReport(now_, report); });
}

void GraphWorld::Beat(Machine& m) {
  Report(m);
  AtWorker(m, kBeat, [this, &m] { Beat(m); });
}

std::int64_t GraphWorld::ClockMs(const Worker& worker) const {
  return static_cast<std::int64_t>(
      worker.clock_rate *
      static_cast<double>(ToMillis(now_ - worker.booted_at)));
}

void GraphWorld::Renew(Machine& m, std::int64_t until_ms) {
  Worker& worker = m.worker;
  const std::int64_t clock_ms = ClockMs(worker);
  until_ms = std::min(until_ms, clock_ms + kMaxLeaseMs);
  if (until_ms <= std::max(clock_ms, worker.lease_until_ms)) {
    return;
  }
  if (worker.lease_until_ms <= clock_ms) {
    worker.lease_since = now_;
  }
  worker.lease_until_ms = until_ms;
  const double wait_ms =
      static_cast<double>(until_ms - clock_ms + 2) / worker.clock_rate;
  AtWorker(m, Millis(static_cast<std::int64_t>(wait_ms)), [this, &m] {
    while (m.worker.lease_until_ms <= ClockMs(m.worker) &&
           !m.worker.runs.empty()) {
      EndRun(m, m.worker.runs.begin()->first, RunEndReason::kLeaseExpired);
    }
  });
}

void GraphWorld::CallWorker(Machine& m, const RunCall& call) {
  Poll poll{call, now_, m.agent_life, ++polls_};
  if (call.op != RunCallOp::kListRuns && storm_until_ > now_ && Chance(40)) {
    const Duration delay = Chance(70) ? Between(2000, 12000) : Between(1, 5);
    Write(NameOf(call.run.task), "gets no answer to an order");
    AtWorker(m, delay,
             [this, &m, call] { static_cast<void>(CarryOut(m, call)); });
    At(kOrderTimeout, [this, &m, poll] {
      Answer(m, MakeUnansweredReply(poll.call), poll.agent_life);
    });
    return;
  }
  At(Between(1, 5), [this, &m, poll] {
    if (m.worker.is_up && poll.call.op == RunCallOp::kListRuns) {
      List(m, poll);
      return;
    }
    RunCallReply reply = m.worker.is_up ? CarryOut(m, poll.call)
                                        : MakeUnansweredReply(poll.call);
    reply.sent_at = poll.sent_at;
    Answer(m, std::move(reply), poll.agent_life);
  });
}

void GraphWorld::Answer(Machine& m,
                        RunCallReply reply,
                        std::uint64_t agent_life) {
  const auto tell = [this, reply = std::move(reply),
                     life = m.worker.life](WorkerAgent& agent) {
    RunCallReply received = reply;
    received.received_at = now_;
    for (const EndedRun& row : reply.ended) {
      Write(NameOf(row.run.task), "end is listed");
      At(kNotedAfter, [this, row, life] {
        if (row.reason == RunEndReason::kDone && now_ >= calm_at_) {
          NoteEnd(row.run.task, life, row.number);
        }
      });
    }
    agent.OnReply(now_, received);
  };
  TellAgent(m, Between(1, Chance(20) ? 30 : 3), agent_life, tell);
}

RunCallReply GraphWorld::CarryOut(Machine& m, const RunCall& call) {
  Worker& worker = m.worker;
  RunCallReply reply = MakeUnansweredReply(call);
  reply.answered = true;
  reply.clock_ms = ClockMs(worker);
  // The id is checked, the time of the start isn't.
  if (call.incarnation.id != worker.info.life.id) {
    reply.refusal = RunRefusal::kOtherIncarnation;
    return reply;
  }
  if (call.fencing_token < worker.fencing_token) {
    reply.refusal = RunRefusal::kFenced;
    return reply;
  }
  worker.fencing_token = call.fencing_token;
  std::int64_t& barred = worker.barred[call.run.task];
  const std::int64_t until_ms = call.lease_until_ms.value_or(0);
  if (call.op == RunCallOp::kStop) {
    Write(NameOf(call.run.task), "stop of run " + std::to_string(call.run.run) +
                                     " at " + NameOf(worker.info.life));
    barred = std::max(barred, call.run.run);
    AtWorker(m, Between(5, 200), [this, &m, run = call.run] {
      EndRun(m, run, RunEndReason::kStopped);
    });
  } else if (call.op == RunCallOp::kStart && !worker.runs.contains(call.run)) {
    if (barred >= call.run.run) {
      Renew(m, until_ms);
      reply.refusal = RunRefusal::kStaleRun;
    } else if (until_ms <= ClockMs(worker)) {
      reply.refusal = RunRefusal::kLeaseExpired;
    } else {
      Renew(m, until_ms);
      BeginRun(m, call.run);
    }
  }
  return reply;
}

void GraphWorld::List(Machine& m, Poll poll) {
  Worker& worker = m.worker;
  const RunCall& call = poll.call;
  const bool is_fenced = call.fencing_token < worker.fencing_token;
  if (is_fenced || call.incarnation.id != worker.info.life.id) {
    RunCallReply reply = MakeUnansweredReply(call);
    reply.answered = true;
    reply.refusal =
        is_fenced ? RunRefusal::kFenced : RunRefusal::kOtherIncarnation;
    reply.clock_ms = ClockMs(worker);
    reply.sent_at = poll.sent_at;
    Answer(m, std::move(reply), poll.agent_life);
    return;
  }
  worker.fencing_token = call.fencing_token;
  const bool has_lease = worker.lease_until_ms > ClockMs(worker);
  std::erase_if(worker.ended, [&](const ListedEnd& end) {
    if (end.row.number > call.last_committed_end) {
      return false;
    }
    Write(NameOf(end.row.run.task), "end is acknowledged");
    if (end.row.reason == RunEndReason::kDone && has_lease &&
        worker.lease_since <= end.at) {
      NoteEnd(end.row.run.task, worker.life, end.row.number);
    }
    return true;
  });
  Renew(m, call.lease_until_ms.value_or(0));
  const Duration wait = Millis(call.wait_ms);
  worker.polls.push_back(std::move(poll));
  if (!worker.ended.empty() || wait == Duration{}) {
    AnswerPolls(m);
    return;
  }
  AtWorker(m, wait, [this, &m, number = worker.polls.back().number] {
    const auto& polls = m.worker.polls;
    if (std::any_of(polls.begin(), polls.end(),
                    [&](const Poll& p) { return p.number == number; })) {
      AnswerPolls(m);
    }
  });
}

void GraphWorld::AnswerPolls(Machine& m) {
  const Worker& worker = m.worker;
  for (const Poll& poll : std::exchange(m.worker.polls, {})) {
    RunCallReply reply = MakeUnansweredReply(poll.call);
    reply.answered = true;
    reply.clock_ms = ClockMs(worker);
    reply.sent_at = poll.sent_at;
    if (poll.call.incarnation != worker.info.life) {
      // The lists name the time of the worker's start.
      reply.refusal = RunRefusal::kOtherIncarnation;
    } else {
      for (const auto& [run, active] : worker.runs) {
        RunStatus row;
        row.run = run;
        row.percent = kFullPercent * (now_ - active.first) / active.second;
        reply.running.push_back(std::move(row));
      }
      for (const ListedEnd& end : worker.ended) {
        reply.ended.push_back(end.row);
      }
    }
    Answer(m, std::move(reply), poll.agent_life);
  }
}

void GraphWorld::BeginRun(Machine& m, const RunRef& run) {
  ++starts_;
  Write(NameOf(run.task), "run " + std::to_string(run.run) + " starts at " +
                              NameOf(m.worker.info.life));
  CheckStart(m, run);
  tasks_[run.task].starts.push_back(now_);
  const Duration length = Between(200, 3000);
  m.worker.runs[run] = {now_, length};
  AtWorker(m, length, [this, &m, run] { EndRun(m, run, RunEndReason::kDone); });
}

void GraphWorld::EndRun(Machine& m, const RunRef& run, RunEndReason reason) {
  Worker& worker = m.worker;
  if (worker.runs.erase(run) == 0) {
    return;
  }
  Write(NameOf(run.task), "run " + std::to_string(run.run) + " ends as " +
                              ToString(reason) + " at " +
                              NameOf(worker.info.life));
  std::int64_t& barred = worker.barred[run.task];
  barred = std::max(barred, run.run);
  worker.ended.push_back({{++worker.last_end, run, reason, ""}, now_});
  if (reason == RunEndReason::kDone) {
    tasks_[run.task].done.push_back({worker.life, worker.last_end, now_});
  }
  AnswerPolls(m);
  if (worker.is_departing && worker.runs.empty()) {
    Depart(m);
  }
}

void GraphWorld::Leave(Machine& m) {
  if (!m.worker.is_up || m.worker.info.draining) {
    return;
  }
  ++fault_count_;
  Write("", "drain of " + NameOf(m.worker.info.life));
  m.worker.info.draining = true;
  Report(m);
  // From then on it leaves as its last run ends; at last, with active runs.
  AtWorker(m, Between(2000, 2600), [this, &m] {
    m.worker.is_departing = true;
    if (m.worker.runs.empty()) {
      Depart(m);
    }
  });
  AtWorker(m, Between(2600, 6000), [this, &m] { Depart(m); });
}

void GraphWorld::Depart(Machine& m) {
  if (std::exchange(m.worker.has_announced, true)) {
    return;
  }
  const std::string id = m.worker.info.life.id;
  TellAgent(m, Between(1, Chance(20) ? 30 : 3), m.agent_life,
            [this, id](WorkerAgent& agent) { agent.OnLeave(now_, id); });
  // Without an acknowledgement it goes on for a while.
  const bool is_acknowledged = m.agent && Chance(80);
  Write("", "leave of " + NameOf(m.worker.info.life) +
                (is_acknowledged ? "" : ", not acknowledged"));
  AtWorker(m, is_acknowledged ? Between(0, 10) : Between(200, 3000),
           [this, &m, id] {
             Write("", "end of " + NameOf(m.worker.info.life));
             EndLife(m, Between(500, 4000),
                     Chance(50)
                         ? id
                         : id.substr(0, 2) + "-" + std::to_string(lives_ + 1));
           });
}

void GraphWorld::Series(std::int64_t longest_pause_ms,
                        std::function<void()> fault) {
  At(Between(500, longest_pause_ms),
     [this, longest_pause_ms, fault = std::move(fault)] {
       if (now_ < kFaultsEnd) {
         fault();
         Series(longest_pause_ms, fault);
       }
     });
}

void GraphWorld::Disturb(Duration span) {
  ++fault_count_;
  calm_at_ = std::max(calm_at_, now_ + span + kCalmAfter);
}

void GraphWorld::ChangeLeader() {
  if (!leader_) {
    return;
  }
  const Duration outage = Between(200, 3000);
  leader_.reset();
  log_.resize(random_.NextBelow(log_.size() + 1));
  Write("", "the leader is lost");
  Disturb(outage);
  At(outage, [this] { StartLeader(); });
}

void GraphWorld::RestartAgent(Machine& m) {
  if (!m.agent) {
    return;
  }
  const Duration outage = Between(100, 2000);
  Write("", "restart of the agent on " + m.name);
  m.agent.reset();
  ++m.agent_life;
  ++m.connection;
  Disturb(outage);
  At(outage, [this, &m] {
    m.agent = std::make_unique<WorkerAgent>();
    ++m.agent_life;
    Write("", "the agent on " + m.name + " is back");
  });
}

GraphWorld::Machine& GraphWorld::AnyMachine() {
  return machines_[random_.NextBelow(machines_.size())];
}

void GraphWorld::CheckStart(const Machine& m, const RunRef& run) {
  Resources reserved = table_.FindStep(run.task)->needs;
  for (const Machine& other : machines_) {
    for (const auto& [active, times] : other.worker.runs) {
      if (active.task == run.task) {
        Complain(NameOf(run.task), "two runs at once");
      }
      if (&other == &m) {
        reserved += table_.FindStep(active.task)->needs;
      }
    }
  }
  if (!Fits(reserved, m.worker.info.capacity)) {
    Complain(NameOf(run.task),
             "over the capacity of " + NameOf(m.worker.info.life));
  }
  for (const DoneEnd& end : tasks_[run.task].done) {
    if (end.is_noted) {
      Complain(NameOf(run.task), "a start after an end that was noted");
    }
  }
}

void GraphWorld::NoteEnd(const TaskRef& task,
                         std::uint64_t life,
                         std::int64_t number) {
  TaskRecord& record = tasks_[task];
  for (DoneEnd& end : record.done) {
    if (end.worker_life != life || end.number != number || end.is_noted) {
      continue;
    }
    end.is_noted = true;
    if (record.starts.back() >= end.at) {
      Complain(NameOf(task), "a start after an end that was noted later");
    }
  }
}

void GraphWorld::CheckSettled() {
  for (const std::string& id : graphs_) {
    const Graph* graph = table_.FindGraph(id);
    if (graph == nullptr || graph->state != GraphState::kCompleted) {
      Complain(id, "not completed");
      continue;
    }
    for (std::size_t s = 0; s < graph->spec.steps.size(); ++s) {
      for (std::int64_t i = 0; i < graph->spec.steps[s].count; ++i) {
        const TaskRef task{id, 0, static_cast<std::int64_t>(s), i};
        if (tasks_[task].done.empty()) {
          Complain(NameOf(task), "completed without an end as done");
        }
      }
    }
  }
}

void GraphWorld::Complain(const std::string& task, const std::string& what) {
  std::deque<std::string> lines;
  for (auto line = history_.rbegin();
       line != history_.rend() && lines.size() < kHistoryLines; ++line) {
    if (line->task.empty() || line->task == task ||
        line->task.starts_with(task + ".")) {
      lines.push_front("\n  " + std::to_string(ToMillis(line->at - kStart)) +
                       " ms " + line->task + " " + line->text);
    }
  }
  std::string text = task + ": " + what;
  for (const std::string& line : lines) {
    text += line;
  }
  violations_.push_back(std::move(text));
}

void GraphWorld::Write(const std::string& task, std::string text) {
  history_.push_back({now_, task, std::move(text)});
}

void GraphWorld::WriteEvents(const Events& events) {
  for (const Event& event : events) {
    const std::string graph = event.Field("request");
    const bool is_run = !graph.empty() && !event.Field("run").empty();
    if (is_run || graph.empty()) {
      Write(is_run
                ? graph + "." + event.Field("step") + "." + event.Field("task")
                : "",
            event.text());
    }
  }
}

std::string GraphWorld::HistoryText() const {
  std::ostringstream text;
  for (const Line& line : history_) {
    text << ToMillis(line.at - kStart) << ' ' << line.task << ' ' << line.text
         << '\n';
  }
  return text.str();
}

}  // namespace banyan
