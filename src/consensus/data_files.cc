#include "src/consensus/data_files.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

namespace banyan {

Reason DiskFailedError(const std::string& what) {
  return {ErrorKind::kDiskFailed, what + ": " + std::strerror(errno), {}};
}

Reason DiskFullError(const std::string& what) {
  return {ErrorKind::kDiskFull, what + ": " + std::strerror(errno), {}};
}

bool WriteAll(int fd, std::string_view bytes) {
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
  return true;
}

bool WriteAt(int fd, std::string_view bytes, std::uint64_t offset) {
  while (!bytes.empty()) {
    const ssize_t written =
        ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
    offset += static_cast<std::uint64_t>(written);
  }
  return true;
}

bool ReadAt(int fd, std::span<char> bytes, std::uint64_t offset) {
  while (!bytes.empty()) {
    const ssize_t count =
        ::pread(fd, bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      errno = count == 0 ? EIO : errno;
      return false;
    }
    bytes = bytes.subspan(static_cast<std::size_t>(count));
    offset += static_cast<std::uint64_t>(count);
  }
  return true;
}

bool SyncFolder(const std::string& folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return false;
  }
  const bool is_synced = ::fsync(fd) == 0;
  ::close(fd);
  return is_synced;
}

std::optional<std::string> ReadWholeFile(const std::string& path,
                                         Reason& reason) {
  constexpr std::size_t kChunkBytes = 65536;
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    reason = DiskFailedError("can't open " + path);
    return std::nullopt;
  }
  std::string bytes;
  for (;;) {
    const std::size_t filled = bytes.size();
    bytes.resize(filled + kChunkBytes);
    const ssize_t count = ::read(fd, bytes.data() + filled, kChunkBytes);
    bytes.resize(filled +
                 static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      reason = DiskFailedError("can't read " + path);
      ::close(fd);
      return std::nullopt;
    }
    if (count == 0) {
      ::close(fd);
      return bytes;
    }
  }
}

std::optional<std::vector<std::string>> ListFiles(const std::string& folder,
                                                  Reason& reason) {
  std::vector<std::string> names;
  std::error_code error;
  std::filesystem::directory_iterator item(folder, error);
  while (!error && item != std::filesystem::directory_iterator()) {
    names.push_back(item->path().filename().string());
    item.increment(error);
  }
  if (error) {
    reason = {ErrorKind::kDiskFailed,
              "can't list " + folder + ": " + error.message(),
              {}};
    return std::nullopt;
  }
  return names;
}

bool SetAsideDamagedFiles(const std::string& folder, Reason& reason) {
  const auto names = ListFiles(folder, reason);
  if (!names) {
    return false;
  }
  const auto path_of = [&](std::string_view name) {
    return std::string(folder).append("/").append(name);
  };
  const auto set_aside = [&](const std::string& name) {
    const std::string from = path_of(name);
    const std::string to = path_of(std::string(kDamagedPrefix).append(name));
    if (std::rename(from.c_str(), to.c_str()) == 0) {
      return true;
    }
    reason = DiskFailedError("can't rename " + from);
    return false;
  };
  const auto sync = [&] {
    if (SyncFolder(folder)) {
      return true;
    }
    reason = DiskFailedError("can't sync " + folder);
    return false;
  };
  // Without its incarnation a folder that has a log is damaged, so that a loss
  // of power between the renames is noticed at the next start.
  const std::string incarnation(kIncarnationFile);
  if (std::find(names->begin(), names->end(), incarnation) != names->end()) {
    for (const std::string& name : *names) {
      if (name.starts_with(kDamagedPrefix)) {
        ::unlink(path_of(name).c_str());
      }
    }
    if (!set_aside(incarnation) || !sync()) {
      return false;
    }
  }
  for (const std::string& name : *names) {
    if ((name == kSnapshotFile || name.starts_with(kSegmentPrefix)) &&
        !set_aside(name)) {
      return false;
    }
  }
  return sync();
}

}  // namespace banyan
