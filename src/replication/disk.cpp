#include "replication/journal.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

namespace bulrush {
namespace {

constexpr const char* kJournalName = "journal";
constexpr const char* kSnapshotName = "snapshot";
constexpr const char* kLockName = "lock";
constexpr mode_t kFileMode = 0600;

// Closes a descriptor when it goes out of scope.
struct descriptor
{
  int value = -1;

  descriptor() = default;
  explicit descriptor(int aValue)
    : value(aValue)
  {
  }
  ~descriptor() { Close(); }
  descriptor(descriptor&& aOther) noexcept
    : value(std::exchange(aOther.value, -1))
  {
  }
  descriptor& operator=(descriptor&& aOther) noexcept
  {
    Close();
    value = std::exchange(aOther.value, -1);
    return *this;
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  void Close()
  {
    if (value >= 0) {
      ::close(value);
    }
    value = -1;
  }
};

std::nullopt_t
FailErrno(last_reason& aReason, const char* aStep, const std::string& aPath)
{
  return Fail(aReason, aStep, aPath, std::strerror(errno));
}

std::optional<stored>
WriteAll(const disk_hooks& aDisk,
         int aFile,
         std::string_view aBytes,
         const std::string& aPath,
         last_reason& aReason)
{
  while (!aBytes.empty()) {
    const long written = aDisk.write(aFile, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return FailErrno(aReason, "write", aPath);
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return stored{};
}

std::optional<stored>
SyncFolder(const disk_hooks& aDisk,
           const std::filesystem::path& aFolder,
           last_reason& aReason)
{
  const descriptor folder(
    ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.value < 0 || aDisk.sync(folder.value) != 0) {
    return FailErrno(aReason, "sync folder", aFolder);
  }
  return stored{};
}

std::filesystem::path
FirstExisting(std::filesystem::path aFolder)
{
  std::error_code ignored; // what cannot be read is created or refused later
  while (!std::filesystem::exists(aFolder, ignored)) {
    aFolder = aFolder.parent_path();
  }
  return aFolder;
}

// Syncs aFolder and those above it up to aLast. Until then a new folder in one
// of them can vanish with the power, with all that is synced inside.
std::optional<stored>
SyncFolders(const disk_hooks& aDisk,
            std::filesystem::path aFolder,
            const std::filesystem::path& aLast,
            last_reason& aReason)
{
  while (aFolder != aLast) {
    if (!SyncFolder(aDisk, aFolder, aReason)) {
      return std::nullopt;
    }
    aFolder = aFolder.parent_path();
  }
  return SyncFolder(aDisk, aLast, aReason);
}

// Replaces a file atomically: after a crash, either the old or the new one
// exists in full. Syncs the folder too, since the rename could be lost
// otherwise.
std::optional<stored>
ReplaceFile(const disk_hooks& aDisk,
            const std::filesystem::path& aPath,
            std::string_view aBytes,
            last_reason& aReason)
{
  const std::string temporary = aPath.string() + ".tmp";
  descriptor file(::open(
    temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (file.value < 0) {
    return FailErrno(aReason, "open", temporary);
  }
  if (!WriteAll(aDisk, file.value, aBytes, temporary, aReason)) {
    return std::nullopt;
  }
  if (aDisk.sync(file.value) != 0) {
    return FailErrno(aReason, "sync", temporary);
  }
  if (::rename(temporary.c_str(), aPath.c_str()) != 0) {
    return FailErrno(aReason, "rename", temporary);
  }
  return SyncFolder(aDisk, aPath.parent_path(), aReason);
}

void
RemoveEntriesThrough(recovered_log& aLog, log_index aIndex)
{
  if (aIndex <= aLog.base.index) {
    return;
  }
  const auto count =
    std::min<std::uint64_t>(aIndex - aLog.base.index, aLog.entries.size());
  if (count == 0) {
    return;
  }
  const log_entry& last = aLog.entries[count - 1];
  aLog.base = { last.index, last.term };
  aLog.entries.erase(aLog.entries.begin(),
                     aLog.entries.begin() + static_cast<std::ptrdiff_t>(count));
}

std::optional<std::string>
ReadFile(const std::filesystem::path& aPath, last_reason& aReason)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return FailErrno(aReason, "open", aPath);
  }
  std::string bytes{ std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>() };
  if (file.bad()) {
    return FailErrno(aReason, "read", aPath);
  }
  return bytes;
}

} // namespace

struct disk_log::state
{
  std::filesystem::path folder;
  std::uint64_t seed = 0;
  disk_hooks disk;
  descriptor lock;
  descriptor journal;
  std::uint64_t size = 0;
  std::uint64_t syncedBytes = 0;
  std::optional<last_reason> failure;

  std::filesystem::path JournalPath() const { return folder / kJournalName; }
  std::filesystem::path SnapshotPath() const { return folder / kSnapshotName; }

  std::optional<stored> Lock(last_reason& aReason);
  std::optional<stored> Recover(replica_id aNewIdentity,
                                recovered_log& aLog,
                                last_reason& aReason);
  std::optional<stored> MakeDurable(const recovered_log& aLog,
                                    std::string_view aJournal,
                                    last_reason& aReason);
  std::optional<stored> OpenJournal(last_reason& aReason);
  std::optional<stored> WriteJournal(const recovered_log& aLog,
                                     last_reason& aReason);
  std::optional<stored> WriteRecords(std::string_view aRecords,
                                     last_reason& aReason);
  std::optional<stored> WriteRecord(record_kind aKind,
                                    std::string_view aBody,
                                    last_reason& aReason);
  std::optional<stored> Append(std::span<const log_entry> aEntries,
                               last_reason& aReason);
  std::optional<stored> SaveSnapshotFile(const log_snapshot& aSnapshot,
                                         log_index aDropThrough,
                                         last_reason& aReason);
  std::optional<stored> Sync(last_reason& aReason);
  std::optional<stored> RecordFailure(std::optional<stored> aResult,
                                      const last_reason& aReason);
  record_context NextContext(std::string_view aRecords) const
  {
    return { seed, size + aRecords.size(), syncedBytes };
  }
};

disk_hooks
PosixDisk()
{
  return { [](int aFile) { return ::fsync(aFile); },
           [](int aFile, const char* aBytes, std::size_t aCount) {
             return static_cast<long>(::write(aFile, aBytes, aCount));
           } };
}

// Two processes on one folder would overwrite each other's votes and entries.
std::optional<stored>
disk_log::state::Lock(last_reason& aReason)
{
  const std::filesystem::path path = folder / kLockName;
  lock =
    descriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (lock.value < 0) {
    return FailErrno(aReason, "open", path);
  }
  if (::flock(lock.value, LOCK_EX | LOCK_NB) != 0) {
    return Fail(
      aReason, "lock data folder", folder, "another process holds it");
  }
  return stored{};
}

// Records a failure, so that all later calls fail too: a retried write or sync
// may report success although data was lost.
std::optional<stored>
disk_log::state::RecordFailure(std::optional<stored> aResult,
                               const last_reason& aReason)
{
  if (!aResult) {
    failure = aReason;
  }
  return aResult;
}

std::optional<stored>
disk_log::state::WriteRecords(std::string_view aRecords, last_reason& aReason)
{
  if (failure) {
    aReason = *failure;
    return std::nullopt;
  }
  const auto result =
    WriteAll(disk, journal.value, aRecords, JournalPath(), aReason);
  size += aRecords.size();
  return RecordFailure(result, aReason);
}

std::optional<stored>
disk_log::state::WriteRecord(record_kind aKind,
                             std::string_view aBody,
                             last_reason& aReason)
{
  std::string records;
  AddRecord(records, aKind, aBody, NextContext(records));
  return WriteRecords(records, aReason);
}

std::optional<stored>
disk_log::state::Append(std::span<const log_entry> aEntries,
                        last_reason& aReason)
{
  std::string records;
  for (const log_entry& entry : aEntries) {
    AddRecord(
      records, record_kind::eEntry, EncodeEntry(entry), NextContext(records));
  }
  return WriteRecords(records, aReason);
}

std::optional<stored>
disk_log::state::Sync(last_reason& aReason)
{
  if (failure) {
    aReason = *failure;
    return std::nullopt;
  }
  if (disk.sync(journal.value) != 0) {
    FailErrno(aReason, "sync", JournalPath());
    return RecordFailure(std::nullopt, aReason);
  }
  syncedBytes = size;
  return stored{};
}

std::optional<stored>
disk_log::state::OpenJournal(last_reason& aReason)
{
  const std::filesystem::path path = JournalPath();
  journal = descriptor(::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  if (journal.value < 0) {
    return FailErrno(aReason, "open", path);
  }
  const off_t end = ::lseek(journal.value, 0, SEEK_END);
  if (end < 0) {
    return FailErrno(aReason, "seek", path);
  }
  size = static_cast<std::uint64_t>(end);
  syncedBytes = size;
  return stored{};
}

// The header contains the length of the file, which is known only after the
// other records are encoded. Its size is fixed, so it is encoded a second time
// then.
std::optional<stored>
disk_log::state::WriteJournal(const recovered_log& aLog, last_reason& aReason)
{
  journal_header header{ aLog.identity, aLog.base, 0 };
  const std::size_t headerBytes =
    kRecordHeaderBytes + EncodeHeader(header).size();
  std::string rest;
  const auto add = [&](record_kind aKind, const std::string& aBody) {
    AddRecord(rest, aKind, aBody, { seed, headerBytes + rest.size(), 0 });
  };
  add(record_kind::eVote, EncodeVote(aLog.vote));
  for (const log_entry& entry : aLog.entries) {
    add(record_kind::eEntry, EncodeEntry(entry));
  }
  add(record_kind::eCommit, EncodeCommit(aLog.commit));
  header.initialBytes = headerBytes + rest.size();
  std::string file;
  AddRecord(file, record_kind::eHeader, EncodeHeader(header), { seed, 0, 0 });
  file += rest;
  if (!ReplaceFile(disk, JournalPath(), file, aReason)) {
    return std::nullopt;
  }
  return OpenJournal(aReason);
}

// Syncs what the process before this one left unsynced: it may have ended
// between a write and its sync, and the caller relies on all recovered records.
// Writes these records again in place, since a sync after a failed one may
// report success for pages that the kernel has dropped. A torn tail was never
// confirmed to anyone and is removed, so that it cannot reappear between later
// records.
std::optional<stored>
disk_log::state::MakeDurable(const recovered_log& aLog,
                             std::string_view aJournal,
                             last_reason& aReason)
{
  const std::string path = JournalPath();
  const std::uint64_t kept = size - aLog.tornTailBytes;
  if (aLog.tornTailBytes > 0 &&
      ::ftruncate(journal.value, static_cast<off_t>(kept)) != 0) {
    return FailErrno(aReason, "truncate torn tail", path);
  }
  const std::uint64_t synced = std::min(aLog.syncedBytes, kept);
  const descriptor file(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
  if (file.value < 0 ||
      ::lseek(file.value, static_cast<off_t>(synced), SEEK_SET) < 0) {
    return FailErrno(aReason, "open", path);
  }
  const std::string_view unsynced = aJournal.substr(synced, kept - synced);
  if (!WriteAll(disk, file.value, unsynced, path, aReason)) {
    return std::nullopt;
  }
  if (disk.sync(file.value) != 0) {
    return FailErrno(aReason, "sync", path);
  }
  size = kept;
  syncedBytes = kept;
  return SyncFolder(disk, folder, aReason);
}

std::optional<stored>
disk_log::state::Recover(replica_id aNewIdentity,
                         recovered_log& aLog,
                         last_reason& aReason)
{
  const bool hasJournal = std::filesystem::exists(JournalPath());
  const bool hasSnapshot = std::filesystem::exists(SnapshotPath());
  if (!hasJournal && hasSnapshot) {
    return Fail(aReason, "read journal", JournalPath(), "the file is missing");
  }
  if (!hasJournal) {
    aLog = {};
    aLog.identity = aNewIdentity;
    return WriteJournal(aLog, aReason);
  }
  const auto bytes = ReadFile(JournalPath(), aReason);
  if (!bytes) {
    return std::nullopt;
  }
  auto log = ReadJournal(*bytes, seed, JournalPath(), aReason);
  if (!log) {
    return std::nullopt;
  }
  log_snapshot snapshot;
  if (hasSnapshot) {
    const auto file = ReadFile(SnapshotPath(), aReason);
    if (!file) {
      return std::nullopt;
    }
    auto read = ReadSnapshot(*file, seed, SnapshotPath(), aReason);
    if (!read) {
      return std::nullopt;
    }
    snapshot = std::move(*read);
  }
  if (!JoinSnapshot(*log, std::move(snapshot), JournalPath(), aReason)) {
    return std::nullopt;
  }
  aLog = std::move(*log);
  if (!OpenJournal(aReason)) {
    return std::nullopt;
  }
  return MakeDurable(aLog, *bytes, aReason);
}

std::optional<stored>
disk_log::state::SaveSnapshotFile(const log_snapshot& aSnapshot,
                                  log_index aDropThrough,
                                  last_reason& aReason)
{
  if (failure) {
    aReason = *failure;
    return std::nullopt;
  }
  std::string file;
  AddRecord(
    file, record_kind::eSnapshot, EncodeSnapshot(aSnapshot), { seed, 0, 0 });
  if (!ReplaceFile(disk, SnapshotPath(), file, aReason)) {
    return RecordFailure(std::nullopt, aReason);
  }
  const auto bytes = ReadFile(JournalPath(), aReason);
  if (!bytes) {
    return RecordFailure(std::nullopt, aReason);
  }
  auto log = ReadJournal(*bytes, seed, JournalPath(), aReason);
  if (!log || !JoinSnapshot(*log, aSnapshot, JournalPath(), aReason)) {
    return RecordFailure(std::nullopt, aReason);
  }
  RemoveEntriesThrough(*log, aDropThrough);
  return RecordFailure(WriteJournal(*log, aReason), aReason);
}

disk_log::disk_log(std::unique_ptr<state> aState)
  : mState(std::move(aState))
{
}

disk_log::~disk_log() = default;
disk_log::disk_log(disk_log&&) noexcept = default;
disk_log& disk_log::operator=(disk_log&&) noexcept = default;

std::optional<disk_log>
disk_log::Open(const std::filesystem::path& aFolder,
               const std::string& aLog,
               replica_id aNewIdentity,
               disk_hooks aDisk,
               recovered_log& aRecovered,
               last_reason& aReason)
{
  std::error_code error;
  const std::filesystem::path holder =
    std::filesystem::absolute(aFolder).parent_path();
  const std::filesystem::path oldest = FirstExisting(holder);
  std::filesystem::create_directories(aFolder, error);
  if (error) {
    return Fail(aReason, "create data folder", aFolder, error.message());
  }
  auto opened = std::make_unique<state>();
  opened->folder = aFolder;
  opened->seed = StableHash(aLog);
  opened->disk = std::move(aDisk);
  if (!opened->Lock(aReason) ||
      !opened->Recover(aNewIdentity, aRecovered, aReason) ||
      !SyncFolders(opened->disk, holder, oldest, aReason)) {
    return std::nullopt;
  }
  return disk_log(std::move(opened));
}

storage_hooks
disk_log::Hooks()
{
  state* const disk = mState.get();
  storage_hooks hooks;
  hooks.append = [disk](std::span<const log_entry> aEntries,
                        last_reason& aReason) {
    return disk->Append(aEntries, aReason);
  };
  hooks.truncate = [disk](log_index aFrom, last_reason& aReason) {
    return disk->WriteRecord(
      record_kind::eTruncate, EncodeTruncate(aFrom), aReason);
  };
  hooks.saveVote = [disk](const ballot& aVote, last_reason& aReason) {
    return disk->WriteRecord(record_kind::eVote, EncodeVote(aVote), aReason);
  };
  hooks.saveCommit = [disk](log_index aIndex, last_reason& aReason) {
    return disk->WriteRecord(
      record_kind::eCommit, EncodeCommit(aIndex), aReason);
  };
  hooks.saveSnapshot = [disk](const log_snapshot& aSnapshot,
                              log_index aDropThrough,
                              last_reason& aReason) {
    return disk->SaveSnapshotFile(aSnapshot, aDropThrough, aReason);
  };
  hooks.sync = [disk](last_reason& aReason) { return disk->Sync(aReason); };
  return hooks;
}

std::uint64_t
disk_log::JournalBytes() const
{
  return mState->size;
}

} // namespace bulrush
