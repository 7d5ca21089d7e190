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

// The data folder of a replica, which contains these files:
//
//   incarnation      random id of the folder, written once
//   snapshot         the latest snapshot, replaced atomically by a rename
//   log-00000001 ... log segments, deleted once a snapshot covers them
//   damaged-*        files of an earlier incarnation that could not be read
//   *.new            what is being written, without effect before its rename
//
// The log is a sequence of records. Each holds the batches of one Write() in
// CBOR and is synced before the next one is written, so that a crash or a loss
// of power can leave at most the last record incomplete.
//
// Write() is called by the disk thread and Compact() by the snapshot thread:
// syncing a directory may take long, and appends must not wait for it.
class RaftStorage {
 public:
  RaftStorage() = default;
  ~RaftStorage();

  RaftStorage(const RaftStorage&) = delete;
  RaftStorage& operator=(const RaftStorage&) = delete;

  // Opens or creates the folder and returns its contents, all of which is
  // durable then: the last segment, which alone can hold a record that was not
  // synced, is written anew. An incomplete last record is truncated; any other
  // invalid record fails with kCorruptLog.
  [[nodiscard]] std::optional<RestoredLog> Open(const std::string& folder,
                                                Reason& reason);

  // Writes batches in order with one sync. On kDiskFull none of them is stored,
  // and the same batches may be written again. On kDiskFailed the process must
  // exit, because the contents of the disk are unknown.
  [[nodiscard]] bool Write(std::span<const PersistBatch> batches,
                           Reason& reason);

  // Writes a snapshot of this replica's state and prepares a new segment, to
  // which the next Write() switches. Fails like Write().
  [[nodiscard]] bool Compact(const Snapshot& snapshot, Reason& reason);

  // Removes the segments that a snapshot covers. On failure it may be called
  // again.
  [[nodiscard]] bool RemoveReleasedSegments(Reason& reason);

  // The random id of the folder, which identifies the replica's incarnation.
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return incarnation_;
  }

  // Number of bytes that Open() truncated from the end of the log.
  [[nodiscard]] std::uint64_t truncated_bytes() const noexcept {
    return truncated_bytes_;
  }

  // Size of the snapshot and the log segments that Open() read, in bytes.
  [[nodiscard]] std::uint64_t restored_bytes() const noexcept {
    return restored_bytes_;
  }

  // Whether the folder has files of an earlier incarnation that could not be
  // read. Such a replica has forgotten what it has confirmed.
  [[nodiscard]] bool has_damaged_files() const noexcept {
    return has_damaged_files_;
  }

  // Number of log segments in use by the disk thread.
  [[nodiscard]] std::size_t segments() const noexcept {
    return segments_.size();
  }

 private:
  // A log file.
  struct Segment {
    std::uint64_t number = 0;
    // The greatest index of any entry in the file.
    std::uint64_t last_index = 0;
  };

  // An empty segment that the snapshot thread has created for the disk thread.
  struct PreparedSegment {
    int fd = -1;
    std::uint64_t number = 0;
    // Last index of the latest snapshot written since the segment was created.
    std::uint64_t covered_index = 0;
  };

  // A segment that is being read: its path and descriptor, its size in bytes,
  // and where its valid records end.
  struct LoadedSegment {
    const std::string& path;
    int fd = -1;
    Segment& segment;
    std::uint64_t size = 0;
    std::uint64_t end = 0;
  };

  [[nodiscard]] bool LoadIncarnation(std::span<const std::string> names,
                                     Reason& reason);
  [[nodiscard]] bool LoadSnapshot(std::span<const std::string> names,
                                  RestoredLog& log,
                                  Reason& reason);
  [[nodiscard]] bool LoadSegments(std::span<const std::string> names,
                                  RestoredLog& log,
                                  Reason& reason);
  // Returns whether the segment could be read. The last one is written anew
  // before it is read, which takes the time and the room of its bytes.
  // `is_appendable` tells whether records may be appended to it, which segments
  // of earlier versions refuse.
  [[nodiscard]] bool LoadSegment(Segment& segment,
                                 bool is_last,
                                 RestoredLog& log,
                                 bool& is_appendable,
                                 Reason& reason);
  // Reads the records of a segment, the last of which may be torn in the last
  // segment. Reader is a SegmentReader.
  template <typename Reader>
  [[nodiscard]] bool LoadRecords(Reader reader,
                                 LoadedSegment& loaded,
                                 bool is_last,
                                 RestoredLog& log,
                                 Reason& reason);
  [[nodiscard]] bool IsEmptySegment(const Segment& segment) const;
  [[nodiscard]] bool WriteSnapshot(const Snapshot& snapshot, Reason& reason);
  [[nodiscard]] bool WriteFile(const std::string& name,
                               std::string_view bytes,
                               Reason& reason);
  [[nodiscard]] int CreateSegment(std::uint64_t number, Reason& reason);
  // Truncates the incomplete record that a failed write may have left.
  [[nodiscard]] bool TruncatePartialRecord(Reason& reason);
  void SwitchToPreparedSegment();
  // Hands the segments that a snapshot covers to the snapshot thread.
  void ReleaseCoveredSegments();
  [[nodiscard]] std::string PathOf(std::string_view name) const;
  [[nodiscard]] std::string SegmentPath(std::uint64_t number) const;

  std::string folder_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t truncated_bytes_ = 0;
  std::uint64_t restored_bytes_ = 0;
  HardState hard_state_;
  // Segments used by the disk thread, oldest first. Records are appended to the
  // last one, which log_fd_ has open.
  std::deque<Segment> segments_;
  int log_fd_ = -1;
  // Size of the complete records in the last segment, in bytes.
  std::uint64_t log_bytes_ = 0;
  // Whether a failed write may have left an incomplete record after them.
  bool has_partial_record_ = false;
  // Whether the next record must repeat the hard state, because the segments
  // that contain it may be deleted.
  bool must_repeat_hard_state_ = true;
  // Whether the next record must discard the entries before it, which conflict
  // with the snapshot.
  bool must_discard_entries_ = false;
  // Entries up to this index are in a durable snapshot.
  std::uint64_t covered_index_ = 0;
  bool has_damaged_files_ = false;

  std::mutex mutex_;
  std::optional<PreparedSegment> prepared_;
  // Numbers of segments to be removed, oldest first.
  std::deque<std::uint64_t> released_;
  std::uint64_t next_segment_ = 1;
  std::uint64_t snapshot_index_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_STORAGE_H_
