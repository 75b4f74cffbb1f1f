#include "rates/rates.hpp"

#include <algorithm>
#include <numeric>

namespace bulrush::rates {
namespace {

quota_row&
FindOrAddQuota(quota_tables& aTables,
               const resource& aResource,
               steady_time aNow)
{
  const resource_id id = admission::IdOfResource(aResource);
  if (quota_row* found = aTables.quotas.Find(id)) {
    return *found;
  }
  quota_row row;
  row.id = id;
  row.resource = aResource;
  row.baseline.filledAt = aNow;
  row.demandSince = aNow;
  return aTables.quotas.Insert(std::move(row));
}

void
EraseExpiredLots(quota_totals& aTotals, quota_row& aQuota, steady_time aNow)
{
  std::erase_if(aQuota.lots, [&aTotals, aNow](const granted_lot& aLot) {
    const bool isExpired = aLot.expiresAt <= aNow;
    aTotals.expired += isExpired ? aLot.units : 0;
    return isExpired || aLot.units == 0;
  });
}

std::int64_t
GrantedUnits(const quota_row& aQuota)
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
RefreshAvailable(quota_totals& aTotals, quota_row& aQuota, steady_time aNow)
{
  EraseExpiredLots(aTotals, aQuota, aNow);
  admission::Refill(aQuota.baseline, aNow);
  return aQuota.baseline.level + GrantedUnits(aQuota);
}

void
AddLot(quota_row& aQuota, const granted_lot& aLot)
{
  const auto position = std::ranges::upper_bound(
    aQuota.lots, aLot.expiresAt, {}, &granted_lot::expiresAt);
  aQuota.lots.insert(position, aLot);
}

void
ConsumeGranted(quota_row& aQuota, std::int64_t aUnits)
{
  for (granted_lot& lot : aQuota.lots) {
    const std::int64_t part = std::min(lot.units, aUnits);
    lot.units -= part;
    aUnits -= part;
  }
}

void
UpdateDemandRate(const quota_settings& aSettings,
                 quota_row& aQuota,
                 steady_time aNow)
{
  const std::chrono::duration<double> age = aNow - aQuota.demandSince;
  if (aNow < aQuota.demandSince + aSettings.demandInterval) {
    return;
  }
  const auto average = [&](double& aRate, double aCount) {
    aRate += aSettings.demandGain * (aCount / age.count() - aRate);
  };
  average(aQuota.demandRate, static_cast<double>(aQuota.demandUnits));
  average(aQuota.requestRate, aQuota.demandRequests);
  aQuota.demandUnits = 0;
  aQuota.demandRequests = 0;
  aQuota.demandSince = aNow;
}

// What the waiting requests lack after the units at hand are given to them in
// order of arrival.
std::vector<std::int64_t>
Shortfalls(const quota_row& aQuota, std::int64_t aAvailable)
{
  std::vector<std::int64_t> shortfalls;
  for (const std::int64_t units : aQuota.waiting) {
    const std::int64_t covered = std::min(units, aAvailable);
    aAvailable -= covered;
    if (covered < units) {
      shortfalls.push_back(units - covered);
    }
  }
  return shortfalls;
}

// Units for the demand that is expected while a grant lasts, less those at
// hand.
std::int64_t
UnitsAhead(const quota_settings& aSettings,
           const quota_row& aQuota,
           std::int64_t aAvailable)
{
  const std::chrono::duration<double> ahead =
    std::min<std::chrono::milliseconds>(aSettings.requestAhead,
                                        LifetimeOf(aQuota.resource) / 2);
  if (aQuota.requestRate * ahead.count() < aSettings.minRequestsAhead) {
    return 0;
  }
  const auto expected =
    static_cast<std::int64_t>(aQuota.demandRate * ahead.count());
  return std::max<std::int64_t>(0, expected - aAvailable);
}

// Waiting requests cause a quota request for their shortfall at once; otherwise
// more is requested while the quota still covers some demand. After a partial
// grant nothing is requested until the pool is expected to have refilled, or
// for a quarter of a token lifetime if that is shorter.
quota_request_row
RowToRequest(quota_tables& aTables, quota_row& aQuota, steady_time aNow)
{
  quota_request_row row;
  row.resource = aQuota.resource;
  const std::int64_t available = RefreshAvailable(aTables.totals, aQuota, aNow);
  if (aQuota.nextRequestAt && aNow < *aQuota.nextRequestAt) {
    return row;
  }
  row.waiting = Shortfalls(aQuota, available);
  const std::chrono::duration<double> below = aTables.settings.requestBelow;
  const bool isLow =
    static_cast<double>(available) < aQuota.demandRate * below.count();
  if (isLow || !row.waiting.empty()) {
    row.ahead = UnitsAhead(aTables.settings, aQuota, available);
  }
  return row;
}

void
HandleQuotaGrant(quota_tables& aTables,
                 const quota_grant& aGrant,
                 steady_time aNow,
                 quota_outbox& aOut)
{
  const bool isLatest =
    aTables.isAwaiting && aGrant.sequence == aTables.sequence;
  if (!isLatest) {
    return; // its tokens stay unused
  }
  aTables.isAwaiting = false;
  aTables.isReachable = true;
  for (const quota_grant_row& row : aGrant.rows) {
    quota_row& quota = FindOrAddQuota(aTables, row.resource, aNow);
    aTables.totals.granted += row.units;
    // The lifetime counts from when the request was sent, which is before the
    // pool granted them.
    AddLot(quota,
           { row.units,
             aTables.sentAt + admission::LessDrift(LifetimeOf(row.resource)) });
    aOut.hasNewQuota |= row.units > 0;
    quota.nextRequestAt.reset();
    if (row.refillsIn > row.refillsIn.zero()) {
      // An earlier request would find the pool still without these tokens.
      const auto retryInterval =
        std::clamp<std::chrono::nanoseconds>(row.refillsIn,
                                             aTables.settings.requestInterval,
                                             LifetimeOf(row.resource) / 4);
      quota.nextRequestAt = aNow + retryInterval;
      quota.poolRefilledAt = aNow + row.refillsIn;
    }
  }
}

void
SendQuotaRequest(quota_tables& aTables, steady_time aNow, quota_outbox& aOut)
{
  quota_request next;
  for (quota_row& quota : aTables.quotas) {
    UpdateDemandRate(aTables.settings, quota, aNow);
    quota_request_row row = RowToRequest(aTables, quota, aNow);
    if (UnitsOf(row) > 0) {
      aTables.totals.requested += UnitsOf(row);
      next.rows.push_back(std::move(row));
    } else if (!quota.waiting.empty() && quota.nextRequestAt) {
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
  aOut.request = std::move(next);
}

bool
HasWaitingRequests(const quota_tables& aTables)
{
  const auto quotas = aTables.quotas.Rows();
  return std::any_of(quotas.begin(), quotas.end(), [](const quota_row& aRow) {
    return !aRow.waiting.empty();
  });
}

void
EraseUnusedQuotas(quota_tables& aTables, steady_time aNow)
{
  const auto& settings = aTables.settings;
  aTables.quotas.EraseIf([&](const quota_row& aRow) {
    return aRow.baseline.share == share{} && aRow.lots.empty() &&
           aRow.demandUnits == 0 && aRow.waiting.empty() &&
           aRow.demandSince + settings.expireAfter <= aNow;
  });
}

} // namespace

std::int64_t
UnitsOf(const quota_request_row& aRow)
{
  return std::accumulate(aRow.waiting.begin(), aRow.waiting.end(), aRow.ahead);
}

void
SetBaseline(quota_tables& aTables,
            const resource& aResource,
            const share& aBaseline,
            steady_time aNow)
{
  quota_row& quota = FindOrAddQuota(aTables, aResource, aNow);
  if (quota.baseline.share != aBaseline) {
    admission::Resize(quota.baseline, aBaseline, aNow);
  }
}

void
RecordDemand(quota_tables& aTables,
             const resource& aResource,
             std::int64_t aUnits,
             steady_time aNow)
{
  quota_row& quota = FindOrAddQuota(aTables, aResource, aNow);
  quota.demandUnits += aUnits;
  ++quota.demandRequests;
}

std::optional<consumed_quota>
TryConsumeQuota(quota_tables& aTables,
                const resource& aResource,
                std::int64_t aUnits,
                steady_time aNow)
{
  quota_row& quota = FindOrAddQuota(aTables, aResource, aNow);
  if (RefreshAvailable(aTables.totals, quota, aNow) < aUnits) {
    return std::nullopt;
  }
  consumed_quota consumed;
  consumed.quotaId = quota.id;
  consumed.baseline = std::min(aUnits, quota.baseline.level);
  consumed.granted = aUnits - consumed.baseline;
  aTables.totals.baselineUsed += consumed.baseline;
  aTables.totals.grantedUsed += consumed.granted;
  if (consumed.baseline > 0) {
    admission::TryConsume(quota.baseline, consumed.baseline, aNow);
    consumed.changeCount = quota.baseline.changeCount;
  }
  if (consumed.granted > 0) {
    consumed.grantExpiresAt = quota.lots.front().expiresAt;
    ConsumeGranted(quota, consumed.granted);
  }
  return consumed;
}

void
RecordWaiting(quota_tables& aTables,
              const resource& aResource,
              std::int64_t aUnits,
              steady_time aNow)
{
  FindOrAddQuota(aTables, aResource, aNow).waiting.push_back(aUnits);
}

void
ReturnUnused(quota_tables& aTables,
             const consumed_quota& aConsumed,
             std::int64_t aUnits,
             steady_time aNow)
{
  quota_row* quota = aTables.quotas.Find(aConsumed.quotaId);
  if (quota == nullptr) {
    return;
  }
  const std::int64_t granted = std::min(aUnits, aConsumed.granted);
  if (granted > 0 && aNow < aConsumed.grantExpiresAt) {
    aTables.totals.grantedUsed -= granted;
    AddLot(*quota, { granted, aConsumed.grantExpiresAt });
  }
  const std::int64_t baseline = std::min(aUnits - granted, aConsumed.baseline);
  if (baseline > 0) {
    admission::Refund(quota->baseline, baseline, aConsumed.changeCount, aNow);
  }
}

std::int64_t
Available(quota_tables& aTables, const resource& aResource, steady_time aNow)
{
  return RefreshAvailable(
    aTables.totals, FindOrAddQuota(aTables, aResource, aNow), aNow);
}

// A quota request without an answer in time counts as lost. Its tokens expire
// unused; the next request covers the shortfall at that time.
void
RunQuotaGrants(quota_tables& aTables, steady_time aNow, quota_outbox& aOut)
{
  for (const quota_grant& grant : aTables.grants) {
    HandleQuotaGrant(aTables, grant, aNow, aOut);
  }
  aTables.grants.clear();
  const steady_time timesOutAt =
    aTables.sentAt + aTables.settings.answerTimeout;
  if (aTables.isAwaiting && aNow >= timesOutAt) {
    aTables.isAwaiting = false;
    aTables.isReachable = false;
  }
}

void
RunQuotaRequests(quota_tables& aTables, steady_time aNow, quota_outbox& aOut)
{
  const steady_time next = aTables.sentAt + aTables.settings.requestInterval;
  if (aTables.isAwaiting) {
    aOut.wake.NoLaterThan(aTables.sentAt + aTables.settings.answerTimeout);
  } else if (aNow >= next) {
    SendQuotaRequest(aTables, aNow, aOut);
  } else if (HasWaitingRequests(aTables)) {
    aOut.wake.NoLaterThan(next);
  }
  for (quota_row& quota : aTables.quotas) {
    quota.waiting.clear(); // requests that still wait add theirs in each tick
  }
  EraseUnusedQuotas(aTables, aNow);
}

} // namespace bulrush::rates
