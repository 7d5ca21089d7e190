#include "banyan/consensus/raft_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "banyan/wire/codec.h"

namespace banyan {

RaftLog::RaftLog(Snapshot snapshot, std::vector<LogEntry> entries)
    : snapshot_(std::move(snapshot)),
      base_index_(snapshot_.last_index),
      base_term_(snapshot_.last_term),
      entries_(std::make_move_iterator(entries.begin()),
               std::make_move_iterator(entries.end())) {
  if (!entries_.empty() && entries_.front().index <= base_index_) {
    // The stored log may still contain entries that the snapshot covers.
    while (!entries_.empty() && entries_.front().index <= base_index_) {
      entries_.pop_front();
    }
  }
  RecomputeMembership();
}

std::uint64_t RaftLog::last_index() const noexcept {
  return base_index_ + entries_.size();
}

std::uint64_t RaftLog::last_term() const noexcept {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<std::uint64_t> RaftLog::TermAt(
    std::uint64_t index) const noexcept {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term;
}

const LogEntry& RaftLog::At(std::uint64_t index) const {
  return entries_[index - base_index_ - 1];
}

std::vector<LogEntry> RaftLog::Slice(std::uint64_t from,
                                     std::size_t max_entries,
                                     std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  if (from > last_index()) {
    return slice;
  }
  const std::size_t first = from - base_index_ - 1;
  const std::size_t count = std::min(max_entries, entries_.size() - first);
  const auto begin = entries_.begin() + static_cast<std::ptrdiff_t>(first);
  std::size_t bytes = 0;
  auto end = begin;
  while (end != begin + static_cast<std::ptrdiff_t>(count) &&
         bytes < max_bytes) {
    bytes += end->data.size();
    ++end;
  }
  slice.assign(begin, end);
  return slice;
}

std::uint64_t RaftLog::StartOfLast(std::uint64_t until,
                                   std::uint64_t max_entries,
                                   std::size_t max_bytes) const {
  std::uint64_t start = until;
  std::size_t bytes = 0;
  while (start > base_index_ && until - start < max_entries) {
    bytes += At(start).data.size();
    if (bytes > max_bytes) {
      break;
    }
    --start;
  }
  return start;
}

void RaftLog::Append(LogEntry entry) {
  const bool is_membership = entry.kind == EntryKind::kMembership;
  entries_.push_back(std::move(entry));
  if (is_membership) {
    RecomputeMembership();
  }
}

void RaftLog::TruncateFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty()) {
    entries_.pop_back();
  }
  if (membership_index_ >= index) {
    RecomputeMembership();
  }
}

void RaftLog::Compact(Snapshot snapshot, std::uint64_t keep_after) {
  const std::uint64_t until = std::min(keep_after, snapshot.last_index);
  snapshot_ = std::move(snapshot);
  while (base_index_ < until) {
    base_term_ = entries_.front().term;
    ++base_index_;
    entries_.pop_front();
  }
}

void RaftLog::Reset(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  base_index_ = snapshot_.last_index;
  base_term_ = snapshot_.last_term;
  entries_.clear();
  RecomputeMembership();
}

void RaftLog::RecomputeMembership() {
  membership_ = snapshot_.membership;
  membership_index_ = snapshot_.last_index;
  const auto latest = std::find_if(
      entries_.rbegin(), entries_.rend(), [&](const LogEntry& entry) {
        return entry.kind == EntryKind::kMembership &&
               entry.index > snapshot_.last_index;
      });
  Reason reason;
  if (latest == entries_.rend()) {
    return;
  }
  if (auto found = DecodeMembership(latest->data, reason)) {
    membership_ = *std::move(found);
    membership_index_ = latest->index;
  }
}

bool IsVoter(const Membership& membership, const MemberId& member) noexcept {
  return std::find(membership.voters.begin(), membership.voters.end(),
                   member) != membership.voters.end();
}

bool IsLearner(const Membership& membership, const MemberId& member) noexcept {
  return std::find(membership.learners.begin(), membership.learners.end(),
                   member) != membership.learners.end();
}

}  // namespace banyan
