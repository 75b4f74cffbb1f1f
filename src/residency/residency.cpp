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

// What is declared no longer may still be held, and its size is needed until it
// is unloaded.
template<class id_type, class row_type>
static void
Replace(table<id_type, row_type>& aDeclared,
        table<id_type, row_type>& aWithdrawn,
        std::span<const row_type> aRows)
{
  for (const row_type& row : aDeclared) {
    aWithdrawn.Insert(row);
  }
  aDeclared.Clear();
  for (const row_type& row : aRows) {
    aDeclared.Insert(row);
    aWithdrawn.Erase(row.id);
  }
}

static bool
IsHeldByAny(const tables& aTables,
            const std::function<bool(const held_model&)>& aMatches)
{
  const auto engines = aTables.engines.Rows();
  return std::any_of(
    engines.begin(), engines.end(), [&](const engine_row& aEngine) {
      return std::any_of(aEngine.held.begin(), aEngine.held.end(), aMatches);
    });
}

// Bounds the withdrawn rows by what the engines hold.
static void
DropUnheld(tables& aTables)
{
  aTables.withdrawnModels.EraseIf([&](const model_row& aModel) {
    return !IsHeldByAny(aTables, [&](const held_model& aHeld) {
      return aHeld.model == aModel.id;
    });
  });
  aTables.withdrawnAdapters.EraseIf([&](const adapter_row& aAdapter) {
    return !IsHeldByAny(aTables, [&](const held_model& aHeld) {
      return std::find(aHeld.adapters.begin(),
                       aHeld.adapters.end(),
                       aAdapter.id) != aHeld.adapters.end();
    });
  });
}

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
  Replace(aTables.models, aTables.withdrawnModels, aModels);
  Replace(aTables.adapters, aTables.withdrawnAdapters, aAdapters);
  DropUnheld(aTables);
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
