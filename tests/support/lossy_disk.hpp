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
#include <set>

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
  /// By folder, as of its latest sync.
  std::map<ino_t, std::set<std::filesystem::path>> durableNames;

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

  /// Removes what was created in aFolder since its latest sync.
  void LoseNames(const std::filesystem::path& aFolder)
  {
    struct stat status
    {};
    ::stat(aFolder.c_str(), &status);
    for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
      if (!durableNames[status.st_ino].contains(entry.path().filename())) {
        std::filesystem::remove_all(entry.path());
      }
    }
  }

private:
  // Of an open folder.
  static std::set<std::filesystem::path> NamesIn(int aFolder)
  {
    std::set<std::filesystem::path> names;
    const std::string path = "/proc/self/fd/" + std::to_string(aFolder);
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
      names.insert(entry.path().filename());
    }
    return names;
  }

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
      durableNames[status.st_ino] = NamesIn(aFile);
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
