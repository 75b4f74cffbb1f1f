#include "admission/escrow_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace bulrush::admission {
namespace {

using namespace std::chrono_literals;

const resource kRate = RateOf(IdOf<workspace_id>("almanac"));

class allotments_fixture
{
public:
  escrow_world world;

  allotments_fixture()
  {
    world.SetRateLimit({ 100 * kUnitsPerToken, 400 * kUnitsPerToken });
    world.SetSlotLimit(8);
    world.Advance(6s, {});
  }
  static share HeldBy(const escrow_tables& aTables)
  {
    const auto* holding = aTables.holdings.Find(IdOfResource(kRate));
    return holding == nullptr ? share{} : holding->granted;
  }
  std::int64_t SpentWithin(std::chrono::nanoseconds aTime)
  {
    const std::int64_t before = world.Spent();
    world.Advance(aTime, {});
    return world.Spent() - before;
  }
};

TEST_CASE_METHOD(allotments_fixture,
                 "Shares_WhenOneHostHasAllTheDemand_MoveToThatHost",
                 "[admission]")
{
  world.SetGreedy(0, true);
  world.Advance(6s, {});
  // All but the floor of the other domain and a little for the idle hosts.
  CHECK(HeldBy(world.HostTables(0)).rate >= 60 * kUnitsPerToken);
  CHECK(world.WorstExcess() == 0);
}

TEST_CASE_METHOD(allotments_fixture,
                 "Shares_WhenAllHostsAreGreedy_AreNearlyEqual",
                 "[admission]")
{
  for (int host = 0; host < world.Hosts(); ++host) {
    world.SetGreedy(host, true);
  }
  world.Advance(20s, {});
  for (int host = 0; host < world.Hosts(); ++host) {
    CHECK(HeldBy(world.HostTables(host)).rate >= 20 * kUnitsPerToken);
    CHECK(HeldBy(world.HostTables(host)).rate <= 30 * kUnitsPerToken);
  }
}

TEST_CASE_METHOD(allotments_fixture,
                 "Shares_WhenADomainIsPartitioned_ShrinkToItsFloorAndNoFurther",
                 "[admission]")
{
  for (int host = 0; host < world.Hosts(); ++host) {
    world.SetGreedy(host, true);
  }
  world.PartitionDomain(0, true);
  world.Advance(12s, {});
  const share cut = HeldBy(world.HostTables(0)) + HeldBy(world.HostTables(1));
  // Half of the limit is granted as floors of two domains.
  CHECK(cut.rate <= 25 * kUnitsPerToken);
  CHECK(cut.rate >= 20 * kUnitsPerToken);
  const share rest = HeldBy(world.HostTables(2)) + HeldBy(world.HostTables(3));
  CHECK(rest.rate >= 60 * kUnitsPerToken);
  CHECK(world.WorstExcess() == 0);
}

TEST_CASE_METHOD(allotments_fixture,
                 "Limit_WhenLowered_AppliesToReachableHostsWithinSeconds",
                 "[admission]")
{
  for (int host = 0; host < world.Hosts(); ++host) {
    world.SetGreedy(host, true);
  }
  world.Advance(10s, {});
  world.SetRateLimit({ 10 * kUnitsPerToken, 20 * kUnitsPerToken });
  world.Advance(4s, {});
  CHECK(SpentWithin(10s) <= (10 * 10 + 20) * kUnitsPerToken);
}

TEST_CASE_METHOD(allotments_fixture,
                 "Host_WhenRestarted_StartsWithoutAShare",
                 "[admission]")
{
  world.SetGreedy(0, true);
  world.Advance(5s, {});
  REQUIRE(HeldBy(world.HostTables(0)).rate > 0);
  world.PartitionHost(0, true);
  world.CrashHost(0);
  const std::size_t admitted = world.Admitted();
  world.Advance(10s, {});
  CHECK(world.Admitted() == admitted);
}

TEST_CASE_METHOD(allotments_fixture,
                 "Root_WhenReplaced_KeepsTheShares",
                 "[admission]")
{
  for (int host = 0; host < world.Hosts(); ++host) {
    world.SetGreedy(host, true);
  }
  world.Advance(10s, {});
  world.ReplaceRoot();
  // The unused part of a request is refunded after up to 4 s.
  CHECK(SpentWithin(10s) >= 850 * kUnitsPerToken);
  CHECK(world.WorstExcess() == 0);
}

TEST_CASE_METHOD(allotments_fixture,
                 "Slots_WhenTheEndpointHasANewIncarnation_AreVoid",
                 "[admission]")
{
  world.SetSlotDemand(0, true);
  world.Advance(3s, {});
  REQUIRE(world.SlotsTaken() > 0);
  escrow_tables host = world.HostTables(0);
  const auto endpoint = IdOf<endpoint_id>("draft-1");
  const steady_time now = world.Now();
  CHECK_FALSE(AcquireSlot(host, endpoint, 2, now + 1s, now));
}

TEST_CASE_METHOD(allotments_fixture,
                 "Slot_ForAnAttemptThatOutlivesItsRecord_IsRefused",
                 "[admission]")
{
  world.SetSlotDemand(0, true);
  world.Advance(3s, {});
  world.SetSlotDemand(0, false);
  world.Advance(500ms, {});
  escrow_tables host = world.HostTables(0);
  const auto endpoint = IdOf<endpoint_id>("draft-1");
  const steady_time now = world.Now();
  CHECK_FALSE(AcquireSlot(host, endpoint, 1, now + 6s, now));
}

TEST_CASE_METHOD(allotments_fixture,
                 "Ids_OfNeighbouringHoldersAndIncarnations_Differ",
                 "[admission]")
{
  std::vector<process_id> ids;
  for (std::uint64_t holder = 1; holder <= 64; ++holder) {
    for (std::uint64_t incarnation = 1; incarnation <= 64; ++incarnation) {
      ids.push_back(ProcessOf(holder_id{ holder }, incarnation));
    }
  }
  std::ranges::sort(ids);
  CHECK(std::ranges::adjacent_find(ids) == ids.end());
}

TEST_CASE_METHOD(allotments_fixture,
                 "Division_OfAnyDemand_NeverExceedsTheTotal",
                 "[admission][fuzz]")
{
  rc::prop("targets add up to the total at most", [] {
    const share total{ *rc::gen::inRange<std::int64_t>(0, 5000),
                       *rc::gen::inRange<std::int64_t>(0, 5000) };
    std::vector<division_row> rows(*rc::gen::inRange<std::size_t>(1, 12));
    for (division_row& row : rows) {
      row.held = { *rc::gen::inRange<std::int64_t>(0, 2000),
                   *rc::gen::inRange<std::int64_t>(0, 2000) };
      row.demand = { *rc::gen::inRange<std::int64_t>(0, 4000),
                     *rc::gen::inRange<std::int64_t>(0, 4000) };
    }
    for (const division_rule& rule :
         { division_rule{ DivideByDemand }, division_rule{ DivideEqually } }) {
      rule(total, rows);
      share sum;
      for (const division_row& row : rows) {
        sum = sum + row.target;
      }
      RC_ASSERT(Fits(sum, total));
    }
  });
}

} // namespace
} // namespace bulrush::admission
