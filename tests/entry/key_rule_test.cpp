#include "entry/key_rule.hpp"
#include "entry/outcomes.hpp"
#include "entry/tables.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host's control thread and the control processes that answer its reports.
struct key_rule_fixture
{
  static constexpr milliseconds kBound{ 5'000 };
  const key_rule rule{ kBound };
  entry_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };

  key_rule_fixture()
  {
    control_row control;
    control.id = IdOf<replica_id>("control");
    control.address = "10.0.0.1:7100";
    tables.controls.Insert(control);
    Report();
  }

  void Tick()
  {
    entry_outbox out;
    RunEntryControl(tables, now, out);
  }

  /// Sends a report; returns its number.
  std::uint64_t Report()
  {
    tables.nextReport = now;
    Tick();
    return tables.lastReport;
  }

  void Answer(std::uint64_t aReport,
              std::optional<milliseconds> aConfirmationAge,
              std::uint64_t aRevision = 0)
  {
    wire::host_update update;
    update.renewal = aReport;
    update.revision = aRevision;
    update.leader = "control";
    update.isCaughtUp = true;
    update.confirmationAge = aConfirmationAge;
    wire::message message;
    message.sender = "control";
    message.body = update;
    tables.inbox.push_back(message);
    Tick();
  }

  bool IsUsable() const
  {
    return now < KeysUsableUntil(rule, tables.confirmedAt);
  }
};

TEST_CASE_METHOD(key_rule_fixture,
                 "Keys_AtAHostThatWasNeverConfirmed_AreNotUsable",
                 "[entry]")
{
  CHECK_FALSE(IsUsable());
  Answer(tables.lastReport, std::nullopt);
  CHECK_FALSE(IsUsable());
}

TEST_CASE_METHOD(key_rule_fixture,
                 "Keys_WithoutABound_AreAlwaysUsable",
                 "[entry]")
{
  CHECK(KeysUsableUntil({}, steady_time{}) == steady_time::max());
  CHECK(KeysUsableUntil({}, now) == steady_time::max());
}

// An unknown withdrawal is as old as the confirmation at most.
TEST_CASE_METHOD(key_rule_fixture,
                 "Keys_AfterTheConfirmation_EndBeforeTheBound",
                 "[entry]")
{
  Answer(tables.lastReport, milliseconds(0));
  const steady_time asked = now;
  CHECK(IsUsable());
  now = asked + milliseconds(4'400);
  CHECK(IsUsable());
  now = asked + milliseconds(4'500);
  CHECK_FALSE(IsUsable());
}

TEST_CASE_METHOD(key_rule_fixture,
                 "Confirmation_OfADelegateThatIsCutOff_IsAsOldAsTheDelegates",
                 "[entry]")
{
  Answer(tables.lastReport, milliseconds(4'499));
  CHECK(IsUsable());
  Answer(Report(), milliseconds(4'500));
  now += milliseconds(1);
  CHECK_FALSE(IsUsable());
}

TEST_CASE_METHOD(key_rule_fixture,
                 "Confirmation_ThatArrivesLate_CountsFromTheReport",
                 "[entry]")
{
  const std::uint64_t report = tables.lastReport;
  now += milliseconds(250);
  const steady_time before = now;
  Answer(report, milliseconds(100));
  CHECK(tables.confirmedAt == before - milliseconds(350));
}

TEST_CASE_METHOD(key_rule_fixture,
                 "Confirmation_OfAnEarlierReport_IsIgnored",
                 "[entry]")
{
  const std::uint64_t earlier = tables.lastReport;
  now += seconds(3);
  Report();
  Answer(earlier, milliseconds(0));
  CHECK(tables.confirmedAt == steady_time{});
}

TEST_CASE_METHOD(key_rule_fixture,
                 "Confirmation_OfARevisionThatHasNotArrived_IsNotAdopted",
                 "[entry]")
{
  Answer(tables.lastReport, milliseconds(0), 7);
  CHECK(tables.confirmedAt == steady_time{});
  auto fleet = std::make_shared<fleet_state>();
  fleet->revision = 7;
  tables.fleet = fleet;
  now += milliseconds(40);
  Answer(0, std::nullopt, 7);
  CHECK(tables.confirmedAt == now - milliseconds(40));
}

TEST_CASE_METHOD(key_rule_fixture,
                 "Refusal_OfAnUnconfirmedKey_IsTrueAndNamesATime",
                 "[entry]")
{
  routing::end_request end;
  end.outcome = routing::request_outcome::eKeyUnconfirmed;
  const caller_error notRun = ErrorOf(end);
  CHECK(notRun.status == 503);
  CHECK(notRun.code == "key_unconfirmed");
  CHECK_FALSE(notRun.mayHaveRun);
  CHECK(notRun.retryAfter);
  end.ran = routing::ran_state::eMayHaveRun;
  const caller_error mayHaveRun = ErrorOf(end);
  CHECK(mayHaveRun.status == 502);
  CHECK(mayHaveRun.mayHaveRun);
}

TEST_CASE_METHOD(key_rule_fixture,
                 "Host_BeforeItRefusesKeys_LeavesTheRotation",
                 "[entry]")
{
  const steady_time leaves = LeavesRotationAt(rule, now);
  CHECK(leaves == now + milliseconds(3'500));
  CHECK(leaves + seconds(1) <= KeysUsableUntil(rule, now));
  CHECK(LeavesRotationAt({}, now) == steady_time::max());
}

TEST_CASE_METHOD(key_rule_fixture,
                 "RetryAfter_OfAnUnconfirmedKey_CoversTheLoadBalancersTime",
                 "[entry]")
{
  CHECK(RetryAfterUnconfirmed(now, now) == milliseconds(2'000));
  CHECK(RetryAfterUnconfirmed(now, now + seconds(1)) == milliseconds(1'000));
  CHECK(RetryAfterUnconfirmed(now, now + seconds(9)) == milliseconds(250));
  CHECK(RetryAfterUnconfirmed(steady_time{}, now) == milliseconds(250));
}

/// True time in a world where clocks run at different speeds, links are cut and
/// messages are held up, hosts are suspended and keys withdrawn.
struct withdrawal_world : key_rule_fixture
{
  random_engine random;
  double rate;                ///< of the host's clock
  milliseconds time{ 0 };     ///< true time
  milliseconds cutUntil{ 0 }; ///< between host and control
  milliseconds suspendedUntil{ 0 };
  milliseconds delegateProof{ 0 }; ///< true time of the delegate's knowledge
  bool isDelegateCutOff = false;
  std::optional<milliseconds> withdrawnAt; ///< confirmed; the host knows it not
  struct held_answer
  {
    milliseconds arrivesAt;
    std::uint64_t report;
    milliseconds age;
    bool knowsWithdrawal;
  };
  std::vector<held_answer> answers;
  bool knowsWithdrawal = false;
  int uses = 0;

  explicit withdrawal_world(std::uint64_t aSeed)
    : random(aSeed)
    , rate(0.99 + 0.01 * static_cast<double>(aSeed % 3))
  {
  }

  int Draw(int aMost)
  {
    return std::uniform_int_distribution<int>(0, aMost)(random);
  }

  void Disturb()
  {
    switch (Draw(400)) {
      case 0:
        cutUntil = time + milliseconds(Draw(12'000));
        break;
      case 1:
        suspendedUntil = time + milliseconds(Draw(9'000));
        break;
      case 2:
        isDelegateCutOff = !isDelegateCutOff;
        break;
      case 3:
        if (!withdrawnAt) {
          withdrawnAt = time;
        }
        break;
      default:
        break;
    }
  }

  // The answer to a report that reached the delegate.
  void ReportAndAnswer()
  {
    const std::uint64_t report = Report();
    if (time < cutUntil) {
      return;
    }
    const bool knows = withdrawnAt && *withdrawnAt <= delegateProof;
    const milliseconds delay(Draw(20) == 0 ? Draw(6'000) : 5);
    answers.push_back({ time + delay, report, time - delegateProof, knows });
  }

  void Step(milliseconds aStep)
  {
    time += aStep;
    now += std::chrono::duration_cast<std::chrono::nanoseconds>(rate * aStep);
    Disturb();
    if (!isDelegateCutOff) {
      delegateProof = time - milliseconds(100);
    }
    if (time < suspendedUntil) {
      return;
    }
    std::erase_if(answers, [&](const held_answer& aAnswer) {
      if (aAnswer.arrivesAt > time) {
        return false;
      }
      knowsWithdrawal |= aAnswer.knowsWithdrawal;
      Answer(aAnswer.report, aAnswer.age);
      return true;
    });
    if (time.count() % 1'000 == 0) {
      ReportAndAnswer();
    }
    UseKey();
  }

  void UseKey()
  {
    if (IsUsable() && !knowsWithdrawal) {
      ++uses;
      REQUIRE((!withdrawnAt || time < *withdrawnAt + kBound));
    }
  }
};

struct withdrawal_fixture
{};

TEST_CASE_METHOD(withdrawal_fixture,
                 "WithdrawnKey_UnderRandomCutsAndClocks_EndsWithinTheBound",
                 "[entry][fuzz]")
{
  constexpr std::uint64_t kSeeds = 60;
  constexpr milliseconds kDay{ 60'000 };
  int uses = 0;
  int withdrawals = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    withdrawal_world world(seed);
    while (world.time < kDay) {
      world.Step(milliseconds(20));
    }
    uses += world.uses;
    withdrawals += world.withdrawnAt ? 1 : 0;
  }
  CHECK(uses > 10'000);
  CHECK(withdrawals > static_cast<int>(kSeeds) / 2);
}

} // namespace
} // namespace bulrush::entry
