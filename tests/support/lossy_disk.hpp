#ifndef BULRUSH_TESTS_SUPPORT_LOSSY_DISK_HPP
#define BULRUSH_TESTS_SUPPORT_LOSSY_DISK_HPP

/// Files of a data folder on a disk that can be full and that loses unsynced
/// bytes with the power. A failed sync drops the bytes that it did not store,
/// and later syncs succeed without them, as those of Linux do.

#include "replication/replication.hpp"

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <map>

#include <sys/stat.h>
#include <unistd.h>

namespace bulrush {

struct lossy_disk
{
  struct file
  {
    std::string durable;
    std::vector<std::pair<std::size_t, std::string>> unsynced;
  };

  bool isFull = false;
  std::size_t room = 0; ///< bytes of one more write that a full disk takes
  std::size_t refusals = 0;
  std::size_t folderSyncs = 0; ///< that succeeded
  std::map<ino_t, file> files;

  disk_hooks Hooks()
  {
    return { [this](int aFile) { return Sync(aFile); },
             [this](int aFile, const char* aBytes, std::size_t aCount) {
               return Write(aFile, aBytes, aCount);
             } };
  }

  /// Names stay as they are. No process may use the folder.
  void LosePower(const std::filesystem::path& aFolder)
  {
    for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
      struct stat status
      {};
      const bool isKnown = ::stat(entry.path().c_str(), &status) == 0 &&
                           files.contains(status.st_ino);
      if (isKnown) {
        file& lost = files[status.st_ino];
        lost.unsynced.clear();
        std::ofstream(entry.path(), std::ios::binary | std::ios::trunc)
          << lost.durable;
      }
    }
  }

private:
  static struct stat StatusOf(int aFile)
  {
    struct stat status
    {};
    ::fstat(aFile, &status);
    return status;
  }

  int Sync(int aFile)
  {
    const struct stat status = StatusOf(aFile);
    file& synced = files[status.st_ino];
    auto unsynced = std::exchange(synced.unsynced, {});
    if (isFull) {
      ++refusals;
      errno = ENOSPC;
      return -1;
    }
    if (S_ISDIR(status.st_mode)) {
      ++folderSyncs;
      return 0;
    }
    for (const auto& [offset, bytes] : unsynced) {
      synced.durable.resize(std::max(synced.durable.size(), offset));
      synced.durable.replace(offset, bytes.size(), bytes);
    }
    synced.durable.resize(static_cast<std::size_t>(status.st_size));
    return 0;
  }

  long Write(int aFile, const char* aBytes, std::size_t aCount)
  {
    const std::size_t count =
      isFull ? std::min(std::exchange(room, 0), aCount) : aCount;
    if (count == 0) {
      ++refusals;
      errno = ENOSPC;
      return -1;
    }
    const struct stat status = StatusOf(aFile);
    if (status.st_size == 0) {
      files[status.st_ino] = {}; // the number of a removed file
    }
    const long written = ::write(aFile, aBytes, count);
    if (written > 0) {
      const off_t end = ::lseek(aFile, 0, SEEK_CUR);
      files[status.st_ino].unsynced.emplace_back(
        static_cast<std::size_t>(end - written),
        std::string(aBytes, static_cast<std::size_t>(written)));
    }
    return written;
  }
};

} // namespace bulrush

#endif
