#include "admission/accounts.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

/// Retry-After when the bucket will never hold the requested units.
constexpr std::chrono::seconds kDefaultRetryAfter{ 1 };

reserve_answer
Refuse(const escrow_tables& aTables,
       const holding_row& aHolding,
       std::int64_t aUnits,
       steady_time aNow)
{
  reserve_answer answer;
  answer.outcome = ReachesRoot(aTables, aNow) ? reserve_outcome::eOverRate
                                              : reserve_outcome::eCutOff;
  answer.retryAfter =
    TimeUntil(aHolding.undivided, aUnits, aNow).value_or(kDefaultRetryAfter);
  return answer;
}

// Waiting requests retry in each tick; each counts once.
void
CountWaiting(holding_row& aHolding, std::int64_t aUnits, steady_time aNow)
{
  if (aNow != aHolding.waitingCountedAt) {
    aHolding.waitingUnits = 0;
    aHolding.waitingCountedAt = aNow;
  }
  aHolding.waitingUnits += aUnits;
}

} // namespace

// The share's lease is checked here, at the point of use: a process that was
// suspended must not consume a share that has lapsed meanwhile.
reserve_answer
ReserveTokens(escrow_tables& aTables,
              workspace_id aWorkspace,
              std::int64_t aTokens,
              std::chrono::nanoseconds aWaited,
              steady_time aNow)
{
  const std::int64_t units = aTokens * kUnitsPerToken;
  holding_row& holding = HoldingOf(aTables, RateOf(aWorkspace), aNow);
  if (aWaited == aWaited.zero()) {
    holding.demandUnits += units;
  }
  if (aNow < holding.lapsesAt && TryConsume(holding.undivided, units, aNow)) {
    ++holding.reservations;
    const std::uint64_t changeCount = holding.undivided.changeCount;
    return { reserve_outcome::eReserved,
             {},
             { aWorkspace, aTokens, changeCount } };
  }
  if (aWaited >= aTables.settings.maxWait) {
    return Refuse(aTables, holding, units, aNow);
  }
  CountWaiting(holding, units, aNow);
  aTables.link.hasShortfall = true;
  return { reserve_outcome::ePending, aTables.settings.maxWait - aWaited, {} };
}

// Tokens of a share that has lapsed since are not refunded: they are the
// parent's again.
void
SettleTokens(escrow_tables& aTables,
             const reservation& aReserved,
             std::int64_t aUsed,
             steady_time aNow)
{
  const auto id = IdOfResource(RateOf(aReserved.workspace));
  holding_row* holding = aTables.holdings.Find(id);
  if (holding == nullptr || holding->reservations == 0) {
    return;
  }
  --holding->reservations;
  const std::int64_t unused =
    std::max<std::int64_t>(0, aReserved.tokens - aUsed);
  if (aNow < holding->lapsesAt) {
    Refund(
      holding->undivided, unused * kUnitsPerToken, aReserved.changeCount, aNow);
  }
}

bool
HasSlot(escrow_tables& aTables,
        endpoint_id aEndpoint,
        std::uint64_t aIncarnation,
        steady_time aNow)
{
  holding_row& holding =
    HoldingOf(aTables, SlotsOf(aEndpoint, aIncarnation), aNow);
  const bool isFree = holding.divided.size < holding.granted.size;
  if (isFree && aNow < holding.lapsesAt) {
    return true;
  }
  CountWaiting(holding, 1, aNow);
  aTables.link.hasShortfall = true;
  return false;
}

// The parent keeps a slot recorded until the lease and slotHold have ended, so
// the attempt has to end by then.
bool
AcquireSlot(escrow_tables& aTables,
            endpoint_id aEndpoint,
            std::uint64_t aIncarnation,
            steady_time aEnds,
            steady_time aNow)
{
  const resource what = SlotsOf(aEndpoint, aIncarnation);
  holding_row& holding = HoldingOf(aTables, what, aNow);
  const auto hold = LessDrift(aTables.settings.slotHold);
  const bool isFree = holding.divided.size < holding.granted.size;
  if (isFree && aNow < holding.lapsesAt && aEnds <= holding.lapsesAt + hold) {
    ++holding.divided.size;
    return true;
  }
  CountWaiting(holding, 1, aNow);
  aTables.link.hasShortfall = true;
  return false;
}

void
ReleaseSlot(escrow_tables& aTables,
            endpoint_id aEndpoint,
            std::uint64_t aIncarnation)
{
  const auto id = IdOfResource(SlotsOf(aEndpoint, aIncarnation));
  holding_row* holding = aTables.holdings.Find(id);
  if (holding != nullptr && holding->divided.size > 0) {
    --holding->divided.size;
  }
}

} // namespace bulrush::admission
