// Rate limits of weight-store loads and adapter calls; sending of orders.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

pacing_rule
StorePacing(double aLoadsPerSecond,
            std::size_t aLoadsAtOnce,
            std::size_t aAdapterCalls)
{
  const auto gap = std::chrono::duration_cast<steady_time::duration>(
    std::chrono::duration<double>{ 1.0 / aLoadsPerSecond });
  return [gap, aLoadsAtOnce, aAdapterCalls](
           const pacing_state& aState,
           order_kind aKind,
           steady_time aNow) -> std::optional<steady_time> {
    if (aKind == order_kind::eLoadModel) {
      if (aState.loads >= aLoadsAtOnce) {
        return std::nullopt;
      }
      return std::max({ aNow, aState.lastLoad + gap, aState.startedAt + gap });
    }
    if (aKind == order_kind::eLoadAdapter &&
        aState.adapterCalls >= aAdapterCalls) {
      return std::nullopt;
    }
    return aNow;
  };
}

void
CountCall(pacing_state& aState, order_kind aKind)
{
  aState.loads += aKind == order_kind::eLoadModel ? 1 : 0;
  aState.adapterCalls += aKind == order_kind::eLoadAdapter ? 1 : 0;
}

namespace {

// A silent endpoint may still be loading, so its load counts for
// silentLoadTimeout; a crashed one must not occupy a load slot for ever.
bool
MayBeLoading(const tables& aTables, const order_row& aOrder, steady_time aNow)
{
  const engine_row* engine = aTables.engines.Find(aOrder.endpoint);
  const steady_time lastSeen = engine != nullptr && engine->hasReported
                                 ? engine->lastReport
                                 : aTables.leader.electedAt;
  return aNow - lastSeen <= aTables.options.silentLoadTimeout;
}

/// Whether this leader or an earlier one may have sent a copy.
bool
MayHaveBeenSent(const tables& aTables, const order_row& aOrder)
{
  return aOrder.state == order_state::eSent ||
         (aOrder.state == order_state::eCommitted &&
          !IsFromThisLeadership(aTables.leader, aOrder));
}

/// Whether the engine reports the artifact as loading; needs no second copy.
bool
IsLoading(const tables& aTables, const order_row& aOrder)
{
  const resident_row* resident =
    aTables.residents.Find(ResidentId(aOrder.endpoint, aOrder.target));
  return IsLoad(aOrder.kind) && resident != nullptr &&
         resident->state == resident_state::eLoading;
}

bool
IsDue(const tables& aTables, const order_row& aOrder, steady_time aNow)
{
  if ((aOrder.state != order_state::eCommitted &&
       aOrder.state != order_state::eSent) ||
      aOrder.isProposed) {
    return false;
  }
  const engine_row* engine = aTables.engines.Find(aOrder.endpoint);
  return engine != nullptr && !IsSilent(aTables, *engine, aNow) &&
         engine->incarnation == aOrder.incarnation &&
         !IsLoading(aTables, aOrder);
}

std::chrono::milliseconds
ResendDelay(const settings& aOptions, std::uint32_t aAttempts)
{
  const std::uint32_t doublings = std::min(aAttempts, 16U);
  return std::min(aOptions.retryInterval * (1U << doublings),
                  aOptions.maxRetryInterval);
}

void
Send(tables& aTables, order_row& aOrder, steady_time aNow, outbox& aOutbox)
{
  aOrder.state = order_state::eSent;
  aOrder.lastSend = aNow;
  aOrder.nextSend = aNow + ResendDelay(aTables.options, aOrder.attempts);
  ++aOrder.attempts;
  ++aOrder.unansweredCopies;
  if (aOrder.kind == order_kind::eLoadModel) {
    aTables.leader.pacing.lastLoad = aNow;
  }
  aOutbox.sends.push_back({ aOrder });
}

pacing_state
CallsInProgress(const tables& aTables, steady_time aNow)
{
  pacing_state state = aTables.leader.pacing;
  state.loads = 0;
  state.adapterCalls = 0;
  for (const order_row& order : aTables.orders) {
    if (MayHaveBeenSent(aTables, order) && MayBeLoading(aTables, order, aNow)) {
      CountCall(state, order.kind);
    }
  }
  return state;
}

/// Orders that may be sent or resent, the oldest first.
std::vector<order_row*>
DueOrders(tables& aTables, steady_time aNow)
{
  std::vector<order_row*> due;
  for (order_row& order : aTables.orders) {
    if (IsDue(aTables, order, aNow)) {
      due.push_back(&order);
    }
  }
  std::ranges::sort(due, {}, [](const order_row* aRow) { return aRow->id; });
  return due;
}

/// Sends one order if the pacing rule allows it, else schedules the next
/// attempt.
void
SendPaced(tables& aTables, order_row& aOrder, steady_time aNow, outbox& aOutbox)
{
  pacing_state state = CallsInProgress(aTables, aNow);
  const bool isCounted = MayHaveBeenSent(aTables, aOrder);
  if (isCounted && aOrder.kind == order_kind::eLoadModel && state.loads > 0) {
    --state.loads;
  }
  if (isCounted && aOrder.kind == order_kind::eLoadAdapter &&
      state.adapterCalls > 0) {
    --state.adapterCalls;
  }
  const auto sendTime = aTables.pacing(state, aOrder.kind, aNow);
  if (!sendTime) {
    return;
  }
  if (*sendTime > aNow) {
    aOutbox.wake.NoLaterThan(*sendTime);
    return;
  }
  Send(aTables, aOrder, aNow, aOutbox);
  aOutbox.wake.NoLaterThan(aOrder.nextSend);
}

} // namespace

void
IndexCalls(tables& aTables, steady_time aNow)
{
  pacing_state& calls = aTables.view.calls;
  calls = aTables.leader.pacing;
  for (const order_row& order : aTables.orders) {
    if (IsUnresolved(order) && MayBeLoading(aTables, order, aNow)) {
      CountCall(calls, order.kind);
    }
  }
}

// No order is created that would have to wait for the weight store: until sent,
// it would keep its engine from any other order.
bool
HasLoadSlot(const tables& aTables, order_kind aKind, steady_time aNow)
{
  return aTables.pacing(aTables.view.calls, aKind, aNow).has_value();
}

// Sends only within this leader's lease: the previous leader may send until its
// lease ends, and the next one as soon as this one ends.
void
SendOrders(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  const leadership& leader = aTables.leader;
  if (!leader.isLeader || aNow >= leader.leaseUntil) {
    return;
  }
  if (aNow < leader.earliestSend) {
    aOutbox.wake.NoLaterThan(leader.earliestSend);
    return;
  }
  for (order_row* order : DueOrders(aTables, aNow)) {
    if (order->nextSend > aNow) {
      aOutbox.wake.NoLaterThan(order->nextSend);
      continue;
    }
    SendPaced(aTables, *order, aNow, aOutbox);
  }
}

} // namespace bulrush::placement
