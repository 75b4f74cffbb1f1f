#include "routing/parts.hpp"

#include <array>

namespace bulrush::routing {

namespace {

/// Urgency of a request whose target passes within a time.
struct urgency_step
{
  std::chrono::milliseconds timeLeft;
  int urgency;
};

// Classes of requests differ in their targets by factors of two to ten. An
// endpoint orders requests of equal urgency by arrival.
constexpr std::array<urgency_step, 4> kUrgencySteps{ {
  { std::chrono::milliseconds{ 300 }, 1 },
  { std::chrono::milliseconds{ 1'000 }, 3 },
  { std::chrono::milliseconds{ 2'000 }, 4 },
  { std::chrono::milliseconds{ 10'000 }, 6 },
} };
constexpr int kLeastUrgentInTime = 7;
/// A caller that was refused once and comes back is not refused again.
constexpr int kMissedTargetReturning = 5;
constexpr int kMissedTarget = 8;

} // namespace

// A stream that is resumed has a caller who waits for its next event.
int
UrgencyOf(const request_row& aRequest, steady_time aNow)
{
  if (aRequest.hasForwarded) {
    return kUrgencySteps.front().urgency;
  }
  const steady_time targetAt = aRequest.facts.targetAt;
  if (aNow >= targetAt) {
    return aRequest.facts.isReturning ? kMissedTargetReturning : kMissedTarget;
  }
  for (const urgency_step& step : kUrgencySteps) {
    if (targetAt - aNow <= step.timeLeft) {
      return step.urgency;
    }
  }
  return kLeastUrgentInTime;
}

} // namespace bulrush::routing
