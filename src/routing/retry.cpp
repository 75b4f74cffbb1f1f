#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

// At most once: a non-idempotent request is retried only if no byte of it was
// sent, or if the endpoint stated "not run" and trustsNotRun is set.
bool
CanRunAgain(const options& aOptions, const request_row& aRequest)
{
  if (aRequest.lastFailure == attempt_failure::eNotKept) {
    return false; // another answer would be as large
  }
  if (aRequest.facts.isIdempotent) {
    return true;
  }
  return aRequest.lastFailure == attempt_failure::eNotSent ||
         (aOptions.trustsNotRun && !aRequest.mayHaveRun);
}

std::uint32_t
MaxAttempts(const options& aOptions, const request_row& aRequest)
{
  return aRequest.facts.maxAttempts == 0 ? aOptions.maxAttempts
                                         : aRequest.facts.maxAttempts;
}

// Attempts of which no byte was sent do not count towards the limit.
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
    case attempt_failure::eNotKept:
      return request_outcome::eNotKept;
    default:
      return request_outcome::eLost;
  }
}

// The deadline applies to the first byte; a stream in progress gets additional
// time to be resumed at another endpoint.
void
ExtendDeadlineToResume(const options& aOptions,
                       request_row& aRequest,
                       steady_time aNow)
{
  aRequest.facts.deadline =
    std::min(aRequest.facts.lastByteDeadline,
             std::max(aRequest.facts.deadline, aNow + aOptions.resumeTimeout));
}

} // namespace

bool
ShouldRetry(tables& aTables, request_row& aRequest, steady_time aNow)
{
  if (!CanRunAgain(aTables.settings, aRequest)) {
    return false;
  }
  const std::uint32_t maxAttempts = MaxAttempts(aTables.settings, aRequest);
  if (!HasAttemptLeft(aTables.settings, aRequest) ||
      JudgePrompt(aTables, aRequest, aNow).kind ==
        quarantine::verdict_kind::eRefuse) {
    return false;
  }
  if (MustResume(aRequest)) {
    if (!CanResumeSomewhere(aTables, aRequest)) {
      return false;
    }
    ExtendDeadlineToResume(aTables.settings, aRequest, aNow);
  }
  return aRequest.hasPaidRetry ||
         aTables.policy.retry(
           { aRequest,
             FindOrAddRetryBudget(aTables, aRequest.facts.service).budget,
             TimeLeft(aRequest, aNow),
             maxAttempts });
}

// A new service starts with a full budget.
retry_row&
FindOrAddRetryBudget(tables& aTables, service_id aService)
{
  retry_row* row = aTables.retries.Find(aService);
  if (row == nullptr) {
    row = &aTables.retries.Insert({ aService, aTables.settings.retryBurst });
  }
  return *row;
}

// Without a budget, retries multiply the load on a failing fleet. An attempt
// that was not sent caused no load, so its retry is free.
bool
RetryWithinBudget(const retry_input& aInput)
{
  const bool isFree = aInput.request.lastFailure == attempt_failure::eNotSent;
  return (isFree || aInput.budget >= 1.0) && aInput.timeLeft.count() > 0;
}

stay_reason
WhyAttemptStays(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  if (!aRequest.facts.isIdempotent) {
    return stay_reason::eNotRepeatable;
  }
  if (!HasAttemptLeft(aTables.settings, aRequest)) {
    return stay_reason::eNoAttemptLeft;
  }
  if (!HasOtherEndpoint(aTables, aRequest, aNow)) {
    return stay_reason::eNoOther;
  }
  const bool mayRetry = aTables.policy.retry(
    { aRequest,
      FindOrAddRetryBudget(aTables, aRequest.facts.service).budget,
      TimeLeft(aRequest, aNow),
      MaxAttempts(aTables.settings, aRequest) });
  return mayRetry ? stay_reason::eNone : stay_reason::eNoRetryBudget;
}

// All attempts whose timeouts pass in one tick are decided before any of their
// retries starts, so each takes its part of the budget with the decision.
void
PayForRetry(tables& aTables, request_row& aRequest)
{
  FindOrAddRetryBudget(aTables, aRequest.facts.service).budget -= 1.0;
  aRequest.hasPaidRetry = true;
}

std::chrono::milliseconds
IdleTimeout(const options& aOptions, const request_row& aRequest)
{
  const request_facts& facts = aRequest.facts;
  if (!facts.isIdempotent || facts.targetGap.count() == 0) {
    return aOptions.streamIdleTimeout;
  }
  const std::chrono::milliseconds timeout =
    facts.targetGap * aOptions.targetGapsPerTimeout;
  return std::min(aOptions.streamIdleTimeout,
                  std::max(aOptions.minIdleTimeout, timeout));
}

steady_time
LastWait(const options& aOptions,
         const attempt_row& aAttempt,
         const request_row& aRequest)
{
  const steady_time deadline = aRequest.facts.lastByteDeadline;
  if (!aRequest.hasContent) {
    return std::min(aRequest.facts.deadline, deadline);
  }
  return deadline == steady_time::max()
           ? aAttempt.lastProgressAt + aOptions.streamIdleTimeout
           : deadline;
}

// An idempotent request moves to another endpoint after a multiple of its
// target. Without a target, the time left is split over the attempts left, so
// that each later attempt can still meet the caller's deadline. An attempt that
// cannot be retried gets all of it. No attempt gets less than the expected time
// to the first byte or minAttemptTimeout, unless less is left.
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
  auto share = std::max({ aTimeLeft / attemptsLeft,
                          aRequest.facts.expectedFirstByte,
                          aOptions.minAttemptTimeout });
  if (aRequest.facts.targetFirstByte.count() > 0) {
    share =
      std::min(share,
               std::max<std::chrono::milliseconds>(
                 aRequest.facts.targetFirstByte * aOptions.targetsPerAttempt,
                 aOptions.minAttemptTimeout));
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
  for (const request_id id : aTables.pendingRequests) {
    request_row& request = *aTables.requests.Find(id);
    if (request.state != request_state::eFailed) {
      continue;
    }
    if (ShouldRetry(aTables, request, aNow)) {
      const bool isFree = request.lastFailure == attempt_failure::eNotSent;
      if (!isFree && !request.hasPaidRetry) {
        PayForRetry(aTables, request);
      }
      request.hasPaidRetry = false;
      request.state = request_state::eReady;
    } else {
      EndRequest(aTables.settings,
                 request,
                 OutcomeOf(request),
                 CurrentRanState(request),
                 aNow,
                 aOutbox);
      if (request.lastFailure == attempt_failure::eRefused) {
        aOutbox.ends.back().retryAfter =
          RetryAfterRefusal(aTables, request, aNow);
      }
    }
  }
}

} // namespace bulrush::routing
