#ifndef BANYAN_CONSENSUS_RAFT_STORAGE_H_
#define BANYAN_CONSENSUS_RAFT_STORAGE_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "banyan/base/error_kind.h"
#include "banyan/consensus/raft_types.h"

namespace banyan {

// A replica's data folder: its incarnation, the log in segments, and the
// latest snapshot. The batches of one write are one record of length, CRC-32
// and CBOR, so that a crash can only tear the last record.
//
//   incarnation      the identity of the folder, written once
//   snapshot         the latest snapshot; replaced by rename
//   log-00000001 ... the records; a segment goes once a snapshot covers it
//
// Write belongs to the disk thread and Compact to the snapshot thread: syncing
// a folder may take long, and appends must not wait for it.
class RaftStorage {
 public:
  RaftStorage() = default;
  ~RaftStorage();

  RaftStorage(const RaftStorage&) = delete;
  RaftStorage& operator=(const RaftStorage&) = delete;

  // Opens or creates the folder and reads it back. A torn last record is cut
  // off; a bad record before it gives kCorruptLog.
  [[nodiscard]] std::optional<RestoredLog> Open(const std::string& folder,
                                                Reason& reason);

  // Writes batches in order with one sync. On kDiskFull nothing of them stands
  // and the same batches may be written again; on kDiskFailed the process must
  // end, because what the disk holds is not known any more.
  [[nodiscard]] bool Write(std::span<const PersistBatch> batches,
                           Reason& reason);

  // Writes a snapshot of the own state and prepares a new segment, to which
  // the next write goes over. Fails like Write.
  [[nodiscard]] bool Compact(const Snapshot& snapshot, Reason& reason);

  // The identity of the folder.
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return incarnation_;
  }

  // Bytes cut off the end of the log when it was opened.
  [[nodiscard]] std::uint64_t truncated_bytes() const noexcept {
    return truncated_bytes_;
  }

  // Segments that the folder holds at present.
  [[nodiscard]] std::size_t segments() const noexcept {
    return segments_.size();
  }

 private:
  // A file of records.
  struct Segment {
    std::uint64_t number = 0;
    // The greatest index that any record in it names.
    std::uint64_t last_index = 0;
  };

  // What the snapshot thread prepared for the disk thread.
  struct PreparedSegment {
    int fd = -1;
    std::uint64_t number = 0;
    std::uint64_t covered_index = 0;
  };

  [[nodiscard]] bool LoadIncarnation(Reason& reason);
  [[nodiscard]] bool LoadSnapshot(RestoredLog& log, Reason& reason);
  [[nodiscard]] bool LoadSegments(RestoredLog& log, Reason& reason);
  [[nodiscard]] bool LoadSegment(Segment& segment,
                                 bool is_last,
                                 RestoredLog& log,
                                 Reason& reason);
  [[nodiscard]] bool WriteSnapshot(const Snapshot& snapshot, Reason& reason);
  [[nodiscard]] bool WriteFile(const std::string& name,
                               std::string_view bytes,
                               Reason& reason);
  [[nodiscard]] int CreateSegment(std::uint64_t number, Reason& reason);
  // Takes off the log what a refused write may have left there.
  [[nodiscard]] bool TruncatePartialRecord(Reason& reason);
  void SwitchToPreparedSegment();
  void DeleteCoveredSegments(std::uint64_t covered_index);
  [[nodiscard]] std::string PathOf(std::string_view name) const;
  [[nodiscard]] std::string SegmentPath(std::uint64_t number) const;

  std::string folder_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t truncated_bytes_ = 0;
  HardState hard_state_;
  // Segments in use by the disk thread, oldest first; the last is written to.
  std::deque<Segment> segments_;
  int log_fd_ = -1;
  // Bytes of whole records in that segment, and whether a refused write may
  // have left more.
  std::uint64_t log_bytes_ = 0;
  bool has_partial_record_ = false;
  // Whether the next record must repeat the hard state, because the segments
  // that hold it may go.
  bool must_repeat_hard_state_ = false;

  std::mutex mutex_;
  std::optional<PreparedSegment> prepared_;
  std::uint64_t next_segment_ = 1;
  std::uint64_t snapshot_index_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_STORAGE_H_
