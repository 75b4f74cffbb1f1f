#include "replication/replication.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <unistd.h>

namespace bulrush {
namespace {

namespace fs = std::filesystem;

const replica_id kIdentity{ 42 };

log_entry
PayloadEntry(log_index aIndex, std::string aPayload)
{
  return { aIndex, 1, entry_kind::ePayload, std::move(aPayload), {} };
}

std::string
ReadBytes(const fs::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

void
WriteBytes(const fs::path& aPath, const std::string& aBytes)
{
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aBytes;
}

struct data_folder_fixture
{
  fs::path folder;
  recovered_log recovered;
  last_reason reason;
  disk_hooks hooks = PosixDisk();

  data_folder_fixture()
  {
    std::string name = (fs::temp_directory_path() / "bulrush-XXXXXX").string();
    folder = ::mkdtemp(name.data());
  }
  ~data_folder_fixture() { fs::remove_all(folder); }
  data_folder_fixture(const data_folder_fixture&) = delete;
  data_folder_fixture& operator=(const data_folder_fixture&) = delete;

  std::optional<disk_log> Open(replica_id aNewIdentity = kIdentity)
  {
    return disk_log::Open(
      folder, "fleet", aNewIdentity, hooks, recovered, reason);
  }
  fs::path Journal() const { return folder / "journal"; }

  // Appends entries aFirst to aLast with one sync each.
  void AddSynced(disk_log& aLog, log_index aFirst, log_index aLast)
  {
    storage_hooks storage = aLog.Hooks();
    for (log_index index = aFirst; index <= aLast; ++index) {
      const log_entry entry =
        PayloadEntry(index, "change " + std::to_string(index));
      REQUIRE(storage.append({ &entry, 1 }, reason));
      REQUIRE(storage.sync(reason));
    }
  }
  void OpenAndAdd(log_index aFirst, log_index aLast)
  {
    auto log = Open();
    REQUIRE(log);
    AddSynced(*log, aFirst, aLast);
  }
  void AddUnsynced(disk_log& aLog, log_index aFirst, log_index aLast)
  {
    storage_hooks storage = aLog.Hooks();
    for (log_index index = aFirst; index <= aLast; ++index) {
      const log_entry entry =
        PayloadEntry(index, "change " + std::to_string(index));
      REQUIRE(storage.append({ &entry, 1 }, reason));
    }
  }
  void Damage(const fs::path& aPath, std::size_t aOffset) const
  {
    std::string bytes = ReadBytes(aPath);
    REQUIRE(aOffset < bytes.size());
    bytes[aOffset] = static_cast<char>(bytes[aOffset] ^ 0x40);
    WriteBytes(aPath, bytes);
  }
};

TEST_CASE_METHOD(data_folder_fixture,
                 "DataFolder_WhenItIsNew_GetsTheNewIdentityAndKeepsIt",
                 "[replication][disk]")
{
  REQUIRE(Open());
  CHECK(recovered.identity == kIdentity);
  REQUIRE(Open(replica_id{ 77 }));
  CHECK(recovered.identity == kIdentity);
}

TEST_CASE_METHOD(data_folder_fixture,
                 "DataFolder_WhenItWasWiped_GetsANewIdentity",
                 "[replication][disk]")
{
  OpenAndAdd(1, 3);
  fs::remove_all(folder);
  REQUIRE(Open(replica_id{ 77 }));
  CHECK(recovered.identity == replica_id{ 77 });
  CHECK(recovered.entries.empty());
  CHECK(recovered.vote == ballot{});
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Journal_WhenReopened_HoldsEntriesVoteAndCommit",
                 "[replication][disk]")
{
  {
    auto log = Open();
    AddSynced(*log, 1, 5);
    storage_hooks storage = log->Hooks();
    REQUIRE(storage.truncate(4, reason));
    REQUIRE(storage.saveVote({ 9, replica_id{ 3 } }, reason));
    REQUIRE(storage.saveCommit(2, reason));
    REQUIRE(storage.sync(reason));
  }
  REQUIRE(Open());
  REQUIRE(recovered.entries.size() == 3);
  CHECK(recovered.entries[2].payload == "change 3");
  CHECK(recovered.vote == ballot{ 9, replica_id{ 3 } });
  CHECK(recovered.commit == 2);
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Journal_WithATornTail_IsTruncatedAndAcceptsNewEntries",
                 "[replication][disk]")
{
  OpenAndAdd(1, 3);
  const std::string whole = ReadBytes(Journal());
  {
    auto log = Open();
    AddUnsynced(*log, 4, 4);
  }
  const std::string longer = ReadBytes(Journal());
  for (std::size_t cut = whole.size() + 1; cut < longer.size(); ++cut) {
    WriteBytes(Journal(), longer.substr(0, cut));
    auto log = Open();
    REQUIRE(log);
    REQUIRE(recovered.entries.size() == 3);
    REQUIRE(recovered.tornTailBytes == cut - whole.size());
    AddSynced(*log, 4, 5);
    log.reset();
    REQUIRE(Open());
    REQUIRE(recovered.entries.size() == 5);
    REQUIRE(recovered.tornTailBytes == 0);
  }
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Journal_WithUnsyncedRecordsOutOfOrder_IsTruncatedBeforeThem",
                 "[replication][disk]")
{
  {
    auto log = Open();
    AddSynced(*log, 1, 3);
    AddUnsynced(*log, 4, 6);
  }
  // The disk wrote records 5 and 6 but not record 4. None of them was synced.
  const std::string bytes = ReadBytes(Journal());
  Damage(Journal(), bytes.find("change 4"));
  REQUIRE(Open());
  CHECK(recovered.entries.size() == 3);
  CHECK(recovered.tornTailBytes > 0);
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Journal_DamagedBeforeItsTail_FailsToOpenWithThePath",
                 "[replication][disk]")
{
  OpenAndAdd(1, 6);
  const std::string bytes = ReadBytes(Journal());
  // Any byte of a record that a later record states as synced.
  const std::size_t last = bytes.rfind("change 6") - 80;
  for (std::size_t offset = 0; offset < last; offset += 7) {
    WriteBytes(Journal(), bytes);
    Damage(Journal(), offset);
    reason = {};
    REQUIRE_FALSE(Open());
    REQUIRE(reason.step == "read journal");
    REQUIRE(reason.peer == Journal().string());
    REQUIRE(reason.text.find("damaged") != std::string::npos);
  }
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Journal_TruncatedInEntriesKeptBySnapshot_FailsToOpen",
                 "[replication][disk]")
{
  {
    auto log = Open();
    AddSynced(*log, 1, 10);
    const log_snapshot snapshot{ { 8, 1 }, {}, "state" };
    REQUIRE(log->Hooks().saveSnapshot(snapshot, 6, reason));
  }
  const std::string bytes = ReadBytes(Journal());
  WriteBytes(Journal(), bytes.substr(0, bytes.size() - 5));
  CHECK_FALSE(Open());
  CHECK(reason.step == "read journal");
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Snapshot_WhenItIsDamagedOrMissing_FailsToOpen",
                 "[replication][disk]")
{
  {
    auto log = Open();
    AddSynced(*log, 1, 10);
    const log_snapshot snapshot{ { 8, 1 }, {}, "state" };
    REQUIRE(log->Hooks().saveSnapshot(snapshot, 6, reason));
  }
  REQUIRE(Open());
  CHECK(recovered.snapshot.state == "state");
  CHECK(recovered.base == log_position{ 6, 1 });
  CHECK(recovered.entries.size() == 4);
  Damage(folder / "snapshot", 40);
  CHECK_FALSE(Open());
  CHECK(reason.step == "read snapshot");
  fs::remove(folder / "snapshot");
  CHECK_FALSE(Open());
  CHECK(reason.step == "join snapshot");
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Journal_WhenItIsMissingBesideASnapshot_FailsToOpen",
                 "[replication][disk]")
{
  {
    auto log = Open();
    AddSynced(*log, 1, 3);
    const log_snapshot snapshot{ { 3, 1 }, {}, "state" };
    REQUIRE(log->Hooks().saveSnapshot(snapshot, 3, reason));
  }
  fs::remove(Journal());
  CHECK_FALSE(Open(replica_id{ 77 }));
  CHECK(reason.text == "the file is missing");
}

TEST_CASE_METHOD(
  data_folder_fixture,
  "Snapshot_WhenTheProcessDiesBeforeTheJournalIsRewritten_IsUsed",
  "[replication][disk]")
{
  std::string journalBefore;
  {
    auto log = Open();
    AddSynced(*log, 1, 10);
    journalBefore = ReadBytes(Journal());
    const log_snapshot snapshot{ { 8, 1 }, {}, "state" };
    REQUIRE(log->Hooks().saveSnapshot(snapshot, 8, reason));
  }
  WriteBytes(Journal(), journalBefore);
  REQUIRE(Open());
  CHECK(recovered.snapshot.state == "state");
  CHECK(recovered.entries.back().index == 10);
  CHECK(recovered.commit == 8);
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Snapshot_ThatConflictsWithTheJournal_TakesPrecedence",
                 "[replication][disk]")
{
  {
    auto log = Open();
    AddSynced(*log, 1, 10);
    const log_snapshot snapshot{ { 8, 5 }, {}, "state" };
    REQUIRE(log->Hooks().saveSnapshot(snapshot, 8, reason));
  }
  REQUIRE(Open());
  CHECK(recovered.entries.empty());
  CHECK(recovered.base == log_position{ 8, 5 });
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Snapshot_AheadOfAJournalThatWasNotRewritten_TakesPrecedence",
                 "[replication][disk]")
{
  std::string journalBefore;
  {
    auto log = Open();
    AddSynced(*log, 1, 10);
    journalBefore = ReadBytes(Journal());
    const log_snapshot snapshot{ { 30, 5 }, {}, "state" };
    REQUIRE(log->Hooks().saveSnapshot(snapshot, 30, reason));
  }
  WriteBytes(Journal(), journalBefore);
  REQUIRE(Open());
  CHECK(recovered.entries.empty());
  CHECK(recovered.base == log_position{ 30, 5 });
  CHECK(recovered.commit == 30);
}

TEST_CASE_METHOD(data_folder_fixture,
                 "DataFolder_HeldByAnotherProcess_IsRefused",
                 "[replication][disk]")
{
  const auto log = Open();
  REQUIRE(log);
  CHECK_FALSE(Open());
  CHECK(reason.text == "another process holds it");
}

TEST_CASE_METHOD(data_folder_fixture,
                 "DataFolder_OfAnotherLog_IsRefused",
                 "[replication][disk]")
{
  OpenAndAdd(1, 3);
  CHECK_FALSE(
    disk_log::Open(folder, "claims", kIdentity, hooks, recovered, reason));
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Sync_ThatFailedOnce_FailsPermanently",
                 "[replication][disk]")
{
  bool isBroken = false;
  hooks.sync = [&isBroken](int aFile) {
    if (isBroken) {
      errno = EIO;
      return -1;
    }
    return ::fsync(aFile);
  };
  auto log = Open();
  AddSynced(*log, 1, 2);
  storage_hooks storage = log->Hooks();
  isBroken = true;
  CHECK_FALSE(storage.sync(reason));
  CHECK(reason.step == "sync");
  CHECK(reason.peer == Journal().string());
  isBroken = false;
  CHECK_FALSE(storage.sync(reason));
  CHECK_FALSE(storage.saveVote({ 3, {} }, reason));
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Write_OnAFullDisk_FailsAndKeepsSyncedEntries",
                 "[replication][disk]")
{
  bool isFull = false;
  hooks.write = [&isFull](int aFile, const char* aBytes, std::size_t aCount) {
    if (isFull) {
      errno = ENOSPC;
      return -1L;
    }
    // Short writes are not errors.
    return static_cast<long>(
      ::write(aFile, aBytes, std::min<std::size_t>(aCount, 10)));
  };
  {
    auto log = Open();
    AddSynced(*log, 1, 3);
    isFull = true;
    const log_entry entry = PayloadEntry(4, "lost");
    CHECK_FALSE(log->Hooks().append({ &entry, 1 }, reason));
    CHECK(reason.step == "write");
    isFull = false;
  }
  REQUIRE(Open());
  CHECK(recovered.entries.size() == 3);
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Journal_TruncatedAnywhereAfterItsLastSync_KeepsSyncedRecords",
                 "[replication][disk][fuzz]")
{
  rc::prop("synced records are recovered, and no entry is invented", [this] {
    fs::remove_all(folder);
    log_index last = 0;
    log_index lastSynced = 0;
    ballot vote;
    ballot syncedVote;
    std::uint64_t syncedBytes = 0;
    {
      auto log = Open();
      RC_ASSERT(log.has_value());
      storage_hooks storage = log->Hooks();
      syncedBytes = log->JournalBytes();
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        const int action = *rc::gen::inRange(0, 5);
        if (action <= 1) {
          const log_entry entry =
            PayloadEntry(++last, *rc::gen::arbitrary<std::string>());
          RC_ASSERT(storage.append({ &entry, 1 }, reason).has_value());
        } else if (action == 2) {
          ++vote.term;
          RC_ASSERT(storage.saveVote(vote, reason).has_value());
        } else if (action == 3 && last > 0) {
          const log_snapshot snapshot{ { last, 1 }, {}, "state" };
          const log_index drop = *rc::gen::inRange<log_index>(0, last + 1);
          RC_ASSERT(storage.saveSnapshot(snapshot, drop, reason).has_value());
          lastSynced = last;
          syncedVote = vote;
          syncedBytes = log->JournalBytes();
        } else {
          RC_ASSERT(storage.sync(reason).has_value());
          lastSynced = last;
          syncedVote = vote;
          syncedBytes = log->JournalBytes();
        }
      }
    }
    const std::string bytes = ReadBytes(Journal());
    const auto length =
      *rc::gen::inRange<std::size_t>(syncedBytes, bytes.size() + 1);
    const auto garbage = *rc::gen::arbitrary<std::string>();
    WriteBytes(Journal(), bytes.substr(0, length) + garbage);
    RC_ASSERT(Open().has_value());
    const log_index found = recovered.base.index + recovered.entries.size();
    RC_ASSERT(found >= lastSynced);
    RC_ASSERT(found <= last);
    RC_ASSERT(recovered.vote.term >= syncedVote.term);
    RC_ASSERT(recovered.vote.term <= vote.term);
  });
}

TEST_CASE_METHOD(data_folder_fixture,
                 "Replica_RestartedAfter1800Changes_RestoresThemAll",
                 "[replication][disk]")
{
  using clock = std::chrono::steady_clock;
  constexpr int kChanges = 1800;
  constexpr std::size_t kChangeBytes = 600;
  std::string state;
  const auto apply = [&](replica_tables& aTables, steady_time aNow) {
    replica_outbox outbox;
    RunReplica(aTables, aNow, outbox);
    REQUIRE_FALSE(outbox.fatal);
    if (outbox.install) {
      state = outbox.install->state;
    }
    for (const log_entry& entry : outbox.committed) {
      state += entry.payload;
    }
    if (outbox.snapshotDue) {
      REQUIRE(SaveSnapshot(aTables, state, reason));
    }
  };
  const steady_time start = clock::now();
  std::string expected;
  {
    auto log = Open();
    replica_tables tables = StartReplica({}, recovered, log->Hooks(), start);
    REQUIRE(BootstrapLog(
      tables, { { kIdentity, member_kind::eVoter, "alone" } }, reason));
    const steady_time later = start + std::chrono::seconds(5);
    apply(tables, later);
    for (int i = 0; i < kChanges; ++i) {
      const std::string change(kChangeBytes, static_cast<char>('a' + i % 26));
      expected += change;
      REQUIRE(Propose(tables, change, reason));
      apply(tables, later);
    }
  }
  state.clear();
  const steady_time before = clock::now();
  auto log = Open();
  REQUIRE(log);
  replica_tables tables = StartReplica({}, recovered, log->Hooks(), start);
  apply(tables, start);
  const auto elapsed = clock::now() - before;
  std::cout
    << "restart from " << kChanges << " changes of " << kChangeBytes
    << " bytes: "
    << std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count()
    << " us, journal " << log->JournalBytes() << " bytes\n";
  CHECK(state == expected);
  CHECK(log->JournalBytes() < kChanges * (kChangeBytes + 200));
}

} // namespace
} // namespace bulrush
