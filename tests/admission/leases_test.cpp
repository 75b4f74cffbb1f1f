#include "admission/escrow_world.hpp"

#include <catch2/catch.hpp>

namespace bulrush::admission {
namespace {

using namespace std::chrono_literals;

class leases_fixture
{
public:
  escrow_world world;

  leases_fixture()
  {
    world.SetRateLimit({ 100 * kUnitsPerToken, 200 * kUnitsPerToken });
    world.SetSlotLimit(4);
    world.Advance(6s, {});
  }
  bool AllServe() const
  {
    bool all = true;
    for (int host = 0; host < world.Hosts(); ++host) {
      all = all && world.HostMayServe(host);
    }
    return all;
  }
};

TEST_CASE_METHOD(leases_fixture,
                 "Lease_WhenTheDelegateAnswers_IsHeldByEveryHost",
                 "[admission]")
{
  CHECK(AllServe());
}

TEST_CASE_METHOD(leases_fixture,
                 "Lease_AfterASuspension_IsFoundExpiredBeforeTheNextTick",
                 "[admission]")
{
  const link_row link = world.HostTables(0).link;
  REQUIRE(MayServe(link, world.Now()));
  world.FreezeHost(0, true);
  world.Advance(4s, {});
  CHECK_FALSE(MayServe(link, world.Now()));
  escrow_tables frozen = world.HostTables(0);
  const auto answer =
    ReserveTokens(frozen, IdOf<workspace_id>("almanac"), 1, 0ns, world.Now());
  CHECK(answer.outcome != reserve_outcome::eReserved);
}

TEST_CASE_METHOD(leases_fixture,
                 "Lease_WhenItsHostIsPartitioned_ExpiresWithinThreeSeconds",
                 "[admission]")
{
  world.PartitionHost(0, true);
  world.Advance(3s, {});
  CHECK_FALSE(world.HostMayServe(0));
  CHECK(world.HostMayServe(1));
}

TEST_CASE_METHOD(leases_fixture,
                 "Lease_WhenItsDomainIsPartitioned_IsRenewedUntilTheGraceEnds",
                 "[admission]")
{
  world.PartitionDomain(0, true);
  world.Advance(15s, {});
  CHECK(AllServe());
  world.Advance(6s, {});
  CHECK_FALSE(world.HostMayServe(0));
  CHECK_FALSE(world.HostMayServe(1));
  CHECK(world.HostMayServe(2));
  world.PartitionDomain(0, false);
  world.Advance(3s, {});
  CHECK(AllServe());
}

TEST_CASE_METHOD(leases_fixture,
                 "Lease_WhenCountedByTheHolder_EndsBeforeTheParentsCount",
                 "[admission]")
{
  CHECK(LessDrift(3s) == 2850ms);
  const auto& host = world.HostTables(0);
  const auto& row = world.DelegateTables(0).holders.Rows()[0];
  CHECK(host.link.servesUntil < row.servesUntil);
}

TEST_CASE_METHOD(leases_fixture,
                 "Revision_WhileAPartitionedDomainMayServe_StaysPending",
                 "[admission]")
{
  const auto accepted = CoveredRevision(world.RootTables(), world.Now());
  world.PartitionDomain(0, true);
  world.NewRevision();
  world.Advance(8s, {});
  const auto& root = world.RootTables();
  CHECK(CoveredRevision(root, world.Now()) == accepted);
  const auto behind = HoldersBehind(root, accepted + 1, world.Now());
  REQUIRE(behind.size() == 1);
  CHECK(behind[0].holder == world.DelegateTables(0).link.self);
  world.Advance(behind[0].until - world.Now(), {});
  CHECK(CoveredRevision(root, world.Now()) == accepted + 1);
  CHECK_FALSE(world.HostMayServe(0));
  CHECK(world.Fault().empty());
}

TEST_CASE_METHOD(leases_fixture,
                 "Delegate_WhenReplaced_TakesOverItsHostsWithoutALeaseExpiry",
                 "[admission]")
{
  world.ReplaceDelegate(0);
  world.Advance(4s, {});
  world.MoveHost(0);
  for (int i = 0; i < 40; ++i) {
    world.Advance(100ms, {});
    REQUIRE(AllServe());
  }
  const auto& taken = world.DelegateTables(0);
  CHECK(taken.holders.Size() == 1);
  world.MoveHost(1);
  world.Advance(4s, {});
  CHECK(taken.holders.Size() == 2);
  CHECK(AllServe());
}

TEST_CASE_METHOD(leases_fixture,
                 "FollowParent_WithAnOlderEpoch_ChangesNothing",
                 "[admission]")
{
  escrow_tables host = world.HostTables(0);
  FollowParent(host, 3, parent_succession::eStartsNew);
  FollowParent(host, 2, parent_succession::eStartsNew);
  CHECK(host.link.epoch == 3);
}

} // namespace
} // namespace bulrush::admission
