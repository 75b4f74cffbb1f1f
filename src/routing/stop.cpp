#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

// A request without a live attempt, whose caller still waits.
bool
IsWaiting(const request_row& aRequest)
{
  switch (aRequest.state) {
    case request_state::eNeedsClaim:
    case request_state::eAwaitingClaim:
    case request_state::eReady:
    case request_state::eFailed:
      return true;
    default:
      return false;
  }
}

void
EndWaiting(const options& aOptions,
           request_row& aRequest,
           steady_time aNow,
           outbox& aOutbox)
{
  EndRequest(aOptions,
             aRequest,
             request_outcome::eHostStopped,
             CurrentRanState(aRequest),
             aNow,
             aOutbox);
}

// Nothing of the request was sent. A claim that is still granted belongs to
// this request's token only, so it is released without waiting for the answer.
void
ReleaseUnansweredClaim(request_row& aRequest, outbox& aOutbox)
{
  if (aRequest.state == request_state::eAbandonedClaim) {
    aRequest.holdsClaim = true;
    RecordClaimOutcome(aRequest, ran_state::eNotRun, {}, 0, aOutbox);
    aRequest.state = request_state::eEnded;
  }
}

void
EndAtFinish(tables& aTables,
            request_row& aRequest,
            steady_time aNow,
            outbox& aOutbox)
{
  if (IsWaiting(aRequest)) {
    EndWaiting(aTables.settings, aRequest, aNow, aOutbox);
  } else if (aRequest.state == request_state::eRunning) {
    EndRunningRequest(
      aTables, aRequest, request_outcome::eHostStopped, aNow, aOutbox);
  } else if (aRequest.state == request_state::eDetached) {
    CancelDetached(aTables, aRequest, aOutbox);
  }
  ReleaseUnansweredClaim(aRequest, aOutbox);
}

steady_time
EndOf(const request_facts& aFacts)
{
  return aFacts.isStreamed ? std::max(aFacts.deadline, aFacts.lastByteDeadline)
                           : aFacts.deadline;
}

bool
HasTimeToFinish(const options& aOptions,
                const request_facts& aFacts,
                steady_time aNow)
{
  const std::chrono::milliseconds needed =
    aFacts.targetFirstByte.count() > 0
      ? aFacts.targetFirstByte
      : std::max(aOptions.minTimeToFinish, aFacts.expectedFirstByte);
  return aOptions.finishBy - aNow > needed;
}

// A request that was not sent yet is refused while its caller still has time
// for another host. One that may have run is tried until the end.
void
LimitWaiting(const options& aOptions,
             request_row& aRequest,
             steady_time aNow,
             outbox& aOutbox)
{
  request_facts& facts = aRequest.facts;
  if (EndOf(facts) <= aOptions.finishBy) {
    return;
  }
  const bool wasSent = aRequest.mayHaveRun || aRequest.hasForwarded;
  if (!wasSent &&
      (!facts.isIdempotent || !HasTimeToFinish(aOptions, facts, aNow))) {
    EndWaiting(aOptions, aRequest, aNow, aOutbox);
    return;
  }
  facts.deadline = std::min(facts.deadline, aOptions.finishBy);
  facts.lastByteDeadline = std::min(facts.lastByteDeadline, aOptions.finishBy);
}

} // namespace

// Runs before RunTimeouts, so that what the stop ends has its outcome, and
// before RunClaims, so that no claim is requested for what is refused.
void
RunStop(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  const options& settings = aTables.settings;
  if (aNow >= settings.finishBy) {
    for (request_row& request : aTables.requests) {
      EndAtFinish(aTables, request, aNow, aOutbox);
    }
    return;
  }
  for (const request_id id : aTables.pendingRequests) {
    request_row& request = *aTables.requests.Find(id);
    const bool isUnclaimed = request.state == request_state::eAwaitingClaim &&
                             request.claim == claim_answer::eNone;
    if (isUnclaimed && aNow >= settings.placementDeadline) {
      EndWaiting(settings, request, aNow, aOutbox);
    } else if (IsWaiting(request)) {
      LimitWaiting(settings, request, aNow, aOutbox);
    }
  }
}

} // namespace bulrush::routing
