// Input handlers: announcements, reports and answers of engines, the manifest,
// operators' commands for domains and endpoints.

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
  engine->backoffUntil = aNow;
  engine->isTakenOut = aTables.takenOut.Find(engine->domain) != nullptr;
  aTables.leader.isPlanDue = true;
}

namespace {

// A reordered report shows memory as free that has since been reserved.
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

/// Replaces the residents of the engine; true if any was added, removed or
/// changed its state.
bool
ReplaceResidents(tables& aTables,
                 engine_row& aEngine,
                 const report& aReport,
                 steady_time aNow)
{
  std::vector<resident_id> now;
  bool isChanged = false;
  for (const reported_resident& reported : aReport.residents) {
    const resident_id id = ResidentId(aEngine.id, reported.content);
    resident_row* row = aTables.residents.Find(id);
    if (row == nullptr) {
      row = &aTables.residents.Insert(
        { id, aEngine.id, reported.content, 0, reported.state, aNow });
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
    engine->reportingSince = aNow;
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

// The answer alone frees no memory: until a report that includes the effects of
// the copy has arrived, the recorded residents lag behind the engine.
void
OnOrderAnswered(tables& aTables,
                order_id aOrder,
                std::uint64_t aIncarnation,
                std::uint64_t aSequence)
{
  order_row* order = aTables.orders.Find(aOrder);
  if (order == nullptr || order->unansweredCopies == 0) {
    return;
  }
  --order->unansweredCopies;
  if (aIncarnation > order->visibleIncarnation) {
    order->visibleIncarnation = aIncarnation;
    order->visibleSequence = aSequence;
  } else if (aIncarnation == order->visibleIncarnation) {
    order->visibleSequence = std::max(order->visibleSequence, aSequence);
  }
}

// Only with a single copy is it certain that the report will name this one.
// With several, another may make the engine act again, so the accepted copy
// still counts as unanswered. An accepted order is resent only after the
// longest retry interval, because each resent load uses up weight-store load
// rate.
void
OnOrderAccepted(tables& aTables, order_id aOrder, std::uint64_t aIncarnation)
{
  order_row* order = aTables.orders.Find(aOrder);
  if (order == nullptr || order->unansweredCopies == 0 ||
      order->attempts != 1 || !IsUnresolved(*order)) {
    return;
  }
  --order->unansweredCopies;
  order->isAccepted = true;
  order->visibleIncarnation = aIncarnation;
  order->visibleSequence = std::numeric_limits<std::uint64_t>::max();
  order->nextSend = order->lastSend + aTables.options.maxRetryInterval;
}

void
OnOrderNotSent(tables& aTables, order_id aOrder)
{
  order_row* order = aTables.orders.Find(aOrder);
  if (order != nullptr && order->unansweredCopies > 0) {
    --order->unansweredCopies;
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
