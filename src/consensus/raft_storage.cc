#include "banyan/consensus/raft_storage.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "banyan/base/random.h"
#include "src/wire/json_types.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr std::size_t kHeaderBytes = 8;
constexpr int kFileMode = 0644;
constexpr int kFolderMode = 0755;

// Names of the files in the folder.
constexpr std::string_view kIncarnationFile = "incarnation";
constexpr std::string_view kSnapshotFile = "snapshot";
constexpr std::string_view kLogFile = "log";

std::uint32_t Crc32(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AppendU32(std::string& out, std::uint32_t value) {
  constexpr int kBitsPerByte = 8;
  for (int i = 0; i < 4; ++i) {
    out += static_cast<char>(value >> (kBitsPerByte * i));
  }
}

std::uint32_t ReadU32(std::string_view bytes) {
  constexpr int kBitsPerByte = 8;
  std::uint32_t value = 0;
  for (int i = 0; i < 4; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    value |= static_cast<std::uint32_t>(byte) << (kBitsPerByte * i);
  }
  return value;
}

std::string Frame(std::string_view payload) {
  std::string record;
  record.reserve(kHeaderBytes + payload.size());
  AppendU32(record, static_cast<std::uint32_t>(payload.size()));
  AppendU32(record, Crc32(payload));
  record += payload;
  return record;
}

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

Reason DiskError(const std::string& what) {
  return {ErrorKind::kDiskFailed, what + ": " + std::strerror(errno), {}};
}

// Writes all bytes and syncs the file.
bool WriteAndSync(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return ::fsync(fd) == 0;
}

bool SyncFolder(const std::string& folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return false;
  }
  const bool synced = ::fsync(fd) == 0;
  ::close(fd);
  return synced;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

// What stands at an offset of the log file.
enum class RecordState { kWhole, kTorn, kCorrupt };

RecordState Inspect(std::string_view rest, std::string_view& payload) {
  if (rest.size() < kHeaderBytes) {
    return RecordState::kTorn;
  }
  const std::size_t size = ReadU32(rest);
  if (rest.size() < kHeaderBytes + size) {
    return RecordState::kTorn;
  }
  payload = rest.substr(kHeaderBytes, size);
  if (size > 0 && Crc32(payload) == ReadU32(rest.substr(4))) {
    return RecordState::kWhole;
  }
  // A file may grow before its blocks are written; they then read as zeros.
  const bool is_last = rest.size() == kHeaderBytes + size || size == 0;
  const bool ends_in_zeros = rest.back() == '\0';
  return is_last && ends_in_zeros ? RecordState::kTorn : RecordState::kCorrupt;
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
    HardState hard;
    value["hard"].at(0).get_to(hard.term);
    value["hard"].at(1).get_to(hard.voted_for);
    batch.hard_state = hard;
  }
  if (value.contains("truncate")) {
    value["truncate"].get_to(batch.truncate_from);
  }
  if (value.contains("entries")) {
    value["entries"].get_to(batch.entries);
  }
  return batch;
}

// Applies a batch to what the folder holds, leaving its snapshot alone.
void ApplyBatch(const PersistBatch& batch, RestoredLog& log) {
  if (batch.hard_state) {
    log.hard_state = *batch.hard_state;
  }
  if (batch.truncate_from > 0) {
    std::erase_if(log.entries, [&](const LogEntry& entry) {
      return entry.index >= batch.truncate_from;
    });
  }
  log.entries.insert(log.entries.end(), batch.entries.begin(),
                     batch.entries.end());
}

// Drops the entries that the snapshot covers. A crash between the snapshot of
// a leader and the new log leaves entries of another history; they go as well.
void DropCoveredEntries(RestoredLog& log) {
  const Snapshot& snapshot = log.snapshot;
  const bool is_other_history = std::any_of(
      log.entries.begin(), log.entries.end(), [&](const LogEntry& entry) {
        const bool is_last = entry.index == snapshot.last_index;
        return (is_last && entry.term != snapshot.last_term) ||
               (entry.index > snapshot.last_index &&
                entry.term < snapshot.last_term);
      });
  std::erase_if(log.entries, [&](const LogEntry& entry) {
    return is_other_history || entry.index <= snapshot.last_index;
  });
}

}  // namespace

RaftStorage::~RaftStorage() {
  if (log_fd_ >= 0) {
    ::close(log_fd_);
  }
}

std::string RaftStorage::PathOf(std::string_view name) const {
  return folder_ + "/" + std::string(name);
}

std::optional<RestoredLog> RaftStorage::Open(const std::string& folder,
                                             Reason& reason) {
  folder_ = folder;
  if (::mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    reason = DiskError("can't create " + folder);
    return std::nullopt;
  }
  RestoredLog log;
  if (!LoadIncarnation(reason) || !LoadSnapshot(log, reason) ||
      !LoadRecords(log, reason)) {
    return std::nullopt;
  }
  held_ = log;
  // The storage needs the tail only; the core keeps the state.
  held_.snapshot.state.clear();
  return log;
}

bool RaftStorage::LoadIncarnation(Reason& reason) {
  const std::string path = PathOf(kIncarnationFile);
  if (std::filesystem::exists(path)) {
    std::istringstream(ReadFile(path)) >> incarnation_;
    if (incarnation_ == 0) {
      reason = {ErrorKind::kCorruptLog, "no incarnation in " + path, {}};
      return false;
    }
    return true;
  }
  if (std::filesystem::exists(PathOf(kLogFile)) ||
      std::filesystem::exists(PathOf(kSnapshotFile))) {
    reason = {ErrorKind::kCorruptLog, path + " is missing", {}};
    return false;
  }
  incarnation_ = NewIncarnation();
  return WriteFile(std::string(kIncarnationFile),
                   std::to_string(incarnation_) + "\n", reason);
}

bool RaftStorage::LoadSnapshot(RestoredLog& log, Reason& reason) {
  const std::string path = PathOf(kSnapshotFile);
  if (!std::filesystem::exists(path)) {
    return true;
  }
  const std::string bytes = ReadFile(path);
  std::string_view payload;
  if (Inspect(bytes, payload) != RecordState::kWhole) {
    reason = {ErrorKind::kCorruptLog, "bad checksum in " + path, {}};
    return false;
  }
  try {
    const json value = json::from_cbor(payload);
    value.at("last_index").get_to(log.snapshot.last_index);
    value.at("last_term").get_to(log.snapshot.last_term);
    value.at("membership").get_to(log.snapshot.membership);
    value.at("state").get_to(log.snapshot.state);
    value.at("hard").at(0).get_to(log.hard_state.term);
    value.at("hard").at(1).get_to(log.hard_state.voted_for);
  } catch (const json::exception& error) {
    reason = {ErrorKind::kCorruptLog, path + ": " + error.what(), {}};
    return false;
  }
  return true;
}

bool RaftStorage::LoadRecords(RestoredLog& log, Reason& reason) {
  const std::string path = PathOf(kLogFile);
  log_fd_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (log_fd_ < 0) {
    reason = DiskError("can't open " + path);
    return false;
  }
  const std::string bytes = ReadFile(path);
  std::string_view rest = bytes;
  while (!rest.empty()) {
    std::string_view payload;
    const RecordState state = Inspect(rest, payload);
    const std::size_t offset = bytes.size() - rest.size();
    if (state == RecordState::kCorrupt) {
      reason = {ErrorKind::kCorruptLog,
                "bad record at byte " + std::to_string(offset) + " of " + path,
                {}};
      return false;
    }
    if (state == RecordState::kTorn) {
      cut_bytes_ = rest.size();
      if (::ftruncate(log_fd_, static_cast<off_t>(offset)) != 0 ||
          ::fsync(log_fd_) != 0) {
        reason = DiskError("can't cut the torn end of " + path);
        return false;
      }
      break;
    }
    try {
      for (const json& batch : json::from_cbor(payload)) {
        ApplyBatch(BatchFromJson(batch), log);
      }
    } catch (const json::exception& error) {
      reason = {ErrorKind::kCorruptLog, path + ": " + error.what(), {}};
      return false;
    }
    rest.remove_prefix(kHeaderBytes + payload.size());
  }
  DropCoveredEntries(log);
  if (::lseek(log_fd_, 0, SEEK_END) < 0 || !SyncFolder(folder_)) {
    reason = DiskError("can't seek in " + path);
    return false;
  }
  return true;
}

bool RaftStorage::AppendRecord(std::span<const PersistBatch> batches,
                               Reason& reason) {
  json record = json::array();
  for (const PersistBatch& batch : batches) {
    record.push_back(BatchToJson(batch));
    ApplyBatch(batch, held_);
  }
  if (!WriteAndSync(log_fd_, Frame(ToCbor(record)))) {
    reason = DiskError("can't write " + PathOf(kLogFile));
    return false;
  }
  return true;
}

bool RaftStorage::WriteFile(const std::string& name,
                            std::string_view bytes,
                            Reason& reason) {
  const std::string path = PathOf(name);
  const std::string temporary = path + ".new";
  const int fd = ::open(temporary.c_str(),
                        O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    reason = DiskError("can't create " + temporary);
    return false;
  }
  const bool written = WriteAndSync(fd, bytes);
  ::close(fd);
  if (!written || std::rename(temporary.c_str(), path.c_str()) != 0 ||
      !SyncFolder(folder_)) {
    reason = DiskError("can't write " + path);
    return false;
  }
  return true;
}

bool RaftStorage::StartNewLog(Reason& reason) {
  PersistBatch tail;
  tail.hard_state = held_.hard_state;
  tail.entries = held_.entries;
  const std::string record = Frame(ToCbor(json::array({BatchToJson(tail)})));
  if (!WriteFile(std::string(kLogFile), record, reason)) {
    return false;
  }
  ::close(log_fd_);
  log_fd_ = ::open(PathOf(kLogFile).c_str(), O_RDWR | O_APPEND | O_CLOEXEC);
  if (log_fd_ < 0) {
    reason = DiskError("can't open " + PathOf(kLogFile));
    return false;
  }
  return true;
}

bool RaftStorage::Write(std::span<const PersistBatch> batches, Reason& reason) {
  while (!batches.empty()) {
    const auto snapshot = std::find_if(
        batches.begin(), batches.end(),
        [](const PersistBatch& batch) { return batch.snapshot.has_value(); });
    const auto plain = static_cast<std::size_t>(snapshot - batches.begin());
    if (plain > 0 && !AppendRecord(batches.first(plain), reason)) {
      return false;
    }
    batches = batches.subspan(plain);
    if (!batches.empty()) {
      if (!WriteSnapshot(batches.front(), reason)) {
        return false;
      }
      batches = batches.subspan(1);
    }
  }
  return true;
}

bool RaftStorage::WriteSnapshot(const PersistBatch& batch, Reason& reason) {
  const Snapshot& snapshot = *batch.snapshot;
  ApplyBatch(batch, held_);
  held_.snapshot.last_index = snapshot.last_index;
  std::erase_if(held_.entries, [&](const LogEntry& entry) {
    return entry.index <= snapshot.last_index;
  });
  const json value = {
      {"last_index", snapshot.last_index},
      {"last_term", snapshot.last_term},
      {"membership", snapshot.membership},
      {"state", snapshot.state},
      {"hard", {held_.hard_state.term, held_.hard_state.voted_for}}};
  return WriteFile(std::string(kSnapshotFile), Frame(ToCbor(value)), reason) &&
         StartNewLog(reason);
}

}  // namespace banyan
