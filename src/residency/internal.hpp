#ifndef BULRUSH_RESIDENCY_PARTS_HPP
#define BULRUSH_RESIDENCY_PARTS_HPP

/// What the systems of the residency library share.

#include "residency/residency.hpp"

namespace bulrush::residency {

held_model* FindHeld(engine_row& aEngine, model_id aModel);
const held_model* FindHeld(const engine_row& aEngine, model_id aModel);
bool Holds(const engine_row& aEngine, const artifact& aWhat);

/// True when an order may be decided for the engine now.
bool IsReady(const engine_row& aEngine);

/// Engines that take work and hold aWhat, or are about to.
std::size_t CountCopies(const tables& aTables, const artifact& aWhat);

std::size_t CountAdapters(const engine_row& aEngine);

/// Requests/s for a model, those for its adapters among them.
double RateOfModel(const tables& aTables, model_id aModel);

void Order(tables& aTables,
           engine_row& aEngine,
           order_kind aKind,
           const artifact& aWhat,
           steady_time aNow,
           outbox& aOutbox);

void RunRates(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunQuestions(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunAdapters(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunPublish(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunModels(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunSends(tables& aTables, steady_time aNow, outbox& aOutbox);

} // namespace bulrush::residency

#endif
