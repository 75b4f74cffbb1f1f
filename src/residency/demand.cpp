#include "residency/internal.hpp"

#include <algorithm>

namespace bulrush::residency {

artifact_demand_id
ArtifactDemandIdOf(const artifact& aArtifact)
{
  constexpr unsigned kShift = 1;
  const std::uint64_t mixed =
    aArtifact.model.value ^ (aArtifact.adapter.value << kShift);
  return artifact_demand_id{ mixed == 0 ? 1 : mixed };
}

bool
IsDeclared(const tables& aTables, const artifact& aArtifact)
{
  return aTables.models.Find(aArtifact.model) != nullptr &&
         (!aArtifact.adapter ||
          aTables.adapters.Find(aArtifact.adapter) != nullptr);
}

void
OnDemand(tables& aTables,
         const artifact& aArtifact,
         std::uint32_t aRequests,
         std::uint32_t aWaiting,
         steady_time aNow)
{
  if (!IsDeclared(aTables, aArtifact)) {
    return;
  }
  const artifact_demand_id id = ArtifactDemandIdOf(aArtifact);
  artifact_demand_row* row = aTables.demands.Find(id);
  if (row == nullptr) {
    artifact_demand_row added;
    added.id = id;
    added.artifact = aArtifact;
    row = &aTables.demands.Insert(added);
  }
  row->requests += aRequests;
  row->waiting = std::max(row->waiting, aWaiting);
  row->lastRequestAt = aNow;
}

double
RateOfModel(const tables& aTables, model_id aModel)
{
  double rate = 0;
  for (const artifact_demand_row& demand : aTables.demands) {
    rate += demand.artifact.model == aModel ? demand.rate : 0;
  }
  return rate;
}

// At the default gain the moving average covers more than half of a rise within
// two intervals, so that copies are loaded while demand still grows.
void
RunRates(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  const settings& options = aTables.options;
  if (aNow < aTables.nextRateUpdate) {
    aOutbox.wake.NoLaterThan(aTables.nextRateUpdate);
    return;
  }
  const std::chrono::duration<double> interval = options.rateInterval;
  for (artifact_demand_row& demand : aTables.demands) {
    const double newestRate = demand.requests / interval.count();
    demand.rate += options.rateGain * (newestRate - demand.rate);
    demand.requests = 0;
  }
  aTables.demands.EraseIf([&](const artifact_demand_row& aDemand) {
    return aDemand.lastRequestAt + options.expireAfter < aNow;
  });
  aTables.nextRateUpdate = aNow + options.rateInterval;
  aOutbox.wake.NoLaterThan(aTables.nextRateUpdate);
}

} // namespace bulrush::residency
