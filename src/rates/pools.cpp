#include "rates/rates.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::rates {
namespace {

/// Longer than any life of tokens, so that a pool that is added anew cannot
/// give what the former one gave within the same window.
constexpr std::chrono::seconds kIdlePool{ 10 };

/// Told to hosts whose pool never holds what they ask for.
constexpr std::chrono::seconds kNever{ 1 };

constexpr std::chrono::milliseconds kRateLife{ 1'000 };
constexpr std::chrono::milliseconds kColdLife{ 250 };

/// Part of a cold endpoint's limit that may be used at once.
constexpr double kColdBurst = 0.25;

} // namespace

resource
ColdRateOf(endpoint_id aEndpoint, std::uint64_t aIncarnation)
{
  return { admission::resource_kind::eColdRate, aEndpoint.value, aIncarnation };
}

std::chrono::milliseconds
LifeOf(const resource& aWhat)
{
  return aWhat.kind == admission::resource_kind::eColdRate ? kColdLife
                                                           : kRateLife;
}

// Within a second the pool gives its size and what flows in during the second
// and the life of tokens: with four fifths of the rate, 1.25 x 0.8 x rate.
share
PoolOfColdEndpoint(double aPerSecond)
{
  const std::chrono::duration<double> life = kColdLife;
  const double rate = aPerSecond / (1.0 + life.count());
  const double size = std::max(1.0, kColdBurst * aPerSecond);
  return { static_cast<std::int64_t>(rate * admission::kUnitsPerToken),
           static_cast<std::int64_t>(size * admission::kUnitsPerToken) };
}

void
SetPool(pool_tables& aTables,
        const resource& aWhat,
        const share& aShare,
        steady_time aNow)
{
  const resource_id id = admission::IdOfResource(aWhat);
  pool_row* row = aTables.pools.Find(id);
  if (row == nullptr) {
    pool_row fresh;
    fresh.id = id;
    fresh.what = aWhat;
    fresh.bucket.filledAt = aNow;
    fresh.usedAt = aNow;
    row = &aTables.pools.Insert(std::move(fresh));
  }
  admission::Resize(row->bucket, aShare, aNow);
}

drawn
Answer(pool_tables& aTables, const draw& aDraw, steady_time aNow)
{
  drawn answer;
  answer.sequence = aDraw.sequence;
  for (const draw_row& asked : aDraw.rows) {
    drawn_row given;
    given.what = asked.what;
    given.refillsIn = kNever;
    pool_row* pool = aTables.pools.Find(admission::IdOfResource(asked.what));
    if (pool != nullptr) {
      pool->usedAt = aNow;
      admission::Refill(pool->bucket, aNow);
      given.units =
        std::clamp<std::int64_t>(asked.units, 0, pool->bucket.level);
      admission::Take(pool->bucket, given.units, aNow);
      const std::int64_t lack = asked.units - given.units;
      given.refillsIn =
        lack <= 0
          ? std::chrono::nanoseconds{ 0 }
          : admission::TimeUntil(pool->bucket, lack, aNow).value_or(kNever);
    }
    answer.rows.push_back(given);
  }
  return answer;
}

void
ForgetIdle(pool_tables& aTables, steady_time aNow)
{
  aTables.pools.EraseIf([aNow](const pool_row& aRow) {
    return aRow.what.kind == admission::resource_kind::eColdRate &&
           aRow.usedAt + kIdlePool <= aNow;
  });
}

} // namespace bulrush::rates
