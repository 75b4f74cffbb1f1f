#include "placement/bench.hpp"
#include "placement/fleet_simulation.hpp"

#include <catch2/catch.hpp>

namespace bulrush::placement {
namespace {

/// Placement of models on engines that execute every order.
struct coverage_fixture
{
  fleet_simulation fleet;

  static model_row Model(std::uint64_t aId, std::uint64_t aGigabytes)
  {
    model_row model;
    model.id = model_id{ aId };
    model.version = 1;
    model.bytes = aGigabytes * kGigabyte;
    return model;
  }

  tables& Leader() { return fleet.replicas[0]; }

  void Declare(std::vector<model_row> aModels)
  {
    fleet.models = std::move(aModels);
    fleet.ApplyManifest();
  }

  void Start(std::vector<model_row> aModels)
  {
    Declare(std::move(aModels));
    fleet.ChangeLeader(0);
  }

  void AddResident(std::size_t aEngine, const model_row& aModel)
  {
    fleet.engines[aEngine].residents[{ aModel.id, {}, aModel.version }] =
      aModel.bytes;
  }

  /// Adds demand of aRate requests/s for aModel from aDomain during aSeconds.
  void ApplyDemand(std::uint64_t aModel,
                   std::uint64_t aDomain,
                   double aRate,
                   std::size_t aSeconds)
  {
    for (std::size_t i = 0; i < aSeconds; ++i) {
      OnDemand(
        Leader(), model_id{ aModel }, domain_id{ aDomain }, aRate, fleet.now);
      fleet.RunWithoutFaults(2);
    }
  }
};

TEST_CASE_METHOD(coverage_fixture,
                 "Coverage_AfterAColdStart_IsCompleteAndPaced",
                 "[placement]")
{
  for (std::uint64_t i = 1; i <= 15; ++i) {
    fleet.AddEngine(i, 1 + i % 3, 24 * kGigabyte, i % 2 == 0);
  }
  std::vector<model_row> models;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    models.push_back(Model(i, 1 + i % 4));
  }
  for (std::uint64_t i = 1; i <= 60; ++i) {
    fleet.adapters.push_back(
      { adapter_id{ i }, model_id{ 1 + i % 20 }, 1, kGigabyte / 8 });
  }
  Start(models);
  fleet.RunWithoutFaults(300);
  for (const model_row& model : models) {
    for (std::uint64_t domain = 1; domain <= 3; ++domain) {
      CHECK(fleet.CopiesOf(model, domain_id{ domain }) == 1);
    }
  }
  for (const adapter_row& adapter : fleet.adapters) {
    CHECK(fleet.CopiesOf(adapter) == 3);
  }
  CHECK(fleet.violations.empty());
  // 60 model loads at 2/s take 30 s, adapters load in parallel; after that,
  // there are no further loads.
  CHECK(fleet.loadSends.size() == 60);
  CHECK(fleet.LoadsAndUnloads() == 60 + 180);
}

TEST_CASE_METHOD(coverage_fixture,
                 "Pacing_OfSlowLoads_KeepsTheNumberAtFullSpeed",
                 "[placement]")
{
  for (std::uint64_t i = 1; i <= 15; ++i) {
    fleet.AddEngine(i, 1 + i % 3, 24 * kGigabyte, true);
  }
  std::vector<model_row> models;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    models.push_back(Model(i, 2));
  }
  Start(models);
  std::size_t mostLoading = 0;
  std::map<order_id, steady_time> firstSeen;
  std::set<order_id> done;
  for (int i = 0; i < 400; ++i) {
    for (simulated_engine& engine : fleet.engines) {
      fleet.reports.push_back(engine.Report());
    }
    while (!fleet.reports.empty()) {
      fleet.DeliverReport(0);
    }
    fleet.Advance(std::chrono::milliseconds{ 250 });
    while (!fleet.proposals.empty()) {
      fleet.CommitOne();
    }
    std::set<order_id> loading;
    for (const copy_in_flight& copy : fleet.copies) {
      if (firstSeen.emplace(copy.order.id, fleet.now).second) {
        OnOrderAccepted(Leader(), copy.order.id, copy.order.incarnation);
      }
      if (copy.order.kind == order_kind::eLoadModel &&
          !done.contains(copy.order.id)) {
        loading.insert(copy.order.id);
      }
    }
    mostLoading = std::max(mostLoading, loading.size());
    // A load takes 8 s: without a limit, 16 would run at once at 2/s.
    while (!fleet.copies.empty() &&
           fleet.now - firstSeen[fleet.copies.front().order.id] >=
             std::chrono::seconds{ 8 }) {
      done.insert(fleet.copies.front().order.id);
      fleet.DeliverCopy(0);
    }
    while (!fleet.answers.empty()) {
      fleet.DeliverAnswer(0);
    }
  }
  CHECK(mostLoading == 9);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(coverage_fixture,
                 "VersionChange_InTightMemory_LoadsNewBeforeUnloadingOld",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 6 * kGigabyte, false);
  fleet.AddEngine(2, 2, 6 * kGigabyte, false);
  Start({ Model(1, 3), Model(2, 3), Model(3, 3) });
  fleet.RunWithoutFaults(80);
  for (model_row& model : fleet.models) {
    model.version = 2;
  }
  fleet.ApplyManifest();
  fleet.RunWithoutFaults(200);
  for (const model_row& model : fleet.models) {
    CHECK(fleet.CopiesOf(model) >= 1);
  }
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(coverage_fixture,
                 "Model_WithRoomOnNoSingleEngine_IsPlacedByMovingAnother",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 6 * kGigabyte, true);
  fleet.AddEngine(2, 1, 6 * kGigabyte, true);
  const std::vector<model_row> held{
    Model(1, 2), Model(2, 2), Model(3, 2), Model(4, 2)
  };
  AddResident(0, held[0]);
  AddResident(0, held[1]);
  AddResident(1, held[2]);
  AddResident(1, held[3]);
  std::vector<model_row> models = held;
  models.push_back(Model(5, 4));
  Start(models);
  fleet.RunWithoutFaults(80);
  for (const model_row& model : models) {
    CHECK(fleet.CopiesOf(model) == 1);
  }
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(coverage_fixture,
                 "Copy_ThatALateUnloadMayRemove_DoesNotCountAsTheLastOne",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 4 * kGigabyte, false);
  fleet.AddEngine(2, 1, 4 * kGigabyte, false);
  const model_row kept = Model(1, 3);
  AddResident(0, kept);
  AddResident(1, kept);
  order_row late;
  late.id = order_id{ 1 };
  late.endpoint = endpoint_id{ 2 };
  late.incarnation = 1;
  late.kind = order_kind::eUnloadModel;
  late.target = { kept.id, {}, kept.version };
  late.state = order_state::eDone;
  Leader().orders.Insert(late);
  Start({ kept, Model(2, 3) });
  fleet.RunWithoutFaults(60);
  CHECK(fleet.engines[0].residents.contains({ model_id{ 1 }, {}, 1 }));
  CHECK(fleet.engines[1].residents.contains({ model_id{ 2 }, {}, 1 }));
}

TEST_CASE_METHOD(coverage_fixture,
                 "DomainTakenOut_WithModelsOnlyThere_GetsThemCopiedElsewhere",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, true);
  fleet.AddEngine(2, 2, 8 * kGigabyte, true);
  const std::vector<model_row> models{ Model(1, 2), Model(2, 2) };
  AddResident(0, models[0]);
  AddResident(0, models[1]);
  Start(models);
  fleet.RunWithoutFaults(2);
  CHECK(ModelsOnlyIn(Leader(), domain_id{ 1 }, fleet.now).size() == 2);
  fleet.TakeOut(domain_id{ 1 }, true);
  fleet.RunWithoutFaults(40);
  CHECK(ModelsOnlyIn(Leader(), domain_id{ 1 }, fleet.now).empty());
  CHECK(fleet.CopiesOf(models[0], domain_id{ 2 }) == 1);
  CHECK(fleet.CopiesOf(models[1], domain_id{ 2 }) == 1);
  // Copies in the domain are kept until it is brought back.
  CHECK(fleet.engines[0].residents.size() == 2);
}

TEST_CASE_METHOD(coverage_fixture,
                 "Engine_AnnouncedInADomainTakenOut_GetsNoLoad",
                 "[placement]")
{
  fleet.TakeOut(domain_id{ 1 }, true);
  fleet.AddEngine(1, 1, 8 * kGigabyte, true);
  Start({ Model(1, 2) });
  fleet.RunWithoutFaults(40);
  CHECK(fleet.engines[0].residents.empty());
}

TEST_CASE_METHOD(coverage_fixture,
                 "Engine_ThatIsDraining_GetsNoLoadAndItsModelsAreCopied",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, true);
  fleet.AddEngine(2, 1, 8 * kGigabyte, true);
  const model_row model = Model(1, 2);
  AddResident(0, model);
  Start({ model });
  OnDraining(Leader(), endpoint_id{ 1 }, true);
  fleet.RunWithoutFaults(40);
  CHECK(fleet.engines[1].residents.size() == 1);
}

TEST_CASE_METHOD(coverage_fixture,
                 "Replicas_OfABusyModel_AreAddedAndSmallSwingsCauseNoLoads",
                 "[placement]")
{
  for (std::uint64_t i = 1; i <= 3; ++i) {
    fleet.AddEngine(i, 1, 4 * kGigabyte, true);
  }
  std::vector<model_row> models{ Model(1, 2), Model(2, 2), Model(3, 2) };
  for (model_row& model : models) {
    model.copyRate = 10;
  }
  Start(models);
  fleet.RunWithoutFaults(40);
  ApplyDemand(1, 1, 25, 180);
  CHECK(fleet.CopiesOf(models[0]) >= 3);
  CHECK(fleet.CopiesOf(models[1]) == 1);
  const std::uint64_t loadsAndUnloads = fleet.LoadsAndUnloads();
  for (int i = 0; i < 10; ++i) {
    ApplyDemand(1, 1, 24, 10);
    ApplyDemand(1, 1, 28, 10);
  }
  CHECK(fleet.LoadsAndUnloads() == loadsAndUnloads);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(coverage_fixture,
                 "Replica_WithAScoreLittleHigher_DoesNotEvictAnother",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 2 * kGigabyte, true);
  fleet.AddEngine(2, 1, 2 * kGigabyte, true);
  fleet.AddEngine(3, 1, 2 * kGigabyte, true);
  std::vector<model_row> models{ Model(1, 2), Model(2, 2) };
  for (model_row& model : models) {
    model.copyRate = 10;
  }
  Start(models);
  fleet.RunWithoutFaults(40);
  ApplyDemand(1, 1, 15, 240);
  REQUIRE(fleet.CopiesOf(models[0]) == 2);
  const std::uint64_t loadsAndUnloads = fleet.LoadsAndUnloads();
  for (int i = 0; i < 240; ++i) {
    ApplyDemand(1, 1, 15, 1);
    ApplyDemand(2, 1, 20, 1);
  }
  CHECK(fleet.LoadsAndUnloads() == loadsAndUnloads);
}

TEST_CASE_METHOD(coverage_fixture,
                 "Replicas_WhenDemandChangesTenfold_FollowIt",
                 "[placement]")
{
  for (std::uint64_t i = 1; i <= 3; ++i) {
    fleet.AddEngine(i, 1, 4 * kGigabyte, true);
  }
  std::vector<model_row> models{ Model(1, 2), Model(2, 2) };
  for (model_row& model : models) {
    model.copyRate = 10;
  }
  Start(models);
  fleet.RunWithoutFaults(40);
  ApplyDemand(1, 1, 30, 240);
  REQUIRE(fleet.CopiesOf(models[0]) == 3);
  for (int i = 0; i < 600; ++i) {
    ApplyDemand(1, 1, 3, 1);
    ApplyDemand(2, 1, 60, 1);
  }
  CHECK(fleet.CopiesOf(models[1]) == 3);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(coverage_fixture,
                 "Score_LeastRecentlyUsed_PrefersTheModelUsedLast",
                 "[placement]")
{
  const placement_score score = LeastRecentlyUsedScore();
  const model_row model = Model(1, 2);
  const steady_time now = fleet.now;
  const demand_row late{ demand_id{ 1 }, model.id, domain_id{ 1 }, 1, now };
  demand_row early = late;
  early.updated = now - std::chrono::minutes{ 1 };
  CHECK(score(model, &late, 1, now) > score(model, &early, 1, now));
  CHECK(score(model, &early, 1, now) > score(model, nullptr, 1, now));
  CHECK(score(model, &late, 2, now) == 0);
}

TEST_CASE_METHOD(coverage_fixture,
                 "Score_ByDemand_PrefersRateShortDeadlinesAndFewCopies",
                 "[placement]")
{
  const placement_score score = DemandScore(std::chrono::seconds{ 60 });
  model_row model = Model(1, 2);
  const steady_time now = fleet.now;
  const demand_row busy{ demand_id{ 1 }, model.id, domain_id{ 1 }, 10, now };
  const double once = score(model, &busy, 1, now);
  CHECK(once > score(model, &busy, 2, now));
  CHECK(score(model, &busy, 1, now + std::chrono::seconds{ 60 }) ==
        Approx(once / 2));
  model.deadline /= 2;
  CHECK(score(model, &busy, 1, now) == Approx(once * 2));
  CHECK(score(model, nullptr, 1, now) == 0);
}

TEST_CASE_METHOD(coverage_fixture,
                 "Manifest_ThatDoesNotFit_IsRefusedWithTheModelAndItsBytes",
                 "[placement]")
{
  std::vector<engine_row> engines(2);
  engines[0].memoryBytes = 6 * kGigabyte;
  engines[1].memoryBytes = 6 * kGigabyte;
  last_reason reason;
  const std::vector<model_row> holds{ Model(1, 3), Model(2, 3), Model(3, 3) };
  const auto fits = FitsWithVersionChange(engines, holds, {}, reason);
  REQUIRE(fits.has_value());
  CHECK(fits->largestFreeBytes == 3 * kGigabyte);
  const std::vector<model_row> full{
    Model(1, 3), Model(2, 3), Model(3, 3), Model(4, 3)
  };
  CHECK_FALSE(FitsWithVersionChange(engines, full, {}, reason).has_value());
  CHECK(Describe(reason).find("3221225472") != std::string::npos);
  const std::vector<model_row> large{ Model(9, 7) };
  CHECK_FALSE(FitsWithVersionChange(engines, large, {}, reason).has_value());
  CHECK(reason.peer == "9");
  std::vector<model_row> twice{ Model(1, 2) };
  twice[0].minimumCopies = 3;
  CHECK_FALSE(FitsWithVersionChange(engines, twice, {}, reason).has_value());
  engines[1].isTakenOut = true;
  CHECK_FALSE(FitsWithVersionChange(engines, holds, {}, reason).has_value());
}

TEST_CASE_METHOD(coverage_fixture,
                 "Round_OfTheBenchmark_DecidesTheSameEachTime",
                 "[placement]")
{
  const bench_result first = BenchPlacementRounds(20, 60, 40);
  const bench_result second = BenchPlacementRounds(20, 60, 40);
  CHECK(first.orders > 60);
  CHECK(first.signature == second.signature);
}

} // namespace
} // namespace bulrush::placement
