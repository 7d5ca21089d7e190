#include "banyan/consensus/raft_storage.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <sstream>
#include <utility>

#include "banyan/base/random.h"
#include "src/consensus/data_files.h"
#include "src/consensus/log_record.h"
#include "src/consensus/segment_reader.h"
#include "src/wire/json_types.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr int kFileMode = 0644;
constexpr int kFolderMode = 0755;

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json BatchToJson(const PersistBatch& batch) {
  json value;
  if (batch.hard_state) {
    value["hard"] = {batch.hard_state->term, batch.hard_state->voted_for};
  }
  if (batch.truncate_from > 0) {
    value["truncate"] = batch.truncate_from;
  }
  if (!batch.entries.empty()) {
    value["entries"] = batch.entries;
  }
  return value;
}

PersistBatch BatchFromJson(const json& value) {
  PersistBatch batch;
  if (value.contains("hard")) {
    HardState hard_state;
    value["hard"].at(0).get_to(hard_state.term);
    value["hard"].at(1).get_to(hard_state.voted_for);
    batch.hard_state = hard_state;
  }
  if (value.contains("truncate")) {
    value["truncate"].get_to(batch.truncate_from);
  }
  if (value.contains("entries")) {
    value["entries"].get_to(batch.entries);
  }
  return batch;
}

// Returns the index of the batch's last entry, or 0 if it has none.
std::uint64_t LastIndexOf(const PersistBatch& batch) {
  return batch.entries.empty() ? 0 : batch.entries.back().index;
}

// Applies a batch to the restored log, except for its snapshot.
void ApplyBatch(PersistBatch batch, RestoredLog& log) {
  if (batch.hard_state) {
    log.hard_state = *batch.hard_state;
  }
  if (batch.truncate_from > 0) {
    std::erase_if(log.entries, [&](const LogEntry& entry) {
      return entry.index >= batch.truncate_from;
    });
  }
  std::move(batch.entries.begin(), batch.entries.end(),
            std::back_inserter(log.entries));
}

// Removes the entries that the snapshot covers. If a replica crashes after it
// has written a leader's snapshot but before it has discarded its old log, the
// entries may conflict with the snapshot; then all of them are removed.
// Returns whether they do, so that the log has to discard them, too.
bool RemoveCoveredEntries(RestoredLog& log) {
  const Snapshot& snapshot = log.snapshot;
  const bool has_conflicting_entries = std::any_of(
      log.entries.begin(), log.entries.end(), [&](const LogEntry& entry) {
        const bool is_last = entry.index == snapshot.last_index;
        return (is_last && entry.term != snapshot.last_term) ||
               (entry.index > snapshot.last_index &&
                entry.term < snapshot.last_term);
      });
  std::erase_if(log.entries, [&](const LogEntry& entry) {
    return has_conflicting_entries || entry.index <= snapshot.last_index;
  });
  return has_conflicting_entries;
}

// Returns the index of the first entry that is missing between others or after
// the snapshot, or nullopt if there is none.
std::optional<std::uint64_t> FindMissingEntry(const RestoredLog& log) {
  std::uint64_t expected = log.snapshot.last_index + 1;
  for (const LogEntry& entry : log.entries) {
    if (entry.index != expected) {
      return expected;
    }
    ++expected;
  }
  return std::nullopt;
}

// Writes the first bytes of one file to the same place in another one, or in
// the same one. Returns false, with errno set, if that fails.
bool CopyBytes(int from, int to, std::uint64_t size) {
  constexpr std::uint64_t kChunkBytes = std::uint64_t{256} << 10U;
  std::string chunk;
  for (std::uint64_t at = 0; at < size; at += chunk.size()) {
    chunk.resize(static_cast<std::size_t>(std::min(kChunkBytes, size - at)));
    if (!ReadAt(from, chunk, at) || !WriteAt(to, chunk, at)) {
      return false;
    }
  }
  return true;
}

// Writes a segment into a new file and syncs it. Returns its descriptor, or -1
// with errno set if that fails.
//
// That a record can be read doesn't tell that it is on disk: after a sync that
// failed, no later one writes it. So a start writes what it relies on.
int CopySegment(int from, std::uint64_t size, const std::string& path) {
  const int copy =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (copy < 0 || (CopyBytes(from, copy, size) && ::fsync(copy) == 0)) {
    return copy;
  }
  const int error = errno;
  ::close(copy);
  ::unlink(path.c_str());
  errno = error;
  return -1;
}

// Does the same without a new file, as a full disk must not keep a replica from
// its start: bytes that replace the same bytes take no room, and a loss of
// power can't change them. Returns false, with errno set, if that fails.
bool RewriteInPlace(int fd, std::uint64_t size) {
  return CopyBytes(fd, fd, size) && ::fsync(fd) == 0;
}

// Returns an error of contents that are as they were written, but not by this
// version.
Reason UnknownFormatError(const std::string& path,
                          const std::exception& error) {
  return {ErrorKind::kInternal, path + ": " + error.what(), {}};
}

// A file descriptor that is closed at the end of a scope.
class ScopedFd {
 public:
  explicit ScopedFd(int fd) : fd_(fd) {}
  ~ScopedFd() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  ScopedFd(const ScopedFd&) = delete;
  ScopedFd& operator=(const ScopedFd&) = delete;
  [[nodiscard]] int get() const noexcept { return fd_; }

 private:
  int fd_;
};

}  // namespace

RaftStorage::~RaftStorage() {
  if (log_fd_ >= 0) {
    ::close(log_fd_);
  }
  if (prepared_) {
    ::close(prepared_->fd);
  }
}

std::string RaftStorage::PathOf(std::string_view name) const {
  return folder_ + "/" + std::string(name);
}

std::string RaftStorage::SegmentPath(std::uint64_t number) const {
  constexpr std::size_t kDigits = 8;
  std::string digits = std::to_string(number);
  digits.insert(0, kDigits - std::min(kDigits, digits.size()), '0');
  return PathOf(std::string(kSegmentPrefix) + digits);
}

std::optional<RestoredLog> RaftStorage::Open(const std::string& folder,
                                             Reason& reason) {
  folder_ = folder;
  if (::mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    reason = DiskFailedError("can't create " + folder);
    return std::nullopt;
  }
  const auto names = ListFiles(folder, reason);
  if (!names) {
    return std::nullopt;
  }
  // A process that was killed may have renamed or created files whose names
  // are not durable yet. From now on the cell relies on what is read, and a
  // segment must not become durable before the incarnation.
  if (!SyncFolder(folder_)) {
    reason = DiskFailedError("can't sync " + folder_);
    return std::nullopt;
  }
  RestoredLog log;
  if (!LoadIncarnation(*names, reason) || !LoadSnapshot(*names, log, reason) ||
      !LoadSegments(*names, log, reason)) {
    return std::nullopt;
  }
  must_discard_entries_ = RemoveCoveredEntries(log);
  if (const auto missing = FindMissingEntry(log)) {
    reason = {ErrorKind::kCorruptLog,
              "entry " + std::to_string(*missing) + " is missing in " + folder,
              {}};
    return std::nullopt;
  }
  hard_state_ = log.hard_state;
  snapshot_index_ = log.snapshot.last_index;
  covered_index_ = log.snapshot.last_index;
  return log;
}

bool RaftStorage::LoadIncarnation(std::span<const std::string> names,
                                  Reason& reason) {
  const std::string path = PathOf(kIncarnationFile);
  bool has_incarnation = false;
  bool has_log = false;
  for (const std::string& name : names) {
    has_incarnation = has_incarnation || name == kIncarnationFile;
    has_log =
        has_log || name == kSnapshotFile || name.starts_with(kSegmentPrefix);
    has_damaged_files_ = has_damaged_files_ || name.starts_with(kDamagedPrefix);
  }
  if (has_incarnation) {
    const auto bytes = ReadWholeFile(path, reason);
    if (!bytes) {
      return false;
    }
    std::istringstream(*bytes) >> incarnation_;
    if (incarnation_ == 0) {
      reason = {ErrorKind::kCorruptLog, "no incarnation in " + path, {}};
      return false;
    }
    return true;
  }
  if (has_log) {
    reason = {ErrorKind::kCorruptLog, path + " is missing", {}};
    return false;
  }
  incarnation_ = NewIncarnation();
  return WriteFile(std::string(kIncarnationFile),
                   std::to_string(incarnation_) + "\n", reason);
}

bool RaftStorage::LoadSnapshot(std::span<const std::string> names,
                               RestoredLog& log,
                               Reason& reason) {
  if (std::find(names.begin(), names.end(), kSnapshotFile) == names.end()) {
    return true;
  }
  const std::string path = PathOf(kSnapshotFile);
  const auto bytes = ReadWholeFile(path, reason);
  if (!bytes) {
    return false;
  }
  restored_bytes_ += bytes->size();
  std::string_view payload;
  if (ParseWholeRecord(*bytes, payload) != RecordStatus::kValid) {
    reason = {ErrorKind::kCorruptLog, "bad checksum in " + path, {}};
    return false;
  }
  try {
    const json value = ParseCbor(payload);
    value.at("last_index").get_to(log.snapshot.last_index);
    value.at("last_term").get_to(log.snapshot.last_term);
    value.at("membership").get_to(log.snapshot.membership);
    value.at("state").get_to(log.snapshot.state);
  } catch (const InvalidValueError& error) {
    reason = UnknownFormatError(path, error);
    return false;
  } catch (const json::exception& error) {
    reason = UnknownFormatError(path, error);
    return false;
  }
  return true;
}

bool RaftStorage::LoadSegments(std::span<const std::string> names,
                               RestoredLog& log,
                               Reason& reason) {
  for (const std::string& name : names) {
    if (name.starts_with(kSegmentPrefix)) {
      segments_.push_back(
          {std::strtoull(&name[kSegmentPrefix.size()], nullptr, 10), 0});
    }
  }
  std::sort(
      segments_.begin(), segments_.end(),
      [](const Segment& a, const Segment& b) { return a.number < b.number; });
  // Trailing segments may be empty, as they were prepared but not yet written
  // to; an incomplete last record is then in the segment before them.
  std::size_t last = segments_.size();
  while (last > 0 && IsEmptySegment(segments_[last - 1])) {
    --last;
  }
  bool is_appendable = false;
  for (std::size_t i = 0; i < segments_.size(); ++i) {
    if (!LoadSegment(segments_[i], i + 1 >= last, log, is_appendable, reason)) {
      ::unlink(PathOf(kRewrittenSegment).c_str());
      return false;
    }
  }
  if (!is_appendable) {
    const std::uint64_t number =
        segments_.empty() ? 1 : segments_.back().number + 1;
    segments_.push_back({number, 0});
  }
  next_segment_ = segments_.back().number + 1;
  log_fd_ = CreateSegment(segments_.back().number, reason);
  if (log_fd_ < 0) {
    return false;
  }
  // Makes the names of rewritten and new segments durable, and all others.
  if (!SyncFolder(folder_)) {
    reason = DiskFailedError("can't sync " + folder_);
    return false;
  }
  const off_t size = ::lseek(log_fd_, 0, SEEK_END);
  if (size < 0) {
    reason = DiskFailedError("can't read the log in " + folder_);
    return false;
  }
  log_bytes_ = static_cast<std::uint64_t>(size);
  return true;
}

bool RaftStorage::IsEmptySegment(const Segment& segment) const {
  std::error_code error;
  return std::filesystem::file_size(SegmentPath(segment.number), error) == 0 &&
         !error;
}

bool RaftStorage::LoadSegment(Segment& segment,
                              bool is_last,
                              RestoredLog& log,
                              bool& is_appendable,
                              Reason& reason) {
  const std::string path = SegmentPath(segment.number);
  const ScopedFd file(::open(path.c_str(), O_RDWR | O_CLOEXEC));
  const off_t end = file.get() < 0 ? -1 : ::lseek(file.get(), 0, SEEK_END);
  if (end < 0) {
    reason = DiskFailedError("can't read " + path);
    return false;
  }
  const auto size = static_cast<std::uint64_t>(end);
  restored_bytes_ += size;
  // What is relied on is read from what this start has written and synced.
  const std::string copied_path = PathOf(kRewrittenSegment);
  const ScopedFd copy(is_last ? CopySegment(file.get(), size, copied_path)
                              : -1);
  const bool has_copy = copy.get() >= 0;
  if (is_last && !has_copy &&
      (errno == EIO || !RewriteInPlace(file.get(), size))) {
    reason = DiskFailedError("can't rewrite " + path);
    return false;
  }
  LoadedSegment loaded{path, has_copy ? copy.get() : file.get(), segment, size,
                       0};
  std::string start(std::min<std::uint64_t>(kSegmentMagic.size(), size), '\0');
  if (!ReadAt(loaded.fd, start, 0)) {
    reason = DiskFailedError("can't read " + path);
    return false;
  }
  is_appendable = !IsOldSegment(start);
  if (is_appendable) {
    if (!LoadRecords(SectorReader(loaded.fd, size), loaded, is_last, log,
                     reason)) {
      return false;
    }
  } else {
    const auto bytes = ReadWholeFile(has_copy ? copied_path : path, reason);
    if (!bytes ||
        !LoadRecords(WholeRecordReader(*bytes), loaded, is_last, log, reason)) {
      return false;
    }
  }
  if (loaded.end < size && is_last) {
    truncated_bytes_ += size - loaded.end;
    if (::ftruncate(loaded.fd, static_cast<off_t>(loaded.end)) != 0 ||
        ::fsync(loaded.fd) != 0) {
      reason = DiskFailedError("can't cut the torn end of " + path);
      return false;
    }
  }
  if (has_copy && std::rename(copied_path.c_str(), path.c_str()) != 0) {
    reason = DiskFailedError("can't replace " + path);
    return false;
  }
  return true;
}

template <typename Reader>
bool RaftStorage::LoadRecords(Reader reader,
                              LoadedSegment& loaded,
                              bool is_last,
                              RestoredLog& log,
                              Reason& reason) {
  std::string payload;
  RecordStatus status = reader.Next(payload);
  for (; status == RecordStatus::kValid; status = reader.Next(payload)) {
    try {
      for (const json& item : ParseCbor(payload)) {
        PersistBatch batch = BatchFromJson(item);
        loaded.segment.last_index =
            std::max(loaded.segment.last_index, LastIndexOf(batch));
        ApplyBatch(std::move(batch), log);
      }
    } catch (const InvalidValueError& error) {
      reason = UnknownFormatError(loaded.path, error);
      return false;
    } catch (const json::exception& error) {
      reason = UnknownFormatError(loaded.path, error);
      return false;
    }
  }
  loaded.end = reader.offset();
  if (status == RecordStatus::kEnd ||
      (status == RecordStatus::kTorn && is_last)) {
    return true;
  }
  if (status == RecordStatus::kUnreadable) {
    reason = DiskFailedError("can't read " + loaded.path);
    return false;
  }
  reason = {ErrorKind::kCorruptLog,
            "bad record at byte " + std::to_string(loaded.end) + " of " +
                loaded.path + ", " +
                DescribeRest(loaded.fd, loaded.end, loaded.size),
            {}};
  return false;
}

bool RaftStorage::WriteFile(const std::string& name,
                            std::string_view bytes,
                            Reason& reason) {
  const std::string path = PathOf(name);
  const std::string temporary = path + ".new";
  const int fd = ::open(temporary.c_str(),
                        O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    reason = DiskFullError("can't create " + temporary);
    return false;
  }
  // The temporary file has no effect before the rename, so any failure up to
  // here can be retried.
  const bool is_written = WriteAll(fd, bytes) && ::fsync(fd) == 0;
  if (!is_written) {
    reason = DiskFullError("can't write " + temporary);
  }
  ::close(fd);
  if (!is_written) {
    ::unlink(temporary.c_str());
    return false;
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0 ||
      !SyncFolder(folder_)) {
    reason = DiskFailedError("can't write " + path);
    return false;
  }
  return true;
}

int RaftStorage::CreateSegment(std::uint64_t number, Reason& reason) {
  const std::string path = SegmentPath(number);
  const int fd =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    reason = DiskFullError("can't create " + path);
  }
  return fd;
}

bool RaftStorage::WriteSnapshot(const Snapshot& snapshot, Reason& reason) {
  const json value = {{"last_index", snapshot.last_index},
                      {"last_term", snapshot.last_term},
                      {"membership", snapshot.membership},
                      {"state", snapshot.state}};
  return WriteFile(std::string(kSnapshotFile), EncodeWholeRecord(ToCbor(value)),
                   reason);
}

bool RaftStorage::Compact(const Snapshot& snapshot, Reason& reason) {
  const std::lock_guard lock(mutex_);
  if (snapshot.last_index <= snapshot_index_) {
    return true;
  }
  // The directory sync at the end of WriteSnapshot() also makes the new segment
  // durable.
  PreparedSegment prepared = prepared_.value_or(PreparedSegment{});
  if (!prepared_) {
    prepared.number = next_segment_++;
    prepared.fd = CreateSegment(prepared.number, reason);
    if (prepared.fd < 0) {
      return false;
    }
  }
  if (!WriteSnapshot(snapshot, reason)) {
    if (!prepared_) {
      ::close(prepared.fd);
      ::unlink(SegmentPath(prepared.number).c_str());
    }
    return false;
  }
  snapshot_index_ = snapshot.last_index;
  prepared.covered_index = snapshot.last_index;
  prepared_ = prepared;
  return true;
}

void RaftStorage::SwitchToPreparedSegment() {
  std::optional<PreparedSegment> prepared;
  {
    const std::unique_lock lock(mutex_, std::try_to_lock);
    if (!lock.owns_lock() || !prepared_) {
      return;
    }
    prepared.swap(prepared_);
  }
  ::close(log_fd_);
  log_fd_ = prepared->fd;
  log_bytes_ = 0;
  segments_.push_back({prepared->number, 0});
  must_repeat_hard_state_ = true;
  covered_index_ = prepared->covered_index;
}

void RaftStorage::ReleaseCoveredSegments() {
  const auto is_covered = [&] {
    return segments_.size() > 1 &&
           segments_.front().last_index <= covered_index_;
  };
  if (!is_covered()) {
    return;
  }
  const std::unique_lock lock(mutex_, std::try_to_lock);
  while (lock.owns_lock() && is_covered()) {
    released_.push_back(segments_.front().number);
    segments_.pop_front();
  }
}

bool RaftStorage::RemoveReleasedSegments(Reason& reason) {
  const std::lock_guard lock(mutex_);
  // The oldest is gone for good before the next one is removed: a later segment
  // may hold the truncation of an entry that an earlier one has.
  for (; !released_.empty(); released_.pop_front()) {
    const std::string path = SegmentPath(released_.front());
    if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
      reason = DiskFullError("can't remove " + path);
      return false;
    }
    if (!SyncFolder(folder_)) {
      reason = DiskFailedError("can't sync " + folder_);
      return false;
    }
  }
  return true;
}

bool RaftStorage::TruncatePartialRecord(Reason& reason) {
  if (!has_partial_record_) {
    return true;
  }
  if (::ftruncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0) {
    reason = DiskFullError("can't cut the log in " + folder_);
    return false;
  }
  // Without the sync a loss of power could leave bytes of the partial record
  // where the next one was not written. If it fails, a later one has nothing
  // left to write; the next start writes the segment anew.
  if (::fsync(log_fd_) != 0) {
    reason = DiskFailedError("can't sync the cut of the log in " + folder_);
    return false;
  }
  has_partial_record_ = false;
  return true;
}

bool RaftStorage::Write(std::span<const PersistBatch> batches, Reason& reason) {
  if (!TruncatePartialRecord(reason)) {
    return false;
  }
  SwitchToPreparedSegment();
  json record = json::array();
  if (must_repeat_hard_state_) {
    PersistBatch repeated;
    repeated.hard_state = hard_state_;
    repeated.truncate_from = must_discard_entries_ ? 1 : 0;
    record.push_back(BatchToJson(repeated));
  }
  for (const PersistBatch& batch : batches) {
    if (batch.snapshot) {
      // The snapshot must be on disk before the record that discards the old
      // entries.
      const std::lock_guard lock(mutex_);
      if (!WriteSnapshot(*batch.snapshot, reason)) {
        return false;
      }
      snapshot_index_ = batch.snapshot->last_index;
    }
    hard_state_ = batch.hard_state.value_or(hard_state_);
    Segment& segment = segments_.back();
    segment.last_index = std::max(segment.last_index, LastIndexOf(batch));
    record.push_back(BatchToJson(batch));
  }
  const std::string bytes = EncodeLogRecord(log_bytes_, ToCbor(record));
  if (!WriteAll(log_fd_, bytes)) {
    reason = DiskFullError("can't write the log in " + folder_);
    has_partial_record_ = true;
    // If the truncation is refused, the next Write() retries it.
    Reason refusal;
    if (!TruncatePartialRecord(refusal) &&
        refusal.kind == ErrorKind::kDiskFailed) {
      reason = refusal;
    }
    return false;
  }
  if (::fsync(log_fd_) != 0) {
    reason = DiskFailedError("can't sync the log in " + folder_);
    // The next sync may succeed without having written what this one could
    // not, so the record must not be read back after a restart. If the
    // truncation fails as well, nothing more can be done here.
    static_cast<void>(::ftruncate(log_fd_, static_cast<off_t>(log_bytes_)));
    return false;
  }
  log_bytes_ += bytes.size();
  must_repeat_hard_state_ = false;
  must_discard_entries_ = false;
  ReleaseCoveredSegments();
  return true;
}

}  // namespace banyan
