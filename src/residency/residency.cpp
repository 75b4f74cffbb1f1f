#include "residency/internal.hpp"

namespace bulrush::residency {
namespace {

// Rates are updated first, since the decisions depend on them. Adapters come
// before models, since an adapter loads in milliseconds and a model order keeps
// its engine busy for seconds.
constexpr std::array<named_system<tables, outbox>, 6> kSystems{ {
  { "rates", RunRates },
  { "questions", RunQueries },
  { "adapters", RunAdapters },
  { "models", RunModels },
  { "sends", RunSends },
  { "publish", RunPublish },
} };

} // namespace

// Demand ends with the declaration of what it names, whether or not it could be
// met before.
static void
DropUndeclaredDemand(tables& aTables)
{
  aTables.demands.EraseIf([&](const artifact_demand_row& aDemand) {
    return !IsDeclared(aTables, aDemand.artifact);
  });
}

void
OnManifest(tables& aTables,
           std::span<const model_row> aModels,
           std::span<const adapter_row> aAdapters,
           double aStoreLoadsPerSecond)
{
  aTables.models.Clear();
  for (const model_row& model : aModels) {
    aTables.models.Insert(model);
  }
  aTables.adapters.Clear();
  for (const adapter_row& adapter : aAdapters) {
    aTables.adapters.Insert(adapter);
  }
  aTables.options.storeLoadsPerSecond = aStoreLoadsPerSecond;
  DropUndeclaredDemand(aTables);
}

void
OnLeadership(tables& aTables, bool aMayOrder, steady_time aFrom)
{
  if (aMayOrder && !aTables.mayOrder) {
    aTables.ordersFrom = aFrom;
    for (engine_row& engine : aTables.engines) {
      engine.isKnown = false;
      engine.isQueried = false;
      engine.open.reset();
    }
  }
  aTables.mayOrder = aMayOrder;
}

void
RunResidency(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  if (!aTables.mayOrder) {
    return;
  }
  if (aNow < aTables.ordersFrom) {
    aOutbox.wake.NoLaterThan(aTables.ordersFrom);
    return;
  }
  RunTick(kSystems, aTables, aNow, aOutbox);
  for (artifact_demand_row& demand : aTables.demands) {
    if (demand.waiting > 0 && CountCopies(aTables, demand.artifact) > 0) {
      demand.waiting = 0;
    }
  }
}

} // namespace bulrush::residency
