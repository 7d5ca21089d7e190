#include "banyan/events/event.h"

#include <algorithm>
#include <array>

namespace banyan {
namespace {

constexpr auto kCatalogue = std::to_array<EventRow>({
    {EventId::kProcessStarted, "process-started",
     "A process started: its version and, if it has any, its seeds."},
    {EventId::kProcessStopping, "process-stopping",
     "A planned stop began; work in flight is being finished."},
    {EventId::kProcessStopped, "process-stopped",
     "The process exits; all work in flight was finished."},
    {EventId::kProcessCutShort, "process-cut-short",
     "The process exits at its drain deadline with work still in flight."},
    {EventId::kSettingsReloaded, "settings-reloaded",
     "The settings file was reloaded, with its seeds, or was found to be "
     "invalid."},
    {EventId::kPeerUp, "peer-up",
     "A connection to another process is ready. A replica logs only those to "
     "members and seeds."},
    {EventId::kPeerDown, "peer-down",
     "A connection to another process was lost; as peer-up."},
    {EventId::kPeerMessageRefused, "peer-message-refused",
     "A frame could not be decoded; the connection was closed."},
    {EventId::kRingFull, "ring-full",
     "A bounded queue was full and rejected an item; the sender was notified."},
    {EventId::kClockGap, "clock-gap",
     "The process was suspended for a while; it dropped its connections."},
    {EventId::kDiskRefused, "disk-refused",
     "The disk rejected a write, for example because it is full; the write "
     "stays pending."},
    {EventId::kDiskRegained, "disk-regained",
     "The disk accepted a write that it had rejected before."},
    {EventId::kDiskLost, "disk-lost",
     "The process exits because the contents of its disk are unknown."},
    {EventId::kReplicaLeft, "replica-left",
     "A process turned from its replica to another one, with the reason and "
     "how "
     "long it had waited."},
    {EventId::kTurnLong, "turn-long",
     "A turn of the main loop took long or began late, with its parts and the "
     "processor time that it got."},
    {EventId::kRequestRouted, "request-routed",
     "Routing decision: the endpoint chosen for an attempt, with the reason."},
    {EventId::kRequestAnswered, "request-answered",
     "A caller received its final answer."},
    {EventId::kRequestRefused, "request-refused",
     "A caller was told that its request did not run, with the reason."},
    {EventId::kRequestRetried, "request-retried",
     "Routing decision: another attempt, with the outcome of the previous "
     "one."},
    {EventId::kRequestHedged, "request-hedged",
     "Routing decision: a second attempt in parallel with a slow one."},
    {EventId::kEndpointEjected, "endpoint-ejected",
     "Routing decision: an endpoint that keeps failing gets no requests."},
    {EventId::kEndpointProbed, "endpoint-probed",
     "Routing decision: one request tests an ejected endpoint."},
    {EventId::kEndpointTable, "endpoint-table",
     "The entry installed a newer endpoint table."},
    {EventId::kClaimOpened, "claim-opened",
     "A non-idempotent request was claimed before its dispatch."},
    {EventId::kClaimResolved, "claim-resolved",
     "A claim was found in a final state or brought to one."},
    {EventId::kTombstoneAsked, "tombstone-asked",
     "The entry asked an agent never to run an earlier attempt."},
    {EventId::kDispatchStarted, "dispatch-started",
     "The agent handed a request to its endpoint."},
    {EventId::kDispatchEnded, "dispatch-ended",
     "The endpoint's answer, or the lack of one, was reported to the entry."},
    {EventId::kDispatchRefused, "dispatch-refused",
     "The agent refused a request; it did not run here and never will."},
    {EventId::kTombstoneGranted, "tombstone-granted",
     "The agent promised never to run an attempt."},
    {EventId::kTaskStarted, "task-started",
     "The agent started a task on its worker."},
    {EventId::kTaskRefused, "task-refused",
     "The agent refused to start a task, with the reason."},
    {EventId::kTaskEnded, "task-ended", "A task of the worker ended."},
    {EventId::kTaskStopped, "task-stopped",
     "The agent stopped a task on order or because its lease expired."},
    {EventId::kTaskAdopted, "task-adopted",
     "A restarted agent found a task running on its worker and kept it."},
    {EventId::kTaskThrottled, "task-throttled",
     "The agent throttled a best-effort task under pressure, or lifted the "
     "throttle."},
    {EventId::kLeaseLost, "lease-lost",
     "The instance's lease expired; nothing may run under it any more."},
    {EventId::kLeaseRenewed, "lease-renewed",
     "The instance holds a lease again after a time without one."},
    {EventId::kTaskPlaced, "task-placed",
     "Placement decision: the worker chosen for an attempt, with the reason."},
    {EventId::kTaskRequeued, "task-requeued",
     "An attempt ended without a result; the job waits for its next attempt."},
    {EventId::kTaskEvicting, "task-evicting",
     "Placement decision: a task is evicted from its worker, with the reason."},
    {EventId::kJobSubmitted, "job-submitted", "A job was accepted."},
    {EventId::kJobEnded, "job-ended", "A job reached its final state."},
    {EventId::kJobUnplaceable, "job-unplaceable",
     "Placement decision: no worker can run the job at present."},
    {EventId::kWorkerSuspected, "worker-suspected",
     "Placement decision: a worker on which different jobs failed gets no more "
     "jobs for a while."},
    {EventId::kWorkerCleared, "worker-cleared",
     "A suspected worker gets runs as before, since a long-running run that "
     "started after its last failure is at work."},
    {EventId::kInstanceRegistered, "instance-registered",
     "An instance registered with the control cell."},
    {EventId::kInstanceRemoved, "instance-removed",
     "An instance's lease expired or it left; its tasks were released."},
    {EventId::kInstanceLeaving, "instance-leaving",
     "An instance announced that it accepts no new work."},
    {EventId::kGraphAccepted, "graph-accepted",
     "A job graph was committed under its request id."},
    {EventId::kGraphRefused, "graph-refused",
     "Admission decision: a job graph was refused, with the reason."},
    {EventId::kGraphEnded, "graph-ended",
     "A job graph reached its final state."},
    {EventId::kRunPlaced, "run-placed",
     "Placement decision: the worker chosen for a run of a task."},
    {EventId::kRunEnded, "run-ended",
     "The end of a run was committed to the log."},
    {EventId::kRunStuck, "run-stuck",
     "A run that makes no progress is stopped, to be started on another "
     "worker."},
    {EventId::kRunPaced, "run-paced",
     "The CPU share of a run was changed, with the latency-sensitive task that "
     "caused it, its latency and target, and the number of the worker's list."},
    {EventId::kRunMoved, "run-moved",
     "A run that has been throttled for long is stopped, to continue on "
     "another worker."},
    {EventId::kLatencyReported, "latency-reported",
     "With `log_latencies` on: a latency-sensitive task's latency with its "
     "co-located best-effort tasks, each as image:used:percent."},
    {EventId::kGraphWaiting, "graph-waiting",
     "A ready task found no worker; counts the workers that were passed over "
     "by reason."},
    {EventId::kWorkerAdmitted, "worker-admitted",
     "An incarnation of a worker registered with the control cell."},
    {EventId::kWorkerChanged, "worker-changed",
     "A worker reported a change of its state, such as that it drains."},
    {EventId::kWorkerDropped, "worker-dropped",
     "The control cell removed an incarnation of a worker; its runs are lost."},
    {EventId::kWorkerHeard, "worker-heard",
     "The worker beside an agent answers calls."},
    {EventId::kWorkerLost, "worker-lost",
     "The worker beside an agent no longer answers calls."},
    {EventId::kWorkerLeaving, "worker-leaving",
     "A worker announced its shutdown to its agent; counts the runs and the "
     "uncommitted ends of its last list."},
    {EventId::kWorkerReplaced, "worker-replaced",
     "Another incarnation reported to an agent, and there is evidence that the "
     "earlier one has ended; counts its known runs and uncommitted ends."},
    {EventId::kWorkerRemovalProposed, "worker-removal-proposed",
     "Decision to remove an incarnation of a worker, with its runs, the "
     "uncommitted ends that its agent reported, the rest of its lease, the "
     "time since the last sync of its agent, and since the worker was last "
     "heard or the leadership began; -1 if not known."},
    {EventId::kWorkerEndsDiscarded, "worker-ends-discarded",
     "The agent gave up the uncommitted ends of an earlier incarnation, since "
     "too many incarnations followed without an answer of the leader."},
    {EventId::kSuccessorReported, "successor-reported",
     "A report named another incarnation than the one that the agent follows; "
     "the worker is asked which one it is."},
    {EventId::kRunOrdered, "run-ordered",
     "The agent ordered its worker to start a run, with the outcome; `barred` "
     "if the run must not start and the worker has to confirm that."},
    {EventId::kRunRefused, "run-refused",
     "A run will not start on this worker, with the reason."},
    {EventId::kRunStopped, "run-stopped",
     "The agent ordered its worker to stop a run, with the outcome."},
    {EventId::kRunEndIgnored, "run-end-ignored",
     "A reported end had no effect, because the run was not placed on this "
     "incarnation of the worker; with a number, it was acknowledged."},
    {EventId::kRunCrashObserved, "run-crash-observed",
     "A run was on a worker that crashed: alone, at-start, unclear or at-work, "
     "with "
     "its age at the worker's last answer; -1 if the start was not seen."},
    {EventId::kCrashRecorded, "crash-recorded",
     "A crash of a worker was counted for a task, with the evidence and the "
     "numbers of crashes so far."},
    {EventId::kTaskGivenUp, "task-given-up",
     "Decision not to start a task again, since it crashed the workers named; "
     "its graph fails."},
    {EventId::kRunWithdrawn, "run-withdrawn",
     "A run that is not confirmed must not start, since its worker's capacity "
     "no longer holds it; with what is committed there and the capacity."},
    {EventId::kRunRowsRefused, "run-rows-refused",
     "Rows of a worker's run list were left out, since they can't be read or "
     "hold impossible values; counts them, with the reason of the first."},
    {EventId::kWorkerReinstated, "worker-reinstated",
     "The agent follows a worker again whose reports it had taken for outdated "
     "ones, with the reason."},
    {EventId::kCallAnswered, "call-answered",
     "A caller of a queue or an operator received a final answer."},
    {EventId::kLongRunningWaited, "long-running-waited",
     "A long-running task has been ready for a second or longer: how long, how "
     "often it fits on the workers of its pool, the worker chosen if it no "
     "longer waits, and the reason for each worker that was rejected; with "
     "what "
     "the task needs, what is free in the pool, in all and at most on one "
     "worker, and what best-effort and long-running tasks have reserved."},
    {EventId::kCancelRemembered, "cancel-remembered",
     "An unknown job graph was cancelled; it ends as cancelled if it is "
     "submitted later."},
    {EventId::kCancelForgotten, "cancel-forgotten",
     "The oldest cancellation of an unknown job graph was discarded, since too "
     "many are remembered."},
    {EventId::kSuccessorRefuted, "successor-refuted",
     "The worker is not the incarnation that a report named; the agent ignores "
     "the report."},
    {EventId::kWorkerFenced, "worker-fenced",
     "A worker that the control cell doesn't know refuses calls to its earlier "
     "incarnations from now on; counts the runs that these had started on it."},
    {EventId::kCallUnconfirmed, "call-unconfirmed",
     "A call that renews the lease or acknowledges ends was not answered by "
     "the incarnation it was addressed to, so that a later one may carry it "
     "out; with the lease and the last acknowledged end that it carried, 0 "
     "for none."},
    {EventId::kLeaseConfirmed, "lease-confirmed",
     "A worker answers its first list call after a silence; with the end of "
     "the lease that the call carried and the worker's clock in the answer."},
    {EventId::kAdmissionDelayed, "admission-delayed",
     "A worker's incarnation has done a run whose task was placed again; it is "
     "admitted, and that end acknowledged, only once its lease has run out."},
    {EventId::kCopyPlaced, "copy-placed",
     "Placement decision: a second run of a speculative task, on another "
     "worker, with the cause."},
    {EventId::kCopyWon, "copy-won",
     "A copy of a speculative task was done before the first run, or took its "
     "place when it ended."},
    {EventId::kCopyDropped, "copy-dropped",
     "A run of a copied task is not needed any more; with the processor time "
     "that it used."},
    {EventId::kRunPreempted, "run-preempted",
     "Placement decision: a run is stopped to make room for urgent tasks, with "
     "the task that waits, the resource that lacks and the work that is lost."},
    {EventId::kWorkerCordoned, "worker-cordoned",
     "Placement decision: a worker starts only tasks of one graph until a "
     "long-running task of it has room there; with what that task needs and "
     "what is free."},
    {EventId::kCordonLapsed, "cordon-lapsed",
     "A cordoned worker was given up without room for the task; with what is "
     "free."},
    {EventId::kRunTimesLearned, "run-times-learned",
     "What a queue's real run times are beside the declared ones, at "
     "intervals."},
    {EventId::kReservationMade, "reservation-made",
     "Placement decision: workers are reserved for a graph that waits, with "
     "the time at which they are due."},
    {EventId::kReservationUsed, "reservation-used",
     "The graph that workers were reserved for was placed on one of them."},
    {EventId::kReservationBroken, "reservation-broken",
     "A reservation was given up, with the reason."},
    {EventId::kForecastMissed, "forecast-missed",
     "Counts accepted graphs that failed or were late, and refused ones, "
     "against the forecast at admission."},
    {EventId::kConfigInForce, "config-in-force",
     "This process now uses a newer configuration version."},
    {EventId::kCommandAccepted, "command-accepted",
     "An operator's command was committed."},
    {EventId::kCommandRefused, "command-refused",
     "An operator's command was refused, with the reason."},
    {EventId::kPlanInForce, "plan-in-force",
     "This process now uses a newer version of the operator's plan."},
    {EventId::kEvacuationChanged, "evacuation-changed",
     "A data centre was evacuated or put back into service; counts the changes "
     "so far."},
    {EventId::kOrderAbandoned, "order-abandoned",
     "An operator's order was not carried out, since its caller had given up; "
     "with the time since its arrival."},
    {EventId::kPlanBehind, "plan-behind",
     "An attached process has lacked a version of the operator's plan for "
     "longer "
     "than plan_bound_ms: what it holds and how long. Repeated every 5 s."},
    {EventId::kPlanCaughtUp, "plan-caught-up",
     "An attached process that was behind holds the plan in force again."},
    {EventId::kPlanReceived, "plan-received",
     "A gateway has received a version of the operator's plan: its bytes, the "
     "connections that brought them and the time."},
    {EventId::kPlanInterrupted, "plan-interrupted",
     "The connection was lost during the transfer of a plan, which goes on "
     "with "
     "the next replica after the bytes received."},
    {EventId::kElectionStarted, "election-started",
     "A replica asked its peers for their votes."},
    {EventId::kLeaderElected, "leader-elected",
     "This replica became the leader of the control cell, with the time since "
     "it asked for the votes."},
    {EventId::kLeaderStepped, "leader-stepped",
     "This replica is no longer the leader, with the reason."},
    {EventId::kSnapshotTaken, "snapshot-taken",
     "The replica wrote a snapshot and trimmed its log."},
    {EventId::kSnapshotInstalled, "snapshot-installed",
     "The replica installed a snapshot from the leader."},
    {EventId::kLogRecovered, "log-recovered",
     "The replica read its log back from disk at start: entries, bytes read, "
     "and "
     "bytes cut from an unfinished last record."},
    {EventId::kMemberChanged, "member-changed",
     "The leader changes the membership of the control cell: the voters and "
     "learners from now on, what was changed, and for a removal how long the "
     "voter has been silent."},
    {EventId::kClusterFormed, "cluster-formed",
     "All configured members were empty and formed a new cell."},
    {EventId::kVoterSilent, "voter-silent",
     "The leader has not heard a voter for two election timeouts; with the "
     "voters that it hears and the losses that the cell still bears."},
    {EventId::kVoterHeard, "voter-heard",
     "The leader hears a silent voter again, with the length of the silence."},
    {EventId::kQuorumLost, "quorum-lost",
     "A voter has had no leader for two election timeouts and hears no "
     "majority of the voters; with the time since it last heard each voter, -1 "
     "if never. Repeated every 5 s."},
    {EventId::kQuorumRegained, "quorum-regained",
     "A voter that had lost the majority hears one again or has a leader, with "
     "the duration of the loss."},
    {EventId::kJoinWaiting, "join-waiting",
     "A replica outside the cell has asked for admission for over 2 s: whom it "
     "asks, how long, and whether it holds data. Repeated every 5 s."},
    {EventId::kLogRefused, "log-refused",
     "The replica can't use the log in its data folder: the file, the byte, "
     "and how much of the rest reads as zeros."},
    {EventId::kLogSetAside, "log-set-aside",
     "The data folder holds files of a damaged log under other names; the "
     "replica has started without them and asks for admission. Repeated at "
     "each start."},
    {EventId::kLearnerWaiting, "learner-waiting",
     "A replica has been a learner for over 2 s: how long, how many entries it "
     "lacks, whether it keeps up with the log, and what its promotion waits "
     "for. Repeated every 5 s."},
    {EventId::kLossesShort, "losses-short",
     "The cell has borne fewer losses than it has to for longer than the "
     "catch-up time; with the voters, learners and losses borne. Repeated "
     "every 5 s."},
    {EventId::kLossesRestored, "losses-restored",
     "The cell again bears the losses that it has to, with the time for which "
     "it did not."},
    {EventId::kElectionLapsed, "election-lapsed",
     "A candidate has not won its election in time: the term, for how long it "
     "has waited, the votes granted and needed, and whether its own vote is on "
     "disk."},
    {EventId::kTermPersisted, "term-persisted",
     "A term or a vote is on disk: the term, whom it is for, and how long the "
     "disk took, with what it wrote before."},
});

// Returns whether the event numbers of the catalogue are strictly ascending.
consteval bool IsCatalogueAscending() {
  for (std::size_t i = 1; i < kCatalogue.size(); ++i) {
    if (kCatalogue[i - 1].id >= kCatalogue[i].id) {
      return false;
    }
  }
  return true;
}
static_assert(IsCatalogueAscending());

// Removes one value, quoted or not, from the front of the text and returns it.
std::string ConsumeValue(std::string_view& text) {
  std::string value;
  if (text.empty() || text.front() != '"') {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return value;
  }
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() == '\\' && text.size() > 1) {
      text.remove_prefix(1);
    }
    value += text.front();
    text.remove_prefix(1);
  }
  if (!text.empty()) {
    text.remove_prefix(1);
  }
  return value;
}

// Returns whether a value must be quoted to be parsed as one field.
bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=") != value.npos;
}

// Appends the value in quotes, with quotes and backslashes escaped.
void AppendQuoted(std::string& out, std::string_view value) {
  out += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  out += '"';
}

}  // namespace

std::span<const EventRow> EventCatalogue() noexcept {
  return kCatalogue;
}

std::string_view EventName(EventId id) noexcept {
  const auto row = std::find_if(kCatalogue.begin(), kCatalogue.end(),
                                [&](const EventRow& r) { return r.id == id; });
  return row == kCatalogue.end() ? "unknown" : row->name;
}

Event&& Event::With(std::string_view key, std::string_view value) && {
  std::string& added = fields_.emplace_back(key, value).second;
  std::replace_if(
      added.begin(), added.end(), [](char c) { return c == '\n' || c == '\t'; },
      ' ');
  return std::move(*this);
}

std::map<std::string, std::string> ParseEventFields(std::string_view text) {
  std::map<std::string, std::string> fields;
  while (!text.empty()) {
    text.remove_prefix(1);
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    fields[key] = ConsumeValue(text);
  }
  return fields;
}

std::string Event::Field(std::string_view key) const {
  const auto found =
      std::find_if(fields_.rbegin(), fields_.rend(),
                   [&](const auto& field) { return field.first == key; });
  return found == fields_.rend() ? "" : found->second;
}

std::string Event::text() const {
  std::string text = "E" + std::to_string(static_cast<int>(id_));
  for (const auto& [key, value] : fields_) {
    text += ' ';
    text += key;
    text += '=';
    if (NeedsQuotes(value)) {
      AppendQuoted(text, value);
    } else {
      text += value;
    }
  }
  return text;
}

}  // namespace banyan
