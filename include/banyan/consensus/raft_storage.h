#ifndef BANYAN_CONSENSUS_RAFT_STORAGE_H_
#define BANYAN_CONSENSUS_RAFT_STORAGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "banyan/base/error_kind.h"
#include "banyan/consensus/raft_types.h"

namespace banyan {

// A replica's data folder: its incarnation, the log in one file of records,
// and the latest snapshot. Each batch is one record of length, CRC-32 and
// CBOR, so that a crash can only tear the last one.
//
//   incarnation      the identity of the folder, written once
//   snapshot         the latest snapshot; replaced by rename
//   log              the records since that snapshot
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

  // Writes batches in order, those between two snapshots as one record with
  // one sync. On false the reason is kDiskFailed and the process must end:
  // what the disk holds is not known any more.
  [[nodiscard]] bool Write(std::span<const PersistBatch> batches,
                           Reason& reason);

  // The identity of the folder.
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return incarnation_;
  }

  // Bytes cut off the end of the log when it was opened.
  [[nodiscard]] std::uint64_t cut_bytes() const noexcept { return cut_bytes_; }

 private:
  [[nodiscard]] bool LoadIncarnation(Reason& reason);
  [[nodiscard]] bool LoadSnapshot(RestoredLog& log, Reason& reason);
  [[nodiscard]] bool LoadRecords(RestoredLog& log, Reason& reason);
  [[nodiscard]] bool AppendRecord(std::span<const PersistBatch> batches,
                                  Reason& reason);
  [[nodiscard]] bool WriteSnapshot(const PersistBatch& batch, Reason& reason);
  [[nodiscard]] bool WriteFile(const std::string& name,
                               std::string_view bytes,
                               Reason& reason);
  [[nodiscard]] bool StartNewLog(Reason& reason);
  [[nodiscard]] std::string PathOf(std::string_view name) const;

  std::string folder_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t cut_bytes_ = 0;
  int log_fd_ = -1;
  // What the folder holds, so that a snapshot can rewrite the log's tail.
  RestoredLog held_;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_RAFT_STORAGE_H_
