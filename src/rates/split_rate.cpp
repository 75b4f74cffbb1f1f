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
/// Burst tokens of the baseline for each host: a request of usual length.
constexpr double kHostBaselineTokens = 1'400;
/// Burst tokens of the pool: a few long requests.
constexpr double kPoolSizeTokens = 12'000;
/// Bounds of both bursts, as fractions of all tokens in the window.
constexpr double kMinSizeFraction = 0.06;
constexpr double kMaxBaselineSizeFraction = 0.09;
constexpr double kMaxPoolSizeFraction = 0.25;

std::int64_t
Units(double aTokens)
{
  return static_cast<std::int64_t>(std::floor(aTokens * kUnitsPerToken));
}

} // namespace

// Tokens used in a window were granted by the pool within the window or within
// one token lifetime before it. On many hosts the equal parts of a small rate
// hold less than a request and would stay unused, so the pool gets all of it.
split_rate
SplitRate(const rate_tolerance& aTolerance,
          double aTokensPerSecond,
          double aBurstTokens,
          std::uint32_t aHosts)
{
  const std::chrono::duration<double> window = aTolerance.window;
  const std::chrono::duration<double> lifetime = LifetimeOf({});
  const double declared = aTokensPerSecond * window.count() + aBurstTokens;
  const double maxTokens =
    kUsedToleranceFraction *
    (declared * (1 + aTolerance.overage) + aTolerance.slackTokens);
  const double pool = std::clamp(kPoolSizeTokens,
                                 kMinSizeFraction * maxTokens,
                                 kMaxPoolSizeFraction * maxTokens);
  const double hostBaselines = kHostBaselineTokens * aHosts;
  const bool hasBaseline =
    hostBaselines <= kMaxBaselineSizeFraction * maxTokens;
  const double baseline =
    hasBaseline ? std::max(hostBaselines, kMinSizeFraction * maxTokens) : 0;
  const double baselineFraction = hasBaseline ? kBaselineFraction : 0;
  const double seconds =
    window.count() + (1 - baselineFraction) * lifetime.count();
  const double rate = (maxTokens - baseline - pool) / seconds;
  return { { Units((1 - baselineFraction) * rate), Units(pool) },
           { Units(baselineFraction * rate), Units(baseline) } };
}

} // namespace bulrush::rates
