#include "admission/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace bulrush::admission {
namespace {

struct dealt_rate_fixture
{
  rate_tolerance tolerance{ std::chrono::seconds(8), 0.1, 7'400 };
};

TEST_CASE_METHOD(dealt_rate_fixture,
                 "DealtRate_WithoutATolerance_IsTheDeclaredOne",
                 "[admission]")
{
  const dealt_rate dealt = DealRate({}, 10, 100);
  CHECK(dealt.divided == share{ 10'000, 100'000 });
  CHECK(dealt.standing == share{});
}

// The bound is what the window tolerates, whatever the constants are.
TEST_CASE_METHOD(dealt_rate_fixture,
                 "DealtRate_OverAnyWindow_StaysWithinTheTolerance",
                 "[admission]")
{
  rc::prop("both parts together fit", [this] {
    const double rate = *rc::gen::inRange(1, 1'000'000);
    const double burst = *rc::gen::inRange(1, 1'000'000);
    const dealt_rate dealt = DealRate(tolerance, rate, burst);
    const share sum = dealt.divided + dealt.standing;
    const double most = (rate * 8 + burst) * 1.1 + 7'400;
    RC_ASSERT(static_cast<double>(sum.rate) * 8 +
                static_cast<double>(sum.size) <=
              most * kUnitsPerToken);
    RC_ASSERT(dealt.divided.rate > 0);
    RC_ASSERT(dealt.standing.rate > 0);
  });
}

} // namespace
} // namespace bulrush::admission
