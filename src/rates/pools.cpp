#include "rates/rates.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::rates {
namespace {

/// Longer than any token lifetime, so that a pool that is erased and added
/// again cannot grant the same tokens twice within one window.
constexpr std::chrono::seconds kPoolIdleTimeout{ 10 };

/// Sent to hosts whose pool is missing or too small for their request.
constexpr std::chrono::seconds kUnknownRefillTime{ 1 };

constexpr std::chrono::milliseconds kRateTokenLifetime{ 500 };
constexpr std::chrono::milliseconds kColdTokenLifetime{ 250 };

/// Burst of a cold endpoint, as time at its limit.
constexpr double kColdBurstSeconds = 0.25;

/// A pool keeps back this fraction of its size from requests, or this many
/// tokens if that is less, so that requests up to it are granted as often as
/// small ones.
constexpr std::int64_t kReserveDivisor = 4;
constexpr std::int64_t kMaxReserveUnits = 4'000 * admission::kUnitsPerToken;

// The level at which a request of aUnits is granted.
std::int64_t
LevelFor(const admission::token_bucket& aBucket, std::int64_t aUnits)
{
  const std::int64_t reserve =
    std::min(aBucket.share.size / kReserveDivisor, kMaxReserveUnits);
  return std::max(aUnits, reserve);
}

quota_grant_row
GrantFrom(admission::token_bucket& aBucket,
          const quota_request_row& aRequested,
          steady_time aNow)
{
  quota_grant_row granted;
  granted.resource = aRequested.resource;
  for (const std::int64_t units : aRequested.waiting) {
    const std::int64_t needed = LevelFor(aBucket, units);
    if (aBucket.level < needed) {
      granted.refillsIn = admission::TimeUntil(aBucket, needed, aNow)
                            .value_or(kUnknownRefillTime);
      return granted;
    }
    admission::TryConsume(aBucket, units, aNow);
    granted.units += units;
  }
  // Part of what is requested ahead is of use too, but not at the cost of
  // requests that wait at other hosts.
  const std::int64_t spare = aBucket.level - aBucket.share.size / 2;
  const std::int64_t ahead =
    std::clamp<std::int64_t>(spare, 0, aRequested.ahead);
  admission::TryConsume(aBucket, ahead, aNow);
  granted.units += ahead;
  return granted;
}

} // namespace

resource
ColdRateOf(endpoint_id aEndpoint, std::uint64_t aIncarnation)
{
  return { admission::resource_kind::eColdRate, aEndpoint.value, aIncarnation };
}

std::chrono::milliseconds
LifetimeOf(const resource& aResource)
{
  return aResource.kind == admission::resource_kind::eColdRate
           ? kColdTokenLifetime
           : kRateTokenLifetime;
}

// Tokens used within 1 s were granted within that second and the 0.25 s token
// lifetime before it. The pool refills at 0.8 of the rate, so 1.25 s of inflow
// amount to one second's limit; the pool's size is added to it.
share
PoolOfColdEndpoint(double aPerSecond)
{
  const std::chrono::duration<double> lifetime = kColdTokenLifetime;
  const double rate = aPerSecond / (1.0 + lifetime.count());
  const double size = std::max(1.0, kColdBurstSeconds * aPerSecond);
  return { static_cast<std::int64_t>(rate * admission::kUnitsPerToken),
           static_cast<std::int64_t>(size * admission::kUnitsPerToken) };
}

void
SetPool(pool_tables& aTables,
        const resource& aResource,
        const share& aShare,
        steady_time aNow)
{
  const resource_id id = admission::IdOfResource(aResource);
  pool_row* row = aTables.pools.Find(id);
  if (row == nullptr) {
    pool_row added;
    added.id = id;
    added.resource = aResource;
    added.bucket.filledAt = aNow;
    added.lastRequestAt = aNow;
    row = &aTables.pools.Insert(std::move(added));
  }
  admission::Resize(row->bucket, aShare, aNow);
}

quota_grant
HandleQuotaRequest(pool_tables& aTables,
                   const quota_request& aRequest,
                   steady_time aNow)
{
  quota_grant grant;
  grant.sequence = aRequest.sequence;
  for (const quota_request_row& requested : aRequest.rows) {
    quota_grant_row granted;
    granted.resource = requested.resource;
    granted.refillsIn = kUnknownRefillTime;
    pool_row* pool =
      aTables.pools.Find(admission::IdOfResource(requested.resource));
    if (pool != nullptr) {
      pool->lastRequestAt = aNow;
      admission::Refill(pool->bucket, aNow);
      granted = GrantFrom(pool->bucket, requested, aNow);
      ++pool->requests;
      pool->requestedUnits += UnitsOf(requested);
      pool->grantedUnits += granted.units;
    }
    grant.rows.push_back(granted);
  }
  return grant;
}

void
EvictIdlePools(pool_tables& aTables, steady_time aNow)
{
  aTables.pools.EraseIf([aNow](const pool_row& aRow) {
    return aRow.resource.kind == admission::resource_kind::eColdRate &&
           aRow.lastRequestAt + kPoolIdleTimeout <= aNow;
  });
}

} // namespace bulrush::rates
