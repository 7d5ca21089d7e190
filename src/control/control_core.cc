#include "banyan/control/control_core.h"

#include <algorithm>
#include <utility>

#include "banyan/graph/queue_match.h"
#include "banyan/wire/codec.h"

namespace banyan {
namespace {

// Interval between two rounds of the job scheduler.
constexpr Duration kScheduleInterval = Millis(50);
// Time after which the start of a placed task is sent again if the heartbeats
// of its agent do not list the task.
constexpr WallMillis kResendStartMs = 1000;
// Interval between two decisions on job graphs while tasks are ready.
constexpr Duration kGraphInterval = Millis(10);
// Interval between two decisions on job graphs while no task is ready.
constexpr Duration kIdleGraphInterval = Millis(100);
// Interval between checks of which processes lack the plan in force.
constexpr Duration kPlanCheckInterval = Millis(100);

}  // namespace

ControlCore::ControlCore(ControlOptions options, RestoredLog restored, Time now)
    : options_(std::move(options)),
      raft_(options_.raft, std::move(restored), now),
      graphs_(options_.graphs),
      next_schedule_(now),
      restored_index_(raft_.log().last_index()),
      plan_watch_(options_.plan_bound),
      next_plan_check_(now),
      status_waits_(options_.status_wait) {
  // Writing a snapshot slows down log syncs. If all replicas wrote theirs at
  // the same entry, commits would be slow too, so their snapshots are
  // staggered.
  const std::vector<std::string>& replicas = options_.raft.configured_ids;
  const auto self =
      std::find(replicas.begin(), replicas.end(), options_.raft.self.id);
  snapshot_turn_ = static_cast<std::uint64_t>(self - replicas.begin());
  graphs_.OnRestored(now);
}

void ControlCore::Tick(Time now, WallMillis wall, Time heard_until) {
  heard_until_ = std::max(heard_until_, heard_until);
  raft_.Tick(now, heard_until_);
  UpdateLeadership(now);
  if (is_leading_ && now >= next_schedule_) {
    next_schedule_ = now + kScheduleInterval;
    RunScheduler(now, wall);
  }
  ScheduleGraphs(now, wall);
  if (now >= next_plan_check_) {
    next_plan_check_ = now + kPlanCheckInterval;
    Events events = plan_watch_.Tick(now);
    std::move(events.begin(), events.end(),
              std::back_inserter(outputs_.events));
  }
}

void ControlCore::ScheduleGraphs(Time now, WallMillis wall) {
  if (!is_leading_ || now < next_graph_decision_ || !raft_.HoldsLease(now)) {
    return;
  }
  const bool has_ready = !state_.graphs().ready_graphs().empty();
  next_graph_decision_ =
      now + (has_ready ? kGraphInterval : kIdleGraphInterval);
  graphs_.Decide(now, wall, state_.graphs(), heard_until_);
  CollectGraphOutputs(now, wall);
}

void ControlCore::CollectGraphOutputs(Time now, WallMillis wall) {
  GraphLeaderOutputs outputs = graphs_.TakeOutputs();
  for (Command& command : outputs.proposals) {
    has_proposed_ =
        ProposeCommand(now, wall, std::move(command)) || has_proposed_;
  }
  for (Outbound& order : outputs.orders) {
    SendToAttached(order.to, std::move(order.message));
  }
  std::move(outputs.events.begin(), outputs.events.end(),
            std::back_inserter(outputs_.events));
}

void ControlCore::OnPersisted(Time now, std::uint64_t seq) {
  raft_.OnPersisted(now, seq);
}

void ControlCore::Leave(Time now) {
  raft_.Leave(now);
}

void ControlCore::UpdateLeadership(Time now) {
  const bool is_ready_to_lead = raft_.HasCommittedInCurrentTerm() &&
                                applied_index_ >= raft_.commit_index();
  if (is_ready_to_lead && !is_leading_) {
    is_leading_ = true;
    scheduler_.Reset(now, state_, options_.lease + options_.lease_margin);
    graphs_.Reset(now, state_.graphs(), raft_.term());
  } else if (is_leading_ && raft_.role() != RaftRole::kLeader) {
    StopLeading();
  }
}

void ControlCore::StopLeading() {
  is_leading_ = false;
  const auto pending = std::exchange(pending_commands_, {});
  for (const auto& [index, request] : pending) {
    ReplyError(request.origin, request.seq, ErrorKind::kNoQuorum,
               "the leader changed; resend the command under the same id");
  }
  for (const auto& [graph, reader] : status_waits_.TakeAll()) {
    ReplyError(reader.origin, reader.seq, ErrorKind::kNotLeader,
               "the leader changed");
  }
  pending_registrations_.clear();
  pending_task_ends_.clear();
  routes_.clear();
  entries_.clear();
}

void ControlCore::Receive(Time now,
                          WallMillis wall,
                          const Sender& from,
                          const Message& message) {
  if (const auto* up = std::get_if<RelayUp>(&message)) {
    HandleRelay(now, wall, from, *up);
  } else if (const auto* down = std::get_if<RelayDown>(&message)) {
    HandleRelay(*down);
  } else if (std::holds_alternative<AgentHello>(message) ||
             std::holds_alternative<Heartbeat>(message) ||
             std::holds_alternative<TaskReport>(message) ||
             std::holds_alternative<EntryHeartbeat>(message) ||
             std::holds_alternative<CommandRequest>(message) ||
             std::holds_alternative<WorkerSync>(message) ||
             std::holds_alternative<CellQuery>(message) ||
             std::holds_alternative<EntryStatus>(message) ||
             std::holds_alternative<PlanRequest>(message)) {
    ReceiveAttached(now, wall, from, message);
  } else {
    raft_.Receive(now, from, message);
  }
}

void ControlCore::ReceiveAttached(Time now,
                                  WallMillis wall,
                                  const Sender& from,
                                  const Message& message) {
  AttachedProcess& attached = attached_[from.id];
  if (attached.incarnation != from.incarnation) {
    attached = AttachedProcess{};
    attached.incarnation = from.incarnation;
    SendMembers(from.id);
  }
  if (const auto* status = std::get_if<EntryStatus>(&message)) {
    attached.plan_delivery = status->delivery;
    HandleStatus(now, from.id, *status);
    return;
  }
  if (const auto* request = std::get_if<PlanRequest>(&message)) {
    for (Message& part :
         plan_sender_.Answer(from.id, *request, state_.graphs().plan())) {
      outputs_.messages.push_back({from.id, std::move(part)});
    }
    return;
  }
  if (const auto* entry = std::get_if<EntryHeartbeat>(&message)) {
    attached.is_entry = true;
    attached.table_version = entry->table_version;
    SendNewerVersions(from.id, entry->config_version, entry->table_version);
    outputs_.messages.push_back(
        {from.id, EntryHeartbeatAck{entry->seq, IsFresh(now)}});
  } else if (const auto* agent = std::get_if<Heartbeat>(&message)) {
    SendNewerVersions(from.id, agent->config_version,
                      state_.endpoints_version());
  }
  HandleOrForward(now, wall, {options_.raft.self.id, from.id, from.incarnation},
                  message);
}

void ControlCore::HandleStatus(Time now,
                               const std::string& peer,
                               const EntryStatus& status) {
  if (status.delivery != PlanDelivery::kNone) {
    plan_watch_.OnHeld(now, peer, status.plan_version);
    if (status.plan_version < state_.graphs().plan().version) {
      AnnouncePlan(peer, status.delivery);
    }
  }
  outputs_.messages.push_back({peer, EntryStatusAck{status.seq, IsFresh(now)}});
}

void ControlCore::AnnouncePlan(const std::string& peer, PlanDelivery delivery) {
  const ServicePlan& plan = state_.graphs().plan();
  if (delivery == PlanDelivery::kWhole) {
    outputs_.messages.push_back({peer, PlanUpdate{plan}});
  } else if (delivery == PlanDelivery::kParts) {
    outputs_.messages.push_back({peer, PlanOffer{plan.version}});
  }
}

void ControlCore::OnPeerDisconnected(Time now, const std::string& peer) {
  attached_.erase(peer);
  plan_sender_.Remove(peer);
  plan_watch_.Remove(now, peer);
}

void ControlCore::SendNewerVersions(const std::string& peer,
                                    std::uint64_t config_version,
                                    std::uint64_t table_version) {
  if (config_version < state_.config().version) {
    outputs_.messages.push_back({peer, state_.config_update()});
  }
  // A table of the past would replace a newer one.
  if (IsRestoring() || table_version == state_.endpoints_version()) {
    return;
  }
  EndpointTable table;
  table.version = state_.endpoints_version();
  for (const auto& [id, instance] : state_.instances()) {
    if (instance.info.role == InstanceRole::kEndpoint) {
      table.changed.push_back(instance.info);
    }
  }
  attached_[peer].table_version = table.version;
  outputs_.messages.push_back({peer, std::move(table)});
}

void ControlCore::HandleOrForward(Time now,
                                  WallMillis wall,
                                  const Origin& origin,
                                  const Message& message) {
  if (raft_.role() == RaftRole::kLeader) {
    routes_[origin.peer] = origin;
    std::visit(
        [&](const auto& body) {
          if constexpr (requires { HandleAsLeader(now, wall, origin, body); }) {
            HandleAsLeader(now, wall, origin, body);
          }
        },
        message);
    return;
  }
  const auto* request = std::get_if<CommandRequest>(&message);
  const bool is_relayed = origin.replica != options_.raft.self.id;
  const auto* query = std::get_if<CellQuery>(&message);
  if (raft_.leader().empty() || is_relayed) {
    const std::string text = raft_.IsMember()
                                 ? "no leader is known at present"
                                 : "the replica waits for its admission";
    if (request != nullptr) {
      ReplyError(origin, request->seq, ErrorKind::kNotLeader, text);
    } else if (query != nullptr) {
      ReplyError(origin, query->seq, ErrorKind::kNotLeader, text);
    }
    return;
  }
  pending_relay_up_.items.push_back(
      {origin.peer, origin.incarnation, Encode(message)});
}

void ControlCore::HandleRelay(Time now,
                              WallMillis wall,
                              const Sender& from,
                              const RelayUp& relay) {
  for (const RelayItem& item : relay.items) {
    Reason reason;
    const auto message = DecodeMessage(item.frame, reason);
    if (!message) {
      outputs_.events.push_back(Event(EventId::kPeerMessageRefused)
                                    .With("peer", item.peer)
                                    .With("reason", reason.text));
      continue;
    }
    HandleOrForward(now, wall, {from.id, item.peer, item.incarnation},
                    *message);
  }
}

void ControlCore::HandleRelay(const RelayDown& relay) {
  for (const RelayItem& item : relay.items) {
    Reason reason;
    auto message = DecodeMessage(item.frame, reason);
    if (!message) {
      outputs_.events.push_back(Event(EventId::kPeerMessageRefused)
                                    .With("peer", item.peer)
                                    .With("reason", reason.text));
      continue;
    }
    if (item.peer == options_.raft.self.id) {
      auto* reply = std::get_if<CommandReply>(&*message);
      if (reply != nullptr && item.incarnation == options_.session) {
        outputs_.local_replies.push_back(
            {reply->seq, std::move(reply->result)});
      }
      continue;
    }
    if (IsAttached(item.peer, item.incarnation)) {
      outputs_.messages.push_back({item.peer, *std::move(message)});
    }
  }
}

void ControlCore::Submit(Time now,
                         WallMillis wall,
                         std::uint64_t ticket,
                         const LoggedCommand& command) {
  const std::string& self = options_.raft.self.id;
  HandleOrForward(now, wall, {self, self, options_.session},
                  CommandRequest{ticket, command});
}

void ControlCore::Query(Time now,
                        WallMillis wall,
                        std::uint64_t ticket,
                        CellQueryKind kind,
                        const std::string& key) {
  const std::string& self = options_.raft.self.id;
  HandleOrForward(now, wall, {self, self, options_.session},
                  CellQuery{ticket, kind, key});
}

void ControlCore::HandleAsLeader(Time now,
                                 WallMillis wall,
                                 const Origin& origin,
                                 const WorkerSync& sync) {
  if (!is_leading_) {
    return;
  }
  graphs_.OnSync(now, state_.graphs(), origin.peer, sync,
                 raft_.HoldsLease(now));
  CollectGraphOutputs(now, wall);
}

void ControlCore::HandleAsLeader(Time now,
                                 WallMillis /*wall*/,
                                 const Origin& origin,
                                 const CellQuery& query) {
  // While the leader holds its lease, no other replica can have committed newer
  // entries.
  if (!is_leading_ || !raft_.HoldsLease(now)) {
    ReplyError(origin, query.seq, ErrorKind::kNotLeader,
               "the leader is not confirmed at present");
    return;
  }
  if (query.kind == CellQueryKind::kGraph) {
    const Graph* graph = state_.graphs().FindGraph(query.key);
    if (graph != nullptr && status_waits_.MayWait(*graph)) {
      status_waits_.Add(now, query.key, {query.seq, origin});
      return;
    }
  }
  Reply(origin, query.seq, AnswerQuery(query.kind, query.key));
}

void ControlCore::AnswerWaitingReads(Time now) {
  for (const auto& [graph, reader] :
       status_waits_.TakeDue(now, state_.graphs())) {
    // Another leader may have committed more since the read arrived.
    if (raft_.HoldsLease(now)) {
      Reply(reader.origin, reader.seq,
            AnswerQuery(CellQueryKind::kGraph, graph));
    } else {
      ReplyError(reader.origin, reader.seq, ErrorKind::kNotLeader,
                 "the leader is not confirmed at present");
    }
  }
}

CommandResult ControlCore::AnswerQuery(CellQueryKind kind,
                                       const std::string& key) const {
  CommandResult result;
  result.ok = true;
  switch (kind) {
    case CellQueryKind::kPlan:
      result.version = state_.graphs().plan().version;
      result.text = state_.graphs().plan().document;
      break;
    case CellQueryKind::kPlanVersion:
      result.version = state_.graphs().plan().version;
      break;
    case CellQueryKind::kEvacuations:
      result.version = state_.graphs().evacuation_changes();
      break;
    case CellQueryKind::kGraph: {
      const Graph* graph = state_.graphs().FindGraph(key);
      if (graph == nullptr) {
        result.ok = false;
        result.error = ErrorKind::kNotFound;
        break;
      }
      result.text = ToString(graph->state);
      result.failure = graph->failure;
      break;
    }
    case CellQueryKind::kPending:
      if (state_.graphs().FindQueue(key) == nullptr) {
        result.ok = false;
        result.error = ErrorKind::kNotFound;
        result.text = "no such queue";
        break;
      }
      result.version = static_cast<std::uint64_t>(
          graphs_.PendingGraphCount(state_.graphs(), key));
      break;
  }
  return result;
}

bool ControlCore::ProposeCommand(Time now, WallMillis wall, Command command) {
  LoggedCommand logged;
  logged.proposed_at = wall;
  logged.command = std::move(command);
  return raft_.Propose(now, Encode(logged)).has_value();
}

void ControlCore::HandleAsLeader(Time now,
                                 WallMillis wall,
                                 const Origin& origin,
                                 const AgentHello& hello) {
  const Instance* known = state_.FindInstance(hello.info.id);
  if (known != nullptr && known->info == hello.info) {
    return;
  }
  const std::uint64_t registration_key =
      hello.info.incarnation * 2 + (hello.info.leaving ? 1 : 0);
  if (hello.info.incarnation != origin.incarnation ||
      pending_registrations_.contains({hello.info.id, registration_key})) {
    return;
  }
  if (ProposeCommand(now, wall, RegisterInstance{hello.info, hello.running})) {
    pending_registrations_.insert({hello.info.id, registration_key});
  }
}

void ControlCore::HandleAsLeader(Time now,
                                 WallMillis wall,
                                 const Origin& origin,
                                 const Heartbeat& heartbeat) {
  if (!is_leading_ || !raft_.HoldsLease(now)) {
    return;
  }
  HeartbeatAck ack;
  ack.seq = heartbeat.seq;
  ack.config_version = state_.config().version;
  const Instance* instance = state_.FindInstance(origin.peer);
  const bool is_known =
      instance != nullptr && instance->info.incarnation == origin.incarnation;
  const auto load = scheduler_.loads().find(origin.peer);
  if (is_known && load != scheduler_.loads().end() &&
      load->second.is_removing) {
    // The removal of the instance was already proposed, so the lease must not
    // be renewed.
    return;
  }
  ack.registered = is_known;
  if (is_known && heartbeat.leaving && !instance->info.leaving) {
    AgentHello hello{instance->info, {}};
    hello.info.leaving = true;
    HandleAsLeader(now, wall, origin, hello);
  }
  if (is_known) {
    ack.data_centre_out = state_.IsOutOfService(instance->info.data_centre);
    ack.lease_ms = ToMillis(options_.lease);
    scheduler_.OnHeartbeat(state_, origin.peer, origin.incarnation, heartbeat,
                           now + options_.lease + options_.lease_margin);
    Reconcile(wall, *instance, heartbeat);
  }
  SendToAttached(origin.peer, ack);
}

void ControlCore::Reconcile(WallMillis wall,
                            const Instance& instance,
                            const Heartbeat& heartbeat) {
  std::set<TaskId> reported;
  for (const TaskUsage& usage : heartbeat.usage) {
    reported.insert(usage.task);
    const Job* job = state_.FindJob(usage.task.job);
    const bool is_current = job != nullptr && job->state == JobState::kPlaced &&
                            job->attempt == usage.task.attempt &&
                            job->worker == instance.info.id;
    if (!is_current) {
      SendToAttached(instance.info.id,
                     StopTask{usage.task, false, "not placed here any more"});
    } else if (job->cancelling) {
      SendToAttached(instance.info.id,
                     StopTask{usage.task, false, "cancelled"});
    }
  }
  for (const std::string& key : instance.jobs) {
    const Job& job = *state_.FindJob(key);
    if (!reported.contains({key, job.attempt}) &&
        wall - job.changed_at > kResendStartMs) {
      SendStart(key, job);
    }
  }
}

void ControlCore::HandleAsLeader(Time now,
                                 WallMillis wall,
                                 const Origin& origin,
                                 const TaskReport& report) {
  // Without its lease the leader may not know the attempt that has ended.
  if (!is_leading_ || !raft_.HoldsLease(now)) {
    return;
  }
  const Job* job = state_.FindJob(report.task.job);
  const bool is_latest_attempt =
      job != nullptr && job->attempt == report.task.attempt;
  const bool is_late_finish = is_latest_attempt &&
                              job->state == JobState::kQueued &&
                              report.end == TaskEnd::kFinished;
  const bool is_current = is_latest_attempt && job->state == JobState::kPlaced;
  if (!is_current && !is_late_finish) {
    SendToAttached(origin.peer, TaskReportAck{report.task});
    return;
  }
  const bool is_from_current_worker =
      job->worker == origin.peer &&
      job->worker_incarnation == origin.incarnation;
  if ((is_current && !is_from_current_worker) ||
      pending_task_ends_.contains(report.task)) {
    return;
  }
  if (ProposeCommand(
          now, wall,
          EndTask{report.task, report.end, report.checkpoint, report.cause})) {
    pending_task_ends_.insert(report.task);
  }
}

void ControlCore::HandleAsLeader(Time now,
                                 WallMillis /*wall*/,
                                 const Origin& origin,
                                 const EntryHeartbeat& heartbeat) {
  entries_[origin.peer] = {origin.incarnation, heartbeat.config_version,
                           heartbeat.table_version, now};
}

void ControlCore::HandleAsLeader(Time now,
                                 WallMillis wall,
                                 const Origin& origin,
                                 const CommandRequest& request) {
  LoggedCommand logged = request.command;
  logged.proposed_at = wall;
  if (const auto* submit = std::get_if<SubmitGraph>(&logged.command)) {
    if (!is_leading_) {
      ReplyError(origin, request.seq, ErrorKind::kNotLeader,
                 "the leader is not settled yet");
      return;
    }
    // Entries and operator APIs check it as well; a graph that breaks an index
    // would end every replica that applies it.
    const bool is_known = state_.graphs().FindGraph(submit->id) != nullptr;
    if (const auto fault = ValidateGraph(submit->spec); fault && !is_known) {
      ReplyError(origin, request.seq, ErrorKind::kBadRequest, *fault);
      return;
    }
    if (auto refusal = graphs_.CheckAdmission(now, wall, state_.graphs(),
                                              *submit, raft_.HoldsLease(now))) {
      CollectGraphOutputs(now, wall);
      Reply(origin, request.seq, *std::move(refusal));
      return;
    }
  }
  const auto index = raft_.Propose(now, Encode(logged));
  if (!index) {
    ReplyError(origin, request.seq, ErrorKind::kNotLeader,
               "the leadership is being handed over");
    return;
  }
  pending_commands_[*index] = {raft_.term(), request.seq, origin};
}

void ControlCore::Reply(const Origin& origin,
                        std::uint64_t seq,
                        CommandResult result) {
  const std::string& self = options_.raft.self.id;
  if (origin.replica == self && origin.peer == self) {
    outputs_.local_replies.push_back({seq, std::move(result)});
    return;
  }
  SendTo(origin, CommandReply{seq, std::move(result)});
}

bool ControlCore::IsAttached(const std::string& peer,
                             std::uint64_t incarnation) const {
  const auto found = attached_.find(peer);
  return found != attached_.end() && found->second.incarnation == incarnation;
}

void ControlCore::SendTo(const Origin& origin, Message message) {
  if (origin.replica != options_.raft.self.id) {
    pending_relay_down_[origin.replica].items.push_back(
        {origin.peer, origin.incarnation, Encode(message)});
  } else if (IsAttached(origin.peer, origin.incarnation)) {
    outputs_.messages.push_back({origin.peer, std::move(message)});
  }
}

void ControlCore::ReplyError(const Origin& origin,
                             std::uint64_t seq,
                             ErrorKind error,
                             std::string text) {
  CommandResult result;
  result.error = error;
  result.text = std::move(text);
  Reply(origin, seq, std::move(result));
}

void ControlCore::SendToAttached(const std::string& peer, Message message) {
  const auto route = routes_.find(peer);
  if (route != routes_.end()) {
    SendTo(route->second, std::move(message));
  }
}

void ControlCore::SendStart(const std::string& key, const Job& job) {
  StartTask start;
  start.task = {key, job.attempt};
  start.incarnation = job.worker_incarnation;
  start.spec = job.spec;
  start.checkpoint = job.checkpoint;
  start.config_version = state_.config().version;
  SendToAttached(job.worker, std::move(start));
}

void ControlCore::RunScheduler(Time now, WallMillis wall) {
  if (!raft_.HoldsLease(now)) {
    return;
  }
  for (RemoveInstance& removal : scheduler_.TakeExpired(heard_until_, state_)) {
    ProposeCommand(now, wall, std::move(removal));
  }
  SchedulerOutputs decided = scheduler_.Decide(now, state_);
  for (PlaceTask& place : decided.placements) {
    ProposeCommand(now, wall, std::move(place));
  }
  for (const TaskAction& action : decided.actions) {
    switch (action.kind) {
      case TaskAction::Kind::kEvict:
        SendToAttached(action.worker,
                       StopTask{action.task, true, action.cause});
        break;
      case TaskAction::Kind::kThrottle:
        SendToAttached(action.worker,
                       ThrottleTask{action.task, action.cpu_share_percent});
        break;
    }
  }
  std::move(decided.events.begin(), decided.events.end(),
            std::back_inserter(outputs_.events));
}

void ControlCore::ApplyCommitted(Time now,
                                 const std::vector<LogEntry>& committed) {
  for (const LogEntry& entry : committed) {
    ApplyEntry(now, entry);
    applied_index_ = entry.index;
    state_.AddLogBytes(entry.data.size());
  }
  if (is_snapshot_pending_ || !IsSnapshotDue()) {
    return;
  }
  if (auto snapshot = raft_.SnapshotMetadataAt(applied_index_)) {
    snapshot_index_ = applied_index_;
    snapshot_log_bytes_ = state_.log_bytes();
    is_snapshot_pending_ = true;
    outputs_.snapshot_request = SnapshotRequest{
        *std::move(snapshot), std::make_shared<const ControlState>(state_)};
  }
}

bool ControlCore::IsSnapshotDue() const {
  // Doubling keeps the turns of replicas whose snapshots differ slightly in
  // size apart.
  std::uint64_t interval_bytes = options_.snapshot_interval_bytes;
  while (interval_bytes < raft_.log().snapshot().state.size()) {
    interval_bytes *= 2;
  }
  return HasTurnBetween(snapshot_index_, applied_index_,
                        options_.snapshot_interval_entries) ||
         HasTurnBetween(snapshot_log_bytes_, state_.log_bytes(),
                        interval_bytes);
}

bool ControlCore::HasTurnBetween(std::uint64_t from,
                                 std::uint64_t to,
                                 std::uint64_t interval) const noexcept {
  const std::uint64_t offset =
      interval * snapshot_turn_ / (options_.raft.configured_ids.size() + 1);
  return (to + offset) / interval > (from + offset) / interval;
}

void ControlCore::OnSnapshotWritten(Snapshot snapshot) {
  is_snapshot_pending_ = false;
  raft_.Compact(std::move(snapshot));
}

void ControlCore::ApplyEntry(Time now, const LogEntry& entry) {
  if (entry.kind != EntryKind::kCommand) {
    return;
  }
  Reason reason;
  const auto command = DecodeCommand(entry.data, reason);
  if (!command) {
    outputs_.events.push_back(Event(EventId::kPeerMessageRefused)
                                  .With("index", entry.index)
                                  .With("reason", reason.text));
    return;
  }
  Job job_before;
  const auto* end = std::get_if<EndTask>(&command->command);
  if (end != nullptr) {
    const Job* job = state_.FindJob(end->task.job);
    job_before = job == nullptr ? Job{} : *job;
  }
  Applied applied = state_.Apply(*command);
  if (is_leading_ && end != nullptr &&
      job_before.attempt == end->task.attempt &&
      job_before.state == JobState::kPlaced) {
    scheduler_.OnTaskEnd(now, job_before, *end, applied.events);
  }
  if (end != nullptr) {
    pending_task_ends_.erase(end->task);
    // The worker is empty for a late finish, so nothing is sent here; the agent
    // repeats its report and is then acknowledged.
    SendToAttached(job_before.worker, TaskReportAck{end->task});
  }
  HandleApplied(now, *command, applied);
  const auto pending = pending_commands_.find(entry.index);
  if (pending != pending_commands_.end()) {
    if (pending->second.term == entry.term) {
      Reply(pending->second.origin, pending->second.seq, applied.result);
    } else {
      ReplyError(pending->second.origin, pending->second.seq,
                 ErrorKind::kNoQuorum, "another leader took over");
    }
    pending_commands_.erase(pending);
  }
  // Every replica applies the entry, but only the leader logs its events.
  // Events of entries restored from disk were logged before the restart;
  // logging thousands of them again would delay the recovery.
  if (raft_.role() == RaftRole::kLeader && entry.index > restored_index_) {
    std::move(applied.events.begin(), applied.events.end(),
              std::back_inserter(outputs_.events));
    if (!applied.result.ok && !command->command_id.empty()) {
      outputs_.events.push_back(Event(EventId::kCommandRefused)
                                    .With("command", command->command_id)
                                    .With("reason", applied.result.text));
    }
  }
}

void ControlCore::HandleApplied(Time now,
                                const LoggedCommand& command,
                                const Applied& applied) {
  if (applied.config_changed) {
    BroadcastConfig();
  }
  if (!applied.changed_endpoint.empty()) {
    BroadcastEndpoint(applied.changed_endpoint);
  }
  if (const auto* registered =
          std::get_if<RegisterInstance>(&command.command)) {
    const InstanceInfo& info = registered->info;
    pending_registrations_.erase(
        {info.id, info.incarnation * 2 + (info.leaving ? 1 : 0)});
    const Instance* instance = state_.FindInstance(info.id);
    if (is_leading_ && instance != nullptr) {
      scheduler_.OnRegistered(*instance,
                              now + options_.lease + options_.lease_margin);
    }
  } else if (const auto* removed =
                 std::get_if<RemoveInstance>(&command.command)) {
    if (state_.FindInstance(removed->id) == nullptr) {
      scheduler_.OnRemoved(removed->id);
    }
  } else if (const auto* placed = std::get_if<PlaceTask>(&command.command)) {
    const Job* job = state_.FindJob(placed->task.job);
    if (job != nullptr) {
      scheduler_.OnPlaced(*placed, job->spec);
    }
  }
  if (applied.graph) {
    if (applied.graph->plan_changed && applied_index_ < restored_index_) {
      has_restored_plan_ = true;
    } else if (applied.graph->plan_changed) {
      BroadcastPlan(now);
    }
    if (is_leading_) {
      graphs_.OnApplied(now, state_.graphs(), command.command, *applied.graph);
      CollectGraphOutputs(now, command.proposed_at);
    } else {
      graphs_.OnFollowed(now, *applied.graph);
    }
  }
  if (!is_leading_) {
    return;
  }
  if (applied.placed_task) {
    SendStart(applied.placed_task->job,
              *state_.FindJob(applied.placed_task->job));
  }
  for (const TaskId& task : applied.tasks_to_stop) {
    SendToAttached(state_.FindJob(task.job)->worker,
                   StopTask{task, false, "cancelled"});
  }
}

void ControlCore::BroadcastConfig() {
  const ConfigUpdate update = state_.config_update();
  outputs_.events.push_back(Event(EventId::kConfigInForce)
                                .With("version", update.version)
                                .With("preset", update.preset_name)
                                .With("out", update.out.size()));
  for (const auto& [peer, attached] : attached_) {
    outputs_.messages.push_back({peer, update});
  }
}

void ControlCore::BroadcastPlan(Time now) {
  const ServicePlan& plan = state_.graphs().plan();
  plan_watch_.OnInForce(now, plan.version);
  outputs_.events.push_back(Event(EventId::kPlanInForce)
                                .With("version", plan.version)
                                .With("queues", plan.queues.size()));
  for (const auto& [peer, attached] : attached_) {
    AnnouncePlan(peer, attached.plan_delivery);
  }
}

void ControlCore::SendMembers(const std::string& peer) {
  CellMembers members;
  for (const MemberId& voter : raft_.log().membership().voters) {
    members.addresses.push_back(voter.id);
  }
  if (!members.addresses.empty()) {
    outputs_.messages.push_back({peer, std::move(members)});
  }
}

void ControlCore::BroadcastEndpoint(const std::string& id) {
  EndpointTable delta;
  delta.version = state_.endpoints_version();
  delta.full = false;
  const Instance* instance = state_.FindInstance(id);
  if (instance == nullptr) {
    delta.removed.push_back(id);
  } else {
    delta.changed.push_back(instance->info);
  }
  for (auto& [peer, attached] : attached_) {
    if (attached.is_entry && attached.table_version + 1 == delta.version) {
      attached.table_version = delta.version;
      outputs_.messages.push_back({peer, delta});
    }
  }
}

ControlOutputs ControlCore::TakeOutputs(Time now, WallMillis wall) {
  CollectRaftOutputs(now);
  AnswerWaitingReads(now);
  // Applied entries may cause new proposals; these are sent without waiting for
  // the next tick.
  ScheduleGraphs(now, wall);
  if (std::exchange(has_proposed_, false)) {
    CollectRaftOutputs(now);
  }
  // Without a leader the messages are dropped; their senders repeat them.
  RelayUp up = std::exchange(pending_relay_up_, {});
  const bool has_other_leader =
      !raft_.leader().empty() && raft_.role() != RaftRole::kLeader;
  if (!up.items.empty() && has_other_leader) {
    outputs_.messages.push_back({raft_.leader(), std::move(up)});
  }
  for (auto& [replica, relay] : pending_relay_down_) {
    outputs_.messages.push_back({replica, std::move(relay)});
  }
  pending_relay_down_.clear();
  parts_left_ = HasMoreToApply() ? parts_left_ + 1 : 0;
  return std::exchange(outputs_, ControlOutputs{});
}

void ControlCore::CollectRaftOutputs(Time now) {
  HandleRaftOutputs(now, raft_.TakeOutputs(now));
  if (!IsRestoring() && std::exchange(has_restored_plan_, false)) {
    BroadcastPlan(now);
  }
}

void ControlCore::HandleRaftOutputs(Time now, RaftOutputs raft) {
  if (raft.installed_snapshot) {
    Reason reason;
    if (auto state =
            ControlState::Decode(raft.installed_snapshot->state, reason)) {
      state_ = *std::move(state);
      applied_index_ = raft.installed_snapshot->last_index;
      snapshot_index_ = applied_index_;
      snapshot_log_bytes_ = state_.log_bytes();
      graphs_.OnRestored(now);
      BroadcastConfig();
      BroadcastPlan(now);
    } else {
      outputs_.events.push_back(
          Event(EventId::kPeerMessageRefused)
              .With("index", raft.installed_snapshot->last_index)
              .With("reason", reason.text));
    }
  }
  if (raft_.log().membership_index() != sent_membership_index_) {
    sent_membership_index_ = raft_.log().membership_index();
    for (const auto& [peer, attached] : attached_) {
      SendMembers(peer);
    }
  }
  ApplyCommitted(now, raft.committed);
  UpdateLeadership(now);
  std::move(raft.events.begin(), raft.events.end(),
            std::back_inserter(outputs_.events));
  std::move(raft.messages.begin(), raft.messages.end(),
            std::back_inserter(outputs_.messages));
  std::move(raft.persists.begin(), raft.persists.end(),
            std::back_inserter(outputs_.persists));
}

}  // namespace banyan
