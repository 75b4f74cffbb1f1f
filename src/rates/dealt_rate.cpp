#include "rates/rates.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::rates {
namespace {

using admission::kUnitsPerToken;

/// Part of what a window tolerates that is given out. The rest covers hosts
/// that come new before all others are told.
constexpr double kToleranceUsed = 0.98;
/// Part of the rate that stands at the hosts: what they can still use when they
/// are cut off from the leader, and need not draw when load is even.
constexpr double kStandingPart = 0.5;
/// Tokens that may be used at once, within these parts of the whole: a long
/// request at every host of a small fleet, and a usual one besides.
constexpr double kStandingTokens = 22'400;
constexpr double kPoolTokens = 16'000;
constexpr double kLeastSizePart = 0.08;
constexpr double kMostStandingPart = 0.12;
constexpr double kMostPoolPart = 0.25;

std::int64_t
Units(double aTokens)
{
  return static_cast<std::int64_t>(std::floor(aTokens * kUnitsPerToken));
}

} // namespace

// A window sees what the pool gives within it and within the life of tokens
// before it.
dealt_rate
DealRate(const rate_tolerance& aTolerance,
         double aTokensPerSecond,
         double aBurstTokens)
{
  const std::chrono::duration<double> window = aTolerance.window;
  const std::chrono::duration<double> life = LifeOf({});
  const double declared = aTokensPerSecond * window.count() + aBurstTokens;
  const double most = kToleranceUsed * (declared * (1 + aTolerance.overage) +
                                        aTolerance.slackTokens);
  const double standing = std::clamp(
    kStandingTokens, kLeastSizePart * most, kMostStandingPart * most);
  const double pool =
    std::clamp(kPoolTokens, kLeastSizePart * most, kMostPoolPart * most);
  const double seconds = window.count() + (1 - kStandingPart) * life.count();
  const double rate = (most - standing - pool) / seconds;
  return { { Units((1 - kStandingPart) * rate), Units(pool) },
           { Units(kStandingPart * rate), Units(standing) } };
}

} // namespace bulrush::rates
