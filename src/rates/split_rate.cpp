#include "rates/rates.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::rates {
namespace {

using admission::kUnitsPerToken;

/// Fraction of the tolerated tokens in a window that is split. The rest covers
/// hosts that join before the other hosts have lowered their baselines.
constexpr double kUsedToleranceFraction = 0.98;
/// Fraction of the rate that is the hosts' baseline: usable while the leader is
/// unreachable, and without quota requests under even load.
constexpr double kBaselineFraction = 0.5;
/// Burst tokens of the baseline and the pool, clamped to the fractions below of
/// all tokens in the window: enough for a long request at every host of a small
/// fleet plus one of usual length.
constexpr double kBaselineSizeTokens = 22'400;
constexpr double kPoolSizeTokens = 16'000;
constexpr double kMinSizeFraction = 0.08;
constexpr double kMaxBaselineSizeFraction = 0.12;
constexpr double kMaxPoolSizeFraction = 0.25;

std::int64_t
Units(double aTokens)
{
  return static_cast<std::int64_t>(std::floor(aTokens * kUnitsPerToken));
}

} // namespace

// Tokens used in a window were granted by the pool within the window or within
// one token lifetime before it.
split_rate
SplitRate(const rate_tolerance& aTolerance,
          double aTokensPerSecond,
          double aBurstTokens)
{
  const std::chrono::duration<double> window = aTolerance.window;
  const std::chrono::duration<double> lifetime = LifetimeOf({});
  const double declared = aTokensPerSecond * window.count() + aBurstTokens;
  const double maxTokens =
    kUsedToleranceFraction *
    (declared * (1 + aTolerance.overage) + aTolerance.slackTokens);
  const double baseline = std::clamp(kBaselineSizeTokens,
                                     kMinSizeFraction * maxTokens,
                                     kMaxBaselineSizeFraction * maxTokens);
  const double pool = std::clamp(kPoolSizeTokens,
                                 kMinSizeFraction * maxTokens,
                                 kMaxPoolSizeFraction * maxTokens);
  const double seconds =
    window.count() + (1 - kBaselineFraction) * lifetime.count();
  const double rate = (maxTokens - baseline - pool) / seconds;
  return { { Units((1 - kBaselineFraction) * rate), Units(pool) },
           { Units(kBaselineFraction * rate), Units(baseline) } };
}

} // namespace bulrush::rates
