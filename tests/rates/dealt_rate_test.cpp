#include "rates/rates.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace bulrush::rates {
namespace {

struct dealt_rate_fixture
{
  rate_tolerance tolerance{ std::chrono::seconds(8), 0.1, 7'400 };
};

// The bound is what the window tolerates, whatever the constants are.
TEST_CASE_METHOD(dealt_rate_fixture,
                 "DealtRate_OverAnyWindow_StaysWithinTheTolerance",
                 "[admission]")
{
  rc::prop("both parts together fit", [this] {
    const double rate = *rc::gen::inRange(1, 1'000'000);
    const double burst = *rc::gen::inRange(1, 1'000'000);
    const dealt_rate dealt = DealRate(tolerance, rate, burst);
    // Drawn tokens may be a second old.
    const auto used =
      static_cast<double>(8 * dealt.standing.rate + dealt.standing.size +
                          9 * dealt.pool.rate + dealt.pool.size);
    const double most = (rate * 8 + burst) * 1.1 + 7'400;
    RC_ASSERT(used <= most * admission::kUnitsPerToken);
    RC_ASSERT(dealt.pool.rate > 0);
    RC_ASSERT(dealt.standing.rate > 0);
  });
}

} // namespace
} // namespace bulrush::rates
