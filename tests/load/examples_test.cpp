#include "load/load.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

namespace bulrush::load {
namespace {

struct example_fixture
{
  std::vector<manifest_fault> faults;

  static std::string Read(const std::string& aName)
  {
    std::ifstream stream(std::string(BULRUSH_EXAMPLES) + "/" + aName);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
  }

  load_plan Load(const std::string& aFolder, const std::string& aName)
  {
    const auto declared =
      ParseManifest(Read(aFolder + "/manifest.json"), faults);
    INFO(Describe(faults));
    REQUIRE(declared.has_value());
    auto plan = ParseLoadPlan(Read(aFolder + "/" + aName), *declared, faults);
    INFO(Describe(faults));
    REQUIRE(plan.has_value());
    return *plan;
  }

  static std::uint64_t CountBeyondRate(const load_plan& aPlan,
                                       const char* aWorkspace)
  {
    std::uint64_t count = 0;
    for (const planned_request& each : PlanRequests(aPlan)) {
      const bool isCounted = each.workspace == IdOf<workspace_id>(aWorkspace);
      count += isCounted && !each.isWithinRate ? 1 : 0;
    }
    return count;
  }
};

TEST_CASE_METHOD(example_fixture,
                 "PressExample_AtFullSize_SendsOneDealerBeyondItsRate",
                 "[load]")
{
  const load_plan plan = Load("press", "friday.json");
  CHECK(plan.declared.models.Size() == 20);
  CHECK(plan.declared.adapters.Size() == 60);
  CHECK(plan.declared.workspaces.Size() == 5);
  CHECK(plan.declared.domains.Size() == 3);
  CHECK(plan.declared.goal == policy_goal::eWorstWorkspace);
  CHECK(CountBeyondRate(plan, "dealer-north") > 100);
  CHECK(CountBeyondRate(plan, "village-school") == 0);
}

TEST_CASE_METHOD(example_fixture,
                 "GuanteraExample_AtFullSize_SendsOneWorkspaceBeyondItsRate",
                 "[load]")
{
  const load_plan plan = Load("guantera", "friday.json");
  CHECK(plan.declared.models.Size() == 25);
  CHECK(plan.declared.adapters.Size() == 100);
  CHECK(plan.declared.workspaces.Size() == 5);
  CHECK(plan.declared.domains.Size() == 3);
  CHECK(plan.declared.goal == policy_goal::eAttainment);
  CHECK(CountBeyondRate(plan, "federation") > 100);
  CHECK(CountBeyondRate(plan, "sanctuary") == 0);
}

TEST_CASE_METHOD(example_fixture,
                 "DemoExample_AsShipped_StaysWithinEveryRate",
                 "[load]")
{
  const load_plan plan = Load("demo", "load.json");
  CHECK(PlanRequests(plan).size() > 100);
  CHECK(CountBeyondRate(plan, "dealer") == 0);
  CHECK(CountBeyondRate(plan, "school") == 0);
}

} // namespace
} // namespace bulrush::load
