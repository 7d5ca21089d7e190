#ifndef BANYAN_EVENTS_EVENT_H_
#define BANYAN_EVENTS_EVENT_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyan {

// Number of a log event. docs/EVENTS.md describes each event.
enum class EventId : std::uint16_t {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kProcessCutShort = 1004,
  kSettingsReloaded = 1005,
  kPeerUp = 1010,
  kPeerDown = 1011,
  kPeerMessageRefused = 1012,
  kRingFull = 1013,
  kClockGap = 1014,
  kDiskRefused = 1015,
  kDiskRegained = 1016,
  kDiskLost = 1017,
  kReplicaLeft = 1018,
  kTurnLong = 1019,
  kRequestRouted = 1101,
  kRequestAnswered = 1102,
  kRequestRefused = 1103,
  kRequestRetried = 1104,
  kRequestHedged = 1105,
  kEndpointEjected = 1106,
  kEndpointProbed = 1107,
  kEndpointTable = 1108,
  kClaimOpened = 1110,
  kClaimResolved = 1111,
  kTombstoneAsked = 1112,
  kDispatchStarted = 1201,
  kDispatchEnded = 1202,
  kDispatchRefused = 1203,
  kTombstoneGranted = 1204,
  kTaskStarted = 1210,
  kTaskRefused = 1211,
  kTaskEnded = 1212,
  kTaskStopped = 1213,
  kTaskAdopted = 1214,
  kTaskThrottled = 1215,
  kLeaseLost = 1216,
  kLeaseRenewed = 1217,
  kTaskPlaced = 1301,
  kTaskRequeued = 1302,
  kTaskEvicting = 1303,
  kJobSubmitted = 1304,
  kJobEnded = 1305,
  kJobUnplaceable = 1306,
  kWorkerSuspected = 1307,
  kWorkerCleared = 1308,
  kInstanceRegistered = 1310,
  kInstanceRemoved = 1311,
  kInstanceLeaving = 1312,
  kGraphAccepted = 1320,
  kGraphRefused = 1321,
  kGraphEnded = 1322,
  kRunPlaced = 1323,
  kRunEnded = 1324,
  kRunStuck = 1325,
  kRunPaced = 1326,
  kRunMoved = 1327,
  kLatencyReported = 1328,
  kGraphWaiting = 1329,
  kWorkerAdmitted = 1330,
  kWorkerChanged = 1331,
  kWorkerDropped = 1332,
  kWorkerHeard = 1333,
  kWorkerLost = 1334,
  kWorkerLeaving = 1335,
  kWorkerReplaced = 1336,
  kWorkerRemovalProposed = 1337,
  kWorkerEndsDiscarded = 1338,
  kSuccessorReported = 1339,
  kRunOrdered = 1340,
  kRunRefused = 1341,
  kRunStopped = 1342,
  kRunEndIgnored = 1343,
  kRunCrashObserved = 1344,
  kCrashRecorded = 1345,
  kTaskGivenUp = 1346,
  kRunWithdrawn = 1347,
  kRunRowsRefused = 1348,
  kWorkerReinstated = 1349,
  kCallAnswered = 1350,
  kLongRunningWaited = 1351,
  kCancelRemembered = 1352,
  kCancelForgotten = 1353,
  kSuccessorRefuted = 1354,
  kWorkerFenced = 1355,
  kCallUnconfirmed = 1356,
  kLeaseConfirmed = 1357,
  kAdmissionDelayed = 1358,
  kCopyPlaced = 1360,
  kCopyWon = 1361,
  kCopyDropped = 1362,
  kRunPreempted = 1365,
  kWorkerCordoned = 1366,
  kCordonLapsed = 1367,
  kRunTimesLearned = 1370,
  kReservationMade = 1372,
  kReservationUsed = 1373,
  kReservationBroken = 1374,
  kForecastMissed = 1377,
  kConfigInForce = 1401,
  kCommandAccepted = 1402,
  kCommandRefused = 1403,
  kPlanInForce = 1404,
  kEvacuationChanged = 1405,
  kOrderAbandoned = 1406,
  kPlanBehind = 1407,
  kPlanCaughtUp = 1408,
  kPlanReceived = 1409,
  kPlanInterrupted = 1410,
  kElectionStarted = 1501,
  kLeaderElected = 1502,
  kLeaderStepped = 1503,
  kSnapshotTaken = 1504,
  kSnapshotInstalled = 1505,
  kLogRecovered = 1506,
  kMemberChanged = 1507,
  kClusterFormed = 1508,
  kVoterSilent = 1509,
  kVoterHeard = 1510,
  kQuorumLost = 1511,
  kQuorumRegained = 1512,
  kJoinWaiting = 1513,
  kLogRefused = 1514,
  kLogSetAside = 1515,
  kLearnerWaiting = 1516,
  kLossesShort = 1517,
  kLossesRestored = 1518,
  kElectionLapsed = 1520,
  kTermPersisted = 1521,
};

// An entry of the event catalogue.
struct EventRow {
  EventId id;
  std::string_view name;
  std::string_view meaning;
};

// Returns the catalogue in ascending order of the event numbers.
[[nodiscard]] std::span<const EventRow> EventCatalogue() noexcept;

// Returns the name of an event; "unknown" if the catalogue lacks it.
[[nodiscard]] std::string_view EventName(EventId id) noexcept;

// One structured log line: an event number and its fields in order.
class Event {
 public:
  explicit Event(EventId id) : id_(id) {}

  // Adds a text field. Newlines and tabs in the value are replaced by spaces.
  Event&& With(std::string_view key, std::string_view value) &&;

  // Adds an integer field.
  template <std::integral T>
  Event&& With(std::string_view key, T value) && {
    return std::move(*this).With(key, std::string_view(std::to_string(value)));
  }

  [[nodiscard]] EventId id() const noexcept { return id_; }

  // Returns the keys and values in insertion order.
  [[nodiscard]] std::span<const std::pair<std::string, std::string>> fields()
      const noexcept {
    return fields_;
  }

  // Returns the value that was last added under a key; empty if there is none.
  [[nodiscard]] std::string Field(std::string_view key) const;

  // Returns "E1203 key=value ...", with values quoted where necessary.
  [[nodiscard]] std::string text() const;

 private:
  EventId id_;
  std::vector<std::pair<std::string, std::string>> fields_;
};

// Parses the fields of an event line, from the space before the first field.
[[nodiscard]] std::map<std::string, std::string> ParseEventFields(
    std::string_view text);

// Events to be logged after one step of a core, oldest first.
using Events = std::vector<Event>;

// Writes the events to the process log.
void WriteEvents(std::span<const Event> events);

// Writes one event to the process log.
inline void WriteEvent(const Event& event) {
  WriteEvents({&event, 1});
}

}  // namespace banyan

#endif  // BANYAN_EVENTS_EVENT_H_
