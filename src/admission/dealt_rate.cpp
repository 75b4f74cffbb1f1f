#include "admission/admission.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::admission {

namespace {

/// Part of what a window tolerates that is given out. The rest covers hosts
/// that come new before all others are told.
constexpr double kToleranceUsed = 0.98;
/// Part of the rate that stands at the hosts; the rest goes where it is used.
constexpr double kStandingPart = 0.3;
/// Tokens that may be used at once, within these parts of the whole: a long
/// request at every host of a small fleet, and a usual one besides. A request
/// that is larger than what a host may hold would never be served there.
constexpr double kStandingTokens = 22'400;
constexpr double kDividedTokens = 16'000;
constexpr double kLeastSizePart = 0.08;
constexpr double kMostStandingPart = 0.4;
constexpr double kMostDividedPart = 0.2;

std::int64_t
Units(double aTokens)
{
  return static_cast<std::int64_t>(std::floor(aTokens * kUnitsPerToken));
}

} // namespace

dealt_rate
DealRate(const rate_tolerance& aTolerance,
         double aTokensPerSecond,
         double aBurstTokens)
{
  const std::chrono::duration<double> window = aTolerance.window;
  if (window.count() <= 0) {
    return { { Units(aTokensPerSecond), Units(aBurstTokens) }, {} };
  }
  const double declared = aTokensPerSecond * window.count() + aBurstTokens;
  const double most = kToleranceUsed * (declared * (1 + aTolerance.overage) +
                                        aTolerance.slackTokens);
  const double standing = std::clamp(
    kStandingTokens, kLeastSizePart * most, kMostStandingPart * most);
  const double divided =
    std::clamp(kDividedTokens, kLeastSizePart * most, kMostDividedPart * most);
  const double rate = (most - standing - divided) / window.count();
  return { { Units((1 - kStandingPart) * rate), Units(divided) },
           { Units(kStandingPart * rate), Units(standing) } };
}

} // namespace bulrush::admission
