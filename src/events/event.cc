#include "banyan/events/event.h"

#include <algorithm>
#include <array>

namespace banyan {
namespace {

constexpr auto kCatalogue = std::to_array<EventRow>({
    {EventId::kProcessStarted, "process-started",
     "A process took up its duty; it names its version."},
    {EventId::kProcessStopping, "process-stopping",
     "A planned stop began; work in flight is being finished."},
    {EventId::kProcessStopped, "process-stopped",
     "The process ends; everything in flight was finished."},
    {EventId::kProcessCutShort, "process-cut-short",
     "The process ends at its drain deadline with work still in flight."},
    {EventId::kSettingsReloaded, "settings-reloaded",
     "The settings file was read again, or was found to be wrong."},
    {EventId::kPeerUp, "peer-up", "A connection to another process is ready."},
    {EventId::kPeerDown, "peer-down",
     "A connection to another process was lost."},
    {EventId::kPeerMessageRefused, "peer-message-refused",
     "A frame could not be decoded; the connection was closed."},
    {EventId::kRingFull, "ring-full",
     "A bounded ring refused an item; the sender was told so."},
    {EventId::kClockGap, "clock-gap",
     "The process was stopped for a while; it dropped its connections."},
    {EventId::kDiskRefused, "disk-refused",
     "The disk refuses a write, as a full one does; the write waits."},
    {EventId::kDiskRegained, "disk-regained",
     "The disk took a write that it had refused before."},
    {EventId::kDiskLost, "disk-lost",
     "The process ends because it is not known what its disk holds."},
    {EventId::kRequestRouted, "request-routed",
     "Routing decision: the endpoint chosen for an attempt, with the reason."},
    {EventId::kRequestAnswered, "request-answered",
     "A caller got its final answer."},
    {EventId::kRequestRefused, "request-refused",
     "A caller was told that its request did not run, with the reason."},
    {EventId::kRequestRetried, "request-retried",
     "Routing decision: another attempt, with what the last one met."},
    {EventId::kRequestHedged, "request-hedged",
     "Routing decision: a second attempt beside a slow one."},
    {EventId::kEndpointEjected, "endpoint-ejected",
     "Routing decision: an endpoint that keeps failing gets no requests."},
    {EventId::kEndpointProbed, "endpoint-probed",
     "Routing decision: one request tests an ejected endpoint."},
    {EventId::kEndpointTable, "endpoint-table",
     "The entry took a newer endpoint table."},
    {EventId::kClaimOpened, "claim-opened",
     "A non-idempotent request was claimed before its dispatch."},
    {EventId::kClaimResolved, "claim-resolved",
     "A claim was found or brought to a final state."},
    {EventId::kTombstoneAsked, "tombstone-asked",
     "The entry asked an agent never to run an earlier attempt."},
    {EventId::kDispatchStarted, "dispatch-started",
     "The agent handed a request to its endpoint."},
    {EventId::kDispatchEnded, "dispatch-ended",
     "The endpoint's answer, or its lack, was reported to the entry."},
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
     "The agent stopped a task on order or because its lease ran out."},
    {EventId::kTaskAdopted, "task-adopted",
     "A restarted agent found a task running on its worker and kept it."},
    {EventId::kTaskThrottled, "task-throttled",
     "The agent throttled a batch task under pressure, or released it."},
    {EventId::kLeaseLost, "lease-lost",
     "The instance's lease ran out; nothing may run under it any more."},
    {EventId::kLeaseRenewed, "lease-renewed",
     "The instance holds a lease again after it had none."},
    {EventId::kTaskPlaced, "task-placed",
     "Placement decision: the worker chosen for an attempt, with the reason."},
    {EventId::kTaskRequeued, "task-requeued",
     "An attempt ended without a result; the job waits for its next one."},
    {EventId::kTaskEvicting, "task-evicting",
     "Placement decision: a task is to leave its worker, with the reason."},
    {EventId::kJobSubmitted, "job-submitted", "A job was accepted."},
    {EventId::kJobEnded, "job-ended", "A job reached its final state."},
    {EventId::kJobUnplaceable, "job-unplaceable",
     "Placement decision: no worker holds the job at present."},
    {EventId::kWorkerSuspected, "worker-suspected",
     "Placement decision: a worker that fails different jobs gets no more for "
     "a while."},
    {EventId::kInstanceRegistered, "instance-registered",
     "An instance announced itself and is known to the control cell."},
    {EventId::kInstanceRemoved, "instance-removed",
     "An instance's lease ran out or it left; its tasks were released."},
    {EventId::kInstanceLeaving, "instance-leaving",
     "An instance announced that it takes no new work."},
    {EventId::kGraphAccepted, "graph-accepted",
     "A job graph was committed under its request id."},
    {EventId::kGraphRefused, "graph-refused",
     "Admission decision: a job graph was refused, with what decided it."},
    {EventId::kGraphEnded, "graph-ended",
     "A job graph reached its final state."},
    {EventId::kRunPlaced, "run-placed",
     "Placement decision: the worker chosen for a run of a task."},
    {EventId::kRunEnded, "run-ended", "The end of a run stands in the log."},
    {EventId::kRunStuck, "run-stuck",
     "A run whose progress stands still is stopped to be started elsewhere."},
    {EventId::kRunPaced, "run-paced",
     "The share of processor time of a run was changed, with the serving task "
     "that decided, its latency and target, and the number of the worker's "
     "list."},
    {EventId::kRunMoved, "run-moved",
     "A run that is paced down for long is stopped to go on elsewhere."},
    {EventId::kLatencyReported, "latency-reported",
     "With `log_latencies` on: a latency-sensitive task's latency with the "
     "best-effort tasks beside it, each as image:used:percent."},
    {EventId::kGraphWaiting, "graph-waiting",
     "A ready task found no worker; counts the workers that were passed over "
     "by reason."},
    {EventId::kWorkerAdmitted, "worker-admitted",
     "A life of a worker is known to the control cell."},
    {EventId::kWorkerChanged, "worker-changed",
     "A worker says something new of itself, such as that it drains."},
    {EventId::kWorkerDropped, "worker-dropped",
     "A life of a worker is over for the control cell; its runs are lost."},
    {EventId::kWorkerHeard, "worker-heard",
     "The worker beside an agent answers calls."},
    {EventId::kWorkerLost, "worker-lost",
     "The worker beside an agent answers no calls any more."},
    {EventId::kRunOrdered, "run-ordered",
     "The agent ordered its worker to start a run, with the outcome; `barred` "
     "where the run is not to begin and the worker has to confirm that."},
    {EventId::kRunRefused, "run-refused",
     "A run will not begin on this worker, with the reason."},
    {EventId::kRunStopped, "run-stopped",
     "The agent ordered its worker to stop a run, with the outcome."},
    {EventId::kCallAnswered, "call-answered",
     "A caller of a queue or an operator got a final answer."},
    {EventId::kConfigInForce, "config-in-force",
     "This process works by a newer configuration version."},
    {EventId::kCommandAccepted, "command-accepted",
     "An operator's command was committed."},
    {EventId::kCommandRefused, "command-refused",
     "An operator's command was refused, with the reason."},
    {EventId::kPlanInForce, "plan-in-force",
     "This process works by a newer version of the operator's plan."},
    {EventId::kEvacuationChanged, "evacuation-changed",
     "A data centre was evacuated or taken back."},
    {EventId::kElectionStarted, "election-started",
     "A replica asked its peers for their votes."},
    {EventId::kLeaderElected, "leader-elected",
     "This replica leads the control cell from now on."},
    {EventId::kLeaderStepped, "leader-stepped",
     "This replica leads no longer, with the reason."},
    {EventId::kSnapshotTaken, "snapshot-taken",
     "The replica wrote a snapshot and trimmed its log."},
    {EventId::kSnapshotInstalled, "snapshot-installed",
     "The replica took over a snapshot from the leader."},
    {EventId::kLogRecovered, "log-recovered",
     "The replica read its log back from disk at start."},
    {EventId::kMemberChanged, "member-changed",
     "The membership of the control cell changed."},
    {EventId::kClusterFormed, "cluster-formed",
     "All configured members were empty and formed a new cell."},
});

// Returns whether the numbers of the catalogue rise from row to row.
consteval bool IsCatalogueAscending() {
  for (std::size_t i = 1; i < kCatalogue.size(); ++i) {
    if (kCatalogue[i - 1].id >= kCatalogue[i].id) {
      return false;
    }
  }
  return true;
}
static_assert(IsCatalogueAscending());

// Reads one value, quoted or not, from the front of the text.
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

// Returns whether a value must be quoted to stay one field.
bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=") != value.npos;
}

// Appends the value in quotes, with quotes escaped.
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
