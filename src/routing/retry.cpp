#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

// At most once. A non-idempotent request is tried again only when no byte of
// it left, or when the endpoint vouches for it and is trusted to.
bool
MayRunAgain(const options& aOptions, const request_row& aRequest)
{
  if (aRequest.facts.isIdempotent) {
    return true;
  }
  return aRequest.lastFailure == attempt_failure::eNotSent ||
         (aOptions.trustsRefusals && !aRequest.mayHaveRun);
}

std::uint32_t
MaxAttempts(const options& aOptions, const request_row& aRequest)
{
  return aRequest.facts.maxAttempts == 0 ? aOptions.maxAttempts
                                         : aRequest.facts.maxAttempts;
}

// An attempt of which no byte left is none that an endpoint saw.
bool
HasAttemptLeft(const options& aOptions, const request_row& aRequest)
{
  const std::uint32_t sent = aRequest.attemptsMade - aRequest.attemptsUnsent;
  return sent < MaxAttempts(aOptions, aRequest) &&
         aRequest.attemptsUnsent < kTriedEndpoints;
}

bool
MustResume(const request_row& aRequest)
{
  return aRequest.hasForwarded;
}

request_outcome
OutcomeOf(const request_row& aRequest)
{
  if (aRequest.hasForwarded) {
    return request_outcome::eBrokenStream;
  }
  switch (aRequest.lastFailure) {
    case attempt_failure::eNotSent:
      return request_outcome::eUnreachable;
    case attempt_failure::eRefused:
      return request_outcome::eRefused;
    case attempt_failure::eTimeout:
      return request_outcome::eDeadline;
    default:
      return request_outcome::eLost;
  }
}

// The deadline is that of the first byte; a stream that was under way gets
// time of its own to be taken up elsewhere.
void
AllowTimeToResume(const options& aOptions,
                  request_row& aRequest,
                  steady_time aNow)
{
  aRequest.facts.deadline =
    std::min(aRequest.facts.endBy,
             std::max(aRequest.facts.deadline, aNow + aOptions.resumeWait));
}

bool
ShouldRetry(tables& aTables, request_row& aRequest, steady_time aNow)
{
  if (!MayRunAgain(aTables.settings, aRequest)) {
    return false;
  }
  const std::uint32_t maxAttempts = MaxAttempts(aTables.settings, aRequest);
  if (!HasAttemptLeft(aTables.settings, aRequest)) {
    return false;
  }
  if (MustResume(aRequest)) {
    if (!CanResumeSomewhere(aTables, aRequest)) {
      return false;
    }
    AllowTimeToResume(aTables.settings, aRequest, aNow);
  }
  return aTables.policy.retry(
    { aRequest,
      RetriesOf(aTables, aRequest.facts.service).budget,
      TimeLeft(aRequest, aNow),
      maxAttempts });
}

} // namespace

// A service begins with a full budget.
retry_row&
RetriesOf(tables& aTables, service_id aService)
{
  retry_row* row = aTables.retries.Find(aService);
  if (row == nullptr) {
    row = &aTables.retries.Insert({ aService, aTables.settings.retryBurst });
  }
  return *row;
}

// Without a budget, retries multiply the load of a fleet that is failing. What
// never left loaded nobody.
bool
RetryWithinBudget(const retry_input& aInput)
{
  const bool isFree = aInput.request.lastFailure == attempt_failure::eNotSent;
  return (isFree || aInput.budget >= 1.0) && aInput.timeLeft.count() > 0;
}

bool
MayMove(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  return aRequest.facts.isIdempotent &&
         HasAttemptLeft(aTables.settings, aRequest) &&
         HasOtherEndpoint(aTables, aRequest, aNow) &&
         aTables.policy.retry(
           { aRequest,
             RetriesOf(aTables, aRequest.facts.service).budget,
             TimeLeft(aRequest, aNow),
             MaxAttempts(aTables.settings, aRequest) });
}

std::chrono::milliseconds
SilenceLimit(const options& aOptions, const request_row& aRequest)
{
  const request_facts& facts = aRequest.facts;
  if (!facts.isIdempotent || facts.targetGap.count() == 0) {
    return aOptions.streamIdle;
  }
  const std::chrono::milliseconds pauses =
    facts.targetGap * aOptions.gapsPerSilence;
  return std::min(aOptions.streamIdle, std::max(aOptions.leastSilence, pauses));
}

// A request that may be repeated is moved to another endpoint when this one
// has used up its target; without a target, splitting the time left over the
// attempts left leaves each later endpoint a chance within the caller's
// deadline. An attempt that may not be repeated gets it all, and none gets less
// than the answer is expected to take.
std::chrono::milliseconds
AttemptTimeout(const options& aOptions,
               const request_row& aRequest,
               std::chrono::milliseconds aTimeLeft)
{
  const std::uint32_t maxAttempts = MaxAttempts(aOptions, aRequest);
  if (!aRequest.facts.isIdempotent ||
      aRequest.attemptsMade + 1 >= maxAttempts) {
    return aTimeLeft;
  }
  const auto attemptsLeft = maxAttempts - aRequest.attemptsMade;
  auto share = std::max(
    { aTimeLeft / attemptsLeft, aRequest.facts.expected, aOptions.minAttempt });
  if (aRequest.facts.target.count() > 0) {
    share = std::min(share,
                     std::max<std::chrono::milliseconds>(
                       aRequest.facts.target * aOptions.targetsPerAttempt,
                       aOptions.minAttempt));
  }
  return std::min(share, aTimeLeft);
}

std::chrono::milliseconds
TimeLeft(const request_row& aRequest, steady_time aNow)
{
  return std::max(std::chrono::milliseconds{ 0 },
                  std::chrono::ceil<std::chrono::milliseconds>(
                    aRequest.facts.deadline - aNow));
}

void
RunRetry(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (const request_id id : aTables.attention) {
    request_row& request = *aTables.requests.Find(id);
    if (request.state != request_state::eFailed) {
      continue;
    }
    if (ShouldRetry(aTables, request, aNow)) {
      const bool isFree = request.lastFailure == attempt_failure::eNotSent;
      RetriesOf(aTables, request.facts.service).budget -= isFree ? 0.0 : 1.0;
      request.state = request_state::eReady;
    } else {
      EndRequest(aTables.settings,
                 request,
                 OutcomeOf(request),
                 RanSoFar(request),
                 aNow,
                 aOutbox);
    }
  }
}

} // namespace bulrush::routing
