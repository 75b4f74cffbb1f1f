#include "rates/rates.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace bulrush::rates {
namespace {

struct split_rate_fixture
{
  rate_tolerance tolerance{ std::chrono::seconds(8), 0.1, 7'400 };
};

// The expected bound is computed from the tolerance alone, not from the
// constants of the implementation.
TEST_CASE_METHOD(split_rate_fixture,
                 "SplitRate_OverAnyWindow_StaysWithinTheTolerance",
                 "[admission]")
{
  rc::prop("pool and baseline together fit", [this] {
    const double rate = *rc::gen::inRange(1, 1'000'000);
    const double burst = *rc::gen::inRange(1, 1'000'000);
    const std::uint32_t hosts = *rc::gen::inRange<std::uint32_t>(1, 500);
    const split_rate split = SplitRate(tolerance, rate, burst, hosts);
    // Granted tokens live for a while, so the pool counts for longer.
    const std::chrono::duration<double> poolTime =
      tolerance.window + LifetimeOf({});
    const double used =
      8.0 * static_cast<double>(split.baseline.rate) +
      static_cast<double>(split.baseline.size) +
      poolTime.count() * static_cast<double>(split.pool.rate) +
      static_cast<double>(split.pool.size);
    const double maxTokens = (rate * 8 + burst) * 1.1 + 7'400;
    RC_ASSERT(used <= maxTokens * admission::kUnitsPerToken);
    RC_ASSERT(split.pool.rate > 0);
    // Nothing lies idle: a part of a baseline holds a request of usual length.
    constexpr std::int64_t kUsualRequest = 1'000 * admission::kUnitsPerToken;
    const std::int64_t part = split.baseline.size / hosts;
    const bool isUsable =
      split.baseline.rate > 0 ? part >= kUsualRequest : part == 0;
    RC_ASSERT(isUsable);
  });
}

TEST_CASE_METHOD(split_rate_fixture,
                 "SplitRate_OnFewHosts_HasABaselineForCuts",
                 "[admission]")
{
  const split_rate split = SplitRate(tolerance, 86'000, 86'000, 8);
  CHECK(split.baseline.rate > 0);
  CHECK(split.baseline.size / 8 >= 1'400 * admission::kUnitsPerToken);
}

} // namespace
} // namespace bulrush::rates
