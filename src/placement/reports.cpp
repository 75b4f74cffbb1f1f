// What comes in: announcements, reports and answers of engines, the manifest
// and the operators' words on domains and endpoints.

#include "placement/systems.hpp"

#include <algorithm>
#include <limits>

namespace bulrush::placement {

void
OnAnnounced(tables& aTables,
            const announcement& aAnnouncement,
            steady_time aNow)
{
  engine_row* engine = aTables.engines.Find(aAnnouncement.endpoint);
  if (engine == nullptr) {
    engine_row row;
    row.id = aAnnouncement.endpoint;
    engine = &aTables.engines.Insert(std::move(row));
  } else if (aAnnouncement.incarnation <= engine->incarnation) {
    return;
  }
  engine->domain = aAnnouncement.domain;
  engine->incarnation = aAnnouncement.incarnation;
  engine->memoryBytes = aAnnouncement.memoryBytes;
  engine->checksFencing = aAnnouncement.checksFencing;
  engine->hasReported = false;
  engine->reportSequence = 0;
  engine->lastOrder = {};
  engine->notBefore = aNow;
  engine->isTakenOut = aTables.takenOut.Find(engine->domain) != nullptr;
  aTables.leader.isPlanDue = true;
}

namespace {

// A report that was overtaken shows memory that has been given away since.
bool
IsOutdated(const tables& aTables,
           const engine_row& aEngine,
           const report& aReport)
{
  if (aReport.incarnation != aEngine.incarnation ||
      (aEngine.hasReported && aReport.sequence <= aEngine.reportSequence)) {
    return true;
  }
  const ledger_row* ledger = aTables.ledger.Find(aEngine.id);
  return ledger != nullptr && (aReport.incarnation < ledger->incarnation ||
                               (aReport.incarnation == ledger->incarnation &&
                                aReport.sequence < ledger->reportSequence));
}

/// Replaces the residents of the engine; true if that changed any.
bool
ReplaceResidents(tables& aTables,
                 engine_row& aEngine,
                 const report& aReport,
                 steady_time aNow)
{
  std::vector<resident_id> now;
  bool isChanged = false;
  for (const reported_resident& reported : aReport.residents) {
    const resident_id id = ResidentId(aEngine.id, reported.what);
    resident_row* row = aTables.residents.Find(id);
    if (row == nullptr) {
      row = &aTables.residents.Insert(
        { id, aEngine.id, reported.what, 0, reported.state, aNow });
      isChanged = true;
    }
    isChanged = isChanged || row->state != reported.state;
    row->state = reported.state;
    row->bytes = reported.bytes;
    now.push_back(id);
  }
  std::ranges::sort(now);
  for (const resident_id id : aEngine.residents) {
    if (!std::ranges::binary_search(now, id)) {
      aTables.residents.Erase(id);
      isChanged = true;
    }
  }
  aEngine.residents = std::move(now);
  return isChanged;
}

} // namespace

bool
OnReport(tables& aTables, const report& aReport, steady_time aNow)
{
  engine_row* engine = aTables.engines.Find(aReport.endpoint);
  if (engine == nullptr || IsOutdated(aTables, *engine, aReport)) {
    return false;
  }
  if (IsSilent(aTables, *engine, aNow)) {
    engine->reportsSince = aNow;
    aTables.leader.isPlanDue = true;
  }
  if (ReplaceResidents(aTables, *engine, aReport, aNow)) {
    aTables.leader.isPlanDue = true;
  }
  engine->hasReported = true;
  engine->reportSequence = aReport.sequence;
  engine->lastOrder = aReport.lastOrder;
  engine->lastOutcome = aReport.lastOutcome;
  engine->memoryUsed = aReport.memoryUsed;
  engine->role = aReport.role;
  engine->lastReport = aNow;
  return true;
}

// The answer alone frees nothing: until the report that shows what the copy did
// has been taken in, the account knows less than the engine.
void
OnOrderAnswered(tables& aTables,
                order_id aOrder,
                std::uint64_t aIncarnation,
                std::uint64_t aSequence)
{
  order_row* order = aTables.orders.Find(aOrder);
  if (order == nullptr || order->copiesOut == 0) {
    return;
  }
  --order->copiesOut;
  if (aIncarnation > order->shownIncarnation) {
    order->shownIncarnation = aIncarnation;
    order->shownSequence = aSequence;
  } else if (aIncarnation == order->shownIncarnation) {
    order->shownSequence = std::max(order->shownSequence, aSequence);
  }
}

// Only a first copy is certain to be the one that the report will name; a later
// one may make the engine act again, so it stays out. A taken order is sent
// again late: each load that is sent again takes from the pace of the weight
// store.
void
OnOrderTaken(tables& aTables, order_id aOrder, std::uint64_t aIncarnation)
{
  order_row* order = aTables.orders.Find(aOrder);
  if (order == nullptr || order->copiesOut == 0 || order->attempts != 1 ||
      !IsUnresolved(*order)) {
    return;
  }
  --order->copiesOut;
  order->isTaken = true;
  order->shownIncarnation = aIncarnation;
  order->shownSequence = std::numeric_limits<std::uint64_t>::max();
  order->nextSend = order->lastSend + aTables.options.resendAtMost;
}

void
OnOrderNotSent(tables& aTables, order_id aOrder)
{
  order_row* order = aTables.orders.Find(aOrder);
  if (order != nullptr && order->copiesOut > 0) {
    --order->copiesOut;
  }
}

void
OnManifest(tables& aTables,
           std::span<const model_row> aModels,
           std::span<const adapter_row> aAdapters)
{
  aTables.models.Clear();
  aTables.adapters.Clear();
  for (const model_row& model : aModels) {
    aTables.models.Insert(model);
  }
  for (const adapter_row& adapter : aAdapters) {
    aTables.adapters.Insert(adapter);
  }
  aTables.leader.isPlanDue = true;
}

void
OnDomainTakenOut(tables& aTables, domain_id aDomain, bool aIsTakenOut)
{
  if (aIsTakenOut) {
    aTables.takenOut.Insert({ aDomain });
  } else {
    aTables.takenOut.Erase(aDomain);
  }
  for (engine_row& engine : aTables.engines) {
    if (engine.domain == aDomain) {
      engine.isTakenOut = aIsTakenOut;
    }
  }
  aTables.leader.isPlanDue = true;
}

void
OnDraining(tables& aTables, endpoint_id aEndpoint, bool aIsDraining)
{
  if (engine_row* engine = aTables.engines.Find(aEndpoint)) {
    engine->isDraining = aIsDraining;
    aTables.leader.isPlanDue = true;
  }
}

} // namespace bulrush::placement
