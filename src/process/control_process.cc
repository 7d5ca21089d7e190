#include "banyan/process/control_process.h"

#include <cstdlib>
#include <utility>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/process/dialled_addresses.h"
#include "banyan/process/operator_api.h"
#include "banyan/process/push_or_log.h"
#include "src/consensus/data_files.h"

namespace banyan {
namespace {

constexpr std::size_t kRingCapacity = 65536;
constexpr std::size_t kDiskRingCapacity = 65536;
constexpr std::size_t kSnapshotRingCapacity = 1;
// Longest wait of the core thread for input.
constexpr Duration kTickInterval = Millis(5);
// Most inputs that the core thread handles in a turn. Further ones wait, so
// that heartbeats go out meanwhile.
constexpr std::size_t kMaxInputsPerTurn = 256;
// Shortest time between two read marks.
constexpr Duration kReadMarkInterval = Millis(20);
// A gap between two read marks is longer than an election timeout divided by
// this. The settling time after it is half of that: two heartbeat intervals.
constexpr int kGapsPerElection = 2;
// Interval at which connections are checked and re-established. Also how often
// idle disk threads check whether to stop.
constexpr Duration kMaintenanceInterval = Millis(100);
// Delay before a write that failed on a full disk is retried.
constexpr Duration kDiskFullRetryInterval = Millis(50);
// Longest wait for the reply to an operator's command or query.
constexpr Duration kCommandTimeout = std::chrono::seconds(5);
constexpr int kApiThreads = 16;
// Set in the tickets of cell calls to tell them from operator API tickets.
constexpr std::uint64_t kCellTicketBit = 1ULL << 62U;

ControlOptions OptionsFor(const ControlSettings& settings,
                          std::uint64_t incarnation) {
  ControlOptions options;
  options.raft.self = {settings.id, incarnation};
  for (const ControlMember& member : settings.members) {
    options.raft.configured_ids.push_back(member.id);
  }
  for (const std::string& seed : settings.seeds) {
    options.raft.configured_ids.push_back(seed);
  }
  options.raft.may_bootstrap = settings.bootstrap;
  options.graphs.lease = settings.lease;
  options.graphs.max_worker_lease = settings.max_worker_lease;
  options.graphs.scheduling = settings.scheduling;
  options.graphs.log_latencies = settings.log_latencies;
  constexpr int kHeartbeatsPerElection = 8;
  constexpr int kMarginDivisor = 10;
  options.raft.timings.election_timeout = settings.election_timeout;
  options.raft.timings.heartbeat_interval =
      settings.election_timeout / kHeartbeatsPerElection;
  options.raft.timings.max_clock_drift =
      settings.election_timeout / kMarginDivisor;
  options.raft.timings.catch_up = settings.catch_up;
  options.raft.losses_required = settings.losses_required;
  options.raft.odd_voters = settings.odd_voters;
  options.plan_bound = settings.plan_bound;
  options.status_wait = settings.status_wait;
  options.raft.seed = NewIncarnation();
  options.session = NewIncarnation();
  options.lease = settings.lease;
  options.lease_margin = settings.lease / kMarginDivisor;
  options.snapshot_interval_entries = settings.snapshot_interval_entries;
  return options;
}

// Names the kind of a message in the log.
std::string_view KindOf(const Message& message) {
  if (std::holds_alternative<AppendRequest>(message)) {
    return "append";
  }
  if (std::holds_alternative<AppendReply>(message)) {
    return "append-reply";
  }
  if (std::holds_alternative<InstallSnapshot>(message)) {
    return "snapshot";
  }
  if (std::holds_alternative<WorkerSync>(message)) {
    return "worker-sync";
  }
  if (std::holds_alternative<RelayUp>(message)) {
    return "relay-up";
  }
  if (std::holds_alternative<RelayDown>(message)) {
    return "relay-down";
  }
  if (std::holds_alternative<CommandRequest>(message)) {
    return "command";
  }
  if (std::holds_alternative<EntryStatus>(message)) {
    return "entry-status";
  }
  if (std::holds_alternative<PlanRequest>(message)) {
    return "plan-request";
  }
  return "message";
}

}  // namespace

ControlProcess::ControlProcess(ControlSettings settings, CellApiHandler api)
    : settings_(std::move(settings)),
      api_(std::move(api)),
      inputs_(kRingCapacity),
      persist_ring_(kDiskRingCapacity),
      compaction_ring_(kSnapshotRingCapacity),
      read_marks_(
          MonotonicClock::now(),
          {kReadMarkInterval, settings_.election_timeout / kGapsPerElection,
           settings_.election_timeout / (2 * kGapsPerElection)}) {}

std::string_view ControlProcess::KindOf(const Input& input) {
  if (const auto* event = std::get_if<PeerEvent>(&input)) {
    return event->kind == PeerEvent::Kind::kMessage
               ? banyan::KindOf(event->message)
               : "connection";
  }
  if (std::holds_alternative<Persisted>(input)) {
    return "persisted";
  }
  if (std::holds_alternative<Compacted>(input)) {
    return "compacted";
  }
  return "call";
}

ControlProcess::~ControlProcess() {
  Stop();
}

void ControlProcess::SetSeeds(std::vector<std::string> seeds) {
  Push(SeedsInput{std::move(seeds)});
}

void ControlProcess::Push(Input input) {
  PushOrLog(inputs_, std::move(input), "control-core");
}

bool ControlProcess::Start(Reason& reason) {
  auto restored = OpenStorage(reason);
  if (!restored) {
    return false;
  }
  WriteEvent(Event(EventId::kLogRecovered)
                 .With("snapshot", restored->snapshot.last_index)
                 .With("entries", restored->entries.size())
                 .With("term", restored->hard_state.term)
                 .With("bytes", storage_->restored_bytes())
                 .With("cut_bytes", storage_->truncated_bytes()));
  const std::uint64_t incarnation = storage_->incarnation();
  core_ = std::make_unique<ControlCore>(OptionsFor(settings_, incarnation),
                                        *std::move(restored),
                                        MonotonicClock::now());
  network_ = std::make_unique<PeerNetwork>(
      settings_.id, incarnation,
      [this](PeerEvent&& event) { Push(std::move(event)); });
  if (!network_->Listen(settings_.listen)) {
    reason = {ErrorKind::kInternal, "can't listen on " + settings_.listen, {}};
    return false;
  }
  if (!settings_.seeds.empty()) {
    network_->set_symmetric();
  }
  // In each pair of replicas the one with the smaller id opens the connection.
  for (const ControlMember& member : settings_.members) {
    if (settings_.id < member.id) {
      dialled_addresses_.insert(member.address);
    }
  }
  network_->Start();
  disk_thread_ = std::thread([this] { RunDisk(); });
  snapshot_thread_ = std::thread([this] { RunSnapshots(); });
  core_thread_ = std::thread([this] { RunCore(); });
  return server_.Start(
      settings_.api, {kApiThreads, kMaxOperatorBodyBytes},
      [this](const HttpCall& call) { return Serve(call); }, reason);
}

std::optional<RestoredLog> ControlProcess::OpenStorage(Reason& reason) {
  storage_ = std::make_unique<RaftStorage>();
  auto restored = storage_->Open(settings_.data_folder, reason);
  if (!restored) {
    WriteEvent(Event(EventId::kLogRefused).With("reason", ToString(reason)));
  }
  if (!restored && reason.kind == ErrorKind::kCorruptLog) {
    // The replica comes back like one whose disk was lost: under another
    // incarnation, which the cell admits if a majority holds its log.
    if (!SetAsideDamagedFiles(settings_.data_folder, reason)) {
      return std::nullopt;
    }
    storage_ = std::make_unique<RaftStorage>();
    restored = storage_->Open(settings_.data_folder, reason);
    if (!restored) {
      WriteEvent(Event(EventId::kLogRefused).With("reason", ToString(reason)));
    }
  }
  if (storage_->has_damaged_files()) {
    // Replicas that have forgotten what they confirmed must not form a new
    // cell.
    settings_.bootstrap = false;
    WriteEvent(Event(EventId::kLogSetAside)
                   .With("folder", settings_.data_folder)
                   .With("incarnation", storage_->incarnation()));
  }
  return restored;
}

bool ControlProcess::Stop() {
  if (!core_thread_.joinable()) {
    return true;
  }
  is_leaving_ = true;
  Push(LeaveInput{});
  const Time deadline = MonotonicClock::now() + settings_.drain_timeout;
  while ((must_stay_ || server_.active() > 0) &&
         MonotonicClock::now() < deadline) {
    std::this_thread::sleep_for(kTickInterval);
  }
  const bool was_drained = !must_stay_ && server_.active() == 0;
  const bool was_clean = server_.Stop(deadline) && was_drained;
  must_end_ = true;
  core_thread_.join();
  persist_ring_.Close();
  disk_thread_.join();
  compaction_ring_.Close();
  snapshot_thread_.join();
  network_->Stop();
  return was_clean;
}

HttpReply ControlProcess::Serve(const HttpCall& call) {
  if (auto common = ServeHealthAndMetrics(call, is_leaving_, metrics_)) {
    return *std::move(common);
  }
  if (api_) {
    const Time start = MonotonicClock::now();
    const CellCallFunction call_cell = [this](CellCall cell_call,
                                              Time deadline) {
      return CallCell(std::move(cell_call), deadline);
    };
    if (auto reply = api_(call, call_cell)) {
      LogOperatorCall(call, *reply, start);
      return *std::move(reply);
    }
  }
  if (call.method == "GET") {
    auto [ticket, reply] = pending_.Open();
    return Await(ticket, std::move(reply), ApiQuery{ticket, call.path});
  }
  if (call.method != "POST") {
    return ErrorReply(ErrorKind::kBadRequest, "only GET and POST are served");
  }
  Reason reason;
  auto command = ParseCommand(call.path, call.body, reason);
  if (!command) {
    return ErrorReply(reason.kind, reason.text);
  }
  auto [ticket, reply] = pending_.Open();
  return Await(ticket, std::move(reply), ApiCommand{ticket, *command});
}

CommandResult ControlProcess::CallCell(CellCall call, Time deadline) {
  auto [ticket, answer] = pending_cell_calls_.Open();
  CommandResult result;
  result.error = ErrorKind::kOverloaded;
  result.text = "too many commands wait";
  if (!inputs_.TryPush(CellInput{ticket, std::move(call), deadline})) {
    pending_cell_calls_.Abandon(ticket);
    return result;
  }
  if (answer.wait_for(deadline - MonotonicClock::now()) !=
      std::future_status::ready) {
    pending_cell_calls_.Abandon(ticket);
    result.error = ErrorKind::kUnknownOutcome;
    result.text = "no answer in time";
    return result;
  }
  return answer.get();
}

HttpReply ControlProcess::Await(std::uint64_t ticket,
                                std::future<HttpReply> reply,
                                Input input) {
  if (!inputs_.TryPush(std::move(input))) {
    pending_.Abandon(ticket);
    return ErrorReply(ErrorKind::kOverloaded, "too many commands wait");
  }
  if (reply.wait_for(kCommandTimeout) != std::future_status::ready) {
    pending_.Abandon(ticket);
    return ErrorReply(
        ErrorKind::kUnknownOutcome,
        "no answer in time; resend the command under the same id");
  }
  return reply.get();
}

void ControlProcess::RunDisk() {
  while (!persist_ring_.drained()) {
    const std::vector<PersistBatch> batches =
        persist_ring_.PopAll(MonotonicClock::now() + kMaintenanceInterval);
    if (batches.empty()) {
      continue;
    }
    const Time start = MonotonicClock::now();
    if (!WriteToDisk("log", [&](Reason& reason) {
          return storage_->Write(batches, reason);
        })) {
      return;
    }
    metrics_.Observe("disk_write_seconds", MonotonicClock::now() - start);
    Push(Persisted{batches.back().seq});
  }
}

bool ControlProcess::WriteToDisk(
    std::string_view write_kind,
    const std::function<bool(Reason& reason)>& write) {
  const Time start = MonotonicClock::now();
  std::uint64_t refusals = 0;
  Reason reason;
  while (!write(reason)) {
    if (reason.kind != ErrorKind::kDiskFull) {
      // The content of the disk is unknown after a failed write, so the process
      // must not continue on it.
      WriteEvent(Event(EventId::kDiskLost)
                     .With("write", write_kind)
                     .With("reason", ToString(reason)));
      std::_Exit(kDiskFailureExitCode);
    }
    // The disk is full: nothing was written and nothing was acknowledged, so
    // the write can be retried. Meanwhile the cell works with its other
    // replicas.
    if (refusals++ == 0) {
      WriteEvent(Event(EventId::kDiskRefused)
                     .With("write", write_kind)
                     .With("reason", ToString(reason)));
    }
    metrics_.Increment("disk_refusals");
    if (must_end_) {
      return false;
    }
    std::this_thread::sleep_for(kDiskFullRetryInterval);
  }
  if (refusals > 0) {
    WriteEvent(Event(EventId::kDiskRegained)
                   .With("write", write_kind)
                   .With("refusals", refusals)
                   .With("waited_ms", ToMillis(MonotonicClock::now() - start)));
  }
  return true;
}

void ControlProcess::RunSnapshots() {
  SnapshotRequest order;
  while (!compaction_ring_.drained()) {
    if (!WriteToDisk("removal", [&](Reason& reason) {
          return storage_->RemoveReleasedSegments(reason);
        })) {
      return;
    }
    if (!compaction_ring_.PopOne(
            order, MonotonicClock::now() + kMaintenanceInterval)) {
      continue;
    }
    order.snapshot.state = order.state->Encode();
    order.state.reset();
    if (!WriteToDisk("snapshot", [&](Reason& reason) {
          return storage_->Compact(order.snapshot, reason);
        })) {
      return;
    }
    Push(Compacted{std::move(order.snapshot)});
  }
}

void ControlProcess::RunCore() {
  Time next_maintenance = MonotonicClock::now();
  while (!must_end_) {
    const Time wait_start = MonotonicClock::now();
    const Time wait_deadline =
        core_->HasMoreToApply() ? wait_start : wait_start + kTickInterval;
    std::vector<Input> batch =
        inputs_.PopUpTo(kMaxInputsPerTurn, wait_deadline);
    turn_.Begin(MonotonicClock::now(), wait_deadline, batch.size(),
                ThreadCpuTime());
    for (Input& input : batch) {
      const std::string_view kind = KindOf(input);
      HandleInput(MonotonicClock::now(), std::move(input));
      turn_.OnInputHandled(MonotonicClock::now(), kind);
    }
    const Time now = MonotonicClock::now();
    turn_.EndPart(now, "inputs");
    core_->Tick(now, WallNow(), read_marks_.heard_until());
    turn_.EndPart(MonotonicClock::now(), "tick");
    ControlOutputs outputs = core_->TakeOutputs(now, WallNow());
    turn_.EndPart(MonotonicClock::now(), "apply");
    ApplyOutputs(std::move(outputs));
    turn_.EndPart(MonotonicClock::now(), "send");
    read_marks_.Tick(MonotonicClock::now(), [this](ReadMark mark) {
      network_->AfterReading([this, mark] { Push(mark); });
    });
    must_stay_ = !is_leave_handled_ || core_->raft().MustStay(now);
    if (now >= next_maintenance) {
      next_maintenance = now + kMaintenanceInterval;
      MaintainConnections(now);
    }
    EndTurn();
  }
}

void ControlProcess::EndTurn() {
  if (const auto event = turn_.End(MonotonicClock::now(), ThreadCpuTime())) {
    WriteEvent(*event);
    metrics_.Increment("long_turns");
  }
  metrics_.Observe("turn_seconds", turn_.took());
}

std::set<std::string> ControlProcess::DialledAddresses() const {
  if (settings_.seeds.empty()) {
    return dialled_addresses_;
  }
  const RaftCore& raft = core_->raft();
  return AddressesToDial(
      {settings_.id, raft.leader(), raft.contacts(), raft.log().membership()});
}

void ControlProcess::MaintainConnections(Time now) {
  maintained_addresses_ = DialledAddresses();
  network_->Maintain(now, maintained_addresses_);
  const RaftCore& raft = core_->raft();
  for (const Outbound& outbound :
       announcer_.Announce(raft.log().membership(), raft.contacts().seeds())) {
    network_->Send(outbound.to, outbound.message);
  }
}

void ControlProcess::HandlePeerEvent(Time now, const PeerEvent& event) {
  const std::string& peer = event.sender.id;
  switch (event.kind) {
    case PeerEvent::Kind::kMessage: {
      core_->Receive(now, WallNow(), event.sender, event.message);
      return;
    }
    case PeerEvent::Kind::kUp: {
      announcer_.OnUp(peer);
      break;
    }
    case PeerEvent::Kind::kDown: {
      announcer_.OnDown(peer);
      core_->OnPeerDisconnected(now, peer);
      break;
    }
  }
  if (maintained_addresses_.contains(peer)) {
    const bool is_up = event.kind == PeerEvent::Kind::kUp;
    WriteEvent(Event(is_up ? EventId::kPeerUp : EventId::kPeerDown)
                   .With("peer", peer));
  }
}

void ControlProcess::HandleInput(Time now, Input input) {
  if (auto* event = std::get_if<PeerEvent>(&input)) {
    HandlePeerEvent(now, *event);
  } else if (const auto* persisted = std::get_if<Persisted>(&input)) {
    core_->OnPersisted(now, persisted->seq);
  } else if (auto* compacted = std::get_if<Compacted>(&input)) {
    core_->OnSnapshotWritten(std::move(compacted->snapshot));
  } else if (const auto* command = std::get_if<ApiCommand>(&input)) {
    core_->Submit(now, WallNow(), command->ticket, command->command);
  } else if (auto* cell_input = std::get_if<CellInput>(&input)) {
    if (cell_input->deadline <= now) {
      // Its caller has been told that there was no answer in time.
      return;
    }
    if (auto* logged = std::get_if<Command>(&cell_input->call)) {
      LoggedCommand cell_command;
      cell_command.command = std::move(*logged);
      core_->Submit(now, WallNow(), cell_input->ticket | kCellTicketBit,
                    cell_command);
    } else {
      const auto& cell_query = std::get<CellQuery>(cell_input->call);
      core_->Query(now, WallNow(), cell_input->ticket | kCellTicketBit,
                   cell_query.kind, cell_query.key);
    }
  } else if (const auto* query = std::get_if<ApiQuery>(&input)) {
    AnswerApiQuery(now, *query);
  } else if (const auto* mark = std::get_if<ReadMark>(&input)) {
    read_marks_.OnMark(*mark);
  } else if (auto* seeds = std::get_if<SeedsInput>(&input)) {
    core_->SetSeeds(std::move(seeds->seeds));
  } else {
    core_->Leave(now);
    is_leave_handled_ = true;
  }
}

void ControlProcess::AnswerApiQuery(Time now, const ApiQuery& query) {
  const std::string& leader = core_->raft().leader();
  for (const ControlMember& member : settings_.members) {
    if (member.id == leader && leader != settings_.id) {
      HttpReply redirect;
      redirect.status = kTemporaryRedirect;
      redirect.fields.push_back(
          {"Location", "http://" + member.api + query.path});
      pending_.Resolve(query.ticket, std::move(redirect));
      return;
    }
  }
  HttpReply reply = AnswerQuery(*core_, query.path, now);
  reply.fields.push_back(
      {"Banyan-Fresh", core_->IsFresh(now) ? "true" : "false"});
  pending_.Resolve(query.ticket, std::move(reply));
}

void ControlProcess::ApplyOutputs(ControlOutputs outputs) {
  WriteEvents(outputs.events);
  for (const Event& event : outputs.events) {
    metrics_.Increment("events{event=\"" + std::string(EventName(event.id())) +
                       "\"}");
    if (event.id() == EventId::kTaskGivenUp) {
      metrics_.Increment("tasks_given_up");
    }
  }
  for (PersistBatch& batch : outputs.persists) {
    if (!persist_ring_.TryPush(std::move(batch))) {
      WriteEvent(Event(EventId::kDiskLost)
                     .With("write", "log")
                     .With("reason", "the ring of batches is full"));
      std::_Exit(kDiskFailureExitCode);
    }
  }
  // At most one compaction is in flight, so the ring has space.
  if (outputs.snapshot_request) {
    static_cast<void>(
        compaction_ring_.TryPush(*std::move(outputs.snapshot_request)));
  }
  for (const Outbound& outbound : outputs.messages) {
    network_->Send(outbound.to, outbound.message);
  }
  for (const LocalReply& answer : outputs.local_replies) {
    if ((answer.ticket & kCellTicketBit) != 0) {
      pending_cell_calls_.Resolve(answer.ticket & ~kCellTicketBit,
                                  answer.result);
      continue;
    }
    pending_.Resolve(answer.ticket, CommandReplyFor(answer.result));
  }
  const ControlState& state = core_->state();
  metrics_.SetGauge("config_version",
                    static_cast<double>(state.config().version));
  metrics_.SetGauge("commit_index",
                    static_cast<double>(core_->raft().commit_index()));
  metrics_.SetGauge("term", static_cast<double>(core_->raft().term()));
  const Time now = MonotonicClock::now();
  metrics_.SetGauge("cell_voters",
                    static_cast<double>(core_->raft().voter_count()));
  metrics_.SetGauge("cell_voters_heard",
                    static_cast<double>(core_->raft().HeardVoters(now)));
  metrics_.SetGauge("cell_losses_borne",
                    static_cast<double>(core_->raft().LossesBorne(now)));
  metrics_.SetGauge("cell_losses_required",
                    static_cast<double>(settings_.losses_required));
  metrics_.SetGauge(
      "cell_learners",
      static_cast<double>(core_->raft().log().membership().learners.size()));
  metrics_.SetGauge("cell_learner_lag",
                    static_cast<double>(core_->raft().LearnerLag()));
  metrics_.SetGauge("plan_peers",
                    static_cast<double>(core_->plan_watch().peers()));
  metrics_.SetGauge("plan_peers_behind",
                    static_cast<double>(core_->plan_watch().PeersBehind(now)));
  metrics_.SetGauge("plan_lag_seconds", std::chrono::duration<double>(
                                            core_->plan_watch().LongestLag(now))
                                            .count());
  metrics_.SetGauge("instances", static_cast<double>(state.instances().size()));
  metrics_.SetGauge("jobs", static_cast<double>(state.jobs().size()));
  metrics_.SetGauge("suspects",
                    static_cast<double>(state.graphs().suspects().size()));
  metrics_.SetGauge(
      "long_running_starved_seconds",
      std::chrono::duration<double>(core_->starved_time()).count());
  const StatusWaitCounters& waits = core_->status_wait_counters();
  metrics_.SetGauge("status_reads_waited{until=\"end\"}",
                    static_cast<double>(waits.ended));
  metrics_.SetGauge("status_reads_waited{until=\"deadline\"}",
                    static_cast<double>(waits.timed_out));
  metrics_.SetGauge("sent_bytes", static_cast<double>(network_->sent_bytes()));
}

}  // namespace banyan
