#ifndef BANYAN_CONSENSUS_RAFT_LOG_H_
#define BANYAN_CONSENSUS_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "banyan/consensus/raft_types.h"

namespace banyan {

// A replica's in-memory log: its latest snapshot and the entries that are
// retained, of which some may precede the snapshot's last index.
class RaftLog {
 public:
  RaftLog(Snapshot snapshot, std::vector<LogEntry> entries);

  [[nodiscard]] std::uint64_t last_index() const noexcept;
  [[nodiscard]] std::uint64_t last_term() const noexcept;
  // The index of the last compacted entry; retained entries start after it.
  [[nodiscard]] std::uint64_t base_index() const noexcept {
    return base_index_;
  }
  [[nodiscard]] const Snapshot& snapshot() const noexcept { return snapshot_; }
  // The latest membership in the log, whether committed or not.
  [[nodiscard]] const Membership& membership() const noexcept {
    return membership_;
  }
  // The index of the entry or snapshot that defines the membership.
  [[nodiscard]] std::uint64_t membership_index() const noexcept {
    return membership_index_;
  }

  // Returns the term of the entry at an index, or nullopt if it is unknown.
  [[nodiscard]] std::optional<std::uint64_t> TermAt(
      std::uint64_t index) const noexcept;

  // Returns the entry at an index, which must be retained.
  [[nodiscard]] const LogEntry& At(std::uint64_t index) const;

  // Returns entries from index `from` on: at most `max_entries`, and no further
  // entry once their data reaches `max_bytes`.
  [[nodiscard]] std::vector<LogEntry> Slice(std::uint64_t from,
                                            std::size_t max_entries,
                                            std::size_t max_bytes) const;

  // Returns the index after which the last entries up to and including `until`
  // start that are at most `max_entries` and have at most `max_bytes` of data.
  [[nodiscard]] std::uint64_t StartOfLast(std::uint64_t until,
                                          std::uint64_t max_entries,
                                          std::size_t max_bytes) const;

  // Appends an entry, whose index must be last_index() + 1.
  void Append(LogEntry entry);

  // Removes all entries with this or a greater index.
  void TruncateFrom(std::uint64_t index);

  // Stores a snapshot of this replica's state and drops the entries up to and
  // including `keep_after`.
  void Compact(Snapshot snapshot, std::uint64_t keep_after);

  // Replaces the snapshot and all entries by a snapshot from the leader.
  void Reset(Snapshot snapshot);

 private:
  void RecomputeMembership();

  Snapshot snapshot_;
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<LogEntry> entries_;
  Membership membership_;
  std::uint64_t membership_index_ = 0;
};

// Returns whether the member is a voter.
[[nodiscard]] bool IsVoter(const Membership& membership,
                           const MemberId& member) noexcept;

// Returns whether the member is a learner.
[[nodiscard]] bool IsLearner(const Membership& membership,
                             const MemberId& member) noexcept;

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_LOG_H_
