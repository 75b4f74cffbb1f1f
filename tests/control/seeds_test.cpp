#include "control/tables.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// A control process whose leader is lost.
struct seeds_fixture
{
  control_tables tables;
  std::string leader = "10.0.0.2:7100";
  steady_time now{ std::chrono::hours{ 1 } };

  seeds_fixture()
  {
    tables.self.name = "10.0.0.1:7100";
    tables.replicated = std::make_unique<log_tables>();
    tables.replicated->hasDynamicMembers = true;
    tables.log.leaderName = [this] { return leader; };
  }

  bool ReadsSeeds()
  {
    control_outbox out;
    RunSeeds(tables, now, out);
    CHECK(out.wake.at > now);
    return out.readsSeeds;
  }

  std::vector<wire::control_address> LinksAfter(
    const std::vector<wire::control_address>& aSeeds)
  {
    control_outbox out;
    HandleSeeds(tables, aSeeds, now, out);
    return out.links;
  }
};

TEST_CASE_METHOD(seeds_fixture,
                 "Seeds_WithoutALeaderForASecond_AreReadOnceASecond",
                 "[control]")
{
  CHECK_FALSE(ReadsSeeds());
  leader.clear();
  now += milliseconds{ 999 };
  CHECK_FALSE(ReadsSeeds());
  now += milliseconds{ 1 };
  CHECK(ReadsSeeds());
  CHECK_FALSE(ReadsSeeds());
  now += milliseconds{ 1'000 };
  CHECK(ReadsSeeds());
}

TEST_CASE_METHOD(seeds_fixture,
                 "Seeds_AfterASignal_AreReadOnceAtOnce",
                 "[control]")
{
  CHECK_FALSE(ReadsSeeds());
  tables.replicated->hasNewSeeds = true;
  CHECK(ReadsSeeds());
  CHECK_FALSE(ReadsSeeds());
}

// Guards against a control process that knows only addresses that are gone.
TEST_CASE_METHOD(seeds_fixture,
                 "Seeds_ThatAreNewAndNotItself_AreConnectedOnce",
                 "[control]")
{
  const std::vector<wire::control_address> seeds{
    { "10.0.0.1:7100", "10.0.0.1:7100" }, { "10.0.0.7:7100", "10.0.0.7:7100" }
  };
  const auto links = LinksAfter(seeds);
  REQUIRE(links.size() == 1);
  CHECK(links.front().address == "10.0.0.7:7100");
  CHECK(tables.replicated->known.Find(IdOf<replica_id>("10.0.0.7:7100")) !=
        nullptr);
  CHECK(LinksAfter(seeds).empty());
  CHECK(LinksAfter({}).empty());
}

} // namespace
} // namespace bulrush::control
