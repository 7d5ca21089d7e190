#ifndef BANYAN_SRC_CONSENSUS_DATA_FILES_H_
#define BANYAN_SRC_CONSENSUS_DATA_FILES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/base/error_kind.h"

namespace banyan {

// Names in a replica's data folder.
inline constexpr std::string_view kIncarnationFile = "incarnation";
inline constexpr std::string_view kSnapshotFile = "snapshot";
inline constexpr std::string_view kSegmentPrefix = "log-";
// The copy of a segment that a start makes. Its name is none of a segment.
inline constexpr std::string_view kRewrittenSegment = "segment.new";
// What SetAsideDamagedFiles() puts before a file's name.
inline constexpr std::string_view kDamagedPrefix = "damaged-";

// Returns an error of a disk whose contents are unknown from now on, with the
// text of errno.
[[nodiscard]] Reason DiskFailedError(const std::string& what);

// Returns an error of a write that had no effect, with the text of errno.
[[nodiscard]] Reason DiskFullError(const std::string& what);

// Writes all bytes. Returns false, with errno set, if some were not written.
[[nodiscard]] bool WriteAll(int fd, std::string_view bytes);

// Writes all bytes at an offset of a file. Returns false, with errno set, if
// some were not written.
[[nodiscard]] bool WriteAt(int fd,
                           std::string_view bytes,
                           std::uint64_t offset);

// Fills `bytes` with those at an offset of a file. Returns false, with errno
// set, if they can't be read or the file ends before.
[[nodiscard]] bool ReadAt(int fd, std::span<char> bytes, std::uint64_t offset);

// Syncs a folder, which makes renamed and removed names durable.
[[nodiscard]] bool SyncFolder(const std::string& folder);

// Returns the contents of a file, or nullopt with kDiskFailed.
[[nodiscard]] std::optional<std::string> ReadWholeFile(const std::string& path,
                                                       Reason& reason);

// Returns the names of the files in a folder, or nullopt with kDiskFailed.
[[nodiscard]] std::optional<std::vector<std::string>> ListFiles(
    const std::string& folder,
    Reason& reason);

// Renames a damaged log with all that belongs to it, so that the folder starts
// anew under another incarnation. Files set aside earlier are removed. After a
// loss of power at any point the folder is damaged still, or empty.
[[nodiscard]] bool SetAsideDamagedFiles(const std::string& folder,
                                        Reason& reason);

}  // namespace banyan

#endif  // BANYAN_SRC_CONSENSUS_DATA_FILES_H_
