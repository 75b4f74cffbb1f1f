#include "quarantine/quarantine_fixture.hpp"

namespace bulrush::quarantine {
namespace {

TEST_CASE_METHOD(quarantine_fixture,
                 "Part_UnderWhichProcessesEndWithoutAnAnswer_IsRefused",
                 "[quarantine]")
{
  for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
    CHECK(Kind({ kFirst, kBad }) != verdict_kind::eRefuse);
    Crash(endpoint, { kFirst, kBad });
    Answer({ kFirst });
    now += milliseconds{ 700 };
  }
  CHECK(Kind({ kFirst, kBad }) == verdict_kind::eRefuse);
  CHECK(Kind({ kFirst, kOther }) == verdict_kind::eFree);
  CHECK(Kind({ kFirst }) == verdict_kind::eFree);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Part_WithARecentAnswer_IsNotSuspected",
                 "[quarantine]")
{
  Answer({ kFirst });
  now += milliseconds{ 9'000 };
  Crash(1, { kFirst, kBad });
  CHECK(host.suspects.Find(kFirst) == nullptr);
  CHECK(host.suspects.Find(kBad) != nullptr);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Part_WhoseProcessesAreTheSame_CountsOneCrash",
                 "[quarantine]")
{
  for (int i = 0; i < 8; ++i) {
    Crash(1, { kBad });
  }
  CHECK(host.suspects.Find(kBad)->crashes.size() == 1);
  CHECK(Kind({ kBad }) != verdict_kind::eRefuse);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Part_WithAnAnswerAfterACrash_IsCleared",
                 "[quarantine]")
{
  Crash(1, { kBad });
  Crash(2, { kBad });
  now += milliseconds{ 100 };
  Answer({ kBad });
  CHECK(host.suspects.Empty());
  CHECK(Kind({ kBad }) == verdict_kind::eFree);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Crash_OfAProcessThatRuns_IsTakenBack",
                 "[quarantine]")
{
  Condemn(kBad);
  REQUIRE(Kind({ kBad }) == verdict_kind::eRefuse);
  now += milliseconds{ 1'000 };
  RecordRunning(host, endpoint_id{ 2 }, 7, now);
  CHECK(Kind({ kBad }) != verdict_kind::eRefuse);
  CHECK(host.suspects.Find(kBad)->crashes.size() == 2);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "CheckIn_ThatMayHaveBeenUnderWay_ProvesNothing",
                 "[quarantine]")
{
  Condemn(kBad);
  RecordCheckIn(host, endpoint_id{ 2 }, 7, now + milliseconds{ 1'500 });
  CHECK(Kind({ kBad }) == verdict_kind::eRefuse);
  RecordCheckIn(host, endpoint_id{ 2 }, 7, now + milliseconds{ 3'000 });
  CHECK(Kind({ kBad }) != verdict_kind::eRefuse);
}

// Callers write the parts of their prompts.
TEST_CASE_METHOD(quarantine_fixture,
                 "Part_SentBesideACrashingOne_IsNotRefusedWithoutIt",
                 "[quarantine]")
{
  for (std::uint64_t endpoint = 1; endpoint <= 4; ++endpoint) {
    Crash(endpoint, { kVictim, kBad });
    now += milliseconds{ 700 };
  }
  CHECK(Kind({ kVictim, kBad }) == verdict_kind::eRefuse);
  CHECK(Kind({ kVictim, kOther }) == verdict_kind::eFree);
  Answer({ kVictim, kOther });
  CHECK(Kind({ kBad, kOther }) == verdict_kind::eRefuse);
  CHECK(Kind({ kVictim }) == verdict_kind::eFree);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Suspicion_UntilItsPauseEnds_HoldsOtherRequestsBack",
                 "[quarantine]")
{
  Crash(1, { kBad });
  const verdict judged = Judge(host, Parts({ kBad }), false, Never(), now);
  CHECK(judged.kind == verdict_kind::eWait);
  CHECK(judged.until == now + host.settings.suspicionPause);
  CHECK(Judge(host, Parts({ kBad }), true, Never(), now).kind ==
        verdict_kind::eFree);
  now += host.settings.suspicionPause;
  CHECK(Kind({ kBad }) == verdict_kind::eFree);
  CHECK(Judge(host, Parts({ kBad }), false, Always(), now).kind ==
        verdict_kind::eWait);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Retry_AfterASecondProcessEnded_IsRefused",
                 "[quarantine]")
{
  Crash(1, { kBad });
  Crash(2, { kBad });
  CHECK(Judge(host, Parts({ kBad }), true, Never(), now).kind ==
        verdict_kind::eRefuse);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Suspects_InGreatNumber_StayWithinTheirLimit",
                 "[quarantine]")
{
  Condemn(kBad);
  for (std::uint64_t i = 0; i < 4 * kMaxSuspects; ++i) {
    Crash(9, { part_id{ 10'000 + i } });
    Answer({ part_id{ 10'000 + i } });
    Crash(8, { part_id{ 90'000 + i } });
  }
  CHECK(host.suspects.Size() <= kMaxSuspects);
  CHECK(host.cleared.Size() <= kMaxCleared);
  CHECK(Kind({ kBad }) == verdict_kind::eRefuse);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Suspicion_WithoutFurtherCrashes_Ends",
                 "[quarantine]")
{
  Crash(1, { kBad });
  now += host.settings.suspicionLifetime;
  Expire(host, now);
  CHECK(host.suspects.Empty());
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Part_HeldByAnOperator_IsRefusedUntilItIsReleased",
                 "[quarantine]")
{
  Hold(host, kOther, now);
  Answer({ kOther });
  CHECK(Kind({ kOther }) == verdict_kind::eRefuse);
  now += std::chrono::hours{ 48 };
  Expire(host, now);
  CHECK(Kind({ kOther }) == verdict_kind::eRefuse);
  Release(host, kOther, now);
  CHECK(Kind({ kOther }) == verdict_kind::eFree);
}

} // namespace
} // namespace bulrush::quarantine
