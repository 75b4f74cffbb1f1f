// Replicas by demand: scores, and copies beyond coverage.

#include "placement/systems.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::placement {

namespace {

constexpr std::chrono::milliseconds kReferenceDeadline{ 1000 };
constexpr std::uint64_t kScoreUnitBytes = std::uint64_t{ 1 } << 30U;
/// Demand rows with a lower rate are erased, in requests/s.
constexpr double kMinRate = 1e-4;

} // namespace

double
RateAt(const demand_row& aDemand,
       std::chrono::nanoseconds aHalfLife,
       steady_time aNow)
{
  const double age = std::chrono::duration<double>(aNow - aDemand.updated) /
                     std::chrono::duration<double>(aHalfLife);
  return aDemand.rate * std::exp2(-std::max(age, 0.0));
}

demand_id
DemandId(model_id aModel, domain_id aDomain)
{
  const std::uint64_t mixed =
    (aModel.value * 0x9E3779B97F4A7C15ULL) ^ aDomain.value;
  return demand_id{ mixed == 0 ? 1 : mixed };
}

placement_score
DemandScore(std::chrono::nanoseconds aHalfLife)
{
  return [aHalfLife](const model_row& aModel,
                     const demand_row* aDemand,
                     std::size_t aCopies,
                     steady_time aNow) {
    if (aDemand == nullptr || aModel.bytes == 0) {
      return 0.0;
    }
    const double urgency = std::chrono::duration<double>(kReferenceDeadline) /
                           std::chrono::duration<double>(std::max(
                             aModel.deadline, std::chrono::milliseconds{ 1 }));
    const double units =
      static_cast<double>(aModel.bytes) / static_cast<double>(kScoreUnitBytes);
    const auto copies = static_cast<double>(std::max<std::size_t>(aCopies, 1));
    return RateAt(*aDemand, aHalfLife, aNow) * urgency / copies / units;
  };
}

placement_score
LeastRecentlyUsedScore()
{
  return [](const model_row&,
            const demand_row* aDemand,
            std::size_t aCopies,
            steady_time aNow) {
    if (aDemand == nullptr || aCopies > 1) {
      return 0.0;
    }
    const double idle =
      std::chrono::duration<double>(aNow - aDemand->updated).count();
    return 1.0 / (1.0 + std::max(idle, 0.0));
  };
}

double
ScoreOf(const tables& aTables,
        const model_row& aModel,
        domain_id aDomain,
        std::size_t aCopies,
        steady_time aNow)
{
  return aTables.score(
    aModel, aTables.demand.Find(DemandId(aModel.id, aDomain)), aCopies, aNow);
}

// n requests add n * ln 2 / half-life to the rate, so that the integral of the
// decaying rate is n.
void
OnDemand(tables& aTables,
         model_id aModel,
         domain_id aDomain,
         double aRequests,
         steady_time aNow)
{
  const demand_id id = DemandId(aModel, aDomain);
  demand_row* row = aTables.demand.Find(id);
  if (row == nullptr) {
    row = &aTables.demand.Insert({ id, aModel, aDomain, 0, aNow });
  }
  const auto halfLife = aTables.options.demandHalfLife;
  row->rate =
    RateAt(*row, halfLife, aNow) +
    aRequests * std::log(2.0) / std::chrono::duration<double>(halfLife).count();
  row->updated = aNow;
}

// Hysteresis: a copy is added when demand exceeds targetUtilization of the
// copies' capacity, and evicted only for a copy with evictionFactor times its
// score, so that demand oscillating around a threshold causes no loads.
void
AddReplicas(tables& aTables, steady_time aNow, outbox&)
{
  if (!aTables.leader.isPlanning) {
    return;
  }
  const auto halfLife = aTables.options.demandHalfLife;
  aTables.demand.EraseIf([&](const demand_row& aRow) {
    return RateAt(aRow, halfLife, aNow) < kMinRate;
  });
  struct candidate
  {
    double score;
    std::size_t model;
    std::size_t domain;
  };
  std::vector<candidate> candidates;
  const fleet_view& view = aTables.view;
  for (const demand_row& demand : aTables.demand) {
    const auto position = PositionOf(aTables, demand.model);
    const auto domain = std::ranges::find(view.domains, demand.domain);
    if (!position || domain == view.domains.end()) {
      continue;
    }
    const auto inDomain =
      static_cast<std::size_t>(domain - view.domains.begin());
    const model_row& model = aTables.models.Rows()[*position];
    const std::size_t copies =
      view.modelsInDomain[*position * view.domains.size() + inDomain];
    const double capacity = model.copyRate * static_cast<double>(copies);
    if (copies == 0 || model.copyRate <= 0 ||
        RateAt(demand, halfLife, aNow) <=
          aTables.options.targetUtilization * capacity) {
      continue;
    }
    candidates.push_back(
      { ScoreOf(aTables, model, demand.domain, copies + 1, aNow),
        *position,
        inDomain });
  }
  std::ranges::sort(
    candidates, [](const candidate& aLeft, const candidate& aRight) {
      return aLeft.score != aRight.score ? aLeft.score > aRight.score
                                         : aLeft.model < aRight.model;
    });
  for (const candidate& chosen : candidates) {
    if (!HasLoadSlot(aTables, order_kind::eLoadModel, aNow)) {
      return;
    }
    if (view.idleInDomain[chosen.domain] == 0) {
      continue;
    }
    const model_row& model = aTables.models.Rows()[chosen.model];
    Place(
      aTables,
      RequestFor(aTables, copy_reason::eReplica, model, chosen.domain, aNow),
      aNow);
  }
}

} // namespace bulrush::placement
