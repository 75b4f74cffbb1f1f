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
    const split_rate split = SplitRate(tolerance, rate, burst);
    // Granted tokens live for up to 1 s, so the pool counts for 9 s.
    const auto used =
      static_cast<double>(8 * split.baseline.rate + split.baseline.size +
                          9 * split.pool.rate + split.pool.size);
    const double maxTokens = (rate * 8 + burst) * 1.1 + 7'400;
    RC_ASSERT(used <= maxTokens * admission::kUnitsPerToken);
    RC_ASSERT(split.pool.rate > 0);
    RC_ASSERT(split.baseline.rate > 0);
  });
}

} // namespace
} // namespace bulrush::rates
