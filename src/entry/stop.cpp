#include "entry/stop.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

/// This fraction of the grace is kept for the last answers and the exit.
constexpr int kFinishDivisor = 10;
/// The same for the exit alone.
constexpr int kExitDivisor = 25;
constexpr std::chrono::milliseconds kPlacementTimeout{ 500 };

} // namespace

stop_plan
PlanStop(steady_time aSignalledAt,
         std::chrono::milliseconds aDelay,
         std::chrono::milliseconds aGrace)
{
  const steady_time end = aSignalledAt + aGrace;
  stop_plan plan;
  plan.finishBy = end - aGrace / kFinishDivisor;
  plan.exitBy = end - aGrace / kExitDivisor;
  plan.refuseAt = std::min(aSignalledAt + aDelay, plan.finishBy);
  plan.placeBy = std::min(plan.refuseAt + kPlacementTimeout, plan.finishBy);
  return plan;
}

} // namespace bulrush::entry
