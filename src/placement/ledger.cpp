// The order ledger: creates, proposes, settles and closes orders. At most one
// order of an endpoint is unresolved; a settled one stays in the ledger as long
// as a copy of it may still arrive.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

namespace {

order_id
NextOrderId(leadership& aLeader)
{
  ++aLeader.orderCount;
  return LastOrderId(aLeader);
}

const order_row*
UnresolvedOrder(const tables& aTables, endpoint_id aEndpoint)
{
  for (const order_row& order : aTables.orders) {
    if (order.endpoint == aEndpoint && IsUnresolved(order) &&
        order.state != order_state::eIntended) {
      return &order;
    }
  }
  return nullptr;
}

bool
MayPropose(const tables& aTables, const order_row& aOrder, steady_time aNow)
{
  return !aOrder.isProposed ||
         aNow - aOrder.proposedAt >= aTables.options.proposalRetryInterval;
}

void
MarkProposed(const tables& aTables,
             order_row& aOrder,
             steady_time aNow,
             outbox& aOutbox)
{
  aOrder.isProposed = true;
  aOrder.proposedAt = aNow;
  aOutbox.wake.NoLaterThan(aNow + aTables.options.proposalRetryInterval);
}

void
UpdateLedger(tables& aTables,
             endpoint_id aEndpoint,
             std::uint64_t aIncarnation,
             std::uint64_t aSequence,
             order_id aOrder)
{
  ledger_row* row = aTables.ledger.Find(aEndpoint);
  if (row == nullptr) {
    row = &aTables.ledger.Insert({ aEndpoint, 0, 0, {} });
  }
  if (aIncarnation > row->incarnation) {
    row->incarnation = aIncarnation;
    row->reportSequence = aSequence;
  } else if (aIncarnation == row->incarnation) {
    row->reportSequence = std::max(row->reportSequence, aSequence);
  }
  row->lastOrder = std::max(row->lastOrder, aOrder);
}

} // namespace

// Enforces one unresolved order for each endpoint. Checked when commands are
// applied in log order, so that every replica decides the same.
bool
OnOrderCommitted(tables& aTables, const commit_order& aCommand)
{
  const order_row& order = aCommand.order;
  order_row* existing = aTables.orders.Find(order.id);
  if (existing != nullptr && existing->state != order_state::eIntended) {
    return false;
  }
  const ledger_row* ledger = aTables.ledger.Find(order.endpoint);
  const bool isOutdated = ledger != nullptr && order.id <= ledger->lastOrder;
  if (isOutdated || UnresolvedOrder(aTables, order.endpoint) != nullptr) {
    if (existing != nullptr) {
      aTables.orders.Erase(order.id);
    }
    return false;
  }
  UpdateLedger(
    aTables, order.endpoint, order.incarnation, order.reportSequence, order.id);
  if (existing == nullptr) {
    existing = &aTables.orders.Insert(order);
  }
  existing->state = order_state::eCommitted;
  existing->isProposed = false;
  return true;
}

bool
OnOrderSettled(tables& aTables, const settle_order& aCommand)
{
  order_row* order = aTables.orders.Find(aCommand.id);
  if (order == nullptr || !IsUnresolved(*order) ||
      order->state == order_state::eIntended ||
      order->endpoint != aCommand.endpoint) {
    return false;
  }
  UpdateLedger(aTables,
               aCommand.endpoint,
               aCommand.incarnation,
               aCommand.reportSequence,
               aCommand.id);
  order->state = aCommand.outcome;
  order->isProposed = false;
  if (aCommand.isClosed) {
    aTables.orders.Erase(aCommand.id);
  }
  if (aCommand.closesEarlier) {
    aTables.orders.EraseIf([&](const order_row& aOther) {
      return aOther.endpoint == aCommand.endpoint && aOther.id < aCommand.id &&
             !IsUnresolved(aOther);
    });
  }
  aTables.leader.isPlanDue = true;
  return true;
}

bool
OnOrderClosed(tables& aTables, const close_order& aCommand)
{
  const order_row* order = aTables.orders.Find(aCommand.id);
  if (order == nullptr || IsUnresolved(*order)) {
    return false;
  }
  aTables.leader.isPlanDue = true;
  return aTables.orders.Erase(aCommand.id);
}

void
OnCommitFailed(tables& aTables, order_id aOrder)
{
  if (order_row* order = aTables.orders.Find(aOrder)) {
    order->isProposed = false;
  }
}

order_kind
LoadKind(const artifact& aArtifact)
{
  return aArtifact.adapter ? order_kind::eLoadAdapter : order_kind::eLoadModel;
}

bool
IntendOrder(tables& aTables,
            engine_view& aEngine,
            order_kind aKind,
            const artifact& aArtifact,
            std::uint64_t aBytes)
{
  if (!aEngine.isIdle) {
    return false;
  }
  const std::uint64_t extra =
    IsLoad(aKind) ? ExtraBytes(aTables, aEngine, aArtifact, aBytes) : 0;
  if (extra > FreeBytes(aEngine)) {
    return false;
  }
  if (IsUnload(aKind)) {
    CountUnload(aTables, aEngine, aArtifact);
  }
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  order_row order;
  order.id = NextOrderId(aTables.leader);
  order.endpoint = aEngine.endpoint;
  order.incarnation = engine->incarnation;
  order.fencingNumber = order.id.value;
  order.kind = aKind;
  order.target = aArtifact;
  order.bytes = aBytes;
  order.role = engine->declaredRole;
  order.reportSequence = engine->reportSequence;
  aTables.orders.Insert(order);
  aEngine.isIdle = false;
  --aTables.view.idleInDomain[aEngine.domain];
  aEngine.reservedBytes += extra;
  CountCall(aTables.view.calls, aKind);
  if (IsLoad(aKind)) {
    const bool isStable =
      !MayBeUnloadedLate(aTables, aEngine.endpoint, aArtifact);
    CountCopy(
      aTables, aEngine, aArtifact, { 0, 0, isStable ? 1U : 0U, 1 }, true);
  }
  aEngine.orders.push_back(order.id);
  return true;
}

void
IntendUnload(tables& aTables, engine_view& aEngine, const artifact& aArtifact)
{
  const resident_row* resident =
    aTables.residents.Find(ResidentId(aEngine.endpoint, aArtifact));
  IntendOrder(aTables,
              aEngine,
              aArtifact.adapter ? order_kind::eUnloadAdapter
                                : order_kind::eUnloadModel,
              aArtifact,
              resident == nullptr ? 0 : resident->bytes);
}

void
ProposeOrders(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  if (!aTables.leader.isLeader || aNow >= aTables.leader.leaseUntil) {
    return;
  }
  for (order_row& order : aTables.orders) {
    if (order.state == order_state::eIntended &&
        MayPropose(aTables, order, aNow)) {
      MarkProposed(aTables, order, aNow, aOutbox);
      aOutbox.commits.push_back({ order });
    }
  }
}

namespace {

/// Whether the engine's latest report includes the effects of every answered
/// copy.
bool
AreEffectsVisible(const engine_row& aEngine, const order_row& aOrder)
{
  if (!aEngine.hasReported) {
    return false;
  }
  const bool isNamed = aOrder.isAccepted && aEngine.lastOrder == aOrder.id;
  return isNamed || aEngine.incarnation > aOrder.visibleIncarnation ||
         (aEngine.incarnation == aOrder.visibleIncarnation &&
          aEngine.reportSequence >= aOrder.visibleSequence);
}

/// Whether every copy was answered and its effects reported. Never true for
/// orders of an earlier leader, which may have copies in flight.
bool
AreAllCopiesAnswered(const tables& aTables,
                     const engine_row& aEngine,
                     const order_row& aOrder)
{
  return aOrder.unansweredCopies == 0 &&
         IsFromThisLeadership(aTables.leader, aOrder) &&
         AreEffectsVisible(aEngine, aOrder);
}

/// Outcome of the unresolved order according to the latest report; nullopt: not
/// known yet.
std::optional<order_state>
ReportedOutcome(const engine_row& aEngine, const order_row& aOrder)
{
  if (!aEngine.hasReported) {
    return std::nullopt;
  }
  if (aEngine.lastOrder == aOrder.id) {
    return aEngine.lastOutcome;
  }
  if (aEngine.incarnation > aOrder.incarnation) {
    return order_state::eVoid;
  }
  return std::nullopt;
}

settle_order
SettlementOf(const tables& aTables,
             const engine_row& aEngine,
             const order_row& aOrder,
             order_state aOutcome)
{
  settle_order settlement;
  settlement.id = aOrder.id;
  settlement.endpoint = aOrder.endpoint;
  settlement.outcome = aOutcome;
  settlement.incarnation = aEngine.incarnation;
  settlement.reportSequence = aEngine.reportSequence;
  const bool isNamed = aEngine.lastOrder == aOrder.id;
  const bool refusesOldCopies =
    aEngine.checksFencing && aEngine.incarnation > aOrder.incarnation;
  settlement.isClosed =
    AreAllCopiesAnswered(aTables, aEngine, aOrder) || refusesOldCopies;
  settlement.closesEarlier =
    aEngine.checksFencing && isNamed && aOutcome == order_state::eDone;
  return settlement;
}

} // namespace

void
SettleOrders(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  if (!aTables.leader.isLeader) {
    return;
  }
  for (order_row& order : aTables.orders) {
    engine_row* engine = aTables.engines.Find(order.endpoint);
    if (engine == nullptr || !IsUnresolved(order) ||
        order.state == order_state::eIntended ||
        !MayPropose(aTables, order, aNow)) {
      continue;
    }
    const std::optional<order_state> outcome = ReportedOutcome(*engine, order);
    if (!outcome) {
      continue;
    }
    if (*outcome == order_state::eVoid &&
        engine->incarnation == order.incarnation) {
      engine->backoffUntil = aNow + aTables.options.failureBackoff;
    }
    MarkProposed(aTables, order, aNow, aOutbox);
    aOutbox.settlements.push_back(
      SettlementOf(aTables, *engine, order, *outcome));
  }
}

namespace {

/// Whether no copy of a settled order can still arrive.
bool
CanClose(const tables& aTables,
         const engine_row& aEngine,
         const order_row& aOrder,
         steady_time aNow)
{
  if (AreAllCopiesAnswered(aTables, aEngine, aOrder) ||
      (aEngine.checksFencing && aEngine.hasReported &&
       aEngine.incarnation > aOrder.incarnation)) {
    return true;
  }
  if (aTables.options.copyLifetime == std::chrono::milliseconds::max() ||
      IsSilent(aTables, aEngine, aNow)) {
    return false;
  }
  const steady_time lastPossibleSend = std::max(
    { aEngine.reportingSince, aOrder.lastSend, aTables.leader.earliestSend });
  return aNow - lastPossibleSend >= aTables.options.copyLifetime;
}

} // namespace

void
CloseOrders(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  if (!aTables.leader.isLeader) {
    return;
  }
  for (order_row& order : aTables.orders) {
    const engine_row* engine = aTables.engines.Find(order.endpoint);
    if (engine != nullptr && !IsUnresolved(order) &&
        MayPropose(aTables, order, aNow) &&
        CanClose(aTables, *engine, order, aNow)) {
      MarkProposed(aTables, order, aNow, aOutbox);
      aOutbox.closures.push_back({ order.id, order.endpoint });
    }
  }
}

// Also sends a set-role order that changes nothing to raise the newest fencing
// number of an idle engine with old copies in flight: once it is done, the
// engine refuses those copies, and their memory is no longer reserved.
void
SetRoles(tables& aTables, steady_time, outbox&)
{
  if (!aTables.leader.isPlanning) {
    return;
  }
  for (engine_view& view : aTables.view.engines) {
    const engine_row* engine = aTables.engines.Find(view.endpoint);
    const bool hasOldCopies = engine->checksFencing && !view.orders.empty();
    if (view.isIdle && (engine->role != engine->declaredRole || hasOldCopies)) {
      IntendOrder(aTables, view, order_kind::eSetRole, {}, 0);
    }
  }
}

} // namespace bulrush::placement
