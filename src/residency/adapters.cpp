#include "residency/internal.hpp"

#include <algorithm>

namespace bulrush::residency {
namespace {

double
RateOf(const tables& aTables, const artifact& aArtifact)
{
  const artifact_demand_row* demand =
    aTables.demands.Find(ArtifactDemandIdOf(aArtifact));
  return demand == nullptr ? 0 : demand->rate + demand->waiting;
}

bool
HasFreePlace(const tables& aTables,
             const engine_row& aEngine,
             std::uint64_t aBytes)
{
  const std::uint32_t places = aEngine.announced.adapterCapacity;
  return (places == 0 || CountAdapters(aEngine) < places) &&
         HeldBytes(aTables, aEngine) + aBytes <= aEngine.announced.memoryBytes;
}

bool
HasOpenOrder(const tables& aTables, const artifact& aArtifact)
{
  const auto engines = aTables.engines.Rows();
  return std::any_of(
    engines.begin(), engines.end(), [&](const engine_row& aEngine) {
      return aEngine.open && aEngine.open->artifact == aArtifact;
    });
}

// The least requested adapter of an engine.
struct adapter_rate
{
  artifact what;
  double rate = 0;
};

// An order names its adapter; without a name it would unload the whole model.
bool
IsNamed(const tables& aTables, adapter_id aAdapter)
{
  return aTables.adapters.Find(aAdapter) != nullptr ||
         aTables.withdrawnAdapters.Find(aAdapter) != nullptr;
}

std::optional<adapter_rate>
LeastRequested(const tables& aTables, const engine_row& aEngine)
{
  std::optional<adapter_rate> least;
  for (const held_model& held : aEngine.held) {
    for (const adapter_id& adapter : held.adapters) {
      if (!IsNamed(aTables, adapter)) {
        continue;
      }
      const artifact what{ held.model, adapter };
      const double rate = RateOf(aTables, what);
      if (!least || rate < least->rate) {
        least = adapter_rate{ what, rate };
      }
    }
  }
  return least;
}

// Chooses an engine with a free place, among those the one with the fewest
// adapters. If there is none, evicts the least requested adapter of all
// engines, provided that it has a lower rate.
void
PlaceAdapter(tables& aTables,
             const artifact_demand_row& aDemand,
             steady_time aNow,
             outbox& aOutbox)
{
  const adapter_row* adapter = aTables.adapters.Find(aDemand.artifact.adapter);
  engine_row* best = nullptr;
  engine_row* fullEngine = nullptr;
  std::optional<adapter_rate> evicted;
  for (engine_row& engine : aTables.engines) {
    if (!IsReady(engine) ||
        FindHeld(engine, aDemand.artifact.model) == nullptr) {
      continue;
    }
    if (HasFreePlace(aTables, engine, adapter->bytes)) {
      if (best == nullptr || CountAdapters(engine) < CountAdapters(*best)) {
        best = &engine;
      }
      continue;
    }
    const auto least = LeastRequested(aTables, engine);
    if (least && (!evicted || least->rate < evicted->rate)) {
      evicted = least;
      fullEngine = &engine;
    }
  }
  if (best != nullptr) {
    IssueOrder(aTables,
               *best,
               order_kind::eLoadAdapter,
               aDemand.artifact,
               aNow,
               aOutbox);
  } else if (fullEngine != nullptr &&
             evicted->rate < RateOf(aTables, aDemand.artifact)) {
    IssueOrder(aTables,
               *fullEngine,
               order_kind::eUnloadAdapter,
               evicted->what,
               aNow,
               aOutbox);
  }
}

} // namespace

// Adapters are placed in descending order of waiting requests plus rate.
void
RunAdapters(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  std::vector<artifact_demand_id> missing;
  for (const artifact_demand_row& demand : aTables.demands) {
    if (demand.artifact.adapter && demand.waiting > 0 &&
        CountCopies(aTables, demand.artifact) == 0 &&
        !HasOpenOrder(aTables, demand.artifact)) {
      missing.push_back(demand.id);
    }
  }
  std::sort(missing.begin(),
            missing.end(),
            [&](artifact_demand_id aLeft, artifact_demand_id aRight) {
              const artifact_demand_row& left = *aTables.demands.Find(aLeft);
              const artifact_demand_row& right = *aTables.demands.Find(aRight);
              return left.waiting + left.rate > right.waiting + right.rate;
            });
  for (const artifact_demand_id id : missing) {
    PlaceAdapter(aTables, *aTables.demands.Find(id), aNow, aOutbox);
  }
}

} // namespace bulrush::residency
