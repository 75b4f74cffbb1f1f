/// One link with messages made by the test: late, repeated and reordered.

#include "admission/admission.hpp"

#include <catch2/catch.hpp>

namespace bulrush::admission {
namespace {

using namespace std::chrono_literals;

constexpr steady_time kStart{ 1h };
const resource kRate = RateOf(workspace_id{ 7 });
const holder_id kHolder{ 5 };

class messages_fixture
{
public:
  escrow_tables parent;
  escrow_tables holder;

  messages_fixture()
  {
    parent.settings.isRoot = true;
    parent.settings.epoch = 1;
    SetLimit(parent, kRate, { 1000, 8000 }, kStart - 1h);
    holder.link.self = kHolder;
    holder.link.incarnation = 1;
    holder.link.epoch = 1;
    // An open reservation keeps the row from being erased.
    HoldingOf(holder, kRate, kStart).reservations = 1;
  }
  static escrow_outbox Tick(escrow_tables& aTables, steady_time aNow)
  {
    escrow_outbox out;
    RunTick(kEscrowSystems, aTables, aNow, out);
    return out;
  }
  renewal Renew(steady_time aNow)
  {
    holder.link.renewAt = aNow;
    HoldingOf(holder, kRate, aNow).demandUnits = 4000;
    const auto out = Tick(holder, aNow);
    REQUIRE(out.renewals.size() == 1);
    return out.renewals[0];
  }
  grant Answer(const renewal& aRenewal, steady_time aNow)
  {
    parent.renewals.push_back(aRenewal);
    const auto out = Tick(parent, aNow);
    REQUIRE(out.grants.size() == 1);
    return out.grants[0];
  }
  void HandleGrant(const grant& aGrant, steady_time aNow)
  {
    holder.grants.push_back(aGrant);
    Tick(holder, aNow);
  }
  const holding_row& Holding() const
  {
    return *holder.holdings.Find(IdOfResource(kRate));
  }
  const holding_row& ParentHolding() const
  {
    return *parent.holdings.Find(IdOfResource(kRate));
  }
  /// A grant with tokens, as the parent would send it.
  grant MakeGrant(const renewal& aRenewal, std::int64_t aTokens) const
  {
    grant created;
    created.holder = kHolder;
    created.incarnation = 1;
    created.epoch = 1;
    created.sequence = aRenewal.sequence;
    created.serveFor = 3s;
    created.rows.push_back({ kRate, { 0, 8000 }, {}, aTokens, 3s, 0s });
    return created;
  }
};

TEST_CASE_METHOD(messages_fixture,
                 "Grant_WhenRepeated_AddsItsTokensOnce",
                 "[admission]")
{
  const grant answer = MakeGrant(Renew(kStart), 1000);
  HandleGrant(answer, kStart + 1ms);
  HandleGrant(answer, kStart + 2ms);
  CHECK(Holding().undivided.level == 1000);
}

TEST_CASE_METHOD(messages_fixture,
                 "Grant_ThatAnswersAnEarlierRenewal_IsIgnored",
                 "[admission]")
{
  const grant old = MakeGrant(Renew(kStart), 1000);
  Renew(kStart + 600ms);
  HandleGrant(old, kStart + 601ms);
  CHECK(Holding().granted == share{});
  CHECK_FALSE(MayServe(holder.link, kStart + 601ms));
}

TEST_CASE_METHOD(messages_fixture,
                 "Grant_ThatArrivesLate_IsIgnored",
                 "[admission]")
{
  const grant late = MakeGrant(Renew(kStart), 1000);
  holder.grants.push_back(late);
  Tick(holder, kStart + holder.settings.answerTimeout);
  CHECK(Holding().granted == share{});
}

TEST_CASE_METHOD(messages_fixture,
                 "Grant_OfAnotherEpochOrProcess_IsIgnored",
                 "[admission]")
{
  const renewal sent = Renew(kStart);
  grant other = MakeGrant(sent, 1000);
  other.epoch = 2;
  HandleGrant(other, kStart + 1ms);
  other = MakeGrant(sent, 1000);
  other.incarnation = 2;
  HandleGrant(other, kStart + 2ms);
  CHECK(Holding().granted == share{});
}

TEST_CASE_METHOD(messages_fixture,
                 "Renewal_WhenRepeated_IsAnsweredOnce",
                 "[admission]")
{
  const renewal sent = Renew(kStart);
  Answer(sent, kStart);
  parent.renewals.push_back(sent);
  CHECK(Tick(parent, kStart + 1ms).grants.empty());
}

TEST_CASE_METHOD(messages_fixture,
                 "Grant_WhenLost_ReturnsItsTokensWithTheNextRenewal",
                 "[admission]")
{
  const std::int64_t before = ParentHolding().undivided.level;
  const grant lost = Answer(Renew(kStart), kStart);
  REQUIRE(lost.rows.size() == 1);
  REQUIRE(lost.rows[0].tokens > 0);
  parent.settings.divide = [](const share&, std::span<division_row>) {};
  const renewal next = Renew(kStart + 600ms);
  REQUIRE(next.accepted == 0);
  parent.renewals.push_back(next);
  Tick(parent, kStart + 600ms);
  // Refunded in full, since the bucket was full before.
  CHECK(ParentHolding().undivided.level + 600 >= before);
}

TEST_CASE_METHOD(messages_fixture,
                 "Renewal_ThatReturnsTokensWithoutAShare_AddsNone",
                 "[admission]")
{
  HandleGrant(Answer(Renew(kStart), kStart), kStart);
  const renewal honest = Renew(kStart + 1s);
  const std::int64_t held = honest.rows[0].held.size;
  REQUIRE(held > 0);
  // The parent has no undivided tokens left.
  holding_row& pool = *parent.holdings.Find(IdOfResource(kRate));
  Refill(pool.undivided, kStart + 1s);
  pool.undivided.level = 0;
  renewal wrong = honest;
  wrong.rows[0].returned += 1'000'000;
  parent.renewals.push_back(wrong);
  Tick(parent, kStart + 1s);
  CHECK(ParentHolding().undivided.level == 0);
}

TEST_CASE_METHOD(messages_fixture,
                 "Holding_AfterALapseDuringASuspension_RefillsAtItsFloorSince",
                 "[admission]")
{
  const renewal sent = Renew(kStart);
  grant answer = MakeGrant(sent, 0);
  answer.rows[0].share = { 10'000, 900'000 };
  answer.rows[0].floor = { 1'000, 500'000 };
  answer.rows[0].lasts = 2s;
  answer.rows[0].floorLasts = 1h;
  HandleGrant(answer, kStart);
  Tick(holder, kStart + 12s);
  const auto lapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(LessDrift(2s));
  const std::int64_t before = 10'000 * lapsed.count() / 1000;
  const std::int64_t since = 1'000 * (12'000 - lapsed.count()) / 1000;
  CHECK(Holding().granted == share{ 1'000, 500'000 });
  CHECK(Holding().undivided.level == before + since);
}

TEST_CASE_METHOD(messages_fixture,
                 "Holder_ThatLeaves_ReturnsItsShareAndItsTokens",
                 "[admission]")
{
  HandleGrant(Answer(Renew(kStart), kStart), kStart);
  REQUIRE(ParentHolding().divided.size > 0);
  const std::int64_t inParent = ParentHolding().undivided.level;
  const std::int64_t inHolder = Holding().undivided.level;
  REQUIRE(inHolder > 0);
  escrow_outbox out;
  Leave(holder, kStart + 1ms, out);
  CHECK_FALSE(MayServe(holder.link, kStart + 1ms));
  parent.renewals.push_back(out.renewals.at(0));
  CHECK(Tick(parent, kStart + 1ms).grants.empty());
  CHECK(ParentHolding().divided == share{});
  CHECK(ParentHolding().undivided.level >= inParent + inHolder);
}

TEST_CASE_METHOD(messages_fixture,
                 "Delegate_WhoseShareLapsesSoon_GrantsItNoLongerThanItIsHeld",
                 "[admission]")
{
  parent.settings.isRoot = false;
  holding_row& own = *parent.holdings.Find(IdOfResource(kRate));
  own.lapsesAt = kStart + 1s;
  own.floorLapsesAt = kStart + 1h;
  own.floor = { 1, 1 };
  parent.link.servesUntil = kStart + 1h;
  // Half of the share, more than the floor covers.
  parent.settings.divide = [](const share&, std::span<division_row> aRows) {
    aRows[0].target = { 500, 4000 };
  };
  const grant answer = Answer(Renew(kStart), kStart);
  REQUIRE(answer.rows.size() == 1);
  CHECK(answer.rows[0].lasts <= 1s);
}

TEST_CASE_METHOD(messages_fixture,
                 "Root_WithAnAssumedFloor_GrantsOnlyTheRest",
                 "[admission]")
{
  RecordAssumedShare(
    parent, holder_id{ 9 }, kRate, { 400, 3000 }, kStart + 1h, kStart);
  parent.settings.divide = [](const share&, std::span<division_row> aRows) {
    aRows[0].target = { 1000, 8000 };
  };
  const grant answer = Answer(Renew(kStart), kStart);
  REQUIRE(answer.rows.size() == 1);
  CHECK(answer.rows[0].share == share{ 600, 5000 });
}

TEST_CASE_METHOD(messages_fixture,
                 "Delegate_ThatIsNew_CoversNoRevisionBeforePreviousLeasesEnd",
                 "[admission]")
{
  parent.revision = 4;
  parent.settings.coverageKnownFrom = kStart + 3s;
  CHECK(CoveredRevision(parent, kStart + 2s) == 0);
  CHECK(CoveredRevision(parent, kStart + 3s) == 4);
}

} // namespace
} // namespace bulrush::admission
