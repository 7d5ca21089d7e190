#ifndef BANYAN_CONSENSUS_RAFT_TYPES_H_
#define BANYAN_CONSENSUS_RAFT_TYPES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// The part of Raft's persistent state that protects votes: a replica must not
// vote twice in one term, also across restarts.
struct HardState {
  std::uint64_t term = 0;
  // The member that got this replica's vote in `term`; an empty id means none.
  MemberId voted_for;

  friend bool operator==(const HardState&, const HardState&) = default;
};

// The replicated state after applying all entries up to `last_index`.
struct Snapshot {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  Membership membership;
  std::string state;
};

// The state that a replica restored from its data folder.
struct RestoredLog {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<LogEntry> entries;
};

// Changes that must be on disk before messages that depend on them are sent.
// They are written in the order of the fields.
struct PersistBatch {
  std::uint64_t seq = 0;
  std::optional<HardState> hard_state;
  // A snapshot from the leader that replaces all earlier state.
  std::optional<Snapshot> snapshot;
  // Stored entries from this index on are to be discarded; 0 means none.
  std::uint64_t truncate_from = 0;
  std::vector<LogEntry> entries;

  [[nodiscard]] bool empty() const noexcept {
    return !hard_state && !snapshot && truncate_from == 0 && entries.empty();
  }
};

// Election timeouts that the catch-up time should have room for: two elections
// of up to two timeouts each, the silence of a voter, and as much again for a
// newcomer to find the leader and to fetch the log.
inline constexpr int kElectionTimeoutsPerCatchUp = 8;

// Timeouts of elections and of membership changes.
struct RaftTimings {
  // Interval between heartbeats of the leader.
  Duration heartbeat_interval = Millis(100);
  // Minimum time without a leader before a follower starts an election. The
  // actual timeout is random, between this and twice this value.
  Duration election_timeout = Millis(800);
  // Maximum drift between two replicas' clocks within one election timeout.
  Duration max_clock_drift = Millis(80);
  // Time after the start of a successor, or of a replica that is back, within
  // which the cell tolerates the next failure again.
  Duration catch_up = kElectionTimeoutsPerCatchUp * Millis(800);

  // The part of the catch-up time that a leader waits for a single member: for
  // a silent voter before it may be voted out, or for a learner to keep up with
  // the log before it may vote without that. The rest is left for what comes
  // before and after.
  [[nodiscard]] constexpr Duration member_patience() const noexcept {
    constexpr int kWaitsPerCatchUp = 4;
    return catch_up / kWaitsPerCatchUp;
  }

  // How long a voter must not have replied before it may be voted out: as long
  // as a leader goes without a majority before it steps down, or the patience
  // with one member if that is longer.
  [[nodiscard]] constexpr Duration voter_silence() const noexcept {
    return std::max(election_timeout * 2, member_patience());
  }
};

// Configuration of one replica.
struct RaftOptions {
  MemberId self;
  // Ids of all configured members, or of the members to send join requests to.
  std::vector<std::string> configured_ids;
  // Whether the configured members may bootstrap a new cell when the logs of
  // all of them are empty.
  bool may_bootstrap = true;
  // How many losses of voters at a time the cell has to bear. The leader logs
  // when it bears fewer for longer than the catch-up time.
  std::int64_t losses_required = 0;
  // Whether the leader keeps an odd number of voters, so that one half of the
  // replicas can go on without the other.
  bool odd_voters = false;
  RaftTimings timings;
  std::uint64_t seed = 1;
};

// The I/O and state changes that the caller must carry out after one or more
// steps of the core.
struct RaftOutputs {
  std::vector<Outbound> messages;
  std::vector<PersistBatch> persists;
  // The next committed entries, in log order.
  std::vector<LogEntry> committed;
  // A snapshot that replaces the applied state, before `committed` is applied.
  std::optional<Snapshot> installed_snapshot;
  Events events;
};

enum class RaftRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_TYPES_H_
