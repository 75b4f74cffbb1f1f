#ifndef BULRUSH_TESTS_SUPPORT_DURABLE_DISK_HPP
#define BULRUSH_TESTS_SUPPORT_DURABLE_DISK_HPP

/// What a loss of power leaves of the files of real processes. A record, in a
/// folder of its own, holds the contents of files by inode and the names of
/// folders by inode, as of their latest sync.

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <sys/stat.h>

namespace bulrush::test {

/// Environment variable of a program under test: the folder of the record.
inline constexpr const char* kDurableDiskVariable = "BULRUSH_TEST_DURABLE_DISK";

inline std::string
InodeOf(const std::filesystem::path& aPath)
{
  struct stat status
  {};
  return ::stat(aPath.c_str(), &status) == 0 ? std::to_string(status.st_ino)
                                             : "";
}

inline std::string
ReadBytes(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

/// The program may be killed at any time, and a record is the old or the new
/// one then.
inline void
WriteBytes(const std::filesystem::path& aPath, const std::string& aBytes)
{
  const std::string temporary = aPath.string() + ".tmp";
  std::ofstream(temporary, std::ios::binary | std::ios::trunc) << aBytes;
  std::filesystem::rename(temporary, aPath);
}

using durable_names = std::map<std::string, std::string>; ///< inodes by name

inline std::filesystem::path
NamesRecord(const std::filesystem::path& aRecord, const std::string& aInode)
{
  return aRecord / ("names-" + aInode);
}

inline durable_names
ReadNames(const std::filesystem::path& aRecord, const std::string& aInode)
{
  durable_names names;
  std::istringstream text(ReadBytes(NamesRecord(aRecord, aInode)));
  std::string name;
  std::string inode;
  while (text >> name >> inode) {
    names[name] = inode;
  }
  return names;
}

inline void
WriteNames(const std::filesystem::path& aRecord,
           const std::string& aInode,
           const durable_names& aNames)
{
  std::ostringstream text;
  for (const auto& [name, inode] : aNames) {
    text << name << ' ' << inode << '\n';
  }
  WriteBytes(NamesRecord(aRecord, aInode), text.str());
}

inline void
RecordFolder(const std::filesystem::path& aRecord,
             const std::filesystem::path& aFolder)
{
  durable_names names;
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    names[entry.path().filename().string()] = InodeOf(entry.path());
  }
  WriteNames(aRecord, InodeOf(aFolder), names);
}

inline void
RecordFile(const std::filesystem::path& aRecord,
           const std::filesystem::path& aFile)
{
  const std::string inode = InodeOf(aFile);
  const std::string folder = InodeOf(aFile.parent_path());
  WriteBytes(aRecord / ("file-" + inode), ReadBytes(aFile));
  durable_names names = ReadNames(aRecord, folder);
  if (names.emplace(aFile.filename().string(), inode).second) {
    WriteNames(aRecord, folder, names);
  }
}

/// Takes away what no sync covers, in aFolder and below it. No process may use
/// the folder.
inline void
LosePower(const std::filesystem::path& aRecord,
          const std::filesystem::path& aFolder)
{
  const durable_names names = ReadNames(aRecord, InodeOf(aFolder));
  std::map<std::string, std::string> contents;
  for (const auto& [name, inode] : names) {
    if (std::filesystem::is_directory(aFolder / name)) {
      LosePower(aRecord, aFolder / name);
    } else {
      contents[name] = ReadBytes(aRecord / ("file-" + inode));
    }
  }
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    if (!entry.is_directory() || !names.contains(entry.path().filename())) {
      std::filesystem::remove_all(entry.path());
    }
  }
  for (const auto& [name, bytes] : contents) {
    std::ofstream(aFolder / name, std::ios::binary) << bytes;
    RecordFile(aRecord, aFolder / name);
  }
  RecordFolder(aRecord, aFolder);
}

} // namespace bulrush::test

#endif
