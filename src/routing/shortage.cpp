#include "routing/holders.hpp"

#include <algorithm>

/// What is decided where endpoints are short of room, for requests that are
/// scheduled by their targets.

namespace bulrush::routing {

namespace {

using fractional_ms = std::chrono::duration<double, std::milli>;

/// A caller that returns sooner mostly finds the same shortage.
constexpr std::chrono::milliseconds kMinRetryAfter{ 250 };
/// A refused caller needs the rest of its time for the next try.
constexpr int kTimeLeftShare = 3;
/// A request with less than this part of its target left misses it at any
/// endpoint.
constexpr int kTargetShare = 10;

// Both figures are times to the first byte: how long an answer holds its slot
// after that is not known here.
fractional_ms
ServiceTime(const endpoint_row& aEndpoint, const request_facts& aFacts)
{
  const fractional_ms expected = aFacts.expectedFirstByte;
  return expected.count() > 0
           ? expected * aEndpoint.slowdown.value_or(1.0)
           : fractional_ms(aEndpoint.coldStart.meanFirstByte);
}

fractional_ms
TimeUntilRoom(const endpoint_row& aEndpoint,
              const request_facts& aFacts,
              steady_time aNow)
{
  const fractional_ms backoff = aEndpoint.avoidUntil - aNow;
  const double rounds = static_cast<double>(aEndpoint.reportedQueued) /
                        std::max(1U, aEndpoint.facts.slots);
  return std::max(backoff, ServiceTime(aEndpoint, aFacts) * rounds);
}

// True when the target has passed, or passes before another try can meet it.
bool
IsLate(const request_facts& aFacts, steady_time aNow)
{
  return aFacts.targetAt != steady_time::max() &&
         aFacts.targetAt - aNow < aFacts.targetFirstByte / kTargetShare;
}

} // namespace

bool
IsScheduledByTarget(tables& aTables, const request_facts& aFacts)
{
  bool tells = aFacts.isScheduledByTarget;
  IndexHolders(aTables);
  VisitHolders(aTables, aFacts, [&](const endpoint_row& aEndpoint) {
    tells |= aEndpoint.slowdown.has_value();
  });
  return tells;
}

// Callers that were refused together are spread, since all of them together
// would cause the same shortage again. The limit by the time left moves the
// interval instead of ending it, so that the times stay spread.
std::chrono::milliseconds
RetryAfterRefusal(tables& aTables,
                  const request_row& aRequest,
                  steady_time aNow)
{
  if (!IsScheduledByTarget(aTables, aRequest.facts)) {
    return TimeUntilAccepted(aTables, aRequest, aNow);
  }
  const auto longest = TimeLeft(aRequest, aNow) / kTimeLeftShare;
  fractional_ms soonest = longest;
  IndexHolders(aTables);
  VisitHolders(aTables, aRequest.facts, [&](const endpoint_row& aEndpoint) {
    soonest = std::min(soonest, TimeUntilRoom(aEndpoint, aRequest.facts, aNow));
  });
  const auto room = std::max(
    kMinRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(soonest));
  // Nothing is gained by an early return once the target has passed, and a
  // second refusal costs more than the first.
  const bool isLate = IsLate(aRequest.facts, aNow + room);
  const auto first = isLate ? longest / 2 : std::min(room, longest / 2);
  const auto last = isLate ? longest : std::min(2 * room, longest);
  const auto steps = static_cast<std::uint64_t>((last - first).count()) + 1;
  return first + std::chrono::milliseconds(aTables.random() % steps);
}

} // namespace bulrush::routing
