#ifndef BANYAN_CONSENSUS_RAFT_TYPES_H_
#define BANYAN_CONSENSUS_RAFT_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// What a replica must not forget about its votes.
struct HardState {
  std::uint64_t term = 0;
  // The member voted for in this term; an empty id means none.
  MemberId voted_for;

  friend bool operator==(const HardState&, const HardState&) = default;
};

// The replicated state up to an index.
struct Snapshot {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  Membership membership;
  std::string state;
};

// What a replica read back from its data folder.
struct RestoredLog {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<LogEntry> entries;
};

// What must be on disk before the messages that depend on it are sent. The
// parts are written in the order of the fields.
struct PersistBatch {
  std::uint64_t seq = 0;
  std::optional<HardState> hard_state;
  // A leader's snapshot that replaces everything before.
  std::optional<Snapshot> snapshot;
  // Entries from this index on are void; 0 means none.
  std::uint64_t truncate_from = 0;
  std::vector<LogEntry> entries;

  // Returns whether there is nothing to write.
  [[nodiscard]] bool empty() const noexcept {
    return !hard_state && !snapshot && truncate_from == 0 && entries.empty();
  }
};

// Spans of the election protocol. They are settings; the core turns them into
// deadlines.
struct RaftTimings {
  Span heartbeat_interval = Millis(100);
  // The least span without a leader before an election; the greatest is twice
  // as long.
  Span election_timeout = Millis(800);
  // What clocks may drift apart within one election span.
  Span max_clock_drift = Millis(80);
};

// Who takes part and how.
struct RaftOptions {
  MemberId self;
  // Ids of all configured members, or of those to ask for admission.
  std::vector<std::string> configured_ids;
  // Whether the configured members may form a new cell when all are empty.
  bool may_bootstrap = true;
  // How long a voter must be silent before an even cell goes on without it.
  Span voter_removal_timeout = std::chrono::seconds(12);
  RaftTimings timings;
  std::uint64_t seed = 1;
};

// What one or more steps of the core want done.
struct RaftOutputs {
  std::vector<Outbound> messages;
  std::vector<PersistBatch> persists;
  // Entries that became committed, in order.
  std::vector<LogEntry> committed;
  // A snapshot that replaces the applied state; comes before `committed`.
  std::optional<Snapshot> installed_snapshot;
  Events events;
};

// What a replica does for the cell at present.
enum class RaftRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_TYPES_H_
