#include "placement/fleet_simulation.hpp"

#include <catch2/catch.hpp>
#include <ostream>
#include <rapidcheck.h>

namespace bulrush::placement {
namespace {

/// Kinds of random steps.
enum class step_kind
{
  eControl, ///< control works, order copies and answers stay in flight
  eAdvance,
  eAdvanceFar,
  eCommit,
  eLoseProposal,
  eDeliverCopy,
  eLoseCopy,
  eDeliverAnswer,
  eLoseAnswer,
  eReport,
  eDeliverReport,
  eLoseReport,
  eDeliverAll,
  eRestartEngine,
  eChangeLeader,
  eChangeManifest,
  eTakeOut,
  eBringBack,
  eDemand,
};

/// One random step; `detail` selects the message, engine or model.
struct random_step
{
  step_kind kind = step_kind::eControl;
  std::uint32_t detail = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const random_step& aStep)
{
  return aOut << static_cast<int>(aStep.kind) << ':' << aStep.detail;
}

struct orders_fuzz_fixture
{
  static constexpr std::uint64_t kModels = 8;
  static constexpr std::uint64_t kAdapters = 4;
  static constexpr std::uint64_t kDomains = 3;

  /// Six engines in three failure domains; half of them check fencing unless
  /// aAllIgnoreFencing.
  static fleet_simulation Fleet(std::uint64_t aMemory, bool aAllIgnoreFencing)
  {
    fleet_simulation fleet;
    for (std::uint64_t i = 1; i <= 6; ++i) {
      fleet.AddEngine(
        i, 1 + i % kDomains, aMemory, !aAllIgnoreFencing && i % 2 == 0);
    }
    for (tables& replica : fleet.replicas) {
      replica.options.copyLifetime = std::chrono::milliseconds::max();
      replica.options.failureBackoff = std::chrono::milliseconds{ 1000 };
      replica.options.minimumResidence = std::chrono::milliseconds{ 5000 };
    }
    for (std::uint64_t i = 1; i <= kModels; ++i) {
      fleet.models.push_back(ModelOf(i, 1));
    }
    for (std::uint64_t i = 1; i <= kAdapters; ++i) {
      fleet.adapters.push_back(
        { adapter_id{ i }, model_id{ 1 + i % 2 }, 1, kGigabyte / 4 });
    }
    fleet.ApplyManifest();
    fleet.ChangeLeader(0);
    return fleet;
  }

  static model_row ModelOf(std::uint64_t aId, std::uint64_t aVersion)
  {
    model_row model;
    model.id = model_id{ aId };
    model.version = aVersion;
    model.bytes = (1 + aId % 4) * kGigabyte;
    model.copyRate = 5;
    return model;
  }

  /// Declares, withdraws or changes the version of one model.
  static void ChangeManifest(fleet_simulation& aFleet, std::uint32_t aRandom)
  {
    const model_id target{ 1 + aRandom % kModels };
    const auto found = std::ranges::find(aFleet.models, target, &model_row::id);
    if (found == aFleet.models.end()) {
      aFleet.models.push_back(ModelOf(target.value, 1 + aRandom % 3));
    } else if (aRandom % 3 == 0) {
      aFleet.models.erase(found);
      aFleet.exemptFromLossCheck.insert(target);
    } else {
      ++found->version;
    }
    aFleet.ApplyManifest();
  }

  static void TakeOut(fleet_simulation& aFleet, std::uint32_t aRandom)
  {
    if (aFleet.takenOut.empty()) {
      const domain_id domain{ 1 + aRandom % kDomains };
      for (const simulated_engine& engine : aFleet.engines) {
        for (const auto& [what, bytes] : engine.residents) {
          if (engine.domain == domain) {
            aFleet.exemptFromLossCheck.insert(what.model);
          }
        }
      }
      aFleet.TakeOut(domain, true);
    }
  }

  static void BringBack(fleet_simulation& aFleet)
  {
    if (!aFleet.takenOut.empty()) {
      aFleet.TakeOut(*aFleet.takenOut.begin(), false);
    }
  }

  template<class row>
  static void DropOne(std::vector<row>& aRows, std::uint32_t aRandom)
  {
    if (!aRows.empty()) {
      aRows.erase(aRows.begin() +
                  static_cast<std::ptrdiff_t>(aRandom % aRows.size()));
    }
  }

  /// Delivers reports and commits; orders and their answers stay in flight.
  static void ControlStep(fleet_simulation& aFleet, std::uint32_t aDetail)
  {
    for (simulated_engine& engine : aFleet.engines) {
      aFleet.reports.push_back(engine.Report());
    }
    while (!aFleet.reports.empty()) {
      aFleet.DeliverReport(0);
    }
    aFleet.Advance(std::chrono::milliseconds{ 100 + aDetail % 500 });
    while (!aFleet.proposals.empty()) {
      aFleet.CommitOne();
    }
    aFleet.Tick();
  }

  static void ApplyStep(fleet_simulation& aFleet, const random_step& aStep)
  {
    const std::uint32_t detail = aStep.detail;
    switch (aStep.kind) {
      case step_kind::eControl:
        ControlStep(aFleet, detail);
        break;
      case step_kind::eAdvance:
        aFleet.Advance(std::chrono::milliseconds{ 1 + detail % 700 });
        break;
      case step_kind::eAdvanceFar:
        aFleet.Advance(std::chrono::milliseconds{ 1000 + detail % 4000 });
        break;
      case step_kind::eCommit:
        aFleet.CommitOne();
        break;
      case step_kind::eLoseProposal:
        aFleet.LoseProposal();
        break;
      case step_kind::eDeliverCopy:
        aFleet.DeliverCopy(detail);
        break;
      case step_kind::eLoseCopy:
        DropOne(aFleet.copies, detail);
        break;
      case step_kind::eDeliverAnswer:
        aFleet.DeliverAnswer(detail);
        break;
      case step_kind::eLoseAnswer:
        DropOne(aFleet.answers, detail);
        break;
      case step_kind::eReport:
        for (simulated_engine& engine : aFleet.engines) {
          aFleet.reports.push_back(engine.Report());
        }
        break;
      case step_kind::eDeliverReport:
        aFleet.DeliverReport(detail);
        break;
      case step_kind::eLoseReport:
        DropOne(aFleet.reports, detail);
        break;
      case step_kind::eDeliverAll:
        aFleet.RunWithoutFaults(1 + detail % 8);
        break;
      case step_kind::eRestartEngine:
        aFleet.RestartEngine(detail);
        break;
      case step_kind::eChangeLeader:
        aFleet.ChangeLeader(detail);
        break;
      case step_kind::eChangeManifest:
        ChangeManifest(aFleet, detail);
        break;
      case step_kind::eTakeOut:
        TakeOut(aFleet, detail);
        break;
      case step_kind::eBringBack:
        BringBack(aFleet);
        break;
      case step_kind::eDemand:
        OnDemand(aFleet.replicas[aFleet.leader],
                 model_id{ 1 + detail % kModels },
                 domain_id{ 1 + detail % kDomains },
                 500,
                 aFleet.now);
        break;
    }
  }

  static void Check(const fleet_simulation& aFleet)
  {
    if (!aFleet.violations.empty()) {
      RC_FAIL(aFleet.violations.front());
    }
  }

  /// Delivers all messages in flight, then lets the lifetime of every order
  /// copy end.
  static void EndFaults(fleet_simulation& aFleet)
  {
    BringBack(aFleet);
    aFleet.RunWithoutFaults(40);
    for (tables& replica : aFleet.replicas) {
      replica.options.copyLifetime = std::chrono::milliseconds{ 5000 };
    }
    aFleet.RunWithoutFaults(400);
  }

  static std::vector<random_step> History()
  {
    using enum step_kind;
    const auto kind = rc::gen::weightedElement<step_kind>({
      { 30, eControl },       { 8, eAdvance },        { 2, eAdvanceFar },
      { 6, eCommit },         { 2, eLoseProposal },   { 25, eDeliverCopy },
      { 6, eLoseCopy },       { 15, eDeliverAnswer }, { 6, eLoseAnswer },
      { 4, eReport },         { 12, eDeliverReport }, { 4, eLoseReport },
      { 1, eDeliverAll },     { 1, eRestartEngine },  { 2, eChangeLeader },
      { 3, eChangeManifest }, { 1, eTakeOut },        { 1, eBringBack },
      { 2, eDemand },
    });
    const auto detail = rc::gen::resize(
      100, rc::gen::inRange<std::uint32_t>(0, std::uint32_t{ 1 } << 20U));
    return *rc::gen::container<std::vector<random_step>>(
      600,
      rc::gen::build<random_step>(rc::gen::set(&random_step::kind, kind),
                                  rc::gen::set(&random_step::detail, detail)));
  }
};

TEST_CASE_METHOD(orders_fuzz_fixture,
                 "Orders_UnderFaultsWithScarceMemory_NeverOvercommitAnEngine",
                 "[placement][fuzz]")
{
  const bool holds = rc::check("scarce memory", [] {
    const bool ignoreFencing = *rc::gen::arbitrary<bool>();
    fleet_simulation fleet = Fleet(7 * kGigabyte, ignoreFencing);
    fleet.RunWithoutFaults(*rc::gen::inRange<std::size_t>(0, 60));
    for (const random_step& step : History()) {
      ApplyStep(fleet, step);
      Check(fleet);
    }
    EndFaults(fleet);
    Check(fleet);
    last_reason reason;
    std::vector<engine_row> rows;
    for (const engine_row& row : fleet.replicas[0].engines) {
      rows.push_back(row);
    }
    RC_ASSERT(FitsWithVersionChange(rows, fleet.models, fleet.adapters, reason)
                .has_value());
    for (const model_row& model : fleet.models) {
      RC_ASSERT(fleet.CopiesOf(model) >= 1U);
    }
  });
  CHECK(holds);
}

TEST_CASE_METHOD(orders_fuzz_fixture,
                 "Coverage_WhenFaultsEndWithAmpleMemory_IsReachedInEachDomain",
                 "[placement][fuzz]")
{
  const bool holds = rc::check("ample memory", [] {
    const bool ignoreFencing = *rc::gen::arbitrary<bool>();
    fleet_simulation fleet = Fleet(24 * kGigabyte, ignoreFencing);
    for (const random_step& step : History()) {
      ApplyStep(fleet, step);
      Check(fleet);
    }
    EndFaults(fleet);
    Check(fleet);
    for (const model_row& model : fleet.models) {
      for (std::uint64_t domain = 1; domain <= kDomains; ++domain) {
        RC_ASSERT(fleet.CopiesOf(model, domain_id{ domain }) >= 1U);
      }
    }
    for (const adapter_row& adapter : fleet.adapters) {
      const bool isBaseDeclared =
        std::ranges::find(fleet.models, adapter.model, &model_row::id) !=
        fleet.models.end();
      RC_ASSERT(!isBaseDeclared || fleet.CopiesOf(adapter) >= 1U);
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace bulrush::placement
