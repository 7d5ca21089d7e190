#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "banyan/base/random.h"
#include "banyan/consensus/raft_storage.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// Simulates a full disk by limiting the size of the files that this process may
// write.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(rlim_t bytes) {
    ::getrlimit(RLIMIT_FSIZE, &previous_);
    static_cast<void>(std::signal(SIGXFSZ, SIG_IGN));
    const rlimit lowered{bytes, previous_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &lowered);
  }
  ~FileSizeLimit() { ::setrlimit(RLIMIT_FSIZE, &previous_); }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;

 private:
  rlimit previous_{};
};

std::string NewFolderPath() {
  static int count = 0;
  return Paths().scratch + "/data-" + std::to_string(count++);
}

LogEntry EntryAt(std::uint64_t index, std::uint64_t term = 1) {
  return {term, index, EntryKind::kCommand, "entry " + std::to_string(index)};
}

PersistBatch BatchOf(std::uint64_t first, std::uint64_t last) {
  PersistBatch batch;
  batch.hard_state = HardState{1, {"control-0", 5}};
  for (std::uint64_t i = first; i <= last; ++i) {
    batch.entries.push_back(EntryAt(i));
  }
  return batch;
}

void WriteRecords(const std::string& folder, std::uint64_t records) {
  RaftStorage storage;
  Reason reason;
  CPPUNIT_ASSERT(storage.Open(folder, reason));
  for (std::uint64_t i = 1; i <= records; ++i) {
    const PersistBatch batch = BatchOf(i, i);
    CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
  }
}

std::optional<RestoredLog> OpenFolder(const std::string& folder,
                                      Reason& reason) {
  RaftStorage storage;
  return storage.Open(folder, reason);
}

std::string LogFile(const std::string& folder) {
  return folder + "/log-00000001";
}

void RestoresHundredsOfRecords() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 400);
  Reason reason;
  const auto log = OpenFolder(folder, reason);
  CPPUNIT_ASSERT(log.has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{400}, log->entries.size());
  CPPUNIT_ASSERT(log->entries.back() == EntryAt(400));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log->hard_state.term);
}

void TruncatesIncompleteLastRecord() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 3);
  const auto full_size = std::filesystem::file_size(LogFile(folder));
  WriteRecords(NewFolderPath(), 0);
  for (std::uintmax_t size = full_size - 1; size > full_size - 40; --size) {
    std::filesystem::resize_file(LogFile(folder), size);
    Reason reason;
    const auto log = OpenFolder(folder, reason);
    CPPUNIT_ASSERT_MESSAGE(ToString(reason), log.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log->entries.size());
    // Restores the truncated record for the next size.
    RaftStorage storage;
    CPPUNIT_ASSERT(storage.Open(folder, reason));
    const PersistBatch batch = BatchOf(3, 3);
    CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
  }
}

void RejectsCorruptRecord() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 5);
  std::fstream file(LogFile(folder),
                    std::ios::in | std::ios::out | std::ios::binary);
  constexpr int kInsideFirstRecord = 20;
  file.seekp(kInsideFirstRecord);
  file.put('!');
  file.close();
  Reason reason;
  CPPUNIT_ASSERT(!OpenFolder(folder, reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kCorruptLog);
  CPPUNIT_ASSERT_MESSAGE(
      reason.text,
      reason.text.find("bad record at byte 0") != std::string::npos);
}

void RejectsCorruptLastRecord() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 5);
  std::fstream file(LogFile(folder),
                    std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(-20, std::ios::end);
  file.put('!');
  file.close();
  Reason reason;
  // A complete record with a wrong checksum was once synced and may have been
  // acknowledged, so it must not be truncated.
  CPPUNIT_ASSERT(!OpenFolder(folder, reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kCorruptLog);
}

std::string ReadBytes(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// A record of one entry of `bytes` bytes that are not zeros.
PersistBatch LargeBatch(std::uint64_t index, std::size_t bytes) {
  PersistBatch batch;
  batch.entries.push_back(
      {1, index, EntryKind::kCommand, std::string(bytes, 'x')});
  return batch;
}

// Loses each block that a file has beyond its first `synced` bytes, or keeps
// it. A lost block reads as zeros.
void LoseUnsyncedBlocks(const std::string& path,
                        std::uintmax_t synced,
                        std::uintmax_t block,
                        Random& random) {
  const std::uintmax_t size = std::filesystem::file_size(path);
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  for (std::uintmax_t at = synced; at < size;) {
    const std::uintmax_t end = std::min(size, (at / block + 1) * block);
    if (random.NextBelow(3) == 0) {
      file.seekp(static_cast<std::streamoff>(at));
      file << std::string(end - at, '\0');
    }
    at = end;
  }
}

// Guards against a replica that refuses its own log for ever after a loss of
// power while a record was being written.
void RestoresWhatWasSyncedAfterLossOfPower() {
  constexpr int kPlays = 40;
  for (const std::uintmax_t block : {512U, 4096U}) {
    for (const std::size_t bytes : {60U, 700U, 9000U, 60000U}) {
      Random random(block + bytes);
      for (int play = 0; play < kPlays; ++play) {
        const std::string folder = NewFolderPath();
        const std::uint64_t synced = 1 + random.NextBelow(7);
        WriteRecords(folder, synced);
        const auto size = std::filesystem::file_size(LogFile(folder));
        Reason reason;
        {
          RaftStorage storage;
          CPPUNIT_ASSERT(storage.Open(folder, reason));
          const PersistBatch batch = LargeBatch(synced + 1, bytes);
          CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
        }
        LoseUnsyncedBlocks(LogFile(folder), size, block, random);
        const auto log = OpenFolder(folder, reason);
        CPPUNIT_ASSERT_MESSAGE(ToString(reason), log.has_value());
        CPPUNIT_ASSERT(log->entries.size() >= synced);
        CPPUNIT_ASSERT(log->entries[synced - 1] == EntryAt(synced));
      }
    }
  }
}

// Guards against entries that are cut off with a synced last record since a
// bit of it has changed.
void NeverTruncatesDamagedRecord() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 3);
  const auto before = std::filesystem::file_size(LogFile(folder));
  {
    RaftStorage storage;
    Reason reason;
    CPPUNIT_ASSERT(storage.Open(folder, reason));
    const PersistBatch batch = LargeBatch(4, 1200);
    CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
  }
  const auto end = std::filesystem::file_size(LogFile(folder));
  for (std::uintmax_t at = before; at < end; ++at) {
    const auto put = [&](char byte) {
      // A start replaces the file.
      std::fstream file(LogFile(folder),
                        std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(static_cast<std::streamoff>(at));
      file.put(byte);
    };
    const char byte = ReadBytes(LogFile(folder))[at];
    for (const unsigned bit : {1U, 16U, 128U}) {
      put(static_cast<char>(static_cast<unsigned char>(byte) ^ bit));
      Reason reason;
      const auto log = OpenFolder(folder, reason);
      CPPUNIT_ASSERT_MESSAGE("byte " + std::to_string(at),
                             !log || log->entries.size() == 4);
      CPPUNIT_ASSERT_EQUAL(end, std::filesystem::file_size(LogFile(folder)));
    }
    put(byte);
  }
}

// Guards against replicas that refuse a log of which any number of bytes of the
// last record were written and the rest reads as zeros.
void RestoresRecordTornAtAnyByte() {
  for (const bool is_first : {true, false}) {
    const std::string folder = NewFolderPath();
    WriteRecords(folder, is_first ? 0 : 7);
    const auto synced = std::filesystem::file_size(LogFile(folder));
    Reason reason;
    {
      RaftStorage storage;
      CPPUNIT_ASSERT(storage.Open(folder, reason));
      const PersistBatch batch = LargeBatch(is_first ? 1 : 8, 1500);
      CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
    }
    const std::string whole = ReadBytes(LogFile(folder));
    for (std::size_t at = synced; at < whole.size(); ++at) {
      std::string torn = whole.substr(0, at);
      torn.resize(whole.size(), '\0');
      std::ofstream(LogFile(folder), std::ios::binary) << torn;
      const auto log = OpenFolder(folder, reason);
      CPPUNIT_ASSERT_MESSAGE(
          "torn at byte " + std::to_string(at) + ": " + ToString(reason),
          log.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{is_first ? 0U : 7U},
                           log->entries.size());
    }
  }
}

// Guards against a synced record that is cut off with the damaged sector in
// which the record after it begins.
void RejectsZeroedSectorThatTwoRecordsShare() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 2);
  {
    RaftStorage storage;
    Reason reason;
    CPPUNIT_ASSERT(storage.Open(folder, reason));
    const PersistBatch batch = LargeBatch(3, 1500);
    CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
  }
  const std::string whole = ReadBytes(LogFile(folder));
  constexpr std::size_t kSector = 512;
  constexpr std::size_t kInsideFirstRecord = 40;
  std::string damaged = whole;
  std::fill(damaged.begin() + kInsideFirstRecord, damaged.begin() + kSector,
            '\0');
  std::ofstream(LogFile(folder), std::ios::binary) << damaged;
  Reason reason;
  CPPUNIT_ASSERT(!OpenFolder(folder, reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kCorruptLog);
}

// Guards against acknowledged entries that disappear at a restart, since the
// record that discards the log before a leader's snapshot was never written.
void KeepsEntriesAfterSnapshotWhoseRecordIsMissing() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 10);
  Reason reason;
  {
    RaftStorage storage;
    CPPUNIT_ASSERT(storage.Open(folder, reason));
    const FileSizeLimit limit(std::filesystem::file_size(LogFile(folder)) + 10);
    PersistBatch batch;
    batch.truncate_from = 1;
    batch.snapshot = Snapshot{5, 2, {}, "state"};
    CPPUNIT_ASSERT(!storage.Write({&batch, 1}, reason));
  }
  {
    RaftStorage storage;
    const auto log = storage.Open(folder, reason);
    CPPUNIT_ASSERT_MESSAGE(ToString(reason), log && log->entries.empty());
    PersistBatch batch;
    batch.entries = {EntryAt(6, 2), EntryAt(7, 2)};
    CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
  }
  for (int start = 0; start < 2; ++start) {
    const auto log = OpenFolder(folder, reason);
    CPPUNIT_ASSERT_MESSAGE(ToString(reason), log.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log->entries.size());
    CPPUNIT_ASSERT(log->entries.back() == EntryAt(7, 2));
  }
}

void DeletesCoveredSegments() {
  const std::string folder = NewFolderPath();
  RaftStorage storage;
  Reason reason;
  CPPUNIT_ASSERT(storage.Open(folder, reason));
  for (std::uint64_t i = 1; i <= 50; ++i) {
    const PersistBatch batch = BatchOf(i, i);
    CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
    if (i % 10 == 0) {
      Snapshot snapshot;
      snapshot.last_index = i;
      snapshot.last_term = 1;
      snapshot.state = "state at " + std::to_string(i);
      CPPUNIT_ASSERT(storage.Compact(snapshot, reason));
    }
  }
  CPPUNIT_ASSERT_MESSAGE("too many segments", storage.segments() <= 3);
  const auto log = OpenFolder(folder, reason);
  CPPUNIT_ASSERT(log.has_value());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, log->snapshot.last_index);
  CPPUNIT_ASSERT_EQUAL(std::string("state at 50"), log->snapshot.state);
  CPPUNIT_ASSERT(log->entries.empty());
  CPPUNIT_ASSERT_EQUAL(std::string("control-0"), log->hard_state.voted_for.id);
}

void KeepsIncarnation() {
  const std::string folder = NewFolderPath();
  RaftStorage first;
  Reason reason;
  CPPUNIT_ASSERT(first.Open(folder, reason));
  RaftStorage second;
  CPPUNIT_ASSERT(second.Open(folder, reason));
  CPPUNIT_ASSERT_EQUAL(first.incarnation(), second.incarnation());
  std::filesystem::remove_all(folder);
  RaftStorage third;
  CPPUNIT_ASSERT(third.Open(folder, reason));
  CPPUNIT_ASSERT(third.incarnation() != first.incarnation());
}

void ReportsDiskFull() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 3);
  Reason reason;
  {
    RaftStorage storage;
    CPPUNIT_ASSERT(storage.Open(folder, reason));
    const FileSizeLimit limit(std::filesystem::file_size(LogFile(folder)) + 10);
    const PersistBatch batch = BatchOf(4, 4);
    CPPUNIT_ASSERT(!storage.Write({&batch, 1}, reason));
    CPPUNIT_ASSERT(reason.kind == ErrorKind::kDiskFull);
  }
  const auto log = OpenFolder(folder, reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), log.has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log->entries.size());
}

void RetriesWriteAfterDiskFull() {
  const std::string folder = NewFolderPath();
  WriteRecords(folder, 3);
  Reason reason;
  {
    RaftStorage storage;
    CPPUNIT_ASSERT(storage.Open(folder, reason));
    const PersistBatch batch = BatchOf(4, 4);
    {
      const FileSizeLimit limit(std::filesystem::file_size(LogFile(folder)) +
                                10);
      for (int i = 0; i < 3; ++i) {
        CPPUNIT_ASSERT(!storage.Write({&batch, 1}, reason));
        CPPUNIT_ASSERT(reason.kind == ErrorKind::kDiskFull);
      }
    }
    CPPUNIT_ASSERT(storage.Write({&batch, 1}, reason));
    const PersistBatch next = BatchOf(5, 5);
    CPPUNIT_ASSERT(storage.Write({&next, 1}, reason));
  }
  const auto log = OpenFolder(folder, reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), log.has_value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, log->entries.size());
  CPPUNIT_ASSERT(log->entries.back() == EntryAt(5));
}

void RetriesSnapshotAfterDiskFull() {
  const std::string folder = NewFolderPath();
  RaftStorage storage;
  Reason reason;
  CPPUNIT_ASSERT(storage.Open(folder, reason));
  const PersistBatch first = BatchOf(1, 10);
  CPPUNIT_ASSERT(storage.Write({&first, 1}, reason));
  Snapshot snapshot;
  snapshot.last_index = 10;
  snapshot.last_term = 1;
  snapshot.state = std::string(1000, 's');
  {
    const FileSizeLimit limit(100);
    CPPUNIT_ASSERT(!storage.Compact(snapshot, reason));
    CPPUNIT_ASSERT(reason.kind == ErrorKind::kDiskFull);
  }
  // The log continues in its old segment.
  const PersistBatch second = BatchOf(11, 11);
  CPPUNIT_ASSERT(storage.Write({&second, 1}, reason));
  CPPUNIT_ASSERT(storage.Compact(snapshot, reason));
  const PersistBatch third = BatchOf(12, 12);
  CPPUNIT_ASSERT(storage.Write({&third, 1}, reason));
  const auto log = OpenFolder(folder, reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), log.has_value());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, log->snapshot.last_index);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log->entries.size());
}

}  // namespace

Section StorageStory() {
  Section section("Raft storage");
  section
      .With(Section("reopened")
                .Then("restores hundreds of records", RestoresHundredsOfRecords)
                .Then("keeps its incarnation unless the folder is lost",
                      KeepsIncarnation)
                .Then("deletes segments that a snapshot covers",
                      DeletesCoveredSegments))
      .With(Section("damaged log")
                .Then("truncates an incomplete last record only",
                      TruncatesIncompleteLastRecord)
                .Then("rejects a corrupt record before the end",
                      RejectsCorruptRecord)
                .Then("rejects a corrupt last record", RejectsCorruptLastRecord)
                .Then("never truncates a record in which a bit has changed",
                      NeverTruncatesDamagedRecord))
      .With(Section("loss of power")
                .Then("restores what was synced when blocks of the record "
                      "being written are lost",
                      RestoresWhatWasSyncedAfterLossOfPower)
                .Then("restores a record torn at any byte",
                      RestoresRecordTornAtAnyByte)
                .Then("rejects a zeroed sector that two records share",
                      RejectsZeroedSectorThatTwoRecordsShare)
                .Then("keeps entries after a snapshot whose record is missing",
                      KeepsEntriesAfterSnapshotWhoseRecordIsMissing))
      .With(Section("full disk")
                .Then("reports the failed write", ReportsDiskFull)
                .Then("retries the write after space is freed",
                      RetriesWriteAfterDiskFull)
                .Then("retries the snapshot after space is freed",
                      RetriesSnapshotAfterDiskFull));
  return section;
}

}  // namespace banyan
