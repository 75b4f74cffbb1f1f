#ifndef BULRUSH_RESIDENCY_INTERNAL_HPP
#define BULRUSH_RESIDENCY_INTERNAL_HPP

/// Internal to the residency library: functions shared by its systems.

#include "residency/residency.hpp"

namespace bulrush::residency {

held_model* FindHeld(engine_row& aEngine, model_id aModel);
const held_model* FindHeld(const engine_row& aEngine, model_id aModel);
bool Holds(const engine_row& aEngine, const artifact& aArtifact);

/// Whether the configuration in force declares a model, or adapter and model.
bool IsDeclared(const tables& aTables, const artifact& aArtifact);

/// True when an order to the engine may be issued now.
bool IsReady(const engine_row& aEngine);

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
