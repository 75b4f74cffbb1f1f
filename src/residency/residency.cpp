#include "residency/parts.hpp"

namespace bulrush::residency {
namespace {

// Rates first: the plans rest on them. Adapters go before models, since they
// take milliseconds and a model order keeps its engine for seconds.
constexpr std::array<named_system<tables, outbox>, 6> kSystems{ {
  { "rates", RunRates },
  { "questions", RunQuestions },
  { "adapters", RunAdapters },
  { "models", RunModels },
  { "sends", RunSends },
  { "publish", RunPublish },
} };

} // namespace

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
}

void
OnLeadership(tables& aTables, bool aMayOrder, steady_time aFrom)
{
  if (aMayOrder && !aTables.mayOrder) {
    aTables.ordersFrom = aFrom;
    for (engine_row& engine : aTables.engines) {
      engine.isKnown = false;
      engine.isAsked = false;
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
  for (want_row& want : aTables.wants) {
    want.waiting = CountCopies(aTables, want.what) > 0 ? 0 : want.waiting;
  }
}

} // namespace bulrush::residency
