#include "entry/stop.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

using std::chrono::milliseconds;

struct stop_plan_fixture
{
  const steady_time kSignal = steady_time{} + std::chrono::hours{ 1 };
};

TEST_CASE_METHOD(stop_plan_fixture,
                 "StopPlan_ForAnyDelayAndGrace_KeepsItsOrderWithinTheGrace",
                 "[entry]")
{
  const milliseconds delay{ GENERATE(0, 1'000, 2'500, 600'000) };
  const milliseconds grace{ GENERATE(1'000, 4'000, 8'000, 30'000) };
  const stop_plan plan = PlanStop(kSignal, delay, grace);
  CHECK(plan.refuseAt <= kSignal + delay);
  CHECK(plan.refuseAt <= plan.placeBy);
  CHECK(plan.placeBy <= plan.finishBy);
  CHECK(plan.finishBy < plan.exitBy);
  CHECK(plan.exitBy < kSignal + grace);
}

TEST_CASE_METHOD(stop_plan_fixture,
                 "StopPlan_Finish_IsInTheLastSixthOfTheGrace",
                 "[entry]")
{
  const milliseconds grace{ GENERATE(1'000, 8'000, 30'000) };
  const stop_plan plan = PlanStop(kSignal, milliseconds{ 0 }, grace);
  CHECK(plan.finishBy > kSignal + grace - grace / 6);
}

} // namespace
} // namespace bulrush::entry
