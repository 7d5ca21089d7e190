#ifndef BANYAN_SRC_CONSENSUS_SEGMENT_READER_H_
#define BANYAN_SRC_CONSENSUS_SEGMENT_READER_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

// Result of reading the next record of a segment.
enum class RecordStatus : std::uint8_t {
  kValid,
  // There is no further record.
  kEnd,
  // The write of the last record was interrupted before it was synced.
  kTorn,
  // A record that may have been synced is damaged.
  kCorrupt,
  // The file can't be read; errno has the cause.
  kUnreadable,
};

// Reads the records of a segment in order. offset() is where the last record
// returned begins, or the record that can't be returned.
template <typename T>
concept SegmentReader = requires(T reader, std::string& payload) {
  { reader.Next(payload) } -> std::same_as<RecordStatus>;
  { reader.offset() } -> std::convertible_to<std::uint64_t>;
};

// Reads a segment in the format of log_record.h, of which it keeps a window in
// memory. The file descriptor must stay open.
class SectorReader {
 public:
  SectorReader(int fd, std::uint64_t size) : fd_(fd), size_(size) {}

  [[nodiscard]] RecordStatus Next(std::string& payload);
  [[nodiscard]] std::uint64_t offset() const noexcept { return offset_; }

 private:
  // Points `rest` to the bytes from an offset to the end of its sector or of
  // the file. Returns whether they could be read.
  [[nodiscard]] bool Read(std::uint64_t offset, std::string_view& rest);

  // Returns kTorn if all that follows a missing fragment can belong to the same
  // record, as each record is synced before the next one is written.
  [[nodiscard]] RecordStatus JudgeRest(std::uint64_t missing);

  int fd_;
  std::uint64_t size_;
  std::uint64_t offset_ = 0;
  std::uint64_t next_ = 0;
  // Offset of the first fragment of the record that is being read.
  std::uint32_t record_ = 0;
  std::string window_;
  std::uint64_t window_offset_ = 0;
};

// Reads a segment of earlier versions, whose records have one checksum each.
class WholeRecordReader {
 public:
  explicit WholeRecordReader(std::string_view bytes)
      : rest_(bytes), size_(bytes.size()) {}

  [[nodiscard]] RecordStatus Next(std::string& payload);
  [[nodiscard]] std::uint64_t offset() const noexcept { return offset_; }

 private:
  std::string_view rest_;
  std::uint64_t size_;
  std::uint64_t offset_ = 0;
};

// Returns whether a segment that starts so is in the format of earlier
// versions: most of its first bytes are neither those of the magic nor zeros.
[[nodiscard]] bool IsOldSegment(std::string_view start);

// Returns what tells a loss of power from damage: how much of a segment follows
// a bad record and how much of it reads as zeros.
[[nodiscard]] std::string DescribeRest(int fd,
                                       std::uint64_t from,
                                       std::uint64_t size);

// Size of a record's header in segments of earlier versions and in snapshots:
// payload length and CRC-32, four bytes each in little-endian order.
inline constexpr std::size_t kWholeRecordHeaderBytes = 8;

// Returns a record with its header.
[[nodiscard]] std::string EncodeWholeRecord(std::string_view payload);

// Points `payload` to that of the record at the start of `rest`.
[[nodiscard]] RecordStatus ParseWholeRecord(std::string_view rest,
                                            std::string_view& payload);

}  // namespace banyan

#endif  // BANYAN_SRC_CONSENSUS_SEGMENT_READER_H_
