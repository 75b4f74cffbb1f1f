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
    const bool hasBaseline = split.baseline.rate > 0;
    RC_ASSERT(hasBaseline == (split.baseline.size > 0));
  });
}

} // namespace
} // namespace bulrush::rates
