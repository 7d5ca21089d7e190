#ifndef BANYAN_SRC_CONSENSUS_LOG_RECORD_H_
#define BANYAN_SRC_CONSENSUS_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

// Format of the records in a log segment.
//
// A segment starts with kSegmentMagic. A record is split into fragments, one
// for each sector of the file that it touches, so that what a sector holds can
// be judged by itself:
//
//   2 bytes  length of the data; whether it is the first or last of its record
//   2 bytes  check of the first two, seeded by the record's offset
//   4 bytes  CRC-32 of the data, seeded by the fragment before it
//   n bytes  data
//   1 byte   kFragmentEnd
//
// Numbers are little-endian. A fragment that would not fit into the rest of a
// sector begins in the next one. The last byte of a fragment is never zero, so
// one whose end was never written, which reads as zeros, differs from one that
// was written and has changed since.

// The smallest unit that a disk writes as a whole, in bytes.
inline constexpr std::size_t kSectorBytes = 512;
inline constexpr std::string_view kSegmentMagic = "banyan log 2\r\n\x1a\n";

// Returns the CRC-32 of bytes, seeded by an earlier one.
[[nodiscard]] std::uint32_t Crc32(std::string_view bytes,
                                  std::uint32_t seed = 0);

// Appends a number as four bytes in little-endian order.
void AppendU32(std::string& out, std::uint32_t value);

// Reads a number from the first four bytes, in little-endian order.
[[nodiscard]] std::uint32_t ReadU32(std::string_view bytes);

// Returns the bytes that append a record to a segment of `offset` bytes.
[[nodiscard]] std::string EncodeLogRecord(std::uint64_t offset,
                                          std::string_view payload);

enum class FragmentStatus : std::uint8_t {
  kValid,
  // Not or not wholly written: zeros, or cut off by the end of the file.
  kMissing,
  // Written, and different since.
  kCorrupt,
};

struct Fragment {
  FragmentStatus status = FragmentStatus::kCorrupt;
  bool is_first = false;
  bool is_last = false;
  std::string_view data;
  // Bytes that it takes in its sector; 0 unless its length is known.
  std::size_t bytes = 0;
  std::uint32_t crc = 0;
};

// Parses the fragment at the start of `rest`, which ends with the sector or
// with the file. `record` is the offset of the first fragment of its record;
// the seed is the CRC of the fragment before it, or that offset.
[[nodiscard]] Fragment ParseFragment(std::string_view rest,
                                     std::uint32_t record,
                                     std::uint32_t seed);

// Returns the offset of the first fragment that starts at or after `offset`.
[[nodiscard]] std::uint64_t FragmentOffset(std::uint64_t offset) noexcept;

}  // namespace banyan

#endif  // BANYAN_SRC_CONSENSUS_LOG_RECORD_H_
