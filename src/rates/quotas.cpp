#include "rates/rates.hpp"

#include <algorithm>

namespace bulrush::rates {
namespace {

purse_row&
FindOrAddQuota(purse_tables& aTables,
               const resource& aResource,
               steady_time aNow)
{
  const resource_id id = admission::IdOfResource(aResource);
  if (purse_row* found = aTables.purses.Find(id)) {
    return *found;
  }
  purse_row row;
  row.id = id;
  row.what = aResource;
  row.standing.filledAt = aNow;
  row.demandSince = aNow;
  return aTables.purses.Insert(std::move(row));
}

void
EraseExpiredLots(purse_row& aQuota, steady_time aNow)
{
  std::erase_if(aQuota.lots, [aNow](const granted_lot& aLot) {
    return aLot.expiresAt <= aNow || aLot.units == 0;
  });
}

std::int64_t
GrantedUnits(const purse_row& aQuota)
{
  std::int64_t units = 0;
  for (const granted_lot& lot : aQuota.lots) {
    units += lot.units;
  }
  return units;
}

// Expiry is checked at the time of use, since a process that was suspended must
// not use tokens that expired meanwhile.
std::int64_t
RefreshAvailable(purse_row& aQuota, steady_time aNow)
{
  EraseExpiredLots(aQuota, aNow);
  admission::Refill(aQuota.standing, aNow);
  return aQuota.standing.level + GrantedUnits(aQuota);
}

void
AddLot(purse_row& aQuota, const granted_lot& aLot)
{
  const auto position = std::ranges::upper_bound(
    aQuota.lots, aLot.expiresAt, {}, &granted_lot::expiresAt);
  aQuota.lots.insert(position, aLot);
}

void
ConsumeGranted(purse_row& aQuota, std::int64_t aUnits)
{
  for (granted_lot& lot : aQuota.lots) {
    const std::int64_t part = std::min(lot.units, aUnits);
    lot.units -= part;
    aUnits -= part;
  }
}

void
UpdateDemandRate(const quota_settings& aSettings,
                 purse_row& aQuota,
                 steady_time aNow)
{
  const std::chrono::duration<double> age = aNow - aQuota.demandSince;
  if (aNow < aQuota.demandSince + aSettings.demandInterval) {
    return;
  }
  const auto newestRate = static_cast<double>(aQuota.demandUnits) / age.count();
  aQuota.demandRate += aSettings.demandGain * (newestRate - aQuota.demandRate);
  aQuota.demandUnits = 0;
  aQuota.demandSince = aNow;
}

std::int64_t
UnitsWithin(double aRate, std::chrono::duration<double> aTime)
{
  return static_cast<std::int64_t>(aRate * aTime.count());
}

// Waiting requests cause a quota request for their shortfall at once; otherwise
// more is requested while the quota still covers some demand. Nothing is
// requested until the time at which the pool expects to have refilled.
std::int64_t
UnitsToRequest(const quota_settings& aSettings,
               purse_row& aQuota,
               steady_time aNow)
{
  const std::int64_t available = RefreshAvailable(aQuota, aNow);
  const std::int64_t shortfall =
    std::max<std::int64_t>(0, aQuota.waitingUnits - available);
  if (aQuota.nextRequestAt && aNow < *aQuota.nextRequestAt) {
    return 0;
  }
  const std::int64_t lowUnits =
    UnitsWithin(aQuota.demandRate, aSettings.requestBelow);
  if (shortfall == 0 && available >= lowUnits) {
    return 0;
  }
  const auto ahead = std::min<std::chrono::milliseconds>(
    aSettings.requestAhead, LifetimeOf(aQuota.what) / 2);
  return std::max(shortfall,
                  UnitsWithin(aQuota.demandRate, ahead) + aQuota.waitingUnits -
                    available);
}

void
HandleQuotaGrant(purse_tables& aTables,
                 const drawn& aGrant,
                 steady_time aNow,
                 purse_outbox& aOut)
{
  const bool isLatest =
    aTables.isAwaiting && aGrant.sequence == aTables.sequence;
  if (!isLatest) {
    return; // its tokens stay unused
  }
  aTables.isAwaiting = false;
  aTables.isReachable = true;
  for (const drawn_row& row : aGrant.rows) {
    purse_row& quota = FindOrAddQuota(aTables, row.what, aNow);
    // The lifetime counts from when the request was sent, which is before the
    // pool granted them.
    AddLot(quota,
           { row.units,
             aTables.sentAt + admission::LessDrift(LifetimeOf(row.what)) });
    aOut.hasNewTokens |= row.units > 0;
    quota.nextRequestAt.reset();
    if (row.refillsIn > row.refillsIn.zero()) {
      // An earlier request would find the pool as empty.
      const auto retryInterval =
        std::clamp<std::chrono::nanoseconds>(row.refillsIn,
                                             aTables.settings.requestInterval,
                                             LifetimeOf(row.what) / 4);
      quota.nextRequestAt = aNow + retryInterval;
      quota.holdsAt = aNow + row.refillsIn;
    }
  }
}

void
SendQuotaRequest(purse_tables& aTables, steady_time aNow, purse_outbox& aOut)
{
  draw next;
  for (purse_row& quota : aTables.purses) {
    UpdateDemandRate(aTables.settings, quota, aNow);
    const std::int64_t units = UnitsToRequest(aTables.settings, quota, aNow);
    if (units > 0) {
      next.rows.push_back({ quota.what, units });
    } else if (quota.waitingUnits > 0 && quota.nextRequestAt) {
      aOut.wake.NoLaterThan(*quota.nextRequestAt);
    }
  }
  if (next.rows.empty()) {
    return;
  }
  next.sequence = ++aTables.sequence;
  aTables.sentAt = aNow;
  aTables.isAwaiting = true;
  aOut.wake.NoLaterThan(aNow + aTables.settings.answerTimeout);
  aOut.sent = std::move(next);
}

bool
HasWaitingRequests(const purse_tables& aTables)
{
  const auto purses = aTables.purses.Rows();
  return std::any_of(purses.begin(), purses.end(), [](const purse_row& aRow) {
    return aRow.waitingUnits > 0;
  });
}

void
EraseUnusedQuotas(purse_tables& aTables, steady_time aNow)
{
  const auto& settings = aTables.settings;
  aTables.purses.EraseIf([&](const purse_row& aRow) {
    return aRow.standing.share == share{} && aRow.lots.empty() &&
           aRow.demandUnits == 0 && aRow.waitingUnits == 0 &&
           aRow.demandSince + settings.expireAfter <= aNow;
  });
}

} // namespace

void
SetStanding(purse_tables& aTables,
            const resource& aResource,
            const share& aBaseline,
            steady_time aNow)
{
  purse_row& quota = FindOrAddQuota(aTables, aResource, aNow);
  if (quota.standing.share != aBaseline) {
    admission::Resize(quota.standing, aBaseline, aNow);
  }
}

void
NoteDemand(purse_tables& aTables,
           const resource& aResource,
           std::int64_t aUnits,
           steady_time aNow)
{
  FindOrAddQuota(aTables, aResource, aNow).demandUnits += aUnits;
}

std::optional<payment>
Pay(purse_tables& aTables,
    const resource& aResource,
    std::int64_t aUnits,
    steady_time aNow)
{
  purse_row& quota = FindOrAddQuota(aTables, aResource, aNow);
  if (RefreshAvailable(quota, aNow) < aUnits) {
    quota.waitingUnits += aUnits;
    return std::nullopt;
  }
  payment consumed;
  consumed.quotaId = quota.id;
  consumed.standing = std::min(aUnits, quota.standing.level);
  consumed.granted = aUnits - consumed.standing;
  if (consumed.standing > 0) {
    admission::Take(quota.standing, consumed.standing, aNow);
    consumed.changeCount = quota.standing.changeCount;
  }
  if (consumed.granted > 0) {
    consumed.grantExpiresAt = quota.lots.front().expiresAt;
    ConsumeGranted(quota, consumed.granted);
  }
  return consumed;
}

void
NoteLack(purse_tables& aTables,
         const resource& aResource,
         std::int64_t aUnits,
         steady_time aNow)
{
  FindOrAddQuota(aTables, aResource, aNow).waitingUnits += aUnits;
}

void
Return(purse_tables& aTables,
       const payment& aConsumed,
       std::int64_t aUnits,
       steady_time aNow)
{
  purse_row* quota = aTables.purses.Find(aConsumed.quotaId);
  if (quota == nullptr) {
    return;
  }
  const std::int64_t granted = std::min(aUnits, aConsumed.granted);
  if (granted > 0 && aNow < aConsumed.grantExpiresAt) {
    AddLot(*quota, { granted, aConsumed.grantExpiresAt });
  }
  const std::int64_t standing = std::min(aUnits - granted, aConsumed.standing);
  if (standing > 0) {
    admission::Refund(quota->standing, standing, aConsumed.changeCount, aNow);
  }
}

std::int64_t
Available(purse_tables& aTables, const resource& aResource, steady_time aNow)
{
  return RefreshAvailable(FindOrAddQuota(aTables, aResource, aNow), aNow);
}

// A quota request without an answer in time counts as lost. Its tokens expire
// unused; the next request covers the shortfall at that time.
void
RunAnswers(purse_tables& aTables, steady_time aNow, purse_outbox& aOut)
{
  for (const drawn& answer : aTables.answers) {
    HandleQuotaGrant(aTables, answer, aNow, aOut);
  }
  aTables.answers.clear();
  const steady_time timesOutAt =
    aTables.sentAt + aTables.settings.answerTimeout;
  if (aTables.isAwaiting && aNow >= timesOutAt) {
    aTables.isAwaiting = false;
    aTables.isReachable = false;
  }
}

void
RunDraws(purse_tables& aTables, steady_time aNow, purse_outbox& aOut)
{
  const steady_time next = aTables.sentAt + aTables.settings.requestInterval;
  if (aTables.isAwaiting) {
    aOut.wake.NoLaterThan(aTables.sentAt + aTables.settings.answerTimeout);
  } else if (aNow >= next) {
    SendQuotaRequest(aTables, aNow, aOut);
  } else if (HasWaitingRequests(aTables)) {
    aOut.wake.NoLaterThan(next);
  }
  for (purse_row& quota : aTables.purses) {
    quota.waitingUnits = 0; // requests that still wait add theirs in each tick
  }
  EraseUnusedQuotas(aTables, aNow);
}

} // namespace bulrush::rates
