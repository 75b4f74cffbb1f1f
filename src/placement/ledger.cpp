// The order ledger: intents, their way through the log, and what reports say of
// them. At most one order of an endpoint is unresolved; a settled one stays as
// long as a copy of it may still arrive.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

namespace {

constexpr std::uint32_t kTermShift = 32;

order_id
NextOrderId(leadership& aLeader)
{
  ++aLeader.orderCount;
  return order_id{ (std::uint64_t{ aLeader.term } << kTermShift) |
                   aLeader.orderCount };
}

bool
IsOfThisTerm(const leadership& aLeader, order_id aOrder)
{
  return aOrder.value >> kTermShift == aLeader.term;
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
         aNow - aOrder.proposedAt >= aTables.options.proposeAgainAfter;
}

void
MarkProposed(const tables& aTables,
             order_row& aOrder,
             steady_time aNow,
             outbox& aOutbox)
{
  aOrder.isProposed = true;
  aOrder.proposedAt = aNow;
  aOutbox.wake.NoLaterThan(aNow + aTables.options.proposeAgainAfter);
}

void
RecordBasis(tables& aTables,
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

// The rule of one unresolved order for each endpoint is checked here, in log
// order, where every replica comes to the same verdict.
bool
OnOrderCommitted(tables& aTables, const commit_order& aCommand)
{
  const order_row& order = aCommand.order;
  order_row* own = aTables.orders.Find(order.id);
  if (own != nullptr && own->state != order_state::eIntended) {
    return false;
  }
  const ledger_row* ledger = aTables.ledger.Find(order.endpoint);
  const bool isOld = ledger != nullptr && order.id <= ledger->lastOrder;
  if (isOld || UnresolvedOrder(aTables, order.endpoint) != nullptr) {
    if (own != nullptr) {
      aTables.orders.Erase(order.id);
    }
    return false;
  }
  RecordBasis(
    aTables, order.endpoint, order.incarnation, order.reportSequence, order.id);
  if (own == nullptr) {
    own = &aTables.orders.Insert(order);
  }
  own->state = order_state::eCommitted;
  own->isProposed = false;
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
  RecordBasis(aTables,
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
LoadKind(const artifact& aWhat)
{
  return aWhat.adapter ? order_kind::eLoadAdapter : order_kind::eLoadModel;
}

bool
IntendOrder(tables& aTables,
            engine_view& aEngine,
            order_kind aKind,
            const artifact& aWhat,
            std::uint64_t aBytes)
{
  if (!aEngine.isIdle) {
    return false;
  }
  const std::uint64_t extra =
    IsLoad(aKind) ? ExtraBytes(aTables, aEngine, aWhat, aBytes) : 0;
  if (extra > FreeBytes(aEngine)) {
    return false;
  }
  if (IsUnload(aKind)) {
    CountUnload(aTables, aEngine, aWhat);
  }
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  order_row order;
  order.id = NextOrderId(aTables.leader);
  order.endpoint = aEngine.endpoint;
  order.incarnation = engine->incarnation;
  order.fencingNumber = order.id.value;
  order.kind = aKind;
  order.what = aWhat;
  order.bytes = aBytes;
  order.role = engine->wantedRole;
  order.reportSequence = engine->reportSequence;
  aTables.orders.Insert(order);
  aEngine.isIdle = false;
  --aTables.view.idleInDomain[aEngine.domain];
  aEngine.reservedBytes += extra;
  CountCall(aTables.view.calls, aKind);
  if (IsLoad(aKind)) {
    const bool lasts = !MayVanish(aTables, aEngine.endpoint, aWhat);
    CountCopy(aTables, aEngine, aWhat, { 0, 0, lasts ? 1U : 0U, 1 }, true);
  }
  aEngine.orders.push_back(order.id);
  return true;
}

void
IntendUnload(tables& aTables, engine_view& aEngine, const artifact& aWhat)
{
  const resident_row* resident =
    aTables.residents.Find(ResidentId(aEngine.endpoint, aWhat));
  IntendOrder(aTables,
              aEngine,
              aWhat.adapter ? order_kind::eUnloadAdapter
                            : order_kind::eUnloadModel,
              aWhat,
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

/// Whether the engine's latest report shows what every answered copy did.
bool
IsShown(const engine_row& aEngine, const order_row& aOrder)
{
  if (!aEngine.hasReported) {
    return false;
  }
  const bool isNamed = aOrder.isTaken && aEngine.lastOrder == aOrder.id;
  return isNamed || aEngine.incarnation > aOrder.shownIncarnation ||
         (aEngine.incarnation == aOrder.shownIncarnation &&
          aEngine.reportSequence >= aOrder.shownSequence);
}

/// Whether every copy that was sent is accounted for. Those of an earlier term
/// are not: its leader may still have one under way.
bool
HasNoCopyOut(const tables& aTables,
             const engine_row& aEngine,
             const order_row& aOrder)
{
  return aOrder.copiesOut == 0 && IsOfThisTerm(aTables.leader, aOrder.id) &&
         IsShown(aEngine, aOrder);
}

/// The verdict of the engine's latest report on its unresolved order.
std::optional<order_state>
VerdictOn(const engine_row& aEngine, const order_row& aOrder)
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
  const bool refusesOld =
    aEngine.checksFencing && aEngine.incarnation > aOrder.incarnation;
  settlement.isClosed = HasNoCopyOut(aTables, aEngine, aOrder) || refusesOld;
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
    const std::optional<order_state> verdict = VerdictOn(*engine, order);
    if (!verdict) {
      continue;
    }
    if (*verdict == order_state::eVoid &&
        engine->incarnation == order.incarnation) {
      engine->notBefore = aNow + aTables.options.failureBackoff;
    }
    MarkProposed(aTables, order, aNow, aOutbox);
    aOutbox.settlements.push_back(
      SettlementOf(aTables, *engine, order, *verdict));
  }
}

namespace {

/// Whether no copy of a settled order can arrive any more.
bool
IsPast(const tables& aTables,
       const engine_row& aEngine,
       const order_row& aOrder,
       steady_time aNow)
{
  if (HasNoCopyOut(aTables, aEngine, aOrder) ||
      (aEngine.checksFencing && aEngine.hasReported &&
       aEngine.incarnation > aOrder.incarnation)) {
    return true;
  }
  if (aTables.options.copyLifetime == std::chrono::milliseconds::max() ||
      IsSilent(aTables, aEngine, aNow)) {
    return false;
  }
  const steady_time quietSince = std::max(
    { aEngine.reportsSince, aOrder.lastSend, aTables.leader.sendsFrom });
  return aNow - quietSince >= aTables.options.copyLifetime;
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
        IsPast(aTables, *engine, order, aNow)) {
      MarkProposed(aTables, order, aNow, aOutbox);
      aOutbox.closures.push_back({ order.id, order.endpoint });
    }
  }
}

// An order that changes nothing raises the fence of an engine that checks it:
// once it is done, no older copy can take effect and its memory is free again.
void
SetRoles(tables& aTables, steady_time, outbox&)
{
  if (!aTables.leader.isPlanning) {
    return;
  }
  for (engine_view& view : aTables.view.engines) {
    const engine_row* engine = aTables.engines.Find(view.endpoint);
    const bool hasOldCopies = engine->checksFencing && !view.orders.empty();
    if (view.isIdle && (engine->role != engine->wantedRole || hasOldCopies)) {
      IntendOrder(aTables, view, order_kind::eSetRole, {}, 0);
    }
  }
}

} // namespace bulrush::placement
