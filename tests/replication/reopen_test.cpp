#include "support/lossy_disk.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace bulrush {
namespace {

namespace fs = std::filesystem;

/// A data folder whose process ends and starts again.
struct reopen_fixture
{
  fs::path folder;
  lossy_disk disk;
  recovered_log recovered;
  last_reason reason;

  reopen_fixture()
  {
    std::string name = (fs::temp_directory_path() / "bulrush-XXXXXX").string();
    folder = ::mkdtemp(name.data());
  }
  ~reopen_fixture() { fs::remove_all(folder); }
  reopen_fixture(const reopen_fixture&) = delete;
  reopen_fixture& operator=(const reopen_fixture&) = delete;

  std::optional<disk_log> Open() { return OpenAt(folder); }

  std::optional<disk_log> OpenAt(const fs::path& aFolder)
  {
    return disk_log::Open(
      aFolder, "fleet", { 42 }, disk.Hooks(), recovered, reason);
  }

  void Append(disk_log& aLog, log_index aIndex)
  {
    const log_entry entry{
      aIndex, 1, entry_kind::ePayload, std::to_string(aIndex), {}
    };
    REQUIRE(aLog.Hooks().append({ &entry, 1 }, reason));
  }

  void WriteTwoSyncedEntries()
  {
    auto log = Open();
    REQUIRE(log);
    for (log_index index = 1; index <= 2; ++index) {
      Append(*log, index);
      REQUIRE(log->Hooks().sync(reason));
    }
  }

  // What an opened folder contains is acknowledged without another sync.
  void CheckThatAPowerLossKeepsWhatIsOpened()
  {
    REQUIRE(Open());
    const recovered_log opened = recovered;
    disk.LosePower(folder);
    REQUIRE(Open());
    CHECK(recovered.entries.size() == opened.entries.size());
    CHECK(recovered.vote.term == opened.vote.term);
  }
};

// Guards against a log that is lost as a whole with the power, since the name
// of its folder was never synced.
TEST_CASE_METHOD(reopen_fixture,
                 "Log_WhoseFolderIsNew_SurvivesALossOfPower",
                 "[replication][disk]")
{
  const fs::path data = folder / "data";
  {
    auto log = OpenAt(data / "fleet");
    REQUIRE(log);
    Append(*log, 1);
    REQUIRE(log->Hooks().sync(reason));
  }
  disk.LosePower(data / "fleet");
  disk.LoseNames(data / "fleet");
  disk.LoseNames(data);
  disk.LoseNames(folder);
  REQUIRE(OpenAt(data / "fleet"));
  CHECK(recovered.entries.size() == 1);
}

TEST_CASE_METHOD(reopen_fixture,
                 "Records_UnsyncedWhenTheProcessEnds_AreDurableOnceReopened",
                 "[replication][disk]")
{
  WriteTwoSyncedEntries();
  {
    auto log = Open();
    Append(*log, 3);
    REQUIRE(log->Hooks().saveVote({ 7, { 42 } }, reason));
  }
  CheckThatAPowerLossKeepsWhatIsOpened();
}

TEST_CASE_METHOD(reopen_fixture,
                 "Records_DroppedByAFailedSync_AreDurableOnceReopened",
                 "[replication][disk]")
{
  WriteTwoSyncedEntries();
  {
    auto log = Open();
    Append(*log, 3);
    disk.isFull = true;
    REQUIRE_FALSE(log->Hooks().sync(reason));
  }
  CHECK_FALSE(Open());
  disk.isFull = false;
  CheckThatAPowerLossKeepsWhatIsOpened();
}

TEST_CASE_METHOD(reopen_fixture,
                 "SyncedRecords_ReopenedOnAFullDisk_AreKept",
                 "[replication][disk]")
{
  WriteTwoSyncedEntries();
  disk.isFull = true;
  disk.room = 5;
  Open();
  disk.LosePower(folder);
  disk.isFull = false;
  REQUIRE(Open());
  CHECK(recovered.entries.size() == 2);
}

TEST_CASE_METHOD(
  reopen_fixture,
  "RenamedJournal_AfterAFailedSyncOfItsFolder_IsSyncedOnceReopened",
  "[replication][disk]")
{
  disk_hooks hooks = disk.Hooks();
  hooks.sync = [this, sync = hooks.sync](int aFile) {
    struct stat status
    {};
    ::fstat(aFile, &status);
    disk.isFull = S_ISDIR(status.st_mode);
    return sync(aFile);
  };
  REQUIRE_FALSE(
    disk_log::Open(folder, "fleet", { 42 }, hooks, recovered, reason));
  REQUIRE(fs::exists(folder / "journal"));
  disk.isFull = false;
  REQUIRE(Open());
  CHECK(disk.folderSyncs == 2); // of its folder and of the one that holds it
}

TEST_CASE_METHOD(reopen_fixture,
                 "Follower_WhoseWriteFails_CommitsNothingBeyondItsLog",
                 "[replication][disk]")
{
  auto log = Open();
  REQUIRE(log);
  replica_tables tables =
    StartReplica({}, recovered, log->Hooks(), steady_time{});
  append_request request;
  request.header = { tables.settings.log, { 7 }, tables.self, 1 };
  request.commit = 1;
  request.entries.push_back({ 1, 1, entry_kind::ePayload, "change", {} });
  Deliver(tables, request, steady_time{});
  disk.isFull = true;
  replica_outbox outbox;
  RunReplica(tables, steady_time{}, outbox);
  CHECK(outbox.fatal);
  CHECK(tables.commit == 0);
  CHECK(tables.released == 0);
}

} // namespace
} // namespace bulrush
