#include "src/consensus/log_record.h"

#include <algorithm>
#include <boost/crc.hpp>

namespace banyan {
namespace {

constexpr std::size_t kFragmentHeaderBytes = 8;
// Length, flags and their check.
constexpr std::size_t kHeadBytes = 4;
constexpr std::size_t kFragmentOverheadBytes = kFragmentHeaderBytes + 1;
constexpr char kFragmentEnd = '\xa5';
// Flags above the length in the first two bytes of a fragment.
constexpr std::uint32_t kFirstFlag = 0x4000;
constexpr std::uint32_t kLastFlag = 0x8000;
constexpr std::uint32_t kLengthMask = 0x0fff;
constexpr std::uint32_t kLow16 = 0xffff;
constexpr std::uint32_t kBitsPerByte = 8;

std::uint32_t ReadU16(std::string_view bytes) {
  return static_cast<unsigned char>(bytes[0]) |
         static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[1]))
             << kBitsPerByte;
}

void AppendU16(std::string& out, std::uint32_t value) {
  out += static_cast<char>(value);
  out += static_cast<char>(value >> kBitsPerByte);
}

// Check of the length and flags of a fragment, and of its record's offset.
std::uint32_t HeadCheck(std::uint32_t head, std::uint32_t record) {
  std::string bytes;
  AppendU16(bytes, head);
  return Crc32(bytes, record) & kLow16;
}

std::size_t SectorRest(std::uint64_t offset) {
  return kSectorBytes - static_cast<std::size_t>(offset % kSectorBytes);
}

bool IsZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](char byte) { return byte == '\0'; });
}

}  // namespace

std::uint32_t Crc32(std::string_view bytes, std::uint32_t seed) {
  boost::crc_32_type crc;
  if (seed != 0) {
    crc.process_bytes(&seed, sizeof(seed));
  }
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AppendU32(std::string& out, std::uint32_t value) {
  AppendU16(out, value & kLow16);
  AppendU16(out, value >> (2 * kBitsPerByte));
}

std::uint32_t ReadU32(std::string_view bytes) {
  return ReadU16(bytes) | ReadU16(bytes.substr(2)) << (2 * kBitsPerByte);
}

std::uint64_t FragmentOffset(std::uint64_t offset) noexcept {
  const std::size_t rest = SectorRest(offset);
  return rest > kFragmentOverheadBytes ? offset : offset + rest;
}

std::string EncodeLogRecord(std::uint64_t offset, std::string_view payload) {
  std::string out;
  out.reserve(payload.size() +
              (payload.size() / kSectorBytes + 2) * 2 * kFragmentOverheadBytes);
  if (offset == 0) {
    out += kSegmentMagic;
  }
  const auto record =
      static_cast<std::uint32_t>(FragmentOffset(offset + out.size()));
  std::uint32_t crc = record;
  for (bool is_first = true; is_first || !payload.empty(); is_first = false) {
    const std::uint64_t at = FragmentOffset(offset + out.size());
    out.resize(static_cast<std::size_t>(at - offset), kFragmentEnd);
    const std::string_view data =
        payload.substr(0, SectorRest(at) - kFragmentOverheadBytes);
    payload.remove_prefix(data.size());
    const std::uint32_t head = static_cast<std::uint32_t>(data.size()) |
                               (is_first ? kFirstFlag : 0) |
                               (payload.empty() ? kLastFlag : 0);
    crc = Crc32(data, crc);
    AppendU16(out, head);
    AppendU16(out, HeadCheck(head, record));
    AppendU32(out, crc);
    out += data;
    out += kFragmentEnd;
  }
  return out;
}

Fragment ParseFragment(std::string_view rest,
                       std::uint32_t record,
                       std::uint32_t seed) {
  Fragment fragment;
  if (rest.size() < kFragmentHeaderBytes || IsZero(rest.substr(kHeadBytes))) {
    fragment.status = FragmentStatus::kMissing;
    return fragment;
  }
  const std::uint32_t head = ReadU16(rest);
  if (ReadU16(rest.substr(2)) != HeadCheck(head, record)) {
    return fragment;
  }
  const std::size_t length = head & kLengthMask;
  fragment.is_first = (head & kFirstFlag) != 0;
  fragment.is_last = (head & kLastFlag) != 0;
  fragment.bytes = length + kFragmentOverheadBytes;
  if (fragment.bytes > rest.size() || IsZero(rest.substr(fragment.bytes - 1))) {
    fragment.status = FragmentStatus::kMissing;
    return fragment;
  }
  fragment.data = rest.substr(kFragmentHeaderBytes, length);
  fragment.crc = ReadU32(rest.substr(4));
  const bool is_valid = rest[fragment.bytes - 1] == kFragmentEnd &&
                        fragment.crc == Crc32(fragment.data, seed);
  fragment.status =
      is_valid ? FragmentStatus::kValid : FragmentStatus::kCorrupt;
  return fragment;
}

}  // namespace banyan
