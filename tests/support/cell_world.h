#ifndef BANYAN_TESTS_SUPPORT_CELL_WORLD_H_
#define BANYAN_TESTS_SUPPORT_CELL_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/consensus/raft_core.h"
#include "banyan/graph/cell_directory.h"
#include "banyan/graph/cell_link.h"
#include "banyan/process/member_announcer.h"
#include "tests/support/virtual_machines.h"

namespace banyan {

// The bound of the promise that is judged: this long after a successor has
// started, or a replica is back, the cell bears the next loss.
inline constexpr Duration kCellCatchUp = std::chrono::seconds(4);

// The kinds of events that a cell goes through.
struct CellEvents {
  // A process dies and starts again with its disk.
  bool kills = false;
  // A process stands still and goes on with its old state.
  bool freezes = false;
  // A replica is cut off from all others, in both directions or in one.
  bool cuts = false;
  // A replica comes back empty at the same address.
  bool disk_losses = false;
  // A replica is lost for good; an empty successor has another address.
  bool replacements = false;
  // A successor starts first, then the old replica is stopped.
  bool planned_replacements = false;
  // A replica is added without a loss, at most once.
  bool additions = false;
  // All replicas die at once and start again with their disks.
  bool power_losses = false;
  // The leader hands its leadership over.
  bool transfers = false;
};

// Turns of the replicas' loops that take long. The process runs and is
// connected; what arrives meanwhile waits until the turn ends, and what the
// turn brings about leaves at its end.
struct LongTurns {
  Duration shortest = Millis(200);
  Duration longest = Millis(5000);
  // Longest time between two of them on one replica.
  Duration longest_pause = Millis(16000);
  // How many in a hundred starts of a replica, first turns of a leader and ends
  // of long turns are followed by one at once.
  std::uint64_t percent_at_start = 60;
  std::uint64_t percent_at_election = 60;
  std::uint64_t percent_behind = 25;
};

// How much a cell has to do, and what it has to do it with.
struct CellLoad {
  // Number of entries that the leader gets in a second, on average. They come
  // in bursts of up to twice `burst_entries`.
  int entries_per_second = 10;
  int burst_entries = 1;
  // Number of applied entries between two snapshots of a replica.
  std::uint64_t snapshot_entries = 60;
  // Time that one sync of a disk takes.
  Duration min_sync = Millis(3);
  Duration max_sync = Millis(5);
  // The same while its replica counts as lost since it has just started.
  std::optional<Duration> returning_sync = std::nullopt;
  // Longest time from the sending of a message until it is handled.
  Duration max_delay{2000};
  // Whether the replicas keep an odd number of voters. The last replica of an
  // even cell then stays a learner.
  bool odd_voters = false;
  // Number of relays. With any, messages take the connections that processes
  // dial, and seeds name replicas and relays.
  int relays = 0;
  // Long turns, once the cell has formed and until the calm time at the end.
  std::optional<LongTurns> turns = std::nullopt;
};

// What a play of a cell is made of.
struct CellWorldOptions {
  int size = 3;
  // How many replicas may count as lost at a time.
  int losses = 1;
  CellLoad load = {};
  CellEvents events;
  int event_count = 8;
  // Whether a replica is also hit while it counts as lost for an earlier event
  // though it is back. This takes no further share of the losses.
  bool hits_returning = false;
};

// What became of a play.
struct CellWorldResult {
  // The first violation of each rule, with its time.
  std::vector<std::string> violations;
  // All that happened, one line each.
  std::string history;
  // The number of events that occurred.
  int events = 0;
  // The number of entries that leaders acknowledged.
  std::uint64_t acknowledged = 0;
  // The number of snapshots that replicas got from a leader.
  int snapshots = 0;
  // The number of long turns, and of those that were a leader's first.
  int long_turns = 0;
  int first_turns = 0;
  // The number of leaders that stepped down since their quorum was silent.
  int silent_quorums = 0;
};

// The replicas of one cell under virtual time, each a RaftCore on a disk that
// syncs after some milliseconds all that was written meanwhile. Messages go by
// address, in order between two replicas.
//
// Each place of the cell has one replica, and a lost replica's successor takes
// its place. A place counts as lost while its replica is down, frozen or cut
// off, and until the replica or its successor has been back for kCellCatchUp. A
// replica that is stopped for a successor that runs already counts for
// kCellCatchUp from the stop: no cell could know before that it will go. A
// replica that is added counts never. At all times must hold:
//
// - while at most `losses` places count as lost, a majority of the voters of
//   the newest committed membership runs and is connected;
// - once nothing has been lost and nothing has come back for kCellCatchUp, the
//   majority also survives the loss of any voters up to `losses` in all, and
//   there is a leader that holds its lease;
// - all replicas apply the same entries, and a leader has all entries that
//   were acknowledged by leaders of earlier terms;
// - no term has two leaders, and no two replicas hold a lease.
//
// Relays have no disk and no vote. Each has a connection to one process, from
// which it learns the voters, and names them to those that dial it. Seeds are
// drawn among all relays, the replicas that run and those that were lost for
// good within the lag of the operator's list. A newcomer and a replica without
// its disk draw their own. When all lose their power, the relays lose what they
// knew, and all processes start with the same seeds, drawn then.
//
// With long turns, a replica is busy while its turns, one after the other
// within kLeastPause, have taken more than kLongestBusy: a check of the quorum
// less a heartbeat interval and the delays. A place counts as lost for it only
// once its replica has been voted out while it was busy or within kCellCatchUp
// after it, for kCellCatchUp. If any replica is busy before a lost place has
// caught up, its kCellCatchUp begins anew when that replica isn't any more.
// Then must hold as well:
//
// - no leader steps down as its quorum is silent, logs a voter as silent or
//   removes one that wasn't asked to stop, if a majority of the voters, or that
//   voter, has run, has been connected and hasn't been busy since kSilence
//   before the leader's latest turns began. The leader itself has to run and to
//   be connected, and may be busy;
// - once no replica has been in a long turn for kTurnsCatchUp, in calm time,
//   there is a leader that holds its lease, and none steps down.
//
// That the cell bears the next loss is judged only once no replica has been
// busy for kCellCatchUp, as a busy voter may be voted out.
class CellWorld {
 public:
  CellWorld(int size,
            int losses,
            std::uint64_t seed,
            const CellLoad& load = {});
  ~CellWorld();

  // Starts the cell of the first three replicas, then the others, and runs
  // until all are voters.
  void Form();
  // Runs for a span of virtual time.
  void Run(Duration span);
  // Runs until the condition holds; false after the bound.
  bool RunUntil(Duration bound, const std::function<bool()>& condition);
  // Does something after a span of virtual time.
  void After(Duration delay, std::function<void()> run);
  // Plays random events, heals everything and checks the end.
  void Play(const CellWorldOptions& options);

  // The directions in which a replica is cut off.
  enum class CutKind : std::uint8_t { kBoth, kIncoming, kOutgoing };

  void Kill(const std::string& id);
  // Starts a replica on what its disk holds.
  void Restart(const std::string& id);
  // Kills a replica and empties its disk.
  void LoseDisk(const std::string& id);
  // Stops a process. Messages to it wait, or are lost.
  void Freeze(const std::string& id, bool keeps_messages);
  void Thaw(const std::string& id);
  // Cuts a replica off. Messages wait until the cut ends, or are lost.
  void Cut(const std::string& id, CutKind kind, bool keeps_messages);
  void EndCut(const std::string& id);
  // Takes a replica away for ever.
  // Asks a replica to stop and waits until it may, as its process does.
  void Leave(const std::string& id);
  void LoseForGood(const std::string& id);
  // Starts an empty replica with these ids as its seeds and returns its id.
  // It takes the place of `predecessor`, which is gone; without one it gets a
  // place of its own.
  std::string Start(const std::vector<std::string>& seeds,
                    const std::string& predecessor);
  void TransferLeadership();

  // The leader that holds its lease, or empty.
  [[nodiscard]] std::string Leader() const;
  // Ids of the running replicas, in the order of their first start.
  [[nodiscard]] std::vector<std::string> Running() const;
  // The newest membership that any replica has seen committed.
  [[nodiscard]] const Membership& membership() const { return membership_; }
  // Whether the replica, with the disk that it has now, is a voter.
  [[nodiscard]] bool IsVoterNow(const std::string& id) const;
  // How many further losses of voters leave a majority; negative if there is
  // none.
  [[nodiscard]] int Reserve() const;
  [[nodiscard]] const CellWorldResult& result() const { return result_; }

 private:
  // A turn of a loop that takes long.
  struct Turn {
    Time ends_at;
    // When it read its input.
    Time heard_until;
    // Whether the long part comes after Tick(); it comes before otherwise.
    bool is_ticked = false;
    // What Tick() brought about.
    RaftOutputs outputs;
    // Input that was read and is handled after the long part.
    std::vector<std::function<void()>> unhandled;
  };

  struct Replica {
    std::string id;
    // Rises with the order of first starts.
    int number = 0;
    std::vector<std::string> seeds;
    std::unique_ptr<VirtualDisk> disk;
    std::unique_ptr<RaftCore> core;
    bool is_departed = false;
    // Whether it was asked to stop.
    bool is_leaving = false;
    bool is_frozen = false;
    std::optional<CutKind> cut;
    bool keeps_messages = false;
    // What a frozen process has to do once it goes on.
    std::vector<std::function<void()>> waiting;
    // Messages from and to a replica that is cut off.
    std::vector<std::function<void()>> held;
    // Rises with every start and end of the process.
    std::uint64_t life = 0;
    // Batches that wait for the disk, and whether it is in a sync.
    std::vector<PersistBatch> unwritten;
    bool is_syncing = false;
    // Until when the disk takes CellLoad::returning_sync.
    Time slow_until;
    // When the latest message to each receiver arrives.
    std::map<std::string, Time> last_arrival;
    std::uint64_t applied = 0;
    // A digest of all applied entries.
    std::uint64_t digest = 0;
    std::uint64_t snapshot_at = 0;
    // The long turn that is under way, and what has arrived meanwhile.
    std::optional<Turn> turn;
    std::vector<std::function<void()>> inputs;
    // Whether it handles input, whose outputs leave later.
    bool holds_outputs = false;
    // When its latest long turns, one after the other, began and ended.
    Time turned_since;
    Time turned_until;
    // When the latest ended that made it busy.
    Time busy_until;
    // When it was last down, frozen or cut off.
    Time hindered_until;
    Time frozen_at;
    // When it was lost for good.
    Time departed_at;
    // Tells its seeds the voters, if there are relays.
    MemberAnnouncer announcer;
    // When it may dial each address.
    std::map<std::string, Time> dial_at;
    Time next_maintenance;
    // The latest term in which it was seen to lead.
    std::uint64_t led_term = 0;

    [[nodiscard]] bool IsHealthy() const {
      return core != nullptr && !is_frozen && !cut;
    }
  };

  // A process that answers for the cell and is no replica.
  struct Relay {
    std::string id;
    // The seeds with which it starts next.
    std::vector<std::string> seeds;
    CellDirectory directory;
    // Empty while it is down.
    std::optional<CellLink> link;
    // The process to which its link is connected; empty if there is none.
    std::string connected_to;
    // Which life of that replica.
    std::uint64_t connected_life = 0;
  };

  // A place of the cell.
  struct Place {
    std::string id;
    Time counts_until;
  };

  // A replica that is to be stopped for its successor.
  struct PlannedStop {
    std::string id;
    std::string successor;
    Time due;
  };

  struct Action {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> run;
  };

  enum class EventKind : std::uint8_t {
    kKill,
    kFreeze,
    kCut,
    kDiskLoss,
    kReplacement,
    kPlannedReplacement,
    kAddition,
    kPowerLoss,
    kTransfer,
  };

  static bool IsLater(const Action& a, const Action& b);

  // --- Steps ---
  void Boot(Replica& replica);
  void Tick(const std::string& id, std::uint64_t life);
  void Flush(Replica& replica);
  void Persist(Replica& replica, std::vector<PersistBatch> batches);
  // Writes all batches that wait, unless the disk is in a sync.
  void Sync(Replica& replica);
  void TakeSnapshot(Replica& replica);
  void Send(Replica& from, Outbound outbound);
  void Arrive(const Sender& from,
              const std::string& to,
              std::uint64_t life,
              const Message& message);
  void ProposeAtLeaders();
  // Proposes more entries than a leader retains, so that a replica that starts
  // empty gets a snapshot.
  void FillLog();
  // Runs now, or when the process goes on and its loop reads again.
  void RunAwake(Replica& replica, std::function<void()> run);
  // Carries out what a step of a core has brought about.
  void CarryOut(Replica& replica, RaftOutputs out);

  // --- Relays ---
  void StartRelays(const std::vector<std::string>& seeds);
  void StartRelay(Relay& relay);
  // Takes away what a relay knows, with its connections.
  void StopRelay(Relay& relay);
  void TickRelays();
  // Connects the link of a relay, or notes that its connection has ended.
  void MaintainRelayLink(Relay& relay);
  void DisconnectRelayLink(Relay& relay);
  void TellPeers(Relay& relay);
  [[nodiscard]] bool IsRelayUp(const std::string& id) const;
  // Dials what a replica has to be connected to, closes the other connections
  // that it has dialled and tells its seeds the voters.
  void MaintainConnections(Replica& replica);
  [[nodiscard]] bool CanDial(const Replica& from, const std::string& to) const;
  [[nodiscard]] bool AreConnected(const std::string& a,
                                  const std::string& b) const;
  // Notes at one end of a connection that it is there or has ended.
  void NoteConnection(const std::string& id,
                      const std::string& peer,
                      bool is_up);
  void Disconnect(const std::function<bool(const std::string& dialler,
                                           const std::string& dialled)>& ends);
  // Ends connections between a replica and relays whose messages are lost.
  void ResetRelayConnections(const Replica& replica);

  // --- Long turns ---
  [[nodiscard]] bool MayTakeTurns() const;
  // Plans the next long turn of a replica.
  void PlanTurn(Replica& replica, Duration pause);
  // Begins a long turn that has read `input`, of which the first `handled` are
  // handled at once.
  void BeginTurn(Replica& replica,
                 std::vector<std::function<void()>> input,
                 std::size_t handled);
  void EndTurn(Replica& replica);
  void NoteTurnEnds(Replica& replica);
  // Notes the loss of places whose replicas were voted out as they were busy.
  void NoteVotedOut(const Membership& before);
  // Reads what has arrived during a long turn.
  void LookUp(Replica& replica);
  // Begins a long turn if the replica has just become the leader. Returns
  // whether it has begun.
  bool TakeFirstTurn(Replica& replica);
  [[nodiscard]] bool ChanceOfTurn(std::uint64_t percent);
  [[nodiscard]] Duration DrawForTurn(Duration least, Duration most);

  // --- Events ---
  void PlayEvent(const CellWorldOptions& options, EventKind kind);
  void HitOne(const CellWorldOptions& options, EventKind kind);
  void PlayKill(const std::string& id);
  void PlayFreeze(const std::string& id);
  void PlayCut(const std::string& id);
  void PlayDiskLoss(const std::string& id);
  void PlayReplacement(const std::string& id);
  void PlayPlannedReplacement();
  // Stops one replica whose successor runs, if the losses leave room for it.
  void PlayDueStop();
  [[nodiscard]] std::vector<PlannedStop>::iterator FindDueStop();
  void PlayPowerLoss();
  void PauseBeforeNext(const CellWorldOptions& options);
  [[nodiscard]] static std::vector<EventKind> KindsOf(const CellEvents& events);
  [[nodiscard]] std::string PickVictim(const CellWorldOptions& options);
  [[nodiscard]] std::vector<std::string> DrawSeeds(const std::string& except);
  // A replica without its disk gets new seeds if too few of its own remain.
  void RenewSeeds(Replica& replica);
  [[nodiscard]] bool HasPlannedSuccessor(const std::string& id) const;
  [[nodiscard]] Place* PlaceOf(const std::string& id);
  // Whether its replica has come back and may not be a voter again.
  [[nodiscard]] bool IsCatchingUp(const Place& place) const;
  [[nodiscard]] bool IsLost(const Place& place) const;
  [[nodiscard]] int Lost() const;
  [[nodiscard]] Duration Between(Duration least, Duration most);
  [[nodiscard]] bool Chance(std::uint64_t percent);
  void NoteBack(const std::string& id);
  void NoteDisturbance(const std::string& what);

  // --- Judgement ---
  void Check();
  void CheckNow();
  // Checks the end of a play; `acknowledged` is an index that every replica has
  // to have reached.
  void CheckEnd(std::uint64_t acknowledged);
  void NoteRole(const Replica& replica);
  // Judges what a leader says about other voters.
  void JudgeEvent(const Replica& leader, const Event& event);
  // Since when a leader's silent voters must have been answering.
  [[nodiscard]] Time SilenceFrom(const Replica& leader) const;
  // Whether a replica has run, has been connected and hasn't been busy since.
  [[nodiscard]] bool HasAnsweredSince(Time from, const MemberId& member) const;
  [[nodiscard]] bool IsBusy(const Replica& replica) const;
  // Whether any replica has been in a long turn since.
  [[nodiscard]] bool HasTakenTurnSince(Time from) const;
  [[nodiscard]] bool IsOrWasBusy(const Replica& replica, Time since) const;
  [[nodiscard]] bool HasBeenBusySince(Time from) const;
  void Apply(Replica& replica, const LogEntry& entry);
  void CompareDigest(const Replica& replica);
  void Complain(const std::string& rule, const std::string& detail);
  void Record(const std::string& line);
  [[nodiscard]] std::string Describe(const Membership& membership) const;
  [[nodiscard]] bool IsAlive(const MemberId& member) const;

  int size_;
  int losses_;
  CellLoad load_;
  Random random_;
  // Apart, so that the same seed plays the same events.
  Random turn_random_;
  Random relay_random_;
  bool are_turns_over_ = false;
  Time now_;
  std::uint64_t next_order_ = 0;
  // A heap by time.
  std::vector<Action> actions_;
  std::map<std::string, Replica> replicas_;
  std::map<std::string, Relay> relays_;
  // Who has dialled whom.
  std::set<std::pair<std::string, std::string>> connections_;
  std::vector<Place> places_;
  std::vector<PlannedStop> planned_stops_;
  int next_number_ = 1;
  std::uint64_t next_proposal_ = 1;
  Time disturbed_at_;
  bool has_formed_ = false;
  bool has_added_ = false;
  // While all replicas are down or have just come back.
  Time power_lost_until_;
  // The digest after each index that any replica has applied.
  std::map<std::uint64_t, std::uint64_t> digests_;
  std::uint64_t acknowledged_index_ = 0;
  // The last index that each term's leader acknowledged first. Indices rise
  // with terms.
  std::map<std::uint64_t, std::uint64_t> acknowledged_by_term_;
  Membership membership_;
  std::uint64_t membership_index_ = 0;
  std::map<std::uint64_t, MemberId> leaders_;
  std::set<std::string> broken_rules_;
  CellWorldResult result_;
};

// Plays a cell under random events and judges it.
[[nodiscard]] CellWorldResult PlayCellWorld(const CellWorldOptions& options,
                                            std::uint64_t seed);

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_CELL_WORLD_H_
