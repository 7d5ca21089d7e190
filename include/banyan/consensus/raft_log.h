#ifndef BANYAN_CONSENSUS_RAFT_LOG_H_
#define BANYAN_CONSENSUS_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "banyan/consensus/raft_types.h"

namespace banyan {

// The entries of one replica in memory, after its snapshot.
class RaftLog {
 public:
  explicit RaftLog(RestoredLog restored);

  [[nodiscard]] std::uint64_t last_index() const noexcept;
  [[nodiscard]] std::uint64_t last_term() const noexcept;
  // The index before the first entry that is still held.
  [[nodiscard]] std::uint64_t base_index() const noexcept {
    return base_index_;
  }
  [[nodiscard]] const Snapshot& snapshot() const noexcept { return snapshot_; }
  // The latest membership in the log, committed or not.
  [[nodiscard]] const Membership& membership() const noexcept {
    return membership_;
  }
  // The index of the entry that set the membership.
  [[nodiscard]] std::uint64_t membership_index() const noexcept {
    return membership_index_;
  }

  // Returns the term of an index, or nothing when it is not held.
  [[nodiscard]] std::optional<std::uint64_t> TermAt(
      std::uint64_t index) const noexcept;

  // Returns the held entry at an index.
  [[nodiscard]] const LogEntry& At(std::uint64_t index) const;

  // Returns entries from an index on, bounded in count and bytes.
  [[nodiscard]] std::vector<LogEntry> Slice(std::uint64_t from,
                                            std::size_t max_entries,
                                            std::size_t max_bytes) const;

  // Adds an entry at the end.
  void Append(LogEntry entry);

  // Removes the entries from an index on.
  void TruncateFrom(std::uint64_t index);

  // Takes a snapshot of the own state and drops entries up to `keep_after`.
  void Compact(Snapshot snapshot, std::uint64_t keep_after);

  // Replaces everything by a snapshot of the leader.
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

// Returns whether a member votes.
[[nodiscard]] bool IsVoter(const Membership& membership,
                           const MemberId& member) noexcept;

// Returns whether a member only learns.
[[nodiscard]] bool IsLearner(const Membership& membership,
                             const MemberId& member) noexcept;

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_LOG_H_
