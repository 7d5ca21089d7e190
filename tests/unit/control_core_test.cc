#include "banyan/control/control_core.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "banyan/control/status_waits.h"
#include "banyan/wire/codec.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// Runs a cell of one replica from the restored log and submits the commands
// once it leads. Returns the logged events; `persisted_log` receives the
// resulting log.
Events RunSingleReplica(const RestoredLog& restored,
                        const std::vector<LoggedCommand>& commands,
                        RestoredLog& persisted_log) {
  ControlOptions options;
  options.raft.self = {"control-0", 1};
  options.raft.configured_ids = {"control-0"};
  Time now(std::chrono::seconds(1000));
  ControlCore core(options, restored, now);
  persisted_log = restored;
  Events events;
  for (std::size_t step = 0; step < 500; ++step) {
    now += Millis(10);
    // The replica has been elected leader by this step (4 s).
    constexpr std::size_t kFirstCommandStep = 400;
    if (step >= kFirstCommandStep &&
        step - kFirstCommandStep < commands.size()) {
      core.Submit(now, kGraphStart, step, commands[step - kFirstCommandStep]);
    }
    core.Tick(now, kGraphStart);
    ControlOutputs out = core.TakeOutputs(now, kGraphStart);
    for (const PersistBatch& batch : out.persists) {
      persisted_log.hard_state =
          batch.hard_state.value_or(persisted_log.hard_state);
      persisted_log.entries.insert(persisted_log.entries.end(),
                                   batch.entries.begin(), batch.entries.end());
      core.OnPersisted(now, batch.seq);
    }
    std::move(out.events.begin(), out.events.end(), std::back_inserter(events));
  }
  return events;
}

std::ptrdiff_t CountEvents(const Events& events, EventId id) {
  return std::count_if(events.begin(), events.end(),
                       [&](const Event& event) { return event.id() == id; });
}

void RestartRepeatsNoEvents() {
  std::vector<LoggedCommand> commands(3);
  commands[0].command = InstallPlan{SamplePlan()};
  commands[1].command = SampleGraph("g", {SampleStep(2)});
  commands[2].command = SetEvacuated{"dc-a", true};
  RestoredLog first_log;
  const Events first_run_events =
      RunSingleReplica(RestoredLog{}, commands, first_log);
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                       CountEvents(first_run_events, EventId::kGraphAccepted));
  RestoredLog second_log;
  const Events second_run_events = RunSingleReplica(first_log, {}, second_log);
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                       CountEvents(second_run_events, EventId::kLeaderElected));
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0},
                       CountEvents(second_run_events, EventId::kGraphAccepted));
  CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t{0},
      CountEvents(second_run_events, EventId::kEvacuationChanged));
}

// A cell of three replicas whose messages arrive at once, unless they are cut,
// and a worker that sends to any of them.
class Cell {
 public:
  explicit Cell(ControlOptions options = {}) {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      options.raft.configured_ids.push_back(IdOf(i));
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      options.raft.self = {IdOf(i), i + 1};
      options.raft.seed = kSeeds[i];
      replicas_.emplace_back(options, RestoredLog{}, now_);
    }
  }

  // Runs until the condition holds. Returns whether it did within 5 s.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kMaxSteps = 500;
    for (int i = 0; i < kMaxSteps && !condition(); ++i) {
      now_ += Millis(10);
      for (std::size_t k = 0; k < kReplicas; ++k) {
        replicas_[k].Tick(now_, kGraphStart);
      }
      DeliverAll();
    }
    return condition();
  }

  // Returns the replica that holds a leader's lease; kReplicas without one.
  [[nodiscard]] std::size_t Leader() const {
    std::size_t i = 0;
    while (i < kReplicas && !replicas_[i].raft().HoldsLease(now_)) {
      ++i;
    }
    return i;
  }

  // Separates a replica from the others.
  void Isolate(std::size_t replica) { isolated_ = replica; }
  void Reconnect() { isolated_ = kReplicas; }

  // Delivers a message of the worker to a replica.
  void Send(std::size_t replica,
            const Message& message,
            std::uint64_t incarnation = 1) {
    replicas_[replica].Receive(now_, kGraphStart, {"w1", incarnation}, message);
    DeliverAll();
  }

  // Closes the worker's connection to a replica.
  void Disconnect(std::size_t replica) {
    replicas_[replica].OnPeerDisconnected(now_, "w1");
  }

  void Submit(std::size_t replica, const Command& command) {
    LoggedCommand logged;
    logged.command = command;
    replicas_[replica].Submit(now_, kGraphStart, 1, logged);
    DeliverAll();
  }

  // Sends a command of a peer to a replica. Returns what it answers at once, if
  // it does.
  std::optional<CommandResult> Request(std::size_t replica,
                                       const Command& command) {
    CommandRequest request;
    request.seq = 1;
    request.command.command = command;
    last_reply_.reset();
    Send(replica, PeerHello{});
    Send(replica, request);
    return last_reply_;
  }

  // Reads the state of a graph through a replica. Returns what it answers at
  // once, if it does.
  std::optional<CommandResult> ReadState(std::size_t replica,
                                         const std::string& graph) {
    last_reply_.reset();
    Send(replica, PeerHello{});
    Send(replica, CellQuery{1, CellQueryKind::kGraph, graph});
    return last_reply_;
  }

  // The last reply to a request, if there is any.
  [[nodiscard]] const std::optional<CommandResult>& last_reply() const {
    return last_reply_;
  }

  // Returns whether any replica has acknowledged the end of a task.
  [[nodiscard]] bool has_acknowledged_end() const {
    return has_acknowledged_end_;
  }
  [[nodiscard]] const ControlCore& replica(std::size_t i) const {
    return replicas_[i];
  }

  // The last index of each snapshot that a replica has taken.
  [[nodiscard]] const std::vector<std::uint64_t>& snapshot_indexes(
      std::size_t i) const {
    return snapshot_indexes_[i];
  }

  static constexpr std::size_t kReplicas = 3;
  static constexpr std::array<std::uint64_t, kReplicas> kSeeds = {10, 20, 30};

 private:
  static std::string IdOf(std::size_t i) {
    return "control-" + std::to_string(i);
  }

  void DeliverAll() {
    bool is_idle = false;
    while (!is_idle) {
      is_idle = true;
      for (std::size_t i = 0; i < kReplicas; ++i) {
        const ControlOutputs out = replicas_[i].TakeOutputs(now_, kGraphStart);
        for (const PersistBatch& batch : out.persists) {
          replicas_[i].OnPersisted(now_, batch.seq);
          is_idle = false;
        }
        for (const Outbound& outbound : out.messages) {
          is_idle = false;
          Deliver(i, outbound);
        }
        if (out.snapshot_request) {
          is_idle = false;
          Snapshot snapshot = out.snapshot_request->snapshot;
          snapshot.state = out.snapshot_request->state->Encode();
          snapshot_indexes_[i].push_back(snapshot.last_index);
          replicas_[i].OnSnapshotWritten(std::move(snapshot));
        }
      }
    }
  }

  void Deliver(std::size_t from, const Outbound& outbound) {
    has_acknowledged_end_ =
        has_acknowledged_end_ ||
        std::holds_alternative<TaskReportAck>(outbound.message);
    if (const auto* reply = std::get_if<CommandReply>(&outbound.message)) {
      last_reply_ = reply->result;
    }
    for (std::size_t to = 0; to < kReplicas; ++to) {
      const bool is_cut = from == isolated_ || to == isolated_;
      if (IdOf(to) == outbound.to && !is_cut) {
        replicas_[to].Receive(now_, kGraphStart, {IdOf(from), from + 1},
                              outbound.message);
      }
    }
  }

  Time now_{std::chrono::seconds(1000)};
  std::vector<ControlCore> replicas_;
  std::size_t isolated_ = kReplicas;
  bool has_acknowledged_end_ = false;
  std::optional<CommandResult> last_reply_;
  std::array<std::vector<std::uint64_t>, kReplicas> snapshot_indexes_;
};

// Guards against losing a task that is done: a leader that is cut off, and does
// not know that another one has placed the task, acknowledges its end. The
// agent forgets the end then, and the job stays placed.
void DeposedLeaderAcknowledgesNoEnd() {
  Cell cell;
  CPPUNIT_ASSERT(
      cell.RunUntil([&] { return cell.Leader() < Cell::kReplicas; }));
  const std::size_t earlier = cell.Leader();
  AgentHello hello;
  hello.info.id = "w1";
  hello.info.incarnation = 1;
  hello.info.role = InstanceRole::kWorker;
  hello.info.data_centre = "dc-a";
  hello.info.capacity = {4000, 4096, 0};
  cell.Send(earlier, hello);
  cell.Isolate(earlier);
  CPPUNIT_ASSERT(cell.RunUntil([&] {
    return cell.Leader() < Cell::kReplicas && cell.Leader() != earlier;
  }));
  const std::size_t leader = cell.Leader();
  SubmitJob submit;
  submit.key = "j";
  submit.spec.team = "minutes";
  submit.spec.needs = {1000, 512, 0};
  cell.Submit(leader, submit);
  const auto is_placed = [&] {
    const Job* job = cell.replica(leader).state().FindJob("j");
    return job != nullptr && job->state == JobState::kPlaced;
  };
  CPPUNIT_ASSERT(cell.RunUntil(is_placed));
  CPPUNIT_ASSERT_MESSAGE(
      "the earlier leader must not have stepped down yet",
      cell.replica(earlier).raft().role() == RaftRole::kLeader);
  cell.Send(earlier, TaskReport{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT(!cell.has_acknowledged_end());
  cell.Send(leader, TaskReport{{"j", 1}, TaskEnd::kFinished, "", ""});
  CPPUNIT_ASSERT_MESSAGE("the end counts at the leader", cell.RunUntil([&] {
    return cell.has_acknowledged_end() && !is_placed();
  }));
}

// Submits a graph through a leader that can't commit it, then lets `restart`
// end the process that has sent it. Returns the reply after the commit.
std::optional<CommandResult> ReplyAfterRestart(
    const std::function<void(Cell&, std::size_t leader)>& restart) {
  Cell cell;
  CPPUNIT_ASSERT(
      cell.RunUntil([&] { return cell.Leader() < Cell::kReplicas; }));
  const std::size_t leader = cell.Leader();
  cell.Submit(leader, InstallPlan{SamplePlan()});
  cell.Isolate(leader);
  CPPUNIT_ASSERT(!cell.Request(leader, SampleGraph("g", {SampleStep(1)})));
  restart(cell, leader);
  cell.Reconnect();
  CPPUNIT_ASSERT(cell.RunUntil([&] {
    return cell.replica(leader).state().graphs().FindGraph("g") != nullptr;
  }));
  return cell.last_reply();
}

// Guards against a submission that is reported as accepted although it was
// never committed: the reply to a request of the process before has its number.
void ReplyToAnEndedProcessIsDropped() {
  const auto reply = ReplyAfterRestart([](Cell&, std::size_t) {});
  CPPUNIT_ASSERT_MESSAGE("without a restart", reply && reply->ok);
  CPPUNIT_ASSERT(!ReplyAfterRestart([](Cell& cell, std::size_t leader) {
    cell.Disconnect(leader);
    constexpr std::uint64_t kNextIncarnation = 2;
    cell.Send(leader, EntryStatus{}, kNextIncarnation);
  }));
  CPPUNIT_ASSERT_MESSAGE("before the next process has sent anything",
                         !ReplyAfterRestart([](Cell& cell, std::size_t leader) {
                           cell.Disconnect(leader);
                         }));
}

// Guards against a configuration that is acknowledged although it was never
// committed: after a restart of the replica, the relayed reply to a command of
// the process before has its ticket.
void RelayedReplyToAnEndedProcessIsDropped() {
  ControlOptions options;
  options.raft.self = {"control-0", 1};
  options.raft.configured_ids = {"control-0", "control-1", "control-2"};
  options.session = 7;
  const Time now(std::chrono::seconds(1000));
  ControlCore core(options, RestoredLog{}, now);
  CommandReply reply;
  reply.seq = 1;
  reply.result.ok = true;
  const auto relay = [&](std::uint64_t incarnation) {
    core.Receive(
        now, kGraphStart, {"control-1", 2},
        RelayDown{{{"control-0", incarnation, Encode(Message(reply))}}});
    return core.TakeOutputs(now, kGraphStart).local_replies.size();
  };
  CPPUNIT_ASSERT_MESSAGE("the incarnation in the cell", relay(1) == 0);
  CPPUNIT_ASSERT_MESSAGE("an earlier process", relay(6) == 0);
  CPPUNIT_ASSERT_MESSAGE("this process", relay(options.session) == 1);
}

// Guards against instances that are removed after a long turn of the leader,
// while their heartbeats wait in its queue.
void InstanceWithUnreadHeartbeatsStays() {
  ControlOptions options;
  options.raft.self = {"control-0", 1};
  options.raft.configured_ids = {"control-0"};
  Time now(std::chrono::seconds(1000));
  ControlCore core(options, RestoredLog{}, now);
  const auto tick = [&](Time heard_until) {
    core.Tick(now, kGraphStart, heard_until);
    for (const PersistBatch& batch :
         core.TakeOutputs(now, kGraphStart).persists) {
      core.OnPersisted(now, batch.seq);
    }
  };
  const auto run = [&](Duration span) {
    for (const Time until = now + span; now < until;) {
      now += Millis(10);
      tick(now);
    }
  };
  run(std::chrono::seconds(4));
  AgentHello hello;
  hello.info.id = "w1";
  hello.info.incarnation = 1;
  hello.info.role = InstanceRole::kWorker;
  core.Receive(now, kGraphStart, {"w1", 1}, hello);
  run(Millis(100));
  const auto is_known = [&] {
    return core.state().FindInstance("w1") != nullptr;
  };
  CPPUNIT_ASSERT(is_known());
  const Time heard_until = now;
  now += (options.lease + options.lease_margin) * 2;
  for (int i = 0; i < 10; ++i) {
    now += Millis(10);
    tick(heard_until);
  }
  CPPUNIT_ASSERT(is_known());
  run(Millis(100));
  CPPUNIT_ASSERT_MESSAGE("without a heartbeat", !is_known());
}

// Guards against a graph of another writer that ends each replica that applies
// it, again after every restart: a step depends on one that does not exist.
void RefusesInvalidGraph() {
  Cell cell;
  CPPUNIT_ASSERT(
      cell.RunUntil([&] { return cell.Leader() < Cell::kReplicas; }));
  const std::size_t leader = cell.Leader();
  cell.Submit(leader, InstallPlan{SamplePlan()});
  CPPUNIT_ASSERT(cell.RunUntil([&] {
    return cell.replica(leader).state().graphs().FindQueue("quick") != nullptr;
  }));
  SubmitGraph odd = SampleGraph("odd", {SampleStep(1), SampleStep(1)});
  odd.spec.steps[1].depends_on = {std::int64_t{1} << 40};
  const auto refusal = cell.Request(leader, odd);
  CPPUNIT_ASSERT(refusal && !refusal->ok);
  CPPUNIT_ASSERT(refusal->error == ErrorKind::kBadRequest);
  const auto is_accepted = [&](const std::string& id) {
    return cell.replica(leader).state().graphs().FindGraph(id) != nullptr;
  };
  static_cast<void>(cell.Request(leader, SampleGraph("good", {SampleStep(1)})));
  CPPUNIT_ASSERT(cell.RunUntil([&] { return is_accepted("good"); }));
  CPPUNIT_ASSERT(!is_accepted("odd"));
}

// Guards against a snapshot that can't be read and leaves no trace.
void UnreadableSnapshotIsLogged() {
  RestoredLog restored;
  restored.snapshot = {5, 1, {{{"control-0", 1}}, {}}, "no snapshot"};
  RestoredLog log;
  const Events events = RunSingleReplica(restored, {}, log);
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                       CountEvents(events, EventId::kPeerMessageRefused));
}

constexpr std::size_t kMebibyte = 1U << 20U;

// Returns a configuration whose document has the given size.
InstallPlan PlanOfSize(std::uint64_t version, std::size_t bytes) {
  InstallPlan install{SamplePlan(version)};
  install.plan.document.assign(bytes, 'x');
  return install;
}

// Returns the data of the entries that a replica holds in memory, in bytes.
std::size_t RetainedBytes(const RaftLog& log) {
  std::size_t bytes = 0;
  for (std::uint64_t i = log.base_index() + 1; i <= log.last_index(); ++i) {
    bytes += log.At(i).data.size();
  }
  return bytes;
}

// Runs a cell until it leads and submits changes of 1 MiB to its leader.
void SubmitLargeChanges(Cell& cell, std::uint64_t count) {
  CPPUNIT_ASSERT(
      cell.RunUntil([&] { return cell.Leader() < Cell::kReplicas; }));
  const std::size_t leader = cell.Leader();
  for (std::uint64_t version = 2; version < count + 2; ++version) {
    cell.Submit(leader, PlanOfSize(version, kMebibyte));
  }
}

// Guards against a log of few but large entries that fills the disks of all
// replicas, and their memory, before a snapshot is due by their number.
void LargeEntriesMakeSnapshotDue() {
  constexpr std::uint64_t kChanges = 40;
  constexpr std::size_t kMaxRetained = 16 * kMebibyte;
  Cell cell;
  SubmitLargeChanges(cell, kChanges);
  for (std::size_t i = 0; i < Cell::kReplicas; ++i) {
    const std::size_t retained = RetainedBytes(cell.replica(i).raft().log());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(retained) + " bytes",
                           retained < kMaxRetained);
    CPPUNIT_ASSERT_MESSAGE("a snapshot each few changes costs too much",
                           cell.snapshot_indexes(i).size() < kChanges / 4);
  }
}

// Guards against slow commits while all replicas write their snapshots.
void SnapshotsBySizeAreStaggered() {
  Cell cell;
  SubmitLargeChanges(cell, 40);
  std::vector<std::uint64_t> all;
  for (std::size_t i = 0; i < Cell::kReplicas; ++i) {
    CPPUNIT_ASSERT(!cell.snapshot_indexes(i).empty());
    all.insert(all.end(), cell.snapshot_indexes(i).begin(),
               cell.snapshot_indexes(i).end());
  }
  std::sort(all.begin(), all.end());
  CPPUNIT_ASSERT(std::adjacent_find(all.begin(), all.end()) == all.end());
}

// Guards against a large state that is written again for each few entries.
void LargeStateIsWrittenLessOften() {
  constexpr std::uint64_t kLatestVersion = 100;
  constexpr std::uint64_t kChanges = 32;
  Cell cell;
  SubmitLargeChanges(cell, 0);
  const std::size_t leader = cell.Leader();
  cell.Submit(leader, PlanOfSize(kLatestVersion, 12 * kMebibyte));
  for (std::uint64_t version = 2; version < kChanges + 2; ++version) {
    // An older configuration leaves the state as it is.
    cell.Submit(leader, PlanOfSize(version, kMebibyte));
  }
  for (std::size_t i = 0; i < Cell::kReplicas; ++i) {
    const std::vector<std::uint64_t>& taken = cell.snapshot_indexes(i);
    CPPUNIT_ASSERT(!taken.empty());
    // The log is as long as three intervals at the size of the state.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken.size()) + " snapshots",
                           taken.size() <= 4);
  }
}

// Returns the log of a cell of one replica with entries of 256 KiB.
RestoredLog LargeLog(std::uint64_t entries) {
  RestoredLog log;
  log.hard_state = {1, {}};
  log.snapshot = {1, 1, {{{"control-0", 1}}, {}}, ControlState().Encode()};
  for (std::uint64_t i = 0; i < entries; ++i) {
    LoggedCommand change;
    change.command = PlanOfSize(i + 2, kMebibyte / 4);
    log.entries.push_back({1, i + 2, EntryKind::kCommand, Encode(change)});
  }
  return log;
}

// Guards against a restart that needs a multiple of the memory of the running
// process, because each layer copies the log.
void RestartMovesTheLog() {
  ControlOptions options;
  options.raft.self = {"control-0", 1};
  options.raft.configured_ids = {"control-0"};
  RestoredLog restored = LargeLog(1);
  const char* const data = restored.entries.front().data.data();
  const char* const state = restored.snapshot.state.data();
  const ControlCore core(options, std::move(restored),
                         Time(std::chrono::seconds(1000)));
  CPPUNIT_ASSERT(core.raft().log().At(2).data.data() == data);
  CPPUNIT_ASSERT(core.raft().log().snapshot().state.data() == state);
}

// A cell of one replica that restarts with a long log, to which an entry
// process is attached.
class RestartedReplica {
 public:
  static constexpr std::uint64_t kEntries = 40;

  // Runs until the replica holds a leader's lease and has applied its log.
  // Returns the number of configurations that it sends to the entry process.
  std::ptrdiff_t RunUntilLeading() {
    // The state of the snapshot is broadcast before the process is attached.
    HandleOutputs();
    std::ptrdiff_t plans = 0;
    constexpr int kMaxSteps = 500;
    core_.Receive(now_, kGraphStart, {"edge-0", 1}, EntryStatus{});
    for (int i = 0; i < kMaxSteps && !core_.raft().HoldsLease(now_); ++i) {
      now_ += Millis(10);
      core_.Tick(now_, kGraphStart);
      plans += HandleOutputs();
    }
    CPPUNIT_ASSERT(core_.raft().HoldsLease(now_));
    while (core_.HasMoreToApply()) {
      plans += ApplyPart();
    }
    return plans;
  }

  // Applies the next part of the log after a read and after the entry process
  // has sent its status. Returns the number of configurations that are sent.
  std::ptrdiff_t ApplyPart() {
    ++parts_;
    core_.Query(now_, kGraphStart, parts_, CellQueryKind::kPlanVersion, "");
    core_.Receive(now_, kGraphStart, {"edge-0", 1}, EntryHeartbeat{});
    return HandleOutputs();
  }

  [[nodiscard]] const ControlCore& core() const { return core_; }
  [[nodiscard]] std::uint64_t parts() const { return parts_; }
  // The replies to reads, and whether each heartbeat of the entry process was
  // told that the replica is fresh.
  [[nodiscard]] const std::vector<CommandResult>& reads() const {
    return reads_;
  }
  [[nodiscard]] const std::vector<bool>& freshness() const {
    return freshness_;
  }

 private:
  static ControlOptions Options() {
    ControlOptions options;
    options.raft.self = {"control-0", 1};
    options.raft.configured_ids = {"control-0"};
    return options;
  }

  std::ptrdiff_t HandleOutputs() {
    const ControlOutputs out = core_.TakeOutputs(now_, kGraphStart);
    for (const PersistBatch& batch : out.persists) {
      core_.OnPersisted(now_, batch.seq);
    }
    for (const LocalReply& reply : out.local_replies) {
      reads_.push_back(reply.result);
    }
    for (const Outbound& outbound : out.messages) {
      if (const auto* ack = std::get_if<EntryHeartbeatAck>(&outbound.message)) {
        freshness_.push_back(ack->fresh);
      }
    }
    return std::count_if(
        out.messages.begin(), out.messages.end(), [](const Outbound& outbound) {
          return std::holds_alternative<PlanUpdate>(outbound.message);
        });
  }

  Time now_{std::chrono::seconds(1000)};
  ControlCore core_{Options(), LargeLog(kEntries), now_};
  std::uint64_t parts_ = 0;
  std::vector<CommandResult> reads_;
  std::vector<bool> freshness_;
};

// Guards against a restarted replica that serves before it has applied a log
// that is longer than what consensus returns at once.
void RestartServesAfterLongLog() {
  RestartedReplica replica;
  replica.RunUntilLeading();
  CPPUNIT_ASSERT_EQUAL(RestartedReplica::kEntries + 1,
                       replica.core().state().graphs().plan().version);
  CPPUNIT_ASSERT(replica.parts() > 0);
  CPPUNIT_ASSERT_EQUAL(std::size_t{replica.parts()}, replica.reads().size());
  for (const CommandResult& read : replica.reads()) {
    CPPUNIT_ASSERT(!read.ok);
    CPPUNIT_ASSERT(read.error == ErrorKind::kNotLeader);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{replica.parts()},
                       replica.freshness().size());
  for (const bool is_fresh : replica.freshness()) {
    CPPUNIT_ASSERT(!is_fresh);
  }
  replica.ApplyPart();
  CPPUNIT_ASSERT_MESSAGE("after the last part", replica.reads().back().ok);
  CPPUNIT_ASSERT_EQUAL(RestartedReplica::kEntries + 1,
                       replica.reads().back().version);
  CPPUNIT_ASSERT(replica.freshness().back());
}

// Guards against a replica that hears no heartbeat, and counts as lost, while
// it applies its whole log in one turn.
void RestartAppliesLongLogInParts() {
  RestartedReplica replica;
  replica.RunUntilLeading();
  CPPUNIT_ASSERT_MESSAGE(std::to_string(replica.parts()) + " parts",
                         replica.parts() >= RestartedReplica::kEntries);
}

// Guards against a restart that needs the memory of all configurations in the
// log, once for each attached process.
void RestartSendsLatestPlanOnly() {
  RestartedReplica replica;
  CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, replica.RunUntilLeading());
}

// A cell that leads, with a graph of two tasks of which `placed` run.
class CellWithGraph {
 public:
  explicit CellWithGraph(Duration status_wait, std::int64_t placed = 2)
      : cell_(OptionsWith(status_wait)) {
    CPPUNIT_ASSERT(
        cell_.RunUntil([&] { return cell_.Leader() < Cell::kReplicas; }));
    leader_ = cell_.Leader();
    cell_.Submit(leader_, InstallPlan{SamplePlan()});
    cell_.Submit(leader_, AdmitWorker{worker_, "w1"});
    cell_.Submit(leader_, SampleGraph("g", {SampleStep(2)}));
    PlaceRuns place;
    for (std::int64_t i = 0; i < placed; ++i) {
      place.runs.push_back({RunOf("g", 0, i), worker_.life});
    }
    cell_.Submit(leader_, place);
  }

  Cell& cell() { return cell_; }
  [[nodiscard]] std::size_t leader() const { return leader_; }
  std::optional<CommandResult> Read() { return cell_.ReadState(leader_, "g"); }

  void EndTasks() {
    EndRuns ends{worker_.life, {}};
    for (std::int64_t i = 0; i < 2; ++i) {
      ends.rows.push_back({i + 1, RunOf("g", 0, i), RunEndReason::kDone, ""});
    }
    cell_.Submit(leader_, ends);
  }

 private:
  static ControlOptions OptionsWith(Duration status_wait) {
    ControlOptions options;
    options.status_wait = status_wait;
    return options;
  }

  Cell cell_;
  std::size_t leader_ = 0;
  WorkerInfo worker_ = SampleWorker("i-1");
};

// Guards against callers that learn of an end with their next read only: the
// first one comes while the end is being committed.
void ReadWaitsForTheEnd() {
  CellWithGraph graph(Millis(150));
  CPPUNIT_ASSERT(!graph.Read());
  graph.EndTasks();
  CPPUNIT_ASSERT(graph.cell().last_reply().has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                       graph.cell().last_reply()->text);
}

// Guards against reads that are held back while the tasks go on.
void ReadIsAnsweredAtItsDeadline() {
  CellWithGraph graph(Millis(150));
  CPPUNIT_ASSERT(!graph.Read());
  int steps = 0;
  CPPUNIT_ASSERT(graph.cell().RunUntil([&] {
    ++steps;
    return graph.cell().last_reply().has_value();
  }));
  CPPUNIT_ASSERT_EQUAL(std::string("running"), graph.cell().last_reply()->text);
  CPPUNIT_ASSERT_MESSAGE("150 ms in steps of 10 ms", steps <= 17);
}

// Guards against reads that wait although the graph can't end yet: a task of it
// has not started, or the setting is off.
void OtherReadsAreAnsweredAtOnce() {
  CellWithGraph waiting_task(Millis(150), 1);
  CPPUNIT_ASSERT(waiting_task.Read().has_value());
  CellWithGraph off(Millis(0));
  CPPUNIT_ASSERT(off.Read().has_value());
  CellWithGraph ended(Millis(150));
  ended.EndTasks();
  const auto reply = ended.Read();
  CPPUNIT_ASSERT(reply.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("completed"), reply->text);
}

// Guards against a stale state from a leader that was deposed while a read
// waited: another leader may have committed the end.
void DeposedLeaderAnswersNoWaitingRead() {
  CellWithGraph graph(Millis(500));
  CPPUNIT_ASSERT(!graph.Read());
  graph.cell().Isolate(graph.leader());
  CPPUNIT_ASSERT(graph.cell().RunUntil(
      [&] { return graph.cell().last_reply().has_value(); }));
  const CommandResult reply = *graph.cell().last_reply();
  // The lease may still hold at the deadline of the read; then no other leader
  // can have committed anything.
  CPPUNIT_ASSERT(reply.ok ? reply.text == "running"
                          : reply.error == ErrorKind::kNotLeader);
}

// Guards against reads without a bound on their number.
void WaitingReadsAreBounded() {
  StatusWaits<int> waits(Millis(100));
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan()}, kGraphStart);
  table.Apply(AdmitWorker{SampleWorker("i-1"), "w1"}, kGraphStart);
  table.Apply(SampleGraph("g", {SampleStep(1)}), kGraphStart);
  CPPUNIT_ASSERT_MESSAGE("a task that waits",
                         !IsEnding(table.graphs().at("g")));
  table.Apply(PlaceRuns{{{RunOf("g", 0, 0), SampleWorker("i-1").life}}},
              kGraphStart);
  const Graph& graph = table.graphs().at("g");
  const Time now(std::chrono::seconds(1));
  while (waits.MayWait(graph)) {
    waits.Add(now, "g", 0);
  }
  CPPUNIT_ASSERT_EQUAL(StatusWaits<int>::kMaxReads, waits.size());
  CPPUNIT_ASSERT(waits.TakeDue(now, table).empty());
  CPPUNIT_ASSERT_EQUAL(StatusWaits<int>::kMaxReads,
                       waits.TakeDue(now + Millis(100), table).size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waits.size());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{StatusWaits<int>::kMaxReads},
                       waits.counters().timed_out);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, waits.counters().ended);
}

// Guards against reads that wait for graphs that never end.
void LongRunningGraphsAreNotWaitedFor() {
  GraphTable table;
  table.Apply(InstallPlan{SamplePlan()}, kGraphStart);
  table.Apply(AdmitWorker{SampleWorker("i-1"), "w1"}, kGraphStart);
  table.Apply(SampleGraph("g", {ServingStep(1)}), kGraphStart);
  table.Apply(PlaceRuns{{{RunOf("g", 0, 0), SampleWorker("i-1").life}}},
              kGraphStart);
  CPPUNIT_ASSERT(!IsEnding(table.graphs().at("g")));
}

// Sends an entry of a membership to a follower, and returns which members it
// tells the process "entry" of.
std::vector<CellMembers> MembersToldAfter(ControlCore& core,
                                          Time now,
                                          std::uint64_t index,
                                          const Membership& membership) {
  AppendRequest append;
  append.target = 1;
  append.term = 1;
  append.prev_index = index - 1;
  append.prev_term = append.prev_index == 0 ? 0 : 1;
  append.entries.push_back(
      {1, index, EntryKind::kMembership, Encode(membership)});
  core.Receive(now, kGraphStart, {"control-1", 2}, append);
  std::vector<CellMembers> told;
  for (const Outbound& outbound : core.TakeOutputs(now, kGraphStart).messages) {
    const auto* members = std::get_if<CellMembers>(&outbound.message);
    if (members != nullptr && outbound.to == "entry") {
      told.push_back(*members);
    }
  }
  return told;
}

// Guards against entries and agents that know the members of their start only,
// all of which may have been replaced since.
void AttachedProcessIsToldOfNewVoters() {
  ControlOptions options;
  options.raft.self = {"control-0", 1};
  options.raft.configured_ids = {"control-0", "control-1", "control-2"};
  const Time now(std::chrono::seconds(1000));
  ControlCore core(options, RestoredLog{}, now);
  core.Receive(now, kGraphStart, {"entry", 1}, EntryStatus{});
  Membership membership{{{"control-0", 1}, {"control-1", 2}, {"control-2", 3}},
                        {}};
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       MembersToldAfter(core, now, 1, membership).size());
  membership.voters[2] = {"control-3", 4};
  const auto told = MembersToldAfter(core, now, 2, membership);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
  CPPUNIT_ASSERT(
      told[0].addresses ==
      std::vector<std::string>({"control-0", "control-1", "control-3"}));
}

}  // namespace

Section ControlCoreStory() {
  Section story("The control core");
  story
      .With(
          Section("after a restart")
              .Then("does not repeat events of entries restored from disk",
                    RestartRepeatsNoEvents)
              .Then("holds the restored log once", RestartMovesTheLog)
              .Then("serves only after it has applied a long log",
                    RestartServesAfterLongLog)
              .Then("applies a long log in parts", RestartAppliesLongLogInParts)
              .Then("sends only the latest configuration of its log",
                    RestartSendsLatestPlanOnly))
      .With(Section("replying to a process that has restarted")
                .Then("sends no reply to a request of the process before",
                      ReplyToAnEndedProcessIsDropped)
                .Then("takes no relayed reply to its own earlier process",
                      RelayedReplyToAnEndedProcessIsDropped))
      .With(Section("when the voters change")
                .Then("tells the processes that are attached",
                      AttachedProcessIsToldOfNewVoters))
      .With(Section("after a long turn")
                .Then("keeps an instance whose heartbeats are unread",
                      InstanceWithUnreadHeartbeatsStays))
      .With(Section("with large entries")
                .Then("takes a snapshot by the size of the log",
                      LargeEntriesMakeSnapshotDue)
                .Then("takes the snapshots of the replicas in turns",
                      SnapshotsBySizeAreStaggered)
                .Then("writes a large state less often",
                      LargeStateIsWrittenLessOften))
      .With(Section("at input of other writers")
                .Then("refuses a graph that is invalid", RefusesInvalidGraph)
                .Then("logs a snapshot that can't be read",
                      UnreadableSnapshotIsLogged))
      .With(Section("at reads of a graph that is about to end")
                .Then("answers when the graph has ended", ReadWaitsForTheEnd)
                .Then("answers at the deadline at the latest",
                      ReadIsAnsweredAtItsDeadline)
                .Then("answers all others at once", OtherReadsAreAnsweredAtOnce)
                .Then("answers nothing old after a change of leader",
                      DeposedLeaderAnswersNoWaitingRead)
                .Then("holds a bounded number of them", WaitingReadsAreBounded)
                .Then("does not wait for long-running graphs",
                      LongRunningGraphsAreNotWaitedFor))
      .With(Section("cut off from the cell")
                .Then("acknowledges no end of a task",
                      DeposedLeaderAcknowledgesNoEnd));
  return story;
}

}  // namespace banyan
