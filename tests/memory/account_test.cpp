#include "memory/memory.hpp"

#include <catch2/catch.hpp>

namespace bulrush::memory {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr owner_id kFaulty{ 1 };
constexpr owner_id kSound{ 2 };

// An account of a process with 100 MB: 40 MB in all, 30 MB before large holders
// stop reading, 4.8 MB of one owner.
struct account_fixture
{
  struct test_holder
  {
    holder held;
    bool isPaused = false;
    bool isEnded = false;
  };

  std::shared_ptr<account> bytes =
    std::make_shared<account>(LimitsFor(100 * kMegabyte));
  std::vector<std::unique_ptr<test_holder>> holders;
  int pressures = 0;

  account_fixture()
  {
    bytes->onPressure = [this] { ++pressures; };
  }

  test_holder& Hold(owner_id aOwner,
                    std::size_t aBytes,
                    holder_kind aKind = holder_kind::eAnswer)
  {
    holders.push_back(std::make_unique<test_holder>());
    test_holder& added = *holders.back();
    holder_hooks hooks;
    hooks.onPause = [&added](bool aIsPaused) { added.isPaused = aIsPaused; };
    hooks.onEnd = [&added](const std::string&) {
      added.isEnded = true;
      added.held = {};
    };
    added.held = holder(bytes, aKind, aOwner, std::move(hooks));
    added.held.Set(aBytes);
    return added;
  }
};

TEST_CASE_METHOD(account_fixture,
                 "Holders_BelowTheBounds_AreLeftAlone",
                 "[memory]")
{
  Hold(kFaulty, 2 * kMegabyte);
  Hold(kSound, 2 * kMegabyte);
  CHECK(pressures == 0);
  bytes->Balance();
  CHECK_FALSE(holders[0]->isPaused);
  CHECK_FALSE(holders[1]->isPaused);
  CHECK(bytes->Bytes() == 4 * kMegabyte);
}

TEST_CASE_METHOD(account_fixture,
                 "Owner_AboveItsShare_StopsReadingButForTheOldestHolder",
                 "[memory]")
{
  const test_holder& oldest = Hold(kFaulty, 2 * kMegabyte);
  const test_holder& second = Hold(kFaulty, 2 * kMegabyte);
  const test_holder& third = Hold(kFaulty, 2 * kMegabyte);
  const test_holder& small = Hold(kFaulty, 1000);
  const test_holder& other = Hold(kSound, 2 * kMegabyte);
  CHECK(pressures == 1);
  bytes->Balance();
  CHECK_FALSE(oldest.isPaused);
  CHECK(second.isPaused);
  CHECK(third.isPaused);
  CHECK_FALSE(small.isPaused);
  CHECK_FALSE(other.isPaused);
}

TEST_CASE_METHOD(account_fixture,
                 "Owner_WhenItsOldestHolderIsReleased_ReadsOn",
                 "[memory]")
{
  Hold(kFaulty, 4 * kMegabyte);
  const test_holder& second = Hold(kFaulty, 2 * kMegabyte);
  bytes->Balance();
  REQUIRE(second.isPaused);
  holders[0]->held = {};
  CHECK(pressures == 2);
  bytes->Balance();
  CHECK_FALSE(second.isPaused);
}

TEST_CASE_METHOD(account_fixture,
                 "Owner_WhenItsReadHolderStalls_HasTheNextOneRead",
                 "[memory]")
{
  test_holder& stalled = Hold(kFaulty, 4 * kMegabyte);
  test_holder& second = Hold(kFaulty, 2 * kMegabyte);
  bytes->Balance();
  REQUIRE(bytes->NeedsChecks());
  bytes->CheckProgress();
  CHECK(second.isPaused);
  stalled.held.Set(4 * kMegabyte + 1);
  bytes->CheckProgress();
  CHECK(stalled.isPaused);
  CHECK_FALSE(second.isPaused);
  bytes->CheckProgress();
  second.held.Set(3 * kMegabyte);
  bytes->CheckProgress();
  CHECK_FALSE(second.isPaused);
  second.held = {};
  bytes->Balance();
  CHECK_FALSE(stalled.isPaused);
  CHECK_FALSE(bytes->NeedsChecks());
}

TEST_CASE_METHOD(account_fixture,
                 "Sum_AboveThePauseMark_StopsAllLargeReadsButTheOldest",
                 "[memory]")
{
  for (std::uint64_t owner = 1; owner <= 8; ++owner) {
    Hold(owner_id{ owner }, 4 * kMegabyte);
  }
  const test_holder& small = Hold(owner_id{ 9 }, 1000);
  bytes->Balance();
  CHECK_FALSE(holders[0]->isPaused);
  for (std::size_t i = 1; i < 8; ++i) {
    CHECK(holders[i]->isPaused);
  }
  CHECK_FALSE(small.isPaused);
}

TEST_CASE_METHOD(account_fixture,
                 "Sum_AboveTheBudget_EndsTheLargestHoldersOnly",
                 "[memory]")
{
  const test_holder& small = Hold(kSound, 1000);
  const test_holder& large = Hold(owner_id{ 3 }, 20 * kMegabyte);
  const test_holder& largest = Hold(kFaulty, 30 * kMegabyte);
  bytes->Balance();
  CHECK(largest.isEnded);
  CHECK_FALSE(large.isEnded);
  CHECK_FALSE(small.isEnded);
  CHECK(bytes->Bytes() == 20 * kMegabyte + 1000);
  CHECK(bytes->Usage().ended[1] == 1);
}

TEST_CASE_METHOD(account_fixture,
                 "Holder_ThatReleasesItsBytesLater_IsNotEndedTwice",
                 "[memory]")
{
  int ends = 0;
  holder slow(bytes,
              holder_kind::eAnswer,
              kFaulty,
              { {}, [&ends](const std::string&) { ++ends; } });
  slow.Set(30 * kMegabyte);
  const test_holder& other = Hold(kSound, 20 * kMegabyte);
  bytes->Balance();
  bytes->Balance();
  CHECK(ends == 1);
  CHECK_FALSE(other.isEnded);
}

TEST_CASE_METHOD(account_fixture,
                 "Holder_Completed_IsCountedAndNeitherPausedNorEnded",
                 "[memory]")
{
  test_holder& whole = Hold(kFaulty, 45 * kMegabyte);
  whole.held.Complete();
  bytes->Balance();
  CHECK_FALSE(whole.isEnded);
  CHECK_FALSE(whole.isPaused);
  CHECK(bytes->Bytes() == 45 * kMegabyte);
}

TEST_CASE_METHOD(account_fixture,
                 "Owner_WhoseHolderCompletes_HasTheNextOneRead",
                 "[memory]")
{
  test_holder& first = Hold(kFaulty, 4 * kMegabyte);
  const test_holder& second = Hold(kFaulty, 2 * kMegabyte);
  bytes->Balance();
  REQUIRE(second.isPaused);
  first.held.Complete();
  bytes->Balance();
  CHECK_FALSE(second.isPaused);
}

TEST_CASE_METHOD(account_fixture,
                 "Sum_AboveTheBudgetByWholeHolders_EndsNoSmallOne",
                 "[memory]")
{
  const test_holder& small = Hold(kSound, 1000);
  Hold(kFaulty, 45 * kMegabyte).held.Complete();
  bytes->Balance();
  CHECK_FALSE(small.isEnded);
}

TEST_CASE_METHOD(account_fixture,
                 "Request_WithoutRoom_IsRefusedAndCounted",
                 "[memory]")
{
  CHECK(bytes->HasRoom(4 * kMegabyte, 4 * kMegabyte));
  Hold(kSound, 28 * kMegabyte);
  CHECK_FALSE(bytes->HasRoom(4 * kMegabyte, 4 * kMegabyte));
  CHECK(bytes->HasRoom(1000, 1000));
  Hold(kSound, 13 * kMegabyte);
  CHECK_FALSE(bytes->HasRoom(0, 0));
  CHECK(bytes->Usage().refused == 2);
}

TEST_CASE_METHOD(account_fixture,
                 "Account_WhenAllHoldersAreReleased_HoldsNothing",
                 "[memory]")
{
  Hold(kFaulty, kMegabyte, holder_kind::eRequest);
  Hold(kFaulty, kMegabyte, holder_kind::eOutput);
  holder moved = std::move(holders[0]->held);
  holders.clear();
  CHECK(bytes->Bytes() == kMegabyte);
  moved = {};
  CHECK(bytes->Bytes() == 0);
  for (const std::size_t held : bytes->Usage().bytes) {
    CHECK(held == 0);
  }
}

} // namespace
} // namespace bulrush::memory
