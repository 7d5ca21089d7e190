#include "src/consensus/segment_reader.h"

#include <algorithm>

#include "src/consensus/data_files.h"
#include "src/consensus/log_record.h"

namespace banyan {
namespace {

constexpr std::size_t kWindowBytes = 128 * kSectorBytes;

std::uint64_t SectorOf(std::uint64_t offset) {
  return offset - offset % kSectorBytes;
}

}  // namespace

static_assert(SegmentReader<SectorReader>);
static_assert(SegmentReader<WholeRecordReader>);

bool SectorReader::Read(std::uint64_t offset, std::string_view& rest) {
  if (offset < window_offset_ || offset >= window_offset_ + window_.size()) {
    window_offset_ = SectorOf(offset);
    window_.resize(static_cast<std::size_t>(
        std::min<std::uint64_t>(kWindowBytes, size_ - window_offset_)));
    if (!ReadAt(fd_, window_, window_offset_)) {
      window_.clear();
      return false;
    }
  }
  const std::uint64_t end = SectorOf(offset) + kSectorBytes;
  rest = std::string_view(window_).substr(
      static_cast<std::size_t>(offset - window_offset_),
      static_cast<std::size_t>(end - offset));
  return true;
}

RecordStatus SectorReader::Next(std::string& payload) {
  payload.clear();
  offset_ = next_;
  if (offset_ == size_) {
    return RecordStatus::kEnd;
  }
  std::uint64_t at =
      FragmentOffset(offset_ == 0 ? kSegmentMagic.size() : offset_);
  record_ = static_cast<std::uint32_t>(at);
  std::uint32_t seed = record_;
  while (at < size_) {
    std::string_view rest;
    if (!Read(at, rest)) {
      return RecordStatus::kUnreadable;
    }
    const Fragment fragment = ParseFragment(rest, record_, seed);
    if (fragment.status == FragmentStatus::kMissing) {
      return JudgeRest(at);
    }
    if (fragment.status == FragmentStatus::kCorrupt ||
        fragment.is_first != payload.empty()) {
      return RecordStatus::kCorrupt;
    }
    payload += fragment.data;
    seed = fragment.crc;
    at += fragment.bytes;
    if (fragment.is_last) {
      next_ = at;
      return RecordStatus::kValid;
    }
  }
  return RecordStatus::kTorn;
}

RecordStatus SectorReader::JudgeRest(std::uint64_t missing) {
  for (std::uint64_t at = SectorOf(missing) + kSectorBytes; at < size_;
       at += kSectorBytes) {
    std::string_view rest;
    if (!Read(at, rest)) {
      return RecordStatus::kUnreadable;
    }
    // Its data can't be checked without the fragment before it.
    const Fragment fragment = ParseFragment(rest, record_, 0);
    if (fragment.bytes == 0 && fragment.status == FragmentStatus::kMissing) {
      continue;
    }
    // It is none, or one of a later record.
    if (fragment.bytes == 0) {
      return RecordStatus::kCorrupt;
    }
    if (fragment.is_last) {
      return at + fragment.bytes < size_ ? RecordStatus::kCorrupt
                                         : RecordStatus::kTorn;
    }
  }
  return RecordStatus::kTorn;
}

bool IsOldSegment(std::string_view start) {
  std::size_t foreign = 0;
  for (std::size_t i = 0; i < start.size(); ++i) {
    foreign += start[i] != '\0' && start[i] != kSegmentMagic[i] ? 1U : 0U;
  }
  return 2 * foreign > start.size();
}

std::string DescribeRest(int fd, std::uint64_t from, std::uint64_t size) {
  constexpr std::uint64_t kChunkBytes = 65536;
  std::uint64_t zeros = 0;
  std::string chunk;
  for (std::uint64_t at = from; at < size; at += chunk.size()) {
    chunk.resize(static_cast<std::size_t>(std::min(kChunkBytes, size - at)));
    if (!ReadAt(fd, chunk, at)) {
      return std::to_string(size - from) + " bytes before the end";
    }
    zeros += static_cast<std::uint64_t>(
        std::count(chunk.begin(), chunk.end(), '\0'));
  }
  return std::to_string(size - from) + " bytes before the end, " +
         std::to_string(zeros) + " of them zeros";
}

std::string EncodeWholeRecord(std::string_view payload) {
  std::string record;
  record.reserve(kWholeRecordHeaderBytes + payload.size());
  AppendU32(record, static_cast<std::uint32_t>(payload.size()));
  AppendU32(record, Crc32(payload));
  record += payload;
  return record;
}

RecordStatus ParseWholeRecord(std::string_view rest,
                              std::string_view& payload) {
  if (rest.size() < kWholeRecordHeaderBytes) {
    return RecordStatus::kTorn;
  }
  const std::size_t size = ReadU32(rest);
  if (rest.size() < kWholeRecordHeaderBytes + size) {
    return RecordStatus::kTorn;
  }
  payload = rest.substr(kWholeRecordHeaderBytes, size);
  if (size > 0 && Crc32(payload) == ReadU32(rest.substr(4))) {
    return RecordStatus::kValid;
  }
  // After a crash a file may have its new size without its new blocks, which
  // are then read as zeros.
  const bool is_last =
      rest.size() == kWholeRecordHeaderBytes + size || size == 0;
  const bool ends_in_zeros = rest.back() == '\0';
  return is_last && ends_in_zeros ? RecordStatus::kTorn
                                  : RecordStatus::kCorrupt;
}

RecordStatus WholeRecordReader::Next(std::string& payload) {
  offset_ = size_ - rest_.size();
  if (rest_.empty()) {
    return RecordStatus::kEnd;
  }
  std::string_view found;
  const RecordStatus status = ParseWholeRecord(rest_, found);
  if (status == RecordStatus::kValid) {
    payload = found;
    rest_.remove_prefix(kWholeRecordHeaderBytes + found.size());
  }
  return status;
}

}  // namespace banyan
