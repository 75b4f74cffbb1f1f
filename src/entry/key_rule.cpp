#include "entry/key_rule.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

constexpr int kPercent = 100;
/// Of the bound. The rest is for clocks of different speeds and for a thread
/// that is suspended between the check and the send.
constexpr int kUsablePercent = 90;
/// Of the bound. A confirmation of a host in touch is renewed each second, also
/// through the election of a leader.
constexpr int kRotationPercent = 70;
/// By then the load balancer has seen two failed checks of the readiness, which
/// it makes once a second, and sends callers to hosts elsewhere.
constexpr std::chrono::milliseconds kBalancerTime{ 2'000 };
constexpr std::chrono::milliseconds kMinRetryAfter{ 250 };

// A withdrawal that the host does not know was committed at aConfirmedAt or
// later, and its bound counts from then.
steady_time
AfterPartOfBound(const key_rule& aRule, steady_time aConfirmedAt, int aPercent)
{
  if (aRule.withdrawalBound.count() == 0) {
    return steady_time::max();
  }
  if (aConfirmedAt == steady_time{}) {
    return steady_time{};
  }
  return aConfirmedAt + aRule.withdrawalBound * aPercent / kPercent;
}

} // namespace

steady_time
KeysUsableUntil(const key_rule& aRule, steady_time aConfirmedAt)
{
  return AfterPartOfBound(aRule, aConfirmedAt, kUsablePercent);
}

steady_time
LeavesRotationAt(const key_rule& aRule, steady_time aConfirmedAt)
{
  return AfterPartOfBound(aRule, aConfirmedAt, kRotationPercent);
}

std::chrono::milliseconds
RetryAfterUnconfirmed(steady_time aLeftAt, steady_time aNow)
{
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
    aLeftAt + kBalancerTime - aNow);
  return std::max(kMinRetryAfter, left);
}

} // namespace bulrush::entry
