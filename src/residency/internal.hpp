#ifndef BULRUSH_RESIDENCY_INTERNAL_HPP
#define BULRUSH_RESIDENCY_INTERNAL_HPP

/// Internal to the residency library: functions shared by its systems.

#include "residency/residency.hpp"

#include <algorithm>

namespace bulrush::residency {

held_model* FindHeld(engine_row& aEngine, model_id aModel);
const held_model* FindHeld(const engine_row& aEngine, model_id aModel);
bool Holds(const engine_row& aEngine, const artifact& aArtifact);

/// Whether the configuration in force declares a model, or adapter and model.
bool IsDeclared(const tables& aTables, const artifact& aArtifact);

/// True when an order to the engine may be issued now.
bool IsReady(const engine_row& aEngine);

/// Size of a declared or withdrawn model or adapter; of one that is neither,
/// the largest declared size.
template<class id_type, class row_type>
std::uint64_t
BytesOf(const table<id_type, row_type>& aDeclared,
        const table<id_type, row_type>& aWithdrawn,
        id_type aId)
{
  const row_type* row = aDeclared.Find(aId);
  row = row == nullptr ? aWithdrawn.Find(aId) : row;
  if (row != nullptr) {
    return row->bytes;
  }
  std::uint64_t largest = 0;
  for (const row_type& each : aDeclared) {
    largest = std::max(largest, each.bytes);
  }
  return largest;
}

/// Engines that accept requests and hold aArtifact or are loading it.
std::size_t CountCopies(const tables& aTables, const artifact& aArtifact);

std::size_t CountAdapters(const engine_row& aEngine);

/// Requests/s for a model, including those for its adapters.
double RateOfModel(const tables& aTables, model_id aModel);

void IssueOrder(tables& aTables,
                engine_row& aEngine,
                order_kind aKind,
                const artifact& aArtifact,
                steady_time aNow,
                outbox& aOutbox);

void RunRates(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunQueries(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunAdapters(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunPublish(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunModels(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunSends(tables& aTables, steady_time aNow, outbox& aOutbox);

} // namespace bulrush::residency

#endif
