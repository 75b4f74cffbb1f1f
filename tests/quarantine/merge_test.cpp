#include "quarantine/quarantine_fixture.hpp"

#include <rapidcheck.h>

namespace bulrush::quarantine {
namespace {

/// A second process that receives what the first one observed.
struct merge_fixture : quarantine_fixture
{
  tables other;

  /// What both publish, until neither has news. Returns the number of rounds.
  int Exchange()
  {
    constexpr int kMaxRounds = 20;
    std::uint64_t sentByHost = 0;
    std::uint64_t sentByOther = 0;
    int rounds = 0;
    for (bool hasNews = true; hasNews && rounds < kMaxRounds; ++rounds) {
      now += milliseconds{ 30 };
      const evidence fromHost = Later(ChangesSince(host, sentByHost));
      const evidence fromOther = Later(ChangesSince(other, sentByOther));
      sentByHost = host.serial;
      sentByOther = other.serial;
      const bool isNewHere = Merge(host, fromOther, now);
      hasNews = Merge(other, fromHost, now) || isNewHere;
    }
    return rounds;
  }

  /// Times travel as ages, so the way makes them later.
  static evidence Later(evidence aEvidence)
  {
    constexpr milliseconds kLatency{ 30 };
    for (suspect_row& row : aEvidence.suspects) {
      row.newestCrash += kLatency;
      row.heldAt += kLatency;
      for (crash& each : row.crashes) {
        each.at += kLatency;
      }
    }
    for (cleared_row& row : aEvidence.cleared) {
      row.at += kLatency;
    }
    for (running_row& row : aEvidence.running) {
      row.at += kLatency;
    }
    return aEvidence;
  }

  verdict_kind OtherKind(const std::vector<part_id>& aParts) const
  {
    return Judge(other, aParts, false, Never(), now).kind;
  }
};

TEST_CASE_METHOD(merge_fixture,
                 "Crashes_SeenByDifferentHosts_AddUp",
                 "[quarantine]")
{
  Crash(1, { kFirst, kBad });
  RecordCrash(other, { endpoint_id{ 2 }, 7, now }, Parts({ kFirst, kBad }));
  Exchange();
  RecordCrash(other, { endpoint_id{ 3 }, 7, now }, Parts({ kBad }));
  Exchange();
  CHECK(Kind({ kBad }) == verdict_kind::eRefuse);
  CHECK(OtherKind({ kBad }) == verdict_kind::eRefuse);
  CHECK(Kind({ kFirst }) != verdict_kind::eRefuse);
}

TEST_CASE_METHOD(merge_fixture,
                 "Evidence_ThatBothHave_IsNotPublishedForEver",
                 "[quarantine]")
{
  Condemn(kBad);
  Crash(1, { kOther });
  RecordRunning(host, endpoint_id{ 2 }, 7, now + milliseconds{ 900 });
  Hold(other, kVictim, now);
  CHECK(Exchange() < 6);
  Answer({ kOther });
  CHECK(Exchange() < 6);
  CHECK(OtherKind({ kVictim }) == verdict_kind::eRefuse);
  CHECK(other.suspects.Find(kOther) == nullptr);
  CHECK(other.suspects.Find(kBad)->crashes.size() == 2);
}

TEST_CASE_METHOD(merge_fixture,
                 "Crash_OfAPartWithAnAnswerAtAnotherHost_IsCleared",
                 "[quarantine]")
{
  RecordAnswer(other, Parts({ kFirst }), now);
  now += milliseconds{ 200 };
  Crash(1, { kFirst });
  REQUIRE(host.suspects.Find(kFirst) != nullptr);
  Exchange();
  CHECK(host.suspects.Find(kFirst) == nullptr);
  CHECK(other.suspects.Find(kFirst) == nullptr);
}

TEST_CASE_METHOD(merge_fixture,
                 "Crash_ReportedLateAfterTheAnswer_DoesNotReturn",
                 "[quarantine]")
{
  Crash(1, { kFirst });
  const evidence late = ChangesSince(host, 0);
  now += milliseconds{ 100 };
  RecordAnswer(host, Parts({ kFirst }), now);
  Exchange();
  CHECK_FALSE(Merge(other, Later(late), now));
  CHECK(other.suspects.Empty());
}

TEST_CASE_METHOD(merge_fixture,
                 "Hold_OfAPartWithCrashesAndAnswers_ReachesOthers",
                 "[quarantine]")
{
  Crash(1, { kBad });
  Hold(host, kBad, now);
  RecordAnswer(other, Parts({ kBad }), now);
  Answer({ kBad });
  now += milliseconds{ 500 };
  Answer({ kBad });
  Exchange();
  CHECK(Kind({ kBad }) == verdict_kind::eRefuse);
  CHECK(OtherKind({ kBad }) == verdict_kind::eRefuse);
}

TEST_CASE_METHOD(merge_fixture,
                 "Release_WhenAProcessThatWasCutOffReturns_Holds",
                 "[quarantine]")
{
  Hold(host, kBad, now);
  Exchange();
  now += milliseconds{ 1'000 };
  Release(host, kBad, now);
  now += milliseconds{ 1'000 };
  Crash(1, { kBad });
  Answer({ kBad });
  now += std::chrono::minutes{ 30 };
  Expire(host, now);
  Exchange();
  CHECK(Kind({ kBad }) == verdict_kind::eFree);
  CHECK(OtherKind({ kBad }) == verdict_kind::eFree);
}

// In any order, and with repeats, all processes come to the same.
TEST_CASE_METHOD(merge_fixture,
                 "Evidence_InAnyOrder_LeadsToTheSameVerdicts",
                 "[quarantine]")
{
  CHECK(rc::check([this] {
    host = tables();
    other = tables();
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      30, rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(1, 6)));
    std::vector<evidence> published;
    for (const auto& [kind, number] : steps) {
      now += milliseconds{ 250 };
      tables& at = kind % 2 == 0 ? host : other;
      const part_id part{ static_cast<std::uint64_t>(number) };
      if (kind < 6) {
        RecordCrash(at,
                    { endpoint_id{ static_cast<std::uint64_t>(kind) + 1 },
                      static_cast<std::uint64_t>(number),
                      now },
                    Parts({ part, part_id{ 99 } }));
      } else {
        RecordAnswer(at, Parts({ part }), now);
      }
      published.push_back(ChangesSince(at, 0));
    }
    Exchange();
    for (const auto index : *rc::gen::container<std::vector<std::size_t>>(
           20, rc::gen::inRange<std::size_t>(0, published.size()))) {
      Merge(host, published[index], now);
      Merge(other, published[published.size() - 1 - index], now);
    }
    Exchange();
    for (std::uint64_t part = 1; part < 6; ++part) {
      RC_ASSERT(Kind({ part_id{ part }, part_id{ 99 } }) ==
                OtherKind({ part_id{ part }, part_id{ 99 } }));
    }
  }));
}

} // namespace
} // namespace bulrush::quarantine
